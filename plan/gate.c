#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "clock.h"
#include "counters.h"
#include "gate.h"
#include "health.h"
#include "partition.h"
#include "startlog.h"

#define NREASONS (PD_R_FORGOTTEN + 1)
#define NSTATES (PD_OUTCOME_UNKNOWN + 1)

/* Approximate encoded size of a record without its id and body. */
#define RECORD_WIRE_OVERHEAD_BYTES 64

/*
 * A known entry; kept while it has a session or a valid permit.
 * permit_clock_ms is the agent's clock reading that its newest permit echoes.
 */
struct entry {
	uint64_t incarnation;
	ga_session session; /* GA_NO_SESSION while disconnected */
	bool permitted;     /* got a permit, perhaps expired */
	uint64_t permit_clock_ms;
};

struct fence {
	uint64_t view;
	uint64_t entry;
};

struct ga {
	struct ck *clock;
	struct ga_settings settings;
	const struct ga_ops *ops;
	void *arg;
	struct sl *log;
	struct he health;
	GArray *entries;
	ga_session last_session;
	struct fence fences[PD_PARTITIONS];
	GQueue queue;             /* sl_record, oldest first */
	struct sl_record **slots; /* NULL for a free slot */
	unsigned running;
	uint64_t revision;
	bool in_service;
	bool draining;
	GArray *page; /* pd_record of the last fence reply */
	struct ct_metric *refusals[NREASONS];
	struct ct_metric *results[NSTATES];
	struct ct_metric *starts;
	struct ct_metric *permits_ignored;
};

/* Metric labels of the reasons why a grant isn't started; others are NULL. */
static const char *const reason_names[NREASONS] = {
    [PD_R_STALE_VIEW] = "stale_view",
    [PD_R_WRONG_INCARNATION] = "wrong_incarnation",
    [PD_R_NO_PERMIT] = "no_permit",
    [PD_R_OUT_OF_SERVICE] = "out_of_service",
    [PD_R_QUEUE_FULL] = "queue_full",
    [PD_R_EJECTED] = "ejected",
    [PD_R_DRAINING] = "draining",
    [PD_R_DEADLINE] = "deadline",
    [PD_R_DUPLICATE] = "duplicate",
    [PD_R_VOIDED] = "voided",
    [PD_R_CANCELLED] = "cancelled",
    [PD_R_ENDPOINT_REFUSED] = "endpoint_refused",
    [PD_R_FORGOTTEN] = "forgotten",
};

/* Task state after a call, by outcome; the body is kept only with PD_DONE. */
static const struct {
	enum pd_task_state state;
	enum pd_reason reason;
	bool endpoint_fault; /* counts as a failure of the endpoint */
} call_results[] = {
    [GA_OK] = {PD_DONE, PD_R_NONE, false},
    [GA_REJECTED] = {PD_FAILED, PD_R_ENDPOINT_ERROR, false},
    [GA_ERROR] = {PD_FAILED, PD_R_ENDPOINT_ERROR, true},
    [GA_CONN_LOST] = {PD_OUTCOME_UNKNOWN, PD_R_ENDPOINT_ERROR, true},
    [GA_TIMEOUT] = {PD_OUTCOME_UNKNOWN, PD_R_ENDPOINT_TIMEOUT, true},
    [GA_CONN_REFUSED] = {PD_NOT_STARTED, PD_R_ENDPOINT_REFUSED, true},
    [GA_PERMIT_EXPIRED] = {PD_NOT_STARTED, PD_R_NO_PERMIT, false},
};

static struct ct_metric *
result_counter(struct ct *counters, const char *state)
{
	char labels[64];

	g_snprintf(labels, sizeof(labels), "state=\"%s\"", state);
	return (ct_get(counters, CT_COUNTER, "pd_agent_results_total",
	    "Tasks that left their slot, by state", labels));
}

