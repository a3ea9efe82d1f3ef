#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "clock.h"
#include "counters.h"
#include "worker_health.h"
#include "lease.h"
#include "runner.h"

/* Tests the runner of an agent on a manual clock, with a recording endpoint. */

#define ENTRY_1 11
#define ENTRY_2 22
#define TASK_CPU 1000
#define TASK_SIZE_MS 100
#define ENDPOINT_CPU 4000
#define START_MS 100000
#define ORDERS_MAX 64

struct order {
	char id[32];
	unsigned index;
	unsigned run;
	unsigned lease_ms;
	bool stop;
};

struct fixture {
	struct ck *clock;
	struct ct *counters;
	struct ru *runner;
	struct order orders[ORDERS_MAX];
	unsigned norders;
	struct pd_end ends[ORDERS_MAX];
	char end_ids[ORDERS_MAX][32];
	unsigned nends;
	unsigned priority;    /* of the tasks that are granted */
	uint64_t incarnation; /* of the process that answers polls */
	bool partial;         /* its lists are */
};

static void
record_order(struct fixture *f, const struct ru_run *r, bool stop)
{
	struct order *o = &f->orders[f->norders++];

	g_strlcpy(o->id, r->id, sizeof(o->id));
	o->index = r->index;
	o->run = r->run;
	o->lease_ms = r->lease_ms;
	o->stop = stop;
}

static void
on_start(void *arg, const struct ru_run *r)
{
	record_order(arg, r, false);
}

static void
on_stop(void *arg, const struct ru_run *r)
{
	record_order(arg, r, true);
}

static void
on_ended(void *arg, uint64_t entry, const struct pd_end *e)
{
	struct fixture *f = arg;

	(void)entry;
	g_strlcpy(f->end_ids[f->nends], e->key.sub.id, sizeof(f->end_ids[0]));
	f->ends[f->nends++] = *e;
}

static const struct ru_ops ops = {on_start, on_stop, on_ended};

static void
answer_poll(struct fixture *f, uint64_t sent_ms,
    const struct ru_run_info *running, unsigned nrunning,
    const struct ru_run_info *ended, unsigned nended)
{
	struct ru_poll_result poll = {.sent_ms = sent_ms,
	    .incarnation = f->incarnation,
	    .running = running,
	    .nrunning = nrunning,
	    .ended = ended,
	    .nended = nended,
	    .partial = f->partial};

	ru_polled(f->runner, &poll);
}

static void
answer_empty_poll(struct fixture *f)
{
	answer_poll(f, ck_mono_ms(f->clock), NULL, 0, NULL, 0);
}

static void
report_run_end(
    struct fixture *f, const char *id, unsigned run, enum ru_outcome outcome)
{
	struct ru_run_info info = {.id = id, .run = run, .outcome = outcome};

	answer_poll(f, ck_mono_ms(f->clock), NULL, 0, &info, 1);
}

static int
set_up(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->clock = ck_new_manual(START_MS, START_MS);
	f->counters = ct_new();
	f->incarnation = 1;
	f->runner = ru_new(f->clock, f->counters, &ops, f);
	answer_empty_poll(f);
	ru_update_endpoint(f->runner, 1, ENDPOINT_CPU, 1000, true);
	ru_entry_contact(f->runner, ENTRY_1, ck_mono_ms(f->clock));
	ru_entry_contact(f->runner, ENTRY_2, ck_mono_ms(f->clock));
	*state = f;
	return (0);
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;

	ru_free(f->runner);
	ct_free(f->counters);
	ck_free(f->clock);
	g_free(f);
	return (0);
}

/* Advances the clock in ticks while @entry stays in contact and the lease is
 * renewed as far as the runner allows. */
