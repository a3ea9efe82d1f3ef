#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "batch.h"
#include "conn.h"
#include "counters.h"
#include "forward.h"
#include "kernel.h"
#include "log.h"
#include "member.h"
#include "options.h"
#include "peers.h"
#include "pool.h"
#include "sessions.h"
#include "takeover.h"

#define RESOLVE_TIMEOUT_MS 1000
#define FENCE_TIMEOUT_MS 1000
/* Bytes of a key and of a grant without its body, all strings at their
 * greatest length, each with its length word. */
#define KEY_BYTES (PD_ID_MAX + 4 + 8 + 2 * 4)
#define GRANT_BYTES (KEY_BYTES + 2 * 8 + 4 * 4 + PD_NAME_MAX + 4 + 4 + 4)
/* A batch of this size is sent before the end of the loop pass. */
#define BATCH_BYTES (1024 * 1024)

struct session {
	struct ss *sessions;
	struct cn *conn;
	char *name;     /* NULL until HELLO */
	dp_agent agent; /* PL_NONE until HELLO */
	struct pd_heartbeat last;
	struct ba grants;
	struct ba cancels;
	bool dirty; /* in the list of sessions to flush */
};

struct ss {
	struct kn *kernel;
	struct cn_listener *listener;
	struct event *flush;
	GHashTable *all;         /* struct session, owned */
	struct session *opening; /* inside dp_agent_up() */
	GHashTable *agents;      /* dp_agent to struct session */
	GPtrArray *dirty;        /* struct session */
	struct ct_metric *hellos;
	struct ct_metric *unverified;
	struct ct_metric *resolves;
};

/* Answer to a RESOLVE or FENCE. The session may have ended meanwhile. */
struct asked {
	struct ss *sessions;
	dp_agent agent;
	struct pd_fence fence;
};

static struct dp *
dispatch(struct ss *s)
{
	return (kn_find(s->kernel, "dispatch"));
}

static struct tk *
takeover(struct ss *s)
{
	return (kn_find(s->kernel, "takeover"));
}

static struct session *
find(const struct ss *s, dp_agent agent)
{
	struct session *n =
	    g_hash_table_lookup(s->agents, GSIZE_TO_POINTER(agent));

	/* dp_agent_up() may grant before it has returned the handle. */
	return (n != NULL ? n : s->opening);
}

/* The agent's part of the session has ended; the connection may go on. */
static void
agent_gone(struct session *n)
{
	struct ss *s = n->sessions;

	if (n->agent == PL_NONE)
		return;
	g_hash_table_remove(s->agents, GSIZE_TO_POINTER(n->agent));
	dp_agent_down(dispatch(s), n->agent);
	tk_agent_down(takeover(s), n->agent);
	n->agent = PL_NONE;
}

static void
session_free(void *item)
{
	struct session *n = item;

	g_ptr_array_remove_fast(n->sessions->dirty, n);
	ba_release(&n->grants);
	ba_release(&n->cancels);
	g_free(n->name);
	g_free(n);
}

static void
session_closed(void *arg, struct cn *c, enum cn_error why)
{
	struct session *n = arg;
	struct ss *s = n->sessions;

	if (n->name != NULL)
		lg_write(LOG_NOTICE, "sessions", "agent %s is gone: %s",
		    n->name, cn_error_name(why));
	fw_conn_closed(kn_find(s->kernel, "forward"), c);
	agent_gone(n);
	g_hash_table_remove(s->all, n);
}

static void
flush_session(struct session *n)
{
	if (n->grants.count > 0)
		cn_send(n->conn, PD_GRANT, (xdrproc_t)xdr_ba, &n->grants);
	if (n->cancels.count > 0)
		cn_send(n->conn, PD_CANCEL, (xdrproc_t)xdr_ba, &n->cancels);
	ba_reset(&n->grants);
	ba_reset(&n->cancels);
}

static void
flush_all(evutil_socket_t fd, short what, void *arg)
{
	struct session *n;
	struct ss *s = arg;
	guint i;

	(void)fd;
	(void)what;
	for (i = 0; i < s->dirty->len; i++) {
		n = g_ptr_array_index(s->dirty, i);
		n->dirty = false;
		flush_session(n);
	}
	g_ptr_array_set_size(s->dirty, 0);
}

static void
mark_dirty(struct session *n)
{
	struct ss *s = n->sessions;

	if (n->dirty)
		return;
	n->dirty = true;
	if (s->dirty->len == 0)
		event_active(s->flush, EV_TIMEOUT, 0);
	g_ptr_array_add(s->dirty, n);
}

void
ss_grant(struct ss *s, dp_agent agent, const struct pd_grant *g)
{
	struct session *n = find(s, agent);

	if (n == NULL)
		return; /* dp_ hears of the end of the session */
	ba_append(&n->grants, (xdrproc_t)xdr_pd_grant, g,
	    GRANT_BYTES + g->body.body_len);
	if (n->grants.count == PD_BATCH_MAX || n->grants.len > BATCH_BYTES)
		flush_session(n);
	else
		mark_dirty(n);
}

