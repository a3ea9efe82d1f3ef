#ifndef SCHED_CONFIG_H
#define SCHED_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include "pd.h"

/**
 * DOC: cf - configuration of the queues that is in force at this entry
 *
 * Its queues and its availability zones that are out have a revision each, and
 * are only replaced by those of a higher one.
 */
struct cf;

/** cf_new() - create an empty configuration of revision 0; owned */
struct cf *cf_new(void);

/** cf_free() - consumed, NULL is allowed */
void cf_free(struct cf *c);

/**
 * cf_apply() - replace those parts of the configuration that are newer in
 * @config
 * @config: copied
 *
 * Return: whether any part was newer.
 */
bool cf_apply(struct cf *c, const struct pd_config *config);

/**
 * cf_confirm() - parts of the configuration have not changed up to a revision
 * @revision: for the queues; 0 if they are not confirmed
 * @zones_revision: the same for the availability zones that are out
 */
void cf_confirm(struct cf *c, uint64_t revision, uint64_t zones_revision);

/**
 * cf_confirm_zones() - the zones that are out were those of the store at a time
 * @at_ms: or later, by the clock of this process
 */
void cf_confirm_zones(struct cf *c, uint64_t at_ms);

/** cf_zones_known() - what this entry knows of the zones that are out at
 * @now_ms, for the answers to heartbeats of agents */
struct pd_zones_known cf_zones_known(const struct cf *c, uint64_t now_ms);

/** cf_zones() - the zones that are out; borrowed until the next cf_apply() */
struct pd_zones cf_zones(const struct cf *c);

/**
 * cf_fits() - whether a configuration keeps the limits of wire/pd.x, so that it
 * can be sent to other entries
 */
bool cf_fits(const struct pd_config *config);

/** cf_release() - release the contents of a configuration, which may exceed
 * limits, and clear it */
void cf_release(struct pd_config *config);

/** cf_revision() - revision of the queues, 0 for none */
uint64_t cf_revision(const struct cf *c);

/** cf_zones_revision() - revision of the availability zones that are out, 0 if
 * they are not known */
uint64_t cf_zones_revision(const struct cf *c);

/** cf_complete() - whether the queues and the zones that are out are known */
bool cf_complete(const struct cf *c);

/** cf_current() - the configuration, borrowed until the next cf_apply() */
const struct pd_config *cf_current(const struct cf *c);

/**
 * cf_match() - find the queue of a request
 * @host: host name of the request, with or without a port
 * @path: path of the request; the longest prefix wins
 *
 * Return: borrowed until the next cf_apply(), NULL when no queue matches.
 */
const struct pd_queue *cf_match(
    const struct cf *c, const char *host, const char *path);

/** cf_evacuated() - whether an availability zone is evacuated: its workers get
 * no tasks */
bool cf_evacuated(const struct cf *c, const char *az);

#endif