static void
pass(struct fixture *f, unsigned ms, uint64_t entry)
{
	unsigned i;

	for (i = 0; i < ms; i += 10) {
		ck_advance_ms(f->clock, 10);
		if (entry != 0)
			ru_entry_contact(
			    f->runner, entry, ck_mono_ms(f->clock));
		(void)ru_renew_lease(f->runner);
		ru_tick(f->runner);
	}
}

static void
grant_task(struct fixture *f, uint64_t entry, const char *id, unsigned attempt,
    int64_t start_by_ms, unsigned limit_ms)
{
	uint64_t now = ck_mono_ms(f->clock);
	struct pd_start s = {
	    .key = {.sub = {.id = (char *)(uintptr_t)id, .created_ms = 1},
		.attempt = attempt},
	    .cpu = TASK_CPU,
	    .mem_mb = 1,
	    .priority = f->priority,
	    .size_ms = TASK_SIZE_MS,
	    .limit_ms = limit_ms,
	    .queue_max = UINT32_MAX,
	    .start_by_ms = (uint64_t)((int64_t)now + start_by_ms),
	    .expires_ms = now + 1500,
	    .body = {.body_len = 1, .body_val = (char *)(uintptr_t) "x"},
	};

	ru_grant(f->runner, entry, &s);
}

static void
grant(struct fixture *f, uint64_t entry, const char *id)
{
	grant_task(f, entry, id, 1, 100, 0);
}

static struct ru_run
run_of(const char *id, unsigned run)
{
	struct ru_run r = {.id = id, .run = run};

	return (r);
}

static void
answer_start(struct fixture *f, const char *id, enum ru_start_result answer)
{
	struct ru_run r = run_of(id, 1);

	ru_start_answer(f->runner, &r, answer);
}

static void
confirm_stop(struct fixture *f, const char *id)
{
	struct ru_run r = run_of(id, 1);

	ru_stop_answer(f->runner, &r, true);
}

/* Guards against two runs of a task at the same time: a poll sent before the
 * start was confirmed does not list the run, so it was taken for lost and
 * started elsewhere. */
static void
test_list_older_than_start(void **state)
{
	struct fixture *f = *state;
	uint64_t poll_sent_ms;

	grant(f, ENTRY_1, "a");
	pass(f, 120, ENTRY_1);
	poll_sent_ms = ck_mono_ms(f->clock);
	pass(f, 80, ENTRY_1);
	answer_start(f, "a", RU_STARTED);
	answer_poll(f, poll_sent_ms, NULL, 0, NULL, 0);
	assert_int_equal(0, f->nends);
	/* A poll sent after the confirmation counts. */
	pass(f, 30, ENTRY_1);
	answer_empty_poll(f);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_LOST, f->ends[0].state);
}

/* Guards against two runs of a task that is missing in a list of which a part
 * could not be read, or which has as many ends as fit. */
static void
test_partial_list(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	pass(f, 50, ENTRY_1);
	f->partial = true;
	answer_empty_poll(f);
	assert_int_equal(0, f->nends);
	ru_free(f->runner);
	f->runner = ru_new(f->clock, f->counters, &ops, f);
	answer_empty_poll(f);
	assert_false(ru_load(f->runner).old_runs_ended);
}

/* Guards against runs that go on after contact to their entry is lost: the
 * client submits the job to another entry after 1,300 ms. */
static void
test_lost_contact_stops_runs(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	grant(f, ENTRY_2, "b");
	answer_start(f, "a", RU_STARTED);
	answer_start(f, "b", RU_STARTED);
	pass(f, LE_CONTACT_MS - 10, ENTRY_2);
	assert_int_equal(2, f->norders);
	pass(f, 30, ENTRY_2);
	assert_int_equal(3, f->norders);
	assert_true(f->orders[2].stop);
	assert_string_equal("a", f->orders[2].id);
}

/* Guards against two runs of a task whose entry has lost the agent: a lease
 * that is renewed before the agent notices, or after a pause of its process,
 * lasts longer than the entry waits until it starts the task elsewhere. */
