#include <string.h>

#include "clock.h"
#include "counters.h"
#include "partition.h"
#include "takeover_impl.h"

uint64_t
tk_now_ms(const struct tk *t)
{
	return (ck_mono_ms(t->clock));
}

static void
entry_free(void *p)
{
	struct tk_entry *e = p;

	g_free(e->name);
	g_free(e->address);
	g_free(e);
}

static void
agent_free(void *p)
{
	struct tk_agent *a = p;

	g_free(a->name);
	g_free(a);
}

static struct tk_entry *
get_entry(struct tk *t, uint64_t incarnation)
{
	struct tk_entry *e;

	e = g_hash_table_lookup(t->entries, &incarnation);
	if (e != NULL)
		return (e);
	e = g_new0(struct tk_entry, 1);
	e->incarnation = incarnation;
	g_hash_table_insert(t->entries, &e->incarnation, e);
	return (e);
}

/* A new incarnation at the address of an entry shows that the old one has
 * exited, or that its process has given up the old incarnation. */
static void
stop_predecessors(struct tk *t, const struct cs_member *m)
{
	GHashTableIter it;
	struct tk_entry *e;
	void *value;

	g_hash_table_iter_init(&it, t->entries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		e = value;
		if (e->incarnation != m->incarnation &&
		    g_strcmp0(e->name, m->name) == 0 &&
		    g_strcmp0(e->address, m->address) == 0)
			e->stopped = true;
	}
}

static void
note_members(struct tk *t)
{
	const struct cs_member *members;
	struct tk_entry *e;
	size_t n, i;

	members = cs_members(t->state, &n);
	for (i = 0; i < n; i++) {
		e = get_entry(t, members[i].incarnation);
		if (e->name != NULL)
			continue;
		e->name = g_strdup(members[i].name);
		e->address = g_strdup(members[i].address);
		stop_predecessors(t, &members[i]);
	}
}

/*
 * A former owner has stopped when its permits have expired, when it is this
 * entry or has exited, or when it holds the revision that took the partition
 * away. For an unknown one only the expiry counts.
 */
static bool
former_owner_stopped(struct tk *t, const struct tk_former_owner *owner)
{
	const struct tk_entry *e;

	if ((t->variant & TK_V_NO_WAIT) != 0)
		return (true);
	if (owner->accepted &&
	    tk_now_ms(t) - owner->accepted_ms >= TK_PERMIT_WAIT_MS)
		return (true);
	if (owner->incarnation == 0 || (t->variant & TK_V_ALWAYS_WAIT) != 0)
		return (false);
	if (owner->incarnation == t->self)
		return (true);
	e = get_entry(t, owner->incarnation);
	return (e->stopped || e->confirmed_revision >= owner->revision);
}

static void
remove_stopped_owners(struct tk *t, struct tk_partition *part)
{
	guint i;

	for (i = part->former_owners->len; i-- > 0;) {
		if (former_owner_stopped(t,
			&g_array_index(
			    part->former_owners, struct tk_former_owner, i)))
			g_array_remove_index(part->former_owners, i);
	}
}

static void
add_former_owner(struct tk *t, struct tk_partition *part, uint64_t incarnation)
{
	struct tk_former_owner owner;

	part->had_owner = true;
	if ((t->variant & TK_V_LAST_OWNER_ONLY) != 0)
		g_array_set_size(part->former_owners, 0);
	memset(&owner, 0, sizeof(owner));
	owner.incarnation = incarnation;
	owner.revision = t->view;
	owner.accepted = t->accepted >= owner.revision;
	owner.accepted_ms = tk_now_ms(t);
	g_array_append_val(part->former_owners, owner);
}

static void
report_partition(struct tk *t, unsigned p, bool complete, uint64_t wall_ms)
{
	struct tk_partition *part;

	part = &t->partitions[p];
	part->reported_complete = complete;
	part->reported_wall_ms = wall_ms;
	t->ops->partition(
	    t->arg, p, part->state, part->view, complete, wall_ms);
}

static void
lose_ownership(struct tk *t, unsigned p)
{
	if (t->partitions[p].state == DP_FOREIGN)
		return;
	t->partitions[p].state = DP_FOREIGN;
	report_partition(t, p, false, 0);
}

