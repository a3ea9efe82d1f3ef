#ifndef MODEL_H
#define MODEL_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: md - model of a cell in simulated time
 *
 * The code of entries and agents that makes decisions is the real one;
 * arrivals, network, endpoints and disturbances are modelled. The same load
 * always gives the same result.
 */

/** MD_KINDS_MAX - kinds of job in a load */
#define MD_KINDS_MAX 8
/** MD_GROUPS_MAX - worker groups in a load */
#define MD_GROUPS_MAX 8
/** MD_DISTURBANCES_MAX - disturbances in a load */
#define MD_DISTURBANCES_MAX 16
/** MD_NAME_MAX - size of a name, bytes */
#define MD_NAME_MAX 32
/** MD_CLASSES - size classes of a kind: quartiles by core-seconds, the largest
 * tenth, and the fifth below it */
#define MD_CLASSES 6
/** MD_LARGEST_TENTH, MD_FIFTH_BELOW - numbers of the classes that overlap the
 * quartiles */
#define MD_LARGEST_TENTH 4
#define MD_FIFTH_BELOW 5
/** MD_WINDOW_MS - length of a time window in the result */
#define MD_WINDOW_MS 2000

/**
 * struct md_kind - kind of job; its jobs have one step of similar tasks
 * @per_s: arrivals per second at all entries
 * @tasks: mean number of tasks
 * @work_ms: mean run time of a task on a worker of speed 1
 * @spread: standard deviation of the logarithms of number of tasks and run
 *     time
 * @cpu: thousandths of a core that a task needs
 * @target_ms: response time that is allowed in addition to 1.6 run times
 * @deadline_ms: time-out of its queue
 * @waits_factor: clients wait this many times the longest run time of their job
 *     beyond @deadline_ms
 * @attempts: number of failed runs after which a task has failed
 * @priority: of its queue, 0 is the most urgent
 * @tail_permille: jobs of a thousand whose tasks all take longer
 * @tail_factor: by which they take longer
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
	double waits_factor;
	unsigned attempts;
	unsigned priority;
	unsigned tail_permille;
	double tail_factor;
};

/**
 * struct md_worker_group - workers of equal capacity and speed
 * @cpu: capacity of each, thousandths of a core
 * @speed: factor by which run times are divided
 */
struct md_worker_group {
	unsigned count;
	unsigned cpu;
	double speed;
};

/**
 * enum md_disturbance_type - what a disturbance changes
 * @MD_BURST: arrivals of a kind, or of all, are multiplied by x
 * @MD_SLOWDOWN: run times on the first workers are multiplied by x
 * @MD_POWER_LOSS: the first workers are off
 */
enum md_disturbance_type {
	MD_BURST = 0,
	MD_SLOWDOWN,
	MD_POWER_LOSS,
};

/**
 * struct md_disturbance - temporary change during a load
 * @kind: kind of job, "" for all
 * @at_ms: start, counted from the beginning of the arrivals
 * @for_ms: duration
 * @count: number of workers, from the first one
 * @x: factor
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
 * struct md_load - load to replay
 * @seed: seed of all random numbers
 * @by_value: entries decide by cost per need while capacity is short
 * @swing: share by which the arrival rates rise and fall
 * @swing_ms: period of it
 * @seconds: time for which jobs arrive
 * @entries: number of entries; each arrival goes to a random one
 * @net_ms: network delay of a message
 * @agents_ms: agents connect in the second half of this time after the first
 *     arrivals, as after a power loss of all hosts; 0: before them
 * @zones: number of availability zones over which entries and workers are
 *     spread
 * @pooled: entries place by pooled speeds, see struct fl_placing
 * @estimate_error: greatest relative error of declared run times
 * @estimate_sigma: if not 0, declared run times are wrong by a log-normal
 * factor of this deviation instead
 * @tails_declared: declared run times include the factor of long jobs
 * @run_times: entries decide by the distribution of run times
 * @task_variation: greatest relative deviation of run times within a job
 * @error_share: share of the runs that fail
 */
struct md_load {
	uint64_t seed;
	unsigned seconds;
	unsigned entries;
	unsigned net_ms;
	unsigned agents_ms;
	unsigned zones;
	bool pooled;
	bool by_value;
	double swing;
	unsigned swing_ms;
	double estimate_error;
	double estimate_sigma;
	bool tails_declared;
	bool run_times;
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
 * struct md_outcomes - numbers of jobs by outcome, and their response times
 * @in_time: completed within the allowed time
 * @late: completed within three times the allowed time
 * @too_late: completed later than that
 * @refused: refused before any of their tasks ran
 * @gave_up: given up after some of their tasks ran, or not answered
 * @median_ms: median response time of completed jobs
 * @p99_ms: 99th percentile of it
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
 * struct md_window - jobs that arrived within MD_WINDOW_MS
 * @queued_max: maximum number of tasks queued at agents
 * @median_ms: median response time of completed jobs
 */
struct md_window {
	unsigned submitted;
	unsigned in_time;
	unsigned refused;
	unsigned queued_max;
	double median_ms;
};

/**
 * struct md_result - result of a load
 * @kinds: by kind, in the order of the load
 * @classes: by kind and size class, without response times
 * @core_s_offered: core-seconds, at speed 1, of all jobs
 * @core_s_completed: core-seconds of completed jobs
 * @core_s_wasted: core-seconds of runs whose job was not completed
 * @core_s_capacity: core-seconds of all workers while jobs arrive
 * @starts: commands to start a task
 * @starts_refused: those refused by an endpoint for lack of capacity
 * @duplicate_runs: starts of a task that was still running elsewhere
 * @grants: grants to agents
 * @returned: grants that agents returned without a start
 * @stopped: runs that were stopped, also those of jobs that had ended
 * @own_zone: grants within the zone of the entry
 */
struct md_result {
	struct md_outcomes all;
	struct md_outcomes kinds[MD_KINDS_MAX];
	struct md_outcomes classes[MD_KINDS_MAX][MD_CLASSES];
	struct md_window *windows;
	unsigned nwindows;
	double core_s_offered;
	double core_s_completed;
	double core_s_wasted;
	double core_s_capacity;
	unsigned starts;
	unsigned starts_refused;
	unsigned duplicate_runs;
	unsigned grants;
	unsigned returned;
	unsigned stopped;
	unsigned own_zone;
};

/** md_run() - replay a load. Return: owned result */
struct md_result *md_run(const struct md_load *load);

/** md_result_free() - consumed, NULL is allowed */
void md_result_free(struct md_result *r);

/** md_served_share() - share of jobs completed, in time or not, 1 without jobs
 */
double md_served_share(const struct md_outcomes *c);

/** md_in_time_share() - share of jobs completed in time, 1 without jobs */
double md_in_time_share(const struct md_outcomes *c);

#endif
