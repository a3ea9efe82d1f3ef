#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "clock.h"
#include "config.h"
#include "counters.h"
#include "fleet.h"
#include "jobs.h"
#include "lease.h"

/* Tests the jobs of an entry on a manual clock; the tests send the reports of
 * the agents. */

#define START_MS 100000
/* A new entry waits for its agents for a second. */
#define WARM_UP_MS 2000
#define RECORDS_MAX 128
#define TASK_CPU 6000
#define WORKER_CPU 64000
#define TARGET_MS 60
#define TIMEOUT_MS 1500

struct fixture {
	struct ck *clock;
	struct ct *counters;
	struct cf *config;
	struct fl *fleet;
	struct jb *jobs;
	struct pd_key starts[RECORDS_MAX];
	unsigned run_limits[RECORDS_MAX];
	struct fl_worker *start_workers[RECORDS_MAX];
	unsigned nstarts;
	unsigned nwithdrawn;
	unsigned nreconciled;
	struct jb_answer answers[RECORDS_MAX];
	uint64_t waiters[RECORDS_MAX];
	unsigned nanswers;
	char ids[RECORDS_MAX][32];
	unsigned priority; /* of the jobs that are submitted */
};

static void
on_start(void *arg, struct fl_worker *w, const struct pd_start *s)
{
	struct fixture *f = arg;

	f->starts[f->nstarts] = s->key;
	g_strlcpy(f->ids[f->nstarts], s->key.sub.id, sizeof(f->ids[0]));
	f->starts[f->nstarts].sub.id = f->ids[f->nstarts];
	f->run_limits[f->nstarts] = s->limit_ms;
	f->start_workers[f->nstarts++] = w;
}

static void
on_withdraw(void *arg, struct fl_worker *w, const struct pd_key *k)
{
	struct fixture *f = arg;

	(void)w;
	(void)k;
	f->nwithdrawn++;
}

static void
on_reconcile(
    void *arg, struct fl_worker *w, const struct pd_key *keys, unsigned n)
{
	struct fixture *f = arg;

	(void)w;
	(void)keys;
	f->nreconciled += n;
}

static void
on_answer(void *arg, uint64_t waiter, const struct jb_answer *a)
{
	struct fixture *f = arg;

	f->waiters[f->nanswers] = waiter;
	f->answers[f->nanswers++] = *a;
}

static void
on_ended(void *arg, const struct jb_answer *a)
{
	(void)arg;
	(void)a;
}

static const struct jb_ops ops = {
    on_start, on_withdraw, on_reconcile, on_answer, on_ended};

/* Passes the warm-up time, in which an entry does not refuse jobs for lack of
 * workers. */
static void
warm_up(struct fixture *f)
{
	unsigned i;

	for (i = 0; i < WARM_UP_MS; i += 100) {
		ck_advance_ms(f->clock, 100);
		jb_tick(f->jobs);
	}
}

static int
set_up(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->clock = ck_new_manual(START_MS, START_MS);
	f->counters = ct_new();
	f->config = cf_new();
	f->fleet = fl_new(f->clock, f->counters, f->config, 1);
	f->jobs = jb_new(f->clock, f->counters, f->fleet, &ops, f);
	warm_up(f);
	*state = f;
	return (0);
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;

	jb_free(f->jobs);
	fl_free(f->fleet);
	cf_free(f->config);
	ct_free(f->counters);
	ck_free(f->clock);
	g_free(f);
	return (0);
}

static struct fl_worker *
attach_agent(struct fixture *f, const char *name, const char *az,
    uint64_t session, uint64_t incarnation, unsigned used)
{
	struct pd_attach a = {.cell = (char *)(uintptr_t) "c",
	    .name = (char *)(uintptr_t)name,
	    .az = (char *)(uintptr_t)az,
	    .service = (char *)(uintptr_t) "desk",
	    .incarnation = incarnation,
	    .cpu = WORKER_CPU,
	    .mem_mb = 1000,
	    .load.cpu_used = used,
	    .load.accepting = true,
	    .clock_ms = ck_mono_ms(f->clock)};
	bool restarted;
	struct fl_worker *w;

	w = fl_attach(f->fleet, &a, session, &restarted);
	jb_attached(f->jobs, w, restarted);
	return (w);
}

