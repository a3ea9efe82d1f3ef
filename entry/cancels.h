#ifndef CANCELS_H
#define CANCELS_H

#include <stdint.h>

/**
 * DOC: uc - cancelled jobs that other entries have not been told of yet
 *
 * An entry acknowledges a cancellation although it cannot reach all others. One
 * of these may have the job, so they are told when they can be reached again.
 */
struct uc;
struct ck;

/** UC_KEEP_MS - time for which a cancelled job is kept: longer than clients
 * wait for one */
#define UC_KEEP_MS 60000

/** UC_JOBS_MAX - jobs kept for each entry; then the oldest is forgotten */
#define UC_JOBS_MAX 1024

/** uc_visit_fn - @id was cancelled; may call uc_remove() */
typedef void (*uc_visit_fn)(void *arg, const char *id);

/** uc_new() - no jobs; owned */
struct uc *uc_new(const struct ck *clock);

/** uc_free() - consumed, NULL is allowed */
void uc_free(struct uc *c);

/** uc_add() - keep a job for the entry at an address; both are copied */
void uc_add(struct uc *c, const char *address, const char *id);

/** uc_remove() - the entry at an address has been told of a job */
void uc_remove(struct uc *c, const char *address, const char *id);

/** uc_each() - visit the jobs that the entry at an address was not told of */
void uc_each(struct uc *c, const char *address, uc_visit_fn visit, void *arg);

#endif
