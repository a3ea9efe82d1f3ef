#include <string.h>

#include "jobs_impl.h"
#include "lease.h"

/* A grant at a lost agent is over when the agent has noticed that too, or the
 * lease of the endpoint has ended. */
#define DOUBT_MS                                                               \
	(LE_CONTACT_MS + LE_RUN_MS + LE_RUN_MS * LE_DRIFT_PERMILLE / 1000)
/* An agent whose connection was reset is back within 100 ms; one that has
 * started again tells that it knows nothing of the run within this time. */
#define RECONNECT_MS 300

const char *
jb_reason_name(enum jb_reason r)
{
	static const char *const names[] = {"none", "no_worker", "no_room",
	    "overload", "deadline", "attempts", "client", "stopping"};

	return (r < JB_R_MAX ? names[r] : "invalid");
}

static struct pd_key
key_of(const struct jb_job *job, const struct jb_task *t)
{
	struct pd_key k = {
	    .sub = {.id = job->id, .created_ms = job->number},
	    .task = (unsigned)(t - job->tasks),
	    .attempt = t->attempt,
	};

	return (k);
}

void
jb_release(struct jb_job *job, struct jb_task *t)
{
	if (t->worker != NULL)
		fl_release(t->worker, job->steps[t->step].cpu);
	t->worker = NULL;
}

/* Time after which a refused job finds room: the shortest wait of its first
 * task beyond its own run time. */
static unsigned
retry_ms(struct jb *j, const struct jb_job *job)
{
	struct fl_need need = jb_need(j, job, &job->tasks[0]);
	double left = (double)(job->deadline_ms - job->arrived_ms);
	double finish;

	if (fl_choose(j->fleet, &need, &finish) == NULL || finish < left)
		return (0);
	return ((unsigned)(finish - left));
}

const char *
jb_status_name(enum jb_status s)
{
	static const char *const names[] = {
	    "completed", "failed", "refused", "gave_up", "cancelled"};

	return (names[s]);
}

static void
count(struct jb *j, enum jb_status status, enum jb_reason reason)
{
	ct_count(j->counters, "pd_jobs_ended_total", "Transient jobs ended",
	    "status", jb_status_name(status));
	if (reason != JB_R_NONE)
		ct_count(j->counters, "pd_jobs_not_done_total",
		    "Transient jobs refused or given up", "reason",
		    jb_reason_name(reason));
}

void
jb_finish(struct jb *j, struct jb_job *job, enum jb_status status,
    enum jb_reason reason)
{
	uint64_t now = ck_mono_ms(j->clock);
	struct jb_answer a = {
	    .id = job->id,
	    .status = status,
	    .reason = reason,
	    .took_ms = (unsigned)(now - job->arrived_ms),
	    .late_ms = now > job->due_ms ? (unsigned)(now - job->due_ms) : 0,
	    .queue = job->queue,
	    .trace = (struct tr_event *)job->trace->data,
	    .ntrace = job->trace->len,
	};
	struct jb_task *t;
	struct pd_key k;
	unsigned i;

	if (status == JB_REFUSED)
		a.retry_ms = retry_ms(j, job);
	for (i = 0; i < job->ntasks; i++) {
		t = &job->tasks[i];
		if (t->state == JB_GRANTED) {
			k = key_of(job, t);
			j->ops->withdraw(j->arg, t->worker, &k);
		}
		jb_release(job, t);
	}
	count(j, status, reason);
	hg_observe(j->took, a.took_ms);
	for (i = 0; i < job->waiters->len; i++)
		j->ops->answer(
		    j->arg, g_array_index(job->waiters, uint64_t, i), &a);
	j->ops->ended(j->arg, &a);
	g_hash_table_remove(j->by_id, job->id);
	g_hash_table_remove(j->by_number, &job->number);
}

void
jb_give_up(struct jb *j, struct jb_job *job, enum jb_reason reason)
{
	unsigned i;

	/* A grant that has not been returned may have started. */
	for (i = 0; i < job->ntasks; i++)
		if (job->tasks[i].state == JB_GRANTED ||
		    job->tasks[i].state == JB_DOUBTFUL)
			job->started = true;
	jb_finish(j, job, job->started ? JB_GAVE_UP : JB_REFUSED, reason);
}

static void
avoid(struct jb_task *t, struct fl_worker *w)
{
	t->avoid[t->navoid % JB_AVOID_MAX] = w;
	if (t->navoid < JB_AVOID_MAX)
		t->navoid++;
}

void
jb_returned(struct jb *j, struct jb_job *job, struct jb_task *t)
{
	t->state = JB_READY;
	if (!jb_place(j, job))
		jb_give_up(j, job, JB_R_DEADLINE);
}

