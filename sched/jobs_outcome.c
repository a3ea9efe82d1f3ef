#include <string.h>

#include "event.h"
#include "jobs_impl.h"
#include "lease.h"

/* An agent reconnects within 100 ms after a connection reset; one that has
 * restarted reports within this time that it does not know the run. */
#define RECONNECT_MS 300
/* An agent is asked again for the state of its grants after this time. */
#define QUERY_RETRY_MS 200
/* Least time after which a job that was refused for an overload is worth a new
 * try: about the run time of the tasks that fill the workers. */
#define RETRY_MIN_MS 200

const char *
jb_reason_name(enum jb_reason r)
{
	static const char *const names[] = {"none", "no_worker", "no_room",
	    "overload", "deadline", "attempts", "client", "stopping", "contact",
	    "memory"};

	return (r < JB_R_MAX ? names[r] : "invalid");
}

struct pd_key
jb_grant_key(const struct jb_job *job, const struct jb_task *t)
{
	struct pd_key k = {
	    .sub = {.id = job->id, .created_ms = job->number},
	    .task = (unsigned)(t - job->tasks),
	    .attempt = t->attempt,
	};

	return (k);
}

void
jb_release_worker(struct jb_job *job, struct jb_task *t)
{
	if (t->worker != NULL)
		fl_release(t->worker, job->steps[t->step].cpu);
	t->worker = NULL;
}

/* Time after which a refused job may be accepted: by how much its first task is
 * expected to end later than it would have to, while the queues go on; 0 if
 * unknown, or if waiting does not help since the task runs too long. */
static unsigned
retry_ms(struct jb *j, const struct jb_job *job)
{
	struct fl_requirements req = jb_requirements(j, job, &job->tasks[0]);
	struct fl_worker *w;
	double finish, excess;

	w = fl_choose(j->fleet, &req, &finish);
	if (w == NULL ||
	    req.size_ms * fl_run_ratio(j->fleet, w) >
		(double)(job->deadline_ms - job->arrived_ms))
		return (0);
	excess = finish - req.left_ms;
	return (excess < RETRY_MIN_MS ? RETRY_MIN_MS : (unsigned)excess);
}

const char *
jb_status_name(enum jb_status s)
{
	static const char *const names[] = {
	    "completed", "failed", "refused", "gave_up", "cancelled"};

	return (names[s]);
}

static void
count_end(struct jb *j, enum jb_status status, enum jb_reason reason)
{
	ct_increment(j->counters, "pd_jobs_ended_total", "Transient jobs ended",
	    "status", jb_status_name(status));
	if (reason != JB_R_NONE)
		ct_increment(j->counters, "pd_jobs_not_done_total",
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
	    .late_ms = now > job->target_at_ms
		? (unsigned)(now - job->target_at_ms)
		: 0,
	    .queue = job->queue,
	    .trace = (struct tr_event *)job->trace->data,
	    .ntrace = job->trace->len,
	};
	struct jb_task *t;
	unsigned i;

	jb_learn_from_end(j, job, status, reason);
	/* A job that takes too long would not fit later either. */
	if (status == JB_REFUSED && reason == JB_R_STOPPING)
		a.retry_ms = RETRY_MIN_MS;
	else if (status == JB_REFUSED && !job->unlikely)
		a.retry_ms = jb_contention_retry_ms(j, job, retry_ms(j, job));
	for (i = 0; i < job->ntasks; i++) {
		t = &job->tasks[i];
		if (t->state == JB_GRANTED || t->state == JB_UNREACHABLE)
			jb_withdraw(j, job, t);
		jb_release_worker(job, t);
	}
	count_end(j, status, reason);
	hg_observe(j->took, a.took_ms);
	for (i = 0; i < job->waiters->len; i++)
		j->ops->answer(
		    j->arg, g_array_index(job->waiters, uint64_t, i), &a);
	j->ops->ended(j->arg, &a);
	if (status == JB_COMPLETED || status == JB_FAILED)
		jb_remember_ended(j, job->id, status);
	g_hash_table_remove(j->by_id, job->id);
	j->bytes -= job->bytes;
	g_hash_table_remove(j->by_number, &job->number);
}

void
jb_give_up(struct jb *j, struct jb_job *job, enum jb_reason reason)
{
	unsigned i;

	/* A grant that the agent has not returned may have started. */
	for (i = 0; i < job->ntasks; i++)
		if (job->tasks[i].state == JB_GRANTED ||
		    job->tasks[i].state == JB_UNREACHABLE)
			job->any_started = true;
	if (ck_mono_ms(j->clock) < job->deadline_ms &&
	    jb_may_be_elsewhere(j, job)) {
		jb_trace(j, job, NULL, TR_CONTACT_LOST, NULL, 0, 0);
		reason = JB_R_CONTACT;
	} else if (reason == JB_R_DEADLINE && jb_is_limited_by_stop(j, job)) {
		reason = JB_R_STOPPING;
	}
	jb_finish(j, job, job->any_started ? JB_GAVE_UP : JB_REFUSED, reason);
}

