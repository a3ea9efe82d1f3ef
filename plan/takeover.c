#include <glib.h>
#include <string.h>

#include "clock.h"
#include "counters.h"
#include "log.h"
#include "partition.h"
#include "state.h"
#include "takeover_impl.h"

/* Wait before a fence that failed is sent again. */
#define RETRY_MS 200
/* Time for agents to answer that they are still the ones that were fenced. */
#define PROBE_MS 500

/* An entry that is or was in the list. */
struct entry {
	uint64_t incarnation;
	char *name;
	char *address;
	uint64_t confirmed; /* highest revision it was heard to hold */
	bool gone;          /* its process exited or renounced it */
};

/* An entry that owned a partition and may have permits out. */
struct prior {
	uint64_t incarnation; /* 0: unknown */
	uint64_t revision;    /* of the change that took the partition away */
	bool accepted;
	uint64_t accepted_ms; /* when that was known to be accepted */
};

struct part {
	enum dp_partition_state state;
	uint64_t owner; /* incarnation, 0 for none */
	uint64_t view;
	bool had_owner;
	GArray *priors; /* struct prior */
	uint64_t gather_ms;
	bool cleared; /* no prior owner can start anything */
	uint64_t cleared_ms;
	uint64_t cleared_seq;
	uint64_t lost_ms; /* wall clock: latest start of an agent that was
			     gathered */
	uint64_t takeover_wall_ms;
	bool told_complete;
	uint64_t told_wall_ms;
};

struct agent {
	char *name;
	dp_agent handle;
	bool up;
	uint64_t incarnation;
	uint64_t started_ms;
	bool outstanding;
	uint64_t sent_seq; /* of the first page of the open fence */
	uint64_t retry_ms;
	uint64_t done;     /* partitions fenced and gathered at this
			      incarnation */
	uint64_t answered; /* partitions gathered at any incarnation */
	uint64_t ok_seq;   /* of the latest answered fence, when sent */
};

struct tk {
	struct ck *clock;
	struct ct *counters;
	const struct tk_ops *ops;
	void *arg;
	unsigned variant;
	const struct cs *state;
	uint64_t self;
	uint64_t revision;
	uint64_t view;
	uint64_t accepted;
	uint64_t seq; /* orders fences and the ends of waits */
	struct part parts[PD_PARTITIONS];
	GHashTable *entries; /* incarnation -> struct entry */
	GHashTable *agents;  /* name -> struct agent */
	GHashTable *handles; /* dp_agent -> struct agent, borrowed */
};

static uint64_t
now_ms(const struct tk *t)
{
	return (ck_mono_ms(t->clock));
}

static void
entry_free(void *p)
{
	struct entry *e = p;

	g_free(e->name);
	g_free(e->address);
	g_free(e);
}

static void
agent_free(void *p)
{
	struct agent *a = p;

	g_free(a->name);
	g_free(a);
}