void
ss_cancel(struct ss *s, dp_agent agent, const struct pd_key *k)
{
	struct session *n = find(s, agent);

	if (n == NULL)
		return;
	ba_append(&n->cancels, (xdrproc_t)xdr_pd_key, k, KEY_BYTES);
	if (n->cancels.count == PD_BATCH_MAX)
		flush_session(n);
	else
		mark_dirty(n);
}

static struct asked *
asked_new(struct ss *s, dp_agent agent)
{
	struct asked *a;

	a = g_new0(struct asked, 1);
	a->sessions = s;
	a->agent = agent;
	return (a);
}

/* An agent that is connected and does not answer is reached over a new
 * connection, on which dp_ resolves again. */
static void
resolve_done(void *arg, enum cn_error error, void *result)
{
	const struct pd_resolve_reply *reply = result;
	struct asked *a = arg;
	struct session *n = find(a->sessions, a->agent);
	u_int i;

	if (n != NULL && error != CN_OK)
		cn_close(n->conn);
	else if (n != NULL)
		for (i = 0; i < reply->list.list_len; i++)
			dp_report(dispatch(a->sessions), a->agent,
			    &reply->list.list_val[i]);
	g_free(a);
}

void
ss_resolve(struct ss *s, dp_agent agent, const struct pd_key *keys, size_t n)
{
	struct session *to = find(s, agent);
	struct pd_resolve ask;
	size_t i;

	if (to == NULL)
		return;
	/* A grant that is still in the batch must arrive before. */
	flush_session(to);
	ct_add(s->resolves, (int64_t)n);
	for (i = 0; i < n; i += PD_BATCH_MAX) {
		ask.list.list_len = (u_int)MIN(n - i, PD_BATCH_MAX);
		ask.list.list_val = (struct pd_key *)(uintptr_t)&keys[i];
		cn_call(to->conn, PD_RESOLVE, (xdrproc_t)xdr_pd_resolve, &ask,
		    (xdrproc_t)xdr_pd_resolve_reply,
		    sizeof(struct pd_resolve_reply), RESOLVE_TIMEOUT_MS,
		    resolve_done, asked_new(s, agent));
	}
}

static void
fence_done(void *arg, enum cn_error error, void *result)
{
	struct asked *a = arg;

	if (error == CN_OK)
		tk_fence_reply(
		    takeover(a->sessions), a->agent, &a->fence, result);
	else
		tk_fence_failed(takeover(a->sessions), a->agent, &a->fence);
	g_free(a);
}

static void
fence_fails(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	fence_done(arg, CN_CLOSED, NULL);
}

void
ss_fence(struct ss *s, dp_agent agent, const struct pd_fence *f)
{
	struct session *n = find(s, agent);
	struct asked *a = asked_new(s, agent);
	struct timeval now = {0, 0};

	a->fence = *f;
	if (n == NULL) {
		/* tk_ is not called from within its own output. */
		event_base_once(kn_find(s->kernel, "loop"), -1, EV_TIMEOUT,
		    fence_fails, a, &now);
		return;
	}
	cn_call(n->conn, PD_FENCE, (xdrproc_t)xdr_pd_fence, f,
	    (xdrproc_t)xdr_pd_fence_reply, sizeof(struct pd_fence_reply),
	    FENCE_TIMEOUT_MS, fence_done, a);
}

/* An agent that connects again has given up its old connection. */
static void
close_predecessor(struct session *n, const char *name)
{
	struct session *old = NULL;
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, n->sessions->agents);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (value != n &&
		    strcmp(((struct session *)value)->name, name) == 0)
			old = value;
	if (old != NULL)
		cn_close(old->conn);
}

/*
 * An agent that two cells share would run the same id for both, since each has
 * owners and a change log of its own.
 */
static bool
is_foreign(struct ss *s, const struct pd_hello *h)
{
	const struct op *options = kn_find(s->kernel, "settings");

	if (strcmp(h->cell, options->cell) == 0)
		return (false);
	ct_count(kn_find(s->kernel, "counters"), "pd_foreign_total",
	    "calls from another cell", "from", "agent");
	lg_write(LOG_WARNING, "sessions",
	    "agent %s belongs to cell %s, its session is refused", h->name,
	    h->cell);
	return (true);
}

static void
called_hello(struct session *n, uint32_t xid, XDR *args)
{
	struct ss *s = n->sessions;
	const struct op *options = kn_find(s->kernel, "settings");
	struct pd_hello_reply reply;
	struct pd_hello h;

	memset(&h, 0, sizeof(h));
	if (!cn_decode(n->conn, args, (xdrproc_t)xdr_pd_hello, &h))
		return;
	if (is_foreign(s, &h)) {
		cn_reject(n->conn, xid);
		xdr_free((xdrproc_t)xdr_pd_hello, &h);
		return;
	}
	close_predecessor(n, h.name);
	agent_gone(n);
	g_free(n->name);
	n->name = g_strdup(h.name);
	ct_add(s->hellos, 1);
	lg_write(LOG_INFO, "sessions",
	    "agent %s, incarnation %016" PRIx64 ", %u slots", h.name,
	    (uint64_t)h.incarnation, h.slots);
	reply.entry = options->name;
	reply.incarnation = mb_incarnation(kn_find(s->kernel, "member"));
	cn_reply(n->conn, xid, (xdrproc_t)xdr_pd_hello_reply, &reply);
	s->opening = n;
	n->agent = dp_agent_up(dispatch(s), &h);
	s->opening = NULL;
	g_hash_table_insert(s->agents, GSIZE_TO_POINTER(n->agent), n);
	tk_agent_up(takeover(s), n->agent, &h);
	xdr_free((xdrproc_t)xdr_pd_hello, &h);
}

