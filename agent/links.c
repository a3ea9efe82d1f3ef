#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "clock.h"
#include "conn.h"
#include "lease.h"
#include "links.h"
#include "log.h"

/* A heartbeat without an answer after this time counts as lost. */
#define HEARTBEAT_TIMEOUT_MS LE_CONTACT_MS
/* A connection that receives nothing for this time is closed: a new one may get
 * through. */
#define IDLE_TIMEOUT_MS 900
/* A SYN to a host without power is lost and is retransmitted after a second; a
 * new connection gets through sooner. */
#define CONNECT_TIMEOUT_MS 150
/* Period at which closed connections are retried and heartbeats checked. */
#define RETRY_MS 50
/* An address without an answer for this time is removed, unless it is a seed.
 */
#define FORGET_ADDRESS_MS 60000
/* Minimum time between load reports to an entry without ended tasks. */
#define LOAD_REPORT_MS 40
#define US_PER_MS 1000

struct link {
	struct lk *links;
	char *address;
	struct cn *conn;
	bool open;
	bool heartbeat_pending;
	bool seed;
	uint64_t entry;             /* incarnation, 0 while unknown */
	uint64_t heartbeat_sent_ms; /* clock in the last heartbeat */
	uint64_t last_answer_ms;
	uint64_t load_sent_ms; /* when a report with the load was sent last */
	GArray *unsent_ends;   /* struct pd_end with owned ids, to be sent */
};

struct lk {
	struct event_base *base;
	const struct ck *clock;
	char *cell;
	const struct lk_ops *ops;
	void *arg;
	GHashTable *table; /* address -> struct link, owned */
	struct event *timer;
	struct event *flush_event;
	bool closing;
};

static void
clear_unsent_ends(struct link *l)
{
	guint i;

	for (i = 0; i < l->unsent_ends->len; i++)
		g_free(
		    g_array_index(l->unsent_ends, struct pd_end, i).key.sub.id);
	g_array_set_size(l->unsent_ends, 0);
}

static void
link_closed(void *arg, struct cn *c, enum cn_error why)
{
	struct link *l = arg;

	(void)c;
	if (l->open)
		lg_write(LOG_NOTICE, "links", "no connection to entry %s: %s",
		    l->address, cn_error_name(why));
	l->conn = NULL;
	l->open = false;
	l->heartbeat_pending = false;
	/* The entry asks about its grants once it is connected again. */
	clear_unsent_ends(l);
}

static void send_attach(struct link *l);

static void
link_opened(void *arg, struct cn *c)
{
	struct link *l = arg;

	l->open = true;
	cn_set_idle(c, IDLE_TIMEOUT_MS);
	if (!l->heartbeat_pending)
		send_attach(l);
}

static void
on_start(struct link *l, XDR *args)
{
	struct lk *k = l->links;
	struct pd_start s = {0};

	if (!cn_decode(l->conn, args, (xdrproc_t)xdr_pd_start, &s))
		return;
	if (l->entry != 0)
		k->ops->start(k->arg, l->entry, &s);
	xdr_free((xdrproc_t)xdr_pd_start, (char *)&s);
}

static void
on_withdraw(struct link *l, XDR *args)
{
	struct lk *k = l->links;
	struct pd_cancel list = {0};
	unsigned i;

	if (!cn_decode(l->conn, args, (xdrproc_t)xdr_pd_cancel, &list))
		return;
	for (i = 0; i < list.list.list_len; i++)
		k->ops->withdraw(k->arg, l->entry, &list.list.list_val[i]);
	xdr_free((xdrproc_t)xdr_pd_cancel, (char *)&list);
}

static void
fill_load(struct lk *k, struct pd_ended *e)
{
	struct pd_attach a = {0};

	k->ops->fill_attach(k->arg, &a);
	e->load = a.load;
}

