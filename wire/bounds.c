#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <glib.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "bounds_impl.h"
#include "clock.h"
#include "counters.h"
#include "log.h"

#define CHECK_MS 50
/* Period while connections are closed to accept others. */
#define CHECK_SOON_MS 1
#define US_PER_MS 1000
#define MS_PER_S 1000
#define PERMILLE 1000
/* Accepted beyond the limit before accepting pauses until others are closed. */
#define ACCEPT_MARGIN 16
/* Structures of libevent and of this program for a connection. */
#define CONN_BYTES 4096
/* Allocations for each part of a request that is parsed, such as a header. */
#define PART_BYTES 128
/* The kernel doubles these sizes, for its own structures. */
#define HTTP_RECEIVE_BYTES 32768
#define HTTP_SEND_BYTES 32768
#define RPC_RECEIVE_BYTES 65536
#define RPC_SEND_BYTES 65536
/* Connections that hold less are not paused: most requests are shorter. */
#define HTTP_PAUSE_BYTES (CONN_BYTES + 4096)
/* Reports of agents, which free memory, are shorter. */
#define RPC_PAUSE_BYTES 65536
/* Unread replies of an RPC connection at which it is paused. The largest reply,
 * a configuration, may be longer; it is paused until that is sent. */
#define RPC_UNREAD_MAX (1024 * 1024)
/* Agents and entries send at least every 300 ms. */
#define RPC_QUIET_MS 500

enum limit {
	L_CONNECTIONS,
	L_READ_AHEAD,
	L_PAUSED,
	L_MEMORY,
	L_REQUEST,
	L_MAX,
};

static const char *const limit_names[L_MAX] = {
    [L_CONNECTIONS] = "connections",
    [L_READ_AHEAD] = "read_ahead_bytes",
    [L_PAUSED] = "memory_bytes_paused",
    [L_MEMORY] = "memory_bytes",
    [L_REQUEST] = "request_ms",
};

/* What differs between HTTP and RPC connections. */
struct kind {
	unsigned quiet_ms; /* a connection is idle after this time */
	size_t pause_bytes;
	size_t unread_max;
	int receive_bytes; /* buffers of the kernel */
	int send_bytes;
	/* Parsed bytes are kept until the response. */
	bool keeps_parsed;
};

static const struct kind http_kind = {
    .pause_bytes = HTTP_PAUSE_BYTES,
    .unread_max = SIZE_MAX,
    .receive_bytes = HTTP_RECEIVE_BYTES,
    .send_bytes = HTTP_SEND_BYTES,
    .keeps_parsed = true,
};

static const struct kind rpc_kind = {
    .quiet_ms = RPC_QUIET_MS,
    .pause_bytes = RPC_PAUSE_BYTES,
    .unread_max = RPC_UNREAD_MAX,
    .receive_bytes = RPC_RECEIVE_BYTES,
    .send_bytes = RPC_SEND_BYTES,
};

struct bd_listener {
	struct bd *bounds;
	const struct kind *kind;
	const char *name;
	struct evhttp *http;             /* NULL for RPC */
	struct evconnlistener *listener; /* NULL for HTTP */
	unsigned max;
	bool accept_paused;
	GQueue conns; /* struct bd_conn, oldest first */
	struct ct_metric *counters[L_MAX];
};

struct bd_conn {
	struct bd_listener *listener;
	struct bufferevent *bev; /* has a reference */
	struct evbuffer_cb_entry *input_cb;
	struct evbuffer_cb_entry *output_cb;
	GList *link; /* in the list of its listener */
	struct bd_view view;
	size_t parsed; /* bytes of the request that are parsed */
	size_t buffered;
	bool rejected; /* close once its socket is known */
	bool paused;
};

