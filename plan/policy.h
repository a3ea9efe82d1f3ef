#ifndef POLICY_H
#define POLICY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: po - policies that choose the endpoint for a task
 */
struct rn;

/** PO_WAIT - choose() found no endpoint: the task stays at the entry */
#define PO_WAIT SIZE_MAX

/**
 * struct po_speed - learned speed of one endpoint
 * @run_ratio: slow moving average of run time divided by expected size
 * @recent_ratio: the same average over the last few tasks
 * @mean_ms: moving average of run times, milliseconds
 * @last_sample_us: monotonic time of the last sample
 * @samples: number of run times learned
 * @inv_size_sum: sum of 1/size over the running tasks, 1/milliseconds
 * @start_over_size_sum: sum of start/size over the running tasks, start in
 *     microseconds and size in milliseconds
 */
struct po_speed {
	double run_ratio;
	double recent_ratio;
	double mean_ms;
	uint64_t last_sample_us;
	uint64_t samples;
	double inv_size_sum;
	double start_over_size_sum;
};

/**
 * struct po_endpoint - an endpoint as a policy sees it
 * @slots: tasks it runs at a time
 * @load: running and queued tasks of all entries, as far as known
 * @limit: @load from which on it gets no more tasks; 0 when it gets none
 * @speed: learned speed
 */
struct po_endpoint {
	unsigned slots;
	unsigned load;
	unsigned limit;
	struct po_speed speed;
};

/**
 * struct po_task - the task to be placed
 * @size_ms: expected size, see po_expected_size()
 * @nwaiting: tasks of the service that wait at the entry
 * @now_us: monotonic time
 */
struct po_task {
	double size_ms;
	size_t nwaiting;
	uint64_t now_us;
};

/**
 * struct po_ops - a policy
 * @name: name in the settings
 * @queue_depth: number of tasks that an agent may queue beyond its slots when
 *     @waiting tasks wait at the entry for endpoints with @slots slots in all;
 *     UINT_MAX for as many as the agent accepts
 * @choose: index of the endpoint for a task, or PO_WAIT; considers only
 *     endpoints with load < limit
 */
struct po_ops {
	const char *name;
	unsigned (*queue_depth)(size_t waiting, unsigned slots);
	size_t (*choose)(struct po_endpoint *const *list, size_t n,
	    const struct po_task *t, struct rn *rng);
};

/**
 * struct po_size_model - linear regression of actual on declared sizes
 * @mean_x: moving average of log declared size
 * @mean_y: moving average of log actual size, which is the run time divided by
 *     the endpoint's ratio
 * @var_x: variance of log declared size
 * @cov: covariance of log declared and log actual size
 * @samples: number of tasks learned
 */
struct po_size_model {
	double mean_x;
	double mean_y;
	double var_x;
	double cov;
	uint64_t samples;
};

/**
 * po_expected_size() - size of a task as expected from its declared size
 *
 * Declared sizes are wrong by up to 10x, so an extreme declared size is moved
 * towards the average, by as much as past declarations were wrong.
 */
double po_expected_size(const struct po_size_model *s, double declared_ms);

/** po_learn_size() - update the model with the actual size of a task */
void po_learn_size(
    struct po_size_model *s, double declared_ms, double actual_ms);

/** po_find() - policy by name, NULL if unknown */
const struct po_ops *po_find(const char *name);

/** po_has_room() - whether an endpoint accepts one more task */
static inline bool
po_has_room(const struct po_endpoint *e)
{
	return (e->load < e->limit);
}

/** po_run_ratio() - expected run time divided by the size of a task, now */
double po_run_ratio(const struct po_speed *s, uint64_t now_us);

/** po_wait_ms() - expected wait of a further task at an endpoint */
double po_wait_ms(const struct po_endpoint *e, uint64_t now_us);

/** po_task_started() - add a granted task with its expected start */
void po_task_started(struct po_speed *s, double size_ms, uint64_t start_us);

/** po_task_ended() - remove a task added by po_task_started(), same values */
void po_task_ended(struct po_speed *s, double size_ms, uint64_t start_us);

/** po_learn_run_time() - update the speed: a task of @size_ms ran @run_ms */
void po_learn_run_time(
    struct po_speed *s, double size_ms, double run_ms, uint64_t now_us);

#endif