static void
gain_ownership(struct tk *t, unsigned p)
{
	struct tk_partition *part;
	GHashTableIter it;
	struct tk_agent *a;
	void *value;

	part = &t->partitions[p];
	part->view = t->view;
	part->gather_start_ms = tk_now_ms(t);
	part->owners_stopped = false;
	part->latest_start_ms = 0;
	part->takeover_wall_ms = 0;
	if (!part->had_owner) {
		part->state = DP_ACTIVE;
		report_partition(t, p, true, 0);
		return;
	}
	g_hash_table_iter_init(&it, t->agents);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		a = value;
		a->gathered &= ~pt_bit(p);
		a->ever_gathered &= ~pt_bit(p);
	}
	part->state = DP_GATHERING;
	report_partition(t, p, false, ck_wall_ms(t->clock));
}

/* Where changes were missed, an unknown entry may have owned the partition in
 * between. */
static void
set_owner(struct tk *t, unsigned p, uint64_t owner, bool missed_changes)
{
	struct tk_partition *part;

	part = &t->partitions[p];
	if (owner == part->owner && !missed_changes)
		return;
	if (part->owner != 0)
		add_former_owner(t, part, part->owner);
	if (missed_changes)
		add_former_owner(t, part, 0);
	part->owner = owner;
	lose_ownership(t, p);
	if (owner != 0 && owner == t->self)
		gain_ownership(t, p);
}

static void
set_self(struct tk *t, uint64_t self)
{
	if (self == t->self)
		return;
	if (t->self != 0)
		get_entry(t, t->self)->stopped = true;
	t->self = self;
}

/* Whether an entry owns a partition or is a former owner that may not have
 * stopped. */
static bool
is_or_was_owner(const struct tk *t, uint64_t incarnation)
{
	const struct tk_partition *part;
	unsigned p;
	guint i;

	for (p = 0; p < PD_PARTITIONS; p++) {
		part = &t->partitions[p];
		for (i = 0; i < part->former_owners->len; i++) {
			if (g_array_index(
				part->former_owners, struct tk_former_owner, i)
				.incarnation == incarnation)
				return (true);
		}
		if (part->owner == incarnation)
			return (true);
	}
	return (false);
}

/* Whether an entry has left the list and no takeover depends on it any more. */
static gboolean
is_stale(gpointer key, gpointer value, gpointer data)
{
	const struct tk *t = data;
	const struct cs_member *members;
	const struct tk_entry *e = value;
	size_t n, i;

	(void)key;
	members = cs_members(t->state, &n);
	for (i = 0; i < n; i++) {
		if (members[i].incarnation == e->incarnation)
			return (false);
	}
	return (e->name != NULL && !is_or_was_owner(t, e->incarnation));
}

void
tk_configure(struct tk *t, const struct cs *state, uint64_t self)
{
	const struct cs_member *owner;
	bool missed_changes;
	unsigned p;

	t->state = state;
	set_self(t, self);
	g_hash_table_foreach_remove(t->entries, is_stale, t);
	missed_changes =
	    cs_revision(state) != t->revision + 1 && cs_view(state) != t->view;
	t->revision = cs_revision(state);
	t->view = cs_view(state);
	note_members(t);
	for (p = 0; p < PD_PARTITIONS; p++) {
		owner = cs_owner(state, p);
		set_owner(t, p, owner == NULL ? 0 : owner->incarnation,
		    missed_changes);
	}
	tk_tick(t);
}

void
tk_accepted(struct tk *t, uint64_t revision)
{
	struct tk_former_owner *owner;
	unsigned p;
	guint i;

	t->accepted = MAX(t->accepted, revision);
	for (p = 0; p < PD_PARTITIONS; p++) {
		for (i = 0; i < t->partitions[p].former_owners->len; i++) {
			owner = &g_array_index(t->partitions[p].former_owners,
			    struct tk_former_owner, i);
			if (owner->accepted || owner->revision > revision)
				continue;
			owner->accepted = true;
			owner->accepted_ms = tk_now_ms(t);
		}
	}
}

void
tk_confirmed(struct tk *t, uint64_t incarnation, uint64_t revision)
{
	struct tk_entry *e;

	e = get_entry(t, incarnation);
	e->confirmed_revision = MAX(e->confirmed_revision, revision);
}

/*
 * Reports up to which wall clock time start records may be lost: up to the
 * takeover when an agent did not answer, else up to the latest start of an
 * agent, since it has no records from before its start.
 */
static void
report_active(struct tk *t, unsigned p, bool complete)
{
	struct tk_partition *part;
	uint64_t wall_ms;

	part = &t->partitions[p];
	wall_ms = part->takeover_wall_ms;
	if (complete)
		wall_ms = (t->variant & TK_V_IGNORE_AGENT_START) != 0
		    ? 0
		    : MIN(part->latest_start_ms, wall_ms);
	report_partition(t, p, complete && wall_ms == 0, wall_ms);
}

