#include <glib.h>
#include <string.h>

#include "dispatch_impl.h"
#include "partition.h"

/* Minimum interval between checks whether a deadline can be met. */
#define CHECK_MIN_US 5000

struct dp *
dp_new(struct ck *clock, struct ct *counters, struct hi *history,
    const struct po_ops *policy, const struct dp_settings *settings,
    const struct dp_ops *ops, void *arg)
{
	struct dp *d;

	d = g_new0(struct dp, 1);
	d->clock = clock;
	d->counters = counters;
	d->history = history;
	d->policy = policy;
	d->settings = *settings;
	d->ops = ops;
	d->arg = arg;
	d->rng = rn_new(settings->seed);
	d->queue = qu_new();
	d->sessions = pl_new(sizeof(struct session));
	d->resolve_eps = g_ptr_array_new();
	sb_table_init(&d->table);
	ln_init(d);
	d->m_submissions = ct_get(counters, CT_COUNTER, "pd_submissions_total",
	    "submissions accepted", "");
	d->m_grants = ct_get(
	    counters, CT_COUNTER, "pd_grants_total", "tasks granted", "");
	d->m_ignored = ct_get(counters, CT_COUNTER, "pd_reports_ignored_total",
	    "reports that match no outstanding grant", "");
	return (d);
}

void
dp_free(struct dp *d)
{
	if (d == NULL)
		return;
	sb_table_release(&d->table);
	ln_release(d);
	g_ptr_array_free(d->resolve_eps, TRUE);
	pl_free(d->sessions);
	qu_free(d->queue);
	rn_free(d->rng);
	hp_release(&d->deadline_checks);
	hp_release(&d->expiries);
	hp_release(&d->resolve_timers);
	hp_release(&d->wakes);
	g_free(d);
}

void
dp_configure(struct dp *d, const struct cs *state)
{
	d->state = state;
	ln_configure(d);
}

static void
grant_all_waiting(struct dp *d)
{
	guint i;

	for (i = 0; i < d->service_list->len; i++)
		pm_grant_waiting(d, g_ptr_array_index(d->service_list, i));
}

void
dp_set_verified(struct dp *d, uint64_t until_ms)
{
	bool before;

	before = dp_verified(d);
	d->verified_until_ms = until_ms;
	if (!before && dp_verified(d))
		grant_all_waiting(d);
}

/* Whether the work ahead takes longer than the time left until the deadline. */
static bool
is_deadline_unreachable(struct dp *d, struct sb *s, uint64_t now_us)
{
	double left, wait;

	if (s->lane == NULL || s->ngranted > 0 || s->nstarted > 0 ||
	    !dp_verified(d) || s->lane->service->nwith_room > 0)
		return (false);
	left = (double)(s->deadline_us - now_us) / 1000;
	wait = ln_wait_ms(d, s->lane, s->ungranted_ms);
	return (wait > left);
}

static void
refuse_deadline_unreachable(struct dp *d, struct sb *s)
{
	oc_abort(d, s, "deadline_unreachable",
	    g_strdup("The work that waits ahead takes longer than the time "
		     "left until the deadline."));
}

static void
end_at_deadline(struct dp *d, struct sb *s)
{
	if (dp_verified(d) || s->ngranted > 0 || s->nstarted > 0)
		oc_abort(d, s, "deadline",
		    g_strdup("The deadline passed before every task had a "
			     "result."));
	else
		oc_abort(d, s, "unverified",
		    g_strdup("This entry could not verify its configuration "
			     "before the deadline."));
}

/* Checks after half the remaining time, so their number is logarithmic. */
static void
schedule_deadline_check(struct dp *d, struct sb *s, uint64_t now_us)
{
	uint64_t step;

	step = (s->deadline_us - now_us) / 2;
	hp_set(&d->deadline_checks, &s->deadline_check,
	    step < CHECK_MIN_US ? s->deadline_us : now_us + step);
}

