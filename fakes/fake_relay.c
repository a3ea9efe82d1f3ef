#include <argtable2.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "web.h"

/**
 * DOC: fake_relay - TCP relay that can cut or silence connections
 *
 * Prints `ready PORT CONTROL_PORT`. `PUT /control?mode=pass|cut|silent|one_way`
 * on the control port: "cut" closes all connections and refuses new ones,
 * "silent" keeps connections open and forwards nothing, "one_way" forwards only
 * what the caller sends. After bytes were discarded the connection stays silent
 * in that direction in any mode, as its stream would be corrupt. With
 * `existing=1` only the connections that are open now become silent, for good;
 * new ones are forwarded. `delay_ms=N` delays every byte by N milliseconds.
 */

enum mode {
	MODE_PASS,
	MODE_CUT,
	MODE_SILENT,
	MODE_ONE_WAY,
	MODE_COUNT,
};

static const char *const mode_names[MODE_COUNT] = {
    [MODE_PASS] = "pass",
    [MODE_CUT] = "cut",
    [MODE_SILENT] = "silent",
    [MODE_ONE_WAY] = "one_way",
};

struct relay {
	struct event_base *base;
	struct evconnlistener *listener; /* NULL while cut */
	unsigned port;
	struct sockaddr_storage target;
	int target_len;
	enum mode mode;
	unsigned delay_ms;
	GList *pairs; /* struct pair */
	uint64_t accepted;
	uint64_t bytes;
};

/* The connections to the caller (0) and to the target (1). */
struct pair {
	struct relay *relay;
	struct bufferevent *side[2];
	bool silent;           /* permanently, in any mode */
	bool drop_from_target; /* permanently discard what the target sends */
};

/* Bytes that are forwarded after the delay. */
struct delayed_bytes {
	struct relay *relay;
	struct pair *pair;
	int to;
	struct evbuffer *bytes;
	struct event *timer;
};

static void
pair_close(struct pair *pair)
{
	struct relay *r = pair->relay;

	r->pairs = g_list_remove(r->pairs, pair);
	bufferevent_free(pair->side[0]);
	bufferevent_free(pair->side[1]);
	g_free(pair);
}

static void
close_all(struct relay *r)
{
	GList *next;

	for (GList *l = r->pairs; l != NULL; l = next) {
		next = l->next;
		pair_close(l->data);
	}
}

static bool
is_silent(const struct pair *pair)
{
	return (pair->silent || pair->relay->mode == MODE_SILENT);
}

static void
deliver_delayed(evutil_socket_t fd, short what, void *arg)
{
	struct delayed_bytes *p = arg;

	(void)fd;
	(void)what;
	/* The pair may have been closed during the delay. */
	if (g_list_find(p->relay->pairs, p->pair) != NULL)
		bufferevent_write_buffer(p->pair->side[p->to], p->bytes);
	evbuffer_free(p->bytes);
	event_free(p->timer);
	g_free(p);
}

static void
deliver_later(struct pair *pair, int to, struct evbuffer *in)
{
	struct delayed_bytes *p = g_new0(struct delayed_bytes, 1);

	p->relay = pair->relay;
	p->pair = pair;
	p->to = to;
	p->bytes = evbuffer_new();
	evbuffer_add_buffer(p->bytes, in);
	p->timer = evtimer_new(pair->relay->base, deliver_delayed, p);
	wb_start_timer(p->timer, (uint64_t)pair->relay->delay_ms * 1000);
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	struct pair *pair = arg;
	int to = bev == pair->side[0] ? 1 : 0;

	pair->silent = is_silent(pair);
	if (pair->relay->mode == MODE_ONE_WAY && to == 0)
		pair->drop_from_target = true;
	if (pair->silent || (pair->drop_from_target && to == 0)) {
		evbuffer_drain(in, evbuffer_get_length(in));
		return;
	}
	pair->relay->bytes += evbuffer_get_length(in);
	if (pair->relay->delay_ms > 0)
		deliver_later(pair, to, in);
	else
		bufferevent_write_buffer(pair->side[to], in);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct pair *pair = arg;

	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	/* A silent connection does not forward the close of one end either. */
	if (is_silent(pair)) {
		bufferevent_disable(bev, EV_READ | EV_WRITE);
		return;
	}
	pair_close(pair);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *sa, int len, void *arg)
{
	struct relay *r = arg;
	struct pair *pair;

	(void)listener;
	(void)sa;
	(void)len;
	r->accepted++;
	pair = g_new0(struct pair, 1);
	pair->relay = r;
	pair->side[0] =
	    bufferevent_socket_new(r->base, fd, BEV_OPT_CLOSE_ON_FREE);
	pair->side[1] =
	    bufferevent_socket_new(r->base, -1, BEV_OPT_CLOSE_ON_FREE);
	r->pairs = g_list_prepend(r->pairs, pair);
	for (int i = 0; i < 2; i++) {
		bufferevent_setcb(pair->side[i], on_read, NULL, on_event, pair);
		bufferevent_enable(pair->side[i], EV_READ | EV_WRITE);
	}
	bufferevent_socket_connect(
	    pair->side[1], (struct sockaddr *)&r->target, r->target_len);
}

