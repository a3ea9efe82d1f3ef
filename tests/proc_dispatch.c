#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib.h>

#include "harness_fleet.h"

/* Tests the real dispatchers and agents with fakes of the platform. */

#define ENTRIES 2
#define WORKERS 3
#define PER_S 20
/* Operators expect no task to start in a zone later than 5 s after they took it
 * out. */
#define EVACUATE_MS 5000
/* A configuration has to be in force 2 s after the store accepted it. */
#define CONFIG_MS 2000

static int
set_up(void **state)
{
	return (hf_test_set_up(state, ENTRIES, WORKERS));
}

/* Stops the load and checks that no task ran twice at the same time and no
 * refused job started. Return: percentage of jobs that completed. */
static unsigned
stop_load_and_check(struct hf_test *f)
{
	const struct hf_job *jobs;
	struct hf_runs runs;
	unsigned i, n, done = 0;

	jobs = hf_stop_load(f->fleet, &n);
	for (i = 0; i < n; i++) {
		done += jobs[i].completed;
		if (!jobs[i].completed)
			print_message("%s: status %d after %u tries, %llu ms\n",
			    jobs[i].id, jobs[i].status, jobs[i].tries,
			    (unsigned long long)jobs[i].took_ms);
	}
	runs = hf_check_runs(f->fleet, jobs, n);
	print_message("%u jobs, %u done, %u starts, %u lapsed\n", n, done,
	    runs.starts, runs.expired);
	assert_int_equal(0, runs.concurrent);
	assert_int_equal(0, runs.refused_started);
	return (done * 100 / n);
}

/* Guards against jobs that do not complete although nothing fails, and against
 * a process that ends or loses jobs on SIGHUP, with a valid or invalid file. */
static void
test_no_faults(void **state)
{
	struct hf_test *f = *state;

	hf_start_load(f->fleet, PER_S);
	hn_sleep_ms(1500);
	hn_signal(hf_entry(f->fleet, 0), SIGHUP);
	hn_signal(hf_agent(f->fleet, 0), SIGHUP);
	hn_write(f->hn, "entry1.toml", "name = 5\n");
	hn_write(f->hn, "agent1.toml", "name = 5\n");
	hn_signal(hf_entry(f->fleet, 1), SIGHUP);
	hn_signal(hf_agent(f->fleet, 1), SIGHUP);
	hn_sleep_ms(1500);
	assert_int_equal(100, stop_load_and_check(f));
}

/* Guards against a stop that cuts off requests, and against tasks that run on,
 * or run twice at the same time, after their entry was killed or frozen. */
static void
test_entry_faults(void **state)
{
	struct hf_test *f = *state;

	hf_start_load(f->fleet, PER_S);
	hn_sleep_ms(1000);
	hf_restart_entry(f->fleet, 0, SIGTERM);
	hn_sleep_ms(1000);
	hf_restart_entry(f->fleet, 1, SIGKILL);
	hn_sleep_ms(1000);
	hn_signal(hf_entry(f->fleet, 0), SIGSTOP);
	hn_sleep_ms(2000);
	hn_signal(hf_entry(f->fleet, 0), SIGCONT);
	hn_sleep_ms(1000);
	assert_in_range(stop_load_and_check(f), 90, 100);
}

/* Guards against tasks that run twice at the same time when an agent or an
 * endpoint is killed or an agent is frozen, and against a worker that gets no
 * tasks after its endpoint has restarted. */
static void
test_worker_faults(void **state)
{
	struct hf_test *f = *state;
	json_t *counts = NULL;

	hf_start_load(f->fleet, PER_S);
	hn_sleep_ms(1000);
	hf_restart_agent(f->fleet, 0, SIGKILL);
	hn_sleep_ms(1000);
	hf_restart_agent(f->fleet, 1, SIGTERM);
	hn_sleep_ms(500);
	hf_restart_minion(f->fleet, 2);
	hn_sleep_ms(1000);
	hn_signal(hf_agent(f->fleet, 1), SIGSTOP);
	hn_sleep_ms(2000);
	hn_signal(hf_agent(f->fleet, 1), SIGCONT);
	hn_sleep_ms(2000);
	assert_in_range(stop_load_and_check(f), 90, 100);
	assert_int_equal(200,
	    hn_http("GET", hf_minion_port(f->fleet, 2), "/control", NULL, NULL,
		&counts));
	assert_true(json_integer_value(json_object_get(counts, "starts")) > 0);
	json_decref(counts);
}

/* Guards against a second attempt of a task beside an order that got no answer
 * but runs, and against tasks for an endpoint that hangs or fails them all. */
static void
test_endpoint_faults(void **state)
{
	struct hf_test *f = *state;

	hf_start_load(f->fleet, PER_S);
	hn_sleep_ms(500);
	hn_control(hf_minion_port(f->fleet, 0), "late=20&late_ms=300");
	hn_control(hf_minion_port(f->fleet, 1), "drop=20");
	hn_sleep_ms(1500);
	hn_control(hf_minion_port(f->fleet, 1), "hang=1");
	hn_sleep_ms(1500);
	hn_control(hf_minion_port(f->fleet, 1), "hang=0&fail=1");
	hn_sleep_ms(1500);
	hn_control(hf_minion_port(f->fleet, 1), "fail=0");
	hn_sleep_ms(1000);
	assert_in_range(stop_load_and_check(f), 85, 100);
}

/* Guards against an entry that stops serving, or returns to an older
 * configuration, because the store is silent, fails, or forgets its changes. */
