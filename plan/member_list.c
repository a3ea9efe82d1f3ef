#include <inttypes.h>
#include <string.h>

#include "log.h"
#include "member_impl.h"

static json_t *
new_list_change(
    struct mb *m, const char *kind, const char *name, uint64_t incarnation)
{
	char id[17], text[17];

	g_snprintf(id, sizeof(id), "%016" PRIx64, rn_u64(m->rng));
	g_snprintf(text, sizeof(text), "%016" PRIx64, incarnation);
	return (json_pack("{s:s, s:s, s:s, s:s, s:s}", "change_id", id, "by",
	    m->name, "kind", kind, "name", name, "incarnation", text));
}

static void
write_entry_add(struct mb *m)
{
	json_t *c;

	c = new_list_change(m, "entry_add", m->name, m->incarnation);
	json_object_set_new(c, "address", json_string(m->address));
	json_object_set_new(c, "az", json_string(m->az));
	mb_write_own_change(m, c);
}

static void
write_entry_replace(struct mb *m, uint64_t previous)
{
	char text[17];
	json_t *c;

	c = new_list_change(m, "entry_replace", m->name, m->incarnation);
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
			write_entry_replace(m, members[i].incarnation);
			return;
		}
		if (strcmp(members[i].name, m->name) != 0 &&
		    strcmp(members[i].address, m->address) != 0)
			continue;
		/* The other members remove that entry once it is missing. */
		lg_write(LOG_WARNING, "member",
		    "Cannot register yet: entry %s is registered with "
		    "address %s.",
		    members[i].name, members[i].address);
		m->next_own_change_ms = mb_now(m) + MB_MISSING_AFTER_MS;
		return;
	}
	/* A registration that cannot be accepted would block all further
	 * changes of the list. */
	if (mb_quorum_reachable(m) ||
	    (m->variant & MB_V_CONCURRENT_LIST_CHANGES) != 0)
		write_entry_add(m);
}

static bool
reports_as_missing(const struct mb_instance *inst, uint64_t incarnation)
{
	guint i;

	for (i = 0; i < inst->missing->len; i++) {
		if (g_array_index(inst->missing, uint64_t, i) == incarnation)
			return (true);
	}
	return (false);
}

/* Whether half of the members or more, this one included, report a member as
 * missing, and no recent report of another member says otherwise. */
static bool
quorum_reports_missing(const struct mb *m, uint64_t incarnation)
{
	const struct cs_member *members;
	const struct mb_instance *inst;
	size_t n, i, agree;

	members = cs_members(m->state, &n);
	agree = 1;
	for (i = 0; i < n; i++) {
		if (members[i].incarnation == m->incarnation ||
		    members[i].incarnation == incarnation)
			continue;
		inst = mb_instance_find(m, members[i].incarnation);
		if (inst == NULL || !inst->ever_heard ||
		    mb_now(m) - inst->reported_ms > MB_REPORT_MAX_AGE_MS)
			continue;
		if (!reports_as_missing(inst, incarnation))
			return (false);
		agree++;
	}
	return (agree >= (n + 1) / 2);
}

/* Number of live members that precede this entry by name. */
static unsigned
count_lower_live_members(const struct mb *m)
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
	const struct mb_instance *inst;
	uint64_t limit;
	size_t n, i;

	members = cs_members(m->state, &n);
	limit = MB_MISSING_AFTER_MS +
	    (uint64_t)count_lower_live_members(m) * MB_REMOVAL_STAGGER_MS;
	for (i = 0; i < n; i++) {
		if (!mb_is_missing(m, members[i].incarnation))
			continue;
		inst = mb_instance_find(m, members[i].incarnation);
		if (mb_now(m) - inst->last_heard_ms < limit ||
		    !quorum_reports_missing(m, members[i].incarnation))
			continue;
		lg_write(LOG_NOTICE, "member",
		    "Removing entry %s: no message for %" PRIu64 " ms.",
		    members[i].name, mb_now(m) - inst->last_heard_ms);
		mb_write_own_change(m,
		    new_list_change(m, "entry_remove", members[i].name,
			members[i].incarnation));
		return;
	}
}

static bool
others_have_agents(const struct mb *m)
{
	const struct cs_member *members;
	const struct mb_instance *inst;
	size_t n, i;

	members = cs_members(m->state, &n);
	for (i = 0; i < n; i++) {
		inst = mb_instance_find(m, members[i].incarnation);
		if (members[i].incarnation != m->incarnation && inst != NULL &&
		    inst->ever_heard &&
		    mb_now(m) - inst->reported_ms <= MB_REPORT_MAX_AGE_MS &&
		    inst->agents > 0)
			return (true);
	}
	return (false);
}

/* Whether for @limit_ms this entry has had no agents while others have some. */
static bool
is_isolated(const struct mb *m, uint64_t limit_ms)
{
	return (m->agents == 0 && others_have_agents(m) &&
	    mb_now(m) - MAX(m->agents_seen_ms, m->resumed_ms) >= limit_ms);
}

static void
leave_isolated(struct mb *m)
{
	lg_write(LOG_WARNING, "member",
	    "Leaving the list of entries: no agent is connected.");
	mb_write_own_change(
	    m, new_list_change(m, "entry_leave", m->name, m->incarnation));
}

void
mb_set_agent_count(struct mb *m, unsigned agents)
{
	if (agents > 0 || m->agents > 0)
		m->agents_seen_ms = mb_now(m);
	m->agents = agents;
}

void
mb_maintain_list(struct mb *m)
{
	if (m->leaving || !m->read_once || mb_now(m) < m->next_own_change_ms ||
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

	m->leaving = true;
	if (!mb_registered(m)) {
		done(arg, MB_ACCEPTED, cs_revision(m->state), "not registered");
		return;
	}
	c = new_list_change(m, "entry_leave", m->name, m->incarnation);
	mb_write_enqueue(m, c, 0, done, arg);
	mb_writes_advance(m);
}
