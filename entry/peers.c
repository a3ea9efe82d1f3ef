#include <glib.h>
#include <string.h>

#include "counters.h"
#include "forward.h"
#include "kernel.h"
#include "log.h"
#include "member.h"
#include "options.h"
#include "peers.h"

#define RECONNECT_DELAY_MS 200
#define STATUS_TIMEOUT_MS 1000
#define CHANGES_TIMEOUT_MS 2000
/* Time for the answer to a LOOKUP to arrive after its wait_ms. */
#define LOOKUP_MARGIN_MS 1000
#define MS_PER_S 1000
#define US_PER_MS 1000

struct peer {
	struct pe *peers;
	char *address;
	struct cn *conn; /* NULL while there is none */
	bool open;
	bool configured;   /* in the settings or registered */
	bool close_logged; /* log a failure once until the next success */
	struct event *reconnect_timer;
};

struct pe {
	struct kn *kernel;
	struct event_base *base;
	const struct op *options;
	GHashTable *by_address; /* address to struct peer */
	bool closing;
};

/* Context of a call whose reply goes to the membership. */
struct call {
	struct pe *peers;
	char *address;
	uint32_t proc;
	uint64_t after;
};

static struct mb *
member(const struct pe *p)
{
	return (kn_find(p->kernel, "member"));
}

static void
reconnect_later(struct peer *peer)
{
	struct timeval tv = {0, RECONNECT_DELAY_MS * US_PER_MS};

	evtimer_add(peer->reconnect_timer, &tv);
}

static void
announced(void *arg, enum cn_error error, void *result)
{
	(void)arg;
	(void)error;
	(void)result;
}

/* The other entry takes calls over a connection only after a STATUS of its
 * cell. The membership does not use this reply: its own call may be
 * outstanding, and there is one per address at a time. */
static void
announce(const struct pe *p, struct cn *c)
{
	struct pd_status own;

	memset(&own, 0, sizeof(own));
	mb_handle_status(member(p), NULL, &own);
	own.cell = p->options->cell;
	cn_call(c, PD_STATUS, (xdrproc_t)xdr_pd_status, &own,
	    (xdrproc_t)xdr_pd_status, sizeof(struct pd_status),
	    STATUS_TIMEOUT_MS, announced, NULL);
}

static void
peer_opened(void *arg, struct cn *c)
{
	struct peer *peer = arg;

	announce(peer->peers, c);
	peer->open = true;
	peer->close_logged = false;
	lg_write(LOG_INFO, "peers", "connected to entry %s", peer->address);
}

static void
peer_closed(void *arg, struct cn *c, enum cn_error why)
{
	struct peer *peer = arg;

	(void)c;
	if (!peer->close_logged)
		lg_write(LOG_NOTICE, "peers", "no connection to entry %s: %s",
		    peer->address, cn_error_name(why));
	peer->close_logged = true;
	peer->conn = NULL;
	peer->open = false;
	if (peer->configured)
		reconnect_later(peer);
}

/* A peer only replies on the connection that this end opened; its own calls
 * come over the connection that it opened. */
static const struct cn_ops peer_ops = {
    .opened = peer_opened,
    .closed = peer_closed,
};

static void
peer_connect(evutil_socket_t fd, short what, void *arg)
{
	struct peer *peer = arg;
	enum cn_error error;

	(void)fd;
	(void)what;
	if (peer->conn != NULL || !peer->configured)
		return;
	peer->conn = cn_connect(
	    peer->peers->base, peer->address, &peer_ops, peer, &error);
	if (peer->conn != NULL)
		cn_set_idle(peer->conn, PE_IDLE_TIMEOUT_MS);
	else
		reconnect_later(peer);
}

static void
peer_add(struct pe *p, const char *address)
{
	struct peer *peer;

	if (strcmp(address, p->options->rpc_address) == 0)
		return;
	peer = g_hash_table_lookup(p->by_address, address);
	if (peer == NULL) {
		peer = g_new0(struct peer, 1);
		peer->peers = p;
		peer->address = g_strdup(address);
		peer->reconnect_timer =
		    evtimer_new(p->base, peer_connect, peer);
		g_hash_table_insert(p->by_address, peer->address, peer);
	}
	peer->configured = true;
	if (peer->conn == NULL && !evtimer_pending(peer->reconnect_timer, NULL))
		peer_connect(-1, 0, peer);
}

static void
peer_free(void *item)
{
	struct peer *peer = item;

	peer->configured = false;
	if (peer->conn != NULL)
		cn_close(peer->conn);
	event_free(peer->reconnect_timer);
	g_free(peer->address);
	g_free(peer);
}

