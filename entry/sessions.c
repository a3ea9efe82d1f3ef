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
/* Greatest encoded size in bytes of a key, and of a grant without its body:
 * strings of the greatest length with their length words. */
#define KEY_BYTES (PD_ID_MAX + 4 + 8 + 2 * 4)
#define GRANT_BYTES (KEY_BYTES + 2 * 8 + 4 * 4 + PD_NAME_MAX + 4 + 4 + 4)
/* A batch above this size is sent at once, not at the end of the loop pass. */
#define BATCH_BYTES (1024 * 1024)

struct session {
	struct ss *sessions;
	struct cn *conn;
	char *name;     /* NULL until HELLO */
	dp_agent agent; /* PL_NONE until HELLO */
	struct pd_heartbeat last_heartbeat;
	struct ba grants;
	struct ba cancels;
	bool unflushed; /* in the list of the same name in struct ss */
	bool same_cell; /* of another entry: it belongs to this cell */
};

struct ss {
	struct kn *kernel;
	struct cn_listener *listener;
	struct event *flush;
	GHashTable *all;            /* struct session, owned */
	struct session *connecting; /* set during dp_agent_up() */
	GHashTable *agents;         /* dp_agent to struct session */
	GPtrArray *unflushed;       /* struct session with batches to send */
	struct ct_metric *hellos;
	struct ct_metric *hellos_of_replaced;
	struct ct_metric *permits_denied;
	struct ct_metric *resolves;
};

