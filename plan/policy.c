#include <limits.h>
#include <math.h>
#include <string.h>

#include "policy.h"
#include "rng.h"

/* Factor of the moving average, from the design page. */
#define SLOW_FACTOR 0.03
/* The first samples count fully, so that a new endpoint is known soon. */
#define FAST_FACTOR 0.15
/*
 * The recent average replaces the slow one when they differ by this factor.
 * Declared sizes are wrong by up to 10x, so less would follow noise.
 */
#define JUMP 2.5
/* Tasks behind FAST_FACTOR, for weighing tasks that still run against it. */
#define FAST_TASKS (1.0 / FAST_FACTOR)
/* Expected run time of an endpoint that has not finished a task yet. */
#define FIRST_MEAN_MS 100.0
/* Declared sizes are averaged over about 300 tasks of all endpoints. */
#define SIZES_FACTOR 0.003
/*
 * What was learned of an endpoint that gets no work grows old: after
 * STALE_US it counts as faster by a factor of two for each further STALE_US,
 * up to STALE_MAX, so that an endpoint that has recovered is tried again.
 */
#define STALE_US 5e6
#define STALE_MAX 16.0
/* Time in which an old average loses its weight against a new run time. */
#define MEMORY_US 10e6
/* Tasks, and variance of the logarithm, below which sizes are taken as said. */
#define SIZES_MIN 30
#define SIZES_SPREAD 0.01

static double
average(double old, double value, double factor, uint64_t samples)
{
	double first;

	first = 1.0 / (double)(samples + 1);
	return (old + (value - old) * (first > factor ? first : factor));
}

/* Elapsed time per unit of size, summed over the running tasks. */
static double
running_units(const struct po_speed *s, uint64_t now_us)
{
	double units;

	units = ((double)now_us * s->inv_size_sum - s->start_over_size_sum) /
	    1000.0;
	return (units > 0 ? units : 0);
}

/* Factor by which an endpoint without work may be faster than learned. */
static double
hope(const struct po_speed *s, uint64_t now_us)
{
	double idle;

	if (s->inv_size_sum > 0 || now_us <= s->last_sample_us)
		return (1);
	idle = (double)(now_us - s->last_sample_us) / STALE_US;
	if (idle <= 1)
		return (1);
	return (idle > 1 + log2(STALE_MAX) ? STALE_MAX : exp2(idle - 1));
}

double
po_run_ratio(const struct po_speed *s, uint64_t now_us)
{
	double slow, last, recent;

	if (s->samples == 0)
		return (1.0);
	slow = s->unit / hope(s, now_us);
	last = s->recent / hope(s, now_us);
	/* Running tasks are censored samples: they add time but no task. */
	recent = last + running_units(s, now_us) / FAST_TASKS;
	if (recent > slow * JUMP)
		return (recent);
	if (last * JUMP < slow && recent < slow)
		return (recent);
	return (slow);
}

static double
mean_ms(const struct po_speed *s, uint64_t now_us)
{
	if (s->samples == 0)
		return (FIRST_MEAN_MS);
	return (s->mean_ms * po_run_ratio(s, now_us) / s->unit);
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
	double unit, old;

	unit = (run_ms > 0.1 ? run_ms : 0.1) / size_ms;
	old = 1 - exp(-(double)(now_us - s->last_sample_us) / MEMORY_US);
	s->last_sample_us = now_us;
	s->unit = average(s->unit, unit, fmax(SLOW_FACTOR, old), s->samples);
	s->recent =
	    average(s->recent, unit, fmax(FAST_FACTOR, old), s->samples);
	s->mean_ms =
	    average(s->mean_ms, run_ms, fmax(SLOW_FACTOR, old), s->samples);
	s->samples++;
}

static double
trust(const struct po_size_model *s)
{
	double slope;

	if (s->samples < SIZES_MIN || s->var_x < SIZES_SPREAD)
		return (1);
	slope = s->cov / s->var_x;
	return (slope < 0 ? 0 : slope > 1 ? 1 : slope);
}

double
po_expected_size(const struct po_size_model *s, double declared_ms)
{
	double t;

	t = trust(s);
	if (t == 1)
		return (declared_ms);
	return (exp(s->mean_x + t * (log(declared_ms) - s->mean_x)));
}

