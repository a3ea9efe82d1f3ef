#include <math.h>
#include <string.h>

#include "jobs_impl.h"

/* Least chance to end in time with which a job is worth starting: an answer in
 * time is worth ten waits of the same length in vain. */
#define CHANCE_MIN 0.1
/* Chances of a running job are computed at most this often. */
#define CHECK_INTERVAL_MS 100
/* One in so many jobs with too small a chance is run to its deadline. Without
 * these a queue whose jobs have become shorter would be refused for ever, since
 * nothing more is learned from it. */
#define PROBE_INTERVAL 16
/* Period in which the summaries of other entries are aged. */
#define AGE_INTERVAL_MS 5000
/* Statistics of queues that are created for summaries of other entries, which
 * may name any queue. An entry sends its most active ones only. */
#define SHARED_QUEUES_MAX 512
/* Time after its last job in which a queue is sent to other entries. */
#define SHARE_ACTIVE_MS 60000
#define PERMILLE 1000

void
jb_set_run_times(struct jb *j, bool distribution)
{
	j->uses_distribution = distribution;
}

struct rt *
jb_run_times_new(const struct jb *j)
{
	return (j->uses_distribution ? rt_new() : NULL);
}

static bool
is_learned(const struct jb_queue_stats *q)
{
	return (
	    q->run_times != NULL && rt_samples(q->run_times) >= RT_SAMPLES_MIN);
}

double
jb_best_run_ratio(struct jb *j)
{
	if (j->best_run_ratio == 0)
		j->best_run_ratio = fl_best_run_ratio(j->fleet);
	return (j->best_run_ratio);
}

static double
left_ms(const struct jb *j, const struct jb_job *job)
{
	return ((double)job->deadline_ms - (double)ck_mono_ms(j->clock));
}

/* Least chance with which to go on: a job that is about to reach its deadline
 * loses nothing by waiting on. */
static double
least_chance(const struct jb *j, const struct jb_job *job)
{
	double all = (double)job->deadline_ms - (double)job->arrived_ms;

	return (all > 0 ? CHANCE_MIN * left_ms(j, job) / all : 0);
}

bool
jb_may_end_at(const struct jb *j, const struct jb_job *job, unsigned step,
    const struct fl_worker *w)
{
	const struct jb_queue_stats *q = job->queue_stats;

	if (job->probe)
		return (true);
	return (is_learned(q) &&
	    rt_chance(q->run_times, job->declared_ms[step], 0,
		left_ms(j, job) / fl_run_ratio(j->fleet, w)) >=
		least_chance(j, job));
}

/*
 * Records that the chance of a job is too small.
 *
 * Return: whether to end it. The others are probes, which run to their
 * deadline. A probe that would have been refused stands for all jobs like it,
 * of which the others leave no sample.
 */
static bool
end_unlikely(struct jb *j, struct jb_job *job, unsigned step, double chance)
{
	jb_trace(j, job, NULL, TR_UNLIKELY, NULL, job->declared_ms[step],
	    chance * PERMILLE);
	/* It tells nothing about the queue, and may fit elsewhere. */
	if (jb_is_limited_by_stop(j, job))
		return (true);
	if (++job->queue_stats->unlikely % PROBE_INTERVAL == 0) {
		job->probe = true;
		job->sample_weight = job->any_granted ? 1 : PROBE_INTERVAL;
		return (false);
	}
	job->unlikely = true;
	return (true);
}

/* Step with the longest declared run time. */
static unsigned
longest_step(const struct jb_job *job)
{
	unsigned i, longest = 0;

	for (i = 1; i < job->nsteps; i++)
		if (job->declared_ms[i] > job->declared_ms[longest])
			longest = i;
	return (longest);
}

bool
jb_is_unlikely(struct jb *j, struct jb_job *job)
{
	unsigned step = longest_step(job);
	double chance;

	if (!is_learned(job->queue_stats) || job->probe)
		return (false);
	chance = rt_chance(job->queue_stats->run_times, job->declared_ms[step],
	    0, left_ms(j, job) / jb_best_run_ratio(j));
	if (job->chance < 0)
		job->chance = chance;
	return (chance < CHANCE_MIN && end_unlikely(j, job, step, chance));
}

/* Run time of a granted task so far on a worker of ratio 1, if it did not wait
 * at its agent. */
static double
reached_ms(const struct jb *j, const struct jb_task *t)
{
	return ((double)(ck_mono_ms(j->clock) - t->granted_ms) /
	    fl_run_ratio(j->fleet, t->worker));
}

/* What is known of the tasks of a step that runs. */
struct step_state {
	unsigned ndone;
	unsigned nrunning;
	double run_ms;   /* shortest run so far on a worker of ratio 1 */
	double limit_ms; /* longest run with which all could end in time */
};

