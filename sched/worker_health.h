#ifndef WORKER_HEALTH_H
#define WORKER_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include "policy.h"
#include "speeds.h"

/**
 * DOC: wh - worker health: what is learned of a worker from the ends of its
 * tasks
 *
 * An agent learns from all runs at its endpoint and reports it to the entries.
 * Each entry also learns from its own tasks, as a check of the reports.
 */

/** WH_EJECT_FAILURES - consecutive failures, of more than one job, after which
 * a worker is ejected: it gets probes only */
#define WH_EJECT_FAILURES 3

/** WH_PROBE_INTERVAL_MS - time between probes of an ejected worker: risks two
 * tasks a second */
#define WH_PROBE_INTERVAL_MS 500

/**
 * struct wh - health of a worker; all zero for an unknown one
 * @speed: learned ratio of actual to expected run time
 * @log_speed: its logarithm, with its variance
 * @failures: consecutive failures
 * @failed_job: job of the last failure
 * @ejected: gets probes only
 * @next_probe_ms: time of the next probe
 */
struct wh {
	struct po_speed speed;
	struct sp_samples log_speed;
	unsigned failures;
	uint64_t failed_job;
	bool ejected;
	uint64_t next_probe_ms;
};

/**
 * wh_task_done() - learn from a task that succeeded
 * @job: identifies its job, 0 if unknown
 * @size_ms: expected run time on a worker of ratio 1
 *
 * Return: whether the worker is no longer ejected because of it.
 */
bool wh_task_done(
    struct wh *h, uint64_t job, double size_ms, double run_ms, uint64_t now_us);

/** wh_learn_run_time() - learn the speed from a run, without a judgement of
 * its result */
void wh_learn_run_time(
    struct wh *h, uint64_t job, double size_ms, double run_ms, uint64_t now_us);

/**
 * wh_task_failed() - count a task that failed or was stopped at its limit
 * @job: identifies its job; repeated failures of one job count once, as they
 *     may be its own fault
 *
 * Return: whether the worker is ejected because of it.
 */
bool wh_task_failed(struct wh *h, uint64_t job, uint64_t now_ms);

/** wh_schedule_probe() - allow the next probe after an interval; no effect
 * unless the worker is ejected */
static inline void
wh_schedule_probe(struct wh *h, uint64_t now_ms)
{
	h->next_probe_ms = now_ms + WH_PROBE_INTERVAL_MS;
}

/** wh_accepts() - whether the worker may get a task now */
static inline bool
wh_accepts(const struct wh *h, uint64_t now_ms)
{
	return (!h->ejected || now_ms >= h->next_probe_ms);
}

#endif
