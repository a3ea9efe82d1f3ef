#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "history.h"
#include "policy.h"
#include "support_world.h"

#define ENDPOINTS 11
#define SLOTS 8
#define ENTRIES 3
#define SPEED_MIN 0.4
#define SPEED_MAX 2.5
#define JOB_TASKS_MAX 60
#define DELAY_US 1500
#define START_MS 1000000    /* monotonic clock of the simulation at the start */
#define WARM_UP_US 20000000 /* jobs that arrive before this are not counted */

/* A job of the workload; all variants get the same jobs. */
struct job {
	uint64_t arrival_us;
	uint64_t end_us;
	unsigned ntasks;
	unsigned tasks_left;
	struct sw_body *bodies;
	struct pd_task *tasks;
	char id[16];
};

struct workload {
	struct job *jobs;
	unsigned njobs;
	uint64_t ntasks;
};

struct figures {
	double mean_ms;
	double p99_ms;
	double messages;
};

struct run {
	struct sw *world;
	struct workload *load;
};

static double
log_uniform(struct rn *rng, double low, double high)
{
	return (low * exp(rn_unit(rng) * log(high / low)));
}

static double
draw_work_ms(struct rn *rng)
{
	if (rn_below(rng, 100) == 0)
		return (2000 + rn_unit(rng) * 3000);
	return (log_uniform(rng, 50, 1000));
}

/* Mean of draw_work_ms(), milliseconds. */
static double
mean_work_ms(void)
{
	return (0.99 * (1000 - 50) / log(1000.0 / 50) + 0.01 * 3500);
}

static void
make_job(struct rn *rng, struct job *j, unsigned n, unsigned ntasks,
    double arrival_us)
{
	unsigned i;
	double ms;

	g_snprintf(j->id, sizeof(j->id), "%u", n);
	j->arrival_us = (uint64_t)arrival_us;
	j->ntasks = ntasks;
	j->bodies = g_new0(struct sw_body, j->ntasks);
	j->tasks = g_new0(struct pd_task, j->ntasks);
	for (i = 0; i < j->ntasks; i++) {
		ms = draw_work_ms(rng);
		j->bodies[i].job = n;
		j->bodies[i].task = i;
		j->bodies[i].work_us = (uint32_t)(ms * 1000);
		j->tasks[i].size_ms =
		    (u_int)MAX(1, ms * log_uniform(rng, 0.1, 10));
		j->tasks[i].body.body_val = (char *)&j->bodies[i];
		j->tasks[i].body.body_len = sizeof(j->bodies[i]);
	}
}

static double
total_speed(void)
{
	double sum;
	unsigned i;

	for (i = 0, sum = 0; i < ENDPOINTS; i++)
		sum += SLOTS * SPEED_MIN *
		    pow(SPEED_MAX / SPEED_MIN, (double)i / (ENDPOINTS - 1));
	return (sum);
}

static void
workload_make(
    struct workload *w, uint64_t seed, double load, uint64_t length_us)
{
	double gap_us, arrival_us;
	struct rn *rng;

	rng = rn_new(seed);
	gap_us = (1 + JOB_TASKS_MAX) / 2.0 * mean_work_ms() * 1000 /
	    (total_speed() * load);
	w->njobs = 0;
	w->ntasks = 0;
	w->jobs = g_new0(struct job, (size_t)(length_us / gap_us * 2) + 100);
	arrival_us = 0;
	while (arrival_us < (double)length_us) {
		make_job(rng, &w->jobs[w->njobs], w->njobs,
		    1 + rn_below(rng, JOB_TASKS_MAX), arrival_us);
		w->ntasks += w->jobs[w->njobs++].ntasks;
		arrival_us += -log(1 - rn_unit(rng)) * gap_us;
	}
	rn_free(rng);
}

static void
workload_of_20(struct workload *w, unsigned njobs)
{
	struct rn *rng;
	unsigned i;

	rng = rn_new(1);
	w->njobs = njobs;
	w->ntasks = (uint64_t)njobs * 20;
	w->jobs = g_new0(struct job, njobs);
	for (i = 0; i < njobs; i++)
		make_job(rng, &w->jobs[i], i, 20, 0);
	rn_free(rng);
}

static void
workload_free(struct workload *w)
{
	unsigned i;

	for (i = 0; i < w->njobs; i++) {
		g_free(w->jobs[i].bodies);
		g_free(w->jobs[i].tasks);
	}
	g_free(w->jobs);
}

static int
by_value(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return ((x > y) - (x < y));
}

