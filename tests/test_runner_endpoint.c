#include "runner_fixture.h"

/* Tests when the runner of an agent takes runs at its endpoint for ended. */

/* Guards against two runs of a task at the same time: a poll sent before the
 * start was confirmed does not list the run, so it was taken for lost and
 * started elsewhere. */
static void
test_list_older_than_start(void **state)
{
	struct ru_run_info a = {.id = "a", .run = 1};
	struct fixture *f = *state;
	uint64_t poll_sent_ms;

	grant(f, ENTRY_1, "a");
	pass(f, 120, ENTRY_1);
	poll_sent_ms = ck_mono_ms(f->clock);
	pass(f, 80, ENTRY_1);
	answer_start(f, "a", RU_STARTED);
	answer_poll(f, poll_sent_ms, NULL, 0, NULL, 0);
	assert_int_equal(0, f->nends);
	/* A poll sent after the confirmation counts, once one has listed it. */
	pass(f, 30, ENTRY_1);
	answer_poll(f, ck_mono_ms(f->clock), &a, 1, NULL, 0);
	assert_int_equal(0, f->nends);
	pass(f, 10, ENTRY_1);
	answer_empty_poll(f);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_LOST, f->ends[0].state);
}

/* Guards against two runs of a task whose start was confirmed by a later
 * process of the endpoint while polls still go to the earlier one, which never
 * lists the run: it is stopped, and counts until the lease is over. */
static void
test_run_never_listed(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	pass(f, 30, ENTRY_1);
	answer_empty_poll(f);
	assert_int_equal(0, f->nends);
	assert_int_equal(2, f->norders);
	assert_true(f->orders[1].stop);
	confirm_stop(f, "a");
	pass(f, LE_RUN_MS, ENTRY_1);
	answer_empty_poll(f);
	assert_int_equal(0, f->nends);
	pass(f, 80, ENTRY_1);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_LOST, f->ends[0].state);
}

/* Guards against two runs of a task that is missing in a list of which a part
 * could not be read, or which has as many ends as fit. */
static void
test_partial_list(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	pass(f, 50, ENTRY_1);
	f->partial = true;
	answer_empty_poll(f);
	assert_int_equal(0, f->nends);
	ru_free(f->runner);
	f->runner = ru_new(f->clock, f->counters, &ops, f);
	answer_empty_poll(f);
	assert_false(ru_load(f->runner).old_runs_ended);
}

/* Guards against runs that go on after contact to their entry is lost: the
 * client submits the job to another entry after 1,300 ms. */
static void
test_lost_contact_stops_runs(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	grant(f, ENTRY_2, "b");
	answer_start(f, "a", RU_STARTED);
	answer_start(f, "b", RU_STARTED);
	pass(f, LE_CONTACT_MS - 10, ENTRY_2);
	assert_int_equal(2, f->norders);
	pass(f, 30, ENTRY_2);
	assert_int_equal(3, f->norders);
	assert_true(f->orders[2].stop);
	assert_string_equal("a", f->orders[2].id);
}

/* Guards against two runs of a task whose entry has lost the agent: a lease
 * that is renewed before the agent notices, or after a pause of its process,
 * lasts longer than the entry waits until it starts the task elsewhere. */
static void
test_lease_renewed_after_lost_contact(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	ck_advance_ms(f->clock, LE_CONTACT_MS);
	assert_int_equal(LE_RUN_MS, ru_renew_lease(f->runner));
	ck_advance_ms(f->clock, 19);
	assert_int_equal(LE_RUN_MS - 19, ru_renew_lease(f->runner));
	ck_advance_ms(f->clock, 5000);
	assert_int_equal(0, ru_renew_lease(f->runner));
}

/* Guards against two runs of a task whose stop the endpoint does not confirm:
 * the lease was renewed for other tasks, so the run went on after its entry had
 * started it elsewhere. */