static void
register_counters(struct ga *g, struct ct *counters)
{
	char labels[64];
	unsigned i;

	for (i = 0; i < NREASONS; i++) {
		if (reason_names[i] == NULL)
			continue;
		g_snprintf(
		    labels, sizeof(labels), "reason=\"%s\"", reason_names[i]);
		g->refusals[i] =
		    ct_get(counters, CT_COUNTER, "pd_agent_refusals_total",
			"Grants whose task was not started, by reason", labels);
	}
	g->results[PD_NOT_STARTED] = result_counter(counters, "not_started");
	g->results[PD_DONE] = result_counter(counters, "done");
	g->results[PD_FAILED] = result_counter(counters, "failed");
	g->results[PD_OUTCOME_UNKNOWN] =
	    result_counter(counters, "outcome_unknown");
	g->starts = ct_get(counters, CT_COUNTER, "pd_agent_starts_total",
	    "Tasks that were assigned to a slot", "");
	g->permits_ignored = ct_get(counters, CT_COUNTER,
	    "pd_agent_permits_ignored_total",
	    "Permits ignored: older revision, or clock reading in the future",
	    "");
}

struct ga *
ga_new(struct ck *clock, struct ct *counters,
    const struct ga_settings *settings, const struct ga_ops *ops, void *arg)
{
	struct ga *g;

	g = g_new0(struct ga, 1);
	g->clock = clock;
	g->settings = *settings;
	g->ops = ops;
	g->arg = arg;
	g->log = sl_new(settings->retention_ms, settings->records_bytes);
	g->entries = g_array_new(FALSE, FALSE, sizeof(struct entry));
	g->page = g_array_new(FALSE, FALSE, sizeof(struct pd_record));
	g->slots = g_new0(struct sl_record *, settings->slots);
	g->in_service = true;
	g_queue_init(&g->queue);
	register_counters(g, counters);
	return (g);
}

void
ga_free(struct ga *g)
{
	if (g == NULL)
		return;
	g_queue_clear(&g->queue);
	sl_free(g->log);
	g_array_free(g->entries, TRUE);
	g_array_free(g->page, TRUE);
	g_free(g->slots);
	g_free(g);
}

static struct entry *
entry_find(const struct ga *g, uint64_t incarnation)
{
	struct entry *e;
	guint i;

	for (i = 0; i < g->entries->len; i++) {
		e = &g_array_index(g->entries, struct entry, i);
		if (e->incarnation == incarnation)
			return (e);
	}
	return (NULL);
}

static struct entry *
entry_by_session(const struct ga *g, ga_session session)
{
	struct entry *e;
	guint i;

	for (i = 0; i < g->entries->len && session != GA_NO_SESSION; i++) {
		e = &g_array_index(g->entries, struct entry, i);
		if (e->session == session)
			return (e);
	}
	return (NULL);
}

static bool
has_permit(const struct ga *g, uint64_t incarnation)
{
	const struct entry *e;

	e = entry_find(g, incarnation);
	return (e != NULL && e->permitted &&
	    ck_mono_ms(g->clock) - e->permit_clock_ms <= GA_PERMIT_MAX_AGE_MS);
}

static uint64_t
hash_submission(const struct sl_record *r)
{
	const struct pd_id *id = &r->sub->id;

	return (XXH3_64bits_withSeed(id->id, strlen(id->id), id->created_ms));
}

/* Session that gets the reports of a task: that of the entry that fenced its
 * partition at the view of the grant or later, else that of the granter. */
static ga_session
report_session(const struct ga *g, const struct sl_record *r)
{
	const struct fence *f = &g->fences[r->sub->partition];
	const struct entry *e;

	e = entry_find(g,
	    f->entry != 0 && f->view >= r->grant->view ? f->entry
						       : r->grant->entry);
	return (e != NULL ? e->session : GA_NO_SESSION);
}

static void
report(struct ga *g, ga_session session, const struct sl_record *r)
{
	struct pd_record out;

	if (session == GA_NO_SESSION)
		return;
	sl_export(r, &out);
	g->ops->report(g->arg, session, &out);
}

/* Reports a record as not started and removes it. */
static void
return_not_started(struct ga *g, struct sl_record *r, enum pd_reason reason)
{
	r->state = PD_NOT_STARTED;
	r->reason = (uint8_t)reason;
	ct_add(g->refusals[reason], 1);
	if (r->grant->probe)
		he_probe_end(&g->health, false, false, ck_mono_ms(g->clock));
	report(g, report_session(g, r), r);
	sl_remove(g->log, r);
}