static void
add_avoided(struct jb_task *t, struct fl_worker *w)
{
	t->avoid[t->navoid % JB_AVOID_MAX] = w;
	if (t->navoid < JB_AVOID_MAX)
		t->navoid++;
}

void
jb_retry_task(struct jb *j, struct jb_job *job, struct jb_task *t)
{
	t->state = JB_READY;
	if (!jb_place(j, job))
		jb_give_up(j, job, JB_R_DEADLINE);
}

static void
task_done(struct jb *j, struct jb_job *job, struct jb_task *t)
{
	t->state = JB_DONE;
	job->tasks_left[t->step]--;
	job->ndone++;
	if (job->tasks_left[t->step] == 0)
		jb_learn_step(job, t->step);
	if (job->ndone == job->ntasks) {
		jb_finish(j, job, JB_COMPLETED, JB_R_NONE);
		return;
	}
	if (job->tasks_left[t->step] > 0)
		return;
	jb_unblock_tasks(job);
	if (!jb_place(j, job))
		jb_give_up(j, job, JB_R_DEADLINE);
}

static void
task_failed(
    struct jb *j, struct jb_job *job, struct jb_task *t, struct fl_worker *w)
{
	t->state = JB_READY;
	fl_task_failed(j->fleet, w, job->number);
	add_avoided(t, w);
	t->failures++;
	if (t->failures >= job->attempts_max)
		jb_finish(j, job, JB_FAILED, JB_R_ATTEMPTS);
	else
		jb_retry_task(j, job, t);
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
	    (t->state != JB_GRANTED && t->state != JB_UNREACHABLE))
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
handle_end(struct jb *j, struct fl_worker *w, const struct pd_end *e)
{
	struct jb_job *job;
	struct jb_task *t = find_task(j, &e->key, &job);
	const struct jb_step *s;

	/* The job has ended, or a later attempt was granted. */
	if (t == NULL || t->worker != w)
		return;
	if (e->state == PD_END_ACTIVE) {
		t->state = JB_GRANTED;
		return;
	}
	s = &job->steps[t->step];
	jb_trace(j, job, t, trace_kind(e->state), w, e->queue_ms, e->run_ms);
	if (e->state == PD_END_DONE)
		jb_learn_run(j, job, t, e);
	jb_release_worker(job, t);
	if (e->state != PD_END_RETURNED) {
		job->any_started = true;
		hg_observe(j->queued, e->queue_ms);
		hg_observe(j->ran, e->run_ms);
	}
	switch (e->state) {
	case PD_END_DONE:
		po_learn_size(&job->queue_stats->size_model,
		    job->declared_ms[t->step],
		    e->run_ms / fl_run_ratio(j->fleet, w));
		fl_task_done(j->fleet, w, s->size_ms, e->run_ms);
		task_done(j, job, t);
		break;
	case PD_END_FAILED:
		task_failed(j, job, t, w);
		break;
	case PD_END_STOPPED:
		fl_task_stopped(
		    j->fleet, w, s->size_ms, e->run_ms, job->number);
		t->stopped = true;
		add_avoided(t, w);
		jb_retry_task(j, job, t);
		break;
	case PD_END_RETURNED:
		t->returns++;
		jb_note_return(j, t, w);
		jb_retry_task(j, job, t);
		break;
	default:
		job->run_lost = true;
		add_avoided(t, w);
		jb_retry_task(j, job, t);
		break;
	}
}

/* CPU of the grants that a report ends. */
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

/* The load is updated first, since handle_end() may place tasks again. */
void
jb_grants_ended(struct jb *j, struct fl_worker *w, const struct pd_ended *e)
{
	unsigned i;

	fl_update_load(j->fleet, w, &e->load, cpu_ending(j, w, e));
	for (i = 0; i < e->list.list_len; i++)
		handle_end(j, w, &e->list.list_val[i]);
}

/* A grant as it was before the calls of foreach_task_at(). */
struct grant_ref {
	uint64_t number; /* of the job */
	unsigned task;
	unsigned attempt;
};

static GArray *
grants_at(struct jb *j, const struct fl_worker *w)
{
	GArray *refs = g_array_new(FALSE, FALSE, sizeof(struct grant_ref));
	struct grant_ref r;
	GHashTableIter it;
	struct jb_job *job;

	g_hash_table_iter_init(&it, j->by_number);
	while (g_hash_table_iter_next(&it, NULL, (void **)&job)) {
		r.number = job->number;
		for (r.task = 0; r.task < job->ntasks; r.task++) {
			r.attempt = job->tasks[r.task].attempt;
			if (job->tasks[r.task].worker == w)
				g_array_append_val(refs, r);
		}
	}
	return (refs);
}

