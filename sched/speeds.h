#ifndef SPEEDS_H
#define SPEEDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: sp - speeds of workers with their uncertainty
 *
 * An agent estimates the mean of the logarithm of run time divided by expected
 * size. An entry compares the estimates of all workers and shrinks each towards
 * the mean of its kind, and that towards the mean of the fleet, by as much as
 * the errors of the estimates explain the differences (empirical Bayes). Equal
 * workers with few samples or heavy-tailed run times are then treated as equal.
 *
 * Logarithms are natural. Decisions only: no I/O, and no state but that of the
 * caller.
 */

/** SP_SAMPLES_MIN - samples below which an estimate is not used */
#define SP_SAMPLES_MIN 3
/** SP_JOBS - jobs whose further runs are not learned */
#define SP_JOBS 16

/**
 * struct sp_samples - what is learned from the runs on a worker; all zero at
 * first
 * @mean: of the logarithm of run time divided by expected size
 * @var: variance of it
 * @sum: sum of the weights of the samples
 * @sum2: sum of their squares
 * @recent_mean: as @mean, over the last samples only
 * @recent_var: as @var
 * @recent_sum: as @sum
 * @recent_sum2: as @sum2
 * @last_us: monotonic time of the last sample
 * @jobs: jobs learned from lately
 * @next_job: place in @jobs that is overwritten next
 */
struct sp_samples {
	double mean;
	double var;
	double sum;
	double sum2;
	double recent_mean;
	double recent_var;
	double recent_sum;
	double recent_sum2;
	uint64_t last_us;
	uint64_t jobs[SP_JOBS];
	unsigned next_job;
};

/**
 * struct sp_estimate - estimate of the speed of a worker
 * @mean: of the logarithm of run time divided by expected size
 * @var: variance of the logarithm between runs
 * @samples: effective number of samples; 0 for no estimate
 */
struct sp_estimate {
	double mean;
	double var;
	double samples;
};

/**
 * struct sp_worker - a worker in a pool
 * @estimate: input; counts as none if it is not valid
 * @kind: input: workers of one kind are expected to be alike; below @nkinds of
 *     sp_pool()
 * @log_ratio: set to the shrunk logarithm of its run ratio
 * @error: set to the standard error of @log_ratio
 */
struct sp_worker {
	struct sp_estimate estimate;
	unsigned kind;
	double log_ratio;
	double error;
};

/**
 * struct sp_summary - what the estimates of a pool have in common
 * @mean: of the fleet; 0 without estimates
 * @run_var: variance of the logarithm between the runs on a worker
 * @worker_var: variance between workers of a kind that the errors of the
 *     estimates do not explain
 * @kind_var: variance between the kinds that they do not explain
 * @estimates: number of valid estimates
 */
struct sp_summary {
	double mean;
	double run_var;
	double worker_var;
	double kind_var;
	unsigned estimates;
};

/**
 * sp_learn() - learn from a run
 * @job: identifies its job, 0 if unknown. The tasks of a job take alike long,
 *     so only the first run of a job is a sample.
 * @size_ms: expected run time on a worker of ratio 1, milliseconds
 * @run_ms: run time, milliseconds
 */
void sp_learn(struct sp_samples *s, uint64_t job, double size_ms, double run_ms,
    uint64_t now_us);

/** sp_estimate() - estimate from the samples, whose number decreases with the
 * time since the last one */
struct sp_estimate sp_estimate(const struct sp_samples *s, uint64_t now_us);

/**
 * sp_is_valid() - whether an estimate can be used: finite, run times that
 * differ from the expected ones by no more than a factor of 1,000, and
 * SP_SAMPLES_MIN samples
 */
bool sp_is_valid(const struct sp_estimate *e);

/**
 * sp_pool() - shrink the estimates of all workers
 * @w: workers; log_ratio and error are set
 * @n: number of @w
 * @nkinds: number of kinds
 */
struct sp_summary sp_pool(struct sp_worker *w, size_t n, unsigned nkinds);

/** sp_variance_of_mean() - squared standard error of the mean of an estimate,
 * see struct sp_summary for @run_var */
double sp_variance_of_mean(const struct sp_estimate *e, double run_var);

/**
 * sp_overrun_chance() - upper limit of the chance that a run takes this long on
 * a worker that works
 *
 * Cantelli's inequality: it holds for any distribution, also one with heavy
 * tails.
 *
 * Without a valid estimate the worker is expected to be of ratio 1, within a
 * wide margin.
 *
 * Return: 1 for a run that takes no longer than expected, or without sizes.
 */
double sp_overrun_chance(
    const struct sp_estimate *e, double size_ms, double run_ms);

#endif