static void
drop_queued(struct ga *g, struct sl_record *r, enum pd_reason reason)
{
	g_queue_remove(&g->queue, r);
	r->queue_ms = (uint32_t)(ck_mono_ms(g->clock) - r->grant->queued_ms);
	return_not_started(g, r, reason);
}

static void
drop_all_queued(struct ga *g, enum pd_reason reason)
{
	struct sl_record *r;

	while ((r = g_queue_peek_head(&g->queue)) != NULL)
		drop_queued(g, r, reason);
}

static void
drop_past_deadline(struct ga *g)
{
	uint64_t now = ck_mono_ms(g->clock);
	struct sl_record *r;
	GList *at, *next;

	for (at = g->queue.head; at != NULL; at = next) {
		next = at->next;
		r = at->data;
		if (now >= r->grant->deadline_ms)
			drop_queued(g, r, PD_R_DEADLINE);
	}
}

static void
start_task(struct ga *g, struct sl_record *r)
{
	uint64_t now = ck_mono_ms(g->clock);
	struct sl_grant *grant = r->grant;
	struct ga_task task;
	unsigned slot;

	for (slot = 0; g->slots[slot] != NULL; slot++)
		continue;
	g_queue_remove(&g->queue, r);
	g->slots[slot] = r;
	g->running++;
	r->state = PD_RUNNING;
	r->revision = g->revision;
	r->queue_ms = (uint32_t)(now - grant->queued_ms);
	grant->started_ms = now;
	task = (struct ga_task){
	    .slot = slot,
	    .key = {r->sub->id, r->task, r->attempt},
	    .start_by_ms = entry_find(g, grant->entry)->permit_clock_ms +
		GA_PERMIT_MAX_AGE_MS,
	    /* The clock may have moved since the deadline was checked. */
	    .timeout_ms = (unsigned)(MAX(grant->deadline_ms, now + 1) - now),
	    .body = grant->body,
	    .body_len = grant->body_len,
	};
	grant->body = NULL;
	ct_add(g->starts, 1);
	g->ops->start(g->arg, &task);
}

static struct sl_record *
next_startable(const struct ga *g)
{
	struct sl_record *r;
	GList *at;

	for (at = g->queue.head; at != NULL; at = at->next) {
		r = at->data;
		if (has_permit(g, r->grant->entry))
			return (r);
	}
	return (NULL);
}

static void
start_queued(struct ga *g)
{
	struct sl_record *r;

	drop_past_deadline(g);
	if (!g->in_service || g->draining)
		return;
	while (g->running < he_max_running(&g->health, g->settings.slots) &&
	    (r = next_startable(g)) != NULL)
		start_task(g, r);
}

ga_session
ga_session_opened(struct ga *g, uint64_t incarnation)
{
	struct entry new_entry = {.incarnation = incarnation};
	struct entry *e;

	/* Fences use 0 for "no entry". */
	if (incarnation == 0)
		return (GA_NO_SESSION);
	e = entry_find(g, incarnation);
	if (e == NULL) {
		g_array_append_val(g->entries, new_entry);
		e = &g_array_index(
		    g->entries, struct entry, g->entries->len - 1);
	}
	e->session = ++g->last_session;
	return (e->session);
}

void
ga_session_closed(struct ga *g, ga_session session)
{
	struct entry *e;

	e = entry_by_session(g, session);
	if (e != NULL)
		e->session = GA_NO_SESSION;
}

void
ga_entry_replaced(struct ga *g, uint64_t incarnation)
{
	struct sl_record *r;
	GList *at, *next;

	for (at = g->queue.head; at != NULL; at = next) {
		next = at->next;
		r = at->data;
		if (r->grant->entry == incarnation)
			drop_queued(g, r, PD_R_NO_PERMIT);
	}
}

void
ga_heartbeat(const struct ga *g, struct pd_heartbeat *out)
{
	*out = (struct pd_heartbeat){
	    .clock_ms = ck_mono_ms(g->clock),
	    .running = g->running,
	    .queued = g->queue.length,
	    .health = g->health.state,
	    .draining = g->draining,
	};
}

