#ifndef JOBS_IMPL_H
#define JOBS_IMPL_H

#include <glib.h>

#include "clock.h"
#include "contention.h"
#include "counters.h"
#include "histogram.h"
#include "jobs.h"
#include "runtimes.h"

/**
 * DOC: jb - internals: jobs.c admits jobs and places tasks, jobs_queue.c keeps
 * statistics of the queues, jobs_outcome.c handles reports and ends jobs,
 * jobs_contention.c decides on jobs while capacity is short, jobs_times.c
 * decides by the distribution of run times, jobs_overruns.c finds
 * runs that hang, jobs_withdrawals.c withdraws grants
 */

/* Declared run times are off by up to 40%: a job is given up only if not even a
 * run time 40% shorter fits before the deadline. */
#define JB_MIN_SIZE_FACTOR 0.6

/* A run is stopped after this multiple of the time that it is expected to take.
 */
#define JB_RUN_LIMIT_FACTOR 4.0
/* Shorter limits would stop runs that only wait for the CPU. */
#define JB_RUN_LIMIT_MIN_MS 120
/* Grants of a task that may come back from full queues; the next grant accepts
 * a queue of any length. With many entries that grant on old reports, three or
 * four were not enough to find one of the last free workers in a burst. */
#define JB_RETURNS_MAX 16

/* Workers that a task avoids because it has failed on them. */
#define JB_AVOID_MAX 4

/**
 * enum jb_task_state - state of a task
 * @JB_BLOCKED: a step that it depends on is not done
 * @JB_READY: waits for a worker
 * @JB_GRANTED: granted to an agent
 * @JB_UNREACHABLE: granted to an agent that is now unreachable
 * @JB_DONE: has succeeded
 */
enum jb_task_state {
	JB_BLOCKED = 0,
	JB_READY,
	JB_GRANTED,
	JB_UNREACHABLE,
	JB_DONE,
};

struct jb_task {
	struct fl_worker *worker;
	struct fl_worker *avoid[JB_AVOID_MAX];
	uint64_t unreachable_since_ms;
	uint64_t granted_ms;
	uint16_t step;
	uint16_t index;
	uint16_t attempt;
	uint16_t failures;
	uint16_t returns; /* grants that agents returned without a start */
	uint8_t navoid;
	uint8_t state;
	bool stopped;   /* a run exceeded its limit */
	bool queued;    /* its grant may wait at the agent */
	bool withdrawn; /* the current grant is being stopped for that */
	struct fl_return *returned; /* of the last @nreturned returns, owned */
	uint8_t nreturned;
};

/**
 * struct jb_queue_stats - statistics of a queue, learned from its jobs
 * @service: service whose workers run its jobs
 * @size_model: estimates actual from declared run times
 * @run_times: distribution of the run times; NULL unless it is used
 * @unlikely: number of jobs whose chance to end in time was too small
 * @recent_jobs: number of jobs, halved every few seconds
 * @level: its priority level, see lv_of()
 * @slack_ms: average time that its jobs can wait and still be in time
 * @size_ms: average expected run time of a task
 * @cpu: average CPU of a task, thousandths of a core
 * @last_job_ms: when the last job arrived
 */
struct jb_queue_stats {
	char *service;
	struct po_size_model size_model;
	struct rt *run_times;
	unsigned unlikely;
	unsigned recent_jobs;
	unsigned level;
	double slack_ms;
	double size_ms;
	double cpu;
	uint64_t last_job_ms;
};