/* Calls @fn for each task granted to @w; @fn may end the job, and may grant
 * other tasks of it to @w, for which it is not called. */
static void
foreach_task_at(struct jb *j, struct fl_worker *w,
    void (*fn)(struct jb *j, struct jb_job *job, struct jb_task *t))
{
	GArray *refs = grants_at(j, w);
	const struct grant_ref *r;
	struct jb_job *job;
	struct jb_task *t;
	guint i;

	for (i = 0; i < refs->len; i++) {
		r = &g_array_index(refs, struct grant_ref, i);
		job = g_hash_table_lookup(j->by_number, &r->number);
		if (job == NULL)
			continue;
		t = &job->tasks[r->task];
		if (t->worker == w && t->attempt == r->attempt)
			fn(j, job, t);
	}
	g_array_free(refs, TRUE);
}

static void
mark_unreachable(struct jb *j, struct jb_job *job, struct jb_task *t)
{
	jb_trace(j, job, t, TR_DOUBTFUL, t->worker,
	    (double)ck_mono_ms(j->clock) - (double)t->worker->heartbeat_ms, 0);
	t->state = JB_UNREACHABLE;
	t->unreachable_since_ms = ck_mono_ms(j->clock);
}

/* Time by which the run of a granted task has ended, unless its agent gets
 * another reply to a heartbeat, which lets it go on. */
static uint64_t
latest_end_ms(const struct jb_task *t)
{
	return (t->worker->heartbeat_reply_ms + LE_UNREACHABLE_MS);
}

static void
handle_agent_restart(struct jb *j, struct jb_job *job, struct jb_task *t)
{
	jb_trace(j, job, t, TR_RESTARTED, t->worker, 0, 0);
	jb_release_worker(job, t);
	job->any_started = true;
	job->run_lost = true;
	jb_retry_task(j, job, t);
}

/* Keys of all grants to a worker, borrowed from the jobs. */
static GArray *
grant_keys(struct jb *j, const struct fl_worker *w)
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
				k = jb_grant_key(job, &job->tasks[i]);
				g_array_append_val(keys, k);
			}
	return (keys);
}

static void
request_reconcile(struct jb *j, struct fl_worker *w)
{
	GArray *keys = grant_keys(j, w);

	w->queried_ms = ck_mono_ms(j->clock);
	if (keys->len > 0)
		j->ops->reconcile(
		    j->arg, w, (struct pd_key *)keys->data, keys->len);
	g_array_free(keys, TRUE);
}

/* Tasks that wait in the queue of an agent would start there after its zone was
 * taken out. */
static void
take_back_if_evacuated(void *arg, struct fl_worker *w)
{
	struct jb *j = arg;
	GArray *keys;

	if (w->session == 0 || !fl_is_evacuated(j->fleet, w))
		return;
	keys = grant_keys(j, w);
	if (keys->len > 0)
		j->ops->take_back(
		    j->arg, w, (struct pd_key *)keys->data, keys->len);
	g_array_free(keys, TRUE);
}

void
jb_zones_changed(struct jb *j)
{
	fl_each(j->fleet, take_back_if_evacuated, j);
}

void
jb_attached(struct jb *j, struct fl_worker *w, bool restarted)
{
	if (restarted) {
		foreach_task_at(j, w, handle_agent_restart);
		return;
	}
	jb_repeat_withdrawals(j, w);
	take_back_if_evacuated(j, w);
	request_reconcile(j, w);
}

void
jb_detached(struct jb *j, struct fl_worker *w)
{
	foreach_task_at(j, w, mark_unreachable);
}

/*
 * Whether a task at an unreachable agent could not be run again by the
 * deadline. After the power loss of a host, its runs may go on until their
 * lease has ended, and another run after that would be too late for many jobs.
 * Their callers are answered as soon as the agent is unlikely to come back.
 */
static bool
cannot_be_replaced(
    struct jb *j, const struct jb_job *job, const struct jb_task *t)
{
	double size_ms = job->steps[t->step].size_ms * JB_MIN_SIZE_FACTOR;

	if (t->worker->session != 0 ||
	    ck_mono_ms(j->clock) <= t->unreachable_since_ms + RECONNECT_MS)
		return (false);
	/* Cached, since the loss of an availability zone makes thousands of
	 * tasks unreachable at once. */
	return ((double)latest_end_ms(t) + size_ms * jb_best_run_ratio(j) >
	    (double)job->deadline_ms);
}