static void
test_lease_renewed_after_lost_contact(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	ck_advance_ms(f->clock, LE_CONTACT_MS);
	assert_int_equal(LE_RUN_MS, ru_renew_lease(f->runner));
	ck_advance_ms(f->clock, 19);
	assert_int_equal(LE_RUN_MS - 19, ru_renew_lease(f->runner));
	ck_advance_ms(f->clock, 5000);
	assert_int_equal(0, ru_renew_lease(f->runner));
}

/* Guards against two runs of a task whose stop the endpoint does not confirm:
 * the lease was renewed for other tasks, so the run went on after its entry had
 * started it elsewhere. */
static void
test_lease_renewed_beside_unconfirmed_stop(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	grant(f, ENTRY_2, "b");
	answer_start(f, "a", RU_STARTED);
	answer_start(f, "b", RU_STARTED);
	ru_entry_gone(f->runner, ENTRY_1);
	assert_int_equal(LE_RUN_MS, ru_renew_lease(f->runner));
	pass(f, 400, ENTRY_2);
	assert_int_equal(LE_RUN_MS - 400, ru_renew_lease(f->runner));
	/* A start would renew the lease too. */
	grant(f, ENTRY_2, "c");
	assert_true(f->orders[f->norders - 1].stop);
	pass(f, LE_RUN_MS - 400, ENTRY_2);
	assert_int_equal(0, ru_renew_lease(f->runner));
	pass(f, 80, ENTRY_2);
	assert_true(f->nends >= 2);
	assert_int_equal(PD_END_LOST, f->ends[0].state);
	assert_int_equal(PD_END_LOST, f->ends[1].state);
}

/* Guards against runs that go on after their entry process was replaced. */
static void
test_entry_gone_stops_runs(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	ru_entry_gone(f->runner, ENTRY_1);
	assert_int_equal(2, f->norders);
	assert_true(f->orders[1].stop);
	/* The capacity is not free until the run has stopped. */
	assert_int_equal(TASK_CPU, ru_load(f->runner).reported.cpu_used);
	confirm_stop(f, "a");
	pass(f, 80, ENTRY_2);
	answer_empty_poll(f);
	assert_int_equal(0, ru_load(f->runner).reported.cpu_used);
}

/* Guards against reporting an end while an unanswered start may still be
 * carried out. */
static void
test_unanswered_start(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_NO_ANSWER);
	assert_int_equal(2, f->norders);
	assert_true(f->orders[1].stop);
	/* A poll proves nothing before the stop is confirmed. */
	answer_empty_poll(f);
	pass(f, 200, ENTRY_1);
	assert_int_equal(0, f->nends);
	/* The stop is repeated at most every 50 ms. */
	assert_in_range(f->norders, 3, 6);
	assert_true(f->orders[f->norders - 1].stop);
	confirm_stop(f, "a");
	/* Nor does one that may have been sent before. */
	answer_empty_poll(f);
	assert_int_equal(0, f->nends);
	/* Guards against waiting longer than needed: the task is late already
	 * when it ran 100 ms later elsewhere. */
	pass(f, 10, ENTRY_1);
	answer_empty_poll(f);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_LOST, f->ends[0].state);
}

/* Guards against reporting an end while a run goes on whose start got no answer
 * and whose stop was confirmed: it runs until its end is listed. */
static void
test_unanswered_start_runs(void **state)
{
	struct ru_run_info info = {.id = "a", .run = 1};
	struct fixture *f = *state;
	unsigned i;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_NO_ANSWER);
	confirm_stop(f, "a");
	for (i = 0; i < 10; i++) {
		pass(f, 10, ENTRY_1);
		answer_poll(f, ck_mono_ms(f->clock), &info, 1, NULL, 0);
		assert_int_equal(0, f->nends);
	}
	report_run_end(f, "a", 1, RU_STOPPED);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_LOST, f->ends[0].state);
}