struct bd {
	struct event_base *base;
	const struct ck *clock;
	struct ct *counters;
	struct bd_limits limits;
	GPtrArray *listeners; /* owned */
	struct event *check;
	struct ev_token_bucket_cfg *pause;
	/* Time in which the process ran, so that a process that was stopped
	 * does not take its clients for slow. */
	uint64_t now_ms;
	uint64_t checked_ms; /* by the clock */
	size_t buffered;     /* by all connections */
	size_t jobs_bytes;
	bool paused;     /* those that hold much */
	bool all_paused; /* all of HTTP, until memory is free again */
	uint64_t paused_since_ms;
	uint64_t logged_ms[L_MAX];
};

static void run_check(evutil_socket_t fd, short what, void *arg);

bool
bd_limits_read(
    const char *program, const struct bd_settings *s, struct bd_limits *out)
{
	struct rlimit files = {0};
	const char *fault;

	getrlimit(RLIMIT_NOFILE, &files);
	/* The soft limit is often 1,024 where the host allows more. */
	if (s->descriptors > 0 && files.rlim_cur < (rlim_t)s->descriptors) {
		files.rlim_cur = MIN((rlim_t)s->descriptors, files.rlim_max);
		setrlimit(RLIMIT_NOFILE, &files);
		getrlimit(RLIMIT_NOFILE, &files);
	}
	fault = bd_limits_derive(s, files.rlim_cur, out);
	if (fault != NULL)
		fprintf(stderr, "%s: %s\n", program, fault);
	return (fault == NULL);
}

/* --- logs and counters --- */

static void
name_peer(evutil_socket_t fd, char *text, size_t size)
{
	char host[INET_ADDRSTRLEN] = "?";
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);

	if (getpeername(fd, (struct sockaddr *)&sin, &len) == 0 &&
	    sin.sin_family == AF_INET)
		evutil_inet_ntop(AF_INET, &sin.sin_addr, host, sizeof(host));
	g_snprintf(text, size, "%s:%u", host, ntohs(sin.sin_port));
}

static void
report(struct bd_listener *l, enum limit limit, evutil_socket_t fd)
{
	struct bd *b = l->bounds;
	char labels[128], peer[64];

	if (l->counters[limit] == NULL) {
		g_snprintf(labels, sizeof(labels),
		    "listener=\"%s\",limit=\"%s\"", l->name,
		    limit_names[limit]);
		l->counters[limit] = ct_get(b->counters, CT_COUNTER,
		    "pd_bounds_total", "Connections that met a limit", labels);
	}
	ct_add(l->counters[limit], 1);
	if (b->logged_ms[limit] != 0 &&
	    b->now_ms - b->logged_ms[limit] < MS_PER_S)
		return;
	b->logged_ms[limit] = b->now_ms;
	name_peer(fd, peer, sizeof(peer));
	lg_write(LOG_WARNING, "bounds", "%s of listener %s: %s %s",
	    limit_names[limit], l->name,
	    limit == L_READ_AHEAD || limit == L_PAUSED ? "pausing" : "closing",
	    peer);
}

/* --- connections --- */

static void
check_within(struct bd *b, unsigned ms)
{
	struct timeval tv = {0, ms * US_PER_MS};

	event_add(b->check, &tv);
}

static void
check_now(struct bd *b)
{
	event_active(b->check, EV_TIMEOUT, 0);
}

/* Whether evhttp has freed a connection: the bufferevent, which a reference
 * keeps, then has no callbacks. It has none either before evhttp has it. */
static bool
is_freed(const struct bd_conn *c)
{
	bufferevent_event_cb event_cb = NULL;

	bufferevent_getcb(c->bev, NULL, NULL, &event_cb, NULL);
	return (event_cb == NULL);
}

/* Unlike bufferevent_disable(), a rate limit does not interfere with evhttp,
 * which enables and disables reading itself. A high watermark would: libevent
 * 2.1 then calls the reader again and again while a request is incomplete. */
static void
set_paused(struct bd_conn *c, bool paused)
{
	if (c->paused == paused)
		return;
	c->paused = paused;
	bufferevent_set_rate_limit(
	    c->bev, paused ? c->listener->bounds->pause : NULL);
}

/* Pauses a connection that is beyond its own bounds or holds much while memory
 * is short, and resumes others. */
