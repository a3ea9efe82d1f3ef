#include "gate_fixture.h"

#define ENTRY_1 11 /* incarnations of two entries */
#define ENTRY_2 22

static int64_t
counter(const struct fix *f, const char *name, const char *labels)
{
	return (ct_value(ct_get(f->counters, CT_COUNTER, name, "", labels)));
}

/* Guards against a start on an expired permit when the process was paused at
 * any step between the heartbeat and the start. */
static void
test_permit_age_at_start(void **state)
{
	static const struct {
		const char *where;
		unsigned before_permit;
		unsigned before_grant;
		unsigned before_slot;
		bool starts;
	} cases[] = {
	    {"no pause", 0, 0, 0, true},
	    {"limit reached exactly", 1650, 0, 0, true},
	    {"reply late", 1651, 0, 0, false},
	    {"between permit and grant", 0, 1651, 0, false},
	    {"in the queue", 0, 0, 1651, false},
	    {"in parts", 600, 600, 451, false},
	    {"in parts, within the limit", 600, 600, 450, true},
	};
	struct fix *f = *state;
	ga_session s, other;
	uint64_t heartbeat;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fix_new_gate(f);
		f->nstarts = 0;
		s = ga_session_opened(f->gate, ENTRY_1);
		other = ga_session_opened(f->gate, ENTRY_2);
		fix_permit(f, other);
		fix_grant(f, other, "busy", 0);
		fix_grant(f, other, "busy", 1);
		assert_int_equal(2, f->nstarts);
		heartbeat = ck_mono_ms(f->clock);
		ck_advance_ms(f->clock, cases[i].before_permit);
		fix_permit_at(f, s, heartbeat);
		ck_advance_ms(f->clock, cases[i].before_grant);
		fix_grant(f, s, "job", 0);
		ck_advance_ms(f->clock, cases[i].before_slot);
		fix_end_call(f, 0, GA_OK, 1);
		if ((f->nstarts == 3) != cases[i].starts)
			fail_msg("%s: started %zu", cases[i].where, f->nstarts);
		/* A task that did not start waits for the next permit. */
		fix_permit(f, s);
		assert_int_equal(3, f->nstarts);
	}
}

/* Guards against a slot thread that was paused between the check of the permit
 * and its call, and calls the endpoint after the permit has expired. */
static void
test_start_carries_permit_expiry(void **state)
{
	struct fix *f = *state;
	ga_session s = ga_session_opened(f->gate, ENTRY_1);
	uint64_t now = ck_mono_ms(f->clock);

	fix_permit(f, s);
	ck_advance_ms(f->clock, 500);
	fix_grant(f, s, "job", 0);
	assert_int_equal(now + GA_PERMIT_MAX_AGE_MS, f->starts[0].start_by_ms);
	fix_end_call(f, 0, GA_PERMIT_EXPIRED, 0);
	assert_int_equal(PD_NOT_STARTED, fix_last_report(f)->state);
	assert_int_equal(PD_R_NO_PERMIT, fix_last_report(f)->reason);
	assert_int_equal(PD_HEALTHY, ga_stats(f->gate).health);
}

/* Guards against a start on a permit of an unverified entry, of an older
 * revision or with a clock reading in the future. */
static void
test_permit_ignored(void **state)
{
	struct fix *f = *state;
	uint64_t now = ck_mono_ms(f->clock);
	const struct {
		const char *what;
		struct pd_permit permit;
	} cases[] = {
	    {"entry is unverified", {false, now, 9, 1, true}},
	    {"older revision", {true, now, 8, 1, true}},
	    {"clock reading of the future", {true, now + 1, 9, 1, true}},
	};
	ga_session s, other;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fix_new_gate(f);
		f->nstarts = 0;
		f->revision = 9;
		s = ga_session_opened(f->gate, ENTRY_1);
		other = ga_session_opened(f->gate, ENTRY_2);
		fix_permit(f, other);
		fix_grant(f, s, "job", 0);
		ga_permit(f->gate, s, &cases[i].permit);
		if (f->nstarts != 0)
			fail_msg("%s: started", cases[i].what);
		assert_int_equal(9, ga_stats(f->gate).revision);
	}
	assert_int_equal(2, counter(f, "pd_agent_permits_ignored_total", ""));
}

