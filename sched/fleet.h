#ifndef FLEET_H
#define FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "worker_health.h"
#include "pd.h"

/**
 * DOC: fl - fleet: the workers known to an entry with their capacity, learned
 * speed and health, and the choice of a worker for a task
 *
 * Handles workers of unequal speed, workers that become slow, and workers that
 * fail every task.
 */
struct fl;
struct cf;
struct ck;
struct ct;

/**
 * struct fl_worker - a worker; kept when its agent disconnects
 * @name: name of its agent
 * @session: number of the connection to its agent, 0 for none
 * @incarnation: of its agent
 * @started_ms: wall clock at the start of its agent
 * @labels: ended by NULL
 * @endpoint: identifies its endpoint as it was last described, see pd_attach
 * @cpu: capacity, thousandths of a core; 0 while its endpoint is unknown
 * @cpu_others: CPU used by tasks of other entries, as of the last report
 * @cpu_own: CPU used by grants of this entry
 * @cpu_used: CPU of the started tasks, as of the last report
 * @cpu_queued: CPU of the queued tasks by level, as of the last report
 * @accepting: accepts new tasks
 * @zone: state of its zone as its agent has heard, from any entry
 * @clock_offset_ms: agent's clock minus this entry's clock, too low by the
 *     time that a message takes
 * @heartbeat_reply_ms: when this entry last replied to a heartbeat
 * @heartbeat_ms: when the last heartbeat arrived
 * @queried_ms: when its agent was last asked for the state of its grants
 * @service_workers: connected workers of its service
 * @label_workers: connected workers that have its rarest label
 * @reported: what its agent has learned from the tasks of all entries
 * @own: what this entry has learned from its own tasks
 * @reports: number of reports that have come from its agent
 * @kind: number of its service and labels, 0 if there are too many
 * @ratio: run ratio by pooled speeds
 * @ratio_error: standard error of the logarithm of @ratio
 */
struct fl_worker {
	char *name;
	char *az;
	char *service;
	char **labels;
	uint64_t session;
	uint64_t incarnation;
	uint64_t started_ms;
	uint64_t endpoint;
	unsigned cpu;
	unsigned mem_mb;
	unsigned cpu_others;
	unsigned cpu_own;
	unsigned cpu_used;
	unsigned cpu_queued[PD_LEVELS];
	bool accepting;
	enum pd_zone_state zone;
	int64_t clock_offset_ms;
	uint64_t heartbeat_reply_ms;
	uint64_t heartbeat_ms;
	uint64_t queried_ms;
	unsigned service_workers;
	unsigned label_workers;
	struct pd_speed reported;
	struct wh own;
	uint32_t reports;
	unsigned kind;
	double ratio;
	double ratio_error;
};

/**
 * struct fl_return - return of a grant by an agent
 * @worker: borrowed
 * @reports: its reports at the time
 */
struct fl_return {
	const struct fl_worker *worker;
	uint32_t reports;
};

/**
 * struct fl_placing - how workers are chosen
 * @pooled: by speeds that are compared over the fleet, see speeds.h; else by
 *     the speed of each worker alone
 * @only_equal: by pooled speeds only while the workers are found to be equally
 *     fast
 * @az: availability zone of this entry, NULL if unknown; preferred by pooled
 *     speeds
 */
struct fl_placing {
	bool pooled;
	bool only_equal;
	const char *az;
};

/**
 * struct fl_requirements - what a task requires of a worker
 * @service: service whose workers may run it
 * @label: label that the worker must have, "" for none
 * @cpu: thousandths of a core
 * @priority: of its queue, 0 is the most urgent
 * @size_ms: run time on a worker of ratio 1
 * @left_ms: time in which it should end; 0 or less: already late
 * @deadline_left_ms: time after which its end is useless
 * @avoid: workers that this task has failed on, or NULL
 * @navoid: number of @avoid
 * @returned: returns of the task, which are not repeated with pooled speeds
 *     until a newer report has come; or NULL
 * @nreturned: number of @returned
 */
struct fl_requirements {
	const char *service;
	const char *label;
	unsigned cpu;
	unsigned mem_mb;
	unsigned priority;
	double size_ms;
	double left_ms;
	double deadline_left_ms;
	struct fl_worker *const *avoid;
	unsigned navoid;
	const struct fl_return *returned;
	unsigned nreturned;
};

/**
 * fl_new() - create a fleet without workers
 * @config: borrowed; lists the evacuated availability zones
 * @seed: of random choices
 */
struct fl *fl_new(const struct ck *clock, struct ct *counters,
    const struct cf *config, uint64_t seed);

/** fl_set_placing() - set how workers are chosen; @p is copied. Without it they
 * are chosen by individual speeds. */
void fl_set_placing(struct fl *f, const struct fl_placing *p);

/** fl_is_pooled() - whether workers are chosen by pooled speeds now */
bool fl_is_pooled(const struct fl *f);

/** fl_free() - consumed, NULL is allowed */
void fl_free(struct fl *f);

/**
 * fl_attach() - handle a heartbeat of an agent
 * @session: number of its connection
 * @restarted: set to whether the agent is a new process, which ensures that
 *     no task of its predecessor runs any more
 *
 * Return: the worker, borrowed for the life of @f; NULL if another process of
 * the agent that started later has attached, whose tasks may still run.
 */
