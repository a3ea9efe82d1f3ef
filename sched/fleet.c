#include <glib.h>
#include <limits.h>
#include <math.h>
#include <string.h>

#include "clock.h"
#include "config.h"
#include "counters.h"
#include "fleet.h"
#include "lease.h"
#include "level.h"
#include "log.h"
#include "rng.h"

/* A worker without a heartbeat for three periods gets no tasks. */
#define HEARTBEAT_MAX_AGE_MS 650
/* Agents connect to an entry that has started or resumed within this time. */
#define WARM_UP_MS 1000
/* Pause of the process that is longer than one between heartbeats. */
#define PAUSE_MIN_MS 300
/* Mean run time assumed of a worker that has not finished a task yet. */
#define DEFAULT_MEAN_MS 150.0

/* Expected wait at a worker that is just full, in mean run times: of about ten
 * running tasks the first ends after a tenth of a run time. */
#define FULL_WAIT_SHARE 0.15
/* Workers that are considered for a task: a smaller sample would miss the fast
 * ones. */
#define SAMPLE_SIZE 16
/* Workers that are considered when the sample has no free capacity. */
#define LARGE_SAMPLE_SIZE 128
/* Maximum age of the numbers of workers by service and label. */
#define COUNTS_MAX_AGE_MS 1000
/* Exponent of the load in the expected wait: the higher, the fuller a worker
 * is before the expected wait rises. */
#define LOAD_EXPONENT 6
/* Weight of the wait that a task causes to the tasks behind it. At 1 long tasks
 * are left without the fast workers, which short tasks fill; at 6 short tasks
 * move to slow workers too early. */
#define DELAY_WEIGHT 3.0

/* A task is safe from its deadline where it would end in time even if it took
 * this multiple of its expected run time: declared run times are up to 40% too
 * short. */
#define SAFE_RUN_FACTOR 1.67

/* Own run times contradict the agent's report when they are this many times
 * longer, in at least this many tasks. */
#define CONTRADICTION_FACTOR 2.5
#define CONTRADICTION_SAMPLES 4

#define PERMILLE 1000.0
#define US_PER_MS 1000

struct fl {
	const struct ck *clock;
	struct ct *counters;
	const struct cf *config;
	struct rn *rng;
	GPtrArray *workers;     /* struct fl_worker, owned */
	GPtrArray *connected;   /* those with a session, in any order */
	GHashTable *by_name;    /* name -> struct fl_worker */
	GHashTable *by_session; /* session -> struct fl_worker */
	uint64_t counted_ms;    /* when workers were counted */
	uint64_t warm_up_from_ms;
	uint64_t ticked_ms;
	uint64_t heard_ms; /* last heartbeat of any agent, or start */
	/* Latest time without a heartbeat for longer than LE_CONTACT_MS. */
	uint64_t silent_from_ms;
	uint64_t silent_until_ms;
};

static void
worker_free(void *p)
{
	struct fl_worker *w = p;

	g_free(w->name);
	g_free(w->az);
	g_free(w->service);
	g_strfreev(w->labels);
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
	f->warm_up_from_ms = ck_mono_ms(clock);
	f->ticked_ms = f->warm_up_from_ms;
	f->heard_ms = f->warm_up_from_ms;
	f->workers = g_ptr_array_new_with_free_func(worker_free);
	f->connected = g_ptr_array_new();
	f->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	f->by_session = g_hash_table_new(g_int64_hash, g_int64_equal);
	return (f);
}

void
fl_free(struct fl *f)
{
	if (f == NULL)
		return;
	g_ptr_array_free(f->connected, TRUE);
	g_hash_table_destroy(f->by_name);
	g_hash_table_destroy(f->by_session);
	g_ptr_array_free(f->workers, TRUE);
	rn_free(f->rng);
	g_free(f);
}

static struct fl_worker *
find_or_add_worker(struct fl *f, const char *name)
{
	struct fl_worker *w = g_hash_table_lookup(f->by_name, name);

	if (w != NULL)
		return (w);
	w = g_new0(struct fl_worker, 1);
	w->name = g_strdup(name);
	g_ptr_array_add(f->workers, w);
	g_hash_table_insert(f->by_name, w->name, w);
	return (w);
}

