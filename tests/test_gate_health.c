#include "gate_fixture.h"
#include "health.h"

#define ENTRY 11 /* incarnation of an entry */

static int
setup(void **state)
{
	struct fix *f = fix_new();

	f->settings.slots = 8;
	f->settings.queue_max = 8;
	fix_new_gate(f);
	*state = f;
	return (0);
}

/* Grants one task of a submission "<name>-<number>". */
static void
grant_numbered(struct fix *f, ga_session s, const char *name, unsigned number)
{
	char id[32];

	snprintf(id, sizeof(id), "%s-%u", name, number);
	fix_permit(f, s);
	fix_grant(f, s, id, 0);
}

/* Grants tasks of submissions "<name>-0" to "<name>-<n - 1>". */
static void
grant_each(struct fix *f, ga_session s, const char *name, unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++)
		grant_numbered(f, s, name, i);
}

/* Ends the oldest call that still runs. */
static void
end_next(struct fix *f, size_t *ended, enum ga_outcome outcome)
{
	assert_true(*ended < f->nstarts);
	fix_end_call(f, f->starts[(*ended)++].slot, outcome, 0);
}

/* Ejects the endpoint by failures of several submissions. */
static ga_session
eject(struct fix *f)
{
	ga_session s = ga_session_opened(f->gate, ENTRY);
	size_t ended = 0;
	unsigned i;

	for (i = 0; i < HE_EJECT_FAILURES; i++) {
		grant_numbered(f, s, "bad", i);
		end_next(f, &ended, GA_ERROR);
	}
	assert_int_equal(PD_EJECTED, ga_stats(f->gate).health);
	return (s);
}

/* Guards against an endpoint that fails every task and still gets many, for
 * different orders of grants and failures. */
static void
test_failing_endpoint_gets_few_tasks(void **state)
{
	static const struct {
		const char *what;
		unsigned burst; /* grants before each failure */
		enum ga_outcome outcome;
		unsigned starts;
	} cases[] = {
	    {"one at a time", 1, GA_ERROR, 3},
	    {"two at a time", 2, GA_ERROR, 3},
	    {"all slots", 8, GA_ERROR, 8},
	    {"slots and queue", 16, GA_CONN_LOST, 8},
	    {"timeouts", 16, GA_TIMEOUT, 8},
	    {"refused connections", 16, GA_CONN_REFUSED, 8},
	};
	struct fix *f = *state;
	unsigned i, granted;
	size_t c, ended;
	ga_session s;

	for (c = 0; c < G_N_ELEMENTS(cases); c++) {
		fix_new_gate(f);
		f->nstarts = 0;
		ended = 0;
		granted = 0;
		s = ga_session_opened(f->gate, ENTRY);
		for (;;) {
			for (i = 0; i < cases[c].burst; i++)
				grant_numbered(f, s, "job", granted++);
			if (ended == f->nstarts)
				break;
			end_next(f, &ended, cases[c].outcome);
		}
		if (f->nstarts > 10 || f->nstarts != cases[c].starts)
			fail_msg("%s: %zu starts", cases[c].what, f->nstarts);
		assert_int_equal(PD_EJECTED, ga_stats(f->gate).health);
		assert_int_equal(0, ga_stats(f->gate).queued);
		grant_numbered(f, s, "job", granted);
		assert_int_equal(PD_R_EJECTED, fix_last_report(f)->reason);
	}
}

/* Guards against tasks that stay in the queue of an ejected endpoint. */
static void
test_ejection_returns_queue(void **state)
{
	struct fix *f = *state;
	ga_session s = ga_session_opened(f->gate, ENTRY);
	size_t ended = 0;

	grant_each(f, s, "job", 13);
	end_next(f, &ended, GA_ERROR);
	end_next(f, &ended, GA_ERROR);
	assert_int_equal(PD_SUSPECT, ga_stats(f->gate).health);
	assert_int_equal(5, ga_stats(f->gate).queued);
	end_next(f, &ended, GA_ERROR);
	assert_int_equal(5, fix_count_reports(f, PD_NOT_STARTED, PD_R_EJECTED));
	assert_int_equal(8, f->nstarts);
}

/* Guards against ejection by a single submission, whose tasks may fail at every
 * endpoint. The endpoint becomes suspect and runs one task at a time. */
static void
test_one_submission_does_not_eject(void **state)
{
	struct fix *f = *state;
	ga_session s = ga_session_opened(f->gate, ENTRY);
	unsigned i;

	fix_permit(f, s);
	for (i = 0; i < 6; i++) {
		fix_grant(f, s, "bad", i);
		fix_end_call(f, 0, GA_ERROR, 0);
	}
	assert_int_equal(PD_SUSPECT, ga_stats(f->gate).health);
	fix_grant(f, s, "bad", 10);
	fix_grant(f, s, "bad", 11);
	assert_int_equal(1, ga_stats(f->gate).running);
	fix_end_call(f, 0, GA_OK, 1);
	assert_int_equal(PD_HEALTHY, ga_stats(f->gate).health);
	fix_grant(f, s, "bad", 12);
	assert_int_equal(2, ga_stats(f->gate).running);
}

/* Guards against an endpoint that is down and returns the tasks of a single
 * submission again and again: a task can't cause a refused connection. */
