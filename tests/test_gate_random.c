#include "gate_fixture.h"
#include "rng.h"

/*
 * Feeds random inputs to the gate and compares it with a model that remembers
 * every start and has no memory limit.
 */

#define SEED 20261204
#define STEPS 60000
#define SEEDS 20
#define ENTRIES 3
#define RECENT_SUBS 24 /* newest submissions, which most grants are for */
#define TASKS 3
#define ATTEMPTS 2
#define SLOTS 3

/* State of one key in the model. */
struct key_state {
	bool started; /* cleared if the call ended as not started */
	bool running;
	bool voided;
	uint64_t voided_view;  /* view of the fence when it was voided */
	uint64_t granted_view; /* highest view of its grants */
};

struct sub {
	char id[32];
	uint64_t created_ms;
	bool idempotent;
	unsigned ntasks;
	struct key_state keys[TASKS][ATTEMPTS];
};

struct model {
	struct ck *clock;
	struct ct *counters;
	struct ga *gate;
	struct rn *rng;
	GPtrArray *subs; /* all ever created, so that old ids are used again */
	ga_session sessions[ENTRIES];
	uint64_t permits[ENTRIES]; /* clock reading of the newest permit */
	uint64_t revision;
	uint64_t agent_revision; /* highest in a permit */
	uint64_t fences[PD_PARTITIONS];
	struct {
		bool busy;
		struct sub *sub;
		unsigned task, attempt;
	} slots[SLOTS];
	unsigned started;
};

static struct sub *
find_sub(const struct model *m, const struct pd_id *id)
{
	struct sub *s;
	guint i;

	for (i = m->subs->len; i > 0; i--) {
		s = g_ptr_array_index(m->subs, i - 1);
		if (s->created_ms == id->created_ms &&
		    strcmp(s->id, id->id) == 0)
			return (s);
	}
	fail_msg("unknown id %s", id->id);
	return (NULL);
}

static struct pd_id
id_of(const struct sub *s)
{
	return ((struct pd_id){(char *)(uintptr_t)s->id, s->created_ms});
}

static void
check_other_attempts(const struct sub *s, unsigned task, unsigned attempt)
{
	unsigned i;

	for (i = 0; i < ATTEMPTS; i++)
		if (i != attempt && s->keys[task][i].started &&
		    (!s->idempotent || s->ntasks != 1))
			fail_msg("%s/%u started under attempts %u and %u",
			    s->id, task, i, attempt);
}

/* The configuration depends only on its revision. */
static bool
in_service(uint64_t revision)
{
	return (revision % 4 != 3);
}

static bool
any_valid_permit(const struct model *m)
{
	uint64_t now = ck_mono_ms(m->clock);
	unsigned i;

	for (i = 0; i < ENTRIES; i++)
		if (m->permits[i] != 0 &&
		    now - m->permits[i] <= GA_PERMIT_MAX_AGE_MS)
			return (true);
	return (false);
}

static void
on_start(void *arg, const struct ga_task *task)
{
	struct sub *s = find_sub(arg, &task->key.sub);
	struct model *m = arg;
	const struct pd_id id = id_of(s);
	struct key_state *k = &s->keys[task->key.task][task->key.attempt];
	uint64_t fence = m->fences[pt_partition(&id)];

	if (k->started)
		fail_msg("%s/%u started twice", s->id, task->key.task);
	check_other_attempts(s, task->key.task, task->key.attempt);
	if (k->voided && k->voided_view == fence)
		fail_msg(
		    "%s/%u started after it was voided", s->id, task->key.task);
	if (k->granted_view < fence)
		fail_msg(
		    "%s/%u started below the fence", s->id, task->key.task);
	assert_true(any_valid_permit(m));
	assert_true(in_service(m->agent_revision));
	assert_false(m->slots[task->slot].busy);
	k->started = true;
	k->running = true;
	m->slots[task->slot].busy = true;
	m->slots[task->slot].sub = s;
	m->slots[task->slot].task = task->key.task;
	m->slots[task->slot].attempt = task->key.attempt;
	m->started++;
	g_free(task->body);
}

static void
on_report(void *arg, ga_session session, const struct pd_record *r)
{
	const struct sub *s = find_sub(arg, &r->key.sub);
	const struct key_state *k = &s->keys[r->key.task][r->key.attempt];

	assert_true(session != GA_NO_SESSION);
	if (r->state == PD_RUNNING)
		assert_true(k->running);
	if (r->state == PD_DONE)
		assert_true(k->started);
}

static const struct ga_ops ops = {on_start, on_report};

static void
add_sub(struct model *m)
{
	struct sub *s;

	s = g_new0(struct sub, 1);
	snprintf(s->id, sizeof(s->id), "job-%u", m->subs->len);
	s->created_ms = ck_wall_ms(m->clock);
	s->idempotent = rn_below(m->rng, 2) == 0;
	s->ntasks = rn_below(m->rng, 2) == 0 ? 1 : TASKS;
	g_ptr_array_add(m->subs, s);
}

