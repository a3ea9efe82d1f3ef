#include <glib.h>
#include <math.h>
#include <string.h>

#include "runtimes.h"

/* Samples that the average covers. At 500, sizes of 3% of the jobs have 15
 * samples, and a change of the distribution has replaced two thirds of the old
 * samples after 500 jobs. */
#define WINDOW 500.0
#define DECAY (1 - 1 / WINDOW)
/* Samples beyond this cannot come from an entry with the same window. */
#define SUMMARY_SAMPLES_MAX 1000

/* The prior: samples' worth spread around the observed sizes. Its density falls
 * by a factor of e for each doubling of the distance, so its mean is finite. */
#define PRIOR_SAMPLES 2.0
#define PRIOR_FALL (1.0 / RT_BINS_PER_DOUBLING)
/* Content of each bin without any sample, so that each size is possible. */
#define FLAT_PRIOR 1e-6

/* Prior of the error of declarations: a factor of 1.65 in either direction, at
 * the weight of a few samples. */
#define ERROR_PRIOR_SAMPLES 5.0
#define ERROR_PRIOR_SD 0.5
/* A smaller deviation is below the width of a bin, 0.116. */
#define ERROR_SD_MIN 0.1
#define ERROR_SD_MAX 3.0
/* Larger errors, of a factor of 150, count as this one. */
#define ERROR_MAX 5.0

/* Without a new summary of an entry, the weight of its last one halves in this
 * time: at 55 entries each one sends to each other one about once a minute. */
#define SUMMARY_HALF_LIFE_MS 120000.0
/* A summary of less weight is dropped. */
#define SUMMARY_WEIGHT_MIN 0.05

#define LEVEL_MAX 255
#define PERMILLE 1000.0

/* Weight, sum and sum of squares of errors. */
struct moments {
	double n;
	double sum;
	double squares;
};

/* Last summary of another entry. @weight: 1 when it is new. */
struct sender {
	double weight;
	struct rt_summary summary;
};

struct rt {
	double own[RT_BINS];
	struct moments own_errors;
	GHashTable *senders; /* name -> struct sender, owned */
	/* Sums over the senders. */
	double others[RT_BINS];
	struct moments other_errors;
	/* Derived from all of the above. */
	double all[RT_BINS]; /* with the prior */
	double samples;
	double error_mean;
	double error_sd;
};

static double
sum_of(const double *bins)
{
	double sum = 0;
	unsigned i;

	for (i = 0; i < RT_BINS; i++)
		sum += bins[i];
	return (sum);
}

static void
refresh_errors(struct rt *r)
{
	const struct moments *a = &r->own_errors, *b = &r->other_errors;
	double n = ERROR_PRIOR_SAMPLES + a->n + b->n;
	double squares = ERROR_PRIOR_SAMPLES * ERROR_PRIOR_SD * ERROR_PRIOR_SD +
	    a->squares + b->squares;
	double variance;

	r->error_mean = (a->sum + b->sum) / n;
	variance = squares / n - r->error_mean * r->error_mean;
	r->error_sd =
	    CLAMP(sqrt(fmax(variance, 0)), ERROR_SD_MIN, ERROR_SD_MAX);
}

/* Adds the prior: the content of each bin, spread over the others with weights
 * that fall exponentially on both sides. */
static void
add_prior(double *bins, double samples)
{
	double fall = exp(-PRIOR_FALL), up[RT_BINS], down = 0;
	double scale = PRIOR_SAMPLES / samples * (1 - fall) / (1 + fall);
	unsigned i;

	up[0] = bins[0];
	for (i = 1; i < RT_BINS; i++)
		up[i] = bins[i] + up[i - 1] * fall;
	for (i = RT_BINS; i-- > 0;) {
		double content = bins[i];

		bins[i] += (up[i] + down) * scale;
		down = (down + content) * fall;
	}
}

static void
refresh(struct rt *r)
{
	unsigned i;

	for (i = 0; i < RT_BINS; i++)
		r->all[i] = r->own[i] + r->others[i];
	r->samples = sum_of(r->all);
	if (r->samples > 0)
		add_prior(r->all, r->samples);
	for (i = 0; i < RT_BINS; i++)
		r->all[i] += FLAT_PRIOR;
	refresh_errors(r);
}

struct rt *
rt_new(void)
{
	struct rt *r = g_new0(struct rt, 1);

	r->senders =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	refresh(r);
	return (r);
}

void
rt_free(struct rt *r)
{
	if (r == NULL)
		return;
	g_hash_table_destroy(r->senders);
	g_free(r);
}

