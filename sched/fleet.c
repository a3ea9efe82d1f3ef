#include <glib.h>
#include <limits.h>
#include <math.h>
#include <string.h>

#include "fleet_impl.h"
#include "lease.h"
#include "level.h"
#include "log.h"

/* A worker without a heartbeat for three periods gets no tasks. */
#define HEARTBEAT_MAX_AGE_MS 650
/* Agents connect to an entry that has started or resumed within this time. */
#define WARM_UP_MS 1000
/* Pause of the process that is longer than one between heartbeats. */
#define PAUSE_MIN_MS 300
/* Expected wait at a worker that is just full, in mean run times: of about ten
 * running tasks the first ends after a tenth of a run time. */
#define FULL_WAIT_SHARE 0.15
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

#define PERMILLE 1000.0

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
	f->kinds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->pool = g_array_new(FALSE, TRUE, sizeof(struct sp_worker));
	f->candidates = g_array_new(FALSE, FALSE, sizeof(struct fl_candidate));
	return (f);
}

void
fl_set_placing(struct fl *f, const struct fl_placing *p)
{
	f->pools = p->pooled;
	f->only_equal = p->only_equal;
	f->pooled = p->pooled && !p->only_equal;
	g_free(f->az);
	f->az = g_strdup(p->az);
}

