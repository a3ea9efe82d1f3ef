#include <string.h>
#include <xxhash.h>

#include "level.h"
#include "log.h"
#include "runner_impl.h"

/* Grants queued at an agent; more are returned. Entries grant no task with an
 * expected wait longer than its deadline, which is about 100 tasks at 10 at a
 * time. */
#define QUEUE_MAX 256

/* Delay of a task in the start order per level below the most urgent one. At
 * 50 ms the least urgent tasks starve at twice the usual load; at 0 the order
 * ignores the level, and the most urgent tasks are left behind. */
#define LEVEL_DELAY_MS 20

/* Delay in the start order of a task that is late, in favor of tasks that can
 * still be in time: about the run time of a medium task. */
#define LATE_DELAY_MS 200

/* A run that starts with a shorter lease would probably end with it. */
#define START_LEASE_MIN_MS (LE_RUN_MS / 2)

static void
task_free(void *p)
{
	struct ru_task *t = p;

	g_free(t->id);
	g_free(t->body);
	g_free(t);
}

struct ru *
ru_new(const struct ck *clock, struct ct *counters, const struct ru_ops *ops,
    void *arg)
{
	struct ru *r = g_new0(struct ru, 1);

	r->clock = clock;
	r->counters = counters;
	r->ops = ops;
	r->arg = arg;
	r->tasks = g_ptr_array_new_with_free_func(task_free);
	r->entries = g_array_new(FALSE, TRUE, sizeof(struct ru_entry));
	/* An earlier agent process may have renewed its lease until now. */
	ru_extend_lease(r);
	return (r);
}

void
ru_free(struct ru *r)
{
	if (r == NULL)
		return;
	g_ptr_array_free(r->tasks, TRUE);
	g_array_free(r->entries, TRUE);
	g_free(r);
}

static struct ru_entry *
find_entry(const struct ru *r, uint64_t entry)
{
	guint i;

	for (i = 0; i < r->entries->len; i++)
		if (g_array_index(r->entries, struct ru_entry, i).incarnation ==
		    entry)
			return (&g_array_index(r->entries, struct ru_entry, i));
	return (NULL);
}

void
ru_entry_contact(struct ru *r, uint64_t entry, uint64_t clock_ms)
{
	struct ru_entry fresh = {.incarnation = entry};
	struct ru_entry *e = find_entry(r, entry);

	if (e == NULL) {
		g_array_append_val(r->entries, fresh);
		e = find_entry(r, entry);
	}
	e->echo_ms = MAX(e->echo_ms, clock_ms);
}

uint64_t
ru_entry_echo_ms(const struct ru *r, uint64_t entry)
{
	const struct ru_entry *e = find_entry(r, entry);

	return (e == NULL ? 0 : e->echo_ms);
}

static bool
in_contact(const struct ru *r, uint64_t entry)
{
	return (find_entry(r, entry) != NULL &&
	    ck_mono_ms(r->clock) <= ru_entry_echo_ms(r, entry) + LE_CONTACT_MS);
}

struct ru_load
ru_sum_load(const struct ru *r)
{
	struct ru_load l = {.cpu = r->endpoint_known ? r->cpu : 0,
	    .mem_mb = r->mem_mb,
	    .description = r->description,
	    .reported.accepting = r->endpoint_known && r->accepting &&
		!r->draining && !r->replaced &&
		r->unanswered < RU_UNANSWERED_MAX,
	    .reported.zone = r->zone,
	    .old_runs_ended = r->old_runs_ended};
	const struct ru_task *t;
	guint i;

	for (i = 0; i < r->tasks->len; i++) {
		t = r->tasks->pdata[i];
		if (t->phase == RU_QUEUED) {
			l.reported.cpu_queued[t->level] += t->cpu;
			l.queued++;
		} else {
			l.reported.cpu_used += t->cpu;
			l.active++;
		}
	}
	return (l);
}

struct ru_load
ru_load(const struct ru *r)
{
	struct ru_load l = ru_sum_load(r);

	l.reported.speed = ru_speed(r);
	return (l);
}

static unsigned
mem_used(const struct ru *r)
{
	const struct ru_task *t;
	unsigned mem = 0;
	guint i;

	for (i = 0; i < r->tasks->len; i++) {
		t = r->tasks->pdata[i];
		if (t->phase != RU_QUEUED)
			mem += t->mem_mb;
	}
	return (mem);
}

static const char *
end_name(enum pd_end_state s)
{
	static const char *const names[] = {
	    "done", "failed", "stopped", "lost", "returned", "active"};

	return (names[s]);
}

static const char *
cause_name(enum ru_cause c)
{
	static const char *const names[] = {
	    "listed", "not_listed", "stopped", "lease_over", "not_started"};

	return (names[c]);
}

