#ifndef POLICY_H
#define POLICY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: po - choice of the endpoint for a task
 */
struct rn;

/** PO_WAIT - no endpoint: the task stays at the entry for now */
#define PO_WAIT SIZE_MAX

/**
 * struct po_speed - learned run time of one endpoint
 * @unit: run time per unit of declared size, slow average
 * @recent: the same, over the last few tasks
 * @mean_ms: average run time, milliseconds
 * @last_sample_us: monotonic time of the last of them
 * @samples: number of run times learned
 * @inv_size_sum: sum of 1/size over the tasks that run now
 * @start_over_size_sum: sum of start/size over the tasks that run now,
 * microseconds
 */
struct po_speed {
	double unit;
	double recent;
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
 * @limit: @load at which it takes no more; 0 when it gets no work
 * @speed: learned run times
 */
struct po_endpoint {
	unsigned slots;
	unsigned load;
	unsigned limit;
	struct po_speed speed;
};

/**
 * struct po_task - the task to be placed
 * @size_ms: declared run time
 * @ahead: tasks that wait at the entry with it
 * @now_us: monotonic time
 */
struct po_task {
	double size_ms;
	size_t ahead;
	uint64_t now_us;
};

/**
 * struct po_ops - a policy
 * @name: name in the settings
 * @queue: tasks that an agent may hold beyond its slots when @waiting tasks
 *     wait at the entry for endpoints with @slots slots in all; UINT_MAX for
 *     as many as the agent takes
 * @choose: index of the endpoint for a task, or PO_WAIT. Looks only at
 *     endpoints with load < limit
 */
struct po_ops {
	const char *name;
	unsigned (*queue)(size_t waiting, unsigned slots);
	size_t (*choose)(struct po_endpoint *const *list, size_t n,
	    const struct po_task *t, struct rn *rng);
};

/**
 * struct po_size_model - how much declared sizes tell, learned over all
 * endpoints
 * @mean_x: average logarithm of declared sizes
 * @mean_y: average logarithm of sizes as run, in units of the endpoint
 * @var_x: variance of the first
 * @cov: covariance of both
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
 * po_expected_size() - size that is expected of a task
 *
 * Declared sizes are wrong by up to 10x, so a task that declares an extreme
 * size is probably nearer to the average than it says.
 */
double po_expected_size(const struct po_size_model *s, double declared_ms);

/** po_learn_size() - a task turned out to have a size of @actual_ms */
void po_learn_size(
    struct po_size_model *s, double declared_ms, double actual_ms);

/** po_find() - policy by name, NULL if unknown */
const struct po_ops *po_find(const char *name);

/** po_has_room() - whether an endpoint takes one more task */
static inline bool
po_has_room(const struct po_endpoint *e)
{
	return (e->load < e->limit);
}

/** po_run_ratio() - run time per unit of declared size that is expected now */
double po_run_ratio(const struct po_speed *s, uint64_t now_us);

/** po_wait_ms() - expected wait of a further task at an endpoint */
double po_wait_ms(const struct po_endpoint *e, uint64_t now_us);

/** po_task_started() - a task was granted; @start_us is its expected start */
void po_task_started(struct po_speed *s, double size_ms, uint64_t start_us);

/** po_task_ended() - a task given to po_task_started() with these values is
 * over */
void po_task_ended(struct po_speed *s, double size_ms, uint64_t start_us);

/** po_learn_run_time() - a task of @size_ms ran for @run_ms */
void po_learn_run_time(
    struct po_speed *s, double size_ms, double run_ms, uint64_t now_us);

#endif
