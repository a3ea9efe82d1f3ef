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
