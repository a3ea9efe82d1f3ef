#include <string.h>

#include "jobs_impl.h"
#include "lease.h"

/* Time that an answer takes to reach the client. */
#define ANSWER_DELAY_MS 8
/* The latest start of a task in time is this multiple of its expected run time
 * before its target, since run times are uncertain. */
#define START_MARGIN_FACTOR 1.5
/* Jobs that an entry holds at most; its memory allows about 10,000. */
#define JOBS_MAX 4096
/* Jobs that have ended are kept for this time, in which a client that lost the
 * answer submits its job again: 1,300 ms after the connection broke. */
#define ENDED_KEEP_MS 5000
#define ENDED_MAX 4096
#define PERMILLE 1000
/* Events in the trace of a job for each of its tasks, with a retry or two. */
#define TASK_EVENTS 4

struct jb *
jb_new(const struct ck *clock, struct ct *counters, struct fl *fleet,
    const struct jb_ops *ops, void *arg)
{
	struct jb *j = g_new0(struct jb, 1);

	j->clock = clock;
	j->counters = counters;
	j->fleet = fleet;
	j->ops = ops;
	j->arg = arg;
	j->bytes_max = SIZE_MAX;
	j->stop_ms = UINT64_MAX;
	j->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	j->ended = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&j->ended_order);
	g_queue_init(&j->withdrawals);
	j->took = hg_new(
	    counters, "pd_job_took_ms", "From a job's arrival to its answer");
	j->queued = hg_new(
	    counters, "pd_task_queued_ms", "Wait of a task at its agent");
	j->ran = hg_new(counters, "pd_task_ran_ms", "Run time of a task");
	j->queues = jb_queue_table_new();
	j->by_number = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, jb_job_free);
	return (j);
}

static void
forget_oldest_ended(struct jb *j)
{
	struct jb_ended_job *e = g_queue_pop_head(&j->ended_order);

	g_hash_table_remove(j->ended, e->id);
	g_free(e->id);
	g_free(e);
}

static void
forget_expired_ended(struct jb *j)
{
	uint64_t now = ck_mono_ms(j->clock);
	const struct jb_ended_job *e;

	while ((e = g_queue_peek_head(&j->ended_order)) != NULL &&
	    now - e->ended_ms > ENDED_KEEP_MS)
		forget_oldest_ended(j);
}

void
jb_remember_ended(struct jb *j, const char *id, enum jb_status status)
{
	struct jb_ended_job *e;

	if (g_hash_table_contains(j->ended, id))
		return;
	if (j->ended_order.length >= ENDED_MAX)
		forget_oldest_ended(j);
	e = g_new0(struct jb_ended_job, 1);
	e->id = g_strdup(id);
	e->status = status;
	e->ended_ms = ck_mono_ms(j->clock);
	g_hash_table_insert(j->ended, e->id, e);
	g_queue_push_tail(&j->ended_order, e);
}

void
jb_free(struct jb *j)
{
	if (j == NULL)
		return;
	while (j->ended_order.length > 0)
		forget_oldest_ended(j);
	jb_withdrawals_free(j);
	g_hash_table_destroy(j->ended);
	g_hash_table_destroy(j->by_id);
	g_hash_table_destroy(j->by_number);
	g_hash_table_destroy(j->queues);
	cc_free(j->contention);
	hg_free(j->took);
	hg_free(j->queued);
	hg_free(j->ran);
	g_free(j);
}

void
jb_job_free(void *p)
{
	struct jb_job *job = p;
	unsigned i;

	for (i = 0; i < job->ntasks; i++)
		g_free(job->tasks[i].returned);
	g_free(job->id);
	g_free(job->queue);
	g_free(job->service);
	g_free(job->body);
	g_strfreev(job->labels);
	g_free(job->steps);
	g_free(job->tasks);
	g_free(job->declared_ms);
	g_free(job->tasks_left);
	g_free(job->longest_ms);
	g_array_free(job->waiters, TRUE);
	g_array_free(job->trace, TRUE);
	g_free(job);
}