static void
activate(struct tk *t, unsigned p, bool complete)
{
	struct tk_partition *part;
	GHashTableIter it;
	struct tk_agent *a;
	void *value;

	part = &t->partitions[p];
	part->state = DP_ACTIVE;
	part->takeover_wall_ms = ck_wall_ms(t->clock);
	ct_increment(t->counters, "pd_takeovers_total",
	    "Partitions taken over, by whether all start records were found.",
	    "records", complete ? "complete" : "incomplete");
	/* An agent that did not answer the probe may have restarted and then
	 * started tasks that were not gathered. It is fenced again. */
	g_hash_table_iter_init(&it, t->agents);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		a = value;
		if ((tk_gathered_from(t, a) & pt_bit(p)) != 0)
			continue;
		a->ever_gathered &= ~pt_bit(p);
		a->gathered &= ~pt_bit(p);
	}
	report_active(t, p, complete);
}

void
tk_report_completed(struct tk *t, uint64_t mask)
{
	const struct tk_partition *part;
	unsigned p;
	bool complete;

	for (p = 0; p < PD_PARTITIONS; p++) {
		part = &t->partitions[p];
		if (part->state != DP_ACTIVE || !part->had_owner)
			continue;
		complete = (mask & pt_bit(p)) != 0;
		if (complete &&
		    part->reported_wall_ms == part->takeover_wall_ms &&
		    part->latest_start_ms < part->takeover_wall_ms)
			report_active(t, p, complete);
	}
}

static bool
gather_timed_out(const struct tk *t, unsigned p)
{
	return (tk_now_ms(t) - t->partitions[p].gather_start_ms >=
		TK_GATHER_TIMEOUT_MS &&
	    !tk_probe_pending(t, p));
}

static void
update_owners_stopped(struct tk *t)
{
	struct tk_partition *part;
	unsigned p;

	for (p = 0; p < PD_PARTITIONS; p++) {
		part = &t->partitions[p];
		remove_stopped_owners(t, part);
		if (part->state != DP_GATHERING || part->owners_stopped ||
		    part->former_owners->len > 0)
			continue;
		part->owners_stopped = true;
		part->owners_stopped_ms = tk_now_ms(t);
		part->owners_stopped_seq = ++t->seq;
	}
}

void
tk_tick(struct tk *t)
{
	GHashTableIter it;
	uint64_t mask;
	void *value;
	unsigned p;

	if (t->state == NULL)
		return;
	update_owners_stopped(t);
	g_hash_table_iter_init(&it, t->agents);
	while (g_hash_table_iter_next(&it, NULL, &value))
		tk_send_fence(t, value);
	mask = tk_gathered(t, false);
	for (p = 0; p < PD_PARTITIONS; p++) {
		if (t->partitions[p].state != DP_GATHERING ||
		    !t->partitions[p].owners_stopped)
			continue;
		if ((mask & pt_bit(p)) != 0)
			activate(t, p, true);
		else if (gather_timed_out(t, p))
			activate(t, p, false);
	}
}

enum dp_partition_state
tk_partition_state(const struct tk *t, unsigned partition)
{
	return (partition < PD_PARTITIONS ? t->partitions[partition].state
					  : DP_FOREIGN);
}

void
tk_set_variant(struct tk *t, unsigned variant)
{
	t->variant = variant;
}

struct tk *
tk_new(
    struct ck *clock, struct ct *counters, const struct tk_ops *ops, void *arg)
{
	struct tk *t;
	unsigned p;

	t = g_new0(struct tk, 1);
	t->clock = clock;
	t->counters = counters;
	t->ops = ops;
	t->arg = arg;
	for (p = 0; p < PD_PARTITIONS; p++)
		t->partitions[p].former_owners =
		    g_array_new(FALSE, FALSE, sizeof(struct tk_former_owner));
	t->entries = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, entry_free);
	t->agents =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, agent_free);
	t->handles = g_hash_table_new(g_int64_hash, g_int64_equal);
	return (t);
}

void
tk_free(struct tk *t)
{
	unsigned p;

	if (t == NULL)
		return;
	for (p = 0; p < PD_PARTITIONS; p++)
		g_array_free(t->partitions[p].former_owners, TRUE);
	g_hash_table_destroy(t->handles);
	g_hash_table_destroy(t->agents);
	g_hash_table_destroy(t->entries);
	g_free(t);
}
