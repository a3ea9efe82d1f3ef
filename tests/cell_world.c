#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell_world.h"
#include "member_impl.h"
#include "partition.h"
#include "takeover_impl.h"

struct world *world;

const char *const az_names[AGENTS] = {"finistere", "armor"};

static struct entry *
entry_of(const struct cell_node *n)
{
	return (&world->entries[n->index]);
}

uint64_t
world_now(void)
{
	return (cell_now(world->cell));
}

static uint64_t
wall(void)
{
	return (ck_wall_ms(world->cell->clock));
}

static void
asked_unref(void *p)
{
	struct asked *a = p;

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

	if (m->asked != NULL)
		asked_unref(m->asked);
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
	m->due = world_now() + SLICE_MS + rn_below(world->rng, 20);
	return (m);
}

static void
enqueue(struct message *m)
{
	g_queue_insert_sorted(world->messages, m, message_order, NULL);
}

static enum known
known(struct entry *e, unsigned task)
{
	return (task < e->known->len ? g_array_index(e->known, enum known, task)
				     : K_NEW);
}

static void
set_known(struct entry *e, unsigned task, enum known k)
{
	if (task >= e->known->len)
		g_array_set_size(e->known, task + 1);
	g_array_index(e->known, enum known, task) = k;
}

/* Outputs of tk. */

static void
fence_timeout(struct cell_node *n, void *arg)
{
	struct asked *a = arg;

	if (a->ended)
		return;
	a->ended = true;
	tk_fence_failed(entry_of(n)->tk, a->handle, &a->fence);
}

static void
on_fence(void *arg, dp_agent handle, const struct pd_fence *f)
{
	struct cell_node *n = arg;
	struct entry *e = entry_of(n);
	struct message *m;
	struct asked *a;
	unsigned i;

	for (i = 0; i < AGENTS && e->handle[i] != handle; i++)
		;
	a = g_new0(struct asked, 1);
	a->refs = 1;
	a->handle = handle;
	a->generation = n->generation;
	a->fence = *f;
	cell_later(n, CALL_TIMEOUT_MS, fence_timeout, a, asked_unref);
	if (i == AGENTS)
		return;
	m = message_new(n->index, i, M_FENCE);
	m->fence = *f;
	m->asked = a;
	a->refs++;
	enqueue(m);
}

static void
on_record(void *arg, dp_agent handle, const struct pd_record *r)
{
	struct cell_node *n = arg;

	(void)handle;
	/* The model puts the number of the task into its key. */
	if (known(entry_of(n), r->key.task) != K_ENDED)
		set_known(entry_of(n), r->key.task, K_RECORD);
}

static void
forget_partition(struct entry *e, unsigned p)
{
	const struct task *t;
	guint i;

	for (i = 0; i < e->known->len; i++) {
		t = world->tasks->pdata[i];
		if (t->partition == p)
			set_known(e, i, K_NEW);
	}
}

static void
on_partition(void *arg, unsigned p, enum dp_partition_state state,
    uint64_t view, bool complete, uint64_t wall_ms)
{
	struct entry *e = entry_of(arg);

	if (state == DP_ACTIVE && e->state[p] != DP_ACTIVE && wall_ms != 0)
		world->takeovers++;
	if (state == DP_FOREIGN)
		forget_partition(e, p);
	e->state[p] = state;
	e->view[p] = view;
	e->complete[p] = complete;
	e->wall[p] = wall_ms;
}

static const struct tk_ops ops = {on_fence, on_record, on_partition};

/* Hooks of the cell. */

static void
agent_lost(struct entry *e, unsigned i)
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
	for (i = 0; i < AGENTS; i++) {
		if (world_now() - e->heard_ms[i] >= SILENT_MS)
			agent_lost(e, i);
	}
	tk_tick(e->tk);
	cell_later(n, 10, entry_tick, NULL, NULL);
}

static void
on_started(struct cell_node *n)
{
	struct entry *e = entry_of(n);

	memset(e, 0, sizeof(*e));
	e->tk = tk_new(n->cell->clock, n->cell->counters, &ops, n);
	tk_set_variant(e->tk, world->tk_variant);
	e->known = g_array_new(FALSE, TRUE, sizeof(enum known));
	cell_later(n, 10, entry_tick, NULL, NULL);
}

static void
on_stopped(struct cell_node *n)
{
	struct entry *e = entry_of(n);

	tk_free(e->tk);
	g_array_free(e->known, TRUE);
	e->tk = NULL;
}