static bool
is_known(double declared_ms)
{
	return (declared_ms > 0 && declared_ms <= RT_MAX_MS);
}

/* Position of a run time on the scale of the bins, 0 to RT_BINS. */
static double
position(double ms)
{
	if (!(ms > 1))
		return (0);
	return (fmin(log2(ms) * RT_BINS_PER_DOUBLING, RT_BINS));
}

/* Run time at a position. */
static double
time_at(double pos)
{
	return (exp2(pos / RT_BINS_PER_DOUBLING));
}

/* Square of the error, in deviations, that a declaration has if the run time is
 * in the middle of a bin. */
static double
square_error(const struct rt *r, double declared_ms, unsigned bin)
{
	double actual = (bin + 0.5) * M_LN2 / RT_BINS_PER_DOUBLING;
	double z = (log(declared_ms) - actual - r->error_mean) / r->error_sd;

	return (z * z);
}

/*
 * Fills the probability of each bin given a declaration and that the run time
 * is beyond @start, a position: the histogram times the normal density of the
 * error. Of the bin of @start the part beyond it counts. The densities are
 * relative to the highest one, since all may be too small for a double.
 *
 * Return: sum of the bins, by which they are to be divided.
 */
static double
fill_posterior(const struct rt *r, double declared_ms, double start,
    double bins[static RT_BINS])
{
	double squares[RT_BINS] = {0}, least = INFINITY, sum = 0;
	unsigned first = (unsigned)start, i;

	for (i = first; i < RT_BINS; i++) {
		if (is_known(declared_ms))
			squares[i] = square_error(r, declared_ms, i);
		least = fmin(least, squares[i]);
	}
	for (i = 0; i < RT_BINS; i++) {
		bins[i] = 0;
		if (i < first)
			continue;
		bins[i] = r->all[i] * exp((least - squares[i]) / 2);
		if (i == first)
			bins[i] *= 1 - (start - first);
		sum += bins[i];
	}
	return (sum);
}

static void
age_own(struct rt *r)
{
	unsigned i;

	for (i = 0; i < RT_BINS; i++)
		r->own[i] *= DECAY;
}

static void
learn_error(struct moments *m, double error)
{
	double e = CLAMP(error, -ERROR_MAX, ERROR_MAX);

	m->n = m->n * DECAY + 1;
	m->sum = m->sum * DECAY + e;
	m->squares = m->squares * DECAY + e * e;
}

void
rt_ended(struct rt *r, double declared_ms, double run_ms)
{
	unsigned bin;

	if (!(run_ms >= 0) || isinf(run_ms))
		return;
	age_own(r);
	bin = (unsigned)position(run_ms);
	r->own[MIN(bin, RT_BINS - 1)]++;
	if (is_known(declared_ms))
		learn_error(&r->own_errors,
		    log(declared_ms) - log(CLAMP(run_ms, 1, RT_MAX_MS)));
	refresh(r);
}

void
rt_cut(struct rt *r, double declared_ms, double run_ms)
{
	double bins[RT_BINS], sum;
	unsigned i;

	if (!(run_ms >= 0) || isinf(run_ms))
		return;
	sum = fill_posterior(r, declared_ms, position(run_ms), bins);
	age_own(r);
	for (i = 0; i < RT_BINS && sum > 0; i++)
		r->own[i] += bins[i] / sum;
	/* Beyond the scale. */
	if (sum <= 0)
		r->own[RT_BINS - 1]++;
	refresh(r);
}

unsigned
rt_samples(const struct rt *r)
{
	return ((unsigned)lround(r->samples));
}

double
rt_chance(
    const struct rt *r, double declared_ms, double run_ms, double limit_ms)
{
	double start = position(run_ms), limit = position(limit_ms);
	double bins[RT_BINS], sum, within = 0, from;
	unsigned i;

	if (rt_samples(r) < RT_SAMPLES_MIN)
		return (1);
	if (limit <= start)
		return (0);
	sum = fill_posterior(r, declared_ms, start, bins);
	for (i = (unsigned)start; i < RT_BINS && i < limit; i++) {
		from = fmax(i, start);
		within +=
		    bins[i] * (fmin(i + 1, limit) - from) / (i + 1 - from);
	}
	return (sum > 0 ? fmin(within / sum, 1) : 0);
}

double
rt_expected(const struct rt *r, double declared_ms, double run_ms)
{
	double start = position(run_ms);
	double bins[RT_BINS], sum, total = 0;
	unsigned i;

	if (rt_samples(r) < RT_SAMPLES_MIN)
		return (declared_ms);
	sum = fill_posterior(r, declared_ms, start, bins);
	for (i = (unsigned)start; i < RT_BINS; i++)
		total += bins[i] * time_at((fmax(i, start) + i + 1) / 2);
	return (sum > 0 ? total / sum : run_ms);
}

