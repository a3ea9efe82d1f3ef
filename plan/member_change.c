#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "member_impl.h"

static const char *const outcome_names[] = {
    [MB_ACCEPTED] = "accepted",
    [MB_PENDING] = "pending",
    [MB_CONFLICT] = "conflict",
    [MB_REFUSED] = "refused",
    [MB_UNAVAILABLE] = "unavailable",
};

static const char *
change_id_of(const json_t *change)
{
	return (json_string_value(json_object_get(change, "change_id")));
}

static const char *
kind_of(const struct mb_write *w)
{
	const char *kind;

	kind = json_string_value(json_object_get(w->change, "kind"));
	return (kind == NULL ? "" : kind);
}

static void
write_free(void *p)
{
	struct mb_write *w = p;

	json_decref(w->change);
	free(w->json);
	g_free(w);
}

static void
serialize(struct mb_write *w)
{
	free(w->json);
	w->json = json_dumps(w->change, JSON_COMPACT);
	w->change_id = change_id_of(w->change);
}

void
mb_write_enqueue(
    struct mb *m, json_t *change, uint64_t expect, mb_change_fn done, void *arg)
{
	struct mb_write *w;

	w = g_new0(struct mb_write, 1);
	w->change = change;
	w->expected = (m->variant & MB_V_IGNORE_EXPECTED) != 0 ? 0 : expect;
	w->done = done;
	w->arg = arg;
	w->start_ms = mb_now(m);
	w->is_leave = strcmp(kind_of(w), "entry_leave") == 0;
	w->changes_list = strncmp(kind_of(w), "entr", 4) == 0;
	serialize(w);
	g_queue_push_tail(m->queue, w);
}

static void
finish(
    struct mb *m, struct mb_write *w, enum mb_outcome outcome, const char *text)
{
	g_queue_remove(m->queue, w);
	if (m->inflight == w)
		m->inflight = NULL;
	if (w->done != NULL) {
		ct_increment(m->counters, "pd_changes_total",
		    "Changes by operators, by outcome.", "outcome",
		    outcome_names[outcome]);
		w->done(w->arg, outcome, w->revision, text);
	}
	write_free(w);
}

static const char *
logged_change(const struct mb *m, uint64_t revision)
{
	const struct mb_log_entry *e;
	const GList *l;

	for (l = m->log->tail; l != NULL; l = l->prev) {
		e = l->data;
		if (e->revision == revision)
			return (e->json);
	}
	return ("null");
}

/* The text shows the operator's change and the one that was written first. */
static void
finish_conflict(struct mb *m, struct mb_write *w, uint64_t winner)
{
	char *text;

	w->revision = winner;
	text = g_strdup_printf(
	    "{\"yours\":%s,\"winner\":%s}", w->json, logged_change(m, winner));
	finish(m, w, MB_CONFLICT, text);
	g_free(text);
}

/* Whether all live members have answered a status call sent after the leave
 * was written, or the time for it is over. */
static bool
leave_announced(const struct mb *m, const struct mb_write *w)
{
	const struct cs_member *members;
	const struct mb_instance *inst;
	size_t n, i;

	if (mb_now(m) - w->written_ms >= MB_LEAVE_NOTICE_MS)
		return (true);
	members = cs_members(m->state, &n);
	for (i = 0; i < n; i++) {
		inst = mb_instance_find(m, members[i].incarnation);
		if (inst != NULL && inst->ever_heard &&
		    !mb_is_missing(m, members[i].incarnation) &&
		    (!inst->has_status || inst->status_sent_ms < w->written_ms))
			return (false);
	}
	return (true);
}

static const char *
find_live_name(const struct mb *m, const json_t *names)
{
	const struct cs_member *members;
	const struct mb_instance *inst;
	const json_t *name;
	size_t n, i, j;

	members = cs_members(m->state, &n);
	for (i = 0; i < n; i++) {
		inst = mb_instance_find(m, members[i].incarnation);
		if (members[i].incarnation != m->incarnation &&
		    (inst == NULL || !inst->ever_heard || inst->terminated ||
			mb_is_missing(m, members[i].incarnation)))
			continue;
		json_array_foreach(names, j, name)
		{
			if (g_strcmp0(
				json_string_value(name), members[i].name) == 0)
				return (members[i].name);
		}
	}
	return (NULL);
}

/* Finishes an operator's change if the current state does not allow it, or if
 * it would forget an entry that answers. */
