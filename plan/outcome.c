#include <glib.h>
#include <string.h>

#include "dispatch_impl.h"
#include "partition.h"

/* Inconclusive reports on a task that lead to another RESOLVE. */
#define INCONCLUSIVE_MAX 2
/* Limit on starts of an idempotent request; see docs/design.md, Requests. */
#define STARTS_MAX 3
/* How long an endpoint that returned a grant gets no further grants. */
#define HOLD_FULL_US 20000
#define HOLD_REFUSED_US 250000
/* Delay of the first RESOLVE for a task that was adopted while it ran. */
#define ADOPTED_RESOLVE_US 1000000

static const char *
reason_name(pd_reason r)
{
	static const char *const names[] = {
	    [PD_R_NONE] = "no reason",
	    [PD_R_STALE_VIEW] = "stale view",
	    [PD_R_WRONG_INCARNATION] = "wrong incarnation",
	    [PD_R_NO_PERMIT] = "no permit",
	    [PD_R_OUT_OF_SERVICE] = "out of service",
	    [PD_R_QUEUE_FULL] = "queue full",
	    [PD_R_EJECTED] = "ejected",
	    [PD_R_DRAINING] = "draining",
	    [PD_R_DEADLINE] = "deadline",
	    [PD_R_DUPLICATE] = "duplicate",
	    [PD_R_VOIDED] = "voided",
	    [PD_R_CANCELLED] = "cancelled",
	    [PD_R_ENDPOINT_ERROR] = "error of the endpoint",
	    [PD_R_ENDPOINT_TIMEOUT] = "timeout of the endpoint",
	    [PD_R_ENDPOINT_REFUSED] = "connection refused by the endpoint",
	    [PD_R_FORGOTTEN] = "result no longer kept",
	};

	if ((size_t)r >= sizeof(names) / sizeof(names[0]))
		return ("unknown reason");
	return (names[r]);
}

static const char *
status_name(unsigned status)
{
	static const char *const names[] = {
	    [PD_COMPLETE] = "complete",
	    [PD_JOB_FAILED] = "failed",
	    [PD_REFUSED] = "refused",
	    [PD_UNKNOWN] = "unknown",
	};

	return (status < sizeof(names) / sizeof(names[0]) ? names[status]
							  : "other");
}

void
oc_answer_waiter(struct dp *d, const struct pd_id *id, uint64_t waiter,
    pd_status_code status, const char *reason, const char *detail, bool not_run)
{
	struct pd_answer a;

	if (waiter == 0)
		return;
	memset(&a, 0, sizeof(a));
	a.sub = *id;
	a.status = status;
	a.reason = (char *)reason;
	a.detail = (char *)detail;
	a.not_run = not_run;
	d->ops->answer(d->arg, waiter, &a);
}

void
oc_repeat_answer(struct dp *d, const struct sb *s, uint64_t waiter)
{
	struct pd_answer a;

	if (waiter == 0)
		return;
	sb_fill_answer(s, &a);
	d->ops->answer(d->arg, waiter, &a);
}

static void
count_answer(struct dp *d, const struct sb *s)
{
	ct_increment(d->counters, "pd_answers_total", "answers by status",
	    "status", status_name(s->status));
	if (s->status != PD_COMPLETE)
		ct_increment(d->counters, "pd_not_complete_total",
		    "answers other than complete by reason", "reason",
		    s->reason);
	hi_add(d->history, &s->id, "answered", "%s%s%s", status_name(s->status),
	    s->reason[0] != '\0' ? ": " : "", s->reason);
}

static void
answer_waiters(struct dp *d, struct sb *s)
{
	GArray *waiters;
	struct pd_answer a;
	uint64_t waiter;
	guint i;

	waiters = s->waiters;
	if (waiters == NULL)
		return;
	s->waiters = NULL;
	sb_fill_answer(s, &a);
	for (i = 0; i < waiters->len; i++) {
		waiter = g_array_index(waiters, uint64_t, i);
		g_hash_table_remove(
		    d->table.waiters, (gpointer)(uintptr_t)waiter);
		d->ops->answer(d->arg, waiter, &a);
	}
	g_array_free(waiters, TRUE);
}

