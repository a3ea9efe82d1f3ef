#include "jobs_fixture.h"
#include "runtimes.h"

/* Tests decisions by the distribution of run times. */

#define SHORT_MS 100
#define LONG_MS 3000
#define MEAN_MS ((SHORT_MS + LONG_MS) / 2)
/* A declaration that the mean lets pass: 0.6 times it fits before the deadline
 * of 1,500 ms. */
#define DECLARED_MS 2200
#define LEARN_TIMEOUT_MS 60000
#define LEARNED 100
#define PROBE_INTERVAL 16

static void
report_run(
    struct fixture *f, unsigned start, enum pd_end_state state, unsigned run_ms)
{
	struct pd_end e = {
	    .key = f->starts[start], .state = state, .run_ms = run_ms};
	struct pd_ended report = {
	    .load.accepting = true, .list = {.list_len = 1, .list_val = &e}};

	jb_grants_ended(f->jobs, f->start_workers[start], &report);
}

static void
submit_tasks(struct fixture *f, unsigned count, unsigned declared_ms)
{
	static unsigned number;
	char id[32];

	g_snprintf(id, sizeof(id), "job%u", ++number);
	f->nstarts = 0;
	f->nanswers = 0;
	submit_job(f, id, 7, count, declared_ms, 1);
}

static void
submit_declared(struct fixture *f, unsigned declared_ms)
{
	submit_tasks(f, 1, declared_ms);
}

static void
run_job(struct fixture *f, unsigned declared_ms, unsigned run_ms)
{
	submit_declared(f, declared_ms);
	assert_int_equal(1, f->nstarts);
	report_run(f, 0, PD_END_DONE, run_ms);
	assert_int_equal(JB_COMPLETED, f->answers[0].status);
}

/* Learns from as many short as long jobs, with a deadline that both meet. */
static void
learn(struct fixture *f, unsigned declared_short, unsigned declared_long)
{
	unsigned i;

	f->timeout_ms = LEARN_TIMEOUT_MS;
	for (i = 0; i < LEARNED; i++) {
		run_job(f, declared_short, SHORT_MS);
		run_job(f, declared_long, LONG_MS);
	}
	f->timeout_ms = TIMEOUT_MS;
}

/* Lets time pass with heartbeats of the worker. Return: ms until the first
 * answer, at most @ms. */
static unsigned
wait_for_answer(struct fixture *f, unsigned ms)
{
	unsigned passed;

	for (passed = 0; passed < ms && f->nanswers == 0; passed += 20) {
		ck_advance_ms(f->clock, 20);
		handle_heartbeat(f, "w1", "z1", 1, 1, 0, false);
		jb_tick(f->jobs);
	}
	return (passed);
}

static int64_t
chance_count(const struct fixture *f, const char *labels)
{
	return (ct_value(
	    ct_get(f->counters, CT_COUNTER, "pd_chance_total", "", labels)));
}

static int64_t
not_completed_count(const struct fixture *f)
{
	int64_t counted = 0;
	char labels[64];
	unsigned i;

	for (i = 0; i < 10; i++) {
		g_snprintf(labels, sizeof(labels),
		    "tenth=\"%u\",result=\"not_completed\"", i);
		counted += chance_count(f, labels);
	}
	return (counted);
}

/* Guards against starting a job that will not end by its deadline, and against
 * asking its client to come back with it. */
static void
test_refused_on_arrival(void **state)
{
	struct fixture *f = *state;

	jb_set_run_times(f->jobs, true);
	attach(f, "w1", 1);
	learn(f, SHORT_MS, LONG_MS);
	submit_declared(f, DECLARED_MS);
	assert_int_equal(0, f->nstarts);
	assert_int_equal(1, f->nanswers);
	assert_int_equal(JB_REFUSED, f->answers[0].status);
	assert_int_equal(JB_R_DEADLINE, f->answers[0].reason);
	assert_int_equal(0, f->answers[0].retry_ms);
	assert_int_equal(1, chance_count(f, "tenth=\"0\",result=\"refused\""));
	run_job(f, SHORT_MS, SHORT_MS);
	/* The first of them were accepted without a chance. Older samples count
	 * less, so 30 effective ones take 31 jobs. */
	assert_int_equal(2 * LEARNED + 1 - (RT_SAMPLES_MIN + 1),
	    chance_count(f, "tenth=\"9\",result=\"completed\""));
}

/* Guards against refusing a job by its mean run time though many jobs like it
 * end in time. */
