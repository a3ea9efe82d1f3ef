#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib.h>
#include <math.h>

#include "rng.h"
#include "runtimes.h"

/* Tests the learned distribution of run times on seeded samples. */

#define LEARNED 4000
#define CHECKED 200000
#define ERROR_SD 0.4
/* Jobs of a tenth that are enough to compare shares: the deviation of the
 * observed one is at most 0.016. */
#define TENTH_MIN 1000
/* Target: the observed share of a tenth is in that tenth, so it differs from
 * the middle by half the width. */
#define CALIBRATION 0.05

struct workload {
	double (*run_ms)(struct rn *rng);
	double limit_ms; /* deadline, at which runs are cut off */
	bool declares_nothing;
};

static double
normal(struct rn *rng)
{
	return (
	    sqrt(-2 * log(1 - rn_unit(rng))) * cos(2 * M_PI * rn_unit(rng)));
}

/* Heavy tail: 3% of the jobs take seven times as long. */
static double
heavy(struct rn *rng)
{
	double factor = rn_unit(rng) < 0.03 ? 7 : 1;

	return (300 * factor * exp(0.4 * normal(rng)));
}

static double
exponential(struct rn *rng)
{
	return (-1800 * log(1 - rn_unit(rng)));
}

static double
two_kinds(struct rn *rng)
{
	return ((rn_unit(rng) < 0.5 ? 80 : 6000) * exp(0.3 * normal(rng)));
}

static double
declared(struct rn *rng, double run_ms)
{
	return (run_ms * exp(ERROR_SD * normal(rng)));
}

static void
learn_one(struct rt *r, const struct workload *w, double run, double decl)
{
	if (run <= w->limit_ms)
		rt_ended(r, decl, run);
	else
		rt_cut(r, decl, w->limit_ms);
}

static void
learn(struct rt *r, struct rn *rng, const struct workload *w, unsigned n)
{
	double run, decl;

	while (n-- > 0) {
		run = w->run_ms(rng);
		decl = w->declares_nothing ? 0 : declared(rng, run);
		learn_one(r, w, run, decl);
	}
}

/* Compares predicted and observed shares of the jobs that end in time, of which
 * @elapsed_ms have passed, while learning goes on. */
static void
check_calibration(const struct workload *w, double elapsed_ms, uint64_t seed)
{
	struct rn *rng = rn_new(seed);
	struct rt *r = rt_new();
	double predicted[10] = {0}, observed[10] = {0}, p, run, decl;
	unsigned n[10] = {0}, i, k, compared = 0;

	learn(r, rng, w, LEARNED);
	for (i = 0; i < CHECKED; i++) {
		run = w->run_ms(rng);
		decl = w->declares_nothing ? 0 : declared(rng, run);
		if (run <= elapsed_ms) {
			learn_one(r, w, run, decl);
			continue;
		}
		p = rt_chance(r, decl, elapsed_ms, w->limit_ms);
		assert_true(p >= 0 && p <= 1);
		k = MIN((unsigned)(p * 10), 9);
		predicted[k] += p;
		observed[k] += run <= w->limit_ms;
		n[k]++;
		learn_one(r, w, run, decl);
	}
	for (k = 0; k < 10; k++) {
		if (n[k] < TENTH_MIN)
			continue;
		compared++;
		print_message(
		    "tenth %u: %u jobs, predicted %.3f, observed "
		    "%.3f\n",
		    k, n[k], predicted[k] / n[k], observed[k] / n[k]);
		assert_true(
		    fabs(predicted[k] - observed[k]) / n[k] < CALIBRATION);
	}
	assert_true(compared > 0);
	rt_free(r);
	rn_free(rng);
}

/* Guards against chances that differ from the observed shares, whatever the
 * shape of the distribution and the deadline. */
