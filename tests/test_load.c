#include "load_fixture.h"

/* Replays loads on the model of a cell. */

/* Target: share of jobs in time in a cell that is not overloaded. */
#define SHARE_IN_TIME_MIN 0.99
/* Target: the share of jobs in time of each kind is below that of all jobs by
 * no more than this. */
#define SHARE_DIFFERENCE_MAX 0.1
/* Target: the median refusal comes within this time. */
#define REFUSAL_MEDIAN_MAX_MS 20

/* Target: the share of jobs in time while many entries meet a burst from cold,
 * and how far it may be below that of a few entries with the same load. */
#define SHARE_MANY_ENTRIES_MIN 0.9
#define SHARE_LOST_TO_ENTRIES_MAX 0.02
#define FEW_ENTRIES 3
/* Target: share of late jobs while twice as many come as usual. */
#define SHARE_LATE_MAX 0.05
/* Target: share of the jobs that learn only at their deadline that they cannot
 * be served, while clients come back after a power loss. */
#define SHARE_GAVE_UP_MAX 0.005

/* Guards against long jobs that do not end in time because short ones queue
 * for the few fast workers, while most workers have free capacity. */
static void
test_fast_workers_for_long_jobs(void **state)
{
	struct totals s;
	unsigned i;

	(void)state;
	s = replay(LOADS_DIR "order-desk.toml", 1.25);
	for (i = 0; i < s.nkinds; i++)
		assert_true(md_in_time_share(&s.kinds[i]) >= SHARE_IN_TIME_MIN);
}

static void
assert_served_evenly(struct totals s)
{
	unsigned i;

	for (i = 0; i < s.nkinds; i++)
		assert_true(md_in_time_share(&s.kinds[i]) >=
		    md_in_time_share(&s.all) - SHARE_DIFFERENCE_MAX);
}

/* Guards against urgent jobs that are refused under overload because less
 * urgent ones fill the queues, and against the opposite. */
static void
test_overload_served_evenly(void **state)
{
	(void)state;
	assert_served_evenly(replay(LOADS_DIR "order-desk.toml", 2));
	assert_served_evenly(replay(LOADS_DIR "order-desk-evacuated.toml", 1));
}

/* Guards against accepting jobs under overload that are late then: those that
 * are expected to end just in time wait longer than that. */
static void
test_overload_not_late(void **state)
{
	struct totals s;

	(void)state;
	s = replay(LOADS_DIR "order-desk.toml", 2);
	assert_true(s.all.late <= s.all.submitted * SHARE_LATE_MAX);
}

/* Guards against refusals that reach the caller late. */
static void
test_refusals_are_quick(void **state)
{
	struct md_result *r;
	struct md_load load;
	char message[256];

	(void)state;
	assert_true(ld_read(
	    LOADS_DIR "order-desk.toml", &load, message, sizeof(message)));
	ld_scale(&load, 2.5);
	r = md_run(&load);
	assert_true(r->all.refused > 0);
	assert_true(r->all.refusal_ms <= REFUSAL_MEDIAN_MAX_MS);
	md_result_free(r);
}

static struct md_result *
replay_large(unsigned entries)
{
	struct md_load load;
	char message[256];

	if (!ld_read(LOADS_DIR "order-desk-large.toml", &load, message,
		sizeof(message)))
		fail_msg("%s", message);
	if (entries != 0)
		load.entries = entries;
	return (md_run(&load));
}

/* Guards against late answers because many entries grant on the same old
 * reports and have not learned the speed of the workers. At 55 entries 17% of
 * all jobs were late, and 10% of the long ones were given up. */
static void
test_many_entries(void **state)
{
	struct md_result *few, *many;
	unsigned i;

	(void)state;
	few = replay_large(FEW_ENTRIES);
	many = replay_large(0);
	assert_true(md_in_time_share(&many->all) >=
	    md_in_time_share(&few->all) - SHARE_LOST_TO_ENTRIES_MAX);
	for (i = 0; i < MD_KINDS_MAX; i++)
		assert_true(md_in_time_share(&many->kinds[i]) >=
		    SHARE_MANY_ENTRIES_MIN);
	assert_int_equal(0, many->duplicate_runs);
	md_result_free(few);
	md_result_free(many);
}

/* Guards against jobs that wait for agents after a power loss, are then all
 * placed on the first ones and end at their deadline in queues. 1.7% of all
 * jobs did. */
static void
test_power_loss(void **state)
{
	struct totals s;

	(void)state;
	s = replay(LOADS_DIR "order-desk-power-loss.toml", 1);
	assert_true(s.all.gave_up <= s.all.submitted * SHARE_GAVE_UP_MAX);
	assert_true(md_in_time_share(&s.all) >= SHARE_MANY_ENTRIES_MIN);
	assert_int_equal(0, s.duplicate_runs);
}

/* Guards against results that depend on anything but the load. */
static void
test_same_seed_same_result(void **state)
{
	struct md_result *a, *b;
	struct md_load load;
	char message[256];

	(void)state;
	assert_true(ld_read(LOADS_DIR "order-desk-bursts.toml", &load, message,
	    sizeof(message)));
	a = md_run(&load);
	b = md_run(&load);
	assert_memory_equal(&a->all, &b->all, sizeof(a->all));
	assert_memory_equal(a->kinds, b->kinds, sizeof(a->kinds));
	assert_memory_equal(
	    a->windows, b->windows, a->nwindows * sizeof(*a->windows));
	assert_int_equal(a->starts, b->starts);
	md_result_free(a);
	md_result_free(b);
}

/* Guards against two concurrent runs of a task while workers slow down
 * and are powered off. */
static void
test_no_concurrent_runs_of_task(void **state)
{
	struct totals s;

	(void)state;
	s = replay(LOADS_DIR "order-desk-bursts.toml", 1.25);
	assert_int_equal(0, s.duplicate_runs);
	assert_true(s.all.submitted > 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_fast_workers_for_long_jobs),
	    cmocka_unit_test(test_overload_served_evenly),
	    cmocka_unit_test(test_overload_not_late),
	    cmocka_unit_test(test_refusals_are_quick),
	    cmocka_unit_test(test_many_entries),
	    cmocka_unit_test(test_power_loss),
	    cmocka_unit_test(test_same_seed_same_result),
	    cmocka_unit_test(test_no_concurrent_runs_of_task),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