/* Guards against renewing the lease of a silent endpoint, and against reporting
 * an end before the lease is over. */
static void
test_silent_endpoint(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	assert_int_equal(LE_RUN_MS, ru_renew_lease(f->runner));
	ru_call_unanswered(f->runner);
	ru_call_unanswered(f->runner);
	ru_call_unanswered(f->runner);
	assert_int_equal(0, ru_renew_lease(f->runner));
	pass(f, LE_RUN_MS, ENTRY_1);
	assert_int_equal(0, f->nends);
	pass(f, 80, ENTRY_1);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_LOST, f->ends[0].state);
}

/* Guards against two runs of a task when an endpoint that refuses connections
 * but goes on running was taken for dead (soak seeds 209, 211 and 311), and
 * against keeping tasks queued for such an endpoint. */
static void
test_refusing_endpoint(void **state)
{
	static const char *const ids[] = {"a", "b", "c", "d", "e"};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ids); i++) {
		grant(f, ENTRY_1, ids[i]);
		answer_start(f, ids[i], RU_STARTED);
	}
	ru_connection_refused(f->runner);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_RETURNED, f->ends[0].state);
	assert_false(ru_load(f->runner).reported.accepting);
	assert_int_equal(0, ru_renew_lease(f->runner));
	pass(f, LE_RUN_MS, ENTRY_1);
	assert_int_equal(1, f->nends);
	pass(f, 80, ENTRY_1);
	assert_int_equal(5, f->nends);
	assert_int_equal(PD_END_LOST, f->ends[4].state);
	answer_empty_poll(f);
	assert_true(ru_load(f->runner).reported.accepting);
}

/* Guards against a new agent process that lets runs of a killed one go on, or
 * starts tasks before they have ended. */
static void
test_runs_of_predecessor(void **state)
{
	struct ru_run_info old = {.id = "old", .run = 3};
	struct fixture *f = *state;

	ru_free(f->runner);
	f->runner = ru_new(f->clock, f->counters, &ops, f);
	answer_poll(f, ck_mono_ms(f->clock), &old, 1, NULL, 0);
	assert_int_equal(1, f->norders);
	assert_true(f->orders[0].stop);
	assert_int_equal(3, f->orders[0].run);
	assert_false(ru_load(f->runner).old_runs_ended);
	assert_int_equal(0, ru_renew_lease(f->runner));
	answer_empty_poll(f);
	assert_true(ru_load(f->runner).old_runs_ended);
}

/* Guards against starts beyond the capacity of the endpoint. */
static void
test_capacity(void **state)
{
	static const char *const ids[] = {"a", "b", "c", "d", "e"};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		grant(f, ENTRY_1, ids[i]);
	assert_int_equal(4, f->norders);
	assert_int_equal(TASK_CPU, ru_load(f->runner).reported.cpu_queued[0]);
	answer_start(f, "a", RU_STARTED);
	report_run_end(f, "a", 1, RU_DONE);
	assert_int_equal(5, f->norders);
	assert_string_equal("e", f->orders[4].id);
}

/* Guards against starting a late task before one that can still be in time,
 * after a burst has filled the queue. */
static void
test_urgent_first(void **state)
{
	static const char *const first[] = {"1", "2", "3", "4"};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(first); i++)
		grant(f, ENTRY_1, first[i]);
	grant_task(f, ENTRY_1, "late", 1, -50, 0);
	grant_task(f, ENTRY_1, "easy", 1, 100, 0);
	grant_task(f, ENTRY_1, "urgent", 1, 40, 0);
	for (i = 0; i < 3; i++) {
		answer_start(f, first[i], RU_STARTED);
		report_run_end(f, first[i], 1, RU_DONE);
	}
	assert_string_equal("urgent", f->orders[4].id);
	assert_string_equal("easy", f->orders[5].id);
	assert_string_equal("late", f->orders[6].id);
}

