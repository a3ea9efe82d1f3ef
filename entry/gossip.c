#include <glib.h>
#include <string.h>

#include "cancels.h"
#include "clock.h"
#include "contacts.h"
#include "gossip.h"
#include "log.h"
#include "rng.h"

/* Period of exchanges with some of the other entries. A configuration reaches
 * an entry within two or three periods and has to be in force after 2 s. */
#define EXCHANGE_PERIOD_MS 300
/* An entry that has just started tries the seeds that it has not heard from
 * every SEED_RETRY_MS, at most for SEED_RETRY_MAX_MS: they may start at the
 * same time, and agents learn from them which entries there are. */
#define SEED_RETRY_MS 50
#define SEED_RETRY_MAX_MS 2000
/* Timeout of these attempts: the SYN to a host that has no power yet is lost.
 * It is more than a round trip between regions, 40 ms. */
#define SEED_CONNECT_TIMEOUT_MS 75
/* Entries that are contacted in each period. */
#define EXCHANGE_PEERS_MIN 6
/* Each entry is contacted at least once in so many periods. */
#define EXCHANGE_ROUND_PERIODS 6
#define CALL_TIMEOUT_MS 600
/* Timeout of a call for the configuration, which may have megabytes. */
#define FETCH_TIMEOUT_MS 3000
/* An entry that has got no configuration by then asks another entry as well. */
#define FETCH_RETRY_MS 600
/* An entry that the store answers gives it this time to send the configuration,
 * or to say that it has not changed: both come within a second. */
#define STORE_DELAY_MS 1200
/* A host without power does not refuse connections. Once it is back, a new
 * attempt succeeds sooner than the next SYN retransmission of the old one. */
#define CONNECT_TIMEOUT_MS 250
/* A connection that receives nothing in a round of exchanges and this time is
 * closed. */
#define IDLE_MS 1500
#define IDLE_ROUND_MS (IDLE_MS + EXCHANGE_ROUND_PERIODS * EXCHANGE_PERIOD_MS)
/* An entry that has sent nothing for this time is left out of the lists that
 * agents and other entries get. */
#define ADVERTISE_MS 10000
/* An entry that has sent nothing for this time is removed, unless it is a
 * seed. */
#define FORGET_MS 60000
#define JOB_TIMEOUT_MS 500
/* Time between log lines about addresses that cannot be used. */
#define ODD_LOG_MS 1000
#define US_PER_MS 1000

struct peer {
	struct go *gossip;
	char *address;
	struct cn *conn;
	bool connected;
	bool seed;
	bool call_pending;
	bool silent; /* the last message got no reply */
	uint64_t added_ms;
	uint64_t last_heard_ms; /* 0: never */
	uint64_t revision;      /* of the queues that it has */
	uint64_t zones_revision;
	uint64_t incarnation;
	uint64_t run_times_sent_ms; /* 0: not since it has started */
	uint32_t list_hash;         /* of the entries that it lists */
	GHashTable *waiting;        /* queue -> number of waiting jobs */
};

/* How long some entry has had a newer part of the configuration. */
struct lag {
	uint64_t since_ms; /* 0: not yet */
	uint64_t revision; /* own revision at since_ms */
};

struct go {
	struct event_base *base;
	const struct ck *clock;
	const struct cf *config;
	struct go_identity self;
	const struct go_ops *ops;
	void *arg;
	GHashTable *peers;    /* address -> struct peer, owned */
	GPtrArray *addresses; /* result of go_addresses(); borrowed text */
	GPtrArray *round;     /* addresses not contacted in this round, owned */
	struct uc *cancels;   /* that other entries were not told of */
	size_t run_times_bytes; /* of the summaries that were sent last */
	struct rn *rng;
	struct event *timer;
	struct event *seed_timer;
	uint64_t started_ms;
	struct lag queues_lag;
	struct lag zones_lag;
	uint64_t fetch_sent_ms; /* last call for the configuration */
	unsigned fetches;       /* calls for it without a reply */
	uint64_t odd_logged_ms; /* last log line about an odd address */
	bool closing;
};

