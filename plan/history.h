#ifndef HISTORY_H
#define HISTORY_H

#include <stddef.h>
#include <stdint.h>

#include "pd.h"

/**
 * DOC: hi - bounded list of events per submission, for explain
 */
struct hi;
struct ck;

/** struct hi_event - one event */
struct hi_event {
	uint64_t wall_ms;
	const char *what; /* constant such as "granted" */
	const char *text; /* details, borrowed */
};

/**
 * hi_new() - history
 * @clock: clock, borrowed
 * @submissions_max: the oldest submission is forgotten beyond this
 * @events_max: events kept per submission; the middle ones are dropped and
 *     counted beyond this
 */
struct hi *hi_new(struct ck *clock, size_t submissions_max, size_t events_max);

/** hi_free() - free a history; consumed, NULL is allowed */
void hi_free(struct hi *h);

/** hi_add() - add an event; no effect when @h is NULL */
void hi_add(struct hi *h, const struct pd_id *id, const char *what,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/**
 * hi_visit() - visit the events of a submission, found by id alone
 * @dropped: set to the number of events that were forgotten
 *
 * Return: number of events, 0 when the submission is unknown or forgotten.
 */
size_t hi_visit(const struct hi *h, const char *id,
    void (*visit)(void *arg, const struct hi_event *e), void *arg,
    size_t *dropped);

/** hi_evicted() - number of submissions forgotten since the start */
uint64_t hi_evicted(const struct hi *h);

#endif