static void
test_mean_is_no_reason(void **state)
{
	struct fixture *f = *state;

	jb_set_run_times(f->jobs, true);
	attach(f, "w1", 1);
	f->timeout_ms = LEARN_TIMEOUT_MS;
	learn(f, 1000, 1000);
	f->timeout_ms = 900;
	submit_declared(f, 1000);
	assert_int_equal(1, f->nstarts);
}

/* Guards against letting a client wait for a job that has turned out to be a
 * long one, and against a refusal that says that it has not run. */
static void
test_given_up_early(void **state)
{
	struct fixture *f = *state;

	jb_set_run_times(f->jobs, true);
	attach(f, "w1", 1);
	learn(f, SHORT_MS, SHORT_MS);
	submit_tasks(f, 2, SHORT_MS);
	assert_int_equal(2, f->nstarts);
	assert_true(wait_for_answer(f, TIMEOUT_MS) <= TIMEOUT_MS / 3);
	assert_int_equal(JB_GAVE_UP, f->answers[0].status);
	assert_int_equal(JB_R_DEADLINE, f->answers[0].reason);
	assert_int_equal(2, f->nwithdrawn);
	assert_int_equal(2, f->nstarts);
	assert_int_equal(1, not_completed_count(f));
}

/* Guards against giving up a job, or learning that such jobs are long, since
 * one of its tasks is at a worker that hangs. */
static void
test_one_long_task(void **state)
{
	struct fixture *f = *state;

	jb_set_run_times(f->jobs, true);
	attach(f, "w1", 1);
	learn(f, SHORT_MS, SHORT_MS);
	submit_tasks(f, 2, SHORT_MS);
	report_run(f, 0, PD_END_DONE, SHORT_MS);
	assert_true(wait_for_answer(f, TIMEOUT_MS) > TIMEOUT_MS * 2 / 3);
	submit_declared(f, SHORT_MS);
	assert_true(wait_for_answer(f, TIMEOUT_MS) > TIMEOUT_MS * 2 / 3);
}

/* Guards against giving up a job since its task seems to have run for long,
 * while it waits at its agent. */
static void
test_waits_at_agent(void **state)
{
	struct fixture *f = *state;

	jb_set_run_times(f->jobs, true);
	attach(f, "w1", 1);
	learn(f, MEAN_MS, MEAN_MS);
	attach_agent(f, "w1", "z1", 1, 1, WORKER_CPU - TASK_CPU / 2);
	submit_declared(f, MEAN_MS);
	assert_int_equal(1, f->nstarts);
	assert_true(wait_for_answer(f, TIMEOUT_MS) > TIMEOUT_MS * 2 / 3);
}

/* Guards against counting a job as a wrong prediction whose agent was lost. */
static void
test_lost_run_not_counted(void **state)
{
	struct fixture *f = *state;
	struct fl_worker *w = attach(f, "w1", 1);

	jb_set_run_times(f->jobs, true);
	learn(f, SHORT_MS, SHORT_MS);
	submit_declared(f, SHORT_MS);
	report_run(f, 0, PD_END_LOST, 50);
	assert_int_equal(2, f->nstarts);
	wait_for_answer(f, TIMEOUT_MS);
	assert_int_equal(JB_GAVE_UP, f->answers[0].status);
	submit_declared(f, SHORT_MS);
	fl_detach(f->fleet, 1);
	jb_detached(f->jobs, w);
	ck_advance_ms(f->clock, TIMEOUT_MS);
	jb_tick(f->jobs);
	assert_int_equal(JB_GAVE_UP, f->answers[0].status);
	assert_int_equal(0, not_completed_count(f));
}

/* Guards against other decisions than before with the setting `mean`. */
static void
test_mean(void **state)
{
	struct fixture *f = *state;
	struct pd_run_times list[PD_RUN_TIMES_MAX];

	attach(f, "w1", 1);
	learn(f, SHORT_MS, LONG_MS);
	submit_declared(f, DECLARED_MS);
	assert_int_equal(1, f->nstarts);
	assert_true(wait_for_answer(f, TIMEOUT_MS) > TIMEOUT_MS - 40);
	assert_int_equal(JB_GAVE_UP, f->answers[0].status);
	assert_int_equal(
	    0, jb_export_run_times(f->jobs, list, PD_RUN_TIMES_MAX));
}

/* Guards against a queue that is refused for ever: its jobs have become
 * shorter, but declare as much as before. */