void
jb_trace(struct jb *j, struct jb_job *job, const struct jb_task *t,
    enum tr_kind kind, const struct fl_worker *w, double a, double b)
{
	struct tr_event event = {
	    .at_ms = (uint32_t)(ck_mono_ms(j->clock) - job->arrived_ms),
	    .kind = kind,
	    .task = (uint16_t)(t == NULL ? 0 : t - job->tasks),
	    .attempt = t == NULL ? 0 : t->attempt,
	    .worker = w == NULL ? NULL : w->name,
	    .a = (int32_t)a,
	    .b = (int32_t)b,
	};

	if (job->trace->len < TR_EVENTS_MAX)
		g_array_append_val(job->trace, event);
}

struct fl_requirements
jb_requirements(
    const struct jb *j, const struct jb_job *job, const struct jb_task *t)
{
	const struct jb_step *s = &job->steps[t->step];
	double now = (double)ck_mono_ms(j->clock);
	struct fl_requirements req = {
	    .service = job->service,
	    .label = s->label,
	    .cpu = s->cpu,
	    .mem_mb = s->mem_mb,
	    .priority = job->priority,
	    .size_ms = s->size_ms,
	    .left_ms = (double)MIN(job->target_at_ms, job->deadline_ms) - now,
	    .deadline_left_ms = (double)job->deadline_ms - now,
	    .avoid = t->avoid,
	    .navoid = t->navoid,
	    .returned = t->returned,
	    .nreturned = t->returns < JB_RETURNS_MAX ? t->nreturned : 0,
	};

	return (req);
}

uint64_t
jb_critical_path_ms(const struct jb_job *job)
{
	uint64_t end[JB_STEPS_MAX], longest = 0;
	unsigned i, k;

	for (i = 0; i < job->nsteps; i++) {
		end[i] = 0;
		for (k = 0; k < job->steps[i].nafter; k++)
			end[i] = MAX(end[i], end[job->steps[i].after[k]]);
		end[i] += job->steps[i].size_ms;
		longest = MAX(longest, end[i]);
	}
	return (longest);
}

static void
copy_steps(struct jb_job *job, const struct jb_request *r)
{
	unsigned i, k, n = 0;

	job->nsteps = r->nsteps;
	job->steps = g_memdup2(r->steps, r->nsteps * sizeof(*r->steps));
	job->labels = g_new0(char *, r->nsteps + 1);
	job->tasks_left = g_new0(unsigned, r->nsteps);
	job->declared_ms = g_new0(unsigned, r->nsteps);
	job->longest_ms = g_new0(double, r->nsteps);
	for (i = 0; i < r->nsteps; i++) {
		job->labels[i] = g_strdup(r->steps[i].label);
		job->steps[i].label = job->labels[i];
		job->tasks_left[i] = r->steps[i].count;
		job->declared_ms[i] = r->steps[i].size_ms;
		job->steps[i].size_ms = (unsigned)MAX(
		    po_expected_size(
			&job->queue_stats->size_model, r->steps[i].size_ms),
		    1);
		job->ntasks += r->steps[i].count;
	}
	job->tasks = g_new0(struct jb_task, job->ntasks);
	for (i = 0; i < r->nsteps; i++)
		for (k = 0; k < r->steps[i].count; k++, n++) {
			job->tasks[n].step = (uint16_t)i;
			job->tasks[n].index = (uint16_t)k;
		}
}

/* Memory of a job, with the events of some retries in its trace. */
static size_t
job_bytes(const struct jb_request *r)
{
	size_t bytes = sizeof(struct jb_job) + r->body_len;
	unsigned i, ntasks = 0;

	for (i = 0; i < r->nsteps; i++) {
		bytes += sizeof(*r->steps) + 2 * sizeof(unsigned) +
		    strlen(r->steps[i].label);
		ntasks += r->steps[i].count;
	}
	return (bytes + ntasks * sizeof(struct jb_task) +
	    MIN(TR_EVENTS_MAX, (ntasks + 1) * TASK_EVENTS) *
		sizeof(struct tr_event));
}

unsigned
jb_limit_ms(const struct jb_request *r)
{
	return (r->deadline_ms != 0 ? r->deadline_ms : r->queue->timeout_ms);
}

void
jb_limit_by_stop(const struct jb *j, struct jb_job *job)
{
	job->deadline_ms = MIN(job->deadline_ms, j->stop_ms);
	job->wait_until_ms = MIN(job->wait_until_ms, j->stop_ms);
}

