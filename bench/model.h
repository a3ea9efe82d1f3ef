#ifndef MODEL_H
#define MODEL_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: md - a cell on the paused clock: the real decisions of entries and
 * agents, with modelled arrivals, network, endpoints and disturbances
 *
 * A load is replayed in simulated time. The same load gives the same result.
 */

/** MD_KINDS_MAX - kinds of job in a load */
#define MD_KINDS_MAX 8
/** MD_GROUPS_MAX - groups of equal workers in a load */
#define MD_GROUPS_MAX 8
/** MD_DISTURBANCES_MAX - disturbances in a load */
#define MD_DISTURBANCES_MAX 16
/** MD_NAME_MAX - bytes of a name */
#define MD_NAME_MAX 32
/** MD_WINDOW_MS - length of a window in the result */
#define MD_WINDOW_MS 2000

/**
 * struct md_kind - jobs that are alike: one step of equal tasks
 * @per_s: arrivals per second at all entries
 * @tasks: mean number of tasks
 * @work_ms: mean run time of a task on a worker of the speed 1
 * @spread: standard deviation of the logarithm of tasks and run time
 * @cpu: thousandths of a core that a task needs
 * @target_ms: wait that is allowed on top of 1.6 run times
 * @deadline_ms: time that the client waits
 * @attempts: runs of a task that may fail
 * @priority: of its queue, 0 is the most urgent
 */
struct md_kind {
	char name[MD_NAME_MAX];
	double per_s;
	double tasks;
	double work_ms;
	double spread;
	unsigned cpu;
	unsigned target_ms;
	unsigned deadline_ms;
	unsigned attempts;
	unsigned priority;
};

/**
 * struct md_worker_group - workers that are alike
 * @cpu: thousandths of a core
 * @speed: work that is done per time
 */
struct md_worker_group {
	unsigned count;
	unsigned cpu;
	double speed;
};

/**
 * enum md_disturbance_type - kind of trouble
 * @MD_BURST: arrivals of a kind, or of all, are multiplied by x
 * @MD_SLOWDOWN: run times on the first workers are multiplied by x
 * @MD_POWER_LOSS: the first workers lose their power
 */
enum md_disturbance_type {
	MD_BURST = 0,
	MD_SLOWDOWN,
	MD_POWER_LOSS,
};

/**
 * struct md_disturbance - something that happens during a load
 * @kind: kind of job, "" for all
 * @count: number of workers, from the first one
 */
struct md_disturbance {
	enum md_disturbance_type what;
	char kind[MD_NAME_MAX];
	unsigned at_ms;
	unsigned for_ms;
	unsigned count;
	double x;
};

/**
 * struct md_load - what is replayed
 * @seed: of all random choices
 * @seconds: time for which jobs arrive
 * @entries: number of entries; arrivals are spread evenly
 * @net_ms: time that a message takes
 * @estimate_error: share by which declared run times may be wrong
 * @task_variation: share by which tasks of a job differ
 * @error_share: share of the runs that fail
 */
struct md_load {
	uint64_t seed;
	unsigned seconds;
	unsigned entries;
	unsigned net_ms;
	double estimate_error;
	double task_variation;
	double error_share;
	struct md_kind kinds[MD_KINDS_MAX];
	unsigned nkinds;
	struct md_worker_group groups[MD_GROUPS_MAX];
	unsigned ngroups;
	struct md_disturbance disturbances[MD_DISTURBANCES_MAX];
	unsigned ndisturbances;
};

/**
 * struct md_outcomes - how the jobs of a kind ended
 * @late: completed, up to three times later than allowed
 * @too_late: completed still later
 * @refused: nothing of them had run
 * @gave_up: something of them had run
 * @median_ms: from arrival to answer, of completed jobs
 * @p99_ms: the same
 * @refusal_ms: median time from arrival to refusal
 */
struct md_outcomes {
	unsigned submitted;
	unsigned in_time;
	unsigned late;
	unsigned too_late;
	unsigned refused;
	unsigned gave_up;
	unsigned failed;
	double median_ms;
	double p99_ms;
	double refusal_ms;
};

/**
 * struct md_window - one stretch of MD_WINDOW_MS, by time of arrival
 * @queued_max: most tasks that waited at agents
 */
struct md_window {
	unsigned submitted;
	unsigned in_time;
	unsigned refused;
	unsigned queued_max;
	double median_ms;
};

/**
 * struct md_result - what a load led to
 * @kinds: by kind, in the order of the load
 * @core_s_offered: core-seconds, at the speed 1, that were submitted for
 * @core_s_completed: core-seconds of completed jobs
 * @core_s_wasted: core-seconds of runs whose job was not completed
 * @core_s_capacity: core-seconds that all workers can do while jobs arrive
 * @starts: orders to start a task
 * @starts_refused: those that an endpoint had no room for
 * @duplicate_runs: starts of a task that was still running elsewhere
 */
struct md_result {
	struct md_outcomes all;
	struct md_outcomes kinds[MD_KINDS_MAX];
	struct md_window *windows;
	unsigned nwindows;
	double core_s_offered;
	double core_s_completed;
	double core_s_wasted;
	double core_s_capacity;
	unsigned starts;
	unsigned starts_refused;
	unsigned duplicate_runs;
};

/** md_run() - replay a load. Return: owned result */
struct md_result *md_run(const struct md_load *load);

/** md_result_free() - consumed, NULL is allowed */
void md_result_free(struct md_result *r);

/** md_in_time_share() - share of the jobs of a class that were completed in
 * time */
double md_in_time_share(const struct md_outcomes *c);

#endif
