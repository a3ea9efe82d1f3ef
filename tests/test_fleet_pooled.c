#include "jobs_fixture.h"

/* Tests the choice of workers by pooled speeds, and the runs that are stopped
 * with them. */

#define WORKERS 20
#define ENTRIES 13

static int
set_up_pooled(void **state)
{
	static const struct fl_placing pooled = {.pooled = true, .az = "z1"};
	struct fixture *f;

	set_up(state);
	f = *state;
	fl_set_placing(f->fleet, &pooled);
	return (0);
}

/* Reports the load of a worker and an estimate of its run ratio. */
static void
report(struct fixture *f, struct fl_worker *w, unsigned used, int log_permille,
    unsigned samples, bool hanging)
{
	struct pd_ended r = {.load.accepting = true,
	    .load.cpu_used = used,
	    .load.speed = {.samples = samples,
		.ratio_permille = 1000,
		.mean_ms = 100,
		.log_mean_permille = log_permille,
		.log_var_permille = 250,
		.log_samples = samples,
		.hanging = hanging}};

	jb_grants_ended(f->jobs, w, &r);
}

static void
pass(struct fixture *f, unsigned ms)
{
	unsigned i;

	for (i = 0; i < ms; i += 20) {
		ck_advance_ms(f->clock, 20);
		jb_tick(f->jobs);
	}
}

/* Connects workers in two zones whose estimates differ by chance, and one with
 * few samples that looks fast. */
static void
attach_equal(struct fixture *f, struct fl_worker **w)
{
	char name[8];
	unsigned i;

	for (i = 0; i < WORKERS; i++) {
		g_snprintf(name, sizeof(name), "w%u", i);
		w[i] = attach_agent(
		    f, name, i % 2 == 0 ? "z1" : "z2", i + 1, i + 1, 0);
		report(f, w[i], 0, i == 0 ? -300 : (int)(i % 5) * 20 - 40,
		    i == 0 ? 4 : 100, false);
	}
	pass(f, 200);
}

/* Guards against entries that all choose the worker with the luckiest
 * estimate. */
static void
test_entries_choose_differently(void **state)
{
	struct fl_requirements req = {.service = "desk",
	    .label = "",
	    .cpu = TASK_CPU,
	    .size_ms = 700,
	    .left_ms = 1400,
	    .deadline_left_ms = 1500};
	struct fl_worker *w[WORKERS], *chosen;
	unsigned counts[WORKERS] = {0}, i, entry, most = 0;
	struct fixture *f = *state;
	struct fixture *other;
	double finish;

	for (entry = 0; entry < ENTRIES; entry++) {
		set_up((void **)&other);
		fl_free(other->fleet);
		jb_free(other->jobs);
		other->fleet = fl_new(
		    other->clock, other->counters, other->config, entry + 1);
		other->jobs = jb_new(
		    other->clock, other->counters, other->fleet, &ops, other);
		fl_set_placing(
		    other->fleet, &(struct fl_placing){.pooled = true});
		attach_equal(other, w);
		chosen = fl_choose(other->fleet, &req, &finish);
		assert_non_null(chosen);
		for (i = 0; i < WORKERS; i++)
			counts[i] += chosen == w[i];
		tear_down((void **)&other);
	}
	for (i = 0; i < WORKERS; i++)
		most = MAX(most, counts[i]);
	assert_in_range(most, 1, ENTRIES / 3);
	(void)f;
}

/* Guards against pooled speeds for workers that are not equal, which gave up
 * four times as many jobs in a burst, and for workers that are not known yet.
 */
