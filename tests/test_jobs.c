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

/* The jobs of an entry on the paused clock, with workers that tests report
 * for. */

#define START_MS 100000
/* An entry that has just started waits for its agents for a second. */
#define SETTLED_MS 2000
#define RECORDS 128
#define CPU 6000
#define ROOM 64000
#define TARGET_MS 60
#define TIMEOUT_MS 1500

struct fix {
	struct ck *clock;
	struct ct *counters;
	struct cf *config;
	struct fl *fleet;
	struct jb *jobs;
	struct pd_key starts[RECORDS];
	unsigned limits[RECORDS];
	struct fl_worker *at[RECORDS];
	unsigned nstarts;
	unsigned nwithdrawn;
	unsigned nasked;
	struct jb_answer answers[RECORDS];
	uint64_t waiters[RECORDS];
	unsigned nanswers;
	char ids[RECORDS][32];
	unsigned priority; /* of the jobs that are submitted */
};

static void
on_start(void *arg, struct fl_worker *w, const struct pd_start *s)
{
	struct fix *f = arg;

	f->starts[f->nstarts] = s->key;
	g_strlcpy(f->ids[f->nstarts], s->key.sub.id, sizeof(f->ids[0]));
	f->starts[f->nstarts].sub.id = f->ids[f->nstarts];
	f->limits[f->nstarts] = s->limit_ms;
	f->at[f->nstarts++] = w;
}

static void
on_withdraw(void *arg, struct fl_worker *w, const struct pd_key *k)
{
	struct fix *f = arg;

	(void)w;
	(void)k;
	f->nwithdrawn++;
}

static void
on_reconcile(
    void *arg, struct fl_worker *w, const struct pd_key *keys, unsigned n)
{
	struct fix *f = arg;

	(void)w;
	(void)keys;
	f->nasked += n;
}