static void
task_done(struct jb *j, struct jb_job *job, struct jb_task *t)
{
	t->state = JB_DONE;
	job->left[t->step]--;
	job->ndone++;
	if (job->ndone == job->ntasks) {
		jb_finish(j, job, JB_COMPLETED, JB_R_NONE);
		return;
	}
	if (job->left[t->step] > 0)
		return;
	jb_unlock(job);
	if (!jb_place(j, job))
		jb_give_up(j, job, JB_R_DEADLINE);
}

static void
task_failed(
    struct jb *j, struct jb_job *job, struct jb_task *t, struct fl_worker *w)
{
	t->state = JB_READY;
	fl_failed(j->fleet, w, job->number);
	avoid(t, w);
	t->failures++;
	if (t->failures >= job->attempts_max)
		jb_finish(j, job, JB_FAILED, JB_R_ATTEMPTS);
	else
		jb_returned(j, job, t);
}

static struct jb_task *
find_task(struct jb *j, const struct pd_key *k, struct jb_job **job)
{
	uint64_t number = k->sub.created_ms;
	struct jb_task *t;

	*job = g_hash_table_lookup(j->by_number, &number);
	if (*job == NULL || strcmp((*job)->id, k->sub.id) != 0 ||
	    k->task >= (*job)->ntasks)
		return (NULL);
	t = &(*job)->tasks[k->task];
	if (t->attempt != k->attempt ||
	    (t->state != JB_GRANTED && t->state != JB_DOUBTFUL))
		return (NULL);
	return (t);
}

static enum tr_kind
trace_kind(enum pd_end_state state)
{
	switch (state) {
	case PD_END_DONE:
		return (TR_DONE);
	case PD_END_FAILED:
		return (TR_FAILED);
	case PD_END_STOPPED:
		return (TR_STOPPED);
	case PD_END_RETURNED:
		return (TR_RETURNED);
	default:
		return (TR_LOST);
	}
}

static void
one_ended(struct jb *j, struct fl_worker *w, const struct pd_end *e)
{
	struct jb_job *job;
	struct jb_task *t = find_task(j, &e->key, &job);
	const struct jb_step *s;

	/* The job has ended, or another attempt was made. */
	if (t == NULL || t->worker != w)
		return;
	if (e->state == PD_END_ACTIVE) {
		t->state = JB_GRANTED;
		return;
	}
	s = &job->steps[t->step];
	jb_note(j, job, t, trace_kind(e->state), w, e->queue_ms, e->run_ms);
	jb_release(job, t);
	if (e->state != PD_END_RETURNED) {
		job->started = true;
		hg_observe(j->queued, e->queue_ms);
		hg_observe(j->ran, e->run_ms);
	}
	switch (e->state) {
	case PD_END_DONE:
		po_sizes_learn(&job->learned->sizes, job->declared[t->step],
		    e->run_ms / fl_unit(j->fleet, w));
		fl_done(j->fleet, w, s->size_ms, e->run_ms);
		task_done(j, job, t);
		break;
	case PD_END_FAILED:
		task_failed(j, job, t, w);
		break;
	case PD_END_STOPPED:
		fl_done(j->fleet, w, s->size_ms, e->run_ms);
		fl_failed(j->fleet, w, job->number);
		t->stopped = true;
		avoid(t, w);
		jb_returned(j, job, t);
		break;
	case PD_END_RETURNED:
		t->returns++;
		jb_returned(j, job, t);
		break;
	default:
		avoid(t, w);
		jb_returned(j, job, t);
		break;
	}
}

/* Room of the grants that a report ends. */
static unsigned
cpu_ending(struct jb *j, const struct fl_worker *w, const struct pd_ended *e)
{
	const struct jb_task *t;
	struct jb_job *job;
	unsigned i, cpu = 0;

	for (i = 0; i < e->list.list_len; i++) {
		t = find_task(j, &e->list.list_val[i].key, &job);
		if (t != NULL && t->worker == w &&
		    e->list.list_val[i].state != PD_END_ACTIVE)
			cpu += job->steps[t->step].cpu;
	}
	return (cpu);
}

/* The load comes first, since tasks may be placed again below. */
void
jb_grants_ended(struct jb *j, struct fl_worker *w, const struct pd_ended *e)
{
	unsigned i;

	fl_load(w, &e->load, cpu_ending(j, w, e));
	for (i = 0; i < e->list.list_len; i++)
		one_ended(j, w, &e->list.list_val[i]);
}

