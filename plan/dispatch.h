#ifndef DISPATCH_H
#define DISPATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pd.h"

/**
 * DOC: dp - dispatcher of an entry: submissions, grants, results and answers
 *
 * Decision logic without I/O, for one thread. Input arrives through the
 * functions below, output goes through struct dp_ops.
 */
struct dp;
struct ck;
struct ct;
struct cs;
struct hi;
struct po_ops;

/** dp_agent - handle of an agent's session, from dp_agent_up() */
typedef uint64_t dp_agent;

/**
 * struct dp_ops - outputs; pointers are valid during the call only
 * @grant: send one grant; the caller batches those of one event loop pass
 * @cancel: cancel a grant that may still be queued at the agent
 * @resolve: ask an agent for the state of keys; answered by dp_report() for
 *     each key
 * @answer: final answer for a waiter, exactly once per waiter
 */
struct dp_ops {
	void (*grant)(void *arg, dp_agent agent, const struct pd_grant *g);
	void (*cancel)(void *arg, dp_agent agent, const struct pd_key *k);
	void (*resolve)(
	    void *arg, dp_agent agent, const struct pd_key *keys, size_t n);
	void (*answer)(void *arg, uint64_t waiter, const struct pd_answer *a);
};

/**
 * enum dp_partition_state - what this entry may do with a partition
 * @DP_FOREIGN: another entry owns it; submissions get PD_NOT_OWNER
 * @DP_GATHERING: owned, but start records are still being collected;
 *     submissions wait and nothing is granted
 * @DP_ACTIVE: owned; submissions run
 */
enum dp_partition_state {
	DP_FOREIGN = 0,
	DP_GATHERING,
	DP_ACTIVE,
};

/**
 * struct dp_settings - limits
 * @retention_ms: how long after created_ms an answer is kept
 * @clock_error_ms: bound on wall clock differences: half for a client's clock,
 *     half for the difference between two entries
 * @submissions_max: submissions kept in the table; more are refused "overload"
 * @queue_tasks_max: tasks that wait at the entry; more are refused "overload"
 * @seed: seed of the random generator
 */
struct dp_settings {
	uint64_t retention_ms;
	uint64_t clock_error_ms;
	size_t submissions_max;
	size_t queue_tasks_max;
	uint64_t seed;
};

/**
 * dp_new() - create a dispatcher
 * @clock: clock, borrowed
 * @counters: registry, borrowed
 * @history: event lists for explain, borrowed; NULL for none
 * @policy: policy table, borrowed
 * @settings: limits, copied
 * @ops: outputs, borrowed
 * @arg: passed to @ops
 */
struct dp *dp_new(struct ck *clock, struct ct *counters, struct hi *history,
    const struct po_ops *policy, const struct dp_settings *settings,
    const struct dp_ops *ops, void *arg);

/** dp_free() - free a dispatcher without answering waiters; consumed */
void dp_free(struct dp *d);

/**
 * dp_configure() - apply a new revision of the cell state
 * @state: borrowed until the next dp_configure()
 */
void dp_configure(struct dp *d, const struct cs *state);

/**
 * dp_set_verified() - set until when this entry counts as verified
 * @until_ms: monotonic milliseconds, exclusive; 0 when it is not verified
 *
 * The end is set in advance, so that a process that resumes after a pause does
 * not rely on a verification that lapsed meanwhile. While the entry is not
 * verified the dispatcher grants nothing and answers nothing with "not run",
 * since another entry may own its partitions by now.
 */
void dp_set_verified(struct dp *d, uint64_t until_ms);

/**
 * dp_set_partition() - set the state of a partition
 * @view: view under which grants of the partition are made
 * @records_complete: whether the gathered start records are complete
 * @takeover_wall_ms: wall clock time of the takeover; ids created up to
 *     clock_error_ms after it may be older than the takeover. 0 when the
 *     partition never had another owner
 *
 * A change to DP_FOREIGN, or from DP_ACTIVE to DP_GATHERING, answers all
 * waiters of the partition with PD_NOT_OWNER and forgets its submissions.
 */
void dp_set_partition(struct dp *d, unsigned partition,
    enum dp_partition_state state, uint64_t view, bool records_complete,
    uint64_t takeover_wall_ms);

/**
 * dp_gathered_record() - add a start record that was gathered at a takeover
 * @agent: agent that sent the record; PL_NONE when it is not connected
 */
void dp_gathered_record(
    struct dp *d, dp_agent agent, const struct pd_record *r);

/**
 * dp_submit() - accept a submission or attach a waiter to a known one
 * @s: submission, copied as needed
 * @waiter: number chosen by the caller; 0 for none
 *
 * The answer may come before the function returns.
 */
void dp_submit(struct dp *d, const struct pd_submit *s, uint64_t waiter);

/**
 * dp_lookup() - get the answer of a submission, or attach a waiter to it
 * @cancel: withdraw the tasks that have not started
 * @waiter: number chosen by the caller. Gets PD_NOT_FOUND at once when the
 *     submission is unknown
 */
void dp_lookup(
    struct dp *d, const struct pd_id *id, bool cancel, uint64_t waiter);

/** dp_detach() - remove a waiter; its submission continues */
void dp_detach(struct dp *d, uint64_t waiter);

/**
 * dp_agent_up() - a session with an agent was opened by its HELLO
 *
 * Nothing is sent to the agent before the function returns.
 */
dp_agent dp_agent_up(struct dp *d, const struct pd_hello *h);

/**
 * dp_agent_load() - update the load of an agent, from a heartbeat or a report
 */
void dp_agent_load(struct dp *d, dp_agent agent, unsigned running,
    unsigned queued, enum pd_health health, bool draining);

/**
 * dp_agent_down() - the session with an agent ended
 *
 * Grants without a result are resolved when the same incarnation reconnects.
 * When another incarnation connects, or at the deadline, their outcome is
 * unknown. Tasks of idempotent requests are retried at once.
 */
void dp_agent_down(struct dp *d, dp_agent agent);

/** dp_report() - state of a task, from its agent; ignored when stale */
void dp_report(struct dp *d, dp_agent agent, const struct pd_record *r);

/** dp_tick() - handle deadlines, overdue grants and expiry; call every 10 ms */
void dp_tick(struct dp *d);

/** struct dp_stats - current number of submissions and tasks */
struct dp_stats {
	size_t submissions; /* in the table, with or without answer */
	size_t pending;     /* without answer */
	size_t queued;      /* tasks waiting at the entry */
	size_t granted;     /* tasks granted without result */
};

/** dp_stats() - current number of submissions and tasks */
struct dp_stats dp_stats(const struct dp *d);

/** struct dp_endpoint_info - state of an endpoint as known to the entry */
struct dp_endpoint_info {
	const char *name; /* borrowed */
	const char *az;   /* borrowed */
	const char *service;
	bool connected;
	bool in_service;
	bool draining;
	enum pd_health health;
	unsigned slots;
	unsigned running;
	unsigned queued;
	unsigned outstanding; /* own grants without result */
	double speed; /* learned: size of a task divided by its run time */
};

/** dp_endpoints() - call @visit for each known endpoint */
void dp_endpoints(const struct dp *d,
    void (*visit)(void *arg, const struct dp_endpoint_info *info), void *arg);

#endif