void
ga_permit(struct ga *g, ga_session session, const struct pd_permit *p)
{
	struct entry *e;

	e = entry_by_session(g, session);
	if (e == NULL || !p->granted)
		return;
	if (p->revision < g->revision || p->clock_ms > ck_mono_ms(g->clock)) {
		ct_add(g->permits_ignored, 1);
		return;
	}
	g->revision = p->revision;
	g->in_service = p->in_service;
	if (!e->permitted || p->clock_ms > e->permit_clock_ms)
		e->permit_clock_ms = p->clock_ms;
	e->permitted = true;
	if (!g->in_service)
		drop_all_queued(g, PD_R_OUT_OF_SERVICE);
	start_queued(g);
}

static void
refuse(struct ga *g, ga_session session, const struct pd_grant *grant,
    enum pd_task_state state, enum pd_reason reason)
{
	struct pd_record out = {
	    .key = grant->key,
	    .state = state,
	    .reason = reason,
	    .ntasks = grant->ntasks,
	    .revision = g->revision,
	};

	ct_add(g->refusals[reason], 1);
	g->ops->report(g->arg, session, &out);
}

/* Answers a grant whose key has a record; returns false if it has none. */
static bool
answer_from_record(
    struct ga *g, ga_session session, const struct pd_grant *grant)
{
	struct pd_record out;
	struct sl_record *r;

	r = sl_find(g->log, &grant->key);
	if (r == NULL)
		return (false);
	sl_export(r, &out);
	if (r->grant != NULL)
		out.reason = PD_R_DUPLICATE;
	ct_add(g->refusals[r->state == PD_NOT_STARTED ? PD_R_VOIDED
						      : PD_R_DUPLICATE],
	    1);
	g->ops->report(g->arg, session, &out);
	return (true);
}

/*
 * Whether a record of another attempt of the task forbids this attempt.
 * @single_attempt: this attempt allows no other one
 */
static bool
excluded_by_attempt(
    const struct ga *g, const struct pd_key *key, bool single_attempt)
{
	const struct sl_record *r;
	const struct sl_sub *sub;

	sub = sl_sub_find(g->log, &key->sub);
	for (r = sub != NULL ? sub->first : NULL; r != NULL; r = r->sibling)
		if (r->task == key->task && r->state != PD_NOT_STARTED &&
		    (single_attempt || r->single_attempt))
			return (true);
	return (false);
}

/* Reason to refuse a grant whose key has no record, PD_R_NONE to queue it. */
static enum pd_reason
refusal_reason(struct ga *g, const struct pd_grant *grant)
{
	if (excluded_by_attempt(
		g, &grant->key, !grant->idempotent || grant->ntasks != 1))
		return (PD_R_DUPLICATE);
	if (g->draining)
		return (PD_R_DRAINING);
	if (!g->in_service)
		return (PD_R_OUT_OF_SERVICE);
	if (grant->timeout_ms == 0)
		return (PD_R_DEADLINE);
	if (!he_admit(&g->health, ck_mono_ms(g->clock)))
		return (PD_R_EJECTED);
	return (PD_R_NONE);
}

static void
enqueue(struct ga *g, const struct entry *e, const struct pd_grant *grant)
{
	uint64_t now = ck_mono_ms(g->clock);
	struct sl_grant *stored;

	stored = g_new0(struct sl_grant, 1);
	stored->entry = e->incarnation;
	stored->view = grant->view;
	stored->queued_ms = now;
	stored->deadline_ms = now + grant->timeout_ms;
	stored->idempotent = grant->idempotent;
	stored->probe = g->health.state == PD_EJECTED;
	stored->body = g_memdup2(grant->body.body_val, grant->body.body_len);
	stored->body_len = grant->body.body_len;
	g_queue_push_tail(
	    &g->queue, sl_add(g->log, &grant->key, grant->ntasks, stored, now));
}

/* A full queue drops a grant without a valid permit before one that has one,
 * so that an entry without permits does not block the others. */
static void
enforce_queue_max(struct ga *g)
{
	struct sl_record *last, *r;
	GList *at;

	if (g->queue.length <= g->settings.queue_max)
		return;
	last = g_queue_peek_tail(&g->queue);
	if (has_permit(g, last->grant->entry))
		for (at = g->queue.head; at != NULL; at = at->next) {
			r = at->data;
			if (!has_permit(g, r->grant->entry)) {
				drop_queued(g, r, PD_R_NO_PERMIT);
				return;
			}
		}
	drop_queued(g, last, PD_R_QUEUE_FULL);
}