static void
update_pause(struct bd_conn *c)
{
	const struct bd_listener *l = c->listener;
	const struct bd *b = l->bounds;
	bool ahead = l->kind->keeps_parsed &&
	    evbuffer_get_length(bufferevent_get_input(c->bev)) >=
		b->limits.read_ahead_bytes;
	bool paused = ahead || (b->all_paused && l->http != NULL) ||
	    (b->paused && c->buffered > l->kind->pause_bytes) ||
	    evbuffer_get_length(bufferevent_get_output(c->bev)) >
		l->kind->unread_max;

	if (c->view.closing || (l->http != NULL && is_freed(c)))
		return;
	if (paused && !c->paused)
		report(c->listener, ahead ? L_READ_AHEAD : L_PAUSED,
		    bufferevent_getfd(c->bev));
	set_paused(c, paused);
}

/* Closes a connection at once, without the bytes that are not sent. Its owner
 * finds it at its end, or fails to write. */
static void
close_conn(struct bd_conn *c, enum limit limit)
{
	static const struct linger discard = {.l_onoff = 1};
	evutil_socket_t fd = bufferevent_getfd(c->bev);

	report(c->listener, limit, fd);
	c->view.closing = true;
	set_paused(c, false);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
	shutdown(fd, SHUT_RDWR);
}

static void
update_pauses(struct bd_listener *l)
{
	GList *i;

	for (i = l->conns.head; i != NULL; i = i->next)
		update_pause(i->data);
}

static bool
exceeds_memory(const struct bd *b)
{
	return (b->buffered + b->jobs_bytes > b->limits.memory_bytes);
}

/* Many sockets may be readable at once, and each handler reads and parses some
 * kilobytes before the check runs, so this does not wait for it. */
static void
pause_all(struct bd *b)
{
	guint n;

	b->all_paused = true;
	for (n = 0; n < b->listeners->len; n++)
		update_pauses(b->listeners->pdata[n]);
	check_now(b);
}

static void
update_held(struct bd_conn *c)
{
	struct bd *b = c->listener->bounds;
	size_t before = c->buffered;

	c->buffered = CONN_BYTES + c->parsed +
	    evbuffer_get_length(bufferevent_get_input(c->bev)) +
	    evbuffer_get_length(bufferevent_get_output(c->bev));
	b->buffered = b->buffered - before + c->buffered;
	update_pause(c);
	if (c->buffered > before && !b->all_paused && exceeds_memory(b))
		pause_all(b);
}

static void
on_input(struct evbuffer *input, const struct evbuffer_cb_info *info, void *arg)
{
	struct bd_conn *c = arg;
	struct bd_listener *l = c->listener;
	size_t len = evbuffer_get_length(input);

	if (info->n_added > 0) {
		c->view.last_ms = l->bounds->now_ms;
		if (c->view.request_ms == 0)
			c->view.request_ms = l->bounds->now_ms;
	}
	if (info->n_deleted > 0 && l->kind->keeps_parsed)
		c->parsed += info->n_deleted + PART_BYTES;
	else if (info->n_deleted > 0)
		c->view.request_ms = len > 0 ? l->bounds->now_ms : 0;
	update_held(c);
}

static void
on_output(
    struct evbuffer *output, const struct evbuffer_cb_info *info, void *arg)
{
	struct bd_conn *c = arg;
	const struct kind *kind = c->listener->kind;
	uint64_t now = c->listener->bounds->now_ms;

	if (info->n_added > 0 && kind->keeps_parsed) {
		c->parsed = 0;
		c->view.request_ms =
		    evbuffer_get_length(bufferevent_get_input(c->bev)) > 0 ? now
									   : 0;
	}
	if (info->n_added > 0 && c->view.unread_ms == 0)
		c->view.unread_ms = now;
	if (info->n_deleted > 0) {
		c->view.last_ms = now;
		c->view.unread_ms = evbuffer_get_length(output) > 0 ? now : 0;
		/* The next request is parsed from now on. */
		if (c->view.request_ms != 0)
			c->view.request_ms = now;
	}
	update_held(c);
}