/* Guards against a permit of one entry that starts another entry's task, and
 * against a late reply that replaces a newer permit by an older one. */
static void
test_permit_belongs_to_entry(void **state)
{
	struct fix *f = *state;
	ga_session s1 = ga_session_opened(f->gate, ENTRY_1);
	ga_session s2 = ga_session_opened(f->gate, ENTRY_2);
	uint64_t now = ck_mono_ms(f->clock);

	fix_permit(f, s2);
	fix_grant(f, s1, "job", 0);
	assert_int_equal(0, f->nstarts);
	fix_permit(f, s1);
	assert_int_equal(1, f->nstarts);
	ck_advance_ms(f->clock, 1000);
	fix_permit(f, s1);
	fix_permit_at(f, s1, now);
	ck_advance_ms(f->clock, 1000);
	fix_grant(f, s1, "job", 1);
	assert_int_equal(2, f->nstarts);
}

/* Guards against starts in a zone or at an endpoint out of service, also if an
 * entry with an older revision still reports it as in service. */
static void
test_out_of_service(void **state)
{
	struct fix *f = *state;
	ga_session s1 = ga_session_opened(f->gate, ENTRY_1);
	ga_session s2 = ga_session_opened(f->gate, ENTRY_2);
	const struct pd_permit out = {true, ck_mono_ms(f->clock), 5, 1, false};

	f->revision = 4;
	fix_permit_and_grant(f, s1, "job", 4);
	assert_int_equal(2, f->nstarts);
	ga_permit(f->gate, s2, &out);
	assert_int_equal(
	    2, fix_count_reports(f, PD_NOT_STARTED, PD_R_OUT_OF_SERVICE));
	fix_permit(f, s1);
	fix_end_call(f, 0, GA_OK, 1);
	assert_int_equal(PD_DONE, fix_last_report(f)->state);
	fix_grant(f, s1, "job", 5);
	assert_int_equal(PD_R_OUT_OF_SERVICE, fix_last_report(f)->reason);
	assert_int_equal(2, f->nstarts);
	f->revision = 6;
	fix_permit(f, s1);
	fix_grant(f, s1, "job", 5);
	assert_int_equal(3, f->nstarts);
}

/* Guards against a start of a grant for another incarnation, without time left
 * or from an unknown session. */
static void
test_refused_on_arrival(void **state)
{
	struct fix *f = *state;
	ga_session s = ga_session_opened(f->gate, ENTRY_1);
	struct pd_grant g;

	fix_permit(f, s);
	g = fix_make_grant("job", 0);
	g.incarnation = FIX_INCARNATION - 1;
	ga_grant(f->gate, s, &g);
	assert_int_equal(PD_R_WRONG_INCARNATION, fix_last_report(f)->reason);
	g = fix_make_grant("job", 0);
	g.timeout_ms = 0;
	ga_grant(f->gate, s, &g);
	assert_int_equal(PD_R_DEADLINE, fix_last_report(f)->reason);
	assert_int_equal(2, f->nreports);
	fix_grant(f, GA_NO_SESSION, "job", 0);
	fix_grant(f, s + 100, "job", 0);
	assert_int_equal(2, f->nreports);
	assert_int_equal(0, f->nstarts);
	/* A refusal leaves no record, so the key may be granted again. */
	fix_grant(f, s, "job", 0);
	assert_int_equal(1, f->nstarts);
	assert_int_equal(1,
	    counter(
		f, "pd_agent_refusals_total", "reason=\"wrong_incarnation\""));
}

/* Guards against a restarted agent that takes grants meant for the process
 * before it, which may have started the task. */
static void
test_restart_refuses_old_incarnation(void **state)
{
	struct fix *f = *state;
	ga_session s = ga_session_opened(f->gate, ENTRY_1);

	fix_permit(f, s);
	fix_grant(f, s, "job", 0);
	assert_int_equal(1, f->nstarts);
	f->settings.incarnation = FIX_INCARNATION + 1;
	fix_new_gate(f);
	s = ga_session_opened(f->gate, ENTRY_1);
	fix_permit(f, s);
	fix_grant(f, s, "job", 0);
	assert_int_equal(1, f->nstarts);
	assert_int_equal(PD_NOT_STARTED, fix_last_report(f)->state);
	assert_int_equal(PD_R_WRONG_INCARNATION, fix_last_report(f)->reason);
}

