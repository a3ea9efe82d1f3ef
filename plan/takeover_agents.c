#include <string.h>

#include "clock.h"
#include "partition.h"
#include "takeover_impl.h"

/*
 * Notes until when another process of the agent was connected. It may not have
 * exited: an agent that drains, or whose host is replaced too early, overlaps
 * with its successor, and either may connect last.
 */
static void
note_other_process(const struct tk *t, struct tk_agent *a)
{
	uint64_t until;

	until = a->connected ? ck_wall_ms(t->clock) : a->connected_ms;
	a->others_connected_ms = MAX(a->others_connected_ms, until);
	a->replaced_incarnation = a->incarnation;
}

bool
tk_agent_is_replaced(struct tk *t, const struct pd_hello *h)
{
	struct tk_agent *a;

	a = g_hash_table_lookup(t->agents, h->name);
	if (a == NULL || !a->connected ||
	    h->incarnation != a->replaced_incarnation)
		return (false);
	a->others_connected_ms = ck_wall_ms(t->clock);
	return (true);
}

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
	if (a->connected)
		g_hash_table_remove(t->handles, &a->handle);
	if (a->incarnation != h->incarnation) {
		if (a->incarnation != 0)
			note_other_process(t, a);
		a->gathered = 0;
		a->answered_seq = 0;
	}
	a->incarnation = h->incarnation;
	a->started_ms = h->started_ms;
	a->handle = agent;
	a->connected = true;
	a->fence_pending = false;
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
	a->connected = false;
	a->connected_ms = ck_wall_ms(t->clock);
	a->fence_pending = false;
	g_hash_table_remove(t->handles, &agent);
}

/* Partitions that an agent has still to be fenced for, of the lowest view among
 * them. */
static uint64_t
next_partitions(const struct tk *t, const struct tk_agent *a, uint64_t *view)
{
	const struct tk_partition *part;
	uint64_t mask;
	unsigned p;

	mask = 0;
	*view = UINT64_MAX;
	for (p = 0; p < PD_PARTITIONS; p++) {
		part = &t->partitions[p];
		if (part->state == DP_FOREIGN || !part->had_owner ||
		    (a->gathered & pt_bit(p)) != 0 || part->view > *view)
			continue;
		if (part->view < *view)
			mask = 0;
		*view = part->view;
		mask |= pt_bit(p);
	}
	return (mask);
}

static bool
probe_answered(const struct tk *t, const struct tk_agent *a,
    const struct tk_partition *part)
{
	return (a->answered_seq > part->owners_stopped_seq ||
	    (t->variant & TK_V_NO_PROBE) != 0);
}

/*
 * An agent that restarts loses its fence, and a former owner that has not
 * stopped yet may then give it tasks. Once all have stopped, each fenced agent
 * is therefore probed: a fence of no partitions shows whether the agent still
 * has the same incarnation.
 */
static bool
needs_probe(const struct tk *t, const struct tk_agent *a)
{
	const struct tk_partition *part;
	unsigned p;

	for (p = 0; p < PD_PARTITIONS; p++) {
		part = &t->partitions[p];
		if (part->state == DP_GATHERING && part->owners_stopped &&
		    !probe_answered(t, a, part))
			return (true);
	}
	return (false);
}

void
tk_send_fence(struct tk *t, struct tk_agent *a)
{
	struct pd_fence f;
	uint64_t view;

	if (!a->connected || a->fence_pending || tk_now_ms(t) < a->retry_ms)
		return;
	memset(&f, 0, sizeof(f));
	f.partitions = next_partitions(t, a, &view);
	if (f.partitions == 0) {
		if (!needs_probe(t, a))
			return;
		view = t->view;
	}
	f.view = view;
	a->fence_pending = true;
	a->fence_seq = ++t->seq;
	t->ops->fence(t->arg, a->handle, &f);
}

uint64_t
tk_gathered_from(const struct tk *t, const struct tk_agent *a)
{
	uint64_t mask;
	unsigned p;

	if (a == NULL || !a->connected)
		return (0);
	mask = 0;
	for (p = 0; p < PD_PARTITIONS; p++) {
		if ((a->gathered & pt_bit(p)) != 0 &&
		    t->partitions[p].owners_stopped &&
		    probe_answered(t, a, &t->partitions[p]))
			mask |= pt_bit(p);
	}
	return (mask);
}

uint64_t
tk_gathered(const struct tk *t, bool ever)
{
	const struct cs_endpoint *const *endpoints;
	const struct tk_agent *a;
	uint64_t mask;
	size_t n, i;

	mask = UINT64_MAX;
	endpoints = cs_endpoints(t->state, &n);
	for (i = 0; i < n && mask != 0; i++) {
		a = g_hash_table_lookup(t->agents, endpoints[i]->name);
		if (ever)
			mask &= a == NULL ? 0 : a->ever_gathered;
		else
			mask &= tk_gathered_from(t, a);
	}
	return (mask);
}

bool
tk_probe_pending(const struct tk *t, unsigned p)
{
	const struct tk_agent *a;
	GHashTableIter it;
	void *value;

	if (tk_now_ms(t) - t->partitions[p].owners_stopped_ms >=
	    TK_PROBE_TIMEOUT_MS)
		return (false);
	g_hash_table_iter_init(&it, t->agents);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		a = value;
		if (a->connected && (a->gathered & pt_bit(p)) != 0 &&
		    !probe_answered(t, a, &t->partitions[p]))
			return (true);
	}
	return (false);
}

static void
pass_records(struct tk *t, struct tk_agent *a, const struct pd_fence *asked,
    const struct pd_fence_reply *reply)
{
	const struct pd_record *r;
	unsigned p;
	u_int i;

	for (i = 0; i < reply->list.list_len; i++) {
		r = &reply->list.list_val[i];
		p = pt_partition(&r->key.sub);
		if (t->partitions[p].state != DP_FOREIGN &&
		    t->partitions[p].view == asked->view)
			t->ops->record(t->arg, a->handle, r);
	}
}

static void
mark_gathered(struct tk *t, struct tk_agent *a, const struct pd_fence *asked,
    uint64_t started_ms)
{
	struct tk_partition *part;
	unsigned p;

	a->answered_seq = a->fence_seq;
	for (p = 0; p < PD_PARTITIONS; p++) {
		part = &t->partitions[p];
		if ((asked->partitions & pt_bit(p)) == 0 ||
		    part->state == DP_FOREIGN || part->view != asked->view)
			continue;
		a->gathered |= pt_bit(p);
		if ((a->ever_gathered & pt_bit(p)) == 0 &&
		    cs_endpoint(t->state, a->name) != NULL)
			part->latest_start_ms = MAX(part->latest_start_ms,
			    MAX(started_ms, a->others_connected_ms));
		a->ever_gathered |= pt_bit(p);
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
	pass_records(t, a, asked, reply);
	if (reply->next != 0) {
		next = *asked;
		next.cursor = reply->next;
		t->ops->fence(t->arg, agent, &next);
		return;
	}
	a->fence_pending = false;
	mark_gathered(t, a, asked, reply->started_ms);
	tk_tick(t);
	tk_report_completed(t, tk_gathered(t, true));
}

void
tk_fence_failed(struct tk *t, dp_agent agent, const struct pd_fence *asked)
{
	struct tk_agent *a;

	(void)asked;
	a = g_hash_table_lookup(t->handles, &agent);
	if (a == NULL)
		return;
	a->fence_pending = false;
	a->retry_ms = tk_now_ms(t) + TK_FENCE_RETRY_MS;
}
