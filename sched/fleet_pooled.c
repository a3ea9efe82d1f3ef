#include <limits.h>
#include <math.h>
#include <string.h>

#include "fleet_impl.h"
#include "log.h"

/* Speeds are pooled again after this time: as often as heartbeats come. */
#define POOL_INTERVAL_MS 200
/* Kinds that are told apart; workers of further ones count as one kind. */
#define KINDS_MAX 1024
/* Workers count as equal while the deviation between them is below the first,
 * and as unequal above the second: run times within a job deviate as much. */
#define EQUAL_DEVIATION 0.1
#define UNEQUAL_DEVIATION 0.2
/* Own run times contradict a report only if the means differ by this many
 * standard errors. */
#define CONTRADICTION_ERRORS 4.0
/* Tasks for which a worker of the own zone must have room to be preferred. At 1
 * the last free capacity of a zone is contended for: in the model of 55 entries
 * 3.9% instead of 3.4% of the grants were returned. */
#define AZ_TASKS 2
#define PERMILLE 1000.0
#define PERCENT 100

void
fl_set_kind(struct fl *f, struct fl_worker *w)
{
	g_autofree char *labels = g_strjoinv("\n", w->labels);
	char *key = g_strdup_printf("%s\n%s", w->service, labels);
	gpointer kind = g_hash_table_lookup(f->kinds, key);

	if (kind == NULL && g_hash_table_size(f->kinds) < KINDS_MAX) {
		kind = GUINT_TO_POINTER(g_hash_table_size(f->kinds) + 1);
		g_hash_table_insert(f->kinds, key, kind);
		key = NULL;
	}
	g_free(key);
	w->kind = GPOINTER_TO_UINT(kind);
}

static struct sp_estimate
reported_estimate(const struct pd_speed *s)
{
	struct sp_estimate e = {
	    .mean = s->log_mean_permille / PERMILLE,
	    .var = s->log_var_permille / PERMILLE,
	    .samples = s->log_samples,
	};

	return (e);
}

void
fl_check_report(
    struct fl *f, const struct fl_worker *w, const struct pd_speed *s)
{
	struct sp_estimate e = reported_estimate(s);

	if (s->log_samples < SP_SAMPLES_MIN || sp_is_valid(&e))
		return;
	ct_add(ct_get(f->counters, CT_COUNTER, "pd_speed_reports_invalid_total",
		   "Reports of a speed that cannot be true", ""),
	    1);
	lg_write(LOG_DEBUG, "fleet",
	    "worker %s reports a speed that cannot be true: logarithm %d/1000, "
	    "variance %u/1000",
	    w->name, s->log_mean_permille, s->log_var_permille);
}

/* Estimate of a worker: its agent's report, unless the run times of this
 * entry's own tasks are much longer. */
static struct sp_estimate
estimate_of(const struct fl *f, const struct fl_worker *w)
{
	struct sp_estimate own =
	    sp_estimate(&w->own.log_speed, ck_mono_us(f->clock));
	struct sp_estimate e = reported_estimate(&w->reported);
	double error;

	if (!sp_is_valid(&own) || own.samples < FL_CONTRADICTION_SAMPLES)
		return (e);
	if (!sp_is_valid(&e))
		return (own);
	error = sqrt(sp_variance_of_mean(&own, f->speeds.run_var) +
	    sp_variance_of_mean(&e, f->speeds.run_var));
	if (own.mean - e.mean > log(FL_CONTRADICTION_FACTOR) &&
	    own.mean - e.mean > CONTRADICTION_ERRORS * error)
		return (own);
	return (e);
}

static void
set_gauges(struct fl *f)
{
	ct_set(ct_get(f->counters, CT_GAUGE, "pd_speed_estimates",
		   "Workers whose speed is known", ""),
	    f->speeds.estimates);
	ct_set(
	    ct_get(f->counters, CT_GAUGE, "pd_speed_worker_deviation_percent",
		"Deviation of the run ratio between workers of a kind that "
		"the errors of the estimates do not explain",
		""),
	    lround(sqrt(f->speeds.worker_var) * PERCENT));
	ct_set(ct_get(f->counters, CT_GAUGE, "pd_speed_pooled",
		   "Whether workers are chosen by pooled speeds", ""),
	    f->pooled);
	ct_set(ct_get(f->counters, CT_GAUGE, "pd_speed_kind_deviation_percent",
		   "The same between kinds of workers", ""),
	    lround(sqrt(f->speeds.kind_var) * PERCENT));
}

