#include <glib.h>
#include <string.h>

#include "counters.h"
#include "forward.h"
#include "kernel.h"
#include "log.h"
#include "member.h"
#include "options.h"
#include "peers.h"

#define RECONNECT_MS 200
#define STATUS_TIMEOUT_MS 1000
#define CHANGES_TIMEOUT_MS 2000
/* Time for the answer to a LOOKUP beyond the time it may wait. */
#define LOOKUP_MARGIN_MS 1000
#define MS_PER_S 1000
#define US_PER_MS 1000

struct peer {
	struct pe *peers;
	char *address;
	struct cn *conn; /* NULL while there is none */
	bool open;
	bool wanted;
	bool warned;
	struct event *retry;
};

struct pe {
	struct kn *kernel;
	struct event_base *base;
	const struct op *options;
	GHashTable *table; /* address to struct peer */
	bool closing;
};

/* Call whose answer enters mb_. */
struct call {
	struct pe *peers;
	char *address;
	uint32_t proc;
	uint64_t after;
};

static struct mb *
member(struct pe *p)
{
	return (kn_find(p->kernel, "member"));
}

static void
retry_later(struct peer *r)
{
	struct timeval tv = {0, RECONNECT_MS * US_PER_MS};

	evtimer_add(r->retry, &tv);
}

static void
peer_opened(void *arg, struct cn *c)
{
	struct peer *r = arg;

	(void)c;
	r->open = true;
	r->warned = false;
	lg_write(LOG_INFO, "peers", "connected to entry %s", r->address);
}

static void
peer_closed(void *arg, struct cn *c, enum cn_error why)
{
	struct peer *r = arg;

	(void)c;
	if (!r->warned)
		lg_write(LOG_NOTICE, "peers", "no connection to entry %s: %s",
		    r->address, cn_error_name(why));
	r->warned = true;
	r->conn = NULL;
	r->open = false;
	if (r->wanted)
		retry_later(r);
}

/* A peer answers on the connection that this end opened, but never calls. */
static const struct cn_ops peer_ops = {
    .opened = peer_opened,
    .closed = peer_closed,
};

static void
peer_connect(evutil_socket_t fd, short what, void *arg)
{
	struct peer *r = arg;
	enum cn_error error;

	(void)fd;
	(void)what;
	if (r->conn != NULL || !r->wanted)
		return;
	r->conn = cn_connect(r->peers->base, r->address, &peer_ops, r, &error);
	if (r->conn != NULL)
		cn_set_idle(r->conn, PE_IDLE_TIMEOUT_MS);
	else
		retry_later(r);
}

static void
peer_add(struct pe *p, const char *address)
{
	struct peer *r;

	if (strcmp(address, p->options->rpc) == 0)
		return;
	r = g_hash_table_lookup(p->table, address);
	if (r == NULL) {
		r = g_new0(struct peer, 1);
		r->peers = p;
		r->address = g_strdup(address);
		r->retry = evtimer_new(p->base, peer_connect, r);
		g_hash_table_insert(p->table, r->address, r);
	}
	r->wanted = true;
	if (r->conn == NULL && !evtimer_pending(r->retry, NULL))
		peer_connect(-1, 0, r);
}

static void
peer_free(void *item)
{
	struct peer *r = item;

	r->wanted = false;
	if (r->conn != NULL)
		cn_close(r->conn);
	event_free(r->retry);
	g_free(r->address);
	g_free(r);
}

struct pe *
pe_new(struct kn *k)
{
	struct pe *p;

	p = g_new0(struct pe, 1);
	p->kernel = k;
	p->base = kn_find(k, "loop");
	p->options = kn_find(k, "settings");
	p->table =
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
	g_hash_table_destroy(p->table);
	g_free(p);
}

static gboolean
is_unwanted(void *key, void *value, void *arg)
{
	const struct peer *r = value;

	(void)key;
	(void)arg;
	return (!r->wanted);
}

void
pe_configure(struct pe *p, const struct cs *state)
{
	const struct cs_member *members = NULL;
	GHashTableIter it;
	size_t i, n = 0;
	void *value;

	g_hash_table_iter_init(&it, p->table);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct peer *)value)->wanted = false;
	for (i = 0; i < p->options->peers.count; i++)
		peer_add(p, p->options->peers.items[i]);
	if (state != NULL)
		members = cs_members(state, &n);
	for (i = 0; i < n; i++)
		peer_add(p, members[i].address);
	g_hash_table_foreach_remove(p->table, is_unwanted, NULL);
}

static struct cn *
open_conn(const struct pe *p, const char *address)
{
	const struct peer *r = g_hash_table_lookup(p->table, address);

	return (r != NULL && r->open ? r->conn : NULL);
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
		; /* mb_ would call back into a service that ends */
	else if (call->proc == PD_STATUS)
		mb_status_done(m, call->address, result);
	else if (call->proc == PD_CHANGES)
		mb_fetch_done(m, call->address, result);
	else
		mb_push_done(m, call->address, result);
	call_free(call);
}

/* mb_ is not called from within its own output. */
static void
call_failed(evutil_socket_t fd, short what, void *arg)
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
fail_later(struct call *call)
{
	struct timeval now = {0, 0};

	event_base_once(
	    call->peers->base, -1, EV_TIMEOUT, call_failed, call, &now);
}

