#include "runner_fixture.h"

/* Tests that an agent starts only grants that are for its endpoint as it is:
 * the process, and the service, zone, labels and capacity of the last heartbeat
 * of it. Entries place tasks by these, and learn of a change later. */

/* Guards against a start at an endpoint that does not have the label that the
 * task requires: the entry had granted it by an earlier heartbeat. */
static void
test_grant_for_earlier_description(void **state)
{
	struct fixture *f = *state;

	describe_endpoint(f, 1, OTHER_DESCRIPTION, true);
	grant(f, ENTRY_1, "a");
	assert_int_equal(0, f->norders);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_RETURNED, f->ends[0].state);
	f->description = OTHER_DESCRIPTION;
	grant(f, ENTRY_1, "b");
	assert_int_equal(1, f->norders);
}

/* Guards against the start of a queued task after such a change. */
static void
test_queued_before_change(void **state)
{
	static const char *const ids[] = {"a", "b", "c", "d", "e"};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		grant(f, ENTRY_1, ids[i]);
	assert_int_equal(4, f->norders);
	describe_endpoint(f, 1, OTHER_DESCRIPTION, true);
	assert_int_equal(1, f->nends);
	assert_string_equal("e", f->end_ids[0]);
	assert_int_equal(PD_END_RETURNED, f->ends[0].state);
}

/* Guards against a start between the first list of a new process and its first
 * heartbeat, which may be of another kind and size. */
static void
test_new_process_not_described(void **state)
{
	struct fixture *f = *state;

	f->incarnation = 2;
	answer_empty_poll(f);
	assert_false(ru_load(f->runner).reported.accepting);
	assert_int_equal(0, ru_load(f->runner).cpu);
	assert_int_equal(0, ru_load(f->runner).description);
	grant(f, ENTRY_1, "a");
	f->description = 0;
	grant(f, ENTRY_1, "b");
	assert_int_equal(0, f->norders);
	assert_int_equal(2, f->nends);
	describe_endpoint(f, 2, OTHER_DESCRIPTION, true);
	assert_true(ru_load(f->runner).reported.accepting);
	f->description = OTHER_DESCRIPTION;
	grant(f, ENTRY_1, "c");
	assert_int_equal(1, f->norders);
}

/* Guards against a second try of a start, whose first one was rejected, at the
 * endpoint as it is by then. */
static void
test_rejected_start_after_change(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	assert_int_equal(1, f->norders);
	describe_endpoint(f, 1, OTHER_DESCRIPTION, true);
	answer_start(f, "a", RU_NO_ROOM);
	pass(f, 100, ENTRY_1);
	assert_int_equal(1, f->norders);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_RETURNED, f->ends[0].state);
}

/* Guards against giving back grants at each heartbeat. */
static void
test_description_repeated(void **state)
{
	static const char *const ids[] = {"a", "b", "c", "d", "e"};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		grant(f, ENTRY_1, ids[i]);
	describe_endpoint(f, 1, DESCRIPTION, true);
	assert_int_equal(4, f->norders);
	assert_int_equal(0, f->nends);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    T(test_grant_for_earlier_description),
	    T(test_queued_before_change),
	    T(test_new_process_not_described),
	    T(test_rejected_start_after_change),
	    T(test_description_repeated),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
