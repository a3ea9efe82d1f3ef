#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "clock.h"
#include "gossip.h"
#include "log.h"

/* Period of an exchange. A configuration has 2 s to be in force, and passes
 * between two entries within one period. */
#define PERIOD_MS 300
#define CALL_TIMEOUT_MS 600
/* A host without power does not refuse a connection: a new attempt gets through
 * sooner than the next opening packet of the old one. */
#define CONNECT_MS 250
#define IDLE_MS 1500
/* An entry that was not heard for this time is not told to agents. */
#define FRESH_MS 10000
/* ... and is not called any more, unless it is a seed. */
#define FORGET_MS 60000
#define CANCEL_TIMEOUT_MS 500
#define US_PER_MS 1000

struct peer {
	struct go *gossip;
	char *address;
	struct cn *conn;
	bool open;
	bool seed;
	bool asking;
	uint64_t added_ms;
	uint64_t heard_ms; /* 0: never */
	uint64_t revision;
	GHashTable *waiting; /* queue -> count */
};

struct go {
	struct event_base *base;
	const struct ck *clock;
	const struct cf *config;
	struct go_self self;
	const struct go_ops *ops;
	void *arg;
	GHashTable *peers; /* address -> struct peer, owned */
	GPtrArray *list;   /* addresses, borrowed */
	struct event *timer;
	bool closing;
};

static void
peer_closed(void *arg, struct cn *c, enum cn_error why)
{
	struct peer *p = arg;

	(void)c;
	if (p->open)
		lg_write(LOG_NOTICE, "gossip", "no connection to entry %s: %s",
		    p->address, cn_error_name(why));
	p->conn = NULL;
	p->open = false;
}

static void tell(struct go *g, struct peer *p);

static void
peer_opened(void *arg, struct cn *c)
{
	struct peer *p = arg;

	p->open = true;
	cn_set_idle(c, IDLE_MS);
	tell(p->gossip, p);
}

static const struct cn_ops peer_ops = {
    .opened = peer_opened,
    .closed = peer_closed,
};

static void
peer_free(void *arg)
{
	struct peer *p = arg;

	if (p->conn != NULL)
		cn_close(p->conn);
	g_hash_table_destroy(p->waiting);
	g_free(p->address);
	g_free(p);
}

static struct peer *
peer_add(struct go *g, const char *address, bool seed)
{
	struct peer *p;

	if (strcmp(address, g->self.address) == 0)
		return (NULL);
	p = g_hash_table_lookup(g->peers, address);
	if (p != NULL)
		return (p);
	p = g_new0(struct peer, 1);
	p->gossip = g;
	p->address = g_strdup(address);
	p->seed = seed;
	p->added_ms = ck_mono_ms(g->clock);
	p->waiting =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(g->peers, p->address, p);
	return (p);
}

/* Takes what another entry said. */
static void
hear(struct go *g, const struct pd_gossip *m)
{
	struct peer *p = peer_add(g, m->address, false);
	unsigned i;

	if (p == NULL || strcmp(m->cell, g->self.cell) != 0)
		return;
	if (p->heard_ms == 0)
		lg_write(LOG_NOTICE, "gossip", "entry %s is at %s", m->name,
		    m->address);
	p->heard_ms = ck_mono_ms(g->clock);
	p->revision = m->revision;
	g_hash_table_remove_all(p->waiting);
	for (i = 0; i < m->waiting.waiting_len; i++)
		g_hash_table_insert(p->waiting,
		    g_strdup(m->waiting.waiting_val[i].queue),
		    GUINT_TO_POINTER(m->waiting.waiting_val[i].jobs));
	for (i = 0; i < m->entries.entries_len; i++)
		peer_add(g, m->entries.entries_val[i], false);
	if (m->config != NULL && m->config->revision > cf_revision(g->config))
		g->ops->config(g->arg, m->config);
}

