#ifndef CLIENT_H
#define CLIENT_H

#include <event2/event.h>
#include <event2/http.h>
#include <stddef.h>

/**
 * DOC: hc - HTTP client of one server with a pool of connections
 *
 * Connections are kept open and reused; a request never waits for another one
 * to end.
 */
struct hc;

/**
 * hc_done_fn - a request ended
 * @arg: argument given to hc_request()
 * @code: HTTP status, 0 when there is no answer: connection refused, broken or
 *     timed out
 * @text: body, borrowed, NUL terminated
 * @len: bytes of the body
 */
typedef void (*hc_done_fn)(void *arg, int code, const char *text, size_t len);

/**
 * hc_new() - client of a server
 * @base: event loop, borrowed
 * @address: "IP:port"
 *
 * Return: owned client, or NULL when the address cannot be used.
 */
struct hc *hc_new(struct event_base *base, const char *address);

/** hc_free() - close idle connections; consumed. No request may be open */
void hc_free(struct hc *c);

/**
 * hc_request() - send a request
 * @c: client
 * @method: EVHTTP_REQ_POST, EVHTTP_REQ_GET, ...
 * @path: path with query
 * @body: body, or NULL
 * @timeout_ms: time until the request ends with code 0
 * @done: called once, never before hc_request() returns
 * @arg: passed to @done
 */
void hc_request(struct hc *c, enum evhttp_cmd_type method, const char *path,
    const char *body, unsigned timeout_ms, hc_done_fn done, void *arg);

#endif
