#ifndef JOBS_H
#define JOBS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet.h"
#include "pd.h"
#include "trace.h"

/**
 * DOC: jb - transient jobs of an entry: what is taken, where each task runs,
 * what is given up, and the answer
 *
 * A transient job is kept in memory by the entry that took it, and its answer
 * is given when it has ended. It may run again from the start when its entry
 * is lost, but never twice at the same time: nothing of it runs once its
 * deadline has passed, or once its agents have lost the entry.
 */
struct jb;
struct jb_job;
struct ck;
struct ct;

/** JB_STEPS_MAX - steps of a job */
#define JB_STEPS_MAX 64
/** JB_AFTER_MAX - steps that a step may wait for */
#define JB_AFTER_MAX 8

/**
 * struct jb_step - tasks that are alike
 * @count: number of tasks
 * @cpu: thousandths of a core that each needs
 * @mem_mb: memory that each needs
 * @size_ms: declared run time, a rough one
 * @label: label that the worker must have, "" for none; borrowed
 * @after: numbers of earlier steps that must be done first
 * @nafter: number of them
 */
struct jb_step {
	unsigned count;
	unsigned cpu;
	unsigned mem_mb;
	unsigned size_ms;
	const char *label;
	unsigned after[JB_AFTER_MAX];
	unsigned nafter;
};

/**
 * struct jb_request - a job as it arrives; all is copied as needed
 * @id: chosen by the client
 * @queue: queue that it came through
 * @deadline_ms: time that the client waits
 * @body: what the endpoint gets with each task
 */
struct jb_request {
	const char *id;
	const struct pd_queue *queue;
	unsigned deadline_ms;
	const struct jb_step *steps;
	unsigned nsteps;
	const char *body;
	size_t body_len;
};

/**
 * enum jb_status - how a job ended
 * @JB_COMPLETED: every task is done
 * @JB_FAILED: a task has failed as often as it may
 * @JB_REFUSED: no task has started, and none will
 * @JB_GAVE_UP: it cannot end in time, and a task has started
 * @JB_CANCELLED: the client withdrew it
 */
enum jb_status {
	JB_COMPLETED = 0,
	JB_FAILED,
	JB_REFUSED,
	JB_GAVE_UP,
	JB_CANCELLED,
};

/** enum jb_reason - why a job was refused or given up */
enum jb_reason {
	JB_R_NONE = 0,
	JB_R_NO_WORKER, /* none takes work now */
	JB_R_NO_ROOM,   /* no worker is large enough */
	JB_R_OVERLOAD,  /* the expected wait is longer than the deadline */
	JB_R_DEADLINE,  /* it cannot end in time any more */
	JB_R_ATTEMPTS,  /* a task failed as often as it may */
	JB_R_CLIENT,    /* the client withdrew it or is gone */
	JB_R_STOPPING,  /* the entry is being stopped */
	JB_R_MAX,
};

/** jb_status_name() - text of a status, never NULL */
const char *jb_status_name(enum jb_status s);

/** jb_reason_name() - text of a reason, never NULL */
const char *jb_reason_name(enum jb_reason r);

/**
 * struct jb_answer - answer to a job
 * @retry_ms: when a refused job is worth another try; 0: unknown
 * @took_ms: time since it arrived
 * @late_ms: time by which it is late; 0: in time
 * @queue: name of its queue, borrowed
 * @trace: decisions about it, borrowed; none when it was not taken
 * @ntrace: number of them
 */
struct jb_answer {
	const char *id; /* borrowed */
	enum jb_status status;
	enum jb_reason reason;
	unsigned retry_ms;
	unsigned took_ms;
	unsigned late_ms;
	const char *queue;
	const struct tr_event *trace;
	unsigned ntrace;
};

/**
 * struct jb_ops - outputs; must not call back into the jobs
 * @start: grant a task to the agent of a worker
 * @withdraw: stop a granted task, or take it back
 * @reconcile: ask an agent about grants; answered through jb_grants_ended()
 * @answer: answer of a job, once for each waiter
 * @ended: a job has ended, after its answers
 */
struct jb_ops {
	void (*start)(void *arg, struct fl_worker *w, const struct pd_start *s);
	void (*withdraw)(
	    void *arg, struct fl_worker *w, const struct pd_key *k);
	void (*reconcile)(void *arg, struct fl_worker *w,
	    const struct pd_key *keys, unsigned n);
	void (*answer)(void *arg, uint64_t waiter, const struct jb_answer *a);
	void (*ended)(void *arg, const struct jb_answer *a);
};

/**
 * jb_new() - no jobs
 * @fleet: borrowed
 * @ops: borrowed
 */
struct jb *jb_new(const struct ck *clock, struct ct *counters, struct fl *fleet,
    const struct jb_ops *ops, void *arg);

/** jb_free() - forget all jobs without answers; consumed, NULL is allowed */
void jb_free(struct jb *j);

/**
 * jb_submit() - take or refuse a job; a job that is known gets one more waiter
 * @waiter: number of the caller, from which jb_ops.answer tells it
 */
void jb_submit(struct jb *j, const struct jb_request *r, uint64_t waiter);

/** jb_remove_waiter() - the caller is gone; its job ends with its last waiter
 */
void jb_remove_waiter(struct jb *j, uint64_t waiter);

/** jb_cancel() - withdraw a job. Return: whether it was known and running */
bool jb_cancel(struct jb *j, const char *id);

/** jb_grants_ended() - an agent reported the end of grants, and its load */
void jb_grants_ended(
    struct jb *j, struct fl_worker *w, const struct pd_ended *e);

/** jb_attached() - a connection to an agent opened
 * @restarted: its predecessor's tasks do not run any more */
void jb_attached(struct jb *j, struct fl_worker *w, bool restarted);

/** jb_detached() - the connection to an agent ended */
void jb_detached(struct jb *j, struct fl_worker *w);

/** jb_tick() - deadlines, lost agents, tasks that wait; call each 20 ms */
void jb_tick(struct jb *j);

/** jb_active_count() - jobs without an answer */
unsigned jb_active_count(const struct jb *j);

/** jb_waiting_count() - jobs of a queue of which no task has been granted */
unsigned jb_waiting_count(const struct jb *j, const char *queue);

#endif
