#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "member_impl.h"

uint64_t
mb_now(const struct mb *m)
{
	return (ck_mono_ms(m->clock));
}

static void
known_free(void *p)
{
	struct mb_known *k = p;

	g_array_free(k->missing, TRUE);
	g_free(k);
}

static void
peer_free(void *p)
{
	struct mb_peer *peer = p;

	g_free(peer->address);
	g_free(peer);
}

static void
entry_free(void *p)
{
	struct mb_entry *e = p;

	g_free(e->json);
	g_free(e);
}

struct mb_known *
mb_lookup(const struct mb *m, uint64_t incarnation)
{
	return (g_hash_table_lookup(m->known, &incarnation));
}

struct mb_known *
mb_know(struct mb *m, uint64_t incarnation)
{
	struct mb_known *k;

	k = mb_lookup(m, incarnation);
	if (k != NULL)
		return (k);
	k = g_new0(struct mb_known, 1);
	k->incarnation = incarnation;
	k->heard_ms = mb_now(m);
	k->missing = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_hash_table_insert(m->known, &k->incarnation, k);
	return (k);
}

bool
mb_is_member(const struct mb *m, uint64_t incarnation)
{
	const struct cs_member *members;
	size_t n, i;

	members = cs_members(m->state, &n);
	for (i = 0; i < n; i++) {
		if (members[i].incarnation == incarnation)
			return (true);
	}
	return (false);
}

void
mb_heard(struct mb *m, uint64_t incarnation, uint64_t revision)
{
	struct mb_known *k;

	k = mb_know(m, incarnation);
	k->heard_ms = mb_now(m);
	k->alive = true;
	if (revision <= k->held)
		return;
	k->held = revision;
	m->ops->confirmed(m->arg, incarnation, revision);
}

void
mb_gone(struct mb *m, uint64_t incarnation)
{
	mb_know(m, incarnation)->gone = true;
}

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
want_peer(struct mb *m, const char *address)
{
	struct mb_peer *peer;

	peer = find_peer(m, address);
	if (peer == NULL) {
		peer = g_new0(struct mb_peer, 1);
		peer->address = g_strdup(address);
		g_ptr_array_add(m->peers, peer);
	}
	peer->wanted = true;
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
note_members(struct mb *m, const struct cs_member *members, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		(void)mb_know(m, members[i].incarnation);
		if (strcmp(members[i].address, m->address) != 0)
			(void)want_peer(m, members[i].address);
		/* This process could bind the address, or was that entry. */
		if (is_predecessor(m, &members[i]))
			mb_gone(m, members[i].incarnation);
	}
}

static gboolean
is_stale(gpointer key, gpointer value, gpointer data)
{
	const struct mb *m = data;
	const struct mb_known *k = value;

	(void)key;
	return (!mb_is_member(m, k->incarnation) &&
	    mb_now(m) - k->heard_ms >= MB_FORGET_MS);
}

/* Addresses to ask: the list, the list before and the seeds. */
static void
note_list(struct mb *m)
{
	const struct cs_member *members;
	struct mb_peer *peer;
	size_t n, consents;
	guint i;

	for (i = 0; i < m->peers->len; i++) {
		peer = m->peers->pdata[i];
		peer->wanted = peer->seed;
	}
	g_hash_table_foreach_remove(m->known, is_stale, m);
	members = cs_members(m->state, &n);
	note_members(m, members, n);
	members = cs_members_before(m->state, &n, &consents);
	note_members(m, members, n);
	for (i = m->peers->len; i-- > 0;) {
		peer = m->peers->pdata[i];
		if (!peer->wanted && !peer->outstanding)
			g_ptr_array_remove_index(m->peers, i);
	}
}

static uint64_t
new_incarnation(struct mb *m)
{
	uint64_t incarnation;

	do
		incarnation = rn_u64(m->rng);
	while (incarnation == 0);
	return (incarnation);
}

/* An entry that was removed rejoins as another one: as the old one it must
 * never vote again, since the others no longer count it. */
static void
renounce(struct mb *m)
{
	if ((m->variant & MB_V_SAME_INCARNATION) != 0)
		return;
	mb_gone(m, m->incarnation);
	m->incarnation = new_incarnation(m);
	lg_write(LOG_NOTICE, "member",
	    "Removed from the list, rejoining with a new incarnation.");
}

static void
list_changed(struct mb *m, uint64_t old_view, bool was_registered)
{
	/* The change before was accepted, or this one would not exist. */
	mb_raise(m, old_view);
	if (was_registered && !mb_registered(m) && !m->left)
		renounce(m);
	note_list(m);
}

static void
log_trim(struct mb *m)
{
	struct mb_entry *e;

	while (m->log->length > MB_LOG_MAX ||
	    (m->log_bytes > MB_LOG_BYTES && m->log->length > 1)) {
		e = g_queue_pop_head(m->log);
		m->log_bytes -= e->size;
		entry_free(e);
	}
}