/* Guards against an unbounded queue, and against slots that stay free while
 * grants are queued. */
static void
test_queue_bound(void **state)
{
	struct fix *f = *state;
	ga_session s = ga_session_opened(f->gate, ENTRY_1);

	fix_permit_and_grant(f, s, "job", 7);
	assert_int_equal(2, f->nstarts);
	assert_int_equal(4, ga_stats(f->gate).queued);
	assert_int_equal(1, f->nreports);
	assert_int_equal(PD_R_QUEUE_FULL, fix_last_report(f)->reason);
	assert_int_equal(6, fix_last_report(f)->task);
	fix_end_call(f, 1, GA_OK, 1);
	assert_int_equal(3, f->nstarts);
	assert_int_equal(2, f->starts[2].task);
	assert_int_equal(1, f->starts[2].slot);
}

/* Guards against an entry without permits whose grants fill the queue, so that
 * other entries can't use it. */
static void
test_queue_prefers_permitted(void **state)
{
	struct fix *f = *state;
	ga_session s1 = ga_session_opened(f->gate, ENTRY_1);
	ga_session s2 = ga_session_opened(f->gate, ENTRY_2);
	unsigned i;

	for (i = 0; i < 4; i++)
		fix_grant(f, s1, "stuck", i);
	fix_permit_and_grant(f, s2, "job", 3);
	assert_int_equal(2, f->nstarts);
	assert_int_equal(1, f->nreports);
	assert_int_equal(s1, fix_last_report(f)->session);
	assert_int_equal(PD_R_NO_PERMIT, fix_last_report(f)->reason);
	fix_grant(f, s1, "stuck", 9);
	assert_int_equal(PD_R_QUEUE_FULL, fix_last_report(f)->reason);
}

/* Guards against a start after the deadline, and against a timeout that leaves
 * out the time in the queue. */
static void
test_deadline_in_queue(void **state)
{
	struct fix *f = *state;
	ga_session s = ga_session_opened(f->gate, ENTRY_1);
	struct pd_grant g = fix_make_grant("late", 0);
	uint64_t now;

	g.timeout_ms = 300;
	ga_grant(f->gate, s, &g);
	fix_grant(f, s, "job", 0);
	ck_advance_ms(f->clock, 299);
	ga_tick(f->gate);
	assert_int_equal(0, f->nreports);
	now = ck_mono_ms(f->clock);
	ck_advance_ms(f->clock, 1);
	fix_permit_at(f, s, now);
	assert_int_equal(1, f->nreports);
	assert_int_equal(PD_R_DEADLINE, fix_last_report(f)->reason);
	assert_int_equal(1, f->nstarts);
	assert_string_equal("job", f->starts[0].id);
	assert_int_equal(59700, f->starts[0].timeout_ms);
}

/* Guards against a second start of a key, in any state of its task. */
static void
test_duplicate_grants(void **state)
{
	static const struct {
		enum ga_outcome outcome;
		enum pd_task_state state;
		enum pd_reason reason;
	} cases[] = {
	    {GA_OK, PD_DONE, PD_R_NONE},
	    {GA_REJECTED, PD_FAILED, PD_R_ENDPOINT_ERROR},
	    {GA_ERROR, PD_FAILED, PD_R_ENDPOINT_ERROR},
	    {GA_CONN_LOST, PD_OUTCOME_UNKNOWN, PD_R_ENDPOINT_ERROR},
	    {GA_TIMEOUT, PD_OUTCOME_UNKNOWN, PD_R_ENDPOINT_TIMEOUT},
	};
	struct fix *f = *state;
	ga_session s;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fix_new_gate(f);
		f->nstarts = 0;
		s = ga_session_opened(f->gate, ENTRY_1);
		fix_grant(f, s, "job", 0);
		fix_grant(f, s, "job", 0);
		assert_int_equal(PD_QUEUED, fix_last_report(f)->state);
		assert_int_equal(PD_R_DUPLICATE, fix_last_report(f)->reason);
		fix_permit(f, s);
		fix_grant(f, s, "job", 0);
		assert_int_equal(PD_RUNNING, fix_last_report(f)->state);
		assert_int_equal(PD_R_DUPLICATE, fix_last_report(f)->reason);
		fix_end_call(f, 0, cases[i].outcome, 5);
		assert_int_equal(cases[i].state, fix_last_report(f)->state);
		assert_int_equal(cases[i].reason, fix_last_report(f)->reason);
		f->nreports = 0;
		fix_grant(f, s, "job", 0);
		assert_int_equal(cases[i].state, fix_last_report(f)->state);
		assert_int_equal(cases[i].reason, fix_last_report(f)->reason);
		assert_int_equal(cases[i].outcome == GA_OK ? 5 : 0,
		    fix_last_report(f)->body_len);
		assert_int_equal(1, f->nstarts);
	}
}