/* Context of a RESOLVE or FENCE call. Its session may end before the reply. */
struct agent_call {
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
find_session(const struct ss *s, dp_agent agent)
{
	struct session *session =
	    g_hash_table_lookup(s->agents, GSIZE_TO_POINTER(agent));

	/* dp_agent_up() may send grants before it has returned the handle. */
	return (session != NULL ? session : s->connecting);
}

/* Reports the end of the agent's session; the connection may stay open. */
static void
detach_agent(struct session *session)
{
	struct ss *s = session->sessions;

	if (session->agent == PL_NONE)
		return;
	g_hash_table_remove(s->agents, GSIZE_TO_POINTER(session->agent));
	dp_agent_down(dispatch(s), session->agent);
	tk_agent_down(takeover(s), session->agent);
	session->agent = PL_NONE;
}

static void
session_free(void *item)
{
	struct session *session = item;

	g_ptr_array_remove_fast(session->sessions->unflushed, session);
	ba_release(&session->grants);
	ba_release(&session->cancels);
	g_free(session->name);
	g_free(session);
}

static void
session_closed(void *arg, struct cn *c, enum cn_error why)
{
	struct session *session = arg;
	struct ss *s = session->sessions;

	if (session->name != NULL)
		lg_write(LOG_NOTICE, "sessions", "agent %s disconnected: %s",
		    session->name, cn_error_name(why));
	fw_conn_closed(kn_find(s->kernel, "forward"), c);
	detach_agent(session);
	g_hash_table_remove(s->all, session);
}

static void
flush_session(struct session *session)
{
	if (session->grants.count > 0)
		cn_send(session->conn, PD_GRANT, (xdrproc_t)xdr_ba,
		    &session->grants);
	if (session->cancels.count > 0)
		cn_send(session->conn, PD_CANCEL, (xdrproc_t)xdr_ba,
		    &session->cancels);
	ba_reset(&session->grants);
	ba_reset(&session->cancels);
}

static void
flush_all(evutil_socket_t fd, short what, void *arg)
{
	struct session *session;
	struct ss *s = arg;
	guint i;

	(void)fd;
	(void)what;
	for (i = 0; i < s->unflushed->len; i++) {
		session = g_ptr_array_index(s->unflushed, i);
		session->unflushed = false;
		flush_session(session);
	}
	g_ptr_array_set_size(s->unflushed, 0);
}

static void
flush_later(struct session *session)
{
	struct ss *s = session->sessions;

	if (session->unflushed)
		return;
	session->unflushed = true;
	if (s->unflushed->len == 0)
		event_active(s->flush, EV_TIMEOUT, 0);
	g_ptr_array_add(s->unflushed, session);
}

void
ss_grant(struct ss *s, dp_agent agent, const struct pd_grant *g)
{
	struct session *session = find_session(s, agent);

	if (session == NULL)
		return; /* the dispatcher is told when a session ends */
	ba_append(&session->grants, (xdrproc_t)xdr_pd_grant, g,
	    GRANT_BYTES + g->body.body_len);
	if (session->grants.count == PD_BATCH_MAX ||
	    session->grants.len > BATCH_BYTES)
		flush_session(session);
	else
		flush_later(session);
}

void
ss_cancel(struct ss *s, dp_agent agent, const struct pd_key *k)
{
	struct session *session = find_session(s, agent);

	if (session == NULL)
		return;
	ba_append(&session->cancels, (xdrproc_t)xdr_pd_key, k, KEY_BYTES);
	if (session->cancels.count == PD_BATCH_MAX)
		flush_session(session);
	else
		flush_later(session);
}

static struct agent_call *
agent_call_new(struct ss *s, dp_agent agent)
{
	struct agent_call *a;

	a = g_new0(struct agent_call, 1);
	a->sessions = s;
	a->agent = agent;
	return (a);
}

/* When the agent does not answer, closes the connection: the agent connects
 * again and the dispatcher repeats the RESOLVE. */
static void
resolve_done(void *arg, enum cn_error error, void *result)
{
	const struct pd_resolve_reply *reply = result;
	struct agent_call *a = arg;
	struct session *session = find_session(a->sessions, a->agent);
	u_int i;

	if (session != NULL && error != CN_OK)
		cn_close(session->conn);
	else if (session != NULL)
		for (i = 0; i < reply->list.list_len; i++)
			dp_report(dispatch(a->sessions), a->agent,
			    &reply->list.list_val[i]);
	g_free(a);
}

void
ss_resolve(struct ss *s, dp_agent agent, const struct pd_key *keys, size_t n)
{
	struct session *session = find_session(s, agent);
	struct pd_resolve ask;
	size_t i;

	if (session == NULL)
		return;
	/* Grants that are still in the batch must arrive before the RESOLVE. */
	flush_session(session);
	ct_add(s->resolves, (int64_t)n);
	for (i = 0; i < n; i += PD_BATCH_MAX) {
		ask.list.list_len = (u_int)MIN(n - i, PD_BATCH_MAX);
		ask.list.list_val = (struct pd_key *)(uintptr_t)&keys[i];
		cn_call(session->conn, PD_RESOLVE, (xdrproc_t)xdr_pd_resolve,
		    &ask, (xdrproc_t)xdr_pd_resolve_reply,
		    sizeof(struct pd_resolve_reply), RESOLVE_TIMEOUT_MS,
		    resolve_done, agent_call_new(s, agent));
	}
}

static void
fence_done(void *arg, enum cn_error error, void *result)
{
	struct agent_call *a = arg;

	if (error == CN_OK)
		tk_fence_reply(
		    takeover(a->sessions), a->agent, &a->fence, result);
	else
		tk_fence_failed(takeover(a->sessions), a->agent, &a->fence);
	g_free(a);
}

static void
fence_unsent(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	fence_done(arg, CN_CLOSED, NULL);
}

void
ss_fence(struct ss *s, dp_agent agent, const struct pd_fence *f)
{
	struct session *session = find_session(s, agent);
	struct agent_call *a = agent_call_new(s, agent);
	struct timeval now = {0, 0};

	a->fence = *f;
	if (session == NULL) {
		/* In a later pass of the loop, since the takeover must not be
		 * called back while it makes a call. */
		event_base_once(kn_find(s->kernel, "loop"), -1, EV_TIMEOUT,
		    fence_unsent, a, &now);
		return;
	}
	cn_call(session->conn, PD_FENCE, (xdrproc_t)xdr_pd_fence, f,
	    (xdrproc_t)xdr_pd_fence_reply, sizeof(struct pd_fence_reply),
	    FENCE_TIMEOUT_MS, fence_done, a);
}

/* Closes an older session of the agent, which has given up that connection. */
static void
close_old_session(struct session *session, const char *name)
{
	struct session *old = NULL;
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, session->sessions->agents);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (value != session &&
		    strcmp(((struct session *)value)->name, name) == 0)
			old = value;
	if (old != NULL)
		cn_close(old->conn);
}

/*
 * Whether the agent belongs to another cell. Each cell has its own owners and
 * change log, so an agent that two cells share could run the same id for both.
 */
static bool
is_foreign(struct ss *s, const struct pd_hello *h)
{
	const struct op *options = kn_find(s->kernel, "settings");

	if (strcmp(h->cell, options->cell) == 0)
		return (false);
	ct_increment(kn_find(s->kernel, "counters"), "pd_foreign_total",
	    "calls from another cell", "from", "agent");
	lg_write(LOG_WARNING, "sessions",
	    "agent %s belongs to cell %s, its session is refused", h->name,
	    h->cell);
	return (true);
}

static bool
is_replaced(struct ss *s, const struct pd_hello *h)
{
	if (!tk_agent_is_replaced(takeover(s), h))
		return (false);
	ct_add(s->hellos_of_replaced, 1);
	lg_write(LOG_WARNING, "sessions",
	    "agent %s, incarnation %016" PRIx64
	    ", is refused: its successor is connected",
	    h->name, (uint64_t)h->incarnation);
	return (true);
}