/* Remembers which zones are out at a revision, from the first entry that
 * applies it. Permits may follow a change that is not accepted yet. */
static void
note_zones(const struct cell_node *n, uint64_t revision)
{
	unsigned i, out;

	if (revision < world->zones->len)
		return;
	out = 0;
	for (i = 0; i < AGENTS; i++) {
		if (cs_az_in_service(mb_state(n->mb), az_names[i]))
			world->az_out_ms[i] = 0;
		else
			out |= 1U << i;
	}
	/* Revisions in between were skipped by a snapshot. */
	while (world->zones->len <= revision)
		g_array_append_val(world->zones, out);
}

static void
on_applied(struct cell_node *n, uint64_t revision)
{
	note_zones(n, revision);
	tk_configure(entry_of(n)->tk, mb_state(n->mb), mb_incarnation(n->mb));
}

/* A zone is out of service from the first report of acceptance, unless it has
 * been put back in the meantime. */
static void
note_accepted(uint64_t revision)
{
	unsigned i, out;
	guint k;

	out = ~0U;
	for (k = (guint)revision; k < world->zones->len; k++)
		out &= g_array_index(world->zones, unsigned, k);
	for (i = 0; i < AGENTS; i++) {
		if ((out >> i & 1) != 0 && world->az_out_ms[i] == 0)
			world->az_out_ms[i] = world_now();
	}
}

static void
on_accepted(struct cell_node *n, uint64_t revision)
{
	tk_accepted(entry_of(n)->tk, revision);
	note_accepted(revision);
}

static void
on_confirmed(struct cell_node *n, uint64_t incarnation, uint64_t revision)
{
	tk_confirmed(entry_of(n)->tk, incarnation, revision);
}

static const struct cell_hooks hooks = {
    on_started, on_stopped, on_applied, on_accepted, on_confirmed};

/* Agents. */

struct beat {
	unsigned agent;
	uint64_t incarnation;
	uint64_t started_ms;
	uint64_t clock_ms;
};

static void
beat_arrives(struct cell_node *n, void *arg)
{
	const struct beat *b = arg;
	struct entry *e = entry_of(n);
	struct pd_hello hello;
	struct message *m;

	if (e->handle[b->agent] != 0 && e->agent[b->agent] != b->incarnation)
		agent_lost(e, b->agent);
	e->heard_ms[b->agent] = world_now();
	if (e->handle[b->agent] == 0) {
		memset(&hello, 0, sizeof(hello));
		hello.name = world->agents[b->agent].name;
		hello.incarnation = b->incarnation;
		hello.started_ms = b->started_ms;
		e->agent[b->agent] = b->incarnation;
		e->handle[b->agent] = ++e->handles;
		tk_agent_up(e->tk, e->handle[b->agent], &hello);
	}
	m = message_new(n->index, b->agent, M_PERMIT);
	m->incarnation = b->incarnation;
	m->entry = mb_incarnation(n->mb);
	mb_permit(n->mb, world->agents[b->agent].name, b->clock_ms, &m->permit);
	enqueue(m);
}

static void
beat(unsigned i)
{
	struct agent *a = &world->agents[i];
	struct beat *b;
	unsigned n;

	if (world_now() < a->beat_ms)
		return;
	a->beat_ms = world_now() + HEARTBEAT_MS;
	for (n = 0; n < world->cell->count; n++) {
		if (a->cut[n] || world->cell->nodes[n].mb == NULL)
			continue;
		b = g_new0(struct beat, 1);
		b->agent = i;
		b->incarnation = a->incarnation;
		b->started_ms = a->started_ms;
		b->clock_ms = world_now();
		cell_later(&world->cell->nodes[n],
		    SLICE_MS + rn_below(world->rng, 20), beat_arrives, b,
		    g_free);
	}
}

void
world_agent_start(unsigned i)
{
	struct agent *a = &world->agents[i];

	a->up = true;
	a->incarnation = rn_u64(world->rng);
	a->started_ms = wall();
	a->revision = 0;
	a->beat_ms = 0;
	memset(a->fence, 0, sizeof(a->fence));
	memset(a->permits, 0, sizeof(a->permits));
	g_queue_clear_full(a->queue, g_free);
	g_array_set_size(a->records, 0);
}

static void
take_permit(struct agent *a, const struct message *m)
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
fence_answered(struct cell_node *n, void *arg)
{
	struct asked *a = arg;

	if (a->ended)
		return;
	a->ended = true;
	tk_fence_reply(entry_of(n)->tk, a->handle, &a->fence, &a->reply);
}

