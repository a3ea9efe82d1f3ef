#ifndef FEED_FIXTURE_H
#define FEED_FIXTURE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

#include "config.h"
#include "feed.h"
#include "log.h"
#include "support_net.h"

/**
 * DOC: fixture of the feed of the operator's table, with a stub of the store
 */

/* Time for the requests of a test on a busy machine. */
#define SETTLE_MS 500
#define STATUS_OK 200
#define STATUS_GONE 410
/* The feed under test, and a store that gives each answer of a list once and
 * then leaves requests open. */
struct fixture {
	struct event_base *base;
	struct evhttp *http;
	char address[SN_ADDRESS_SIZE];
	GQueue answers;  /* char *, owned; "": the history is discarded */
	GPtrArray *urls; /* of the requests, owned */
	GPtrArray *open; /* requests without an answer */
	struct fe *feed;
	struct cf *config;
	unsigned rejected;
	unsigned waited_ms; /* of the last answer */
	gint64 tick_us;     /* when the event loop ran last */
	gint64 pause_us;    /* longest time that it did not run */
};

static inline void
on_request(struct evhttp_request *req, void *arg)
{
	struct fixture *f = arg;
	struct evbuffer *body;
	char *answer;

	g_ptr_array_add(f->urls, g_strdup(evhttp_request_get_uri(req)));
	if (g_queue_is_empty(&f->answers)) {
		g_ptr_array_add(f->open, req);
		return;
	}
	answer = g_queue_pop_head(&f->answers);
	if (answer[0] == '\0') {
		evhttp_send_reply(req, STATUS_GONE, NULL, NULL);
	} else {
		body = evbuffer_new();
		evbuffer_add(body, answer, strlen(answer));
		evhttp_send_reply(req, STATUS_OK, NULL, body);
		evbuffer_free(body);
	}
	free(answer);
}

static inline void
on_config(void *arg, const struct pd_config *c)
{
	struct fixture *f = arg;

	cf_apply(f->config, c);
	f->pause_us = MAX(f->pause_us, g_get_monotonic_time() - f->tick_us);
}

static inline void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct fixture *f = arg;

	(void)fd;
	(void)what;
	f->tick_us = g_get_monotonic_time();
}

static inline void
on_unchanged(
    void *arg, uint64_t revision, uint64_t zones_revision, unsigned waited_ms)
{
	struct fixture *f = arg;

	f->waited_ms = waited_ms;

	cf_confirm(f->config, revision, zones_revision);
}

static inline void
on_rejected(void *arg)
{
	struct fixture *f = arg;

	f->rejected++;
}

static inline void
on_store_reachable(void *arg, bool reachable)
{
	(void)arg;
	(void)reachable;
}

static const struct fe_ops feed_ops = {
    .config = on_config,
    .config_unchanged = on_unchanged,
    .config_rejected = on_rejected,
    .store_reachable = on_store_reachable,
};

static inline int
set_up(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	unsigned port = sn_free_port();

	lg_open("test", LOG_CRIT);
	f->base = event_base_new();
	f->http = evhttp_new(f->base);
	assert_int_equal(
	    0, evhttp_bind_socket(f->http, "127.0.0.1", (unsigned short)port));
	evhttp_set_gencb(f->http, on_request, f);
	sn_address(f->address, port);
	f->urls = g_ptr_array_new_with_free_func(g_free);
	f->open = g_ptr_array_new();
	f->config = cf_new();
	*state = f;
	return (0);
}

static inline int
tear_down(void **state)
{
	struct fixture *f = *state;

	fe_free(f->feed);
	evhttp_free(f->http);
	event_base_loop(f->base, EVLOOP_NONBLOCK);
	event_base_free(f->base);
	cf_free(f->config);
	g_queue_clear_full(&f->answers, free);
	g_ptr_array_free(f->open, TRUE);
	g_ptr_array_free(f->urls, TRUE);
	g_free(f);
	return (0);
}

static inline json_t *
row(const char *key, const char *value)
{
	char *text = g_base64_encode((const guchar *)value, strlen(value));
	json_t *o = json_pack("{s:s,s:s}", "key", key, "value", text);

	g_free(text);
	return (o);
}

/* Row of a configuration of @n queues with hosts of @host_bytes bytes, and a
 * text of @note_bytes that is of no use to the entry. */
static inline json_t *
config_row_with_note(unsigned n, size_t host_bytes, size_t note_bytes)
{
	json_t *routes = json_array(), *doc, *o;
	char name[32], prefix[32], *fill, *text;
	unsigned i;

	for (i = 0; i < n; i++) {
		snprintf(name, sizeof(name), "q%u", i);
		snprintf(prefix, sizeof(prefix), "/q%u/", i);
		fill = g_strnfill(host_bytes, 'h');
		json_array_append_new(routes,
		    json_pack("{s:s,s:s,s:s,s:s}", "name", name, "host", fill,
			"path_prefix", prefix, "service", "desk"));
		g_free(fill);
	}
	fill = g_strnfill(note_bytes, 'n');
	doc = json_pack(
	    "{s:i,s:o,s:s}", "version", 5, "routes", routes, "note", fill);
	g_free(fill);
	text = json_dumps(doc, JSON_COMPACT);
	o = row("config", text);
	free(text);
	json_decref(doc);
	return (o);
}

static inline json_t *
config_row(unsigned n, size_t host_bytes)
{
	return (config_row_with_note(n, host_bytes, 0));
}

/* Adds an answer of the store; rows are consumed. */
static inline void
add_answer(struct fixture *f, unsigned version, bool more, json_t *rows)
{
	json_t *o = json_pack("{s:o,s:b,s:i}", "rows", rows, "has_more", more,
	    "ver", (int)version);

	g_queue_push_tail(&f->answers, json_dumps(o, JSON_COMPACT));
	json_decref(o);
}

/* Adds the answer of a store that has discarded its history, after which the
 * whole table is read. */
static inline void
add_gone(struct fixture *f)
{
	g_queue_push_tail(&f->answers, strdup(""));
}

static inline void
follow(struct fixture *f)
{
	f->feed = fe_new(f->base, f->address, &feed_ops, f);
	sn_run_loop(f->base, SETTLE_MS);
	assert_true(g_queue_is_empty(&f->answers));
}

#endif
