#include "runner_fixture.h"

/* Tests which tasks the runner of an agent starts, and in which order. */

/* Guards against starts beyond the capacity of the endpoint. */
static void
test_capacity(void **state)
{
	static const char *const ids[] = {"a", "b", "c", "d", "e"};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		grant(f, ENTRY_1, ids[i]);
	assert_int_equal(4, f->norders);
	assert_int_equal(TASK_CPU, ru_load(f->runner).reported.cpu_queued[0]);
	answer_start(f, "a", RU_STARTED);
	report_run_end(f, "a", 1, RU_DONE);
	assert_int_equal(5, f->norders);
	assert_string_equal("e", f->orders[4].id);
}

/* Guards against starting a late task before one that can still be in time,
 * after a burst has filled the queue. */
static void
test_urgent_first(void **state)
{
	static const char *const first[] = {"1", "2", "3", "4"};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(first); i++)
		grant(f, ENTRY_1, first[i]);
	grant_task(f, ENTRY_1, "late", 1, -50, 0);
	grant_task(f, ENTRY_1, "easy", 1, 100, 0);
	grant_task(f, ENTRY_1, "urgent", 1, 40, 0);
	for (i = 0; i < 3; i++) {
		answer_start(f, first[i], RU_STARTED);
		report_run_end(f, first[i], 1, RU_DONE);
	}
	assert_string_equal("urgent", f->orders[4].id);
	assert_string_equal("easy", f->orders[5].id);
	assert_string_equal("late", f->orders[6].id);
}

/* Guards against starting a less urgent task first because it arrived a little
 * earlier, and against starving it while more urgent tasks keep arriving. */
static void
test_priority_first(void **state)
{
	static const char *const first[] = {"1", "2", "3", "4"};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(first); i++)
		grant(f, ENTRY_1, first[i]);
	f->priority = 2;
	grant_task(f, ENTRY_1, "low", 1, 100, 0);
	grant_task(f, ENTRY_1, "low and old", 1, 40, 0);
	f->priority = 0;
	grant_task(f, ENTRY_1, "high", 1, 110, 0);
	assert_int_equal(TASK_CPU, ru_load(f->runner).reported.cpu_queued[0]);
	assert_int_equal(
	    2 * TASK_CPU, ru_load(f->runner).reported.cpu_queued[2]);
	for (i = 0; i < 3; i++) {
		answer_start(f, first[i], RU_STARTED);
		report_run_end(f, first[i], 1, RU_DONE);
	}
	assert_string_equal("low and old", f->orders[4].id);
	assert_string_equal("high", f->orders[5].id);
	assert_string_equal("low", f->orders[6].id);
}

/* Guards against queueing a task behind others that its entry did not know of,
 * as several entries choose the same worker, and against keeping a queued task
 * until it is too late: at a higher load 137 of 199 jobs that were given up
 * lacked only their last task, which waited at its worker behind tasks that
 * could still be in time. */
static void
test_return_queued(void **state)
{
	static const char *const first[] = {"1", "2", "3", "4"};
	struct pd_start s = {
	    .key = {.sub = {.id = (char *)(uintptr_t) "x", .created_ms = 1},
		.attempt = 1},
	    .cpu = TASK_CPU,
	    .mem_mb = 1,
	    .queue_max = TASK_CPU,
	    .endpoint = DESCRIPTION,
	    .body = {.body_len = 1, .body_val = (char *)(uintptr_t) "x"},
	};
	struct fixture *f = *state;
	size_t i;

	s.expires_ms = ck_mono_ms(f->clock) + 1500;
	s.start_by_ms = ck_mono_ms(f->clock) + 100;
	for (i = 0; i < G_N_ELEMENTS(first); i++)
		grant(f, ENTRY_1, first[i]);
	ru_grant(f->runner, ENTRY_1, &s);
	assert_int_equal(0, f->nends);
	s.key.task = 1;
	ru_grant(f->runner, ENTRY_1, &s);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_RETURNED, f->ends[0].state);
	pass(f, 100, ENTRY_1);
	assert_int_equal(1, f->nends);
	pass(f, 10, ENTRY_1);
	assert_int_equal(2, f->nends);
	assert_int_equal(PD_END_RETURNED, f->ends[1].state);
	assert_int_equal(0, f->ends[1].key.task);
	/* A grant without a queue limit stays queued. */
	s.queue_max = UINT32_MAX;
	ru_grant(f->runner, ENTRY_1, &s);
	pass(f, 100, ENTRY_1);
	assert_int_equal(2, f->nends);
}

