#include "jobs_fixture.h"

/* Tests the choice of workers for the tasks of jobs, and what is learned of
 * them. */

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
	report_speed(f, slow,
	    (struct pd_speed){
		.samples = 20, .ratio_permille = 2000, .mean_ms = 300});
	report_speed(f, fast,
	    (struct pd_speed){
		.samples = 20, .ratio_permille = 500, .mean_ms = 75});
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
	struct pd_speed wrong = {
	    .samples = 1000, .ratio_permille = 100, .mean_ms = 10};
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
	struct pd_speed failing = {.samples = 20,
	    .ratio_permille = 1000,
	    .mean_ms = 100,
	    .ejected = true};
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

/* Guards against a long task that is left to a slow worker, where it misses its
 * deadline if it takes longer than declared: of 43 jobs that ended at their
 * deadline, 14 lacked one task on a worker of half the speed. */
static void
test_uncertain_task_on_fast_worker(void **state)
{
	struct fixture *f = *state;
	struct fl_worker *fast, *slow;

	fast = attach_agent(f, "fast", "z1", 1, 1, WORKER_CPU * 32 / 10);
	slow = attach(f, "slow", 2);
	set_run_ratio(f, fast, 0.8);
	set_run_ratio(f, slow, 1.5);
	/* A task that is safe on the slow worker does not wait. */
	submit_job(f, "short", 7, 1, 300, 1);
	assert_int_equal(1, f->nstarts);
	assert_ptr_equal(slow, f->start_workers[0]);
	submit_job(f, "long", 7, 1, 900, 1);
	assert_int_equal(2, f->nstarts);
	assert_ptr_equal(fast, f->start_workers[1]);
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

static struct fl_worker *
attach_labels(struct fixture *f, const char *name, uint64_t session,
    const char *const *labels)
{
	pd_name copy[2] = {
	    (char *)(uintptr_t)labels[0], (char *)(uintptr_t)labels[1]};
	struct pd_attach a = {.cell = (char *)(uintptr_t) "c",
	    .name = (char *)(uintptr_t)name,
	    .az = (char *)(uintptr_t) "z1",
	    .service = (char *)(uintptr_t) "desk",
	    .labels = {.labels_len = 2, .labels_val = copy},
	    .incarnation = session,
	    .started_ms = session,
	    .cpu = WORKER_CPU,
	    .mem_mb = 1000,
	    .load.accepting = true,
	    .clock_ms = ck_mono_ms(f->clock)};
	bool restarted;

	return (fl_attach(f->fleet, &a, session, &restarted));
}

/* Guards against a start at a worker without the required label: the labels of
 * a worker were compared as one text, in which a label with a space looks like
 * two, and two look like one with a space. */
static void
test_label_with_space(void **state)
{
	static const char *const workers[][2] = {{"a", "r1"}, {"not b", "r1"}};
	static const char *const required[] = {"a r1", "b", "not"};
	struct fl_requirements req = {.service = "desk", .cpu = TASK_CPU};
	struct fixture *f = *state;
	double finish;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(workers); i++)
		attach_labels(f, i == 0 ? "w1" : "w2", i + 1, workers[i]);
	for (i = 0; i < G_N_ELEMENTS(required); i++) {
		req.label = required[i];
		assert_false(fl_any_suitable(f->fleet, &req));
		assert_null(fl_choose(f->fleet, &req, &finish));
	}
	req.label = "not b";
	assert_string_equal("w2", fl_choose(f->fleet, &req, &finish)->name);
	req.label = "a";
	assert_string_equal("w1", fl_choose(f->fleet, &req, &finish)->name);
}

/* Guards against starts in an evacuated availability zone. */
static void
test_evacuated(void **state)
{
	pd_name out[] = {(char *)(uintptr_t) "z1"};
	struct pd_config c = {.revision = 5,
	    .zones_revision = 5,
	    .evacuated = {.evacuated_len = 1, .evacuated_val = out}};
	struct pd_config older = {.revision = 4, .zones_revision = 4};
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

static void
report_zone(struct fixture *f, struct fl_worker *w, enum pd_zone_state zone)
{
	struct pd_ended report = {.load.accepting = true, .load.zone = zone};

	jb_grants_ended(f->jobs, w, &report);
}

/* Guards against grants to a worker whose agent has heard from another entry
 * that its zone is out, and against jobs that wait for it. */
static void
test_evacuation_heard_by_agent(void **state)
{
	struct fixture *f = *state;
	struct fl_worker *w = attach(f, "w1", 1);

	report_zone(f, w, PD_ZONE_OUT);
	assert_int_equal(0, fl_usable_count(f->fleet));
	assert_false(fl_is_leaving(f->fleet));
	submit(f, "a", 1);
	assert_int_equal(JB_REFUSED, f->answers[0].status);
	assert_int_equal(JB_R_NO_WORKER, f->answers[0].reason);
	report_zone(f, w, PD_ZONE_IN);
	submit(f, "b", 1);
	assert_int_equal(1, f->nstarts);
}

/* Guards against refusing jobs before the clients of an entry that is cut off
 * with its zone could move, and against use of that zone while there is
 * another. */
static void
test_leaving(void **state)
{
	struct fixture *f = *state;
	struct fl_worker *w1 = attach(f, "w1", 1), *w2 = attach(f, "w2", 2);

	report_zone(f, w1, PD_ZONE_LEAVING);
	assert_false(fl_is_leaving(f->fleet));
	submit(f, "a", 1);
	submit(f, "b", 1);
	assert_int_equal(2, f->nstarts);
	assert_ptr_equal(w2, f->start_workers[0]);
	assert_ptr_equal(w2, f->start_workers[1]);
	report_zone(f, w2, PD_ZONE_OUT);
	assert_true(fl_is_leaving(f->fleet));
	submit(f, "c", 1);
	assert_int_equal(3, f->nstarts);
	assert_ptr_equal(w1, f->start_workers[2]);
	report_zone(f, w2, PD_ZONE_IN);
	assert_false(fl_is_leaving(f->fleet));
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
	    T(test_spare_fast_worker),
	    T(test_short_task_not_learned),
	    T(test_speed_from_agent),
	    T(test_wrong_speed_from_agent),
	    T(test_ejected_by_agent),
	    T(test_queue_limit),
	    T(test_uncertain_task_on_fast_worker),
	    T(test_disconnected_not_sampled),
	    T(test_label_with_space),
	    T(test_evacuated),
	    T(test_evacuation_heard_by_agent),
	    T(test_leaving),
	    T(test_failing_worker),
	    T(test_spread_equal_workers),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
