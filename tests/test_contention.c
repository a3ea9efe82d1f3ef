#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>
#include <glib.h>

#include "clock.h"
#include "contention.h"

/* Tests which jobs are turned away while capacity is short, on a manual clock.
 */

#define START_MS 100000
#define CAPACITY 64000
#define SLACK_MS 100
#define STEP_MS 50
/* Time that the waiting work takes in a state of contention. */
#define LONG_WAIT_MS 60
/* Required: admitted share of a queue or size class, of that of its whole. */
#define FLOOR_MIN 0.5

struct fixture {
	struct ck *clock;
	struct cc *contention;
	unsigned last_id;
	char id[16];
};

static int
set_up(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->clock = ck_new_manual(START_MS, START_MS);
	f->contention = cc_new(f->clock);
	*state = f;
	return (0);
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;

	cc_free(f->contention);
	ck_free(f->clock);
	g_free(f);
	return (0);
}

/* Reports work that takes the workers @wait_ms; less than 0: free capacity. */
static void
observe(struct fixture *f, const char *service, double wait_ms)
{
	struct cc_fleet s = {.capacity = CAPACITY,
	    .run_ms = {100, 100, 100, 100},
	    .mean_ms = 100,
	    .slack_ms = SLACK_MS};

	if (wait_ms >= 0)
		s.waiting[1] = wait_ms / 100 * CAPACITY;
	else
		s.free = -wait_ms / 100 * CAPACITY;
	cc_observe(f->contention, service, &s);
}

static struct cc_job
job_of(struct fixture *f, const char *queue, double need)
{
	struct cc_job job = {.id = f->id,
	    .service = "service",
	    .queue = queue,
	    .level = 1,
	    .chance = 1,
	    .need = need,
	    .declared = need};

	snprintf(f->id, sizeof(f->id), "%08x", ++f->last_id);
	return (job);
}

/* Has a job arrive and be decided on. Return: whether it was admitted. */
static bool
submit(struct fixture *f, const struct cc_job *job)
{
	struct cc_verdict v;
	bool admitted;

	cc_arrived(f->contention, job);
	v = cc_decide(f->contention, job);
	admitted = v.decision == CC_ADMIT || v.decision == CC_FLOOR;
	cc_settled(f->contention, job, admitted);
	return (admitted);
}

/* Guards against jobs that are refused while capacity is free or the waiting
 * work is short. */
static void
test_no_refusal_without_contention(void **state)
{
	struct fixture *f = *state;
	struct cc_job job;
	unsigned i;

	for (i = 0; i < 1000; i++) {
		ck_advance_ms(f->clock, STEP_MS);
		observe(f, "service", i % 2 == 0 ? -50 : SLACK_MS * 0.45);
		job = job_of(f, "queue", 1 << (i % 20));
		assert_true(submit(f, &job));
		assert_false(cc_is_contended(f->contention, "service"));
		assert_true(cc_price(f->contention) == 0);
	}
}

/* Guards against jobs that cost callers much being refused for others that cost
 * less: by chance, priority level and need. */
static void
test_order_by_cost_per_need(void **state)
{
	struct fixture *f = *state;
	struct cc_job small = job_of(f, "q", 100), other = small;

	other.need = 200;
	assert_true(cc_value(&small) > cc_value(&other));
	other = small;
	other.chance = 0.5;
	assert_true(cc_value(&small) > cc_value(&other));
	other = small;
	other.level = 2;
	assert_true(cc_value(&small) > cc_value(&other));
	/* A job that is as large as two counts as one caller. */
	other = small;
	other.need = 200;
	assert_true(fabs(cc_value(&small) - 2 * cc_value(&other)) < 1e-9);
}

/* Submits small and large jobs of two queues in turn under contention; the
 * sizes within a queue vary from 1 to 16. */
