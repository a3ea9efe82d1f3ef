#include <string.h>

#include "event.h"
#include "jobs_impl.h"
#include "level.h"

/* Least time between two sums over all workers: an entry runs on 0.09 of a
 * core and may know some 1,500 workers. */
#define SUM_PERIOD_MS 50
/* Mean run time assumed while no worker has reported one. */
#define DEFAULT_MEAN_MS 150.0
/* Share of its slack that a job may wait for capacity before it is refused. */
#define WAIT_SHARE 0.5
/* Queues that have counters of their own. */
#define COUNTED_QUEUES_MAX 64
#define PERMILLE 1000.0

void
jb_admit_by_value(struct jb *j)
{
	if (j->contention == NULL)
		j->contention = cc_new(j->clock);
}

double
jb_contention_price(const struct jb *j)
{
	return (j->contention == NULL ? 0 : cc_price(j->contention));
}

static struct cc_job
describe(const struct jb *j, const struct jb_job *job)
{
	double wait_until =
		   (double)job->target_at_ms - (double)jb_critical_path_ms(job),
	       slack, waited;
	struct cc_job d = {
	    .id = job->id,
	    .service = job->service,
	    .queue = job->queue,
	    .level = lv_of(job->priority),
	    .chance = jb_chance(job),
	    .need = job->need,
	    .declared = job->declared_need,
	};

	slack = wait_until - (double)job->arrived_ms;
	waited = (double)ck_mono_ms(j->clock) - (double)job->arrived_ms;
	d.slack_ms = slack * WAIT_SHARE - waited;
	return (d);
}

/* --- state of the fleet --- */

struct sum {
	const struct jb *jobs;
	const char *service;
	double cpu; /* of a task, to tell free capacity that can be used */
	double mean_weight;
	double mean_sum;
	double ratio_sum;
	struct cc_fleet fleet;
};

/* The agent's report has the levels of the queued tasks, but not yet the latest
 * grants. */
static void
add_waiting(struct cc_fleet *f, const struct fl_worker *w)
{
	double all = (double)w->cpu_own + w->cpu_others, queued = 0;
	double waiting = MAX(all - w->cpu, 0);
	unsigned i;

	for (i = 0; i < PD_LEVELS; i++)
		queued += w->cpu_queued[i];
	if (queued > waiting)
		waiting = queued;
	for (i = 0; i < PD_LEVELS; i++)
		f->waiting[i] += w->cpu_queued[i];
	f->unseen += waiting - queued;
}

static void
add_worker(void *arg, struct fl_worker *w)
{
	struct sum *s = arg;
	double room;

	if (w->service == NULL || strcmp(w->service, s->service) != 0 ||
	    !fl_is_usable(s->jobs->fleet, w))
		return;
	s->fleet.capacity += w->cpu;
	room = (double)w->cpu - w->cpu_own - w->cpu_others;
	if (room >= s->cpu)
		s->fleet.free += room;
	add_waiting(&s->fleet, w);
	if (w->reported.samples == 0)
		return;
	s->mean_weight += w->cpu;
	s->mean_sum += (double)w->cpu * w->reported.mean_ms;
	s->ratio_sum += (double)w->cpu * w->reported.ratio_permille / PERMILLE;
}

/* Sets the run times by level to those of the tasks of the queues of a service,
 * since the tasks that wait take longer on average than those that end. */
static void
set_run_times(const struct jb *j, struct sum *s)
{
	double ratio = s->mean_weight > 0 ? s->ratio_sum / s->mean_weight : 1;
	double sizes[PD_LEVELS] = {0};
	unsigned n[PD_LEVELS] = {0}, i;
	struct jb_queue_stats *q;
	GHashTableIter it;

	g_hash_table_iter_init(&it, j->queues);
	while (g_hash_table_iter_next(&it, NULL, (void **)&q))
		if (strcmp(q->service, s->service) == 0) {
			sizes[q->level] += q->size_ms;
			n[q->level]++;
		}
	for (i = 0; i < PD_LEVELS; i++)
		s->fleet.run_ms[i] =
		    n[i] > 0 ? sizes[i] / n[i] * ratio : s->fleet.mean_ms;
}