static void
set_string(char **to, const char *from)
{
	if (*to != NULL && strcmp(*to, from) == 0)
		return;
	g_free(*to);
	*to = g_strdup(from);
}

static char **
copy_labels(const struct pd_attach *a)
{
	char **labels = g_new0(char *, a->labels.labels_len + 1);
	unsigned i;

	for (i = 0; i < a->labels.labels_len; i++)
		labels[i] = g_strdup(a->labels.labels_val[i]);
	return (labels);
}

static void
set_session(struct fl *f, struct fl_worker *w, uint64_t session)
{
	if (w->session == session)
		return;
	if (w->session != 0) {
		g_hash_table_remove(f->by_session, &w->session);
		g_ptr_array_remove_fast(f->connected, w);
	}
	w->session = session;
	if (session != 0) {
		g_hash_table_insert(f->by_session, &w->session, w);
		g_ptr_array_add(f->connected, w);
	}
}

/* Whether an agent process is not the successor of the known one, whose tasks
 * may still run. The clock of a host may be set back between two starts, so
 * this is not held against a process for longer than the other one's tasks may
 * run. */
static bool
is_earlier_process(
    const struct fl_worker *w, const struct pd_attach *a, uint64_t now)
{
	return (w->incarnation != 0 && w->incarnation != a->incarnation &&
	    a->started_ms <= w->started_ms &&
	    now <= w->heartbeat_reply_ms + LE_UNREACHABLE_MS);
}

static bool
is_described_by(const struct fl_worker *w, const struct pd_attach *a,
    const char *const *labels)
{
	return (strcmp(w->az, a->az) == 0 &&
	    strcmp(w->service, a->service) == 0 &&
	    g_strv_equal((const char *const *)w->labels, labels) &&
	    w->cpu == a->cpu && w->mem_mb == a->mem_mb);
}

/* Sets what tasks are placed by, and logs a change of it. */
static void
set_description(struct fl_worker *w, const struct pd_attach *a)
{
	char **labels = copy_labels(a);
	g_autofree char *text = NULL;

	if (w->labels != NULL &&
	    !is_described_by(w, a, (const char *const *)labels)) {
		text = g_strjoinv(", ", labels);
		lg_write(LOG_NOTICE, "fleet",
		    "worker %s is now of service %s in zone %s, %u thousandths "
		    "of a core, %u MB, labels: %s",
		    w->name, a->service, a->az, a->cpu, a->mem_mb, text);
	}
	set_string(&w->az, a->az);
	set_string(&w->service, a->service);
	g_strfreev(w->labels);
	w->labels = labels;
	w->cpu = a->cpu;
	w->mem_mb = a->mem_mb;
	w->endpoint = a->endpoint;
}

static void
note_heartbeat(struct fl *f, uint64_t now)
{
	if (now - f->heard_ms > LE_CONTACT_MS) {
		lg_write(LOG_NOTICE, "fleet",
		    "first heartbeat of an agent after %u ms",
		    (unsigned)(now - f->heard_ms));
		f->silent_from_ms = f->heard_ms;
		f->silent_until_ms = now;
	}
	f->heard_ms = now;
}

bool
fl_lost_contact_since(const struct fl *f, uint64_t since_ms, unsigned limit_ms)
{
	uint64_t now = ck_mono_ms(f->clock);

	if (now - MAX(f->heard_ms, since_ms) > limit_ms)
		return (true);
	return (f->silent_until_ms > since_ms &&
	    f->silent_until_ms - MAX(f->silent_from_ms, since_ms) > limit_ms);
}

/* A new agent process keeps the learned speed, which belongs to the worker. */
struct fl_worker *
fl_attach(
    struct fl *f, const struct pd_attach *a, uint64_t session, bool *restarted)
{
	struct fl_worker *w = find_or_add_worker(f, a->name);
	uint64_t now = ck_mono_ms(f->clock);

