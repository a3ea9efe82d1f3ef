#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "support_dispatch.h"

static void
assert_answer(const struct sd *x, uint64_t waiter, pd_status_code status,
    const char *reason, bool not_run)
{
	const struct sd_answer *a;

	a = sd_answer_to(x, waiter);
	assert_string_equal(a->reason, reason);
	assert_int_equal(a->status, status);
	assert_int_equal(a->not_run, not_run);
	if (status != PD_COMPLETE)
		assert_int_equal(a->nresults, 0);
}

/* Guards against a job that is not answered, or not with all its results. */
static void
test_complete(void **state)
{
	const struct sd_answer *a;
	struct dp_stats stats;
	dp_agent agents[2];
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_agents(x, 2, agents);
	sd_submit(x, "a", 10, 1000, 1);
	assert_int_equal(x->grants->len, 10);
	assert_int_equal(x->answers->len, 0);
	sd_finish(x, 0, 50);
	a = sd_answer_to(x, 1);
	assert_int_equal(a->status, PD_COMPLETE);
	assert_int_equal(a->nresults, 10);
	assert_string_equal(a->first, "r:a/0");
	assert_string_equal(a->last, "r:a/9");
	sd_submit(x, "a", 10, 1000, 2);
	sd_lookup(x, "a", false, 3);
	assert_string_equal(sd_answer_to(x, 2)->last, "r:a/9");
	assert_string_equal(sd_answer_to(x, 3)->last, "r:a/9");
	assert_int_equal(x->grants->len, 10);
	stats = dp_stats(x->dp);
	assert_int_equal(stats.submissions, 1);
	assert_int_equal(stats.pending + stats.queued + stats.granted, 0);
	sd_free(x);
}

/* Guards against answers at a deadline that claim too much or too little. */
static void
test_deadline(void **state)
{
	dp_agent agent;
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_endpoint(x, "e0", "finistere");
	sd_submit(x, "not-granted", 1, 500, 1);
	sd_pass(x, 490);
	assert_int_equal(x->answers->len, 0);
	sd_pass(x, 10);
	assert_answer(x, 1, PD_REFUSED, "deadline", true);

	agent = sd_up(x, "e0", 1);
	sd_submit(x, "granted", 1, 500, 2);
	assert_int_equal(x->grants->len, 1);
	assert_true(sd_grant(x, 0)->agent == agent);
	sd_pass(x, 500);
	assert_answer(x, 2, PD_UNKNOWN, "deadline", false);
	assert_int_equal(x->cancels->len, 1);
	sd_report(x, sd_grant(x, 0), PD_DONE, PD_R_NONE, 600);
	assert_int_equal(x->answers->len, 2);
	sd_free(x);
}

/* Guards against a task that runs again after its agent was replaced. */
static void
test_agent_replaced(void **state)
{
	dp_agent agents[2];
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_agents(x, 1, agents);
	sd_submit(x, "a", 1, 1000, 1);
	dp_agent_down(x->dp, agents[0]);
	sd_pass(x, 100);
	assert_int_equal(x->answers->len, 0);
	(void)sd_up(x, "e0", 999);
	assert_answer(x, 1, PD_UNKNOWN, "outcome_unknown", false);
	assert_int_equal(x->grants->len, 1);
	sd_free(x);
}

/* Guards against a lost grant that is never run. */
static void
test_lost_grant(void **state)
{
	struct sd_grant back;
	dp_agent agents[2];
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_agents(x, 2, agents);
	sd_submit(x, "a", 1, 5000, 1);
	assert_int_equal(x->grants->len, 1);
	dp_agent_down(x->dp, sd_grant(x, 0)->agent);
	back = *sd_grant(x, 0);
	back.agent =
	    back.agent == agents[0] ? sd_up(x, "e0", 100) : sd_up(x, "e1", 101);
	sd_pass(x, 10);
	assert_int_equal(x->resolves->len, 1);
	sd_report(x, &back, PD_NOT_STARTED, PD_R_VOIDED, 0);
	assert_int_equal(x->grants->len, 2);
	assert_true(sd_grant(x, 1)->agent != back.agent);
	sd_finish(x, 1, 50);
	assert_answer(x, 1, PD_COMPLETE, "", false);
	sd_free(x);
}

int
main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_complete),
	    cmocka_unit_test(test_deadline),
	    cmocka_unit_test(test_agent_replaced),
	    cmocka_unit_test(test_lost_grant),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
