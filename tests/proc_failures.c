#include <glib.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "harness_cell.h"

/*
 * Faults of processes, of the platform and of connections under load. Each
 * test has its own cell. pc_load_check() checks the logs of the endpoints and
 * of the load client.
 */

#define LOAD_OPTIONS                                                           \
	"--rate 15 --tasks 1-12 --run-ms 50-300 --duplicates 0.1 "             \
	"--deadline-ms 30000 "
#define GRACEFUL_STOP_TIMEOUT_MS 40000

static int
set_up(void **state)
{
	const struct pc_options options = {.agents = 6};

	*state = pc_new(&options);
	return (0);
}

static int
set_up_relay(void **state)
{
	const struct pc_options options = {.agents = 6, .relay = true};

	*state = pc_new(&options);
	return (0);
}

static int
set_up_foreign_agent(void **state)
{
	const struct pc_options options = {
	    .agents = 2, .foreign_agent = true, .speeds = "1,5"};

	*state = pc_new(&options);
	return (0);
}

static int
tear_down(void **state)
{
	pc_free(*state);
	return (0);
}

/* Asserts that at least this share of the submissions completed. Checking the
 * invariants is not enough: answering "unknown" to everything breaks none. */
static void
assert_share_complete(const struct pc_result *r, unsigned percent)
{
	assert_true(r->complete * 100 >= r->submissions * (long)percent);
}

static void
assert_all_complete(const struct pc_result *r)
{
	assert_int_equal(r->complete, r->submissions);
}

/* Guards against tasks that start again after a takeover, and jobs that are
 * lost with their owner. */
static void
test_entry_killed(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD_OPTIONS "--duration 14");
	struct pc_result r;

	hn_sleep_ms(3000);
	hn_kill(c->entries[1].proc);
	r = pc_load_check(c, &load);
	assert_share_complete(&r, 95);
}

/* Guards against a former owner that starts tasks when it resumes after its
 * partitions have moved. */
static void
test_entry_frozen(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD_OPTIONS "--duration 16");
	struct pc_result r;

	hn_sleep_ms(3000);
	hn_signal(c->entries[0].proc, SIGSTOP);
	hn_sleep_ms(6000);
	hn_signal(c->entries[0].proc, SIGCONT);
	r = pc_load_check(c, &load);
	assert_share_complete(&r, 95);
	pc_entry_ready(c, 0);
}

/* Guards against tasks that run again because the start records of a killed
 * agent are lost. */
static void
test_agent_killed(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD_OPTIONS "--duration 12");
	struct pc_result r;

	hn_sleep_ms(3000);
	hn_kill(c->agents[2].proc);
	hn_sleep_ms(1000);
	pc_agent_start(c, 2);
	hn_sleep_ms(3000);
	hn_kill(c->agents[0].proc);
	pc_agent_start(c, 0);
	r = pc_load_check(c, &load);
	assert_share_complete(&r, 85);
}

/* Guards against work that stops while the platform is down. */
static void
test_platform_down(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD_OPTIONS "--duration 14");
	struct pc_result r;
	int status;

	hn_sleep_ms(2000);
	hn_control(c->platform, "mode=down");
	hn_sleep_ms(4000);
	status = pc_set_az(c, 0, "armor", false);
	hn_control(c->platform, "mode=silent");
	hn_sleep_ms(4000);
	hn_control(c->platform, "mode=up");
	r = pc_load_check(c, &load);
	assert_all_complete(&r);
	/* The configuration change must fail, not be made in part. */
	assert_int_equal(status, 1);
}

/* Guards against callers who are delayed by a slow platform. */
static void
test_platform_slow(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD_OPTIONS "--duration 10");
	struct pc_result r;

	hn_sleep_ms(2000);
	hn_control(c->platform, "mode=slow&delay_ms=3000");
	hn_sleep_ms(6000);
	hn_control(c->platform, "mode=up");
	r = pc_load_check(c, &load);
	assert_all_complete(&r);
}

/* Guards against a change that is made twice or reported as failed when the
 * platform wrote it but its answer was lost. */
static void
test_platform_answer_lost(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD_OPTIONS "--duration 8");
	struct pc_result r;

	hn_sleep_ms(1000);
	hn_control(c->platform, "lose_writes=1");
	assert_int_equal(pc_set_az(c, 1, "armor", false), 0);
	hn_sleep_ms(1000);
	hn_control(c->platform, "lose_writes=1");
	assert_int_equal(pc_set_az(c, 2, "armor", true), 0);
	r = pc_load_check(c, &load);
	assert_all_complete(&r);
}

/* Guards against requests that are interrupted by a planned stop of their
 * entry. */
static void
test_entry_stopped_gracefully(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD_OPTIONS "--duration 10");
	struct pc_result r;

	hn_sleep_ms(3000);
	hn_signal(c->entries[2].proc, SIGTERM);
	assert_int_equal(
	    hn_wait(c->entries[2].proc, GRACEFUL_STOP_TIMEOUT_MS), 0);
	r = pc_load_check(c, &load);
	assert_all_complete(&r);
}

/* Guards against tasks that are interrupted by a planned stop of their agent.
 */
static void
test_agent_stopped_gracefully(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD_OPTIONS "--duration 10");
	struct pc_result r;

	hn_sleep_ms(3000);
	hn_signal(c->agents[0].proc, SIGTERM);
	assert_int_equal(
	    hn_wait(c->agents[0].proc, GRACEFUL_STOP_TIMEOUT_MS), 0);
	pc_agent_start(c, 0);
	r = pc_load_check(c, &load);
	assert_all_complete(&r);
}