/* Guards against starting a less urgent task first because it arrived a little
 * earlier, and against starving it while more urgent tasks keep arriving. */
static void
test_priority_first(void **state)
{
	static const char *const first[] = {"1", "2", "3", "4"};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(first); i++)
		grant(f, ENTRY_1, first[i]);
	f->priority = 2;
	grant_task(f, ENTRY_1, "low", 1, 100, 0);
	grant_task(f, ENTRY_1, "low and old", 1, 40, 0);
	f->priority = 0;
	grant_task(f, ENTRY_1, "high", 1, 110, 0);
	assert_int_equal(TASK_CPU, ru_load(f->runner).reported.cpu_queued[0]);
	assert_int_equal(
	    2 * TASK_CPU, ru_load(f->runner).reported.cpu_queued[2]);
	for (i = 0; i < 3; i++) {
		answer_start(f, first[i], RU_STARTED);
		report_run_end(f, first[i], 1, RU_DONE);
	}
	assert_string_equal("low and old", f->orders[4].id);
	assert_string_equal("high", f->orders[5].id);
	assert_string_equal("low", f->orders[6].id);
}

/* Guards against queueing a task behind others that its entry did not know of,
 * as several entries choose the same worker, and against keeping a queued task
 * until it is too late: at a higher load 137 of 199 jobs that were given up
 * lacked only their last task, which waited at its worker behind tasks that
 * could still be in time. */
static void
test_return_queued(void **state)
{
	static const char *const first[] = {"1", "2", "3", "4"};
	struct pd_start s = {
	    .key = {.sub = {.id = (char *)(uintptr_t) "x", .created_ms = 1},
		.attempt = 1},
	    .cpu = TASK_CPU,
	    .mem_mb = 1,
	    .queue_max = TASK_CPU,
	    .body = {.body_len = 1, .body_val = (char *)(uintptr_t) "x"},
	};
	struct fixture *f = *state;
	size_t i;

	s.expires_ms = ck_mono_ms(f->clock) + 1500;
	s.start_by_ms = ck_mono_ms(f->clock) + 100;
	for (i = 0; i < G_N_ELEMENTS(first); i++)
		grant(f, ENTRY_1, first[i]);
	ru_grant(f->runner, ENTRY_1, &s);
	assert_int_equal(0, f->nends);
	s.key.task = 1;
	ru_grant(f->runner, ENTRY_1, &s);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_RETURNED, f->ends[0].state);
	pass(f, 100, ENTRY_1);
	assert_int_equal(1, f->nends);
	pass(f, 10, ENTRY_1);
	assert_int_equal(2, f->nends);
	assert_int_equal(PD_END_RETURNED, f->ends[1].state);
	assert_int_equal(0, f->ends[1].key.task);
	/* A grant without a queue limit stays queued. */
	s.queue_max = UINT32_MAX;
	ru_grant(f->runner, ENTRY_1, &s);
	pass(f, 100, ENTRY_1);
	assert_int_equal(2, f->nends);
}

/* Guards against starving a late task while others keep arriving. */
static void
test_late_task_not_starved(void **state)
{
	static const char *const first[] = {"1", "2", "3", "4"};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(first); i++) {
		grant(f, ENTRY_1, first[i]);
		answer_start(f, first[i], RU_STARTED);
	}
	grant_task(f, ENTRY_1, "late", 1, -150, 0);
	pass(f, 60, ENTRY_1);
	grant_task(f, ENTRY_1, "urgent", 1, 10, 0);
	report_run_end(f, "1", 1, RU_DONE);
	assert_string_equal("late", f->orders[4].id);
}

/* Guards against two runs of a task at one endpoint: the client has submitted
 * the job to a second entry while the run of the first one is being stopped. */
static void
test_same_task_of_two_entries(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	ru_entry_gone(f->runner, ENTRY_1);
	grant(f, ENTRY_2, "a");
	assert_int_equal(2, f->norders);
	confirm_stop(f, "a");
	report_run_end(f, "a", 1, RU_STOPPED);
	assert_int_equal(3, f->norders);
	assert_false(f->orders[2].stop);
}