void
dp_check_deadlines(struct dp *d, uint64_t now_us)
{
	struct hp_node *n;
	struct sb *s;

	while (
	    (n = hp_first(&d->deadline_checks)) != NULL && n->key <= now_us) {
		s = hp_item(n, struct sb, deadline_check);
		if (s->deadline_us <= now_us)
			end_at_deadline(d, s);
		else if (is_deadline_unreachable(d, s, now_us))
			refuse_deadline_unreachable(d, s);
		else
			schedule_deadline_check(d, s, now_us);
	}
}

static void
estimate_work(struct sb *s, const struct po_size_model *sizes)
{
	struct sb_task *t;
	uint32_t i;

	s->ungranted_ms = 0;
	for (i = 0; i < s->ntasks; i++) {
		t = &s->tasks[i];
		if (t->state != SB_WAITING)
			continue;
		t->work_ms = po_expected_size(sizes, t->size_ms);
		s->ungranted_ms += t->work_ms;
	}
}

/* Starts to dispatch a submission; its partition is active. */
static void
run(struct dp *d, struct sb *s)
{
	const char *reason;
	struct lane *l;
	uint64_t now;
	char *detail;

	if (s->withdrawn) {
		oc_finish_if_decided(d, s);
		return;
	}
	if (!oc_records_sufficient(d, s)) {
		oc_abort(d, s, "record_lost", NULL);
		return;
	}
	detail = NULL;
	l = ln_get(d, s->team, s->service, s->az, &reason, &detail);
	if (l == NULL) {
		oc_abort(d, s, reason, detail);
		return;
	}
	s->lane = l;
	estimate_work(s, &l->service->sizes);
	s->phase = SB_RUNNING;
	pm_add_waiting(d, s, (int)s->nwaiting);
	now = dp_now(d);
	if (is_deadline_unreachable(d, s, now)) {
		refuse_deadline_unreachable(d, s);
		return;
	}
	schedule_deadline_check(d, s, now);
	pm_enqueue(d, s);
	pm_grant_waiting(d, l->service);
}

static void
expire_at(struct dp *d, struct sb *s)
{
	uint64_t wall, end;

	wall = ck_wall_ms(d->clock);
	end = s->id.created_ms + d->settings.retention_ms;
	hp_set(&d->expiries, &s->expiry,
	    dp_now(d) + (end > wall ? (end - wall) * 1000 : 0));
}

static void
forget_submissions(struct dp *d, unsigned partition)
{
	struct sb *s;
	GArray *waiters;
	guint i;

	while ((s = d->table.partitions[partition]) != NULL) {
		waiters = s->waiters;
		s->waiters = NULL;
		for (i = 0; waiters != NULL && i < waiters->len; i++) {
			uint64_t w = g_array_index(waiters, uint64_t, i);

			g_hash_table_remove(
			    d->table.waiters, (gpointer)(uintptr_t)w);
			oc_answer_waiter(d, &s->id, w, PD_NOT_OWNER,
			    "not_owner", "Another entry owns this id.", false);
		}
		if (waiters != NULL)
			g_array_free(waiters, TRUE);
		oc_forget(d, s);
	}
}

static void
activate_partition(struct dp *d, unsigned partition)
{
	struct sb *s, *next;

	for (s = d->table.partitions[partition]; s != NULL; s = next) {
		next = s->next;
		if (s->phase != SB_HELD)
			continue;
		if (s->has_payload)
			run(d, s);
		else
			oc_finish_if_decided(d, s);
	}
}

