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

/* Guards against a job without an answer, or with missing results. */
static void
test_complete(void **state)
{
	const struct sd_answer *a;
	struct dp_stats stats;
	dp_agent agents[2];
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_add_agents(x, 2, agents);
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

/*
 * Guards against a wrong answer at the deadline: a job of which nothing was
 * granted is refused as "not run", a job with an outstanding grant is
 * "unknown".
 */
static void
test_answers_at_deadline(void **state)
{
	dp_agent agent;
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_add_endpoint(x, "e0", "finistere");
	sd_submit(x, "not-granted", 1, 500, 1);
	sd_advance(x, 490);
	assert_int_equal(x->answers->len, 0);
	sd_advance(x, 10);
	assert_answer(x, 1, PD_REFUSED, "deadline", true);

	agent = sd_connect_agent(x, "e0", 1);
	sd_submit(x, "granted", 1, 500, 2);
	assert_int_equal(x->grants->len, 1);
	assert_true(sd_grant(x, 0)->agent == agent);
	sd_advance(x, 500);
	assert_answer(x, 2, PD_UNKNOWN, "deadline", false);
	assert_int_equal(x->cancels->len, 1);
	sd_report(x, sd_grant(x, 0), PD_DONE, PD_R_NONE, 600);
	assert_int_equal(x->answers->len, 2);
	sd_free(x);
}

/* Guards against a second run of a task whose agent process was replaced. */
static void
test_agent_replaced(void **state)
{
	dp_agent agents[2];
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_add_agents(x, 1, agents);
	sd_submit(x, "a", 1, 1000, 1);
	dp_agent_down(x->dp, agents[0]);
	sd_advance(x, 100);
	assert_int_equal(x->answers->len, 0);
	(void)sd_connect_agent(x, "e0", 999);
	assert_answer(x, 1, PD_UNKNOWN, "outcome_unknown", false);
	assert_int_equal(x->grants->len, 1);
	sd_free(x);
}

/* Guards against a task that never runs after its grant was lost. */
static void
test_lost_grant(void **state)
{
	struct sd_grant copy;
	dp_agent agents[2];
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_add_agents(x, 2, agents);
	sd_submit(x, "a", 1, 5000, 1);
	assert_int_equal(x->grants->len, 1);
	dp_agent_down(x->dp, sd_grant(x, 0)->agent);
	copy = *sd_grant(x, 0);
	copy.agent = copy.agent == agents[0] ? sd_connect_agent(x, "e0", 100)
					     : sd_connect_agent(x, "e1", 101);
	sd_advance(x, 10);
	assert_int_equal(x->resolves->len, 1);
	sd_report(x, &copy, PD_NOT_STARTED, PD_R_VOIDED, 0);
	assert_int_equal(x->grants->len, 2);
	assert_true(sd_grant(x, 1)->agent != copy.agent);
	sd_finish(x, 1, 50);
	assert_answer(x, 1, PD_COMPLETE, "", false);
	sd_free(x);
}

/*
 * Guards against an overdue grant that is never resolved, and against repeated
 * RESOLVE calls while its task runs.
 */
static void
test_overdue_grant(void **state)
{
	dp_agent agents[2];
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_add_agents(x, 2, agents);
	sd_submit(x, "a", 1, 60000, 1);
	sd_advance(x, 990);
	assert_int_equal(x->resolves->len, 0);
	sd_advance(x, 10);
	assert_int_equal(x->resolves->len, 1);
	sd_report(x, sd_grant(x, 0), PD_RUNNING, PD_R_NONE, 0);
	sd_advance(x, 3000);
	assert_in_range(x->resolves->len, 1, 2);
	sd_report(x, sd_grant(x, 0), PD_NOT_STARTED, PD_R_VOIDED, 0);
	assert_int_equal(x->grants->len, 2);
	sd_finish(x, 1, 10);
	assert_answer(x, 1, PD_COMPLETE, "", false);
	sd_free(x);
}

/*
 * Guards against a task that waits forever once every agent has returned it,
 * and against a key that is granted twice.
 */
static void
test_task_returned_repeatedly(void **state)
{
	dp_agent agents[2];
	struct sd *x;
	unsigned i;

	(void)state;
	x = sd_new("learned");
	sd_add_agents(x, 2, agents);
	sd_submit(x, "a", 1, 60000, 1);
	for (i = 0; i < 6; i++) {
		assert_int_equal(x->grants->len, i + 1);
		assert_int_equal(sd_grant(x, i)->grant.key.attempt, i);
		sd_report(
		    x, sd_grant(x, i), PD_NOT_STARTED, PD_R_QUEUE_FULL, 0);
		sd_advance(x, 30);
	}
	sd_finish(x, 6, 10);
	assert_answer(x, 1, PD_COMPLETE, "", false);
	sd_free(x);
}

/* Guards against stale reports that are applied to another grant. */
static void
test_stale_reports(void **state)
{
	struct sd_grant copy;
	dp_agent agents[2];
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_add_agents(x, 2, agents);
	sd_submit(x, "a", 1, 5000, 1);
	copy = *sd_grant(x, 0);
	copy.agent = copy.agent == agents[0] ? agents[1] : agents[0];
	sd_report(x, &copy, PD_DONE, PD_R_NONE, 1);
	copy = *sd_grant(x, 0);
	copy.grant.key.attempt = 1;
	sd_report(x, &copy, PD_DONE, PD_R_NONE, 1);
	copy.grant.key.attempt = 0;
	copy.grant.key.task = 7;
	sd_report(x, &copy, PD_DONE, PD_R_NONE, 1);
	assert_int_equal(x->answers->len, 0);
	sd_report(x, sd_grant(x, 0), PD_NOT_STARTED, PD_R_QUEUE_FULL, 0);
	assert_int_equal(x->grants->len, 2);
	assert_true(sd_grant(x, 1)->agent != sd_grant(x, 0)->agent);
	/* A late duplicate is not applied to the second grant. */
	sd_report(x, sd_grant(x, 0), PD_NOT_STARTED, PD_R_QUEUE_FULL, 0);
	assert_int_equal(x->grants->len, 2);
	sd_finish(x, 1, 10);
	sd_finish(x, 0, 10);
	assert_answer(x, 1, PD_COMPLETE, "", false);
	sd_free(x);
}

static void
set_unknown_team(struct pd_submit *s)
{
	s->team = "nobody";
}

static void
set_unknown_service(struct pd_submit *s)
{
	s->service = "nothing";
}

static void
set_unknown_az(struct pd_submit *s)
{
	s->az = "nowhere";
}

static void
set_az_without_endpoint(struct pd_submit *s)
{
	s->az = "armor";
}

static void
set_forbidden_team(struct pd_submit *s)
{
	s->team = "ropes";
}

static void
set_created_in_future(struct pd_submit *s)
{
	s->sub.created_ms += 2001;
}

static void
set_created_before_retention(struct pd_submit *s)
{
	s->sub.created_ms -= 600001;
}

/* Guards against jobs that wait for their deadline but can never run. */
static void
test_impossible_jobs(void **state)
{
	static const struct {
		void (*change)(struct pd_submit *s);
		pd_status_code status;
		const char *reason;
		const char *detail;
	} cases[] = {
	    {set_unknown_team, PD_REFUSED, "unknown_team", "\"nobody\""},
	    {set_unknown_service, PD_REFUSED, "unknown_service", "\"nothing\""},
	    {set_unknown_az, PD_REFUSED, "unknown_az", "\"nowhere\""},
	    {set_az_without_endpoint, PD_REFUSED, "no_endpoint", "\"armor\""},
	    {set_forbidden_team, PD_REFUSED, "rule_forbids", "\"no-ropes\""},
	    {set_created_in_future, PD_REFUSED, "created_in_future", ""},
	    {set_created_before_retention, PD_UNKNOWN, "id_expired", ""},
	};
	char id[16];
	struct sd *x;
	unsigned i;

	(void)state;
	x = sd_new("learned");
	ss_put_team(x->state, "ropes", 1, 0);
	ss_put_endpoint(x->state, "z", "armor", "other", 8);
	ss_put_forbid_rule(x->state, "no-ropes", "ropes", "order-desk", "");
	sd_add_endpoint(x, "e0", "finistere");
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		g_snprintf(id, sizeof(id), "job-%u", i);
		sd_submit_as(x, id, 1, 1000, i + 1, cases[i].change);
		assert_answer(x, i + 1, cases[i].status, cases[i].reason,
		    cases[i].status == PD_REFUSED);
		assert_non_null(
		    strstr(sd_answer_to(x, i + 1)->detail, cases[i].detail));
	}
	/* A rule that is added later ends waiting jobs. */
	sd_submit(x, "waits", 1, 60000, 50);
	ss_put_forbid_rule(x->state, "closed", "lids", "order-desk", "");
	dp_configure(x->dp, x->state);
	assert_answer(x, 50, PD_REFUSED, "rule_forbids", true);
	sd_free(x);
}

