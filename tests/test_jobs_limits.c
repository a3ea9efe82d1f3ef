#include "jobs_fixture.h"

/* Tests the time after which a job is given up. */

#define CLIENT_MS 900
#define QUEUE_MS 300
/* Jobs after which their distribution counts. */
#define LEARNED 60
/* Answers of jobs that have ended are kept for this time. */
#define KEPT_MS 6000
/* Half of the run time of each job. */
#define STOP_MS 50

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

/* Guards against a job that is given up while its tasks run and its client
 * still waits. */
static void
test_client_waits_longer_than_queue(void **state)
{
	struct fixture *f = *state;

	attach(f, "w1", 1);
	f->client_ms = 4 * TIMEOUT_MS;
	submit(f, "a", 1);
	pass_time(f, "w1", 1, 2 * TIMEOUT_MS);
	assert_int_equal(0, f->nanswers);
	assert_int_equal(0, f->nwithdrawn);
	report_end(f, 0, PD_END_DONE);
	assert_int_equal(1, f->nanswers);
	assert_int_equal(JB_COMPLETED, f->answers[0].status);
}

/* Guards against a job that goes on after its client has stopped waiting. */
static void
test_client_waits_less_than_queue(void **state)
{
	struct fixture *f = *state;

	attach(f, "w1", 1);
	f->client_ms = CLIENT_MS;
	submit(f, "a", 1);
	pass_time(f, "w1", 1, CLIENT_MS);
	assert_int_equal(1, f->nanswers);
	assert_int_equal(JB_GAVE_UP, f->answers[0].status);
	assert_int_equal(1, f->nwithdrawn);
}

/* Guards against a job without an end, since its client does not say how long
 * it waits. */
static void
test_queue_limits_client_without_deadline(void **state)
{
	struct fixture *f = *state;

	attach(f, "w1", 1);
	f->client_silent = true;
	submit(f, "a", 1);
	pass_time(f, "w1", 1, TIMEOUT_MS);
	assert_int_equal(1, f->nanswers);
	assert_int_equal(JB_GAVE_UP, f->answers[0].status);
}

/* Guards against a job that waits for a worker beyond the time-out of its
 * queue. */
static void
test_queue_limits_wait_for_worker(void **state)
{
	struct fixture *f = *state;

	/* After a pause an entry waits for its agents for a second. */
	ck_advance_ms(f->clock, WARM_UP_MS);
	f->timeout_ms = QUEUE_MS;
	f->client_ms = 4 * TIMEOUT_MS;
	submit(f, "a", 1);
	pass_time(f, NULL, 0, QUEUE_MS - TICK_MS);
	assert_int_equal(0, f->nanswers);
	pass_time(f, NULL, 0, TICK_MS);
	assert_int_equal(1, f->nanswers);
	assert_int_equal(JB_REFUSED, f->answers[0].status);
}

/* Guards against a connection that is cut without an answer, since its job
 * takes longer than the process goes on after the signal to stop. */
static void
test_job_longer_than_stop(void **state)
{
	struct fixture *f = *state;

	attach(f, "w1", 1);
	f->client_ms = 4 * TIMEOUT_MS;
	submit(f, "a", 1);
	jb_stop_at(f->jobs, ck_mono_ms(f->clock) + 2 * TIMEOUT_MS);
	pass_time(f, "w1", 1, 2 * TIMEOUT_MS - TICK_MS);
	assert_int_equal(0, f->nanswers);
	pass_time(f, "w1", 1, TICK_MS);
	assert_int_equal(1, f->nanswers);
	assert_int_equal(JB_GAVE_UP, f->answers[0].status);
	assert_int_equal(JB_R_STOPPING, f->answers[0].reason);
	assert_int_equal(1, f->nwithdrawn);
}

/* Guards against a job that is started though it cannot end before the process
 * does: another entry has the time. */
static void
test_job_refused_by_stop(void **state)
{
	struct fixture *f = *state;
	unsigned i;

	jb_set_run_times(f->jobs, true);
	attach(f, "w1", 1);
	f->client_ms = 4 * TIMEOUT_MS;
	for (i = 0; i < LEARNED; i++) {
		submit(f, "a", 1);
		report_end(f, i, PD_END_DONE);
		ck_advance_ms(f->clock, KEPT_MS);
		attach(f, "w1", 1);
		jb_tick(f->jobs);
	}
	jb_stop_at(f->jobs, ck_mono_ms(f->clock) + STOP_MS);
	submit(f, "b", 1);
	assert_int_equal(JB_REFUSED, f->answers[LEARNED].status);
	assert_int_equal(JB_R_STOPPING, f->answers[LEARNED].reason);
	assert_true(f->answers[LEARNED].retry_ms > 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_limits_logged, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_client_waits_longer_than_queue, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_client_waits_less_than_queue, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_queue_limits_client_without_deadline, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_queue_limits_wait_for_worker, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_job_longer_than_stop, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_job_refused_by_stop, set_up, tear_down),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
