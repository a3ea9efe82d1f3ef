#include "runner_fixture.h"

/* Tests when a new agent process takes the runs of its predecessor for ended.
 */

/* Guards against two runs of a task whose agent and endpoint are both replaced:
 * the first list that the new agent gets is of the new process of the endpoint,
 * which says nothing about the runs that the earlier one finishes. */
static void
test_predecessor_runs_at_replaced_endpoint(void **state)
{
	struct fixture *f = *state;

	ru_free(f->runner);
	f->runner = ru_new(f->clock, f->counters, &ops, f);
	f->incarnation = ck_wall_ms(f->clock);
	answer_empty_poll(f);
	assert_false(ru_load(f->runner).old_runs_ended);
	pass(f, LE_RUN_MS, 0);
	answer_empty_poll(f);
	assert_false(ru_load(f->runner).old_runs_ended);
	pass(f, 80, 0);
	assert_true(ru_load(f->runner).old_runs_ended);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_predecessor_runs_at_replaced_endpoint, set_up, tear_down),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
