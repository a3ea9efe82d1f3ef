#ifndef WEB_H
#define WEB_H

#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: wb - web helpers of the test programs: event loop, HTTP server, queries
 *
 * The test programs use libevent's HTTP server, because it can keep many
 * requests open without a thread for each.
 */

/** struct wb_query - decoded query string of a request; strings are owned */
struct wb_query {
	struct evkeyvalq pairs;
};

/** wb_base_new() - event loop with precise timers; exits when it fails */
struct event_base *wb_base_new(void);

/**
 * wb_run() - run the loop until SIGTERM or SIGINT
 * @base: event loop, borrowed
 */
void wb_run(struct event_base *base);

/**
 * wb_listen() - HTTP server on a loopback port
 * @base: event loop, borrowed
 * @port: port to use, 0 for any
 * @fn: called for each request
 * @arg: passed to @fn
 * @used: set to the port in use
 *
 * Return: owned server; exits when the port cannot be used.
 */
struct evhttp *wb_listen(struct event_base *base, unsigned port,
    void (*fn)(struct evhttp_request *req, void *arg), void *arg,
    unsigned *used);

/**
 * wb_print_ready() - print the line `ready PORT...`
 * @ports: ports in use
 * @n: number of ports
 */
void wb_print_ready(const unsigned *ports, size_t n);

/** wb_reply() - answer a request with @len bytes; @req is consumed */
void wb_reply(
    struct evhttp_request *req, int code, const char *text, size_t len);

/** wb_reply_json() - answer with JSON; @req and @json are consumed */
void wb_reply_json(struct evhttp_request *req, int code, json_t *json);

/** wb_drop() - close the connection without an answer; @req is consumed */
void wb_drop(struct evhttp_request *req);

/** wb_is_control() - whether the path of a request is /control */
bool wb_is_control(struct evhttp_request *req);

/** wb_body() - body of a request as an owned string, released with g_free() */
char *wb_body(struct evhttp_request *req, size_t *len);

/** wb_header() - header of a request, borrowed; "-" when there is none */
const char *wb_header(struct evhttp_request *req, const char *name);

/** wb_query_read() - read the query of a request; release it afterwards */
void wb_query_read(struct wb_query *q, struct evhttp_request *req);

/** wb_query_release() - free the strings of a query */
void wb_query_release(struct wb_query *q);

/** wb_query_text() - value of a key, borrowed; NULL when it is not given */
const char *wb_query_text(const struct wb_query *q, const char *key);

/** wb_query_number() - value of a key as a number; @fallback when not given */
double wb_query_number(
    const struct wb_query *q, const char *key, double fallback);

/** wb_wall_ms() - milliseconds since the Unix epoch */
uint64_t wb_wall_ms(void);

/** wb_mono_us() - monotonic time in microseconds */
uint64_t wb_mono_us(void);

/** wb_start_timer() - start the timer @ev after a time in microseconds */
void wb_start_timer(struct event *ev, uint64_t us);

#endif