static struct fl_worker *
attach(struct fixture *f, const char *name, uint64_t session)
{
	return (attach_agent(f, name, "z1", session, session, 0));
}

static void
submit_job(struct fixture *f, const char *id, uint64_t waiter, unsigned count,
    unsigned size_ms, unsigned steps)
{
	static const char *const names[] = {"q", "q1", "q2", "q3"};
	struct pd_queue q = {.name = (char *)(uintptr_t)names[f->priority],
	    .service = (char *)(uintptr_t) "desk",
	    .timeout_ms = TIMEOUT_MS,
	    .target_ms = TARGET_MS,
	    .priority = f->priority,
	    .attempts = 2,
	    .stretch_permille = 1600};
	struct jb_step s[2] = {
	    {.count = count, .cpu = TASK_CPU, .size_ms = size_ms, .label = ""},
	    {.count = count,
		.cpu = TASK_CPU,
		.size_ms = size_ms,
		.label = "",
		.nafter = 1},
	};
	struct jb_request r = {.id = id,
	    .queue = &q,
	    .deadline_ms = TIMEOUT_MS,
	    .steps = s,
	    .nsteps = steps,
	    .body = "b",
	    .body_len = 1};

	jb_submit(f->jobs, &r, waiter);
}

static void
submit(struct fixture *f, const char *id, unsigned count)
{
	submit_job(f, id, 7, count, 100, 1);
}

static void
report_end(struct fixture *f, unsigned start, enum pd_end_state state)
{
	struct pd_end e = {
	    .key = f->starts[start], .state = state, .run_ms = 100};
	struct pd_ended report = {
	    .load.cpu_used = f->start_workers[start]->cpu_own,
	    .load.accepting = true,
	    .list = {.list_len = 1, .list_val = &e}};

	jb_grants_ended(f->jobs, f->start_workers[start], &report);
}

/* Guards against an answer before every task is done. */
static void
test_complete(void **state)
{
	struct fixture *f = *state;

	attach(f, "w1", 1);
	submit(f, "a", 3);
	assert_int_equal(3, f->nstarts);
	report_end(f, 0, PD_END_DONE);
	report_end(f, 2, PD_END_DONE);
	report_end(f, 2, PD_END_DONE);
	assert_int_equal(0, f->nanswers);
	report_end(f, 1, PD_END_DONE);
	assert_int_equal(1, f->nanswers);
	assert_int_equal(JB_COMPLETED, f->answers[0].status);
	assert_int_equal(7, f->waiters[0]);
	assert_int_equal(0, jb_active_count(f->jobs));
}

/* Guards against running a job again whose client lost the answer. */
static void
test_answer_lost(void **state)
{
	struct fixture *f = *state;

	attach(f, "w1", 1);
	submit(f, "a", 1);
	report_end(f, 0, PD_END_DONE);
	warm_up(f);
	attach(f, "w1", 1);
	submit_job(f, "a", 8, 1, 100, 1);
	assert_int_equal(1, f->nstarts);
	assert_int_equal(2, f->nanswers);
	assert_int_equal(JB_COMPLETED, f->answers[1].status);
	assert_int_equal(8, f->waiters[1]);
	/* One that has not run may run now. */
	fl_detach(f->fleet, 1);
	submit(f, "b", 1);
	assert_int_equal(JB_REFUSED, f->answers[2].status);
	attach(f, "w1", 1);
	submit(f, "b", 1);
	assert_int_equal(2, f->nstarts);
}

/* Guards against a step that starts before the step it depends on is done. */
static void
test_steps(void **state)
{
	struct fixture *f = *state;

	attach(f, "w1", 1);
	submit_job(f, "a", 7, 2, 50, 2);
	assert_int_equal(2, f->nstarts);
	report_end(f, 0, PD_END_DONE);
	assert_int_equal(2, f->nstarts);
	report_end(f, 1, PD_END_DONE);
	assert_int_equal(4, f->nstarts);
}

/* Guards against starting tasks of a refused job, and against holding a job
 * that cannot be served instead of refusing it at once. */