static void
run_contention(struct fixture *f, unsigned n, unsigned admitted[2],
    unsigned largest[2], unsigned *retry_max)
{
	static const char *const queues[] = {"small", "large"};
	struct cc_verdict v;
	struct cc_job job;
	unsigned i, k, size;

	for (i = 0; i < n; i++) {
		if (i % 10 == 0) {
			ck_advance_ms(f->clock, STEP_MS);
			observe(f, "service", LONG_WAIT_MS);
		}
		k = i % 2;
		size = i / 2 % 16 + 1;
		job = job_of(f, queues[k], size * (k == 0 ? 100 : 5000));
		if (submit(f, &job)) {
			admitted[k]++;
			largest[k] += size == 16;
			continue;
		}
		v = cc_decide(f->contention, &job);
		assert_true(v.price > v.cost / v.need * 1000 * 0.8);
		assert_true(v.retry_ms >= 200 && v.retry_ms <= 10000);
		*retry_max = MAX(*retry_max, v.retry_ms);
	}
}

/* Guards against floors that do not hold: a queue of large jobs, and the
 * largest jobs of a queue, are not starved; and against the opposite, large
 * jobs admitted like small ones. */
static void
test_floors(void **state)
{
	struct fixture *f = *state;
	unsigned admitted[2] = {0}, largest[2] = {0}, retry_max = 0, k;
	const unsigned n = 6400;

	observe(f, "service", LONG_WAIT_MS);
	run_contention(f, n, admitted, largest, &retry_max);
	assert_true(admitted[0] > admitted[1]);
	assert_true(admitted[0] + admitted[1] < n);
	assert_true(retry_max > 200);
	for (k = 0; k < 2; k++) {
		assert_true(
		    admitted[k] >= FLOOR_MIN * (admitted[0] + admitted[1]) / 2);
		/* One in 16 jobs of a queue is of the largest size. */
		assert_true(largest[k] >= FLOOR_MIN * admitted[k] / 16);
	}
}

/* Guards against a state that flaps while the waiting work is around its limit,
 * and against one that never ends. */
static void
test_hysteresis(void **state)
{
	struct fixture *f = *state;
	unsigned i, changes = 0;
	bool was = false, is;

	for (i = 0; i < 200; i++) {
		ck_advance_ms(f->clock, STEP_MS);
		observe(f, "service", i % 4 == 3 ? -5 : SLACK_MS * 0.6);
		is = cc_is_contended(f->contention, "service");
		changes += is != was;
		was = is;
	}
	assert_int_equal(1, changes);
	for (i = 0; i < 20; i++) {
		ck_advance_ms(f->clock, STEP_MS);
		observe(f, "service", -5);
	}
	assert_false(cc_is_contended(f->contention, "service"));
}

/* Guards against one service whose contention refuses the jobs of another. */
static void
test_services_are_separate(void **state)
{
	struct fixture *f = *state;
	struct cc_job job;
	unsigned i;

	observe(f, "service", LONG_WAIT_MS * 10);
	observe(f, "other", -10);
	for (i = 0; i < 100; i++) {
		job = job_of(f, "queue", 1000);
		job.service = "other";
		assert_true(submit(f, &job));
	}
	assert_true(cc_is_contended(f->contention, "service"));
	assert_false(cc_is_contended(f->contention, "other"));
}

/* Guards against a waiting job that is not given up in time: it may wait only
 * while the price is expected to fall within its slack. */
static void
test_waits_while_price_falls(void **state)
{
	struct fixture *f = *state;
	struct cc_job job;
	struct cc_verdict v;
	unsigned wait;

	for (wait = 1000; wait > 300; wait -= 40) {
		ck_advance_ms(f->clock, STEP_MS);
		observe(f, "service", wait);
		job = job_of(f, "queue", 100);
		submit(f, &job);
	}
	job = job_of(f, "queue", 1000);
	job.slack_ms = 1e6;
	cc_arrived(f->contention, &job);
	v = cc_decide(f->contention, &job);
	assert_true(v.decision == CC_WAIT || v.decision == CC_FLOOR);
	job.slack_ms = 0;
	assert_int_not_equal(CC_WAIT, cc_decide(f->contention, &job).decision);
}

