#include "jobs_fixture.h"

/* Tests the time after which a job is given up. */

#define CLIENT_MS 900

/* Guards against logs that do not tell whether the client or the queue set the
 * time after which a job was given up. */
static void
test_limits_logged(void **state)
{
	struct fixture *f = *state;

	attach(f, "w1", 1);
	f->client_ms = CLIENT_MS;
	submit(f, "a", 1);
	report_end(f, 0, PD_END_DONE);
	assert_int_equal(CLIENT_MS, f->limits[0]);
	assert_int_equal(TIMEOUT_MS, f->limits[1]);
	f->client_silent = true;
	submit(f, "b", 1);
	report_end(f, 1, PD_END_DONE);
	assert_int_equal(0, f->limits[0]);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_limits_logged, set_up, tear_down),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