/* Calls @fn for each task that @w holds; @fn may end the job. */
static void
each_grant(struct jb *j, struct fl_worker *w,
    void (*fn)(struct jb *j, struct jb_job *job, struct jb_task *t))
{
	GList *jobs = g_hash_table_get_keys(j->by_number), *l;
	uint64_t *numbers = g_new(uint64_t, g_list_length(jobs) + 1);
	struct jb_job *job;
	size_t i, n = 0;
	unsigned k;

	for (l = jobs; l != NULL; l = l->next)
		numbers[n++] = *(uint64_t *)l->data;
	g_list_free(jobs);
	for (i = 0; i < n; i++)
		for (k = 0;; k++) {
			job = g_hash_table_lookup(j->by_number, &numbers[i]);
			if (job == NULL || k >= job->ntasks)
				break;
			if (job->tasks[k].worker == w)
				fn(j, job, &job->tasks[k]);
		}
	g_free(numbers);
}

static void
mark_doubtful(struct jb *j, struct jb_job *job, struct jb_task *t)
{
	jb_note(j, job, t, TR_DOUBTFUL, t->worker,
	    (double)ck_mono_ms(j->clock) - (double)t->worker->seen_ms, 0);
	t->state = JB_DOUBTFUL;
	t->cut_ms = ck_mono_ms(j->clock);
	t->doubt_ms = t->worker->answered_ms + DOUBT_MS;
}

static void
lose(struct jb *j, struct jb_job *job, struct jb_task *t)
{
	jb_note(j, job, t, TR_RESTARTED, t->worker, 0, 0);
	jb_release(job, t);
	job->started = true;
	jb_returned(j, job, t);
}

static void
reconcile(struct jb *j, struct fl_worker *w)
{
	GArray *keys = g_array_new(FALSE, FALSE, sizeof(struct pd_key));
	GHashTableIter it;
	struct jb_job *job;
	struct pd_key k;
	unsigned i;

	g_hash_table_iter_init(&it, j->by_number);
	while (g_hash_table_iter_next(&it, NULL, (void **)&job))
		for (i = 0; i < job->ntasks; i++)
			if (job->tasks[i].worker == w) {
				k = key_of(job, &job->tasks[i]);
				g_array_append_val(keys, k);
			}
	if (keys->len > 0)
		j->ops->reconcile(
		    j->arg, w, (struct pd_key *)keys->data, keys->len);
	g_array_free(keys, TRUE);
}

void
jb_attached(struct jb *j, struct fl_worker *w, bool restarted)
{
	if (restarted)
		each_grant(j, w, lose);
	else
		reconcile(j, w);
}

void
jb_detached(struct jb *j, struct fl_worker *w)
{
	each_grant(j, w, mark_doubtful);
}

/*
 * Load pattern: a host loses its power. Its runs may go on until their lease
 * has ended, and a further run then ends too late for many jobs. Their callers
 * are told as soon as the agent can be expected not to come back.
 */
static bool
is_hopeless(struct jb *j, const struct jb_job *job, const struct jb_task *t)
{
	double size_ms = job->steps[t->step].size_ms * JB_SIZE_BEST;

	if (ck_mono_ms(j->clock) <= t->cut_ms + RECONNECT_MS)
		return (false);
	/* The loss of a zone makes thousands of tasks doubtful at once. */
	if (j->best_unit == 0)
		j->best_unit = fl_best_unit(j->fleet);
	return ((double)t->doubt_ms + size_ms * j->best_unit >
	    (double)job->deadline_ms);
}

/* Return: whether the job goes on. */
static bool
check_tasks(struct jb *j, struct jb_job *job, uint64_t now)
{
	struct jb_task *t;
	bool ready = false;
	unsigned i;

	for (i = 0; i < job->ntasks; i++) {
		t = &job->tasks[i];
		/* A silent agent counts like one whose connection ended. */
		if (t->state == JB_GRANTED &&
		    now > t->worker->answered_ms + DOUBT_MS)
			mark_doubtful(j, job, t);
		if (t->state == JB_DOUBTFUL && is_hopeless(j, job, t)) {
			jb_note(j, job, t, TR_HOPELESS, t->worker,
			    (double)t->doubt_ms - (double)now,
			    (double)job->deadline_ms - (double)now);
			return (false);
		}
		if (t->state == JB_DOUBTFUL && now > t->doubt_ms) {
			job->started = true;
			jb_note(j, job, t, TR_DROPPED, t->worker, 0, 0);
			jb_release(job, t);
			t->state = JB_READY;
		}
		ready = ready || t->state == JB_READY;
	}
	return (!ready || jb_place(j, job));
}

void
jb_tick(struct jb *j)
{
	GList *jobs = g_hash_table_get_values(j->by_number), *l;
	uint64_t now = ck_mono_ms(j->clock);
	struct jb_job *job;

	fl_tick(j->fleet);
	j->best_unit = 0;
	for (l = jobs; l != NULL; l = l->next) {
		job = l->data;
		if (now >= job->deadline_ms || !check_tasks(j, job, now))
			jb_give_up(j, job, JB_R_DEADLINE);
	}
	g_list_free(jobs);
}