	*restarted = false;
	if (is_earlier_process(w, a, now))
		return (NULL);
	note_heartbeat(f, now);
	*restarted = w->incarnation != 0 && w->incarnation != a->incarnation;
	w->incarnation = a->incarnation;
	w->started_ms = a->started_ms;
	set_session(f, w, session);
	set_description(w, a);
	w->clock_offset_ms = (int64_t)a->clock_ms - (int64_t)now;
	w->heartbeat_reply_ms = now;
	w->heartbeat_ms = now;
	fl_update_load(f, w, &a->load, 0);
	return (w);
}

uint64_t
fl_session_of(const struct fl *f, const char *name)
{
	const struct fl_worker *w = g_hash_table_lookup(f->by_name, name);

	return (w == NULL ? 0 : w->session);
}

struct fl_worker *
fl_find_by_session(const struct fl *f, uint64_t session)
{
	return (g_hash_table_lookup(f->by_session, &session));
}

struct fl_worker *
fl_detach(struct fl *f, uint64_t session)
{
	struct fl_worker *w = fl_find_by_session(f, session);

	if (w != NULL)
		set_session(f, w, 0);
	return (w);
}

/* A new agent process has learned nothing yet: what its predecessor reported
 * stays, as it belongs to the worker. */
static void
update_reported_speed(
    struct fl *f, struct fl_worker *w, const struct pd_speed *s)
{
	if (s->ejected && !w->reported.ejected)
		wh_schedule_probe(&w->own, ck_mono_ms(f->clock));
	w->reported.ejected = s->ejected;
	if (s->samples > 0 && s->ratio_permille > 0)
		w->reported = *s;
}

void
fl_update_load(struct fl *f, struct fl_worker *w, const struct pd_load *load,
    unsigned cpu_ending)
{
	unsigned own = w->cpu_own - MIN(cpu_ending, w->cpu_own);
	unsigned all = load->cpu_used, i;

	for (i = 0; i < PD_LEVELS; i++)
		all += load->cpu_queued[i];
	w->cpu_used = load->cpu_used;
	memcpy(w->cpu_queued, load->cpu_queued, sizeof(w->cpu_queued));
	w->cpu_others = all > own ? all - own : 0;
	w->accepting = load->accepting;
	update_reported_speed(f, w, &load->speed);
}

/*
 * CPU of the tasks that are ahead of a task of @priority. Less urgent tasks in
 * the queue do not count, so under overload they are no reason to refuse a more
 * urgent one.
 */
static unsigned
cpu_ahead(const struct fl_worker *w, unsigned priority)
{
	unsigned all = w->cpu_own + w->cpu_others, less_urgent = 0, i;

	for (i = lv_of(priority) + 1; i < PD_LEVELS; i++)
		less_urgent += w->cpu_queued[i];
	return (all > less_urgent ? all - less_urgent : 0);
}

unsigned
fl_queue_limit(const struct fl_worker *w, unsigned cpu, unsigned priority)
{
	unsigned all = cpu_ahead(w, priority) + cpu;

	if (all <= w->cpu)
		return (0);
	return (MAX(all - MIN(w->cpu_used, all), cpu));
}

static bool
has_label(const struct fl_worker *w, const char *label)
{
	return (*label == '\0' ||
	    g_strv_contains((const char *const *)w->labels, label));
}

static bool
is_avoided(const struct fl_worker *w, const struct fl_requirements *req)
{
	unsigned i;

	for (i = 0; i < req->navoid; i++)
		if (req->avoid[i] == w)
			return (true);
	return (false);
}

static bool
is_suitable(const struct fl_worker *w, const struct fl_requirements *req)
{
	return (strcmp(w->service, req->service) == 0 && w->cpu >= req->cpu &&
	    w->mem_mb >= req->mem_mb && has_label(w, req->label));
}

bool
fl_is_evacuated(const struct fl *f, const struct fl_worker *w)
{
	return (cf_evacuated(f->config, w->az));
}