const char *const *
go_addresses(struct go *g, unsigned *n, uint32_t *hash)
{
	uint64_t now = ck_mono_ms(g->clock);
	GHashTableIter it;
	struct peer *p;
	uint32_t sum = 0;
	guint i;

	g_ptr_array_set_size(g->list, 0);
	g_ptr_array_add(g->list, (char *)(uintptr_t)g->self.address);
	g_hash_table_iter_init(&it, g->peers);
	while (g_hash_table_iter_next(&it, NULL, (void **)&p))
		if (p->heard_ms != 0 && now - p->heard_ms < FRESH_MS &&
		    g->list->len < PD_ENTRIES_MAX)
			g_ptr_array_add(g->list, p->address);
	/* A sum does not depend on the order. */
	for (i = 0; i < g->list->len; i++)
		sum += (uint32_t)XXH3_64bits(
		    g->list->pdata[i], strlen(g->list->pdata[i]));
	*n = g->list->len;
	*hash = sum;
	return ((const char *const *)g->list->pdata);
}

/* Fills a message for an end that holds @revision; the lists are the caller's
 * to release. */
static void
fill(struct go *g, struct pd_gossip *m, uint64_t revision)
{
	const struct pd_config *c = cf_current(g->config);
	const char *const *entries;
	uint32_t hash;
	unsigned i, n;

	m->cell = (char *)(uintptr_t)g->self.cell;
	m->name = (char *)(uintptr_t)g->self.name;
	m->address = (char *)(uintptr_t)g->self.address;
	m->incarnation = g->self.incarnation;
	m->revision = c->revision;
	if (c->revision > revision)
		m->config = (struct pd_config *)(uintptr_t)c;
	entries = go_addresses(g, &n, &hash);
	m->entries.entries_val = (pd_name *)(uintptr_t)entries;
	m->entries.entries_len = n;
	m->waiting.waiting_val =
	    g_new0(struct pd_waiting, c->queues.queues_len + 1);
	for (i = 0; i < c->queues.queues_len; i++) {
		n = g->ops->waiting(g->arg, c->queues.queues_val[i].name);
		if (n == 0)
			continue;
		m->waiting.waiting_val[m->waiting.waiting_len].queue =
		    c->queues.queues_val[i].name;
		m->waiting.waiting_val[m->waiting.waiting_len++].jobs = n;
	}
}

struct question {
	struct go *gossip;
	char *address;
};

static void
on_told(void *arg, enum cn_error error, void *result)
{
	struct question *q = arg;
	struct peer *p = NULL;

	/* The table is being freed when the process ends. */
	if (!q->gossip->closing)
		p = g_hash_table_lookup(q->gossip->peers, q->address);
	if (p != NULL) {
		p->asking = false;
		if (error == CN_OK)
			hear(q->gossip, result);
	}
	g_free(q->address);
	g_free(q);
}

static void
tell(struct go *g, struct peer *p)
{
	struct pd_gossip m = {0};
	struct question *q;

	fill(g, &m, p->revision);
	q = g_new0(struct question, 1);
	q->gossip = g;
	q->address = g_strdup(p->address);
	p->asking = true;
	cn_call(p->conn, PD_GOSSIP, (xdrproc_t)xdr_pd_gossip, &m,
	    (xdrproc_t)xdr_pd_gossip, sizeof(struct pd_gossip), CALL_TIMEOUT_MS,
	    on_told, q);
	g_free(m.waiting.waiting_val);
}

static void
reach(struct go *g, struct peer *p)
{
	enum cn_error error;

	if (p->conn == NULL) {
		p->asking = false;
		p->conn = cn_connect(g->base, p->address, &peer_ops, p, &error);
		if (p->conn != NULL)
			cn_set_idle(p->conn, CONNECT_MS);
	} else if (p->open && !p->asking) {
		tell(g, p);
	}
}

static bool
is_forgotten(struct go *g, const struct peer *p)
{
	return (!p->seed &&
	    ck_mono_ms(g->clock) - MAX(p->heard_ms, p->added_ms) > FORGET_MS);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct timeval tv = {0, PERIOD_MS * US_PER_MS};
	struct go *g = arg;
	GList *peers, *i;

	(void)fd;
	(void)what;
	event_add(g->timer, &tv);
	peers = g_hash_table_get_values(g->peers);
	for (i = peers; i != NULL; i = i->next) {
		struct peer *p = i->data;

		if (is_forgotten(g, p))
			g_hash_table_remove(g->peers, p->address);
		else
			reach(g, p);
	}
	g_list_free(peers);
}