static void
change_body(struct pd_submit *s)
{
	s->tasks.tasks_val[0].size_ms = 7;
}

/* Guards against a second run of an id, with the same body or another. */
static void
test_duplicate_ids(void **state)
{
	dp_agent agents[1];
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_add_agents(x, 1, agents);
	sd_lookup(x, "a", false, 1);
	assert_int_equal(sd_answer_to(x, 1)->status, PD_NOT_FOUND);
	sd_submit(x, "a", 1, 1000, 2);
	sd_submit(x, "a", 1, 1000, 3);
	sd_lookup(x, "a", false, 4);
	sd_submit(x, "a", 1, 1000, 5);
	dp_detach(x->dp, 5);
	sd_submit_as(x, "a", 1, 1000, 6, change_body);
	assert_answer(x, 6, PD_REFUSED, "id_reused", true);
	sd_finish(x, 0, 10);
	assert_int_equal(x->grants->len, 1);
	assert_answer(x, 2, PD_COMPLETE, "", false);
	assert_answer(x, 3, PD_COMPLETE, "", false);
	assert_answer(x, 4, PD_COMPLETE, "", false);
	assert_int_equal(x->answers->len, 5);
	/* The answer is kept for retention_ms, and no longer. */
	sd_advance(x, 599990);
	assert_int_equal(dp_stats(x->dp).submissions, 1);
	sd_advance(x, 20);
	assert_int_equal(dp_stats(x->dp).submissions, 0);
	sd_submit(x, "a", 1, 1000, 7);
	assert_answer(x, 7, PD_UNKNOWN, "id_expired", false);
	assert_int_equal(x->grants->len, 1);
	sd_free(x);
}