static bool
is_usable(const struct fl *f, const struct fl_worker *w, uint64_t now)
{
	if (w->session == 0 || !w->accepting || w->cpu == 0 ||
	    now - w->heartbeat_ms > HEARTBEAT_MAX_AGE_MS)
		return (false);
	if ((w->own.ejected || w->reported.ejected) &&
	    now < w->own.next_probe_ms)
		return (false);
	return (!fl_is_evacuated(f, w));
}

/* Whether the run times of this entry's own tasks count instead of the agent's
 * report. */
static bool
uses_own_speed(const struct fl_worker *w, double own_ratio)
{
	double reported = w->reported.ratio_permille / PERMILLE;

	if (w->reported.samples < w->own.speed.samples)
		return (true);
	return (w->own.speed.samples >= CONTRADICTION_SAMPLES &&
	    own_ratio > reported * CONTRADICTION_FACTOR);
}

/* Expected run ratio of a worker, and the mean run time of its tasks. */
static double
speed_of(const struct fl_worker *w, uint64_t now_us, double *mean_ms)
{
	const struct po_speed *own = &w->own.speed;
	double ratio = po_run_ratio(own, now_us);

	*mean_ms = DEFAULT_MEAN_MS;
	if (w->reported.samples > 0 && !uses_own_speed(w, ratio)) {
		*mean_ms = w->reported.mean_ms;
		return (w->reported.ratio_permille / PERMILLE);
	}
	if (own->samples > 0)
		*mean_ms = own->mean_ms * ratio / own->run_ratio;
	return (ratio);
}

double
fl_run_ratio(const struct fl *f, const struct fl_worker *w)
{
	double mean_ms;

	return (speed_of(w, ck_mono_us(f->clock), &mean_ms));
}

/*
 * Expected wait of a task at a worker. It rises before the worker is full:
 * several entries grant tasks to the same workers on reports that are about
 * 50 ms old, and the fuller a worker is, the likelier it is that another entry
 * takes the remaining capacity first. This spreads tasks over workers of equal
 * speed instead of filling one after the other.
 */
static double
wait_ms(
    const struct fl_worker *w, const struct fl_requirements *req, double mean)
{
	double load, wait;

	load = ((double)cpu_ahead(w, req->priority) + req->cpu) / w->cpu;
	wait = mean * FULL_WAIT_SHARE * pow(fmin(load, 1), LOAD_EXPONENT);
	return (load > 1 ? wait + (load - 1) * mean : wait);
}

bool
fl_has_room(const struct fl_worker *w, const struct fl_requirements *req)
{
	return (cpu_ahead(w, req->priority) + req->cpu <= w->cpu);
}

/**
 * enum prospect - prospects of a task at a worker
 * @PR_LATE: it is expected to end too late
 * @PR_RISKY: it is expected in time, but misses its deadline if it takes much
 *     longer than expected
 * @PR_SAFE: it is expected in time, and meets its deadline even then
 */
enum prospect {
	PR_LATE = 0,
	PR_RISKY,
	PR_SAFE,
};

/* A possible worker for a task. @finish_ms: expected time until the task ends.
 * @cost_ms: the same plus the weighted delay of other tasks. */
struct candidate {
	struct fl_worker *worker;
	enum prospect prospect;
	double finish_ms;
	double cost_ms;
};

/*
 * Whether candidate @a is better than @b. Workers with better prospects come
 * first, so a long task whose run time is uncertain is not left to a slow
 * worker. Among those where it is safe, a task prefers a slow worker with free
 * capacity to a fast one with a queue, even if it would end a little sooner on
 * the fast one: waiting there delays other tasks too, and long tasks may end in
 * time on the few fast workers only.
 */
static bool
is_better(const struct fl_requirements *req, const struct candidate *a,
    const struct candidate *b)
{
	if (b->worker == NULL)
		return (true);
	if (a->prospect != b->prospect)
		return (a->prospect > b->prospect);
	if (a->prospect != PR_SAFE && req->left_ms > 0)
		return (a->finish_ms < b->finish_ms);
	return (a->cost_ms < b->cost_ms);
}

/* Replaces @best if the task had better go to @w. @all: include workers that
 * the task should avoid. */
