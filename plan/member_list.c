#include <inttypes.h>
#include <string.h>

#include "log.h"
#include "member_impl.h"

static json_t *
list_change(
    struct mb *m, const char *kind, const char *name, uint64_t incarnation)
{
	char id[17], text[17];

	g_snprintf(id, sizeof(id), "%016" PRIx64, rn_u64(m->rng));
	g_snprintf(text, sizeof(text), "%016" PRIx64, incarnation);
	return (json_pack("{s:s, s:s, s:s, s:s, s:s}", "change_id", id, "by",
	    m->name, "kind", kind, "name", name, "incarnation", text));
}

static void
write_add(struct mb *m)
{
	json_t *c;

	c = list_change(m, "entry_add", m->name, m->incarnation);
	json_object_set_new(c, "address", json_string(m->address));
	json_object_set_new(c, "az", json_string(m->az));
	mb_write_own_change(m, c);
}

static void
write_replace(struct mb *m, uint64_t previous)
{
	char text[17];
	json_t *c;

	c = list_change(m, "entry_replace", m->name, m->incarnation);
	g_snprintf(text, sizeof(text), "%016" PRIx64, previous);
	json_object_set_new(c, "previous", json_string(text));
	mb_write_own_change(m, c);
}

static void
register_self(struct mb *m)
{
	const struct cs_member *members;
	size_t n, i;

	members = cs_members(m->state, &n);
	for (i = 0; i < n; i++) {
		if (strcmp(members[i].name, m->name) == 0 &&
		    strcmp(members[i].address, m->address) == 0) {
			write_replace(m, members[i].incarnation);
			return;
		}
		if (strcmp(members[i].name, m->name) != 0 &&
		    strcmp(members[i].address, m->address) != 0)
			continue;
		/* The others remove that entry when it is missing. */
		lg_write(LOG_WARNING, "member",
		    "Waiting, entry %s is registered with address %s.",
		    members[i].name, members[i].address);
		m->own_retry_ms = mb_now(m) + MB_MISSING_AFTER_MS;
		return;
	}
	/* An addition that cannot be accepted would block the list. */
	if (mb_quorum_reachable(m) ||
	    (m->variant & MB_V_CONCURRENT_LIST_CHANGES) != 0)
		write_add(m);
}

static bool
reports_missing(const struct mb_instance *k, uint64_t incarnation)
{
	guint i;

	for (i = 0; i < k->missing->len; i++) {
		if (g_array_index(k->missing, uint64_t, i) == incarnation)
			return (true);
	}
	return (false);
}

/* Whether enough entries miss a member and no entry hears it. */
static bool
agreed_missing(const struct mb *m, uint64_t incarnation)
{
	const struct cs_member *members;
	const struct mb_instance *k;
	size_t n, i, agree;

	members = cs_members(m->state, &n);
	agree = 1;
	for (i = 0; i < n; i++) {
		if (members[i].incarnation == m->incarnation ||
		    members[i].incarnation == incarnation)
			continue;
		k = mb_instance_find(m, members[i].incarnation);
		if (k == NULL || !k->alive ||
		    mb_now(m) - k->missing_ms > MB_REPORT_MAX_AGE_MS)
			continue;
		if (!reports_missing(k, incarnation))
			return (false);
		agree++;
	}
	return (agree >= (n + 1) / 2);
}

/* Number of live members with a lower name than this entry. */
static unsigned
rank(const struct mb *m)
{
	const struct cs_member *members;
	size_t n, i;
	unsigned lower;

	members = cs_members(m->state, &n);
	lower = 0;
	for (i = 0; i < n && strcmp(members[i].name, m->name) < 0; i++) {
		if (!mb_is_missing(m, members[i].incarnation))
			lower++;
	}
	return (lower);
}

static void
remove_missing(struct mb *m)
{
	const struct cs_member *members;
	const struct mb_instance *k;
	uint64_t limit;
	size_t n, i;

	members = cs_members(m->state, &n);
	limit = MB_MISSING_AFTER_MS + (uint64_t)rank(m) * MB_REMOVAL_STAGGER_MS;
	for (i = 0; i < n; i++) {
		if (!mb_is_missing(m, members[i].incarnation))
			continue;
		k = mb_instance_find(m, members[i].incarnation);
		if (mb_now(m) - k->heard_ms < limit ||
		    !agreed_missing(m, members[i].incarnation))
			continue;
		lg_write(LOG_NOTICE, "member",
		    "Removing entry %s, not heard for %" PRIu64 " ms.",
		    members[i].name, mb_now(m) - k->heard_ms);
		mb_write_own_change(m,
		    list_change(m, "entry_remove", members[i].name,
			members[i].incarnation));
		return;
	}
}

static bool
others_have_agents(const struct mb *m)
{
	const struct cs_member *members;
	const struct mb_instance *k;
	size_t n, i;

	members = cs_members(m->state, &n);
	for (i = 0; i < n; i++) {
		k = mb_instance_find(m, members[i].incarnation);
		if (members[i].incarnation != m->incarnation && k != NULL &&
		    k->alive &&
		    mb_now(m) - k->missing_ms <= MB_REPORT_MAX_AGE_MS &&
		    k->agents > 0)
			return (true);
	}
	return (false);
}

/* Whether agents reach other entries, but not this one, for a time. */
static bool
is_isolated(const struct mb *m, uint64_t limit_ms)
{
	return (m->agents == 0 && others_have_agents(m) &&
	    mb_now(m) - MAX(m->agents_ms, m->woke_ms) >= limit_ms);
}

static void
leave_isolated(struct mb *m)
{
	lg_write(LOG_WARNING, "member",
	    "Leaving the list, no agent reaches this entry.");
	mb_write_own_change(
	    m, list_change(m, "entry_leave", m->name, m->incarnation));
}

void
mb_set_agent_count(struct mb *m, unsigned agents)
{
	if (agents > 0 || m->agents > 0)
		m->agents_ms = mb_now(m);
	m->agents = agents;
}

void
mb_maintain_list(struct mb *m)
{
	if (m->left || !m->read_once || mb_now(m) < m->own_retry_ms ||
	    m->scan_failed || mb_own_change_pending(m) ||
	    !mb_list_accepted(m, NULL))
		return;
	if (!mb_registered(m)) {
		if (!is_isolated(m, 0))
			register_self(m);
	} else if (is_isolated(m, MB_ISOLATION_TIMEOUT_MS))
		leave_isolated(m);
	else
		remove_missing(m);
}

void
mb_leave(struct mb *m, mb_change_fn done, void *arg)
{
	json_t *c;

	m->left = true;
	if (!mb_registered(m)) {
		done(arg, MB_ACCEPTED, cs_revision(m->state), "not registered");
		return;
	}
	c = list_change(m, "entry_leave", m->name, m->incarnation);
	mb_write_enqueue(m, c, 0, done, arg);
	mb_writes_advance(m);
}