/* Guards against failing a start whose run number was used before, for an entry
 * that does not know of the earlier run. */
static void
test_used_run_number(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_OLD_RUN);
	assert_int_equal(2, f->norders);
	assert_int_equal(2, f->orders[1].run);
}

/* Guards against ordering a start again and again before the clock of the
 * endpoint has been read. */
static void
test_late_start_repeated_at_once(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_TOO_LATE);
	assert_int_equal(1, f->norders);
	pass(f, 30, ENTRY_1);
	assert_int_equal(2, f->norders);
	assert_false(f->orders[1].stop);
}

/* Guards against a shutdown of the agent that stops runs or keeps queued
 * tasks. */
static void
test_drain(void **state)
{
	static const char *const ids[] = {"a", "b", "c", "d", "e"};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		grant(f, ENTRY_1, ids[i]);
	ru_drain(f->runner);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_RETURNED, f->ends[0].state);
	assert_string_equal("e", f->end_ids[0]);
	assert_int_equal(4, ru_load(f->runner).active);
	grant(f, ENTRY_1, "f");
	assert_int_equal(2, f->nends);
	assert_int_equal(PD_END_RETURNED, f->ends[1].state);
	assert_int_not_equal(0, ru_renew_lease(f->runner));
}

/* Guards against starting tasks at an endpoint that is leaving. */
static void
test_endpoint_leaves(void **state)
{
	static const char *const ids[] = {"a", "b", "c", "d", "e"};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ids); i++)
		grant(f, ENTRY_1, ids[i]);
	ru_update_endpoint(f->runner, 1, ENDPOINT_CPU, 1000, false);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_RETURNED, f->ends[0].state);
	grant(f, ENTRY_1, "f");
	assert_int_equal(4, f->norders);
}

static void
restart_endpoint(struct fixture *f)
{
	f->incarnation = 2;
	answer_empty_poll(f);
	ru_update_endpoint(f->runner, 2, ENDPOINT_CPU, 1000, true);
}

/* Guards against two runs of a task whose endpoint was replaced by another
 * process while the earlier one finished its runs, against keeping its tasks
 * longer than the lease, and against a worker that stays unused after that. */
static void
test_runs_lost_before_lease_after_restart(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	restart_endpoint(f);
	assert_false(ru_load(f->runner).reported.accepting);
	assert_int_equal(0, ru_renew_lease(f->runner));
	grant(f, ENTRY_1, "b");
	assert_int_equal(1, f->norders);
	assert_int_equal(1, f->nends);
	assert_string_equal("b", f->end_ids[0]);
	assert_int_equal(PD_END_RETURNED, f->ends[0].state);
	pass(f, LE_RUN_MS, ENTRY_1);
	answer_empty_poll(f);
	assert_int_equal(1, f->nends);
	pass(f, 80, ENTRY_1);
	assert_int_equal(2, f->nends);
	assert_int_equal(PD_END_LOST, f->ends[1].state);
	assert_true(ru_load(f->runner).reported.accepting);
	grant(f, ENTRY_1, "c");
	assert_int_equal(2, f->norders);
}

/* Guards against pausing an endpoint that had no runs when it restarted. */
static void
test_idle_endpoint_restarts(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	report_run_end(f, "a", 1, RU_DONE);
	restart_endpoint(f);
	grant(f, ENTRY_1, "b");
	assert_int_equal(2, f->norders);
}

/* Guards against a new agent process that takes the runs of its predecessor for
 * ended because the endpoint has restarted and lists none. */