static void
cancel_grants(struct dp *d, const struct sb *s)
{
	const struct sb_task *t;
	struct pd_key key;
	uint32_t i;

	for (i = 0; s->ngranted > 0 && i < s->ntasks; i++) {
		t = &s->tasks[i];
		if (t->state != SB_GRANTED || t->ep == NULL ||
		    t->ep->session == PL_NONE)
			continue;
		key.sub = s->id;
		key.task = t->index;
		key.attempt = t->attempt;
		d->ops->cancel(d->arg, t->ep->session, &key);
	}
}

/* Ends the tasks that wait at the entry. */
static void
drop_waiting(struct dp *d, struct sb *s)
{
	uint32_t i;

	if (s->phase == SB_RUNNING) {
		pm_dequeue(d, s);
		pm_add_waiting(d, s, -(int)s->nwaiting);
	}
	for (i = 0; s->nwaiting > 0 && i < s->ntasks; i++)
		if (s->tasks[i].state == SB_WAITING) {
			s->tasks[i].state = SB_ENDED;
			s->nwaiting--;
		}
}

void
oc_finish(struct dp *d, struct sb *s, pd_status_code status, const char *reason,
    char *detail, bool not_run)
{
	drop_waiting(d, s);
	hp_remove(&d->deadline_checks, &s->deadline_check);
	if (s->has_payload && s->phase != SB_ANSWERED)
		d->pending--;
	s->phase = SB_ANSWERED;
	s->status = (uint8_t)status;
	s->reason = reason;
	g_free(s->detail);
	s->detail = detail != NULL ? detail : g_strdup("");
	s->not_run = not_run;
	count_answer(d, s);
	if (!s->withdrawn)
		cancel_grants(d, s);
	if (s->ngranted == 0)
		sb_free_tasks(s);
	answer_waiters(d, s);
}

bool
oc_records_sufficient(const struct dp *d, const struct sb *s)
{
	const struct partition *p;

	p = &d->partitions[s->partition];
	return (p->state == DP_ACTIVE &&
	    (p->takeover_ms == 0 || p->records_complete || s->nwaiting == 0 ||
		s->phase == SB_RUNNING ||
		s->id.created_ms >
		    p->takeover_ms + d->settings.clock_error_ms));
}

bool
oc_not_run_provable(const struct dp *d, const struct pd_id *id)
{
	const struct partition *p;

	p = &d->partitions[pt_partition(id)];
	return (dp_verified(d) && p->state == DP_ACTIVE &&
	    (p->takeover_ms == 0 || p->records_complete ||
		id->created_ms > p->takeover_ms + d->settings.clock_error_ms));
}

void
oc_abort(struct dp *d, struct sb *s, const char *reason, char *detail)
{
	if (!oc_records_sufficient(d, s)) {
		g_free(detail);
		oc_finish(d, s, PD_UNKNOWN, "record_lost",
		    g_strdup("The start records of a former owner of this id "
			     "are not complete."),
		    false);
	} else if (s->ngranted > 0 || s->outcome_lost || s->retried_unresolved)
		oc_finish(d, s, PD_UNKNOWN, reason, detail, false);
	else if (s->nstarted > 0)
		oc_finish(d, s, PD_JOB_FAILED, reason, detail, false);
	else if (!dp_verified(d)) {
		g_free(detail);
		oc_finish(d, s, PD_UNKNOWN, "unverified",
		    g_strdup("This entry started nothing, but could not "
			     "verify that it still owns the id."),
		    false);
	} else
		oc_finish(d, s, PD_REFUSED, reason, detail, true);
}

void
oc_finish_if_decided(struct dp *d, struct sb *s)
{
	if (s->phase == SB_ANSWERED) {
		if (s->ngranted == 0)
			sb_free_tasks(s);
	} else if (s->ndone == s->ntasks)
		oc_finish(d, s, PD_COMPLETE, "", NULL, false);
	else if (s->outcome_lost)
		oc_finish(d, s, PD_UNKNOWN, "outcome_unknown",
		    g_strdup("A task was sent to an endpoint and its outcome "
			     "is not known."),
		    false);
	else if (s->task_failed)
		oc_finish(d, s, PD_JOB_FAILED, "task_failed",
		    g_strdup("A task ran and failed."), false);
	else if (s->withdrawn && s->ngranted == 0 &&
	    d->partitions[s->partition].state == DP_ACTIVE)
		oc_abort(d, s, s->reason, g_strdup(s->detail));
}