static bool
finish_refused(struct mb *m, struct mb_write *w)
{
	char text[256];
	const char *name;

	if (w->done == NULL)
		return (false);
	name = find_live_name(m, json_object_get(w->change, "names"));
	if (name != NULL) {
		g_snprintf(text, sizeof(text),
		    "entry %s answers and cannot be forgotten", name);
		finish(m, w, MB_REFUSED, text);
		return (true);
	}
	if (cs_check(m->state, w->json, text, sizeof(text)) == CS_OK)
		return (false);
	if (w->sent_once || w->was_valid)
		finish_conflict(m, w, cs_revision(m->state));
	else
		finish(m, w, MB_REFUSED, text);
	return (true);
}

static bool
finish_written(struct mb *m, struct mb_write *w)
{
	char *text;

	if (w->done == NULL) {
		finish(m, w, MB_ACCEPTED, "");
		return (true);
	}
	if (m->accepted >= w->revision &&
	    (!w->is_leave || leave_announced(m, w))) {
		finish(m, w, MB_ACCEPTED, "");
		return (true);
	}
	if (mb_now(m) - w->start_ms < MB_CHANGE_TIMEOUT_MS)
		return (false);
	text = mb_unconfirmed_names(m, w->revision);
	finish(m, w, MB_PENDING, text);
	g_free(text);
	return (true);
}

static void
finish_timed_out(struct mb *m, struct mb_write *w)
{
	if (w->state != MB_WRITE_QUEUED)
		finish(m, w, MB_UNAVAILABLE,
		    "platform_unavailable: the change may have been written");
	else if (mb_platform_unresponsive(m) || !m->read_once)
		finish(m, w, MB_UNAVAILABLE,
		    "platform_unavailable: the change was not written");
	else
		finish(m, w, MB_REFUSED,
		    w->changes_list
			? "the change of the list before is not accepted"
			: "the expected revision is not in the log");
}

static void
mark_written(struct mb *m, struct mb_write *w, uint64_t revision)
{
	if (revision == 0 || (m->variant & MB_V_NO_READ_BACK) != 0)
		return;
	w->state = MB_WRITE_DONE;
	w->revision = revision;
	w->written_ms = mb_now(m);
}

/* Finishes a write if its outcome is known; it is freed then. */
static bool
finish_if_decided(struct mb *m, struct mb_write *w)
{
	if (w->state != MB_WRITE_DONE)
		mark_written(m, w, cs_change_revision(m->state, w->change_id));
	if (w->state == MB_WRITE_DONE)
		return (finish_written(m, w));
	if (w->expected != 0 && w->expected < cs_revision(m->state)) {
		finish_conflict(m, w, w->expected + 1);
		return (true);
	}
	if (w->state == MB_WRITE_QUEUED && m->read_once &&
	    w->expected <= cs_revision(m->state) && finish_refused(m, w))
		return (true);
	w->was_valid = m->read_once;
	/* Drops an own change after a conflict or a wait, since it may no
	 * longer be needed: a missing entry may be back. */
	if (w->done == NULL && w->state == MB_WRITE_QUEUED &&
	    (w->sent_once ||
		mb_now(m) - w->start_ms >= MB_OWN_CHANGE_TIMEOUT_MS)) {
		finish(m, w, MB_CONFLICT, "");
		return (true);
	}
	if (mb_now(m) - w->start_ms < MB_CHANGE_TIMEOUT_MS)
		return (false);
	finish_timed_out(m, w);
	return (true);
}

static bool
can_send(const struct mb *m, const struct mb_write *w)
{
	if (w->state != MB_WRITE_QUEUED && w->state != MB_WRITE_UNANSWERED)
		return (false);
	if (mb_now(m) < w->retry_ms)
		return (false);
	if (w->expected != 0 && w->expected != cs_revision(m->state))
		return (false);
	if (cs_check(m->state, w->json, NULL, 0) != CS_OK)
		return (false);
	return (!w->changes_list ||
	    mb_list_accepted(m, json_object_get(w->change, "names")));
}

static void
send_next(struct mb *m)
{
	struct mb_write *w;
	GList *l;

	if (m->insert_outstanding || !m->read_once)
		return;
	for (l = m->queue->head; l != NULL; l = l->next) {
		w = l->data;
		if (!can_send(m, w))
			continue;
		w->state = MB_WRITE_SENT;
		w->sent_once = true;
		w->revision = cs_revision(m->state) + 1;
		m->inflight = w;
		m->insert_outstanding = true;
		m->ops->insert(m->arg, w->revision, w->json);
		return;
	}
}