static void
compute_figures(const struct workload *w, struct figures *f)
{
	double *ms, sum;
	unsigned i, n;

	ms = g_new(double, w->njobs);
	for (i = 0, n = 0, sum = 0; i < w->njobs; i++) {
		if (w->jobs[i].arrival_us < WARM_UP_US)
			continue;
		ms[n] =
		    (double)(w->jobs[i].end_us - w->jobs[i].arrival_us) / 1000;
		sum += ms[n++];
	}
	qsort(ms, n, sizeof(*ms), by_value);
	f->mean_ms = sum / n;
	f->p99_ms = ms[(size_t)(n * 0.99)];
	g_free(ms);
}

/* A running task of the ideal dispatcher. */
struct ideal_task {
	struct hp_node node;
	struct job *job;
	unsigned slot;
};

struct ideal {
	struct hp ends; /* running tasks by end */
	GQueue waiting;
	bool busy[ENDPOINTS * SLOTS];
	double speed[ENDPOINTS * SLOTS]; /* in descending order */
	uint64_t now_us;
};

static void
ideal_start(struct ideal *x, struct job *j, const struct sw_body *b)
{
	struct ideal_task *t;
	unsigned slot;

	for (slot = 0; slot < ENDPOINTS * SLOTS && x->busy[slot]; slot++)
		continue;
	if (slot == ENDPOINTS * SLOTS) {
		g_queue_push_tail(&x->waiting, (gpointer)b);
		return;
	}
	x->busy[slot] = true;
	t = g_new0(struct ideal_task, 1);
	t->job = j;
	t->slot = slot;
	hp_set(&x->ends, &t->node,
	    x->now_us + (uint64_t)(b->work_us / x->speed[slot]));
}

static void
ideal_end(struct ideal *x, struct workload *w)
{
	const struct sw_body *b;
	struct ideal_task *t;
	struct hp_node *n;

	n = hp_first(&x->ends);
	hp_remove(&x->ends, n);
	t = hp_item(n, struct ideal_task, node);
	x->now_us = n->key;
	x->busy[t->slot] = false;
	if (--t->job->tasks_left == 0)
		t->job->end_us = x->now_us;
	g_free(t);
	b = g_queue_pop_head(&x->waiting);
	if (b != NULL)
		ideal_start(x, &w->jobs[b->job], b);
}

static void
ideal_run(struct workload *w, struct figures *f)
{
	struct ideal x;
	unsigned e, i, k;

	memset(&x, 0, sizeof(x));
	g_queue_init(&x.waiting);
	for (i = 0; i < ENDPOINTS * SLOTS; i++) {
		e = i / SLOTS;
		x.speed[i] = SPEED_MAX *
		    pow(SPEED_MIN / SPEED_MAX, (double)e / (ENDPOINTS - 1));
	}
	for (i = 0; i < w->njobs; i++) {
		while (x.ends.count > 0 &&
		    hp_first(&x.ends)->key <= w->jobs[i].arrival_us)
			ideal_end(&x, w);
		x.now_us = w->jobs[i].arrival_us;
		w->jobs[i].tasks_left = w->jobs[i].ntasks;
		for (k = 0; k < w->jobs[i].ntasks; k++)
			ideal_start(&x, &w->jobs[i], &w->jobs[i].bodies[k]);
	}
	while (x.ends.count > 0)
		ideal_end(&x, w);
	hp_release(&x.ends);
	compute_figures(w, f);
}

static void
on_wake(void *arg, uint64_t what)
{
	struct run *r = arg;
	struct pd_submit s;
	struct job *j;

	j = &r->load->jobs[what];
	sw_fill_submission(&s, j->id, j->tasks, j->ntasks, 3600000);
	s.sub.created_ms += sw_now(r->world) / 1000 - START_MS;
	sw_submit(r->world, (unsigned)(what % ENTRIES), &s, what + 1);
}

static void
on_answer(void *arg, unsigned entry, uint64_t waiter, const struct pd_answer *a)
{
	struct run *r = arg;

	(void)entry;
	if (a->status != PD_COMPLETE) {
		fprintf(stderr, "job %s was not completed: %s\n", a->sub.id,
		    a->reason);
		exit(1);
	}
	r->load->jobs[waiter - 1].end_us = sw_now(r->world);
}

static const struct sw_ops world_ops = {on_answer, on_wake};