static void
peer_closed(void *arg, struct cn *c, enum cn_error why)
{
	struct peer *p = arg;

	(void)c;
	if (p->connected)
		lg_write(LOG_NOTICE, "gossip", "no connection to entry %s: %s",
		    p->address, cn_error_name(why));
	p->conn = NULL;
	p->connected = false;
}

static void send_message(struct go *g, struct peer *p);
static void repeat_cancels(struct peer *p);

static void
peer_opened(void *arg, struct cn *c)
{
	struct peer *p = arg;

	p->connected = true;
	cn_set_idle(c, IDLE_ROUND_MS);
	send_message(p->gossip, p);
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

/* @address has at most PD_NAME_MAX bytes. */
static void
log_odd_address(struct go *g, const char *address)
{
	uint64_t now = ck_mono_ms(g->clock);
	char *text;

	if (g->odd_logged_ms != 0 && now - g->odd_logged_ms < ODD_LOG_MS)
		return;
	g->odd_logged_ms = now;
	text = g_strescape(address, NULL);
	lg_write(LOG_WARNING, "gossip",
	    "ignoring an entry: \"%s\" is no IP:port", text);
	g_free(text);
}

static struct peer *
peer_add(struct go *g, const char *address, bool seed)
{
	struct peer *p;

	if (!cn_is_address(address)) {
		log_odd_address(g, address);
		return (NULL);
	}
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

/* Whether to ask a peer for the configuration: one peer at a time, and none
 * while the store is expected to send it. */
static bool
should_fetch(const struct go *g, const struct peer *p)
{
	uint64_t now = ck_mono_ms(g->clock);

	if (g->fetches > 0 && now - g->fetch_sent_ms < FETCH_RETRY_MS)
		return (false);
	if (!cf_complete(g->config))
		return (true);
	if (!g->ops->store_reachable(g->arg))
		return (p->revision > cf_revision(g->config) ||
		    p->zones_revision > cf_zones_revision(g->config));
	return ((p->revision > cf_revision(g->config) &&
		    now - g->queues_lag.since_ms >= STORE_DELAY_MS) ||
	    (p->zones_revision > cf_zones_revision(g->config) &&
		now - g->zones_lag.since_ms >= STORE_DELAY_MS));
}

static void contact_peer(struct go *g, struct peer *p);

/* Return: whether a peer has a newer revision than @own. */
static bool
update_lag(const struct go *g, struct lag *l, uint64_t own, uint64_t peers)
{
	if (peers <= own)
		return (false);
	if (l->since_ms == 0 || l->revision != own) {
		l->since_ms = ck_mono_ms(g->clock);
		l->revision = own;
	}
	return (true);
}

static void
update_revisions(struct go *g, struct peer *p, const struct pd_gossip *m)
{
	bool queues, zones;

	p->revision = m->revision;
	p->zones_revision = m->zones_revision;
	queues =
	    update_lag(g, &g->queues_lag, cf_revision(g->config), p->revision);
	zones = update_lag(
	    g, &g->zones_lag, cf_zones_revision(g->config), p->zones_revision);
	if ((queues || zones) && should_fetch(g, p))
		contact_peer(g, p);
}

/* Handles a message or reply of another entry. */
static void
handle_message(struct go *g, const struct pd_gossip *m)
{
	struct peer *p = peer_add(g, m->address, false);
	unsigned i;

	if (p == NULL || strcmp(m->cell, g->self.cell) != 0)
		return;
	if (p->last_heard_ms == 0)
		lg_write(LOG_NOTICE, "gossip", "entry %s is at %s", m->name,
		    m->address);
	p->last_heard_ms = ck_mono_ms(g->clock);
	p->list_hash = m->entries_hash;
	if (p->incarnation != 0 && p->incarnation != m->incarnation)
		p->run_times_sent_ms = 0;
	p->incarnation = m->incarnation;
	if (m->run_times.run_times_len > 0 &&
	    g->ops->run_times_received != NULL)
		g->ops->run_times_received(g->arg, p->address,
		    m->run_times.run_times_val, m->run_times.run_times_len);
	g_hash_table_remove_all(p->waiting);
	for (i = 0; i < m->waiting.waiting_len; i++)
		g_hash_table_insert(p->waiting,
		    g_strdup(m->waiting.waiting_val[i].queue),
		    GUINT_TO_POINTER(m->waiting.waiting_val[i].jobs));
	for (i = 0; i < m->entries.entries_len; i++)
		peer_add(g, m->entries.entries_val[i], false);
	if (m->config != NULL)
		g->ops->config_received(g->arg, m->config);
	update_revisions(g, p, m);
}

const char *const *
go_addresses(struct go *g, unsigned *n, uint32_t *hash)
{
	uint64_t now = ck_mono_ms(g->clock);
	GHashTableIter it;
	struct peer *p;
	const char *const *list;

	g_ptr_array_set_size(g->addresses, 0);
	g_ptr_array_add(g->addresses, (char *)(uintptr_t)g->self.address);
	g_hash_table_iter_init(&it, g->peers);
	while (g_hash_table_iter_next(&it, NULL, (void **)&p))
		if (p->last_heard_ms != 0 &&
		    now - p->last_heard_ms < ADVERTISE_MS &&
		    g->addresses->len < PD_ENTRIES_MAX)
			g_ptr_array_add(g->addresses, p->address);
	list = (const char *const *)g->addresses->pdata;
	*n = g->addresses->len;
	*hash = ac_list_hash(list, *n);
	return (list);
}

/* Lists the queues with waiting jobs. Their names are borrowed; the caller
 * frees m->waiting.waiting_val. */
static void
fill_waiting(struct go *g, struct pd_gossip *m)
{
	GHashTable *counts = g->ops->waiting_counts(g->arg);
	struct pd_waiting *w;
	GHashTableIter it;
	void *queue, *n;

	m->waiting.waiting_val =
	    g_new0(struct pd_waiting, g_hash_table_size(counts) + 1);
	g_hash_table_iter_init(&it, counts);
	while (g_hash_table_iter_next(&it, &queue, &n)) {
		w = &m->waiting.waiting_val[m->waiting.waiting_len++];
		w->queue = queue;
		w->jobs = GPOINTER_TO_UINT(n);
	}
	g_hash_table_destroy(counts);
}

/* Fills a message, without a configuration, to an entry that has a list of
 * entries with @list_hash. @p is NULL if it is not of this cell. The caller
 * frees the message with release_message(). */
static void
fill_message(
    struct go *g, struct pd_gossip *m, struct peer *p, uint32_t list_hash)
{
	const char *const *entries;
	uint32_t hash;
	unsigned n;

	m->cell = (char *)(uintptr_t)g->self.cell;
	m->name = (char *)(uintptr_t)g->self.name;
	m->address = (char *)(uintptr_t)g->self.address;
	m->incarnation = g->self.incarnation;
	m->revision = cf_revision(g->config);
	m->zones_revision = cf_zones_revision(g->config);
	entries = go_addresses(g, &n, &hash);
	m->entries_hash = hash;
	if (hash != list_hash) {
		m->entries.entries_val = (pd_name *)(uintptr_t)entries;
		m->entries.entries_len = n;
	}
	fill_waiting(g, m);
	if (p != NULL)
		sh_fill(&g->run_times_bytes, g_hash_table_size(g->peers),
		    ck_mono_ms(g->clock), &p->run_times_sent_ms, m,
		    g->ops->run_times, g->arg);
}

/* Frees what fill_message() has allocated. */
static void
release_message(struct pd_gossip *m)
{
	g_free(m->waiting.waiting_val);
	sh_release(m);
}

struct exchange {
	struct go *gossip;
	char *address;
	bool fetch;
};

static void
on_gossip_reply(void *arg, enum cn_error error, void *result)
{
	struct exchange *x = arg;
	struct peer *p = NULL;

	if (x->fetch)
		x->gossip->fetches--;
	/* go_free() ends pending calls while it destroys the table. */
	if (!x->gossip->closing)
		p = g_hash_table_lookup(x->gossip->peers, x->address);
	if (p != NULL) {
		p->call_pending = false;
		p->silent = error == CN_TIMEOUT;
		if (error == CN_OK) {
			handle_message(x->gossip, result);
			repeat_cancels(p);
		}
	}
	g_free(x->address);
	g_free(x);
}

static void
send_message(struct go *g, struct peer *p)
{
	struct pd_gossip m = {0};
	struct exchange *x;

	fill_message(g, &m, p, p->list_hash);
	x = g_new0(struct exchange, 1);
	x->gossip = g;
	x->address = g_strdup(p->address);
	x->fetch = should_fetch(g, p);
	if (x->fetch) {
		m.wants_config = true;
		g->fetch_sent_ms = ck_mono_ms(g->clock);
		g->fetches++;
	}
	p->call_pending = true;
	cn_call(p->conn, PD_GOSSIP, (xdrproc_t)xdr_pd_gossip, &m,
	    (xdrproc_t)xdr_pd_gossip, sizeof(struct pd_gossip),
	    x->fetch ? FETCH_TIMEOUT_MS : CALL_TIMEOUT_MS, on_gossip_reply, x);
	release_message(&m);
}

static bool
is_starting(const struct go *g)
{
	return (ck_mono_ms(g->clock) - g->started_ms < SEED_RETRY_MAX_MS);
}

static void
contact_peer(struct go *g, struct peer *p)
{
	enum cn_error error;

	if (p->conn != NULL && p->silent)
		cn_close(p->conn);
	if (p->conn == NULL) {
		p->call_pending = false;
		p->silent = false;
		p->conn = cn_connect(g->base, p->address, &peer_ops, p, &error);
		if (p->conn != NULL)
			cn_set_idle(p->conn,
			    p->seed && is_starting(g) ? SEED_CONNECT_TIMEOUT_MS
						      : CONNECT_TIMEOUT_MS);
	} else if (p->connected && !p->call_pending) {
		send_message(g, p);
	}
}

static bool
is_expired(struct go *g, const struct peer *p)
{
	return (!p->seed &&
	    ck_mono_ms(g->clock) - MAX(p->last_heard_ms, p->added_ms) >
		FORGET_MS);
}

static void
remove_expired(struct go *g)
{
	GHashTableIter it;
	struct peer *p;

	g_hash_table_iter_init(&it, g->peers);
	while (g_hash_table_iter_next(&it, NULL, (void **)&p))
		if (is_expired(g, p))
			g_hash_table_iter_remove(&it);
}

/* Starts a round of exchanges with all other entries. */
static void
start_round(struct go *g)
{
	GHashTableIter it;
	struct peer *p;

	g_hash_table_iter_init(&it, g->peers);
	while (g_hash_table_iter_next(&it, NULL, (void **)&p))
		g_ptr_array_add(g->round, g_strdup(p->address));
}

/* Contacts random entries, each once in a round. A round through a random order
 * passes news on as fast as random choices do, and misses no entry. */
static void
contact_some(struct go *g)
{
	guint peers = g_hash_table_size(g->peers);
	guint count = MAX(EXCHANGE_PEERS_MIN,
	    (peers + EXCHANGE_ROUND_PERIODS - 1) / EXCHANGE_ROUND_PERIODS);
	struct peer *p;
	char *address;
	guint i;

	for (i = 0; i < MIN(count, peers); i++) {
		if (g->round->len == 0)
			start_round(g);
		address = g_ptr_array_steal_index_fast(
		    g->round, rn_below(g->rng, g->round->len));
		p = g_hash_table_lookup(g->peers, address);
		if (p != NULL)
			contact_peer(g, p);
		g_free(address);
	}
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct timeval tv = {0, EXCHANGE_PERIOD_MS * US_PER_MS};
	struct go *g = arg;

	(void)fd;
	(void)what;
	event_add(g->timer, &tv);
	remove_expired(g);
	contact_some(g);
}

static void
on_seed_timer(evutil_socket_t fd, short what, void *arg)
{
	struct timeval tv = {0, SEED_RETRY_MS * US_PER_MS};
	struct go *g = arg;
	GHashTableIter it;
	struct peer *p;
	unsigned missing = 0;

	(void)fd;
	(void)what;
	g_hash_table_iter_init(&it, g->peers);
	while (g_hash_table_iter_next(&it, NULL, (void **)&p)) {
		if (!p->seed || p->last_heard_ms != 0)
			continue;
		contact_peer(g, p);
		missing++;
	}
	if (missing > 0 && is_starting(g))
		event_add(g->seed_timer, &tv);
}

void
go_add_seed(struct go *g, const char *address)
{
	peer_add(g, address, true);
}

struct go *
go_new(struct event_base *base, const struct ck *clock, const struct cf *config,
    const struct go_identity *self, const struct go_ops *ops, void *arg)
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
	g->addresses = g_ptr_array_new();
	g->round = g_ptr_array_new_with_free_func(g_free);
	g->cancels = uc_new(clock);
	g->rng = rn_new(self->incarnation);
	for (i = 0; i < self->nseeds; i++)
		peer_add(g, self->seeds[i], true);
	g->started_ms = ck_mono_ms(clock);
	g->timer = evtimer_new(base, on_timer, g);
	g->seed_timer = evtimer_new(base, on_seed_timer, g);
	on_timer(-1, 0, g);
	on_seed_timer(-1, 0, g);
	return (g);
}

void
go_free(struct go *g)
{
	if (g == NULL)
		return;
	g->closing = true;
	event_free(g->timer);
	event_free(g->seed_timer);
	g_hash_table_destroy(g->peers);
	g_ptr_array_free(g->addresses, TRUE);
	g_ptr_array_free(g->round, TRUE);
	uc_free(g->cancels);
	rn_free(g->rng);
	g_free(g);
}

/* Return: the parts of the configuration that are newer than those of the
 * sender of @m, borrowed; revision 0 for a part that is not. */
static struct pd_config
newer_parts(const struct go *g, const struct pd_gossip *m)
{
	struct pd_config c = *cf_current(g->config);

	if (c.revision <= m->revision) {
		c.revision = 0;
		c.queues.queues_len = 0;
	}
	if (c.zones_revision <= m->zones_revision) {
		c.zones_revision = 0;
		c.evacuated.evacuated_len = 0;
	}
	return (c);
}

static void
on_gossip(struct go *g, struct cn *c, uint32_t xid, XDR *args)
{
	struct pd_gossip m = {0}, reply = {0};
	struct pd_config newer;
	struct peer *p = NULL;

	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_gossip, &m))
		return;
	cn_set_idle(c, IDLE_ROUND_MS);
	handle_message(g, &m);
	if (strcmp(m.cell, g->self.cell) == 0)
		p = g_hash_table_lookup(g->peers, m.address);
	fill_message(g, &reply, p, m.entries_hash);
	newer = newer_parts(g, &m);
	if (m.wants_config &&
	    (newer.revision != 0 || newer.zones_revision != 0))
		reply.config = &newer;
	cn_reply(c, xid, (xdrproc_t)xdr_pd_gossip, &reply);
	release_message(&reply);
	xdr_free((xdrproc_t)xdr_pd_gossip, (char *)&m);
}