static void
on_reconcile(struct link *l, uint32_t xid, XDR *args)
{
	struct lk *k = l->links;
	struct pd_cancel list = {0};
	struct pd_ended reply = {0};
	unsigned i;

	if (!cn_decode(l->conn, args, (xdrproc_t)xdr_pd_cancel, &list))
		return;
	reply.list.list_val = g_new0(struct pd_end, list.list.list_len + 1);
	reply.list.list_len = list.list.list_len;
	for (i = 0; i < list.list.list_len; i++) {
		reply.list.list_val[i].key = list.list.list_val[i];
		reply.list.list_val[i].state =
		    k->ops->state(k->arg, l->entry, &list.list.list_val[i]);
	}
	fill_load(k, &reply);
	cn_reply(l->conn, xid, (xdrproc_t)xdr_pd_ended, &reply);
	g_free(reply.list.list_val);
	xdr_free((xdrproc_t)xdr_pd_cancel, (char *)&list);
}

static void
link_call(void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	struct link *l = arg;

	if (proc == PD_START)
		on_start(l, args);
	else if (proc == PD_WITHDRAW)
		on_withdraw(l, args);
	else if (proc == PD_RECONCILE)
		on_reconcile(l, xid, args);
	else
		cn_reject(c, xid);
}

static const struct cn_ops link_ops = {
    .opened = link_opened,
    .call = link_call,
    .closed = link_closed,
};

static void
link_free(void *arg)
{
	struct link *l = arg;

	if (l->conn != NULL)
		cn_close(l->conn);
	clear_unsent_ends(l);
	g_array_free(l->unsent_ends, TRUE);
	g_free(l->address);
	g_free(l);
}

static struct link *
link_add(struct lk *k, const char *address, bool seed)
{
	struct link *l = g_hash_table_lookup(k->table, address);

	if (l != NULL)
		return (l);
	l = g_new0(struct link, 1);
	l->links = k;
	l->address = g_strdup(address);
	l->seed = seed;
	l->last_answer_ms = ck_mono_ms(k->clock);
	l->unsent_ends = g_array_new(FALSE, TRUE, sizeof(struct pd_end));
	g_hash_table_insert(k->table, l->address, l);
	return (l);
}

static uint32_t
hash_entries(struct lk *k)
{
	GHashTableIter it;
	struct link *l;
	uint32_t sum = 0;

	g_hash_table_iter_init(&it, k->table);
	while (g_hash_table_iter_next(&it, NULL, (void **)&l))
		sum += (uint32_t)XXH3_64bits(l->address, strlen(l->address));
	return (sum);
}

static void
on_attached(void *arg, enum cn_error error, void *result)
{
	struct link *l = arg;
	struct lk *k = l->links;
	const struct pd_attached *a = result;
	unsigned i;

	l->heartbeat_pending = false;
	if (error != CN_OK || k->closing)
		return;
	l->last_answer_ms = ck_mono_ms(k->clock);
	if (l->entry != a->incarnation) {
		lg_write(LOG_NOTICE, "links", "connected to entry %s at %s",
		    a->entry, l->address);
		if (l->entry != 0)
			k->ops->gone(k->arg, l->entry);
		l->entry = a->incarnation;
	}
	k->ops->contact(k->arg, l->entry, a->clock_ms);
	for (i = 0; i < a->entries.entries_len; i++)
		link_add(k, a->entries.entries_val[i], false);
}

static void
send_attach(struct link *l)
{
	struct lk *k = l->links;
	struct pd_attach a = {0};

	if (!k->ops->fill_attach(k->arg, &a))
		return;
	a.cell = k->cell;
	a.clock_ms = ck_mono_ms(k->clock);
	a.entries_hash = hash_entries(k);
	l->heartbeat_pending = true;
	l->heartbeat_sent_ms = a.clock_ms;
	cn_call(l->conn, PD_ATTACH, (xdrproc_t)xdr_pd_attach, &a,
	    (xdrproc_t)xdr_pd_attached, sizeof(struct pd_attached),
	    HEARTBEAT_TIMEOUT_MS, on_attached, l);
}

static void
maintain_link(struct link *l, bool now)
{
	enum cn_error error;

	if (l->conn == NULL) {
		l->conn = cn_connect(
		    l->links->base, l->address, &link_ops, l, &error);
		if (l->conn != NULL)
			cn_set_idle(l->conn, CONNECT_TIMEOUT_MS);
	} else if (l->open && !l->heartbeat_pending &&
	    (now ||
		ck_mono_ms(l->links->clock) - l->heartbeat_sent_ms >=
		    LE_HEARTBEAT_MS)) {
		send_attach(l);
	}
}