void
go_add_seed(struct go *g, const char *address)
{
	peer_add(g, address, true);
}

void
go_exchange_now(struct go *g)
{
	on_timer(-1, 0, g);
}

struct go *
go_new(struct event_base *base, const struct ck *clock, const struct cf *config,
    const struct go_self *self, const struct go_ops *ops, void *arg)
{
	struct go *g = g_new0(struct go, 1);
	unsigned i;

	g->base = base;
	g->clock = clock;
	g->config = config;
	g->self = *self;
	g->ops = ops;
	g->arg = arg;
	g->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	g->list = g_ptr_array_new();
	for (i = 0; i < self->nseeds; i++)
		peer_add(g, self->seeds[i], true);
	g->timer = evtimer_new(base, on_timer, g);
	go_exchange_now(g);
	return (g);
}

void
go_free(struct go *g)
{
	if (g == NULL)
		return;
	g->closing = true;
	event_free(g->timer);
	g_hash_table_destroy(g->peers);
	g_ptr_array_free(g->list, TRUE);
	g_free(g);
}

static void
on_gossip(struct go *g, struct cn *c, uint32_t xid, XDR *args)
{
	struct pd_gossip m = {0}, reply = {0};

	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_gossip, &m))
		return;
	hear(g, &m);
	fill(g, &reply, m.revision);
	cn_reply(c, xid, (xdrproc_t)xdr_pd_gossip, &reply);
	g_free(reply.waiting.waiting_val);
	xdr_free((xdrproc_t)xdr_pd_gossip, (char *)&m);
}

static void
on_abandon(struct go *g, struct cn *c, uint32_t xid, XDR *args)
{
	struct pd_id id = {0};
	bool_t known;

	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_id, &id))
		return;
	known = g->ops->cancel(g->arg, id.id);
	cn_reply(c, xid, (xdrproc_t)xdr_bool, &known);
	xdr_free((xdrproc_t)xdr_pd_id, (char *)&id);
}

void
go_handle_call(
    struct go *g, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	if (proc == PD_GOSSIP)
		on_gossip(g, c, xid, args);
	else if (proc == PD_ABANDON)
		on_abandon(g, c, xid, args);
	else
		cn_reject(c, xid);
}

unsigned
go_waiting_count(const struct go *g, const char *queue)
{
	GHashTableIter it;
	struct peer *p;
	unsigned n = 0;

	g_hash_table_iter_init(&it, g->peers);
	while (g_hash_table_iter_next(&it, NULL, (void **)&p))
		n += GPOINTER_TO_UINT(g_hash_table_lookup(p->waiting, queue));
	return (n);
}

/* A cancellation that waits for the other entries. */
struct cancel {
	unsigned left;
	bool known;
	uint64_t waiter;
	void (*done)(void *arg, uint64_t waiter, bool known);
	void *arg;
};

static void
on_abandoned(void *arg, enum cn_error error, void *result)
{
	struct cancel *k = arg;

	if (error == CN_OK && result != NULL && *(bool_t *)result)
		k->known = true;
	if (--k->left > 0)
		return;
	k->done(k->arg, k->waiter, k->known);
	g_free(k);
}

void
go_cancel(struct go *g, const char *id,
    void (*done)(void *arg, uint64_t waiter, bool known), void *arg,
    uint64_t waiter)
{
	struct cancel *k = g_new0(struct cancel, 1);
	struct pd_id key = {.id = (char *)(uintptr_t)id};
	GHashTableIter it;
	struct peer *p;

	k->left = 1;
	k->waiter = waiter;
	k->done = done;
	k->arg = arg;
	g_hash_table_iter_init(&it, g->peers);
	while (g_hash_table_iter_next(&it, NULL, (void **)&p)) {
		if (!p->open)
			continue;
		k->left++;
		cn_call(p->conn, PD_ABANDON, (xdrproc_t)xdr_pd_id, &key,
		    (xdrproc_t)xdr_bool, sizeof(bool_t), CANCEL_TIMEOUT_MS,
		    on_abandoned, k);
	}
	on_abandoned(k, CN_CLOSED, NULL);
}
