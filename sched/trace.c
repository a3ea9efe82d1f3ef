#include <stddef.h>
#include <string.h>

#include "trace.h"

/* @a, @b: names of tr_event.a and b in logs, NULL if not used.
 * @problem: description for `pimentodock trace`, NULL if the event is none. */
static const struct {
	const char *name;
	const char *a;
	const char *b;
	const char *problem;
} kinds[] = {
    [TR_TAKEN] = {"taken", "in_time_ms", "deadline_ms", NULL},
    [TR_LIMITS] = {"limits", "client_ms", "queue_ms", NULL},
    [TR_CROWDED] = {"crowded", "urgent_wait_ms", "urgent_limit_ms",
	"more urgent queues would have waited too long"},
    [TR_GRANTED] = {"granted", "expected_ms", "worker_load", NULL},
    [TR_NO_WORKER] = {"no_worker", NULL, NULL, "no worker took the task"},
    [TR_TOO_LATE] = {"too_late", "expected_ms", "left_ms",
	"no worker was expected to end the task in time"},
    [TR_DONE] = {"done", "queue_ms", "run_ms", NULL},
    [TR_FAILED] = {"failed", "queue_ms", "run_ms", "the run failed"},
    [TR_STOPPED] = {"stopped", "queue_ms", "run_ms",
	"the run took longer than its limit and was stopped"},
    [TR_LOST] = {"lost", "queue_ms", "run_ms",
	"the run ended without a result"},
    [TR_RETURNED] = {"returned", "queue_ms", "run_ms",
	"the agent gave the task back without starting it"},
    [TR_DOUBTFUL] = {"doubtful", "heard_ms_ago", NULL,
	"the agent of the task was unreachable"},
    [TR_HOPELESS] = {"hopeless", "doubt_left_ms", "left_ms",
	"its run could not be replaced by the deadline"},
    [TR_DROPPED] = {"dropped", NULL, NULL,
	"the lease of an unreachable run had ended"},
    [TR_RESTARTED] = {"restarted", NULL, NULL,
	"the agent of the task had restarted"},
    [TR_CONTACT_LOST] = {"contact_lost", NULL, NULL,
	"the entry had lost contact with its agents"},
    [TR_UNLIKELY] = {"unlikely", "declared_ms", "chance_permille",
	"its chance to end in time was too small"},
    [TR_SHED] = {"shed", "price", "value",
	"capacity was short, and others cost more to turn away"},
};

const char *
tr_name(enum tr_kind kind)
{
	return (kind < TR_MAX ? kinds[kind].name : "invalid");
}

bool
tr_is_problem(enum tr_kind kind)
{
	return (kind < TR_MAX && kinds[kind].problem != NULL);
}

const char *
tr_problem_text(const char *name)
{
	unsigned i;

	for (i = 0; i < TR_MAX; i++)
		if (strcmp(kinds[i].name, name) == 0)
			return (kinds[i].problem);
	return (NULL);
}

const char *
tr_field_a(enum tr_kind kind)
{
	return (kind < TR_MAX ? kinds[kind].a : NULL);
}

const char *
tr_field_b(enum tr_kind kind)
{
	return (kind < TR_MAX ? kinds[kind].b : NULL);
}
