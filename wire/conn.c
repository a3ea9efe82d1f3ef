#include <sys/socket.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <string.h>

#include "bounds.h"
#include "conn.h"
#include "log.h"
#include "pd.h"

/* Record marking of RFC 5531: length of the fragment in 31 bits; the top bit
 * marks the last fragment of a record. */
#define MARK_BYTES 4
#define MARK_LAST_FRAGMENT 0x80000000U

/* Limit of a record; the largest message is a submission of PD_TASKS_MAX
 * tasks with PD_BODY_MAX bytes each. */
#define RECORD_MAX_BYTES (48U * 1024 * 1024)

/* All agents of a region may reconnect at once. If the backlog is full, TCP
 * repeats the attempt only after 1 s. */
#define LISTEN_BACKLOG 4096

#define ENCODE_INITIAL_BYTES 4096
#define MS_PER_S 1000
#define US_PER_MS 1000

struct pending {
	xdrproc_t xresult;
	size_t result_size;
	cn_reply_fn done;
	void *arg;
	struct event *timer;
	struct cn *conn;
	uint32_t xid;
};

struct cn {
	struct event_base *base;
	struct bufferevent *bev;
	const struct cn_ops *ops;
	void *arg;
	GHashTable *pending; /* xid to struct pending */
	struct bd_conn *bound;
	size_t record_max;
	uint32_t next_xid;
	char peer[64];
	bool open;
	bool in_callback;          /* conn_end() is deferred until it returns */
	bool malformed;            /* close when the callback returns */
	bool close_after_callback; /* close when the callback returns */
	bool close_when_flushed;   /* close once the output is written */
	bool ended;                /* closed() has been called */
	enum cn_error why;
};

struct cn_listener {
	struct evconnlistener *listener;
	struct bd_listener *bounds; /* NULL for none */
	cn_accept_fn accept;
	void *arg;
	unsigned port;
};

static struct cn_stats stats;

const char *
cn_error_name(enum cn_error e)
{
	static const char *const names[] = {
	    [CN_OK] = "ok",
	    [CN_CLOSED] = "closed by peer",
	    [CN_REFUSED] = "connection refused",
	    [CN_IDLE] = "no traffic",
	    [CN_MALFORMED] = "malformed message",
	    [CN_TIMEOUT] = "call timed out",
	    [CN_CLOSED_LOCALLY] = "closed",
	    [CN_REJECTED] = "call rejected",
	    [CN_BAD_ADDRESS] = "bad address",
	};

	return (names[e]);
}

struct cn_stats
cn_stats_get(void)
{
	return (stats);
}

/* evutil_parse_sockaddr_port() refuses port 0, which lets a listener choose a
 * port. */
static bool
parse_address(const char *address, struct sockaddr_in *sin)
{
	char host[INET_ADDRSTRLEN];
	const char *colon;
	guint64 port;

	memset(sin, 0, sizeof(*sin));
	sin->sin_family = AF_INET;
	colon = strrchr(address, ':');
	if (colon == NULL || (size_t)(colon - address) >= sizeof(host))
		return (false);
	memcpy(host, address, (size_t)(colon - address));
	host[colon - address] = '\0';
	if (!g_ascii_string_to_unsigned(
		colon + 1, 10, 0, UINT16_MAX, &port, NULL))
		return (false);
	sin->sin_port = htons((uint16_t)port);
	return (evutil_inet_pton(AF_INET, host, &sin->sin_addr) == 1);
}

bool
cn_is_address(const char *address)
{
	struct sockaddr_in sin;

	return (parse_address(address, &sin) && sin.sin_port != 0);
}

static void
pending_free(struct pending *p)
{
	if (p->timer != NULL)
		event_free(p->timer);
	g_free(p);
}

static void
pending_finish(struct pending *p, enum cn_error error, void *result)
{
	p->done(p->arg, error, result);
	pending_free(p);
}

static void
finish_all_pending(struct cn *c, enum cn_error why)
{
	GHashTableIter it;
	void *value;

	/* A callback cannot add calls, since cn_call() fails at once on a
	 * closed connection; so the loop terminates. */
	for (;;) {
		g_hash_table_iter_init(&it, c->pending);
		if (!g_hash_table_iter_next(&it, NULL, &value))
			break;
		g_hash_table_iter_steal(&it);
		pending_finish(value, why, NULL);
	}
}