void
ga_grant(struct ga *g, ga_session session, const struct pd_grant *grant)
{
	const struct entry *e;
	enum pd_reason reason;

	e = entry_by_session(g, session);
	if (e == NULL)
		return;
	if (grant->incarnation != g->settings.incarnation) {
		refuse(
		    g, session, grant, PD_NOT_STARTED, PD_R_WRONG_INCARNATION);
		return;
	}
	if (grant->view < g->fences[pt_partition(&grant->key.sub)].view) {
		refuse(g, session, grant, PD_NOT_STARTED, PD_R_STALE_VIEW);
		return;
	}
	if (answer_from_record(g, session, grant))
		return;
	if (grant->key.sub.created_ms <= sl_horizon(g->log)) {
		refuse(g, session, grant, PD_OUTCOME_UNKNOWN, PD_R_FORGOTTEN);
		return;
	}
	reason = refusal_reason(g, grant);
	if (reason != PD_R_NONE) {
		refuse(g, session, grant, PD_NOT_STARTED, reason);
		return;
	}
	enqueue(g, e, grant);
	start_queued(g);
	enforce_queue_max(g);
}

static void
update_health(struct ga *g, const struct sl_record *r, enum ga_outcome outcome)
{
	uint64_t now = ck_mono_ms(g->clock);

	if (outcome == GA_OK) {
		he_success(&g->health);
		return;
	}
	if (r->grant->probe && g->health.state == PD_EJECTED)
		he_probe_end(&g->health, call_results[outcome].endpoint_fault,
		    outcome != GA_PERMIT_EXPIRED, now);
	else if (call_results[outcome].endpoint_fault &&
	    he_failure(&g->health, hash_submission(r),
		outcome == GA_CONN_REFUSED, now))
		drop_all_queued(g, PD_R_EJECTED);
}

void
ga_call_ended(struct ga *g, unsigned slot, enum ga_outcome outcome, char *body,
    size_t body_len)
{
	uint64_t now = ck_mono_ms(g->clock);
	struct sl_record *r = g->slots[slot];
	ga_session session;

	g->slots[slot] = NULL;
	g->running--;
	r->run_ms = (uint32_t)(now - r->grant->started_ms);
	ct_add(g->results[call_results[outcome].state], 1);
	update_health(g, r, outcome);
	session = report_session(g, r);
	if (outcome != GA_OK) {
		g_free(body);
		body = NULL;
		body_len = 0;
	}
	sl_finish(g->log, r, call_results[outcome].state,
	    call_results[outcome].reason, body, body_len, now);
	report(g, session, r);
	if (call_results[outcome].state == PD_NOT_STARTED) {
		ct_add(g->refusals[call_results[outcome].reason], 1);
		sl_remove(g->log, r);
	}
	sl_expire(g->log, now);
	start_queued(g);
}

/* Reason why nothing can be said about a key without a record, or PD_R_NONE. */
static enum pd_reason
unresolvable_reason(const struct ga *g, const struct pd_key *key)
{
	if (key->sub.created_ms <= sl_horizon(g->log))
		return (PD_R_FORGOTTEN);
	if (excluded_by_attempt(g, key, false))
		return (PD_R_DUPLICATE);
	return (PD_R_NONE);
}

void
ga_resolve(struct ga *g, const struct pd_key *key, struct pd_record *out)
{
	const struct sl_record *r;
	enum pd_reason reason;

	r = sl_find(g->log, key);
	reason = r == NULL ? unresolvable_reason(g, key) : PD_R_NONE;
	if (reason != PD_R_NONE) {
		*out = (struct pd_record){
		    .key = *key, .state = PD_OUTCOME_UNKNOWN, .reason = reason};
		return;
	}
	if (r == NULL)
		r = sl_add(g->log, key, 0, NULL, ck_mono_ms(g->clock));
	sl_export(r, out);
}

