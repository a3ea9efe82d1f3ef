#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "harness_fleet.h"

/* Tests real dispatchers and agents while an entry does not hear that its zone
 * was evacuated, or is back: it is cut off from the store, the other entries
 * and the agents of other zones. */

#define ENTRIES 3
#define WORKERS 6
/* Of the zone of the first entry. */
#define ZONE_WORKERS 2
#define EVACUATE_MS 5000
/* Agents hear of a change from the other entries within this time. */
#define HEARD_MS 1000
/* The load balancer has noticed that an entry is not ready: two probes failed,
 * one a second. */
#define MOVED_MS 2500
/* Messages on their way have passed or are lost this long after a cut. */
#define CUT_MS 200
/* An entry gives up agents that are cut off, and its jobs there, by then. */
#define CONTACT_LOST_MS 1500
/* The tasks of a job are at the agents by then. */
#define QUEUED_MS 500
#define JOB_PERIOD_MS 50
/* A configuration is in force so long after it is written. */
#define CONFIG_MS 2000
/* A refusal at once takes no longer than this. */
#define AT_ONCE_MS 200
#define SPEC "run_ms=50 cpu=6000"
#define RUN_MS 50
/* So many that some go to each zone in use, and all fit in two zones. */
#define WIDE_TASKS 24
#define LONG_RUN_MS 1000
#define LONG_SPEC "run_ms=1000 cpu=6000"
#define LONG_TIMEOUT_MS 60000
/* More than fit at the workers of the zone at once, ten at each: the last ones
 * would start later than EVACUATE_MS. */
#define LONG_TASKS 160

static int
set_up(void **state)
{
	struct hf_test *t = g_new0(struct hf_test, 1);

	t->hn = hn_new();
	t->fleet = hf_new_separable(t->hn, ENTRIES, WORKERS);
	*state = t;
	return (0);
}

static int
set_up_relayed(void **state)
{
	struct hf_test *t = g_new0(struct hf_test, 1);

	t->hn = hn_new();
	t->fleet = hf_new_relayed(t->hn, ENTRIES, WORKERS);
	*state = t;
	return (0);
}

/* Submits a job at the first entry. Return: status of the answer. */
static int
submit(struct hf *f, unsigned number, unsigned tasks)
{
	char id[17];

	snprintf(id, sizeof(id), "%016x", 0xd000 + number);
	return (hf_submit(f, 0, id, SPEC, tasks, RUN_MS, NULL));
}

static void *
submit_long(void *arg)
{
	return (GINT_TO_POINTER(hf_submit(arg, 0, "00000000000000e1", LONG_SPEC,
	    LONG_TASKS, LONG_RUN_MS, NULL)));
}

/* Guards against starts in a zone that is out by an entry that has not heard of
 * it; against clients that are refused there before they could move to another
 * entry; and against some that wait for a refusal. */
static void
test_evacuation_not_heard(void **state)
{
	struct hf_test *t = *state;
	struct hf *f = t->fleet;
	uint64_t out_ms, sent_ms;
	unsigned i;

	hf_cut_first_entry(f, true);
	hn_sleep_ms(CUT_MS);
	hf_evacuate(f, "z0", true);
	out_ms = hn_wall_ms();
	hn_sleep_ms(HEARD_MS);
	/* New clients go to other entries, and the others move. */
	assert_false(hf_is_ready(f, 0));
	assert_true(hf_is_ready(f, 1));
	for (i = 0; hn_wall_ms() < out_ms + MOVED_MS; i++) {
		assert_int_equal(200, submit(f, i, ZONE_WORKERS));
		hn_sleep_ms(JOB_PERIOD_MS);
	}
	hn_sleep_ms((unsigned)(out_ms + EVACUATE_MS - hn_wall_ms()));
	for (; hn_wall_ms() < out_ms + EVACUATE_MS + HEARD_MS; i++) {
		sent_ms = hn_mono_ms();
		assert_int_equal(503, submit(f, i, ZONE_WORKERS));
		assert_in_range(hn_mono_ms() - sent_ms, 0, AT_ONCE_MS);
		hn_sleep_ms(JOB_PERIOD_MS);
	}
	assert_int_equal(0, hf_starts_in_zone(f, "z0", out_ms + EVACUATE_MS));
}

/* Guards against starts of what such an entry had queued at its agents before
 * the evacuation. */