static void
log_append(struct mb *m, uint64_t revision, const char *json)
{
	struct mb_entry *e;

	e = g_new0(struct mb_entry, 1);
	e->revision = revision;
	e->json = g_strdup(json);
	e->size = strlen(json);
	m->log_bytes += e->size;
	g_queue_push_tail(m->log, e);
	log_trim(m);
}

static void
log_clear(struct mb *m)
{
	g_queue_clear_full(m->log, entry_free);
	m->log_bytes = 0;
}

static bool
restore(struct mb *m, const char *json, const json_t *snapshot)
{
	bool was_registered;
	uint64_t old_view, revision;

	revision =
	    (uint64_t)json_integer_value(json_object_get(snapshot, "revision"));
	if (revision <= cs_revision(m->state) &&
	    (m->variant & MB_V_REVERT) == 0)
		return (true);
	was_registered = mb_registered(m);
	old_view = cs_view(m->state);
	if (cs_restore(m->state, json) != CS_OK) {
		lg_write(LOG_ERR, "member", "A snapshot is malformed.");
		return (false);
	}
	log_clear(m);
	if (cs_view(m->state) != old_view)
		list_changed(m, old_view, was_registered);
	mb_ops_learned(m);
	m->ops->applied(m->arg, cs_revision(m->state));
	mb_accept(m);
	return (true);
}

static void
apply(struct mb *m, uint64_t revision, const char *json)
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
		list_changed(m, old_view, was_registered);
	mb_ops_learned(m);
	m->ops->applied(m->arg, revision);
	mb_accept(m);
}

bool
mb_learn(struct mb *m, uint64_t revision, const char *json, size_t size)
{
	json_t *change;
	char *text;
	bool ok;

	if (revision <= cs_revision(m->state) &&
	    (m->variant & MB_V_REVERT) == 0)
		return (true);
	text = g_strndup(json, size);
	change = json_loads(text, 0, NULL);
	ok = true;
	if (json_object_get(change, "state") != NULL)
		ok = restore(m, text, change);
	else if (revision == cs_revision(m->state) + 1)
		apply(m, revision, text);
	else
		ok = false;
	json_decref(change);
	g_free(text);
	return (ok);
}

static void
start_scan(struct mb *m)
{
	m->scan_outstanding = true;
	m->scan_ticks = 0;
	m->scan_sent_ms = mb_now(m);
	m->scan_after = cs_revision(m->state);
	m->scan_next_ms = m->scan_sent_ms + MB_PERIOD_MS;
	m->ops->scan(m->arg, m->scan_after);
}

void
mb_read_now(struct mb *m)
{
	m->scan_next_ms = mb_now(m);
}

void
mb_scan_done(struct mb *m, bool ok, const struct pd_change *changes, size_t n)
{
	size_t i;

	if (!m->scan_outstanding)
		return;
	m->scan_outstanding = false;
	if (!ok) {
		/* A read sent before a pause says nothing about now. */
		m->scan_failed = m->scan_sent_ms >= m->woke_ms;
		return;
	}
	m->scan_failed = false;
	m->scan_slow = m->scan_ticks >= MB_SILENT_TICKS;
	for (i = 0; i < n; i++)
		(void)mb_learn(m, changes[i].revision, changes[i].json.json_val,
		    changes[i].json.json_len);
	if (n > 0) {
		/* There may be more; only an empty answer shows the end. */
		mb_read_now(m);
		mb_ops_run(m);
		return;
	}
	m->read_once = true;
	m->read_verified = true;
	m->read_verified_ms =
	    (m->variant & MB_V_AGE_OF_REPLY) != 0 ? mb_now(m) : m->scan_sent_ms;
	mb_ops_run(m);
}

void
mb_snapshot(struct mb *m, const char *json)
{
	(void)mb_learn(m, UINT64_MAX, json, strlen(json));
}

static void
fetch_from(struct mb *m, const char *address)
{
	if (m->fetch_outstanding &&
	    mb_now(m) - m->fetch_sent_ms < MB_MISSING_MS)
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
	(void)mb_pushed(m, changes);
}

uint64_t
mb_pushed(struct mb *m, const struct pd_changes *changes)
{
	const struct pd_change *c;
	u_int i;

	for (i = 0; i < changes->list.list_len; i++) {
		c = &changes->list.list_val[i];
		if (!mb_learn(
			m, c->revision, c->json.json_val, c->json.json_len))
			break;
	}
	mb_ops_run(m);
	return (cs_revision(m->state));
}

/* The entries that a successor at their address shows to have exited. */
static void
note_successor(struct mb *m, const struct pd_status *s,
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
				mb_gone(m, members[i].incarnation);
		}
	}
}