bool
fl_is_pooled(const struct fl *f)
{
	return (f->pooled);
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
	g_hash_table_destroy(f->kinds);
	g_array_free(f->pool, TRUE);
	g_array_free(f->candidates, TRUE);
	g_free(f->az);
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
	w->ratio = exp(f->speeds.mean);
	w->ratio_error = sqrt(f->speeds.worker_var + f->speeds.kind_var);
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
set_description(struct fl *f, struct fl_worker *w, const struct pd_attach *a)
{
	char **labels = copy_labels(a);
	g_autofree char *text = NULL;
	bool known = w->labels != NULL &&
	    is_described_by(w, a, (const char *const *)labels);

	if (w->labels != NULL && !known) {
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
	if (!known)
		fl_set_kind(f, w);
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
	*restarted = w->incarnation != 0 && w->incarnation != a->incarnation;
	w->incarnation = a->incarnation;
	w->started_ms = a->started_ms;
	set_session(f, w, session);
	set_description(f, w, a);
	fl_renew(f, w, &a->load, a->clock_ms);
	return (w);
}

void
fl_renew(struct fl *f, struct fl_worker *w, const struct pd_load *load,
    uint64_t clock_ms)
{
	uint64_t now = ck_mono_ms(f->clock);

	note_heartbeat(f, now);
	w->clock_offset_ms = (int64_t)clock_ms - (int64_t)now;
	w->heartbeat_reply_ms = now;
	w->heartbeat_ms = now;
	fl_update_load(f, w, load, 0);
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

bool
fl_is_evacuated(const struct fl *f, const struct fl_worker *w)
{
	return (w->zone == PD_ZONE_OUT || cf_evacuated(f->config, w->az));
}

bool
fl_is_leaving(const struct fl *f)
{
	return (f->leaving);
}

/* Whether a worker can take tasks now, in whichever state its zone is. */
static bool
takes_tasks(const struct fl *f, const struct fl_worker *w, uint64_t now)
{
	if (w->session == 0 || !w->accepting || w->cpu == 0 ||
	    now - w->heartbeat_ms > HEARTBEAT_MAX_AGE_MS)
		return (false);
	if ((w->own.ejected || w->reported.ejected ||
		(f->pooled && w->reported.hanging)) &&
	    now < w->own.next_probe_ms)
		return (false);
	return (!fl_is_evacuated(f, w));
}

bool
fl_is_usable_at(const struct fl *f, const struct fl_worker *w, uint64_t now)
{
	return (
	    takes_tasks(f, w, now) && (w->zone == PD_ZONE_IN || f->leaving));
}

/* Uses workers that are leaving only while there are no others. */
static void
update_leaving(struct fl *f)
{
	uint64_t now = ck_mono_ms(f->clock);
	const struct fl_worker *w;
	bool leaving = false;
	guint i;

	for (i = 0; i < f->connected->len; i++) {
		w = f->connected->pdata[i];
		if (!takes_tasks(f, w, now))
			continue;
		leaving = w->zone == PD_ZONE_LEAVING;
		if (!leaving)
			break;
	}
	if (leaving && !f->leaving)
		lg_write(LOG_WARNING, "fleet",
		    "no workers but in zones that are being evacuated, of "
		    "which this entry has not heard");
	f->leaving = leaving;
}

static void
note_hanging(struct fl *f, struct fl_worker *w)
{
	if (!f->pooled)
		return;
	wh_schedule_probe(&w->own, ck_mono_ms(f->clock));
	ct_add(
	    ct_get(f->counters, CT_COUNTER, "pd_workers_hanging_total",
		"Workers whose agent reported that no run ends any more", ""),
	    1);
	lg_write(LOG_WARNING, "fleet",
	    "worker %s ends no runs any more: it gets probes only", w->name);
}

/* A new agent process has learned nothing yet: what its predecessor reported
 * stays, as it belongs to the worker. */
static void
update_reported_speed(
    struct fl *f, struct fl_worker *w, const struct pd_speed *s)
{
	if (s->ejected && !w->reported.ejected)
		wh_schedule_probe(&w->own, ck_mono_ms(f->clock));
	if (s->hanging && !w->reported.hanging)
		note_hanging(f, w);
	if (f->pools && s->log_samples > 0)
		fl_check_report(f, w, s);
	w->reported.ejected = s->ejected;
	w->reported.hanging = s->hanging;
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
	if (w->zone != load->zone) {
		w->zone = load->zone;
		update_leaving(f);
	}
	w->reports++;
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
fl_cpu_free(const struct fl_worker *w, unsigned priority)
{
	unsigned ahead = cpu_ahead(w, priority);

	return (w->cpu > ahead ? w->cpu - ahead : 0);
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

/* Whether the run times of this entry's own tasks count instead of the agent's
 * report. */
static bool
uses_own_speed(const struct fl_worker *w, double own_ratio)
{
	double reported = w->reported.ratio_permille / PERMILLE;

	if (w->reported.samples < w->own.speed.samples)
		return (true);
	return (w->own.speed.samples >= FL_CONTRADICTION_SAMPLES &&
	    own_ratio > reported * FL_CONTRADICTION_FACTOR);
}

/* Expected run ratio of a worker, and the mean run time of its tasks. */
static double
speed_of(const struct fl *f, const struct fl_worker *w, uint64_t now_us,
    double *mean_ms)
{
	const struct po_speed *own = &w->own.speed;
	double ratio = po_run_ratio(own, now_us);
	bool uses_own = w->reported.samples == 0 || uses_own_speed(w, ratio);

	*mean_ms = FL_DEFAULT_MEAN_MS;
	if (!uses_own)
		*mean_ms = w->reported.mean_ms;
	else if (own->samples > 0)
		*mean_ms = own->mean_ms * ratio / own->run_ratio;
	if (f->pooled)
		return (w->ratio);
	return (uses_own ? ratio : w->reported.ratio_permille / PERMILLE);
}

double
fl_run_ratio(const struct fl *f, const struct fl_worker *w)
{
	double mean_ms;

	return (speed_of(f, w, ck_mono_us(f->clock), &mean_ms));
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

/*
 * Whether candidate @a is better than @b. Workers with better prospects come
 * first, so a long task whose run time is uncertain is not left to a slow
 * worker. Among those where it is safe, a task prefers a slow worker with free
 * capacity to a fast one with a queue, even if it would end a little sooner on
 * the fast one: waiting there delays other tasks too, and long tasks may end in
 * time on the few fast workers only.
 */
bool
fl_is_better(const struct fl_requirements *req, const struct fl_candidate *a,
    const struct fl_candidate *b)
{
	if (b->worker == NULL)
		return (true);
	if (a->prospect != b->prospect)
		return (a->prospect > b->prospect);
	if (a->prospect != PR_SAFE && req->left_ms > 0)
		return (a->finish_ms < b->finish_ms);
	return (a->cost_ms < b->cost_ms);
}

bool
fl_evaluate(const struct fl *f, const struct fl_requirements *req,
    struct fl_worker *w, bool all, uint64_t now_us, struct fl_candidate *out)
{
	struct fl_candidate p = {.worker = w};
	double mean, wait;

	if (!fl_is_usable_at(f, w, now_us / FL_US_PER_MS) ||
	    !is_suitable(w, req) || (!all && is_avoided(w, req)))
		return (false);
	p.run_ms = req->size_ms * speed_of(f, w, now_us, &mean);
	wait = wait_ms(w, req, mean);
	p.finish_ms = wait + p.run_ms;
	p.cost_ms = p.finish_ms + wait * DELAY_WEIGHT;
	if (p.finish_ms <= req->left_ms)
		p.prospect =
		    wait + p.run_ms * SAFE_RUN_FACTOR <= req->deadline_left_ms
		    ? PR_SAFE
		    : PR_RISKY;
	*out = p;
	return (true);
}

/* Best of @size random connected workers, or of all if there are not more. */
static struct fl_candidate
best_in_sample(
    struct fl *f, const struct fl_requirements *req, unsigned size, bool all)
{
	struct fl_candidate best = {0}, p;
	uint64_t now_us = ck_mono_us(f->clock);
	guint i, n = f->connected->len;
	struct fl_worker *w;

	for (i = 0; i < MIN(size, n); i++) {
		w = f->connected->pdata[size < n ? rn_below(f->rng, n) : i];
		if (fl_evaluate(f, req, w, all, now_us, &p) &&
		    fl_is_better(req, &p, &best))
			best = p;
	}
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
	struct fl_candidate best;

	if (f->pooled)
		return (fl_choose_pooled(f, req, finish_ms));
	best = best_in_sample(f, req, FL_SAMPLE_SIZE, false);
	if (best.worker == NULL || !fl_has_room(best.worker, req) ||
	    best.prospect != PR_SAFE)
		best = best_in_sample(f, req, FL_LARGE_SAMPLE_SIZE, false);
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
		if (fl_is_usable_at(f, w, now) && is_suitable(w, req) &&
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
	return (fl_is_usable_at(f, w, ck_mono_ms(f->clock)));
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
	if (wh_task_done(&w->own, 0, size_ms, run_ms, ck_mono_us(f->clock)))
		lg_write(LOG_NOTICE, "fleet",
		    "worker %s finished a task: no longer ejected", w->name);
}

void
fl_task_stopped(struct fl *f, struct fl_worker *w, double size_ms,
    double run_ms, uint64_t job)
{
	wh_learn_run_time(&w->own, 0, size_ms, run_ms, ck_mono_us(f->clock));
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
		if (!fl_is_usable_at(f, f->connected->pdata[i], now))
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
		n += fl_is_usable_at(f, f->connected->pdata[i], now);
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
	update_leaving(f);
	if (f->pools)
		fl_pool(f);
}

bool
fl_is_warming_up(struct fl *f)
{
	fl_tick(f);
	return (ck_mono_ms(f->clock) - f->warm_up_from_ms < WARM_UP_MS);
}

void
fl_each(struct fl *f, void (*visit)(void *arg, struct fl_worker *w), void *arg)
{
	guint i;

	for (i = 0; i < f->workers->len; i++)
		visit(arg, f->workers->pdata[i]);
}