void
dp_set_partition(struct dp *d, unsigned partition,
    enum dp_partition_state state, uint64_t view, bool records_complete,
    uint64_t takeover_wall_ms)
{
	struct partition *p;
	enum dp_partition_state before;
	bool moved;

	if (partition >= PD_PARTITIONS)
		return;
	p = &d->partitions[partition];
	before = p->state;
	p->state = state;
	p->view = view;
	moved = state == DP_FOREIGN ||
	    (state == DP_GATHERING && before == DP_ACTIVE);
	if (moved)
		p->record_dropped_ms = 0;
	p->records_complete = records_complete && p->record_dropped_ms == 0;
	p->takeover_ms = MAX(takeover_wall_ms, p->record_dropped_ms);
	if (moved) {
		forget_submissions(d, partition);
		grant_all_waiting(d);
	} else if (state == DP_ACTIVE && before != DP_ACTIVE)
		activate_partition(d, partition);
}

void
dp_gathered_record(struct dp *d, dp_agent agent, const struct pd_record *r)
{
	const struct session *session;
	struct partition *p;
	struct sb *s;

	p = &d->partitions[pt_partition(&r->key.sub)];
	if (p->state == DP_FOREIGN || r->ntasks == 0 ||
	    r->ntasks > PD_TASKS_MAX)
		return;
	s = sb_find(&d->table, &r->key.sub);
	if (s == NULL) {
		if (r->state == PD_NOT_STARTED)
			return;
		if (g_hash_table_size(d->table.subs) >=
		    d->settings.submissions_max) {
			/* Without this record, they are incomplete. */
			p->record_dropped_ms = ck_wall_ms(d->clock);
			p->records_complete = false;
			p->takeover_ms =
			    MAX(p->takeover_ms, p->record_dropped_ms);
			return;
		}
		s = sb_new(&d->table, &r->key.sub, r->ntasks);
		expire_at(d, s);
	}
	session = pl_get(d->sessions, agent);
	oc_adopt_record(d, s, session != NULL ? session->ep : NULL, r);
}

/*
 * Refuses without adding a submission to the table, which may be full. An id
 * that a former owner may have started is answered "unknown".
 */
static void
refuse_overload(
    struct dp *d, const struct pd_id *id, uint64_t waiter, const char *detail)
{
	uint64_t wall, retention;

	if (!oc_not_run_provable(d, id)) {
		oc_answer_waiter(
		    d, id, waiter, PD_UNKNOWN, "overload", detail, false);
		return;
	}
	wall = ck_wall_ms(d->clock);
	retention = d->settings.retention_ms;
	sb_remember_refusal(&d->table, id,
	    wall > retention ? wall - retention : 0,
	    d->settings.submissions_max);
	ct_increment(d->counters, "pd_not_complete_total",
	    "answers other than complete by reason", "reason", "overload");
	hi_add(d->history, id, "answered", "refused: overload");
	oc_answer_waiter(d, id, waiter, PD_REFUSED, "overload", detail, true);
}

/* Whether an unknown id is young enough to run; answers it if not. */
static bool
check_age(struct dp *d, const struct pd_submit *p, uint64_t waiter)
{
	uint64_t wall;

	wall = ck_wall_ms(d->clock);
	if (p->sub.created_ms + d->settings.retention_ms <= wall ||
	    p->sub.created_ms <= d->forgotten_until_ms) {
		oc_answer_waiter(d, &p->sub, waiter, PD_UNKNOWN, "id_expired",
		    "The id is older than the time for which answers are "
		    "kept.",
		    false);
		return (false);
	}
	return (true);
}

static const char *
overload_detail(const struct dp *d, const struct pd_submit *p)
{
	if (sb_was_refused(&d->table, &p->sub))
		return ("The submission was refused before.");
	if (g_hash_table_size(d->table.subs) >= d->settings.submissions_max)
		return ("The entry remembers as many submissions as it may.");
	if (d->queued + p->tasks.tasks_len > d->settings.queue_tasks_max)
		return ("Too many tasks wait at the entry.");
	return (NULL);
}