bool
jb_is_limited_by_stop(const struct jb *j, const struct jb_job *job)
{
	return (job->deadline_ms == j->stop_ms);
}

void
jb_stop_at(struct jb *j, uint64_t at_ms)
{
	GHashTableIter it;
	struct jb_job *job;

	j->stop_ms = at_ms;
	g_hash_table_iter_init(&it, j->by_number);
	while (g_hash_table_iter_next(&it, NULL, (void **)&job))
		jb_limit_by_stop(j, job);
}

static struct jb_job *
job_new(struct jb *j, const struct jb_request *r, uint64_t waiter)
{
	struct jb_job *job = g_new0(struct jb_job, 1);
	uint64_t now = ck_mono_ms(j->clock);
	unsigned limit = jb_limit_ms(r);

	job->id = g_strdup(r->id);
	job->queue = g_strdup(r->queue->name);
	job->service = g_strdup(r->queue->service);
	job->body = g_memdup2(r->body, r->body_len);
	job->body_len = r->body_len;
	job->attempts_max = MAX(r->queue->attempts, 1);
	job->priority = r->queue->priority;
	job->number = ++j->last_number;
	job->arrived_ms = now;
	job->submitted_ms = now;
	job->checked_ms = now;
	job->chance = -1;
	job->sample_weight = 1;
	job->deadline_ms =
	    now + (limit > ANSWER_DELAY_MS ? limit - ANSWER_DELAY_MS : 0);
	job->wait_until_ms = MIN(job->deadline_ms, now + r->queue->timeout_ms);
	jb_limit_by_stop(j, job);
	job->waiters = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_val(job->waiters, waiter);
	job->trace = g_array_new(FALSE, FALSE, sizeof(struct tr_event));
	job->queue_stats = jb_queue_stats_get(j, job->queue, job->service);
	copy_steps(job, r);
	job->bytes = job_bytes(r);
	j->bytes += job->bytes;
	job->target_at_ms = now + r->queue->target_ms +
	    jb_critical_path_ms(job) * r->queue->stretch_permille / PERMILLE;
	jb_queue_stats_update(j, job);
	g_hash_table_insert(j->by_id, job->id, job);
	g_hash_table_insert(j->by_number, &job->number, job);
	return (job);
}

static bool
is_step_unblocked(const struct jb_job *job, unsigned step)
{
	const struct jb_step *s = &job->steps[step];
	unsigned i;

	for (i = 0; i < s->nafter; i++)
		if (job->tasks_left[s->after[i]] > 0)
			return (false);
	return (true);
}

void
jb_unblock_tasks(struct jb_job *job)
{
	unsigned i;

	for (i = 0; i < job->ntasks; i++)
		if (job->tasks[i].state == JB_BLOCKED &&
		    is_step_unblocked(job, job->tasks[i].step))
			job->tasks[i].state = JB_READY;
}

/* Run time after which a run is stopped, 0 for no limit. A limit is set only if
 * a second run could still end by the deadline, and no run of the task has been
 * stopped before: one that takes long twice is simply long. */
static unsigned
run_limit_ms(uint64_t now, const struct jb_job *job, const struct jb_task *t,
    double run_ms)
{
	double limit = MAX(run_ms * JB_RUN_LIMIT_FACTOR, JB_RUN_LIMIT_MIN_MS);

	if (t->stopped)
		return (0);
	if ((double)now + limit + run_ms > (double)job->deadline_ms)
		return (0);
	return ((unsigned)limit);
}