static void
listen_on(struct relay *r)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons((uint16_t)r->port);
	r->listener = evconnlistener_new_bind(r->base, on_accept, r,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
	    -1, (struct sockaddr *)&sin, sizeof(sin));
	if (r->listener == NULL) {
		fprintf(stderr, "cannot listen on port %u\n", r->port);
		exit(1);
	}
	getsockname(
	    evconnlistener_get_fd(r->listener), (struct sockaddr *)&sin, &len);
	r->port = ntohs(sin.sin_port);
}

static void
set_mode(struct relay *r, enum mode mode)
{
	r->mode = mode;
	if (mode != MODE_CUT) {
		if (r->listener == NULL)
			listen_on(r);
		return;
	}
	close_all(r);
	if (r->listener != NULL)
		evconnlistener_free(r->listener);
	r->listener = NULL;
}

static void
control_put(struct relay *r, struct evhttp_request *req)
{
	enum mode mode = r->mode;
	const char *text;
	struct wb_query q;

	wb_query_read(&q, req);
	text = wb_query_text(&q, "mode");
	for (int i = 0; text != NULL && i < MODE_COUNT; i++)
		if (strcmp(text, mode_names[i]) == 0)
			mode = (enum mode)i;
	r->delay_ms = (unsigned)wb_query_number(&q, "delay_ms", r->delay_ms);
	if (mode == MODE_SILENT && wb_query_number(&q, "existing", 0) > 0) {
		for (GList *l = r->pairs; l != NULL; l = l->next)
			((struct pair *)l->data)->silent = true;
		mode = MODE_PASS;
	}
	wb_query_release(&q);
	set_mode(r, mode);
}

static void
on_control(struct evhttp_request *req, void *arg)
{
	struct relay *r = arg;

	if (!wb_is_control(req)) {
		wb_reply_json(req, 404, json_pack("{s:s}", "error", "path"));
		return;
	}
	if (evhttp_request_get_command(req) == EVHTTP_REQ_PUT)
		control_put(r, req);
	wb_reply_json(req, 200,
	    json_pack("{s:s, s:i, s:i, s:I, s:I}", "mode", mode_names[r->mode],
		"delay_ms", (int)r->delay_ms, "connections",
		(int)g_list_length(r->pairs), "accepted",
		(json_int_t)r->accepted, "bytes", (json_int_t)r->bytes));
}

static void
run(struct relay *r, unsigned control_port)
{
	unsigned ports[2] = {0, control_port};
	struct evhttp *http;

	r->base = wb_base_new();
	listen_on(r);
	http = wb_listen(r->base, control_port, on_control, r, &ports[1]);
	ports[0] = r->port;
	wb_print_ready(ports, 2);
	wb_run(r->base);
	set_mode(r, MODE_CUT);
	evhttp_free(http);
	event_base_free(r->base);
}

int
main(int argc, char **argv)
{
	struct arg_int *port = arg_int0(NULL, "port", "N", "port, 0 for any");
	struct arg_int *control =
	    arg_int0(NULL, "control-port", "N", "port, 0 for any");
	struct arg_str *target = arg_str1(
	    NULL, "target", "IP:PORT", "address to forward connections to");
	struct arg_end *end = arg_end(4);
	void *table[] = {port, control, target, end};
	struct relay r = {.target_len = sizeof(r.target)};

	port->ival[0] = 0;
	control->ival[0] = 0;
	if (arg_parse(argc, argv, table) != 0 ||
	    evutil_parse_sockaddr_port(target->sval[0],
		(struct sockaddr *)&r.target, &r.target_len) != 0) {
		arg_print_errors(stderr, end, argv[0]);
		return (2);
	}
	r.port = (unsigned)port->ival[0];
	run(&r, (unsigned)control->ival[0]);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return (0);
}
