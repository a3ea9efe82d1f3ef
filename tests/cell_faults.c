#include <stdio.h>
#include <string.h>

#include "cell_world.h"

/* Faults. */

static void
change_zone(void)
{
	static const char *const kinds[] = {"az_out", "az_in", "az_in"};
	struct cell_result *r;
	struct cell_node *n;
	char json[128];

	n = &world->cell->nodes[rn_below(world->rng, world->cell->count)];
	if (n->mb == NULL || n->frozen)
		return;
	r = &world->results[world->nresults++ % G_N_ELEMENTS(world->results)];
	snprintf(json, sizeof(json), "{\"kind\":\"%s\",\"az\":\"%s\"}",
	    kinds[rn_below(world->rng, 3)], az_names[rn_below(world->rng, 2)]);
	cell_change(world->cell, n->index, json,
	    rn_below(world->rng, 2) == 0 ? cs_revision(mb_state(n->mb)) : 0, r);
}

static void
fault_node(unsigned i)
{
	struct cell *c = world->cell;
	struct cell_node *n = &c->nodes[i];

	if (n->mb == NULL) {
		cell_start(c, i);
	} else if (n->frozen) {
		cell_wake(c, i);
	} else if (rn_below(world->rng, 2) == 0) {
		cell_freeze(c, i);
	} else {
		cell_kill(c, i);
		if (rn_below(world->rng, 2) == 0)
			cell_start(c, i);
	}
}

static void
fault_link(void)
{
	struct cell *c = world->cell;
	unsigned a, b;

	a = rn_below(world->rng, c->count);
	b = rn_below(world->rng, c->count + AGENTS + 1);
	if (b < c->count) {
		if (a != b)
			cell_cut(c, a, b, !c->cut[a][b]);
	} else if (b < c->count + AGENTS) {
		world->agents[b - c->count].cut[a] =
		    !world->agents[b - c->count].cut[a];
	} else {
		c->nodes[a].platform_cut = !c->nodes[a].platform_cut;
	}
}

static void
fault_platform(void)
{
	static const unsigned delays[] = {2, 5, 100, 300, 480};
	struct cell *c = world->cell;

	switch (rn_below(world->rng, 4)) {
	case 0:
		c->platform_down = !c->platform_down;
		c->platform_refuses = rn_below(world->rng, 2) == 0;
		break;
	case 1:
		c->lose_insert = !c->lose_insert;
		break;
	default:
		c->platform_ms =
		    delays[rn_below(world->rng, G_N_ELEMENTS(delays))];
	}
}

void
world_heal(void)
{
	struct cell *c = world->cell;
	unsigned i;

	c->platform_down = c->lose_insert = false;
	c->platform_ms = 5;
	memset(c->cut, 0, sizeof(c->cut));
	for (i = 0; i < c->count; i++) {
		c->nodes[i].platform_cut = false;
		if (c->nodes[i].frozen)
			cell_wake(c, i);
		if (c->nodes[i].mb == NULL)
			cell_start(c, i);
	}
	for (i = 0; i < AGENTS; i++) {
		memset(world->agents[i].cut, 0, sizeof(world->agents[i].cut));
		if (!world->agents[i].up)
			world_agent_start(i);
	}
}

static void
fault_agent(void)
{
	unsigned i;

	i = rn_below(world->rng, AGENTS);
	if (world->agents[i].up && rn_below(world->rng, 2) == 0)
		world->agents[i].up = false;
	else
		world_agent_start(i);
}

/*
 * Faults that single random faults hardly ever combine to. Each takes several
 * seconds; act() is called once per step with the time since it began.
 */
struct scene {
	void (*act)(unsigned node, uint64_t ms);
	uint64_t ends_ms;
};

static void
cut_node(unsigned node, bool peers, bool platform)
{
	struct cell *c = world->cell;
	unsigned i;

	for (i = 0; i < c->count; i++) {
		if (i != node)
			cell_cut(c, node, i, peers);
	}
	c->nodes[node].platform_cut = platform;
}

