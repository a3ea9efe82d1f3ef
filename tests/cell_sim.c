#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell_sim.h"
#include "member_impl.h"
#include "partition.h"
#include "takeover_impl.h"

struct sim *sim;

const char *const az_names[SIM_AGENTS] = {"finistere", "armor"};

static struct entry *
entry_of(const struct cell_node *n)
{
	return (&sim->entries[n->index]);
}

uint64_t
sim_now(void)
{
	return (cell_now(sim->cell));
}

static uint64_t
wall_now(void)
{
	return (ck_wall_ms(sim->cell->clock));
}

static void
fence_call_unref(void *p)
{
	struct fence_call *a = p;

	if (--a->refs > 0)
		return;
	if (a->reply.list.list_val != NULL)
		g_free(a->reply.list.list_val);
	g_free(a);
}

static void
message_free(void *p)
{
	struct message *m = p;

	if (m->fence_call != NULL)
		fence_call_unref(m->fence_call);
	g_free(m);
}

static int
message_order(const void *a, const void *b, void *unused)
{
	const struct message *x = a;
	const struct message *y = b;

	(void)unused;
	return (x->due < y->due ? -1 : x->due > y->due ? 1 : 0);
}

static struct message *
message_new(unsigned node, unsigned agent, int kind)
{
	struct message *m;

	m = g_new0(struct message, 1);
	m->node = node;
	m->agent = agent;
	m->kind = kind;
	m->due = sim_now() + SLICE_MS + rn_below(sim->rng, 20);
	return (m);
}

static void
enqueue(struct message *m)
{
	g_queue_insert_sorted(sim->messages, m, message_order, NULL);
}

static enum task_state
task_state(struct entry *e, unsigned task)
{
	return (task < e->task_states->len
		? g_array_index(e->task_states, enum task_state, task)
		: TASK_NEW);
}

static void
set_task_state(struct entry *e, unsigned task, enum task_state state)
{
	if (task >= e->task_states->len)
		g_array_set_size(e->task_states, task + 1);
	g_array_index(e->task_states, enum task_state, task) = state;
}

/* Callbacks of tk. */

static void
fence_timeout(struct cell_node *n, void *arg)
{
	struct fence_call *a = arg;

	if (a->ended)
		return;
	a->ended = true;
	tk_fence_failed(entry_of(n)->tk, a->handle, &a->fence);
}

static void
tk_op_fence(void *arg, dp_agent handle, const struct pd_fence *f)
{
	struct cell_node *n = arg;
	struct entry *e = entry_of(n);
	struct message *m;
	struct fence_call *a;
	unsigned i;

	for (i = 0; i < SIM_AGENTS && e->handle[i] != handle; i++)
		;
	a = g_new0(struct fence_call, 1);
	a->refs = 1;
	a->handle = handle;
	a->generation = n->generation;
	a->fence = *f;
	cell_schedule(n, CALL_TIMEOUT_MS, fence_timeout, a, fence_call_unref);
	if (i == SIM_AGENTS)
		return;
	m = message_new(n->index, i, MSG_FENCE);
	m->fence = *f;
	m->fence_call = a;
	a->refs++;
	enqueue(m);
}

static void
tk_op_record(void *arg, dp_agent handle, const struct pd_record *r)
{
	struct cell_node *n = arg;

	(void)handle;
	/* The simulation uses the index of a task as its key. */
	if (task_state(entry_of(n), r->key.task) != TASK_ENDED)
		set_task_state(entry_of(n), r->key.task, TASK_RECORDED);
}

static void
forget_partition(struct entry *e, unsigned p)
{
	const struct task *t;
	guint i;

	for (i = 0; i < e->task_states->len; i++) {
		t = sim->tasks->pdata[i];
		if (t->partition == p)
			set_task_state(e, i, TASK_NEW);
	}
}

static void
tk_op_partition(void *arg, unsigned p, enum dp_partition_state state,
    uint64_t view, bool complete, uint64_t wall_ms)
{
	struct entry *e = entry_of(arg);

	if (state == DP_ACTIVE && e->state[p] != DP_ACTIVE && wall_ms != 0)
		sim->takeovers++;
	if (state == DP_FOREIGN)
		forget_partition(e, p);
	e->state[p] = state;
	e->view[p] = view;
	e->records_complete[p] = complete;
	e->records_lost_until_ms[p] = wall_ms;
}