static void
maintain_links(struct lk *k, bool heartbeat)
{
	GList *links = g_hash_table_get_values(k->table), *i;
	uint64_t now = ck_mono_ms(k->clock);
	struct link *l;

	for (i = links; i != NULL; i = i->next) {
		l = i->data;
		if (!l->seed && now - l->last_answer_ms > FORGET_ADDRESS_MS)
			g_hash_table_remove(k->table, l->address);
		else
			maintain_link(l, heartbeat);
	}
	g_list_free(links);
}

void
lk_send_heartbeats(struct lk *k)
{
	maintain_links(k, true);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct timeval tv = {0, RETRY_MS * US_PER_MS};
	struct lk *k = arg;

	(void)fd;
	(void)what;
	event_add(k->timer, &tv);
	maintain_links(k, false);
}

/* Entries that compete for a worker need its current load, so reports also go
 * to entries without ended tasks. They are limited in rate, since an entry
 * without work here needs no more than the heartbeats. */
static bool
is_load_report_due(const struct link *l, uint64_t now)
{
	return (l->open && l->entry != 0 &&
	    now - l->load_sent_ms >= LOAD_REPORT_MS);
}

static void
on_flush(evutil_socket_t fd, short what, void *arg)
{
	struct lk *k = arg;
	uint64_t now = ck_mono_ms(k->clock);
	struct pd_ended e = {0};
	GHashTableIter it;
	struct link *l;

	(void)fd;
	(void)what;
	fill_load(k, &e);
	g_hash_table_iter_init(&it, k->table);
	while (g_hash_table_iter_next(&it, NULL, (void **)&l)) {
		if (l->unsent_ends->len == 0 && !is_load_report_due(l, now))
			continue;
		l->load_sent_ms = now;
		e.list.list_val = (struct pd_end *)l->unsent_ends->data;
		e.list.list_len = MIN(l->unsent_ends->len, PD_BATCH_MAX);
		if (l->open)
			cn_send(l->conn, PD_ENDED, (xdrproc_t)xdr_pd_ended, &e);
		clear_unsent_ends(l);
	}
}

void
lk_add_seed(struct lk *k, const char *address)
{
	link_add(k, address, true);
}

void
lk_report_end(struct lk *k, uint64_t entry, const struct pd_end *e)
{
	struct pd_end copy = *e;
	GHashTableIter it;
	struct link *l;

	g_hash_table_iter_init(&it, k->table);
	while (g_hash_table_iter_next(&it, NULL, (void **)&l)) {
		if (l->entry != entry || !l->open)
			continue;
		copy.key.sub.id = g_strdup(e->key.sub.id);
		g_array_append_val(l->unsent_ends, copy);
		event_active(k->flush_event, EV_TIMEOUT, 0);
		return;
	}
}

unsigned
lk_connected(const struct lk *k)
{
	GHashTableIter it;
	struct link *l;
	unsigned n = 0;

	g_hash_table_iter_init(&it, k->table);
	while (g_hash_table_iter_next(&it, NULL, (void **)&l))
		n += l->open && l->entry != 0;
	return (n);
}

struct lk *
lk_new(struct event_base *base, const struct ck *clock, const char *cell,
    const char *const *seeds, size_t nseeds, const struct lk_ops *ops,
    void *arg)
{
	struct lk *k = g_new0(struct lk, 1);
	size_t i;

	k->base = base;
	k->clock = clock;
	k->cell = g_strdup(cell);
	k->ops = ops;
	k->arg = arg;
	k->table =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, link_free);
	for (i = 0; i < nseeds; i++)
		link_add(k, seeds[i], true);
	k->timer = evtimer_new(base, on_timer, k);
	k->flush_event = event_new(base, -1, 0, on_flush, k);
	on_timer(-1, 0, k);
	return (k);
}

void
lk_free(struct lk *k)
{
	if (k == NULL)
		return;
	k->closing = true;
	event_free(k->timer);
	event_free(k->flush_event);
	g_hash_table_destroy(k->table);
	g_free(k->cell);
	g_free(k);
}