static void
test_store_faults(void **state)
{
	struct hf_test *f = *state;
	json_t *answer = NULL;

	hf_start_load(f->fleet, PER_S);
	hn_control(hf_store_port(f->fleet), "mode=silent");
	hn_sleep_ms(2000);
	hn_control(hf_store_port(f->fleet), "mode=error");
	hn_sleep_ms(1000);
	hn_control(hf_store_port(f->fleet), "mode=up&forget=1");
	hf_evacuate(f->fleet, "z0", true);
	hn_sleep_ms(EVACUATE_MS);
	assert_int_equal(0,
	    hf_starts_in_zone(f->fleet, "z0", hn_wall_ms() - EVACUATE_MS / 2));
	hf_evacuate(f->fleet, "z0", false);
	hn_sleep_ms(CONFIG_MS);
	assert_int_equal(200,
	    hf_submit(f->fleet, 0, "00000000000000ff", "run_ms=10 cpu=1", 20,
		10, &answer));
	json_decref(answer);
	assert_true(
	    hf_starts_in_zone(f->fleet, "z0", hn_wall_ms() - CONFIG_MS) > 0);
	assert_int_equal(100, stop_load_and_check(f));
}

/* Guards against wrong status codes of the interface for clients, such as for a
 * job that must be durable, an unknown queue or an invalid body. */
static void
test_client_interface(void **state)
{
	static const struct {
		const char *verb;
		const char *path;
		const char *body;
		int status;
	} cases[] = {
	    {"POST", "/q/00000000000000f1",
		"{\"spec\":\"run_ms=1 "
		"cpu=1\",\"steps\":[{\"count\":1,\"cpu\":1,"
		"\"mem_mb\":1,\"estimate_ms\":1}]}",
		503},
	    {"POST", "/q/00000000000000f2",
		"{\"spec\":\"\",\"best_effort\":true,\"steps\":[{\"count\":2,"
		"\"cpu\":1,\"gang\":true}]}",
		503},
	    {"POST", "/q/00000000000000f3", "{\"steps\":[]}", 400},
	    {"POST", "/q/00000000000000f4", "[", 400},
	    {"POST", "/q/00000000000000f5",
		"{\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":1,"
		"\"after\":[0]}]}",
		400},
	    {"GET", "/q/", NULL, 200},
	    {"GET", "/q/00000000000000f6", NULL, 410},
	    {"DELETE", "/q/00000000000000f7", NULL, 410},
	    {"GET", "/nowhere/", NULL, 404},
	    {"POST", "/nowhere/00000000000000f8", "{}", 404},
	};
	struct hf_test *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		assert_int_equal(cases[i].status,
		    hn_http(cases[i].verb, hf_clients_port(f->fleet, 0),
			cases[i].path, cases[i].body, NULL, NULL));
}

/* Long enough that tasks that wait for the first ones would start later than
 * operators expect after they took the zone out. */
#define LONG_RUN_MS 6000
#define LONG_TIMEOUT_MS 40000
/* More than fit at the three endpoints at once, ten at each. */
#define LONG_TASKS 45

static void *
submit_long_job(void *arg)
{
	return (GINT_TO_POINTER(hf_submit(arg, 0, "00000000000000e1",
	    "run_ms=6000 cpu=6000", LONG_TASKS, LONG_RUN_MS, NULL)));
}

/* Guards against starts in a zone that is out, of tasks that were queued at its
 * agents before. */
static void
test_tasks_queued_in_zone_out(void **state)
{
	struct hf_test *f = *state;
	uint64_t out_ms;
	GThread *client;

	hf_set_times(f->fleet, 2, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS);
	hn_sleep_ms(CONFIG_MS);
	client = g_thread_new("client", submit_long_job, f->fleet);
	hn_sleep_ms(500);
	hf_evacuate(f->fleet, "z0", true);
	out_ms = hn_wall_ms();
	assert_int_equal(200, GPOINTER_TO_INT(g_thread_join(client)));
	assert_true(hn_wall_ms() > out_ms + EVACUATE_MS);
	assert_int_equal(
	    0, hf_starts_in_zone(f->fleet, "z0", out_ms + EVACUATE_MS));
	assert_int_equal(0, hf_check_runs(f->fleet, NULL, 0).concurrent);
}

static void *
submit_endless_job(void *arg)
{
	return (GINT_TO_POINTER(hf_submit(arg, 0, "00000000000000e2",
	    "run_ms=30000 cpu=6000", 1, LONG_RUN_MS, NULL)));
}

/* The platform kills a process so long after the signal to stop. */
#define STOP_MAX_MS 6000

/* Guards against a client that loses its connection without an answer, since
 * its job takes longer than the entry goes on after the signal to stop. */
static void
test_job_longer_than_stop(void **state)
{
	struct hf_test *f = *state;
	GThread *client;

	hf_set_times(f->fleet, 2, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS);
	hn_sleep_ms(CONFIG_MS);
	client = g_thread_new("client", submit_endless_job, f->fleet);
	hn_sleep_ms(500);
	hn_signal(hf_entry(f->fleet, 0), SIGTERM);
	assert_int_equal(504, GPOINTER_TO_INT(g_thread_join(client)));
	assert_int_equal(0, hn_wait(hf_entry(f->fleet, 0), STOP_MAX_MS));
}

int
main(void)
{
#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up, hf_test_tear_down)
	const struct CMUnitTest tests[] = {
	    T(test_no_faults),
	    T(test_entry_faults),
	    T(test_worker_faults),
	    T(test_endpoint_faults),
	    T(test_store_faults),
	    T(test_tasks_queued_in_zone_out),
	    T(test_job_longer_than_stop),
	    T(test_client_interface),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