static const struct tk_ops ops = {tk_op_fence, tk_op_record, tk_op_partition};

/* Hooks of the cell. */

static void
session_lost(struct entry *e, unsigned i)
{
	if (e->handle[i] == 0)
		return;
	tk_agent_down(e->tk, e->handle[i]);
	e->handle[i] = 0;
}

static void
entry_tick(struct cell_node *n, void *arg)
{
	struct entry *e = entry_of(n);
	unsigned i;

	(void)arg;
	for (i = 0; i < SIM_AGENTS; i++) {
		if (sim_now() - e->heard_ms[i] >= SESSION_TIMEOUT_MS)
			session_lost(e, i);
	}
	tk_tick(e->tk);
	cell_schedule(n, 10, entry_tick, NULL, NULL);
}

static void
hook_started(struct cell_node *n)
{
	struct entry *e = entry_of(n);

	memset(e, 0, sizeof(*e));
	e->tk = tk_new(n->cell->clock, n->cell->counters, &ops, n);
	tk_set_variant(e->tk, sim->tk_variant);
	e->task_states = g_array_new(FALSE, TRUE, sizeof(enum task_state));
	cell_schedule(n, 10, entry_tick, NULL, NULL);
}

static void
hook_stopped(struct cell_node *n)
{
	struct entry *e = entry_of(n);

	tk_free(e->tk);
	g_array_free(e->task_states, TRUE);
	e->tk = NULL;
}

/* Records which availability zones are out at a revision when the first entry
 * applies it. Permits may depend on a change that is not accepted yet. */
static void
note_azs_out(const struct cell_node *n, uint64_t revision)
{
	unsigned i, out;

	if (revision < sim->azs_out->len)
		return;
	out = 0;
	for (i = 0; i < SIM_AGENTS; i++) {
		if (cs_az_in_service(mb_state(n->mb), az_names[i]))
			sim->az_out_ms[i] = 0;
		else
			out |= 1U << i;
	}
	/* A snapshot may skip revisions. */
	while (sim->azs_out->len <= revision)
		g_array_append_val(sim->azs_out, out);
}

static void
hook_applied(struct cell_node *n, uint64_t revision)
{
	note_azs_out(n, revision);
	tk_configure(entry_of(n)->tk, mb_state(n->mb), mb_incarnation(n->mb));
}

/* An availability zone is out of service from when its change is first reported
 * as accepted, unless a later change has brought it back. */
static void
note_accepted_azs_out(uint64_t revision)
{
	unsigned i, out;
	guint k;

	out = ~0U;
	for (k = (guint)revision; k < sim->azs_out->len; k++)
		out &= g_array_index(sim->azs_out, unsigned, k);
	for (i = 0; i < SIM_AGENTS; i++) {
		if ((out >> i & 1) != 0 && sim->az_out_ms[i] == 0)
			sim->az_out_ms[i] = sim_now();
	}
}

static void
hook_accepted(struct cell_node *n, uint64_t revision)
{
	tk_accepted(entry_of(n)->tk, revision);
	note_accepted_azs_out(revision);
}

static void
hook_confirmed(struct cell_node *n, uint64_t incarnation, uint64_t revision)
{
	tk_confirmed(entry_of(n)->tk, incarnation, revision);
}

static const struct cell_hooks hooks = {
    hook_started, hook_stopped, hook_applied, hook_accepted, hook_confirmed};

/* Agents. */

struct heartbeat {
	unsigned agent;
	uint64_t incarnation;
	uint64_t started_ms;
	uint64_t clock_ms;
};

static void
heartbeat_arrives(struct cell_node *n, void *arg)
{
	const struct heartbeat *b = arg;
	struct entry *e = entry_of(n);
	struct pd_hello hello;
	struct message *m;

	if (e->handle[b->agent] != 0 && e->agent[b->agent] != b->incarnation)
		session_lost(e, b->agent);
	e->heard_ms[b->agent] = sim_now();
	if (e->handle[b->agent] == 0) {
		memset(&hello, 0, sizeof(hello));
		hello.name = sim->agents[b->agent].name;
		hello.incarnation = b->incarnation;
		hello.started_ms = b->started_ms;
		e->agent[b->agent] = b->incarnation;
		e->handle[b->agent] = ++e->handles;
		tk_agent_up(e->tk, e->handle[b->agent], &hello);
	}
	m = message_new(n->index, b->agent, MSG_PERMIT);
	m->incarnation = b->incarnation;
	m->entry = mb_incarnation(n->mb);
	mb_fill_permit(
	    n->mb, sim->agents[b->agent].name, b->clock_ms, &m->permit);
	enqueue(m);
}

