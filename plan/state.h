#ifndef STATE_H
#define STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: cs - cell state at a revision: the inventory and the registered entries
 *
 * The state depends on the change log alone. A change is a JSON object with
 * "change_id", "by" (who wrote it), "kind" and the fields of its kind:
 *
 *	az_out, az_in			az
 *	endpoint_put			name, az, service, worker, owner, slots
 *	endpoint_retire, endpoint_restore, endpoint_delete	name
 *	team_put			name, weight, max_running
 *	rule_put			name, team, service, az, allow
 *	rule_delete			name
 *	inventory_put			endpoints, azs, teams, rules
 *	entry_add			name, incarnation, address, az
 *	entry_leave, entry_remove	name, incarnation
 *	entry_replace			name, incarnation, previous
 *	entries_forget			names
 *
 * inventory_put replaces all four lists. A zone that is out of service stays
 * out of service. A retired endpoint stays retired, unless its new description
 * has a field "retired". An item of azs is a name, or an object with "name" and
 * "out".
 *
 * A rule field that is absent or empty matches everything. The first matching
 * rule in the order of the names decides; without one the work is allowed.
 *
 * Incarnations are hexadecimal strings, since JSON numbers lose precision above
 * 2^53.
 */
struct cs;

enum cs_error {
	CS_OK = 0,
	CS_MALFORMED, /* not JSON, or a field is missing or has a wrong type */
	CS_GAP,       /* not the revision after the current one */
	CS_INVALID,   /* well-formed, but not allowed in this state */
};

/** struct cs_member - a registered entry */
struct cs_member {
	char *name;
	uint64_t incarnation;
	char *address; /* "IP:port" of its RPC listener */
	char *az;
};

/** struct cs_endpoint - an endpoint of the inventory */
struct cs_endpoint {
	char *name;
	char *az;
	char *service;
	char *worker;
	char *owner; /* team */
	unsigned slots;
	bool retired;
};

/** struct cs_team - a team and its quota */
struct cs_team {
	char *name;
	unsigned weight;      /* share under contention */
	unsigned max_running; /* tasks at a time, 0 for no limit */
};

/** cs_new() - empty state at revision 0; released with cs_free() */
struct cs *cs_new(void);

/** cs_free() - free a state; consumed, NULL is allowed */
void cs_free(struct cs *s);

/**
 * cs_apply() - apply the next change of the log
 * @s: state
 * @revision: revision of the change; must be cs_revision() + 1
 * @json: text of the change
 * @error: set to the reason when the result is not CS_OK
 * @error_size: bytes at @error, 0 for none
 *
 * A CS_INVALID or CS_MALFORMED change only advances the revision, so that
 * all entries that read the log reach the same state.
 */
enum cs_error cs_apply(struct cs *s, uint64_t revision, const char *json,
    char *error, size_t error_size);

/** cs_check() - result that cs_apply() would have, without applying */
enum cs_error cs_check(
    const struct cs *s, const char *json, char *error, size_t error_size);

/**
 * cs_snapshot() - state as JSON text {"revision", "state"}, released with
 * free()
 */
char *cs_snapshot(const struct cs *s);

/**
 * cs_restore() - replace the state by a snapshot
 *
 * Return: CS_OK, or CS_MALFORMED with the state unchanged.
 */
enum cs_error cs_restore(struct cs *s, const char *json);

/** cs_revision() - revision of the last applied change */
uint64_t cs_revision(const struct cs *s);

/** cs_view() - revision of the last change to the list of entries */
uint64_t cs_view(const struct cs *s);

/** cs_members() - registered entries ordered by name, borrowed */
const struct cs_member *cs_members(const struct cs *s, size_t *n);

/**
 * cs_previous_members() - entries of the list before the change at cs_view()
 * @n: number of entries returned
 * @exited: number of entries of that list that are not returned, since the
 *     change itself shows that they have exited: a replaced predecessor or
 *     forgotten entries
 *
 * The change is accepted by a vote of all @n + @exited entries, in which
 * the exited ones count as consenting.
 *
 * Return: borrowed array, ordered by name.
 */
const struct cs_member *cs_previous_members(
    const struct cs *s, size_t *n, size_t *exited);

/**
 * cs_change_revision() - revision of a change by its id
 *
 * Return: the revision if it is one of the last 256 changes that took effect,
 * else 0.
 */
uint64_t cs_change_revision(const struct cs *s, const char *change_id);

/**
 * cs_owner() - entry that owns a partition
 *
 * Return: borrowed member, NULL when no entry is registered.
 */
const struct cs_member *cs_owner(const struct cs *s, unsigned partition);

/** cs_az_in_service() - whether a zone is in service; true if it is unknown */
bool cs_az_in_service(const struct cs *s, const char *az);

/** cs_endpoint() - endpoint by name, NULL if not in the inventory */
const struct cs_endpoint *cs_endpoint(const struct cs *s, const char *name);

/**
 * cs_endpoint_in_service() - whether an endpoint is in the inventory, is not
 * retired and its zone is in service
 */
bool cs_endpoint_in_service(const struct cs *s, const char *name);

/** cs_endpoints() - all endpoints ordered by name, borrowed */
const struct cs_endpoint *const *cs_endpoints(const struct cs *s, size_t *n);

/** cs_team() - team by name, NULL if unknown */
const struct cs_team *cs_team(const struct cs *s, const char *name);

/** cs_teams() - all teams ordered by name, borrowed */
const struct cs_team *const *cs_teams(const struct cs *s, size_t *n);

/**
 * cs_allowed() - whether rules let a team's work for a service run in a zone
 * @rule: set to the name of the rule that forbids it, borrowed; may be NULL
 */
bool cs_allowed(const struct cs *s, const char *team, const char *service,
    const char *az, const char **rule);

#endif