static void
grant(struct jb *j, struct jb_job *job, struct jb_task *t, struct fl_worker *w,
    double finish_ms)
{
	const struct jb_step *s = &job->steps[t->step];
	double run_ms = s->size_ms * fl_run_ratio(j->fleet, w);
	uint64_t now = ck_mono_ms(j->clock);
	struct pd_start out = {
	    .step = t->step,
	    .index = t->index,
	    .cpu = s->cpu,
	    .mem_mb = s->mem_mb,
	    .priority = job->priority,
	    .size_ms = s->size_ms,
	    .limit_ms = fl_is_pooled(j->fleet)
		? 0 /* see jb_check_overrun() */
		: run_limit_ms(now, job, t, run_ms),
	    .queue_max = t->returns < JB_RETURNS_MAX
		? fl_queue_limit(w, s->cpu, job->priority)
		: UINT32_MAX,
	};

	t->attempt++;
	t->state = JB_GRANTED;
	t->granted_ms = now;
	t->withdrawn = false;
	t->worker = w;
	t->queued = out.queue_max > 0;
	job->any_granted = true;
	jb_trace(j, job, t, TR_GRANTED, w, finish_ms,
	    (double)w->cpu_own + w->cpu_others);
	fl_reserve(j->fleet, w, s->cpu);
	ct_add(ct_get(j->counters, CT_COUNTER, "pd_grants_total",
		   "Grants to agents", ""),
	    1);
	out.key.sub.id = job->id;
	out.key.sub.created_ms = job->number;
	out.key.task = (unsigned)(t - job->tasks);
	out.key.attempt = t->attempt;
	out.start_by_ms =
	    (uint64_t)((int64_t)MIN(job->target_at_ms, job->deadline_ms) +
		w->clock_offset_ms - (int64_t)(run_ms * START_MARGIN_FACTOR));
	out.expires_ms =
	    (uint64_t)((int64_t)job->deadline_ms + w->clock_offset_ms);
	out.endpoint = w->endpoint;
	out.body.body_val = job->body;
	out.body.body_len = (u_int)job->body_len;
	j->ops->start(j->arg, w, &out);
}

static double
time_left_ms(const struct jb *j, const struct jb_job *job)
{
	return ((double)job->deadline_ms - (double)ck_mono_ms(j->clock));
}

/* Whether a task that is expected to end on @w in @finish_ms may end by the
 * deadline if its run time is shorter than declared. If many run times are
 * short and some long, it may fit where the mean does not, but in an overload
 * it would leave others without capacity. */
static bool
can_meet_deadline(const struct jb *j, const struct jb_job *job,
    const struct jb_task *t, const struct fl_requirements *req,
    const struct fl_worker *w, double finish_ms)
{
	double run_ms = req->size_ms * fl_run_ratio(j->fleet, w);

	if ((double)ck_mono_ms(j->clock) + finish_ms -
		run_ms * (1 - JB_MIN_SIZE_FACTOR) <=
	    (double)job->deadline_ms)
		return (true);
	return (fl_has_room(w, req) && jb_may_end_at(j, job, t->step, w));
}

/* Share of the time until its target in which a job that has to wait must be
 * expected to end: entries that grant at the same time make it wait longer. */
#define TARGET_SHARE 0.85

/*
 * Whether to accept a job whose task is expected to end on @w in @finish_ms.
 * After a burst or the loss of workers at high load, accepting a job that has
 * to wait too long would build a backlog that makes all later answers late, and
 * a late answer is worth little to a caller. On a worker with free capacity it
 * delays no other.
 */
static bool
is_worth_accepting(const struct jb *j, const struct jb_job *job,
    const struct jb_task *t, const struct fl_requirements *req,
    const struct fl_worker *w, double finish_ms)
{
	double target_left_ms =
	    (double)job->target_at_ms - (double)ck_mono_ms(j->clock);

	return (can_meet_deadline(j, job, t, req, w, finish_ms) &&
	    (finish_ms <= target_left_ms * TARGET_SHARE ||
		fl_has_room(w, req)));
}

/* Before the first grant nothing runs that agents have to stop in time, so a
 * job may wait longer then for the agents of an entry that has started. */
bool
jb_may_be_elsewhere(const struct jb *j, const struct jb_job *job)
{
	return (fl_lost_contact_since(j->fleet, job->submitted_ms,
	    job->any_granted ? LE_CONTACT_MS : LE_UNREACHABLE_MS));
}

bool
jb_place(struct jb *j, struct jb_job *job)
{
	struct fl_worker *w;
	struct fl_requirements req;
	struct jb_task *t;
	double finish;
	unsigned i;

	if (jb_may_be_elsewhere(j, job))
		return (false);
	for (i = 0; i < job->ntasks; i++) {
		t = &job->tasks[i];
		if (t->state != JB_READY)
			continue;
		req = jb_requirements(j, job, t);
		w = fl_choose(j->fleet, &req, &finish);
		if (w == NULL) {
			jb_trace(j, job, t, TR_NO_WORKER, NULL, 0, 0);
			return (time_left_ms(j, job) >
			    req.size_ms * JB_MIN_SIZE_FACTOR);
		}
		if (!can_meet_deadline(j, job, t, &req, w, finish)) {
			jb_trace(j, job, t, TR_TOO_LATE, w, finish,
			    time_left_ms(j, job));
			return (false);
		}
		grant(j, job, t, w, finish);
	}
	return (true);
}

