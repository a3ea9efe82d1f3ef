#include <glib.h>
#include <math.h>
#include <string.h>

#include "quota.h"

/* A job goes first in its lane when its latest start is this near. */
#define URGENT_US 50000
/* Bins of waiting work, by the binary logarithm of the work of the job. */
#define WORK_BINS 32

struct team {
	char *name;
	double weight;
	unsigned max_running;
	unsigned running;
};

/* Flow of the fair queueing: the lanes of one team in one group. */
struct flow {
	struct team *team;
	struct group *group;
	double virtual_ms; /* slot time granted, divided by weight */
	GPtrArray *lanes;
	size_t jobs;
	double work[WORK_BINS]; /* waiting work, by bin of the job */
};

struct group {
	GPtrArray *flows;
	GPtrArray *active; /* flows with jobs */
	double virtual_ms; /* highest of a flow at a grant */
};

struct qu_lane {
	struct flow *flow;
	void *arg;
	struct hp by_rank;
	struct hp by_start;
};

struct qu {
	GHashTable *teams;
	GPtrArray *groups;
};

static void
team_free(gpointer p)
{
	struct team *t = p;

	g_free(t->name);
	g_free(t);
}

static void
lane_free(gpointer p)
{
	struct qu_lane *l = p;

	hp_release(&l->by_rank);
	hp_release(&l->by_start);
	g_free(l);
}

static void
flow_free(gpointer p)
{
	struct flow *f = p;

	g_ptr_array_free(f->lanes, TRUE);
	g_free(f);
}

static void
group_free(gpointer p)
{
	struct group *g = p;

	if (g == NULL)
		return;
	g_ptr_array_free(g->flows, TRUE);
	g_ptr_array_free(g->active, TRUE);
	g_free(g);
}

struct qu *
qu_new(void)
{
	struct qu *q;

	q = g_new0(struct qu, 1);
	q->teams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_free);
	q->groups = g_ptr_array_new_with_free_func(group_free);
	return (q);
}

void
qu_free(struct qu *q)
{
	if (q == NULL)
		return;
	g_ptr_array_free(q->groups, TRUE);
	g_hash_table_destroy(q->teams);
	g_free(q);
}

static struct team *
team_get(struct qu *q, const char *name)
{
	struct team *t;

	t = g_hash_table_lookup(q->teams, name);
	if (t != NULL)
		return (t);
	t = g_new0(struct team, 1);
	t->name = g_strdup(name);
	t->weight = 1;
	g_hash_table_insert(q->teams, t->name, t);
	return (t);
}

void
qu_set_team(
    struct qu *q, const char *name, unsigned weight, unsigned max_running)
{
	struct team *t;

	t = team_get(q, name);
	t->weight = weight > 0 ? weight : 1;
	t->max_running = max_running;
}

static struct group *
group_get(struct qu *q, unsigned number)
{
	struct group *g;

	if (number >= q->groups->len)
		g_ptr_array_set_size(q->groups, (gint)number + 1);
	g = g_ptr_array_index(q->groups, number);
	if (g != NULL)
		return (g);
	g = g_new0(struct group, 1);
	g->flows = g_ptr_array_new_with_free_func(flow_free);
	g->active = g_ptr_array_new();
	g_ptr_array_index(q->groups, number) = g;
	return (g);
}

static struct flow *
flow_get(struct group *g, struct team *t)
{
	struct flow *f;
	guint i;

	for (i = 0; i < g->flows->len; i++) {
		f = g_ptr_array_index(g->flows, i);
		if (f->team == t)
			return (f);
	}
	f = g_new0(struct flow, 1);
	f->team = t;
	f->group = g;
	f->lanes = g_ptr_array_new_with_free_func(lane_free);
	g_ptr_array_add(g->flows, f);
	return (f);
}

struct qu_lane *
qu_lane_new(struct qu *q, unsigned group, const char *team, void *arg)
{
	struct qu_lane *l;

	l = g_new0(struct qu_lane, 1);
	l->flow = flow_get(group_get(q, group), team_get(q, team));
	l->arg = arg;
	g_ptr_array_add(l->flow->lanes, l);
	return (l);
}

void *
qu_lane_arg(const struct qu_lane *l)
{
	return (l->arg);
}

struct qu_job *
qu_lane_first(const struct qu_lane *l)
{
	struct hp_node *n;

	n = hp_first(&l->by_rank);
	return (n != NULL ? hp_item(n, struct qu_job, by_rank) : NULL);
}

static unsigned
work_bin(double work_ms)
{
	int exponent;

	(void)frexp(work_ms, &exponent);
	if (exponent < 0)
		return (0);
	return (exponent < WORK_BINS ? (unsigned)exponent : WORK_BINS - 1);
}