/* Guards against a task that starts under two attempts although its submission
 * is not idempotent or has several tasks. */
static void
test_other_attempts(void **state)
{
	static const struct {
		bool idempotent;
		unsigned ntasks;
		unsigned starts;
	} cases[] = {
	    {false, 1, 1},
	    {false, 3, 1},
	    {true, 3, 1},
	    {true, 1, 2},
	};
	struct fix *f = *state;
	struct pd_grant g;
	ga_session s;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fix_new_gate(f);
		f->nstarts = 0;
		s = ga_session_opened(f->gate, ENTRY_1);
		fix_permit(f, s);
		g = fix_make_grant("job", 0);
		g.idempotent = cases[i].idempotent;
		g.ntasks = cases[i].ntasks;
		ga_grant(f->gate, s, &g);
		g.key.attempt = 1;
		ga_grant(f->gate, s, &g);
		assert_int_equal(cases[i].starts, f->nstarts);
		fix_end_call(f, 0, GA_ERROR, 0);
		g.key.attempt = 2;
		ga_grant(f->gate, s, &g);
		if (cases[i].starts == 1)
			assert_int_equal(
			    PD_R_DUPLICATE, fix_last_report(f)->reason);
	}
	/* The idempotent flag of a later attempt does not affect the first. */
	fix_new_gate(f);
	f->nstarts = 0;
	s = ga_session_opened(f->gate, ENTRY_1);
	fix_permit(f, s);
	g = fix_make_grant("mixed", 0);
	g.ntasks = 1;
	ga_grant(f->gate, s, &g);
	g.key.attempt = 1;
	g.idempotent = true;
	ga_grant(f->gate, s, &g);
	assert_int_equal(1, f->nstarts);
}

/* Guards against a start of a delayed grant whose key RESOLVE has reported as
 * not started, so that the task may run at another endpoint. */
static void
test_voided_grant(void **state)
{
	struct fix *f = *state;
	ga_session s = ga_session_opened(f->gate, ENTRY_1);
	struct pd_record r;

	fix_permit(f, s);
	r = fix_resolve(f, fix_key("job", 0));
	assert_int_equal(PD_NOT_STARTED, r.state);
	assert_int_equal(PD_R_VOIDED, r.reason);
	ga_session_closed(f->gate, s);
	s = ga_session_opened(f->gate, ENTRY_1);
	fix_grant(f, s, "job", 0);
	assert_int_equal(0, f->nstarts);
	assert_int_equal(PD_NOT_STARTED, fix_last_report(f)->state);
	assert_int_equal(PD_R_VOIDED, fix_last_report(f)->reason);
	/* Other tasks are not affected. */
	fix_grant(f, s, "job", 1);
	assert_int_equal(1, f->nstarts);
	/* A higher fence refuses the delayed grant by its view, so it removes
	 * the voided key, which a new owner may use then; repeating the same
	 * fence removes nothing. */
	fix_fence(f, s, FIX_ALL_PARTITIONS, 2);
	fix_resolve(f, fix_key("other", 0));
	/* The fence reply contains the running task but no voided keys. */
	assert_int_equal(
	    1, fix_fence(f, s, FIX_ALL_PARTITIONS, 2).list.list_len);
	fix_grant(f, s, "job", 0);
	assert_int_equal(PD_R_STALE_VIEW, fix_last_report(f)->reason);
	assert_int_equal(
	    PD_R_VOIDED, fix_resolve(f, fix_key("other", 0)).reason);
}

/* Guards against a task that is resolved as not started, and so granted to
 * another endpoint, though it started here under another attempt number. */