static struct step_state
state_of_step(const struct jb *j, const struct jb_job *job,
    const struct jb_task *t, unsigned n, double best_factor)
{
	struct step_state s = {.run_ms = INFINITY, .limit_ms = INFINITY};
	double left = left_ms(j, job), run, factor;

	for (; n > 0; n--, t++) {
		s.ndone += t->state == JB_DONE;
		run = 0;
		factor = best_factor;
		if (t->state == JB_GRANTED) {
			run = reached_ms(j, t);
			factor = fl_run_ratio(j->fleet, t->worker);
			/* It may have waited at its agent all the time. */
			s.run_ms = fmin(s.run_ms, t->queued ? 0 : run);
			s.nrunning++;
		} else if (t->state != JB_READY) {
			continue;
		}
		s.limit_ms = fmin(s.limit_ms, run + left / factor);
	}
	return (s);
}

/*
 * Chance that a step ends in time whose tasks are @t to @t + @n. The tasks of a
 * step take about the same time, so what has passed counts only if two of them
 * run and none has ended: a single one that takes long may be at a worker that
 * hangs.
 */
static double
step_chance(
    struct jb *j, const struct jb_job *job, const struct jb_task *t, unsigned n)
{
	struct step_state s = state_of_step(j, job, t, n, jb_best_run_ratio(j));

	if (s.ndone > 0 || s.nrunning < 2 || isinf(s.limit_ms))
		return (1);
	return (rt_chance(job->queue_stats->run_times,
	    job->declared_ms[t->step], s.run_ms, s.limit_ms));
}

bool
jb_is_worth_continuing(struct jb *j, struct jb_job *job)
{
	uint64_t now = ck_mono_ms(j->clock);
	unsigned i, n, step;
	double chance;

	if (!is_learned(job->queue_stats) || job->probe ||
	    now - job->checked_ms < CHECK_INTERVAL_MS)
		return (true);
	job->checked_ms = now;
	for (i = 0; i < job->ntasks; i += n) {
		step = job->tasks[i].step;
		for (n = 1; i + n < job->ntasks; n++)
			if (job->tasks[i + n].step != step)
				break;
		if (job->tasks_left[step] == 0)
			continue;
		chance = step_chance(j, job, &job->tasks[i], n);
		if (chance < least_chance(j, job))
			return (!end_unlikely(j, job, step, chance));
	}
	return (true);
}

void
jb_learn_run(struct jb *j, struct jb_job *job, const struct jb_task *t,
    const struct pd_end *e)
{
	double *longest = &job->longest_ms[t->step];

	*longest =
	    fmax(*longest, e->run_ms / fl_run_ratio(j->fleet, t->worker));
}

void
jb_learn_step(struct jb_job *job, unsigned step)
{
	unsigned i;

	if (job->queue_stats->run_times == NULL)
		return;
	for (i = 0; i < job->sample_weight; i++)
		rt_ended(job->queue_stats->run_times, job->declared_ms[step],
		    job->longest_ms[step]);
}

static bool
has_lost_task(const struct jb_job *job)
{
	unsigned i;

	for (i = 0; i < job->ntasks; i++)
		if (job->tasks[i].state == JB_UNREACHABLE)
			return (true);
	return (job->run_lost);
}

/* Learns from the steps of a job that has ended otherwise while tasks of them
 * ran. A task that is done tells the run time of the others; else it is longer
 * than the shortest run, since one of the others may be at a worker that hangs.
 */
static void
learn_cut_steps(struct jb *j, struct jb_job *job)
{
	double *shortest = g_new0(double, job->nsteps);
	const struct jb_task *t;
	unsigned i, k;

	for (i = 0; i < job->ntasks; i++) {
		t = &job->tasks[i];
		if (t->state != JB_GRANTED || t->queued)
			continue;
		shortest[t->step] = shortest[t->step] == 0
		    ? reached_ms(j, t)
		    : fmin(shortest[t->step], reached_ms(j, t));
	}
	for (i = 0; i < job->nsteps; i++) {
		if (job->tasks_left[i] == 0)
			continue;
		for (k = 0; k < job->sample_weight; k++)
			if (job->longest_ms[i] > 0)
				rt_ended(job->queue_stats->run_times,
				    job->declared_ms[i], job->longest_ms[i]);
			else if (shortest[i] > 0)
				rt_cut(job->queue_stats->run_times,
				    job->declared_ms[i], shortest[i]);
	}
	g_free(shortest);
}

/* Counts the outcome of a job by its predicted chance. */
static void
count_chance(struct jb *j, const struct jb_job *job, const char *result)
{
	char labels[64];
	unsigned tenth;

	/* The chance of a job with several steps is an upper bound only. */
	if (job->chance < 0 || job->nsteps > 1)
		return;
	tenth = MIN((unsigned)(job->chance * 10), 9);
	g_snprintf(labels, sizeof(labels), "tenth=\"%u\",result=\"%s\"", tenth,
	    result);
	ct_add(ct_get(j->counters, CT_COUNTER, "pd_chance_total",
		   "Jobs by the tenth of their chance on arrival to end in "
		   "time, and by what became of them",
		   labels),
	    1);
}

