#include <string.h>

#include "jobs_impl.h"
#include "level.h"

/* The slack of a queue is averaged over about 20 jobs. */
#define SLACK_FACTOR 0.05
/* A queue that no job came through for this time is no reason to refuse. */
#define ACTIVE_MS 2000
/* Share of the slack of more urgent queues that others may use up. On the
 * replayed loads 0.6 serves the most urgent jobs less than others at 1.75 times
 * the usual load, and 0.4 refuses jobs while an availability zone is out though
 * a sixth of the room is left. */
#define SLACK_SHARE 0.5

static void
queue_free(void *arg)
{
	struct jb_queue *q = arg;

	g_free(q->service);
	g_free(q);
}

GHashTable *
jb_queues_new(void)
{
	return (
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, queue_free));
}

struct jb_queue *
jb_queue_of(struct jb *j, const char *name, const char *service)
{
	struct jb_queue *q = g_hash_table_lookup(j->queues, name);

	if (q == NULL) {
		q = g_new0(struct jb_queue, 1);
		g_hash_table_insert(j->queues, g_strdup(name), q);
	}
	if (g_strcmp0(q->service, service) != 0) {
		g_free(q->service);
		q->service = g_strdup(service);
	}
	return (q);
}

void
jb_queue_learn(struct jb *j, const struct jb_job *job)
{
	struct jb_queue *q = job->learned;
	double factor = q->seen_ms == 0 ? 1 : SLACK_FACTOR;
	double slack = (double)job->due_ms - (double)job->arrived_ms -
	    (double)jb_chain_ms(job);

	q->level = lv_of(job->priority);
	q->slack_ms += (MAX(slack, 0) - q->slack_ms) * factor;
	q->size_ms += (job->steps[0].size_ms - q->size_ms) * factor;
	q->cpu += (job->steps[0].cpu - q->cpu) * factor;
	q->seen_ms = ck_mono_ms(j->clock);
}

/* The more urgent queue of the same service whose jobs can wait the least, NULL
 * for none. */
static const struct jb_queue *
tightest_queue(const struct jb *j, const struct jb_job *job)
{
	uint64_t now = ck_mono_ms(j->clock);
	struct jb_queue *q, *least = NULL;
	GHashTableIter it;

	g_hash_table_iter_init(&it, j->queues);
	while (g_hash_table_iter_next(&it, NULL, (void **)&q))
		if (q->level < lv_of(job->priority) &&
		    now - q->seen_ms < ACTIVE_MS &&
		    strcmp(q->service, job->service) == 0 &&
		    (least == NULL || q->slack_ms < least->slack_ms))
			least = q;
	return (least);
}

bool
jb_crowds_out(struct jb *j, struct jb_job *job)
{
	const struct jb_queue *q = tightest_queue(j, job);
	struct fl_need need = {.label = "", .service = job->service};
	struct fl_worker *w;
	double finish, wait;

	if (q == NULL)
		return (false);
	need.cpu = (unsigned)q->cpu;
	need.size_ms = q->size_ms;
	/* Whatever waits counts, since it will be urgent too when it is late.
	 */
	need.priority = PD_LEVELS;
	w = fl_choose(j->fleet, &need, &finish);
	if (w == NULL)
		return (false);
	wait = finish - need.size_ms * fl_unit(j->fleet, w);
	if (wait <= q->slack_ms * SLACK_SHARE)
		return (false);
	jb_note(j, job, NULL, TR_CROWDED, w, wait, q->slack_ms * SLACK_SHARE);
	return (true);
}
