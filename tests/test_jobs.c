#include "jobs_fixture.h"

/* Tests the admission, the course and the end of jobs. */

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

/* Guards against a grant that its agent takes for one to its endpoint as it is
 * now, which has changed since it was described to the entry. */
static void
test_grant_names_endpoint(void **state)
{
	struct fixture *f = *state;

	f->endpoint = 5;
	attach(f, "w1", 1);
	submit(f, "a", 1);
	assert_int_equal(5, f->endpoints[0]);
	f->endpoint = 6;
	handle_heartbeat(f, "w1", "z1", 1, 1, 0, false);
	submit(f, "b", 1);
	assert_int_equal(6, f->endpoints[1]);
}

/* Guards against the start of a task that waits at its agent when its zone is
 * taken out, also if the agent is not connected then. */
static void
test_zone_taken_out(void **state)
{
	pd_name out[] = {(char *)(uintptr_t) "z1"};
	struct pd_config zones = {.zones_revision = 9,
	    .evacuated = {.evacuated_len = 1, .evacuated_val = out}};
	struct fixture *f = *state;
	struct fl_worker *w;

	w = attach_agent(f, "w1", "z1", 1, 1, 0);
	submit(f, "a", 3);
	jb_zones_changed(f->jobs);
	assert_int_equal(0, f->ntaken_back);
	assert_true(cf_apply(f->config, &zones));
	jb_zones_changed(f->jobs);
	assert_int_equal(3, f->ntaken_back);
	fl_detach(f->fleet, 1);
	jb_detached(f->jobs, w);
	jb_zones_changed(f->jobs);
	assert_int_equal(3, f->ntaken_back);
	attach_agent(f, "w1", "z1", 2, 1, 0);
	assert_int_equal(6, f->ntaken_back);
	/* The tasks go to another zone. */
	attach_agent(f, "w2", "z2", 3, 3, 0);
	report_end(f, 0, PD_END_RETURNED);
	assert_int_equal(4, f->nstarts);
	assert_string_equal("w2", f->start_workers[3]->name);
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

/* Guards against refusing a job for an overload though a worker is idle: it is
 * late on a slow worker, but no other job waits for it. */
static void
test_slow_idle_worker(void **state)
{
	struct fixture *f = *state;
	struct fl_worker *w = attach(f, "w1", 1);

	set_run_ratio(f, w, 3);
	submit_job(f, "a", 7, 1, 60, 1);
	assert_int_equal(1, f->nstarts);
	attach_agent(f, "w1", "z1", 1, 1, WORKER_CPU * 2);
	submit_job(f, "b", 7, 1, 60, 1);
	assert_int_equal(1, f->nstarts);
	assert_int_equal(JB_REFUSED, f->answers[0].status);
	assert_int_equal(JB_R_OVERLOAD, f->answers[0].reason);
	/* It is told when to come back, though it would end by its deadline. */
	assert_true(f->answers[0].retry_ms > 0);
}

/* Guards against asking a client to come back with a job that takes too long
 * even without waiting. */
static void
test_no_retry_after_for_long_job(void **state)
{
	struct fixture *f = *state;
	struct fl_worker *w = attach(f, "w1", 1);

	set_run_ratio(f, w, 3);
	submit_job(f, "a", 7, 1, 900, 1);
	assert_int_equal(0, f->nstarts);
	assert_int_equal(JB_REFUSED, f->answers[0].status);
	assert_int_equal(0, f->answers[0].retry_ms);
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

/* Guards against counts of waiting jobs that other entries get and that are not
 * those of this entry. */
static void
test_waiting_counts(void **state)
{
	struct fixture *f = *state;
	GHashTable *counts;

	fl_free(f->fleet);
	jb_free(f->jobs);
	f->fleet = fl_new(f->clock, f->counters, f->config, 1);
	f->jobs = jb_new(f->clock, f->counters, f->fleet, &ops, f);
	submit(f, "a", 1);
	submit(f, "b", 1);
	counts = jb_waiting_counts(f->jobs);
	assert_int_equal(1, g_hash_table_size(counts));
	assert_int_equal(2, GPOINTER_TO_UINT(g_hash_table_lookup(counts, "q")));
	g_hash_table_destroy(counts);
	attach(f, "w1", 1);
	jb_tick(f->jobs);
	counts = jb_waiting_counts(f->jobs);
	assert_int_equal(0, g_hash_table_size(counts));
	g_hash_table_destroy(counts);
}

/* Guards against late answers for all jobs that waited for the agents of an
 * entry: the first agent gets only those that can be in time or start at once,
 * the most urgent first, and the others are told that they have not run. */
static void
test_waiting_jobs_decided_again(void **state)
{
	struct fixture *f = *state;
	unsigned i;

	fl_free(f->fleet);
	jb_free(f->jobs);
	f->fleet = fl_new(f->clock, f->counters, f->config, 1);
	f->jobs = jb_new(f->clock, f->counters, f->fleet, &ops, f);
	/* Together 20 tasks, half of which fit on the worker. */
	submit_job(f, "late", 7, 10, 60, 1);
	ck_advance_ms(f->clock, 200);
	submit_job(f, "in time", 8, 10, 60, 1);
	assert_int_equal(0, f->nanswers);
	attach_agent(f, "w1", "z1", 1, 1, 0);
	jb_tick(f->jobs);
	assert_int_equal(10, f->nstarts);
	for (i = 0; i < f->nstarts; i++)
		assert_string_equal("in time", f->starts[i].sub.id);
	assert_int_equal(1, f->nanswers);
	assert_int_equal(JB_REFUSED, f->answers[0].status);
	assert_int_equal(7, f->waiters[0]);
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

/* Guards against a second run of a task because an earlier process of its agent
 * attaches late: it was stopped while its successor attached, or its message
 * waited in a socket of the entry. */
static void
test_late_attach_of_earlier_agent(void **state)
{
	struct fixture *f = *state;
	struct fl_worker *w, *late;
	unsigned i;

	attach_agent(f, "w1", "z1", 1, 10, 0);
	w = attach_agent(f, "w1", "z1", 2, 11, 0);
	submit(f, "a", 1);
	assert_int_equal(1, f->nstarts);
	late = attach_agent(f, "w1", "z1", 3, 10, 0);
	assert_int_equal(1, f->nstarts);
	assert_null(late);
	assert_int_equal(2, w->session);
	report_end(f, 0, PD_END_DONE);
	assert_int_equal(JB_COMPLETED, f->answers[0].status);
	/* The clock of the host was set back before the last start: the agent
	 * is accepted when nothing of the other process can run any more. */
	for (i = 0; i <= LE_UNREACHABLE_MS; i += 20) {
		assert_null(attach_agent(f, "w1", "z1", 3, 10, 0));
		ck_advance_ms(f->clock, 20);
	}
	assert_non_null(attach_agent(f, "w1", "z1", 3, 10, 0));
}

/* Guards against a second grant of a task that was placed just before, when its
 * agent restarted: the first one is not withdrawn. */
static void
test_task_granted_twice_at_restart(void **state)
{
	struct pd_end end = {.state = PD_END_RETURNED};
	struct pd_ended report = {.list = {.list_len = 1, .list_val = &end}};
	struct fixture *f = *state;
	struct fl_worker *w;

	w = attach_agent(f, "w1", "z1", 1, 1, 0);
	submit(f, "a", 2);
	assert_int_equal(2, f->nstarts);
	/* The second task waits, as the only worker accepts nothing. */
	end.key = f->starts[1];
	jb_grants_ended(f->jobs, w, &report);
	assert_int_equal(2, f->nstarts);
	attach_agent(f, "w1", "z1", 2, 2, 0);
	assert_int_equal(4, f->nstarts);
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

/* Guards against a second run of a task at another worker while its agent,
 * which has reconnected and is in contact, has not answered for its grants. */
static void
test_query_of_grants_unanswered(void **state)
{
	struct fixture *f = *state;
	struct fl_worker *w;
	unsigned i;

	w = attach(f, "w1", 1);
	submit(f, "a", 1);
	fl_detach(f->fleet, 1);
	jb_detached(f->jobs, w);
	attach_agent(f, "w1", "z1", 2, 1, TASK_CPU);
	assert_int_equal(1, f->nreconciled);
	attach(f, "w2", 3);
	for (i = 0; i < TIMEOUT_MS - 50; i += 10) {
		ck_advance_ms(f->clock, 10);
		handle_heartbeat(f, "w1", "z1", 2, 1, TASK_CPU, false);
		handle_heartbeat(f, "w2", "z1", 3, 3, 0, false);
		jb_tick(f->jobs);
		assert_int_equal(1, f->nstarts);
		assert_int_equal(0, f->nanswers);
	}
	assert_true(f->nreconciled > 1);
	report_end(f, 0, PD_END_DONE);
	assert_int_equal(JB_COMPLETED, f->answers[0].status);
}

/* Guards against refusing, which means "not run", a job of which a task may
 * have started, and against an answer after the deadline. */
static void
test_give_up(void **state)
{
	struct fixture *f = *state;
	unsigned i;

	attach(f, "w1", 1);
	submit(f, "a", 1);
	ck_advance_ms(f->clock, TIMEOUT_MS);
	jb_tick(f->jobs);
	assert_int_equal(JB_GAVE_UP, f->answers[0].status);
	assert_int_equal(1, f->nwithdrawn);
	/* A task that the agent returns has not started. */
	attach(f, "w1", 1);
	submit(f, "b", 1);
	for (i = 0; i < TIMEOUT_MS - 50; i += 50) {
		ck_advance_ms(f->clock, 50);
		attach(f, "w1", 1);
	}
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

/* Guards against a run that goes on after its client has left, because the
 * connection to its agent was lost before it was withdrawn: the client submits
 * the job again after 1,300 ms. */
static void
test_withdrawn_without_connection(void **state)
{
	struct fixture *f = *state;
	struct fl_worker *w;

	w = attach(f, "w1", 1);
	submit(f, "a", 1);
	fl_detach(f->fleet, 1);
	jb_detached(f->jobs, w);
	jb_remove_waiter(f->jobs, 7);
	assert_int_equal(0, f->nwithdrawn);
	ck_advance_ms(f->clock, 100);
	attach_agent(f, "w1", "z1", 2, 1, TASK_CPU);
	assert_int_equal(1, f->nwithdrawn);
}

/* The same for an agent that has reconnected and not answered for its grants
 * yet. */
static void
test_withdrawn_before_query_answered(void **state)
{
	struct fixture *f = *state;
	struct fl_worker *w;

	w = attach(f, "w1", 1);
	submit(f, "a", 1);
	fl_detach(f->fleet, 1);
	jb_detached(f->jobs, w);
	attach_agent(f, "w1", "z1", 2, 1, TASK_CPU);
	jb_remove_waiter(f->jobs, 7);
	assert_int_equal(1, f->nwithdrawn);
}

/* The same for a withdrawal that is lost with its connection. */
static void
test_withdrawal_lost(void **state)
{
	struct fixture *f = *state;
	struct fl_worker *w;

	w = attach(f, "w1", 1);
	submit(f, "a", 1);
	jb_remove_waiter(f->jobs, 7);
	assert_int_equal(1, f->nwithdrawn);
	fl_detach(f->fleet, 1);
	jb_detached(f->jobs, w);
	attach_agent(f, "w1", "z1", 2, 1, TASK_CPU);
	assert_int_equal(2, f->nwithdrawn);
	/* Grants expire with their job, and end with the agent process. */
	ck_advance_ms(f->clock, TIMEOUT_MS);
	fl_detach(f->fleet, 2);
	attach_agent(f, "w1", "z1", 3, 1, TASK_CPU);
	assert_int_equal(2, f->nwithdrawn);
	submit(f, "b", 1);
	jb_remove_waiter(f->jobs, 7);
	assert_int_equal(3, f->nwithdrawn);
	attach_agent(f, "w1", "z1", 4, 2, 0);
	assert_int_equal(3, f->nwithdrawn);
}

/* Guards against a grant that its agent still holds when it is back, though the
 * task was granted elsewhere meanwhile. */
static void
test_dropped_grant_withdrawn(void **state)
{
	struct fixture *f = *state;
	unsigned i;

	attach(f, "w1", 1);
	submit(f, "a", 1);
	for (i = 0; i <= LE_UNREACHABLE_MS; i += 20) {
		assert_int_equal(1, f->nstarts);
		ck_advance_ms(f->clock, 20);
		handle_heartbeat(f, "w2", "z1", 2, 2, 0, false);
		jb_tick(f->jobs);
	}
	assert_int_equal(2, f->nstarts);
	assert_int_equal(1, f->nwithdrawn);
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

/* Guards against jobs that exhaust the memory of the entry, and against
 * memory that is not available again after a job has ended. */
static void
test_memory(void **state)
{
	struct fixture *f = *state;

	attach(f, "w1", 1);
	assert_int_equal(0, jb_memory(f->jobs));
	submit(f, "a", 3);
	assert_int_equal(3, f->nstarts);
	jb_set_memory(f->jobs, 2 * jb_memory(f->jobs));
	submit(f, "b", 4);
	assert_int_equal(1, f->nanswers);
	assert_int_equal(JB_REFUSED, f->answers[0].status);
	assert_int_equal(JB_R_MEMORY, f->answers[0].reason);
	assert_int_equal(3, f->nstarts);
	submit(f, "c", 3);
	assert_int_equal(6, f->nstarts);
	submit(f, "d", 1);
	assert_int_equal(JB_R_MEMORY, f->answers[1].reason);
	assert_true(jb_cancel(f->jobs, "a"));
	submit(f, "e", 3);
	assert_int_equal(9, f->nstarts);
	assert_true(jb_cancel(f->jobs, "c"));
	assert_true(jb_cancel(f->jobs, "e"));
	assert_int_equal(0, jb_memory(f->jobs));
	/* A limit below what is held does not wrap around. */
	submit(f, "g", 3);
	jb_set_memory(f->jobs, 1);
	submit(f, "h", 1);
	assert_int_equal(JB_R_MEMORY, f->answers[f->nanswers - 1].reason);
}

int
main(void)
{
#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    T(test_complete),
	    T(test_zone_taken_out),
	    T(test_grant_names_endpoint),
	    T(test_answer_lost),
	    T(test_steps),
	    T(test_refuse_at_once),
	    T(test_slow_idle_worker),
	    T(test_no_retry_after_for_long_job),
	    T(test_wait_for_agents),
	    T(test_waiting_counts),
	    T(test_waiting_jobs_decided_again),
	    T(test_wait_after_freeze),
	    T(test_retry_on_other_worker),
	    T(test_stale_report),
	    T(test_lost_agent),
	    T(test_late_attach_of_earlier_agent),
	    T(test_task_granted_twice_at_restart),
	    T(test_lost_host_answered_early),
	    T(test_refuse_for_urgent),
	    T(test_reconnect),
	    T(test_query_of_grants_unanswered),
	    T(test_give_up),
	    T(test_waiters),
	    T(test_withdrawn_without_connection),
	    T(test_withdrawn_before_query_answered),
	    T(test_withdrawal_lost),
	    T(test_dropped_grant_withdrawn),
	    T(test_long_task),
	    T(test_memory),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
