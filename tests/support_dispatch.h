#ifndef SUPPORT_DISPATCH_H
#define SUPPORT_DISPATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "counters.h"
#include "dispatch.h"
#include "history.h"
#include "pool.h"
#include "support_state.h"

/**
 * DOC: sd - dispatcher on a manual clock, with recorded outputs
 */

/** SD_WALL_MS - wall clock at the start */
#define SD_WALL_MS 1767225600000ULL

/** struct sd_grant - a recorded grant, cancellation or RESOLVE key */
struct sd_grant {
	dp_agent agent;
	char id[PD_ID_MAX + 1];
	struct pd_grant grant; /* key.sub.id points to id; no body or team */
	char body[64];
};

/** struct sd_answer - a recorded answer */
struct sd_answer {
	uint64_t waiter;
	char id[PD_ID_MAX + 1];
	pd_status_code status;
	char reason[PD_NAME_MAX + 1];
	char detail[PD_TEXT_MAX + 1];
	bool not_run;
	unsigned nresults;
	char first[64]; /* results[0] */
	char last[64];  /* results[nresults - 1] */
};

/** struct sd - fixture */
struct sd {
	struct ck *clock;
	struct ct *counters;
	struct hi *history;
	struct cs *state;
	struct dp *dp;
	GPtrArray *grants;   /* struct sd_grant */
	GPtrArray *cancels;  /* struct sd_grant, key only */
	GPtrArray *resolves; /* struct sd_grant, key only */
	GPtrArray *answers;  /* struct sd_answer */
};

/**
 * sd_new() - verified dispatcher that owns all partitions; the state has a team
 * "lids" and no endpoints
 */
struct sd *sd_new(const char *policy);

/** sd_new_limited() - like sd_new(), with other settings */
struct sd *sd_new_limited(
    const char *policy, const struct dp_settings *settings);

/** sd_free() - free the fixture; consumed */
void sd_free(struct sd *x);

/** sd_add_endpoint() - add an endpoint of "order-desk" to the inventory */
void sd_add_endpoint(struct sd *x, const char *name, const char *az);

/** sd_connect_agent() - HELLO of an agent with 8 slots and a queue of 8 */
dp_agent sd_connect_agent(struct sd *x, const char *name, uint64_t incarnation);

/** sd_add_agents() - add @n endpoints e0, e1, ... and connect their agents */
void sd_add_agents(struct sd *x, unsigned n, dp_agent *agents);

/** sd_submit() - submit @ntasks tasks of 100 ms with bodies "ID/INDEX" */
void sd_submit(struct sd *x, const char *id, unsigned ntasks,
    unsigned deadline_ms, uint64_t waiter);

/** sd_submit_as() - like sd_submit(), but @change edits the submission first */
void sd_submit_as(struct sd *x, const char *id, unsigned ntasks,
    unsigned deadline_ms, uint64_t waiter, void (*change)(struct pd_submit *s));

/** sd_submit_request() - submit an idempotent request of one task */
void sd_submit_request(
    struct sd *x, const char *id, unsigned deadline_ms, uint64_t waiter);

/** sd_lookup() - look a submission up or cancel it */
void sd_lookup(struct sd *x, const char *id, bool cancel, uint64_t waiter);

/** sd_report() - report the state of a granted task; result "r:BODY" if done */
void sd_report(struct sd *x, const struct sd_grant *g, pd_task_state state,
    pd_reason reason, unsigned run_ms);

/** sd_finish() - report success of the recorded grants from index @first on */
void sd_finish(struct sd *x, unsigned first, unsigned run_ms);

/** sd_advance() - advance the clock with a tick every 10 ms */
void sd_advance(struct sd *x, unsigned ms);

/** sd_grant() - recorded grant by index; fails the test if there is none */
const struct sd_grant *sd_grant(const struct sd *x, unsigned index);

/** sd_answer() - recorded answer by index; fails the test if there is none */
const struct sd_answer *sd_answer(const struct sd *x, unsigned index);

/** sd_answer_to() - the only answer to a waiter; fails if not exactly one */
const struct sd_answer *sd_answer_to(const struct sd *x, uint64_t waiter);

/** sd_set_partitions() - set the state of all partitions */
void sd_set_partitions(struct sd *x, enum dp_partition_state state,
    uint64_t view, bool complete, uint64_t takeover_ms);

#endif
