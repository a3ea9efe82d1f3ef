#ifndef TRACE_H
#define TRACE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: tr - trace events of a job, kept until it ends
 *
 * They are logged for jobs that fail or are late, and for a sample of the
 * others, so that the log explains each failure at a bounded volume.
 */

/** enum tr_kind - kind of an event: a decision of the entry or a report of an
 * agent; a and b are the values of struct tr_event */
enum tr_kind {
	TR_TAKEN = 0,    /* job arrived; a: ms to target, b: ms to deadline */
	TR_LIMITS,       /* a: ms that the client waits, 0 if it does not say,
			    b: time-out of the queue in ms */
	TR_CROWDED,      /* job would delay more urgent queues; a: ms that their
			    tasks would wait, b: ms that they may */
	TR_GRANTED,      /* a: expected ms until the end, b: CPU in use there */
	TR_NO_WORKER,    /* no worker can take the task now */
	TR_TOO_LATE,     /* a: expected ms until the end, b: ms to deadline */
	TR_DONE,         /* a: ms in the agent's queue, b: ms of the run */
	TR_FAILED,       /* a, b: as TR_DONE */
	TR_STOPPED,      /* run exceeded its limit; a, b: as TR_DONE */
	TR_LOST,         /* run ended without a result; a, b: as TR_DONE */
	TR_RETURNED,     /* agent did not start the task; a, b: as TR_DONE */
	TR_DOUBTFUL,     /* agent is unreachable; a: ms since its heartbeat */
	TR_HOPELESS,     /* unreachable run cannot be replaced in time; a: ms
			    until it has ended for sure, b: ms to deadline */
	TR_DROPPED,      /* the lease of an unreachable run has ended */
	TR_RESTARTED,    /* agent has restarted, so the run has ended */
	TR_CONTACT_LOST, /* entry was without contact to its agents */
	TR_UNLIKELY,     /* the chance to end in time is too small; a: declared
			    ms, b: chance in thousandths */
	TR_SHED,         /* capacity is short, and the job is below the price;
			    a: price, b: its cost per need, in thousandths per
			    core-second */
	TR_MAX,
};

/**
 * struct tr_event - an event of a job
 * @at_ms: time since the job arrived
 * @kind: what was decided or reported
 * @task: number of the task; 0 if the event is of the whole job
 * @attempt: number of the grant of the task; 0 likewise
 * @worker: name, borrowed for the life of the fleet; NULL for none
 * @a: value that depends on @kind
 * @b: value that depends on @kind
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

/** TR_EVENTS_MAX - events kept per job; later ones are dropped */
#define TR_EVENTS_MAX 400

/** tr_name() - name of a kind in logs, never NULL */
const char *tr_name(enum tr_kind kind);

/** tr_is_problem() - whether an event of this kind may make a job fail or be
 * late */
bool tr_is_problem(enum tr_kind kind);

/** tr_problem_text() - problem that an event of this name in a log stands for;
 * NULL if it is none */
const char *tr_problem_text(const char *name);

/** tr_field_a() - name of tr_event.a in logs; NULL if it is not used */
const char *tr_field_a(enum tr_kind kind);

/** tr_field_b() - the same for tr_event.b */
const char *tr_field_b(enum tr_kind kind);

#endif