static void
test_refuse_at_once(void **state)
{
	struct fixture *f = *state;

	submit(f, "a", 1);
	assert_int_equal(1, f->nanswers);
	assert_int_equal(JB_REFUSED, f->answers[0].status);
	assert_int_equal(0, f->nstarts);
	/* The only worker has a backlog of many seconds. */
	attach_agent(f, "w1", "z1", 1, 1, WORKER_CPU * 20);
	submit(f, "b", 1);
	assert_int_equal(JB_REFUSED, f->answers[1].status);
	assert_int_equal(JB_R_OVERLOAD, f->answers[1].reason);
	assert_true(f->answers[1].retry_ms > 0);
	assert_int_equal(0, f->nstarts);
}

/* Reports runs on a worker until its run ratio is learned. */
static void
set_run_ratio(struct fixture *f, struct fl_worker *w, double ratio)
{
	unsigned i;

	for (i = 0; i < 200; i++)
		fl_task_done(f->fleet, w, 100, 100 * ratio);
}

/* Guards against queueing short tasks at a fast worker, where they delay long
 * ones, while a slow worker is free. */
static void
test_spare_fast_worker(void **state)
{
	struct fixture *f = *state;
	struct fl_worker *fast, *slow;

	fast = attach(f, "fast", 1);
	slow = attach(f, "slow", 2);
	set_run_ratio(f, fast, 0.5);
	set_run_ratio(f, slow, 1.2);
	/* The fast worker is full and has a queue. */
	attach_agent(f, "fast", "z1", 1, 1, WORKER_CPU + WORKER_CPU / 2);
	submit_job(f, "a", 7, 1, 100, 1);
	assert_int_equal(1, f->nstarts);
	assert_ptr_equal(slow, f->start_workers[0]);
	/* Waiting pays off if the task takes much longer on the slow worker. */
	submit_job(f, "b", 7, 1, 1000, 1);
	assert_int_equal(2, f->nstarts);
	assert_ptr_equal(fast, f->start_workers[1]);
	/* A slow worker where the task would be late does not lead to a refusal
	 * if the fast one ends it in time. */
	set_run_ratio(f, slow, 2.2);
	submit_job(f, "c", 7, 1, 100, 1);
	assert_int_equal(3, f->nstarts);
	assert_ptr_equal(fast, f->start_workers[2]);
}

/* Sends a report without ended tasks. */
static void
report_speed(struct fixture *f, struct fl_worker *w, struct pd_speed speed)
{
	struct pd_ended report = {.load.accepting = true, .load.speed = speed};

	jb_grants_ended(f->jobs, w, &report);
}

/* Guards against long tasks on slow workers while the entry, which has just
 * started or has few tasks, has not learned their speed by itself. */
static void
test_speed_from_agent(void **state)
{
	struct fixture *f = *state;
	struct fl_worker *fast, *slow;

	slow = attach(f, "slow", 1);
	fast = attach(f, "fast", 2);
	report_speed(f, slow, (struct pd_speed){20, 2000, 300, false});
	report_speed(f, fast, (struct pd_speed){20, 500, 75, false});
	submit_job(f, "a", 7, 1, 1000, 1);
	assert_int_equal(1, f->nstarts);
	assert_ptr_equal(fast, f->start_workers[0]);
	/* A new process of the agent has learned nothing yet. */
	report_speed(f, fast, (struct pd_speed){0});
	submit_job(f, "b", 7, 1, 1000, 1);
	assert_int_equal(2, f->nstarts);
	assert_ptr_equal(fast, f->start_workers[1]);
}

/* Guards against a worker that keeps attracting tasks with a wrong report of
 * its speed. */
static void
test_wrong_speed_from_agent(void **state)
{
	struct pd_speed wrong = {1000, 100, 10, false};
	struct fixture *f = *state;
	struct fl_worker *w, *other;
	unsigned i;

	w = attach(f, "w", 1);
	other = attach(f, "other", 2);
	report_speed(f, w, wrong);
	submit_job(f, "a", 7, 1, 500, 1);
	assert_ptr_equal(w, f->start_workers[0]);
	for (i = 0; i < 5; i++)
		fl_task_done(f->fleet, w, 100, 300);
	report_speed(f, w, wrong);
	submit_job(f, "b", 7, 1, 500, 1);
	assert_int_equal(2, f->nstarts);
	assert_ptr_equal(other, f->start_workers[1]);
}

