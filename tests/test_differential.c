#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "partition.h"
#include "support_world.h"

#define JOBS 800
#define TASKS_MAX 12
#define SLOTS 8
#define ENDPOINTS 5
#define ENTRIES 3
#define LAST_SUBMIT_US 15000000 /* time of the last submission */

/* Job of a caller, and the answer that it got. */
struct job {
	char id[16];
	unsigned entry;
	unsigned ntasks;
	unsigned deadline_ms;
	uint64_t at_us;
	bool idempotent;
	bool has_faulty_task; /* one that fails or gets no answer */
	struct pd_task tasks[TASKS_MAX];
	struct sw_body bodies[TASKS_MAX];
	unsigned nwaiters;
	unsigned nanswers; /* to the waiters */
	pd_status_code status;
	char reason[PD_NAME_MAX + 1];
	bool not_run;
};

struct run {
	struct sw *world;
	struct rn *rng;
	struct job jobs[JOBS];
	unsigned violations; /* answers that break a rule */
};

enum action {
	SUBMIT,
	RESUBMIT, /* the same submission from another connection */
	REUSE_ID, /* the same id with another body */
	CANCEL,
	CANCEL_ALL, /* cancels every job without an answer */
	AZ_OUT,
	AZ_IN,
	LOSE_VERIFICATION, /* entries cannot verify their configuration */
	VERIFY,
};

static uint64_t
encode_action(enum action a, unsigned job)
{
	return ((uint64_t)a << 32 | job);
}

static void
fill_submit(const struct job *j, struct pd_submit *s)
{
	sw_fill_submission(s, j->id, j->tasks, j->ntasks, j->deadline_ms);
	s->kind = j->idempotent ? PD_REQUEST : PD_SUBMISSION;
	s->idempotent = j->idempotent;
}

static void
submit(struct run *r, unsigned n)
{
	struct pd_submit s;
	struct job *j;

	j = &r->jobs[n];
	fill_submit(j, &s);
	j->nwaiters++;
	sw_submit(r->world, j->entry, &s, n + 1);
}

/* Waiters of a reused id have numbers above JOBS. */
static void
submit_reused_id(struct run *r, unsigned n)
{
	struct pd_task task;
	struct pd_submit s;

	memset(&task, 0, sizeof(task));
	task.size_ms = 77;
	fill_submit(&r->jobs[n], &s);
	s.tasks.tasks_len = 1;
	s.tasks.tasks_val = &task;
	sw_submit(r->world, r->jobs[n].entry, &s, JOBS + n + 1);
}

static void
cancel(struct run *r, unsigned n)
{
	struct pd_id id;

	id.id = r->jobs[n].id;
	id.created_ms = SW_WALL_MS;
	dp_lookup(sw_dp(r->world, r->jobs[n].entry), &id, true, 0);
}

static void
set_verified(struct run *r, bool verified)
{
	unsigned i;

	for (i = 0; i < ENTRIES; i++)
		dp_set_verified(sw_dp(r->world, i), verified ? UINT64_MAX : 0);
}

static void
cancel_all(struct run *r)
{
	unsigned i;

	for (i = 0; i < JOBS; i++)
		if (r->jobs[i].nwaiters > r->jobs[i].nanswers)
			cancel(r, i);
}

static void
set_az(struct run *r, bool in)
{
	ss_set_az(sw_state(r->world), "finistere", in);
	sw_configure(r->world);
}

static void
on_wake(void *arg, uint64_t argument)
{
	struct run *r = arg;
	unsigned n;

	n = (unsigned)argument;
	switch ((enum action)(argument >> 32)) {
	case SUBMIT:
	case RESUBMIT:
		submit(r, n);
		break;
	case REUSE_ID:
		submit_reused_id(r, n);
		break;
	case CANCEL:
		cancel(r, n);
		break;
	case CANCEL_ALL:
		cancel_all(r);
		break;
	case AZ_OUT:
	case AZ_IN:
		set_az(r, (enum action)(argument >> 32) == AZ_IN);
		break;
	default:
		set_verified(r, (enum action)(argument >> 32) == VERIFY);
		break;
	}
}