static void
conn_free(struct cn *c)
{
	bd_remove(c->bound);
	bufferevent_free(c->bev);
	g_hash_table_destroy(c->pending);
	g_free(c);
}

static void
conn_end(struct cn *c, enum cn_error why)
{
	if (c->ended)
		return;
	if (c->in_callback) {
		c->close_after_callback = true;
		c->why = why;
		return;
	}
	c->ended = true;
	finish_all_pending(c, why);
	if (c->ops != NULL && c->ops->closed != NULL)
		c->ops->closed(c->arg, c, why);
	conn_free(c);
}

/* xdr_void() takes no arguments, so it does not match xdrproc_t. */
static bool_t
xdr_no_value(XDR *xdrs, void *unused)
{
	(void)xdrs;
	(void)unused;
	return (TRUE);
}

/* Encodes the header and the body. Returns a buffer of *len bytes that begins
 * with the record mark, or NULL if they cannot be encoded. */
static char *
encode(struct rpc_msg *msg, bool_t (*xheader)(XDR *, struct rpc_msg *),
    xdrproc_t xbody, const void *body, size_t *len)
{
	size_t size = ENCODE_INITIAL_BYTES;
	uint32_t mark;
	char *buf;
	XDR xdr;
	bool ok;

	buf = g_malloc(size);
	for (;;) {
		xdrmem_create(&xdr, buf + MARK_BYTES,
		    (u_int)(size - MARK_BYTES), XDR_ENCODE);
		ok = xheader(&xdr, msg) &&
		    (xbody == NULL || xbody(&xdr, (void *)(uintptr_t)body, 0));
		if (ok)
			break;
		g_free(buf);
		if (size == MARK_BYTES + RECORD_MAX_BYTES)
			return (NULL);
		size = MIN(size * 4, MARK_BYTES + RECORD_MAX_BYTES);
		buf = g_malloc(size);
	}
	*len = xdr_getpos(&xdr) + MARK_BYTES;
	mark = htonl((uint32_t)(*len - MARK_BYTES) | MARK_LAST_FRAGMENT);
	memcpy(buf, &mark, sizeof(mark));
	return (buf);
}

static void
write_done(const void *data, size_t len, void *arg)
{
	(void)data;
	(void)len;
	g_free(arg);
}

static void
conn_write(struct cn *c, char *buf, size_t len)
{
	stats.sent_messages++;
	stats.sent_bytes += len;
	/* The buffer of a short message is mostly empty. */
	if (len <= ENCODE_INITIAL_BYTES) {
		evbuffer_add(bufferevent_get_output(c->bev), buf, len);
		g_free(buf);
	} else {
		evbuffer_add_reference(
		    bufferevent_get_output(c->bev), buf, len, write_done, buf);
	}
}

static void
call_header(struct rpc_msg *msg, uint32_t xid, uint32_t proc)
{
	memset(msg, 0, sizeof(*msg));
	msg->rm_xid = xid;
	msg->rm_direction = CALL;
	msg->rm_call.cb_rpcvers = RPC_MSG_VERSION;
	msg->rm_call.cb_prog = PD_PROG;
	msg->rm_call.cb_vers = PD_V1;
	msg->rm_call.cb_proc = proc;
	msg->rm_call.cb_cred = _null_auth;
	msg->rm_call.cb_verf = _null_auth;
}

static bool
conn_send_call(struct cn *c, uint32_t xid, uint32_t proc, xdrproc_t xargs,
    const void *args)
{
	struct rpc_msg msg;
	size_t len;
	char *buf;

	call_header(&msg, xid, proc);
	buf = encode(&msg, xdr_callmsg, xargs, args, &len);
	if (buf == NULL) {
		lg_write(LOG_ERR, "conn",
		    "dropping a call of procedure %u that exceeds the limits "
		    "of its message",
		    proc);
		return (false);
	}
	conn_write(c, buf, len);
	return (true);
}

static void
call_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct pending *p = arg;

	(void)fd;
	(void)what;
	g_hash_table_steal(p->conn->pending, GUINT_TO_POINTER(p->xid));
	pending_finish(p, CN_TIMEOUT, NULL);
}