/* Guards against starving a late task while others keep arriving. */
static void
test_late_task_not_starved(void **state)
{
	static const char *const first[] = {"1", "2", "3", "4"};
	static const struct ru_run_info running[] = {{.id = "2", .run = 1},
	    {.id = "3", .run = 1}, {.id = "4", .run = 1}};
	struct ru_run_info ended = {.id = "1", .run = 1, .outcome = RU_DONE};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(first); i++) {
		grant(f, ENTRY_1, first[i]);
		answer_start(f, first[i], RU_STARTED);
	}
	grant_task(f, ENTRY_1, "late", 1, -150, 0);
	pass(f, 60, ENTRY_1);
	grant_task(f, ENTRY_1, "urgent", 1, 10, 0);
	answer_poll(
	    f, ck_mono_ms(f->clock), running, G_N_ELEMENTS(running), &ended, 1);
	assert_string_equal("late", f->orders[4].id);
}

/* Guards against two runs of a task at one endpoint: the client has submitted
 * the job to a second entry while the run of the first one is being stopped. */
static void
test_same_task_of_two_entries(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	ru_entry_gone(f->runner, ENTRY_1);
	grant(f, ENTRY_2, "a");
	assert_int_equal(2, f->norders);
	confirm_stop(f, "a");
	report_run_end(f, "a", 1, RU_STOPPED);
	assert_int_equal(3, f->norders);
	assert_false(f->orders[2].stop);
}

/* Guards against failing a start whose run number was used before, for an entry
 * that does not know of the earlier run. */
static void
test_used_run_number(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_OLD_RUN);
	assert_int_equal(2, f->norders);
	assert_int_equal(2, f->orders[1].run);
}

/* Guards against ordering a start again and again before the clock of the
 * endpoint has been read. */
static void
test_late_start_repeated_at_once(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_TOO_LATE);
	assert_int_equal(1, f->norders);
	pass(f, 30, ENTRY_1);
	assert_int_equal(2, f->norders);
	assert_false(f->orders[1].stop);
}

/* Guards against a shutdown of the agent that stops runs or keeps queued
 * tasks. */
static void
test_drain(void **state)
{
	static const char *const ids[] = {"a", "b", "c", "d", "e"};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		grant(f, ENTRY_1, ids[i]);
	ru_drain(f->runner);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_RETURNED, f->ends[0].state);
	assert_string_equal("e", f->end_ids[0]);
	assert_int_equal(4, ru_load(f->runner).active);
	grant(f, ENTRY_1, "f");
	assert_int_equal(2, f->nends);
	assert_int_equal(PD_END_RETURNED, f->ends[1].state);
	assert_int_not_equal(0, ru_renew_lease(f->runner));
}

/* Guards against starting tasks at an endpoint that is leaving. */
static void
test_endpoint_leaves(void **state)
{
	static const char *const ids[] = {"a", "b", "c", "d", "e"};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		grant(f, ENTRY_1, ids[i]);
	describe_endpoint(f, 1, DESCRIPTION, false);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_RETURNED, f->ends[0].state);
	grant(f, ENTRY_1, "f");
	assert_int_equal(4, f->norders);
}

/* Guards against the start of a task whose entry has taken it back, also when a
 * start of it was under way and is rejected, and against the end of a run. */