static void
test_shorter_jobs(void **state)
{
	struct fixture *f = *state;
	unsigned i, row = 0, probes = 0;

	jb_set_run_times(f->jobs, true);
	attach(f, "w1", 1);
	f->timeout_ms = LEARN_TIMEOUT_MS;
	for (i = 0; i < 4 * LEARNED; i++)
		run_job(f, LONG_MS, LONG_MS);
	f->timeout_ms = TIMEOUT_MS;
	for (i = 1; i < PROBE_INTERVAL; i++) {
		submit_declared(f, LONG_MS);
		assert_int_equal(0, f->nstarts);
	}
	for (i = 0; i < 100 * PROBE_INTERVAL && row < 50; i++) {
		submit_declared(f, LONG_MS);
		row = f->nstarts == 0 ? 0 : row + 1;
		probes += f->nstarts;
		if (f->nstarts > 0)
			report_run(f, 0, PD_END_DONE, SHORT_MS);
	}
	print_message("accepted again after %u jobs\n", i - row);
	assert_int_equal(50, row);
	assert_true(probes > 50);
}

/* Guards against a probe that is given up before anything can be learned from
 * it. */
static void
test_probe_runs_on(void **state)
{
	struct fixture *f = *state;
	unsigned i;

	jb_set_run_times(f->jobs, true);
	attach(f, "w1", 1);
	learn(f, SHORT_MS, LONG_MS);
	for (i = 0; i < PROBE_INTERVAL; i++)
		submit_declared(f, DECLARED_MS);
	assert_int_equal(1, f->nstarts);
	assert_true(wait_for_answer(f, TIMEOUT_MS) > TIMEOUT_MS - 40);
	assert_int_equal(JB_GAVE_UP, f->answers[0].status);
}

/* Guards against learning from runs whose end is unknown. */
static void
test_lost_agent(void **state)
{
	struct fixture *f = *state;
	struct fl_worker *w = attach(f, "w1", 1);
	struct pd_run_times list[PD_RUN_TIMES_MAX];

	jb_set_run_times(f->jobs, true);
	submit_declared(f, SHORT_MS);
	ck_advance_ms(f->clock, 500);
	fl_detach(f->fleet, 1);
	jb_detached(f->jobs, w);
	ck_advance_ms(f->clock, TIMEOUT_MS);
	jb_tick(f->jobs);
	assert_int_equal(JB_GAVE_UP, f->answers[0].status);
	assert_int_equal(
	    0, jb_export_run_times(f->jobs, list, PD_RUN_TIMES_MAX));
}

/* Guards against an entry that has to learn what others know, and against input
 * that no entry sends. */
static void
test_shared(void **state)
{
	struct pd_run_times list[PD_RUN_TIMES_MAX], bad;
	struct fixture *f = *state;
	unsigned n;

	jb_set_run_times(f->jobs, true);
	attach(f, "w1", 1);
	learn(f, SHORT_MS, LONG_MS);
	n = jb_export_run_times(f->jobs, list, PD_RUN_TIMES_MAX);
	assert_int_equal(1, n);
	assert_string_equal("q", list[0].queue);
	jb_free(f->jobs);
	f->jobs = jb_new(f->clock, f->counters, f->fleet, &ops, f);
	jb_set_run_times(f->jobs, true);
	bad = list[0];
	bad.bins_total++;
	jb_merge_run_times(f->jobs, "e1", &bad, 1);
	bad = list[0];
	bad.bins_first = UINT32_MAX;
	jb_merge_run_times(f->jobs, "e1", &bad, 1);
	bad = list[0];
	bad.samples = UINT32_MAX;
	jb_merge_run_times(f->jobs, "e1", &bad, 1);
	assert_int_equal(3,
	    ct_value(ct_get(f->counters, CT_COUNTER,
		"pd_run_times_rejected_total", "", "")));
	submit_declared(f, DECLARED_MS);
	assert_int_equal(1, f->nstarts);
	jb_merge_run_times(f->jobs, "e1", list, n);
	jb_free_run_times(list, n);
	submit_declared(f, DECLARED_MS);
	assert_int_equal(0, f->nstarts);
	/* What it got from others is not passed on. */
	assert_int_equal(
	    0, jb_export_run_times(f->jobs, list, PD_RUN_TIMES_MAX));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_refused_on_arrival, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_mean_is_no_reason, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_given_up_early, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_waits_at_agent, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_one_long_task, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_lost_run_not_counted, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(test_mean, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_shorter_jobs, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_probe_runs_on, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(test_lost_agent, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(test_shared, set_up, tear_down),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
