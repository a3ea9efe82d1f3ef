#include <string.h>

#include "clock.h"
#include "partition.h"
#include "takeover_impl.h"

void
tk_agent_up(struct tk *t, dp_agent agent, const struct pd_hello *h)
{
	struct tk_agent *a;

	a = g_hash_table_lookup(t->agents, h->name);
	if (a == NULL) {
		a = g_new0(struct tk_agent, 1);
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
	struct tk_agent *a;

	a = g_hash_table_lookup(t->handles, &agent);
	if (a == NULL)
		return;
	a->up = false;
	a->outstanding = false;
	g_hash_table_remove(t->handles, &agent);
}

/* Partitions of the lowest view that an agent has still to be asked for. */
static uint64_t
wanted(const struct tk *t, const struct tk_agent *a, uint64_t *view)
{
	const struct tk_part *part;
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
tk_probed(
    const struct tk *t, const struct tk_agent *a, const struct tk_part *part)
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
needs_probe(const struct tk *t, const struct tk_agent *a)
{
	const struct tk_part *part;
	unsigned p;

	for (p = 0; p < PD_PARTITIONS; p++) {
		part = &t->parts[p];
		if (part->state == DP_GATHERING && part->cleared &&
		    !tk_probed(t, a, part))
			return (true);
	}
	return (false);
}

void
tk_ask(struct tk *t, struct tk_agent *a)
{
	struct pd_fence f;
	uint64_t view;

	if (!a->up || a->outstanding || tk_now_ms(t) < a->retry_ms)
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
uint64_t
tk_gathered_from(const struct tk *t, const struct tk_agent *a)
{
	uint64_t mask;
	unsigned p;

	if (a == NULL || !a->up)
		return (0);
	mask = 0;
	for (p = 0; p < PD_PARTITIONS; p++) {
		if ((a->done & pt_bit(p)) != 0 && t->parts[p].cleared &&
		    tk_probed(t, a, &t->parts[p]))
			mask |= pt_bit(p);
	}
	return (mask);
}

/* Partitions whose start records from all agents are complete. */
uint64_t
tk_gathered(const struct tk *t, bool active)
{
	const struct cs_endpoint *const *endpoints;
	const struct tk_agent *a;
	uint64_t mask;
	size_t n, i;

	mask = UINT64_MAX;
	endpoints = cs_endpoints(t->state, &n);
	for (i = 0; i < n && mask != 0; i++) {
		a = g_hash_table_lookup(t->agents, endpoints[i]->name);
		if (active)
			mask &= a == NULL ? 0 : a->answered;
		else
			mask &= tk_gathered_from(t, a);
	}
	return (mask);
}

bool
tk_probing(const struct tk *t, unsigned p)
{
	const struct tk_agent *a;
	GHashTableIter it;
	void *value;

	if (tk_now_ms(t) - t->parts[p].cleared_ms >= TK_PROBE_MS)
		return (false);
	g_hash_table_iter_init(&it, t->agents);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		a = value;
		if (a->up && (a->done & pt_bit(p)) != 0 &&
		    !tk_probed(t, a, &t->parts[p]))
			return (true);
	}
	return (false);
}

static void
take_records(struct tk *t, struct tk_agent *a, const struct pd_fence *asked,
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
mark_gathered(struct tk *t, struct tk_agent *a, const struct pd_fence *asked,
    uint64_t started_ms)
{
	struct tk_part *part;
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
	struct tk_agent *a;

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
	tk_update_active(t, tk_gathered(t, true));
}

void
tk_fence_failed(struct tk *t, dp_agent agent, const struct pd_fence *asked)
{
	struct tk_agent *a;

	(void)asked;
	a = g_hash_table_lookup(t->handles, &agent);
	if (a == NULL)
		return;
	a->outstanding = false;
	a->retry_ms = tk_now_ms(t) + TK_RETRY_MS;
}
