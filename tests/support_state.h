#ifndef SUPPORT_STATE_H
#define SUPPORT_STATE_H

#include "state.h"

/**
 * DOC: ss - cell states for tests, made change by change
 */

/** ss_az() - put an availability zone in or out of service */
void ss_az(struct cs *s, const char *az, bool in);

/** ss_endpoint() - add an endpoint to the inventory */
void ss_endpoint(struct cs *s, const char *name, const char *az,
    const char *service, unsigned slots);

/** ss_retire() - retire an endpoint */
void ss_retire(struct cs *s, const char *name);

/** ss_team() - add or change a team */
void ss_team(
    struct cs *s, const char *name, unsigned weight, unsigned max_running);

/** ss_forbid() - forbid a team to use a service in a zone, "" for any */
void ss_forbid(struct cs *s, const char *rule, const char *team,
    const char *service, const char *az);

#endif