static void
dispatch_run(
    struct workload *w, const char *policy, uint64_t seed, struct figures *f)
{
	struct sw_settings s = {
	    .entries = ENTRIES,
	    .endpoints = ENDPOINTS,
	    .slots = SLOTS,
	    .queue_max = 8,
	    .delay_us = DELAY_US,
	    .policy = policy,
	    .seed = seed,
	    .speed_min = SPEED_MIN,
	    .speed_max = SPEED_MAX,
	};
	struct sw_counts c;
	struct run r;
	uint64_t start;
	unsigned i;

	r.load = w;
	r.world = sw_new(&s, &world_ops, &r);
	start = sw_now(r.world);
	for (i = 0; i < w->njobs; i++) {
		w->jobs[i].end_us = 0;
		sw_schedule(r.world, start + w->jobs[i].arrival_us, i);
	}
	sw_run(r.world, start + w->jobs[w->njobs - 1].arrival_us + 300000000);
	for (i = 0; i < w->njobs; i++) {
		if (w->jobs[i].end_us == 0) {
			fprintf(stderr, "job %u has no answer\n", i);
			exit(1);
		}
		w->jobs[i].end_us -= start;
	}
	compute_figures(w, f);
	c = sw_counts(r.world);
	f->messages = (double)(c.grants + c.reports + c.other_messages) /
	    (double)w->ntasks;
	sw_free(r.world);
}

static void
print_figure(const char *name, double value, const char *unit, double load,
    const char *variant, uint64_t seed)
{
	printf(
	    "figure %s %.4g %s workload=jobs-1-60 load=%.2f variant=%s "
	    "seed=%llu\n",
	    name, value, unit, load, variant, (unsigned long long)seed);
}

static void
print_figures(const struct figures *f, const struct figures *ideal, double load,
    const char *variant, uint64_t seed)
{
	print_figure("response_mean", f->mean_ms, "ms", load, variant, seed);
	print_figure("response_p99", f->p99_ms, "ms", load, variant, seed);
	if (f == ideal)
		return;
	print_figure("response_mean_ratio", f->mean_ms / ideal->mean_ms, "x",
	    load, variant, seed);
	print_figure("response_p99_ratio", f->p99_ms / ideal->p99_ms, "x", load,
	    variant, seed);
	print_figure(
	    "messages_per_task", f->messages, "messages", load, variant, seed);
}

static void
compare_policies(double load, uint64_t seed, uint64_t length_us)
{
	static const char *const policies[] = {
	    "learned", "two_choices", "random"};
	struct figures ideal, f;
	struct workload w;
	size_t i;

	workload_make(&w, seed, load, length_us);
	ideal_run(&w, &ideal);
	print_figures(&ideal, &ideal, load, "ideal", seed);
	for (i = 0; i < sizeof(policies) / sizeof(policies[0]); i++) {
		dispatch_run(&w, policies[i], seed, &f);
		print_figures(&f, &ideal, load, policies[i], seed);
	}
	workload_free(&w);
}

/* Measures the processor time of the dp_ functions alone: their outputs are
 * only recorded. */
struct recorder {
	struct dp *dp;
	GArray *keys; /* struct pd_key of grants */
	GArray *agents;
	unsigned answers;
};

static void
recorder_grant(void *arg, dp_agent agent, const struct pd_grant *g)
{
	struct recorder *k = arg;

	g_array_append_val(k->keys, g->key);
	g_array_append_val(k->agents, agent);
}

static void
recorder_cancel(void *arg, dp_agent agent, const struct pd_key *key)
{
	(void)arg;
	(void)agent;
	(void)key;
}

static void
recorder_resolve(void *arg, dp_agent agent, const struct pd_key *keys, size_t n)
{
	(void)arg;
	(void)agent;
	(void)keys;
	(void)n;
}

static void
recorder_answer(void *arg, uint64_t waiter, const struct pd_answer *a)
{
	struct recorder *k = arg;

	(void)waiter;
	(void)a;
	k->answers++;
}

static const struct dp_ops recorder_ops = {
    recorder_grant, recorder_cancel, recorder_resolve, recorder_answer};

/* Reports grant @i as done, with the load of the agent. */
static void
recorder_report(struct recorder *k, guint i)
{
	struct pd_record r;
	dp_agent agent;

	memset(&r, 0, sizeof(r));
	r.key = g_array_index(k->keys, struct pd_key, i);
	agent = g_array_index(k->agents, dp_agent, i);
	r.state = PD_DONE;
	r.ntasks = 20;
	r.run_ms = 50 + i % 50;
	r.body.body_val = "result";
	r.body.body_len = 6;
	dp_report(k->dp, agent, &r);
	dp_agent_load(k->dp, agent, 4, 0, PD_HEALTHY, false);
}