static bool
fence_all(struct agent *a, const struct pd_fence *f)
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
list_records(const struct agent *a, uint64_t partitions, struct asked *asked)
{
	struct pd_record *r;
	struct task *t;
	guint i;

	asked->reply.list.list_val =
	    g_new0(struct pd_record, a->records->len + 1);
	for (i = 0; i < a->records->len; i++) {
		unsigned task = g_array_index(a->records, unsigned, i);

		t = world->tasks->pdata[task];
		if ((partitions & pt_bit(t->partition)) == 0)
			continue;
		r = &asked->reply.list.list_val[asked->reply.list.list_len++];
		r->key.sub = t->id;
		r->key.task = task;
		r->state = PD_DONE;
	}
}

static void
take_fence(struct agent *a, struct message *m)
{
	struct cell_node *n = &world->cell->nodes[m->node];
	struct asked *asked = m->asked;

	asked->reply.incarnation = a->incarnation;
	asked->reply.started_ms = a->started_ms;
	if (fence_all(a, &m->fence))
		list_records(a, m->fence.partitions, asked);
	else
		asked->reply.refused = TRUE;
	if (n->mb == NULL || n->generation != asked->generation)
		return;
	asked->refs++;
	cell_later(n, SLICE_MS + rn_below(world->rng, 20), fence_answered,
	    asked, asked_unref);
}

static void
take_grant(struct agent *a, const struct message *m)
{
	if (m->grant.agent == a->incarnation)
		g_queue_push_tail(
		    a->queue, g_memdup2(&m->grant, sizeof(m->grant)));
}

static void
deliver(void)
{
	struct message *m;
	struct agent *a;

	while ((m = g_queue_peek_head(world->messages)) != NULL &&
	    m->due <= world_now()) {
		g_queue_pop_head(world->messages);
		a = &world->agents[m->agent];
		if (a->up && !a->cut[m->node]) {
			if (m->kind == M_PERMIT)
				take_permit(a, m);
			else if (m->kind == M_FENCE)
				take_fence(a, m);
			else
				take_grant(a, m);
		}
		message_free(m);
	}
}

static bool
recorded(const struct agent *a, unsigned task)
{
	guint i;

	for (i = 0; i < a->records->len; i++) {
		if (g_array_index(a->records, unsigned, i) == task)
			return (true);
	}
	return (false);
}

struct report {
	unsigned task;
	uint64_t view;
};

static void
report_arrives(struct cell_node *n, void *arg)
{
	const struct report *r = arg;
	struct entry *e = entry_of(n);
	struct task *t;

	t = world->tasks->pdata[r->task];
	if (e->state[t->partition] == DP_FOREIGN)
		return;
	set_known(e, r->task, K_ENDED);
	t->answered = true;
}

static void
start_task(struct agent *a, const struct grant *g)
{
	struct cell_node *n = &world->cell->nodes[g->node];
	struct report *r;
	struct task *t;
	unsigned i;

	t = world->tasks->pdata[g->task];
	i = (unsigned)(a - world->agents);
	world->started++;
	if (++t->starts > 1)
		cell_violation(world->cell, "task %u is started twice at %llu",
		    g->task, (unsigned long long)world_now());
	if (world->az_out_ms[i] != 0 &&
	    world_now() > world->az_out_ms[i] + ZONE_LIMIT_MS)
		cell_violation(world->cell,
		    "task %u is started at %llu in a zone that is out since "
		    "%llu",
		    g->task, (unsigned long long)world_now(),
		    (unsigned long long)world->az_out_ms[i]);
	g_array_append_val(a->records, g->task);
	if (a->cut[g->node] || n->mb == NULL)
		return;
	r = g_new0(struct report, 1);
	r->task = g->task;
	cell_later(
	    n, SLICE_MS + rn_below(world->rng, 200), report_arrives, r, g_free);
}

/* Starts what is due and permitted; drops what is fenced. */
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
		if (a->fence[g->partition] > g->view || recorded(a, g->task)) {
			g_queue_delete_link(a->queue, l);
			g_free(g);
			continue;
		}
		if (world_now() < g->due_ms || p->incarnation != g->entry ||
		    !p->in_service ||
		    world_now() - p->clock_ms > PERMIT_LIMIT_MS)
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
	t->id.id = g_strdup_printf("order-%u", world->tasks->len);
	t->id.created_ms =
	    wall() + rn_below(world->rng, 2 * CLOCK_ERROR_MS) - CLOCK_ERROR_MS;
	t->partition = pt_partition(&t->id);
	t->start_ms = world_now();
	g_ptr_array_add(world->tasks, t);
}

