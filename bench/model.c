#include <math.h>
#include <string.h>
#include <syslog.h>

#include "log.h"
#include "model_impl.h"

#define US_PER_MS 1000
#define US_PER_S 1000000
#define START_MS 100000
/* Time for agents to attach to the entries before the first arrivals. */
#define AGENT_WAIT_MS 1500
/* Period of jb_tick() and ru_tick(). */
#define TICK_MS 20
/* Target: an answer within 1.6 run times plus the target of the queue. */
#define STRETCH_PERMILLE 1600
#define PERMILLE 1000
/* Limit of run times and numbers of tasks, as a multiple of their mean. */
#define FACTOR_MAX 4.0

uint64_t
md_net_us(const struct md *m)
{
	return ((uint64_t)m->load->net_ms * US_PER_MS);
}

void
md_set_az(const struct md *m, unsigned number, char *az)
{
	snprintf(az, sizeof(((struct md_entry *)0)->az), "az%u",
	    number % m->load->zones);
}

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct md_event *x = a, *y = b;

	(void)arg;
	if (x->at_us != y->at_us)
		return (x->at_us < y->at_us ? -1 : 1);
	return (x->order < y->order ? -1 : 1);
}

static void
free_event(void *arg)
{
	struct md_event *e = arg;

	g_free(e->data);
	g_free(e);
}

void
md_schedule(struct md *m, uint64_t delay_us, md_event_fn fn, unsigned a,
    unsigned b, void *data)
{
	struct md_event *e = g_new0(struct md_event, 1);

	e->at_us = ck_mono_us(m->clock) + delay_us;
	e->order = ++m->last_event_order;
	e->fn = fn;
	e->a = a;
	e->b = b;
	e->data = data;
	g_sequence_insert_sorted(m->events, e, compare_events, NULL);
}

/* --- arrivals --- */

static double
standard_normal(struct rn *r)
{
	double u = 1 - rn_unit(r);

	return (sqrt(-2 * log(u)) * cos(2 * G_PI * rn_unit(r)));
}

/* Log-normal with mean 1. */
static double
log_normal_factor(struct rn *r, double spread)
{
	return (fmin(exp(spread * standard_normal(r) - spread * spread / 2),
	    FACTOR_MAX));
}

static double
uniform_factor(struct rn *r, double share)
{
	return (1 + share * (2 * rn_unit(r) - 1));
}

/* Factor by which all tasks of a job take longer. */
static double
tail_factor(struct rn *r, const struct md_kind *k)
{
	if (k->tail_permille == 0 ||
	    rn_unit(r) >= (double)k->tail_permille / PERMILLE)
		return (1);
	return (k->tail_factor);
}

/* Declared run time divided by the actual one. */
static double
declaration_factor(struct md *m)
{
	if (m->load->estimate_sigma > 0)
		return (exp(
		    m->load->estimate_sigma * standard_normal(m->arrival_rng)));
	return (uniform_factor(m->arrival_rng, m->load->estimate_error));
}

static struct md_job *
job_new(struct md *m, unsigned kind)
{
	const struct md_kind *k = &m->load->kinds[kind];
	struct md_job *job = g_new0(struct md_job, 1);
	double work, longest = 0;
	unsigned i;

	snprintf(job->id, sizeof(job->id), "%016x", m->jobs->len + 1);
	job->kind = kind;
	job->ntasks = (unsigned)fmax(
	    1, round(k->tasks * log_normal_factor(m->arrival_rng, k->spread)));
	job->work_ms = g_new0(double, job->ntasks);
	work = k->work_ms * log_normal_factor(m->arrival_rng, k->spread);
	job->tail = tail_factor(m->arrival_rng, k);
	work *= job->tail;
	for (i = 0; i < job->ntasks; i++) {
		job->work_ms[i] = work *
		    uniform_factor(m->arrival_rng, m->load->task_variation);
		longest = fmax(longest, job->work_ms[i]);
		m->result->core_s_offered +=
		    job->work_ms[i] * k->cpu / PERMILLE / PERMILLE;
	}
	job->arrived_us = ck_mono_us(m->clock);
	job->waits_ms = (unsigned)(k->deadline_ms + k->waits_factor * longest);
	job->allowed_us =
	    (uint64_t)((longest * STRETCH_PERMILLE / PERMILLE + k->target_ms) *
		US_PER_MS);
	g_ptr_array_add(m->jobs, job);
	g_hash_table_insert(m->jobs_by_id, job->id, job);
	return (job);
}