struct pe *
pe_new(struct kn *k)
{
	struct pe *p;

	p = g_new0(struct pe, 1);
	p->kernel = k;
	p->base = kn_find(k, "loop");
	p->options = kn_find(k, "settings");
	p->by_address =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	pe_configure(p, NULL);
	return (p);
}

void
pe_free(struct pe *p)
{
	if (p == NULL)
		return;
	p->closing = true;
	g_hash_table_destroy(p->by_address);
	g_free(p);
}

static gboolean
is_removed(void *key, void *value, void *arg)
{
	const struct peer *peer = value;

	(void)key;
	(void)arg;
	return (!peer->configured);
}

void
pe_configure(struct pe *p, const struct cs *state)
{
	const struct cs_member *members = NULL;
	GHashTableIter it;
	size_t i, n = 0;
	void *value;

	g_hash_table_iter_init(&it, p->by_address);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct peer *)value)->configured = false;
	for (i = 0; i < p->options->peers.count; i++)
		peer_add(p, p->options->peers.items[i]);
	if (state != NULL)
		members = cs_members(state, &n);
	for (i = 0; i < n; i++)
		peer_add(p, members[i].address);
	g_hash_table_foreach_remove(p->by_address, is_removed, NULL);
}

static struct cn *
find_open_conn(const struct pe *p, const char *address)
{
	const struct peer *peer = g_hash_table_lookup(p->by_address, address);

	return (peer != NULL && peer->open ? peer->conn : NULL);
}

static void
call_free(struct call *call)
{
	g_free(call->address);
	g_free(call);
}

static void
call_done(void *arg, enum cn_error error, void *result)
{
	struct call *call = arg;
	struct mb *m = member(call->peers);

	if (error != CN_OK)
		result = NULL;
	if (call->peers->closing)
		; /* the membership would call services being freed */
	else if (call->proc == PD_STATUS)
		mb_status_done(m, call->address, result);
	else if (call->proc == PD_CHANGES)
		mb_fetch_done(m, call->address, result);
	else
		mb_push_done(m, call->address, result);
	call_free(call);
}

/* Runs in a later pass of the loop, since the membership must not be called
 * back while it makes a call. */
static void
call_unsent(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	call_done(arg, CN_REFUSED, NULL);
}

static struct call *
call_new(struct pe *p, const char *address, uint32_t proc, uint64_t after)
{
	struct call *call;

	call = g_new0(struct call, 1);
	call->peers = p;
	call->address = g_strdup(address);
	call->proc = proc;
	call->after = after;
	return (call);
}

static void
fail_call_later(struct call *call)
{
	struct timeval now = {0, 0};

	event_base_once(
	    call->peers->base, -1, EV_TIMEOUT, call_unsent, call, &now);
}

void
pe_status(struct pe *p, const char *address)
{
	struct cn *c = find_open_conn(p, address);
	struct call *call = call_new(p, address, PD_STATUS, 0);
	struct pd_status own;

	if (c == NULL) {
		fail_call_later(call);
		return;
	}
	memset(&own, 0, sizeof(own));
	mb_handle_status(member(p), NULL, &own);
	own.cell = p->options->cell;
	cn_call(c, PD_STATUS, (xdrproc_t)xdr_pd_status, &own,
	    (xdrproc_t)xdr_pd_status, sizeof(struct pd_status),
	    STATUS_TIMEOUT_MS, call_done, call);
}

void
pe_fetch(struct pe *p, const char *address, uint64_t after)
{
	struct cn *c = find_open_conn(p, address);
	struct call *call = call_new(p, address, PD_CHANGES, after);
	struct pd_changes_from from = {after};

	if (c == NULL) {
		fail_call_later(call);
		return;
	}
	cn_call(c, PD_CHANGES, (xdrproc_t)xdr_pd_changes_from, &from,
	    (xdrproc_t)xdr_pd_changes, sizeof(struct pd_changes),
	    CHANGES_TIMEOUT_MS, call_done, call);
}

void
pe_push(struct pe *p, const char *address, uint64_t after)
{
	struct cn *c = find_open_conn(p, address);
	struct pd_changes changes;

	if (c == NULL)
		return; /* nothing waits for a reply */
	memset(&changes, 0, sizeof(changes));
	mb_changes_after(member(p), after, &changes);
	cn_call(c, PD_PUSH, (xdrproc_t)xdr_pd_changes, &changes,
	    (xdrproc_t)xdr_pd_held, sizeof(struct pd_held), CHANGES_TIMEOUT_MS,
	    call_done, call_new(p, address, PD_PUSH, after));
}

