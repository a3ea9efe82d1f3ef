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
 * test has its own cell; pc_load_check() judges from the logs of the endpoints
 * and of the load client.
 */

#define LOAD                                                                   \
	"--rate 15 --tasks 1-12 --run-ms 50-300 --duplicates 0.1 "             \
	"--deadline-ms 30000 "
#define GRACEFUL_LIMIT_MS 40000

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
set_up_foreign(void **state)
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

/* At least this share of the submissions must be complete: a system that
 * answers "unknown" to everything breaks no invariant. */
static void
assert_share(const struct pc_result *r, unsigned percent)
{
	assert_true(r->complete * 100 >= r->submissions * (long)percent);
}

static void
assert_all_complete(const struct pc_result *r)
{
	assert_int_equal(r->complete, r->submissions);
}

/* A task that starts again after a takeover, or a job that is lost with its
 * owner. */
static void
test_entry_killed(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD "--duration 14");
	struct pc_result r;

	hn_sleep_ms(3000);
	hn_kill(c->entries[1].proc);
	r = pc_load_check(c, &load);
	assert_share(&r, 95);
}

/* An old owner that starts tasks after its partitions moved. */
static void
test_entry_frozen(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD "--duration 16");
	struct pc_result r;

	hn_sleep_ms(3000);
	hn_signal(c->entries[0].proc, SIGSTOP);
	hn_sleep_ms(6000);
	hn_signal(c->entries[0].proc, SIGCONT);
	r = pc_load_check(c, &load);
	assert_share(&r, 95);
	pc_entry_ready(c, 0);
}

/* Tasks of a dead agent that run again, since its records are lost. */
static void
test_agent_killed(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD "--duration 12");
	struct pc_result r;

	hn_sleep_ms(3000);
	hn_kill(c->agents[2].proc);
	hn_sleep_ms(1000);
	pc_agent_start(c, 2);
	hn_sleep_ms(3000);
	hn_kill(c->agents[0].proc);
	pc_agent_start(c, 0);
	r = pc_load_check(c, &load);
	assert_share(&r, 85);
}

/* Work that stops with the platform. */
static void
test_platform_down(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD "--duration 14");
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
	/* The change of the configuration must be refused, not half done. */
	assert_int_equal(status, 1);
}

/* A platform that answers late must not delay the callers. */
static void
test_platform_slow(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD "--duration 10");
	struct pc_result r;

	hn_sleep_ms(2000);
	hn_control(c->platform, "mode=slow&delay_ms=3000");
	hn_sleep_ms(6000);
	hn_control(c->platform, "mode=up");
	r = pc_load_check(c, &load);
	assert_all_complete(&r);
}

/* A change that is made twice, or reported as failed, when the platform's
 * answer is lost after the write. */
static void
test_platform_answer_lost(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD "--duration 8");
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

/* A request in flight that is interrupted by a planned stop of its entry. */
static void
test_entry_stopped_gracefully(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD "--duration 10");
	struct pc_result r;

	hn_sleep_ms(3000);
	hn_signal(c->entries[2].proc, SIGTERM);
	assert_int_equal(hn_wait(c->entries[2].proc, GRACEFUL_LIMIT_MS), 0);
	r = pc_load_check(c, &load);
	assert_all_complete(&r);
}

/* A task that is interrupted by a planned stop of its agent. */
static void
test_agent_stopped_gracefully(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD "--duration 10");
	struct pc_result r;

	hn_sleep_ms(3000);
	hn_signal(c->agents[0].proc, SIGTERM);
	assert_int_equal(hn_wait(c->agents[0].proc, GRACEFUL_LIMIT_MS), 0);
	pc_agent_start(c, 0);
	r = pc_load_check(c, &load);
	assert_all_complete(&r);
}

/* Requests that are lost between two stops in a row. */
static void
test_rolling_restart(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD "--duration 25");
	struct pc_result r;

	for (unsigned i = 0; i < c->options.entries; i++) {
		hn_sleep_ms(1500);
		hn_signal(c->entries[i].proc, SIGTERM);
		assert_int_equal(
		    hn_wait(c->entries[i].proc, GRACEFUL_LIMIT_MS), 0);
		pc_entry_start(c, i);
		pc_entry_ready(c, i);
	}
	r = pc_load_check(c, &load);
	assert_all_complete(&r);
}

/* Grants and reports that vanish in a connection that is open and silent. */
static void
test_silent_connection(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD "--duration 12");
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

/* Submissions that wait for an owner that no agent reaches: it hears the other
 * entries and the platform, so it is not missing. */
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

/* A partial answer of a job that loses half of its endpoints midway. */
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
	print_message("answer %s\n", hn_text(answer, "status"));
	results = json_object_get(answer, "results");
	if (strcmp(hn_text(answer, "status"), "complete") == 0)
		assert_int_equal(json_array_size(results), 540);
	else
		assert_null(results);
	json_decref(answer);
	/* The endpoints that are left take new work. */
	assert_int_equal(pc_submit(c, 2, next, 20000, &answer), 200);
	assert_string_equal(hn_text(answer, "status"), "complete");
	json_decref(answer);
	starts = pc_read_starts(c);
	assert_int_equal(hl_doubles(starts), 0);
	assert_true(hl_tasks(starts, "large") > 0);
	hl_free(starts);
	free(large);
	free(next);
}

/* An agent of another cell that gets grants of this one: each cell has its own
 * owners, so that the same id could run twice. */
static void
test_foreign_agent(void **state)
{
	struct pc *c = *state;
	struct hl_starts *starts;
	struct pc_load load;
	struct pc_result r;

	/* Start records are incomplete without that agent, so ids from before
	 * the last entry joined, plus the clock error, are unknown. */
	hn_sleep_ms(4000);
	load = pc_load_start(c, LOAD "--duration 5");
	r = pc_load_check(c, &load);
	starts = pc_read_starts(c);
	assert_all_complete(&r);
	assert_int_equal(
	    hl_between(starts, c->agents[1].name, 0, UINT64_MAX), 0);
	hl_free(starts);
}

/* Two faults at once: an entry dies while the platform is down. */
static void
test_entry_killed_platform_down(void **state)
{
	struct pc *c = *state;
	struct pc_load load =
	    pc_load_start(c, LOAD "--duration 16 --grace-ms 20000");
	struct pc_result r;

	hn_sleep_ms(3000);
	hn_control(c->platform, "mode=down");
	hn_sleep_ms(500);
	hn_kill(c->entries[1].proc);
	hn_sleep_ms(6000);
	hn_control(c->platform, "mode=up");
	r = pc_load_check(c, &load);
	assert_share(&r, 90);
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
		test_foreign_agent, set_up_foreign, tear_down),
	    TEST(test_entry_killed_platform_down),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
