#include "jobs_impl.h"

void
jb_note_return(struct jb *j, struct jb_task *t, const struct fl_worker *w)
{
	struct fl_return r = {.worker = w, .reports = w->reports};

	ct_add(ct_get(j->counters, CT_COUNTER, "pd_grants_returned_total",
		   "Grants that agents returned without a start", ""),
	    1);
	if (t->returned == NULL)
		t->returned = g_new0(struct fl_return, JB_RETURNS_MAX);
	t->returned[(t->returns - 1) % JB_RETURNS_MAX] = r;
	t->nreturned = (uint8_t)MIN(t->returns, JB_RETURNS_MAX);
}

static void
stop(struct jb *j, const struct jb_job *job, struct jb_task *t, const char *why)
{
	t->withdrawn = true;
	ct_increment(j->counters, "pd_overruns_stopped_total",
	    "Runs stopped since they seemed to hang", "reason", why);
	jb_withdraw(j, job, t);
}

/* The wait in the queue of the agent is not known and counts as run time; a
 * task that is withdrawn there is returned and placed again. */
void
jb_check_overrun(
    struct jb *j, const struct jb_job *job, struct jb_task *t, uint64_t now)
{
	double size_ms = job->steps[t->step].size_ms;
	double longest_ms = job->longest_ms[t->step];
	double ratio, elapsed_ms, limit_ms;

	if (!fl_is_pooled(j->fleet) || t->stopped || t->withdrawn ||
	    (longest_ms == 0 && !t->worker->reported.hanging))
		return;
	ratio = fl_run_ratio(j->fleet, t->worker);
	/* Another run takes as long as the other tasks of the step did. */
	size_ms = (longest_ms > 0 ? longest_ms : size_ms) * ratio;
	if ((double)now + size_ms > (double)job->deadline_ms)
		return;
	elapsed_ms = (double)(now - t->granted_ms);
	limit_ms = MAX(size_ms * JB_RUN_LIMIT_FACTOR, JB_RUN_LIMIT_MIN_MS);
	if (longest_ms > 0 && elapsed_ms > limit_ms)
		stop(j, job, t, "siblings_done");
	else if (t->worker->reported.hanging &&
	    elapsed_ms > MAX(size_ms, JB_RUN_LIMIT_MIN_MS))
		stop(j, job, t, "worker_hangs");
}
