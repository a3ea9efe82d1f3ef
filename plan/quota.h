#ifndef QUOTA_H
#define QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "heap.h"

/**
 * DOC: qu - queue of the jobs that wait at the entry, with the teams' quotas
 *
 * Work-conserving weighted fair queueing between the teams of a group (a
 * service), with a limit on the running tasks of a team. A lane is the queue of
 * those jobs of a team that may use the same endpoints. Within a lane the job
 * with the lowest rank is first, but a job whose latest start is near goes
 * before all others.
 */
struct qu;
struct qu_lane;

/** struct qu_job - queue entry, embedded in a job; zeroed before first use */
struct qu_job {
	struct hp_node by_rank;
	struct hp_node by_start;
	struct qu_lane *lane;
	double work_ms;
};

/** qu_new() - empty queue, owned */
struct qu *qu_new(void);

/** qu_free() - free a queue and its lanes; consumed, NULL is allowed */
void qu_free(struct qu *q);

/**
 * qu_set_team() - add a team or change its quota
 * @weight: weight of its share under contention, 0 counts as 1
 * @max_running: limit on granted tasks at a time, 0 for no limit
 */
void qu_set_team(
    struct qu *q, const char *name, unsigned weight, unsigned max_running);

/**
 * qu_lane_new() - add a lane
 * @group: number of the service
 * @team: name; a team that is not known from qu_set_team() has weight 1 and no
 *     limit
 * @arg: for qu_lane_arg(), borrowed
 *
 * Return: lane, owned by @q.
 */
struct qu_lane *qu_lane_new(
    struct qu *q, unsigned group, const char *team, void *arg);

/** qu_lane_arg() - argument given to qu_lane_new() */
void *qu_lane_arg(const struct qu_lane *l);

/** qu_lane_first() - job of a lane with the lowest rank, NULL when empty */
struct qu_job *qu_lane_first(const struct qu_lane *l);

/**
 * qu_put() - add a job or update its position
 * @work_ms: declared work of its tasks that are not granted
 * @rank_us: jobs are taken by rising rank
 * @start_us: latest start that meets its deadline, monotonic
 */
void qu_put(struct qu_lane *l, struct qu_job *j, double work_ms,
    uint64_t rank_us, uint64_t start_us);

/** qu_remove() - remove a job; no effect when it is in no lane */
void qu_remove(struct qu_job *j);

/**
 * qu_next() - job of which a task is to be granted next
 * @group: service
 * @now_us: monotonic time
 * @fits: whether a task of the job can be granted now; only the first job of
 *     each lane is tried
 *
 * Return: the job, borrowed; NULL when none fits.
 */
struct qu_job *qu_next(struct qu *q, unsigned group, uint64_t now_us,
    bool (*fits)(void *arg, struct qu_job *j), void *arg);

/** qu_task_granted() - charge a granted task, at its expected slot time */
void qu_task_granted(struct qu_lane *l, double cost_ms);

/**
 * qu_task_ended() - correct the charge of a granted task that has ended
 * @cost_ms: value passed to qu_task_granted()
 * @used_ms: slot time that the task took
 */
void qu_task_ended(struct qu_lane *l, double cost_ms, double used_ms);

/**
 * qu_work_ahead_ms() - declared work that is served before a new job of
 * @work_ms
 *
 * Includes the share of the other active teams, so that the result can be
 * divided by the capacity of the whole group.
 */
double qu_work_ahead_ms(const struct qu_lane *l, double work_ms);

#endif