/* Guards against tasks that an entry loses on a worker that has failed those of
 * other entries, and against a worker that is never tried again. */
static void
test_ejected_by_agent(void **state)
{
	struct pd_speed failing = {20, 1000, 100, true};
	struct fixture *f = *state;
	struct fl_worker *w;

	w = attach(f, "w", 1);
	report_speed(f, w, failing);
	submit(f, "a", 1);
	assert_int_equal(JB_REFUSED, f->answers[0].status);
	ck_advance_ms(f->clock, WH_PROBE_INTERVAL_MS);
	report_speed(f, w, failing);
	submit(f, "b", 1);
	submit(f, "c", 1);
	assert_int_equal(1, f->nstarts);
	failing.ejected = false;
	report_speed(f, w, failing);
	submit(f, "d", 1);
	assert_int_equal(2, f->nstarts);
}

/* Guards against a choice among a few workers only because most of those that
 * the entry has seen are not connected any more. */
static void
test_disconnected_not_sampled(void **state)
{
	struct fixture *f = *state;
	struct fl_worker *fast;
	char name[16];
	unsigned i;

	for (i = 1; i <= 200; i++) {
		g_snprintf(name, sizeof(name), "w%u", i);
		attach(f, name, i);
		if (i > 10)
			fl_detach(f->fleet, i);
	}
	fast = attach(f, "w7", 7);
	set_run_ratio(f, fast, 0.1);
	for (i = 0; i < 10; i++) {
		g_snprintf(name, sizeof(name), "job%u", i);
		submit_job(f, name, 7, 1, 400, 1);
		assert_int_equal(i + 1, f->nstarts);
		assert_ptr_equal(fast, f->start_workers[i]);
	}
}

/* Guards against a task that waits at a full worker though its entry expected
 * it to start at once; one that is expected to wait may wait. */
static void
test_queue_limit(void **state)
{
	struct pd_ended queue_of_one = {
	    .load = {.cpu_used = WORKER_CPU - TASK_CPU / 2, .accepting = true}};
	struct fixture *f = *state;
	struct fl_worker *w;

	w = attach_agent(f, "w", "z1", 1, 1, WORKER_CPU - TASK_CPU);
	assert_int_equal(0, fl_queue_limit(w, TASK_CPU, 0));
	w = attach_agent(f, "w", "z1", 1, 1, WORKER_CPU - TASK_CPU / 2);
	assert_int_equal(TASK_CPU, fl_queue_limit(w, TASK_CPU, 0));
	/* A task waits although some CPU is free, which is too little for it.
	 */
	queue_of_one.load.cpu_queued[0] = TASK_CPU;
	jb_grants_ended(f->jobs, w, &queue_of_one);
	assert_int_equal(2 * TASK_CPU, fl_queue_limit(w, TASK_CPU, 0));
}

/* Guards against an entry that refuses all jobs after a very short task. Its
 * run time consists of message delays and must not count as the speed of the
 * worker (seen in proc_dispatch beside eleven busy processes). */
static void
test_short_task_not_learned(void **state)
{
	struct fixture *f = *state;
	struct fl_worker *w;

	w = attach(f, "w1", 1);
	fl_task_done(f->fleet, w, 1, 20);
	submit(f, "a", 1);
	assert_int_equal(1, f->nstarts);
}

/* Guards against refusing all jobs just after the start of an entry, whose
 * agents connect within a second (was: 503 for 100 ms after each power
 * loss). */
static void
test_wait_for_agents(void **state)
{
	struct fixture *f = *state;

	fl_free(f->fleet);
	jb_free(f->jobs);
	f->fleet = fl_new(f->clock, f->counters, f->config, 1);
	f->jobs = jb_new(f->clock, f->counters, f->fleet, &ops, f);
	submit(f, "a", 1);
	assert_int_equal(0, f->nanswers);
	ck_advance_ms(f->clock, 100);
	attach(f, "w1", 1);
	jb_tick(f->jobs);
	assert_int_equal(1, f->nstarts);
	report_end(f, 0, PD_END_DONE);
	assert_int_equal(JB_COMPLETED, f->answers[0].status);
}

/* Guards against refusals just after an entry was frozen. It has received no
 * heartbeats for seconds, though all its agents are alive. */