void
ga_cancel(struct ga *g, const struct pd_key *key)
{
	struct sl_record *r;

	r = sl_find(g->log, key);
	if (r != NULL && r->state == PD_QUEUED)
		drop_queued(g, r, PD_R_CANCELLED);
}

static bool
fence_is_current(const struct ga *g, const struct pd_fence *f)
{
	unsigned i;

	for (i = 0; i < PD_PARTITIONS; i++)
		if ((f->partitions & pt_bit(i)) != 0 &&
		    g->fences[i].view > f->view)
			return (false);
	return (true);
}

static void
set_fences(struct ga *g, const struct entry *e, const struct pd_fence *f)
{
	struct sl_record *r;
	uint64_t raised = 0;
	GList *at, *next;
	unsigned i;

	for (i = 0; i < PD_PARTITIONS; i++) {
		if ((f->partitions & pt_bit(i)) == 0)
			continue;
		if (g->fences[i].view < f->view)
			raised |= pt_bit(i);
		g->fences[i] = (struct fence){f->view, e->incarnation};
	}
	/* Keys were voided to stop grants of a lower view, which the raised
	 * fence refuses as well. */
	if (raised != 0)
		sl_remove_voided(g->log, raised);
	for (at = g->queue.head; at != NULL; at = next) {
		next = at->next;
		r = at->data;
		if ((f->partitions & pt_bit(r->sub->partition)) != 0 &&
		    r->grant->view < f->view)
			drop_queued(g, r, PD_R_STALE_VIEW);
	}
}

struct page {
	GArray *list;
	size_t bytes;
};

static bool
page_add(void *arg, const struct sl_record *r)
{
	struct page *p = arg;
	struct pd_record out;

	if (p->list->len == PD_BATCH_MAX || p->bytes >= GA_PAGE_BYTES)
		return (false);
	sl_export(r, &out);
	p->bytes +=
	    RECORD_WIRE_OVERHEAD_BYTES + strlen(r->sub->id.id) + r->body_len;
	g_array_append_val(p->list, out);
	return (true);
}

void
ga_fence(struct ga *g, ga_session session, const struct pd_fence *f,
    struct pd_fence_reply *out)
{
	const struct entry *e;
	struct page page = {g->page, 0};

	*out = (struct pd_fence_reply){
	    .incarnation = g->settings.incarnation,
	    .started_ms = ga_complete_since(g),
	};
	e = entry_by_session(g, session);
	if (e == NULL || !fence_is_current(g, f)) {
		out->refused = true;
		return;
	}
	set_fences(g, e, f);
	start_queued(g);
	g_array_set_size(g->page, 0);
	out->next = sl_page(g->log, f->partitions, f->cursor, page_add, &page);
	out->list.list_len = g->page->len;
	out->list.list_val = (struct pd_record *)(void *)g->page->data;
}

void
ga_drain(struct ga *g)
{
	g->draining = true;
	drop_all_queued(g, PD_R_DRAINING);
}

bool
ga_drained(const struct ga *g)
{
	return (g->draining && g->running == 0);
}

static void
remove_stale_entries(struct ga *g)
{
	const struct entry *e;
	guint i;

	for (i = g->entries->len; i > 0; i--) {
		e = &g_array_index(g->entries, struct entry, i - 1);
		if (e->session == GA_NO_SESSION &&
		    !has_permit(g, e->incarnation))
			g_array_remove_index(g->entries, i - 1);
	}
}

void
ga_tick(struct ga *g)
{
	start_queued(g);
	sl_expire(g->log, ck_mono_ms(g->clock));
	remove_stale_entries(g);
}

uint64_t
ga_complete_since(const struct ga *g)
{
	uint64_t horizon = sl_horizon(g->log);

	return (MAX(g->settings.started_ms, horizon > 0 ? horizon + 1 : 0));
}

struct ga_stats
ga_stats(const struct ga *g)
{
	struct sl_stats s = sl_stats(g->log);

	return ((struct ga_stats){
	    .running = g->running,
	    .queued = g->queue.length,
	    .records = s.records,
	    .record_bytes = s.bytes,
	    .bodies_dropped = s.bodies_dropped,
	    .records_dropped = s.records_dropped,
	    .revision = g->revision,
	    .in_service = g->in_service,
	    .health = g->health.state,
	});
}