/*
 * Removes an outstanding grant from its endpoint, the quota and all counts.
 * @used_ms: slot time that it took
 */
static struct ep *
release_grant(struct dp *d, struct sb_task *t, double used_ms)
{
	struct ep *e;
	struct sb *s;

	s = t->sub;
	e = t->ep;
	hp_remove(&d->resolve_timers, &t->resolve_timer);
	if (e != NULL) {
		ep_remove_grant(e, t);
		pm_refresh_endpoint(d, e);
	}
	if (t->counted_in_quota)
		qu_task_ended(s->lane->queue, t->cost_ms, used_ms);
	t->counted_in_quota = false;
	s->ngranted--;
	d->granted--;
	return (e);
}

static void
count_start(struct sb_task *t)
{
	if (t->starts++ == 0)
		t->sub->nstarted++;
}

/* Puts a task back into the queue at the entry. */
static void
requeue(struct dp *d, struct sb_task *t)
{
	struct sb *s;
	uint16_t index;

	s = t->sub;
	t->state = SB_WAITING;
	t->inconclusive = 0;
	s->nwaiting++;
	s->ungranted_ms += t->work_ms;
	if (s->phase != SB_RUNNING)
		return;
	pm_add_waiting(d, s, 1);
	index = (uint16_t)t->index;
	t->requeued = true;
	if (s->requeued == NULL)
		s->requeued = g_array_new(FALSE, FALSE, sizeof(uint16_t));
	g_array_append_val(s->requeued, index);
	pm_enqueue(d, s);
}

/*
 * Handles a grant that the agent returned. A key is not granted twice: a late
 * duplicate of the first "not started" would pass for one of the second grant.
 * The task is granted again under the next attempt number. An agent starts a
 * task at most once over all its attempts unless it is an idempotent request.
 */
static void
task_returned(struct dp *d, struct sb_task *t)
{
	struct sb *s;

	s = t->sub;
	t->attempt++;
	if (s->phase == SB_ANSWERED || s->withdrawn)
		t->state = SB_ENDED;
	else
		requeue(d, t);
}

static void
hold_endpoint(struct dp *d, struct ep *e, pd_reason reason)
{
	uint64_t now;

	now = dp_now(d);
	switch (reason) {
	case PD_R_EJECTED:
		ep_set_health(e, &d->wakes, PD_EJECTED, now);
		break;
	case PD_R_DRAINING:
		e->draining = true;
		break;
	case PD_R_QUEUE_FULL:
	case PD_R_STALE_VIEW:
		ep_hold(e, &d->wakes, now + HOLD_FULL_US);
		break;
	case PD_R_NO_PERMIT:
	case PD_R_OUT_OF_SERVICE:
	case PD_R_WRONG_INCARNATION:
	case PD_R_ENDPOINT_REFUSED:
		ep_hold(e, &d->wakes, now + HOLD_REFUSED_US);
		break;
	default:
		return;
	}
	pm_refresh_endpoint(d, e);
}

/* Requeues an idempotent request under a new attempt number, if allowed. */
static bool
try_retry(struct dp *d, struct sb_task *t)
{
	struct sb *s;

	s = t->sub;
	if (!s->idempotent || t->starts >= STARTS_MAX || s->withdrawn ||
	    s->phase != SB_RUNNING || s->deadline_us <= dp_now(d))
		return (false);
	t->attempt++;
	requeue(d, t);
	return (true);
}

static void
task_ended_without_result(struct dp *d, struct sb_task *t, bool lost)
{
	count_start(t);
	t->sub->retried_unresolved |= lost;
	if (try_retry(d, t))
		return;
	t->state = SB_ENDED;
	if (t->sub->retried_unresolved)
		t->sub->outcome_lost = true;
	else
		t->sub->task_failed = true;
}