bool
rt_export(const struct rt *r, struct rt_summary *s)
{
	const struct moments *e = &r->own_errors;
	double highest = 0, mean = 0, variance = 0;
	unsigned i;

	memset(s, 0, sizeof(*s));
	s->samples = (unsigned)lround(sum_of(r->own));
	if (s->samples == 0)
		return (false);
	for (i = 0; i < RT_BINS; i++)
		highest = fmax(highest, r->own[i]);
	for (i = 0; i < RT_BINS; i++)
		s->bins[i] =
		    (uint8_t)lround(LEVEL_MAX * sqrt(r->own[i] / highest));
	if (e->n > 0) {
		mean = e->sum / e->n;
		variance = fmax(e->squares / e->n - mean * mean, 0);
	}
	s->error_samples = (unsigned)lround(e->n);
	s->error_mean_permille = (int)lround(mean * PERMILLE);
	s->error_sd_permille = (unsigned)lround(sqrt(variance) * PERMILLE);
	return (true);
}

static double
level_sum(const struct rt_summary *s)
{
	double sum = 0;
	unsigned i;

	for (i = 0; i < RT_BINS; i++)
		sum += s->bins[i] * s->bins[i];
	return (sum);
}

static bool
is_plausible(const struct rt_summary *s)
{
	return (s->samples > 0 && s->samples <= SUMMARY_SAMPLES_MAX &&
	    s->error_samples <= SUMMARY_SAMPLES_MAX &&
	    s->error_mean_permille <= ERROR_MAX * PERMILLE &&
	    s->error_mean_permille >= -ERROR_MAX * PERMILLE &&
	    s->error_sd_permille <= ERROR_MAX * PERMILLE && level_sum(s) > 0);
}

static void
add_summary(struct rt *r, const struct sender *from)
{
	const struct rt_summary *s = &from->summary;
	double scale = s->samples * from->weight / level_sum(s);
	double n = s->error_samples * from->weight;
	double mean = s->error_mean_permille / PERMILLE;
	double sd = s->error_sd_permille / PERMILLE;
	unsigned i;

	for (i = 0; i < RT_BINS; i++)
		r->others[i] += s->bins[i] * s->bins[i] * scale;
	r->other_errors.n += n;
	r->other_errors.sum += n * mean;
	r->other_errors.squares += n * (mean * mean + sd * sd);
}

static void
add_all_summaries(struct rt *r)
{
	struct sender *from;
	GHashTableIter it;

	memset(r->others, 0, sizeof(r->others));
	memset(&r->other_errors, 0, sizeof(r->other_errors));
	g_hash_table_iter_init(&it, r->senders);
	while (g_hash_table_iter_next(&it, NULL, (void **)&from))
		add_summary(r, from);
	refresh(r);
}

static void
drop_oldest_summary(struct rt *r)
{
	const char *name, *oldest = NULL;
	double least = INFINITY;
	struct sender *from;
	GHashTableIter it;

	g_hash_table_iter_init(&it, r->senders);
	while (g_hash_table_iter_next(&it, (void **)&name, (void **)&from))
		if (from->weight < least) {
			least = from->weight;
			oldest = name;
		}
	g_hash_table_remove(r->senders, oldest);
}

bool
rt_merge(struct rt *r, const char *sender, const struct rt_summary *s)
{
	struct sender *from = g_hash_table_lookup(r->senders, sender);

	if (!is_plausible(s))
		return (false);
	if (from == NULL) {
		if (g_hash_table_size(r->senders) >= RT_SENDERS_MAX)
			drop_oldest_summary(r);
		from = g_new0(struct sender, 1);
		g_hash_table_insert(r->senders, g_strdup(sender), from);
	}
	from->weight = 1;
	from->summary = *s;
	add_all_summaries(r);
	return (true);
}

void
rt_age(struct rt *r, double elapsed_ms)
{
	double factor = exp2(-elapsed_ms / SUMMARY_HALF_LIFE_MS);
	struct sender *from;
	GHashTableIter it;

	if (g_hash_table_size(r->senders) == 0)
		return;
	g_hash_table_iter_init(&it, r->senders);
	while (g_hash_table_iter_next(&it, NULL, (void **)&from)) {
		from->weight *= factor;
		if (from->weight < SUMMARY_WEIGHT_MIN)
			g_hash_table_iter_remove(&it);
	}
	add_all_summaries(r);
}