static struct sub *
pick_sub(struct model *m)
{
	unsigned range = rn_below(m->rng, 10) == 0
	    ? m->subs->len
	    : MIN(m->subs->len, RECENT_SUBS);

	return (g_ptr_array_index(
	    m->subs, m->subs->len - 1 - rn_below(m->rng, range)));
}

static struct pd_key
pick_key(struct model *m, struct sub **sub)
{
	*sub = pick_sub(m);
	return ((struct pd_key){
	    id_of(*sub), rn_below(m->rng, TASKS), rn_below(m->rng, ATTEMPTS)});
}

static void
step_grant(struct model *m)
{
	struct sub *s;
	const struct pd_key key = pick_key(m, &s);
	unsigned entry = rn_below(m->rng, ENTRIES);
	struct pd_grant g = fix_make_grant(s->id, key.task);
	uint64_t *view;

	g.key = key;
	g.view = m->fences[pt_partition(&key.sub)] + rn_below(m->rng, 3);
	g.view -= MIN(g.view, 1);
	g.ntasks = s->ntasks;
	g.idempotent = s->idempotent;
	g.timeout_ms = rn_below(m->rng, 4000);
	view = &s->keys[key.task][key.attempt].granted_view;
	*view = MAX(*view, g.view);
	ga_grant(m->gate, m->sessions[entry], &g);
}

static void
give_permit(struct model *m, unsigned entry, const struct pd_permit *p)
{
	if (m->sessions[entry] == GA_NO_SESSION)
		return;
	if (p->granted && p->revision >= m->agent_revision) {
		m->agent_revision = p->revision;
		m->permits[entry] = MAX(m->permits[entry], p->clock_ms);
	}
	ga_permit(m->gate, m->sessions[entry], p);
}

static void
step_permit(struct model *m)
{
	unsigned entry = rn_below(m->rng, ENTRIES);
	uint64_t revision = m->revision - rn_below(m->rng, 2);
	const struct pd_permit p = {rn_below(m->rng, 8) != 0,
	    ck_mono_ms(m->clock) - rn_below(m->rng, 2000), revision, 1,
	    in_service(revision)};

	give_permit(m, entry, &p);
}

static void
step_configure(struct model *m)
{
	const struct pd_permit p = {true, ck_mono_ms(m->clock), ++m->revision,
	    1, in_service(m->revision)};
	unsigned i;

	for (i = 0; i < ENTRIES; i++)
		give_permit(m, i, &p);
}

static void
step_done(struct model *m)
{
	static const enum ga_outcome outcomes[] = {GA_OK, GA_OK, GA_OK, GA_OK,
	    GA_OK, GA_OK, GA_REJECTED, GA_ERROR, GA_CONN_LOST, GA_TIMEOUT,
	    GA_CONN_REFUSED, GA_PERMIT_EXPIRED};
	unsigned slot = rn_below(m->rng, SLOTS);
	enum ga_outcome outcome =
	    outcomes[rn_below(m->rng, G_N_ELEMENTS(outcomes))];
	size_t len = rn_below(m->rng, 800);
	struct key_state *k;

	if (!m->slots[slot].busy)
		return;
	k = &m->slots[slot]
		 .sub->keys[m->slots[slot].task][m->slots[slot].attempt];
	k->running = false;
	if (outcome == GA_CONN_REFUSED || outcome == GA_PERMIT_EXPIRED)
		k->started = false;
	m->slots[slot].busy = false;
	ga_call_ended(m->gate, slot, outcome, g_malloc0(len + 1), len);
}

static void
step_resolve(struct model *m)
{
	struct sub *s;
	const struct pd_key key = pick_key(m, &s);
	struct key_state *k = &s->keys[key.task][key.attempt];
	struct pd_record r;

	ga_resolve(m->gate, &key, &r);
	if (r.state == PD_NOT_STARTED) {
		if (k->started)
			fail_msg("%s/%u is resolved as not started", s->id,
			    key.task);
		if (!k->voided)
			check_other_attempts(s, key.task, key.attempt);
		k->voided = true;
		k->voided_view = m->fences[pt_partition(&key.sub)];
	}
	assert_true(k->running == (r.state == PD_RUNNING));
	assert_true(r.state != PD_DONE || k->started);
}

static void
step_cancel(struct model *m)
{
	struct sub *s;
	const struct pd_key key = pick_key(m, &s);

	ga_cancel(m->gate, &key);
}