static void
test_refused_connections_eject(void **state)
{
	struct fix *f = *state;
	ga_session s = ga_session_opened(f->gate, ENTRY);
	unsigned i;

	fix_permit(f, s);
	for (i = 0; i < 3; i++) {
		fix_grant(f, s, "job", 0);
		fix_end_call(f, 0, GA_CONN_REFUSED, 0);
		assert_int_equal(PD_NOT_STARTED, fix_last_report(f)->state);
		assert_int_equal(
		    PD_R_ENDPOINT_REFUSED, fix_last_report(f)->reason);
	}
	assert_int_equal(PD_EJECTED, ga_stats(f->gate).health);
	assert_int_equal(0, ga_stats(f->gate).records);
}

/* Guards against ejection of a healthy endpoint because it rejects tasks. */
static void
test_rejected_tasks_do_not_eject(void **state)
{
	struct fix *f = *state;
	ga_session s = ga_session_opened(f->gate, ENTRY);
	unsigned i;

	for (i = 0; i < 100; i++) {
		grant_numbered(f, s, "poison", i);
		fix_end_call(f, 0, GA_REJECTED, 0);
		assert_int_equal(PD_FAILED, fix_last_report(f)->state);
		assert_int_equal(PD_HEALTHY, ga_stats(f->gate).health);
	}
	/* Rejections between failures do not reset the failure count. */
	for (i = 0; i < 3; i++) {
		grant_numbered(f, s, "bad", i);
		fix_end_call(f, 0, GA_ERROR, 0);
		grant_numbered(f, s, "mixed", i);
		if (ga_stats(f->gate).running > 0)
			fix_end_call(f, 0, GA_REJECTED, 0);
	}
	assert_int_equal(PD_EJECTED, ga_stats(f->gate).health);
}

/* Guards against probes that are too frequent, and against intervals that grow
 * without bound. */
static void
test_probe_backoff(void **state)
{
	static const unsigned waits_ms[] = {
	    1000, 2000, 4000, 8000, 16000, 30000, 30000};
	struct fix *f = *state;
	ga_session s = eject(f);
	size_t i, starts;

	for (i = 0; i < G_N_ELEMENTS(waits_ms); i++) {
		starts = f->nstarts;
		ck_advance_ms(f->clock, waits_ms[i] - 1);
		grant_numbered(f, s, "early", (unsigned)i);
		assert_int_equal(PD_R_EJECTED, fix_last_report(f)->reason);
		ck_advance_ms(f->clock, 1);
		grant_numbered(f, s, "probe", (unsigned)i);
		grant_numbered(f, s, "second", (unsigned)i);
		assert_int_equal(starts + 1, f->nstarts);
		assert_int_equal(PD_R_EJECTED, fix_last_report(f)->reason);
		fix_end_call(f, 0, GA_ERROR, 0);
		assert_int_equal(PD_EJECTED, ga_stats(f->gate).health);
	}
	ck_advance_ms(f->clock, 30000);
	grant_numbered(f, s, "probe", 100);
	fix_end_call(f, 0, GA_OK, 1);
	assert_int_equal(PD_HEALTHY, ga_stats(f->gate).health);
	starts = f->nstarts;
	grant_each(f, s, "job", 8);
	assert_int_equal(starts + 8, f->nstarts);
}

/* Guards against an endpoint that gets no further probe because the last one
 * was cancelled, never started or rejected. */
static void
test_inconclusive_probe(void **state)
{
	struct fix *f = *state;
	ga_session s = eject(f);
	struct pd_key key;
	size_t starts;

	ck_advance_ms(f->clock, 1651);
	/* No permit is valid, so the probe waits and is cancelled. */
	fix_grant(f, s, "cancelled", 0);
	assert_int_equal(1, ga_stats(f->gate).queued);
	key = fix_key("cancelled", 0);
	ga_cancel(f->gate, &key);
	starts = f->nstarts;
	grant_numbered(f, s, "late", 1);
	assert_int_equal(starts + 1, f->nstarts);
	fix_end_call(f, 0, GA_PERMIT_EXPIRED, 0);
	grant_numbered(f, s, "poison", 1);
	assert_int_equal(starts + 2, f->nstarts);
	fix_end_call(f, 0, GA_REJECTED, 0);
	assert_int_equal(PD_EJECTED, ga_stats(f->gate).health);
	ck_advance_ms(f->clock, 1000);
	grant_numbered(f, s, "good", 1);
	assert_int_equal(starts + 3, f->nstarts);
	fix_end_call(f, 0, GA_OK, 1);
	assert_int_equal(PD_HEALTHY, ga_stats(f->gate).health);
}

/* Guards against a probe whose failure isn't counted because another task has
 * succeeded since and ended the ejection. */
static void
test_probe_failure_after_recovery(void **state)
{
	struct fix *f = *state;
	ga_session s = ga_session_opened(f->gate, ENTRY);
	size_t ended = 0;
	unsigned i;

	grant_each(f, s, "job", 4);
	for (i = 0; i < 3; i++)
		end_next(f, &ended, GA_ERROR);
	ck_advance_ms(f->clock, 1000);
	grant_numbered(f, s, "probe", 0);
	assert_int_equal(5, f->nstarts);
	end_next(f, &ended, GA_OK);
	assert_int_equal(PD_HEALTHY, ga_stats(f->gate).health);
	end_next(f, &ended, GA_ERROR);
	assert_int_equal(PD_SUSPECT, ga_stats(f->gate).health);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, fix_teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    TEST(test_failing_endpoint_gets_few_tasks),
	    TEST(test_ejection_returns_queue),
	    TEST(test_one_submission_does_not_eject),
	    TEST(test_refused_connections_eject),
	    TEST(test_rejected_tasks_do_not_eject),
	    TEST(test_probe_backoff),
	    TEST(test_inconclusive_probe),
	    TEST(test_probe_failure_after_recovery),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
