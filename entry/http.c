#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

#include "codec.h"
#include "http.h"
#include "options.h"

/* Enough for the handlers, which only call the JSON parser and libmicrohttpd.
 * The default of 8 MB per connection would mostly be unused address space, but
 * cost page tables as well. */
#define THREAD_STACK_BYTES (256U * 1024)
/* Holds the request line and the headers; bodies are allocated separately. */
#define CONNECTION_BUFFER_BYTES (16U * 1024)
#define IDLE_TIMEOUT_S 120

/* When the server stops, responses in progress get this time to be written. */
#define STOP_TIMEOUT_MS 10000
#define STOP_POLL_PERIOD_MS 5
#define US_PER_MS 1000

struct ht {
	struct _u_instance instance;
	atomic_int active_requests; /* whose response is not complete */
};

static unsigned
mhd_flags(void)
{
	return (MHD_USE_THREAD_PER_CONNECTION |
	    MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_ITC | MHD_USE_POLL);
}

/* libmicrohttpd calls the next two functions at the start and the end of a
 * request. They count the requests and call the functions of ulfius in whose
 * place they are registered. */
static void *
request_started(void *arg, const char *uri)
{
	struct ht *h = arg;

	atomic_fetch_add(&h->active_requests, 1);
	return (ulfius_uri_logger(NULL, uri));
}

static void
request_completed(void *arg, struct MHD_Connection *connection, void **request,
    enum MHD_RequestTerminationCode why)
{
	struct ht *h = arg;

	mhd_request_completed(NULL, connection, request, why);
	atomic_fetch_sub(&h->active_requests, 1);
}

static bool
start_daemon(
    struct ht *h, struct sockaddr_in *bind_address, unsigned connections_max)
{
	struct MHD_OptionItem options[] = {
	    {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)request_completed, h},
	    {MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)request_started, h},
	    {MHD_OPTION_SOCK_ADDR, 0, bind_address},
	    {MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK_BYTES, NULL},
	    {MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_BUFFER_BYTES, NULL},
	    {MHD_OPTION_CONNECTION_LIMIT, connections_max, NULL},
	    {MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S, NULL},
	    {MHD_OPTION_END, 0, NULL},
	};

	return (ulfius_start_framework_with_mhd_options(
		    &h->instance, mhd_flags(), options) == U_OK);
}

static int
no_route(
    const struct _u_request *request, struct _u_response *response, void *arg)
{
	(void)request;
	(void)arg;
	return (ht_respond_error(response, HT_NOT_FOUND, "no_such_path",
	    "The path or the method is not part of this interface."));
}

struct ht *
ht_start(const char *address, unsigned connections_max, size_t body_max,
    const struct ht_route *routes, void *arg)
{
	struct sockaddr_in bind_address = {.sin_family = AF_INET};
	char *host = NULL;
	struct ht *h;
	int port;

	port = op_parse_address(address, &host);
	if (port < 0)
		return (NULL);
	bind_address.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, host, &bind_address.sin_addr);
	g_free(host);
	h = g_new0(struct ht, 1);
	if (ulfius_init_instance(
		&h->instance, (unsigned)port, &bind_address, NULL) != U_OK) {
		g_free(h);
		return (NULL);
	}
	h->instance.max_post_body_size = body_max + 1;
	for (; routes->method != NULL; routes++)
		ulfius_add_endpoint_by_val(&h->instance, routes->method, NULL,
		    routes->path, 0, routes->fn, arg);
	ulfius_set_default_endpoint(&h->instance, no_route, arg);
	if (start_daemon(h, &bind_address, connections_max))
		return (h);
	ulfius_clean_instance(&h->instance);
	g_free(h);
	return (NULL);
}

void
ht_stop(struct ht *h)
{
	unsigned waited_ms;

	if (h == NULL)
		return;
	/* Stopping the daemon shuts down all sockets at once, even while a
	 * response is being written, so wait for the responses first. */
	for (waited_ms = 0; atomic_load(&h->active_requests) > 0 &&
	     waited_ms < STOP_TIMEOUT_MS;
	     waited_ms += STOP_POLL_PERIOD_MS)
		usleep(STOP_POLL_PERIOD_MS * US_PER_MS);
	ulfius_stop_framework(&h->instance);
	ulfius_clean_instance(&h->instance);
	g_free(h);
}

int
ht_respond_json(struct _u_response *response, unsigned status, char *text)
{
	response->status = status;
	response->binary_body = text;
	response->binary_body_length = strlen(text);
	u_map_put(response->map_header, "Content-Type", "application/json");
	return (U_CALLBACK_COMPLETE);
}

int
ht_respond_error(struct _u_response *response, unsigned status,
    const char *code, const char *detail)
{
	return (
	    ht_respond_json(response, status, co_error_to_json(code, detail)));
}
