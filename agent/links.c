#include <glib.h>
#include <string.h>

#include "clock.h"
#include "conn.h"
#include "contacts.h"
#include "lease.h"
#include "links_impl.h"
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
/* An address that no entry has announced for this time is removed, unless it is
 * a seed or answers. */
#define FORGET_ADDRESS_MS 60000
/* Period at which the complete list of entries is requested, to notice which
 * ones are no longer announced. */
#define REFRESH_LIST_MS 10000
/* An agent that has just started asks a seed for new entries every RETRY_MS
 * until none was announced for DISCOVERY_IDLE_MS, at most for DISCOVERY_MAX_MS:
 * after a power loss entries start at the same time as agents. */
#define DISCOVERY_IDLE_MS 300
#define DISCOVERY_MAX_MS 1500
/* Timeout of a connection attempt during DISCOVERY_MAX_MS, when other hosts may
 * still have no power. It is more than a round trip between regions, 40 ms. */
#define DISCOVERY_CONNECT_MS 75
/* A connection that is not needed any more is closed after the entry has been
 * told for this time to grant nothing. */
#define RELEASE_MS 1000
/* Period of full heartbeats beside short ones. Their answers have the numbers
 * of workers by which the agent decides to how many entries it connects. */
#define ATTACH_PERIOD_MS 1000
#define US_PER_MS 1000

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
	l->echo_ms = 0;
	l->described = 0;
	l->attached = 0;
	l->attached_ms = 0;
	l->failed = true;
	l->heartbeat_pending = false;
	l->heartbeat_due = false;
}

static void
link_opened(void *arg, struct cn *c)
{
	struct link *l = arg;

	l->open = true;
	cn_set_idle(c, IDLE_TIMEOUT_MS);
	if (!l->heartbeat_pending)
		lk_send_heartbeat(l);
}

/* Queues the report of an end, which is sent after this loop pass. */
static void
add_unsent_end(struct link *l, const struct pd_end *e)
{
	struct pd_end copy = *e;

	copy.key.sub.id = g_strdup(e->key.sub.id);
	g_array_append_val(l->unsent_ends, copy);
	event_active(l->links->flush_event, EV_TIMEOUT, 0);
}

bool
lk_in_contact(const struct link *l)
{
	return (l->echo_ms != 0 &&
	    ck_mono_ms(l->links->clock) <= l->echo_ms + LE_CONTACT_MS);
}

/* The load as it is reported to one entry: one that the agent is about to
 * leave, or that has no description of the endpoint as it is, must not grant.
 */
static struct pd_load
load_for(const struct link *l, const struct pd_attach *a)
{
	struct pd_load load = a->load;

	load.accepting = load.accepting && l->unneeded_ms == 0 &&
	    l->described == a->endpoint;
	return (load);
}

struct pd_load
lk_current_load(const struct link *l)
{
	struct pd_attach a = {0};

	l->links->ops->fill_attach(l->links->arg, &a);
	return (load_for(l, &a));
}

/* Sends the load and all ends that are not sent yet. */
void
lk_send_ends(struct link *l, struct pd_load load)
{
	struct pd_ended e = {.load = load};
	guint sent = 0;

	do {
		e.list.list_val = (struct pd_end *)l->unsent_ends->data + sent;
		e.list.list_len = MIN(l->unsent_ends->len - sent, PD_BATCH_MAX);
		cn_send(l->conn, PD_ENDED, (xdrproc_t)xdr_pd_ended, &e);
		sent += e.list.list_len;
	} while (sent < l->unsent_ends->len);
	clear_unsent_ends(l);
}

