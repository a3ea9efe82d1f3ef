#include <glib.h>
#include <math.h>

#include "speeds.h"

/* Weight of a new sample: the estimate averages over about 100 jobs. */
#define SLOW_WEIGHT 0.02
/* Weight of a new sample in the recent mean, over about 19 jobs. */
#define FAST_WEIGHT 0.1
/* Time constant with which samples lose weight: as in policy.c. */
#define DECAY_US 10e6
/* A recent mean that differs from the slow one by this many standard errors
 * replaces it: the worker has changed. */
#define CHANGE_ERRORS 4.0
/* Variance of the logarithm between runs that is assumed of a new worker:
 * declared run times are off by 40% and more. */
#define PRIOR_VAR 0.25
/* The same where the speed of the worker is unknown, too. */
#define UNKNOWN_VAR 1.0
/* Number of samples that the assumed variance counts for. */
#define PRIOR_SAMPLES 10.0
/* Variance between estimates that their errors explain, in standard deviations
 * of its estimate: differences within it are taken for noise. */
#define EXPLAINED_DEVIATIONS 2.0
/* Limits of estimates and samples; see sp_is_valid(). */
#define RATIO_MAX 1000.0
#define VAR_MAX 50.0
#define VAR_MIN 1e-6
#define SAMPLES_MAX 1e6
#define RUN_MIN_MS 0.1

static bool
is_known_job(const struct sp_samples *s, uint64_t job)
{
	unsigned i;

	for (i = 0; i < SP_JOBS; i++)
		if (job != 0 && s->jobs[i] == job)
			return (true);
	return (false);
}

/* Number of samples of equal weight with the same error of the mean. */
static double
effective(double sum, double sum2)
{
	return (sum2 > 0 ? sum * sum / sum2 : 0);
}

/* Starts again from the recent samples if the worker has changed its speed. */
static void
check_change(struct sp_samples *s)
{
	double n = effective(s->recent_sum, s->recent_sum2);
	double error;

	if (n * FAST_WEIGHT < 1 ||
	    effective(s->sum, s->sum2) < n + PRIOR_SAMPLES)
		return;
	/* Not the variance of all samples, which a change raises. */
	error = sqrt((s->recent_var * n + PRIOR_VAR * PRIOR_SAMPLES) /
	    (n + PRIOR_SAMPLES) / n);
	if (fabs(s->recent_mean - s->mean) <= CHANGE_ERRORS * error)
		return;
	s->mean = s->recent_mean;
	s->var = s->recent_var;
	s->sum = s->recent_sum;
	s->sum2 = s->recent_sum2;
}

void
sp_learn(struct sp_samples *s, uint64_t job, double size_ms, double run_ms,
    uint64_t now_us)
{
	double x, keep, deviation;

	if (!(size_ms > 0) || !isfinite(size_ms) || !isfinite(run_ms) ||
	    is_known_job(s, job))
		return;
	s->jobs[s->next_job] = job;
	s->next_job = (s->next_job + 1) % SP_JOBS;
	x = log(fmax(run_ms, RUN_MIN_MS) / size_ms);
	x = CLAMP(x, -log(RATIO_MAX), log(RATIO_MAX));
	keep = now_us > s->last_us
	    ? exp(-(double)(now_us - s->last_us) / DECAY_US)
	    : 1;
	s->last_us = MAX(s->last_us, now_us);
	s->sum = s->sum * (1 - SLOW_WEIGHT) * keep + 1;
	s->sum2 =
	    s->sum2 * (1 - SLOW_WEIGHT) * keep * (1 - SLOW_WEIGHT) * keep + 1;
	deviation = x - s->mean;
	s->mean += deviation / s->sum;
	s->var = (1 - 1 / s->sum) * (s->var + deviation * deviation / s->sum);
	s->recent_sum = s->recent_sum * (1 - FAST_WEIGHT) * keep + 1;
	s->recent_sum2 = s->recent_sum2 * (1 - FAST_WEIGHT) * keep *
		(1 - FAST_WEIGHT) * keep +
	    1;
	deviation = x - s->recent_mean;
	s->recent_mean += deviation / s->recent_sum;
	s->recent_var = (1 - 1 / s->recent_sum) *
	    (s->recent_var + deviation * deviation / s->recent_sum);
	check_change(s);
}

struct sp_estimate
sp_estimate(const struct sp_samples *s, uint64_t now_us)
{
	struct sp_estimate e = {.mean = s->mean, .var = s->var};
	double idle_us =
	    now_us > s->last_us ? (double)(now_us - s->last_us) : 0;

	e.samples = effective(s->sum, s->sum2) * exp(-idle_us / DECAY_US);
	return (e);
}

bool
sp_is_valid(const struct sp_estimate *e)
{
	return (isfinite(e->mean) && isfinite(e->var) && isfinite(e->samples) &&
	    fabs(e->mean) <= log(RATIO_MAX) && e->var >= 0 &&
	    e->var <= VAR_MAX && e->samples >= SP_SAMPLES_MIN &&
	    e->samples <= SAMPLES_MAX);
}

/* With skewed run times, a worker that has had no long one has both a low mean
 * and a low variance. So the variance of all workers is the least. */
double
sp_variance_of_mean(const struct sp_estimate *e, double run_var)
{
	return (fmax(fmax(e->var, run_var), VAR_MIN) / e->samples);
}

double
sp_overrun_chance(const struct sp_estimate *e, double size_ms, double run_ms)
{
	double over, var = UNKNOWN_VAR;

	if (!(size_ms > 0) || !(run_ms > 0))
		return (1);
	over = log(run_ms / size_ms);
	if (sp_is_valid(e)) {
		over -= e->mean;
		var = (e->var * e->samples + PRIOR_VAR * PRIOR_SAMPLES) /
		    (e->samples + PRIOR_SAMPLES);
	}
	return (over > 0 ? var / (var + over * over) : 1);
}

