#include <stdio.h>
#include <string.h>

#include "cell_sim.h"

static void
write_random_az_change(void)
{
	static const char *const kinds[] = {"az_out", "az_in", "az_in"};
	struct cell_result *r;
	struct cell_node *n;
	char json[128];

	n = &sim->cell->nodes[rn_below(sim->rng, sim->cell->count)];
	if (n->mb == NULL || n->frozen)
		return;
	r = &sim->results[sim->nresults++ % G_N_ELEMENTS(sim->results)];
	snprintf(json, sizeof(json), "{\"kind\":\"%s\",\"az\":\"%s\"}",
	    kinds[rn_below(sim->rng, 3)], az_names[rn_below(sim->rng, 2)]);
	cell_write_change(sim->cell, n->index, json,
	    rn_below(sim->rng, 2) == 0 ? cs_revision(mb_state(n->mb)) : 0, r);
}

static void
inject_node_fault(unsigned i)
{
	struct cell *c = sim->cell;
	struct cell_node *n = &c->nodes[i];

	if (n->mb == NULL) {
		cell_start(c, i);
	} else if (n->frozen) {
		cell_resume(c, i);
	} else if (rn_below(sim->rng, 2) == 0) {
		cell_freeze(c, i);
	} else {
		cell_kill(c, i);
		if (rn_below(sim->rng, 2) == 0)
			cell_start(c, i);
	}
}

static void
inject_link_fault(void)
{
	struct cell *c = sim->cell;
	unsigned a, b;

	a = rn_below(sim->rng, c->count);
	b = rn_below(sim->rng, c->count + SIM_AGENTS + 1);
	if (b < c->count) {
		if (a != b)
			cell_set_cut(c, a, b, !c->cut[a][b]);
	} else if (b < c->count + SIM_AGENTS) {
		sim->agents[b - c->count].cut[a] =
		    !sim->agents[b - c->count].cut[a];
	} else {
		c->nodes[a].platform_cut = !c->nodes[a].platform_cut;
	}
}

static void
inject_platform_fault(void)
{
	static const unsigned delays[] = {2, 5, 100, 300, 480};
	struct cell *c = sim->cell;

	switch (rn_below(sim->rng, 4)) {
	case 0:
		c->platform_down = !c->platform_down;
		c->platform_fails_fast = rn_below(sim->rng, 2) == 0;
		break;
	case 1:
		c->lose_insert_answers = !c->lose_insert_answers;
		break;
	default:
		c->platform_delay_ms =
		    delays[rn_below(sim->rng, G_N_ELEMENTS(delays))];
	}
}

void
sim_heal(void)
{
	struct cell *c = sim->cell;
	unsigned i;

	c->platform_down = c->lose_insert_answers = false;
	c->platform_delay_ms = 5;
	memset(c->cut, 0, sizeof(c->cut));
	for (i = 0; i < c->count; i++) {
		c->nodes[i].platform_cut = false;
		if (c->nodes[i].frozen)
			cell_resume(c, i);
		if (c->nodes[i].mb == NULL)
			cell_start(c, i);
	}
	for (i = 0; i < SIM_AGENTS; i++) {
		memset(sim->agents[i].cut, 0, sizeof(sim->agents[i].cut));
		if (!sim->agents[i].up)
			sim_start_agent(i);
	}
}

static void
inject_agent_fault(void)
{
	unsigned i;

	i = rn_below(sim->rng, SIM_AGENTS);
	if (sim->agents[i].up && rn_below(sim->rng, 2) == 0)
		sim->agents[i].up = false;
	else
		sim_start_agent(i);
}

/*
 * A combination of faults that independent random faults hardly ever produce.
 * act() is called once per step with the time since the start.
 */
struct scenario {
	void (*act)(unsigned node, uint64_t ms);
	uint64_t ends_ms;
};

static void
set_node_cuts(unsigned node, bool peers, bool platform)
{
	struct cell *c = sim->cell;
	unsigned i;

	for (i = 0; i < c->count; i++) {
		if (i != node)
			cell_set_cut(c, node, i, peers);
	}
	c->nodes[node].platform_cut = platform;
}