void
pe_status(struct pe *p, const char *address)
{
	struct cn *c = open_conn(p, address);
	struct call *call = call_new(p, address, PD_STATUS, 0);
	struct pd_status own;

	if (c == NULL) {
		fail_later(call);
		return;
	}
	memset(&own, 0, sizeof(own));
	mb_status_called(member(p), NULL, &own);
	own.cell = p->options->cell;
	cn_call(c, PD_STATUS, (xdrproc_t)xdr_pd_status, &own,
	    (xdrproc_t)xdr_pd_status, sizeof(struct pd_status),
	    STATUS_TIMEOUT_MS, call_done, call);
}

void
pe_fetch(struct pe *p, const char *address, uint64_t after)
{
	struct cn *c = open_conn(p, address);
	struct call *call = call_new(p, address, PD_CHANGES, after);
	struct pd_changes_from from = {after};

	if (c == NULL) {
		fail_later(call);
		return;
	}
	cn_call(c, PD_CHANGES, (xdrproc_t)xdr_pd_changes_from, &from,
	    (xdrproc_t)xdr_pd_changes, sizeof(struct pd_changes),
	    CHANGES_TIMEOUT_MS, call_done, call);
}

void
pe_push(struct pe *p, const char *address, uint64_t after)
{
	struct cn *c = open_conn(p, address);
	struct pd_changes changes;

	if (c == NULL)
		return; /* no answer is awaited */
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
	struct cn *c = open_conn(p, address);

	if (c == NULL)
		return (false);
	/* Without a timeout: the owner answers at the deadline, and a silent
	 * connection is closed. */
	cn_call(c, PD_FORWARD, (xdrproc_t)xdr_pd_submit, s,
	    (xdrproc_t)xdr_pd_answer, sizeof(struct pd_answer), 0, done, arg);
	return (true);
}

bool
pe_lookup(struct pe *p, const char *address, const struct pd_lookup *l,
    cn_reply_fn done, void *arg)
{
	struct cn *c = open_conn(p, address);

	if (c == NULL)
		return (false);
	cn_call(c, PD_LOOKUP, (xdrproc_t)xdr_pd_lookup, l,
	    (xdrproc_t)xdr_pd_answer, sizeof(struct pd_answer),
	    l->wait_ms + LOOKUP_MARGIN_MS, done, arg);
	return (true);
}

/* The majority of another cell must not count for the log of this one. */
static bool
is_foreign(struct pe *p, const struct pd_status *s)
{
	if (strcmp(s->cell, p->options->cell) == 0)
		return (false);
	ct_count(kn_find(p->kernel, "counters"), "pd_foreign_total",
	    "calls from another cell", "from", "entry");
	lg_write(LOG_WARNING, "peers", "entry %s belongs to cell %s", s->name,
	    s->cell);
	return (true);
}

static void
called_status(struct pe *p, struct cn *c, uint32_t xid, XDR *args)
{
	struct pd_status from, own;

	memset(&from, 0, sizeof(from));
	memset(&own, 0, sizeof(own));
	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_status, &from))
		return;
	if (is_foreign(p, &from)) {
		cn_reject(c, xid);
		xdr_free((xdrproc_t)xdr_pd_status, &from);
		return;
	}
	mb_status_called(member(p), &from, &own);
	own.cell = p->options->cell;
	cn_reply(c, xid, (xdrproc_t)xdr_pd_status, &own);
	xdr_free((xdrproc_t)xdr_pd_status, &from);
}

static void
called_changes(struct pe *p, struct cn *c, uint32_t xid, XDR *args)
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
called_push(struct pe *p, struct cn *c, uint32_t xid, XDR *args)
{
	struct mb *m = member(p);
	struct pd_changes changes;
	struct pd_held held;

	memset(&changes, 0, sizeof(changes));
	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_changes, &changes))
		return;
	held.revision = mb_pushed(m, &changes);
	held.incarnation = mb_incarnation(m);
	cn_reply(c, xid, (xdrproc_t)xdr_pd_held, &held);
	xdr_free((xdrproc_t)xdr_pd_changes, &changes);
}

static void
called_forward(struct pe *p, struct cn *c, uint32_t xid, XDR *args)
{
	struct pd_submit s;

	memset(&s, 0, sizeof(s));
	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_submit, &s))
		return;
	fw_serve_submit(kn_find(p->kernel, "forward"), c, xid, &s);
	xdr_free((xdrproc_t)xdr_pd_submit, &s);
}

static void
called_lookup(struct pe *p, struct cn *c, uint32_t xid, XDR *args)
{
	struct pd_lookup l;

	memset(&l, 0, sizeof(l));
	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_lookup, &l))
		return;
	fw_serve_lookup(kn_find(p->kernel, "forward"), c, xid, &l);
	xdr_free((xdrproc_t)xdr_pd_lookup, &l);
}

bool
pe_handle_call(
    struct pe *p, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	static void (*const handlers[])(
	    struct pe *, struct cn *, uint32_t, XDR *) = {
	    [PD_STATUS] = called_status,
	    [PD_CHANGES] = called_changes,
	    [PD_PUSH] = called_push,
	    [PD_FORWARD] = called_forward,
	    [PD_LOOKUP] = called_lookup,
	};

	if (proc >= G_N_ELEMENTS(handlers) || handlers[proc] == NULL)
		return (false);
	handlers[proc](p, c, xid, args);
	return (true);
}