static void
note_status(struct mb *m, const struct pd_status *s)
{
	const struct cs_member *members;
	struct mb_known *k;
	size_t n, consents;

	mb_heard(m, s->incarnation, s->revision);
	k = mb_know(m, s->incarnation);
	g_array_set_size(k->missing, 0);
	g_array_append_vals(
	    k->missing, s->missing.missing_val, s->missing.missing_len);
	k->missing_ms = mb_now(m);
	members = cs_members(m->state, &n);
	note_successor(m, s, members, n);
	members = cs_members_before(m->state, &n, &consents);
	note_successor(m, s, members, n);
}

static void
push_to(struct mb *m, struct mb_peer *peer, uint64_t held)
{
	uint64_t revision;

	revision = cs_revision(m->state);
	if (held >= revision || !peer->wanted ||
	    (peer->pushed_revision == revision &&
		mb_now(m) - peer->pushed_ms < MB_PUSH_MS))
		return;
	peer->pushed_revision = revision;
	peer->pushed_ms = mb_now(m);
	m->ops->push(m->arg, peer->address, held);
}

void
mb_push_all(struct mb *m)
{
	const struct cs_member *members;
	const struct mb_known *k;
	struct mb_peer *peer;
	size_t n, i;

	members = cs_members(m->state, &n);
	for (i = 0; i < n; i++) {
		peer = find_peer(m, members[i].address);
		k = mb_lookup(m, members[i].incarnation);
		if (peer != NULL && k != NULL && k->alive)
			push_to(m, peer, k->held);
		members = cs_members(m->state, &n);
	}
}

static uint64_t
incarnation_named(const struct mb *m, const char *name)
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
note_answer(struct mb *m, uint64_t sent_ms, const struct pd_status *s)
{
	struct mb_known *k;

	k = mb_know(m, s->incarnation);
	if ((m->variant & MB_V_VOTE_BY_NAME) != 0)
		k = mb_know(m, incarnation_named(m, s->name));
	if (k->asked && k->asked_ms > sent_ms)
		return;
	k->asked = true;
	k->asked_ms =
	    (m->variant & MB_V_AGE_OF_REPLY) != 0 ? mb_now(m) : sent_ms;
	k->asked_revision = s->revision;
}

void
mb_status_done(
    struct mb *m, const char *address, const struct pd_status *status)
{
	struct mb_peer *peer;
	bool outstanding;

	peer = find_peer(m, address);
	outstanding = peer != NULL && peer->outstanding;
	if (peer != NULL)
		peer->outstanding = false;
	if (status == NULL || status->incarnation == m->incarnation)
		return;
	note_status(m, status);
	if (outstanding)
		note_answer(m, peer->sent_ms, status);
	if (status->revision > cs_revision(m->state))
		fetch_from(m, address);
	else if (peer != NULL)
		push_to(m, peer, status->revision);
	mb_accept(m);
	mb_ops_run(m);
}

void
mb_push_done(struct mb *m, const char *address, const struct pd_held *held)
{
	(void)address;
	if (held == NULL || held->incarnation == m->incarnation)
		return;
	mb_heard(m, held->incarnation, held->revision);
	mb_accept(m);
	mb_ops_run(m);
}

static void
fill_missing(struct mb *m, const struct cs_member *members, size_t n)
{
	size_t i;

	for (i = 0; i < n && m->missing->len < PD_MEMBERS_MAX; i++) {
		if (mb_missing(m, members[i].incarnation) ||
		    is_predecessor(m, &members[i]))
			g_array_append_val(m->missing, members[i].incarnation);
	}
}

static void
own_status(struct mb *m, struct pd_status *out)
{
	const struct cs_member *members;
	size_t n, consents;

	g_array_set_size(m->missing, 0);
	members = cs_members(m->state, &n);
	fill_missing(m, members, n);
	members = cs_members_before(m->state, &n, &consents);
	fill_missing(m, members, n);
	out->name = m->name;
	out->incarnation = m->incarnation;
	out->address = m->address;
	out->revision = cs_revision(m->state);
	out->view = cs_view(m->state);
	out->missing.missing_len = m->missing->len;
	out->missing.missing_val = (u_quad_t *)(void *)m->missing->data;
}

void
mb_status_called(
    struct mb *m, const struct pd_status *from, struct pd_status *out)
{
	struct mb_peer *peer;

