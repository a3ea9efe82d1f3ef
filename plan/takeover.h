#ifndef TAKEOVER_H
#define TAKEOVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dispatch.h"
#include "pd.h"

/**
 * DOC: tk - takeover of partitions: fence the agents, gather start records,
 * wait out the old owner, become active
 */
struct tk;

/** TK_PERMIT_WAIT_MS - time after which no permit of a removed owner is valid
 */
#define TK_PERMIT_WAIT_MS 3150
/** TK_GATHER_TIMEOUT_MS - time to wait for agents that can be reached */
#define TK_GATHER_TIMEOUT_MS 2000

/**
 * struct tk_ops - outputs
 * @fence: send FENCE to an agent; the reply comes back through
 *     tk_fence_reply(), a failed call through tk_fence_failed()
 * @record: a gathered record, for dp_gathered()
 * @partition: a state change, for dp_set_partition(); told again when the
 *     records of an active partition become more complete. takeover_wall_ms is
 *     the wall clock time up to which start records may be lost: the takeover
 *     when an agent of the inventory did not answer, else the latest start of
 *     such an agent, since an agent keeps no records across a restart. With
 *     records_complete false, ids created up to clock_error_ms after it are
 *     too old to run; with true no id is
 */
struct tk_ops {
	void (*fence)(void *arg, dp_agent agent, const struct pd_fence *f);
	void (*record)(void *arg, dp_agent agent, const struct pd_record *r);
	void (*partition)(void *arg, unsigned partition,
	    enum dp_partition_state state, uint64_t view, bool records_complete,
	    uint64_t takeover_wall_ms);
};

/** tk_new() - takeover logic; all pointers borrowed */
struct tk *tk_new(
    struct ck *clock, struct ct *counters, const struct tk_ops *ops, void *arg);

/** tk_free() - free; consumed, NULL is allowed */
void tk_free(struct tk *t);

/**
 * tk_configure() - a new revision of the cell state was applied
 * @state: borrowed until the next call
 * @self: incarnation of this entry
 *
 * Called once per revision, in order, so that each change of view is seen.
 */
void tk_configure(struct tk *t, const struct cs *state, uint64_t self);

/** tk_accepted() - highest revision known to be accepted */
void tk_accepted(struct tk *t, uint64_t revision);

/**
 * tk_confirmed() - a member was heard to hold a revision
 * @incarnation: incarnation of the member
 */
void tk_confirmed(struct tk *t, uint64_t incarnation, uint64_t revision);

/** tk_agent_up() - a session with an agent was opened */
void tk_agent_up(struct tk *t, dp_agent agent, const struct pd_hello *h);

/** tk_agent_down() - the session ended */
void tk_agent_down(struct tk *t, dp_agent agent);

/** tk_fence_reply() - answer of an agent; asks for the next page if any */
void tk_fence_reply(struct tk *t, dp_agent agent, const struct pd_fence *asked,
    const struct pd_fence_reply *reply);

/** tk_fence_failed() - the call failed or timed out; it is tried again */
void tk_fence_failed(
    struct tk *t, dp_agent agent, const struct pd_fence *asked);

/** tk_tick() - waits and retries; call every 10 ms */
void tk_tick(struct tk *t);

/** tk_partition_state() - state of a partition */
enum dp_partition_state tk_partition_state(
    const struct tk *t, unsigned partition);

#endif