static void
test_pooled_while_equal(void **state)
{
	static const struct fl_placing automatic = {
	    .pooled = true, .only_equal = true};
	struct fl_worker *w[WORKERS];
	struct fixture *f = *state;
	unsigned i;

	fl_set_placing(f->fleet, &automatic);
	for (i = 0; i < WORKERS; i++)
		w[i] = attach(f, (char[]){'w', (char)('a' + i), 0}, i + 1);
	pass(f, 200);
	assert_false(fl_is_pooled(f->fleet));
	for (i = 0; i < WORKERS; i++)
		report(f, w[i], 0, (int)(i % 5) * 20 - 40, 100, false);
	pass(f, 300);
	assert_true(fl_is_pooled(f->fleet));
	for (i = 0; i < WORKERS; i++)
		report(f, w[i], 0, i % 4 == 0 ? -600 : 180, 100, false);
	pass(f, 300);
	assert_false(fl_is_pooled(f->fleet));
	assert_true(fl_run_ratio(f->fleet, w[0]) > 0);
}

/* Guards against traffic between zones while the own zone has free capacity,
 * and against tasks that wait for it when it has none. */
static void
test_own_zone(void **state)
{
	struct fl_worker *w[WORKERS];
	struct fixture *f = *state;
	unsigned i;

	attach_equal(f, w);
	submit(f, "a", 30);
	assert_int_equal(30, f->nstarts);
	for (i = 0; i < 30; i++)
		assert_string_equal("z1", f->start_workers[i]->az);
	for (i = 0; i < WORKERS; i += 2)
		report(f, w[i], WORKER_CPU, 0, 100, false);
	submit(f, "b", 10);
	assert_int_equal(40, f->nstarts);
	for (i = 30; i < 40; i++)
		assert_string_equal("z2", f->start_workers[i]->az);
}

/* Guards against a slow worker that is taken for equal, and against one in the
 * own zone that is preferred although it is slow. */
static void
test_slow_worker_avoided(void **state)
{
	struct fl_worker *w[WORKERS];
	struct fixture *f = *state;
	unsigned i;

	attach_equal(f, w);
	report(f, w[2], 0, 1100, 20, false);
	pass(f, 200);
	submit_job(f, "a", 7, 40, 400, 1);
	assert_int_equal(40, f->nstarts);
	for (i = 0; i < 40; i++)
		assert_ptr_not_equal(w[2], f->start_workers[i]);
}

/* Guards against absurd reports that attract tasks, or make all workers look
 * slow. */
static void
test_absurd_reports(void **state)
{
	struct fl_worker *w[WORKERS];
	struct fixture *f = *state;

	attach_equal(f, w);
	report(f, w[1], 0, INT32_MIN, 100, false);
	report(f, w[2], 0, INT32_MAX, 100, false);
	report(f, w[3], 0, -100, UINT32_MAX, false);
	pass(f, 200);
	assert_true(fl_run_ratio(f->fleet, w[1]) > 0.8);
	assert_true(fl_run_ratio(f->fleet, w[2]) < 1.2);
	assert_true(fl_run_ratio(f->fleet, w[3]) > 0.8);
	assert_true(fl_run_ratio(f->fleet, w[5]) > 0.8);
	assert_true(fl_run_ratio(f->fleet, w[5]) < 1.2);
}

/* Guards against a worker that keeps attracting tasks with a wrong report. */
static void
test_wrong_report(void **state)
{
	struct fl_worker *w[WORKERS];
	struct fixture *f = *state;
	unsigned i;

	attach_equal(f, w);
	report(f, w[1], 0, -2300, 1000, false);
	pass(f, 200);
	assert_true(fl_run_ratio(f->fleet, w[1]) < 0.3);
	for (i = 0; i < 5; i++)
		fl_task_done(f->fleet, w[1], 100, 300);
	pass(f, 200);
	assert_true(fl_run_ratio(f->fleet, w[1]) > 1);
}

/* Guards against a task that goes back to the worker that has just returned
 * it. */
