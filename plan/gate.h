#ifndef GATE_H
#define GATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pd.h"

/**
 * DOC: ga - gate of an agent: admits, queues and starts granted tasks
 *
 * Pure decision logic on one thread. A task starts when it is assigned to a
 * slot. A start that ends as GA_CONN_REFUSED or GA_PERMIT_EXPIRED doesn't
 * count, since nothing was sent to the endpoint. Each key starts at most once.
 * A task starts at most once over all its attempts, unless its submission is
 * idempotent and has only this task.
 */
struct ga;
struct ck;
struct ct;

/** GA_PERMIT_MAX_AGE_MS - validity of a permit after the clock reading in it */
#define GA_PERMIT_MAX_AGE_MS 1650
/** GA_PAGE_BYTES - approximate limit of one page of start records */
#define GA_PAGE_BYTES 1048576

/** ga_session - handle of a session with an entry; GA_NO_SESSION is none */
typedef uint64_t ga_session;
#define GA_NO_SESSION ((ga_session)0)

/**
 * struct ga_task - a task to run
 * @slot: free slot that it occupies until ga_call_ended()
 * @key: borrowed during the call
 * @start_by_ms: monotonic time at which the permit expires; the caller checks
 *     it right before it calls the endpoint
 * @timeout_ms: time left until its deadline, at least 1
 * @body: request; consumed, released with g_free(); may be NULL
 * @body_len: bytes at @body
 */
struct ga_task {
	unsigned slot;
	struct pd_key key;
	uint64_t start_by_ms;
	unsigned timeout_ms;
	char *body;
	size_t body_len;
};

/**
 * struct ga_ops - callbacks; they must not change the gate
 * @start: run a task; the caller calls ga_call_ended() when it ends
 * @report: send a state to an entry; the record is borrowed during the call
 */
struct ga_ops {
	void (*start)(void *arg, const struct ga_task *task);
	void (*report)(
	    void *arg, ga_session session, const struct pd_record *r);
};

/**
 * struct ga_settings - identity and limits
 * @incarnation: of this agent process
 * @started_ms: wall clock at process start, ms since the Unix epoch
 * @slots: number of tasks that run at a time
 * @queue_max: maximum number of grants that wait for a slot
 * @retention_ms: how long a start record is kept after the end of its task
 * @records_bytes: memory limit for all start records
 */
struct ga_settings {
	uint64_t incarnation;
	uint64_t started_ms;
	unsigned slots;
	unsigned queue_max;
	uint64_t retention_ms;
	size_t records_bytes;
};

/** enum ga_outcome - how the call to the endpoint ended */
enum ga_outcome {
	GA_OK,        /* status 200 */
	GA_REJECTED,  /* status 4xx or an unusable answer, caused by the task */
	GA_ERROR,     /* any other status */
	GA_CONN_LOST, /* connection lost; the task may have run */
	GA_TIMEOUT,   /* no answer before the deadline; the task may have run */
	GA_CONN_REFUSED,   /* connection refused; the task did not run */
	GA_PERMIT_EXPIRED, /* not called: start_by_ms had passed */
};

/**
 * ga_new() - create a gate
 * @clock: borrowed
 * @counters: borrowed
 * @settings: copied
 * @ops: borrowed
 * @arg: passed to @ops
 */
struct ga *ga_new(struct ck *clock, struct ct *counters,
    const struct ga_settings *settings, const struct ga_ops *ops, void *arg);

/** ga_free() - free a gate; consumed, NULL is allowed */
void ga_free(struct ga *g);

/**
 * ga_session_opened() - register a new session with an entry
 * @entry: incarnation of the entry
 *
 * Return: handle, GA_NO_SESSION for an @entry of 0. An older session with
 * the same entry is replaced.
 */
ga_session ga_session_opened(struct ga *g, uint64_t entry);

/**
 * ga_session_closed() - end a session
 *
 * The permit of the entry stays valid until it expires.
 */
void ga_session_closed(struct ga *g, ga_session session);

/**
 * ga_entry_replaced() - drop the queued grants of an entry that has ended
 *
 * To be called when another process serves its address.
 */
void ga_entry_replaced(struct ga *g, uint64_t entry);

/** ga_heartbeat() - fill a heartbeat */
void ga_heartbeat(const struct ga *g, struct pd_heartbeat *out);

/** ga_permit() - process the answer to a heartbeat */
void ga_permit(struct ga *g, ga_session session, const struct pd_permit *p);

/** ga_grant() - queue, start or refuse a grant; a refusal is reported */
void ga_grant(struct ga *g, ga_session session, const struct pd_grant *grant);

/**
 * ga_call_ended() - record the end of a slot's call to the endpoint
 * @body: result, consumed, allocated with g_malloc(); may be NULL
 * @body_len: at most PD_BODY_MAX
 */
void ga_call_ended(struct ga *g, unsigned slot, enum ga_outcome outcome,
    char *body, size_t body_len);

/**
 * ga_resolve() - state of a key
 * @out: pointers in it are borrowed from @key and from the gate until the
 *     next call that changes the gate
 *
 * A key without a record is voided, so that a late grant for it doesn't start.
 * If its record may have been dropped, or the task has started under another
 * attempt, its state is PD_OUTCOME_UNKNOWN instead.
 */
void ga_resolve(struct ga *g, const struct pd_key *key, struct pd_record *out);

/** ga_cancel() - drop and report a grant that is still queued */
void ga_cancel(struct ga *g, const struct pd_key *key);

/**
 * ga_fence() - fence partitions and return a page of their start records
 * @out: its list is borrowed from the gate until the next call that changes
 *     it
 *
 * Refused if one of the partitions is fenced by a newer view. started_ms of
 * the answer is ga_complete_since().
 */
void ga_fence(struct ga *g, ga_session session, const struct pd_fence *f,
    struct pd_fence_reply *out);

/** ga_drain() - refuse new grants and report the queued ones as not started */
void ga_drain(struct ga *g);

/** ga_drained() - whether ga_drain() was called and no task runs */
bool ga_drained(const struct ga *g);

/** ga_tick() - apply deadlines and record lifetimes; call every 100 ms */
void ga_tick(struct ga *g);

/**
 * ga_complete_since() - created_ms from which on no start record is missing
 *
 * Return: ms since the Unix epoch; later than the start of the process if
 * records of ids created since then were dropped.
 */
uint64_t ga_complete_since(const struct ga *g);

/** struct ga_stats - current sizes and state, and totals of dropped data */
struct ga_stats {
	unsigned running;
	unsigned queued;
	size_t records;
	size_t record_bytes;
	uint64_t bodies_dropped;
	uint64_t records_dropped;
	uint64_t revision;
	bool in_service;
	enum pd_health health;
};

/** ga_stats() - current figures */
struct ga_stats ga_stats(const struct ga *g);

#endif
