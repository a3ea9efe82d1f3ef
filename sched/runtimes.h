#ifndef RUNTIMES_H
#define RUNTIMES_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: rt - distribution of the run times of a queue's jobs
 *
 * A run time is that of the longest task of a step on a worker of ratio 1, in
 * milliseconds. The distribution is a histogram of its logarithm, learned from
 * runs that ended and from runs that were cut off, which are censored samples.
 * A declaration is a measurement of the run time with a lognormal error, whose
 * mean and deviation are learned as well.
 *
 * A declared run time that is not positive, is above RT_MAX_MS or is not a
 * number counts as unknown.
 */
struct rt;

/** RT_MAX_MS - longest run time that is distinguished */
#define RT_MAX_MS 3600000.0
/** RT_BINS_PER_DOUBLING - bins for each doubling of the run time; chances are
 * interpolated within a bin */
#define RT_BINS_PER_DOUBLING 6
/** RT_BINS - bins from 1 ms to RT_MAX_MS */
#define RT_BINS 131
/** RT_SAMPLES_MIN - effective samples from which the distribution is used */
#define RT_SAMPLES_MIN 30
/** RT_SENDERS_MAX - summaries of other entries that are kept */
#define RT_SENDERS_MAX 64

/**
 * struct rt_summary - what one entry has learned from its own samples
 * @samples: effective number of samples
 * @error_samples: those of them whose error of declaration is known
 * @error_mean_permille: mean of log(declared) - log(actual), thousandths
 * @error_sd_permille: deviation of the same
 * @bins: 255 times the square root of the content of each bin divided by that
 *     of the fullest one, which keeps the precision of rare sizes
 */
struct rt_summary {
	unsigned samples;
	unsigned error_samples;
	int error_mean_permille;
	unsigned error_sd_permille;
	uint8_t bins[RT_BINS];
};

/** rt_new() - distribution without samples; owned */
struct rt *rt_new(void);

/** rt_free() - consumed, NULL is allowed */
void rt_free(struct rt *r);

/** rt_ended() - learn from a run that ended after @run_ms; ignored if that is
 * negative or not a number */
void rt_ended(struct rt *r, double declared_ms, double run_ms);

/**
 * rt_cut() - learn from a run that had not ended after @run_ms
 *
 * The sample is spread over the run times beyond @run_ms in proportion to their
 * current posterior probability. This is one step of expectation maximization
 * for incomplete data (Dempster, Laird, Rubin 1977, J. R. Stat. Soc. B 39), in
 * the online form of Cappe and Moulines (2009, J. R. Stat. Soc. B 71); for a
 * histogram its fixed point is the self-consistent estimate of Efron (1967,
 * Proc. 5th Berkeley Symp. 4) and Turnbull (1976, J. R. Stat. Soc. B 38).
 * The error of declarations is not learned from it.
 */
void rt_cut(struct rt *r, double declared_ms, double run_ms);

/**
 * rt_chance() - chance that the longest task, of which @run_ms have passed,
 * ends within @limit_ms after its start
 *
 * Return: 0 to 1; 1 while there are fewer than RT_SAMPLES_MIN samples.
 */
double rt_chance(
    const struct rt *r, double declared_ms, double run_ms, double limit_ms);

/**
 * rt_expected() - expected run time in milliseconds, given the declaration and
 * the time already run
 *
 * Return: the declaration while there are fewer than RT_SAMPLES_MIN samples.
 */
double rt_expected(const struct rt *r, double declared_ms, double run_ms);

/** rt_samples() - effective number of samples, those of other entries included
 */
unsigned rt_samples(const struct rt *r);

/** rt_export() - summary of the own samples. Return: false if there are none */
bool rt_export(const struct rt *r, struct rt_summary *s);

/**
 * rt_merge() - use the summary of another entry instead of its earlier one
 * @sender: identifies the other entry; copied
 *
 * Return: false if the summary cannot be that of an entry; it is ignored then.
 */
bool rt_merge(struct rt *r, const char *sender, const struct rt_summary *s);

/** rt_age() - reduce the weight of the summaries of other entries by the time
 * that has passed; call every few seconds */
void rt_age(struct rt *r, double elapsed_ms);

#endif