struct jb_job {
	char *id;
	char *queue;
	char *service;
	struct jb_queue_stats *queue_stats; /* borrowed */
	char *body;
	size_t body_len;
	char **labels;
	struct jb_step *steps; /* with expected instead of declared run times */
	struct jb_task *tasks;
	unsigned *declared_ms; /* run time of a task of each step as declared */
	unsigned *tasks_left;  /* tasks of each step that are not done */
	double *longest_ms; /* longest run of each step that is done, at ratio 1
			     */
	double chance;      /* to end in time, on arrival; negative: unknown */
	uint64_t checked_ms;    /* when its chance was last computed */
	unsigned sample_weight; /* samples that each of its steps counts as */
	unsigned nsteps;
	unsigned ntasks;
	unsigned ndone;
	unsigned attempts_max;
	unsigned priority;
	uint64_t number;
	uint64_t arrived_ms;
	uint64_t submitted_ms; /* when a client last submitted it */
	uint64_t target_at_ms; /* an answer after this is late */
	uint64_t deadline_ms;
	uint64_t wait_until_ms; /* refused if no task is granted by then */
	GArray *waiters;        /* uint64_t */
	GArray *trace;          /* struct tr_event */
	size_t bytes;           /* part of jb.bytes */
	bool any_granted;       /* a task was granted */
	bool any_started;       /* a task has or may have started */
	bool unlikely;          /* ended since its chance was too small */
	bool probe;             /* runs to its deadline whatever its chance */
	bool run_lost;          /* a run ended without a result */
	double need;            /* expected core-milliseconds of all tasks */
	double declared_need;   /* the same by the declared run times */
	double value; /* cost of refusing it per need, see cc_value() */
	bool waited;  /* the last decision was to wait */
	bool settled; /* it was admitted or turned away */
};

/** struct jb_ended_job - job that has ended, kept for its client's resubmission
 */
struct jb_ended_job {
	char *id;
	enum jb_status status;
	uint64_t ended_ms;
};

/**
 * struct jb_withdrawal - grant that was withdrawn, kept until it expires: the
 * message is lost if the connection to its agent is
 * @worker: borrowed
 * @incarnation: of the agent that has the grant
 * @expires_ms: when the agent ends it by itself
 * @key: with an owned id
 */
struct jb_withdrawal {
	struct fl_worker *worker;
	uint64_t incarnation;
	uint64_t expires_ms;
	struct pd_key key;
};

struct jb {
	const struct ck *clock;
	struct ct *counters;
	struct fl *fleet;
	const struct jb_ops *ops;
	void *arg;
	GHashTable *by_id;     /* id -> struct jb_job, borrowed */
	GHashTable *queues;    /* name -> struct jb_queue_stats, owned */
	GHashTable *by_number; /* number -> struct jb_job, owned */
	GHashTable *ended;     /* id -> struct jb_ended_job, borrowed */
	GQueue ended_order;    /* struct jb_ended_job, owned, oldest first */
	GQueue withdrawals;    /* struct jb_withdrawal, owned, oldest first */
	struct hg *took;       /* time from a job's arrival to its answer */
	struct hg *queued;     /* wait of a task at its agent */
	struct hg *ran;        /* run time of a task at its endpoint */
	uint64_t last_number;
	double best_run_ratio;  /* cached for this tick; 0: not computed yet */
	bool uses_distribution; /* of run times, instead of their mean */
	uint64_t aged_ms;       /* when summaries were last aged */
	size_t bytes;           /* held by all jobs */
	size_t bytes_max;       /* more jobs are refused */
	struct cc *contention;  /* NULL: decisions by slack */
	uint64_t stop_ms;       /* when the process ends, UINT64_MAX: unknown */
};

/** jb_queue_table_new() - create the table for jb.queues; owned */
GHashTable *jb_queue_table_new(void);

/**
 * jb_queue_stats_get() - statistics of a queue, created on first use
 *
 * Declared run times are off by 40% and more; the run times of a queue's
 * earlier tasks tell how far to trust them.
 *
 * Return: borrowed.
 */
struct jb_queue_stats *jb_queue_stats_get(
    struct jb *j, const char *name, const char *service);

/** jb_queue_stats_update() - add a new job to the statistics of its queue */
void jb_queue_stats_update(struct jb *j, const struct jb_job *job);