static void
on_job_call(struct go *g, struct cn *c, uint32_t xid, XDR *args,
    bool (*handle)(void *arg, const char *id))
{
	struct pd_id id = {0};
	bool_t known;

	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_id, &id))
		return;
	known = handle(g->arg, id.id);
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
		on_job_call(g, c, xid, args, g->ops->cancel);
	else if (proc == PD_CLAIM)
		on_job_call(g, c, xid, args, g->ops->claim);
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

/* A question about a job that waits for the replies of other entries. */
struct job_question {
	unsigned pending; /* calls without a reply */
	bool known;
	uint64_t waiter;
	void (*done)(void *arg, uint64_t waiter, bool known);
	void *arg;
};

/* A call about a job to one entry. */
struct job_call {
	struct go *gossip;
	struct job_question *question; /* NULL for a repeated cancellation */
	uint32_t proc;
	char *address;
	char *id;
};

static void
end_job_call(struct job_call *call)
{
	g_free(call->address);
	g_free(call->id);
	g_free(call);
}

static void
on_cancel_repeated(void *arg, enum cn_error error, void *result)
{
	struct job_call *call = arg;

	(void)result;
	if (error == CN_OK && !call->gossip->closing) {
		lg_write(LOG_NOTICE, "gossip",
		    "entry %s was told late that job %s is cancelled",
		    call->address, call->id);
		uc_remove(call->gossip->cancels, call->address, call->id);
	}
	end_job_call(call);
}

