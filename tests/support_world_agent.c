#include <string.h>

#include "support_world_impl.h"

#define REPORT_DELAY_MAX_US 300000

static char *
key_text(const struct pd_key *k)
{
	return (g_strdup_printf("%s/%u/%u", k->sub.id, k->task, k->attempt));
}

void
sw_record_free(gpointer p)
{
	struct record *r = p;

	g_free(r->key_text);
	g_free(r);
}

void
sw_send_load(struct sw *w, struct agent *a, unsigned entry)
{
	struct event *e;

	e = sw_send_message(w, LOAD, entry, a, 0);
	e->running = a->running;
	e->queued = a->queue.length;
}

static struct event *
send_state(struct sw *w, struct agent *a, const struct record *r,
    unsigned entry, uint64_t extra_us)
{
	struct event *e;

	e = sw_send_message(w, REPORT, entry, a, extra_us);
	sw_set_key(e, &r->key);
	e->body = r->body;
	e->ntasks = r->ntasks;
	e->state = r->state;
	e->reason = r->reason;
	e->run_ms = r->run_ms;
	return (e);
}

/* Sends a report and the load, with faults delayed or duplicated. */
static void
send_report(struct sw *w, struct agent *a, const struct record *r)
{
	uint64_t late;

	w->counts.reports++;
	a->sent[a->nsent++ % SENT_REPORTS_MAX] = *r;
	late = 0;
	if (sw_chance(w, w->settings.faults.report_delayed))
		late = rn_below(w->rng, REPORT_DELAY_MAX_US);
	(void)send_state(w, a, r, r->entry, late);
	if (sw_chance(w, w->settings.faults.report_duplicated))
		(void)send_state(w, a, r, r->entry,
		    late + rn_below(w->rng, REPORT_DELAY_MAX_US));
	sw_send_load(w, a, r->entry);
}

static struct record *
record_new(struct agent *a, const struct event *e, pd_task_state state)
{
	struct record *r;

	r = g_new0(struct record, 1);
	g_strlcpy(r->id, e->id, sizeof(r->id));
	r->key = e->key;
	r->key.sub.id = r->id;
	r->key_text = key_text(&r->key);
	r->state = state;
	r->ntasks = e->ntasks;
	r->entry = e->entry;
	r->body = e->body;
	g_hash_table_insert(a->records, r->key_text, r);
	return (r);
}

static struct record *
record_find(const struct agent *a, const struct pd_key *k)
{
	g_autofree char *key = key_text(k);

	return (g_hash_table_lookup(a->records, key));
}

static void
count_start(struct sw *w, const struct record *r)
{
	char *task;
	gpointer n;

	w->counts.starts++;
	if (!g_hash_table_add(w->keys, g_strdup(r->key_text)))
		w->counts.duplicate_starts++;
	task = g_strdup_printf("%s/%u", r->id, r->key.task);
	n = g_hash_table_lookup(w->starts, task);
	g_hash_table_insert(
	    w->starts, task, GUINT_TO_POINTER(GPOINTER_TO_UINT(n) + 1));
}

static void
start_queued(struct sw *w, struct agent *a)
{
	struct record *r;
	struct event *e;

	while (a->running < w->settings.slots &&
	    (r = g_queue_pop_head(&a->queue)) != NULL) {
		r->state = PD_RUNNING;
		r->started_us = sw_now(w);
		a->running++;
		a->starts++;
		count_start(w, r);
		e = sw_event_new(w, FINISH,
		    sw_now(w) + (uint64_t)(r->body.work_us / a->speed));
		e->agent = a;
		e->incarnation = a->incarnation;
		sw_set_key(e, &r->key);
	}
}

/* Returns a grant to its entry; the agent keeps no record of it. */
static void
return_grant(struct sw *w, struct agent *a, struct record *r, pd_reason reason)
{
	r->state = PD_NOT_STARTED;
	r->reason = reason;
	send_report(w, a, r);
	g_hash_table_remove(a->records, r->key_text);
}

void
sw_grant_arrives(struct sw *w, const struct event *e)
{
	struct agent *a = e->agent;
	struct record *r;

	r = record_find(a, &e->key);
	if (r != NULL) {
		(void)send_state(w, a, r, e->entry, 0);
		return;
	}
	r = record_new(a, e, PD_QUEUED);
	if (e->incarnation != a->incarnation)
		return_grant(w, a, r, PD_R_WRONG_INCARNATION);
	else if (a->queue.length + (a->running >= w->settings.slots) >
		w->settings.queue_max ||
	    sw_chance(w, w->settings.faults.grant_returned))
		return_grant(w, a, r, PD_R_QUEUE_FULL);
	else {
		g_queue_push_tail(&a->queue, r);
		start_queued(w, a);
	}
}

void
sw_cancel_arrives(struct sw *w, const struct event *e)
{
	struct record *r;

	r = record_find(e->agent, &e->key);
	if (r == NULL || r->state != PD_QUEUED)
		return;
	g_queue_remove(&e->agent->queue, r);
	return_grant(w, e->agent, r, PD_R_CANCELLED);
}

void
sw_resolve_arrives(struct sw *w, const struct event *e)
{
	struct record *r;

	r = record_find(e->agent, &e->key);
	if (r == NULL) {
		r = record_new(e->agent, e, PD_NOT_STARTED);
		r->reason = PD_R_VOIDED;
	}
	(void)send_state(w, e->agent, r, e->entry, 0);
}

void
sw_finish_task(struct sw *w, const struct event *e)
{
	struct agent *a = e->agent;
	struct record *r;

	if (a->incarnation != e->incarnation)
		return;
	r = record_find(a, &e->key);
	a->running--;
	r->run_ms = (uint32_t)((sw_now(w) - r->started_us) / 1000);
	r->state = PD_DONE;
	if (r->body.flags & SW_FAILS) {
		r->state = PD_FAILED;
		r->reason = PD_R_ENDPOINT_ERROR;
	} else if (r->body.flags & SW_LOST) {
		r->state = PD_OUTCOME_UNKNOWN;
		r->reason = PD_R_ENDPOINT_TIMEOUT;
	}
	start_queued(w, a);
	send_report(w, a, r);
}

void
sw_send_stale_report(struct sw *w, struct agent *a)
{
	struct record r;

	r = a->sent[rn_below(w->rng, MIN(a->nsent, SENT_REPORTS_MAX))];
	r.key.sub.id = r.id;
	(void)send_state(w, a, &r, r.entry, 0);
}