static void
recorder_submit(struct recorder *k, const struct job *j, unsigned n)
{
	struct pd_submit s;

	sw_fill_submission(&s, j->id, j->tasks, 20, 30000);
	dp_submit(k->dp, &s, n + 1);
}

static void
recorder_agents(struct recorder *k, struct cs *state)
{
	struct pd_hello h;
	char name[16];
	unsigned i;

	memset(&h, 0, sizeof(h));
	h.az = "finistere";
	h.service = "order-desk";
	h.worker = "worker";
	h.slots = SLOTS;
	h.queue_max = SLOTS;
	ss_put_team(state, "lids", 1, 0);
	for (i = 0; i < ENDPOINTS; i++) {
		g_snprintf(name, sizeof(name), "e%u", i);
		ss_put_endpoint(state, name, "finistere", "order-desk", SLOTS);
		h.name = name;
		h.incarnation = i + 1;
		(void)dp_agent_up(k->dp, &h);
	}
	dp_configure(k->dp, state);
}

static double
recorder_run(
    struct recorder *k, struct ck *clock, struct workload *w, unsigned depth)
{
	struct timespec before, after;
	guint done;
	unsigned n;

	(void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &before);
	for (n = 0, done = 0; n < w->njobs || done < k->keys->len;) {
		while (n < w->njobs && n < k->answers + depth) {
			recorder_submit(k, &w->jobs[n], n);
			n++;
		}
		if (done < k->keys->len)
			recorder_report(k, done++);
		ck_advance_us(clock, 50);
		if (done % 200 == 0)
			dp_tick(k->dp);
	}
	(void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &after);
	return ((double)(after.tv_sec - before.tv_sec) * 1e6 +
	    (double)(after.tv_nsec - before.tv_nsec) / 1e3);
}

/* @depth: number of concurrent jobs; above 4 most of them are queued at the
 * entry. */
static void
measure_dp_time(unsigned njobs, unsigned depth, bool history)
{
	static const struct dp_settings settings = {
	    .retention_ms = 600000,
	    .clock_error_ms = 2000,
	    .submissions_max = 1000000,
	    .queue_tasks_max = 1000000,
	    .seed = 1,
	};
	struct workload w;
	struct recorder k;
	struct ck *clock;
	struct ct *counters;
	struct hi *hi;
	struct cs *state;
	unsigned p;
	double us;

	workload_of_20(&w, njobs);
	clock = ck_new_manual(1000000, SW_WALL_MS);
	counters = ct_new();
	state = cs_new();
	hi = history ? hi_new(clock, 10000, 64) : NULL;
	memset(&k, 0, sizeof(k));
	k.keys = g_array_new(FALSE, FALSE, sizeof(struct pd_key));
	k.agents = g_array_new(FALSE, FALSE, sizeof(dp_agent));
	k.dp = dp_new(clock, counters, hi, po_find("learned"), &settings,
	    &recorder_ops, &k);
	for (p = 0; p < PD_PARTITIONS; p++)
		dp_set_partition(k.dp, p, DP_ACTIVE, 1, true, 0);
	dp_set_verified(k.dp, UINT64_MAX);
	recorder_agents(&k, state);
	us = recorder_run(&k, clock, &w, depth);
	printf(
	    "figure dp_time %.3g us/task workload=jobs-of-20 load=%u-jobs "
	    "variant=%s seed=1\n",
	    us / (w.njobs * 20.0), depth,
	    history ? "learned-history" : "learned");
	dp_free(k.dp);
	hi_free(hi);
	cs_free(state);
	ct_free(counters);
	ck_free(clock);
	g_array_free(k.keys, TRUE);
	g_array_free(k.agents, TRUE);
	workload_free(&w);
}

int
main(int argc, char **argv)
{
	static const double loads[] = {0.5, 0.7, 0.85, 0.95};
	uint64_t seeds, seed;
	size_t i;

	seeds = argc > 1 ? strtoull(argv[1], NULL, 10) : 3;
	measure_dp_time(5000, 4, false);
	measure_dp_time(5000, 1000, false);
	measure_dp_time(5000, 1000, true);
	for (seed = 1; seed <= seeds; seed++)
		for (i = 0; i < sizeof(loads) / sizeof(loads[0]); i++)
			compare_policies(loads[i], seed, 620000000);
	return (0);
}