static void
test_resolve_other_attempt(void **state)
{
	struct fix *f = *state;
	ga_session s = ga_session_opened(f->gate, ENTRY_1);
	struct pd_grant g = fix_make_grant("job", 0);
	struct pd_record r;

	fix_permit(f, s);
	g.key.attempt = 1;
	ga_grant(f->gate, s, &g);
	assert_int_equal(1, f->nstarts);
	r = fix_resolve(f, fix_key("job", 0));
	assert_int_equal(PD_OUTCOME_UNKNOWN, r.state);
	assert_int_equal(PD_R_DUPLICATE, r.reason);
	fix_end_call(f, 0, GA_OK, 7);
	assert_int_equal(
	    PD_OUTCOME_UNKNOWN, fix_resolve(f, fix_key("job", 0)).state);
	assert_int_equal(PD_DONE, fix_resolve(f, g.key).state);

	/* An attempt that did not start excludes no other. */
	g = fix_make_grant("job", 1);
	ga_grant(f->gate, s, &g);
	fix_end_call(f, 0, GA_CONN_REFUSED, 0);
	g.key.attempt = 1;
	assert_int_equal(PD_NOT_STARTED, fix_resolve(f, g.key).state);

	/* An idempotent request may start again. */
	g = fix_make_grant("request", 0);
	g.idempotent = true;
	g.ntasks = 1;
	ga_grant(f->gate, s, &g);
	fix_end_call(f, 0, GA_CONN_LOST, 0);
	g.key.attempt = 1;
	assert_int_equal(PD_NOT_STARTED, fix_resolve(f, g.key).state);
}

/* Guards against a RESOLVE that changes or misreports the state of a key that
 * has a record. */
static void
test_resolve_known(void **state)
{
	struct fix *f = *state;
	ga_session s = ga_session_opened(f->gate, ENTRY_1);
	struct pd_record r;

	fix_grant(f, s, "job", 0);
	assert_int_equal(PD_QUEUED, fix_resolve(f, fix_key("job", 0)).state);
	fix_permit(f, s);
	assert_int_equal(PD_RUNNING, fix_resolve(f, fix_key("job", 0)).state);
	ga_session_closed(f->gate, s);
	ck_advance_ms(f->clock, 40);
	fix_end_call(f, 0, GA_OK, 7);
	assert_int_equal(0, f->nreports);
	r = fix_resolve(f, fix_key("job", 0));
	assert_int_equal(PD_DONE, r.state);
	assert_int_equal(7, r.body.body_len);
	assert_int_equal(3, r.ntasks);
	assert_int_equal(40, r.run_ms);
	assert_int_equal(1, r.revision);
}

/* Guards against a cancellation that stops a running task or reports a task
 * twice. */
static void
test_cancel_queued_only(void **state)
{
	struct fix *f = *state;
	ga_session s = ga_session_opened(f->gate, ENTRY_1);
	struct pd_key key;
	unsigned i;

	fix_permit_and_grant(f, s, "job", 4);
	for (i = 0; i < 5; i++) {
		key = fix_key("job", i);
		ga_cancel(f->gate, &key);
		ga_cancel(f->gate, &key);
	}
	assert_int_equal(2, f->nreports);
	assert_int_equal(
	    2, fix_count_reports(f, PD_NOT_STARTED, PD_R_CANCELLED));
	assert_int_equal(2, ga_stats(f->gate).running);
	fix_end_call(f, 0, GA_OK, 1);
	assert_int_equal(PD_DONE, fix_last_report(f)->state);
	assert_int_equal(2, f->nstarts);
}

/* Guards against a grant of the old owner that starts after a takeover, whether
 * it was queued or still in transit. */
