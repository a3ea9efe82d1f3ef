#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib.h>

#include "harness_fleet.h"

/* The real programs on the platform's stand-ins. */

#define ENTRIES 2
#define WORKERS 3
#define PER_S 20
/* Operators expect a zone that is taken out to get nothing after 5 s. */
#define EVACUATE_MS 5000
/* A configuration is in force 2 s after it was accepted. */
#define CONFIG_MS 2000

struct world {
	struct hn *hn;
	struct hf *fleet;
};

static int
set_up(void **state)
{
	struct world *w = g_new0(struct world, 1);

	w->hn = hn_new();
	w->fleet = hf_new(w->hn, ENTRIES, WORKERS);
	*state = w;
	return (0);
}

static int
tear_down(void **state)
{
	struct world *w = *state;

	hf_free(w->fleet);
	hn_free(w->hn);
	g_free(w);
	return (0);
}

/* Ends the load and checks what must hold in any case. Return: completed jobs
 * of a hundred. */
static unsigned
finish(struct world *w)
{
	const struct hf_job *jobs;
	struct hf_runs runs;
	unsigned i, n, done = 0;

	jobs = hf_stop_load(w->fleet, &n);
	for (i = 0; i < n; i++) {
		done += jobs[i].completed;
		if (!jobs[i].completed)
			print_message("%s: status %d after %u tries, %llu ms\n",
			    jobs[i].id, jobs[i].status, jobs[i].tries,
			    (unsigned long long)jobs[i].took_ms);
	}
	runs = hf_check_runs(w->fleet, jobs, n);
	print_message("%u jobs, %u done, %u starts, %u lapsed\n", n, done,
	    runs.starts, runs.expired);
	assert_int_equal(0, runs.concurrent);
	assert_int_equal(0, runs.refused_started);
	return (done * 100 / n);
}

/* Guards against jobs that do not come through on a calm day, and against a
 * process that ends, or loses work, because its settings file changes. */
static void
test_calm(void **state)
{
	struct world *w = *state;

	hf_start_load(w->fleet, PER_S);
	hn_sleep_ms(1500);
	hn_signal(hf_entry(w->fleet, 0), SIGHUP);
	hn_signal(hf_agent(w->fleet, 0), SIGHUP);
	hn_write(w->hn, "entry1.toml", "name = 5\n");
	hn_write(w->hn, "agent1.toml", "name = 5\n");
	hn_signal(hf_entry(w->fleet, 1), SIGHUP);
	hn_signal(hf_agent(w->fleet, 1), SIGHUP);
	hn_sleep_ms(1500);
	assert_int_equal(100, finish(w));
}

/* Guards against a stop that cuts requests, and against runs that go on, or
 * start twice, when an entry is killed or frozen. */
static void
test_entry_ends(void **state)
{
	struct world *w = *state;

	hf_start_load(w->fleet, PER_S);
	hn_sleep_ms(1000);
	hf_restart_entry(w->fleet, 0, SIGTERM);
	hn_sleep_ms(1000);
	hf_restart_entry(w->fleet, 1, SIGKILL);
	hn_sleep_ms(1000);
	hn_signal(hf_entry(w->fleet, 0), SIGSTOP);
	hn_sleep_ms(2000);
	hn_signal(hf_entry(w->fleet, 0), SIGCONT);
	hn_sleep_ms(1000);
	assert_in_range(finish(w), 90, 100);
}

/* Guards against double runs when an agent or an endpoint is killed or frozen,
 * and against workers that stay unused afterwards. */
static void
test_worker_ends(void **state)
{
	struct world *w = *state;
	json_t *counts = NULL;

	hf_start_load(w->fleet, PER_S);
	hn_sleep_ms(1000);
	hf_restart_agent(w->fleet, 0, SIGKILL);
	hn_sleep_ms(1000);
	hf_restart_agent(w->fleet, 1, SIGTERM);
	hn_sleep_ms(500);
	hf_restart_minion(w->fleet, 2);
	hn_sleep_ms(1000);
	hn_signal(hf_agent(w->fleet, 1), SIGSTOP);
	hn_sleep_ms(2000);
	hn_signal(hf_agent(w->fleet, 1), SIGCONT);
	hn_sleep_ms(2000);
	assert_in_range(finish(w), 90, 100);
	assert_int_equal(200,
	    hn_http("GET", hf_minion_port(w->fleet, 2), "/control", NULL, NULL,
		&counts));
	assert_true(json_integer_value(json_object_get(counts, "starts")) > 0);
	json_decref(counts);
}

/* Guards against orders without an answer that run beside a second attempt, and
 * against work for an endpoint that stands still or fails everything. */
static void
test_bad_endpoint(void **state)
{
	struct world *w = *state;

	hf_start_load(w->fleet, PER_S);
	hn_sleep_ms(500);
	hn_control(hf_minion_port(w->fleet, 0), "late=20&late_ms=300");
	hn_control(hf_minion_port(w->fleet, 1), "drop=20");
	hn_sleep_ms(1500);
	hn_control(hf_minion_port(w->fleet, 1), "hang=1");
	hn_sleep_ms(1500);
	hn_control(hf_minion_port(w->fleet, 1), "hang=0&fail=1");
	hn_sleep_ms(1500);
	hn_control(hf_minion_port(w->fleet, 1), "fail=0");
	hn_sleep_ms(1000);
	assert_in_range(finish(w), 85, 100);
}

/* Guards against an entry that stops serving, or goes back to an older
 * configuration, because the store is away, forgets, or refuses it. */
static void
test_store_away(void **state)
{
	struct world *w = *state;
	json_t *answer = NULL;

	hf_start_load(w->fleet, PER_S);
	hn_control(hf_store_port(w->fleet), "mode=silent");
	hn_sleep_ms(2000);
	hn_control(hf_store_port(w->fleet), "mode=error");
	hn_sleep_ms(1000);
	hn_control(hf_store_port(w->fleet), "mode=up&forget=1");
	hf_evacuate(w->fleet, "z0", true);
	hn_sleep_ms(EVACUATE_MS);
	assert_int_equal(0,
	    hf_starts_in_zone(w->fleet, "z0", hn_wall_ms() - EVACUATE_MS / 2));
	hf_evacuate(w->fleet, "z0", false);
	hn_sleep_ms(CONFIG_MS);
	assert_int_equal(200,
	    hf_submit(w->fleet, 0, "00000000000000ff", "run_ms=10 cpu=1", 20,
		10, &answer));
	json_decref(answer);
	assert_true(
	    hf_starts_in_zone(w->fleet, "z0", hn_wall_ms() - CONFIG_MS) > 0);
	assert_int_equal(100, finish(w));
}

/* Guards against wrong answers at the interface: a job that must be kept and is
 * taken all the same, an unknown queue, a body that cannot be read. */
static void
test_interface(void **state)
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
	struct world *w = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		assert_int_equal(cases[i].status,
		    hn_http(cases[i].verb, hf_clients_port(w->fleet, 0),
			cases[i].path, cases[i].body, NULL, NULL));
}

int
main(void)
{
#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    T(test_calm),
	    T(test_entry_ends),
	    T(test_worker_ends),
	    T(test_bad_endpoint),
	    T(test_store_away),
	    T(test_interface),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