/* Logs when workers that were taken for equal are told apart, and back. */
static void
log_change(const struct sp_summary *old, const struct sp_summary *s)
{
	if ((old->worker_var > 0) == (s->worker_var > 0) &&
	    (old->kind_var > 0) == (s->kind_var > 0))
		return;
	lg_write(LOG_INFO, "fleet",
	    "speeds of %u workers: deviation %.0f%% within a kind, %.0f%% "
	    "between kinds",
	    s->estimates, sqrt(s->worker_var) * PERCENT,
	    sqrt(s->kind_var) * PERCENT);
}

/*
 * Decides whether to choose by pooled speeds. Where workers are known to be
 * unequal, the speed of each alone is learned faster and refuses more of what
 * cannot be in time: with pooled speeds, four times as many jobs were given up
 * in a burst. Equal workers are told apart by the luck of their samples only.
 */
static void
update_pooled(struct fl *f)
{
	double deviation = sqrt(f->speeds.worker_var + f->speeds.kind_var);
	bool known = f->speeds.estimates * 2 >= f->connected->len;
	bool pooled = f->pooled
	    ? known && deviation < UNEQUAL_DEVIATION
	    : known && f->speeds.estimates > 1 && deviation < EQUAL_DEVIATION;

	if (pooled == f->pooled)
		return;
	f->pooled = pooled;
	lg_write(LOG_INFO, "fleet",
	    "workers are chosen by %s speeds: %u of %u are known, deviation "
	    "%.0f%%",
	    pooled ? "pooled" : "individual", f->speeds.estimates,
	    f->connected->len, deviation * PERCENT);
}

void
fl_pool(struct fl *f)
{
	uint64_t now = ck_mono_ms(f->clock);
	struct sp_summary old = f->speeds;
	struct sp_worker *p;
	struct fl_worker *w;
	guint i;

	if (f->pooled_ms != 0 && now - f->pooled_ms < POOL_INTERVAL_MS)
		return;
	f->pooled_ms = now;
	g_array_set_size(f->pool, f->connected->len);
	for (i = 0; i < f->connected->len; i++) {
		w = f->connected->pdata[i];
		p = &g_array_index(f->pool, struct sp_worker, i);
		p->estimate = estimate_of(f, w);
		p->kind = w->kind;
	}
	f->speeds = sp_pool((struct sp_worker *)f->pool->data, f->pool->len,
	    g_hash_table_size(f->kinds) + 1);
	for (i = 0; i < f->connected->len; i++) {
		w = f->connected->pdata[i];
		p = &g_array_index(f->pool, struct sp_worker, i);
		/* Mean of a lognormal distribution: an overload is judged by
		 * the mean of run times, their median is lower. */
		w->ratio = exp(p->log_ratio + f->speeds.run_var / 2);
		w->ratio_error = p->error;
	}
	set_gauges(f);
	log_change(&old, &f->speeds);
	if (f->only_equal)
		update_pooled(f);
}

static bool
has_returned(const struct fl_worker *w, const struct fl_requirements *req)
{
	unsigned i;

	for (i = 0; i < req->nreturned; i++)
		if (req->returned[i].worker == w &&
		    req->returned[i].reports == w->reports)
			return (true);
	return (false);
}

/* Fills f->candidates with the usable ones of @size random connected workers,
 * or of all if there are not more. @returned: set to the best one that has
 * returned the task. Return: the best one of the others. */
static struct fl_candidate
sample(struct fl *f, const struct fl_requirements *req, unsigned size, bool all,
    struct fl_candidate *returned)
{
	struct fl_candidate best = {0}, c;
	uint64_t now_us = ck_mono_us(f->clock);
	guint i, n = f->connected->len;
	/* Without a random start, ties would always go to the first one. */
	guint start = rn_below(f->rng, n), at;

	*returned = best;
	g_array_set_size(f->candidates, 0);
	for (i = 0; i < MIN(size, n); i++) {
		at = size < n ? rn_below(f->rng, n) : (start + i) % n;
		if (!fl_evaluate(
			f, req, f->connected->pdata[at], all, now_us, &c))
			continue;
		if (has_returned(c.worker, req)) {
			if (fl_is_better(req, &c, returned))
				*returned = c;
			continue;
		}
		g_array_append_val(f->candidates, c);
		if (fl_is_better(req, &c, &best))
			best = c;
	}
	return (best);
}