/**
 * jb_delays_urgent() - whether to refuse a job to keep capacity for more urgent
 * queues
 *
 * Under overload, jobs that can wait long would fill the queues at the workers,
 * and the urgent ones, which cannot wait as long, would be refused. A job is
 * accepted only while more urgent queues have a worker where they wait no
 * longer than their jobs can.
 */
bool jb_delays_urgent(struct jb *j, struct jb_job *job);

/**
 * jb_least_slack_queue() - of the active queues of a service with a level below
 * @end_level, the one whose jobs can wait the shortest time; NULL for none
 */
const struct jb_queue_stats *jb_least_slack_queue(
    const struct jb *j, const char *service, unsigned end_level);

/** jb_contention_arrived() - record the arrival of a job, which was just
 * created; no effect if decisions are by slack */
void jb_contention_arrived(struct jb *j, struct jb_job *job);

/** jb_contention_decide() - whether to admit a job; CC_ADMIT if decisions are
 * by slack */
enum cc_decision jb_contention_decide(struct jb *j, struct jb_job *job);

/** jb_contention_settled() - record once whether a job was admitted */
void jb_contention_settled(struct jb *j, struct jb_job *job, bool admitted);

/** jb_contention_retry_ms() - time after which to submit a job again, at least
 * @least_ms */
unsigned jb_contention_retry_ms(
    struct jb *j, const struct jb_job *job, unsigned least_ms);

/** jb_may_use_free() - whether a job is accepted that would be late on the
 * worker that suits it best, since there is no contention, and another worker
 * has free capacity and can end it by its deadline */
bool jb_may_use_free(const struct jb *j, const struct jb_job *job,
    const struct fl_requirements *req);

/** jb_chance() - probability that a job ends in time, as of its arrival; 1 if
 * it is not known */
double jb_chance(const struct jb_job *job);

/** jb_critical_path_ms() - expected run time of the longest chain of dependent
 * steps */
uint64_t jb_critical_path_ms(const struct jb_job *job);

/** jb_requirements() - requirements of a task; borrows from the job */
struct fl_requirements jb_requirements(
    const struct jb *j, const struct jb_job *job, const struct jb_task *t);

/** jb_admit() - accept, refuse or keep waiting a job without grants. Return:
 * false if it was refused; @job is consumed then */
bool jb_admit(struct jb *j, struct jb_job *job);

/**
 * jb_may_be_elsewhere() - whether another entry may have the job by now
 *
 * An entry that is cut off or paused does not see that a client's connection
 * breaks, and the client then submits its job to another entry. Nor does it see
 * it later: what the client's host has sent meanwhile may be lost. So after a
 * time without contact to its agents, which have stopped its runs, the entry
 * may not grant tasks of the jobs that it held before.
 */
bool jb_may_be_elsewhere(const struct jb *j, const struct jb_job *job);

/** jb_place() - grant the ready tasks of a job. Return: false if the job must
 * be given up: a task is not expected to end by the deadline, or another entry
 * may have the job */
bool jb_place(struct jb *j, struct jb_job *job);

/** jb_trace() - add an event to the trace of a job; @t is NULL for the whole
 * job, @a and @b depend on the kind */
void jb_trace(struct jb *j, struct jb_job *job, const struct jb_task *t,
    enum tr_kind kind, const struct fl_worker *w, double a, double b);

/** jb_release_worker() - release the CPU that a task holds at its worker */
void jb_release_worker(struct jb_job *job, struct jb_task *t);

/** jb_grant_key() - key of the current grant of a task; borrows from the job */
struct pd_key jb_grant_key(const struct jb_job *job, const struct jb_task *t);

/** jb_withdraw() - withdraw the grant of a task, now and each time that its
 * agent reconnects until the deadline of the job */
void jb_withdraw(
    struct jb *j, const struct jb_job *job, const struct jb_task *t);

/** jb_repeat_withdrawals() - withdraw the grants again of an agent that has
 * reconnected */