static void
test_runs_of_predecessor_after_restart(void **state)
{
	struct ru_run_info old = {.id = "old", .run = 3};
	struct fixture *f = *state;

	ru_free(f->runner);
	f->runner = ru_new(f->clock, f->counters, &ops, f);
	answer_poll(f, ck_mono_ms(f->clock), &old, 1, NULL, 0);
	restart_endpoint(f);
	answer_empty_poll(f);
	assert_false(ru_load(f->runner).old_runs_ended);
	pass(f, LE_RUN_MS + 80, 0);
	assert_true(ru_load(f->runner).old_runs_ended);
}

/* Guards against two runs of a task whose start went to a new process of the
 * endpoint that the agent did not know yet: it is stopped there, and ends only
 * when that process no longer lists it. */
static void
test_start_at_new_process(void **state)
{
	struct ru_run_info a = {.id = "a", .run = 1};
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	f->incarnation = 2;
	answer_poll(f, ck_mono_ms(f->clock), &a, 1, NULL, 0);
	assert_int_equal(2, f->norders);
	assert_true(f->orders[1].stop);
	pass(f, LE_RUN_MS + 80, ENTRY_1);
	assert_int_equal(0, f->nends);
	confirm_stop(f, "a");
	pass(f, 10, ENTRY_1);
	answer_empty_poll(f);
	assert_int_equal(1, f->nends);
	assert_int_equal(PD_END_LOST, f->ends[0].state);
}

/* Guards against two runs of a task because a new process of the endpoint lists
 * the stop of a run that it never had. */
static void
test_stop_listed_by_new_process(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	answer_start(f, "a", RU_STARTED);
	ru_entry_gone(f->runner, ENTRY_1);
	confirm_stop(f, "a");
	f->incarnation = 2;
	report_run_end(f, "a", 1, RU_STOPPED);
	pass(f, 10, 0);
	answer_empty_poll(f);
	assert_int_equal(0, f->nends);
	pass(f, LE_RUN_MS + 80, 0);
	assert_int_equal(1, f->nends);
}

/* Guards against two runs of a task whose endpoint has deregistered and goes on
 * to run it, and against starting tasks there. */
static void
test_runs_of_deregistered_endpoint(void **state)
{
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	grant(f, ENTRY_1, "b");
	answer_start(f, "a", RU_STARTED);
	answer_start(f, "b", RU_STARTED);
	ru_endpoint_gone(f->runner);
	assert_int_equal(0, f->nends);
	assert_false(ru_load(f->runner).reported.accepting);
	report_run_end(f, "a", 1, RU_DONE);
	assert_int_equal(PD_END_DONE, f->ends[0].state);
	assert_int_equal(1, f->nends);
	ru_connection_refused(f->runner);
	pass(f, LE_RUN_MS, ENTRY_1);
	assert_int_equal(1, f->nends);
	pass(f, 80, ENTRY_1);
	assert_int_equal(2, f->nends);
	assert_int_equal(PD_END_LOST, f->ends[1].state);
}

/* Guards against runs that go on after their expiry or beyond their run time
 * limit. */
static void
test_expiry_and_limit(void **state)
{
	struct ru_run_info a = {.id = "a", .run = 1};
	struct ru_run_info b = {.id = "b", .run = 1, .outcome = RU_STOPPED};
	struct fixture *f = *state;

	grant(f, ENTRY_1, "a");
	grant_task(f, ENTRY_1, "b", 1, 100, 300);
	answer_start(f, "a", RU_STARTED);
	answer_start(f, "b", RU_STARTED);
	pass(f, 300, ENTRY_1);
	assert_int_equal(2, f->norders);
	pass(f, 10, ENTRY_1);
	assert_int_equal(3, f->norders);
	assert_string_equal("b", f->orders[2].id);
	confirm_stop(f, "b");
	answer_poll(f, ck_mono_ms(f->clock), &a, 1, &b, 1);
	assert_int_equal(PD_END_STOPPED, f->ends[0].state);
	pass(f, 1200, ENTRY_1);
	assert_string_equal("a", f->orders[f->norders - 1].id);
	assert_true(f->orders[f->norders - 1].stop);
}