/* Learns from the end of a run. Its job is identified by its id, since each
 * entry counts its jobs by itself. */
static void
learn_from_end(struct ru *r, const struct ru_task *t, enum pd_end_state state,
    double run_ms)
{
	uint64_t job = XXH3_64bits(t->id, strlen(t->id));
	uint64_t now_us = ck_mono_us(r->clock);
	bool ejected = false;

	if (state == PD_END_DONE) {
		if (wh_task_done(&r->health, job, t->size_ms, run_ms, now_us))
			lg_write(LOG_NOTICE, "runner",
			    "a task succeeded: takes more than probes again");
	} else if (state == PD_END_FAILED) {
		ejected = wh_task_failed(&r->health, job, ck_mono_ms(r->clock));
	} else if (state == PD_END_STOPPED && t->limit_hit) {
		wh_learn_run_time(&r->health, job, t->size_ms, run_ms, now_us);
		ejected = wh_task_failed(&r->health, job, ck_mono_ms(r->clock));
	}
	if (!ejected)
		return;
	ct_increment(r->counters, "pd_endpoint_ejected_total",
	    "Ejections of the endpoint: it takes probes only", "reason",
	    "failures");
	lg_write(LOG_WARNING, "runner",
	    "repeated failures: the endpoint takes probes only");
}

void
ru_end(struct ru *r, struct ru_task *t, enum pd_end_state state,
    enum ru_cause cause)
{
	uint64_t now = ck_mono_ms(r->clock);
	struct pd_end e = {
	    .key = {.sub = {.id = t->id, .created_ms = t->number},
		.task = t->task,
		.attempt = t->attempt},
	    .state = state,
	    .queue_ms = (unsigned)((t->started_ms != 0 ? t->started_ms : now) -
		t->queued_ms),
	    .run_ms = (unsigned)(t->started_ms != 0 ? now - t->started_ms : 0),
	};

	ct_increment(r->counters, "pd_runs_ended_total",
	    "Granted tasks that ended", "state", end_name(state));
	if (state == PD_END_LOST)
		ct_increment(r->counters, "pd_runs_lost_total",
		    "Runs reported as lost", "cause", cause_name(cause));
	if (state != PD_END_DONE && state != PD_END_RETURNED)
		lg_write(LOG_NOTICE, "runner",
		    "job %s task %u attempt %u: run %s, %u ms waiting, %u ms "
		    "running, cause %s",
		    t->id, t->task, t->attempt, end_name(state), e.queue_ms,
		    e.run_ms, cause_name(cause));
	if (cause == RU_C_LISTED)
		r->ended_ms = now;
	if (t->started_ms != 0)
		learn_from_end(r, t, state, e.run_ms);
	r->ops->ended(r->arg, t->entry, &e);
	g_ptr_array_remove(r->tasks, t);
}

struct ru_run
ru_run_of(const struct ru_task *t)
{
	struct ru_run run = {
	    .id = t->id,
	    .step = t->step,
	    .index = t->index,
	    .run = t->run,
	    .body = t->body,
	    .body_len = t->body_len,
	};

	return (run);
}

/* Whether the same task runs for another entry: its client may have submitted
 * the job again to this one. */
static bool
is_task_active(const struct ru *r, const struct ru_task *t)
{
	const struct ru_task *o;
	guint i;

	for (i = 0; i < r->tasks->len; i++) {
		o = r->tasks->pdata[i];
		if (o != t && o->phase != RU_QUEUED && o->step == t->step &&
		    o->index == t->index && strcmp(o->id, t->id) == 0)
			return (true);
	}
	return (false);
}

/*
 * Key of the start order, lowest first: the latest time at which the task can
 * start and be in time, plus a delay for each level below the most urgent one.
 * A task that is late already is delayed further, since a late answer is worth
 * less to the caller, but not forever: the rest of its job may be done.
 */
static uint64_t
start_rank(const struct ru_task *t, uint64_t now)
{
	uint64_t by = t->start_by_ms + (uint64_t)t->level * LEVEL_DELAY_MS;

	return (t->start_by_ms < now ? by + LATE_DELAY_MS : by);
}

static struct ru_task *
next_task(struct ru *r, unsigned cpu_free, unsigned mem_free, uint64_t now)
{
	struct ru_task *t, *best = NULL;
	guint i;

	for (i = 0; i < r->tasks->len; i++) {
		t = r->tasks->pdata[i];
		if (t->phase != RU_QUEUED || t->cpu > cpu_free ||
		    t->mem_mb > mem_free || !in_contact(r, t->entry) ||
		    now >= t->expires_ms || is_task_active(r, t))
			continue;
		if (best == NULL || start_rank(t, now) < start_rank(best, now))
			best = t;
	}
	return (best);
}

