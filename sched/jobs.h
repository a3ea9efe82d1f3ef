#ifndef JOBS_H
#define JOBS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet.h"
#include "pd.h"
#include "trace.h"

/**
 * DOC: jb - transient jobs of an entry: admission, placement of tasks, giving
 * up, and answers
 *
 * A transient job is kept only in the memory of the entry that accepted it, and
 * is answered when it has ended. If the entry is lost, the client may submit
 * the job again and it runs from the start. It never runs twice at the same
 * time: its tasks are stopped when its deadline has passed, or when their
 * agents have lost contact to the entry, and an entry that has lost contact to
 * its agents grants no task of a job that it has accepted before.
 */
struct jb;
struct jb_job;
struct ck;
struct ct;

/** JB_STEPS_MAX - steps of a job */
#define JB_STEPS_MAX 64
/** JB_AFTER_MAX - steps that a step may depend on */
#define JB_AFTER_MAX 8

/**
 * struct jb_step - a group of tasks with the same requirements
 * @count: number of tasks
 * @cpu: thousandths of a core per task
 * @mem_mb: memory per task
 * @size_ms: declared run time of a task, a rough estimate
 * @label: label that the worker must have, "" for none; borrowed
 * @after: indices of the earlier steps that it depends on
 * @nafter: number of @after
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
 * struct jb_request - a submitted job; copied by jb_submit()
 * @id: chosen by the client
 * @queue: queue that it was submitted to
 * @deadline_ms: time that the client waits, 0 if it does not say
 * @body: sent to the endpoint with each task
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
 * jb_limit_ms() - time from its arrival after which a job is given up: as long
 * as its client waits, or the time-out of its queue if the client does not say
 */
unsigned jb_limit_ms(const struct jb_request *r);

/**
 * enum jb_status - how a job ended
 * @JB_COMPLETED: every task is done
 * @JB_FAILED: a task has used up its attempts
 * @JB_REFUSED: no task has started, and none will
 * @JB_GAVE_UP: it cannot end in time, and a task has or may have started
 * @JB_CANCELLED: the client withdrew it or disconnected
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
	JB_R_NO_WORKER, /* no suitable worker is usable now */
	JB_R_NO_ROOM,   /* no worker meets the requirements of a task */
	JB_R_OVERLOAD,  /* the expected wait is too long */
	JB_R_DEADLINE,  /* it cannot end in time any more */
	JB_R_ATTEMPTS,  /* a task has used up its attempts */
	JB_R_CLIENT,    /* the client withdrew it or disconnected */
	JB_R_STOPPING,  /* the entry is shutting down */
	JB_R_CONTACT,   /* its client may have submitted it elsewhere */
	JB_R_MEMORY,    /* the entry has no memory for it */
	JB_R_MAX,
};

/** jb_status_name() - name of a status in logs and metrics, never NULL */
const char *jb_status_name(enum jb_status s);

/** jb_reason_name() - name of a reason in answers, logs and metrics, never
 * NULL */
const char *jb_reason_name(enum jb_reason r);

/**
 * struct jb_answer - answer to a job
 * @retry_ms: time after which to submit a refused job again; 0: unknown
 * @took_ms: time from its arrival to the answer
 * @late_ms: time by which it missed the target of its queue; 0: in time
 * @queue: name of its queue, borrowed
 * @trace: events of the job, borrowed; none if refused because the entry holds
 *     too many jobs
 * @ntrace: number of @trace
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
 * struct jb_ops - callbacks; must not call functions of this module
 * @start: grant a task to the agent of a worker
 * @withdraw: stop a granted task, or take it back if it has not started
 * @take_back: take granted tasks back that have not started; the others go on
 * @reconcile: ask an agent for the state of grants; answered through
 *     jb_grants_ended()
 * @answer: send the answer of a job, called once for each waiter
 * @ended: a job has ended; called after its answers
 */
struct jb_ops {
	void (*start)(void *arg, struct fl_worker *w, const struct pd_start *s);
	void (*withdraw)(
	    void *arg, struct fl_worker *w, const struct pd_key *k);
	void (*take_back)(void *arg, struct fl_worker *w,
	    const struct pd_key *keys, unsigned n);
	void (*reconcile)(void *arg, struct fl_worker *w,
	    const struct pd_key *keys, unsigned n);
	void (*answer)(void *arg, uint64_t waiter, const struct jb_answer *a);
	void (*ended)(void *arg, const struct jb_answer *a);
};