static void
test_wait_after_freeze(void **state)
{
	struct fixture *f = *state;
	unsigned i;

	attach(f, "w1", 1);
	jb_tick(f->jobs);
	ck_advance_ms(f->clock, 3000);
	submit(f, "a", 1);
	assert_int_equal(0, f->nanswers);
	attach(f, "w1", 1);
	jb_tick(f->jobs);
	assert_int_equal(1, f->nstarts);
	/* Without a pause of the entry, silent agents lead to a refusal. */
	for (i = 0; i < 12; i++) {
		ck_advance_ms(f->clock, 100);
		jb_tick(f->jobs);
	}
	submit(f, "b", 1);
	assert_int_equal(1, f->nanswers);
	assert_int_equal(JB_REFUSED, f->answers[0].status);
}

/* Guards against a second attempt on the worker where the first one failed, and
 * against more attempts than the queue allows. */
static void
test_retry_on_other_worker(void **state)
{
	struct fixture *f = *state;

	attach(f, "w1", 1);
	attach(f, "w2", 2);
	submit(f, "a", 1);
	report_end(f, 0, PD_END_FAILED);
	assert_int_equal(2, f->nstarts);
	assert_ptr_not_equal(f->start_workers[0], f->start_workers[1]);
	report_end(f, 1, PD_END_FAILED);
	assert_int_equal(2, f->nstarts);
	assert_int_equal(JB_FAILED, f->answers[0].status);
}

/* Guards against a late report of an earlier attempt that ends the current
 * one. */
static void
test_stale_report(void **state)
{
	struct fixture *f = *state;

	attach(f, "w1", 1);
	submit(f, "a", 1);
	report_end(f, 0, PD_END_LOST);
	assert_int_equal(2, f->nstarts);
	report_end(f, 0, PD_END_DONE);
	assert_int_equal(0, f->nanswers);
	report_end(f, 1, PD_END_DONE);
	assert_int_equal(JB_COMPLETED, f->answers[0].status);
}

/* Guards against a second run of a task while the first may still go on at an
 * unreachable agent, and against waiting if the agent has restarted. */
static void
test_lost_agent(void **state)
{
	const unsigned safe_ms = LE_CONTACT_MS + LE_RUN_MS;
	struct fixture *f = *state;
	struct fl_worker *w;
	unsigned i;

	w = attach(f, "w1", 1);
	submit(f, "a", 1);
	fl_detach(f->fleet, 1);
	jb_detached(f->jobs, w);
	attach(f, "w2", 2);
	for (i = 0; i < safe_ms; i += 10) {
		ck_advance_ms(f->clock, 10);
		attach(f, "w2", 2);
		jb_tick(f->jobs);
		assert_int_equal(1, f->nstarts);
	}
	for (i = 0; i < 50; i += 10) {
		ck_advance_ms(f->clock, 10);
		attach(f, "w2", 2);
		jb_tick(f->jobs);
	}
	assert_int_equal(2, f->nstarts);
	/* No run of the previous agent process goes on, so the task starts at
	 * once. */
	attach_agent(f, "w2", "z1", 3, 99, 0);
	assert_int_equal(3, f->nstarts);
}

/* Guards against a caller that waits until its deadline although its job was
 * lost with a host and cannot run again in time. */
static void
test_lost_host_answered_early(void **state)
{
	const unsigned reconnect_ms = 300;
	struct fixture *f = *state;
	struct fl_worker *w;
	unsigned i;

	w = attach(f, "w1", 1);
	submit_job(f, "a", 7, 1, 500, 1);
	ck_advance_ms(f->clock, 100);
	fl_detach(f->fleet, 1);
	jb_detached(f->jobs, w);
	for (i = 0; i < reconnect_ms; i += 20) {
		ck_advance_ms(f->clock, 20);
		attach(f, "w2", 2);
		jb_tick(f->jobs);
		assert_int_equal(0, f->nanswers);
	}
	for (i = 0; i < 60; i += 20) {
		ck_advance_ms(f->clock, 20);
		attach(f, "w2", 2);
		jb_tick(f->jobs);
	}
	assert_int_equal(1, f->nanswers);
	assert_int_equal(JB_GAVE_UP, f->answers[0].status);
	assert_int_equal(1, f->nstarts);
}