static void
test_lease_renewed_beside_unconfirmed_stop(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	grant(f, ENTRY_2, "b");
	answer_start(f, "a", RU_STARTED);
	answer_start(f, "b", RU_STARTED);
	ru_entry_gone(f->runner, ENTRY_1);
	assert_int_equal(LE_RUN_MS, ru_renew_lease(f->runner));
	pass(f, 400, ENTRY_2);
	assert_int_equal(LE_RUN_MS - 400, ru_renew_lease(f->runner));
	/* A start would renew the lease too. */
	grant(f, ENTRY_2, "c");
	assert_true(f->orders[f->norders - 1].stop);
	pass(f, LE_RUN_MS - 400, ENTRY_2);
	assert_int_equal(0, ru_renew_lease(f->runner));
	pass(f, 80, ENTRY_2);
	assert_true(f->nends >= 2);
	assert_int_equal(PD_END_LOST, f->ends[0].state);
	assert_int_equal(PD_END_LOST, f->ends[1].state);
}

/* Guards against two runs of a task whose entry has lost the agent: the stop is
 * requested late, after a pause of the agent process, and the lease of the run
 * that is being stopped was counted from that request. */
static void
test_lease_beyond_lost_contact_after_pause(void **state)
{
	struct fixture *f = *state;
	uint64_t contact_ms = ck_mono_ms(f->clock);
	uint64_t now;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	ck_advance_ms(f->clock, LE_CONTACT_MS - 50);
	assert_int_equal(LE_RUN_MS, ru_renew_lease(f->runner));
	ck_advance_ms(f->clock, 400);
	ru_tick(f->runner);
	assert_int_equal(2, f->norders);
	assert_true(f->orders[1].stop);
	now = ck_mono_ms(f->clock);
	assert_in_range(now + ru_renew_lease(f->runner), now,
	    contact_ms + LE_CONTACT_MS + LE_RUN_MS);
}

/* Guards against runs that go on after their entry process was replaced. */
static void
test_entry_gone_stops_runs(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	ru_entry_gone(f->runner, ENTRY_1);
	assert_int_equal(2, f->norders);
	assert_true(f->orders[1].stop);
	/* The capacity is not free until the run has stopped. */
	assert_int_equal(TASK_CPU, ru_load(f->runner).reported.cpu_used);
	confirm_stop(f, "a");
	pass(f, 80, ENTRY_2);
	answer_empty_poll(f);
	assert_int_equal(0, ru_load(f->runner).reported.cpu_used);
}

/* Guards against reporting an end while an unanswered start may still be
 * carried out. */
static void
test_unanswered_start(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_NO_ANSWER);
	assert_int_equal(2, f->norders);
	assert_true(f->orders[1].stop);
	/* A poll proves nothing before the stop is confirmed. */
	answer_empty_poll(f);
	pass(f, 200, ENTRY_1);
	assert_int_equal(0, f->nends);
	/* The stop is repeated at most every 50 ms. */
	assert_in_range(f->norders, 3, 6);
	assert_true(f->orders[f->norders - 1].stop);
	confirm_stop(f, "a");
	/* Nor does one that may have been sent before. */
	answer_empty_poll(f);
	assert_int_equal(0, f->nends);
	/* Guards against waiting longer than needed: the task is late already
	 * when it ran 100 ms later elsewhere. */
	pass(f, 10, ENTRY_1);
	answer_empty_poll(f);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_LOST, f->ends[0].state);
}

/* Guards against reporting an end while a run goes on whose start got no answer
 * and whose stop was confirmed: it runs until its end is listed. */
static void
test_unanswered_start_runs(void **state)
{
	struct ru_run_info info = {.id = "a", .run = 1};
	struct fixture *f = *state;
	unsigned i;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_NO_ANSWER);
	confirm_stop(f, "a");
	for (i = 0; i < 10; i++) {
		pass(f, 10, ENTRY_1);
		answer_poll(f, ck_mono_ms(f->clock), &info, 1, NULL, 0);
		assert_int_equal(0, f->nends);
	}
	report_run_end(f, "a", 1, RU_STOPPED);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_LOST, f->ends[0].state);
}