/**
 * jb_new() - create an empty set of jobs
 * @fleet: borrowed
 * @ops: borrowed
 */
struct jb *jb_new(const struct ck *clock, struct ct *counters, struct fl *fleet,
    const struct jb_ops *ops, void *arg);

/** jb_set_run_times() - whether to decide by the distribution of the run times
 * of a queue instead of their mean, see runtimes.h; call before the first job
 */
void jb_set_run_times(struct jb *j, bool distribution);

/**
 * jb_export_run_times() - what this entry has learned of the run times of its
 * most active queues
 * @list: filled; its content is released with jb_free_run_times()
 *
 * Return: number of summaries, at most @max.
 */
unsigned jb_export_run_times(
    const struct jb *j, struct pd_run_times *list, unsigned max);

/** jb_free_run_times() - free the content of a list */
void jb_free_run_times(struct pd_run_times *list, unsigned n);

/** jb_merge_run_times() - use the summaries of another entry; those that cannot
 * be right are counted and ignored */
void jb_merge_run_times(struct jb *j, const char *sender,
    const struct pd_run_times *list, unsigned n);
/** jb_set_memory() - limit of jb_memory() beyond which jobs are refused, bytes;
 * without a call there is none */
void jb_set_memory(struct jb *j, size_t bytes_max);

/** jb_memory() - bytes that the jobs hold with their tasks and texts */
size_t jb_memory(const struct jb *j);
/**
 * jb_admit_by_value() - decide by cost per need which jobs are turned away
 * while capacity is short (admission.contention = "value", see contention.h);
 * call before the first job
 */
void jb_admit_by_value(struct jb *j);

/** jb_contention_price() - lowest cost per core-second of need that is
 * admitted; 0 without contention */
double jb_contention_price(const struct jb *j);

/**
 * jb_stop_at() - the process ends at a time of the clock, milliseconds
 *
 * Jobs that have not ended by then are given up, so that their clients get an
 * answer. New ones that would hardly end are refused, to be submitted
 * elsewhere.
 */
void jb_stop_at(struct jb *j, uint64_t at_ms);

/** jb_free() - drop all jobs without answers; consumed, NULL is allowed */
void jb_free(struct jb *j);

/**
 * jb_submit() - accept or refuse a job; if its id is known, add a waiter to the
 * existing job, or repeat the answer of one that has run and ended lately
 * @waiter: number of the caller, passed to jb_ops.answer
 */
void jb_submit(struct jb *j, const struct jb_request *r, uint64_t waiter);

/** jb_remove_waiter() - handle the disconnect of a caller; cancels its job if
 * no other caller waits for it */
void jb_remove_waiter(struct jb *j, uint64_t waiter);

/** jb_cancel() - cancel a job. Return: false if no such job is active */
bool jb_cancel(struct jb *j, const char *id);

/** jb_is_active() - whether this entry has the job */
bool jb_is_active(const struct jb *j, const char *id);

/**
 * jb_release() - give up a job that its client has submitted to another entry
 *
 * Return: whether a task of it may still run, at most for LE_UNREACHABLE_MS.
 */
bool jb_release(struct jb *j, const char *id);

/** jb_grants_ended() - handle a report of an agent: ended grants and its load
 */
void jb_grants_ended(
    struct jb *j, struct fl_worker *w, const struct pd_ended *e);

/** jb_attached() - handle a new connection to an agent
 * @restarted: it is a new process, and no task of its predecessor runs */
void jb_attached(struct jb *j, struct fl_worker *w, bool restarted);

/** jb_detached() - handle the end of the connection to an agent */
void jb_detached(struct jb *j, struct fl_worker *w);

/** jb_zones_changed() - take back the tasks that have not started in an
 * availability zone that is out; call when a configuration is in force */
void jb_zones_changed(struct jb *j);

/** jb_tick() - check deadlines and unreachable agents, place ready tasks; call
 * every 20 ms */
void jb_tick(struct jb *j);

/** jb_active_count() - number of jobs that are not answered yet */
unsigned jb_active_count(const struct jb *j);

/** jb_waiting_count() - number of jobs of a queue without any granted task */
unsigned jb_waiting_count(const struct jb *j, const char *queue);

/**
 * jb_waiting_counts() - jb_waiting_count() of each queue that has such jobs
 *
 * Return: table of queue names, borrowed until a job ends, to numbers of jobs
 * as GUINT_TO_POINTER(); released with g_hash_table_destroy().
 */
GHashTable *jb_waiting_counts(const struct jb *j);

#endif