static void
submit_job(struct md *m, unsigned kind)
{
	const struct md_kind *k = &m->load->kinds[kind];
	struct md_job *job = job_new(m, kind);
	struct pd_queue q = {.name = (char *)(uintptr_t)k->name,
	    .service = (char *)(uintptr_t) "service",
	    .timeout_ms = k->deadline_ms,
	    .target_ms = k->target_ms,
	    .priority = k->priority,
	    .attempts = k->attempts,
	    .stretch_permille = STRETCH_PERMILLE};
	struct jb_step step = {.count = job->ntasks,
	    .cpu = k->cpu,
	    .size_ms = (unsigned)fmax(1,
		job->work_ms[0] / (m->load->tails_declared ? 1 : job->tail) *
		    declaration_factor(m)),
	    .label = ""};
	struct jb_request r = {.id = job->id,
	    .queue = &q,
	    .deadline_ms = job->waits_ms,
	    .steps = &step,
	    .nsteps = 1,
	    .body = "",
	    .body_len = 0};
	unsigned entry = rn_below(m->arrival_rng, m->load->entries);

	jb_submit(m->entries[entry].jobs, &r, m->jobs->len);
}

static void schedule_arrival(struct md *m, unsigned kind);

static void
on_arrival(struct md *m, struct md_event *e)
{
	if (e->at_us >= m->arrivals_end_us)
		return;
	submit_job(m, e->a);
	schedule_arrival(m, e->a);
}

static double
swing_factor(const struct md *m)
{
	double ms = (double)ck_mono_ms(m->clock) - START_MS;

	if (m->load->swing_ms == 0)
		return (1);
	return (1 + m->load->swing * sin(2 * G_PI * ms / m->load->swing_ms));
}

static void
schedule_arrival(struct md *m, unsigned kind)
{
	double per_s = m->load->kinds[kind].per_s * m->arrival_factor[kind] *
	    swing_factor(m);
	double gap_s = -log(1 - rn_unit(m->arrival_rng)) / per_s;

	md_schedule(m, (uint64_t)(gap_s * US_PER_S), on_arrival, kind, 0, NULL);
}

/* --- disturbances --- */

static void
set_disturbance(struct md *m, const struct md_disturbance *t, bool on)
{
	unsigned i;

	switch (t->what) {
	case MD_BURST:
		for (i = 0; i < m->load->nkinds; i++)
			if (t->kind[0] == '\0' ||
			    strcmp(t->kind, m->load->kinds[i].name) == 0)
				m->arrival_factor[i] *= on ? t->x : 1 / t->x;
		break;
	case MD_SLOWDOWN:
		for (i = 0; i < MIN(t->count, m->nworkers); i++)
			m->workers[i].slowdown = on ? t->x : 1;
		break;
	case MD_POWER_LOSS:
		for (i = 0; i < MIN(t->count, m->nworkers); i++)
			if (on)
				md_worker_stop(&m->workers[i]);
			else
				md_worker_start(&m->workers[i]);
		break;
	}
}

static void
on_disturbance(struct md *m, struct md_event *e)
{
	set_disturbance(m, &m->load->disturbances[e->a], e->b != 0);
}

/* --- entries --- */

static void
job_start(void *arg, struct fl_worker *w, const struct pd_start *s)
{
	md_grant(arg, w, s);
}

static void
job_withdraw(void *arg, struct fl_worker *w, const struct pd_key *k)
{
	md_withdraw(arg, w, k);
}

static void
job_reconcile(
    void *arg, struct fl_worker *w, const struct pd_key *keys, unsigned n)
{
	md_reconcile(arg, w, keys, n);
}

static void
job_answer(void *arg, uint64_t waiter, const struct jb_answer *a)
{
	struct md_entry *e = arg;
	struct md_job *job = e->model->jobs->pdata[waiter - 1];

	job->answered = true;
	job->status = a->status;
	job->response_us = ck_mono_us(e->model->clock) - job->arrived_us;
}

static void
job_ended(void *arg, const struct jb_answer *a)
{
	(void)arg;
	(void)a;
}

static const struct jb_ops job_ops = {
    .start = job_start,
    .withdraw = job_withdraw,
    .reconcile = job_reconcile,
    .answer = job_answer,
    .ended = job_ended,
};

static void
entries_new(struct md *m)
{
	struct md_entry *e;
	unsigned i;

	m->entries = g_new0(struct md_entry, m->load->entries);
	for (i = 0; i < m->load->entries; i++) {
		e = &m->entries[i];
		e->model = m;
		e->number = i;
		md_set_az(m, i, e->az);
		e->config = cf_new();
		e->fleet =
		    fl_new(m->clock, m->counters, e->config, m->load->seed + i);
		fl_set_placing(e->fleet,
		    &(struct fl_placing){
			.pooled = m->load->pooled, .az = e->az});
		e->jobs = jb_new(m->clock, m->counters, e->fleet, &job_ops, e);
		jb_set_run_times(e->jobs, m->load->run_times);
		if (m->load->by_value)
			jb_admit_by_value(e->jobs);
	}
}

