#ifndef HISTORY_H
#define HISTORY_H

#include <stddef.h>
#include <stdint.h>

#include "pd.h"

/**
 * DOC: hi - history: bounded list of events per submission, for explain
 */
struct hi;
struct ck;

/** struct hi_event - one event */
struct hi_event {
	uint64_t wall_ms;
	const char *what; /* static string such as "granted" */
	const char *text; /* details, borrowed */
};

/**
 * hi_new() - create a history
 * @clock: borrowed
 * @submissions_max: beyond this the oldest submission is evicted
 * @events_max: events kept per submission; beyond this the middle ones are
 *     dropped and counted
 */
struct hi *hi_new(struct ck *clock, size_t submissions_max, size_t events_max);

/** hi_free() - free a history; consumed, NULL is allowed */
void hi_free(struct hi *h);

/** hi_add() - add an event; no effect when @h is NULL */
void hi_add(struct hi *h, const struct pd_id *id, const char *what,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/**
 * hi_visit() - visit the events of a submission, found by id alone
 * @dropped: set to the number of events that were dropped
 *
 * Return: number of events, 0 if the submission is unknown or was evicted.
 */
size_t hi_visit(const struct hi *h, const char *id,
    void (*visit)(void *arg, const struct hi_event *e), void *arg,
    size_t *dropped);

/** hi_evicted() - number of submissions evicted since the start */
uint64_t hi_evicted(const struct hi *h);

#endif