static void
heartbeat(unsigned i)
{
	struct agent *a = &sim->agents[i];
	struct heartbeat *b;
	unsigned n;

	if (sim_now() < a->next_heartbeat_ms)
		return;
	a->next_heartbeat_ms = sim_now() + HEARTBEAT_MS;
	for (n = 0; n < sim->cell->count; n++) {
		if (a->cut[n] || sim->cell->nodes[n].mb == NULL)
			continue;
		b = g_new0(struct heartbeat, 1);
		b->agent = i;
		b->incarnation = a->incarnation;
		b->started_ms = a->started_ms;
		b->clock_ms = sim_now();
		cell_schedule(&sim->cell->nodes[n],
		    SLICE_MS + rn_below(sim->rng, 20), heartbeat_arrives, b,
		    g_free);
	}
}

void
sim_start_agent(unsigned i)
{
	struct agent *a = &sim->agents[i];

	a->up = true;
	a->incarnation = rn_u64(sim->rng);
	a->started_ms = wall_now();
	a->revision = 0;
	a->next_heartbeat_ms = 0;
	memset(a->fence, 0, sizeof(a->fence));
	memset(a->permits, 0, sizeof(a->permits));
	g_queue_clear_full(a->queue, g_free);
	g_array_set_size(a->records, 0);
}

static void
agent_handle_permit(struct agent *a, const struct message *m)
{
	struct permit *p = &a->permits[m->node];

	if (!m->permit.granted || m->permit.revision < a->revision ||
	    m->incarnation != a->incarnation)
		return;
	a->revision = m->permit.revision;
	if (p->incarnation == m->entry && p->clock_ms >= m->permit.clock_ms)
		return;
	p->incarnation = m->entry;
	p->clock_ms = m->permit.clock_ms;
	p->in_service = m->permit.in_service;
}

static void
fence_reply_arrives(struct cell_node *n, void *arg)
{
	struct fence_call *a = arg;

	if (a->ended)
		return;
	a->ended = true;
	tk_fence_reply(entry_of(n)->tk, a->handle, &a->fence, &a->reply);
}

static bool
raise_fences(struct agent *a, const struct pd_fence *f)
{
	unsigned p;

	for (p = 0; p < PD_PARTITIONS; p++) {
		if ((f->partitions & pt_bit(p)) != 0 && a->fence[p] > f->view)
			return (false);
	}
	for (p = 0; p < PD_PARTITIONS; p++) {
		if ((f->partitions & pt_bit(p)) != 0)
			a->fence[p] = f->view;
	}
	return (true);
}

static void
fill_records(
    const struct agent *a, uint64_t partitions, struct fence_call *fence_call)
{
	struct pd_record *r;
	struct task *t;
	guint i;

	fence_call->reply.list.list_val =
	    g_new0(struct pd_record, a->records->len + 1);
	for (i = 0; i < a->records->len; i++) {
		unsigned task = g_array_index(a->records, unsigned, i);

		t = sim->tasks->pdata[task];
		if ((partitions & pt_bit(t->partition)) == 0)
			continue;
		r = &fence_call->reply.list
			 .list_val[fence_call->reply.list.list_len++];
		r->key.sub = t->id;
		r->key.task = task;
		r->state = PD_DONE;
	}
}

static void
agent_handle_fence(struct agent *a, struct message *m)
{
	struct cell_node *n = &sim->cell->nodes[m->node];
	struct fence_call *fence_call = m->fence_call;

	fence_call->reply.incarnation = a->incarnation;
	fence_call->reply.started_ms = a->started_ms;
	if (raise_fences(a, &m->fence))
		fill_records(a, m->fence.partitions, fence_call);
	else
		fence_call->reply.refused = TRUE;
	if (n->mb == NULL || n->generation != fence_call->generation)
		return;
	fence_call->refs++;
	cell_schedule(n, SLICE_MS + rn_below(sim->rng, 20), fence_reply_arrives,
	    fence_call, fence_call_unref);
}

