#ifndef CLAIMS_H
#define CLAIMS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: cm - jobs that wait until no other entry runs them any more
 *
 * A client may lose a connection that its entry still takes for open, for
 * example if a proxy keeps it, and submit its job to another entry. That one
 * asks the others to give up the job, and starts it once their runs have ended.
 */
struct cm;
struct ck;

/** cm_resume_fn - the request of @waiter may be passed on */
typedef void (*cm_resume_fn)(void *arg, uint64_t waiter);

/** cm_new() - no jobs; owned */
struct cm *cm_new(const struct ck *clock, cm_resume_fn resume, void *arg);

/** cm_free() - forget all jobs without resuming them; consumed, NULL is
 * allowed */
void cm_free(struct cm *c);

/**
 * cm_add() - let a request for a job wait
 * @number: set to the number of the claim if it is new
 *
 * Return: whether the claim is new, so that the other entries must be asked;
 * false if the request waits with an earlier one for the same job.
 */
bool cm_add(struct cm *c, const char *id, uint64_t waiter, uint64_t *number);

/** cm_contains() - whether a job waits */
bool cm_contains(const struct cm *c, const char *id);

/**
 * cm_answered() - handle the answers of the other entries
 * @may_run: a run for one of them may go on for LE_UNREACHABLE_MS
 */
void cm_answered(struct cm *c, uint64_t number, bool may_run);

/**
 * cm_remove() - remove a job that is cancelled, or submitted elsewhere
 * @drop: called for each request that waits for it
 *
 * Return: whether it was there.
 */
bool cm_remove(struct cm *c, const char *id, cm_resume_fn drop);

/** cm_tick() - resume the jobs whose other runs have ended */
void cm_tick(struct cm *c);

#endif