static void
on_answer(void *arg, uint64_t waiter, const struct jb_answer *a)
{
	struct fix *f = arg;

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

/* An entry waits for its agents at first, and after a gap. */
static void
settle(struct fix *f)
{
	unsigned i;

	for (i = 0; i < SETTLED_MS; i += 100) {
		ck_advance_ms(f->clock, 100);
		jb_tick(f->jobs);
	}
}

static int
set_up(void **state)
{
	struct fix *f = g_new0(struct fix, 1);

	f->clock = ck_new_manual(START_MS, START_MS);
	f->counters = ct_new();
	f->config = cf_new();
	f->fleet = fl_new(f->clock, f->counters, f->config, 1);
	f->jobs = jb_new(f->clock, f->counters, f->fleet, &ops, f);
	settle(f);
	*state = f;
	return (0);
}

static int
tear_down(void **state)
{
	struct fix *f = *state;

	jb_free(f->jobs);
	fl_free(f->fleet);
	cf_free(f->config);
	ct_free(f->counters);
	ck_free(f->clock);
	g_free(f);
	return (0);
}

static struct fl_worker *
attach_in(struct fix *f, const char *name, const char *az, uint64_t session,
    uint64_t incarnation, unsigned used)
{
	struct pd_attach a = {.cell = (char *)(uintptr_t) "c",
	    .name = (char *)(uintptr_t)name,
	    .az = (char *)(uintptr_t)az,
	    .service = (char *)(uintptr_t) "desk",
	    .incarnation = incarnation,
	    .cpu = ROOM,
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
attach(struct fix *f, const char *name, uint64_t session)
{
	return (attach_in(f, name, "z1", session, session, 0));
}

static void
submit_step(struct fix *f, const char *id, uint64_t waiter, unsigned count,
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
	    {.count = count, .cpu = CPU, .size_ms = size_ms, .label = ""},
	    {.count = count,
		.cpu = CPU,
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
submit(struct fix *f, const char *id, unsigned count)
{
	submit_step(f, id, 7, count, 100, 1);
}

static void
end(struct fix *f, unsigned start, enum pd_end_state state)
{
	struct pd_end e = {
	    .key = f->starts[start], .state = state, .run_ms = 100};
	struct pd_ended report = {.load.cpu_used = f->at[start]->cpu_own,
	    .load.accepting = true,
	    .list = {.list_len = 1, .list_val = &e}};

	jb_grants_ended(f->jobs, f->at[start], &report);
}

/* Guards against an answer that is given before every task is done. */
static void
test_complete(void **state)
{
	struct fix *f = *state;

	attach(f, "w1", 1);
	submit(f, "a", 3);
	assert_int_equal(3, f->nstarts);
	end(f, 0, PD_END_DONE);
	end(f, 2, PD_END_DONE);
	end(f, 2, PD_END_DONE);
	assert_int_equal(0, f->nanswers);
	end(f, 1, PD_END_DONE);
	assert_int_equal(1, f->nanswers);
	assert_int_equal(JB_COMPLETED, f->answers[0].status);
	assert_int_equal(7, f->waiters[0]);
	assert_int_equal(0, jb_active_count(f->jobs));
}

/* Guards against a step that starts before the one it waits for is done. */
static void
test_steps(void **state)
{
	struct fix *f = *state;

	attach(f, "w1", 1);
	submit_step(f, "a", 7, 2, 50, 2);
	assert_int_equal(2, f->nstarts);
	end(f, 0, PD_END_DONE);
	assert_int_equal(2, f->nstarts);
	end(f, 1, PD_END_DONE);
	assert_int_equal(4, f->nstarts);
}

/* Guards against a refusal of a job that an agent may have started, and against
 * a job that is held though it cannot be served. */
static void
test_refuse_at_once(void **state)
{
	struct fix *f = *state;

	submit(f, "a", 1);
	assert_int_equal(1, f->nanswers);
	assert_int_equal(JB_REFUSED, f->answers[0].status);
	assert_int_equal(0, f->nstarts);
	/* Load pattern: the only worker has a backlog of many seconds. */
	attach_in(f, "w1", "z1", 1, 1, ROOM * 20);
	submit(f, "b", 1);
	assert_int_equal(JB_REFUSED, f->answers[1].status);
	assert_int_equal(JB_R_OVERLOAD, f->answers[1].reason);
	assert_true(f->answers[1].retry_ms > 0);
	assert_int_equal(0, f->nstarts);
}

/* Reports a run of each worker, so that their speeds are known. */
static void
teach_speed(struct fix *f, struct fl_worker *w, double unit)
{
	unsigned i;

	for (i = 0; i < 200; i++)
		fl_task_done(f->fleet, w, 100, 100 * unit);
}

/* Guards against short tasks in the queue of a fast worker, where long ones
 * have to wait for them, while a slow worker has room. */
static void
test_spare_fast_worker(void **state)
{
	struct fix *f = *state;
	struct fl_worker *fast, *slow;

	fast = attach(f, "fast", 1);
	slow = attach(f, "slow", 2);
	teach_speed(f, fast, 0.5);
	teach_speed(f, slow, 1.2);
	/* Load pattern: the fast one is full, and somewhat more. */
	attach_in(f, "fast", "z1", 1, 1, ROOM + ROOM / 2);
	submit_step(f, "a", 7, 1, 100, 1);
	assert_int_equal(1, f->nstarts);
	assert_ptr_equal(slow, f->at[0]);
	/* It is worth the wait when the slow one would take much longer. */
	submit_step(f, "b", 7, 1, 1000, 1);
	assert_int_equal(2, f->nstarts);
	assert_ptr_equal(fast, f->at[1]);
	/* The slow one is no reason to refuse what the fast one does in time.
	 */
	teach_speed(f, slow, 2.2);
	submit_step(f, "c", 7, 1, 100, 1);
	assert_int_equal(3, f->nstarts);
	assert_ptr_equal(fast, f->at[2]);
}

/* Guards against an entry that refuses everything after a tiny task, whose run
 * time is that of the messages (proc_dispatch beside eleven busy processes). */
static void
test_tiny_task_teaches_nothing(void **state)
{
	struct fix *f = *state;
	struct fl_worker *w;

	w = attach(f, "w1", 1);
	fl_task_done(f->fleet, w, 1, 20);
	submit(f, "a", 1);
	assert_int_equal(1, f->nstarts);
}

/* Guards against the loss of all requests of the moment after a start: the
 * agents connect within a second (503 for 100 ms after each power loss). */
static void
test_wait_for_agents(void **state)
{
	struct fix *f = *state;

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
	end(f, 0, PD_END_DONE);
	assert_int_equal(JB_COMPLETED, f->answers[0].status);
}

/* Guards against refusals in the moment after an entry was frozen: it has not
 * heard its agents for seconds, though all of them are there. */
static void
test_wait_after_freeze(void **state)
{
	struct fix *f = *state;
	unsigned i;

	attach(f, "w1", 1);
	jb_tick(f->jobs);
	ck_advance_ms(f->clock, 3000);
	submit(f, "a", 1);
	assert_int_equal(0, f->nanswers);
	attach(f, "w1", 1);
	jb_tick(f->jobs);
	assert_int_equal(1, f->nstarts);
	/* While it runs, silent agents are a reason to refuse. */
	for (i = 0; i < 12; i++) {
		ck_advance_ms(f->clock, 100);
		jb_tick(f->jobs);
	}
	submit(f, "b", 1);
	assert_int_equal(1, f->nanswers);
	assert_int_equal(JB_REFUSED, f->answers[0].status);
}

/* Guards against a second attempt on the worker that has failed, and against
 * more attempts than the queue allows. */
static void
test_failures(void **state)
{
	struct fix *f = *state;

	attach(f, "w1", 1);
	attach(f, "w2", 2);
	submit(f, "a", 1);
	end(f, 0, PD_END_FAILED);
	assert_int_equal(2, f->nstarts);
	assert_ptr_not_equal(f->at[0], f->at[1]);
	end(f, 1, PD_END_FAILED);
	assert_int_equal(2, f->nstarts);
	assert_int_equal(JB_FAILED, f->answers[0].status);
}

/* Guards against a report of an earlier attempt that ends a later one. */
static void
test_stale_report(void **state)
{
	struct fix *f = *state;

	attach(f, "w1", 1);
	submit(f, "a", 1);
	end(f, 0, PD_END_LOST);
	assert_int_equal(2, f->nstarts);
	end(f, 0, PD_END_DONE);
	assert_int_equal(0, f->nanswers);
	end(f, 1, PD_END_DONE);
	assert_int_equal(JB_COMPLETED, f->answers[0].status);
}

/* Guards against a second run of a task while the first may still go on at an
 * agent that is out of reach, and against a wait when that cannot be. */
static void
test_lost_agent(void **state)
{
	const unsigned safe_ms = LE_CONTACT_MS + LE_RUN_MS;
	struct fix *f = *state;
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
	/* A new process of the agent has ended all runs of its predecessor. */
	attach_in(f, "w2", "z1", 3, 99, 0);
	assert_int_equal(3, f->nstarts);
}

/* Guards against a caller that waits until the deadline for a job that was lost
 * with the host of an agent and cannot be done again in time. */
static void
test_lost_host_told_early(void **state)
{
	const unsigned reconnect_ms = 300;
	struct fix *f = *state;
	struct fl_worker *w;
	unsigned i;

	w = attach(f, "w1", 1);
	submit_step(f, "a", 7, 1, 500, 1);
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

/* Guards against an urgent job that is refused for the sake of less urgent ones
 * that wait, and against patient ones that leave no room for it. */
static void
test_priorities(void **state)
{
	struct pd_ended report = {
	    .load = {.cpu_used = ROOM, .accepting = true}};
	struct fix *f = *state;
	struct fl_worker *w;

	w = attach(f, "w1", 1);
	teach_speed(f, w, 1);
	/* Load pattern: a backlog of less urgent work. */
	report.load.cpu_queued[2] = ROOM * 3;
	jb_grants_ended(f->jobs, w, &report);
	f->priority = 1;
	submit_step(f, "urgent", 1, 1, 60, 1);
	assert_int_equal(1, f->nstarts);
	assert_int_equal(0, f->nanswers);
	/* A patient job could wait for all of it, and must not. */
	f->priority = 3;
	submit_step(f, "patient", 2, 1, 900, 1);
	assert_int_equal(1, f->nstarts);
	assert_int_equal(JB_REFUSED, f->answers[0].status);
	assert_int_equal(JB_R_OVERLOAD, f->answers[0].reason);
	/* Without urgent jobs for a while it may. */
	ck_advance_ms(f->clock, 2500);
	attach(f, "w1", 1);
	jb_tick(f->jobs);
	jb_grants_ended(f->jobs, w, &report);
	submit_step(f, "patient again", 3, 1, 900, 1);
	assert_int_equal(2, f->nstarts);
}

/* Guards against runs that are thrown away because a connection was reset. */
static void
test_reconnect(void **state)
{
	struct pd_end active = {.state = PD_END_ACTIVE};
	struct pd_ended report = {.load.cpu_used = CPU,
	    .load.accepting = true,
	    .list = {.list_len = 1}};
	struct fix *f = *state;
	struct fl_worker *w;

	w = attach(f, "w1", 1);
	submit(f, "a", 1);
	fl_detach(f->fleet, 1);
	jb_detached(f->jobs, w);
	attach_in(f, "w1", "z1", 2, 1, CPU);
	assert_int_equal(1, f->nasked);
	active.key = f->starts[0];
	report.list.list_val = &active;
	jb_grants_ended(f->jobs, w, &report);
	end(f, 0, PD_END_DONE);
	assert_int_equal(1, f->nstarts);
	assert_int_equal(JB_COMPLETED, f->answers[0].status);
}

/* Guards against "not run" of a job of which a task may have started, and
 * against an answer that is held back. */
static void
test_give_up(void **state)
{
	struct fix *f = *state;

	attach(f, "w1", 1);
	submit(f, "a", 1);
	ck_advance_ms(f->clock, TIMEOUT_MS);
	jb_tick(f->jobs);
	assert_int_equal(JB_GAVE_UP, f->answers[0].status);
	assert_int_equal(1, f->nwithdrawn);
	/* An agent that gives a task back has not started it. */
	attach(f, "w1", 1);
	submit(f, "b", 1);
	ck_advance_ms(f->clock, TIMEOUT_MS - 50);
	attach(f, "w1", 1);
	end(f, 1, PD_END_RETURNED);
	assert_int_equal(JB_REFUSED, f->answers[1].status);
	assert_int_equal(JB_R_DEADLINE, f->answers[1].reason);
}

/* Guards against work for a client that is gone, and for one that is not. */
static void
test_waiters(void **state)
{
	struct fix *f = *state;

	attach(f, "w1", 1);
	submit_step(f, "a", 7, 1, 100, 1);
	submit_step(f, "a", 8, 1, 100, 1);
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

/* Guards against a long task that is stopped again and again, since it takes
 * longer than declared (four times in a row on trouble-1). */
static void
test_long_task(void **state)
{
	struct fix *f = *state;

	attach(f, "w1", 1);
	attach(f, "w2", 2);
	submit(f, "a", 1);
	assert_int_not_equal(0, f->limits[0]);
	end(f, 0, PD_END_STOPPED);
	assert_int_equal(2, f->nstarts);
	assert_int_equal(0, f->limits[1]);
}

/* Guards against starts in an availability zone that is taken out. */
static void
test_evacuated(void **state)
{
	pd_name out[] = {(char *)(uintptr_t) "z1"};
	struct pd_config c = {.revision = 5,
	    .evacuated = {.evacuated_len = 1, .evacuated_val = out}};
	struct pd_config older = {.revision = 4};
	struct fix *f = *state;

	attach_in(f, "w1", "z1", 1, 1, 0);
	assert_true(cf_apply(f->config, &c));
	submit(f, "a", 1);
	assert_int_equal(JB_REFUSED, f->answers[0].status);
	/* An older configuration never comes back. */
	assert_false(cf_apply(f->config, &older));
	submit(f, "b", 1);
	assert_int_equal(JB_REFUSED, f->answers[1].status);
	attach_in(f, "w2", "z2", 2, 2, 0);
	submit(f, "c", 1);
	assert_int_equal(1, f->nstarts);
	assert_string_equal("w2", f->at[0]->name);
}

/* Load pattern: a worker fails all that it starts. Guards against one that goes
 * on getting work, and against one that is blamed for a job that can never be
 * done. */
static void
test_failing_worker(void **state)
{
	struct fix *f = *state;
	struct fl_worker *w;
	unsigned i;

	w = attach(f, "w1", 1);
	for (i = 0; i < 20; i++)
		fl_task_failed(f->fleet, w, 1);
	assert_false(w->ejected);
	for (i = 2; i <= FL_FAILURES_MAX; i++)
		fl_task_failed(f->fleet, w, i);
	assert_true(w->ejected);
	submit(f, "a", 1);
	assert_int_equal(JB_REFUSED, f->answers[0].status);
	/* Probes, until one ends well. */
	ck_advance_ms(f->clock, 510);
	attach(f, "w1", 1);
	submit(f, "b", 1);
	submit(f, "c", 1);
	assert_int_equal(1, f->nstarts);
	end(f, 0, PD_END_DONE);
	assert_false(w->ejected);
	submit(f, "d", 1);
	assert_int_equal(2, f->nstarts);
}

/* Load pattern: entries fill workers on old reports. Guards against work that
 * fills one of two equal workers to the brim. */
static void
test_spread(void **state)
{
	struct fix *f = *state;
	unsigned i, first = 0;

	attach(f, "w1", 1);
	attach(f, "w2", 2);
	submit(f, "a", 16);
	assert_int_equal(16, f->nstarts);
	for (i = 0; i < f->nstarts; i++)
		first += f->at[i] == f->at[0];
	assert_in_range(first, 6, 10);
}

int
main(void)
{
#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    T(test_complete),
	    T(test_steps),
	    T(test_refuse_at_once),
	    T(test_spare_fast_worker),
	    T(test_tiny_task_teaches_nothing),
	    T(test_wait_for_agents),
	    T(test_wait_after_freeze),
	    T(test_failures),
	    T(test_stale_report),
	    T(test_lost_agent),
	    T(test_lost_host_told_early),
	    T(test_priorities),
	    T(test_reconnect),
	    T(test_give_up),
	    T(test_waiters),
	    T(test_long_task),
	    T(test_evacuated),
	    T(test_failing_worker),
	    T(test_spread),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