static void
consider(const struct fl *f, const struct fl_requirements *req,
    struct fl_worker *w, bool all, uint64_t now_us, struct candidate *best)
{
	struct candidate p = {.worker = w};
	double mean, run, wait;

	if (!is_usable(f, w, now_us / US_PER_MS) || !is_suitable(w, req) ||
	    (!all && is_avoided(w, req)))
		return;
	run = req->size_ms * speed_of(w, now_us, &mean);
	wait = wait_ms(w, req, mean);
	p.finish_ms = wait + run;
	p.cost_ms = p.finish_ms + wait * DELAY_WEIGHT;
	if (p.finish_ms <= req->left_ms)
		p.prospect =
		    wait + run * SAFE_RUN_FACTOR <= req->deadline_left_ms
		    ? PR_SAFE
		    : PR_RISKY;
	if (is_better(req, &p, best))
		*best = p;
}

/* Best of @size random connected workers, or of all if there are not more. */
static struct candidate
best_in_sample(
    struct fl *f, const struct fl_requirements *req, unsigned size, bool all)
{
	struct candidate best = {0};
	uint64_t now_us = ck_mono_us(f->clock);
	guint i, n = f->connected->len;

	for (i = 0; i < MIN(size, n); i++)
		consider(f, req,
		    f->connected->pdata[size < n ? rn_below(f->rng, n) : i],
		    all, now_us, &best);
	return (best);
}

/*
 * With the same old reports, all entries would choose the same best worker.
 * Each considers a random sample instead, and more workers only when the sample
 * has no free capacity or none where the task is safely in time.
 */
struct fl_worker *
fl_choose(struct fl *f, const struct fl_requirements *req, double *finish_ms)
{
	struct candidate best = best_in_sample(f, req, SAMPLE_SIZE, false);

	if (best.worker == NULL || !fl_has_room(best.worker, req) ||
	    best.prospect != PR_SAFE)
		best = best_in_sample(f, req, LARGE_SAMPLE_SIZE, false);
	if (best.worker == NULL)
		best = best_in_sample(f, req, UINT_MAX, false);
	/* Fall back to a worker that the task has failed on. */
	if (best.worker == NULL)
		best = best_in_sample(f, req, UINT_MAX, true);
	*finish_ms = best.finish_ms;
	return (best.worker);
}

struct fl_worker *
fl_free_worker(const struct fl *f, const struct fl_requirements *req)
{
	uint64_t now = ck_mono_ms(f->clock);
	struct fl_worker *w, *best = NULL;
	guint i;

	for (i = 0; i < f->connected->len; i++) {
		w = f->connected->pdata[i];
		if (is_usable(f, w, now) && is_suitable(w, req) &&
		    fl_has_room(w, req) &&
		    (best == NULL ||
			fl_run_ratio(f, w) < fl_run_ratio(f, best)))
			best = w;
	}
	return (best);
}

bool
fl_is_usable(const struct fl *f, const struct fl_worker *w)
{
	return (is_usable(f, w, ck_mono_ms(f->clock)));
}

bool
fl_any_suitable(const struct fl *f, const struct fl_requirements *req)
{
	guint i;

	for (i = 0; i < f->workers->len; i++)
		if (is_suitable(f->workers->pdata[i], req))
			return (true);
	return (false);
}

void
fl_reserve(struct fl *f, struct fl_worker *w, unsigned cpu)
{
	wh_schedule_probe(&w->own, ck_mono_ms(f->clock));
	w->cpu_own += cpu;
}

void
fl_release(struct fl_worker *w, unsigned cpu)
{
	w->cpu_own -= cpu < w->cpu_own ? cpu : w->cpu_own;
}

void
fl_task_done(struct fl *f, struct fl_worker *w, double size_ms, double run_ms)
{
	if (wh_task_done(&w->own, size_ms, run_ms, ck_mono_us(f->clock)))
		lg_write(LOG_NOTICE, "fleet",
		    "worker %s finished a task: no longer ejected", w->name);
}

void
fl_task_stopped(struct fl *f, struct fl_worker *w, double size_ms,
    double run_ms, uint64_t job)
{
	wh_learn_run_time(&w->own, size_ms, run_ms, ck_mono_us(f->clock));
	fl_task_failed(f, w, job);
}

