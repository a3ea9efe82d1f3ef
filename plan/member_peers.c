#include <string.h>

#include "member_impl.h"

static struct mb_peer *
find_peer(const struct mb *m, const char *address)
{
	struct mb_peer *peer;
	guint i;

	for (i = 0; i < m->peers->len; i++) {
		peer = m->peers->pdata[i];
		if (strcmp(peer->address, address) == 0)
			return (peer);
	}
	return (NULL);
}

static struct mb_peer *
activate_peer(struct mb *m, const char *address)
{
	struct mb_peer *peer;

	peer = find_peer(m, address);
	if (peer == NULL) {
		peer = g_new0(struct mb_peer, 1);
		peer->address = g_strdup(address);
		g_ptr_array_add(m->peers, peer);
	}
	peer->active = true;
	return (peer);
}

static bool
is_predecessor(const struct mb *m, const struct cs_member *member)
{
	return (member->incarnation != m->incarnation &&
	    strcmp(member->name, m->name) == 0 &&
	    strcmp(member->address, m->address) == 0);
}

static void
add_members(struct mb *m, const struct cs_member *members, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		(void)mb_instance_get(m, members[i].incarnation);
		if (strcmp(members[i].address, m->address) != 0)
			(void)activate_peer(m, members[i].address);
		/* That instance has exited, since this process could bind its
		 * address, or it was an earlier incarnation of this process. */
		if (is_predecessor(m, &members[i]))
			mb_mark_terminated(m, members[i].incarnation);
	}
}

static gboolean
instance_expired(gpointer key, gpointer value, gpointer data)
{
	const struct mb *m = data;
	const struct mb_instance *inst = value;

	(void)key;
	return (!mb_is_member(m, inst->incarnation) &&
	    mb_now(m) - inst->last_heard_ms >= MB_INSTANCE_RETENTION_MS);
}

void
mb_update_peers(struct mb *m)
{
	const struct cs_member *members;
	struct mb_peer *peer;
	size_t n, exited;
	guint i;

	for (i = 0; i < m->peers->len; i++) {
		peer = m->peers->pdata[i];
		peer->active = peer->seed;
	}
	g_hash_table_foreach_remove(m->instances, instance_expired, m);
	members = cs_members(m->state, &n);
	add_members(m, members, n);
	members = cs_previous_members(m->state, &n, &exited);
	add_members(m, members, n);
	for (i = m->peers->len; i-- > 0;) {
		peer = m->peers->pdata[i];
		if (!peer->active && !peer->status_outstanding)
			g_ptr_array_remove_index(m->peers, i);
	}
}

/* A status marks earlier instances with its name and address as terminated if
 * it reports them as missing. */
static void
mark_predecessors(struct mb *m, const struct pd_status *s,
    const struct cs_member *members, size_t n)
{
	size_t i;
	u_int j;

	for (i = 0; i < n; i++) {
		if (members[i].incarnation == s->incarnation ||
		    g_strcmp0(members[i].name, s->name) != 0 ||
		    g_strcmp0(members[i].address, s->address) != 0)
			continue;
		for (j = 0; j < s->missing.missing_len; j++) {
			if (s->missing.missing_val[j] == members[i].incarnation)
				mb_mark_terminated(m, members[i].incarnation);
		}
	}
}

static void
record_status(struct mb *m, const struct pd_status *s)
{
	const struct cs_member *members;
	struct mb_instance *inst;
	size_t n, exited;

	mb_note_heard(m, s->incarnation, s->revision);
	inst = mb_instance_get(m, s->incarnation);
	g_array_set_size(inst->missing, 0);
	g_array_append_vals(
	    inst->missing, s->missing.missing_val, s->missing.missing_len);
	inst->reported_ms = mb_now(m);
	inst->agents = s->agents;
	members = cs_members(m->state, &n);
	mark_predecessors(m, s, members, n);
	members = cs_previous_members(m->state, &n, &exited);
	mark_predecessors(m, s, members, n);
}

static void
push_if_behind(struct mb *m, struct mb_peer *peer, uint64_t held)
{
	uint64_t revision;

	revision = cs_revision(m->state);
	if (held >= revision || !peer->active ||
	    (peer->pushed_revision == revision &&
		mb_now(m) - peer->pushed_ms < MB_PUSH_RETRY_MS))
		return;
	peer->pushed_revision = revision;
	peer->pushed_ms = mb_now(m);
	m->ops->push(m->arg, peer->address, held);
}

void
mb_push_all(struct mb *m)
{
	const struct cs_member *members;
	const struct mb_instance *inst;
	struct mb_peer *peer;
	size_t n, i;

	members = cs_members(m->state, &n);
	for (i = 0; i < n; i++) {
		peer = find_peer(m, members[i].address);
		inst = mb_instance_find(m, members[i].incarnation);
		if (peer != NULL && inst != NULL && inst->ever_heard)
			push_if_behind(m, peer, inst->held_revision);
		members = cs_members(m->state, &n);
	}
}

