#ifndef CLAIMS_H
#define CLAIMS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: cw - jobs that wait until no other entry runs them any more
 *
 * A client may lose a connection that its entry still takes for open, for
 * example if a proxy keeps it, and submit its job to another entry. That one
 * asks the others to give up the job, and starts it once their runs have ended.
 */
struct cw;
struct ck;

/** cw_resume_fn - the request of @waiter may be passed on */
typedef void (*cw_resume_fn)(void *arg, uint64_t waiter);

/** cw_new() - no jobs; owned */
struct cw *cw_new(const struct ck *clock, cw_resume_fn resume, void *arg);

/** cw_free() - forget all jobs without resuming them; consumed, NULL is
 * allowed */
void cw_free(struct cw *c);

/**
 * cw_add() - let a request for a job wait
 * @number: set to the number of the claim if it is new
 *
 * Return: whether the claim is new, so that the other entries must be asked;
 * false if the request waits with an earlier one for the same job.
 */
bool cw_add(struct cw *c, const char *id, uint64_t waiter, uint64_t *number);

/** cw_contains() - whether a job waits */
bool cw_contains(const struct cw *c, const char *id);

/**
 * cw_answered() - handle the answers of the other entries
 * @may_run: a run for one of them may go on for LE_UNREACHABLE_MS
 */
void cw_answered(struct cw *c, uint64_t number, bool may_run);

/**
 * cw_remove() - remove a job that is cancelled, or submitted elsewhere
 * @drop: called for each request that waits for it
 *
 * Return: whether it was there.
 */
bool cw_remove(struct cw *c, const char *id, cw_resume_fn drop);

/** cw_tick() - resume the jobs whose other runs have ended */
void cw_tick(struct cw *c);

#endif
