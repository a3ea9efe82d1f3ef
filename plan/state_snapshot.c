#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "state_impl.h"

static json_t *
members_json(const GArray *list)
{
	const struct cs_member *m;
	json_t *out;
	char incarnation[17];
	guint i;

	out = json_array();
	for (i = 0; i < list->len; i++) {
		m = &g_array_index(list, struct cs_member, i);
		g_snprintf(incarnation, sizeof(incarnation), "%" PRIx64,
		    m->incarnation);
		json_array_append_new(out,
		    json_pack("{s:s, s:s, s:s, s:s}", "name", m->name,
			"incarnation", incarnation, "address", m->address, "az",
			m->az));
	}
	return (out);
}

static json_t *
az_json(const void *item)
{
	const struct cs_az *z = item;

	return (json_pack("{s:s, s:b}", "name", z->name, "out", (int)z->out));
}

static json_t *
endpoint_json(const void *item)
{
	const struct cs_endpoint *e = item;

	return (json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:b}", "name",
	    e->name, "az", e->az, "service", e->service, "worker", e->worker,
	    "owner", e->owner, "slots", (int)e->slots, "retired",
	    (int)e->retired));
}

static json_t *
team_json(const void *item)
{
	const struct cs_team *t = item;

	return (json_pack("{s:s, s:i, s:i}", "name", t->name, "weight",
	    (int)t->weight, "max_running", (int)t->max_running));
}

static json_t *
rule_json(const void *item)
{
	const struct cs_rule *r = item;

	return (json_pack("{s:s, s:s, s:s, s:s, s:b}", "name", r->name, "team",
	    r->team, "service", r->service, "az", r->az, "allow",
	    (int)r->allow));
}

static json_t *
table_json(const GPtrArray *table, json_t *(*to_json)(const void *))
{
	json_t *out;
	guint i;

	out = json_array();
	for (i = 0; i < table->len; i++)
		json_array_append_new(out, to_json(table->pdata[i]));
	return (out);
}

static json_t *
recent_json(const GArray *recent_changes)
{
	const struct cs_recent_change *r;
	json_t *out;
	guint i;

	out = json_array();
	for (i = 0; i < recent_changes->len; i++) {
		r = &g_array_index(recent_changes, struct cs_recent_change, i);
		json_array_append_new(out,
		    json_pack("[s, I]", r->change_id, (json_int_t)r->revision));
	}
	return (out);
}

char *
cs_snapshot(const struct cs *s)
{
	json_t *j;
	char *text;

	j = json_pack("{s:I, s:{s:I, s:I, s:o, s:o, s:o, s:o, s:o, s:o, s:o}}",
	    "revision", (json_int_t)s->revision, "state", "view",
	    (json_int_t)s->view, "consents", (json_int_t)s->previous_exited,
	    "members", members_json(s->members), "before",
	    members_json(s->previous_members), "azs",
	    table_json(s->azs, az_json), "endpoints",
	    table_json(s->endpoints, endpoint_json), "teams",
	    table_json(s->teams, team_json), "rules",
	    table_json(s->rules, rule_json), "recent",
	    recent_json(s->recent_changes));
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return (text);
}

static GArray *
restore_members(const json_t *list)
{
	const char *name, *incarnation, *address, *az;
	const json_t *j;
	GArray *out;
	size_t i;

	out = cs_member_list_new();
	if (!json_is_array(list))
		goto fail;
	json_array_foreach(list, i, j)
	{
		name = json_string_value(json_object_get(j, "name"));
		incarnation =
		    json_string_value(json_object_get(j, "incarnation"));
		address = json_string_value(json_object_get(j, "address"));
		az = json_string_value(json_object_get(j, "az"));
		if (name == NULL || incarnation == NULL || address == NULL ||
		    az == NULL)
			goto fail;
		cs_member_list_insert(out, name,
		    g_ascii_strtoull(incarnation, NULL, 16), address, az);
	}
	return (out);
fail:
	g_array_free(out, TRUE);
	return (NULL);
}

static void
restore_recent(struct cs *s, const json_t *recent_changes)
{
	const json_t *j;
	const char *change_id;
	size_t i;

	g_array_set_size(s->recent_changes, 0);
	json_array_foreach(recent_changes, i, j)
	{
		change_id = json_string_value(json_array_get(j, 0));
		if (change_id != NULL)
			cs_add_recent_change(s, change_id,
			    (uint64_t)json_integer_value(json_array_get(j, 1)));
	}
}

enum cs_error
cs_restore(struct cs *s, const char *json)
{
	enum cs_error result;
	GArray *members, *previous_members;
	json_t *j, *state;

	result = CS_MALFORMED;
	members = previous_members = NULL;
	j = json_loads(json, 0, NULL);
	state = json_object_get(j, "state");
	if (!json_is_integer(json_object_get(j, "revision")) ||
	    !json_is_integer(json_object_get(state, "view")))
		goto out;
	members = restore_members(json_object_get(state, "members"));
	previous_members = restore_members(json_object_get(state, "before"));
	if (members == NULL || previous_members == NULL)
		goto out;
	result = cs_restore_tables(s, state);
	if (result != CS_OK)
		goto out;
	s->revision =
	    (uint64_t)json_integer_value(json_object_get(j, "revision"));
	s->view = (uint64_t)json_integer_value(json_object_get(state, "view"));
	s->previous_exited =
	    (size_t)json_integer_value(json_object_get(state, "consents"));
	g_array_free(s->members, TRUE);
	s->members = g_steal_pointer(&members);
	g_array_free(s->previous_members, TRUE);
	s->previous_members = g_steal_pointer(&previous_members);
	restore_recent(s, json_object_get(state, "recent"));
	cs_assign_partitions(s);
out:
	if (members != NULL)
		g_array_free(members, TRUE);
	if (previous_members != NULL)
		g_array_free(previous_members, TRUE);
	json_decref(j);
	return (result);
}