static struct timeval
to_timeval(unsigned ms)
{
	struct timeval tv = {ms / MS_PER_S, (ms % MS_PER_S) * US_PER_MS};

	return (tv);
}

void
cn_call(struct cn *c, uint32_t proc, xdrproc_t xargs, const void *args,
    xdrproc_t xresult, size_t result_size, unsigned timeout_ms,
    cn_reply_fn done, void *arg)
{
	struct pending *p;
	struct timeval tv;

	if (c->ended || c->close_after_callback) {
		done(arg, CN_CLOSED, NULL);
		return;
	}
	p = g_new0(struct pending, 1);
	p->xresult = xresult;
	p->result_size = result_size;
	p->done = done;
	p->arg = arg;
	p->conn = c;
	p->xid = ++c->next_xid;
	if (!conn_send_call(c, p->xid, proc, xargs, args)) {
		pending_finish(p, CN_MALFORMED, NULL);
		return;
	}
	if (timeout_ms > 0) {
		tv = to_timeval(timeout_ms);
		p->timer = evtimer_new(c->base, call_timeout, p);
		evtimer_add(p->timer, &tv);
	}
	g_hash_table_insert(c->pending, GUINT_TO_POINTER(p->xid), p);
}

void
cn_send(struct cn *c, uint32_t proc, xdrproc_t xargs, const void *args)
{
	if (!c->ended && !c->close_after_callback)
		conn_send_call(c, ++c->next_xid, proc, xargs, args);
}

static void
conn_send_reply(struct cn *c, uint32_t xid, enum accept_stat stat,
    xdrproc_t xresult, const void *result)
{
	struct rpc_msg msg;
	size_t len;
	char *buf;

	if (c->ended || c->close_after_callback)
		return;
	memset(&msg, 0, sizeof(msg));
	msg.rm_xid = xid;
	msg.rm_direction = REPLY;
	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_verf = _null_auth;
	msg.acpted_rply.ar_stat = stat;
	/* encode() appends the result, so ar_results is empty. */
	msg.acpted_rply.ar_results.proc = (xdrproc_t)xdr_no_value;
	buf = encode(&msg, xdr_replymsg, xresult, result, &len);
	if (buf != NULL)
		conn_write(c, buf, len);
	else
		lg_write(LOG_ERR, "conn",
		    "dropping a reply that exceeds the limits of its message");
}

void
cn_reply(struct cn *c, uint32_t xid, xdrproc_t xresult, const void *result)
{
	conn_send_reply(c, xid, SUCCESS, xresult, result);
}

void
cn_reject(struct cn *c, uint32_t xid)
{
	conn_send_reply(c, xid, PROC_UNAVAIL, NULL, NULL);
}

int
cn_decode(struct cn *c, XDR *xdr, xdrproc_t xargs, void *args)
{
	if (xargs(xdr, args, 0))
		return (1);
	xdr_free(xargs, args);
	c->malformed = true;
	return (0);
}

static void
handle_reply(struct cn *c, const struct rpc_msg *msg, XDR *xdr)
{
	struct pending *p;
	void *result;

	p = g_hash_table_lookup(c->pending, GUINT_TO_POINTER(msg->rm_xid));
	if (p == NULL)
		return; /* the call has timed out */
	g_hash_table_steal(c->pending, GUINT_TO_POINTER(msg->rm_xid));
	if (msg->rm_reply.rp_stat != MSG_ACCEPTED ||
	    msg->acpted_rply.ar_stat != SUCCESS) {
		pending_finish(p, CN_REJECTED, NULL);
		return;
	}
	result = g_malloc0(p->result_size);
	if (p->xresult(xdr, result, 0)) {
		xdrproc_t xresult = p->xresult;

		pending_finish(p, CN_OK, result);
		xdr_free(xresult, result);
	} else {
		xdr_free(p->xresult, result);
		c->malformed = true;
		pending_finish(p, CN_MALFORMED, NULL);
	}
	g_free(result);
}

static void
handle_call(struct cn *c, const struct rpc_msg *msg, XDR *xdr)
{
	const struct call_body *call = &msg->rm_call;

	if (call->cb_rpcvers != RPC_MSG_VERSION || call->cb_prog != PD_PROG ||
	    call->cb_vers != PD_V1)
		c->malformed = true;
	else if (c->ops != NULL && c->ops->call == NULL)
		cn_reject(c, msg->rm_xid);
	else if (c->ops != NULL)
		c->ops->call(c->arg, c, call->cb_proc, msg->rm_xid, xdr);
}