void
mb_writes_advance(struct mb *m)
{
	GList *l;

	/* A callback may add or finish writes, so restart after one. */
	l = m->queue->head;
	while (l != NULL) {
		if (finish_if_decided(m, l->data))
			l = m->queue->head;
		else
			l = l->next;
	}
	send_next(m);
}

void
mb_writes_check_log(struct mb *m)
{
	struct mb_write *w;
	GList *l;

	for (l = m->queue->head; l != NULL; l = l->next) {
		w = l->data;
		if (w->state != MB_WRITE_DONE)
			mark_written(
			    m, w, cs_change_revision(m->state, w->change_id));
		/* Otherwise another change has the revision, so the unanswered
		 * insert has failed. */
		if (w->state == MB_WRITE_UNANSWERED)
			w->state = MB_WRITE_QUEUED;
	}
}

void
mb_writes_free(struct mb *m)
{
	g_queue_free_full(m->queue, write_free);
}

void
mb_write_own_change(struct mb *m, json_t *change)
{
	m->next_own_change_ms = mb_now(m) + MB_RETRY_MS;
	mb_write_enqueue(m, change, 0, NULL, NULL);
	mb_writes_advance(m);
}

bool
mb_own_change_pending(const struct mb *m)
{
	const struct mb_write *w;
	const GList *l;

	for (l = m->queue->head; l != NULL; l = l->next) {
		w = l->data;
		if (w->done == NULL)
			return (true);
	}
	return (false);
}

static void
add_change_id(struct mb *m, json_t *change)
{
	char id[33];

	g_snprintf(id, sizeof(id), "%016" PRIx64 "%016" PRIx64, rn_u64(m->rng),
	    rn_u64(m->rng));
	json_object_set_new(change, "change_id", json_string(id));
}

static bool
is_operator_change(const json_t *change)
{
	const char *kind;

	kind = json_string_value(json_object_get(change, "kind"));
	return (kind != NULL && change_id_of(change) != NULL &&
	    strncmp(kind, "entry_", 6) != 0);
}

void
mb_write_change(struct mb *m, const char *json, uint64_t expect,
    mb_change_fn done, void *arg)
{
	uint64_t revision;
	json_t *change;

	change = json_loads(json, 0, NULL);
	if (json_is_object(change) &&
	    json_object_get(change, "change_id") == NULL)
		add_change_id(m, change);
	if (!is_operator_change(change)) {
		done(arg, MB_REFUSED, 0, "not a change for operators");
		goto out;
	}
	revision = cs_change_revision(m->state, change_id_of(change));
	if (revision == 0 && m->scan_failed) {
		done(arg, MB_UNAVAILABLE, 0,
		    "platform_unavailable: the change was not written");
		goto out;
	}
	mb_write_enqueue(m, json_incref(change), expect, done, arg);
	mb_writes_advance(m);
out:
	json_decref(change);
}

static void
mark_unanswered(struct mb *m, struct mb_write *w)
{
	if (w == NULL || w->state == MB_WRITE_DONE)
		return;
	w->state = MB_WRITE_UNANSWERED;
	w->retry_ms = mb_now(m) + MB_RETRY_MS;
}

void
mb_insert_done(struct mb *m, uint64_t revision, enum mb_insert_result result,
    const char *winner)
{
	struct mb_write *w;
	char *json;

	w = m->inflight;
	m->inflight = NULL;
	m->insert_outstanding = false;
	if (w != NULL && w->state == MB_WRITE_SENT)
		w->state = MB_WRITE_QUEUED;
	if (result == MB_INSERTED && w != NULL) {
		json = g_strdup(w->json);
		if ((m->variant & MB_V_NO_READ_BACK) != 0) {
			w->state = MB_WRITE_DONE;
			w->revision = revision;
		}
		(void)mb_receive_change(m, revision, json, strlen(json));
		g_free(json);
		mb_push_all(m);
	} else if (result == MB_REVISION_TAKEN && winner != NULL) {
		(void)mb_receive_change(m, revision, winner, strlen(winner));
	} else {
		mark_unanswered(m, w);
		mb_schedule_read(m);
	}
	mb_writes_advance(m);
}
