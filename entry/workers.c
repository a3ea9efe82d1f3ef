#include <glib.h>
#include <string.h>

#include "lease.h"
#include "log.h"
#include "workers.h"

/* A connection is closed when nothing is received for this time. */
#define IDLE_MS 2000
#define RECONCILE_TIMEOUT_MS LE_CONTACT_MS

/* Connection of an agent or of another entry. */
struct link {
	struct wo *workers;
	struct cn *conn;
	uint64_t session; /* see struct fl_worker */
	bool attached;
	bool rejected; /* its last heartbeat was */
};

struct wo {
	struct cn_listener *listener;
	struct wo_identity self;
	struct fl *fleet;
	struct jb *jobs;
	const struct wo_ops *ops;
	void *arg;
	GHashTable *links; /* session -> struct link, owned */
	uint64_t last_session;
};

static void
on_ended(struct link *l, XDR *args)
{
	struct fl_worker *from =
	    fl_find_by_session(l->workers->fleet, l->session);
	struct pd_ended e = {0};

	if (!cn_decode(l->conn, args, (xdrproc_t)xdr_pd_ended, &e))
		return;
	if (from != NULL)
		jb_grants_ended(l->workers->jobs, from, &e);
	xdr_free((xdrproc_t)xdr_pd_ended, (char *)&e);
}

static void
reply_attach(struct link *l, uint32_t xid, const struct pd_attach *a,
    const struct fl_worker *f)
{
	struct wo *w = l->workers;
	struct pd_attached reply = {
	    .entry = (char *)(uintptr_t)w->self.name,
	    .incarnation = w->self.incarnation,
	    .clock_ms = a->clock_ms,
	    .service_workers = f->service_workers,
	    .label_workers = f->label_workers,
	};
	const char *const *entries;
	unsigned n;
	uint32_t hash;

	reply.zones = w->ops->zones_known(w->arg);
	entries = w->ops->entry_addresses(w->arg, &n, &hash);
	if (hash != a->entries_hash) {
		reply.entries.entries_val = (pd_name *)(uintptr_t)entries;
		reply.entries.entries_len = n;
	}
	cn_reply(l->conn, xid, (xdrproc_t)xdr_pd_attached, &reply);
}

/* Tells an agent which availability zones are out, if that is known. */
static void
send_zones(struct link *l)
{
	struct pd_zones z = l->workers->ops->zones(l->workers->arg);

	if (z.revision != 0)
		cn_send(l->conn, PD_ZONES, (xdrproc_t)xdr_pd_zones, &z);
}

/* Closes the connection that an agent had before. Messages that are still on
 * their way on it would make it the current one again. */
static void
close_replaced(struct wo *w, uint64_t session)
{
	struct link *l = g_hash_table_lookup(w->links, &session);

	if (l == NULL)
		return;
	lg_write(LOG_NOTICE, "workers",
	    "an agent has opened another connection: closing the earlier one");
	cn_close(l->conn);
}

static void
accept_attach(struct link *l, uint32_t xid, const struct pd_attach *a,
    struct fl_worker *f, bool restarted)
{
	struct wo *w = l->workers;
	bool is_new = !l->attached || restarted;

	fl_count_workers(w->fleet);
	/* First, since the reply confirms them. */
	if (is_new)
		send_zones(l);
	reply_attach(l, xid, a, f);
	if (!is_new)
		return;
	lg_write(LOG_NOTICE, "workers",
	    "agent %s is connected, capacity %u thousandths of a core", a->name,
	    a->cpu);
	l->attached = true;
	l->rejected = false;
	jb_attached(w->jobs, f, restarted);
}

/* Without a reply the agent has no contact and stops its tasks. */
static void
reject_attach(struct link *l, uint32_t xid, const struct pd_attach *a)
{
	if (!l->rejected)
		lg_write(LOG_WARNING, "workers",
		    "agent %s is rejected: a later process of it is connected",
		    a->name);
	l->rejected = true;
	l->attached = false;
	cn_reject(l->conn, xid);
}