static void
report_violation(struct run *r, const struct job *j, const char *rule)
{
	r->violations++;
	print_message("job %s: %s (%s, %s)\n", j->id, rule, j->reason,
	    j->not_run ? "not run" : "may have run");
}

static void
check_results(struct run *r, const struct job *j, const struct pd_answer *a)
{
	const struct pd_result *result;
	unsigned i;

	if (a->results.results_len != j->ntasks) {
		report_violation(r, j, "partial answer");
		return;
	}
	for (i = 0; i < j->ntasks; i++) {
		result = &a->results.results_val[i];
		if (result->body.body_len != sizeof(struct sw_body) ||
		    memcmp(result->body.body_val, &j->bodies[i],
			sizeof(struct sw_body)) != 0)
			report_violation(r, j, "result of another task");
	}
}

static void
on_answer(void *arg, unsigned entry, uint64_t waiter, const struct pd_answer *a)
{
	struct run *r = arg;
	struct job *j;

	(void)entry;
	if (waiter > JOBS) {
		j = &r->jobs[waiter - JOBS - 1];
		if (strcmp(a->reason, "id_reused") != 0)
			report_violation(r, j, "another body was taken");
		return;
	}
	j = &r->jobs[waiter - 1];
	if (strcmp(a->sub.id, j->id) != 0)
		report_violation(r, j, "answer to another request");
	if (j->nanswers++ > 0 && a->status != j->status)
		report_violation(r, j, "answer changed");
	j->status = a->status;
	j->not_run = a->not_run;
	g_strlcpy(j->reason, a->reason, sizeof(j->reason));
	if (a->status == PD_COMPLETE)
		check_results(r, j, a);
	else if (a->results.results_len != 0)
		report_violation(
		    r, j, "results with an answer that is not complete");
	if (a->not_run != (a->status == PD_REFUSED))
		report_violation(r, j, "not_run does not fit the status");
}

static const struct sw_ops world_ops = {on_answer, on_wake};

/* Compares an answer with the starts, once all events are over. */
static void
check_starts(struct run *r, const struct job *j)
{
	unsigned i, n, least, most, sum;

	least = UINT_MAX;
	most = sum = 0;
	for (i = 0; i < j->ntasks; i++) {
		n = sw_start_count(r->world, j->id, i);
		least = MIN(least, n);
		most = MAX(most, n);
		sum += n;
	}
	if (most > (j->idempotent ? 3 : 1))
		report_violation(r, j, "a task started too often");
	if (j->status == PD_REFUSED && sum > 0)
		report_violation(r, j, "a refused job started");
	if (j->status == PD_COMPLETE && least == 0)
		report_violation(r, j, "complete without a start of each task");
	if (j->status == PD_JOB_FAILED && sum == 0)
		report_violation(r, j, "failed without a start");
	if (j->status == PD_COMPLETE && j->has_faulty_task)
		report_violation(r, j, "complete with a task that fails");
	if (j->nanswers != j->nwaiters)
		report_violation(r, j, "not answered exactly once");
}

static void
make_task(struct run *r, struct job *j, unsigned n, unsigned i, bool faulty)
{
	struct sw_body *b;

	b = &j->bodies[i];
	b->job = n;
	b->task = i;
	b->work_us = 20000 + rn_below(r->rng, 180000);
	b->flags = rn_below(r->rng, 1 << 20) << 2;
	if (faulty && rn_below(r->rng, 200) == 0)
		b->flags |= rn_below(r->rng, 2) == 0 ? SW_FAILS : SW_LOST;
	j->has_faulty_task |= (b->flags & 3) != 0;
	/* Declared sizes are wrong by up to 10x. */
	j->tasks[i].size_ms =
	    (u_int)MAX(1, b->work_us / 1000.0 * (0.1 + rn_unit(r->rng) * 9.9));
	j->tasks[i].body.body_val = (char *)b;
	j->tasks[i].body.body_len = sizeof(*b);
}