/* Guards against renewing the lease of a silent endpoint, and against reporting
 * an end before the lease is over. */
static void
test_silent_endpoint(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	assert_int_equal(LE_RUN_MS, ru_renew_lease(f->runner));
	ru_call_unanswered(f->runner);
	ru_call_unanswered(f->runner);
	ru_call_unanswered(f->runner);
	assert_int_equal(0, ru_renew_lease(f->runner));
	pass(f, LE_RUN_MS, ENTRY_1);
	assert_int_equal(0, f->nends);
	pass(f, 80, ENTRY_1);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_LOST, f->ends[0].state);
}

/* Guards against two runs of a task when an endpoint that refuses connections
 * but goes on running was taken for dead (soak seeds 209, 211 and 311), and
 * against keeping tasks queued for such an endpoint. */
static void
test_refusing_endpoint(void **state)
{
	static const char *const ids[] = {"a", "b", "c", "d", "e"};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ids); i++) {
		grant(f, ENTRY_1, ids[i]);
		answer_start(f, ids[i], RU_STARTED);
	}
	ru_connection_refused(f->runner);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_RETURNED, f->ends[0].state);
	assert_false(ru_load(f->runner).reported.accepting);
	assert_int_equal(0, ru_renew_lease(f->runner));
	pass(f, LE_RUN_MS, ENTRY_1);
	assert_int_equal(1, f->nends);
	pass(f, 80, ENTRY_1);
	assert_int_equal(5, f->nends);
	assert_int_equal(PD_END_LOST, f->ends[4].state);
	answer_empty_poll(f);
	assert_true(ru_load(f->runner).reported.accepting);
}

/* Guards against a new agent process that lets runs of a killed one go on, or
 * starts tasks before they have ended. */
static void
test_runs_of_predecessor(void **state)
{
	struct ru_run_info old = {.id = "old", .run = 3};
	struct fixture *f = *state;

	ru_free(f->runner);
	f->runner = ru_new(f->clock, f->counters, &ops, f);
	answer_poll(f, ck_mono_ms(f->clock), &old, 1, NULL, 0);
	assert_int_equal(1, f->norders);
	assert_true(f->orders[0].stop);
	assert_int_equal(3, f->orders[0].run);
	assert_false(ru_load(f->runner).old_runs_ended);
	assert_int_equal(0, ru_renew_lease(f->runner));
	answer_empty_poll(f);
	assert_true(ru_load(f->runner).old_runs_ended);
}

static void
restart_endpoint(struct fixture *f)
{
	f->incarnation = 2;
	answer_empty_poll(f);
	f->description = OTHER_DESCRIPTION;
	describe_endpoint(f, 2, f->description, true);
}

/* Guards against two runs of a task whose endpoint was replaced by another
 * process while the earlier one finished its runs, against keeping its tasks
 * longer than the lease, and against a worker that stays unused after that. */
static void
test_runs_lost_before_lease_after_restart(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	restart_endpoint(f);
	assert_false(ru_load(f->runner).reported.accepting);
	assert_int_equal(0, ru_renew_lease(f->runner));
	grant(f, ENTRY_1, "b");
	assert_int_equal(1, f->norders);
	assert_int_equal(1, f->nends);
	assert_string_equal("b", f->end_ids[0]);
	assert_int_equal(PD_END_RETURNED, f->ends[0].state);
	pass(f, LE_RUN_MS, ENTRY_1);
	answer_empty_poll(f);
	assert_int_equal(1, f->nends);
	pass(f, 80, ENTRY_1);
	assert_int_equal(2, f->nends);
	assert_int_equal(PD_END_LOST, f->ends[1].state);
	assert_true(ru_load(f->runner).reported.accepting);
	grant(f, ENTRY_1, "c");
	assert_int_equal(2, f->norders);
}

/* Guards against pausing an endpoint that had no runs when it restarted. */
static void
test_idle_endpoint_restarts(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	report_run_end(f, "a", 1, RU_DONE);
	restart_endpoint(f);
	grant(f, ENTRY_1, "b");
	assert_int_equal(2, f->norders);
}

