#include <limits.h>
#include <math.h>
#include <string.h>

#include "policy.h"
#include "rng.h"

/* Weight of a new sample in the slow average; see docs/design.md, Dispatch. */
#define SLOW_WEIGHT 0.03
/* Weight of a new sample in the recent average. */
#define FAST_WEIGHT 0.15
/*
 * The recent average replaces the slow one when they differ by this factor.
 * Declared sizes are wrong by up to 10x, so a lower factor would react to
 * noise.
 */
#define DIVERGENCE_RATIO 2.5
/* Number of tasks behind the recent average, to weigh running tasks against. */
#define FAST_WINDOW_TASKS (1.0 / FAST_WEIGHT)
/* Assumed mean run time of an endpoint that has not finished a task yet. */
#define DEFAULT_MEAN_MS 100.0
/* The size model averages over about 300 tasks of all endpoints. */
#define SIZE_MODEL_WEIGHT 0.003
/*
 * The learned speed of an idle endpoint becomes stale: after STALE_US without a
 * sample it is assumed to double with each further STALE_US, up to
 * STALE_SPEEDUP_MAX, so that an endpoint that has recovered is tried again.
 */
#define STALE_US 5e6
#define STALE_SPEEDUP_MAX 16.0
/* Time constant with which an average loses weight against a new sample. */
#define AVERAGE_DECAY_US 10e6
/* Samples and log variance below which declared sizes are used unchanged. */
#define SIZE_SAMPLES_MIN 30
#define SIZE_VARIANCE_MIN 0.01

/* Exponential average; plain mean at first, to learn a new endpoint quickly. */
static double
moving_average(double mean, double value, double weight, uint64_t samples)
{
	double plain;

	plain = 1.0 / (double)(samples + 1);
	return (mean + (value - mean) * (plain > weight ? plain : weight));
}

/* Elapsed time divided by size, summed over the running tasks. */
static double
running_ratio_sum(const struct po_speed *s, uint64_t now_us)
{
	double sum;

	sum = ((double)now_us * s->inv_size_sum - s->start_over_size_sum) /
	    1000.0;
	return (sum > 0 ? sum : 0);
}

/* Factor by which an idle endpoint is assumed faster than learned. */
static double
stale_speedup(const struct po_speed *s, uint64_t now_us)
{
	double idle;

	if (s->inv_size_sum > 0 || now_us <= s->last_sample_us)
		return (1);
	idle = (double)(now_us - s->last_sample_us) / STALE_US;
	if (idle <= 1)
		return (1);
	return (idle > 1 + log2(STALE_SPEEDUP_MAX) ? STALE_SPEEDUP_MAX
						   : exp2(idle - 1));
}

double
po_run_ratio(const struct po_speed *s, uint64_t now_us)
{
	double slow, finished, recent;

	if (s->samples == 0)
		return (1.0);
	slow = s->run_ratio / stale_speedup(s, now_us);
	finished = s->recent_ratio / stale_speedup(s, now_us);
	/* Running tasks are censored samples: they add time, but no task. */
	recent = finished + running_ratio_sum(s, now_us) / FAST_WINDOW_TASKS;
	if (recent > slow * DIVERGENCE_RATIO)
		return (recent);
	if (finished * DIVERGENCE_RATIO < slow && recent < slow)
		return (recent);
	return (slow);
}

static double
mean_ms(const struct po_speed *s, uint64_t now_us)
{
	if (s->samples == 0)
		return (DEFAULT_MEAN_MS);
	return (s->mean_ms * po_run_ratio(s, now_us) / s->run_ratio);
}

double
po_wait_ms(const struct po_endpoint *e, uint64_t now_us)
{
	if (e->load < e->slots || e->slots == 0)
		return (0);
	return (
	    (e->load - e->slots + 1) * mean_ms(&e->speed, now_us) / e->slots);
}

void
po_task_started(struct po_speed *s, double size_ms, uint64_t start_us)
{
	s->inv_size_sum += 1.0 / size_ms;
	s->start_over_size_sum += (double)start_us / size_ms;
}

void
po_task_ended(struct po_speed *s, double size_ms, uint64_t start_us)
{
	s->inv_size_sum -= 1.0 / size_ms;
	s->start_over_size_sum -= (double)start_us / size_ms;
	if (s->inv_size_sum < 1e-9) {
		s->inv_size_sum = 0;
		s->start_over_size_sum = 0;
	}
}

void
po_learn_run_time(
    struct po_speed *s, double size_ms, double run_ms, uint64_t now_us)
{
	double run_ratio, decayed;

	run_ratio = (run_ms > 0.1 ? run_ms : 0.1) / size_ms;
	decayed =
	    1 - exp(-(double)(now_us - s->last_sample_us) / AVERAGE_DECAY_US);
	s->last_sample_us = now_us;
	s->run_ratio = moving_average(
	    s->run_ratio, run_ratio, fmax(SLOW_WEIGHT, decayed), s->samples);
	s->recent_ratio = moving_average(
	    s->recent_ratio, run_ratio, fmax(FAST_WEIGHT, decayed), s->samples);
	s->mean_ms = moving_average(
	    s->mean_ms, run_ms, fmax(SLOW_WEIGHT, decayed), s->samples);
	s->samples++;
}

/* Slope of the regression of log run size on log declared size, 0 to 1. */
static double
size_slope(const struct po_size_model *s)
{
	double slope;

	if (s->samples < SIZE_SAMPLES_MIN || s->var_x < SIZE_VARIANCE_MIN)
		return (1);
	slope = s->cov / s->var_x;
	return (slope < 0 ? 0 : slope > 1 ? 1 : slope);
}