static void
make_job(struct run *r, unsigned n, bool faulty)
{
	struct pd_id id;
	struct job *j;
	unsigned i;

	j = &r->jobs[n];
	g_snprintf(j->id, sizeof(j->id), "job-%u", n);
	id.id = j->id;
	id.created_ms = SW_WALL_MS;
	j->entry = pt_partition(&id) % ENTRIES;
	j->idempotent = rn_below(r->rng, 5) == 0;
	j->ntasks = j->idempotent ? 1 : 1 + rn_below(r->rng, TASKS_MAX);
	j->deadline_ms = faulty ? 50 + rn_below(r->rng, 5000) : 10000;
	j->at_us = rn_below(r->rng, LAST_SUBMIT_US);
	for (i = 0; i < j->ntasks; i++)
		make_task(r, j, n, i, faulty);
}

static void
schedule_load(struct run *r, bool faulty)
{
	uint64_t start;
	unsigned n;

	start = sw_now(r->world);
	for (n = 0; n < JOBS; n++) {
		make_job(r, n, faulty);
		sw_schedule(r->world, start + r->jobs[n].at_us,
		    encode_action(SUBMIT, n));
		if (!faulty)
			continue;
		if (rn_below(r->rng, 4) == 0)
			sw_schedule(r->world,
			    start + r->jobs[n].at_us +
				rn_below(r->rng, 8000000),
			    encode_action(RESUBMIT, n));
		if (rn_below(r->rng, 10) == 0)
			sw_schedule(r->world,
			    start + r->jobs[n].at_us + rn_below(r->rng, 500000),
			    encode_action(CANCEL, n));
		if (rn_below(r->rng, 20) == 0)
			sw_schedule(r->world,
			    start + r->jobs[n].at_us +
				rn_below(r->rng, 500000) + 1,
			    encode_action(REUSE_ID, n));
	}
	if (!faulty)
		return;
	sw_schedule(r->world, start + 4000000, encode_action(AZ_OUT, 0));
	sw_schedule(r->world, start + 5000000, encode_action(AZ_IN, 0));
	sw_schedule(
	    r->world, start + 7000000, encode_action(LOSE_VERIFICATION, 0));
	sw_schedule(r->world, start + 8500000, encode_action(VERIFY, 0));
	sw_schedule(r->world, start + 11000000, encode_action(CANCEL_ALL, 0));
}

static const struct sw_faults all_faults = {
    .report_duplicated = 0.1,
    .report_delayed = 0.1,
    .report_stale = 0.3,
    .session_dropped = 0.02,
    .agent_restarted = 0.004,
    .grant_returned = 0.02,
};

static struct run *
run_dispatchers(const char *policy, uint64_t seed, bool faulty)
{
	struct sw_settings s = {
	    .entries = ENTRIES,
	    .endpoints = ENDPOINTS,
	    .slots = SLOTS,
	    .queue_max = 8,
	    .delay_us = 1500,
	    .policy = policy,
	    .seed = seed,
	    .speed_min = 0.4,
	    .speed_max = 2.5,
	};
	struct run *r;
	unsigned n;

	if (faulty)
		s.faults = all_faults;
	r = g_new0(struct run, 1);
	r->rng = rn_new(seed);
	r->world = sw_new(&s, &world_ops, r);
	schedule_load(r, faulty);
	sw_run(r->world, sw_now(r->world) + LAST_SUBMIT_US);
	sw_stop_faults(r->world);
	sw_run(r->world, sw_now(r->world) + 60000000);
	for (n = 0; n < JOBS; n++)
		check_starts(r, &r->jobs[n]);
	if (sw_counts(r->world).duplicate_starts > 0)
		report_violation(r, &r->jobs[0], "a key started twice");
	return (r);
}

static void
run_free(struct run *r)
{
	sw_free(r->world);
	rn_free(r->rng);
	g_free(r);
}

