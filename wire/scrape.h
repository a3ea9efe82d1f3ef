#ifndef SCRAPE_H
#define SCRAPE_H

#include <event2/event.h>

/**
 * DOC: sc - scrape: serves the metrics over HTTP, on the event loop
 */
struct bd;
struct evhttp;
struct evhttp_request;
struct sc;
struct ct;

/**
 * sc_new() - serve the metrics of a registry
 * @address: "IP:port"
 * @counters: borrowed
 * @refresh: called before each response to update gauges, or NULL
 *
 * Return: owned handle, NULL if @address cannot be used.
 */
struct sc *sc_new(struct event_base *base, const char *address,
    struct ct *counters, void (*refresh)(void *arg), void *arg);

/** sc_set_bounds() - bound the connections to a share of all of the process;
 * @bounds is borrowed */
void sc_set_bounds(struct sc *s, struct bd *bounds, unsigned share_permille);

/** sc_free() - stop serving; @s is consumed, NULL is allowed */
void sc_free(struct sc *s);

/**
 * sc_listen() - start an HTTP server
 * @handle: called for each request
 *
 * Return: owned server, NULL if @address cannot be used.
 */
struct evhttp *sc_listen(struct event_base *base, const char *address,
    void (*handle)(struct evhttp_request *req, void *arg), void *arg);

#endif