void jb_repeat_withdrawals(struct jb *j, struct fl_worker *w);

/** jb_withdrawals_free() - forget all withdrawals */
void jb_withdrawals_free(struct jb *j);

/** jb_note_return() - note that the agent of a worker has returned a task */
void jb_note_return(struct jb *j, struct jb_task *t, const struct fl_worker *w);

/**
 * jb_check_overrun() - withdraw a granted task whose run seems to hang, if
 * speeds are pooled
 *
 * A run counts as hanging if other tasks of its step are done and it has taken
 * four times as long as the longest of them, or if its agent reports that no
 * run ends there any more. It is withdrawn only once, and only if a second run
 * could still be in time. A job whose tasks are all long is not stopped.
 */
void jb_check_overrun(
    struct jb *j, const struct jb_job *job, struct jb_task *t, uint64_t now);

/** jb_limit_by_stop() - end a job before the process ends */
void jb_limit_by_stop(const struct jb *j, struct jb_job *job);

/** jb_is_limited_by_stop() - whether a job would have more time in a process
 * that goes on */
bool jb_is_limited_by_stop(const struct jb *j, const struct jb_job *job);

/** jb_unblock_tasks() - make the tasks ready whose dependencies are done */
void jb_unblock_tasks(struct jb_job *job);

/** jb_finish() - answer a job, withdraw its grants and free it; @job is
 * consumed */
void jb_finish(struct jb *j, struct jb_job *job, enum jb_status status,
    enum jb_reason reason);

/** jb_give_up() - end a job that cannot be completed: refused if no task may
 * have started, else given up; @job is consumed */
void jb_give_up(struct jb *j, struct jb_job *job, enum jb_reason reason);

/** jb_retry_task() - place a task again whose grant ended without a result, or
 * give the job up; @job may be consumed */
void jb_retry_task(struct jb *j, struct jb_job *job, struct jb_task *t);

/** jb_remember_ended() - keep the answer of a job that has run, in case its
 * client submits it again; @id is copied */
void jb_remember_ended(struct jb *j, const char *id, enum jb_status status);

/** jb_run_times_new() - distribution for a new queue; NULL if none is used */
struct rt *jb_run_times_new(const struct jb *j);

/** jb_best_run_ratio() - fl_best_run_ratio(), computed once in a tick */
double jb_best_run_ratio(struct jb *j);

/** jb_may_end_at() - whether a task of a step that starts at @w now has a
 * sufficient chance to end by the deadline, or is run to learn how long it
 * takes; false if the chance is unknown */
bool jb_may_end_at(const struct jb *j, const struct jb_job *job, unsigned step,
    const struct fl_worker *w);

/**
 * jb_is_unlikely() - whether to refuse a job since it will hardly end by its
 * deadline, even on the best worker
 *
 * The chance of a job with several steps is taken as that of its longest one,
 * which is an upper bound.
 */
bool jb_is_unlikely(struct jb *j, struct jb_job *job);

/** jb_is_worth_continuing() - whether the chance of a running job is in
 * proportion to the time that its client would wait on */
bool jb_is_worth_continuing(struct jb *j, struct jb_job *job);

/** jb_learn_run() - record a run that is done; call while the worker of the
 * task is still set */
void jb_learn_run(struct jb *j, struct jb_job *job, const struct jb_task *t,
    const struct pd_end *e);

/** jb_learn_step() - learn from a step whose tasks are done */
void jb_learn_step(struct jb_job *job, unsigned step);

/** jb_learn_from_end() - learn from the end of a job; call before its grants
 * are released */
void jb_learn_from_end(struct jb *j, struct jb_job *job, enum jb_status status,
    enum jb_reason reason);

/** jb_age_run_times() - age what other entries have sent; call in each tick */
void jb_age_run_times(struct jb *j);

/** jb_job_free() - free a job */
void jb_job_free(void *job);

#endif