static void
on_attach(struct link *l, uint32_t xid, XDR *args)
{
	struct wo *w = l->workers;
	struct pd_attach a = {0};
	struct fl_worker *f;
	uint64_t previous;
	bool restarted;

	if (!cn_decode(l->conn, args, (xdrproc_t)xdr_pd_attach, &a))
		return;
	if (strcmp(a.cell, w->self.cell) != 0) {
		lg_write(LOG_WARNING, "workers",
		    "agent %s belongs to cell %s and is rejected", a.name,
		    a.cell);
		cn_reject(l->conn, xid);
		xdr_free((xdrproc_t)xdr_pd_attach, (char *)&a);
		return;
	}
	previous = fl_session_of(w->fleet, a.name);
	f = fl_attach(w->fleet, &a, l->session, &restarted);
	if (f != NULL && previous != l->session)
		close_replaced(w, previous);
	if (f != NULL)
		accept_attach(l, xid, &a, f, restarted);
	else
		reject_attach(l, xid, &a);
	xdr_free((xdrproc_t)xdr_pd_attach, (char *)&a);
}

/* An agent that is not attached on this connection gets no reply, like one that
 * is rejected. */
static void
on_renew(struct link *l, uint32_t xid, XDR *args)
{
	struct wo *w = l->workers;
	struct fl_worker *from = fl_find_by_session(w->fleet, l->session);
	struct pd_renew r = {0};
	struct pd_renewed reply = {0};
	unsigned n;
	uint32_t hash;

	if (!cn_decode(l->conn, args, (xdrproc_t)xdr_pd_renew, &r))
		return;
	if (from == NULL || !l->attached) {
		cn_reject(l->conn, xid);
		return;
	}
	w->ops->entry_addresses(w->arg, &n, &hash);
	reply.zones = w->ops->zones_known(w->arg);
	reply.clock_ms = r.clock_ms;
	reply.attach = hash != r.entries_hash || from->endpoint != r.endpoint;
	/* It is not known what the load is the load of. */
	if (from->endpoint != r.endpoint)
		r.load.accepting = false;
	fl_renew(w->fleet, from, &r.load, r.clock_ms);
	cn_reply(l->conn, xid, (xdrproc_t)xdr_pd_renewed, &reply);
}

static void
on_call(void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	struct link *l = arg;

	if (proc == PD_ATTACH)
		on_attach(l, xid, args);
	else if (proc == PD_RENEW)
		on_renew(l, xid, args);
	else if (proc == PD_ENDED)
		on_ended(l, args);
	else
		l->workers->ops->entry_call(
		    l->workers->arg, c, proc, xid, args);
}

static void
on_closed(void *arg, struct cn *c, enum cn_error why)
{
	struct link *l = arg;
	struct wo *w = l->workers;
	struct fl_worker *f = fl_detach(w->fleet, l->session);

	(void)c;
	if (f != NULL) {
		lg_write(LOG_NOTICE, "workers",
		    "no connection from agent %s: %s", f->name,
		    cn_error_name(why));
		if (w->jobs != NULL)
			jb_detached(w->jobs, f);
	}
	g_hash_table_remove(w->links, &l->session);
}

static const struct cn_ops link_ops = {
    .call = on_call,
    .closed = on_closed,
};

static void
on_accept(void *arg, struct cn *c)
{
	struct wo *w = arg;
	struct link *l = g_new0(struct link, 1);

	l->workers = w;
	l->conn = c;
	l->session = ++w->last_session;
	cn_set_ops(c, &link_ops, l);
	cn_set_idle(c, IDLE_MS);
	g_hash_table_insert(w->links, &l->session, l);
}

struct wo *
wo_new(struct event_base *base, const char *address,
    const struct wo_identity *self, struct fl *fleet, const struct wo_ops *ops,
    void *arg)
{
	struct wo *w = g_new0(struct wo, 1);
	enum cn_error error;

	w->self = *self;
	w->fleet = fleet;
	w->ops = ops;
	w->arg = arg;
	w->links =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	w->listener = cn_listen(base, address, on_accept, w, &error);
	if (w->listener != NULL)
		return (w);
	lg_write(LOG_ERR, "workers", "cannot listen on %s: %s", address,
	    cn_error_name(error));
	wo_free(w);
	return (NULL);
}

