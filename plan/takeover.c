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
find_entry(struct tk *t, uint64_t incarnation)
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

/* A successor on the address of an entry shows that its process is gone, or
 * that it has given up that incarnation. */
static void
note_successor(struct tk *t, const struct cs_member *m)
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
			e->gone = true;
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
		e = find_entry(t, members[i].incarnation);
		if (e->name != NULL)
			continue;
		e->name = g_strdup(members[i].name);
		e->address = g_strdup(members[i].address);
		note_successor(t, &members[i]);
	}
}

static bool
prior_cleared(struct tk *t, const struct tk_prior *p)
{
	const struct tk_entry *e;

	if ((t->variant & TK_V_NO_WAIT) != 0)
		return (true);
	if (p->accepted && tk_now_ms(t) - p->accepted_ms >= TK_PERMIT_WAIT_MS)
		return (true);
	if (p->incarnation == 0 || (t->variant & TK_V_ALWAYS_WAIT) != 0)
		return (false);
	if (p->incarnation == t->self)
		return (true);
	e = find_entry(t, p->incarnation);
	return (e->gone || e->confirmed >= p->revision);
}

static void
drop_cleared(struct tk *t, struct tk_part *part)
{
	guint i;

	for (i = part->priors->len; i-- > 0;) {
		if (prior_cleared(
			t, &g_array_index(part->priors, struct tk_prior, i)))
			g_array_remove_index(part->priors, i);
	}
}

static void
add_prior(struct tk *t, struct tk_part *part, uint64_t incarnation)
{
	struct tk_prior p;

	part->had_owner = true;
	if ((t->variant & TK_V_LAST_OWNER_ONLY) != 0)
		g_array_set_size(part->priors, 0);
	memset(&p, 0, sizeof(p));
	p.incarnation = incarnation;
	p.revision = t->view;
	p.accepted = t->accepted >= p.revision;
	p.accepted_ms = tk_now_ms(t);
	g_array_append_val(part->priors, p);
}

static void
tk_tell(struct tk *t, unsigned p, bool complete, uint64_t wall_ms)
{
	struct tk_part *part;

	part = &t->parts[p];
	part->told_complete = complete;
	part->told_wall_ms = wall_ms;
	t->ops->partition(
	    t->arg, p, part->state, part->view, complete, wall_ms);
}

static void
lose(struct tk *t, unsigned p)
{
	if (t->parts[p].state == DP_FOREIGN)
		return;
	t->parts[p].state = DP_FOREIGN;
	tk_tell(t, p, false, 0);
}

static void
gain(struct tk *t, unsigned p)
{
	struct tk_part *part;
	GHashTableIter it;
	struct tk_agent *a;
	void *value;

	part = &t->parts[p];
	part->view = t->view;
	part->gather_ms = tk_now_ms(t);
	part->cleared = false;
	part->lost_ms = 0;
	part->takeover_wall_ms = 0;
	if (!part->had_owner) {
		part->state = DP_ACTIVE;
		tk_tell(t, p, true, 0);
		return;
	}
	g_hash_table_iter_init(&it, t->agents);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		a = value;
		a->done &= ~pt_bit(p);
		a->answered &= ~pt_bit(p);
	}
	part->state = DP_GATHERING;
	tk_tell(t, p, false, ck_wall_ms(t->clock));
}

/* The owner may have changed and changed back where changes were not seen. */
static void
set_owner(struct tk *t, unsigned p, uint64_t owner, bool unseen)
{
	struct tk_part *part;

	part = &t->parts[p];
	if (owner == part->owner && !unseen)
		return;
	if (part->owner != 0)
		add_prior(t, part, part->owner);
	if (unseen)
		add_prior(t, part, 0);
	part->owner = owner;
	lose(t, p);
	if (owner != 0 && owner == t->self)
		gain(t, p);
}

static void
set_self(struct tk *t, uint64_t self)
{
	if (self == t->self)
		return;
	if (t->self != 0)
		find_entry(t, t->self)->gone = true;
	t->self = self;
}

static bool
is_prior(const struct tk *t, uint64_t incarnation)
{
	const struct tk_part *part;
	unsigned p;
	guint i;

	for (p = 0; p < PD_PARTITIONS; p++) {
		part = &t->parts[p];
		for (i = 0; i < part->priors->len; i++) {
			if (g_array_index(part->priors, struct tk_prior, i)
				.incarnation == incarnation)
				return (true);
		}
		if (part->owner == incarnation)
			return (true);
	}
	return (false);
}

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
	return (e->name != NULL && !is_prior(t, e->incarnation));
}

void
tk_configure(struct tk *t, const struct cs *state, uint64_t self)
{
	const struct cs_member *owner;
	bool unseen;
	unsigned p;

	t->state = state;
	set_self(t, self);
	g_hash_table_foreach_remove(t->entries, is_stale, t);
	unseen =
	    cs_revision(state) != t->revision + 1 && cs_view(state) != t->view;
	t->revision = cs_revision(state);
	t->view = cs_view(state);
	note_members(t);
	for (p = 0; p < PD_PARTITIONS; p++) {
		owner = cs_owner(state, p);
		set_owner(t, p, owner == NULL ? 0 : owner->incarnation, unseen);
	}
	tk_tick(t);
}

