#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "harness_cell.h"

/* Two processes of each agent that are up together, as when a successor starts
 * while its predecessor still drains. */

#define AGENTS 2
#define ENTRIES 3
#define RESTARTS 6
#define LOAD_OPTIONS                                                           \
	"--rate 5 --tasks 1-6 --run-ms 100-500 --duplicates 0.1 "              \
	"--deadline-ms 10000 "
/* After the last process connects: until ids are new enough to run without the
 * records of the others. */
#define SETTLE_MS 4000
#define RESTART_INTERVAL_MS 2500
#define STOP_TIMEOUT_MS 40000

/* Starts a further process with the settings of an agent, but no metrics. */
static void
start_second_process(struct pc *c, unsigned i)
{
	char *first, *second, *text, **parts, *changed, name[48];

	g_snprintf(name, sizeof(name), "%s.toml", c->agents[i].name);
	first = hn_path(c->hn, name);
	assert_true(g_file_get_contents(first, &text, NULL, NULL));
	parts = g_strsplit(text, "[listen]", 2);
	changed = g_strdup(parts[0]);
	g_snprintf(name, sizeof(name), "%s-second", c->agents[i].name);
	hn_write(c->hn, name, changed);
	second = hn_path(c->hn, name);
	hn_start(c->hn, name,
	    (const char *const[]){
		"agent/pimentodock-agent", "--settings", second, NULL});
	g_free(changed);
	g_strfreev(parts);
	g_free(text);
	g_free(second);
	g_free(first);
}

/* Guards against two processes of an agent that end each other's sessions, so
 * that every submission is answered "unknown". */
static void
test_overlapping_agents_complete_work(void **state)
{
	struct pc *c = *state;
	struct pc_load load;
	struct pc_result r;
	unsigned i;

	for (i = 0; i < AGENTS; i++)
		start_second_process(c, i);
	hn_sleep_ms(SETTLE_MS);
	load = pc_load_start(c, LOAD_OPTIONS "--duration 5");
	r = pc_load_check(c, &load);
	assert_int_equal(r.complete, r.submissions);
}

/* Guards against tasks that start twice because an entry that takes over knows
 * the start records of only one process of an agent. */
static void
test_entries_restart_beside_overlapping_agents(void **state)
{
	struct pc *c = *state;
	struct pc_load load;
	struct pc_result r;
	unsigned i, entry;

	for (i = 0; i < AGENTS; i++)
		start_second_process(c, i);
	load = pc_load_start(c, LOAD_OPTIONS "--duration 20");
	for (i = 0; i < RESTARTS; i++) {
		hn_sleep_ms(RESTART_INTERVAL_MS);
		entry = i % ENTRIES;
		hn_signal(c->entries[entry].proc, SIGTERM);
		assert_int_equal(
		    0, hn_wait(c->entries[entry].proc, STOP_TIMEOUT_MS));
		pc_entry_start(c, entry);
	}
	r = pc_load_check(c, &load);
	print_message("%ld submissions, %ld complete, %ld unknown\n",
	    r.submissions, r.complete, r.unknown);
}

static int
set_up(void **state)
{
	const struct pc_options options = {
	    .entries = ENTRIES, .agents = AGENTS};

	*state = pc_new(&options);
	return (0);
}

static int
tear_down(void **state)
{
	pc_free(*state);
	return (0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_overlapping_agents_complete_work, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_entries_restart_beside_overlapping_agents, set_up,
		tear_down),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