static void
test_calibration(void **state)
{
	static const struct workload heavy_tail = {heavy, 1500, false};
	static const struct workload long_deadline = {exponential, 5000, false};
	static const struct workload two_sizes = {two_kinds, 5000, false};
	static const struct workload undeclared = {exponential, 1500, true};

	(void)state;
	check_calibration(&heavy_tail, 0, 1);
	check_calibration(&heavy_tail, 700, 2);
	check_calibration(&long_deadline, 0, 3);
	check_calibration(&long_deadline, 2500, 4);
	check_calibration(&two_sizes, 0, 5);
	check_calibration(&undeclared, 0, 6);
}

/* Guards against an expectation that ignores the tail or the declaration. */
static void
test_expected(void **state)
{
	static const struct workload w = {heavy, RT_MAX_MS, false};
	struct rn *rng = rn_new(7);
	struct rt *r = rt_new();
	double expected = 0, actual = 0, run;
	unsigned i;

	(void)state;
	learn(r, rng, &w, LEARNED);
	for (i = 0; i < CHECKED; i++) {
		run = heavy(rng);
		actual += run;
		expected += rt_expected(r, declared(rng, run), 0);
	}
	assert_true(fabs(expected / actual - 1) < 0.1);
	assert_true(rt_expected(r, 300, 1200) > 1200);
	assert_true(rt_expected(r, 2000, 0) > 2 * rt_expected(r, 300, 0));
	rt_free(r);
	rn_free(rng);
}

/* Guards against a chance that stays while time passes within one bin. */
static void
test_within_a_bin(void **state)
{
	static const struct workload w = {heavy, 1500, false};
	struct rn *rng = rn_new(8);
	struct rt *r = rt_new();
	double p, last = 1;
	unsigned ms;

	(void)state;
	learn(r, rng, &w, LEARNED);
	for (ms = 1450; ms < 1500; ms += 5) {
		p = rt_chance(r, 1500, ms, 1500);
		assert_true(p < last);
		last = p;
	}
	assert_true(rt_chance(r, 1500, 1500, 1500) == 0);
	rt_free(r);
	rn_free(rng);
}

/* Guards against long jobs that were cut off making short ones look long. */
static void
test_censored_only(void **state)
{
	struct rt *r = rt_new();
	unsigned i;

	(void)state;
	for (i = 0; i < 200; i++)
		rt_cut(r, 3000, 1500);
	assert_true(rt_chance(r, 3000, 0, 1500) < 0.1);
	assert_true(rt_chance(r, 100, 0, 1500) > 0.9);
	assert_true(rt_expected(r, 100, 0) < 500);
	rt_free(r);
}

/* Guards against decisions that are based on a few samples. */
static void
test_few_samples(void **state)
{
	struct rt *r = rt_new();
	struct rt_summary s;
	unsigned i;

	(void)state;
	assert_false(rt_export(r, &s));
	for (i = 0; i + 1 < RT_SAMPLES_MIN; i++) {
		assert_true(rt_chance(r, 9000, 0, 100) == 1);
		assert_true(rt_expected(r, 9000, 0) == 9000);
		rt_ended(r, 9000, 9000);
	}
	assert_true(rt_chance(r, 9000, 0, 100) == 1);
	rt_ended(r, 9000, 9000);
	rt_ended(r, 9000, 9000);
	assert_true(rt_chance(r, 9000, 0, 100) < 0.1);
	rt_free(r);
}

/* Guards against declarations and times that no job has. */
static void
test_odd_input(void **state)
{
	static const double odd[] = {
	    0, -5, 1e-300, 1e18, INFINITY, -INFINITY, NAN, RT_MAX_MS};
	static const struct workload w = {heavy, 1500, false};
	struct rn *rng = rn_new(9);
	struct rt *r = rt_new();
	double p;
	unsigned i, k;

	(void)state;
	learn(r, rng, &w, LEARNED);
	for (i = 0; i < G_N_ELEMENTS(odd); i++)
		for (k = 0; k < G_N_ELEMENTS(odd); k++) {
			rt_ended(r, odd[i], odd[k]);
			rt_cut(r, odd[i], odd[k]);
			p = rt_chance(r, odd[i], odd[k], 1500);
			assert_true(p >= 0 && p <= 1);
			p = rt_chance(r, odd[i], 10, odd[k]);
			assert_true(p >= 0 && p <= 1);
		}
	/* Unknown declarations get the distribution of the queue. */
	p = rt_chance(r, 0, 0, 1500);
	assert_true(p > 0.8);
	assert_true(rt_chance(r, -5, 0, 1500) == p);
	assert_true(rt_chance(r, 2 * RT_MAX_MS, 0, 1500) == p);
	assert_true(rt_chance(r, NAN, 0, 1500) == p);
	rt_free(r);
	rn_free(rng);
}