/*
 * Guards against a duplicate that runs although its id was refused for overload
 * before.
 */
static void
test_overload_refusals(void **state)
{
	static const struct dp_settings limits = {
	    .retention_ms = 600000,
	    .clock_error_ms = 2000,
	    .submissions_max = 3,
	    .queue_tasks_max = 10,
	    .seed = 1,
	};
	char id[16];
	struct sd *x;
	unsigned i;

	(void)state;
	x = sd_new_limited("learned", &limits);
	sd_add_endpoint(x, "e0", "finistere");
	sd_submit(x, "big", 11, 1000, 1);
	assert_answer(x, 1, PD_REFUSED, "overload", true);
	for (i = 0; i < 8; i++) {
		g_snprintf(id, sizeof(id), "job-%u", i);
		sd_submit(x, id, 1, 1000, 10 + i);
	}
	assert_int_equal(x->answers->len, 6);
	assert_int_equal(dp_stats(x->dp).submissions, 3);
	sd_advance(x, 1000);
	assert_answer(x, 10, PD_REFUSED, "deadline", true);
	(void)sd_connect_agent(x, "e0", 1);
	sd_advance(x, 10);
	/* Includes ids whose refusal was dropped for lack of space. */
	sd_submit(x, "big", 11, 1000, 30);
	sd_submit(x, "job-3", 1, 1000, 31);
	assert_answer(x, 30, PD_REFUSED, "overload", true);
	assert_answer(x, 31, PD_REFUSED, "overload", true);
	assert_int_equal(x->grants->len, 0);
	sd_free(x);
}