/* Guards against refusing an urgent job because of queued tasks that are less
 * urgent, and against less urgent jobs that fill the queues up to their longer
 * deadlines. */
static void
test_refuse_for_urgent(void **state)
{
	struct pd_ended report = {
	    .load = {.cpu_used = WORKER_CPU, .accepting = true}};
	struct fixture *f = *state;
	struct fl_worker *w;

	w = attach(f, "w1", 1);
	set_run_ratio(f, w, 1);
	/* A backlog of less urgent tasks. */
	report.load.cpu_queued[2] = WORKER_CPU * 3;
	jb_grants_ended(f->jobs, w, &report);
	f->priority = 1;
	submit_job(f, "urgent", 1, 1, 60, 1);
	assert_int_equal(1, f->nstarts);
	assert_int_equal(0, f->nanswers);
	/* This job could wait for the whole backlog, but would delay urgent
	 * ones. */
	f->priority = 3;
	submit_job(f, "patient", 2, 1, 900, 1);
	assert_int_equal(1, f->nstarts);
	assert_int_equal(JB_REFUSED, f->answers[0].status);
	assert_int_equal(JB_R_OVERLOAD, f->answers[0].reason);
	/* It is accepted when no urgent job has arrived for a while. */
	ck_advance_ms(f->clock, 2500);
	attach(f, "w1", 1);
	jb_tick(f->jobs);
	jb_grants_ended(f->jobs, w, &report);
	submit_job(f, "patient again", 3, 1, 900, 1);
	assert_int_equal(2, f->nstarts);
}

/* Guards against dropping runs because a connection was reset. */
static void
test_reconnect(void **state)
{
	struct pd_end active = {.state = PD_END_ACTIVE};
	struct pd_ended report = {.load.cpu_used = TASK_CPU,
	    .load.accepting = true,
	    .list = {.list_len = 1}};
	struct fixture *f = *state;
	struct fl_worker *w;

	w = attach(f, "w1", 1);
	submit(f, "a", 1);
	fl_detach(f->fleet, 1);
	jb_detached(f->jobs, w);
	attach_agent(f, "w1", "z1", 2, 1, TASK_CPU);
	assert_int_equal(1, f->nreconciled);
	active.key = f->starts[0];
	report.list.list_val = &active;
	jb_grants_ended(f->jobs, w, &report);
	report_end(f, 0, PD_END_DONE);
	assert_int_equal(1, f->nstarts);
	assert_int_equal(JB_COMPLETED, f->answers[0].status);
}

/* Guards against refusing, which means "not run", a job of which a task may
 * have started, and against an answer after the deadline. */
static void
test_give_up(void **state)
{
	struct fixture *f = *state;

	attach(f, "w1", 1);
	submit(f, "a", 1);
	ck_advance_ms(f->clock, TIMEOUT_MS);
	jb_tick(f->jobs);
	assert_int_equal(JB_GAVE_UP, f->answers[0].status);
	assert_int_equal(1, f->nwithdrawn);
	/* A task that the agent returns has not started. */
	attach(f, "w1", 1);
	submit(f, "b", 1);
	ck_advance_ms(f->clock, TIMEOUT_MS - 50);
	attach(f, "w1", 1);
	report_end(f, 1, PD_END_RETURNED);
	assert_int_equal(JB_REFUSED, f->answers[1].status);
	assert_int_equal(JB_R_DEADLINE, f->answers[1].reason);
}

/* Guards against running a job after its last client has disconnected, and
 * against stopping it while another client waits. */
static void
test_waiters(void **state)
{
	struct fixture *f = *state;

	attach(f, "w1", 1);
	submit_job(f, "a", 7, 1, 100, 1);
	submit_job(f, "a", 8, 1, 100, 1);
	assert_int_equal(1, f->nstarts);
	jb_remove_waiter(f->jobs, 7);
	assert_int_equal(0, f->nwithdrawn);
	jb_remove_waiter(f->jobs, 8);
	assert_int_equal(1, f->nwithdrawn);
	assert_int_equal(0, jb_active_count(f->jobs));
	submit(f, "b", 1);
	assert_true(jb_cancel(f->jobs, "b"));
	assert_int_equal(JB_CANCELLED, f->answers[0].status);
	assert_false(jb_cancel(f->jobs, "b"));
}