static void
send_job_call(struct go *g, struct peer *p, uint32_t proc, const char *id,
    struct job_question *question, cn_reply_fn done)
{
	struct pd_id key = {.id = (char *)(uintptr_t)id};
	struct job_call *call = g_new0(struct job_call, 1);

	call->gossip = g;
	call->question = question;
	call->proc = proc;
	call->address = g_strdup(p->address);
	call->id = g_strdup(id);
	cn_call(p->conn, proc, (xdrproc_t)xdr_pd_id, &key, (xdrproc_t)xdr_bool,
	    sizeof(bool_t), JOB_TIMEOUT_MS, done, call);
}

static void
repeat_cancel(void *arg, const char *id)
{
	struct peer *p = arg;

	send_job_call(p->gossip, p, PD_ABANDON, id, NULL, on_cancel_repeated);
}

/* Tells an entry that is in reach of the jobs that were cancelled meanwhile. */
static void
repeat_cancels(struct peer *p)
{
	if (p->connected)
		uc_each(p->gossip->cancels, p->address, repeat_cancel, p);
}

static void
on_job_answer(struct job_question *k, enum cn_error error, const void *result)
{
	if (error == CN_OK && result != NULL && *(const bool_t *)result)
		k->known = true;
	if (--k->pending > 0)
		return;
	k->done(k->arg, k->waiter, k->known);
	g_free(k);
}