struct bd_conn *
bd_add(struct bd_listener *l, struct bufferevent *bev)
{
	struct bd_conn *c = g_slice_new0(struct bd_conn);

	c->listener = l;
	c->bev = bev;
	c->view.last_ms = l->bounds->now_ms;
	bufferevent_incref(bev);
	c->input_cb = evbuffer_add_cb(bufferevent_get_input(bev), on_input, c);
	c->output_cb =
	    evbuffer_add_cb(bufferevent_get_output(bev), on_output, c);
	g_queue_push_tail(&l->conns, c);
	c->link = l->conns.tail;
	if (l->http != NULL && l->bounds->all_paused)
		set_paused(c, true);
	update_held(c);
	return (c);
}

void
bd_remove(struct bd_conn *c)
{
	if (c == NULL)
		return;
	evbuffer_remove_cb_entry(bufferevent_get_input(c->bev), c->input_cb);
	evbuffer_remove_cb_entry(bufferevent_get_output(c->bev), c->output_cb);
	c->listener->bounds->buffered -= c->buffered;
	g_queue_delete_link(&c->listener->conns, c->link);
	if (c->listener->http != NULL)
		bufferevent_disable(c->bev, EV_READ | EV_WRITE);
	bufferevent_decref(c->bev);
	g_slice_free(struct bd_conn, c);
}

static void
remove_freed(struct bd_listener *l)
{
	GList *i, *next;

	for (i = l->conns.head; l->http != NULL && i != NULL; i = next) {
		next = i->next;
		if (is_freed(i->data))
			bd_remove(i->data);
	}
}

/* --- limit of connections --- */

static void
store_listener(struct evhttp_bound_socket *bound, void *arg)
{
	struct evconnlistener **listener = arg;

	*listener = evhttp_bound_socket_get_listener(bound);
}

/* Return: NULL if the server does not accept connections any more. */
static struct evconnlistener *
listener_of(struct bd_listener *l)
{
	struct evconnlistener *listener = l->listener;

	if (l->http != NULL)
		evhttp_foreach_bound_socket(l->http, store_listener, &listener);
	return (listener);
}

static void
set_accept_paused(struct bd_listener *l, bool paused)
{
	struct evconnlistener *listener = listener_of(l);

	if (l->accept_paused == paused || listener == NULL)
		return;
	l->accept_paused = paused;
	if (paused)
		evconnlistener_disable(listener);
	else
		evconnlistener_enable(listener);
}

/* Return: connection to close for a new one, NULL if there is none. */
static struct bd_conn *
choose_victim(struct bd_listener *l)
{
	uint64_t now = l->bounds->now_ms;
	struct bd_conn *found = NULL, *c;
	GList *i;

	for (i = l->conns.head; i != NULL; i = i->next) {
		c = i->data;
		if (!c->rejected &&
		    (bd_is_idle(&c->view, now, l->kind->quiet_ms) ||
			bd_is_slow(&c->view, now)) &&
		    (found == NULL ||
			bd_precedes_victim(&c->view, &found->view)))
			found = c;
	}
	return (found);
}

/* Makes room for one more connection, or pauses accepting until there is. */
static bool
make_room(struct bd_listener *l)
{
	struct bd_conn *victim;

	if (l->conns.length < l->max)
		return (true);
	remove_freed(l);
	if (l->conns.length < l->max)
		return (true);
	victim = choose_victim(l);
	if (victim != NULL)
		close_conn(victim, L_CONNECTIONS);
	if (l->conns.length >= l->max + ACCEPT_MARGIN)
		set_accept_paused(l, true);
	check_within(l->bounds, CHECK_SOON_MS);
	return (victim != NULL);
}

bool
bd_admit(struct bd_listener *l, evutil_socket_t fd)
{
	if (make_room(l))
		return (true);
	report(l, L_CONNECTIONS, fd);
	return (false);
}

