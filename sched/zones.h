#ifndef ZONES_H
#define ZONES_H

#include <stdbool.h>
#include <stdint.h>

#include "pd.h"

/**
 * DOC: zn - zones that are out, as an agent hears from all of its entries
 *
 * An entry that is cut off from the store and the other entries does not hear
 * of an evacuation, and goes on granting. Its agents hear of it from the other
 * entries, and decide by the newest revision. They also know until when the
 * zone was certainly in use: an evacuation is newer than the last confirmation
 * that there is none, so starts may go on for the time that operators allow,
 * counted from there, in which clients can move to other entries.
 */
struct zn;
struct ck;

/**
 * zn_new() - nothing is known, and no zone counts as out; owned
 * @evacuate_ms: time after an evacuation from which nothing may start
 */
struct zn *zn_new(const struct ck *clock, unsigned evacuate_ms);

/** zn_free() - consumed, NULL is allowed */
void zn_free(struct zn *z);

/** zn_set_az() - set the availability zone of the endpoint; copied */
void zn_set_az(struct zn *z, const char *az);

/** zn_apply() - handle the zones that an entry has sent; copied. Return:
 * whether they are newer than those that were known */
bool zn_apply(struct zn *z, const struct pd_zones *zones);

/**
 * zn_confirm() - handle what an entry knew when it answered a heartbeat
 * @asked_ms: when the heartbeat was sent
 * @known: of no effect if it is older than the zones that are known here
 */
void zn_confirm(
    struct zn *z, uint64_t asked_ms, const struct pd_zones_known *known);

/** zn_age_ms() - time since the zones were last confirmed, or since zn_new() */
unsigned zn_age_ms(const struct zn *z);

/** zn_state() - state of the availability zone of the endpoint now */
enum pd_zone_state zn_state(const struct zn *z);

/** zn_revision() - of the zones that are known, 0 for none */
uint64_t zn_revision(const struct zn *z);

#endif
