#include <string.h>

#include "log.h"
#include "runner_impl.h"

/* Interval at which an unconfirmed stop is repeated. */
#define STOP_RETRY_MS 50
/* A run is listed in the answer to each poll sent after its start was answered.
 * The margin is needed as polls and starts use different connections, between
 * which order is not kept. */
#define START_SETTLE_MS 20
/* Pause of starts after the endpoint reported to be full though it should not
 * be, or that the lease is over, which the next poll corrects. */
#define FULL_PAUSE_MS 20
/* The reading of the endpoint's clock may be too high by this much. */
#define CLOCK_ERROR_MS 30
/* Step to the next run number after the endpoint rejected a used one. */
#define RUN_NUMBER_STEP 1
#define PERMILLE 1000

/* Notes that the endpoint may have runs under a lease of @ms from now. */
static void
note_lease(struct ru *r, unsigned ms)
{
	uint64_t end = ck_mono_ms(r->clock) + ms +
	    ms * LE_DRIFT_PERMILLE / PERMILLE + CLOCK_ERROR_MS;

	r->lease_until_ms = MAX(r->lease_until_ms, end);
}

/* Time until which the lease of a run may last. Its entry starts the task
 * elsewhere LE_UNREACHABLE_MS after the last contact; a run that is stopped
 * ends with the lease that it had, also if the endpoint does not confirm the
 * stop. */
uint64_t
ru_lease_limit_ms(const struct ru *r, const struct ru_task *t)
{
	if (t->phase == RU_STOPPING)
		return (t->lease_limit_ms);
	return (ru_entry_echo_ms(r, t->entry) + LE_CONTACT_MS + LE_RUN_MS);
}

unsigned
ru_lease_ms(const struct ru *r)
{
	uint64_t now = ck_mono_ms(r->clock);
	uint64_t until = now + LE_RUN_MS;
	const struct ru_task *t;
	guint i;

	/* All runs of an endpoint share one lease. */
	for (i = 0; i < r->tasks->len; i++) {
		t = r->tasks->pdata[i];
		if (t->phase != RU_QUEUED)
			until = MIN(until, ru_lease_limit_ms(r, t));
	}
	return (until > now ? (unsigned)(until - now) : 0);
}

unsigned
ru_extend_lease(struct ru *r)
{
	unsigned ms = ru_lease_ms(r);

	if (ms > 0)
		note_lease(r, ms);
	return (ms);
}

unsigned
ru_renew_lease(struct ru *r)
{
	/* Do not keep runs of an earlier process of the agent or the endpoint
	 * alive, nor those at a silent endpoint, whose end would stay
	 * unknown. */
	if (!r->old_runs_ended || r->replaced ||
	    r->unanswered >= RU_UNANSWERED_MAX || ru_sum_load(r).active == 0)
		return (0);
	return (ru_extend_lease(r));
}

/* Ends all tasks at the endpoint once the lease is over. */
static void
report_runs_lost(struct ru *r)
{
	struct ru_task *t;
	guint i;

	for (i = r->tasks->len; i-- > 0;) {
		t = r->tasks->pdata[i];
		if (t->phase != RU_QUEUED)
			ru_end(r, t, PD_END_LOST, RU_C_LEASE);
	}
}

/* The queued tasks were granted to the endpoint as it was. Until a heartbeat
 * describes it again, nothing is known of it that tasks are placed by. */
static void
forget_description(struct ru *r)
{
	r->endpoint_known = false;
	r->description = 0;
	ru_return_queued(r);
}

/*
 * A new process does not prove that the earlier one has ended: it may have
 * closed its port and finish its runs. Nothing is started, and no lease is
 * renewed, until the lease of these runs is over.
 */
static void
set_incarnation(struct ru *r, uint64_t incarnation)
{
	if (r->endpoint_incarnation == incarnation)
		return;
	if (r->endpoint_incarnation != 0) {
		lg_write(LOG_NOTICE, "runner",
		    "the endpoint has restarted, at %llu instead of %llu, "
		    "with %u runs",
		    (unsigned long long)incarnation,
		    (unsigned long long)r->endpoint_incarnation,
		    ru_sum_load(r).active);
		r->replaced = r->replaced || !r->old_runs_ended ||
		    ru_sum_load(r).active > 0;
		forget_description(r);
	}
	r->endpoint_incarnation = incarnation;
}

void
ru_update_endpoint(struct ru *r, const struct ru_endpoint *e)
{
	set_incarnation(r, e->incarnation);
	if (r->accepting && !e->accepting)
		lg_write(
		    LOG_NOTICE, "runner", "the endpoint accepts no new tasks");
	if (r->description != e->description)
		forget_description(r);
	r->endpoint_known = true;
	r->description = e->description;
	r->cpu = e->cpu;
	r->mem_mb = e->mem_mb;
	r->accepting = e->accepting;
	if (!e->accepting)
		ru_return_queued(r);
	ru_start_queued(r);
}

