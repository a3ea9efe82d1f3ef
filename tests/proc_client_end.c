#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "harness_fleet.h"

/* Tests real dispatchers and agents with clients that end their connections
 * while their jobs run, and submit them to another entry; the first entry, or
 * an agent with runs, is lost in between. */

#define ENTRIES 2
#define WORKERS 3
/* The longest with which an entry does not ask the others about a new job. */
#define TIMEOUT_MS 2600
#define RUN_MS 2300
#define SPEC "run_ms=2300 cpu=6000"
#define JOB "00000000000000d1"
/* Three at each endpoint. */
#define TASKS 9
/* Another job, which moves the tasks to other endpoints the second time: the
 * agent of an endpoint that has a task starts no second run of it. */
#define OTHER_JOB "00000000000000d2"
#define OTHER_SPEC "run_ms=300 cpu=6000"
#define OTHER_RUN_MS 300
#define STARTED_MS 1000
/* A client submits a job again so long after its connection broke. */
#define RESUBMIT_MS 1300
/* From the end of the connection to the loss: agents that have lost their entry
 * then stop its runs after the client has submitted the job again. */
#define LOST_MS 950
/* A configuration is in force so long after it is written. */
#define CONFIG_MS 2000
/* The ends of all runs are in the log after this time. */
#define LOGGED_MS 1000
/* Runs are stopped within this time after the end of the connection. */
#define STOPPED_MS 400

static int
set_up(void **state)
{
	struct hf_test *t = g_new0(struct hf_test, 1);

	t->hn = hn_new();
	t->fleet = hf_new(t->hn, ENTRIES, WORKERS);
	hf_set_times(t->fleet, 2, TIMEOUT_MS, TIMEOUT_MS);
	hn_sleep_ms(CONFIG_MS);
	*state = t;
	return (0);
}

static unsigned
running(struct hf *f)
{
	unsigned i, n = 0;

	for (i = 0; i < WORKERS; i++)
		n += hf_running(f, i);
	return (n);
}

static bool
all_running(void *arg)
{
	return (running(arg) == TASKS);
}

/* Submits the job to the first entry. Return: the connection, with all tasks at
 * work. */
static int
submit_first(struct hf *f)
{
	int s = hf_send_job(f, 0, JOB, SPEC, TASKS, RUN_MS);

	assert_true(hn_wait_until(all_running, f, STARTED_MS));
	return (s);
}

static void
reset(int s)
{
	static const struct linger discard = {.l_onoff = 1};

	setsockopt(s, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
	close(s);
}

/* Submits the job to the second entry, RESUBMIT_MS after @ended_ms, and waits.
 * No task may run twice at the same time. */
static void
resubmit(struct hf *f, uint64_t ended_ms)
{
	int other;

	hn_sleep_ms((unsigned)(ended_ms + RESUBMIT_MS - hn_mono_ms()));
	other = hf_send_job(f, 1, OTHER_JOB, OTHER_SPEC, 1, OTHER_RUN_MS);
	assert_int_equal(200, hf_submit(f, 1, JOB, SPEC, TASKS, RUN_MS, NULL));
	close(other);
	hn_sleep_ms(LOGGED_MS);
	assert_int_equal(0, hf_check_runs(f, NULL, 0).concurrent);
}

/* Guards against runs that go on for a client whose connection was reset. */
static void
test_reset(void **state)
{
	struct hf_test *t = *state;
	int s = submit_first(t->fleet);

	reset(s);
	hn_sleep_ms(STOPPED_MS);
	assert_int_equal(0, running(t->fleet));
}

/* Resets the connection of a job, sends a signal to a process LOST_MS later,
 * and submits the job again. */
static void
reset_then_signal(struct hf *f, struct hn_proc *p, int sig)
{
	int s = submit_first(f);
	uint64_t ended_ms = hn_mono_ms();

	reset(s);
	hn_sleep_ms(LOST_MS);
	hn_signal(p, sig);
	resubmit(f, ended_ms);
}

/* Guards against a second run beside the first one when the entry is frozen
 * soon after the reset. */
static void
test_reset_then_entry_frozen(void **state)
{
	struct hf_test *t = *state;
	struct hn_proc *entry = hf_entry(t->fleet, 0);

	reset_then_signal(t->fleet, entry, SIGSTOP);
	hn_signal(entry, SIGCONT);
}

/* Guards against the same when the entry is killed. */
static void
test_reset_then_entry_killed(void **state)
{
	struct hf_test *t = *state;

	reset_then_signal(t->fleet, hf_entry(t->fleet, 0), SIGKILL);
}

/* Guards against the same when an agent is killed: its endpoint ends the runs
 * only when their lease is over. */
static void
test_reset_then_agent_killed(void **state)
{
	struct hf_test *t = *state;

	reset_then_signal(t->fleet, hf_agent(t->fleet, 0), SIGKILL);
}

#define TEST(name)                                                             \
	cmocka_unit_test_setup_teardown(name, set_up, hf_test_tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    TEST(test_reset),
	    TEST(test_reset_then_entry_frozen),
	    TEST(test_reset_then_entry_killed),
	    TEST(test_reset_then_agent_killed),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
