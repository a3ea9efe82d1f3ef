#include "gate_fixture.h"
#include "rng.h"

/*
 * Random inputs to the gate, compared with a model that keeps every start for
 * ever and knows nothing of memory limits.
 */

#define SEED 20261204
#define STEPS 60000
#define SEEDS 20
#define ENTRIES 3
#define RECENT 24 /* submissions that most grants are for */
#define TASKS 3
#define ATTEMPTS 2
#define SLOTS 3

/* What the model knows of one key. */
struct known {
	bool started; /* and did not end as "not started" */
	bool running;
	bool voided;
	uint64_t void_view;    /* view of the fence when it was voided */
	uint64_t granted_view; /* highest view of its grants */
};

struct sub {
	char id[32];
	uint64_t created_ms;
	bool idempotent;
	unsigned ntasks;
	struct known keys[TASKS][ATTEMPTS];
};

struct world {
	struct ck *clock;
	struct ct *counters;
	struct ga *gate;
	struct rn *rng;
	GPtrArray *subs; /* all that ever were, so that old ids come back */
	ga_session sessions[ENTRIES];
	uint64_t permits[ENTRIES]; /* clock reading of the last good permit */
	uint64_t revision;
	uint64_t agent_revision; /* highest that a permit has told */
	uint64_t fences[PD_PARTITIONS];
	struct {
		bool busy;
		struct sub *sub;
		unsigned task, attempt;
	} slots[SLOTS];
	unsigned started;
};