/* Sums over weighted estimates, from which mean and variance follow. */
struct sums {
	double weight;
	double weight2;
	double value;
	double value2;
	unsigned n;
};

static void
add(struct sums *s, double value, double var)
{
	double weight = 1 / var;

	s->weight += weight;
	s->weight2 += weight * weight;
	s->value += weight * value;
	s->value2 += weight * value * value;
	s->n++;
}

static double
mean_of(const struct sums *s)
{
	return (s->n > 0 ? s->value / s->weight : 0);
}

/* Weighted squared deviations from the mean. Without a true difference they are
 * expected to be the degrees of freedom. */
static double
deviations(const struct sums *s)
{
	return (s->n > 0 ? fmax(s->value2 - s->value * s->value / s->weight, 0)
			 : 0);
}

static double
weight_excess(const struct sums *s)
{
	return (s->n > 0 ? s->weight - s->weight2 / s->weight : 0);
}

/* Variance between estimates beyond what their errors explain (moments
 * estimator of DerSimonian and Laird, less the uncertainty of @q). */
static double
excess_variance(double q, double freedom, double weight)
{
	double explained = freedom + EXPLAINED_DEVIATIONS * sqrt(2 * freedom);

	return (q > explained && weight > 0 ? (q - explained) / weight : 0);
}

/* Mean of a kind, shrunk towards the fleet, and the variance of its error. */
struct kind {
	struct sums plain; /* weighted by the errors of the estimates */
	struct sums sums;  /* weighted by the variance between workers, too */
	double mean;
	double var;
};

static double
run_variance(const struct sp_worker *w, size_t n, struct sp_summary *out)
{
	double sum = PRIOR_VAR * PRIOR_SAMPLES, weight = PRIOR_SAMPLES;
	size_t i;

	for (i = 0; i < n; i++) {
		if (!sp_is_valid(&w[i].estimate))
			continue;
		sum += w[i].estimate.var * w[i].estimate.samples;
		weight += w[i].estimate.samples;
		out->estimates++;
	}
	return (sum / weight);
}

static double
worker_variance(const struct kind *kinds, unsigned nkinds)
{
	double q = 0, freedom = 0, weight = 0;
	unsigned i;

	for (i = 0; i < nkinds; i++) {
		if (kinds[i].plain.n < 2)
			continue;
		q += deviations(&kinds[i].plain);
		freedom += kinds[i].plain.n - 1;
		weight += weight_excess(&kinds[i].plain);
	}
	return (excess_variance(q, freedom, weight));
}

/* Shrinks @value of variance @var towards @mean, of which values deviate with
 * variance @between. */
static double
shrink(double value, double var, double mean, double between)
{
	return (mean + between / (between + var) * (value - mean));
}

static double
shrunk_variance(double var, double between)
{
	return (between * var / (between + var));
}

/* Sets the means of the kinds from their sums. */
static void
shrink_kinds(struct kind *kinds, unsigned nkinds, struct sp_summary *out)
{
	struct sums all = {0}, fleet = {0};
	struct kind *k;
	unsigned i;

	for (i = 0; i < nkinds; i++)
		if (kinds[i].sums.n > 0)
			add(&all, mean_of(&kinds[i].sums),
			    1 / kinds[i].sums.weight);
	if (all.n > 1)
		out->kind_var = excess_variance(
		    deviations(&all), all.n - 1, weight_excess(&all));
	for (i = 0; i < nkinds; i++)
		if (kinds[i].sums.n > 0)
			add(&fleet, mean_of(&kinds[i].sums),
			    1 / kinds[i].sums.weight + out->kind_var);
	out->mean = mean_of(&fleet);
	for (i = 0; i < nkinds; i++) {
		k = &kinds[i];
		k->mean = out->mean;
		k->var = out->kind_var;
		if (k->sums.n == 0)
			continue;
		k->mean = shrink(mean_of(&k->sums), 1 / k->sums.weight,
		    out->mean, out->kind_var);
		k->var = shrunk_variance(1 / k->sums.weight, out->kind_var);
	}
}

struct sp_summary
sp_pool(struct sp_worker *w, size_t n, unsigned nkinds)
{
	struct kind *kinds = g_new0(struct kind, nkinds + 1);
	struct sp_summary out = {0};
	const struct kind *k;
	double var;
	size_t i;

	out.run_var = run_variance(w, n, &out);
	for (i = 0; i < n; i++)
		if (sp_is_valid(&w[i].estimate))
			add(&kinds[w[i].kind].plain, w[i].estimate.mean,
			    sp_variance_of_mean(&w[i].estimate, out.run_var));
	out.worker_var = worker_variance(kinds, nkinds);
	for (i = 0; i < n; i++)
		if (sp_is_valid(&w[i].estimate))
			add(&kinds[w[i].kind].sums, w[i].estimate.mean,
			    sp_variance_of_mean(&w[i].estimate, out.run_var) +
				out.worker_var);
	shrink_kinds(kinds, nkinds, &out);
	for (i = 0; i < n; i++) {
		k = &kinds[w[i].kind];
		w[i].log_ratio = k->mean;
		w[i].error = sqrt(out.worker_var + k->var);
		if (!sp_is_valid(&w[i].estimate))
			continue;
		var = sp_variance_of_mean(&w[i].estimate, out.run_var);
		w[i].log_ratio =
		    shrink(w[i].estimate.mean, var, k->mean, out.worker_var);
		w[i].error =
		    sqrt(shrunk_variance(var, out.worker_var) + k->var);
	}
	g_free(kinds);
	return (out);
}
