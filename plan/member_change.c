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
id_of(const json_t *change)
{
	return (json_string_value(json_object_get(change, "change_id")));
}

static const char *
kind_of(const struct mb_op *op)
{
	const char *kind;

	kind = json_string_value(json_object_get(op->change, "kind"));
	return (kind == NULL ? "" : kind);
}

static void
op_free(void *p)
{
	struct mb_op *op = p;

	json_decref(op->change);
	free(op->json);
	g_free(op);
}

static void
render(struct mb_op *op)
{
	free(op->json);
	op->json = json_dumps(op->change, JSON_COMPACT);
	op->change_id = id_of(op->change);
}

void
mb_op_add(
    struct mb *m, json_t *change, uint64_t expect, mb_change_fn done, void *arg)
{
	struct mb_op *op;

	op = g_new0(struct mb_op, 1);
	op->change = change;
	op->expect = (m->variant & MB_V_NO_COMPARE) != 0 ? 0 : expect;
	op->done = done;
	op->arg = arg;
	op->start_ms = mb_now(m);
	op->leave = strcmp(kind_of(op), "entry_leave") == 0;
	op->list = strncmp(kind_of(op), "entr", 4) == 0;
	render(op);
	g_queue_push_tail(m->queue, op);
}

static void
finish(
    struct mb *m, struct mb_op *op, enum mb_outcome outcome, const char *text)
{
	g_queue_remove(m->queue, op);
	if (m->inflight == op)
		m->inflight = NULL;
	if (op->done != NULL) {
		ct_increment(m->counters, "pd_changes_total",
		    "Changes by operators, by outcome.", "outcome",
		    outcome_names[outcome]);
		op->done(op->arg, outcome, op->revision, text);
	}
	op_free(op);
}

static const char *
log_text(const struct mb *m, uint64_t revision)
{
	const struct mb_entry *e;
	const GList *l;

	for (l = m->log->tail; l != NULL; l = l->prev) {
		e = l->data;
		if (e->revision == revision)
			return (e->json);
	}
	return ("null");
}

/* The change of the operator and the one that came first. */
static void
finish_conflict(struct mb *m, struct mb_op *op, uint64_t winner)
{
	char *text;

	op->revision = winner;
	text = g_strdup_printf(
	    "{\"yours\":%s,\"winner\":%s}", op->json, log_text(m, winner));
	finish(m, op, MB_CONFLICT, text);
	g_free(text);
}

/* Whether all live entries have heard from this entry since its leave. */
static bool
told_all(const struct mb *m, const struct mb_op *op)
{
	const struct cs_member *members;
	const struct mb_known *k;
	size_t n, i;

	if (mb_now(m) - op->written_ms >= MB_LEAVE_MS)
		return (true);
	members = cs_members(m->state, &n);
	for (i = 0; i < n; i++) {
		k = mb_lookup(m, members[i].incarnation);
		if (k != NULL && k->alive &&
		    !mb_missing(m, members[i].incarnation) &&
		    (!k->asked || k->asked_ms < op->written_ms))
			return (false);
	}
	return (true);
}