void
po_learn_size(struct po_size_model *s, double declared_ms, double actual_ms)
{
	double dx, dy, factor, x, y;

	x = log(declared_ms);
	y = log(actual_ms > 0.1 ? actual_ms : 0.1);
	factor = 1.0 / (double)(s->samples + 1);
	if (factor < SIZES_FACTOR)
		factor = SIZES_FACTOR;
	s->samples++;
	dx = x - s->mean_x;
	dy = y - s->mean_y;
	s->mean_x += factor * dx;
	s->mean_y += factor * dy;
	s->var_x += factor * (dx * (x - s->mean_x) - s->var_x);
	s->cov += factor * (dx * (y - s->mean_y) - s->cov);
}

/* Random starting point, then the next usable endpoint. */
static size_t
draw(struct po_endpoint *const *list, size_t n, const struct po_task *t,
    struct rn *rng)
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

	a = draw(list, n, t, rng);
	if (a == PO_WAIT)
		return (PO_WAIT);
	b = draw(list, n, t, rng);
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
 * Tasks that an agent may hold beyond its slots. QUEUE_MIN bridges the round
 * trip of a report and a grant. One more is held when the tasks that wait at
 * the entry are 1/QUEUE_STEPS of the slots, and one for each doubling.
 */
#define QUEUE_MIN 1
#define QUEUE_MAX 6
#define QUEUE_STEPS 4
/* Endpoints looked at for one task; all of them in today's cells. */
#define LOOK_MAX 48

/*
 * Expected finish when a task stays at the entry until an endpoint that is
 * faster than @unit has a free slot; the tasks ahead of it go there first.
 */
static double
later_ms(struct po_endpoint *const *list, size_t n, const struct po_task *t,
    double unit)
{
	double other, rate, sum, units;
	size_t i;

	sum = units = 0;
	for (i = 0; i < n && i < LOOK_MAX; i++) {
		if (list[i]->limit == 0)
			continue;
		other = po_run_ratio(&list[i]->speed, t->now_us);
		if (other >= unit)
			continue;
		rate = list[i]->slots / mean_ms(&list[i]->speed, t->now_us);
		sum += rate;
		units += other * rate;
	}
	if (sum <= 0)
		return (INFINITY);
	return ((double)t->ahead / sum + t->size_ms * units / sum);
}

static size_t
choose_learned(struct po_endpoint *const *list, size_t n,
    const struct po_task *t, struct rn *rng)
{
	double best, finish;
	size_t first, found, i, k, looked;

	if (n == 0)
		return (PO_WAIT);
	best = INFINITY;
	found = PO_WAIT;
	first = rn_below(rng, (uint32_t)n);
	for (i = 0, looked = 0; i < n && looked < LOOK_MAX; i++) {
		k = (first + i) % n;
		if (!po_has_room(list[k]))
			continue;
		looked++;
		finish = finish_ms(list[k], t);
		if (finish < best) {
			best = finish;
			found = k;
		}
	}
	if (found == PO_WAIT)
		return (PO_WAIT);
	if (later_ms(list, n, t, po_run_ratio(&list[found]->speed, t->now_us)) <
	    best)
		return (PO_WAIT);
	return (found);
}

/*
 * The entry with the longer queue pushes deeper into the agents' queues, so
 * that it gets the next free slots and the waits of the entries even out. With
 * the same depth for all, each keeps the slots that it has, since a freed slot
 * is reported first to the entry whose task ran there.
 */
static unsigned
queue_learned(size_t waiting, unsigned slots)
{
	double depth;

	depth = log2(1 + QUEUE_STEPS * (double)waiting / (slots + 1));
	return (QUEUE_MIN + (unsigned)fmin(QUEUE_MAX - QUEUE_MIN, depth));
}

static unsigned
queue_any(size_t waiting, unsigned slots)
{
	(void)waiting;
	(void)slots;
	return (UINT_MAX);
}

static const struct po_ops policies[] = {
    {"learned", queue_learned, choose_learned},
    {"random", queue_any, draw},
    {"two_choices", queue_any, choose_two},
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