static void
on_job_reply(void *arg, enum cn_error error, void *result)
{
	struct job_call *call = arg;

	if (error != CN_OK && call->proc == PD_ABANDON &&
	    !call->gossip->closing)
		uc_add(call->gossip->cancels, call->address, call->id);
	on_job_answer(call->question, error, result);
	end_job_call(call);
}

static void
ask_about_job(struct go *g, uint32_t proc, const char *id,
    void (*done)(void *arg, uint64_t waiter, bool known), void *arg,
    uint64_t waiter)
{
	struct job_question *k = g_new0(struct job_question, 1);
	GHashTableIter it;
	struct peer *p;

	/* Counts the call of on_job_answer() below, which makes @done certain
	 * when there are no other entries. */
	k->pending = 1;
	k->waiter = waiter;
	k->done = done;
	k->arg = arg;
	g_hash_table_iter_init(&it, g->peers);
	while (g_hash_table_iter_next(&it, NULL, (void **)&p)) {
		if (p->connected) {
			k->pending++;
			send_job_call(g, p, proc, id, k, on_job_reply);
		} else if (proc == PD_ABANDON && p->last_heard_ms != 0) {
			uc_add(g->cancels, p->address, id);
		}
	}
	on_job_answer(k, CN_CLOSED, NULL);
}

void
go_cancel(struct go *g, const char *id,
    void (*done)(void *arg, uint64_t waiter, bool known), void *arg,
    uint64_t waiter)
{
	ask_about_job(g, PD_ABANDON, id, done, arg, waiter);
}

void
go_claim(struct go *g, const char *id,
    void (*done)(void *arg, uint64_t waiter, bool known), void *arg,
    uint64_t waiter)
{
	ask_about_job(g, PD_CLAIM, id, done, arg, waiter);
}