struct fl_worker *fl_attach(
    struct fl *f, const struct pd_attach *a, uint64_t session, bool *restarted);

/**
 * fl_renew() - handle a heartbeat that does not describe the worker
 * @clock_ms: clock of the agent
 */
void fl_renew(struct fl *f, struct fl_worker *w, const struct pd_load *load,
    uint64_t clock_ms);

/** fl_detach() - handle the end of a connection. Return: its worker, NULL if
 * unknown */
struct fl_worker *fl_detach(struct fl *f, uint64_t session);

/** fl_session_of() - connection of an agent, 0 for none */
uint64_t fl_session_of(const struct fl *f, const char *name);

/** fl_is_evacuated() - whether nothing may start at a worker since its
 * availability zone is out, as this entry or its agent has heard */
bool fl_is_evacuated(const struct fl *f, const struct fl_worker *w);

/** fl_find_by_session() - worker of a connection. Return: NULL if unknown */
struct fl_worker *fl_find_by_session(const struct fl *f, uint64_t session);

/**
 * fl_update_load() - record the load that an agent reported
 * @cpu_ending: CPU of grants that the report ends, still included in cpu_own
 */
void fl_update_load(struct fl *f, struct fl_worker *w,
    const struct pd_load *load, unsigned cpu_ending);

/**
 * fl_choose() - choose the worker where a task ends soon and delays other
 * tasks little
 * @finish_ms: set to the expected time until the task ends
 *
 * Return: NULL when no worker can take the task now.
 */
struct fl_worker *fl_choose(
    struct fl *f, const struct fl_requirements *req, double *finish_ms);

/**
 * fl_queue_limit() - CPU that may be queued at a worker up to and including a
 * grant
 * @cpu: of the grant
 * @priority: of the grant; less urgent tasks do not count
 *
 * Return: the known queue; the agent returns the grant if more is queued, since
 * tasks of other entries have arrived after its last report.
 */
unsigned fl_queue_limit(
    const struct fl_worker *w, unsigned cpu, unsigned priority);

/** fl_has_room() - whether a task would start at a worker without waiting for
 * the end of another one */
bool fl_has_room(const struct fl_worker *w, const struct fl_requirements *req);

/** fl_free_worker() - fastest worker where a task would start without waiting
 * for the end of another one, NULL for none */
struct fl_worker *fl_free_worker(
    const struct fl *f, const struct fl_requirements *req);

/** fl_is_usable() - whether a worker can take tasks now */
bool fl_is_usable(const struct fl *f, const struct fl_worker *w);

/** fl_any_suitable() - whether any worker, usable now or not, meets the
 * requirements */
bool fl_any_suitable(const struct fl *f, const struct fl_requirements *req);

/** fl_reserve() - reserve CPU of a worker for a grant */
void fl_reserve(struct fl *f, struct fl_worker *w, unsigned cpu);

/** fl_release() - release the CPU of a grant that has ended */
void fl_release(struct fl_worker *w, unsigned cpu);

/** fl_task_done() - learn from a task of @size_ms that ran for @run_ms */
void fl_task_done(
    struct fl *f, struct fl_worker *w, double size_ms, double run_ms);

/** fl_task_failed() - count a task of @job that failed on the worker; may eject
 * the worker */
void fl_task_failed(struct fl *f, struct fl_worker *w, uint64_t job);

/** fl_task_stopped() - learn from a task of @job that hit its run time limit,
 * and count it as failed */
void fl_task_stopped(struct fl *f, struct fl_worker *w, double size_ms,
    double run_ms, uint64_t job);

/**
 * fl_run_ratio() - expected ratio of actual to declared run time
 *
 * The agent's report counts unless the run times of this entry's own tasks
 * contradict it, so a wrong report does not attract tasks for long.
 */
double fl_run_ratio(const struct fl *f, const struct fl_worker *w);

/** fl_best_run_ratio() - lowest fl_run_ratio() of the usable workers; 1 when
 * there are none */
double fl_best_run_ratio(const struct fl *f);

/** fl_is_leaving() - whether tasks can only be granted in zones that are being
 * evacuated, of which this entry has not heard: it is cut off, and will soon
 * have no worker */
bool fl_is_leaving(const struct fl *f);

/** fl_usable_count() - number of workers that can take tasks now */
unsigned fl_usable_count(const struct fl *f);

/**
 * fl_is_warming_up() - whether this entry has just started, or resumed after a
 * pause, so that agents may not have connected yet
 */
bool fl_is_warming_up(struct fl *f);

/**
 * fl_lost_contact_since() - whether this entry has been without a heartbeat of
 * any agent for longer than a limit, at some time after @since_ms
 * @limit_ms: LE_CONTACT_MS or more
 *
 * It was cut off or paused then, or all agents were.
 */
bool fl_lost_contact_since(
    const struct fl *f, uint64_t since_ms, unsigned limit_ms);

/** fl_tick() - detect pauses of this process; call at least every 100 ms */
void fl_tick(struct fl *f);

/** fl_count_workers() - update service_workers and label_workers of all workers
 * if they are older than a second */
void fl_count_workers(struct fl *f);

/** fl_each() - call @visit for each worker */
void fl_each(
    struct fl *f, void (*visit)(void *arg, struct fl_worker *w), void *arg);

#endif