/* Guards against cancelled tasks that start, and a false "not run". */
static void
test_cancel(void **state)
{
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_add_endpoint(x, "e0", "finistere");
	sd_submit(x, "waits", 3, 9000, 1);
	sd_lookup(x, "waits", true, 2);
	assert_answer(x, 1, PD_REFUSED, "cancelled", true);
	assert_answer(x, 2, PD_REFUSED, "cancelled", true);

	(void)sd_connect_agent(x, "e0", 1);
	sd_advance(x, 10);
	sd_submit(x, "granted", 2, 9000, 3);
	sd_lookup(x, "granted", true, 0);
	assert_int_equal(x->cancels->len, 2);
	sd_report(x, sd_grant(x, 0), PD_NOT_STARTED, PD_R_CANCELLED, 0);
	assert_int_equal(x->answers->len, 2);
	sd_report(x, sd_grant(x, 1), PD_NOT_STARTED, PD_R_CANCELLED, 0);
	assert_answer(x, 3, PD_REFUSED, "cancelled", true);

	sd_submit(x, "runs", 2, 9000, 4);
	sd_lookup(x, "runs", true, 0);
	sd_report(x, sd_grant(x, 2), PD_NOT_STARTED, PD_R_CANCELLED, 0);
	sd_report(x, sd_grant(x, 3), PD_DONE, PD_R_NONE, 50);
	assert_answer(x, 4, PD_JOB_FAILED, "cancelled", false);
	assert_int_equal(x->grants->len, 4);
	sd_free(x);
}

/*
 * Guards against cancellations that take quadratic time in total, or leave
 * tasks counted as queued or granted.
 */
static void
test_mass_cancellation(void **state)
{
	struct dp_stats stats;
	char id[16];
	struct sd *x;
	gint64 start;
	unsigned i;

	(void)state;
	x = sd_new("learned");
	sd_add_endpoint(x, "e0", "finistere");
	for (i = 0; i < 10000; i++) {
		g_snprintf(id, sizeof(id), "job-%u", i);
		sd_submit(x, id, 5, 60000, i + 1);
	}
	start = g_get_monotonic_time();
	for (i = 0; i < 10000; i++) {
		g_snprintf(id, sizeof(id), "job-%u", i);
		sd_lookup(x, id, true, 0);
	}
	print_message("10,000 cancellations: %d ms\n",
	    (int)((g_get_monotonic_time() - start) / 1000));
	assert_int_equal(x->answers->len, 10000);
	stats = dp_stats(x->dp);
	assert_int_equal(stats.pending + stats.queued + stats.granted, 0);
	sd_free(x);
}

/* Guards against a failed job that continues or is answered with results. */
static void
test_failed_task(void **state)
{
	dp_agent agents[1];
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_add_agents(x, 1, agents);
	sd_submit(x, "fails", 20, 9000, 1);
	sd_report(x, sd_grant(x, 0), PD_DONE, PD_R_NONE, 10);
	sd_report(x, sd_grant(x, 1), PD_FAILED, PD_R_ENDPOINT_ERROR, 10);
	assert_answer(x, 1, PD_JOB_FAILED, "task_failed", false);
	assert_int_equal(dp_stats(x->dp).queued, 0);
	assert_int_equal(x->cancels->len, x->grants->len - 2);
	sd_finish(x, 2, 10);
	assert_int_equal(dp_stats(x->dp).granted, 0);
	sd_free(x);
}

/*
 * Guards against more than 3 starts of an idempotent request, attempts with the
 * same number, and a retry that waits for the agent to reconnect.
 */
static void
test_idempotent_request(void **state)
{
	dp_agent agents[2];
	struct sd *x;
	unsigned i;

	(void)state;
	x = sd_new("learned");
	sd_add_agents(x, 2, agents);
	sd_submit_request(x, "a", 9000, 1);
	for (i = 0; i < 3; i++) {
		assert_int_equal(x->grants->len, i + 1);
		assert_int_equal(sd_grant(x, i)->grant.key.attempt, i);
		assert_true(sd_grant(x, i)->grant.idempotent);
		sd_report(
		    x, sd_grant(x, i), PD_FAILED, PD_R_ENDPOINT_ERROR, 10);
	}
	assert_answer(x, 1, PD_JOB_FAILED, "task_failed", false);
	assert_int_equal(x->grants->len, 3);

	sd_submit_request(x, "b", 9000, 2);
	dp_agent_down(x->dp, sd_grant(x, 3)->agent);
	assert_int_equal(x->grants->len, 5);
	sd_finish(x, 4, 10);
	assert_answer(x, 2, PD_COMPLETE, "", false);
	sd_free(x);
}