/* Reads the direction from the bytes of the record first, since xdr_callmsg()
 * and xdr_replymsg() each accept only their own. */
static void
handle_record(struct cn *c, char *data, uint32_t len)
{
	char cred[MAX_AUTH_BYTES], verf[MAX_AUTH_BYTES];
	struct rpc_msg msg;
	uint32_t direction;
	bool_t ok;
	XDR xdr;

	if (len < 2 * sizeof(uint32_t)) {
		c->malformed = true;
		return;
	}
	memcpy(&direction, data + sizeof(uint32_t), sizeof(direction));
	direction = ntohl(direction);
	memset(&msg, 0, sizeof(msg));
	xdrmem_create(&xdr, data, len, XDR_DECODE);
	if (direction == CALL) {
		msg.rm_call.cb_cred.oa_base = cred;
		msg.rm_call.cb_verf.oa_base = verf;
		ok = xdr_callmsg(&xdr, &msg);
	} else {
		msg.acpted_rply.ar_verf.oa_base = verf;
		msg.acpted_rply.ar_results.proc = (xdrproc_t)xdr_no_value;
		ok = xdr_replymsg(&xdr, &msg);
	}
	if (!ok)
		c->malformed = true;
	else if (direction == CALL)
		handle_call(c, &msg, &xdr);
	else
		handle_reply(c, &msg, &xdr);
}

/* Handles one record; returns false if none is complete or the connection has
 * to be closed. */
static bool
read_record(struct cn *c, struct evbuffer *in)
{
	unsigned char *data;
	uint32_t mark, len;

	if (evbuffer_copyout(in, &mark, MARK_BYTES) < MARK_BYTES)
		return (false);
	mark = ntohl(mark);
	len = mark & ~MARK_LAST_FRAGMENT;
	/* The other end always sends a record as one fragment. */
	if ((mark & MARK_LAST_FRAGMENT) == 0 || len > c->record_max) {
		c->malformed = true;
		return (false);
	}
	if (evbuffer_get_length(in) < MARK_BYTES + len)
		return (false);
	data = evbuffer_pullup(in, (ev_ssize_t)(MARK_BYTES + len));
	stats.received_messages++;
	stats.received_bytes += MARK_BYTES + len;
	handle_record(c, (char *)data + MARK_BYTES, len);
	evbuffer_drain(in, MARK_BYTES + len);
	return (!c->malformed && !c->close_after_callback);
}

static void
conn_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	struct cn *c = arg;

	c->in_callback = true;
	while (read_record(c, in))
		continue;
	c->in_callback = false;
	if (c->malformed) {
		stats.malformed++;
		conn_end(c, CN_MALFORMED);
	} else if (c->close_after_callback)
		conn_end(c, c->why);
}

static void
conn_written(struct bufferevent *bev, void *arg)
{
	struct cn *c = arg;

	(void)bev;
	if (c->close_when_flushed)
		conn_end(c, CN_CLOSED_LOCALLY);
}

static void
conn_event(struct bufferevent *bev, short what, void *arg)
{
	struct cn *c = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		c->open = true;
		c->in_callback = true;
		if (c->ops->opened != NULL)
			c->ops->opened(c->arg, c);
		c->in_callback = false;
		if (c->close_after_callback)
			conn_end(c, c->why);
	} else if (what & BEV_EVENT_TIMEOUT)
		conn_end(c, CN_IDLE);
	else
		conn_end(c, c->open ? CN_CLOSED : CN_REFUSED);
}