static void
link_call(void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	(void)c;
	lk_handle_call(arg, proc, xid, args);
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

static gint
compare_ranks(gconstpointer a, gconstpointer b)
{
	const struct link *x = *(struct link *const *)a;
	const struct link *y = *(struct link *const *)b;

	return ((x->rank > y->rank) - (x->rank < y->rank));
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
	l->rank = ac_rank(k->name, address);
	l->announced_ms = ck_mono_ms(k->clock);
	k->discovered_ms = l->announced_ms;
	l->unsent_ends = g_array_new(FALSE, TRUE, sizeof(struct pd_end));
	g_hash_table_insert(k->table, l->address, l);
	g_ptr_array_add(k->ranked, l);
	g_ptr_array_sort(k->ranked, compare_ranks);
	return (l);
}

static void
link_remove(struct lk *k, struct link *l)
{
	g_ptr_array_remove(k->ranked, l);
	g_hash_table_remove(k->table, l->address);
}

static void
add_announced(struct link *from, const struct pd_attached *a)
{
	const char *const *list = (const char *const *)a->entries.entries_val;
	unsigned n = a->entries.entries_len, i;
	struct lk *k = from->links;
	guint known = k->ranked->len;

	for (i = 0; i < n; i++)
		link_add(k, list[i], false)->announced_ms =
		    ck_mono_ms(k->clock);
	if (k->ranked->len > known)
		event_active(k->connect_event, EV_TIMEOUT, 0);
	if (n > 0)
		from->list_hash = ac_list_hash(list, n);
}

static bool
is_attached(const struct link *l)
{
	return (l->open && l->echo_ms != 0);
}

/* Another connection to the entry of @l, NULL if there is none. */
static struct link *
other_link(const struct link *l)
{
	GHashTableIter it;
	struct link *o;

	if (l->entry == 0)
		return (NULL);
	g_hash_table_iter_init(&it, l->links->table);
	while (g_hash_table_iter_next(&it, NULL, (void **)&o))
		if (o != l && o->entry == l->entry && is_attached(o))
			return (o);
	return (NULL);
}

/* An entry may have several addresses. Grants and queries of an entry must come
 * on one connection, which keeps their order, so the earlier one is closed
 * before anything is read that follows the reply on the new one. */
static void
close_other_link(struct link *l)
{
	struct link *o = other_link(l);

	if (o == NULL)
		return;
	lg_write(LOG_NOTICE, "links", "%s is the entry at %s", l->address,
	    o->address);
	o->open = false;
	cn_close(o->conn);
	o->failed = false;
}

/* Takes the ends that wait for another connection to the entry of @l. */
static void
take_unsent_ends(struct link *l)
{
	GHashTableIter it;
	struct link *o;

	g_hash_table_iter_init(&it, l->links->table);
	while (g_hash_table_iter_next(&it, NULL, (void **)&o)) {
		if (o == l || o->entry != l->entry || o->unsent_ends->len == 0)
			continue;
		g_array_append_vals(
		    l->unsent_ends, o->unsent_ends->data, o->unsent_ends->len);
		g_array_set_size(o->unsent_ends, 0);
	}
}

static void
entry_gone(struct link *l)
{
	struct lk *k = l->links;

	if (l->entry != 0 && other_link(l) == NULL)
		k->ops->gone(k->arg, l->entry);
}

static void
on_attached(void *arg, enum cn_error error, void *result)
{
	struct link *l = arg;
	struct lk *k = l->links;
	const struct pd_attached *a = result;

	l->heartbeat_pending = false;
	if (error != CN_OK || k->closing)
		return;
	l->announced_ms = ck_mono_ms(k->clock);
	l->failed = false;
	if (l->entry != a->incarnation) {
		lg_write(LOG_NOTICE, "links", "connected to entry %s at %s",
		    a->entry, l->address);
		entry_gone(l);
		clear_unsent_ends(l);
		l->entry = a->incarnation;
	}
	close_other_link(l);
	take_unsent_ends(l);
	l->echo_ms = a->clock_ms;
	l->attached = l->described;
	l->attached_ms = a->clock_ms;
	if (l->unsent_ends->len > 0)
		event_active(k->flush_event, EV_TIMEOUT, 0);
	k->ops->contact(k->arg, l->entry, a->clock_ms, &a->zones);
	/* An entry has not counted a worker that has just connected. */
	if (l->unneeded_ms == 0 && a->service_workers > 0)
		ac_observe(k->contacts, a->service_workers, a->label_workers);
	add_announced(l, a);
	if (l->heartbeat_due && l->open)
		lk_send_heartbeat(l);
}

static void
on_renewed(void *arg, enum cn_error error, void *result)
{
	struct link *l = arg;
	const struct pd_renewed *r = result;

	l->heartbeat_pending = false;
	if (error != CN_OK || l->links->closing)
		return;
	l->announced_ms = ck_mono_ms(l->links->clock);
	l->echo_ms = r->clock_ms;
	l->links->ops->contact(l->links->arg, l->entry, r->clock_ms, &r->zones);
	if (r->attach)
		l->attached_ms = 0;
	if ((l->heartbeat_due || r->attach) && l->open)
		lk_send_heartbeat(l);
}

/* Hash of the list that an entry need not send again. Now and then it is none,
 * so that addresses that are no longer announced are noticed. */
static uint32_t
known_list(struct link *l)
{
	struct lk *k = l->links;
	uint64_t now = ck_mono_ms(k->clock);

	if (now - k->list_requested_ms < REFRESH_LIST_MS)
		return (l->list_hash);
	k->list_requested_ms = now;
	return (0);
}

static void
send_attach(struct link *l, struct pd_attach *a)
{
	a->cell = l->links->cell;
	a->entries_hash = known_list(l);
	cn_call(l->conn, PD_ATTACH, (xdrproc_t)xdr_pd_attach, a,
	    (xdrproc_t)xdr_pd_attached, sizeof(struct pd_attached),
	    HEARTBEAT_TIMEOUT_MS, on_attached, l);
}

static void
send_renew(struct link *l, const struct pd_attach *a)
{
	struct pd_renew r = {.endpoint = a->endpoint,
	    .load = a->load,
	    .clock_ms = a->clock_ms,
	    .entries_hash = l->list_hash};

	cn_call(l->conn, PD_RENEW, (xdrproc_t)xdr_pd_renew, &r,
	    (xdrproc_t)xdr_pd_renewed, sizeof(struct pd_renewed),
	    HEARTBEAT_TIMEOUT_MS, on_renewed, l);
}

/* Whether the entry has the description of the endpoint from this connection.
 */
static bool
is_described(const struct link *l, const struct pd_attach *a)
{
	return (l->attached_ms != 0 && l->attached == a->endpoint &&
	    a->clock_ms - l->attached_ms < ATTACH_PERIOD_MS);
}

void
lk_send_heartbeat(struct link *l)
{
	struct lk *k = l->links;
	struct pd_attach a = {0};

	if (!k->ops->fill_attach(k->arg, &a))
		return;
	a.clock_ms = ck_mono_ms(k->clock);
	l->described = a.endpoint;
	a.load = load_for(l, &a);
	l->heartbeat_pending = true;
	l->heartbeat_due = false;
	l->heartbeat_sent_ms = a.clock_ms;
	if (k->short_heartbeats && is_described(l, &a))
		send_renew(l, &a);
	else
		send_attach(l, &a);
}

static bool
is_starting(const struct lk *k)
{
	return (ck_mono_ms(k->clock) - k->started_ms < DISCOVERY_MAX_MS);
}

/* Whether to ask a seed for new entries without waiting for the next
 * heartbeat. Agents that start together ask different seeds, the first ones by
 * rank. */
static bool
is_asked_for_entries(const struct link *l)
{
	const struct lk *k = l->links;
	uint64_t now = ck_mono_ms(k->clock);
	const struct link *first;
	guint i;

	if (!is_starting(k) || now - k->discovered_ms >= DISCOVERY_IDLE_MS)
		return (false);
	for (i = 0; i < k->ranked->len; i++) {
		first = k->ranked->pdata[i];
		if (first->seed && first->open)
			return (first == l);
	}
	return (false);
}

static void
maintain_link(struct link *l, bool now)
{
	enum cn_error error;

	if (l->conn == NULL) {
		l->conn = cn_connect(
		    l->links->base, l->address, &link_ops, l, &error);
		if (l->conn != NULL)
			cn_set_idle(l->conn,
			    is_starting(l->links) ? DISCOVERY_CONNECT_MS
						  : CONNECT_TIMEOUT_MS);
		else
			l->failed = true;
	} else if (l->open && l->heartbeat_pending) {
		l->heartbeat_due = l->heartbeat_due || now;
	} else if (l->open &&
	    (now || is_asked_for_entries(l) ||
		ck_mono_ms(l->links->clock) - l->heartbeat_sent_ms >=
		    LE_HEARTBEAT_MS)) {
		lk_send_heartbeat(l);
	}
}

/* Whether an entry may still have grants here, or may send one. */
static bool
is_in_use(const struct link *l)
{
	const struct lk *k = l->links;

	return (l->unsent_ends->len > 0 ||
	    ck_mono_ms(k->clock) - l->unneeded_ms < RELEASE_MS ||
	    (l->entry != 0 && k->ops->has_grants(k->arg, l->entry)));
}

/* Keeps a connection that is not needed until nothing depends on it. */
static void
release_link(struct link *l)
{
	struct lk *k = l->links;

	if (l->conn == NULL)
		return;
	if (l->unneeded_ms == 0)
		l->unneeded_ms = ck_mono_ms(k->clock);
	if (l->open && is_in_use(l)) {
		maintain_link(l, false);
		return;
	}
	lg_write(LOG_DEBUG, "links", "entry %s is not needed", l->address);
	l->open = false;
	cn_close(l->conn);
	l->failed = false;
	entry_gone(l);
	clear_unsent_ends(l);
	l->entry = 0;
}

/* Connects to the first entries by rank. One that does not answer does not
 * count, but is still tried. */
static void
maintain_links(struct lk *k, bool heartbeat)
{
	unsigned left = ac_count(k->contacts, k->ranked->len);
	struct link *l;
	guint i;

	for (i = 0; i < k->ranked->len; i++) {
		l = k->ranked->pdata[i];
		if (l->conn == NULL && other_link(l) != NULL)
			continue;
		if (left == 0) {
			release_link(l);
			continue;
		}
		l->unneeded_ms = 0;
		left -= !l->failed;
		maintain_link(l, heartbeat);
	}
}

/* Backwards, since a link that is removed is not visited again. */
static void
forget_addresses(struct lk *k)
{
	uint64_t now = ck_mono_ms(k->clock);
	struct link *l;
	guint i;

	for (i = k->ranked->len; i-- > 0;) {
		l = k->ranked->pdata[i];
		if (!l->seed && now - l->announced_ms > FORGET_ADDRESS_MS)
			link_remove(k, l);
	}
}

void
lk_set_short_heartbeats(struct lk *k, bool on)
{
	k->short_heartbeats = on;
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
	forget_addresses(k);
	maintain_links(k, false);
}

/* Deferred, since the list is handled while a link is in use. */
static void
on_connect(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	maintain_links(arg, false);
}

/* Entries that compete for a worker need its current load, so reports also go
 * to entries without ended tasks. They are limited in rate, since an entry
 * without work here needs no more than the heartbeats. */
static bool
is_load_report_due(const struct link *l, uint64_t now, unsigned period_ms)
{
	return (l->unneeded_ms == 0 && now - l->load_sent_ms >= period_ms);
}

static void
on_flush(evutil_socket_t fd, short what, void *arg)
{
	struct lk *k = arg;
	uint64_t now = ck_mono_ms(k->clock);
	GHashTableIter it;
	struct pd_attach a = {0};
	unsigned period_ms = ac_report_period_ms(lk_connected(k));
	struct link *l;

	(void)fd;
	(void)what;
	k->ops->fill_attach(k->arg, &a);
	g_hash_table_iter_init(&it, k->table);
	while (g_hash_table_iter_next(&it, NULL, (void **)&l)) {
		if (!is_attached(l) ||
		    (l->unsent_ends->len == 0 &&
			!is_load_report_due(l, now, period_ms)))
			continue;
		l->load_sent_ms = now;
		lk_send_ends(l, load_for(l, &a));
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
	struct link *to = NULL, *l;
	GHashTableIter it;

	g_hash_table_iter_init(&it, k->table);
	while (g_hash_table_iter_next(&it, NULL, (void **)&l))
		if (l->entry == entry && (to == NULL || is_attached(l)))
			to = l;
	if (to != NULL)
		add_unsent_end(to, e);
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
    const char *name, const char *const *seeds, size_t nseeds,
    const struct lk_ops *ops, void *arg)
{
	struct lk *k = g_new0(struct lk, 1);
	size_t i;

	k->base = base;
	k->clock = clock;
	k->cell = g_strdup(cell);
	k->name = g_strdup(name);
	k->contacts = ac_new(clock);
	k->ranked = g_ptr_array_new();
	k->ops = ops;
	k->arg = arg;
	k->table =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, link_free);
	k->started_ms = ck_mono_ms(clock);
	k->connect_event = event_new(base, -1, 0, on_connect, k);
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
	event_free(k->connect_event);
	g_ptr_array_free(k->ranked, TRUE);
	g_hash_table_destroy(k->table);
	ac_free(k->contacts);
	g_free(k->name);
	g_free(k->cell);
	g_free(k);
}