static void
test_fence_stops_old_owner(void **state)
{
	struct fix *f = *state;
	ga_session s1 = ga_session_opened(f->gate, ENTRY_1);
	ga_session s2 = ga_session_opened(f->gate, ENTRY_2);
	struct pd_fence_reply reply;
	struct pd_grant g;

	fix_permit_and_grant(f, s1, "job", 3);
	reply = fix_fence(f, s2, FIX_ALL_PARTITIONS, 5);
	assert_false(reply.refused);
	assert_int_equal(FIX_INCARNATION, reply.incarnation);
	assert_int_equal(0, reply.next);
	assert_int_equal(2, reply.list.list_len);
	assert_int_equal(PD_RUNNING, reply.list.list_val[0].state);
	assert_int_equal(1, f->nreports);
	assert_int_equal(PD_R_STALE_VIEW, fix_last_report(f)->reason);
	assert_int_equal(2, fix_last_report(f)->task);
	assert_int_equal(s2, fix_last_report(f)->session);
	fix_grant(f, s1, "job", 2);
	assert_int_equal(s1, fix_last_report(f)->session);
	assert_int_equal(PD_R_STALE_VIEW, fix_last_report(f)->reason);
	fix_end_call(f, 0, GA_OK, 9);
	assert_int_equal(s2, fix_last_report(f)->session);
	assert_int_equal(PD_DONE, fix_last_report(f)->state);
	assert_int_equal(2, f->nstarts);
	fix_permit(f, s2);
	g = fix_make_grant("job", 2);
	g.view = 5;
	ga_grant(f->gate, s2, &g);
	assert_int_equal(3, f->nstarts);
	reply = fix_fence(f, s1, FIX_ALL_PARTITIONS, 4);
	assert_true(reply.refused);
	assert_int_equal(0, reply.list.list_len);
}

/* Guards against a fence that affects other partitions. */
static void
test_fence_of_one_partition(void **state)
{
	struct fix *f = *state;
	ga_session s1 = ga_session_opened(f->gate, ENTRY_1);
	ga_session s2 = ga_session_opened(f->gate, ENTRY_2);
	const struct pd_id a = fix_id("job-a"), b = fix_id("job-b");
	struct pd_fence_reply reply;

	assert_true(pt_partition(&a) != pt_partition(&b));
	fix_permit(f, s1);
	fix_grant(f, s1, "job-a", 0);
	fix_grant(f, s1, "job-b", 0);
	fix_grant(f, s1, "job-a", 1);
	fix_grant(f, s1, "job-b", 1);
	reply = fix_fence(f, s2, pt_bit(pt_partition(&a)), 2);
	assert_int_equal(1, reply.list.list_len);
	assert_string_equal("job-a", reply.list.list_val[0].key.sub.id);
	assert_int_equal(1, f->nreports);
	assert_string_equal("job-a", fix_last_report(f)->id);
	fix_end_call(f, 0, GA_OK, 1);
	assert_int_equal(s2, fix_last_report(f)->session);
	assert_string_equal("job-b", f->starts[2].id);
	fix_end_call(f, 1, GA_OK, 1);
	assert_int_equal(s1, fix_last_report(f)->session);
}

/* Guards against reports that are lost when an entry opens a new session. */
static void
test_reports_follow_reconnected_entry(void **state)
{
	struct fix *f = *state;
	ga_session s1 = ga_session_opened(f->gate, ENTRY_1);
	ga_session s2;

	fix_permit(f, s1);
	fix_grant(f, s1, "job", 0);
	fix_grant(f, s1, "job", 1);
	ga_session_closed(f->gate, s1);
	s2 = ga_session_opened(f->gate, ENTRY_1);
	/* The end of the old connection may be noticed late. */
	ga_session_closed(f->gate, s1);
	fix_end_call(f, 0, GA_OK, 1);
	assert_int_equal(s2, fix_last_report(f)->session);
	/* The entry that fenced is disconnected: no other entry gets the
	 * report, and its next FENCE returns the record. */
	s1 = ga_session_opened(f->gate, ENTRY_2);
	fix_fence(f, s1, FIX_ALL_PARTITIONS, 3);
	ga_session_closed(f->gate, s1);
	f->nreports = 0;
	fix_end_call(f, 1, GA_OK, 6);
	assert_int_equal(0, f->nreports);
	s1 = ga_session_opened(f->gate, ENTRY_2);
	assert_int_equal(
	    2, fix_fence(f, s1, FIX_ALL_PARTITIONS, 3).list.list_len);
}

/* Guards against a restarted agent, which has lost its fences, that starts the
 * grants of an owner that was paused while it was removed. */
