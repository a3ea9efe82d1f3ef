#ifndef STATE_IMPL_H
#define STATE_IMPL_H

#include <glib.h>
#include <jansson.h>

#include "pd.h"
#include "state.h"

/**
 * DOC: parts of cs that state.c and state_snapshot.c share
 *
 * Tables are ordered by name; the first member of each item is its name.
 */

/** CS_RECENT - change ids remembered, to recognise a repeated change */
#define CS_RECENT 256

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

/** struct cs_recent - a change id and where it is in the log */
struct cs_recent {
	char *change_id;
	uint64_t revision;
};

struct cs {
	uint64_t revision;
	uint64_t view;
	GArray *members;      /* struct cs_member, ordered by name */
	GArray *before;       /* the list before the change at view, without
				 those that the change shows to have exited */
	size_t consents;      /* how many it shows to have exited */
	GPtrArray *azs;       /* struct cs_az */
	GPtrArray *endpoints; /* struct cs_endpoint */
	GPtrArray *teams;     /* struct cs_team */
	GPtrArray *rules;     /* struct cs_rule */
	GArray *recent;       /* struct cs_recent, oldest first */
	int owner[PD_PARTITIONS];
};

/** struct cs_why - where the text of a refusal goes */
struct cs_why {
	char *text;
	size_t size;
};

/**
 * struct cs_kind - a kind of change
 *
 * check() decides whether the change is allowed in a state;
 * apply() carries out a change that check() let pass.
 */
struct cs_kind {
	const char *name;
	enum cs_error (*check)(
	    const struct cs *, const json_t *, const struct cs_why *);
	void (*apply)(struct cs *, const json_t *);
	bool list; /* changes the list of entries */
	/* Whether the change shows that a listed entry has exited. */
	bool (*consents)(const json_t *, const char *name);
};

/** cs_refuse() - set the text of a refusal and return its error */
enum cs_error cs_refuse(const struct cs_why *why, enum cs_error error,
    const char *fmt, ...) __attribute__((format(printf, 3, 4)));

/** cs_check_change() - kind of a change and whether it is allowed */
enum cs_error cs_check_change(const struct cs *s, const json_t *c,
    const struct cs_kind **kind, const struct cs_why *why);

/** cs_name_of() - text of 1 to PD_NAME_MAX bytes, else NULL; borrowed */
const char *cs_name_of(const json_t *c, const char *key);

/** cs_find() - item of a table by name, borrowed; NULL if there is none */
void *cs_find(const GPtrArray *table, const char *name);

/** cs_put() - add an item, in place of one with its name; consumes @item */
void cs_put(GPtrArray *table, void *item, GDestroyNotify release);

/** cs_drop() - remove an item of a table */
void cs_drop(GPtrArray *table, const char *name);

/** cs_tables_new() - empty tables */
void cs_tables_new(struct cs *s);

/** cs_tables_free() - free the tables */
void cs_tables_free(struct cs *s);

/** cs_az_new() - zone from its name or object; NULL when malformed */
struct cs_az *cs_az_new(const json_t *j);

/** cs_endpoint_new() - endpoint from its object; NULL when malformed */
struct cs_endpoint *cs_endpoint_new(const json_t *j);

/** cs_team_new() - team from its object; NULL when malformed */
struct cs_team *cs_team_new(const json_t *j);

/** cs_rule_new() - rule from its object; NULL when malformed */
struct cs_rule *cs_rule_new(const json_t *j);

/** cs_table() - table of objects of a JSON list; NULL when malformed */
GPtrArray *cs_table(
    const json_t *list, void *(*make)(const json_t *), GDestroyNotify release);

/** cs_restore_tables() - replace the tables by those of a snapshot */
enum cs_error cs_restore_tables(struct cs *s, const json_t *state);

void cs_az_free(void *az);
void cs_endpoint_free(void *endpoint);
void cs_team_free(void *team);
void cs_rule_free(void *rule);
void cs_member_clear(void *member);
void cs_recent_clear(void *recent);

/** cs_member_list() - empty list of members */
GArray *cs_member_list(void);

/** cs_member_add() - add a copy in the order of the names */
void cs_member_add(GArray *list, const char *name, uint64_t incarnation,
    const char *address, const char *az);

/** cs_note_change() - remember a change id */
void cs_note_change(struct cs *s, const char *change_id, uint64_t revision);

/** cs_elect() - compute the owner of each partition from the list */
void cs_elect(struct cs *s);

#endif