void
ru_endpoint_gone(struct ru *r)
{
	if (r->endpoint_known)
		lg_write(LOG_NOTICE, "runner",
		    "the endpoint has stopped, with %u runs",
		    ru_sum_load(r).active);
	forget_description(r);
}

static struct ru_task *
find_run(const struct ru *r, const char *id, unsigned step, unsigned index,
    unsigned run)
{
	struct ru_task *t;
	guint i;

	for (i = 0; i < r->tasks->len; i++) {
		t = r->tasks->pdata[i];
		if (t->phase != RU_QUEUED && t->step == step &&
		    t->index == index && t->run == run &&
		    strcmp(t->id, id) == 0)
			return (t);
	}
	return (NULL);
}

static bool
is_listed(const struct ru_poll_result *poll, const struct ru_task *t)
{
	const struct ru_run_info *info;
	unsigned i;

	for (i = 0; i < poll->nrunning; i++) {
		info = &poll->running[i];
		if (info->run == t->run && info->step == t->step &&
		    info->index == t->index && strcmp(info->id, t->id) == 0)
			return (true);
	}
	return (false);
}

static enum pd_end_state
end_state(const struct ru_task *t, enum ru_outcome outcome)
{
	switch (outcome) {
	case RU_DONE:
		return (PD_END_DONE);
	case RU_FAILED:
		return (PD_END_FAILED);
	case RU_STOPPED:
		return (t->phase == RU_STOPPING ? t->end : PD_END_LOST);
	default:
		return (PD_END_LOST);
	}
}

/* Stops listed runs that belong to no task: they were started by an earlier
 * agent process, or late, after the task had been reported as lost. */
static void
stop_unknown_runs(struct ru *r, const struct ru_poll_result *poll)
{
	const struct ru_run_info *info;
	struct ru_run run = {0};
	unsigned i;

	for (i = 0; i < poll->nrunning; i++) {
		info = &poll->running[i];
		if (find_run(r, info->id, info->step, info->index, info->run) !=
		    NULL)
			continue;
		run.id = info->id;
		run.step = info->step;
		run.index = info->index;
		run.run = info->run;
		ct_increment(r->counters, "pd_runs_unknown_total",
		    "Runs found at the endpoint that belong to no grant",
		    "action", "stopped");
		r->ops->stop(r->arg, &run);
	}
}

/* Whether the answer to a poll proves that the run of @t does not exist. A run
 * that is being stopped is listed until it has ended, and one that had not
 * started before its stop was confirmed never starts. A process of the endpoint
 * lists only its own runs. */
static bool
run_is_gone(const struct ru_poll_result *poll, const struct ru_task *t)
{
	if (poll->partial || t->incarnation != poll->incarnation ||
	    is_listed(poll, t))
		return (false);
	if (t->phase == RU_RUNNING)
		return (t->listed &&
		    poll->sent_ms > t->confirmed_ms + START_SETTLE_MS);
	if (t->phase == RU_STOPPING)
		return (!t->never_listed && t->stopped_ms != 0 &&
		    poll->sent_ms > t->stopped_ms);
	return (false);
}

/* Whether a start was confirmed by another process than the one that answers
 * polls: answers to starts do not say which process they are from. */
static bool
runs_elsewhere(const struct ru_poll_result *poll, const struct ru_task *t)
{
	return (t->phase == RU_RUNNING && !t->listed && !poll->partial &&
	    t->incarnation == poll->incarnation &&
	    poll->sent_ms > t->confirmed_ms + START_SETTLE_MS &&
	    !is_listed(poll, t));
}

/*
 * Whether the listed end @info is that of the run of @t. A process that did not
 * get the start can list a stop of it only, which says nothing about the run at
 * the other process.
 */
static bool
proves_end(const struct ru_poll_result *poll, const struct ru_run_info *info,
    const struct ru_task *t)
{
	return (t->incarnation == poll->incarnation ||
	    info->outcome == RU_DONE || info->outcome == RU_FAILED);
}

/* Notes which runs are listed, and stops those whose start went to a new
 * process of the endpoint before the agent knew of it: the clock of the new
 * process is another one, so their lease may be longer than intended. */
static void
check_listed_runs(struct ru *r, const struct ru_poll_result *poll)
{
	const struct ru_run_info *info;
	struct ru_task *t;
	unsigned i;

	for (i = 0; i < poll->nrunning; i++) {
		info = &poll->running[i];
		t = find_run(r, info->id, info->step, info->index, info->run);
		if (t == NULL)
			continue;
		t->listed = true;
		t->never_listed = false;
		if (t->incarnation == poll->incarnation)
			continue;
		t->incarnation = poll->incarnation;
		t->stopped_ms = 0;
		note_lease(r, LE_ENDPOINT_MAX_MS);
		ru_stop_task(r, t, PD_END_LOST);
	}
}