static void
agent_handle_grant(struct agent *a, const struct message *m)
{
	if (m->grant.agent == a->incarnation)
		g_queue_push_tail(
		    a->queue, g_memdup2(&m->grant, sizeof(m->grant)));
}

static void
deliver_messages(void)
{
	struct message *m;
	struct agent *a;

	while ((m = g_queue_peek_head(sim->messages)) != NULL &&
	    m->due <= sim_now()) {
		g_queue_pop_head(sim->messages);
		a = &sim->agents[m->agent];
		if (a->up && !a->cut[m->node]) {
			if (m->kind == MSG_PERMIT)
				agent_handle_permit(a, m);
			else if (m->kind == MSG_FENCE)
				agent_handle_fence(a, m);
			else
				agent_handle_grant(a, m);
		}
		message_free(m);
	}
}

static bool
is_recorded(const struct agent *a, unsigned task)
{
	guint i;

	for (i = 0; i < a->records->len; i++) {
		if (g_array_index(a->records, unsigned, i) == task)
			return (true);
	}
	return (false);
}

struct result {
	unsigned task;
	uint64_t view;
};

static void
result_arrives(struct cell_node *n, void *arg)
{
	const struct result *r = arg;
	struct entry *e = entry_of(n);
	struct task *t;

	t = sim->tasks->pdata[r->task];
	if (e->state[t->partition] == DP_FOREIGN)
		return;
	set_task_state(e, r->task, TASK_ENDED);
	t->answered = true;
}

static void
start_task(struct agent *a, const struct grant *g)
{
	struct cell_node *n = &sim->cell->nodes[g->node];
	struct result *r;
	struct task *t;
	unsigned i;

	t = sim->tasks->pdata[g->task];
	i = (unsigned)(a - sim->agents);
	sim->started++;
	if (++t->starts > 1)
		cell_violation(sim->cell, "task %u is started twice at %llu",
		    g->task, (unsigned long long)sim_now());
	if (sim->az_out_ms[i] != 0 &&
	    sim_now() > sim->az_out_ms[i] + AZ_OUT_LIMIT_MS)
		cell_violation(sim->cell,
		    "task %u is started at %llu in an availability zone that "
		    "is out since "
		    "%llu",
		    g->task, (unsigned long long)sim_now(),
		    (unsigned long long)sim->az_out_ms[i]);
	g_array_append_val(a->records, g->task);
	if (a->cut[g->node] || n->mb == NULL)
		return;
	r = g_new0(struct result, 1);
	r->task = g->task;
	cell_schedule(
	    n, SLICE_MS + rn_below(sim->rng, 200), result_arrives, r, g_free);
}

/* Starts the grants that are due and permitted; drops those that are fenced. */
static void
run_queue(struct agent *a)
{
	const struct permit *p;
	struct grant *g;
	GList *l, *next;

	for (l = a->queue->head; l != NULL; l = next) {
		next = l->next;
		g = l->data;
		p = &a->permits[g->node];
		if (a->fence[g->partition] > g->view ||
		    is_recorded(a, g->task)) {
			g_queue_delete_link(a->queue, l);
			g_free(g);
			continue;
		}
		if (sim_now() < g->due_ms || p->incarnation != g->entry ||
		    !p->in_service ||
		    sim_now() - p->clock_ms > PERMIT_MAX_AGE_MS)
			continue;
		start_task(a, g);
		g_queue_delete_link(a->queue, l);
		g_free(g);
	}
}

/* Clients and the dispatcher. */

static void
new_task(void)
{
	struct task *t;

	t = g_new0(struct task, 1);
	t->id.id = g_strdup_printf("order-%u", sim->tasks->len);
	t->id.created_ms = wall_now() + rn_below(sim->rng, 2 * CLOCK_ERROR_MS) -
	    CLOCK_ERROR_MS;
	t->partition = pt_partition(&t->id);
	t->start_ms = sim_now();
	g_ptr_array_add(sim->tasks, t);
}