static void
grant(struct cell_node *n, unsigned task)
{
	struct entry *e = entry_of(n);
	struct task *t = world->tasks->pdata[task];
	struct message *m;
	unsigned i;

	i = rn_below(world->rng, AGENTS);
	if (e->handle[i] == 0 || !mb_verified(n->mb))
		return;
	set_known(e, task, K_GRANTED);
	m = message_new(n->index, i, M_GRANT);
	m->grant.task = task;
	m->grant.partition = t->partition;
	m->grant.view = e->view[t->partition];
	m->grant.agent = e->agent[i];
	m->grant.entry = mb_incarnation(n->mb);
	m->grant.node = n->index;
	m->grant.due_ms = world_now() + rn_below(world->rng, 4) * 700;
	enqueue(m);
}

/* A forwarder hands a task to an entry that takes itself for the owner. */
static void
submit(struct cell_node *n, unsigned task)
{
	struct task *t = world->tasks->pdata[task];
	struct entry *e = entry_of(n);
	unsigned p = t->partition;

	if (e->state[p] != DP_ACTIVE ||
	    t->id.created_ms > wall() + CLOCK_ERROR_MS)
		return;
	switch (known(e, task)) {
	case K_NEW:
		if (!e->complete[p] &&
		    t->id.created_ms <= e->wall[p] + CLOCK_ERROR_MS) {
			world->unknown++;
			t->answered = true;
			set_known(e, task, K_ENDED);
			return;
		}
		grant(n, task);
		break;
	case K_RECORD:
		t->answered = true;
		break;
	default:
		break;
	}
}

static void
submit_all(void)
{
	struct cell_node *n;
	const struct task *t;
	guint i, k;

	for (i = world->oldest; i < world->tasks->len; i++) {
		t = world->tasks->pdata[i];
		if (t->answered || world_now() - t->start_ms > GIVE_UP_MS) {
			if (i == world->oldest)
				world->oldest++;
			continue;
		}
		for (k = 0; k < world->cell->count; k++) {
			n = &world->cell->nodes[k];
			if (n->mb != NULL && !n->frozen)
				submit(n, i);
		}
	}
}

void
world_step(void)
{
	unsigned ms, i;

	world_fault();
	new_task();
	for (ms = 0; ms < STEP_MS; ms += SLICE_MS) {
		cell_run(world->cell, SLICE_MS);
		deliver();
		for (i = 0; i < AGENTS; i++) {
			if (!world->agents[i].up)
				continue;
			beat(i);
			run_queue(&world->agents[i]);
		}
	}
	submit_all();
}

static void
task_free(void *p)
{
	struct task *t = p;

	g_free(t->id.id);
	g_free(t);
}

struct world *
world_new(uint64_t seed, unsigned mb_variant, unsigned tk_variant)
{
	struct world *w;
	unsigned i;

	w = g_new0(struct world, 1);
	world = w;
	w->rng = rn_new(seed);
	w->tk_variant = tk_variant;
	w->messages = g_queue_new();
	w->tasks = g_ptr_array_new_with_free_func(task_free);
	w->zones = g_array_new(FALSE, TRUE, sizeof(unsigned));
	w->cell = cell_new(3 + (unsigned)(seed % 3), seed);
	w->cell->variant = mb_variant;
	w->cell->jitter_ms = 10;
	w->cell->hooks = &hooks;
	for (i = 0; i < AGENTS; i++) {
		snprintf(
		    w->agents[i].name, sizeof(w->agents[i].name), "e%u", i + 1);
		w->agents[i].az = az_names[i];
		w->agents[i].queue = g_queue_new();
		w->agents[i].records =
		    g_array_new(FALSE, FALSE, sizeof(unsigned));
		world_agent_start(i);
	}
	for (i = 0; i < w->cell->count; i++)
		cell_start(w->cell, i);
	return (w);
}

void
world_free(struct world *w)
{
	unsigned i;

	cell_free(w->cell);
	for (i = 0; i < AGENTS; i++) {
		g_queue_free_full(w->agents[i].queue, g_free);
		g_array_free(w->agents[i].records, TRUE);
	}
	g_queue_free_full(w->messages, message_free);
	g_ptr_array_free(w->tasks, TRUE);
	g_array_free(w->zones, TRUE);
	rn_free(w->rng);
	g_free(w);
	world = NULL;
}