/* Cuts an agent off from all entries but one, or ends that. */
static void
cut_agent_from_others(unsigned agent, unsigned node, bool cut)
{
	unsigned i;

	for (i = 0; i < sim->cell->count; i++)
		sim->agents[agent].cut[i] = cut && i != node;
}

/* An owner is removed while it still reads the log and one agent can reach only
 * this entry. */
static void
scenario_owner_removed(unsigned node, uint64_t ms)
{
	if (ms == 0)
		set_node_cuts(node, true, false);
	if (ms == 2500)
		cut_agent_from_others(node % SIM_AGENTS, node, true);
	if (ms >= 3000 && ms <= 3600 && rn_below(sim->rng, 3) == 0)
		set_node_cuts(node, true, true);
	if (ms == 9000) {
		set_node_cuts(node, false, false);
		cut_agent_from_others(node % SIM_AGENTS, node, false);
	}
}

/* An agent loses its fence by a restart and then reaches only the old owner. */
static void
scenario_fence_lost(unsigned node, uint64_t ms)
{
	if (ms == 0)
		set_node_cuts(node, true, false);
	if (ms >= 3000 && ms <= 3600 && rn_below(sim->rng, 3) == 0)
		set_node_cuts(node, true, true);
	if (ms >= 3000 && ms <= 4200 && rn_below(sim->rng, 4) == 0) {
		sim_start_agent(node % SIM_AGENTS);
		cut_agent_from_others(node % SIM_AGENTS, node, true);
	}
	if (ms == 9000) {
		set_node_cuts(node, false, false);
		cut_agent_from_others(node % SIM_AGENTS, node, false);
	}
}

/* All entries but one restart in an outage; the other one lacks a change. */
static void
scenario_restart_in_outage(unsigned node, uint64_t ms)
{
	struct cell *c = sim->cell;
	unsigned i;

	if (ms == 0)
		set_node_cuts(node, true, true);
	if (ms == 500)
		write_random_az_change();
	if (ms == 2000) {
		c->platform_down = true;
		set_node_cuts(node, false, false);
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

/* The network splits in two halves, one of them without the platform. */
static void
scenario_split_in_half(unsigned node, uint64_t ms)
{
	struct cell *c = sim->cell;
	unsigned i, k;

	if (ms != 0 && ms != 9000) {
		if (ms % 1000 == 0)
			write_random_az_change();
		return;
	}
	for (i = 0; i < c->count; i++) {
		c->nodes[i].platform_cut = ms == 0 && (i + node) % 2 == 0;
		for (k = 0; k < c->count; k++) {
			if ((i + k) % 2 != 0)
				cell_set_cut(c, i, k, ms == 0);
		}
	}
}

static const struct scenario scenarios[] = {
    {scenario_owner_removed, 9000},
    {scenario_fence_lost, 9000},
    {scenario_restart_in_outage, 9000},
    {scenario_split_in_half, 9000},
};

static bool
run_scenario(void)
{
	const struct scenario *s = sim->scenario;

	if (s == NULL)
		return (false);
	s->act(sim->scenario_node, sim->scenario_ms);
	sim->scenario_ms += STEP_MS;
	if (sim->scenario_ms > s->ends_ms)
		sim->scenario = NULL;
	return (true);
}

void
sim_inject_fault(void)
{
	unsigned what;

	if (run_scenario())
		return;

	what = rn_below(sim->rng, 1000);
	if (what < 25)
		inject_node_fault(rn_below(sim->rng, sim->cell->count));
	else if (what < 50)
		inject_link_fault();
	else if (what < 65)
		inject_platform_fault();
	else if (what < 80)
		inject_agent_fault();
	else if (what < 110)
		write_random_az_change();
	else if (what < 120)
		sim_heal();
	else if (what < 135) {
		sim_heal();
		sim->scenario =
		    &scenarios[rn_below(sim->rng, G_N_ELEMENTS(scenarios))];
		sim->scenario_node = rn_below(sim->rng, sim->cell->count);
		sim->scenario_ms = 0;
	}
}