void
ru_start_queued(struct ru *r)
{
	uint64_t now = ck_mono_ms(r->clock);
	struct ru_task *t;
	struct ru_load l;
	struct ru_run run;
	unsigned mem;

	if (!r->endpoint_known || !r->accepting || r->zone == PD_ZONE_OUT ||
	    !r->old_runs_ended || r->replaced ||
	    r->unanswered >= RU_UNANSWERED_MAX || now < r->full_until_ms ||
	    ru_lease_ms(r) < START_LEASE_MIN_MS)
		return;
	for (;;) {
		l = ru_sum_load(r);
		mem = mem_used(r);
		t = next_task(r,
		    l.cpu > l.reported.cpu_used ? l.cpu - l.reported.cpu_used
						: 0,
		    r->mem_mb > mem ? r->mem_mb - mem : 0, now);
		if (t == NULL)
			return;
		t->phase = RU_STARTING;
		t->started_ms = now;
		t->incarnation = r->endpoint_incarnation;
		run = ru_run_of(t);
		run.lease_ms = ru_extend_lease(r);
		r->ops->start(r->arg, &run);
	}
}

static struct ru_task *
find_grant(const struct ru *r, uint64_t entry, const struct pd_key *k)
{
	struct ru_task *t;
	guint i;

	for (i = 0; i < r->tasks->len; i++) {
		t = r->tasks->pdata[i];
		if (t->entry == entry && t->number == k->sub.created_ms &&
		    t->task == k->task && t->attempt == k->attempt)
			return (t);
	}
	return (NULL);
}

static struct ru_task *
task_new(struct ru *r, uint64_t entry, const struct pd_start *s)
{
	struct ru_task *t = g_new0(struct ru_task, 1);

	t->entry = entry;
	t->id = g_strdup(s->key.sub.id);
	t->number = s->key.sub.created_ms;
	t->task = s->key.task;
	t->attempt = s->key.attempt;
	t->run = s->key.attempt;
	t->step = s->step;
	t->index = s->index;
	t->cpu = s->cpu;
	t->mem_mb = s->mem_mb;
	t->level = lv_of(s->priority);
	t->size_ms = s->size_ms;
	t->limit_ms = s->limit_ms;
	t->description = s->endpoint;
	t->start_by_ms = s->start_by_ms;
	t->expires_ms = s->expires_ms;
	t->returnable = s->queue_max != UINT32_MAX;
	t->queued_ms = ck_mono_ms(r->clock);
	t->body = g_memdup2(s->body.body_val, s->body.body_len);
	t->body_len = s->body.body_len;
	return (t);
}

/* CPU of the queued tasks of the level of @t and more urgent ones. */
static unsigned
cpu_queued_ahead(const struct ru_load *l, const struct ru_task *t)
{
	unsigned cpu = 0, i;

	for (i = 0; i <= t->level; i++)
		cpu += l->reported.cpu_queued[i];
	return (cpu);
}

void
ru_grant(struct ru *r, uint64_t entry, const struct pd_start *s)
{
	struct ru_load l = ru_sum_load(r);
	struct ru_task *t = task_new(r, entry, s);
	uint64_t now = ck_mono_ms(r->clock);
	bool full;

	/* More is queued here than its entry knew: the entry chooses again. */
	full = l.reported.cpu_used + s->cpu > l.cpu &&
	    cpu_queued_ahead(&l, t) + s->cpu > s->queue_max;
	g_ptr_array_add(r->tasks, t);
	if (s->endpoint != r->description)
		ct_add(ct_get(r->counters, CT_COUNTER,
			   "pd_grants_other_endpoint_total",
			   "Grants returned since they were for the endpoint "
			   "as it was before",
			   ""),
		    1);
	if (r->zone == PD_ZONE_OUT)
		ct_add(
		    ct_get(r->counters, CT_COUNTER, "pd_grants_zone_out_total",
			"Grants returned since the zone is out, which their "
			"entry has not heard",
			""),
		    1);
	if (full || !l.reported.accepting || r->zone == PD_ZONE_OUT ||
	    l.queued >= QUEUE_MAX || s->endpoint != r->description ||
	    s->cpu > l.cpu || now >= s->expires_ms ||
	    !wh_accepts(&r->health, now)) {
		ru_end(r, t, PD_END_RETURNED, RU_C_NOT_STARTED);
		return;
	}
	wh_schedule_probe(&r->health, now);
	ru_start_queued(r);
}