void
wo_set_jobs(struct wo *w, struct jb *jobs)
{
	w->jobs = jobs;
}

void
wo_set_bounds(struct wo *w, struct bd *bounds, unsigned share_permille)
{
	cn_listener_set_bounds(w->listener, bounds, "rpc", share_permille);
}

void
wo_free(struct wo *w)
{
	GList *links, *i;

	if (w == NULL)
		return;
	w->jobs = NULL;
	cn_listener_free(w->listener);
	links = g_hash_table_get_values(w->links);
	for (i = links; i != NULL; i = i->next)
		cn_close(((struct link *)i->data)->conn);
	g_list_free(links);
	g_hash_table_destroy(w->links);
	g_free(w);
}

static struct cn *
conn_of(struct wo *w, const struct fl_worker *to)
{
	struct link *l = g_hash_table_lookup(w->links, &to->session);

	return (l == NULL ? NULL : l->conn);
}

void
wo_send_start(struct wo *w, const struct fl_worker *to, struct pd_start *s)
{
	struct cn *c = conn_of(w, to);

	if (c != NULL)
		cn_send(c, PD_START, (xdrproc_t)xdr_pd_start, s);
}

void
wo_send_withdraw(
    struct wo *w, const struct fl_worker *to, const struct pd_key *k)
{
	struct cn *c = conn_of(w, to);
	struct pd_cancel list = {
	    .list = {.list_len = 1, .list_val = (pd_key *)(uintptr_t)k}};

	if (c != NULL)
		cn_send(c, PD_WITHDRAW, (xdrproc_t)xdr_pd_cancel, &list);
}

void
wo_send_take_back(struct wo *w, const struct fl_worker *to,
    const struct pd_key *keys, unsigned n)
{
	struct cn *c = conn_of(w, to);
	struct pd_cancel list;
	unsigned i;

	for (i = 0; c != NULL && i < n; i += PD_BATCH_MAX) {
		list.list.list_val = (pd_key *)(uintptr_t)keys + i;
		list.list.list_len = MIN(n - i, PD_BATCH_MAX);
		cn_send(c, PD_TAKE_BACK, (xdrproc_t)xdr_pd_cancel, &list);
	}
}

void
wo_send_zones(struct wo *w)
{
	GHashTableIter it;
	struct link *l;

	g_hash_table_iter_init(&it, w->links);
	while (g_hash_table_iter_next(&it, NULL, (void **)&l))
		if (l->attached)
			send_zones(l);
}

struct reconcile_call {
	struct wo *workers;
	uint64_t session;
};

static void
on_reconciled(void *arg, enum cn_error error, void *result)
{
	struct reconcile_call *k = arg;
	struct fl_worker *from =
	    fl_find_by_session(k->workers->fleet, k->session);

	/* Without a reply the tasks remain unreachable; the agent is asked
	 * again while it is connected. */
	if (error != CN_OK)
		lg_write(LOG_NOTICE, "workers",
		    "no reply from an agent to a query of its grants: %s",
		    cn_error_name(error));
	else if (from != NULL && k->workers->jobs != NULL)
		jb_grants_ended(k->workers->jobs, from, result);
	g_free(k);
}

void
wo_reconcile(struct wo *w, const struct fl_worker *to,
    const struct pd_key *keys, unsigned n)
{
	struct cn *c = conn_of(w, to);
	struct reconcile_call *k;
	struct pd_cancel list;
	unsigned i;

	if (c == NULL)
		return;
	for (i = 0; i < n; i += PD_BATCH_MAX) {
		list.list.list_val = (pd_key *)(uintptr_t)keys + i;
		list.list.list_len = MIN(n - i, PD_BATCH_MAX);
		k = g_new0(struct reconcile_call, 1);
		k->workers = w;
		k->session = to->session;
		cn_call(c, PD_RECONCILE, (xdrproc_t)xdr_pd_cancel, &list,
		    (xdrproc_t)xdr_pd_ended, sizeof(struct pd_ended),
		    RECONCILE_TIMEOUT_MS, on_reconciled, k);
	}
}