static void
test_returned_task_goes_elsewhere(void **state)
{
	struct fl_worker *a, *b;
	struct fixture *f = *state;
	unsigned i;

	a = attach(f, "a", 1);
	b = attach_agent(f, "b", "z2", 2, 2, 0);
	submit(f, "job", 1);
	assert_ptr_equal(a, f->start_workers[0]);
	report_end(f, 0, PD_END_RETURNED);
	assert_int_equal(2, f->nstarts);
	assert_ptr_equal(b, f->start_workers[1]);
	/* Both have returned it: it waits for a newer report of one. */
	report_end(f, 1, PD_END_RETURNED);
	pass(f, 40);
	assert_int_equal(2, f->nstarts);
	report(f, a, 0, 0, 10, false);
	pass(f, 20);
	assert_int_equal(3, f->nstarts);
	assert_ptr_equal(a, f->start_workers[2]);
	for (i = 0; i < f->nanswers; i++)
		assert_int_equal(JB_COMPLETED, f->answers[i].status);
}

/* Keeps the agents of two workers in contact while the clock advances. */
static void
keep_contact(struct fixture *f, unsigned ms, struct fl_worker *hanging)
{
	unsigned i;

	for (i = 0; i < ms; i += 100) {
		pass(f, 100);
		handle_heartbeat(f, "a", "z1", 1, 1, 0, false);
		handle_heartbeat(f, "b", "z2", 2, 2, 0, false);
		if (hanging != NULL)
			report(f, hanging, TASK_CPU, 0, 10, true);
	}
}

/* Guards against stopping the tasks of a job that all take long: 49 of 49
 * second runs took as long as the first. */
static void
test_long_job_not_stopped(void **state)
{
	struct fixture *f = *state;

	attach(f, "a", 1);
	attach_agent(f, "b", "z2", 2, 2, 0);
	submit(f, "job", 4);
	assert_int_equal(4, f->nstarts);
	assert_int_equal(0, f->run_limits[0]);
	keep_contact(f, 1000, NULL);
	assert_int_equal(0, f->nwithdrawn);
	assert_int_equal(4, f->nstarts);
}

/* Guards against a hanging run that is noticed only at the deadline, while the
 * other tasks of its step are done. It is stopped once. */
static void
test_hanging_run_stopped(void **state)
{
	struct fixture *f = *state;

	attach(f, "a", 1);
	attach_agent(f, "b", "z2", 2, 2, 0);
	submit(f, "job", 2);
	keep_contact(f, 100, NULL);
	report_end(f, 0, PD_END_DONE);
	keep_contact(f, 200, NULL);
	assert_int_equal(0, f->nwithdrawn);
	keep_contact(f, 200, NULL);
	assert_int_equal(1, f->nwithdrawn);
	report_end(f, 1, PD_END_STOPPED);
	assert_int_equal(3, f->nstarts);
	assert_ptr_not_equal(f->start_workers[1], f->start_workers[2]);
	keep_contact(f, 500, NULL);
	assert_int_equal(1, f->nwithdrawn);
}

/* Guards against a hanging worker that keeps its runs until their deadline and
 * gets more. */
static void
test_hanging_worker(void **state)
{
	struct fl_worker *a;
	struct fixture *f = *state;

	a = attach(f, "a", 1);
	attach_agent(f, "b", "z2", 2, 2, 0);
	submit(f, "job", 1);
	assert_ptr_equal(a, f->start_workers[0]);
	keep_contact(f, 100, NULL);
	assert_int_equal(0, f->nwithdrawn);
	keep_contact(f, 200, a);
	assert_int_equal(1, f->nwithdrawn);
	report_end(f, 0, PD_END_STOPPED);
	assert_int_equal(2, f->nstarts);
	assert_ptr_not_equal(a, f->start_workers[1]);
	report(f, a, 0, 0, 10, true);
	submit(f, "next", 1);
	assert_int_equal(3, f->nstarts);
	assert_ptr_not_equal(a, f->start_workers[2]);
}

int
main(void)
{
#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up_pooled, tear_down)
	const struct CMUnitTest tests[] = {
	    T(test_entries_choose_differently),
	    T(test_pooled_while_equal),
	    T(test_own_zone),
	    T(test_slow_worker_avoided),
	    T(test_absurd_reports),
	    T(test_wrong_report),
	    T(test_returned_task_goes_elsewhere),
	    T(test_long_job_not_stopped),
	    T(test_hanging_run_stopped),
	    T(test_hanging_worker),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