/*
 * Guards against grants by an entry that is not verified and so cannot give
 * permits, and against a false "not run" from one that may no longer be the
 * owner.
 */
static void
test_unverified(void **state)
{
	dp_agent agents[1];
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_add_agents(x, 1, agents);
	dp_set_verified(x->dp, 0);
	sd_submit(x, "a", 1, 1000, 1);
	sd_submit(x, "b", 1, 5000, 2);
	sd_advance(x, 1000);
	assert_answer(x, 1, PD_UNKNOWN, "unverified", false);
	assert_int_equal(x->grants->len, 0);
	dp_set_verified(x->dp, UINT64_MAX);
	assert_int_equal(x->grants->len, 1);
	sd_free(x);
}

/*
 * Guards against an entry that resumes after a pause and relies on a
 * verification that lapsed meanwhile.
 */
static void
test_verification_expires(void **state)
{
	dp_agent agents[1];
	struct pd_id id;
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_add_agents(x, 1, agents);
	dp_set_verified(x->dp, ck_mono_ms(x->clock) + 1000);
	ck_advance_ms(x->clock, 1000);
	sd_submit(x, "a", 1, 5000, 1);
	assert_int_equal(x->grants->len, 0);
	id.id = "a";
	id.created_ms = SD_WALL_MS;
	dp_lookup(x->dp, &id, true, 0);
	assert_answer(x, 1, PD_UNKNOWN, "unverified", false);
	sd_free(x);
}

/* Guards against jobs that wait though their deadline cannot be met. */
static void
test_deadline_unreachable(void **state)
{
	dp_agent agents[1];
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_add_agents(x, 1, agents);
	/* 500 tasks of 100 ms on 8 slots take 6 s. */
	sd_submit(x, "long", 500, 60000, 1);
	sd_submit(x, "late", 510, 2000, 2);
	assert_answer(x, 2, PD_REFUSED, "deadline_unreachable", true);
	sd_submit(x, "fine", 510, 60000, 3);
	assert_int_equal(x->answers->len, 1);
	sd_free(x);
}

/*
 * Guards against grants to endpoints that are out of service or draining, and
 * against an ejected endpoint that gets more than probes, or none.
 */
static void
test_unusable_endpoints(void **state)
{
	dp_agent agents[1];
	unsigned before;
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_add_agents(x, 1, agents);
	ss_set_az(x->state, "finistere", false);
	dp_configure(x->dp, x->state);
	sd_submit(x, "a", 1, 60000, 1);
	assert_int_equal(x->grants->len, 0);
	ss_set_az(x->state, "finistere", true);
	dp_configure(x->dp, x->state);
	assert_int_equal(x->grants->len, 1);
	dp_agent_load(x->dp, agents[0], 0, 0, PD_HEALTHY, true);
	sd_submit(x, "b", 1, 60000, 2);
	assert_int_equal(x->grants->len, 1);
	dp_agent_load(x->dp, agents[0], 0, 0, PD_EJECTED, false);
	assert_int_equal(x->grants->len, 1);
	sd_finish(x, 0, 10);
	sd_submit(x, "c", 8, 60000, 3);
	sd_advance(x, 1100);
	assert_int_equal(x->grants->len, 2);
	sd_report(x, sd_grant(x, 1), PD_NOT_STARTED, PD_R_EJECTED, 0);
	before = x->grants->len;
	sd_advance(x, 10000);
	assert_in_range(x->grants->len - before, 1, 4);
	sd_finish(x, 2, 10);
	dp_agent_load(x->dp, agents[0], 0, 0, PD_HEALTHY, false);
	assert_true(x->grants->len >= 9);
	sd_free(x);
}

static void
gather(struct sd *x, dp_agent agent, const char *id, unsigned task,
    unsigned ntasks, pd_task_state state)
{
	struct pd_record r;

	memset(&r, 0, sizeof(r));
	r.key.sub.id = (char *)id;
	r.key.sub.created_ms = SD_WALL_MS;
	r.key.task = task;
	r.state = state;
	r.ntasks = ntasks;
	if (state == PD_DONE) {
		r.body.body_val = "kept";
		r.body.body_len = 4;
	}
	dp_gathered_record(x->dp, agent, &r);
}

