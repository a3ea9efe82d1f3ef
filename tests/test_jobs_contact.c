#include "jobs_fixture.h"

/* Tests which jobs an entry may still grant after it has lost contact to its
 * agents: their clients may have submitted them to another entry meanwhile. */

#define LONG_TIMEOUT_MS 15000
/* Longer than it takes a client to submit its job to another entry. */
#define CUT_MS 5500

static int
set_up_long(void **state)
{
	struct fixture *f;

	set_up(state);
	f = *state;
	f->timeout_ms = LONG_TIMEOUT_MS;
	return (0);
}

/* Passes time without a message of any agent. */
static void
pass_cut_off(struct fixture *f, unsigned ms)
{
	pass_time(f, NULL, 0, ms);
}

/* Passes time in which only the agent "w2" sends heartbeats. */
static void
pass_with_w2(struct fixture *f, unsigned ms)
{
	pass_time(f, "w2", 2, ms);
}

static void
lose_agent(struct fixture *f, struct fl_worker *w)
{
	fl_detach(f->fleet, w->session);
	jb_detached(f->jobs, w);
}

/* Guards against a second run of a task, beside that for the entry to which its
 * client has gone, when an entry that was cut off is back. */
static void
test_granted_again_after_cut(void **state)
{
	struct fixture *f = *state;
	struct fl_worker *w;

	w = attach(f, "w1", 1);
	submit_job(f, "a", 7, 1, 5000, 1);
	assert_int_equal(1, f->nstarts);
	pass_cut_off(f, 1000);
	lose_agent(f, w);
	pass_cut_off(f, CUT_MS - 1000);
	attach_agent(f, "w1", "z1", 2, 1, 0);
	attach(f, "w2", 3);
	pass_cut_off(f, 100);
	assert_int_equal(1, f->nstarts);
	assert_int_equal(1, f->nanswers);
	assert_int_equal(JB_GAVE_UP, f->answers[0].status);
	assert_int_equal(JB_R_CONTACT, f->answers[0].reason);
	/* A job that is submitted now runs. */
	submit_job(f, "b", 7, 1, 5000, 1);
	assert_int_equal(2, f->nstarts);
}

/* Guards against the same after a pause of the entry, whose first event is a
 * message of an agent: that its run was lost, or that it has restarted. */
static void
test_granted_again_after_pause(void **state)
{
	struct fixture *f = *state;

	attach(f, "w1", 1);
	submit_job(f, "a", 7, 1, 5000, 1);
	submit_job(f, "b", 7, 1, 5000, 1);
	ck_advance_ms(f->clock, CUT_MS);
	attach_agent(f, "w2", "z1", 2, 2, 0);
	report_end(f, 0, PD_END_LOST);
	attach_agent(f, "w1", "z1", 3, 9, 0);
	pass_cut_off(f, 100);
	assert_int_equal(2, f->nstarts);
	assert_int_equal(2, f->nanswers);
	assert_int_equal(JB_R_CONTACT, f->answers[0].reason);
	assert_int_equal(JB_R_CONTACT, f->answers[1].reason);
}

/* Guards against the start of a later step of such a job. */
static void
test_next_step_granted_after_pause(void **state)
{
	struct fixture *f = *state;

	attach(f, "w1", 1);
	submit_job(f, "a", 7, 1, 1000, 2);
	ck_advance_ms(f->clock, CUT_MS);
	attach_agent(f, "w2", "z1", 2, 2, 0);
	report_end(f, 0, PD_END_DONE);
	assert_int_equal(1, f->nstarts);
	assert_int_equal(JB_R_CONTACT, f->answers[0].reason);
}

/* Guards against the first grant of a job that has waited for agents, after a
 * pause of the entry that has just started. */
static void
test_first_grant_after_pause(void **state)
{
	struct fixture *f = *state;

	fl_free(f->fleet);
	jb_free(f->jobs);
	f->fleet = fl_new(f->clock, f->counters, f->config, 1);
	f->jobs = jb_new(f->clock, f->counters, f->fleet, &ops, f);
	submit_job(f, "a", 7, 1, 1000, 1);
	assert_int_equal(0, f->nanswers);
	ck_advance_ms(f->clock, CUT_MS);
	attach(f, "w1", 1);
	jb_tick(f->jobs);
	assert_int_equal(0, f->nstarts);
	assert_int_equal(JB_REFUSED, f->answers[0].status);
	assert_int_equal(JB_R_CONTACT, f->answers[0].reason);
}

/* Guards against giving up a result that the agents had before. */
static void
test_result_after_pause(void **state)
{
	struct fixture *f = *state;

	attach(f, "w1", 1);
	submit_job(f, "a", 7, 1, 1000, 1);
	ck_advance_ms(f->clock, CUT_MS);
	handle_heartbeat(f, "w1", "z1", 1, 1, 0, false);
	report_end(f, 0, PD_END_DONE);
	assert_int_equal(JB_COMPLETED, f->answers[0].status);
}

/* Guards against giving up a job whose agent alone is lost. */
static void
test_granted_again_beside_other_agents(void **state)
{
	struct fixture *f = *state;
	struct fl_worker *w;

	w = attach(f, "w1", 1);
	submit_job(f, "a", 7, 1, 5000, 1);
	attach(f, "w2", 2);
	lose_agent(f, w);
	pass_with_w2(f, CUT_MS);
	assert_int_equal(2, f->nstarts);
	assert_int_equal(0, f->nanswers);
	report_end(f, 1, PD_END_DONE);
	assert_int_equal(JB_COMPLETED, f->answers[0].status);
}

/* Guards against giving up a job that its client has submitted again, to this
 * entry. */
static void
test_submitted_again_after_cut(void **state)
{
	struct fixture *f = *state;

	attach(f, "w1", 1);
	submit_job(f, "a", 7, 1, 5000, 1);
	ck_advance_ms(f->clock, CUT_MS);
	attach_agent(f, "w2", "z1", 2, 2, 0);
	submit_job(f, "a", 8, 1, 5000, 1);
	pass_with_w2(f, 100);
	assert_int_equal(2, f->nstarts);
	report_end(f, 1, PD_END_DONE);
	assert_int_equal(2, f->nanswers);
	assert_int_equal(JB_COMPLETED, f->answers[1].status);
}

/* Guards against a run that goes on beside that for the entry to which the
 * client has submitted the job. */
static void
test_job_claimed_by_other_entry(void **state)
{
	struct fixture *f = *state;

	attach(f, "w1", 1);
	submit_job(f, "a", 7, 1, 5000, 1);
	assert_true(jb_is_active(f->jobs, "a"));
	assert_true(jb_release(f->jobs, "a"));
	assert_int_equal(1, f->nwithdrawn);
	assert_int_equal(JB_GAVE_UP, f->answers[0].status);
	assert_int_equal(JB_R_CONTACT, f->answers[0].reason);
	assert_false(jb_is_active(f->jobs, "a"));
	assert_false(jb_release(f->jobs, "a"));
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up_long, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    T(test_granted_again_after_cut),
	    T(test_granted_again_after_pause),
	    T(test_next_step_granted_after_pause),
	    T(test_first_grant_after_pause),
	    T(test_result_after_pause),
	    T(test_granted_again_beside_other_agents),
	    T(test_submitted_again_after_cut),
	    T(test_job_claimed_by_other_entry),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
