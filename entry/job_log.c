#include <jansson.h>

#include "event.h"
#include "job_log.h"

/* One in so many jobs that complete in time is logged with all its events. */
#define SAMPLE_INTERVAL 32
#define EVENT_FORMAT "{s:s,s:i,s:i,s:i,s:s*,s:"

bool
jl_is_logged(struct jl *l, const struct jb_answer *a)
{
	if (l->all || a->status != JB_COMPLETED || a->late_ms > 0)
		return (true);
	return (++l->in_time % SAMPLE_INTERVAL == 0);
}

/* The kind of an event determines the names of its values, if it has any. */
static void
log_trace_event(const struct jb_answer *job, const struct tr_event *e)
{
	const char *a = tr_field_a(e->kind), *b = tr_field_b(e->kind);
	const char *format = b != NULL ? EVENT_FORMAT "{s:i,s:i}}"
	    : a != NULL                ? EVENT_FORMAT "{s:i}}"
				       : EVENT_FORMAT "{}}";

	ev_write_detail("jobs", tr_name(e->kind), format, "job", job->id,
	    "at_ms", (int)e->at_ms, "task", (int)e->task, "attempt",
	    (int)e->attempt, "worker", e->worker, "because", a, e->a, b, e->b);
}

/* First event that may have made the job fail or be late, NULL for none. */
static const struct tr_event *
first_problem(const struct jb_answer *a)
{
	unsigned i;

	for (i = 0; i < a->ntrace; i++)
		if (tr_is_problem(a->trace[i].kind))
			return (&a->trace[i]);
	return (NULL);
}

/* The first problem is part of the line of the answer, since the lines of
 * events are dropped first when many jobs end at once. */
void
jl_write(const struct jb_answer *a, unsigned workers, uint64_t revision)
{
	const struct tr_event *first = first_problem(a);
	unsigned i;

	ev_write("jobs", "answered",
	    "{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:I,s:s*,s:s*}", "job", a->id,
	    "queue", a->queue, "status", jb_status_name(a->status), "reason",
	    jb_reason_name(a->reason), "took_ms", (int)a->took_ms, "late_ms",
	    (int)a->late_ms, "workers", (int)workers, "config",
	    (json_int_t)revision, "trouble",
	    first == NULL ? NULL : tr_name(first->kind), "trouble_worker",
	    first == NULL ? NULL : first->worker);
	for (i = 0; i < a->ntrace; i++)
		log_trace_event(a, &a->trace[i]);
}
