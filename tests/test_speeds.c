#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>
#include <math.h>

#include "rng.h"
#include "speeds.h"

/* Tests the estimates of the speeds of workers. */

#define WORKERS 73
#define SIZE_MS 100
#define GAP_US 50000
#define SEEDS 10
/* Stated number of tasks after which fast and slow workers are told apart. */
#define TELL_APART_TASKS 20
#define FAST 0.55
#define SLOW 1.2

/* Heavy-tailed run time: log-normal, and seven times as long now and then. */
static double
run_ms(struct rn *r, double ratio)
{
	double normal =
	    sqrt(-2 * log(1 - rn_unit(r))) * cos(2 * G_PI * rn_unit(r));

	return (
	    SIZE_MS * ratio * exp(0.4 * normal) * (rn_unit(r) < 0.03 ? 7 : 1));
}

static struct sp_estimate
learn(struct rn *r, double ratio, unsigned tasks)
{
	struct sp_samples s = {0};
	unsigned i;

	for (i = 0; i < tasks; i++)
		sp_learn(&s, i + 1, SIZE_MS, run_ms(r, ratio), i * GAP_US);
	return (sp_estimate(&s, tasks * GAP_US));
}

/* Guards against workers that are preferred for their luck: with a moving
 * average of run times, 131 of 182 long tasks went to two of 73 equal workers.
 */
static void
test_equal_workers(void **state)
{
	struct sp_worker w[WORKERS], *best;
	struct sp_summary sum;
	unsigned i, seed;
	struct rn *r;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		r = rn_new(seed);
		memset(w, 0, sizeof(w));
		for (i = 0; i < WORKERS; i++)
			w[i].estimate = learn(r, 1, 10 + i);
		sum = sp_pool(w, WORKERS, 1);
		assert_int_equal(WORKERS, sum.estimates);
		best = &w[0];
		for (i = 1; i < WORKERS; i++)
			if (w[i].log_ratio < best->log_ratio)
				best = &w[i];
		for (i = 0; i < WORKERS; i++)
			assert_true(w[i].log_ratio - best->log_ratio <=
			    hypot(w[i].error, best->error));
		rn_free(r);
	}
}

/* Guards against fast and slow workers that are taken for equal. */
static void
test_unequal_workers(void **state)
{
	struct sp_worker w[12];
	unsigned i, seed;
	struct rn *r;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		r = rn_new(seed);
		memset(w, 0, sizeof(w));
		for (i = 0; i < 12; i++)
			w[i].estimate =
			    learn(r, i < 4 ? FAST : SLOW, TELL_APART_TASKS);
		sp_pool(w, 12, 1);
		for (i = 4; i < 12; i++)
			assert_true(w[i].log_ratio - w[i % 4].log_ratio >
			    hypot(w[i].error, w[i % 4].error));
		rn_free(r);
	}
}

/* Guards against a new worker that is expected to be like the fleet although
 * the others of its kind are fast. */
static void
test_kinds(void **state)
{
	struct rn *r = rn_new(1);
	struct sp_worker w[20] = {0};
	unsigned i;

	(void)state;
	for (i = 0; i < 20; i++) {
		w[i].kind = i % 2;
		if (i > 1)
			w[i].estimate = learn(r, i % 2 ? FAST : SLOW, 50);
	}
	sp_pool(w, 20, 2);
	assert_true(fabs(w[1].log_ratio - log(FAST)) < 0.3);
	assert_true(fabs(w[0].log_ratio - log(SLOW)) < 0.3);
	rn_free(r);
}

/* Guards against a worker of which one or two runs decide, and against tasks of
 * one job that count as independent samples. */
static void
test_few_samples(void **state)
{
	struct sp_samples s = {0};
	struct sp_estimate e;
	unsigned i;

	(void)state;
	e = sp_estimate(&s, 0);
	assert_false(sp_is_valid(&e));
	for (i = 0; i < 8; i++)
		sp_learn(&s, 1, SIZE_MS, 7 * SIZE_MS, i);
	sp_learn(&s, 2, SIZE_MS, SIZE_MS, 8);
	e = sp_estimate(&s, 8);
	assert_false(sp_is_valid(&e));
	assert_true(e.samples <= 2);
	for (i = 3; i <= 4; i++)
		sp_learn(&s, i, SIZE_MS, SIZE_MS, i + 8);
	e = sp_estimate(&s, 12);
	assert_true(sp_is_valid(&e));
	/* Samples are forgotten while the worker is idle. */
	e = sp_estimate(&s, 60000000);
	assert_false(sp_is_valid(&e));
}

/* Guards against a worker that has become slow and attracts tasks for the many
 * seconds that a mean over 100 jobs takes to follow. */
static void
test_change_of_speed(void **state)
{
	struct sp_samples s = {0};
	struct rn *r = rn_new(3);
	unsigned i;

	(void)state;
	for (i = 1; i <= 200; i++)
		sp_learn(&s, i, SIZE_MS, run_ms(r, 1), i * GAP_US);
	for (; i <= 230; i++)
		sp_learn(&s, i, SIZE_MS, run_ms(r, 5), i * GAP_US);
	assert_true(sp_estimate(&s, i * GAP_US).mean > log(2.5));
	rn_free(r);
}

/* Guards against estimates that are not numbers, absurd, or missing: they must
 * not spread to other workers. */
static void
test_bad_input(void **state)
{
	static const struct sp_estimate bad[] = {
	    {0, 0, 0},
	    {NAN, 1, 10},
	    {0, NAN, 10},
	    {0, 1, NAN},
	    {INFINITY, 1, 10},
	    {-1e9, 1, 10},
	    {0, -1, 10},
	    {0, 1e12, 10},
	    {0, 1, 1e300},
	    {0, 1, -5},
	};
	struct sp_worker w[G_N_ELEMENTS(bad) + 2] = {0};
	struct sp_samples s = {0};
	unsigned i;

	(void)state;
	assert_int_equal(0, sp_pool(w, 0, 0).estimates);
	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		assert_false(sp_is_valid(&bad[i]));
		w[i].estimate = bad[i];
	}
	assert_int_equal(0, sp_pool(w, G_N_ELEMENTS(bad), 1).estimates);
	assert_true(w[1].log_ratio == 0);
	w[i].estimate = (struct sp_estimate){0.5, 0.2, 50};
	w[i + 1].estimate = (struct sp_estimate){0.5, 0.2, 50};
	assert_int_equal(2, sp_pool(w, G_N_ELEMENTS(w), 1).estimates);
	for (i = 0; i < G_N_ELEMENTS(w); i++) {
		assert_true(fabs(w[i].log_ratio - 0.5) < 1e-9);
		assert_true(isfinite(w[i].error));
	}
	sp_learn(&s, 1, 0, 100, 1);
	sp_learn(&s, 2, NAN, 100, 1);
	sp_learn(&s, 3, 100, NAN, 1);
	sp_learn(&s, 4, 100, INFINITY, 1);
	assert_true(s.sum == 0);
	sp_learn(&s, 5, 100, -5, 1);
	assert_true(isfinite(s.mean) && isfinite(s.var));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_equal_workers),
	    cmocka_unit_test(test_unequal_workers),
	    cmocka_unit_test(test_kinds),
	    cmocka_unit_test(test_few_samples),
	    cmocka_unit_test(test_change_of_speed),
	    cmocka_unit_test(test_bad_input),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