/*
 * Guards against a second run of a task whose start record did not fit into the
 * table, when the records of its partition are then reported as complete.
 */
static void
test_dropped_record(void **state)
{
	static const struct dp_settings settings = {.retention_ms = 600000,
	    .clock_error_ms = 2000,
	    .submissions_max = 1,
	    .queue_tasks_max = 100,
	    .seed = 1};
	dp_agent agents[1];
	struct sd *x;

	(void)state;
	x = sd_new_limited("learned", &settings);
	sd_add_agents(x, 1, agents);
	sd_set_partitions(x, DP_GATHERING, 9, false, 0);
	gather(x, agents[0], "kept", 0, 1, PD_DONE);
	gather(x, agents[0], "dropped", 0, 1, PD_DONE);
	sd_set_partitions(x, DP_ACTIVE, 9, true, 0);
	sd_submit(x, "dropped", 1, 9000, 1);
	assert_int_equal(x->grants->len, 0);
	assert_int_equal(sd_answer_to(x, 1)->status, PD_UNKNOWN);
	sd_free(x);
}

/* Guards against second starts and false refusals after a takeover. */
static void
test_takeover(void **state)
{
	const struct sd_answer *a;
	dp_agent agents[2];
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_add_agents(x, 2, agents);
	sd_submit(x, "moved", 1, 9000, 1);
	sd_set_partitions(x, DP_FOREIGN, 8, false, 0);
	assert_int_equal(sd_answer_to(x, 1)->status, PD_NOT_OWNER);
	sd_submit(x, "moved", 1, 9000, 2);
	assert_int_equal(sd_answer_to(x, 2)->status, PD_NOT_OWNER);
	assert_int_equal(dp_stats(x->dp).granted, 0);

	sd_set_partitions(x, DP_GATHERING, 9, false, 0);
	gather(x, agents[0], "half", 0, 2, PD_DONE);
	gather(x, agents[0], "runs", 0, 1, PD_RUNNING);
	gather(x, agents[0], "all", 0, 2, PD_DONE);
	gather(x, agents[1], "all", 1, 2, PD_DONE);
	sd_submit(x, "half", 2, 9000, 10);
	sd_submit(x, "runs", 1, 9000, 11);
	sd_submit(x, "all", 2, 9000, 12);
	sd_submit(x, "old", 1, 9000, 13);
	sd_submit(x, "soon", 1, 50, 14);
	assert_int_equal(x->grants->len, 1);
	assert_string_equal(sd_answer_to(x, 12)->last, "kept");
	sd_advance(x, 50);
	assert_answer(x, 14, PD_UNKNOWN, "record_lost", false);
	/* Records incomplete: an id from before the takeover may have run. */
	sd_set_partitions(x, DP_ACTIVE, 9, false, SD_WALL_MS);
	assert_answer(x, 13, PD_UNKNOWN, "record_lost", false);
	assert_answer(x, 10, PD_UNKNOWN, "record_lost", false);
	assert_int_equal(x->grants->len, 1);

	/* Records complete: only the task that has not started is granted. */
	sd_set_partitions(x, DP_FOREIGN, 10, false, 0);
	sd_set_partitions(x, DP_GATHERING, 11, false, 0);
	gather(x, agents[0], "half", 0, 2, PD_DONE);
	sd_submit(x, "half", 2, 9000, 20);
	sd_set_partitions(x, DP_ACTIVE, 11, true, SD_WALL_MS);
	assert_int_equal(x->grants->len, 2);
	assert_int_equal(sd_grant(x, 1)->grant.key.task, 1);
	assert_int_equal(sd_grant(x, 1)->grant.view, 11);
	sd_finish(x, 1, 10);
	a = sd_answer_to(x, 20);
	assert_int_equal(a->status, PD_COMPLETE);
	assert_string_equal(a->first, "kept");
	assert_string_equal(a->last, "r:half/1");
	sd_free(x);
}

static void
set_created_ahead(struct pd_submit *s)
{
	s->sub.created_ms = SD_WALL_MS + 1500;
}