/* Checks one task for check_admission(). On success its worker is reserved. */
static enum jb_reason
check_task(struct jb *j, struct jb_job *job, struct jb_task *t)
{
	struct fl_requirements req = jb_requirements(j, job, t);
	struct fl_worker *w;
	double finish = 0;

	w = fl_choose(j->fleet, &req, &finish);
	if (w == NULL) {
		jb_trace(j, job, t, TR_NO_WORKER, NULL, 0, 0);
		return (fl_any_suitable(j->fleet, &req) ? JB_R_NO_WORKER
							: JB_R_NO_ROOM);
	}
	if (!is_worth_accepting(j, job, t, &req, w, finish) &&
	    !jb_may_use_free(j, job, &req)) {
		jb_trace(
		    j, job, t, TR_TOO_LATE, w, finish, time_left_ms(j, job));
		return (JB_R_OVERLOAD);
	}
	w->cpu_own += req.cpu;
	t->worker = w;
	return (JB_R_NONE);
}

/*
 * Decides whether to accept a job. Under overload, a job whose last task is not
 * expected to end in time is refused on arrival, since it would only delay jobs
 * that can still be served.
 *
 * Return: reason to refuse, JB_R_NONE to accept the job.
 */
static enum jb_reason
check_admission(struct jb *j, struct jb_job *job)
{
	enum jb_reason reason = JB_R_NONE;
	unsigned i;

	if (jb_is_unlikely(j, job))
		return (JB_R_DEADLINE);
	if (j->contention == NULL && jb_delays_urgent(j, job))
		return (JB_R_OVERLOAD);
	for (i = 0; i < job->ntasks && reason == JB_R_NONE; i++)
		if (job->tasks[i].state == JB_READY)
			reason = check_task(j, job, &job->tasks[i]);
	for (i = 0; i < job->ntasks; i++)
		jb_release_worker(job, &job->tasks[i]);
	return (reason);
}

double
jb_chance(const struct jb_job *job)
{
	return (job->chance >= 0 ? job->chance : 1);
}

/* Whether a job may wait for the agents of an entry that has just started. */
static bool
may_wait(const struct jb *j, const struct jb_job *job, enum jb_reason reason)
{
	if (reason != JB_R_NO_WORKER && reason != JB_R_NO_ROOM)
		return (false);
	return (fl_is_warming_up(j->fleet) &&
	    time_left_ms(j, job) >
		(double)jb_critical_path_ms(job) * JB_MIN_SIZE_FACTOR);
}

/*
 * After a power loss of all hosts, agents connect while clients come back, and
 * more jobs wait for agents than these can run in time. Once there are workers,
 * each waiting job is decided on like a new one: those that would be late in a
 * queue are refused in favor of those that can be in time.
 */
bool
jb_admit(struct jb *j, struct jb_job *job)
{
	enum cc_decision decision = jb_contention_decide(j, job);
	enum jb_reason reason =
	    decision == CC_REFUSE ? JB_R_OVERLOAD : check_admission(j, job);

	if ((decision == CC_WAIT || may_wait(j, job, reason)) &&
	    !jb_may_be_elsewhere(j, job))
		return (true);
	jb_contention_settled(j, job, reason == JB_R_NONE);
	if (reason == JB_R_NONE && jb_place(j, job))
		return (true);
	jb_give_up(j, job, reason == JB_R_NONE ? JB_R_OVERLOAD : reason);
	return (false);
}

/* Answers a job that was submitted again after it had ended. */
static bool
answer_ended(struct jb *j, const char *id, uint64_t waiter)
{
	const struct jb_ended_job *e;
	struct jb_answer a = {.id = id};

	forget_expired_ended(j);
	e = g_hash_table_lookup(j->ended, id);
	if (e == NULL)
		return (false);
	a.status = e->status;
	ct_increment(j->counters, "pd_answers_repeated_total",
	    "Jobs submitted again after their end, answered without running",
	    "status", jb_status_name(a.status));
	j->ops->answer(j->arg, waiter, &a);
	return (true);
}

