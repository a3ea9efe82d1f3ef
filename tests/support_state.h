#ifndef SUPPORT_STATE_H
#define SUPPORT_STATE_H

#include "state.h"

/**
 * DOC: ss - support for tests: cell states built change by change
 */

/** ss_set_az() - put an availability zone in or out of service */
void ss_set_az(struct cs *s, const char *az, bool in);

/** ss_put_endpoint() - add or change an endpoint of team "lids" */
void ss_put_endpoint(struct cs *s, const char *name, const char *az,
    const char *service, unsigned slots);

/** ss_retire_endpoint() - retire an endpoint */
void ss_retire_endpoint(struct cs *s, const char *name);

/** ss_put_team() - add or change a team */
void ss_put_team(
    struct cs *s, const char *name, unsigned weight, unsigned max_running);

/**
 * ss_put_forbid_rule() - forbid a team to use a service in a zone
 * @rule: name of the rule
 * @team: "" for any
 * @service: "" for any
 * @az: "" for any
 */
void ss_put_forbid_rule(struct cs *s, const char *rule, const char *team,
    const char *service, const char *az);

#endif
