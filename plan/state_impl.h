#ifndef STATE_IMPL_H
#define STATE_IMPL_H

#include <glib.h>
#include <jansson.h>

#include "pd.h"
#include "state.h"

/**
 * DOC: cs - internals: declarations that the files state*.c share
 *
 * Tables are ordered by name; the first member of each item is its name.
 */

/** CS_RECENT_CHANGES_MAX - change ids kept, to reject a repeated change */
#define CS_RECENT_CHANGES_MAX 256

/** struct cs_az - an availability zone */
struct cs_az {
	char *name;
	bool out;
};

/** struct cs_rule - a rule; an empty field matches everything */
struct cs_rule {
	char *name;
	char *team;
	char *service;
	char *az;
	bool allow;
};

/** struct cs_recent_change - id and revision of a change that took effect */
struct cs_recent_change {
	char *change_id;
	uint64_t revision;
};

struct cs {
	uint64_t revision;
	uint64_t view;            /* revision of the last change to members */
	GArray *members;          /* struct cs_member, ordered by name */
	GArray *previous_members; /* members before the change at view, except
				     those that it shows to have exited */
	size_t previous_exited;   /* number of these exceptions */
	GPtrArray *azs;           /* struct cs_az */
	GPtrArray *endpoints;     /* struct cs_endpoint */
	GPtrArray *teams;         /* struct cs_team */
	GPtrArray *rules;         /* struct cs_rule */
	GArray *recent_changes;   /* struct cs_recent_change, oldest first */
	int owner[PD_PARTITIONS]; /* index in members, -1 for none */
};

/** struct cs_error_text - buffer for the reason why a change is rejected */
struct cs_error_text {
	char *text;
	size_t size;
};

/**
 * struct cs_change_kind - a kind of change
 * @name: value of "kind"
 * @check: decides whether the change is allowed in a state
 * @apply: applies a change that @check allowed
 * @changes_members: whether it changes the list of entries
 * @has_exited: whether the change shows that a registered entry has exited;
 *     NULL if it never does
 */
struct cs_change_kind {
	const char *name;
	enum cs_error (*check)(
	    const struct cs *, const json_t *, const struct cs_error_text *);
	void (*apply)(struct cs *, const json_t *);
	bool changes_members;
	bool (*has_exited)(const json_t *, const char *name);
};

/** cs_reject() - format the reason of a rejection; returns @error */
enum cs_error cs_reject(const struct cs_error_text *reason, enum cs_error error,
    const char *fmt, ...) __attribute__((format(printf, 3, 4)));

/** cs_check_change() - set @kind and check whether the change is allowed */
enum cs_error cs_check_change(const struct cs *s, const json_t *c,
    const struct cs_change_kind **kind, const struct cs_error_text *reason);

/**
 * cs_json_name() - string field of 1 to PD_NAME_MAX bytes
 *
 * Return: borrowed text, NULL when the field is missing or malformed.
 */
const char *cs_json_name(const json_t *c, const char *key);

/** cs_table_find() - item by name, borrowed; NULL if there is none */
void *cs_table_find(const GPtrArray *table, const char *name);

/**
 * cs_table_put() - add an item or replace the one with its name
 * @item: consumed
 * @free_item: frees the replaced item
 */
void cs_table_put(GPtrArray *table, void *item, GDestroyNotify free_item);

/** cs_table_remove() - remove and free an item, if it is there */
void cs_table_remove(GPtrArray *table, const char *name);

/** cs_tables_new() - create empty tables */
void cs_tables_new(struct cs *s);

/** cs_tables_free() - free the tables */
void cs_tables_free(struct cs *s);

/** cs_az_from_json() - zone from its name or object; NULL when malformed */
struct cs_az *cs_az_from_json(const json_t *j);

/** cs_endpoint_from_json() - endpoint from its object; NULL when malformed */
struct cs_endpoint *cs_endpoint_from_json(const json_t *j);

/** cs_team_from_json() - team from its object; NULL when malformed */
struct cs_team *cs_team_from_json(const json_t *j);

/** cs_rule_from_json() - rule from its object; NULL when malformed */
struct cs_rule *cs_rule_from_json(const json_t *j);

/**
 * cs_table_from_json() - table of the items of a JSON array
 * @list: array; NULL gives an empty table
 * @from_json: makes an item, NULL when it is malformed
 * @free_item: frees an item
 *
 * Return: NULL when @list or an item is malformed or a name occurs twice.
 */
GPtrArray *cs_table_from_json(const json_t *list,
    void *(*from_json)(const json_t *), GDestroyNotify free_item);

/**
 * cs_restore_tables() - replace all tables by those of a snapshot
 *
 * Return: CS_OK, or CS_MALFORMED with the tables unchanged.
 */
enum cs_error cs_restore_tables(struct cs *s, const json_t *state);

void cs_az_free(void *az);
void cs_endpoint_free(void *endpoint);
void cs_team_free(void *team);
void cs_rule_free(void *rule);
void cs_member_clear(void *member);
void cs_recent_change_clear(void *recent_change);

/** cs_member_list_new() - empty array of struct cs_member */
GArray *cs_member_list_new(void);

/** cs_member_list_insert() - insert a copy, in order of the names */
void cs_member_list_insert(GArray *list, const char *name, uint64_t incarnation,
    const char *address, const char *az);

/** cs_add_recent_change() - append a change; drops the oldest when full */
void cs_add_recent_change(
    struct cs *s, const char *change_id, uint64_t revision);

/** cs_assign_partitions() - compute the owner of each partition */
void cs_assign_partitions(struct cs *s);

#endif