static void
test_tasks_queued_before_evacuation(void **state)
{
	struct hf_test *t = *state;
	struct hf *f = t->fleet;
	uint64_t out_ms;
	GThread *client;

	hf_set_times(f, 2, LONG_TIMEOUT_MS, LONG_TIMEOUT_MS);
	hn_sleep_ms(CONFIG_MS);
	hf_cut_first_entry(f, true);
	hn_sleep_ms(CONTACT_LOST_MS);
	client = g_thread_new("client", submit_long, f);
	hn_sleep_ms(QUEUED_MS);
	hf_evacuate(f, "z0", true);
	out_ms = hn_wall_ms();
	hn_sleep_ms(EVACUATE_MS + 2 * LONG_RUN_MS);
	assert_int_equal(0, hf_starts_in_zone(f, "z0", out_ms + EVACUATE_MS));
	hf_cut_first_entry(f, false);
	g_thread_join(client);
	assert_int_equal(0, hf_check_runs(f, NULL, 0).concurrent);
}

/* Guards against a zone that stays unused, since an entry that has not heard
 * that it is back tells agents that it is out. */
static void
test_return_not_heard(void **state)
{
	struct hf_test *t = *state;
	struct hf *f = t->fleet;
	uint64_t back_ms;
	unsigned i;

	hf_evacuate(f, "z0", true);
	hn_sleep_ms(HEARD_MS);
	hf_cut_first_entry(f, true);
	hn_sleep_ms(CUT_MS);
	hf_evacuate(f, "z0", false);
	hn_sleep_ms(HEARD_MS);
	/* The first entry tells the new processes what it knows. */
	hf_restart_agent(f, 0, SIGTERM);
	hf_restart_agent(f, ENTRIES, SIGTERM);
	hn_sleep_ms(2 * HEARD_MS);
	back_ms = hn_wall_ms();
	for (i = 0; i < 4; i++)
		assert_int_equal(200,
		    hf_submit(f, 1,
			(const char *const[]){"f0", "f1", "f2", "f3"}[i], SPEC,
			4 * WORKERS, RUN_MS, NULL));
	assert_true(hf_starts_in_zone(f, "z0", back_ms) > 0);
}

/* Guards against starts in a zone that is out when no entry hears of it, since
 * the store answers none of them, but answers agents. */
static void
test_no_entry_hears(void **state)
{
	struct hf_test *t = *state;
	struct hf *f = t->fleet;
	uint64_t out_ms;
	unsigned i, started;

	hf_control_relay(f, HF_STORE, 0, "mode=silent");
	hn_sleep_ms(CUT_MS);
	hf_evacuate(f, "z0", true);
	out_ms = hn_wall_ms();
	for (i = 0; hn_wall_ms() < out_ms + EVACUATE_MS + HEARD_MS; i++) {
		assert_int_equal(200, submit(f, i, WIDE_TASKS));
		hn_sleep_ms(JOB_PERIOD_MS);
	}
	assert_int_equal(0, hf_starts_in_zone(f, "z0", out_ms + EVACUATE_MS));
	/* They hear likewise that it is back. */
	hf_evacuate(f, "z0", false);
	hn_sleep_ms(4 * HEARD_MS);
	out_ms = hn_wall_ms();
	for (started = 0; started == 0 && hn_wall_ms() < out_ms + EVACUATE_MS;
	     i++) {
		assert_int_equal(200, submit(f, i, WIDE_TASKS));
		started = hf_starts_in_zone(f, "z0", out_ms);
	}
	assert_true(started > 0);
}

/* Guards against tasks that are refused while the store is down for everyone.
 */
static void
test_store_down(void **state)
{
	struct hf_test *t = *state;
	struct hf *f = t->fleet;
	uint64_t down_ms = hn_wall_ms();
	unsigned i;

	hn_signal(hf_store(f), SIGSTOP);
	for (i = 0; hn_wall_ms() < down_ms + 2 * EVACUATE_MS; i++) {
		assert_int_equal(200, submit(f, i, WIDE_TASKS));
		hn_sleep_ms(JOB_PERIOD_MS);
	}
	assert_true(hf_starts_in_zone(f, "z0", down_ms + EVACUATE_MS) > 0);
	hn_signal(hf_store(f), SIGCONT);
}

#define TEST(name)                                                             \
	cmocka_unit_test_setup_teardown(name, set_up, hf_test_tear_down)
#define RELAYED(name)                                                          \
	cmocka_unit_test_setup_teardown(name, set_up_relayed, hf_test_tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    TEST(test_evacuation_not_heard),
	    TEST(test_tasks_queued_before_evacuation),
	    TEST(test_return_not_heard),
	    RELAYED(test_no_entry_hears),
	    RELAYED(test_store_down),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