/* Handles a submission whose id is known from a caller or a start record. */
static void
submit_known(
    struct dp *d, struct sb *s, const struct pd_submit *p, uint64_t waiter)
{
	if (p->tasks.tasks_len != s->ntasks ||
	    (s->body_hash != 0 && s->body_hash != sb_body_hash(p))) {
		oc_answer_waiter(d, &s->id, waiter, PD_REFUSED, "id_reused",
		    "The id was used before with another body.", true);
		return;
	}
	if (s->phase == SB_ANSWERED)
		oc_repeat_answer(d, s, waiter);
	else
		sb_add_waiter(&d->table, s, waiter);
}

static void
take_payload(struct dp *d, struct sb *s, const struct pd_submit *p)
{
	sb_set_payload(s, p);
	s->body_hash = sb_body_hash(p);
	s->arrived_us = dp_now(d);
	s->deadline_us = s->arrived_us + (uint64_t)p->left_ms * 1000;
	d->pending++;
	ct_add(d->m_submissions, 1);
	hi_add(d->history, &s->id, "submitted", "%u tasks of team %s for %s",
	    s->ntasks, s->team, s->service);
	hp_set(&d->deadline_checks, &s->deadline_check, s->deadline_us);
	if (d->partitions[s->partition].state == DP_ACTIVE)
		run(d, s);
}

/*
 * Half of clock_error_ms is for the client's clock and half for the difference
 * between two entries. So an id that an earlier owner accepted was created at
 * most clock_error_ms after the takeover by this entry's clock.
 */
static bool
is_in_future(const struct dp *d, const struct pd_id *id)
{
	return (id->created_ms >
	    ck_wall_ms(d->clock) + d->settings.clock_error_ms / 2);
}

/* A former owner whose clock is ahead may have run the id. */
static void
refuse_future(struct dp *d, struct sb *s)
{
	bool not_run;

	not_run = oc_not_run_provable(d, &s->id);
	oc_finish(d, s, not_run ? PD_REFUSED : PD_UNKNOWN, "created_in_future",
	    g_strdup("created_ms is in the future of this entry."), not_run);
}

static void
submit_new(struct dp *d, const struct pd_submit *p, uint64_t waiter)
{
	const char *full;
	struct sb *s;

	if (!check_age(d, p, waiter))
		return;
	full = overload_detail(d, p);
	if (full != NULL) {
		refuse_overload(d, &p->sub, waiter, full);
		return;
	}
	s = sb_new(&d->table, &p->sub, p->tasks.tasks_len);
	sb_add_waiter(&d->table, s, waiter);
	expire_at(d, s);
	if (is_in_future(d, &p->sub)) {
		s->body_hash = sb_body_hash(p);
		refuse_future(d, s);
		return;
	}
	take_payload(d, s, p);
}

void
dp_submit(struct dp *d, const struct pd_submit *p, uint64_t waiter)
{
	struct sb *s;

	if (d->partitions[pt_partition(&p->sub)].state == DP_FOREIGN) {
		oc_answer_waiter(d, &p->sub, waiter, PD_NOT_OWNER, "not_owner",
		    "Another entry owns this id.", false);
		return;
	}
	if (p->tasks.tasks_len == 0 || p->tasks.tasks_len > PD_TASKS_MAX) {
		oc_answer_waiter(d, &p->sub, waiter, PD_REFUSED, "malformed",
		    "A submission has 1 to 540 tasks.", true);
		return;
	}
	s = sb_find(&d->table, &p->sub);
	if (s == NULL) {
		submit_new(d, p, waiter);
		return;
	}
	submit_known(d, s, p, waiter);
	if (s->phase == SB_HELD && !s->has_payload &&
	    p->tasks.tasks_len == s->ntasks)
		take_payload(d, s, p);
}

