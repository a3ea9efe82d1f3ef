#include <event2/buffer.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "cleanup.h"
#include "web.h"

/* Largest request body: 540 tasks of 64 KB each, plus JSON syntax. */
#define BODY_MAX_BYTES (64 * 1024 * 1024)

static void
on_signal(evutil_socket_t sig, short what, void *arg)
{
	(void)sig;
	(void)what;
	event_base_loopbreak(arg);
}

struct event_base *
wb_base_new(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base = NULL;

	if (config != NULL) {
		event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
		base = event_base_new_with_config(config);
		event_config_free(config);
	}
	if (base == NULL) {
		fprintf(stderr, "no event loop\n");
		exit(1);
	}
	return (base);
}

void
wb_run(struct event_base *base)
{
	struct event *term, *intr;

	signal(SIGPIPE, SIG_IGN);
	term = evsignal_new(base, SIGTERM, on_signal, base);
	intr = evsignal_new(base, SIGINT, on_signal, base);
	event_add(term, NULL);
	event_add(intr, NULL);
	event_base_dispatch(base);
	event_free(term);
	event_free(intr);
}

struct evhttp *
wb_listen(struct event_base *base, unsigned port,
    void (*fn)(struct evhttp_request *req, void *arg), void *arg,
    unsigned *used)
{
	struct evhttp_bound_socket *bound = NULL;
	struct evhttp *http = evhttp_new(base);
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);

	if (http != NULL)
		bound = evhttp_bind_socket_with_handle(
		    http, "127.0.0.1", (uint16_t)port);
	if (bound == NULL) {
		fprintf(stderr, "cannot listen on port %u\n", port);
		exit(1);
	}
	evhttp_set_max_body_size(http, BODY_MAX_BYTES);
	evhttp_set_gencb(http, fn, arg);
	getsockname(
	    evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&sin, &len);
	*used = ntohs(sin.sin_port);
	return (http);
}

void
wb_print_ready(const unsigned *ports, size_t n)
{
	printf("ready");
	for (size_t i = 0; i < n; i++)
		printf(" %u", ports[i]);
	printf("\n");
	fflush(stdout);
}

void
wb_reply(struct evhttp_request *req, int code, const char *text, size_t len)
{
	struct evbuffer *out = evbuffer_new();

	evbuffer_add(out, text, len);
	evhttp_send_reply(req, code, NULL, out);
	evbuffer_free(out);
}

void
wb_reply_json(struct evhttp_request *req, int code, json_t *json)
{
	autofree char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	evhttp_add_header(evhttp_request_get_output_headers(req),
	    "Content-Type", "application/json");
	if (text == NULL)
		wb_reply(req, 500, "", 0);
	else
		wb_reply(req, code, text, strlen(text));
}

void
wb_drop(struct evhttp_request *req)
{
	struct evhttp_connection *evcon = evhttp_request_get_connection(req);

	/* There is no connection any more when the other end closed it. */
	if (evcon != NULL)
		evhttp_connection_free(evcon);
	else
		evhttp_request_free(req);
}

bool
wb_is_control(struct evhttp_request *req)
{
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

	return (path != NULL && strcmp(path, "/control") == 0);
}

char *
wb_body(struct evhttp_request *req, size_t *len)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	char *text;

	*len = evbuffer_get_length(in);
	text = g_malloc(*len + 1);
	evbuffer_copyout(in, text, *len);
	text[*len] = '\0';
	return (text);
}

const char *
wb_header(struct evhttp_request *req, const char *name)
{
	const char *value =
	    evhttp_find_header(evhttp_request_get_input_headers(req), name);

	return (value != NULL ? value : "-");
}

void
wb_query_read(struct wb_query *q, struct evhttp_request *req)
{
	const char *text =
	    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));

	TAILQ_INIT(&q->pairs);
	if (text != NULL)
		evhttp_parse_query_str(text, &q->pairs);
}

void
wb_query_release(struct wb_query *q)
{
	evhttp_clear_headers(&q->pairs);
}

const char *
wb_query_text(const struct wb_query *q, const char *key)
{
	return (evhttp_find_header(&q->pairs, key));
}

double
wb_query_number(const struct wb_query *q, const char *key, double fallback)
{
	const char *text = wb_query_text(q, key);

	return (text != NULL ? g_ascii_strtod(text, NULL) : fallback);
}

uint64_t
wb_wall_ms(void)
{
	return ((uint64_t)(g_get_real_time() / 1000));
}

uint64_t
wb_mono_us(void)
{
	return ((uint64_t)g_get_monotonic_time());
}

void
wb_start_timer(struct event *ev, uint64_t us)
{
	struct timeval tv = {
	    .tv_sec = (time_t)(us / 1000000),
	    .tv_usec = (suseconds_t)(us % 1000000),
	};

	event_add(ev, &tv);
}
