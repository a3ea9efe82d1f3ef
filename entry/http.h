#ifndef HTTP_H
#define HTTP_H

#include <stdbool.h>
#include <ulfius.h>

/**
 * DOC: ht - HTTP server based on ulfius, with limits on connections and bodies
 */
struct ht;

/** enum ht_status - HTTP status codes */
enum ht_status {
	HT_OK = 200,
	HT_ACCEPTED = 202,
	HT_BAD_REQUEST = 400,
	HT_UNAUTHORIZED = 401,
	HT_NOT_FOUND = 404,
	HT_CONFLICT = 409,
	HT_TOO_LARGE = 413,
	HT_UNPROCESSABLE = 422,
	HT_UNAVAILABLE = 503,
};

/** ht_handler_fn - handler of a route; runs on the thread of the connection */
typedef int (*ht_handler_fn)(
    const struct _u_request *request, struct _u_response *response, void *arg);

/** struct ht_route - one method and path; a path segment ":id" is variable */
struct ht_route {
	const char *method;
	const char *path;
	ht_handler_fn fn;
};

/**
 * ht_start() - start a server
 * @address: "IP:port"
 * @connections_max: connections beyond this number are closed at once
 * @body_max: greatest length of a body in bytes. Of a longer one, the handler
 *     gets one byte more, so that it can answer 413; the rest is dropped
 * @routes: borrowed; ends with a NULL method
 * @arg: passed to the handlers
 *
 * Return: owned server, or NULL when the address cannot be bound.
 */
struct ht *ht_start(const char *address, unsigned connections_max,
    size_t body_max, const struct ht_route *routes, void *arg);

/**
 * ht_stop() - wait for the requests in progress, close all connections, free
 *
 * Blocks; the event loop must keep running to answer the handlers. Consumed,
 * NULL is allowed.
 */
void ht_stop(struct ht *h);

/** ht_respond_json() - set status and JSON body; @text is consumed by free() */
int ht_respond_json(struct _u_response *response, unsigned status, char *text);

/** ht_respond_error() - set status and the body `{"error", "detail"}` */
int ht_respond_error(struct _u_response *response, unsigned status,
    const char *code, const char *detail);

#endif
