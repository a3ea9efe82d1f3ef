#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>
#include <glib.h>

#include "harness_fleet.h"
#include "pd.h"

/* Tests large configurations with the real dispatchers and agents. */

#define ENTRIES 3
#define WORKERS 3
#define PER_S 20
/* A configuration has to be in force 2 s after the store accepted it. */
#define CONFIG_MS 2000
/* The operators add so many queues at a time, three times. */
#define ADDED 1400
#define CHANGES 3
/* One in so many queues is asked for. */
#define SAMPLE_INTERVAL 35
/* Their configuration fills the first page of the operators' table. */
#define PAGES_QUEUES 6000
/* Target: control takes at most 128 MB of a host. */
#define MEMORY_KB (128 * 1024)

static int
set_up(void **state)
{
	return (hf_test_set_up(state, ENTRIES, WORKERS));
}

static int
queue_status(struct hf_test *f, unsigned entry, const char *path)
{
	return (hn_http(
	    "GET", hf_clients_port(f->fleet, entry), path, NULL, NULL, NULL));
}

/* Number of the queues asked for that an entry does not serve. */
static unsigned
unserved_queues(struct hf_test *f, unsigned entry, unsigned added)
{
	unsigned i, n = queue_status(f, entry, "/q/") != 200;
	char path[32];

	for (i = 0; i < added; i += SAMPLE_INTERVAL) {
		snprintf(path, sizeof(path), "/added%u/", i);
		n += queue_status(f, entry, path) != 200;
	}
	return (n);
}

static void
assert_all_queues_served(struct hf_test *f, unsigned added)
{
	unsigned i;

	for (i = 0; i < ENTRIES; i++)
		assert_int_equal(0, unserved_queues(f, i, added));
}

/* Guards against queues that are answered with 404 once the configuration has
 * more than 1,024 of them. */
static void
test_queues_beyond_1024_not_served(void **state)
{
	struct hf_test *f = *state;
	const struct hf_job *jobs;
	unsigned i, n;

	hf_start_load(f->fleet, PER_S);
	for (i = 1; i <= CHANGES; i++) {
		hf_set_queues(f->fleet, 1 + i, i * ADDED);
		hn_sleep_ms(CONFIG_MS);
		assert_all_queues_served(f, i * ADDED);
	}
	hf_restart_entry(f->fleet, 0, SIGTERM);
	hn_sleep_ms(CONFIG_MS);
	assert_all_queues_served(f, CHANGES * ADDED);
	jobs = hf_stop_load(f->fleet, &n);
	for (i = 0; i < n; i++)
		assert_true(jobs[i].completed);
}

/* Guards against tasks in a zone that is out, at an entry that has started and
 * reads a table of several pages. */
static void
test_zone_out_on_second_page(void **state)
{
	struct hf_test *f = *state;
	const struct hf_job *jobs;
	unsigned i, n;

	hf_set_queues(f->fleet, 2, PAGES_QUEUES);
	hf_evacuate(f->fleet, "z0", true);
	hn_sleep_ms(CONFIG_MS);
	for (i = 0; i < ENTRIES; i++)
		hn_kill(hf_entry(f->fleet, i));
	for (i = 0; i < ENTRIES; i++)
		hf_restart_entry(f->fleet, i, SIGKILL);
	hn_sleep_ms(CONFIG_MS);
	hf_start_load(f->fleet, PER_S);
	hn_sleep_ms(CONFIG_MS);
	jobs = hf_stop_load(f->fleet, &n);
	for (i = 0; i < n; i++)
		assert_true(jobs[i].completed);
	assert_int_equal(
	    0, hf_starts_in_zone(f->fleet, "z0", hn_wall_ms() - CONFIG_MS));
}

/* Guards against tasks in a zone that is taken out after a configuration that
 * is rejected, also at an entry that starts then and has its queues from
 * others. */
static void
test_zone_out_after_rejected_configuration(void **state)
{
	struct hf_test *f = *state;
	const struct hf_job *jobs;
	unsigned i, n;

	hf_set_queues(f->fleet, 2, PD_QUEUES_MAX + 1);
	hn_sleep_ms(CONFIG_MS);
	hf_evacuate(f->fleet, "z0", true);
	hn_sleep_ms(CONFIG_MS);
	hf_restart_entry(f->fleet, 0, SIGTERM);
	hn_sleep_ms(CONFIG_MS);
	for (i = 0; i < ENTRIES; i++)
		assert_int_equal(200, queue_status(f, i, "/q/"));
	hf_start_load(f->fleet, PER_S);
	hn_sleep_ms(CONFIG_MS);
	jobs = hf_stop_load(f->fleet, &n);
	for (i = 0; i < n; i++)
		assert_true(jobs[i].completed);
	assert_int_equal(
	    0, hf_starts_in_zone(f->fleet, "z0", hn_wall_ms() - CONFIG_MS));
}

/* Guards against a limit on queues that is more than an entry can hold: the
 * process would end while it reads them. */
static void
test_memory_of_most_queues(void **state)
{
	struct hf_test *f = *state;
	unsigned i;

	hf_set_queues(f->fleet, 2, PD_QUEUES_MAX - 2);
	hn_sleep_ms(CONFIG_MS);
	hf_set_queues(f->fleet, 3, PD_QUEUES_MAX - 1);
	hn_sleep_ms(CONFIG_MS);
	for (i = 0; i < ENTRIES; i++) {
		assert_int_equal(200, queue_status(f, i, "/q/"));
		assert_in_range(
		    hn_peak_memory_kb(hf_entry(f->fleet, i)), 1, MEMORY_KB);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_queues_beyond_1024_not_served, set_up, hf_test_tear_down),
	    cmocka_unit_test_setup_teardown(
		test_zone_out_on_second_page, set_up, hf_test_tear_down),
	    cmocka_unit_test_setup_teardown(
		test_zone_out_after_rejected_configuration, set_up,
		hf_test_tear_down),
	    cmocka_unit_test_setup_teardown(
		test_memory_of_most_queues, set_up, hf_test_tear_down),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