static const char *
alive_name(const struct mb *m, const json_t *names)
{
	const struct cs_member *members;
	const struct mb_known *k;
	const json_t *name;
	size_t n, i, j;

	members = cs_members(m->state, &n);
	for (i = 0; i < n; i++) {
		k = mb_lookup(m, members[i].incarnation);
		if (members[i].incarnation != m->incarnation &&
		    (k == NULL || !k->alive || k->gone ||
			mb_missing(m, members[i].incarnation)))
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

/* Finishes an operator's change that can never be written. */
static bool
refused(struct mb *m, struct mb_op *op)
{
	char text[256];
	const char *name;

	if (op->done == NULL)
		return (false);
	name = alive_name(m, json_object_get(op->change, "names"));
	if (name != NULL) {
		g_snprintf(text, sizeof(text),
		    "entry %s answers and cannot be forgotten", name);
		finish(m, op, MB_REFUSED, text);
		return (true);
	}
	if (cs_check(m->state, op->json, text, sizeof(text)) == CS_OK)
		return (false);
	if (op->sent_once || op->checked)
		finish_conflict(m, op, cs_revision(m->state));
	else
		finish(m, op, MB_REFUSED, text);
	return (true);
}

static bool
finish_written(struct mb *m, struct mb_op *op)
{
	char *text;

	if (op->done == NULL) {
		finish(m, op, MB_ACCEPTED, "");
		return (true);
	}
	if (m->accepted >= op->revision && (!op->leave || told_all(m, op))) {
		finish(m, op, MB_ACCEPTED, "");
		return (true);
	}
	if (mb_now(m) - op->start_ms < MB_CHANGE_MS)
		return (false);
	text = mb_unconfirmed(m, op->revision);
	finish(m, op, MB_PENDING, text);
	g_free(text);
	return (true);
}

static void
finish_late(struct mb *m, struct mb_op *op)
{
	if (op->state != MB_OP_WAITING)
		finish(m, op, MB_UNAVAILABLE,
		    "platform_unavailable: the change may have been written");
	else if (mb_platform_silent(m) || !m->read_once)
		finish(m, op, MB_UNAVAILABLE,
		    "platform_unavailable: the change was not written");
	else
		finish(m, op, MB_REFUSED,
		    op->list ? "the change of the list before is not accepted"
			     : "the expected revision is not in the log");
}

static void
note_written(struct mb *m, struct mb_op *op, uint64_t revision)
{
	if (revision == 0 || (m->variant & MB_V_NO_READ_BACK) != 0)
		return;
	op->state = MB_OP_WRITTEN;
	op->revision = revision;
	op->written_ms = mb_now(m);
}

/* Finishes an operation if its outcome is known; it is freed then. */
static bool
settle(struct mb *m, struct mb_op *op)
{
	if (op->state != MB_OP_WRITTEN)
		note_written(
		    m, op, cs_change_revision(m->state, op->change_id));
	if (op->state == MB_OP_WRITTEN)
		return (finish_written(m, op));
	if (op->expect != 0 && op->expect < cs_revision(m->state)) {
		finish_conflict(m, op, op->expect + 1);
		return (true);
	}
	if (op->state == MB_OP_WAITING && m->read_once &&
	    op->expect <= cs_revision(m->state) && refused(m, op))
		return (true);
	op->checked = m->read_once;
	/* What an entry wants by itself is decided again after a conflict or
	 * a wait: a missing entry may be back. */
	if (op->done == NULL && op->state == MB_OP_WAITING &&
	    (op->sent_once || mb_now(m) - op->start_ms >= MB_OWN_MS)) {
		finish(m, op, MB_CONFLICT, "");
		return (true);
	}
	if (mb_now(m) - op->start_ms < MB_CHANGE_MS)
		return (false);
	finish_late(m, op);
	return (true);
}

static bool
may_send(const struct mb *m, const struct mb_op *op)
{
	if (op->state != MB_OP_WAITING && op->state != MB_OP_UNSURE)
		return (false);
	if (mb_now(m) < op->retry_ms)
		return (false);
	if (op->expect != 0 && op->expect != cs_revision(m->state))
		return (false);
	if (cs_check(m->state, op->json, NULL, 0) != CS_OK)
		return (false);
	return (!op->list ||
	    mb_list_settled(m, json_object_get(op->change, "names")));
}

static void
send_next(struct mb *m)
{
	struct mb_op *op;
	GList *l;

	if (m->insert_outstanding || !m->read_once)
		return;
	for (l = m->queue->head; l != NULL; l = l->next) {
		op = l->data;
		if (!may_send(m, op))
			continue;
		op->state = MB_OP_SENT;
		op->sent_once = true;
		op->revision = cs_revision(m->state) + 1;
		m->inflight = op;
		m->insert_outstanding = true;
		m->ops->insert(m->arg, op->revision, op->json);
		return;
	}
}

void
mb_ops_run(struct mb *m)
{
	GList *l;

	/* A callback may add or end operations, so start again after one. */
	l = m->queue->head;
	while (l != NULL) {
		if (settle(m, l->data))
			l = m->queue->head;
		else
			l = l->next;
	}
	send_next(m);
}

void
mb_ops_learned(struct mb *m)
{
	struct mb_op *op;
	GList *l;

	for (l = m->queue->head; l != NULL; l = l->next) {
		op = l->data;
		if (op->state != MB_OP_WRITTEN)
			note_written(
			    m, op, cs_change_revision(m->state, op->change_id));
		/* Another change has the revision, so the insert that was not
		 * answered has failed. */
		if (op->state == MB_OP_UNSURE)
			op->state = MB_OP_WAITING;
	}
}

void
mb_ops_free(struct mb *m)
{
	g_queue_free_full(m->queue, op_free);
}

void
mb_own_change(struct mb *m, json_t *change)
{
	m->own_retry_ms = mb_now(m) + MB_RETRY_MS;
	mb_op_add(m, change, 0, NULL, NULL);
	mb_ops_run(m);
}

bool
mb_own_busy(const struct mb *m)
{
	const struct mb_op *op;
	const GList *l;

	for (l = m->queue->head; l != NULL; l = l->next) {
		op = l->data;
		if (op->done == NULL)
			return (true);
	}
	return (false);
}

static void
new_change_id(struct mb *m, json_t *change)
{
	char id[33];

	g_snprintf(id, sizeof(id), "%016" PRIx64 "%016" PRIx64, rn_u64(m->rng),
	    rn_u64(m->rng));
	json_object_set_new(change, "change_id", json_string(id));
}

static bool
for_operators(const json_t *change)
{
	const char *kind;

	kind = json_string_value(json_object_get(change, "kind"));
	return (kind != NULL && id_of(change) != NULL &&
	    strncmp(kind, "entry_", 6) != 0);
}

void
mb_change(struct mb *m, const char *json, uint64_t expect, mb_change_fn done,
    void *arg)
{
	uint64_t revision;
	json_t *change;

	change = json_loads(json, 0, NULL);
	if (json_is_object(change) &&
	    json_object_get(change, "change_id") == NULL)
		new_change_id(m, change);
	if (!for_operators(change)) {
		done(arg, MB_REFUSED, 0, "not a change for operators");
		goto out;
	}
	revision = cs_change_revision(m->state, id_of(change));
	if (revision == 0 && m->scan_failed) {
		done(arg, MB_UNAVAILABLE, 0,
		    "platform_unavailable: the change was not written");
		goto out;
	}
	mb_op_add(m, json_incref(change), expect, done, arg);
	mb_ops_run(m);
out:
	json_decref(change);
}

static void
unanswered(struct mb *m, struct mb_op *op)
{
	if (op == NULL || op->state == MB_OP_WRITTEN)
		return;
	op->state = MB_OP_UNSURE;
	op->retry_ms = mb_now(m) + MB_RETRY_MS;
}

void
mb_insert_done(
    struct mb *m, uint64_t revision, enum mb_insert result, const char *winner)
{
	struct mb_op *op;
	char *json;

	op = m->inflight;
	m->inflight = NULL;
	m->insert_outstanding = false;
	if (op != NULL && op->state == MB_OP_SENT)
		op->state = MB_OP_WAITING;
	if (result == MB_INSERTED && op != NULL) {
		json = g_strdup(op->json);
		if ((m->variant & MB_V_NO_READ_BACK) != 0) {
			op->state = MB_OP_WRITTEN;
			op->revision = revision;
		}
		(void)mb_learn(m, revision, json, strlen(json));
		g_free(json);
		mb_push_all(m);
	} else if (result == MB_TAKEN && winner != NULL) {
		(void)mb_learn(m, revision, winner, strlen(winner));
	} else {
		unanswered(m, op);
		mb_read_now(m);
	}
	mb_ops_run(m);
}