void
dp_lookup(struct dp *d, const struct pd_id *id, bool cancel, uint64_t waiter)
{
	struct sb *s;

	if (d->partitions[pt_partition(id)].state == DP_FOREIGN) {
		oc_answer_waiter(d, id, waiter, PD_NOT_OWNER, "not_owner",
		    "Another entry owns this id.", false);
		return;
	}
	s = sb_find(&d->table, id);
	if (s == NULL) {
		oc_answer_waiter(d, id, waiter, PD_NOT_FOUND, "not_found",
		    "The submission is not known.", false);
		return;
	}
	if (s->phase == SB_ANSWERED) {
		oc_repeat_answer(d, s, waiter);
		return;
	}
	sb_add_waiter(&d->table, s, waiter);
	if (cancel)
		oc_withdraw(d, s, "cancelled",
		    g_strdup("The submission was cancelled."));
}

void
dp_detach(struct dp *d, uint64_t waiter)
{
	sb_remove_waiter(&d->table, waiter);
}

/* Gives up the grants to a former incarnation of the agent. */
static void
mark_grants_lost(struct dp *d, struct ep *e)
{
	struct sb_task *t;

	while ((t = e->grants) != NULL)
		oc_task_lost(d, t);
}

/*
 * Defers outputs for a new session to the next tick, since the caller gets the
 * handle only when dp_agent_up() returns.
 */
static void
schedule_session_outputs(struct dp *d, struct ep *e)
{
	struct sb_task *t;
	uint64_t now;

	now = dp_now(d);
	for (t = e->grants; t != NULL; t = t->next)
		hp_set(&d->resolve_timers, &t->resolve_timer, now);
	hp_set(&d->wakes, &e->wake, now);
}

static void
apply_hello(struct ep *e, const struct pd_hello *h)
{
	g_free(e->hello_service);
	e->hello_service = g_strdup(h->service);
	if (e->service == NULL) {
		g_free(e->az);
		e->az = g_strdup(h->az);
	}
	e->slots = h->slots > 0 ? h->slots : 1;
	e->queue_max = h->queue_max;
	e->draining = false;
	e->hold_until_us = 0;
}

static struct ep *
get_endpoint(struct dp *d, const char *name)
{
	struct ep *e;

	e = g_hash_table_lookup(d->eps, name);
	if (e == NULL) {
		e = ep_new(name);
		g_hash_table_insert(d->eps, e->name, e);
	}
	return (e);
}

/* Another agent process has taken over the endpoint. */
static void
replace_agent(struct dp *d, struct ep *e, uint64_t incarnation)
{
	mark_grants_lost(d, e);
	e->incarnation = incarnation;
	e->health = PD_HEALTHY;
	e->running = e->queued = e->others_load = 0;
}

dp_agent
dp_agent_up(struct dp *d, const struct pd_hello *h)
{
	struct session *session;
	struct ep *e;
	void *item;

	e = get_endpoint(d, h->name);
	pl_release(d->sessions, e->session);
	e->session = PL_NONE;
	if (e->incarnation != h->incarnation)
		replace_agent(d, e, h->incarnation);
	e->session = pl_alloc(d->sessions, &item);
	session = item;
	session->ep = e;
	apply_hello(e, h);
	ln_place_endpoint(d, e);
	schedule_session_outputs(d, e);
	return (e->session);
}

void
dp_agent_load(struct dp *d, dp_agent agent, unsigned running, unsigned queued,
    enum pd_health health, bool draining)
{
	const struct session *session;
	struct ep *e;
	uint64_t now;

	session = pl_get(d->sessions, agent);
	if (session == NULL)
		return;
	e = session->ep;
	now = dp_now(d);
	ep_set_load(e, running, queued, now);
	ep_set_health(e, &d->wakes, health, now);
	e->draining = draining;
	pm_refresh_endpoint(d, e);
	pm_grant_waiting(d, e->service);
}

/* Idempotent requests do not wait until the agent reconnects. */
static void
retry_idempotent(struct dp *d, struct ep *e)
{
	struct sb_task *t, *next;

	for (t = e->grants; t != NULL; t = next) {
		next = t->next;
		if (t->sub->idempotent)
			oc_task_lost(d, t);
	}
}