	if (from != NULL && from->incarnation != m->incarnation) {
		note_status(m, from);
		peer = find_peer(m, from->address);
		if (from->revision > cs_revision(m->state))
			fetch_from(m, from->address);
		else if (peer != NULL)
			push_to(m, peer, from->revision);
		mb_accept(m);
		mb_ops_run(m);
	}
	own_status(m, out);
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
page_snapshot(struct mb *m)
{
	free(m->snapshot);
	m->snapshot = cs_snapshot(m->state);
	if (m->snapshot != NULL)
		page_add(
		    m, cs_revision(m->state), m->snapshot, strlen(m->snapshot));
}

static void
page_log(struct mb *m, uint64_t after)
{
	const struct mb_entry *e;
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
	const struct mb_entry *first;

	g_array_set_size(m->page, 0);
	first = g_queue_peek_head(m->log);
	if (after < cs_revision(m->state)) {
		if (first == NULL || first->revision > after + 1)
			page_snapshot(m);
		else
			page_log(m, after);
	}
	out->list.list_len = m->page->len;
	out->list.list_val = (struct pd_change *)(void *)m->page->data;
}

void
mb_permit(const struct mb *m, const char *endpoint, uint64_t clock_ms,
    struct pd_permit *out)
{
	out->granted = mb_verified(m);
	out->clock_ms = clock_ms;
	out->revision = cs_revision(m->state);
	out->view = cs_view(m->state);
	out->in_service = cs_endpoint_in_service(m->state, endpoint);
}

const struct cs *
mb_state(const struct mb *m)
{
	return (m->state);
}

uint64_t
mb_incarnation(const struct mb *m)
{
	return (m->incarnation);
}

bool
mb_registered(const struct mb *m)
{
	return (mb_is_member(m, m->incarnation));
}

void
mb_set_variant(struct mb *m, unsigned variant)
{
	m->variant = variant;
}

/* After a pause nobody was heard, which says nothing about the others. */
static void
wake(struct mb *m)
{
	struct mb_known *k;
	GHashTableIter it;
	void *value;

	m->woke_ms = mb_now(m);
	m->scan_failed = false;
	m->scan_slow = false;
	m->scan_ticks = 0;
	g_hash_table_iter_init(&it, m->known);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		k = value;
		k->heard_ms = m->woke_ms;
		k->missing_ms = 0;
	}
}

static void
ask_peers(struct mb *m)
{
	struct mb_peer *peer;
	guint i;

	/* Only one call to each address, so that an answer cannot be taken
	 * for that of a later call. */
	for (i = 0; i < m->peers->len; i++) {
		peer = m->peers->pdata[i];
		if (peer->outstanding || !peer->wanted ||
		    (peer->sent_ms != 0 &&
			mb_now(m) - peer->sent_ms < MB_PERIOD_MS))
			continue;
		peer->outstanding = true;
		peer->sent_ms = mb_now(m);
		m->ops->status(m->arg, peer->address);
	}
}

void
mb_tick(struct mb *m)
{
	uint64_t now;

	now = mb_now(m);
	if (m->started && now - m->tick_ms >= MB_PAUSE_MS &&
	    (m->variant & MB_V_NO_PAUSE_CHECK) == 0)
		wake(m);
	m->started = true;
	m->tick_ms = now;
	if (m->scan_outstanding)
		m->scan_ticks++;
	else if (now >= m->scan_next_ms)
		start_scan(m);
	ask_peers(m);
	mb_list_run(m);
	mb_accept(m);
	mb_ops_run(m);
}

static void
add_seeds(struct mb *m, const struct mb_identity *id)
{
	size_t i;

	for (i = 0; i < id->nseeds; i++) {
		if (strcmp(id->seeds[i], id->address) != 0)
			want_peer(m, id->seeds[i])->seed = true;
	}
}

struct mb *
mb_new(struct ck *clock, struct ct *counters, uint64_t seed,
    const struct mb_identity *id, const struct mb_ops *ops, void *arg)
{
	struct mb *m;

	m = g_new0(struct mb, 1);
	m->clock = clock;
	m->counters = counters;
	m->rng = rn_new(seed);
	m->ops = ops;
	m->arg = arg;
	m->name = g_strdup(id->name);
	m->address = g_strdup(id->address);
	m->az = g_strdup(id->az);
	m->incarnation = new_incarnation(m);
	m->state = cs_new();
	m->log = g_queue_new();
	m->page = g_array_new(FALSE, FALSE, sizeof(struct pd_change));
	m->missing = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	m->known = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, known_free);
	m->peers = g_ptr_array_new_with_free_func(peer_free);
	m->queue = g_queue_new();
	add_seeds(m, id);
	return (m);
}

void
mb_free(struct mb *m)
{
	if (m == NULL)
		return;
	mb_ops_free(m);
	g_ptr_array_free(m->peers, TRUE);
	g_hash_table_destroy(m->known);
	g_array_free(m->missing, TRUE);
	g_array_free(m->page, TRUE);
	free(m->snapshot);
	g_queue_free_full(m->log, entry_free);
	cs_free(m->state);
	rn_free(m->rng);
	g_free(m->name);
	g_free(m->address);
	g_free(m->az);
	g_free(m);
}