static void
on_tick(struct md *m, struct md_event *e)
{
	uint64_t now = ck_mono_ms(m->clock);
	unsigned i, queued = 0;
	struct md_window *w;

	(void)e;
	for (i = 0; i < m->load->entries; i++)
		jb_tick(m->entries[i].jobs);
	for (i = 0; i < m->nworkers; i++)
		if (m->workers[i].up) {
			ru_tick(m->workers[i].runner);
			queued += ru_load(m->workers[i].runner).queued;
		}
	if (now >= START_MS && now * US_PER_MS < m->arrivals_end_us) {
		w = &m->result->windows[(now - START_MS) / MD_WINDOW_MS];
		w->queued_max = MAX(w->queued_max, queued);
	}
	md_schedule(m, TICK_MS * US_PER_MS, on_tick, 0, 0, NULL);
}

/* --- simulation --- */

static void
run_until(struct md *m, uint64_t until_us)
{
	struct md_event *e;
	GSequenceIter *first;

	for (;;) {
		first = g_sequence_get_begin_iter(m->events);
		e = g_sequence_get(first);
		if (e->at_us > until_us)
			break;
		ck_advance_us(m->clock, e->at_us - ck_mono_us(m->clock));
		e->fn(m, e);
		g_sequence_remove(first);
	}
	ck_advance_us(m->clock, until_us - ck_mono_us(m->clock));
}

static void
schedule_load(struct md *m)
{
	const struct md_disturbance *t;
	unsigned i;

	for (i = 0; i < m->load->nkinds; i++) {
		m->arrival_factor[i] = 1;
		schedule_arrival(m, i);
	}
	for (i = 0; i < m->load->ndisturbances; i++) {
		t = &m->load->disturbances[i];
		md_schedule(m, (uint64_t)t->at_ms * US_PER_MS, on_disturbance,
		    i, 1, NULL);
		md_schedule(m, ((uint64_t)t->at_ms + t->for_ms) * US_PER_MS,
		    on_disturbance, i, 0, NULL);
	}
}

static void
job_free(void *arg)
{
	struct md_job *job = arg;

	g_free(job->work_ms);
	g_free(job);
}

static void
model_free(struct md *m)
{
	unsigned i;

	for (i = 0; i < m->load->entries; i++) {
		jb_free(m->entries[i].jobs);
		fl_free(m->entries[i].fleet);
		cf_free(m->entries[i].config);
	}
	g_free(m->entries);
	md_workers_free(m);
	g_sequence_free(m->events);
	g_hash_table_destroy(m->jobs_by_id);
	g_hash_table_destroy(m->active_runs);
	g_ptr_array_free(m->jobs, TRUE);
	rn_free(m->arrival_rng);
	rn_free(m->run_rng);
	ct_free(m->counters);
	ck_free(m->clock);
}

/* Time in which the last jobs are answered. */
static unsigned
longest_wait_ms(const struct md *m)
{
	const struct md_job *job;
	unsigned longest = 0, i;

	for (i = 0; i < m->jobs->len; i++) {
		job = m->jobs->pdata[i];
		longest = MAX(longest, job->waits_ms);
	}
	return (longest);
}

struct md_result *
md_run(const struct md_load *load)
{
	uint64_t us = (uint64_t)load->seconds * US_PER_S;
	struct md m = {.load = load};

	lg_open("model", LOG_CRIT);
	m.clock = ck_new_manual(
	    load->agents_ms > 0 ? START_MS : START_MS - AGENT_WAIT_MS,
	    START_MS);
	m.counters = ct_new();
	m.arrival_rng = rn_new(load->seed);
	m.run_rng = rn_new(load->seed);
	m.events = g_sequence_new(free_event);
	m.jobs = g_ptr_array_new_with_free_func(job_free);
	m.jobs_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	m.active_runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	m.result = g_new0(struct md_result, 1);
	m.result->nwindows = load->seconds * PERMILLE / MD_WINDOW_MS;
	m.result->windows = g_new0(struct md_window, m.result->nwindows + 1);
	entries_new(&m);
	md_workers_new(&m);
	md_schedule(&m, 0, on_tick, 0, 0, NULL);
	run_until(&m, (uint64_t)START_MS * US_PER_MS);
	m.arrivals_end_us = (uint64_t)START_MS * US_PER_MS + us;
	schedule_load(&m);
	run_until(&m, m.arrivals_end_us);
	run_until(
	    &m, m.arrivals_end_us + (uint64_t)longest_wait_ms(&m) * US_PER_MS);
	md_count_results(&m);
	model_free(&m);
	return (m.result);
}

void
md_result_free(struct md_result *r)
{
	if (r == NULL)
		return;
	g_free(r->windows);
	g_free(r);
}