static void
called_heartbeat(struct session *n, uint32_t xid, XDR *args)
{
	struct ss *s = n->sessions;
	struct pd_heartbeat *h = &n->last;
	struct pd_permit permit;

	if (!cn_decode(n->conn, args, (xdrproc_t)xdr_pd_heartbeat, h))
		return;
	if (n->agent == PL_NONE) {
		cn_reject(n->conn, xid);
		return;
	}
	memset(&permit, 0, sizeof(permit));
	mb_permit(kn_find(s->kernel, "member"), n->name, h->clock_ms, &permit);
	if (!permit.granted)
		ct_add(s->unverified, 1);
	cn_reply(n->conn, xid, (xdrproc_t)xdr_pd_permit, &permit);
	dp_agent_load(dispatch(s), n->agent, h->running, h->queued, h->health,
	    h->draining != 0);
}

static void
called_report(struct session *n, uint32_t xid, XDR *args)
{
	struct dp *d = dispatch(n->sessions);
	struct pd_report r;
	u_int i;

	(void)xid;
	memset(&r, 0, sizeof(r));
	if (!cn_decode(n->conn, args, (xdrproc_t)xdr_pd_report, &r))
		return;
	if (n->agent != PL_NONE)
		dp_agent_load(d, n->agent, r.running, r.queued, n->last.health,
		    n->last.draining != 0);
	for (i = 0; i < r.list.list_len && n->agent != PL_NONE; i++)
		dp_report(d, n->agent, &r.list.list_val[i]);
	xdr_free((xdrproc_t)xdr_pd_report, &r);
}

static void
session_call(void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	static void (*const handlers[])(struct session *, uint32_t, XDR *) = {
	    [PD_HELLO] = called_hello,
	    [PD_HEARTBEAT] = called_heartbeat,
	    [PD_REPORT] = called_report,
	};
	struct session *n = arg;

	if (proc < G_N_ELEMENTS(handlers) && handlers[proc] != NULL)
		handlers[proc](n, xid, args);
	else if (!pe_handle_call(
		     kn_find(n->sessions->kernel, "peers"), c, proc, xid, args))
		cn_reject(c, xid);
}

static const struct cn_ops session_ops = {
    .call = session_call,
    .closed = session_closed,
};

static void
session_accept(void *arg, struct cn *c)
{
	struct ss *s = arg;
	struct session *n;

	n = g_new0(struct session, 1);
	n->sessions = s;
	n->conn = c;
	g_hash_table_add(s->all, n);
	cn_set(c, &session_ops, n);
	cn_set_idle(c, SS_IDLE_TIMEOUT_MS);
}

struct ss *
ss_new(struct kn *k)
{
	const struct op *options = kn_find(k, "settings");
	struct ct *counters = kn_find(k, "counters");
	struct event_base *base = kn_find(k, "loop");
	enum cn_error error;
	struct ss *s;

	s = g_new0(struct ss, 1);
	s->kernel = k;
	s->listener = cn_listen(base, options->rpc, session_accept, s, &error);
	if (s->listener == NULL) {
		g_free(s);
		return (NULL);
	}
	s->flush = evtimer_new(base, flush_all, s);
	s->all = g_hash_table_new_full(NULL, NULL, session_free, NULL);
	s->agents = g_hash_table_new(NULL, NULL);
	s->dirty = g_ptr_array_new();
	s->hellos = ct_get(counters, CT_COUNTER, "pd_hellos_total",
	    "sessions opened by agents", "");
	s->unverified = ct_get(counters, CT_COUNTER, "pd_permits_denied_total",
	    "heartbeats answered without a permit", "");
	s->resolves = ct_get(counters, CT_COUNTER, "pd_resolves_total",
	    "grants whose state was asked for", "");
	return (s);
}

void
ss_free(struct ss *s)
{
	GHashTableIter it;
	void *key;

	if (s == NULL)
		return;
	cn_listener_free(s->listener);
	for (;;) {
		g_hash_table_iter_init(&it, s->all);
		if (!g_hash_table_iter_next(&it, &key, NULL))
			break;
		cn_close(((struct session *)key)->conn);
	}
	event_free(s->flush);
	g_hash_table_destroy(s->all);
	g_hash_table_destroy(s->agents);
	g_ptr_array_free(s->dirty, TRUE);
	g_free(s);
}

size_t
ss_agent_count(const struct ss *s)
{
	return (g_hash_table_size(s->agents));
}