static void
test_restart_without_fence_and_paused_owner(void **state)
{
	struct fix *f = *state;
	ga_session paused, s2;
	uint64_t heartbeat_ms;
	unsigned i;

	paused = ga_session_opened(f->gate, ENTRY_1);
	fix_permit(f, paused);
	heartbeat_ms = ck_mono_ms(f->clock);
	s2 = ga_session_opened(f->gate, ENTRY_2);
	fix_fence(f, s2, FIX_ALL_PARTITIONS, 9);
	fix_new_gate(f);
	paused = ga_session_opened(f->gate, ENTRY_1);
	/* The grants were sent to this incarnation before the pause. */
	for (i = 0; i < 3; i++)
		fix_grant(f, paused, "job", i);
	ck_advance_ms(f->clock, 3150);
	fix_permit_at(f, paused, heartbeat_ms);
	ga_tick(f->gate);
	assert_int_equal(0, f->nstarts);
	s2 = ga_session_opened(f->gate, ENTRY_2);
	fix_permit(f, s2);
	fix_fence(f, s2, FIX_ALL_PARTITIONS, 9);
	assert_int_equal(
	    3, fix_count_reports(f, PD_NOT_STARTED, PD_R_STALE_VIEW));
	fix_permit(f, paused);
	assert_int_equal(0, f->nstarts);
}

/* Guards against grants of a replaced entry that stay in the queue until their
 * deadline. */
static void
test_entry_replaced(void **state)
{
	struct fix *f = *state;
	ga_session s1 = ga_session_opened(f->gate, ENTRY_1);
	ga_session s2;
	unsigned i;

	for (i = 0; i < 3; i++)
		fix_grant(f, s1, "job", i);
	ga_session_closed(f->gate, s1);
	s2 = ga_session_opened(f->gate, ENTRY_2);
	fix_grant(f, s2, "other", 0);
	ga_entry_replaced(f->gate, ENTRY_1);
	assert_int_equal(1, ga_stats(f->gate).queued);
	assert_int_equal(0, f->nreports);
}

/* Guards against a drain that drops a running task or starts a new one. */
static void
test_drain(void **state)
{
	struct fix *f = *state;
	ga_session s = ga_session_opened(f->gate, ENTRY_1);
	struct pd_heartbeat h;

	fix_permit_and_grant(f, s, "job", 4);
	assert_false(ga_drained(f->gate));
	ga_drain(f->gate);
	assert_int_equal(
	    2, fix_count_reports(f, PD_NOT_STARTED, PD_R_DRAINING));
	fix_grant(f, s, "job", 9);
	assert_int_equal(
	    3, fix_count_reports(f, PD_NOT_STARTED, PD_R_DRAINING));
	ga_heartbeat(f->gate, &h);
	assert_true(h.draining);
	assert_int_equal(2, h.running);
	assert_int_equal(0, h.queued);
	assert_int_equal(ck_mono_ms(f->clock), h.clock_ms);
	fix_end_call(f, 0, GA_OK, 1);
	assert_false(ga_drained(f->gate));
	fix_end_call(f, 1, GA_OK, 1);
	assert_true(ga_drained(f->gate));
	assert_int_equal(2, fix_count_reports(f, PD_DONE, PD_R_NONE));
	assert_int_equal(2, f->nstarts);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    FIX_TEST(test_permit_age_at_start),
	    FIX_TEST(test_start_carries_permit_expiry),
	    FIX_TEST(test_permit_ignored),
	    FIX_TEST(test_permit_belongs_to_entry),
	    FIX_TEST(test_out_of_service),
	    FIX_TEST(test_refused_on_arrival),
	    FIX_TEST(test_restart_refuses_old_incarnation),
	    FIX_TEST(test_queue_bound),
	    FIX_TEST(test_queue_prefers_permitted),
	    FIX_TEST(test_deadline_in_queue),
	    FIX_TEST(test_duplicate_grants),
	    FIX_TEST(test_other_attempts),
	    FIX_TEST(test_voided_grant),
	    FIX_TEST(test_resolve_other_attempt),
	    FIX_TEST(test_resolve_known),
	    FIX_TEST(test_cancel_queued_only),
	    FIX_TEST(test_fence_stops_old_owner),
	    FIX_TEST(test_fence_of_one_partition),
	    FIX_TEST(test_reports_follow_reconnected_entry),
	    FIX_TEST(test_restart_without_fence_and_paused_owner),
	    FIX_TEST(test_entry_replaced),
	    FIX_TEST(test_drain),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