/* Guards against a distribution that keeps what was true long ago. */
static void
test_ageing(void **state)
{
	static const struct workload before = {heavy, RT_MAX_MS, true};
	static const struct workload after = {two_kinds, RT_MAX_MS, true};
	struct rn *rng = rn_new(10);
	struct rt *r = rt_new();

	(void)state;
	learn(r, rng, &before, LEARNED);
	assert_true(rt_chance(r, 0, 0, 4000) > 0.95);
	learn(r, rng, &after, LEARNED);
	assert_true(fabs(rt_chance(r, 0, 0, 1500) - 0.5) < 0.1);
	rt_free(r);
	rn_free(rng);
}

/* Guards against a summary that loses rare sizes, is counted twice, stays after
 * its sender is gone, or fills the memory. */
static void
test_merge(void **state)
{
	static const struct workload w = {heavy, 1500, false};
	struct rn *rng = rn_new(11);
	struct rt *a = rt_new(), *b = rt_new();
	struct rt_summary s, other;
	char name[16];
	unsigned i;

	(void)state;
	learn(a, rng, &w, LEARNED);
	assert_true(rt_export(a, &s));
	assert_true(rt_merge(b, "a", &s));
	assert_true(rt_merge(b, "a", &s));
	assert_int_equal(rt_samples(a), rt_samples(b));
	assert_false(rt_export(b, &other));
	for (i = 100; i < 3000; i += 100)
		assert_true(fabs(rt_chance(a, i, 0, 1500) -
				rt_chance(b, i, 0, 1500)) < 0.02);
	for (i = 0; i < 3 * RT_SENDERS_MAX; i++) {
		g_snprintf(name, sizeof(name), "entry%u", i);
		assert_true(rt_merge(b, name, &s));
	}
	assert_true(rt_samples(b) <= RT_SENDERS_MAX * s.samples);
	rt_age(b, 3600000);
	assert_int_equal(0, rt_samples(b));
	rt_free(a);
	rt_free(b);
	rn_free(rng);
}

/* Guards against the use of a summary that no entry sends. */
static void
test_merge_rejects(void **state)
{
	static const struct rt_summary good = {.samples = 100,
	    .error_samples = 100,
	    .error_sd_permille = 400,
	    .bins = {[50] = 255}};
	struct rt_summary bad[6];
	struct rt *r = rt_new();
	unsigned i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		bad[i] = good;
	bad[0].samples = 0;
	bad[1].samples = 4000000000U;
	bad[2].error_samples = 4000000000U;
	bad[3].error_mean_permille = -2000000000;
	bad[4].error_sd_permille = 4000000000U;
	bad[5].bins[50] = 0;
	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		assert_false(rt_merge(r, "a", &bad[i]));
	assert_int_equal(0, rt_samples(r));
	assert_true(rt_merge(r, "a", &good));
	assert_int_equal(100, rt_samples(r));
	rt_free(r);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_calibration),
	    cmocka_unit_test(test_expected),
	    cmocka_unit_test(test_within_a_bin),
	    cmocka_unit_test(test_censored_only),
	    cmocka_unit_test(test_few_samples),
	    cmocka_unit_test(test_odd_input),
	    cmocka_unit_test(test_ageing),
	    cmocka_unit_test(test_merge),
	    cmocka_unit_test(test_merge_rejects),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
