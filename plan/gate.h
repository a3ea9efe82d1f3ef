#ifndef GATE_H
#define GATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pd.h"

/**
 * DOC: ga - gate of an agent: decides which granted tasks start, and when
 *
 * Pure decision logic on one thread. A start is an entry of a task into a
 * slot; one that ends as GA_CONN_REFUSED or GA_PERMIT_EXPIRED counts as none,
 * since nothing was sent to the endpoint. A key starts at most once. Unless the
 * grant is of an idempotent request, a task starts at most once under all its
 * attempts.
 */
struct ga;
struct ck;
struct ct;

/** GA_PERMIT_MAX_AGE_MS - greatest age of the clock reading behind a start */
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
 * @start_by_ms: monotonic time after which the endpoint may not be called any
 *     more, since the permit is too old then; to be checked right before
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
 * struct ga_ops - outputs; must not change the gate
 * @start: run a task; its end is told through ga_call_ended()
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
 * @slots: tasks that run at a time
 * @queue_max: grants that wait for a slot
 * @life_ms: how long a start record is kept after the end of its task
 * @records_bytes: limit of the memory of all start records
 */
struct ga_settings {
	uint64_t incarnation;
	uint64_t started_ms;
	unsigned slots;
	unsigned queue_max;
	uint64_t life_ms;
	size_t records_bytes;
};

/** enum ga_outcome - how the call to the endpoint ended */
enum ga_outcome {
	GA_OK,        /* status 200 */
	GA_REJECTED,  /* status 4xx or an unusable answer: fault of the task */
	GA_ERROR,     /* any other status */
	GA_CONN_LOST, /* the connection broke; the task may have run */
	GA_TIMEOUT,   /* no answer until the deadline; the task may have run */
	GA_CONN_REFUSED,   /* connection refused; the task did not run */
	GA_PERMIT_EXPIRED, /* not called, since start_by_ms had passed */
};

/**
 * ga_new() - gate
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
 * ga_session_opened() - a session with an entry was opened
 * @entry: incarnation of the entry
 *
 * Return: handle, GA_NO_SESSION for an @entry of 0. An older session with
 * the same entry is replaced.
 */
ga_session ga_session_opened(struct ga *g, uint64_t entry);

/** ga_session_closed() - the session ended; its permit keeps ageing */
void ga_session_closed(struct ga *g, ga_session session);

/**
 * ga_entry_replaced() - the process of an entry has ended, since its address is
 * served by a successor. Its queued grants are dropped
 */
void ga_entry_replaced(struct ga *g, uint64_t entry);

/** ga_heartbeat() - fill a heartbeat */
void ga_heartbeat(const struct ga *g, struct pd_heartbeat *out);

/** ga_permit() - answer to a heartbeat */
void ga_permit(struct ga *g, ga_session session, const struct pd_permit *p);

/** ga_grant() - take a grant; it is queued, started or reported back */
void ga_grant(struct ga *g, ga_session session, const struct pd_grant *grant);

/**
 * ga_call_ended() - the call of a slot ended
 * @body: result, consumed, allocated with g_malloc(); may be NULL
 * @body_len: at most PD_BODY_MAX
 */
void ga_call_ended(struct ga *g, unsigned slot, enum ga_outcome end, char *body,
    size_t body_len);

/**
 * ga_resolve() - state of a key; a key that was never seen is voided
 * @out: pointers in it are borrowed from @key and from the gate until the
 *     next call that changes the gate
 */
void ga_resolve(struct ga *g, const struct pd_key *key, struct pd_record *out);

/** ga_cancel() - drop a grant that is still queued, and report that */
void ga_cancel(struct ga *g, const struct pd_key *key);

/**
 * ga_fence() - fence partitions and give a page of their start records
 * @out: its list is borrowed from the gate until the next call that changes
 *     it
 *
 * started_ms of the answer is the time since which the start records are
 * complete: later than the start of the process when some had to be dropped.
 */
void ga_fence(struct ga *g, ga_session session, const struct pd_fence *f,
    struct pd_fence_reply *out);

/** ga_drain() - accept no more grants and return the queued ones */
void ga_drain(struct ga *g);

/** ga_drained() - whether ga_drain() was called and no task runs */
bool ga_drained(const struct ga *g);

/** ga_tick() - deadlines and lifetimes; call every 100 ms */
void ga_tick(struct ga *g);

/** ga_complete_since() - see ga_fence(); ms since the Unix epoch */
uint64_t ga_complete_since(const struct ga *g);

/** struct ga_stats - sizes at this moment */
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

/** ga_stats() - sizes at this moment */
struct ga_stats ga_stats(const struct ga *g);

#endif
