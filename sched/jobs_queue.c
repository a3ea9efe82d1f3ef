#include <string.h>

#include "jobs_impl.h"
#include "level.h"

/* Weight of a job in the moving averages of its queue, which cover about 20
 * jobs. */
#define AVERAGE_WEIGHT 0.05
/* A queue without jobs for this time is no reason to refuse others. */
#define QUEUE_ACTIVE_MS 2000
/* Share of the slack of more urgent queues that others may use up. At 0.6 the
 * most urgent jobs are served less than others at 1.75 times the usual load; at
 * 0.4 jobs are refused while an availability zone is out though a sixth of the
 * capacity is free. */
#define SLACK_USE_MAX 0.5

static void
queue_free(void *arg)
{
	struct jb_queue_stats *q = arg;

	rt_free(q->run_times);
	g_free(q->service);
	g_free(q);
}

GHashTable *
jb_queue_table_new(void)
{
	return (
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, queue_free));
}

struct jb_queue_stats *
jb_queue_stats_get(struct jb *j, const char *name, const char *service)
{
	struct jb_queue_stats *q = g_hash_table_lookup(j->queues, name);

	if (q == NULL) {
		q = g_new0(struct jb_queue_stats, 1);
		q->run_times = jb_run_times_new(j);
		g_hash_table_insert(j->queues, g_strdup(name), q);
	}
	if (g_strcmp0(q->service, service) != 0) {
		g_free(q->service);
		q->service = g_strdup(service);
	}
	return (q);
}

void
jb_queue_stats_update(struct jb *j, const struct jb_job *job)
{
	struct jb_queue_stats *q = job->queue_stats;
	double weight = q->last_job_ms == 0 ? 1 : AVERAGE_WEIGHT;
	double slack = (double)job->target_at_ms - (double)job->arrived_ms -
	    (double)jb_critical_path_ms(job);

	q->level = lv_of(job->priority);
	q->slack_ms += (MAX(slack, 0) - q->slack_ms) * weight;
	q->size_ms += (job->steps[0].size_ms - q->size_ms) * weight;
	q->cpu += (job->steps[0].cpu - q->cpu) * weight;
	q->last_job_ms = ck_mono_ms(j->clock);
	q->recent_jobs++;
}

const struct jb_queue_stats *
jb_least_slack_queue(
    const struct jb *j, const char *service, unsigned end_level)
{
	uint64_t now = ck_mono_ms(j->clock);
	struct jb_queue_stats *q, *least = NULL;
	GHashTableIter it;

	g_hash_table_iter_init(&it, j->queues);
	while (g_hash_table_iter_next(&it, NULL, (void **)&q))
		if (q->level < end_level &&
		    now - q->last_job_ms < QUEUE_ACTIVE_MS &&
		    strcmp(q->service, service) == 0 &&
		    (least == NULL || q->slack_ms < least->slack_ms))
			least = q;
	return (least);
}

bool
jb_delays_urgent(struct jb *j, struct jb_job *job)
{
	const struct jb_queue_stats *q =
	    jb_least_slack_queue(j, job->service, lv_of(job->priority));
	struct fl_requirements req = {.label = "", .service = job->service};
	struct fl_worker *w;
	double finish, wait;

	if (q == NULL)
		return (false);
	req.cpu = (unsigned)q->cpu;
	req.size_ms = q->size_ms;
	/* Count queued tasks of all priorities: they become urgent when they
	 * are late. */
	req.priority = PD_LEVELS;
	w = fl_choose(j->fleet, &req, &finish);
	if (w == NULL)
		return (false);
	wait = finish - req.size_ms * fl_run_ratio(j->fleet, w);
	if (wait <= q->slack_ms * SLACK_USE_MAX)
		return (false);
	jb_trace(
	    j, job, NULL, TR_CROWDED, w, wait, q->slack_ms * SLACK_USE_MAX);
	return (true);
}