static void
test_taken_back(void **state)
{
	static const char *const ids[] = {"a", "b", "c", "d", "e"};
	struct fixture *f = *state;
	struct pd_key k = {
	    .sub = {.id = (char *)(uintptr_t) "x", .created_ms = 1}};
	struct ru_run run;
	unsigned i;

	/* The number of the attempt tells the grants apart. */
	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		grant_task(f, ENTRY_1, ids[i], i + 1, 100, 0);
	assert_int_equal(4, f->norders);
	run = run_of("a", 1);
	ru_start_answer(f->runner, &run, RU_STARTED);
	for (k.attempt = 1; k.attempt <= G_N_ELEMENTS(ids); k.attempt++)
		ru_take_back(f->runner, ENTRY_1, &k);
	assert_int_equal(1, f->nends);
	assert_string_equal("e", f->end_ids[0]);
	assert_int_equal(PD_END_RETURNED, f->ends[0].state);
	run = run_of("b", 2);
	ru_start_answer(f->runner, &run, RU_NO_ROOM);
	assert_int_equal(2, f->nends);
	assert_string_equal("b", f->end_ids[1]);
	assert_int_equal(PD_END_RETURNED, f->ends[1].state);
	pass(f, 60, ENTRY_1);
	assert_int_equal(4, f->norders);
	assert_int_equal(2, f->nends);
}

/* Guards against starts in a zone that is out, of grants by an entry that has
 * not heard of it: before and after, and after a start that was rejected. */
static void
test_zone_out(void **state)
{
	static const char *const ids[] = {"a", "b", "c", "d", "e"};
	struct fixture *f = *state;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		grant(f, ENTRY_1, ids[i]);
	assert_int_equal(4, f->norders);
	answer_start(f, "a", RU_STARTED);
	/* Until then, entries that have no other zone use it. */
	ru_set_zone(f->runner, PD_ZONE_LEAVING);
	assert_int_equal(PD_ZONE_LEAVING, ru_load(f->runner).reported.zone);
	assert_int_equal(0, f->nends);
	ru_set_zone(f->runner, PD_ZONE_OUT);
	assert_int_equal(PD_ZONE_OUT, ru_load(f->runner).reported.zone);
	assert_int_equal(1, f->nends);
	assert_string_equal("e", f->end_ids[0]);
	assert_int_equal(PD_END_RETURNED, f->ends[0].state);
	answer_start(f, "b", RU_NO_ROOM);
	assert_int_equal(2, f->nends);
	assert_string_equal("b", f->end_ids[1]);
	assert_int_equal(PD_END_RETURNED, f->ends[1].state);
	grant(f, ENTRY_2, "f");
	assert_int_equal(3, f->nends);
	assert_string_equal("f", f->end_ids[2]);
	assert_int_equal(PD_END_RETURNED, f->ends[2].state);
	pass(f, 60, ENTRY_1);
	/* Runs go on, and tasks start again once the zone is back. */
	assert_int_equal(4, f->norders);
	assert_int_equal(3, f->nends);
	ru_set_zone(f->runner, PD_ZONE_IN);
	grant(f, ENTRY_1, "g");
	assert_int_equal(5, f->norders);
}

/* Guards against runs that go on after their expiry or beyond their run time
 * limit. */
static void
test_expiry_and_limit(void **state)
{
	struct ru_run_info a = {.id = "a", .run = 1};
	struct ru_run_info b = {.id = "b", .run = 1, .outcome = RU_STOPPED};
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	grant_task(f, ENTRY_1, "b", 1, 100, 300);
	answer_start(f, "a", RU_STARTED);
	answer_start(f, "b", RU_STARTED);
	pass(f, 300, ENTRY_1);
	assert_int_equal(2, f->norders);
	pass(f, 10, ENTRY_1);
	assert_int_equal(3, f->norders);
	assert_string_equal("b", f->orders[2].id);
	confirm_stop(f, "b");
	answer_poll(f, ck_mono_ms(f->clock), &a, 1, &b, 1);
	assert_int_equal(PD_END_STOPPED, f->ends[0].state);
	pass(f, 1200, ENTRY_1);
	assert_string_equal("a", f->orders[f->norders - 1].id);
	assert_true(f->orders[f->norders - 1].stop);
}

static void
run_task(
    struct fixture *f, uint64_t entry, const char *id, enum ru_outcome outcome)
{
	grant(f, entry, id);
	answer_start(f, id, RU_STARTED);
	pass(f, 2 * TASK_SIZE_MS, entry);
	report_run_end(f, id, 1, outcome);
}

/* Guards against many entries that each learn the speed of a worker from the
 * few tasks that they grant there. */