/* Guards against requests that are lost while the entries are restarted one
 * after the other. */
static void
test_rolling_restart(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD_OPTIONS "--duration 25");
	struct pc_result r;

	for (unsigned i = 0; i < c->options.entries; i++) {
		hn_sleep_ms(1500);
		hn_signal(c->entries[i].proc, SIGTERM);
		assert_int_equal(
		    hn_wait(c->entries[i].proc, GRACEFUL_STOP_TIMEOUT_MS), 0);
		pc_entry_start(c, i);
		pc_entry_ready(c, i);
	}
	r = pc_load_check(c, &load);
	assert_all_complete(&r);
}

/* Guards against grants and reports that are lost in a connection that stays
 * open but transfers nothing. */
static void
test_silent_connection(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD_OPTIONS "--duration 12");
	struct pc_result r;

	hn_sleep_ms(3000);
	hn_control(c->entries[0].relay_control, "mode=silent&existing=1");
	hn_sleep_ms(4000);
	hn_control(c->entries[1].relay_control, "mode=cut");
	hn_sleep_ms(1000);
	hn_control(c->entries[1].relay_control, "mode=pass");
	r = pc_load_check(c, &load);
	assert_all_complete(&r);
}

/* Guards against submissions that wait for an owner that no agent can reach. It
 * still reaches the other entries and the platform, so it is not removed as
 * failed. */
static void
test_entry_isolated(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c,
	    "--rate 15 --tasks 1-12 --run-ms 50-300 --deadline-ms 15000 "
	    "--duration 10");
	struct pc_result r;

	hn_sleep_ms(1000);
	hn_control(c->entries[1].relay_control, "mode=cut");
	hn_sleep_ms(24000);
	hn_control(c->entries[1].relay_control, "mode=pass");
	r = pc_load_check(c, &load);
	assert_all_complete(&r);
}

/* Guards against a partial answer to a job that loses half of its endpoints
 * while it runs. */
static void
test_large_job_loses_agents(void **state)
{
	uint64_t now = hn_wall_ms();
	char *large = pc_submission_json("large", now, 540, 100, 20000);
	char *next = pc_submission_json("next", now, 20, 50, 20000);
	json_t *answer = NULL, *results;
	struct hl_starts *starts;
	struct pc *c = *state;

	assert_int_equal(pc_submit(c, 0, large, 0, NULL), 202);
	hn_sleep_ms(600);
	for (unsigned i = 0; i < c->options.agents; i += 2)
		hn_kill(c->agents[i].proc);
	assert_int_equal(pc_fetch(c, 1, "large", now, 25000, &answer), 200);
	print_message("answer %s\n", hn_json_text(answer, "status"));
	results = json_object_get(answer, "results");
	if (strcmp(hn_json_text(answer, "status"), "complete") == 0)
		assert_int_equal(json_array_size(results), 540);
	else
		assert_null(results);
	json_decref(answer);
	/* The remaining endpoints take new work. */
	assert_int_equal(pc_submit(c, 2, next, 20000, &answer), 200);
	assert_string_equal(hn_json_text(answer, "status"), "complete");
	json_decref(answer);
	starts = pc_read_starts(c);
	assert_int_equal(hl_double_starts(starts), 0);
	assert_true(hl_started_tasks(starts, "large") > 0);
	hl_free(starts);
	free(large);
	free(next);
}

/* Guards against grants to an agent of another cell: each cell has its own
 * owners, so the same id could run twice. */
static void
test_foreign_agent(void **state)
{
	struct pc *c = *state;
	struct hl_starts *starts;
	struct pc_load load;
	struct pc_result r;

	/* Without that agent the start records are incomplete, so ids from
	 * before the last entry joined, plus the clock error, would be answered
	 * "unknown". */
	hn_sleep_ms(4000);
	load = pc_load_start(c, LOAD_OPTIONS "--duration 5");
	r = pc_load_check(c, &load);
	starts = pc_read_starts(c);
	assert_all_complete(&r);
	assert_int_equal(
	    hl_starts_between(starts, c->agents[1].name, 0, UINT64_MAX), 0);
	hl_free(starts);
}

/* Guards against failures of two faults at once: an entry is killed while the
 * platform is down. */
static void
test_entry_killed_platform_down(void **state)
{
	struct pc *c = *state;
	struct pc_load load =
	    pc_load_start(c, LOAD_OPTIONS "--duration 16 --grace-ms 20000");
	struct pc_result r;

	hn_sleep_ms(3000);
	hn_control(c->platform, "mode=down");
	hn_sleep_ms(500);
	hn_kill(c->entries[1].proc);
	hn_sleep_ms(6000);
	hn_control(c->platform, "mode=up");
	r = pc_load_check(c, &load);
	assert_share_complete(&r, 90);
}

int
main(void)
{
#define TEST(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    TEST(test_entry_killed),
	    TEST(test_entry_frozen),
	    TEST(test_agent_killed),
	    TEST(test_platform_down),
	    TEST(test_platform_slow),
	    TEST(test_platform_answer_lost),
	    TEST(test_entry_stopped_gracefully),
	    TEST(test_agent_stopped_gracefully),
	    TEST(test_large_job_loses_agents),
	    TEST(test_rolling_restart),
	    cmocka_unit_test_setup_teardown(
		test_silent_connection, set_up_relay, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_entry_isolated, set_up_relay, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_foreign_agent, set_up_foreign_agent, tear_down),
	    TEST(test_entry_killed_platform_down),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
