#include <stddef.h>

#include "trace.h"

static const struct {
	const char *name;
	const char *a;
	const char *b;
} kinds[] = {
    [TR_TAKEN] = {"taken", "in_time_ms", "deadline_ms"},
    [TR_CROWDED] = {"crowded", "urgent_wait_ms", "urgent_limit_ms"},
    [TR_GRANTED] = {"granted", "expected_ms", "worker_load"},
    [TR_NO_WORKER] = {"no_worker", NULL, NULL},
    [TR_TOO_LATE] = {"too_late", "expected_ms", "left_ms"},
    [TR_DONE] = {"done", "queue_ms", "run_ms"},
    [TR_FAILED] = {"failed", "queue_ms", "run_ms"},
    [TR_STOPPED] = {"stopped", "queue_ms", "run_ms"},
    [TR_LOST] = {"lost", "queue_ms", "run_ms"},
    [TR_RETURNED] = {"returned", "queue_ms", "run_ms"},
    [TR_DOUBTFUL] = {"doubtful", "heard_ms_ago", NULL},
    [TR_HOPELESS] = {"hopeless", "doubt_left_ms", "left_ms"},
    [TR_DROPPED] = {"dropped", NULL, NULL},
    [TR_RESTARTED] = {"restarted", NULL, NULL},
};

const char *
tr_name(enum tr_kind kind)
{
	return (kind < TR_MAX ? kinds[kind].name : "invalid");
}

bool
tr_is_trouble(enum tr_kind kind)
{
	return (kind != TR_TAKEN && kind != TR_GRANTED && kind != TR_DONE);
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
