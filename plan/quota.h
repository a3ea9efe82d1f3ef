#ifndef QUOTA_H
#define QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "heap.h"

/**
 * DOC: qu - order of the jobs that wait at the entry
 *
 * Weighted fair sharing between the teams of a group (a service), work
 * conserving, with a limit on the tasks of a team at a time. Within a team the
 * job with the least remaining work is first, but a job whose latest start is
 * near goes before all others. A lane holds the jobs of one team that may use
 * the same endpoints.
 */
struct qu;
struct qu_lane;

/** struct qu_job - member of a waiting job; zeroed when in no lane */
struct qu_job {
	struct hp_node by_rank;
	struct hp_node by_start;
	struct qu_lane *lane;
	double work_ms;
};

/** qu_new() - empty order, owned */
struct qu *qu_new(void);

/** qu_free() - free an order and its lanes; consumed, NULL is allowed */
void qu_free(struct qu *q);

/**
 * qu_set_team() - add a team or change it
 * @weight: share under contention, 0 counts as 1
 * @max_running: tasks granted at a time, 0 for no limit
 */
void qu_set_team(
    struct qu *q, const char *name, unsigned weight, unsigned max_running);

/**
 * qu_lane() - new lane
 * @group: number of the service
 * @team: name; a team that was not given to qu_set_team() has weight 1
 * @arg: for qu_lane_arg(), borrowed
 *
 * Return: lane, owned by @q.
 */
struct qu_lane *qu_lane(
    struct qu *q, unsigned group, const char *team, void *arg);

/** qu_lane_arg() - argument given to qu_lane() */
void *qu_lane_arg(const struct qu_lane *l);

/** qu_lane_first() - any job of a lane, NULL when it is empty */
struct qu_job *qu_lane_first(const struct qu_lane *l);

/**
 * qu_put() - add a job, or change its place
 * @work_ms: declared work of its tasks that are not granted
 * @rank_us: the job with the least rank is first
 * @start_us: monotonic time of its latest start
 */
void qu_put(struct qu_lane *l, struct qu_job *j, double work_ms,
    uint64_t rank_us, uint64_t start_us);

/** qu_remove() - take a job out; no effect when it is in no lane */
void qu_remove(struct qu_job *j);

/**
 * qu_next() - job whose task is to be granted next
 * @group: service
 * @now_us: monotonic time
 * @fits: whether a task of the job can be granted now
 *
 * Return: the job, borrowed; NULL when none fits.
 */
struct qu_job *qu_next(struct qu *q, unsigned group, uint64_t now_us,
    bool (*fits)(void *arg, struct qu_job *j), void *arg);

/** qu_task_granted() - a task of the lane was granted, with expected slot time
 */
void qu_task_granted(struct qu_lane *l, double cost_ms);

/**
 * qu_task_ended() - a granted task is over
 * @cost_ms: value given to qu_task_granted()
 * @used_ms: slot time that it took
 */
void qu_task_ended(struct qu_lane *l, double cost_ms, double used_ms);

/**
 * qu_work_ahead_ms() - declared work that waits ahead of a new job, as if the
 * group's whole capacity worked on it
 */
double qu_work_ahead_ms(const struct qu_lane *l, double work_ms);

#endif