static void
test_learns_from_all_entries(void **state)
{
	struct fixture *f = *state;
	struct pd_speed speed;

	assert_int_equal(0, ru_load(f->runner).reported.speed.samples);
	run_task(f, ENTRY_1, "a", RU_DONE);
	ru_entry_contact(f->runner, ENTRY_2, ck_mono_ms(f->clock));
	run_task(f, ENTRY_2, "b", RU_DONE);
	speed = ru_load(f->runner).reported.speed;
	assert_int_equal(2, speed.samples);
	assert_int_equal(2000, speed.ratio_permille);
	assert_int_equal(2 * TASK_SIZE_MS, speed.mean_ms);
}

/* Guards against a hanging endpoint that is taken for one with long tasks, and
 * against long tasks of one job that are taken for a hang. */
static void
test_hanging_endpoint(void **state)
{
	static const char *const ids[] = {"w", "x", "y", "z"};
	struct fixture *f = *state;
	char id[8];
	size_t i;

	for (i = 0; i < 20; i++) {
		g_snprintf(id, sizeof(id), "a%zu", i);
		run_task(f, ENTRY_1, id, RU_DONE);
		f->norders = 0;
	}
	/* Twenty runs took twice as long as expected. */
	assert_in_range(
	    ru_load(f->runner).reported.speed.log_mean_permille, 650, 750);
	grant(f, ENTRY_1, "long");
	answer_start(f, "long", RU_STARTED);
	pass(f, 1400, ENTRY_1);
	assert_false(ru_load(f->runner).reported.speed.hanging);
	report_run_end(f, "long", 1, RU_DONE);
	for (i = 0; i < G_N_ELEMENTS(ids); i++) {
		grant(f, ENTRY_1, ids[i]);
		answer_start(f, ids[i], RU_STARTED);
	}
	pass(f, 190, ENTRY_1);
	assert_false(ru_load(f->runner).reported.speed.hanging);
	pass(f, 1000, ENTRY_1);
	assert_true(ru_load(f->runner).reported.speed.hanging);
	report_run_end(f, "w", 1, RU_DONE);
	assert_false(ru_load(f->runner).reported.speed.hanging);
}

/* Guards against a worker that fails all tasks and must fail some of each entry
 * before all of them avoid it, and against probes from each entry. */
static void
test_failing_endpoint(void **state)
{
	struct fixture *f = *state;

	run_task(f, ENTRY_1, "a", RU_FAILED);
	run_task(f, ENTRY_1, "a", RU_FAILED);
	run_task(f, ENTRY_1, "a", RU_FAILED);
	assert_false(ru_load(f->runner).reported.speed.ejected);
	run_task(f, ENTRY_1, "b", RU_FAILED);
	ru_entry_contact(f->runner, ENTRY_2, ck_mono_ms(f->clock));
	run_task(f, ENTRY_2, "c", RU_FAILED);
	assert_true(ru_load(f->runner).reported.speed.ejected);
	assert_int_equal(5, f->nends);
	grant(f, ENTRY_1, "d");
	assert_int_equal(6, f->nends);
	assert_int_equal(PD_END_RETURNED, f->ends[5].state);
	pass(f, WH_PROBE_INTERVAL_MS, ENTRY_1);
	grant(f, ENTRY_1, "e");
	grant(f, ENTRY_1, "f");
	assert_int_equal(7, f->nends);
	assert_string_equal("f", f->end_ids[6]);
	answer_start(f, "e", RU_STARTED);
	report_run_end(f, "e", 1, RU_DONE);
	assert_false(ru_load(f->runner).reported.speed.ejected);
}

int
main(void)
{
#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    T(test_capacity),
	    T(test_urgent_first),
	    T(test_priority_first),
	    T(test_return_queued),
	    T(test_late_task_not_starved),
	    T(test_same_task_of_two_entries),
	    T(test_used_run_number),
	    T(test_late_start_repeated_at_once),
	    T(test_drain),
	    T(test_endpoint_leaves),
	    T(test_taken_back),
	    T(test_zone_out),
	    T(test_expiry_and_limit),
	    T(test_learns_from_all_entries),
	    T(test_hanging_endpoint),
	    T(test_failing_endpoint),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