/*
 * Naive reference: each task is sent at once to a random endpoint, which runs
 * its tasks in order of arrival. There are no faults, and load and speed
 * are not considered.
 */
static int
by_arrival(const void *a, const void *b, void *arg)
{
	const struct job *jobs = arg;
	uint64_t x, y;

	x = jobs[*(const unsigned *)a].at_us;
	y = jobs[*(const unsigned *)b].at_us;
	return ((x > y) - (x < y));
}

static uint64_t
naive_finish_us(
    const struct job *j, const struct sw_body *b, uint64_t *slots, double speed)
{
	unsigned i, first;

	for (i = 1, first = 0; i < SLOTS; i++)
		if (slots[i] < slots[first])
			first = i;
	slots[first] =
	    MAX(slots[first], j->at_us) + (uint64_t)(b->work_us / speed);
	return (slots[first]);
}

static void
naive_outcomes(const struct run *r, uint64_t seed, bool *complete)
{
	static const double speeds[ENDPOINTS] = {0.4, 0.63, 1.0, 1.58, 2.5};
	uint64_t slots[ENDPOINTS][SLOTS] = {{0}};
	unsigned order[JOBS], e, i, k;
	const struct job *j;
	struct rn *rng;

	rng = rn_new(seed + 1000);
	for (i = 0; i < JOBS; i++)
		order[i] = i;
	qsort_r(order, JOBS, sizeof(order[0]), by_arrival, (void *)r->jobs);
	for (i = 0; i < JOBS; i++) {
		j = &r->jobs[order[i]];
		complete[order[i]] = !j->has_faulty_task;
		for (k = 0; k < j->ntasks; k++) {
			e = rn_below(rng, ENDPOINTS);
			if (naive_finish_us(
				j, &j->bodies[k], slots[e], speeds[e]) >
			    j->at_us + (uint64_t)j->deadline_ms * 1000)
				complete[order[i]] = false;
		}
	}
	rn_free(rng);
}

static unsigned
count_status(const struct run *r, pd_status_code status)
{
	unsigned i, n;

	for (i = 0, n = 0; i < JOBS; i++)
		n += r->jobs[i].status == status;
	return (n);
}

/*
 * Runs a load and checks its answers. Without faults the dispatchers must
 * complete every job that the naive reference completes.
 */
static void
compare(const char *policy, uint64_t seed, bool faulty)
{
	bool complete[JOBS];
	struct run *r;
	unsigned i, naive, missed;

	r = run_dispatchers(policy, seed, faulty);
	naive_outcomes(r, seed, complete);
	for (i = 0, naive = 0, missed = 0; i < JOBS; i++) {
		naive += complete[i];
		missed += complete[i] && r->jobs[i].status != PD_COMPLETE;
	}
	print_message(
	    "policy=%s seed=%llu faults=%d: complete %u failed %u "
	    "refused %u unknown %u; naive without faults %u\n",
	    policy, (unsigned long long)seed, faulty,
	    count_status(r, PD_COMPLETE), count_status(r, PD_JOB_FAILED),
	    count_status(r, PD_REFUSED), count_status(r, PD_UNKNOWN), naive);
	assert_int_equal(r->violations, 0);
	if (!faulty)
		assert_int_equal(missed, 0);
	run_free(r);
}

/*
 * Guards against a job that misses its deadline, or fails, although random
 * placement completes it.
 */
static void
test_without_faults(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 3; seed++)
		compare("learned", seed, false);
	compare("random", 4, false);
	compare("two_choices", 5, false);
}

/*
 * Guards against second starts, missing or partial answers and false refusals
 * when agents restart, sessions drop, and reports are lost, delayed, duplicated
 * or out of order.
 */
static void
test_with_faults(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 11; seed <= 22; seed++)
		compare("learned", seed, true);
	for (seed = 31; seed <= 33; seed++)
		compare("random", seed, true);
	for (seed = 41; seed <= 43; seed++)
		compare("two_choices", seed, true);
}

int
main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_without_faults),
	    cmocka_unit_test(test_with_faults),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
