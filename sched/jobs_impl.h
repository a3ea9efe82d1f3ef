#ifndef JOBS_IMPL_H
#define JOBS_IMPL_H

#include <glib.h>

#include "clock.h"
#include "counters.h"
#include "histogram.h"
#include "jobs.h"

/**
 * DOC: jb - parts: jobs.c takes jobs and places tasks, jobs_queue.c learns from
 * the queues, jobs_outcome.c handles reports and ends jobs
 */

/* Declared run times are off by up to 40%: a job is given up only when a run
 * time that much shorter does not fit. */
#define JB_SIZE_BEST 0.6

/* Workers that a task has failed on and that it avoids. */
#define JB_AVOID_MAX 4

/**
 * enum jb_state - state of a task
 * @JB_BLOCKED: a step before it is not done
 * @JB_READY: waits for a worker
 * @JB_GRANTED: at an agent
 * @JB_DOUBTFUL: at an agent that is out of reach
 * @JB_DONE: has ended well
 */
enum jb_state {
	JB_BLOCKED = 0,
	JB_READY,
	JB_GRANTED,
	JB_DOUBTFUL,
	JB_DONE,
};

struct jb_task {
	struct fl_worker *worker;
	struct fl_worker *avoid[JB_AVOID_MAX];
	uint64_t doubt_ms; /* when a doubtful grant runs no more */
	uint64_t cut_ms;   /* when it became doubtful */
	uint16_t step;
	uint16_t index;
	uint16_t attempt;
	uint16_t failures;
	uint16_t returns; /* grants that came back without a start */
	uint8_t navoid;
	uint8_t state;
	bool stopped; /* a run took longer than its limit */
};

/**
 * struct jb_queue - what an entry has learned of a queue
 * @service: whose workers run its jobs
 * @sizes: how much its declared run times tell
 * @level: its priority, as agents tell them apart
 * @slack_ms: time for which its jobs can wait, on average
 * @size_ms: run time that is expected of a task, on average
 * @cpu: thousandths of a core that a task needs, on average
 * @seen_ms: when the last job came
 */
struct jb_queue {
	char *service;
	struct po_sizes sizes;
	unsigned level;
	double slack_ms;
	double size_ms;
	double cpu;
	uint64_t seen_ms;
};

struct jb_job {
	char *id;
	char *queue;
	char *service;
	struct jb_queue *learned; /* of its queue, borrowed */
	char *body;
	size_t body_len;
	char **labels;
	struct jb_step *steps; /* steps of the job */
	struct jb_task *tasks;
	unsigned *declared; /* run times of the steps as declared */
	unsigned *left;     /* tasks of each step that are not done */
	unsigned nsteps;
	unsigned ntasks;
	unsigned ndone;
	unsigned attempts_max;
	unsigned priority;
	uint64_t number;
	uint64_t arrived_ms;
	uint64_t due_ms; /* answer in time */
	uint64_t deadline_ms;
	GArray *waiters; /* uint64_t */
	GArray *trace;   /* struct tr_event */
	bool granted;    /* a task was granted */
	bool started;    /* a task has started, or may have */
	bool over;
};

struct jb {
	const struct ck *clock;
	struct ct *counters;
	struct fl *fleet;
	const struct jb_ops *ops;
	void *arg;
	GHashTable *by_id;     /* id -> struct jb_job, borrowed */
	GHashTable *queues;    /* name -> struct jb_queue, owned */
	GHashTable *by_number; /* number -> struct jb_job, owned */
	struct hg *took;       /* from arrival to answer */
	struct hg *queued;     /* of a task at its agent */
	struct hg *ran;        /* of a task at its endpoint */
	uint64_t last_number;
	double best_unit; /* fl_best_unit() at this tick; 0: not asked yet */
};

/** jb_queues_new() - table for jb.queues, owned */
GHashTable *jb_queues_new(void);

/*
 * Load pattern: declared run times are off by 40% and more. What a queue's
 * tasks took so far tells how much of a declaration to believe.
 */

/** jb_queue_of() - what was learned of a queue, borrowed */
struct jb_queue *jb_queue_of(
    struct jb *j, const char *name, const char *service);

/** jb_queue_learn() - a job came through its queue */
void jb_queue_learn(struct jb *j, const struct jb_job *job);

/*
 * Load pattern: more work than the workers can do. Patient jobs would fill the
 * queues up to what they can bear, and the more urgent ones, which cannot wait
 * as long, would be the ones that are refused. A job is taken only while the
 * more urgent queues find a worker where they wait no longer than they can.
 */

/** jb_crowds_out() - whether to refuse a job for the sake of more urgent ones
 */
bool jb_crowds_out(struct jb *j, struct jb_job *job);

/** jb_chain_ms() - longest chain of expected run times */
uint64_t jb_chain_ms(const struct jb_job *job);

/** jb_need() - what a task needs; borrows from the job */
struct fl_need jb_need(
    const struct jb *j, const struct jb_job *job, const struct jb_task *t);

/** jb_place() - grant the tasks of a job that are ready. Return: whether every
 * one is expected to end by the deadline */
bool jb_place(struct jb *j, struct jb_job *job);

/** jb_note() - keep a decision about a job; @t is NULL for the whole job */
void jb_note(struct jb *j, struct jb_job *job, const struct jb_task *t,
    enum tr_kind kind, const struct fl_worker *w, double a, double b);

/** jb_release() - a task holds no room at its worker any more */
void jb_release(struct jb_job *job, struct jb_task *t);

/** jb_unlock() - make the tasks ready whose steps before are done */
void jb_unlock(struct jb_job *job);

/** jb_finish() - answer a job, stop what it has at agents and free it; @job
 * is consumed */
void jb_finish(struct jb *j, struct jb_job *job, enum jb_status status,
    enum jb_reason reason);

/** jb_give_up() - end a job that cannot be done; @job is consumed */
void jb_give_up(struct jb *j, struct jb_job *job, enum jb_reason reason);

/** jb_returned() - a grant is over without an end that counts; place the task
 * again or give the job up. @job may be consumed */
void jb_returned(struct jb *j, struct jb_job *job, struct jb_task *t);

/** jb_job_free() - free a job */
void jb_job_free(void *job);

#endif
