#ifndef TAKEOVER_H
#define TAKEOVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dispatch.h"
#include "pd.h"

/**
 * DOC: tk - takeover of partitions
 *
 * An entry that becomes the owner of a partition fences the agents, gathers
 * their start records and waits until no former owner can start tasks any more.
 * Then it activates the partition.
 */
struct tk;

/**
 * TK_PERMIT_WAIT_MS - time after which no permit of a removed owner is valid,
 * from the moment when its removal is known to be accepted
 */
#define TK_PERMIT_WAIT_MS 3150
/**
 * TK_GATHER_TIMEOUT_MS - time after which a takeover no longer waits for agents
 * that do not answer
 */
#define TK_GATHER_TIMEOUT_MS 2000

/**
 * struct tk_ops - outputs
 * @fence: send FENCE to an agent; the reply is passed to tk_fence_reply(), a
 *     failed call to tk_fence_failed()
 * @record: a gathered start record, for dp_gathered_record()
 * @partition: the state of a partition, for dp_set_partition(); called when the
 *     state changes and when the records of an active partition become more
 *     complete. takeover_wall_ms is the wall clock time up to which start
 *     records may be lost: the time of the takeover when an agent of the
 *     inventory did not answer, else the latest start of such an agent, since
 *     an agent keeps no records across a restart. Unless records_complete is
 *     set, ids created up to clock_error_ms after it are too old to run
 */
struct tk_ops {
	void (*fence)(void *arg, dp_agent agent, const struct pd_fence *f);
	void (*record)(void *arg, dp_agent agent, const struct pd_record *r);
	void (*partition)(void *arg, unsigned partition,
	    enum dp_partition_state state, uint64_t view, bool records_complete,
	    uint64_t takeover_wall_ms);
};

/** tk_new() - no state yet, no partition owned; all pointers are borrowed */
struct tk *tk_new(
    struct ck *clock, struct ct *counters, const struct tk_ops *ops, void *arg);

/** tk_free() - free; consumed, NULL is allowed */
void tk_free(struct tk *t);

/**
 * tk_configure() - a new revision of the cell state was applied
 * @state: borrowed until the next call
 * @self: incarnation of this entry
 *
 * Call it for each revision in order. After a gap in which the view changed,
 * any entry may have owned any partition, and the full wait applies to each.
 */
void tk_configure(struct tk *t, const struct cs *state, uint64_t self);

/** tk_accepted() - changes up to a revision are known to be accepted */
void tk_accepted(struct tk *t, uint64_t revision);

/**
 * tk_confirmed() - a member is known to hold a revision
 * @incarnation: incarnation of the member
 */
void tk_confirmed(struct tk *t, uint64_t incarnation, uint64_t revision);

/**
 * tk_agent_is_replaced() - whether a HELLO is of a process whose successor is
 * connected
 *
 * Two processes of an agent may be up together. If each could end the session
 * of the other one, no task of either would get its result. The records of the
 * process count as not known from now on.
 */
bool tk_agent_is_replaced(struct tk *t, const struct pd_hello *h);

/** tk_agent_up() - a session with an agent was opened */
void tk_agent_up(struct tk *t, dp_agent agent, const struct pd_hello *h);

/** tk_agent_down() - the session ended */
void tk_agent_down(struct tk *t, dp_agent agent);

/** tk_fence_reply() - reply to a fence; requests the next page, if any */
void tk_fence_reply(struct tk *t, dp_agent agent, const struct pd_fence *asked,
    const struct pd_fence_reply *reply);

/** tk_fence_failed() - the call failed or timed out; it is retried */
void tk_fence_failed(
    struct tk *t, dp_agent agent, const struct pd_fence *asked);

/** tk_tick() - process timeouts and retries; call every 10 ms */
void tk_tick(struct tk *t);

/** tk_partition_state() - state of a partition */
enum dp_partition_state tk_partition_state(
    const struct tk *t, unsigned partition);

#endif