/* Cuts an agent off from all entries but one. */
static void
leave_agent_to(unsigned agent, unsigned node, bool cut)
{
	unsigned i;

	for (i = 0; i < world->cell->count; i++)
		world->agents[agent].cut[i] = cut && i != node;
}

/* An owner is removed while it can still read the log, and keeps an agent. */
static void
scene_removed(unsigned node, uint64_t ms)
{
	if (ms == 0)
		cut_node(node, true, false);
	if (ms == 2500)
		leave_agent_to(node % AGENTS, node, true);
	if (ms >= 3000 && ms <= 3600 && rn_below(world->rng, 3) == 0)
		cut_node(node, true, true);
	if (ms == 9000) {
		cut_node(node, false, false);
		leave_agent_to(node % AGENTS, node, false);
	}
}

/* An agent loses its fence in a restart and then hears only the old owner. */
static void
scene_fence_lost(unsigned node, uint64_t ms)
{
	if (ms == 0)
		cut_node(node, true, false);
	if (ms >= 3000 && ms <= 3600 && rn_below(world->rng, 3) == 0)
		cut_node(node, true, true);
	if (ms >= 3000 && ms <= 4200 && rn_below(world->rng, 4) == 0) {
		world_agent_start(node % AGENTS);
		leave_agent_to(node % AGENTS, node, true);
	}
	if (ms == 9000) {
		cut_node(node, false, false);
		leave_agent_to(node % AGENTS, node, false);
	}
}

/* All but one entry restart in an outage; the one missed a change. */
static void
scene_outage(unsigned node, uint64_t ms)
{
	struct cell *c = world->cell;
	unsigned i;

	if (ms == 0)
		cut_node(node, true, true);
	if (ms == 500)
		change_zone();
	if (ms == 2000) {
		c->platform_down = true;
		cut_node(node, false, false);
		for (i = 0; i < c->count; i++) {
			if (i == node)
				continue;
			cell_kill(c, i);
			cell_start(c, i);
		}
	}
	if (ms == 9000)
		c->platform_down = false;
}

/* Two halves; one of them has no platform. */
static void
scene_halves(unsigned node, uint64_t ms)
{
	struct cell *c = world->cell;
	unsigned i, k;

	if (ms != 0 && ms != 9000) {
		if (ms % 1000 == 0)
			change_zone();
		return;
	}
	for (i = 0; i < c->count; i++) {
		c->nodes[i].platform_cut = ms == 0 && (i + node) % 2 == 0;
		for (k = 0; k < c->count; k++) {
			if ((i + k) % 2 != 0)
				cell_cut(c, i, k, ms == 0);
		}
	}
}

static const struct scene scenes[] = {
    {scene_removed, 9000},
    {scene_fence_lost, 9000},
    {scene_outage, 9000},
    {scene_halves, 9000},
};

static bool
play(void)
{
	const struct scene *s = world->scene;

	if (s == NULL)
		return (false);
	s->act(world->scene_node, world->scene_ms);
	world->scene_ms += STEP_MS;
	if (world->scene_ms > s->ends_ms)
		world->scene = NULL;
	return (true);
}

void
world_fault(void)
{
	unsigned what;

	if (play())
		return;

	what = rn_below(world->rng, 1000);
	if (what < 25)
		fault_node(rn_below(world->rng, world->cell->count));
	else if (what < 50)
		fault_link();
	else if (what < 65)
		fault_platform();
	else if (what < 80)
		fault_agent();
	else if (what < 110)
		change_zone();
	else if (what < 120)
		world_heal();
	else if (what < 135) {
		world_heal();
		world->scene =
		    &scenes[rn_below(world->rng, G_N_ELEMENTS(scenes))];
		world->scene_node = rn_below(world->rng, world->cell->count);
		world->scene_ms = 0;
	}
}