/* evhttp has no socket for the connection yet, and none can be refused. */
static struct bufferevent *
new_http_conn(struct event_base *base, void *arg)
{
	struct bd_listener *l = arg;
	bool admitted = make_room(l);
	/* evhttp leaves the socket open then, until the last reference ends. */
	struct bufferevent *bev =
	    bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);

	bd_add(l, bev)->rejected = !admitted;
	return (bev);
}

/* --- the check --- */

/* Bytes in the kernel, which only grow while this process does not read, or the
 * peer does not. */
static size_t
kernel_bytes(const struct bd_conn *c)
{
	evutil_socket_t fd = bufferevent_getfd(c->bev);
	int received = 0, unsent = 0;

	if (!c->paused && c->view.unread_ms == 0)
		return (0);
	if (ioctl(fd, FIONREAD, &received) != 0 ||
	    ioctl(fd, SIOCOUTQ, &unsent) != 0)
		return (0);
	return ((size_t)received + (size_t)unsent);
}

static void
check_conn(struct bd_conn *c)
{
	struct bd_listener *l = c->listener;
	struct bd *b = l->bounds;

	c->view.held = c->buffered + kernel_bytes(c);
	c->view.handled = c->view.request_ms != 0 && l->kind->keeps_parsed &&
	    (bufferevent_get_enabled(c->bev) & EV_READ) == 0;
	if (c->view.closing)
		return;
	if (c->rejected)
		close_conn(c, L_CONNECTIONS);
	else if (bd_is_overdue(&c->view, b->now_ms, b->limits.request_ms))
		close_conn(c, L_REQUEST);
}

static void
check_listener(struct bd_listener *l)
{
	GList *i;

	remove_freed(l);
	for (i = l->conns.head; i != NULL; i = i->next)
		check_conn(i->data);
	if (l->conns.length < l->max + ACCEPT_MARGIN)
		set_accept_paused(l, false);
}

static size_t
held_by_all(const struct bd *b)
{
	size_t held = b->jobs_bytes;
	guint n;
	GList *i;

	for (n = 0; n < b->listeners->len; n++) {
		struct bd_listener *l = b->listeners->pdata[n];

		for (i = l->conns.head; i != NULL; i = i->next) {
			const struct bd_conn *c = i->data;

			held += c->view.closing ? 0 : c->view.held;
		}
	}
	return (held);
}

static gint
compare_large(gconstpointer a, gconstpointer b)
{
	const struct bd_conn *x = *(struct bd_conn *const *)a;
	const struct bd_conn *y = *(struct bd_conn *const *)b;

	return (bd_precedes_large(&x->view, &y->view)   ? -1
		: bd_precedes_large(&y->view, &x->view) ? 1
							: 0);
}

static void
close_largest(struct bd *b, size_t held)
{
	g_autoptr(GPtrArray) list = g_ptr_array_new();
	guint n;
	GList *i;

	for (n = 0; n < b->listeners->len; n++) {
		struct bd_listener *l = b->listeners->pdata[n];

		for (i = l->conns.head; i != NULL; i = i->next)
			if (!((struct bd_conn *)i->data)->view.closing)
				g_ptr_array_add(list, i->data);
	}
	g_ptr_array_sort(list, compare_large);
	for (n = 0;
	     n < list->len && held > bd_memory_goal(b->limits.memory_bytes);
	     n++) {
		struct bd_conn *c = list->pdata[n];

		held -= c->view.held;
		close_conn(c, L_MEMORY);
	}
}

static void
check_memory(struct bd *b)
{
	size_t held = held_by_all(b);
	enum bd_action action = bd_memory_action(b->paused,
	    b->now_ms - b->paused_since_ms, held, b->limits.memory_bytes);

	if (action == BD_CLOSE)
		close_largest(b, held);
	if (action != BD_RUN && !b->paused)
		b->paused_since_ms = b->now_ms;
	b->paused = action != BD_RUN;
	/* Counts connections that are closed until their memory is free. */
	b->all_paused = exceeds_memory(b);
}