static void
send_grant(struct cell_node *n, unsigned task)
{
	struct entry *e = entry_of(n);
	struct task *t = sim->tasks->pdata[task];
	struct message *m;
	unsigned i;

	i = rn_below(sim->rng, SIM_AGENTS);
	if (e->handle[i] == 0 || !mb_verified(n->mb))
		return;
	set_task_state(e, task, TASK_GRANTED);
	m = message_new(n->index, i, MSG_GRANT);
	m->grant.task = task;
	m->grant.partition = t->partition;
	m->grant.view = e->view[t->partition];
	m->grant.agent = e->agent[i];
	m->grant.entry = mb_incarnation(n->mb);
	m->grant.node = n->index;
	m->grant.due_ms = sim_now() + rn_below(sim->rng, 4) * 700;
	enqueue(m);
}

/* Submits a task to an entry, which handles it if it considers itself the
 * owner of the partition. */
static void
submit_task(struct cell_node *n, unsigned task)
{
	struct task *t = sim->tasks->pdata[task];
	struct entry *e = entry_of(n);
	unsigned p = t->partition;

	if (e->state[p] != DP_ACTIVE ||
	    t->id.created_ms > wall_now() + CLOCK_ERROR_MS)
		return;
	switch (task_state(e, task)) {
	case TASK_NEW:
		if (!e->records_complete[p] &&
		    t->id.created_ms <=
			e->records_lost_until_ms[p] + CLOCK_ERROR_MS) {
			sim->unknown++;
			t->answered = true;
			set_task_state(e, task, TASK_ENDED);
			return;
		}
		send_grant(n, task);
		break;
	case TASK_RECORDED:
		t->answered = true;
		break;
	default:
		break;
	}
}

static void
submit_open_tasks(void)
{
	struct cell_node *n;
	const struct task *t;
	guint i, k;

	for (i = sim->oldest; i < sim->tasks->len; i++) {
		t = sim->tasks->pdata[i];
		if (t->answered ||
		    sim_now() - t->start_ms > CLIENT_TIMEOUT_MS) {
			if (i == sim->oldest)
				sim->oldest++;
			continue;
		}
		for (k = 0; k < sim->cell->count; k++) {
			n = &sim->cell->nodes[k];
			if (n->mb != NULL && !n->frozen)
				submit_task(n, i);
		}
	}
}

void
sim_step(void)
{
	unsigned ms, i;

	sim_inject_fault();
	new_task();
	for (ms = 0; ms < STEP_MS; ms += SLICE_MS) {
		cell_run(sim->cell, SLICE_MS);
		deliver_messages();
		for (i = 0; i < SIM_AGENTS; i++) {
			if (!sim->agents[i].up)
				continue;
			heartbeat(i);
			run_queue(&sim->agents[i]);
		}
	}
	submit_open_tasks();
}

static void
task_free(void *p)
{
	struct task *t = p;

	g_free(t->id.id);
	g_free(t);
}

struct sim *
sim_new(uint64_t seed, unsigned mb_variant, unsigned tk_variant)
{
	struct sim *w;
	unsigned i;

	w = g_new0(struct sim, 1);
	sim = w;
	w->rng = rn_new(seed);
	w->tk_variant = tk_variant;
	w->messages = g_queue_new();
	w->tasks = g_ptr_array_new_with_free_func(task_free);
	w->azs_out = g_array_new(FALSE, TRUE, sizeof(unsigned));
	w->cell = cell_new(3 + (unsigned)(seed % 3), seed);
	w->cell->variant = mb_variant;
	w->cell->max_jitter_ms = 10;
	w->cell->hooks = &hooks;
	for (i = 0; i < SIM_AGENTS; i++) {
		snprintf(
		    w->agents[i].name, sizeof(w->agents[i].name), "e%u", i + 1);
		w->agents[i].az = az_names[i];
		w->agents[i].queue = g_queue_new();
		w->agents[i].records =
		    g_array_new(FALSE, FALSE, sizeof(unsigned));
		sim_start_agent(i);
	}
	for (i = 0; i < w->cell->count; i++)
		cell_start(w->cell, i);
	return (w);
}

void
sim_free(struct sim *w)
{
	unsigned i;

	cell_free(w->cell);
	for (i = 0; i < SIM_AGENTS; i++) {
		g_queue_free_full(w->agents[i].queue, g_free);
		g_array_free(w->agents[i].records, TRUE);
	}
	g_queue_free_full(w->messages, message_free);
	g_ptr_array_free(w->tasks, TRUE);
	g_array_free(w->azs_out, TRUE);
	rn_free(w->rng);
	g_free(w);
	sim = NULL;
}
