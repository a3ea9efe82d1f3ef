#include <math.h>
#include <string.h>

#include "runner_impl.h"

#define PERMILLE 1000
/* Chance of taking an endpoint that works for a hanging one, by runs of
 * different jobs that all take long. */
#define HANGING_CHANCE 0.001
/* Run times of shorter tasks consist mostly of message delays. */
#define SIZE_MIN_MS 10

static bool
is_running(const struct ru_task *t)
{
	return (t->phase == RU_STARTING || t->phase == RU_RUNNING);
}

/* Whether an earlier run in the list is of the same job, whose tasks take alike
 * long. */
static bool
is_job_counted(const struct ru *r, guint index)
{
	const struct ru_task *t = r->tasks->pdata[index], *o;
	guint i;

	for (i = 0; i < index; i++) {
		o = r->tasks->pdata[i];
		if (is_running(o) && strcmp(o->id, t->id) == 0)
			return (true);
	}
	return (false);
}

/* Longest expected run time of the runs, 0 without runs. @oldest_ms: set to the
 * start of the oldest one. */
static double
longest_expected_ms(
    const struct ru *r, const struct sp_estimate *e, uint64_t *oldest_ms)
{
	double ratio = sp_is_valid(e) ? exp(e->mean) : 1, longest = 0;
	const struct ru_task *t;
	guint i;

	*oldest_ms = UINT64_MAX;
	for (i = 0; i < r->tasks->len; i++) {
		t = r->tasks->pdata[i];
		if (!is_running(t))
			continue;
		longest = fmax(longest, t->size_ms * ratio);
		*oldest_ms = MIN(*oldest_ms, t->started_ms);
	}
	return (longest);
}

/*
 * Whether no run has ended for longer than any of them was expected to take,
 * and this is no chance. A single job whose tasks all take long is no evidence:
 * of 49 runs that were stopped at four times the expected time, 49 took as long
 * again.
 */
static bool
is_hanging(const struct ru *r, const struct sp_estimate *e)
{
	uint64_t now = ck_mono_ms(r->clock), oldest;
	double longest = longest_expected_ms(r, e, &oldest), chance = 1;
	const struct ru_task *t;
	unsigned jobs = 0;
	guint i;

	if (longest == 0 ||
	    (double)now <= (double)MAX(r->ended_ms, oldest) + longest)
		return (false);
	for (i = 0; i < r->tasks->len; i++) {
		t = r->tasks->pdata[i];
		if (!is_running(t) || t->size_ms < SIZE_MIN_MS ||
		    is_job_counted(r, i))
			continue;
		jobs++;
		chance *= sp_overrun_chance(
		    e, t->size_ms, (double)(now - t->started_ms));
	}
	return (jobs > 1 && chance < HANGING_CHANCE);
}

struct pd_speed
ru_speed(const struct ru *r)
{
	const struct po_speed *s = &r->health.speed;
	uint64_t now_us = ck_mono_us(r->clock);
	struct sp_estimate e = sp_estimate(&r->health.log_speed, now_us);
	double ratio = po_run_ratio(s, now_us);
	struct pd_speed p = {.ejected = r->health.ejected};

	p.hanging = is_hanging(r, &e);
	if (s->samples == 0)
		return (p);
	p.samples = (unsigned)MIN(s->samples, UINT32_MAX);
	p.ratio_permille = (unsigned)(ratio * PERMILLE);
	p.mean_ms = (unsigned)(s->mean_ms * ratio / s->run_ratio);
	p.log_mean_permille = (int)lround(e.mean * PERMILLE);
	p.log_var_permille = (unsigned)lround(e.var * PERMILLE);
	p.log_samples = (unsigned)e.samples;
	return (p);
}
