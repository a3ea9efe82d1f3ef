#ifndef STATE_H
#define STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: cs - state of a cell at a revision: configuration and registered entries
 *
 * The state is a pure function of the change log. A change is a JSON object
 * with "change_id", "by" (who wrote it), "kind" and the fields of its kind:
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
 * out and a retired endpoint stays retired, unless the endpoint's description
 * has "retired". An item of azs is a name, or an object with "name" and "out".
 *
 * A rule field that is absent or empty matches everything. The first matching
 * rule in the order of the names decides; without one the work is allowed.
 *
 * Incarnations are written as hexadecimal strings, since JSON numbers lose
 * bits above 2^53.
 */
struct cs;

enum cs_error {
	CS_OK = 0,
	CS_MALFORMED, /* not JSON, or a field is missing or has a wrong type */
	CS_GAP,       /* the revision is not the next one */
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

/** cs_new() - state at revision 0, owned */
struct cs *cs_new(void);

/** cs_free() - free a state; consumed, NULL is allowed */
void cs_free(struct cs *s);

/**
 * cs_apply() - apply the next change of the log
 * @s: state
 * @revision: revision of the change; must be cs_revision() + 1
 * @json: text of the change
 * @error: text of the reason when the result is not CS_OK
 * @error_size: bytes at @error
 *
 * A CS_INVALID or CS_MALFORMED change in the log still advances the revision
 * and changes nothing else, so that every entry stays at the same state.
 */
enum cs_error cs_apply(struct cs *s, uint64_t revision, const char *json,
    char *error, size_t error_size);

/** cs_check() - what cs_apply() would answer, without applying */
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

/** cs_view() - revision of the last change of the list of entries */
uint64_t cs_view(const struct cs *s);

/** cs_members() - registered entries ordered by name, borrowed */
const struct cs_member *cs_members(const struct cs *s, size_t *n);

/**
 * cs_previous_members() - the list before the change at cs_view(), borrowed
 * @n: number of entries returned
 * @consents: number of further entries of that list, which the change shows to
 *     have exited (a replaced predecessor, forgotten entries)
 *
 * The change is accepted by that list of @n + @consents entries.
 */
const struct cs_member *cs_previous_members(
    const struct cs *s, size_t *n, size_t *consents);

/**
 * cs_change_revision() - where a change is in the log
 *
 * Return: revision of the change among the last 256 that took effect, else 0.
 */
uint64_t cs_change_revision(const struct cs *s, const char *change_id);

/**
 * cs_owner() - owner of a partition
 *
 * Return: borrowed member, NULL when no entry is registered.
 */
const struct cs_member *cs_owner(const struct cs *s, unsigned partition);

/** cs_az_in_service() - whether an availability zone is in service; true if
 * unknown */
bool cs_az_in_service(const struct cs *s, const char *az);

/** cs_endpoint() - endpoint by name, NULL if not in the inventory */
const struct cs_endpoint *cs_endpoint(const struct cs *s, const char *name);

/**
 * cs_endpoint_in_service() - in the inventory, not retired, its zone is in
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
 * @rule: set to the name of the rule that forbids it when not NULL, borrowed
 */
bool cs_allowed(const struct cs *s, const char *team, const char *service,
    const char *az, const char **rule);

#endif