/* Asks an agent that is connected again for the state of its grants, if it has
 * left the last query unanswered. */
static void
repeat_query(struct jb *j, struct fl_worker *w, uint64_t now)
{
	if (w->session != 0 && now - w->queried_ms >= QUERY_RETRY_MS)
		request_reconcile(j, w);
}

/* Logged when it happens, since the trace of a job is logged at its end only.
 */
static void
log_dropped_grant(struct jb *j, const struct jb_job *job,
    const struct jb_task *t, uint64_t now)
{
	ct_add(ct_get(j->counters, CT_COUNTER, "pd_grants_dropped_total",
		   "Grants whose agent was unreachable until their lease had "
		   "ended",
		   ""),
	    1);
	ev_write_detail("jobs", "grant_dropped",
	    "{s:s,s:i,s:i,s:s,s:i,s:i,s:i}", "job", job->id, "task",
	    (int)(t - job->tasks), "attempt", (int)t->attempt, "worker",
	    t->worker->name, "reply_ms_ago",
	    (int)(now - t->worker->heartbeat_reply_ms), "job_ms",
	    (int)(now - job->arrived_ms), "waiters", (int)job->waiters->len);
}

/* Checks the grants of a job and places ready tasks. Return: false if the job
 * must be given up. */
static bool
check_tasks(struct jb *j, struct jb_job *job, uint64_t now)
{
	struct jb_task *t;
	bool ready = false;
	unsigned i;

	for (i = 0; i < job->ntasks; i++) {
		t = &job->tasks[i];
		/* A silent agent is treated like a disconnected one. */
		if (t->state == JB_GRANTED && now > latest_end_ms(t))
			mark_unreachable(j, job, t);
		if (t->state == JB_UNREACHABLE &&
		    cannot_be_replaced(j, job, t)) {
			jb_trace(j, job, t, TR_HOPELESS, t->worker,
			    (double)latest_end_ms(t) - (double)now,
			    (double)job->deadline_ms - (double)now);
			return (false);
		}
		if (t->state == JB_UNREACHABLE && now > latest_end_ms(t)) {
			job->any_started = true;
			job->run_lost = true;
			jb_trace(j, job, t, TR_DROPPED, t->worker, 0, 0);
			log_dropped_grant(j, job, t, now);
			jb_withdraw(j, job, t);
			jb_release_worker(job, t);
			t->state = JB_READY;
		}
		if (t->state == JB_UNREACHABLE)
			repeat_query(j, t->worker, now);
		if (t->state == JB_GRANTED)
			jb_check_overrun(j, job, t, now);
		ready = ready || t->state == JB_READY;
	}
	if (!jb_is_worth_continuing(j, job))
		return (false);
	return (!ready || jb_place(j, job));
}

/* Time by which a waiting job must start to be in time. */
static uint64_t
start_by_ms(const struct jb_job *job)
{
	return (job->target_at_ms -
	    MIN(jb_critical_path_ms(job), job->target_at_ms));
}

/* The job with the highest cost per need first, or the most urgent one if
 * decisions are by slack; those that are late already last. */
static gint
compare_waiting(gconstpointer a, gconstpointer b, gpointer now_ms)
{
	const struct jb_job *x = *(struct jb_job *const *)a;
	const struct jb_job *y = *(struct jb_job *const *)b;
	uint64_t now = *(uint64_t *)now_ms;
	uint64_t x_by = start_by_ms(x), y_by = start_by_ms(y);

	if ((x_by < now) != (y_by < now))
		return (x_by < now ? 1 : -1);
	if (x->value != y->value)
		return (x->value < y->value ? 1 : -1);
	return ((x_by > y_by) - (x_by < y_by));
}

void
jb_tick(struct jb *j)
{
	GPtrArray *waiting = g_ptr_array_new();
	GList *jobs = g_hash_table_get_values(j->by_number), *l;
	uint64_t now = ck_mono_ms(j->clock);
	struct jb_job *job;
	guint i;

	fl_tick(j->fleet);
	jb_age_run_times(j);
	j->best_run_ratio = 0;
	for (l = jobs; l != NULL; l = l->next) {
		job = l->data;
		if (now < job->wait_until_ms && !job->any_granted)
			g_ptr_array_add(waiting, job);
		else if (now >= job->deadline_ms || !job->any_granted ||
		    !check_tasks(j, job, now))
			jb_give_up(j, job, JB_R_DEADLINE);
	}
	g_list_free(jobs);
	g_ptr_array_sort_with_data(waiting, compare_waiting, &now);
	for (i = 0; i < waiting->len; i++)
		jb_admit(j, waiting->pdata[i]);
	g_ptr_array_free(waiting, TRUE);
}