/* Whether the run times on two workers differ by no more than the error of
 * their estimates. */
static bool
is_equal(const struct fl_candidate *a, const struct fl_candidate *b)
{
	double error = hypot(a->worker->ratio_error, b->worker->ratio_error);

	return (a->worker == b->worker ||
	    fabs(log(a->worker->ratio / b->worker->ratio)) <= error);
}

/* The best of the candidates that are not equal to @best. */
static struct fl_candidate
best_unequal(const struct fl *f, const struct fl_requirements *req,
    const struct fl_candidate *best)
{
	struct fl_candidate other = {0};
	const struct fl_candidate *c;
	guint i;

	for (i = 0; i < f->candidates->len; i++) {
		c = &g_array_index(f->candidates, struct fl_candidate, i);
		if (!is_equal(c, best) && fl_is_better(req, c, &other))
			other = *c;
	}
	return (other);
}

/* Weight of a candidate in the choice among equal ones, 0 for none. Reports are
 * some 50 ms old: the more is free, the less likely it is that other entries
 * have taken it. */
static double
weight_of(const struct fl_requirements *req, const struct fl_candidate *c)
{
	double free_slots =
	    (double)fl_cpu_free(c->worker, req->priority) / MAX(req->cpu, 1);

	return (free_slots * free_slots);
}

/* Whether a worker is in the zone of this entry and has more free than the task
 * needs: other entries of the zone prefer it, too. */
static bool
is_preferred_az(const struct fl *f, const struct fl_requirements *req,
    const struct fl_worker *w)
{
	return (strcmp(w->az, f->az) == 0 &&
	    fl_cpu_free(w, req->priority) / AZ_TASKS >= req->cpu);
}

/*
 * Chooses at random among the candidates with free capacity that are equal to
 * @best and still better than all that are not: otherwise short tasks would
 * fill the last free capacity of the fast workers, which long ones need.
 *
 * Return: false if there are none.
 */
static bool
choose_equal(struct fl *f, const struct fl_requirements *req,
    struct fl_candidate *best, bool az_only)
{
	struct fl_candidate chosen = {0}, other = best_unequal(f, req, best);
	const struct fl_candidate *c;
	double sum = 0, weight;
	guint i;

	for (i = 0; i < f->candidates->len; i++) {
		c = &g_array_index(f->candidates, struct fl_candidate, i);
		if (!fl_has_room(c->worker, req) || !is_equal(c, best) ||
		    !fl_is_better(req, c, &other) ||
		    (az_only && !is_preferred_az(f, req, c->worker)))
			continue;
		weight = weight_of(req, c);
		sum += weight;
		if (rn_unit(f->rng) * sum < weight)
			chosen = *c;
	}
	if (chosen.worker == NULL)
		return (false);
	*best = chosen;
	return (true);
}

/*
 * A task whose prospects are best at a worker that has returned it waits for
 * the next report from there: the long tasks of an overloaded cell would
 * otherwise be left to slow workers, where they cannot end in time.
 */
struct fl_worker *
fl_choose_pooled(
    struct fl *f, const struct fl_requirements *req, double *finish_ms)
{
	struct fl_candidate best, returned;

	fl_pool(f);
	best = sample(f, req, FL_SAMPLE_SIZE, false, &returned);
	if (best.worker == NULL || !fl_has_room(best.worker, req) ||
	    best.prospect != PR_SAFE)
		best = sample(f, req, FL_LARGE_SAMPLE_SIZE, false, &returned);
	if (best.worker == NULL)
		best = sample(f, req, UINT_MAX, false, &returned);
	/* Fall back to a worker that the task has failed on. */
	if (best.worker == NULL && returned.worker == NULL)
		best = sample(f, req, UINT_MAX, true, &returned);
	*finish_ms = best.finish_ms;
	if (best.worker == NULL || returned.prospect > best.prospect)
		return (NULL);
	if (f->az == NULL || !choose_equal(f, req, &best, true))
		choose_equal(f, req, &best, false);
	*finish_ms = best.finish_ms;
	return (best.worker);
}