/* The pages must list every start of the ids created since started_ms. */
static void
check_pages_complete(struct model *m, const struct pd_fence *f, uint64_t since,
    GHashTable *listed)
{
	const struct sub *s;
	unsigned i, t, a;
	struct pd_id id;
	char key[64];

	for (i = 0; i < m->subs->len; i++) {
		s = g_ptr_array_index(m->subs, i);
		id = id_of(s);
		if (s->created_ms < since ||
		    (f->partitions & pt_bit(pt_partition(&id))) == 0)
			continue;
		for (t = 0; t < TASKS; t++)
			for (a = 0; a < ATTEMPTS; a++) {
				if (!s->keys[t][a].started)
					continue;
				snprintf(
				    key, sizeof(key), "%s/%u/%u", s->id, t, a);
				if (!g_hash_table_contains(listed, key))
					fail_msg(
					    "%s is missing in the fence reply",
					    key);
			}
	}
}

static void
step_fence(struct model *m)
{
	unsigned entry = rn_below(m->rng, ENTRIES), i;
	struct pd_fence f = {0, rn_u64(m->rng), 0};
	struct pd_fence_reply reply;
	GHashTable *listed;

	f.partitions &= rn_u64(m->rng);
	for (i = 0; i < PD_PARTITIONS; i++)
		if ((f.partitions & pt_bit(i)) != 0)
			f.view = MAX(f.view, m->fences[i]);
	f.view += rn_below(m->rng, 2);
	if (m->sessions[entry] == GA_NO_SESSION)
		return;
	for (i = 0; i < PD_PARTITIONS; i++)
		if ((f.partitions & pt_bit(i)) != 0)
			m->fences[i] = f.view;
	listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	do {
		ga_fence(m->gate, m->sessions[entry], &f, &reply);
		assert_false(reply.refused);
		for (i = 0; i < reply.list.list_len; i++)
			g_hash_table_add(listed,
			    g_strdup_printf("%s/%u/%u",
				reply.list.list_val[i].key.sub.id,
				reply.list.list_val[i].key.task,
				reply.list.list_val[i].key.attempt));
		f.cursor = reply.next;
	} while (reply.next != 0);
	check_pages_complete(m, &f, reply.started_ms, listed);
	g_hash_table_destroy(listed);
}

static void
step_session(struct model *m)
{
	unsigned entry = rn_below(m->rng, ENTRIES);

	if (m->sessions[entry] != GA_NO_SESSION) {
		ga_session_closed(m->gate, m->sessions[entry]);
		m->sessions[entry] = GA_NO_SESSION;
	} else
		m->sessions[entry] = ga_session_opened(m->gate, entry + 1);
}

static void
step_clock(struct model *m)
{
	ck_advance_ms(m->clock,
	    rn_below(m->rng, 200) == 0 ? 12000 : rn_below(m->rng, 60));
	ga_tick(m->gate);
}

static void
random_step(struct model *m)
{
	static const struct {
		unsigned weight;
		void (*run)(struct model *);
	} steps[] = {
	    {30, step_grant},
	    {20, step_permit},
	    {25, step_done},
	    {4, step_resolve},
	    {3, step_cancel},
	    {1, step_fence},
	    {1, step_session},
	    {1, step_configure},
	    {20, step_clock},
	};
	unsigned n = rn_below(m->rng, 105), i;

	for (i = 0; n >= steps[i].weight; i++)
		n -= steps[i].weight;
	steps[i].run(m);
	if (rn_below(m->rng, 20) == 0)
		add_sub(m);
}

struct totals {
	uint64_t starts;
	uint64_t bodies_dropped;
	uint64_t records_dropped;
};

static void
run(uint64_t seed, struct totals *t)
{
	const struct ga_settings settings = {
	    .incarnation = FIX_INCARNATION,
	    .started_ms = FIX_WALL_MS,
	    .slots = SLOTS,
	    .queue_max = 4,
	    .retention_ms = 10000,
	    .records_bytes = 12000,
	};
	struct model m = {.revision = 1};
	struct ga_stats stats;
	unsigned i;

	m.clock = ck_new_manual(100000, FIX_WALL_MS);
	m.counters = ct_new();
	m.rng = rn_new(seed);
	m.gate = ga_new(m.clock, m.counters, &settings, &ops, &m);
	m.subs = g_ptr_array_new_with_free_func(g_free);
	add_sub(&m);
	for (i = 0; i < STEPS; i++)
		random_step(&m);
	stats = ga_stats(m.gate);
	t->starts += m.started;
	t->bodies_dropped += stats.bodies_dropped;
	t->records_dropped += stats.records_dropped;
	ga_free(m.gate);
	g_ptr_array_free(m.subs, TRUE);
	rn_free(m.rng);
	ct_free(m.counters);
	ck_free(m.clock);
}

/* Guards against any order of events in which a task starts twice, starts after
 * it was reported as not started, or is missing in a later fence reply. */
static void
test_started_at_most_once(void **state)
{
	struct totals t = {0};
	unsigned i;

	(void)state;
	for (i = 0; i < SEEDS; i++)
		run(SEED + i, &t);
	/* Check that the runs exercised starts and the memory limit. */
	assert_true(t.starts > 1000 * SEEDS);
	assert_true(t.bodies_dropped > 100 * SEEDS);
	assert_true(t.records_dropped > 100 * SEEDS);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_started_at_most_once),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