/* Guards against results that are not numbers, and crashes, on absurd input. */
static void
test_absurd_input(void **state)
{
	static const double values[] = {
	    0, -1, 1e-300, 1e300, INFINITY, -INFINITY, NAN};
	struct fixture *f = *state;
	struct cc_fleet fleet;
	struct cc_verdict v;
	struct cc_job job;
	unsigned i, k;

	for (i = 0; i < G_N_ELEMENTS(values); i++)
		for (k = 0; k < G_N_ELEMENTS(values); k++) {
			fleet = (struct cc_fleet){.capacity = values[i],
			    .free = values[k],
			    .waiting = {values[k], values[i]},
			    .run_ms = {values[i], values[k]},
			    .unseen = values[k],
			    .mean_ms = values[i],
			    .slack_ms = values[k]};
			cc_observe(f->contention, "service", &fleet);
			job = job_of(f, "queue", values[i]);
			job.declared = values[k];
			job.chance = values[i];
			job.slack_ms = values[k];
			job.level = k == 0 ? UINT32_MAX : k;
			submit(f, &job);
			v = cc_decide(f->contention, &job);
			assert_true(isfinite(v.price) && isfinite(v.cost));
			assert_true(isfinite(v.need) && v.need > 0);
			assert_true(isfinite(cc_price(f->contention)));
			ck_advance_ms(f->clock, i == k ? 0 : STEP_MS);
		}
}

/* Guards against jobs refused on the last report of a fleet that is gone: they
 * are told that there is no worker instead. */
static void
test_no_capacity(void **state)
{
	struct fixture *f = *state;
	struct cc_fleet none = {0};
	struct cc_job job = job_of(f, "queue", 1000);

	observe(f, "service", LONG_WAIT_MS);
	cc_observe(f->contention, "service", &none);
	assert_true(submit(f, &job));
}

/* Guards against arrivals that never age and states that never end when the
 * clock stands still or jumps. */
static void
test_clock_stands_still_or_jumps(void **state)
{
	struct fixture *f = *state;
	unsigned admitted[2] = {0}, largest[2] = {0}, retry_max = 0, i;
	struct cc_job job;

	for (i = 0; i < 1000; i++) {
		observe(f, "service", LONG_WAIT_MS);
		job = job_of(f, "queue", 1000);
		submit(f, &job);
	}
	ck_advance_ms(f->clock, (uint64_t)365 * 24 * 3600 * 1000);
	run_contention(f, 100, admitted, largest, &retry_max);
	assert_true(admitted[0] > 0);
	ck_advance_ms(f->clock, 3600 * 1000);
	observe(f, "service", -5);
	assert_false(cc_is_contended(f->contention, "service"));
	job = job_of(f, "queue", 1000);
	assert_true(submit(f, &job));
}

/* Guards against memory that grows with the names of queues and services: what
 * exceeds the limits shares an entry and is decided on all the same. */
static void
test_many_names(void **state)
{
	struct fixture *f = *state;
	char queue[16], service[16];
	struct cc_job job;
	unsigned i;

	for (i = 0; i < 4 * CC_QUEUES_MAX; i++) {
		snprintf(queue, sizeof(queue), "q%u", i);
		snprintf(service, sizeof(service), "s%u", i);
		observe(f, service, LONG_WAIT_MS);
		job = job_of(f, queue, 1000);
		job.service = service;
		submit(f, &job);
		assert_true(cc_is_contended(f->contention, service));
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_no_refusal_without_contention, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_order_by_cost_per_need, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(test_floors, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(test_hysteresis, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_services_are_separate, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_waits_while_price_falls, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_absurd_input, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_no_capacity, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_clock_stands_still_or_jumps, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(test_many_names, set_up, tear_down),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