static struct sub *
find_sub(const struct world *w, const struct pd_id *id)
{
	struct sub *s;
	guint i;

	for (i = w->subs->len; i > 0; i--) {
		s = g_ptr_array_index(w->subs, i - 1);
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
check_attempts(const struct sub *s, unsigned task, unsigned attempt)
{
	unsigned i;

	for (i = 0; i < ATTEMPTS; i++)
		if (i != attempt && s->keys[task][i].started &&
		    (!s->idempotent || s->ntasks != 1))
			fail_msg("%s/%u started under attempts %u and %u",
			    s->id, task, i, attempt);
}

/* The configuration is a function of its revision. */
static bool
in_service(uint64_t revision)
{
	return (revision % 4 != 3);
}

static bool
any_permit(const struct world *w)
{
	uint64_t now = ck_mono_ms(w->clock);
	unsigned i;

	for (i = 0; i < ENTRIES; i++)
		if (w->permits[i] != 0 &&
		    now - w->permits[i] <= GA_PERMIT_MAX_AGE_MS)
			return (true);
	return (false);
}

static void
on_start(void *arg, const struct ga_task *task)
{
	struct sub *s = find_sub(arg, &task->key.sub);
	struct world *w = arg;
	const struct pd_id id = id_of(s);
	struct known *k = &s->keys[task->key.task][task->key.attempt];
	uint64_t fence = w->fences[pt_of(&id)];

	if (k->started)
		fail_msg("%s/%u started twice", s->id, task->key.task);
	check_attempts(s, task->key.task, task->key.attempt);
	if (k->voided && k->void_view == fence)
		fail_msg(
		    "%s/%u started after it was voided", s->id, task->key.task);
	if (k->granted_view < fence)
		fail_msg(
		    "%s/%u started below the fence", s->id, task->key.task);
	assert_true(any_permit(w));
	assert_true(in_service(w->agent_revision));
	assert_false(w->slots[task->slot].busy);
	k->started = true;
	k->running = true;
	w->slots[task->slot].busy = true;
	w->slots[task->slot].sub = s;
	w->slots[task->slot].task = task->key.task;
	w->slots[task->slot].attempt = task->key.attempt;
	w->started++;
	g_free(task->body);
}

static void
on_report(void *arg, ga_session session, const struct pd_record *r)
{
	const struct sub *s = find_sub(arg, &r->key.sub);
	const struct known *k = &s->keys[r->key.task][r->key.attempt];

	assert_true(session != GA_NO_SESSION);
	if (r->state == PD_RUNNING)
		assert_true(k->running);
	if (r->state == PD_DONE)
		assert_true(k->started);
}

static const struct ga_ops ops = {on_start, on_report};

static void
add_sub(struct world *w)
{
	struct sub *s;

	s = g_new0(struct sub, 1);
	snprintf(s->id, sizeof(s->id), "job-%u", w->subs->len);
	s->created_ms = ck_wall_ms(w->clock);
	s->idempotent = rn_below(w->rng, 2) == 0;
	s->ntasks = rn_below(w->rng, 2) == 0 ? 1 : TASKS;
	g_ptr_array_add(w->subs, s);
}

static struct sub *
pick_sub(struct world *w)
{
	unsigned range = rn_below(w->rng, 10) == 0 ? w->subs->len
						   : MIN(w->subs->len, RECENT);

	return (g_ptr_array_index(
	    w->subs, w->subs->len - 1 - rn_below(w->rng, range)));
}

static struct pd_key
pick_key(struct world *w, struct sub **sub)
{
	*sub = pick_sub(w);
	return ((struct pd_key){
	    id_of(*sub), rn_below(w->rng, TASKS), rn_below(w->rng, ATTEMPTS)});
}

static void
step_grant(struct world *w)
{
	struct sub *s;
	const struct pd_key key = pick_key(w, &s);
	unsigned entry = rn_below(w->rng, ENTRIES);
	struct pd_grant g = fix_make_grant(s->id, key.task);
	uint64_t *view;

	g.key = key;
	g.view = w->fences[pt_of(&key.sub)] + rn_below(w->rng, 3);
	g.view -= MIN(g.view, 1);
	g.ntasks = s->ntasks;
	g.idempotent = s->idempotent;
	g.timeout_ms = rn_below(w->rng, 4000);
	view = &s->keys[key.task][key.attempt].granted_view;
	*view = MAX(*view, g.view);
	ga_grant(w->gate, w->sessions[entry], &g);
}

static void
give_permit(struct world *w, unsigned entry, const struct pd_permit *p)
{
	if (w->sessions[entry] == GA_NO_SESSION)
		return;
	if (p->granted && p->revision >= w->agent_revision) {
		w->agent_revision = p->revision;
		w->permits[entry] = MAX(w->permits[entry], p->clock_ms);
	}
	ga_permit(w->gate, w->sessions[entry], p);
}

static void
step_permit(struct world *w)
{
	unsigned entry = rn_below(w->rng, ENTRIES);
	uint64_t revision = w->revision - rn_below(w->rng, 2);
	const struct pd_permit p = {rn_below(w->rng, 8) != 0,
	    ck_mono_ms(w->clock) - rn_below(w->rng, 2000), revision, 1,
	    in_service(revision)};

	give_permit(w, entry, &p);
}

static void
step_configure(struct world *w)
{
	const struct pd_permit p = {true, ck_mono_ms(w->clock), ++w->revision,
	    1, in_service(w->revision)};
	unsigned i;

	for (i = 0; i < ENTRIES; i++)
		give_permit(w, i, &p);
}

static void
step_done(struct world *w)
{
	static const enum ga_outcome ends[] = {GA_OK, GA_OK, GA_OK, GA_OK,
	    GA_OK, GA_OK, GA_REJECTED, GA_ERROR, GA_CONN_LOST, GA_TIMEOUT,
	    GA_CONN_REFUSED, GA_PERMIT_EXPIRED};
	unsigned slot = rn_below(w->rng, SLOTS);
	enum ga_outcome end = ends[rn_below(w->rng, G_N_ELEMENTS(ends))];
	size_t len = rn_below(w->rng, 800);
	struct known *k;

	if (!w->slots[slot].busy)
		return;
	k = &w->slots[slot]
		 .sub->keys[w->slots[slot].task][w->slots[slot].attempt];
	k->running = false;
	if (end == GA_CONN_REFUSED || end == GA_PERMIT_EXPIRED)
		k->started = false;
	w->slots[slot].busy = false;
	ga_call_ended(w->gate, slot, end, g_malloc0(len + 1), len);
}

static void
step_resolve(struct world *w)
{
	struct sub *s;
	const struct pd_key key = pick_key(w, &s);
	struct known *k = &s->keys[key.task][key.attempt];
	struct pd_record r;

	ga_resolve(w->gate, &key, &r);
	if (r.state == PD_NOT_STARTED) {
		if (k->started)
			fail_msg("%s/%u is lost", s->id, key.task);
		k->voided = true;
		k->void_view = w->fences[pt_of(&key.sub)];
	}
	assert_true(k->running == (r.state == PD_RUNNING));
	assert_true(r.state != PD_DONE || k->started);
}

static void
step_cancel(struct world *w)
{
	struct sub *s;
	const struct pd_key key = pick_key(w, &s);

	ga_cancel(w->gate, &key);
}

/* Every start since the time that the reply names must be in its pages. */
static void
check_gathered(
    struct world *w, const struct pd_fence *f, uint64_t since, GHashTable *seen)
{
	const struct sub *s;
	unsigned i, t, a;
	struct pd_id id;
	char key[64];

	for (i = 0; i < w->subs->len; i++) {
		s = g_ptr_array_index(w->subs, i);
		id = id_of(s);
		if (s->created_ms < since ||
		    (f->partitions & pt_bit(pt_of(&id))) == 0)
			continue;
		for (t = 0; t < TASKS; t++)
			for (a = 0; a < ATTEMPTS; a++) {
				if (!s->keys[t][a].started)
					continue;
				snprintf(
				    key, sizeof(key), "%s/%u/%u", s->id, t, a);
				if (!g_hash_table_contains(seen, key))
					fail_msg("%s is not gathered", key);
			}
	}
}

static void
step_fence(struct world *w)
{
	unsigned entry = rn_below(w->rng, ENTRIES), i;
	struct pd_fence f = {0, rn_u64(w->rng), 0};
	struct pd_fence_reply reply;
	GHashTable *seen;

	f.partitions &= rn_u64(w->rng);
	for (i = 0; i < PD_PARTITIONS; i++)
		if ((f.partitions & pt_bit(i)) != 0)
			f.view = MAX(f.view, w->fences[i]);
	f.view += rn_below(w->rng, 2);
	if (w->sessions[entry] == GA_NO_SESSION)
		return;
	for (i = 0; i < PD_PARTITIONS; i++)
		if ((f.partitions & pt_bit(i)) != 0)
			w->fences[i] = f.view;
	seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	do {
		ga_fence(w->gate, w->sessions[entry], &f, &reply);
		assert_false(reply.refused);
		for (i = 0; i < reply.list.list_len; i++)
			g_hash_table_add(seen,
			    g_strdup_printf("%s/%u/%u",
				reply.list.list_val[i].key.sub.id,
				reply.list.list_val[i].key.task,
				reply.list.list_val[i].key.attempt));
		f.cursor = reply.next;
	} while (reply.next != 0);
	check_gathered(w, &f, reply.started_ms, seen);
	g_hash_table_destroy(seen);
}

static void
step_session(struct world *w)
{
	unsigned entry = rn_below(w->rng, ENTRIES);

	if (w->sessions[entry] != GA_NO_SESSION) {
		ga_session_closed(w->gate, w->sessions[entry]);
		w->sessions[entry] = GA_NO_SESSION;
	} else
		w->sessions[entry] = ga_session_opened(w->gate, entry + 1);
}

static void
step_clock(struct world *w)
{
	ck_advance_ms(w->clock,
	    rn_below(w->rng, 200) == 0 ? 12000 : rn_below(w->rng, 60));
	ga_tick(w->gate);
}

static void
step(struct world *w)
{
	static const struct {
		unsigned weight;
		void (*run)(struct world *);
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
	unsigned n = rn_below(w->rng, 105), i;

	for (i = 0; n >= steps[i].weight; i++)
		n -= steps[i].weight;
	steps[i].run(w);
	if (rn_below(w->rng, 20) == 0)
		add_sub(w);
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
	    .life_ms = 10000,
	    .records_bytes = 12000,
	};
	struct world w = {.revision = 1};
	struct ga_stats stats;
	unsigned i;

	w.clock = ck_new_manual(100000, FIX_WALL_MS);
	w.counters = ct_new();
	w.rng = rn_new(seed);
	w.gate = ga_new(w.clock, w.counters, &settings, &ops, &w);
	w.subs = g_ptr_array_new_with_free_func(g_free);
	add_sub(&w);
	for (i = 0; i < STEPS; i++)
		step(&w);
	stats = ga_stats(w.gate);
	t->starts += w.started;
	t->bodies_dropped += stats.bodies_dropped;
	t->records_dropped += stats.records_dropped;
	ga_free(w.gate);
	g_ptr_array_free(w.subs, TRUE);
	rn_free(w.rng);
	ct_free(w.counters);
	ck_free(w.clock);
}

/* Guards against any order of events in which a task starts twice, after it
 * was reported as not started, or without being gathered later. */
static void
test_started_at_most_once(void **state)
{
	struct totals t = {0};
	unsigned i;

	(void)state;
	for (i = 0; i < SEEDS; i++)
		run(SEED + i, &t);
	/* The runs must have reached what they are to check. */
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
