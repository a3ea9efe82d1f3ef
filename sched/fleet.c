#include <glib.h>
#include <math.h>
#include <string.h>

#include "clock.h"
#include "config.h"
#include "counters.h"
#include "fleet.h"
#include "level.h"
#include "log.h"
#include "rng.h"

/* Time between probes of an ejected worker: two tasks a second are risked. */
#define FL_PROBE_MS 500
/* A worker that no heartbeat came from for three periods gets no work. */
#define FL_SILENT_MS 650
/* Agents reach an entry that has started, or woken up, within this time. */
#define FL_SETTLE_MS 1000
/* A pause of the process that is longer than one between heartbeats. */
#define FL_GAP_MS 300
/* Mean run time of a worker that has not finished a task yet. */
#define FL_FIRST_MEAN_MS 150.0

/* Expected wait at a worker that is full as far as known, in mean run times:
 * one of some ten that run there ends after a tenth. */
#define FULL_SHARE 0.15
/* Workers that are looked at for one task, on average: fewer would miss the
 * fast ones. */
#define SAMPLE 16
/* Allowance for work that has come to a worker since its last report: a sixth
 * of its room, which is some 30 ms of waiting. */
#define QUEUE_SHARE 6
/* How late the expected wait rises as a worker fills up. */
#define FULL_POWER 6
/* Weight of the wait that a task causes to those behind it. On the replayed
 * loads 1 leaves long tasks without the fast workers and 6 moves short ones to
 * slow workers too early. */
#define DELAY_WEIGHT 3.0

/* Run times of shorter tasks tell more of messages than of the worker: from one
 * of 1 ms that took 10 ms all others were expected to take ten times longer,
 * and were refused. */
#define LEARN_MIN_MS 10

struct fl {
	const struct ck *clock;
	struct ct *counters;
	const struct cf *config;
	struct rn *rng;
	GPtrArray *workers; /* struct fl_worker, owned */
	uint64_t settle_from_ms;
	uint64_t ticked_ms;
};

static void
worker_free(void *p)
{
	struct fl_worker *w = p;

	g_free(w->name);
	g_free(w->az);
	g_free(w->service);
	g_free(w->labels);
	g_free(w);
}

struct fl *
fl_new(const struct ck *clock, struct ct *counters, const struct cf *config,
    uint64_t seed)
{
	struct fl *f = g_new0(struct fl, 1);

	f->clock = clock;
	f->counters = counters;
	f->config = config;
	f->rng = rn_new(seed);
	f->settle_from_ms = ck_mono_ms(clock);
	f->ticked_ms = f->settle_from_ms;
	f->workers = g_ptr_array_new_with_free_func(worker_free);
	return (f);
}

void
fl_free(struct fl *f)
{
	if (f == NULL)
		return;
	g_ptr_array_free(f->workers, TRUE);
	rn_free(f->rng);
	g_free(f);
}

static struct fl_worker *
find_name(struct fl *f, const char *name)
{
	struct fl_worker *w;
	guint i;

	for (i = 0; i < f->workers->len; i++) {
		w = f->workers->pdata[i];
		if (strcmp(w->name, name) == 0)
			return (w);
	}
	w = g_new0(struct fl_worker, 1);
	w->name = g_strdup(name);
	g_ptr_array_add(f->workers, w);
	return (w);
}

static void
set_text(char **to, const char *from)
{
	if (*to != NULL && strcmp(*to, from) == 0)
		return;
	g_free(*to);
	*to = g_strdup(from);
}

/* Labels as one text: each is enclosed in spaces. */
static char *
join_labels(const struct pd_attach *a)
{
	GString *s = g_string_new(" ");
	unsigned i;

	for (i = 0; i < a->labels.labels_len; i++)
		g_string_append_printf(s, "%s ", a->labels.labels_val[i]);
	return (g_string_free(s, FALSE));
}

/* What was learned belongs to the worker, not to the agent beside it. */
struct fl_worker *
fl_attach(
    struct fl *f, const struct pd_attach *a, uint64_t session, bool *restarted)
{
	struct fl_worker *w = find_name(f, a->name);
	uint64_t now = ck_mono_ms(f->clock);

	*restarted = w->incarnation != 0 && w->incarnation != a->incarnation;
	w->incarnation = a->incarnation;
	w->session = session;
	set_text(&w->az, a->az);
	set_text(&w->service, a->service);
	g_free(w->labels);
	w->labels = join_labels(a);
	w->cpu = a->cpu;
	w->mem_mb = a->mem_mb;
	w->clock_offset_ms = (int64_t)a->clock_ms - (int64_t)now;
	w->answered_ms = now;
	w->seen_ms = now;
	fl_load(w, &a->load, 0);
	return (w);
}

struct fl_worker *
fl_find_by_session(const struct fl *f, uint64_t session)
{
	struct fl_worker *w;
	guint i;

	for (i = 0; i < f->workers->len; i++) {
		w = f->workers->pdata[i];
		if (w->session == session)
			return (w);
	}
	return (NULL);
}

