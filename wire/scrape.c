#include <event2/buffer.h>
#include <event2/http.h>
#include <glib.h>
#include <string.h>

#include "bounds.h"
#include "counters.h"
#include "log.h"
#include "scrape.h"

/* Idle connections are closed after this time, in seconds. */
#define IDLE_TIMEOUT_S 60
/* Limits of a request, which the server may change. */
#define HEADER_BYTES_MAX 16384
#define BODY_BYTES_MAX 262144
#define STATUS_OK 200

struct sc {
	struct evhttp *http;
	struct ct *counters;
	void (*refresh)(void *arg);
	void *arg;
};

struct evhttp *
sc_listen(struct event_base *base, const char *address,
    void (*handle)(struct evhttp_request *req, void *arg), void *arg)
{
	const char *colon = strrchr(address, ':');
	struct evhttp *http = evhttp_new(base);
	int result = -1;
	char *ip;

	if (colon != NULL) {
		ip = g_strndup(address, (gsize)(colon - address));
		result = evhttp_bind_socket(http, ip,
		    (unsigned short)g_ascii_strtoull(colon + 1, NULL, 10));
		g_free(ip);
	}
	if (result != 0) {
		lg_write(LOG_ERR, "http", "cannot listen on %s", address);
		evhttp_free(http);
		return (NULL);
	}
	evhttp_set_gencb(http, handle, arg);
	evhttp_set_timeout(http, IDLE_TIMEOUT_S);
	evhttp_set_max_headers_size(http, HEADER_BYTES_MAX);
	evhttp_set_max_body_size(http, BODY_BYTES_MAX);
	return (http);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	struct evbuffer *out = evhttp_request_get_output_buffer(req);
	struct sc *s = arg;
	char *text;

	if (s->refresh != NULL)
		s->refresh(s->arg);
	text = ct_render(s->counters);
	evhttp_add_header(evhttp_request_get_output_headers(req),
	    "Content-Type", "text/plain; version=0.0.4");
	evbuffer_add(out, text, strlen(text));
	g_free(text);
	evhttp_send_reply(req, STATUS_OK, NULL, NULL);
}

struct sc *
sc_new(struct event_base *base, const char *address, struct ct *counters,
    void (*refresh)(void *arg), void *arg)
{
	struct sc *s = g_new0(struct sc, 1);

	s->counters = counters;
	s->refresh = refresh;
	s->arg = arg;
	s->http = sc_listen(base, address, on_request, s);
	if (s->http != NULL)
		return (s);
	g_free(s);
	return (NULL);
}

void
sc_set_bounds(struct sc *s, struct bd *bounds, unsigned share_permille)
{
	bd_http(bounds, "metrics", s->http, share_permille);
}

void
sc_free(struct sc *s)
{
	if (s == NULL)
		return;
	evhttp_free(s->http);
	g_free(s);
}