static struct cn *
conn_new(struct event_base *base, evutil_socket_t fd)
{
	struct cn *c;

	c = g_new0(struct cn, 1);
	c->base = base;
	c->record_max = RECORD_MAX_BYTES;
	c->bev = bufferevent_socket_new(
	    base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	c->pending = g_hash_table_new(NULL, NULL);
	bufferevent_setcb(c->bev, conn_read, conn_written, conn_event, c);
	return (c);
}

static void
set_nodelay(evutil_socket_t fd)
{
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

struct cn *
cn_connect(struct event_base *base, const char *address,
    const struct cn_ops *ops, void *arg, enum cn_error *error)
{
	struct sockaddr_in sin;
	struct cn *c;

	if (!parse_address(address, &sin)) {
		*error = CN_BAD_ADDRESS;
		return (NULL);
	}
	c = conn_new(base, -1);
	g_strlcpy(c->peer, address, sizeof(c->peer));
	cn_set_ops(c, ops, arg);
	if (bufferevent_socket_connect(
		c->bev, (struct sockaddr *)&sin, sizeof(sin)) != 0) {
		/* The caller has no connection yet: closed() is not called. */
		conn_free(c);
		*error = CN_REFUSED;
		return (NULL);
	}
	set_nodelay(bufferevent_getfd(c->bev));
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	*error = CN_OK;
	return (c);
}

static void
listener_accept(struct evconnlistener *el, evutil_socket_t fd,
    struct sockaddr *sa, int len, void *arg)
{
	struct cn_listener *l = arg;
	char host[INET_ADDRSTRLEN] = "?";
	struct sockaddr_in sin;
	struct cn *c;

	if (l->bounds != NULL && !bd_admit(l->bounds, fd)) {
		evutil_closesocket(fd);
		return;
	}
	c = conn_new(evconnlistener_get_base(el), fd);
	if (l->bounds != NULL) {
		c->bound = bd_add(l->bounds, c->bev);
		c->record_max =
		    MIN(RECORD_MAX_BYTES, bd_message_max(l->bounds));
	}
	set_nodelay(fd);
	if (sa->sa_family == AF_INET && len >= (int)sizeof(sin)) {
		memcpy(&sin, sa, sizeof(sin));
		evutil_inet_ntop(AF_INET, &sin.sin_addr, host, sizeof(host));
		g_snprintf(c->peer, sizeof(c->peer), "%s:%u", host,
		    ntohs(sin.sin_port));
	}
	c->open = true;
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	l->accept(l->arg, c);
}

struct cn_listener *
cn_listen(struct event_base *base, const char *address, cn_accept_fn accept,
    void *arg, enum cn_error *error)
{
	struct sockaddr_in sin;
	struct cn_listener *l;
	socklen_t sin_len = sizeof(sin);

	*error = CN_BAD_ADDRESS;
	if (!parse_address(address, &sin))
		return (NULL);
	l = g_new0(struct cn_listener, 1);
	l->accept = accept;
	l->arg = arg;
	l->listener = evconnlistener_new_bind(base, listener_accept, l,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
	    LISTEN_BACKLOG, (struct sockaddr *)&sin, sizeof(sin));
	if (l->listener == NULL) {
		g_free(l);
		return (NULL);
	}
	if (getsockname(evconnlistener_get_fd(l->listener),
		(struct sockaddr *)&sin, &sin_len) == 0)
		l->port = ntohs(sin.sin_port);
	*error = CN_OK;
	return (l);
}

unsigned
cn_listener_port(const struct cn_listener *l)
{
	return (l->port);
}

void
cn_listener_set_bounds(struct cn_listener *l, struct bd *bounds,
    const char *name, unsigned share_permille)
{
	l->bounds = bd_rpc(bounds, name, l->listener, share_permille);
}

void
cn_listener_free(struct cn_listener *l)
{
	if (l == NULL)
		return;
	evconnlistener_free(l->listener);
	g_free(l);
}

void
cn_set_ops(struct cn *c, const struct cn_ops *ops, void *arg)
{
	c->ops = ops;
	c->arg = arg;
}

void *
cn_arg(const struct cn *c)
{
	return (c->arg);
}

void
cn_set_idle(struct cn *c, unsigned ms)
{
	struct timeval tv = to_timeval(ms);

	bufferevent_set_timeouts(c->bev, ms > 0 ? &tv : NULL, NULL);
}

const char *
cn_peer(const struct cn *c)
{
	return (c->peer);
}

void
cn_close(struct cn *c)
{
	conn_end(c, CN_CLOSED_LOCALLY);
}

void
cn_close_flushed(struct cn *c)
{
	if (cn_buffered(c) == 0)
		cn_close(c);
	else
		c->close_when_flushed = true;
}

size_t
cn_buffered(const struct cn *c)
{
	return (evbuffer_get_length(bufferevent_get_output(c->bev)));
}