void
ru_polled(struct ru *r, const struct ru_poll_result *poll)
{
	struct ru_task *t;
	unsigned i;
	guint k;

	set_incarnation(r, poll->incarnation);
	r->unanswered = 0;
	check_listed_runs(r, poll);
	for (i = 0; i < poll->nended; i++) {
		t = find_run(r, poll->ended[i].id, poll->ended[i].step,
		    poll->ended[i].index, poll->ended[i].run);
		if (t != NULL && proves_end(poll, &poll->ended[i], t))
			ru_end(r, t, end_state(t, poll->ended[i].outcome),
			    RU_C_LISTED);
	}
	for (k = r->tasks->len; k-- > 0;) {
		t = r->tasks->pdata[k];
		if (run_is_gone(poll, t)) {
			ru_end(r, t,
			    t->phase == RU_STOPPING ? t->end : PD_END_LOST,
			    t->phase == RU_STOPPING ? RU_C_STOPPED
						    : RU_C_NOT_LISTED);
		} else if (runs_elsewhere(poll, t)) {
			t->never_listed = true;
			ru_stop_task(r, t, PD_END_LOST);
		}
	}
	stop_unknown_runs(r, poll);
	if (!r->old_runs_ended && !r->replaced && !poll->partial &&
	    poll->nrunning == 0)
		r->old_runs_ended = true;
	ru_start_queued(r);
}

/* A silent endpoint gets no tasks; queued ones are returned, so that entries
 * can choose another worker. */
static void
set_unanswered(struct ru *r, unsigned unanswered)
{
	r->unanswered = unanswered;
	if (unanswered == RU_UNANSWERED_MAX) {
		lg_write(LOG_NOTICE, "runner", "the endpoint does not answer");
		ru_return_queued(r);
	}
}

void
ru_call_unanswered(struct ru *r)
{
	set_unanswered(r, r->unanswered + 1);
}

void
ru_connection_refused(struct ru *r)
{
	if (r->unanswered < RU_UNANSWERED_MAX)
		set_unanswered(r, RU_UNANSWERED_MAX);
}

void
ru_start_answer(
    struct ru *r, const struct ru_run *run, enum ru_start_result answer)
{
	struct ru_task *t =
	    find_run(r, run->id, run->step, run->index, run->run);

	if (t == NULL || (t->phase != RU_STARTING && t->phase != RU_STOPPING))
		return;
	if (answer == RU_STARTED) {
		t->confirmed_ms = ck_mono_ms(r->clock);
		if (t->phase == RU_STARTING)
			t->phase = RU_RUNNING;
		return;
	}
	ct_increment(r->counters, "pd_starts_refused_total",
	    "Starts that the endpoint did not confirm", "reason",
	    answer == RU_NO_ROOM        ? "room"
		: answer == RU_OLD_RUN  ? "old_run"
		: answer == RU_TOO_LATE ? "late"
		: answer == RU_REJECTED ? "rejected"
					: "no_answer");
	if (answer == RU_NO_ANSWER) {
		ru_stop_task(r, t, PD_END_LOST);
	} else if (t->phase == RU_STOPPING || answer == RU_REJECTED ||
	    t->taken_back || r->zone == PD_ZONE_OUT ||
	    t->description != r->description) {
		ru_end(r, t, PD_END_RETURNED, RU_C_NOT_STARTED);
	} else {
		if (answer == RU_OLD_RUN)
			t->run += RUN_NUMBER_STEP;
		if (answer == RU_NO_ROOM || answer == RU_TOO_LATE)
			r->full_until_ms = ck_mono_ms(r->clock) + FULL_PAUSE_MS;
		t->phase = RU_QUEUED;
		t->started_ms = 0;
		ru_start_queued(r);
	}
}

void
ru_stop_answer(struct ru *r, const struct ru_run *run, bool done)
{
	struct ru_task *t =
	    find_run(r, run->id, run->step, run->index, run->run);

	if (t != NULL && t->phase == RU_STOPPING && done && t->stopped_ms == 0)
		t->stopped_ms = ck_mono_ms(r->clock);
}

void
ru_check_runs(struct ru *r)
{
	uint64_t now = ck_mono_ms(r->clock);
	struct ru_task *t;
	struct ru_run run;
	guint i;

	/* Every start order carries the lease, so nothing runs any more. */
	if (r->lease_until_ms != 0 && now > r->lease_until_ms) {
		report_runs_lost(r);
		r->old_runs_ended = true;
		r->replaced = false;
		r->lease_until_ms = 0;
	}
	for (i = 0; i < r->tasks->len; i++) {
		t = r->tasks->pdata[i];
		if (t->phase != RU_STOPPING || t->stopped_ms != 0 ||
		    now < t->stop_sent_ms + STOP_RETRY_MS)
			continue;
		t->stop_sent_ms = now;
		run = ru_run_of(t);
		r->ops->stop(r->arg, &run);
	}
}