/* A flow gets no credit for the time in which it was idle. */
static void
flow_activate(struct flow *f)
{
	if (f->virtual_ms < f->group->virtual_ms)
		f->virtual_ms = f->group->virtual_ms;
	g_ptr_array_add(f->group->active, f);
}

void
qu_put(struct qu_lane *l, struct qu_job *j, double work_ms, uint64_t rank_us,
    uint64_t start_us)
{
	struct flow *f;

	f = l->flow;
	if (j->lane == NULL) {
		j->lane = l;
		if (f->jobs++ == 0)
			flow_activate(f);
	} else
		f->work[work_bin(j->work_ms)] -= j->work_ms;
	j->work_ms = work_ms;
	f->work[work_bin(work_ms)] += work_ms;
	hp_set(&l->by_rank, &j->by_rank, rank_us);
	hp_set(&l->by_start, &j->by_start, start_us);
}

void
qu_remove(struct qu_job *j)
{
	struct qu_lane *l;
	struct flow *f;

	l = j->lane;
	if (l == NULL)
		return;
	f = l->flow;
	f->work[work_bin(j->work_ms)] -= j->work_ms;
	hp_remove(&l->by_rank, &j->by_rank);
	hp_remove(&l->by_start, &j->by_start);
	j->lane = NULL;
	if (--f->jobs == 0) {
		memset(f->work, 0, sizeof(f->work));
		g_ptr_array_remove_fast(f->group->active, f);
	}
}

static struct qu_job *
lane_next_job(const struct qu_lane *l, uint64_t now_us)
{
	struct hp_node *n;

	n = hp_first(&l->by_start);
	if (n != NULL && n->key < now_us + URGENT_US)
		return (hp_item(n, struct qu_job, by_start));
	return (qu_lane_first(l));
}

static struct qu_job *
flow_next_job(const struct flow *f, uint64_t now_us,
    bool (*fits)(void *arg, struct qu_job *j), void *arg)
{
	struct qu_job *j;
	guint i;

	for (i = 0; i < f->lanes->len; i++) {
		j = lane_next_job(g_ptr_array_index(f->lanes, i), now_us);
		if (j != NULL && fits(arg, j))
			return (j);
	}
	return (NULL);
}

/*
 * Next flow after (@virtual_ms, @index) in the order of (virtual time, index)
 * whose team is below its limit; NULL if there is none.
 */
static struct flow *
next_flow(const struct group *g, double virtual_ms, guint index, guint *found)
{
	struct flow *best, *f;
	guint i;

	best = NULL;
	for (i = 0; i < g->active->len; i++) {
		f = g_ptr_array_index(g->active, i);
		if (f->team->max_running > 0 &&
		    f->team->running >= f->team->max_running)
			continue;
		if (f->virtual_ms < virtual_ms ||
		    (f->virtual_ms == virtual_ms && i <= index))
			continue;
		if (best == NULL || f->virtual_ms < best->virtual_ms) {
			best = f;
			*found = i;
		}
	}
	return (best);
}

struct qu_job *
qu_next(struct qu *q, unsigned group, uint64_t now_us,
    bool (*fits)(void *arg, struct qu_job *j), void *arg)
{
	struct group *g;
	struct flow *f;
	struct qu_job *j;
	double virtual_ms;
	guint index, found;

	g = group_get(q, group);
	virtual_ms = -INFINITY;
	index = 0;
	while ((f = next_flow(g, virtual_ms, index, &found)) != NULL) {
		j = flow_next_job(f, now_us, fits, arg);
		if (j != NULL)
			return (j);
		virtual_ms = f->virtual_ms;
		index = found;
	}
	return (NULL);
}

void
qu_task_granted(struct qu_lane *l, double cost_ms)
{
	struct flow *f;

	f = l->flow;
	f->team->running++;
	if (f->virtual_ms > f->group->virtual_ms)
		f->group->virtual_ms = f->virtual_ms;
	f->virtual_ms += cost_ms / f->team->weight;
}

void
qu_task_ended(struct qu_lane *l, double cost_ms, double used_ms)
{
	l->flow->team->running--;
	l->flow->virtual_ms += (used_ms - cost_ms) / l->flow->team->weight;
}

double
qu_work_ahead_ms(const struct qu_lane *l, double work_ms)
{
	const struct flow *f, *other;
	double ahead, weights;
	unsigned i, own;
	guint k;

	f = l->flow;
	own = work_bin(work_ms);
	ahead = f->work[own] / 2;
	for (i = 0; i < own; i++)
		ahead += f->work[i];
	weights = f->team->weight;
	for (k = 0; k < f->group->active->len; k++) {
		other = g_ptr_array_index(f->group->active, k);
		if (other != f)
			weights += other->team->weight;
	}
	return (ahead * weights / f->team->weight);
}
