#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "member_impl.h"

static void
log_entry_free(void *p)
{
	struct mb_log_entry *e = p;

	g_free(e->json);
	g_free(e);
}

uint64_t
mb_new_incarnation(struct mb *m)
{
	uint64_t incarnation;

	do
		incarnation = rn_u64(m->rng);
	while (incarnation == 0);
	return (incarnation);
}

/* An entry that was removed rejoins under a new incarnation. The old one must
 * not vote again, since the other entries no longer count it. */
static void
take_new_incarnation(struct mb *m)
{
	if ((m->variant & MB_V_KEEP_INCARNATION) != 0)
		return;
	mb_mark_terminated(m, m->incarnation);
	m->incarnation = mb_new_incarnation(m);
	lg_write(LOG_NOTICE, "member",
	    "Removed from the list of entries; registering again with a new "
	    "incarnation.");
}

static void
handle_list_change(struct mb *m, uint64_t old_view, bool was_registered)
{
	/* The list only changes after its previous change was accepted. */
	mb_set_accepted(m, old_view);
	if (was_registered && !mb_registered(m) && !m->leaving)
		take_new_incarnation(m);
	mb_update_peers(m);
}

static void
log_trim(struct mb *m)
{
	struct mb_log_entry *e;

	while (m->log->length > MB_LOG_MAX_CHANGES ||
	    (m->log_bytes > MB_LOG_MAX_BYTES && m->log->length > 1)) {
		e = g_queue_pop_head(m->log);
		m->log_bytes -= e->size;
		log_entry_free(e);
	}
}

static void
log_append(struct mb *m, uint64_t revision, const char *json)
{
	struct mb_log_entry *e;

	e = g_new0(struct mb_log_entry, 1);
	e->revision = revision;
	e->json = g_strdup(json);
	e->size = strlen(json);
	m->log_bytes += e->size;
	g_queue_push_tail(m->log, e);
	log_trim(m);
}

void
mb_log_clear(struct mb *m)
{
	g_queue_clear_full(m->log, log_entry_free);
	m->log_bytes = 0;
}

static bool
restore_snapshot(struct mb *m, const char *json, const json_t *snapshot)
{
	bool was_registered;
	uint64_t old_view, revision;

	revision =
	    (uint64_t)json_integer_value(json_object_get(snapshot, "revision"));
	if (revision <= cs_revision(m->state) &&
	    (m->variant & MB_V_TAKE_OLD_SNAPSHOT) == 0)
		return (true);
	was_registered = mb_registered(m);
	old_view = cs_view(m->state);
	if (cs_restore(m->state, json) != CS_OK) {
		lg_write(LOG_ERR, "member", "Ignoring a malformed snapshot.");
		return (false);
	}
	mb_log_clear(m);
	if (cs_view(m->state) != old_view)
		handle_list_change(m, old_view, was_registered);
	mb_writes_check_log(m);
	m->ops->applied(m->arg, cs_revision(m->state));
	mb_update_accepted(m);
	return (true);
}

static void
apply_change(struct mb *m, uint64_t revision, const char *json)
{
	bool was_registered;
	uint64_t old_view;
	char text[256];

	was_registered = mb_registered(m);
	old_view = cs_view(m->state);
	if (cs_apply(m->state, revision, json, text, sizeof(text)) != CS_OK)
		lg_write(LOG_WARNING, "member",
		    "Change %llu has no effect: %s.",
		    (unsigned long long)revision, text);
	log_append(m, revision, json);
	if (cs_view(m->state) != old_view)
		handle_list_change(m, old_view, was_registered);
	mb_writes_check_log(m);
	m->ops->applied(m->arg, revision);
	mb_update_accepted(m);
}

bool
mb_receive_change(
    struct mb *m, uint64_t revision, const char *json, size_t size)
{
	json_t *change;
	char *text;
	bool ok;

	if (revision <= cs_revision(m->state) &&
	    (m->variant & MB_V_TAKE_OLD_SNAPSHOT) == 0)
		return (true);
	text = g_strndup(json, size);
	change = json_loads(text, 0, NULL);
	ok = true;
	if (json_object_get(change, "state") != NULL)
		ok = restore_snapshot(m, text, change);
	else if (revision == cs_revision(m->state) + 1)
		apply_change(m, revision, text);
	else
		ok = false;
	json_decref(change);
	g_free(text);
	return (ok);
}

void
mb_load_snapshot(struct mb *m, const char *json)
{
	(void)mb_receive_change(m, UINT64_MAX, json, strlen(json));
}

uint64_t
mb_receive_push(struct mb *m, const struct pd_changes *changes)
{
	const struct pd_change *c;
	u_int i;

	for (i = 0; i < changes->list.list_len; i++) {
		c = &changes->list.list_val[i];
		if (!mb_receive_change(
			m, c->revision, c->json.json_val, c->json.json_len))
			break;
	}
	mb_writes_advance(m);
	return (cs_revision(m->state));
}

static void
page_add(struct mb *m, uint64_t revision, char *json, size_t size)
{
	struct pd_change c;

	c.revision = revision;
	c.json.json_val = json;
	c.json.json_len = (u_int)size;
	g_array_append_val(m->page, c);
}

static void
page_add_snapshot(struct mb *m)
{
	free(m->snapshot);
	m->snapshot = cs_snapshot(m->state);
	if (m->snapshot != NULL)
		page_add(
		    m, cs_revision(m->state), m->snapshot, strlen(m->snapshot));
}

static void
page_add_log(struct mb *m, uint64_t after)
{
	const struct mb_log_entry *e;
	const GList *l;
	size_t bytes;

	bytes = 0;
	for (l = m->log->head; l != NULL; l = l->next) {
		e = l->data;
		if (e->revision <= after)
			continue;
		if (bytes > MB_PAGE_BYTES || m->page->len == PD_BATCH_MAX)
			break;
		page_add(m, e->revision, e->json, e->size);
		bytes += e->size;
	}
}

void
mb_changes_after(struct mb *m, uint64_t after, struct pd_changes *out)
{
	const struct mb_log_entry *first;

	g_array_set_size(m->page, 0);
	first = g_queue_peek_head(m->log);
	if (after < cs_revision(m->state)) {
		if (first == NULL || first->revision > after + 1)
			page_add_snapshot(m);
		else
			page_add_log(m, after);
	}
	out->list.list_len = m->page->len;
	out->list.list_val = (struct pd_change *)(void *)m->page->data;
}