/*
 * Guards against "not run" for an id that is in the future of this entry when
 * the entry cannot know whether a former owner, whose clock is ahead, ran it.
 */
static void
test_future_id_after_takeover(void **state)
{
	dp_agent agents[1];
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_add_agents(x, 1, agents);
	sd_set_partitions(x, DP_GATHERING, 9, false, SD_WALL_MS);
	sd_submit_as(x, "gathering", 1, 9000, 1, set_created_ahead);
	assert_int_equal(sd_answer_to(x, 1)->status, PD_UNKNOWN);
	assert_false(sd_answer_to(x, 1)->not_run);
	sd_set_partitions(x, DP_ACTIVE, 9, false, SD_WALL_MS);
	sd_submit_as(x, "incomplete", 1, 9000, 2, set_created_ahead);
	assert_int_equal(sd_answer_to(x, 2)->status, PD_UNKNOWN);
	sd_set_partitions(x, DP_ACTIVE, 9, true, 0);
	sd_submit_as(x, "provable", 1, 9000, 3, set_created_ahead);
	assert_answer(x, 3, PD_REFUSED, "created_in_future", true);
	dp_set_verified(x->dp, 0);
	sd_submit_as(x, "unverified", 1, 9000, 4, set_created_ahead);
	assert_int_equal(sd_answer_to(x, 4)->status, PD_UNKNOWN);
	assert_int_equal(x->grants->len, 0);
	sd_free(x);
}

static void
set_created_early(struct pd_submit *s)
{
	s->sub.created_ms = SD_WALL_MS - 300000;
}

/*
 * Guards against a second run of an id whose answer is forgotten before the id
 * counts as expired: at the end of its lifetime, and when the wall clock was
 * ahead and is corrected.
 */
static void
test_forgotten_id(void **state)
{
	dp_agent agents[1];
	struct sd *x;

	(void)state;
	x = sd_new("learned");
	sd_add_agents(x, 1, agents);
	sd_submit(x, "a", 1, 1000, 1);
	sd_finish(x, 0, 50);
	sd_advance(x, 600000);
	assert_int_equal(dp_stats(x->dp).submissions, 0);
	sd_submit(x, "a", 1, 1000, 2);
	assert_int_equal(x->grants->len, 1);
	assert_answer(x, 2, PD_UNKNOWN, "id_expired", false);
	sd_free(x);

	x = sd_new("learned");
	sd_add_agents(x, 1, agents);
	sd_submit_as(x, "b", 1, 1000, 1, set_created_early);
	sd_finish(x, 0, 50);
	sd_advance(x, 310000);
	assert_int_equal(dp_stats(x->dp).submissions, 0);
	ck_step_wall_ms(x->clock, -300000);
	sd_submit_as(x, "b", 1, 1000, 2, set_created_early);
	assert_int_equal(x->grants->len, 1);
	assert_answer(x, 2, PD_UNKNOWN, "id_expired", false);
	sd_submit_as(x, "c", 1, 1000, 3, NULL);
	assert_int_equal(x->grants->len, 2);
	sd_free(x);
}

int
main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_complete),
	    cmocka_unit_test(test_answers_at_deadline),
	    cmocka_unit_test(test_agent_replaced),
	    cmocka_unit_test(test_lost_grant),
	    cmocka_unit_test(test_overdue_grant),
	    cmocka_unit_test(test_task_returned_repeatedly),
	    cmocka_unit_test(test_stale_reports),
	    cmocka_unit_test(test_impossible_jobs),
	    cmocka_unit_test(test_duplicate_ids),
	    cmocka_unit_test(test_overload_refusals),
	    cmocka_unit_test(test_cancel),
	    cmocka_unit_test(test_mass_cancellation),
	    cmocka_unit_test(test_failed_task),
	    cmocka_unit_test(test_idempotent_request),
	    cmocka_unit_test(test_unverified),
	    cmocka_unit_test(test_dropped_record),
	    cmocka_unit_test(test_verification_expires),
	    cmocka_unit_test(test_deadline_unreachable),
	    cmocka_unit_test(test_unusable_endpoints),
	    cmocka_unit_test(test_takeover),
	    cmocka_unit_test(test_future_id_after_takeover),
	    cmocka_unit_test(test_forgotten_id),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