void
jb_submit(struct jb *j, const struct jb_request *r, uint64_t waiter)
{
	struct jb_answer refusal = {.id = r->id, .status = JB_REFUSED};
	struct jb_job *job = g_hash_table_lookup(j->by_id, r->id);

	if (job != NULL) {
		job->submitted_ms = ck_mono_ms(j->clock);
		g_array_append_val(job->waiters, waiter);
		return;
	}
	if (answer_ended(j, r->id, waiter))
		return;
	if (g_hash_table_size(j->by_number) >= JOBS_MAX) {
		refusal.reason = JB_R_OVERLOAD;
		j->ops->answer(j->arg, waiter, &refusal);
		return;
	}
	if (job_bytes(r) > j->bytes_max - MIN(j->bytes, j->bytes_max)) {
		refusal.reason = JB_R_MEMORY;
		ct_increment(j->counters, "pd_jobs_not_done_total",
		    "Transient jobs refused or given up", "reason",
		    jb_reason_name(refusal.reason));
		j->ops->answer(j->arg, waiter, &refusal);
		return;
	}
	job = job_new(j, r, waiter);
	jb_trace(j, job, NULL, TR_TAKEN, NULL,
	    (double)job->target_at_ms - (double)job->arrived_ms,
	    time_left_ms(j, job));
	jb_trace(j, job, NULL, TR_LIMITS, NULL, r->deadline_ms,
	    r->queue->timeout_ms);
	jb_unblock_tasks(job);
	jb_contention_arrived(j, job);
	jb_admit(j, job);
}

void
jb_set_memory(struct jb *j, size_t bytes_max)
{
	j->bytes_max = bytes_max;
}

size_t
jb_memory(const struct jb *j)
{
	return (j->bytes);
}

void
jb_remove_waiter(struct jb *j, uint64_t waiter)
{
	GHashTableIter it;
	struct jb_job *job;
	guint i;

	g_hash_table_iter_init(&it, j->by_number);
	while (g_hash_table_iter_next(&it, NULL, (void **)&job))
		for (i = 0; i < job->waiters->len; i++) {
			if (g_array_index(job->waiters, uint64_t, i) != waiter)
				continue;
			g_array_remove_index_fast(job->waiters, i);
			if (job->waiters->len == 0)
				jb_finish(j, job, JB_CANCELLED, JB_R_CLIENT);
			return;
		}
}

bool
jb_cancel(struct jb *j, const char *id)
{
	struct jb_job *job = g_hash_table_lookup(j->by_id, id);

	if (job == NULL)
		return (false);
	jb_finish(j, job, JB_CANCELLED, JB_R_CLIENT);
	return (true);
}

bool
jb_is_active(const struct jb *j, const char *id)
{
	return (g_hash_table_contains(j->by_id, id));
}

bool
jb_release(struct jb *j, const char *id)
{
	struct jb_job *job = g_hash_table_lookup(j->by_id, id);
	bool granted;

	if (job == NULL)
		return (false);
	granted = job->any_granted;
	jb_give_up(j, job, JB_R_CONTACT);
	return (granted);
}

unsigned
jb_active_count(const struct jb *j)
{
	return (g_hash_table_size(j->by_number));
}

unsigned
jb_waiting_count(const struct jb *j, const char *queue)
{
	GHashTableIter it;
	struct jb_job *job;
	unsigned n = 0;

	g_hash_table_iter_init(&it, j->by_number);
	while (g_hash_table_iter_next(&it, NULL, (void **)&job))
		n += !job->any_granted && strcmp(job->queue, queue) == 0;
	return (n);
}

GHashTable *
jb_waiting_counts(const struct jb *j)
{
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	struct jb_job *job;
	unsigned n;

	g_hash_table_iter_init(&it, j->by_number);
	while (g_hash_table_iter_next(&it, NULL, (void **)&job)) {
		if (job->any_granted)
			continue;
		n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, job->queue));
		g_hash_table_insert(
		    counts, job->queue, GUINT_TO_POINTER(n + 1));
	}
	return (counts);
}