struct fl_worker *
fl_detach(struct fl *f, uint64_t session)
{
	struct fl_worker *w = fl_find_by_session(f, session);

	if (w != NULL)
		w->session = 0;
	return (w);
}

void
fl_load(struct fl_worker *w, const struct pd_load *load, unsigned cpu_ending)
{
	unsigned own = w->cpu_own - MIN(cpu_ending, w->cpu_own);
	unsigned all = load->cpu_used, i;

	for (i = 0; i < PD_LEVELS; i++)
		all += load->cpu_queued[i];
	memcpy(w->cpu_queued, load->cpu_queued, sizeof(w->cpu_queued));
	w->cpu_others = all > own ? all - own : 0;
	w->accepting = load->accepting;
}

/*
 * Load pattern: more work than the workers can do, of different priorities. A
 * task waits only for what goes before it, so less urgent tasks that wait at a
 * worker are no reason to refuse a more urgent one.
 */
static unsigned
cpu_before(const struct fl_worker *w, unsigned priority)
{
	unsigned all = w->cpu_own + w->cpu_others, less_urgent = 0, i;

	for (i = lv_of(priority) + 1; i < PD_LEVELS; i++)
		less_urgent += w->cpu_queued[i];
	return (all > less_urgent ? all - less_urgent : 0);
}

unsigned
fl_queue(const struct fl_worker *w, unsigned cpu, unsigned priority)
{
	unsigned all = cpu_before(w, priority) + cpu;

	return ((all > w->cpu ? all - w->cpu : 0) + w->cpu / QUEUE_SHARE);
}

static bool
has_label(const struct fl_worker *w, const char *label)
{
	const char *at = w->labels;
	size_t len = strlen(label);

	if (len == 0)
		return (true);
	while ((at = strstr(at, label)) != NULL) {
		if (at[-1] == ' ' && at[len] == ' ')
			return (true);
		at++;
	}
	return (false);
}

static bool
avoided(const struct fl_worker *w, const struct fl_need *need)
{
	unsigned i;

	for (i = 0; i < need->navoid; i++)
		if (need->avoid[i] == w)
			return (true);
	return (false);
}

static bool
suits(const struct fl_worker *w, const struct fl_need *need)
{
	return (strcmp(w->service, need->service) == 0 && w->cpu >= need->cpu &&
	    w->mem_mb >= need->mem_mb && has_label(w, need->label));
}

static bool
usable(const struct fl *f, const struct fl_worker *w, uint64_t now)
{
	if (w->session == 0 || !w->accepting || w->cpu == 0 ||
	    now - w->seen_ms > FL_SILENT_MS)
		return (false);
	if (w->ejected && now < w->probe_ms)
		return (false);
	return (!cf_evacuated(f->config, w->az));
}

double
fl_unit(const struct fl *f, const struct fl_worker *w)
{
	return (po_unit(&w->speed, ck_mono_us(f->clock)));
}

/*
 * Load pattern: several entries grant to the same workers on reports that are
 * some 50 ms old. The nearer a worker is to full, the likelier it is that
 * another entry fills it first, so work spreads over workers of equal speed
 * instead of filling the fastest one to the brim.
 */
static double
wait_ms(const struct fl_worker *w, const struct fl_need *need, double unit)
{
	double mean = FL_FIRST_MEAN_MS, load, wait;

	if (w->speed.samples > 0)
		mean = w->speed.mean_ms * unit / w->speed.unit;
	load = ((double)cpu_before(w, need->priority) + need->cpu) / w->cpu;
	wait = mean * FULL_SHARE * pow(fmin(load, 1), FULL_POWER);
	return (load > 1 ? wait + (load - 1) * mean : wait);
}

static bool
has_room(const struct fl_worker *w, const struct fl_need *need)
{
	return (cpu_before(w, need->priority) + need->cpu <= w->cpu);
}

/* What is known of a worker as the place of a task. */
struct place {
	struct fl_worker *worker;
	double finish_ms;
	double cost_ms;
};

/*
 * Load pattern: few workers are fast, and long tasks end in time on these only.
 * A task that waits at a worker makes others wait there as well, so it takes a
 * slow worker with room before a fast one with a queue, also when it would end
 * a little sooner on the fast one; but not when it would be late there.
 */
static bool
is_better(
    const struct fl_need *need, const struct place *a, const struct place *b)
{
	bool a_in_time = a->finish_ms <= need->left_ms;
	bool b_in_time = b->finish_ms <= need->left_ms;

	if (b->worker == NULL)
		return (true);
	if (a_in_time != b_in_time)
		return (a_in_time);
	if (!a_in_time && need->left_ms > 0)
		return (a->finish_ms < b->finish_ms);
	return (a->cost_ms < b->cost_ms);
}