/* Guards against stopping a task at each attempt because it takes longer than
 * declared: when each run had a limit, one was stopped four times in a row. */
static void
test_long_task(void **state)
{
	struct fixture *f = *state;

	attach(f, "w1", 1);
	attach(f, "w2", 2);
	submit(f, "a", 1);
	assert_int_not_equal(0, f->run_limits[0]);
	report_end(f, 0, PD_END_STOPPED);
	assert_int_equal(2, f->nstarts);
	assert_int_equal(0, f->run_limits[1]);
}

/* Guards against starts in an evacuated availability zone. */
static void
test_evacuated(void **state)
{
	pd_name out[] = {(char *)(uintptr_t) "z1"};
	struct pd_config c = {.revision = 5,
	    .evacuated = {.evacuated_len = 1, .evacuated_val = out}};
	struct pd_config older = {.revision = 4};
	struct fixture *f = *state;

	attach_agent(f, "w1", "z1", 1, 1, 0);
	assert_true(cf_apply(f->config, &c));
	submit(f, "a", 1);
	assert_int_equal(JB_REFUSED, f->answers[0].status);
	/* An older configuration is not applied. */
	assert_false(cf_apply(f->config, &older));
	submit(f, "b", 1);
	assert_int_equal(JB_REFUSED, f->answers[1].status);
	attach_agent(f, "w2", "z2", 2, 2, 0);
	submit(f, "c", 1);
	assert_int_equal(1, f->nstarts);
	assert_string_equal("w2", f->start_workers[0]->name);
}

/* Guards against granting tasks to a worker that fails them all, and against
 * ejecting a worker because of one job that always fails. */
static void
test_failing_worker(void **state)
{
	struct fixture *f = *state;
	struct fl_worker *w;
	unsigned i;

	w = attach(f, "w1", 1);
	for (i = 0; i < 20; i++)
		fl_task_failed(f->fleet, w, 1);
	assert_false(w->own.ejected);
	for (i = 2; i <= WH_EJECT_FAILURES; i++)
		fl_task_failed(f->fleet, w, i);
	assert_true(w->own.ejected);
	submit(f, "a", 1);
	assert_int_equal(JB_REFUSED, f->answers[0].status);
	/* An ejected worker gets single probes until one succeeds. */
	ck_advance_ms(f->clock, 510);
	attach(f, "w1", 1);
	submit(f, "b", 1);
	submit(f, "c", 1);
	assert_int_equal(1, f->nstarts);
	report_end(f, 0, PD_END_DONE);
	assert_false(w->own.ejected);
	submit(f, "d", 1);
	assert_int_equal(2, f->nstarts);
}

/* Guards against filling one of two equal workers before the other is used,
 * which with many entries on old reports overfills it. */
static void
test_spread_equal_workers(void **state)
{
	struct fixture *f = *state;
	unsigned i, first = 0;

	attach(f, "w1", 1);
	attach(f, "w2", 2);
	submit(f, "a", 16);
	assert_int_equal(16, f->nstarts);
	for (i = 0; i < f->nstarts; i++)
		first += f->start_workers[i] == f->start_workers[0];
	assert_in_range(first, 6, 10);
}

int
main(void)
{
#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    T(test_complete),
	    T(test_answer_lost),
	    T(test_steps),
	    T(test_refuse_at_once),
	    T(test_spare_fast_worker),
	    T(test_short_task_not_learned),
	    T(test_speed_from_agent),
	    T(test_wrong_speed_from_agent),
	    T(test_ejected_by_agent),
	    T(test_queue_limit),
	    T(test_disconnected_not_sampled),
	    T(test_wait_for_agents),
	    T(test_wait_after_freeze),
	    T(test_retry_on_other_worker),
	    T(test_stale_report),
	    T(test_lost_agent),
	    T(test_lost_host_answered_early),
	    T(test_refuse_for_urgent),
	    T(test_reconnect),
	    T(test_give_up),
	    T(test_waiters),
	    T(test_long_task),
	    T(test_evacuated),
	    T(test_failing_worker),
	    T(test_spread_equal_workers),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