static void
run_task(
    struct fixture *f, uint64_t entry, const char *id, enum ru_outcome outcome)
{
	grant(f, entry, id);
	answer_start(f, id, RU_STARTED);
	pass(f, 2 * TASK_SIZE_MS, entry);
	report_run_end(f, id, 1, outcome);
}

/* Guards against many entries that each learn the speed of a worker from the
 * few tasks that they grant there. */
static void
test_learns_from_all_entries(void **state)
{
	struct fixture *f = *state;
	struct pd_speed speed;

	assert_int_equal(0, ru_load(f->runner).reported.speed.samples);
	run_task(f, ENTRY_1, "a", RU_DONE);
	ru_entry_contact(f->runner, ENTRY_2, ck_mono_ms(f->clock));
	run_task(f, ENTRY_2, "b", RU_DONE);
	speed = ru_load(f->runner).reported.speed;
	assert_int_equal(2, speed.samples);
	assert_int_equal(2000, speed.ratio_permille);
	assert_int_equal(2 * TASK_SIZE_MS, speed.mean_ms);
}

/* Guards against a worker that fails all tasks and must fail some of each entry
 * before all of them avoid it, and against probes from each entry. */
static void
test_failing_endpoint(void **state)
{
	struct fixture *f = *state;

	run_task(f, ENTRY_1, "a", RU_FAILED);
	run_task(f, ENTRY_1, "a", RU_FAILED);
	run_task(f, ENTRY_1, "a", RU_FAILED);
	assert_false(ru_load(f->runner).reported.speed.ejected);
	run_task(f, ENTRY_1, "b", RU_FAILED);
	ru_entry_contact(f->runner, ENTRY_2, ck_mono_ms(f->clock));
	run_task(f, ENTRY_2, "c", RU_FAILED);
	assert_true(ru_load(f->runner).reported.speed.ejected);
	assert_int_equal(5, f->nends);
	grant(f, ENTRY_1, "d");
	assert_int_equal(6, f->nends);
	assert_int_equal(PD_END_RETURNED, f->ends[5].state);
	pass(f, WH_PROBE_INTERVAL_MS, ENTRY_1);
	grant(f, ENTRY_1, "e");
	grant(f, ENTRY_1, "f");
	assert_int_equal(7, f->nends);
	assert_string_equal("f", f->end_ids[6]);
	answer_start(f, "e", RU_STARTED);
	report_run_end(f, "e", 1, RU_DONE);
	assert_false(ru_load(f->runner).reported.speed.ejected);
}

int
main(void)
{
#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    T(test_list_older_than_start),
	    T(test_partial_list),
	    T(test_lost_contact_stops_runs),
	    T(test_lease_renewed_after_lost_contact),
	    T(test_lease_renewed_beside_unconfirmed_stop),
	    T(test_entry_gone_stops_runs),
	    T(test_unanswered_start),
	    T(test_unanswered_start_runs),
	    T(test_silent_endpoint),
	    T(test_refusing_endpoint),
	    T(test_runs_of_predecessor),
	    T(test_capacity),
	    T(test_urgent_first),
	    T(test_priority_first),
	    T(test_return_queued),
	    T(test_late_task_not_starved),
	    T(test_same_task_of_two_entries),
	    T(test_used_run_number),
	    T(test_late_start_repeated_at_once),
	    T(test_drain),
	    T(test_endpoint_leaves),
	    T(test_runs_lost_before_lease_after_restart),
	    T(test_idle_endpoint_restarts),
	    T(test_runs_of_predecessor_after_restart),
	    T(test_start_at_new_process),
	    T(test_stop_listed_by_new_process),
	    T(test_runs_of_deregistered_endpoint),
	    T(test_expiry_and_limit),
	    T(test_learns_from_all_entries),
	    T(test_failing_endpoint),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