static void
handle_hello(struct session *session, uint32_t xid, XDR *args)
{
	struct ss *s = session->sessions;
	const struct op *options = kn_find(s->kernel, "settings");
	struct pd_hello_reply reply;
	struct pd_hello h;

	memset(&h, 0, sizeof(h));
	if (!cn_decode(session->conn, args, (xdrproc_t)xdr_pd_hello, &h))
		return;
	if (is_foreign(s, &h) || is_replaced(s, &h)) {
		cn_reject(session->conn, xid);
		xdr_free((xdrproc_t)xdr_pd_hello, &h);
		return;
	}
	close_old_session(session, h.name);
	detach_agent(session);
	g_free(session->name);
	session->name = g_strdup(h.name);
	ct_add(s->hellos, 1);
	lg_write(LOG_INFO, "sessions",
	    "agent %s connected, incarnation %016" PRIx64 ", %u slots", h.name,
	    (uint64_t)h.incarnation, h.slots);
	reply.entry = options->name;
	reply.incarnation = mb_incarnation(kn_find(s->kernel, "member"));
	cn_reply(session->conn, xid, (xdrproc_t)xdr_pd_hello_reply, &reply);
	s->connecting = session;
	session->agent = dp_agent_up(dispatch(s), &h);
	s->connecting = NULL;
	g_hash_table_insert(
	    s->agents, GSIZE_TO_POINTER(session->agent), session);
	tk_agent_up(takeover(s), session->agent, &h);
	xdr_free((xdrproc_t)xdr_pd_hello, &h);
}

static void
handle_heartbeat(struct session *session, uint32_t xid, XDR *args)
{
	struct ss *s = session->sessions;
	struct pd_heartbeat *h = &session->last_heartbeat;
	struct pd_permit permit;

	if (!cn_decode(session->conn, args, (xdrproc_t)xdr_pd_heartbeat, h))
		return;
	if (session->agent == PL_NONE) {
		cn_reject(session->conn, xid);
		return;
	}
	memset(&permit, 0, sizeof(permit));
	mb_fill_permit(
	    kn_find(s->kernel, "member"), session->name, h->clock_ms, &permit);
	if (!permit.granted)
		ct_add(s->permits_denied, 1);
	cn_reply(session->conn, xid, (xdrproc_t)xdr_pd_permit, &permit);
	dp_agent_load(dispatch(s), session->agent, h->running, h->queued,
	    h->health, h->draining != 0);
}

static void
handle_report(struct session *session, uint32_t xid, XDR *args)
{
	struct dp *d = dispatch(session->sessions);
	struct pd_report r;
	u_int i;

	(void)xid;
	memset(&r, 0, sizeof(r));
	if (!cn_decode(session->conn, args, (xdrproc_t)xdr_pd_report, &r))
		return;
	if (session->agent != PL_NONE)
		dp_agent_load(d, session->agent, r.running, r.queued,
		    session->last_heartbeat.health,
		    session->last_heartbeat.draining != 0);
	for (i = 0; i < r.list.list_len && session->agent != PL_NONE; i++)
		dp_report(d, session->agent, &r.list.list_val[i]);
	xdr_free((xdrproc_t)xdr_pd_report, &r);
}

static void
session_call(void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	static void (*const handlers[])(struct session *, uint32_t, XDR *) = {
	    [PD_HELLO] = handle_hello,
	    [PD_HEARTBEAT] = handle_heartbeat,
	    [PD_REPORT] = handle_report,
	};
	struct session *session = arg;

	if (proc < G_N_ELEMENTS(handlers) && handlers[proc] != NULL)
		handlers[proc](session, xid, args);
	else if (!pe_handle_call(kn_find(session->sessions->kernel, "peers"), c,
		     proc, xid, args, &session->same_cell))
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
	struct session *session;

	session = g_new0(struct session, 1);
	session->sessions = s;
	session->conn = c;
	g_hash_table_add(s->all, session);
	cn_set_ops(c, &session_ops, session);
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
	s->listener =
	    cn_listen(base, options->rpc_address, session_accept, s, &error);
	if (s->listener == NULL) {
		g_free(s);
		return (NULL);
	}
	s->flush = evtimer_new(base, flush_all, s);
	s->all = g_hash_table_new_full(NULL, NULL, session_free, NULL);
	s->agents = g_hash_table_new(NULL, NULL);
	s->unflushed = g_ptr_array_new();
	s->hellos = ct_get(counters, CT_COUNTER, "pd_hellos_total",
	    "sessions opened by agents", "");
	s->hellos_of_replaced = ct_get(counters, CT_COUNTER,
	    "pd_hellos_of_replaced_total",
	    "sessions refused, since the agent's successor is connected", "");
	s->permits_denied =
	    ct_get(counters, CT_COUNTER, "pd_permits_denied_total",
		"heartbeats answered without a permit", "");
	s->resolves = ct_get(counters, CT_COUNTER, "pd_resolves_total",
	    "grants whose state was requested from an agent", "");
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
	g_ptr_array_free(s->unflushed, TRUE);
	g_free(s);
}

size_t
ss_agent_count(const struct ss *s)
{
	return (g_hash_table_size(s->agents));
}