static void
task_done(struct sb_task *t, const struct pd_record *r)
{
	count_start(t);
	t->state = SB_DONE;
	t->sub->ndone++;
	if (t->sub->phase == SB_ANSWERED)
		return;
	t->result = g_memdup2(r->body.body_val, r->body.body_len);
	t->result_len = r->body.body_len;
}

/* The agent still has the task: resolves again later. */
static void
task_still_at_agent(struct dp *d, struct sb_task *t)
{
	t->resolve_after_us *= 2;
	hp_set(&d->resolve_timers, &t->resolve_timer,
	    dp_now(d) + t->resolve_after_us);
}

static bool
is_inconclusive(const struct pd_record *r)
{
	return (r->state == PD_NOT_STARTED && r->reason == PD_R_DUPLICATE);
}

static void
learn_run(struct dp *d, struct ep *e, const struct sb_task *t, double run_ms)
{
	struct po_speed *speed;

	speed = &e->policy_view.speed;
	if (speed->samples > 0)
		po_learn_size(
		    &e->service->sizes, t->size_ms, run_ms / speed->run_ratio);
	po_learn_run_time(speed, t->work_ms, run_ms, dp_now(d));
}

static void
apply_final_record(struct dp *d, struct sb_task *t, const struct pd_record *r)
{
	struct ep *e;
	bool learn;

	learn = t->counted_in_quota && t->ep != NULL;
	e = release_grant(d, t, r->run_ms);
	switch (r->state) {
	case PD_NOT_STARTED:
		task_returned(d, t);
		if (e != NULL)
			hold_endpoint(d, e, r->reason);
		break;
	case PD_DONE:
		if (learn)
			learn_run(d, e, t, r->run_ms);
		if (r->reason == PD_R_FORGOTTEN)
			task_ended_without_result(d, t, true);
		else
			task_done(t, r);
		break;
	case PD_FAILED:
		task_ended_without_result(d, t, false);
		break;
	default:
		task_ended_without_result(d, t, true);
		break;
	}
}

void
oc_task_reported(struct dp *d, struct sb_task *t, const struct pd_record *r)
{
	struct sb *s;

	s = t->sub;
	if (r->state == PD_QUEUED || r->state == PD_RUNNING) {
		task_still_at_agent(d, t);
		return;
	}
	/*
	 * "Duplicate" says nothing about the first grant with the key, so it
	 * does not prove that the task did not start.
	 */
	if (is_inconclusive(r) && t->inconclusive++ < INCONCLUSIVE_MAX) {
		oc_queue_resolve(d, t);
		return;
	}
	hi_add(d->history, &s->id, "reported", "task %u: state %d, %s, %u ms",
	    t->index, (int)r->state, reason_name(r->reason), r->run_ms);
	if (is_inconclusive(r))
		oc_task_lost(d, t);
	else {
		apply_final_record(d, t, r);
		oc_finish_if_decided(d, s);
	}
}

void
oc_task_lost(struct dp *d, struct sb_task *t)
{
	struct sb *s;

	s = t->sub;
	(void)release_grant(d, t, t->cost_ms);
	hi_add(d->history, &s->id, "lost", "task %u", t->index);
	task_ended_without_result(d, t, true);
	oc_finish_if_decided(d, s);
}

static void
adopt_at_endpoint(struct dp *d, struct sb_task *t, struct ep *e)
{
	ep_add_grant(e, t, dp_now(d));
	pm_refresh_endpoint(d, e);
	t->resolve_after_us = ADOPTED_RESOLVE_US;
	hp_set(&d->resolve_timers, &t->resolve_timer,
	    dp_now(d) + t->resolve_after_us);
}

/* Registers a task that a former owner granted. */
static void
adopt_grant(struct dp *d, struct sb_task *t, struct ep *e)
{
	struct sb *s;

	s = t->sub;
	t->state = SB_GRANTED;
	t->ep = NULL;
	s->nwaiting--;
	s->ngranted++;
	d->granted++;
	if (e != NULL)
		adopt_at_endpoint(d, t, e);
}

/* Applies a later record of a task that was adopted without its agent. */
static void
adopt_update(
    struct dp *d, struct sb_task *t, struct ep *e, const struct pd_record *r)
{
	struct sb *s;