void
ru_stop_task(struct ru *r, struct ru_task *t, enum pd_end_state end)
{
	struct ru_run run = ru_run_of(t);

	if (t->phase == RU_QUEUED) {
		ru_end(r, t, PD_END_RETURNED, RU_C_NOT_STARTED);
		return;
	}
	if (t->phase == RU_STOPPING)
		return;
	t->stop_sent_ms = ck_mono_ms(r->clock);
	/* A stop that is requested late does not let the run go on longer. */
	t->lease_limit_ms =
	    MIN(ru_lease_limit_ms(r, t), t->stop_sent_ms + LE_RUN_MS);
	t->phase = RU_STOPPING;
	t->end = end;
	r->ops->stop(r->arg, &run);
}

void
ru_withdraw(struct ru *r, uint64_t entry, const struct pd_key *k)
{
	struct ru_task *t = find_grant(r, entry, k);

	if (t != NULL)
		ru_stop_task(r, t, PD_END_STOPPED);
}

void
ru_take_back(struct ru *r, uint64_t entry, const struct pd_key *k)
{
	struct ru_task *t = find_grant(r, entry, k);

	if (t == NULL)
		return;
	if (t->phase == RU_QUEUED)
		ru_end(r, t, PD_END_RETURNED, RU_C_NOT_STARTED);
	else
		t->taken_back = true;
}

enum pd_end_state
ru_grant_state(const struct ru *r, uint64_t entry, const struct pd_key *k)
{
	return (find_grant(r, entry, k) != NULL ? PD_END_ACTIVE : PD_END_LOST);
}

bool
ru_has_grants(const struct ru *r, uint64_t entry)
{
	const struct ru_task *t;
	guint i;

	for (i = 0; i < r->tasks->len; i++) {
		t = r->tasks->pdata[i];
		if (t->entry == entry)
			return (true);
	}
	return (false);
}

static void
stop_entry_tasks(struct ru *r, uint64_t entry)
{
	struct ru_task *t;
	guint i;

	/* Backwards, since stopping a queued task removes it. */
	for (i = r->tasks->len; i-- > 0;) {
		t = r->tasks->pdata[i];
		if (t->entry == entry)
			ru_stop_task(r, t, PD_END_LOST);
	}
}

void
ru_entry_gone(struct ru *r, uint64_t entry)
{
	guint i;

	stop_entry_tasks(r, entry);
	for (i = 0; i < r->entries->len; i++)
		if (g_array_index(r->entries, struct ru_entry, i).incarnation ==
		    entry) {
			g_array_remove_index_fast(r->entries, i);
			return;
		}
}

void
ru_return_queued(struct ru *r)
{
	struct ru_task *t;
	guint i;

	/* Backwards, since ru_end() removes the task. */
	for (i = r->tasks->len; i-- > 0;) {
		t = r->tasks->pdata[i];
		if (t->phase == RU_QUEUED)
			ru_end(r, t, PD_END_RETURNED, RU_C_NOT_STARTED);
	}
}

void
ru_set_zone(struct ru *r, enum pd_zone_state zone)
{
	r->zone = zone;
	if (zone == PD_ZONE_OUT)
		ru_return_queued(r);
	else
		ru_start_queued(r);
}

void
ru_drain(struct ru *r)
{
	r->draining = true;
	ru_return_queued(r);
}

static void
check_entries(struct ru *r)
{
	uint64_t entry;
	guint i;

	for (i = r->entries->len; i-- > 0;) {
		entry =
		    g_array_index(r->entries, struct ru_entry, i).incarnation;
		if (in_contact(r, entry))
			continue;
		lg_write(LOG_NOTICE, "runner",
		    "no contact with entry %016llx for %d ms: stopping its "
		    "tasks",
		    (unsigned long long)entry, LE_CONTACT_MS);
		ru_entry_gone(r, entry);
	}
}

static void
check_tasks(struct ru *r, uint64_t now)
{
	struct ru_task *t;
	guint i;

	for (i = r->tasks->len; i-- > 0;) {
		t = r->tasks->pdata[i];
		if (now >= t->expires_ms)
			ru_stop_task(r, t, PD_END_LOST);
		else if (t->phase == RU_QUEUED && t->returnable &&
		    now > t->start_by_ms)
			/* It will be late here; another worker may be free. */
			ru_end(r, t, PD_END_RETURNED, RU_C_NOT_STARTED);
		else if (t->phase == RU_RUNNING && t->limit_ms > 0 &&
		    now > t->started_ms + t->limit_ms) {
			t->limit_hit = true;
			ru_stop_task(r, t, PD_END_STOPPED);
		}
	}
}

void
ru_tick(struct ru *r)
{
	check_entries(r);
	check_tasks(r, ck_mono_ms(r->clock));
	ru_check_runs(r);
	ru_start_queued(r);
}
