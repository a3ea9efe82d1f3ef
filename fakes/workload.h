#ifndef WORKLOAD_H
#define WORKLOAD_H

#include <jansson.h>
#include <stdint.h>

#include "rng.h"

/**
 * DOC: wl - workloads: random jobs as they occur in the two deployments
 *
 * kerandour: small jobs of short tasks. himal-sapana: larger jobs, up to 540
 * tasks, and some tasks of several seconds.
 */

/**
 * struct wl - distribution of jobs; ranges are inclusive
 * @name: name of the workload
 * @service: service of the deployment
 * @tasks_min: smallest number of tasks
 * @tasks_max: greatest number of tasks
 * @run_min: smallest run time of a task, ms
 * @run_max: greatest run time of a short task, ms
 * @long_share: share of tasks with a run time from @run_max to @long_max
 * @long_max: greatest run time of a long task, ms
 * @size_error: factor by which declared sizes may be wrong, 1 for exact
 */
struct wl {
	const char *name;
	const char *service;
	unsigned tasks_min;
	unsigned tasks_max;
	unsigned run_min;
	unsigned run_max;
	double long_share;
	unsigned long_max;
	double size_error;
};

/** wl_find() - workload by name, borrowed; NULL when unknown */
const struct wl *wl_find(const char *name);

/**
 * wl_tasks() - tasks of the next job
 * @w: workload
 * @rng: random numbers; decides the number of tasks and their run times
 * @id: submission id; it is part of each body, so that no two bodies are equal
 *
 * Return: owned array of {"body", "size_ms"}.
 */
json_t *wl_tasks(const struct wl *w, struct rn *rng, const char *id);

#endif
