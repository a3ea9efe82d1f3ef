#include <event2/buffer.h>
#include <event2/util.h>
#include <glib.h>
#include <netinet/in.h>
#include <arpa/inet.h>
#include <string.h>

#include "client.h"
#include "web.h"

struct hc {
	struct event_base *base;
	char *host;
	uint16_t port;
	char *address;
	GQueue idle; /* struct evhttp_connection */
};

struct exchange {
	struct hc *client;
	struct evhttp_connection *evcon;
	struct event *end_event; /* calls @done outside of evhttp */
	hc_done_fn done;
	void *arg;
	int code;
	char *text;
	size_t len;
};

struct hc *
hc_new(struct event_base *base, const char *address)
{
	struct sockaddr_in sin = {0};
	int len = sizeof(sin);
	char host[INET_ADDRSTRLEN];
	struct hc *c;

	if (evutil_parse_sockaddr_port(
		address, (struct sockaddr *)&sin, &len) != 0 ||
	    sin.sin_family != AF_INET || sin.sin_port == 0)
		return (NULL);
	inet_ntop(AF_INET, &sin.sin_addr, host, sizeof(host));
	c = g_new0(struct hc, 1);
	c->base = base;
	c->host = g_strdup(host);
	c->port = ntohs(sin.sin_port);
	c->address = g_strdup(address);
	g_queue_init(&c->idle);
	return (c);
}

void
hc_free(struct hc *c)
{
	struct evhttp_connection *evcon;

	while ((evcon = g_queue_pop_head(&c->idle)) != NULL)
		evhttp_connection_free(evcon);
	g_free(c->host);
	g_free(c->address);
	g_free(c);
}

static void
on_exchange_end(evutil_socket_t fd, short what, void *arg)
{
	struct exchange *x = arg;

	(void)fd;
	(void)what;
	/* After an error the state of the connection is unknown. */
	if (x->code == 0)
		evhttp_connection_free(x->evcon);
	else
		g_queue_push_head(&x->client->idle, x->evcon);
	x->done(x->arg, x->code, x->text, x->len);
	event_free(x->end_event);
	g_free(x->text);
	g_free(x);
}

static void
on_http_done(struct evhttp_request *req, void *arg)
{
	struct exchange *x = arg;

	if (req != NULL) {
		x->code = evhttp_request_get_response_code(req);
		x->text = wb_body(req, &x->len);
	}
	event_active(x->end_event, EV_TIMEOUT, 1);
}

void
hc_request(struct hc *c, enum evhttp_cmd_type method, const char *path,
    const char *body, unsigned timeout_ms, hc_done_fn done, void *arg)
{
	struct timeval tv = {
	    .tv_sec = timeout_ms / 1000,
	    .tv_usec = (suseconds_t)(timeout_ms % 1000) * 1000,
	};
	struct exchange *x = g_new0(struct exchange, 1);
	struct evhttp_request *req = evhttp_request_new(on_http_done, x);

	x->client = c;
	x->done = done;
	x->arg = arg;
	x->end_event = evtimer_new(c->base, on_exchange_end, x);
	x->evcon = g_queue_pop_head(&c->idle);
	if (x->evcon == NULL)
		x->evcon = evhttp_connection_base_bufferevent_new(
		    c->base, NULL, NULL, c->host, c->port);
	evhttp_connection_set_timeout_tv(x->evcon, &tv);
	evhttp_add_header(
	    evhttp_request_get_output_headers(req), "Host", c->address);
	if (body != NULL) {
		evhttp_add_header(evhttp_request_get_output_headers(req),
		    "Content-Type", "application/json");
		evbuffer_add(
		    evhttp_request_get_output_buffer(req), body, strlen(body));
	}
	if (evhttp_make_request(x->evcon, req, method, path) != 0)
		event_active(x->end_event, EV_TIMEOUT, 1);
}