void
dp_agent_down(struct dp *d, dp_agent agent)
{
	const struct session *session;
	struct ep *e;

	session = pl_get(d->sessions, agent);
	if (session == NULL)
		return;
	e = session->ep;
	e->session = PL_NONE;
	pl_release(d->sessions, agent);
	pm_refresh_endpoint(d, e);
	retry_idempotent(d, e);
	pm_grant_waiting(d, e->service);
}

/* Outstanding grant that a report refers to, NULL when the report is stale. */
static struct sb_task *
reported_task(const struct dp *d, const struct ep *e, const struct pd_record *r)
{
	struct sb_task *t;
	struct sb *s;

	s = sb_find(&d->table, &r->key.sub);
	if (s == NULL || s->tasks == NULL || r->key.task >= s->ntasks)
		return (NULL);
	t = &s->tasks[r->key.task];
	if (t->state != SB_GRANTED || t->attempt != r->key.attempt)
		return (NULL);
	/* Known from a start record, and its agent had no session then. */
	if (t->ep == NULL)
		return (r->state == PD_NOT_STARTED ? NULL : t);
	if (t->ep != e || t->incarnation != e->incarnation)
		return (NULL);
	return (t);
}

void
dp_report(struct dp *d, dp_agent agent, const struct pd_record *r)
{
	const struct session *session;
	struct sb_task *t;

	session = pl_get(d->sessions, agent);
	t = session != NULL ? reported_task(d, session->ep, r) : NULL;
	if (t == NULL) {
		ct_add(d->m_ignored, 1);
		return;
	}
	oc_task_reported(d, t, r);
	pm_grant_waiting(d, session->ep->service);
}

static void
resolve_overdue(struct dp *d, uint64_t now_us)
{
	struct hp_node *n;

	while ((n = hp_first(&d->resolve_timers)) != NULL && n->key <= now_us)
		oc_queue_resolve(d, hp_item(n, struct sb_task, resolve_timer));
	oc_send_resolves(d);
}

static void
expire_submissions(struct dp *d, uint64_t now_us)
{
	struct hp_node *n;
	struct sb *s;

	while ((n = hp_first(&d->expiries)) != NULL && n->key <= now_us) {
		s = hp_item(n, struct sb, expiry);
		if (s->phase == SB_ANSWERED) {
			d->forgotten_until_ms =
			    MAX(d->forgotten_until_ms, s->id.created_ms);
			oc_forget(d, s);
			continue;
		}
		if (s->has_payload) {
			hp_set(&d->expiries, n, s->deadline_us + 1);
			continue;
		}
		oc_finish(d, s, PD_UNKNOWN, "id_expired",
		    g_strdup("The id is older than the time for which "
			     "answers are kept."),
		    false);
	}
}

void
dp_tick(struct dp *d)
{
	uint64_t now;

	now = dp_now(d);
	dp_check_deadlines(d, now);
	resolve_overdue(d, now);
	expire_submissions(d, now);
	pm_wake_endpoints(d);
}

struct dp_stats
dp_stats(const struct dp *d)
{
	struct dp_stats s;

	s.submissions = g_hash_table_size(d->table.subs);
	s.pending = d->pending;
	s.queued = d->queued;
	s.granted = d->granted;
	return (s);
}

void
dp_endpoints(const struct dp *d,
    void (*visit)(void *arg, const struct dp_endpoint_info *info), void *arg)
{
	struct dp_endpoint_info info;
	const struct ep *e;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		e = value;
		info.name = e->name;
		info.az = e->az;
		info.service = e->service->name;
		info.connected = e->session != PL_NONE;
		info.in_service = e->in_service;
		info.draining = e->draining;
		info.health = e->health;
		info.slots = e->slots;
		info.running = e->running;
		info.queued = e->queued;
		info.outstanding = e->ngrants;
		info.speed = 1 / po_run_ratio(&e->policy_view.speed, dp_now(d));
		visit(arg, &info);
	}
}
