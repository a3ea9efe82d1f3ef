#include "load_fixture.h"

/* Replays demand above the capacity. */

/* Target: the share of jobs in time of a queue, and of a size class of it, is
 * at least this part of that of its whole. */
#define SERVED_FLOOR 0.5
/* Target: how far the share of jobs in time of deployments that are served well
 * without it may fall. */
#define SHARE_LOST_TO_VALUE_MAX 0.03

/* Replays a load with admission.contention = slack and = value. Required: value
 * serves not fewer callers in time, except for @lost_max of all, and neither a
 * queue nor a size class gets less than half the share of its whole. */
static void
assert_value_serves(const char *path, double scale, double lost_max)
{
	struct totals slack = replay_by(path, scale, false);
	struct totals value = replay_by(path, scale, true);
	double all = md_in_time_share(&value.all), kind;
	unsigned i, k;

	assert_int_equal(slack.all.submitted, value.all.submitted);
	assert_true(all >= md_in_time_share(&slack.all) - lost_max);
	for (i = 0; i < value.nkinds; i++) {
		kind = md_in_time_share(&value.kinds[i]);
		assert_true(kind >= all * SERVED_FLOOR);
		for (k = 0; k < MD_CLASSES; k++)
			assert_true(md_in_time_share(&value.classes[i][k]) >=
			    kind * SERVED_FLOOR);
	}
	assert_int_equal(0, value.duplicate_runs);
}

/* Guards against demand above capacity, in waves, that leaves callers of small
 * jobs without service for the few large ones, or the other way round. */
static void
test_contention_waves(void **state)
{
	(void)state;
	assert_value_serves(LOADS_DIR "contention-waves.toml", 1, 0);
}

/* The same when all workers come back at once and clients return at twice the
 * usual rate. */
static void
test_contention_return(void **state)
{
	(void)state;
	assert_value_serves(LOADS_DIR "contention-return.toml", 1, 0);
}

/* Guards against a gain under contention that is paid for with fast and slow
 * workers, or with overload of another kind. */
static void
test_contention_unequal_workers(void **state)
{
	(void)state;
	assert_value_serves(LOADS_DIR "order-desk.toml", 2, 0);
	assert_value_serves(
	    LOADS_DIR "order-desk-evacuated.toml", 1, SHARE_LOST_TO_VALUE_MAX);
	assert_value_serves(
	    LOADS_DIR "order-desk-power-loss.toml", 1, SHARE_LOST_TO_VALUE_MAX);
}

/* Guards against refusals for lack of capacity while capacity is free. Jobs
 * that no worker can end by their deadline are refused by both settings. */
static void
test_value_refuses_nothing_with_free_capacity(void **state)
{
	struct totals slack, value;

	(void)state;
	value = replay_by(LOADS_DIR "order-desk.toml", 1, true);
	assert_int_equal(0, value.all.refused);
	slack = replay_by(LOADS_DIR "contention-waves.toml", 0.6, false);
	value = replay_by(LOADS_DIR "contention-waves.toml", 0.6, true);
	assert_true(value.all.refused <= slack.all.refused);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_contention_waves),
	    cmocka_unit_test(test_contention_return),
	    cmocka_unit_test(test_contention_unequal_workers),
	    cmocka_unit_test(test_value_refuses_nothing_with_free_capacity),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