/* Sums up the fleet as far as the last sum is not recent. */
static void
observe_fleet(struct jb *j, struct jb_job *job)
{
	uint64_t now = ck_mono_ms(j->clock);
	struct sum s = {.jobs = j, .service = job->service};
	const struct jb_queue_stats *q;

	if (!cc_is_stale(j->contention, job->service, now, SUM_PERIOD_MS))
		return;
	q = jb_least_slack_queue(j, job->service, PD_LEVELS);
	s.cpu = q == NULL ? 1 : MAX(q->cpu, 1);
	s.fleet.slack_ms = q == NULL ? 0 : q->slack_ms;
	fl_each(j->fleet, add_worker, &s);
	s.fleet.mean_ms =
	    s.mean_weight > 0 ? s.mean_sum / s.mean_weight : DEFAULT_MEAN_MS;
	set_run_times(j, &s);
	cc_observe(j->contention, job->service, &s.fleet);
}

bool
jb_may_use_free(const struct jb *j, const struct jb_job *job,
    const struct fl_requirements *req)
{
	const struct fl_worker *w;

	if (j->contention == NULL ||
	    cc_is_contended(j->contention, job->service))
		return (false);
	w = fl_free_worker(j->fleet, req);
	return (w != NULL &&
	    req->size_ms * fl_run_ratio(j->fleet, w) * JB_MIN_SIZE_FACTOR <=
		req->deadline_left_ms);
}

/* --- decisions --- */

void
jb_contention_arrived(struct jb *j, struct jb_job *job)
{
	struct cc_job d;
	unsigned i;

	for (i = 0; i < job->nsteps; i++) {
		job->need += (double)job->steps[i].count * job->steps[i].cpu *
		    job->steps[i].size_ms / PERMILLE;
		job->declared_need += (double)job->steps[i].count *
		    job->steps[i].cpu * job->declared_ms[i] / PERMILLE;
	}
	if (j->contention == NULL)
		return;
	d = describe(j, job);
	job->value = cc_value(&d);
	observe_fleet(j, job);
	cc_arrived(j->contention, &d);
}

/* The name of a queue comes from the operators' table, so it is quoted and the
 * number of different values is bounded. */
static void
count_decision(
    struct jb *j, const struct jb_job *job, enum cc_decision decision)
{
	bool few = g_hash_table_size(j->queues) <= COUNTED_QUEUES_MAX;
	g_autofree char *name = g_strdup(few ? job->queue : "other");
	g_autofree char *labels = NULL;

	g_strdelimit(name, "\"\\\n", '_');
	labels = g_strdup_printf(
	    "queue=\"%s\",decision=\"%s\"", name, cc_decision_name(decision));
	ct_add(ct_get(j->counters, CT_COUNTER, "pd_contention_total",
		   "Decisions on jobs while capacity was short", labels),
	    1);
}

static void
log_refusal(struct jb *j, struct jb_job *job, const struct cc_verdict *verdict)
{
	jb_trace(j, job, NULL, TR_SHED, NULL, verdict->price * PERMILLE,
	    job->value * PERMILLE);
	ev_write_detail("contention", "refused", "{s:s,s:s,s:f,s:f,s:f,s:i}",
	    "job", job->id, "queue", job->queue, "price", verdict->price,
	    "cost", verdict->cost, "need_core_ms", verdict->need, "retry_ms",
	    (int)verdict->retry_ms);
}

enum cc_decision
jb_contention_decide(struct jb *j, struct jb_job *job)
{
	struct cc_verdict v;
	struct cc_job d;

	if (j->contention == NULL || job->settled)
		return (CC_ADMIT);
	observe_fleet(j, job);
	d = describe(j, job);
	v = cc_decide(j->contention, &d);
	if (cc_is_contended(j->contention, job->service) &&
	    (v.decision != CC_WAIT || !job->waited))
		count_decision(j, job, v.decision);
	job->waited = v.decision == CC_WAIT;
	if (v.decision == CC_REFUSE)
		log_refusal(j, job, &v);
	return (v.decision);
}

void
jb_contention_settled(struct jb *j, struct jb_job *job, bool admitted)
{
	struct cc_job d;

	if (j->contention == NULL || job->settled)
		return;
	job->settled = true;
	d = describe(j, job);
	cc_settled(j->contention, &d, admitted);
}

unsigned
jb_contention_retry_ms(
    struct jb *j, const struct jb_job *job, unsigned least_ms)
{
	struct cc_job d;
	struct cc_verdict v;

	if (j->contention == NULL || least_ms == 0)
		return (least_ms);
	d = describe(j, job);
	v = cc_decide(j->contention, &d);
	return (MAX(v.retry_ms, least_ms));
}
