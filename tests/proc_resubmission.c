#include <linux/filter.h>
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

/* Tests real dispatchers with clients that submit a long job to another entry,
 * while the end of their first connection does not reach the entry that has the
 * job: that connection stays open. */

#define ENTRIES 2
#define WORKERS 3
#define TIMEOUT_MS 15000
#define RUN_MS 5000
#define SPEC "run_ms=5000 cpu=6000"
#define JOB "00000000000000d1"
/* Time within which a task of a new job runs. */
#define STARTED_MS 1000
/* A client submits a job again so long after its connection broke. */
#define RESUBMIT_MS 1300
/* Time from the start of a cut until a client finds its connection broken. */
#define BROKEN_MS 2000
#define CUT_MS 5500
/* An entry that is in reach again answers its clients by then. */
#define ANSWER_MS 1500

static int
set_up(void **state)
{
	struct hf_test *t = g_new0(struct hf_test, 1);

	t->hn = hn_new();
	t->fleet = hf_new_relayed(t->hn, ENTRIES, WORKERS);
	hf_set_times(t->fleet, 2, TIMEOUT_MS, TIMEOUT_MS);
	/* A configuration is in force two seconds after it is written. */
	hn_sleep_ms(2000);
	*state = t;
	return (0);
}

static bool
is_running(void *arg)
{
	unsigned i, n = 0;

	for (i = 0; i < WORKERS; i++)
		n += hf_running(arg, i);
	return (n > 0);
}

static int
submit_first(struct hf *f)
{
	int s = hf_send_job(f, 0, JOB, SPEC, 1, RUN_MS);

	assert_true(hn_wait_until(is_running, f, STARTED_MS));
	hn_sleep_ms(500);
	return (s);
}

static void *
resubmit(void *arg)
{
	return (GINT_TO_POINTER(hf_submit(arg, 1, JOB, SPEC, 1, RUN_MS, NULL)));
}

/* Waits for the answer to the resubmission. The task ran for it, and never
 * twice at the same time. */
static void
check_runs(struct hf *f, GThread *client)
{
	struct hf_runs runs;

	assert_int_equal(200, GPOINTER_TO_INT(g_thread_join(client)));
	hn_sleep_ms(1000);
	runs = hf_check_runs(f, NULL, 0);
	assert_int_equal(0, runs.concurrent);
	assert_false(is_running(f));
}

/* Return: status of the answer on a connection, 0 if none comes in time. */
static int
read_status(int s)
{
	struct timeval limit = {ANSWER_MS / 1000, ANSWER_MS % 1000 * 1000};
	char text[64] = "";

	setsockopt(s, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (recv(s, text, sizeof(text) - 1, 0) <= 0)
		return (0);
	return ((int)g_ascii_strtoll(strchr(text, ' '), NULL, 10));
}

/* Guards against a second run that an entry grants when it is no longer cut
 * off, and against a client that goes on waiting at that entry. */
static void
test_entry_cut_off(void **state)
{
	struct hf_test *t = *state;
	struct hf *f = t->fleet;
	GThread *client;
	int s = submit_first(f), status;

	hf_control_relay(f, HF_ENTRY, 0, "mode=silent");
	hn_sleep_ms(BROKEN_MS + RESUBMIT_MS);
	client = g_thread_new("client", resubmit, f);
	hn_sleep_ms(CUT_MS - BROKEN_MS - RESUBMIT_MS);
	hf_control_relay(f, HF_ENTRY, 0, "mode=pass");
	status = read_status(s);
	check_runs(f, client);
	assert_int_equal(504, status);
	close(s);
}

/* Guards against the same after a pause of the entry. */
static void
test_entry_paused(void **state)
{
	struct hf_test *t = *state;
	struct hf *f = t->fleet;
	GThread *client;
	int s = submit_first(f), status;

	hn_signal(hf_entry(f, 0), SIGSTOP);
	hn_sleep_ms(BROKEN_MS + RESUBMIT_MS);
	client = g_thread_new("client", resubmit, f);
	hn_sleep_ms(CUT_MS - BROKEN_MS - RESUBMIT_MS);
	hn_signal(hf_entry(f, 0), SIGCONT);
	status = read_status(s);
	check_runs(f, client);
	assert_int_equal(504, status);
	close(s);
}

/* Guards against a run that goes on beside that of the resubmission when only
 * the client is cut off from its entry, and breaks its connection at once. */
static void
test_client_cut_off(void **state)
{
	struct sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
	struct sock_fprog program = {.len = 1, .filter = &drop};
	struct hf_test *t = *state;
	struct hf *f = t->fleet;
	GThread *client;
	int s = submit_first(f);

	assert_int_equal(0,
	    setsockopt(
		s, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)));
	hn_sleep_ms(RESUBMIT_MS);
	client = g_thread_new("client", resubmit, f);
	check_runs(f, client);
	close(s);
}

/* Guards against the same when the entry cannot know that its client has gone:
 * a proxy keeps the connection and answers probes. */
static void
test_client_of_proxy_lost(void **state)
{
	struct hf_test *t = *state;
	struct hf *f = t->fleet;
	GThread *client;
	int s = submit_first(f), status;

	client = g_thread_new("client", resubmit, f);
	status = read_status(s);
	check_runs(f, client);
	assert_int_equal(504, status);
	close(s);
}

/* Guards against the start of a job that was cancelled while it waited for the
 * end of its run for another entry. */
static void
test_cancelled_while_taken_over(void **state)
{
	struct hf_test *t = *state;
	struct hf *f = t->fleet;
	uint64_t cancelled_ms;
	int first = submit_first(f), second;
	unsigned i;

	second = hf_send_job(f, 1, JOB, SPEC, 1, RUN_MS);
	assert_int_equal(504, read_status(first));
	cancelled_ms = hn_wall_ms();
	assert_int_equal(200,
	    hn_http(
		"DELETE", hf_clients_port(f, 1), "/q/" JOB, NULL, NULL, NULL));
	assert_int_equal(200, read_status(second));
	hn_sleep_ms(2000);
	for (i = 0; i < WORKERS; i++)
		assert_int_equal(0, hf_starts_at(f, i, cancelled_ms));
	assert_false(is_running(f));
	close(first);
	close(second);
}

#define TEST(name)                                                             \
	cmocka_unit_test_setup_teardown(name, set_up, hf_test_tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    TEST(test_entry_cut_off),
	    TEST(test_entry_paused),
	    TEST(test_client_cut_off),
	    TEST(test_client_of_proxy_lost),
	    TEST(test_cancelled_while_taken_over),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