void
fl_task_failed(struct fl *f, struct fl_worker *w, uint64_t job)
{
	if (!wh_task_failed(&w->own, job, ck_mono_ms(f->clock)))
		return;
	ct_increment(f->counters, "pd_workers_ejected_total",
	    "Workers ejected: they get probes only", "reason", "failures");
	lg_write(LOG_WARNING, "fleet",
	    "worker %s ejected after repeated failures: it gets probes only",
	    w->name);
}

double
fl_best_run_ratio(const struct fl *f)
{
	uint64_t now = ck_mono_ms(f->clock);
	double best = 0, ratio;
	guint i;

	for (i = 0; i < f->connected->len; i++) {
		if (!is_usable(f, f->connected->pdata[i], now))
			continue;
		ratio = fl_run_ratio(f, f->connected->pdata[i]);
		if (best == 0 || ratio < best)
			best = ratio;
	}
	return (best == 0 ? 1 : best);
}

unsigned
fl_usable_count(const struct fl *f)
{
	uint64_t now = ck_mono_ms(f->clock);
	unsigned n = 0;
	guint i;

	for (i = 0; i < f->connected->len; i++)
		n += is_usable(f, f->connected->pdata[i], now);
	return (n);
}

void
fl_tick(struct fl *f)
{
	uint64_t now = ck_mono_ms(f->clock);

	if (now - f->ticked_ms > PAUSE_MIN_MS) {
		lg_write(LOG_NOTICE, "fleet",
		    "process was paused for %u ms: waiting for agents",
		    (unsigned)(now - f->ticked_ms));
		f->warm_up_from_ms = now;
	}
	f->ticked_ms = now;
}

bool
fl_is_warming_up(struct fl *f)
{
	fl_tick(f);
	return (ck_mono_ms(f->clock) - f->warm_up_from_ms < WARM_UP_MS);
}

static char *
service_and_label(const struct fl_worker *w, const char *label)
{
	return (g_strdup_printf("%s %s", w->service, label));
}

static void
increment_count(
    GHashTable *counts, const struct fl_worker *w, const char *label)
{
	char *key = service_and_label(w, label);
	unsigned n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, key));

	g_hash_table_insert(counts, key, GUINT_TO_POINTER(n + 1));
}

static unsigned
count_of(GHashTable *counts, const struct fl_worker *w, const char *label)
{
	g_autofree char *key = service_and_label(w, label);

	return (GPOINTER_TO_UINT(g_hash_table_lookup(counts, key)));
}

static void
count_worker(GHashTable *counts, const struct fl_worker *w)
{
	unsigned i;

	if (w->session == 0 || !w->accepting)
		return;
	increment_count(counts, w, "");
	for (i = 0; w->labels[i] != NULL; i++)
		if (w->labels[i][0] != '\0')
			increment_count(counts, w, w->labels[i]);
}

static void
set_counts(GHashTable *counts, struct fl_worker *w)
{
	unsigned i;

	w->service_workers = count_of(counts, w, "");
	w->label_workers = w->service_workers;
	for (i = 0; w->labels[i] != NULL; i++)
		if (w->labels[i][0] != '\0')
			w->label_workers = MIN(w->label_workers,
			    count_of(counts, w, w->labels[i]));
}

void
fl_count_workers(struct fl *f)
{
	g_autoptr(GHashTable) counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uint64_t now = ck_mono_ms(f->clock);
	guint i;

	if (now - f->counted_ms < COUNTS_MAX_AGE_MS)
		return;
	f->counted_ms = now;
	for (i = 0; i < f->workers->len; i++)
		count_worker(counts, f->workers->pdata[i]);
	for (i = 0; i < f->workers->len; i++)
		set_counts(counts, f->workers->pdata[i]);
}

void
fl_each(struct fl *f, void (*visit)(void *arg, struct fl_worker *w), void *arg)
{
	guint i;

	for (i = 0; i < f->workers->len; i++)
		visit(arg, f->workers->pdata[i]);
}