static uint64_t
find_incarnation(const struct mb *m, const char *name)
{
	const struct cs_member *members;
	size_t n, i;

	members = cs_members(m->state, &n);
	for (i = 0; i < n; i++) {
		if (g_strcmp0(members[i].name, name) == 0)
			return (members[i].incarnation);
	}
	return (0);
}

static void
record_status_age(struct mb *m, uint64_t sent_ms, const struct pd_status *s)
{
	struct mb_instance *inst;

	inst = mb_instance_get(m, s->incarnation);
	if ((m->variant & MB_V_VOTE_BY_NAME) != 0)
		inst = mb_instance_get(m, find_incarnation(m, s->name));
	if (inst->has_status && inst->status_sent_ms > sent_ms)
		return;
	inst->has_status = true;
	inst->status_sent_ms =
	    (m->variant & MB_V_AGE_FROM_REPLY) != 0 ? mb_now(m) : sent_ms;
	inst->status_revision = s->revision;
}

static void
fetch_from(struct mb *m, const char *address)
{
	if (m->fetch_outstanding &&
	    mb_now(m) - m->fetch_sent_ms < MB_MISSING_AFTER_MS)
		return;
	m->fetch_outstanding = true;
	m->fetch_sent_ms = mb_now(m);
	m->ops->fetch(m->arg, address, cs_revision(m->state));
}

void
mb_fetch_done(
    struct mb *m, const char *address, const struct pd_changes *changes)
{
	(void)address;
	m->fetch_outstanding = false;
	if (changes == NULL)
		return;
	(void)mb_receive_push(m, changes);
}

void
mb_status_done(
    struct mb *m, const char *address, const struct pd_status *status)
{
	struct mb_peer *peer;
	bool outstanding;

	peer = find_peer(m, address);
	outstanding = peer != NULL && peer->status_outstanding;
	if (peer != NULL)
		peer->status_outstanding = false;
	if (status == NULL || status->incarnation == m->incarnation)
		return;
	record_status(m, status);
	if (outstanding)
		record_status_age(m, peer->sent_ms, status);
	if (status->revision > cs_revision(m->state))
		fetch_from(m, address);
	else if (peer != NULL)
		push_if_behind(m, peer, status->revision);
	mb_update_accepted(m);
	mb_writes_advance(m);
}

void
mb_push_done(struct mb *m, const char *address, const struct pd_held *held)
{
	(void)address;
	if (held == NULL || held->incarnation == m->incarnation)
		return;
	mb_note_heard(m, held->incarnation, held->revision);
	mb_update_accepted(m);
	mb_writes_advance(m);
}

static void
append_missing(struct mb *m, const struct cs_member *members, size_t n)
{
	size_t i;

	for (i = 0; i < n && m->missing->len < PD_MEMBERS_MAX; i++) {
		if (mb_is_missing(m, members[i].incarnation) ||
		    is_predecessor(m, &members[i]))
			g_array_append_val(m->missing, members[i].incarnation);
	}
}

static void
fill_own_status(struct mb *m, struct pd_status *out)
{
	const struct cs_member *members;
	size_t n, exited;

	g_array_set_size(m->missing, 0);
	members = cs_members(m->state, &n);
	append_missing(m, members, n);
	members = cs_previous_members(m->state, &n, &exited);
	append_missing(m, members, n);
	out->name = m->name;
	out->incarnation = m->incarnation;
	out->address = m->address;
	out->revision = cs_revision(m->state);
	out->view = cs_view(m->state);
	out->agents = m->agents;
	out->missing.missing_len = m->missing->len;
	out->missing.missing_val = (u_quad_t *)(void *)m->missing->data;
}

void
mb_handle_status(
    struct mb *m, const struct pd_status *from, struct pd_status *out)
{
	struct mb_peer *peer;

	if (from != NULL && from->incarnation != m->incarnation) {
		record_status(m, from);
		peer = find_peer(m, from->address);
		if (from->revision > cs_revision(m->state))
			fetch_from(m, from->address);
		else if (peer != NULL)
			push_if_behind(m, peer, from->revision);
		mb_update_accepted(m);
		mb_writes_advance(m);
	}
	fill_own_status(m, out);
}

void
mb_poll_peers(struct mb *m)
{
	struct mb_peer *peer;
	guint i;

	/* Only one call to an address at a time, so that its answer cannot be
	 * taken for the answer to a later call. */
	for (i = 0; i < m->peers->len; i++) {
		peer = m->peers->pdata[i];
		if (peer->status_outstanding || !peer->active ||
		    (peer->sent_ms != 0 &&
			mb_now(m) - peer->sent_ms < MB_POLL_INTERVAL_MS))
			continue;
		peer->status_outstanding = true;
		peer->sent_ms = mb_now(m);
		m->ops->status(m->arg, peer->address);
	}
}

void
mb_add_seeds(struct mb *m, const struct mb_identity *id)
{
	size_t i;

	for (i = 0; i < id->nseeds; i++) {
		if (strcmp(id->seeds[i], id->address) != 0)
			activate_peer(m, id->seeds[i])->seed = true;
	}
}