static struct entry *
find_entry(struct tk *t, uint64_t incarnation)
{
	struct entry *e;

	e = g_hash_table_lookup(t->entries, &incarnation);
	if (e != NULL)
		return (e);
	e = g_new0(struct entry, 1);
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
	struct entry *e;
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
	struct entry *e;
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
prior_cleared(struct tk *t, const struct prior *p)
{
	const struct entry *e;

	if ((t->variant & TK_V_NO_WAIT) != 0)
		return (true);
	if (p->accepted && now_ms(t) - p->accepted_ms >= TK_WAIT_MS)
		return (true);
	if (p->incarnation == 0 || (t->variant & TK_V_ALWAYS_WAIT) != 0)
		return (false);
	if (p->incarnation == t->self)
		return (true);
	e = find_entry(t, p->incarnation);
	return (e->gone || e->confirmed >= p->revision);
}

static void
drop_cleared(struct tk *t, struct part *part)
{
	guint i;

	for (i = part->priors->len; i-- > 0;) {
		if (prior_cleared(
			t, &g_array_index(part->priors, struct prior, i)))
			g_array_remove_index(part->priors, i);
	}
}

static void
add_prior(struct tk *t, struct part *part, uint64_t incarnation)
{
	struct prior p;

	part->had_owner = true;
	if ((t->variant & TK_V_NO_HISTORY) != 0)
		g_array_set_size(part->priors, 0);
	memset(&p, 0, sizeof(p));
	p.incarnation = incarnation;
	p.revision = t->view;
	p.accepted = t->accepted >= p.revision;
	p.accepted_ms = now_ms(t);
	g_array_append_val(part->priors, p);
}

static void
tell(struct tk *t, unsigned p, bool complete, uint64_t wall_ms)
{
	struct part *part;

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
	tell(t, p, false, 0);
}

static void
gain(struct tk *t, unsigned p)
{
	struct part *part;
	GHashTableIter it;
	struct agent *a;
	void *value;

	part = &t->parts[p];
	part->view = t->view;
	part->gather_ms = now_ms(t);
	part->cleared = false;
	part->lost_ms = 0;
	part->takeover_wall_ms = 0;
	if (!part->had_owner) {
		part->state = DP_ACTIVE;
		tell(t, p, true, 0);
		return;
	}
	g_hash_table_iter_init(&it, t->agents);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		a = value;
		a->done &= ~pt_bit(p);
		a->answered &= ~pt_bit(p);
	}
	part->state = DP_GATHERING;
	tell(t, p, false, ck_wall_ms(t->clock));
}

