#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>
#include <glib.h>

#include "harness_fleet.h"

/* Tests real dispatchers and agents with endpoints that leave, are replaced or
 * are misreported while their runs go on. */

#define ENTRIES 2
#define WORKERS 3
/* Of 6 cores each, so that two endpoints of 64 cores do not have room for all.
 */
#define TASKS 27
#define RUN_MS 400
/* Time within which tasks of a new job run at each endpoint. */
#define STARTED_MS 300
/* Time after which no run of a job is left: its deadline and the lease. */
#define ENDED_MS 2200
/* Time after which an endpoint gets tasks again: two of its heartbeats. */
#define RECOVERY_MS 3000

static int
set_up(void **state)
{
	return (hf_test_set_up(state, ENTRIES, WORKERS));
}

struct job {
	struct hf *fleet;
	const char *id;
};

static void *
submit_job(void *arg)
{
	const struct job *j = arg;
	char spec[64];

	snprintf(spec, sizeof(spec), "run_ms=%d cpu=6000", RUN_MS);
	hf_submit(j->fleet, 0, j->id, spec, TASKS, RUN_MS, NULL);
	return (NULL);
}

static bool
all_have_runs(void *arg)
{
	struct hf *f = arg;
	unsigned i;

	for (i = 0; i < WORKERS; i++)
		if (hf_running(f, i) == 0)
			return (false);
	return (true);
}

/* Calls @disturb while tasks of a job run at each endpoint, and checks that no
 * task ran twice at the same time. */
static void
check_runs_beside(struct hf *f, const char *id, void (*disturb)(struct hf *f))
{
	struct job job = {f, id};
	GThread *client = g_thread_new("client", submit_job, &job);
	struct hf_runs runs;

	assert_true(hn_wait_until(all_have_runs, f, STARTED_MS));
	disturb(f);
	hn_sleep_ms(ENDED_MS);
	g_thread_join(client);
	runs = hf_check_runs(f, NULL, 0);
	print_message("%u starts, %u lapsed\n", runs.starts, runs.expired);
	assert_int_equal(0, runs.concurrent);
}

static void
do_nothing(struct hf *f)
{
	(void)f;
}

/* Checks that all endpoints get tasks. */
static void
check_served(struct hf *f)
{
	hn_sleep_ms(RECOVERY_MS);
	check_runs_beside(f, "00000000000000f2", do_nothing);
}

static void
leave(struct hf *f)
{
	hn_control(hf_minion_port(f, 0), "leave=1");
}

/* Guards against a second run of tasks whose endpoint has deregistered and
 * closed its port, and finishes its runs. */
static void
test_runs_of_deregistered_endpoint_go_on(void **state)
{
	struct hf_test *t = *state;

	check_runs_beside(t->fleet, "00000000000000f1", leave);
	hf_start_minion(t->fleet, 0);
	check_served(t->fleet);
}

static void
replace(struct hf *f)
{
	hf_replace_minion(f, 0, false);
}

/* Guards against a second run of tasks whose endpoint was replaced by another
 * process while it finishes its runs. */
static void
test_runs_of_replaced_endpoint_go_on(void **state)
{
	struct hf_test *t = *state;

	check_runs_beside(t->fleet, "00000000000000f1", replace);
	check_served(t->fleet);
}

static void
omit_lists(struct hf *f)
{
	hn_control(hf_minion_port(f, 0), "no_lists=1");
}

/* Guards against a second run of tasks because an answer to a poll had no list
 * of the runs. */
static void
test_answer_without_list_of_runs(void **state)
{
	struct hf_test *t = *state;

	check_runs_beside(t->fleet, "00000000000000f1", omit_lists);
	check_served(t->fleet);
}

static void
deregister_late(struct hf *f)
{
	hn_http("DELETE", hf_heartbeats_port(f, 0), "/v1/instances/m0", NULL,
	    NULL, NULL);
}

/* Guards against a second run of tasks because a deregistration came that was
 * not sent by the process that runs them. */
static void
test_late_deregistration(void **state)
{
	struct hf_test *t = *state;

	check_runs_beside(t->fleet, "00000000000000f1", deregister_late);
	check_served(t->fleet);
}

static void
send_foreign_heartbeat(struct hf *f)
{
	char body[512];

	snprintf(body, sizeof(body),
	    "{\"service\":\"desk\",\"address\":\"127.0.0.1:1\","
	    "\"zone\":\"z0\",\"version\":\"v1\",\"slots\":8,"
	    "\"state\":\"ready\",\"cold_remaining_ms\":0,"
	    "\"capacity\":{\"cpu\":64000,\"mem_mb\":65536,\"gpu\":0},"
	    "\"labels\":[],\"clock_ms\":1,\"seq\":1,\"born\":%llu}",
	    (unsigned long long)hn_wall_ms());
	assert_int_equal(200,
	    hn_http("PUT", hf_heartbeats_port(f, 0), "/v1/instances/other",
		body, NULL, NULL));
}

/* Guards against a second run of tasks, and an endpoint that gets no tasks any
 * more, because of a heartbeat that another process has sent. */
static void
test_heartbeat_of_another_process(void **state)
{
	struct hf_test *t = *state;

	check_runs_beside(t->fleet, "00000000000000f1", send_foreign_heartbeat);
	check_served(t->fleet);
}

/* Time for which an endpoint is down before one of another kind starts at its
 * address. */
#define DOWN_MS 3400
/* Jobs a second, many enough that the entries always place one. */
#define PER_S 33

/* Guards against starts of tasks at an endpoint without the label that they
 * require, in the first 200 ms after it has taken the place of another one. */
static void
test_starts_without_required_label(void **state)
{
	struct hf_test *t = *state;
	struct hf *f = t->fleet;
	uint64_t changed_ms;
	unsigned n;

	hf_require_label(f, "a");
	hf_start_load(f, PER_S);
	hn_sleep_ms(1000);
	hn_kill(hf_minion(f, 0));
	hn_sleep_ms(DOWN_MS);
	changed_ms = hn_wall_ms();
	hf_set_label(f, 0, "b");
	hf_start_minion(f, 0);
	hn_sleep_ms(1500);
	(void)hf_stop_load(f, &n);
	assert_int_equal(0, hf_starts_at(f, 0, changed_ms));
	assert_true(hf_starts_at(f, 1, changed_ms) > 0);
	/* It is used for tasks that do not require the label. */
	hf_require_label(f, "b");
	changed_ms = hn_wall_ms();
	assert_int_equal(200,
	    hf_submit(
		f, 0, "00000000000000f3", "run_ms=10 cpu=6000", 2, 10, NULL));
	assert_int_equal(2, hf_starts_at(f, 0, changed_ms - 1));
}

#define TEST(name)                                                             \
	cmocka_unit_test_setup_teardown(name, set_up, hf_test_tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    TEST(test_runs_of_deregistered_endpoint_go_on),
	    TEST(test_runs_of_replaced_endpoint_go_on),
	    TEST(test_answer_without_list_of_runs),
	    TEST(test_late_deregistration),
	    TEST(test_heartbeat_of_another_process),
	    TEST(test_starts_without_required_label),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
