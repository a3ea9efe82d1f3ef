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
 * Guards against tasks that start in a zone, or at an endpoint, more than 3 s
 * after it was taken out of service. The time is counted from when the
 * command-line tool has reported the change as accepted.
 */

#define LOAD_OPTIONS                                                           \
	"--rate 40 --tasks 1-10 --run-ms 20-200 --deadline-ms 30000 "          \
	"--duplicates 0.05 "
#define STARTS_END_LIMIT_MS 3000
#define OUT_AZ "morbihan"
/* Tasks must start again within this time after the zone is put back. */
#define RETURN_TIMEOUT_MS 4000

static int
set_up(void **state)
{
	/* The zone that is taken out has the fastest endpoints, so that tasks
	 * always run there. */
	const struct pc_options options = {
	    .agents = 6, .speeds = "1,2,0.5,1,1.5,0.8"};

	*state = pc_new(&options);
	return (0);
}

static int
tear_down(void **state)
{
	pc_free(*state);
	return (0);
}

/* Takes the zone out through an entry; returns the time of the acceptance. */
static uint64_t
take_az_out(struct pc *c, unsigned entry)
{
	uint64_t start = hn_wall_ms();

	assert_int_equal(pc_set_az(c, entry, OUT_AZ, false), 0);
	/* The test proves nothing unless tasks ran in the zone before. */
	assert_true(pc_count_az_starts(c, OUT_AZ, start - 1500, start) > 0);
	return (hn_wall_ms());
}

static void
assert_no_late_starts(struct pc *c, uint64_t accepted_ms)
{
	assert_int_equal(
	    pc_count_az_starts(
		c, OUT_AZ, accepted_ms + STARTS_END_LIMIT_MS + 1, hn_wall_ms()),
	    0);
}

static void
assert_az_returns(struct pc *c)
{
	uint64_t in_ms;

	assert_int_equal(pc_set_az(c, 0, OUT_AZ, true), 0);
	in_ms = hn_wall_ms();
	hn_sleep_ms(RETURN_TIMEOUT_MS);
	assert_true(pc_count_az_starts(c, OUT_AZ, in_ms, hn_wall_ms()) > 0);
}

static void
test_az_out_and_in(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD_OPTIONS "--duration 16");
	struct pc_result r;
	uint64_t accepted;

	hn_sleep_ms(3000);
	accepted = take_az_out(c, 0);
	hn_sleep_ms(6000);
	assert_no_late_starts(c, accepted);
	assert_az_returns(c);
	r = pc_load_check(c, &load);
	assert_int_equal(r.complete, r.submissions);
}

static void
test_endpoint_retired(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD_OPTIONS "--duration 14");
	const char *name = c->agents[1].name;
	const char *retire[] = {"endpoint", "retire", name, NULL};
	const char *restore[] = {"endpoint", "restore", name, NULL};
	struct hl_starts *starts;
	struct pc_result r;
	uint64_t accepted, restored;

	hn_sleep_ms(3000);
	assert_int_equal(pc_cli(c, 1, NULL, retire), 0);
	accepted = hn_wall_ms();
	hn_sleep_ms(5000);
	restored = hn_wall_ms();
	assert_int_equal(pc_cli(c, 2, NULL, restore), 0);
	r = pc_load_check(c, &load);
	starts = pc_read_starts(c);
	assert_true(hl_starts_between(starts, name, 0, accepted) > 0);
	assert_int_equal(hl_starts_between(starts, name,
			     accepted + STARTS_END_LIMIT_MS + 1, restored),
	    0);
	assert_true(hl_starts_between(starts, name, restored, UINT64_MAX) > 0);
	hl_free(starts);
	assert_int_equal(r.complete, r.submissions);
}

/* Guards against starts by an entry that has missed the change and cannot read
 * the log because the platform is down. */
static void
test_az_out_then_platform_down(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD_OPTIONS "--duration 16");
	struct pc_result r;
	uint64_t accepted;

	hn_sleep_ms(3000);
	accepted = take_az_out(c, 2);
	hn_control(c->platform, "mode=down");
	hn_sleep_ms(6000);
	assert_no_late_starts(c, accepted);
	hn_control(c->platform, "mode=up");
	hn_sleep_ms(1000);
	assert_az_returns(c);
	r = pc_load_check(c, &load);
	assert_int_equal(r.complete, r.submissions);
}

/* Guards against starts by an entry that was frozen (SIGSTOP) during the change
 * and resumes with an outdated configuration. */
static void
check_entry_frozen_during_change(struct pc *c, unsigned frozen_ms)
{
	struct pc_load load = pc_load_start(c, LOAD_OPTIONS "--duration 18");
	struct pc_result r;
	uint64_t accepted;

	hn_sleep_ms(3000);
	hn_signal(c->entries[1].proc, SIGSTOP);
	hn_sleep_ms(200);
	accepted = take_az_out(c, 0);
	hn_sleep_ms(frozen_ms);
	hn_signal(c->entries[1].proc, SIGCONT);
	hn_sleep_ms(6000);
	assert_no_late_starts(c, accepted);
	assert_az_returns(c);
	r = pc_load_check(c, &load);
	assert_true(r.complete * 100 >= r.submissions * 95);
}

static void
test_az_out_with_frozen_entry(void **state)
{
	check_entry_frozen_during_change(*state, 1500);
}

static void
test_az_out_with_entry_frozen_longer(void **state)
{
	check_entry_frozen_during_change(*state, 4000);
}

/* Guards against starts by an agent that was frozen (SIGSTOP) during the change
 * and resumes with queued grants and an outdated permit. */
static void
test_az_out_with_frozen_agent(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c, LOAD_OPTIONS "--duration 16");
	struct pc_result r;
	uint64_t accepted;

	hn_sleep_ms(3000);
	hn_signal(c->agents[1].proc, SIGSTOP);
	accepted = take_az_out(c, 0);
	hn_sleep_ms(4000);
	hn_signal(c->agents[1].proc, SIGCONT);
	hn_sleep_ms(3000);
	assert_no_late_starts(c, accepted);
	assert_az_returns(c);
	r = pc_load_check(c, &load);
	assert_true(r.complete * 100 >= r.submissions * 90);
}

int
main(void)
{
#define TEST(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    TEST(test_az_out_and_in),
	    TEST(test_endpoint_retired),
	    TEST(test_az_out_then_platform_down),
	    TEST(test_az_out_with_frozen_entry),
	    TEST(test_az_out_with_entry_frozen_longer),
	    TEST(test_az_out_with_frozen_agent),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