/* The owner may have changed and changed back where changes were not seen. */
static void
set_owner(struct tk *t, unsigned p, uint64_t owner, bool unseen)
{
	struct part *part;

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
	const struct part *part;
	unsigned p;
	guint i;

	for (p = 0; p < PD_PARTITIONS; p++) {
		part = &t->parts[p];
		for (i = 0; i < part->priors->len; i++) {
			if (g_array_index(part->priors, struct prior, i)
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
	const struct entry *e = value;
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
	struct prior *prior;
	unsigned p;
	guint i;

	t->accepted = MAX(t->accepted, revision);
	for (p = 0; p < PD_PARTITIONS; p++) {
		for (i = 0; i < t->parts[p].priors->len; i++) {
			prior =
			    &g_array_index(t->parts[p].priors, struct prior, i);
			if (prior->accepted || prior->revision > revision)
				continue;
			prior->accepted = true;
			prior->accepted_ms = now_ms(t);
		}
	}
}

void
tk_confirmed(struct tk *t, uint64_t incarnation, uint64_t revision)
{
	struct entry *e;

	e = find_entry(t, incarnation);
	e->confirmed = MAX(e->confirmed, revision);
}

void
tk_agent_up(struct tk *t, dp_agent agent, const struct pd_hello *h)
{
	struct agent *a;

	a = g_hash_table_lookup(t->agents, h->name);
	if (a == NULL) {
		a = g_new0(struct agent, 1);
		a->name = g_strdup(h->name);
		g_hash_table_insert(t->agents, a->name, a);
	}
	if (a->up)
		g_hash_table_remove(t->handles, &a->handle);
	if (a->incarnation != h->incarnation) {
		a->done = 0;
		a->ok_seq = 0;
	}
	a->incarnation = h->incarnation;
	a->started_ms = h->started_ms;
	a->handle = agent;
	a->up = true;
	a->outstanding = false;
	a->retry_ms = 0;
	g_hash_table_insert(t->handles, &a->handle, a);
	tk_tick(t);
}

void
tk_agent_down(struct tk *t, dp_agent agent)
{
	struct agent *a;

	a = g_hash_table_lookup(t->handles, &agent);
	if (a == NULL)
		return;
	a->up = false;
	a->outstanding = false;
	g_hash_table_remove(t->handles, &agent);
}

/* Partitions of the lowest view that an agent has still to be asked for. */
static uint64_t
wanted(const struct tk *t, const struct agent *a, uint64_t *view)
{
	const struct part *part;
	uint64_t mask;
	unsigned p;

	mask = 0;
	*view = UINT64_MAX;
	for (p = 0; p < PD_PARTITIONS; p++) {
		part = &t->parts[p];
		if (part->state == DP_FOREIGN || !part->had_owner ||
		    (a->done & pt_bit(p)) != 0 || part->view > *view)
			continue;
		if (part->view < *view)
			mask = 0;
		*view = part->view;
		mask |= pt_bit(p);
	}
	return (mask);
}

static bool
probed(const struct tk *t, const struct agent *a, const struct part *part)
{
	return (
	    a->ok_seq > part->cleared_seq || (t->variant & TK_V_NO_PROBE) != 0);
}

/*
 * An agent that restarts has lost its fence. Until the old owner is out it may
 * have given such an agent work, so after the wait each fenced agent is asked
 * whether it still is the same. A fence of no partitions asks that.
 */
static bool
needs_probe(const struct tk *t, const struct agent *a)
{
	const struct part *part;
	unsigned p;

	for (p = 0; p < PD_PARTITIONS; p++) {
		part = &t->parts[p];
		if (part->state == DP_GATHERING && part->cleared &&
		    !probed(t, a, part))
			return (true);
	}
	return (false);
}

static void
ask(struct tk *t, struct agent *a)
{
	struct pd_fence f;
	uint64_t view;

	if (!a->up || a->outstanding || now_ms(t) < a->retry_ms)
		return;
	memset(&f, 0, sizeof(f));
	f.partitions = wanted(t, a, &view);
	if (f.partitions == 0) {
		if (!needs_probe(t, a))
			return;
		view = t->view;
	}
	f.view = view;
	a->outstanding = true;
	a->sent_seq = ++t->seq;
	t->ops->fence(t->arg, a->handle, &f);
}

/* Partitions whose start records from an agent are complete. */
static uint64_t
gathered_from(const struct tk *t, const struct agent *a)
{
	uint64_t mask;
	unsigned p;

	if (a == NULL || !a->up)
		return (0);
	mask = 0;
	for (p = 0; p < PD_PARTITIONS; p++) {
		if ((a->done & pt_bit(p)) != 0 && t->parts[p].cleared &&
		    probed(t, a, &t->parts[p]))
			mask |= pt_bit(p);
	}
	return (mask);
}

/* Partitions whose start records from all agents are complete. */
static uint64_t
gathered(const struct tk *t, bool active)
{
	const struct cs_endpoint *const *endpoints;
	const struct agent *a;
	uint64_t mask;
	size_t n, i;

	mask = UINT64_MAX;
	endpoints = cs_endpoints(t->state, &n);
	for (i = 0; i < n && mask != 0; i++) {
		a = g_hash_table_lookup(t->agents, endpoints[i]->name);
		if (active)
			mask &= a == NULL ? 0 : a->answered;
		else
			mask &= gathered_from(t, a);
	}
	return (mask);
}

/*
 * Ids created up to a wall clock time may have lost records: up to the
 * takeover when an agent did not answer, else up to the latest start of an
 * agent, which has no records from before.
 */
static void
tell_active(struct tk *t, unsigned p, bool all)
{
	struct part *part;
	uint64_t wall_ms;

	part = &t->parts[p];
	wall_ms = part->takeover_wall_ms;
	if (all)
		wall_ms = (t->variant & TK_V_NO_AGE) != 0
		    ? 0
		    : MIN(part->lost_ms, wall_ms);
	tell(t, p, all && wall_ms == 0, wall_ms);
}

static void
activate(struct tk *t, unsigned p, bool all)
{
	struct part *part;
	GHashTableIter it;
	struct agent *a;
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
		if ((gathered_from(t, a) & pt_bit(p)) != 0)
			continue;
		a->answered &= ~pt_bit(p);
		a->done &= ~pt_bit(p);
	}
	tell_active(t, p, all);
}

static void
update_active(struct tk *t, uint64_t mask)
{
	const struct part *part;
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
probing(const struct tk *t, unsigned p)
{
	const struct agent *a;
	GHashTableIter it;
	void *value;

	if (now_ms(t) - t->parts[p].cleared_ms >= PROBE_MS)
		return (false);
	g_hash_table_iter_init(&it, t->agents);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		a = value;
		if (a->up && (a->done & pt_bit(p)) != 0 &&
		    !probed(t, a, &t->parts[p]))
			return (true);
	}
	return (false);
}

static bool
gather_over(const struct tk *t, unsigned p)
{
	return (now_ms(t) - t->parts[p].gather_ms >= TK_GATHER_MS &&
	    !probing(t, p));
}

static void
clear_priors(struct tk *t)
{
	struct part *part;
	unsigned p;

	for (p = 0; p < PD_PARTITIONS; p++) {
		part = &t->parts[p];
		drop_cleared(t, part);
		if (part->state != DP_GATHERING || part->cleared ||
		    part->priors->len > 0)
			continue;
		part->cleared = true;
		part->cleared_ms = now_ms(t);
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
		ask(t, value);
	mask = gathered(t, false);
	for (p = 0; p < PD_PARTITIONS; p++) {
		if (t->parts[p].state != DP_GATHERING || !t->parts[p].cleared)
			continue;
		if ((mask & pt_bit(p)) != 0)
			activate(t, p, true);
		else if (gather_over(t, p))
			activate(t, p, false);
	}
}

static void
take_records(struct tk *t, struct agent *a, const struct pd_fence *asked,
    const struct pd_fence_reply *reply)
{
	const struct pd_record *r;
	unsigned p;
	u_int i;

	for (i = 0; i < reply->list.list_len; i++) {
		r = &reply->list.list_val[i];
		p = pt_of(&r->key.sub);
		if (t->parts[p].state != DP_FOREIGN &&
		    t->parts[p].view == asked->view)
			t->ops->record(t->arg, a->handle, r);
	}
}

static void
mark_gathered(struct tk *t, struct agent *a, const struct pd_fence *asked,
    uint64_t started_ms)
{
	struct part *part;
	unsigned p;

	a->ok_seq = a->sent_seq;
	for (p = 0; p < PD_PARTITIONS; p++) {
		part = &t->parts[p];
		if ((asked->partitions & pt_bit(p)) == 0 ||
		    part->state == DP_FOREIGN || part->view != asked->view)
			continue;
		a->done |= pt_bit(p);
		if ((a->answered & pt_bit(p)) == 0 &&
		    cs_endpoint(t->state, a->name) != NULL)
			part->lost_ms = MAX(part->lost_ms, started_ms);
		a->answered |= pt_bit(p);
	}
}

void
tk_fence_reply(struct tk *t, dp_agent agent, const struct pd_fence *asked,
    const struct pd_fence_reply *reply)
{
	struct pd_fence next;
	struct agent *a;

	a = g_hash_table_lookup(t->handles, &agent);
	if (a == NULL)
		return;
	if (reply->refused || reply->incarnation != a->incarnation) {
		tk_fence_failed(t, agent, asked);
		return;
	}
	take_records(t, a, asked, reply);
	if (reply->next != 0) {
		next = *asked;
		next.cursor = reply->next;
		t->ops->fence(t->arg, agent, &next);
		return;
	}
	a->outstanding = false;
	mark_gathered(t, a, asked, reply->started_ms);
	tk_tick(t);
	update_active(t, gathered(t, true));
}

void
tk_fence_failed(struct tk *t, dp_agent agent, const struct pd_fence *asked)
{
	struct agent *a;

	(void)asked;
	a = g_hash_table_lookup(t->handles, &agent);
	if (a == NULL)
		return;
	a->outstanding = false;
	a->retry_ms = now_ms(t) + RETRY_MS;
}

enum dp_partition_state
tk_state(const struct tk *t, unsigned partition)
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
		    g_array_new(FALSE, FALSE, sizeof(struct prior));
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