void
jb_learn_from_end(struct jb *j, struct jb_job *job, enum jb_status status,
    enum jb_reason reason)
{
	if (job->queue_stats->run_times == NULL)
		return;
	if (status == JB_COMPLETED) {
		count_chance(j, job, "completed");
	} else if (status == JB_REFUSED && job->unlikely) {
		count_chance(j, job, "refused");
	} else if (status == JB_GAVE_UP && reason == JB_R_DEADLINE &&
	    !has_lost_task(job)) {
		count_chance(j, job, "not_completed");
		learn_cut_steps(j, job);
	} else if (status == JB_CANCELLED && !has_lost_task(job)) {
		learn_cut_steps(j, job);
	}
}

void
jb_age_run_times(struct jb *j)
{
	uint64_t now = ck_mono_ms(j->clock);
	struct jb_queue_stats *q;
	GHashTableIter it;

	if (!j->uses_distribution || now - j->aged_ms < AGE_INTERVAL_MS)
		return;
	g_hash_table_iter_init(&it, j->queues);
	while (g_hash_table_iter_next(&it, NULL, (void **)&q)) {
		if (q->run_times != NULL)
			rt_age(q->run_times, (double)(now - j->aged_ms));
		q->recent_jobs /= 2;
	}
	j->aged_ms = now;
}

/* A queue and its statistics, while the most active ones are looked for. */
struct ranked {
	const char *name;
	const struct jb_queue_stats *stats;
};

static gint
compare_ranked(gconstpointer a, gconstpointer b)
{
	const struct ranked *x = a, *y = b;

	return ((x->stats->recent_jobs < y->stats->recent_jobs) -
	    (x->stats->recent_jobs > y->stats->recent_jobs));
}

static void
encode(struct pd_run_times *to, const char *queue, const struct rt_summary *s)
{
	unsigned first = 0, last = RT_BINS;

	while (first < RT_BINS && s->bins[first] == 0)
		first++;
	while (last > first && s->bins[last - 1] == 0)
		last--;
	to->queue = g_strdup(queue);
	to->samples = s->samples;
	to->error_samples = s->error_samples;
	to->error_mean_permille = s->error_mean_permille;
	to->error_sd_permille = s->error_sd_permille;
	to->bins_total = RT_BINS;
	to->bins_first = first;
	to->bins.bins_len = last - first;
	to->bins.bins_val = g_memdup2(s->bins + first, last - first);
}

unsigned
jb_export_run_times(const struct jb *j, struct pd_run_times *list, unsigned max)
{
	g_autoptr(GArray) queues =
	    g_array_new(FALSE, FALSE, sizeof(struct ranked));
	uint64_t now = ck_mono_ms(j->clock);
	struct rt_summary s;
	struct ranked r;
	GHashTableIter it;
	unsigned n = 0;
	guint i;

	g_hash_table_iter_init(&it, j->queues);
	while (g_hash_table_iter_next(&it, (void **)&r.name, (void **)&r.stats))
		if (r.stats->run_times != NULL && r.stats->last_job_ms != 0 &&
		    now - r.stats->last_job_ms < SHARE_ACTIVE_MS)
			g_array_append_val(queues, r);
	g_array_sort(queues, compare_ranked);
	for (i = 0; i < queues->len && n < max; i++) {
		r = g_array_index(queues, struct ranked, i);
		if (rt_export(r.stats->run_times, &s))
			encode(&list[n++], r.name, &s);
	}
	return (n);
}

void
jb_free_run_times(struct pd_run_times *list, unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		g_free(list[i].queue);
		g_free(list[i].bins.bins_val);
	}
}

static bool
decode(const struct pd_run_times *from, struct rt_summary *s)
{
	memset(s, 0, sizeof(*s));
	if (from->bins_total != RT_BINS || from->bins_first > RT_BINS ||
	    from->bins.bins_len > RT_BINS - from->bins_first)
		return (false);
	s->samples = from->samples;
	s->error_samples = from->error_samples;
	s->error_mean_permille = from->error_mean_permille;
	s->error_sd_permille = from->error_sd_permille;
	if (from->bins.bins_len > 0)
		memcpy(s->bins + from->bins_first, from->bins.bins_val,
		    from->bins.bins_len);
	return (true);
}

/* Statistics of a queue that a summary is of, NULL if there are too many. */
static struct jb_queue_stats *
stats_for_summary(struct jb *j, const char *queue)
{
	struct jb_queue_stats *q = g_hash_table_lookup(j->queues, queue);

	if (q == NULL && g_hash_table_size(j->queues) < SHARED_QUEUES_MAX)
		q = jb_queue_stats_get(j, queue, "");
	return (q);
}

void
jb_merge_run_times(struct jb *j, const char *sender,
    const struct pd_run_times *list, unsigned n)
{
	struct jb_queue_stats *q;
	struct rt_summary s;
	unsigned i;

	if (!j->uses_distribution)
		return;
	for (i = 0; i < n; i++) {
		q = NULL;
		if (decode(&list[i], &s))
			q = stats_for_summary(j, list[i].queue);
		if (q == NULL || q->run_times == NULL ||
		    !rt_merge(q->run_times, sender, &s))
			ct_add(ct_get(j->counters, CT_COUNTER,
				   "pd_run_times_rejected_total",
				   "Summaries of run times of other entries "
				   "that cannot be used",
				   ""),
			    1);
	}
}
