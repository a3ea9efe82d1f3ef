#ifndef SCHED_CONFIG_H
#define SCHED_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include "pd.h"

/**
 * DOC: cf - configuration of the queues, in force at this entry
 *
 * Only ever replaced by one of a higher revision.
 */
struct cf;

/** cf_new() - no configuration yet; owned */
struct cf *cf_new(void);

/** cf_free() - consumed, NULL is allowed */
void cf_free(struct cf *c);

/**
 * cf_apply() - take a configuration if it is newer
 * @config: copied
 *
 * Return: whether it is in force now.
 */
bool cf_apply(struct cf *c, const struct pd_config *config);

/** cf_revision() - revision in force, 0 for none */
uint64_t cf_revision(const struct cf *c);

/** cf_current() - configuration in force, borrowed until the next cf_apply() */
const struct pd_config *cf_current(const struct cf *c);

/**
 * cf_match() - queue of a request
 * @host: host name, may carry a port
 * @path: path, which begins with the prefix of the queue
 *
 * The longest prefix wins. Return: borrowed until the next cf_apply(), NULL
 * when there is no such queue.
 */
const struct pd_queue *cf_match(
    const struct cf *c, const char *host, const char *path);

/** cf_evacuated() - whether an availability zone is to get no work */
bool cf_evacuated(const struct cf *c, const char *az);

/** cf_copy() - deep copy of a configuration; release with xdr_free() */
void cf_copy(const struct pd_config *from, struct pd_config *to);

#endif