/* Guards against a new agent process that takes the runs of its predecessor for
 * ended because the endpoint has restarted and lists none. */
static void
test_runs_of_predecessor_after_restart(void **state)
{
	struct ru_run_info old = {.id = "old", .run = 3};
	struct fixture *f = *state;

	ru_free(f->runner);
	f->runner = ru_new(f->clock, f->counters, &ops, f);
	answer_poll(f, ck_mono_ms(f->clock), &old, 1, NULL, 0);
	restart_endpoint(f);
	answer_empty_poll(f);
	assert_false(ru_load(f->runner).old_runs_ended);
	pass(f, LE_RUN_MS + 80, 0);
	assert_true(ru_load(f->runner).old_runs_ended);
}

/* Guards against two runs of a task whose start went to a new process of the
 * endpoint that the agent did not know yet: it is stopped there, and ends only
 * when that process no longer lists it. */
static void
test_start_at_new_process(void **state)
{
	struct ru_run_info a = {.id = "a", .run = 1};
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	f->incarnation = 2;
	answer_poll(f, ck_mono_ms(f->clock), &a, 1, NULL, 0);
	assert_int_equal(2, f->norders);
	assert_true(f->orders[1].stop);
	pass(f, LE_RUN_MS + 80, ENTRY_1);
	assert_int_equal(0, f->nends);
	confirm_stop(f, "a");
	pass(f, 10, ENTRY_1);
	answer_empty_poll(f);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_LOST, f->ends[0].state);
}

/* Guards against two runs of a task because a new process of the endpoint lists
 * the stop of a run that it never had. */
static void
test_stop_listed_by_new_process(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	ru_entry_gone(f->runner, ENTRY_1);
	confirm_stop(f, "a");
	f->incarnation = 2;
	report_run_end(f, "a", 1, RU_STOPPED);
	pass(f, 10, 0);
	answer_empty_poll(f);
	assert_int_equal(0, f->nends);
	pass(f, LE_RUN_MS + 80, 0);
	assert_int_equal(1, f->nends);
}

/* Guards against two runs of a task whose endpoint has deregistered and goes on
 * to run it, and against starting tasks there. */
static void
test_runs_of_deregistered_endpoint(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	grant(f, ENTRY_1, "b");
	answer_start(f, "a", RU_STARTED);
	answer_start(f, "b", RU_STARTED);
	ru_endpoint_gone(f->runner);
	assert_int_equal(0, f->nends);
	assert_false(ru_load(f->runner).reported.accepting);
	report_run_end(f, "a", 1, RU_DONE);
	assert_int_equal(PD_END_DONE, f->ends[0].state);
	assert_int_equal(1, f->nends);
	ru_connection_refused(f->runner);
	pass(f, LE_RUN_MS, ENTRY_1);
	assert_int_equal(1, f->nends);
	pass(f, 80, ENTRY_1);
	assert_int_equal(2, f->nends);
	assert_int_equal(PD_END_LOST, f->ends[1].state);
}

int
main(void)
{
#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    T(test_list_older_than_start),
	    T(test_run_never_listed),
	    T(test_partial_list),
	    T(test_lost_contact_stops_runs),
	    T(test_lease_renewed_after_lost_contact),
	    T(test_lease_renewed_beside_unconfirmed_stop),
	    T(test_lease_beyond_lost_contact_after_pause),
	    T(test_entry_gone_stops_runs),
	    T(test_unanswered_start),
	    T(test_unanswered_start_runs),
	    T(test_silent_endpoint),
	    T(test_refusing_endpoint),
	    T(test_runs_of_predecessor),
	    T(test_runs_lost_before_lease_after_restart),
	    T(test_idle_endpoint_restarts),
	    T(test_runs_of_predecessor_after_restart),
	    T(test_start_at_new_process),
	    T(test_stop_listed_by_new_process),
	    T(test_runs_of_deregistered_endpoint),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