static void
run_check(evutil_socket_t fd, short what, void *arg)
{
	struct bd *b = arg;
	uint64_t now = ck_mono_ms(b->clock);
	bool soon;
	guint n;

	(void)fd;
	(void)what;
	b->now_ms += MIN(now - b->checked_ms, 2 * CHECK_MS);
	b->checked_ms = now;
	for (n = 0; n < b->listeners->len; n++)
		check_listener(b->listeners->pdata[n]);
	check_memory(b);
	soon = b->all_paused;
	for (n = 0; n < b->listeners->len; n++) {
		struct bd_listener *l = b->listeners->pdata[n];

		update_pauses(l);
		soon = soon || l->conns.length > l->max;
	}
	check_within(b, soon ? CHECK_SOON_MS : CHECK_MS);
}

/* --- set-up --- */

struct bd *
bd_new(struct event_base *base, const struct ck *clock, struct ct *counters,
    const struct bd_limits *limits)
{
	static const struct timeval tick = {1, 0};
	struct bd *b = g_new0(struct bd, 1);

	b->base = base;
	b->clock = clock;
	b->counters = counters;
	b->limits = *limits;
	b->listeners = g_ptr_array_new_with_free_func(g_free);
	/* One byte a second: the least that libevent can limit reading to. */
	b->pause = ev_token_bucket_cfg_new(
	    1, 1, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick);
	b->check = evtimer_new(base, run_check, b);
	/* 0 stands for "none" in struct bd_view. */
	b->now_ms = 1;
	b->checked_ms = ck_mono_ms(clock);
	check_within(b, CHECK_MS);
	return (b);
}

void
bd_free(struct bd *b)
{
	guint n;

	if (b == NULL)
		return;
	for (n = 0; n < b->listeners->len; n++) {
		struct bd_listener *l = b->listeners->pdata[n];

		while (l->conns.head != NULL)
			bd_remove(l->conns.head->data);
	}
	g_ptr_array_free(b->listeners, TRUE);
	event_free(b->check);
	ev_token_bucket_cfg_free(b->pause);
	g_free(b);
}

size_t
bd_jobs_bytes_max(const struct bd *b)
{
	return (b->limits.memory_bytes / 2);
}

void
bd_set_jobs_bytes(struct bd *b, size_t bytes)
{
	b->jobs_bytes = bytes;
}

size_t
bd_message_max(const struct bd_listener *l)
{
	return (l->bounds->limits.memory_bytes / 4);
}

static struct bd_listener *
add_listener(struct bd *b, const char *name, const struct kind *kind,
    unsigned share_permille)
{
	struct bd_listener *l = g_new0(struct bd_listener, 1);

	l->bounds = b;
	l->kind = kind;
	l->name = name;
	l->max = b->limits.connections_each > 0
	    ? b->limits.connections_each
	    : b->limits.connections * share_permille / PERMILLE;
	g_queue_init(&l->conns);
	g_ptr_array_add(b->listeners, l);
	return (l);
}

/* Accepted connections inherit the sizes. */
static void
set_kernel_buffers(struct bd_listener *l)
{
	struct evconnlistener *listener = listener_of(l);
	const struct kind *k = l->kind;
	evutil_socket_t fd;

	if (listener == NULL)
		return;
	fd = evconnlistener_get_fd(listener);
	if (setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &k->receive_bytes,
		sizeof(k->receive_bytes)) != 0 ||
	    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &k->send_bytes,
		sizeof(k->send_bytes)) != 0)
		lg_write(LOG_WARNING, "bounds",
		    "cannot bound the kernel's buffers of listener %s",
		    l->name);
}

void
bd_http(struct bd *b, const char *name, struct evhttp *http,
    unsigned share_permille)
{
	struct bd_listener *l =
	    add_listener(b, name, &http_kind, share_permille);

	l->http = http;
	set_kernel_buffers(l);
	evhttp_set_bevcb(http, new_http_conn, l);
}

struct bd_listener *
bd_rpc(struct bd *b, const char *name, struct evconnlistener *listener,
    unsigned share_permille)
{
	struct bd_listener *l =
	    add_listener(b, name, &rpc_kind, share_permille);

	l->listener = listener;
	set_kernel_buffers(l);
	return (l);
}