void
tk_accepted(struct tk *t, uint64_t revision)
{
	struct tk_prior *prior;
	unsigned p;
	guint i;

	t->accepted = MAX(t->accepted, revision);
	for (p = 0; p < PD_PARTITIONS; p++) {
		for (i = 0; i < t->parts[p].priors->len; i++) {
			prior = &g_array_index(
			    t->parts[p].priors, struct tk_prior, i);
			if (prior->accepted || prior->revision > revision)
				continue;
			prior->accepted = true;
			prior->accepted_ms = tk_now_ms(t);
		}
	}
}

void
tk_confirmed(struct tk *t, uint64_t incarnation, uint64_t revision)
{
	struct tk_entry *e;

	e = find_entry(t, incarnation);
	e->confirmed = MAX(e->confirmed, revision);
}

/*
 * Ids created up to a wall clock time may have lost records: up to the
 * takeover when an agent did not answer, else up to the latest start of an
 * agent, which has no records from before.
 */
static void
tell_active(struct tk *t, unsigned p, bool all)
{
	struct tk_part *part;
	uint64_t wall_ms;

	part = &t->parts[p];
	wall_ms = part->takeover_wall_ms;
	if (all)
		wall_ms = (t->variant & TK_V_IGNORE_AGENT_START) != 0
		    ? 0
		    : MIN(part->lost_ms, wall_ms);
	tk_tell(t, p, all && wall_ms == 0, wall_ms);
}

static void
activate(struct tk *t, unsigned p, bool all)
{
	struct tk_part *part;
	GHashTableIter it;
	struct tk_agent *a;
	void *value;

	part = &t->parts[p];
	part->state = DP_ACTIVE;
	part->takeover_wall_ms = ck_wall_ms(t->clock);
	ct_count(t->counters, "pd_takeovers_total",
	    "Partitions taken over, by whether all start records were found.",
	    "records", all ? "complete" : "incomplete");
	/* An agent that did not confirm may have restarted and started more
	 * than was gathered. */
	g_hash_table_iter_init(&it, t->agents);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		a = value;
		if ((tk_gathered_from(t, a) & pt_bit(p)) != 0)
			continue;
		a->answered &= ~pt_bit(p);
		a->done &= ~pt_bit(p);
	}
	tell_active(t, p, all);
}

void
tk_update_active(struct tk *t, uint64_t mask)
{
	const struct tk_part *part;
	unsigned p;
	bool all;

	for (p = 0; p < PD_PARTITIONS; p++) {
		part = &t->parts[p];
		if (part->state != DP_ACTIVE || !part->had_owner)
			continue;
		all = (mask & pt_bit(p)) != 0;
		if (all && part->told_wall_ms == part->takeover_wall_ms &&
		    part->lost_ms < part->takeover_wall_ms)
			tell_active(t, p, all);
	}
}

static bool
gather_over(const struct tk *t, unsigned p)
{
	return (tk_now_ms(t) - t->parts[p].gather_ms >= TK_GATHER_TIMEOUT_MS &&
	    !tk_probing(t, p));
}

static void
clear_priors(struct tk *t)
{
	struct tk_part *part;
	unsigned p;

	for (p = 0; p < PD_PARTITIONS; p++) {
		part = &t->parts[p];
		drop_cleared(t, part);
		if (part->state != DP_GATHERING || part->cleared ||
		    part->priors->len > 0)
			continue;
		part->cleared = true;
		part->cleared_ms = tk_now_ms(t);
		part->cleared_seq = ++t->seq;
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
	clear_priors(t);
	g_hash_table_iter_init(&it, t->agents);
	while (g_hash_table_iter_next(&it, NULL, &value))
		tk_ask(t, value);
	mask = tk_gathered(t, false);
	for (p = 0; p < PD_PARTITIONS; p++) {
		if (t->parts[p].state != DP_GATHERING || !t->parts[p].cleared)
			continue;
		if ((mask & pt_bit(p)) != 0)
			activate(t, p, true);
		else if (gather_over(t, p))
			activate(t, p, false);
	}
}

enum dp_partition_state
tk_partition_state(const struct tk *t, unsigned partition)
{
	return (
	    partition < PD_PARTITIONS ? t->parts[partition].state : DP_FOREIGN);
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
		t->parts[p].priors =
		    g_array_new(FALSE, FALSE, sizeof(struct tk_prior));
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
		g_array_free(t->parts[p].priors, TRUE);
	g_hash_table_destroy(t->handles);
	g_hash_table_destroy(t->agents);
	g_hash_table_destroy(t->entries);
	g_free(t);
}
