#ifndef FLEET_H
#define FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pd.h"
#include "policy.h"

/**
 * DOC: fl - the workers as an entry sees them: room, learned speed, health,
 * and the choice of one for a task
 *
 * Answers the load patterns "workers of unequal speed", "a worker turns slow"
 * and "a worker fails all that it starts".
 */
struct fl;
struct cf;
struct ck;
struct ct;

/** FL_FAILURES_MAX - failures in a row, of more than one job, after which a
 * worker gets probes only */
#define FL_FAILURES_MAX 3

/**
 * struct fl_worker - a worker; it stays in the table when its agent is away
 * @name: name of its agent
 * @session: number of the connection to its agent, 0 for none
 * @incarnation: of its agent
 * @cpu: room, thousandths of a core; 0 while its endpoint is unknown
 * @cpu_others: room taken by work of other entries, from the last report
 * @cpu_own: room taken by grants of this entry
 * @cpu_queued: room of the tasks that wait, by level, from the last report
 * @accepting: takes new work
 * @clock_offset_ms: agent's clock minus the clock of this entry, low by the
 *     time that a message takes
 * @answered_ms: when this entry last answered a heartbeat
 * @seen_ms: when the last heartbeat came
 * @speed: learned run time per declared one
 * @failures: failures in a row
 * @failed_job: job of the last one
 * @ejected: gets probes only
 * @probe_ms: time of the next one
 */
struct fl_worker {
	char *name;
	char *az;
	char *service;
	char *labels;
	uint64_t session;
	uint64_t incarnation;
	unsigned cpu;
	unsigned mem_mb;
	unsigned cpu_others;
	unsigned cpu_own;
	unsigned cpu_queued[PD_LEVELS];
	bool accepting;
	int64_t clock_offset_ms;
	uint64_t answered_ms;
	uint64_t seen_ms;
	struct po_speed speed;
	unsigned failures;
	uint64_t failed_job;
	bool ejected;
	uint64_t probe_ms;
};

/**
 * struct fl_need - what a task needs
 * @service: service whose workers may run it
 * @label: label that the worker must have, "" for none
 * @cpu: thousandths of a core
 * @priority: of its queue, 0 goes first
 * @size_ms: declared run time
 * @left_ms: time in which it should end; 0 or less: none
 * @avoid: workers that this task has failed on, or NULL
 * @navoid: number of them
 */
struct fl_need {
	const char *service;
	const char *label;
	unsigned cpu;
	unsigned mem_mb;
	unsigned priority;
	double size_ms;
	double left_ms;
	struct fl_worker *const *avoid;
	unsigned navoid;
};

/**
 * fl_new() - no workers
 * @config: borrowed; tells which availability zones get no work
 * @seed: of random choices
 */
struct fl *fl_new(const struct ck *clock, struct ct *counters,
    const struct cf *config, uint64_t seed);

/** fl_free() - consumed, NULL is allowed */
void fl_free(struct fl *f);

/**
 * fl_attach() - heartbeat of an agent
 * @session: number of its connection
 * @restarted: set when the agent is a new process: nothing of its predecessor
 *     runs any more
 *
 * Return: the worker, borrowed for the life of @f.
 */
struct fl_worker *fl_attach(
    struct fl *f, const struct pd_attach *a, uint64_t session, bool *restarted);

/** fl_detach() - a connection ended. Return: its worker, NULL if unknown */
struct fl_worker *fl_detach(struct fl *f, uint64_t session);

/** fl_find_by_session() - worker of a connection, NULL if unknown */
struct fl_worker *fl_find_by_session(const struct fl *f, uint64_t session);

/**
 * fl_load() - an agent reported its load
 * @cpu_ending: room of grants that the report ends; they are in cpu_own still
 */
void fl_load(
    struct fl_worker *w, const struct pd_load *load, unsigned cpu_ending);

/**
 * fl_choose() - worker for a task: it ends there soon, and delays others little
 * @finish_ms: set to the expected time until it ends
 *
 * Return: NULL when no worker may run the task now.
 */
struct fl_worker *fl_choose(
    struct fl *f, const struct fl_need *need, double *finish_ms);

/**
 * fl_queue() - room that may wait at a worker before a grant of @cpu, as far as
 * known, with some allowance for what has come meanwhile
 * @priority: less urgent tasks do not count
 */
unsigned fl_queue(const struct fl_worker *w, unsigned cpu, unsigned priority);

/** fl_possible() - whether some worker, free or not, may run the task */
bool fl_possible(const struct fl *f, const struct fl_need *need);

/** fl_take() - a task was granted */
void fl_take(struct fl *f, struct fl_worker *w, unsigned cpu);

/** fl_release() - a grant is over */
void fl_release(struct fl_worker *w, unsigned cpu);

/** fl_done() - a task of @size_ms ran for @run_ms */
void fl_done(struct fl *f, struct fl_worker *w, double size_ms, double run_ms);

/** fl_failed() - a task of @job failed or stood still on the worker */
void fl_failed(struct fl *f, struct fl_worker *w, uint64_t job);

/** fl_unit() - expected run time per declared one */
double fl_unit(const struct fl *f, const struct fl_worker *w);

/** fl_best_unit() - the lowest fl_unit() of the workers that take work; 1 when
 * there is none */
double fl_best_unit(const struct fl *f);

/** fl_usable_count() - workers that take work now */
unsigned fl_usable_count(const struct fl *f);

/**
 * fl_is_warming_up() - whether this entry has just started, or has just woken
 * up, so that agents are about to be heard
 */
bool fl_is_warming_up(struct fl *f);

/** fl_tick() - notice that time was lost; call at least every 100 ms */
void fl_tick(struct fl *f);

/** fl_each() - visit all workers */
void fl_each(
    struct fl *f, void (*visit)(void *arg, struct fl_worker *w), void *arg);

#endif