	s = t->sub;
	switch (r->state) {
	case PD_NOT_STARTED:
		/* Another agent returned the task before it started. */
		break;
	case PD_QUEUED:
	case PD_RUNNING:
		if (e != NULL)
			adopt_at_endpoint(d, t, e);
		break;
	default:
		apply_final_record(d, t, r);
		oc_finish_if_decided(d, s);
		break;
	}
}

void
oc_adopt_record(
    struct dp *d, struct sb *s, struct ep *e, const struct pd_record *r)
{
	struct sb_task *t;

	if (s->tasks == NULL || r->key.task >= s->ntasks)
		return;
	t = &s->tasks[r->key.task];
	if (t->state == SB_GRANTED && t->ep == NULL &&
	    r->key.attempt == t->attempt) {
		adopt_update(d, t, e, r);
		return;
	}
	if (s->phase != SB_HELD || t->state != SB_WAITING)
		return;
	if (r->state == PD_NOT_STARTED) {
		t->attempt = MAX(t->attempt, r->key.attempt + 1);
		return;
	}
	t->attempt = r->key.attempt;
	adopt_grant(d, t, e);
	if (r->state != PD_QUEUED && r->state != PD_RUNNING)
		oc_task_reported(d, t, r);
	else
		count_start(t);
}

void
oc_withdraw(struct dp *d, struct sb *s, const char *reason, char *detail)
{
	if (s->phase == SB_ANSWERED || s->withdrawn) {
		g_free(detail);
		return;
	}
	s->withdrawn = true;
	s->reason = reason;
	s->detail = detail;
	hi_add(d->history, &s->id, "withdrawn", "%s, %u tasks granted", reason,
	    s->ngranted);
	if (s->phase == SB_RUNNING)
		drop_waiting(d, s);
	cancel_grants(d, s);
	oc_finish_if_decided(d, s);
}

void
oc_forget(struct dp *d, struct sb *s)
{
	uint32_t i;

	if (s->phase == SB_RUNNING) {
		pm_dequeue(d, s);
		pm_add_waiting(d, s, -(int)s->nwaiting);
	}
	for (i = 0; s->ngranted > 0 && i < s->ntasks; i++)
		if (s->tasks[i].state == SB_GRANTED) {
			(void)release_grant(
			    d, &s->tasks[i], s->tasks[i].cost_ms);
			s->tasks[i].state = SB_ENDED;
		}
	if (s->has_payload && s->phase != SB_ANSWERED)
		d->pending--;
	hp_remove(&d->deadline_checks, &s->deadline_check);
	hp_remove(&d->expiries, &s->expiry);
	sb_remove(&d->table, s);
}

void
oc_queue_resolve(struct dp *d, struct sb_task *t)
{
	struct ep *e;

	e = t->ep;
	t->resolve_after_us *= 2;
	hp_set(&d->resolve_timers, &t->resolve_timer,
	    dp_now(d) + t->resolve_after_us);
	if (e == NULL || e->session == PL_NONE)
		return;
	if (e->to_resolve->len == 0)
		g_ptr_array_add(d->resolve_eps, e);
	g_ptr_array_add(e->to_resolve, t);
}

static void
resolve_endpoint(struct dp *d, struct ep *e)
{
	struct pd_key keys[64];
	const struct sb_task *t;
	dp_agent session;
	size_t n;
	guint i;

	session = e->session;
	for (i = 0, n = 0; i < e->to_resolve->len; i++) {
		t = g_ptr_array_index(e->to_resolve, i);
		keys[n].sub = t->sub->id;
		keys[n].task = t->index;
		keys[n].attempt = t->attempt;
		if (++n == 64 || i + 1 == e->to_resolve->len) {
			if (session != PL_NONE)
				d->ops->resolve(d->arg, session, keys, n);
			n = 0;
		}
	}
	g_ptr_array_set_size(e->to_resolve, 0);
}

void
oc_send_resolves(struct dp *d)
{
	guint i;

	for (i = 0; i < d->resolve_eps->len; i++)
		resolve_endpoint(d, g_ptr_array_index(d->resolve_eps, i));
	g_ptr_array_set_size(d->resolve_eps, 0);
}
