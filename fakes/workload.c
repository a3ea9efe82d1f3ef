#include <math.h>
#include <stdio.h>
#include <string.h>

#include "workload.h"

static const struct wl workloads[] = {
    {"kerandour", "order-desk", 1, 60, 50, 300, 0.02, 1000, 1.0},
    {"himal-sapana", "diary-press", 1, 540, 50, 1000, 0.02, 4000, 1.0},
};

const struct wl *
wl_find(const char *name)
{
	for (size_t i = 0; i < sizeof(workloads) / sizeof(workloads[0]); i++)
		if (strcmp(workloads[i].name, name) == 0)
			return (&workloads[i]);
	return (NULL);
}

/* Uniform in the logarithm, so that small values are the most frequent. */
static double
log_uniform(struct rn *rng, double low, double high)
{
	return (exp(log(low) + rn_unit(rng) * (log(high) - log(low))));
}

static unsigned
run_time(const struct wl *w, struct rn *rng)
{
	if (rn_unit(rng) < w->long_share)
		return ((unsigned)log_uniform(rng, w->run_max, w->long_max));
	return ((unsigned)log_uniform(rng, w->run_min, w->run_max));
}

json_t *
wl_tasks(const struct wl *w, struct rn *rng, const char *id)
{
	json_t *tasks = json_array();
	unsigned n = (unsigned)log_uniform(
	    rng, w->tasks_min, (double)w->tasks_max + 0.999);

	for (unsigned i = 0; i < n; i++) {
		unsigned run = run_time(w, rng);
		double size =
		    run * log_uniform(rng, 1 / w->size_error, w->size_error);
		char body[256];

		snprintf(body, sizeof(body), "%s/%u;run_ms=%u", id, i, run);
		json_array_append_new(tasks,
		    json_pack("{s:s, s:i}", "body", body, "size_ms",
			size < 1 ? 1 : (int)size));
	}
	return (tasks);
}
