#ifndef TRACE_H
#define TRACE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: tr - decisions about one job, kept until it ends
 *
 * They are told for jobs that end badly or late, and for a sample of the
 * others, so that the log explains each failure at a bounded volume.
 */

/** enum tr_kind - a decision or a report */
enum tr_kind {
	TR_TAKEN = 0, /* a: ms until it is late, b: ms until its deadline */
	TR_CROWDED,   /* a: ms that a more urgent task waits, b: ms it may */
	TR_GRANTED,   /* a: expected ms until the end, b: load of the worker */
	TR_NO_WORKER, /* no worker takes the task now */
	TR_TOO_LATE,  /* a: expected ms until the end, b: ms that are left */
	TR_DONE,      /* a: ms in the agent's queue, b: ms of the run */
	TR_FAILED,    /* the same */
	TR_STOPPED,   /* the same: the run took longer than its limit */
	TR_LOST,      /* the same: the run ended without a result */
	TR_RETURNED,  /* the same: the agent did not start it */
	TR_DOUBTFUL,  /* its agent is out of reach; a: ms since it was heard */
	TR_HOPELESS,  /* a: ms until its run has surely ended, b: ms left */
	TR_DROPPED,   /* the lease of a doubtful run has ended */
	TR_RESTARTED, /* its agent has restarted, so the run has ended */
	TR_MAX,
};

/**
 * struct tr_event - one step
 * @at_ms: time since the job arrived
 * @kind: what was decided or reported
 * @task: number of the task
 * @attempt: number of its grant
 * @worker: name, borrowed for the life of the fleet; NULL for none
 * @a: see enum tr_kind
 * @b: see enum tr_kind
 */
struct tr_event {
	uint32_t at_ms;
	enum tr_kind kind;
	uint16_t task;
	uint16_t attempt;
	const char *worker;
	int32_t a;
	int32_t b;
};

/** TR_EVENTS_MAX - steps kept of a job; of more, the first ones */
#define TR_EVENTS_MAX 400

/** tr_name() - text of a kind, never NULL */
const char *tr_name(enum tr_kind kind);

/** tr_is_problem() - whether a step makes a job late or ends it badly */
bool tr_is_problem(enum tr_kind kind);

/** tr_problem_text() - why a step of this name in a log is one; NULL if it is
 * not */
const char *tr_problem_text(const char *name);

/** tr_field_a() - what tr_event.a holds, as a name in logs; NULL for nothing */
const char *tr_field_a(enum tr_kind kind);

/** tr_field_b() - the same for tr_event.b */
const char *tr_field_b(enum tr_kind kind);

#endif