/* Best worker of a sample: each one is in it with the probability @share. */
static struct fl_worker *
best_of(struct fl *f, const struct fl_need *need, double share, bool all,
    double *finish_ms)
{
	uint64_t now = ck_mono_ms(f->clock);
	struct place best = {0}, p;
	double unit, wait;
	guint i;

	for (i = 0; i < f->workers->len; i++) {
		p.worker = f->workers->pdata[i];
		if (share < 1 && rn_unit(f->rng) > share)
			continue;
		if (!usable(f, p.worker, now) || !suits(p.worker, need) ||
		    (!all && avoided(p.worker, need)))
			continue;
		unit = fl_unit(f, p.worker);
		wait = wait_ms(p.worker, need, unit);
		p.finish_ms = wait + need->size_ms * unit;
		p.cost_ms = p.finish_ms + wait * DELAY_WEIGHT;
		if (is_better(need, &p, &best))
			best = p;
	}
	*finish_ms = best.finish_ms;
	return (best.worker);
}

/*
 * Load pattern: many entries look for the best of many workers on old reports,
 * and all find the same one. Each looks at a random sample, and at all of them
 * only when the sample has no room.
 */
struct fl_worker *
fl_choose(struct fl *f, const struct fl_need *need, double *finish_ms)
{
	double share = (double)SAMPLE / MAX(f->workers->len, 1);
	struct fl_worker *best;

	best = best_of(f, need, share, false, finish_ms);
	if (share < 1 && (best == NULL || !has_room(best, need)))
		best = best_of(f, need, 1, false, finish_ms);
	/* A worker that the task failed on is better than none. */
	if (best == NULL)
		best = best_of(f, need, 1, true, finish_ms);
	return (best);
}

bool
fl_possible(const struct fl *f, const struct fl_need *need)
{
	guint i;

	for (i = 0; i < f->workers->len; i++)
		if (suits(f->workers->pdata[i], need))
			return (true);
	return (false);
}

void
fl_take(struct fl *f, struct fl_worker *w, unsigned cpu)
{
	if (w->ejected)
		w->probe_ms = ck_mono_ms(f->clock) + FL_PROBE_MS;
	w->cpu_own += cpu;
}

void
fl_release(struct fl_worker *w, unsigned cpu)
{
	w->cpu_own -= cpu < w->cpu_own ? cpu : w->cpu_own;
}

void
fl_done(struct fl *f, struct fl_worker *w, double size_ms, double run_ms)
{
	if (size_ms >= LEARN_MIN_MS)
		po_learn(&w->speed, size_ms, run_ms, ck_mono_us(f->clock));
	w->failures = 0;
	if (w->ejected)
		lg_write(LOG_NOTICE, "fleet", "worker %s works again", w->name);
	w->ejected = false;
}

void
fl_failed(struct fl *f, struct fl_worker *w, uint64_t job)
{
	uint64_t now = ck_mono_ms(f->clock);

	if (w->ejected)
		w->probe_ms = now + FL_PROBE_MS;
	/* One job that can never be done says nothing about the worker. */
	if (w->failures > 0 && w->failed_job == job)
		return;
	w->failures++;
	w->failed_job = job;
	if (w->failures < FL_FAILURES_MAX || w->ejected)
		return;
	w->ejected = true;
	w->probe_ms = now + FL_PROBE_MS;
	ct_count(f->counters, "pd_workers_ejected_total",
	    "Workers that get probes only", "reason", "failures");
	lg_write(LOG_WARNING, "fleet", "worker %s fails its tasks: probes only",
	    w->name);
}

double
fl_best_unit(const struct fl *f)
{
	uint64_t now = ck_mono_ms(f->clock);
	double best = 0, unit;
	guint i;

	for (i = 0; i < f->workers->len; i++) {
		if (!usable(f, f->workers->pdata[i], now))
			continue;
		unit = fl_unit(f, f->workers->pdata[i]);
		if (best == 0 || unit < best)
			best = unit;
	}
	return (best == 0 ? 1 : best);
}

unsigned
fl_usable_count(const struct fl *f)
{
	uint64_t now = ck_mono_ms(f->clock);
	unsigned n = 0;
	guint i;

	for (i = 0; i < f->workers->len; i++)
		n += usable(f, f->workers->pdata[i], now);
	return (n);
}

void
fl_tick(struct fl *f)
{
	uint64_t now = ck_mono_ms(f->clock);

	if (now - f->ticked_ms > FL_GAP_MS) {
		lg_write(LOG_NOTICE, "fleet",
		    "nothing was done for %u ms: agents are awaited",
		    (unsigned)(now - f->ticked_ms));
		f->settle_from_ms = now;
	}
	f->ticked_ms = now;
}

bool
fl_is_warming_up(struct fl *f)
{
	fl_tick(f);
	return (ck_mono_ms(f->clock) - f->settle_from_ms < FL_SETTLE_MS);
}

void
fl_each(struct fl *f, void (*visit)(void *arg, struct fl_worker *w), void *arg)
{
	guint i;

	for (i = 0; i < f->workers->len; i++)
		visit(arg, f->workers->pdata[i]);
}