bool
pe_forward(struct pe *p, const char *address, const struct pd_submit *s,
    cn_reply_fn done, void *arg)
{
	struct cn *c = find_open_conn(p, address);

	if (c == NULL)
		return (false);
	/* No timeout: the owner answers at the deadline at the latest, and an
	 * idle connection is closed. */
	cn_call(c, PD_FORWARD, (xdrproc_t)xdr_pd_submit, s,
	    (xdrproc_t)xdr_pd_answer, sizeof(struct pd_answer), 0, done, arg);
	return (true);
}

bool
pe_lookup(struct pe *p, const char *address, const struct pd_lookup *l,
    cn_reply_fn done, void *arg)
{
	struct cn *c = find_open_conn(p, address);

	if (c == NULL)
		return (false);
	cn_call(c, PD_LOOKUP, (xdrproc_t)xdr_pd_lookup, l,
	    (xdrproc_t)xdr_pd_answer, sizeof(struct pd_answer),
	    l->wait_ms + LOOKUP_MARGIN_MS, done, arg);
	return (true);
}

static void
count_foreign(const struct pe *p)
{
	ct_increment(kn_find(p->kernel, "counters"), "pd_foreign_total",
	    "calls from another cell", "from", "entry");
}

/*
 * Whether a call comes from another cell. Entries of another cell must not
 * count towards the majority that accepts changes of this cell.
 */
static bool
is_foreign(const struct pe *p, const struct pd_status *s)
{
	if (strcmp(s->cell, p->options->cell) == 0)
		return (false);
	count_foreign(p);
	lg_write(LOG_WARNING, "peers", "entry %s belongs to cell %s", s->name,
	    s->cell);
	return (true);
}

static void
handle_status(
    struct pe *p, struct cn *c, uint32_t xid, XDR *args, bool *same_cell)
{
	struct pd_status from, own;

	memset(&from, 0, sizeof(from));
	memset(&own, 0, sizeof(own));
	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_status, &from))
		return;
	*same_cell = !is_foreign(p, &from);
	if (!*same_cell) {
		cn_reject(c, xid);
		xdr_free((xdrproc_t)xdr_pd_status, &from);
		return;
	}
	mb_handle_status(member(p), &from, &own);
	own.cell = p->options->cell;
	cn_reply(c, xid, (xdrproc_t)xdr_pd_status, &own);
	xdr_free((xdrproc_t)xdr_pd_status, &from);
}

static void
handle_changes(struct pe *p, struct cn *c, uint32_t xid, XDR *args)
{
	struct pd_changes_from from;
	struct pd_changes out;

	memset(&out, 0, sizeof(out));
	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_changes_from, &from))
		return;
	mb_changes_after(member(p), from.after, &out);
	cn_reply(c, xid, (xdrproc_t)xdr_pd_changes, &out);
}

static void
handle_push(struct pe *p, struct cn *c, uint32_t xid, XDR *args)
{
	struct mb *m = member(p);
	struct pd_changes changes;
	struct pd_held held;

	memset(&changes, 0, sizeof(changes));
	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_changes, &changes))
		return;
	held.revision = mb_receive_push(m, &changes);
	held.incarnation = mb_incarnation(m);
	cn_reply(c, xid, (xdrproc_t)xdr_pd_held, &held);
	xdr_free((xdrproc_t)xdr_pd_changes, &changes);
}

static void
handle_forward(struct pe *p, struct cn *c, uint32_t xid, XDR *args)
{
	struct pd_submit s;

	memset(&s, 0, sizeof(s));
	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_submit, &s))
		return;
	fw_serve_submit(kn_find(p->kernel, "forward"), c, xid, &s);
	xdr_free((xdrproc_t)xdr_pd_submit, &s);
}

static void
handle_lookup(struct pe *p, struct cn *c, uint32_t xid, XDR *args)
{
	struct pd_lookup l;

	memset(&l, 0, sizeof(l));
	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_lookup, &l))
		return;
	fw_serve_lookup(kn_find(p->kernel, "forward"), c, xid, &l);
	xdr_free((xdrproc_t)xdr_pd_lookup, &l);
}

bool
pe_handle_call(struct pe *p, struct cn *c, uint32_t proc, uint32_t xid,
    XDR *args, bool *same_cell)
{
	static void (*const handlers[])(
	    struct pe *, struct cn *, uint32_t, XDR *) = {
	    [PD_CHANGES] = handle_changes,
	    [PD_PUSH] = handle_push,
	    [PD_FORWARD] = handle_forward,
	    [PD_LOOKUP] = handle_lookup,
	};

	if (proc == PD_STATUS) {
		handle_status(p, c, xid, args, same_cell);
		return (true);
	}
	if (proc >= G_N_ELEMENTS(handlers) || handlers[proc] == NULL)
		return (false);
	if (*same_cell)
		handlers[proc](p, c, xid, args);
	else {
		count_foreign(p);
		cn_reject(c, xid);
	}
	return (true);
}