double
po_expected_size(const struct po_size_model *s, double declared_ms)
{
	double slope;

	slope = size_slope(s);
	if (slope == 1)
		return (declared_ms);
	return (exp(s->mean_x + slope * (log(declared_ms) - s->mean_x)));
}

void
po_learn_size(struct po_size_model *s, double declared_ms, double actual_ms)
{
	double dx, dy, factor, x, y;

	x = log(declared_ms);
	y = log(actual_ms > 0.1 ? actual_ms : 0.1);
	factor = 1.0 / (double)(s->samples + 1);
	if (factor < SIZE_MODEL_WEIGHT)
		factor = SIZE_MODEL_WEIGHT;
	s->samples++;
	dx = x - s->mean_x;
	dy = y - s->mean_y;
	s->mean_x += factor * dx;
	s->mean_y += factor * dy;
	s->var_x += factor * (dx * (x - s->mean_x) - s->var_x);
	s->cov += factor * (dx * (y - s->mean_y) - s->cov);
}

/* The first endpoint with room from a random index on. */
static size_t
choose_random(struct po_endpoint *const *list, size_t n,
    const struct po_task *t, struct rn *rng)
{
	size_t first, i, k;

	(void)t;
	if (n == 0)
		return (PO_WAIT);
	first = rn_below(rng, (uint32_t)n);
	for (i = 0; i < n; i++) {
		k = (first + i) % n;
		if (po_has_room(list[k]))
			return (k);
	}
	return (PO_WAIT);
}

static size_t
choose_two(struct po_endpoint *const *list, size_t n, const struct po_task *t,
    struct rn *rng)
{
	size_t a, b;

	a = choose_random(list, n, t, rng);
	if (a == PO_WAIT)
		return (PO_WAIT);
	b = choose_random(list, n, t, rng);
	if (list[b]->load * list[a]->slots < list[a]->load * list[b]->slots)
		return (b);
	return (a);
}

static double
finish_ms(const struct po_endpoint *e, const struct po_task *t)
{
	return (po_wait_ms(e, t->now_us) +
	    t->size_ms * po_run_ratio(&e->speed, t->now_us));
}

/*
 * Tasks that an agent may queue beyond its slots. QUEUE_DEPTH_MIN keeps a slot
 * busy during the round trip of a report and a grant. The depth grows by one
 * when the tasks that wait at the entry are 1/QUEUE_DEPTH_SCALE of the slots,
 * and by one more with each doubling.
 */
#define QUEUE_DEPTH_MIN 1
#define QUEUE_DEPTH_MAX 6
#define QUEUE_DEPTH_SCALE 4
/* Endpoints compared for one task; covers all endpoints of present cells. */
#define CANDIDATES_MAX 48

/*
 * Expected finish of a task that stays at the entry until an endpoint with a
 * lower ratio than @run_ratio has a free slot. All tasks that wait at the entry
 * go there first.
 */
static double
deferred_finish_ms(struct po_endpoint *const *list, size_t n,
    const struct po_task *t, double run_ratio)
{
	double other, rate, rate_sum, weighted_ratio;
	size_t i;

	rate_sum = weighted_ratio = 0;
	for (i = 0; i < n && i < CANDIDATES_MAX; i++) {
		if (list[i]->limit == 0)
			continue;
		other = po_run_ratio(&list[i]->speed, t->now_us);
		if (other >= run_ratio)
			continue;
		rate = list[i]->slots / mean_ms(&list[i]->speed, t->now_us);
		rate_sum += rate;
		weighted_ratio += other * rate;
	}
	if (rate_sum <= 0)
		return (INFINITY);
	return ((double)t->nwaiting / rate_sum +
	    t->size_ms * weighted_ratio / rate_sum);
}

static size_t
choose_learned(struct po_endpoint *const *list, size_t n,
    const struct po_task *t, struct rn *rng)
{
	double earliest, finish;
	size_t first, best, i, k, looked;

	if (n == 0)
		return (PO_WAIT);
	earliest = INFINITY;
	best = PO_WAIT;
	first = rn_below(rng, (uint32_t)n);
	for (i = 0, looked = 0; i < n && looked < CANDIDATES_MAX; i++) {
		k = (first + i) % n;
		if (!po_has_room(list[k]))
			continue;
		looked++;
		finish = finish_ms(list[k], t);
		if (finish < earliest) {
			earliest = finish;
			best = k;
		}
	}
	if (best == PO_WAIT)
		return (PO_WAIT);
	if (deferred_finish_ms(list, n, t,
		po_run_ratio(&list[best]->speed, t->now_us)) < earliest)
		return (PO_WAIT);
	return (best);
}

/*
 * An entry with a longer queue fills the agents' queues deeper. It then gets
 * the next free slots, which balances the waiting times of the entries. With
 * the same depth for all, each entry would keep the slots that it has, since a
 * freed slot is reported first to the entry whose task ran there.
 */
static unsigned
queue_depth_learned(size_t waiting, unsigned slots)
{
	double depth;

	depth = log2(1 + QUEUE_DEPTH_SCALE * (double)waiting / (slots + 1));
	return (QUEUE_DEPTH_MIN +
	    (unsigned)fmin(QUEUE_DEPTH_MAX - QUEUE_DEPTH_MIN, depth));
}

static unsigned
queue_depth_unlimited(size_t waiting, unsigned slots)
{
	(void)waiting;
	(void)slots;
	return (UINT_MAX);
}

static const struct po_ops policies[] = {
    {"learned", queue_depth_learned, choose_learned},
    {"random", queue_depth_unlimited, choose_random},
    {"two_choices", queue_depth_unlimited, choose_two},
};

const struct po_ops *
po_find(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(policies) / sizeof(policies[0]); i++)
		if (strcmp(policies[i].name, name) == 0)
			return (&policies[i]);
	return (NULL);
}
