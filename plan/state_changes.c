#include <inttypes.h>
#include <stdarg.h>
#include <string.h>

#include "state_impl.h"

enum cs_error __attribute__((format(printf, 3, 4)))
cs_reject(const struct cs_error_text *reason, enum cs_error error,
    const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	if (reason->size > 0)
		g_vsnprintf(reason->text, reason->size, fmt, ap);
	va_end(ap);
	return (error);
}

static enum cs_error
reject_malformed(const struct cs_error_text *reason, const char *what)
{
	return (
	    cs_reject(reason, CS_MALFORMED, "%s: missing or malformed", what));
}

const char *
cs_json_name(const json_t *c, const char *key)
{
	const char *text;

	text = json_string_value(json_object_get(c, key));
	if (text == NULL || *text == '\0' || strlen(text) > PD_NAME_MAX)
		return (NULL);
	return (text);
}

/* Parses the hexadecimal text of a nonzero 64-bit number. */
static bool
parse_incarnation(const json_t *c, const char *key, uint64_t *out)
{
	const char *text;
	char *end;

	text = cs_json_name(c, key);
	if (text == NULL || !g_ascii_isxdigit(*text) || strlen(text) > 16)
		return (false);
	*out = g_ascii_strtoull(text, &end, 16);
	return (*end == '\0' && *out != 0);
}

static const struct cs_member *
find_member(const struct cs *s, const char *name)
{
	const struct cs_member *m;
	guint i;

	for (i = 0; i < s->members->len; i++) {
		m = &g_array_index(s->members, struct cs_member, i);
		if (strcmp(m->name, name) == 0)
			return (m);
	}
	return (NULL);
}

static void
remove_member(struct cs *s, const char *name)
{
	guint i;

	for (i = 0; i < s->members->len; i++) {
		if (strcmp(g_array_index(s->members, struct cs_member, i).name,
			name) == 0) {
			g_array_remove_index(s->members, i);
			return;
		}
	}
}

/* A zone is known by the inventory's list of zones, by an entry or by an
 * endpoint. */
static bool
is_known_az(const struct cs *s, const char *az)
{
	guint i;

	if (cs_table_find(s->azs, az) != NULL)
		return (true);
	for (i = 0; i < s->members->len; i++) {
		if (strcmp(g_array_index(s->members, struct cs_member, i).az,
			az) == 0)
			return (true);
	}
	for (i = 0; i < s->endpoints->len; i++) {
		if (strcmp(((struct cs_endpoint *)s->endpoints->pdata[i])->az,
			az) == 0)
			return (true);
	}
	return (false);
}

static enum cs_error
check_az(
    const struct cs *s, const json_t *c, const struct cs_error_text *reason)
{
	const char *az;

	az = cs_json_name(c, "az");
	if (az == NULL)
		return (reject_malformed(reason, "az"));
	if (!is_known_az(s, az))
		return (cs_reject(
		    reason, CS_INVALID, "availability zone %s is unknown", az));
	return (CS_OK);
}

static void
set_az_out(struct cs *s, const char *name, bool out)
{
	struct cs_az *az;

	az = cs_table_find(s->azs, name);
	if (az == NULL) {
		az = g_new0(struct cs_az, 1);
		az->name = g_strdup(name);
		cs_table_put(s->azs, az, cs_az_free);
	}
	az->out = out;
}

static void
apply_az_out(struct cs *s, const json_t *c)
{
	set_az_out(s, cs_json_name(c, "az"), true);
}

static void
apply_az_in(struct cs *s, const json_t *c)
{
	set_az_out(s, cs_json_name(c, "az"), false);
}

static enum cs_error
check_endpoint_exists(
    const struct cs *s, const json_t *c, const struct cs_error_text *reason)
{
	const char *name;

	name = cs_json_name(c, "name");
	if (name == NULL)
		return (reject_malformed(reason, "name"));
	if (cs_table_find(s->endpoints, name) == NULL)
		return (cs_reject(reason, CS_INVALID,
		    "endpoint %s is not in the inventory", name));
	return (CS_OK);
}

static void
apply_endpoint_retire(struct cs *s, const json_t *c)
{
	((struct cs_endpoint *)cs_table_find(
	     s->endpoints, cs_json_name(c, "name")))
	    ->retired = true;
}

static void
apply_endpoint_restore(struct cs *s, const json_t *c)
{
	((struct cs_endpoint *)cs_table_find(
	     s->endpoints, cs_json_name(c, "name")))
	    ->retired = false;
}

static void
apply_endpoint_delete(struct cs *s, const json_t *c)
{
	cs_table_remove(s->endpoints, cs_json_name(c, "name"));
}

/* make_*() have the type that cs_table_from_json() calls. */
static void *
make_endpoint(const json_t *j)
{
	return (cs_endpoint_from_json(j));
}

static void *
make_team(const json_t *j)
{
	return (cs_team_from_json(j));
}

static void *
make_rule(const json_t *j)
{
	return (cs_rule_from_json(j));
}

/* Whether the fields of a change form a valid item of a table. */
static enum cs_error
check_table_item(const json_t *c, void *(*from_json)(const json_t *),
    GDestroyNotify free_item, const char *what,
    const struct cs_error_text *reason)
{
	void *item;

	item = from_json(c);
	if (item == NULL)
		return (reject_malformed(reason, what));
	free_item(item);
	return (CS_OK);
}

static enum cs_error
check_endpoint_put(
    const struct cs *s, const json_t *c, const struct cs_error_text *reason)
{
	(void)s;
	return (check_table_item(
	    c, make_endpoint, cs_endpoint_free, "endpoint", reason));
}

/* An endpoint keeps its "retired" flag unless the new description sets it. */
static void
inherit_retired(const GPtrArray *table, struct cs_endpoint *updated,
    const json_t *description)
{
	const struct cs_endpoint *old;

	old = cs_table_find(table, updated->name);
	if (old != NULL && json_object_get(description, "retired") == NULL)
		updated->retired = old->retired;
}

static void
apply_endpoint_put(struct cs *s, const json_t *c)
{
	struct cs_endpoint *e;

	e = cs_endpoint_from_json(c);
	inherit_retired(s->endpoints, e, c);
	cs_table_put(s->endpoints, e, cs_endpoint_free);
}

static enum cs_error
check_team_put(
    const struct cs *s, const json_t *c, const struct cs_error_text *reason)
{
	(void)s;
	return (check_table_item(c, make_team, cs_team_free, "team", reason));
}

static void
apply_team_put(struct cs *s, const json_t *c)
{
	cs_table_put(s->teams, cs_team_from_json(c), cs_team_free);
}

static enum cs_error
check_rule_put(
    const struct cs *s, const json_t *c, const struct cs_error_text *reason)
{
	(void)s;
	return (check_table_item(c, make_rule, cs_rule_free, "rule", reason));
}

static void
apply_rule_put(struct cs *s, const json_t *c)
{
	cs_table_put(s->rules, cs_rule_from_json(c), cs_rule_free);
}

static enum cs_error
check_rule_delete(
    const struct cs *s, const json_t *c, const struct cs_error_text *reason)
{
	const char *name;

	name = cs_json_name(c, "name");
	if (name == NULL)
		return (reject_malformed(reason, "name"));
	if (cs_table_find(s->rules, name) == NULL)
		return (
		    cs_reject(reason, CS_INVALID, "rule %s is unknown", name));
	return (CS_OK);
}

static void
apply_rule_delete(struct cs *s, const json_t *c)
{
	cs_table_remove(s->rules, cs_json_name(c, "name"));
}

static void *
make_az(const json_t *j)
{
	return (cs_az_from_json(j));
}

/* The tables of an inventory and of a snapshot. */
static const struct {
	const char *key;
	void *(*from_json)(const json_t *);
	GDestroyNotify free_item;
	size_t offset;
} tables[] = {
    {"azs", make_az, cs_az_free, offsetof(struct cs, azs)},
    {"endpoints", make_endpoint, cs_endpoint_free,
	offsetof(struct cs, endpoints)},
    {"teams", make_team, cs_team_free, offsetof(struct cs, teams)},
    {"rules", make_rule, cs_rule_free, offsetof(struct cs, rules)},
};

static GPtrArray **
table_of(struct cs *s, size_t i)
{
	return ((GPtrArray **)(void *)((char *)s + tables[i].offset));
}

static enum cs_error
check_inventory_put(
    const struct cs *s, const json_t *c, const struct cs_error_text *reason)
{
	GPtrArray *table;
	size_t i;

	(void)s;
	for (i = 0; i < G_N_ELEMENTS(tables); i++) {
		table = cs_table_from_json(json_object_get(c, tables[i].key),
		    tables[i].from_json, tables[i].free_item);
		if (table == NULL)
			return (reject_malformed(reason, tables[i].key));
		g_ptr_array_free(table, TRUE);
	}
	return (CS_OK);
}

/*
 * A zone that is out of service stays out, also when the new inventory does
 * not list it: only az_in may let work start there again.
 */
static void
inherit_azs_out(const GPtrArray *old, GPtrArray *updated)
{
	const struct cs_az *old_az;
	struct cs_az *new_az;
	guint i;

	for (i = 0; i < old->len; i++) {
		old_az = old->pdata[i];
		if (!old_az->out)
			continue;
		new_az = cs_table_find(updated, old_az->name);
		if (new_az == NULL) {
			new_az = g_new0(struct cs_az, 1);
			new_az->name = g_strdup(old_az->name);
			cs_table_put(updated, new_az, cs_az_free);
		}
		new_az->out = true;
	}
}

static void
inherit_all_retired(
    const GPtrArray *old, const GPtrArray *updated, const json_t *c)
{
	const json_t *description;
	size_t i;

	json_array_foreach(json_object_get(c, "endpoints"), i, description)
	{
		inherit_retired(old,
		    cs_table_find(updated, cs_json_name(description, "name")),
		    description);
	}
}

static void
apply_inventory_put(struct cs *s, const json_t *c)
{
	GPtrArray *updated, **at;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(tables); i++) {
		updated = cs_table_from_json(json_object_get(c, tables[i].key),
		    tables[i].from_json, tables[i].free_item);
		at = table_of(s, i);
		if (*at == s->azs)
			inherit_azs_out(*at, updated);
		if (*at == s->endpoints)
			inherit_all_retired(*at, updated, c);
		g_ptr_array_free(*at, TRUE);
		*at = updated;
	}
}

static enum cs_error
check_entry_registered(
    const struct cs *s, const json_t *c, const struct cs_error_text *reason)
{
	const struct cs_member *m;
	const char *name;
	uint64_t incarnation;

	name = cs_json_name(c, "name");
	if (name == NULL)
		return (reject_malformed(reason, "name"));
	if (!parse_incarnation(c, "incarnation", &incarnation))
		return (reject_malformed(reason, "incarnation"));
	m = find_member(s, name);
	if (m == NULL || m->incarnation != incarnation)
		return (cs_reject(reason, CS_INVALID,
		    "entry %s with that incarnation is not registered", name));
	return (CS_OK);
}

static void
apply_entry_remove(struct cs *s, const json_t *c)
{
	remove_member(s, cs_json_name(c, "name"));
}

/* A new entry may not share its name, address or incarnation with a registered
 * one. A NULL name or address is not checked. */
static enum cs_error
check_entry_new(const struct cs *s, const char *name, const char *address,
    uint64_t incarnation, const struct cs_error_text *reason)
{
	const struct cs_member *m;
	guint i;

	for (i = 0; i < s->members->len; i++) {
		m = &g_array_index(s->members, struct cs_member, i);
		if (name != NULL && strcmp(m->name, name) == 0)
			return (cs_reject(reason, CS_INVALID,
			    "entry %s is already registered", name));
		if (address != NULL && strcmp(m->address, address) == 0)
			return (cs_reject(reason, CS_INVALID,
			    "address %s is registered for entry %s", address,
			    m->name));
		if (m->incarnation == incarnation)
			return (cs_reject(reason, CS_INVALID,
			    "the incarnation is registered for entry %s",
			    m->name));
	}
	return (CS_OK);
}

static enum cs_error
check_entry_add(
    const struct cs *s, const json_t *c, const struct cs_error_text *reason)
{
	const char *name, *address;
	uint64_t incarnation;

	name = cs_json_name(c, "name");
	if (name == NULL)
		return (reject_malformed(reason, "name"));
	address = cs_json_name(c, "address");
	if (address == NULL)
		return (reject_malformed(reason, "address"));
	if (cs_json_name(c, "az") == NULL)
		return (reject_malformed(reason, "az"));
	if (!parse_incarnation(c, "incarnation", &incarnation))
		return (reject_malformed(reason, "incarnation"));
	if (s->members->len >= PD_MEMBERS_MAX)
		return (cs_reject(reason, CS_INVALID, "the list is full"));
	return (check_entry_new(s, name, address, incarnation, reason));
}

static void
apply_entry_add(struct cs *s, const json_t *c)
{
	uint64_t incarnation;

	incarnation = 0;
	(void)parse_incarnation(c, "incarnation", &incarnation);
	cs_member_list_insert(s->members, cs_json_name(c, "name"), incarnation,
	    cs_json_name(c, "address"), cs_json_name(c, "az"));
}

static enum cs_error
check_entry_replace(
    const struct cs *s, const json_t *c, const struct cs_error_text *reason)
{
	const struct cs_member *m;
	const char *name;
	uint64_t incarnation, previous;

	name = cs_json_name(c, "name");
	if (name == NULL)
		return (reject_malformed(reason, "name"));
	if (!parse_incarnation(c, "incarnation", &incarnation))
		return (reject_malformed(reason, "incarnation"));
	if (!parse_incarnation(c, "previous", &previous))
		return (reject_malformed(reason, "previous"));
	m = find_member(s, name);
	if (m == NULL || m->incarnation != previous)
		return (cs_reject(reason, CS_INVALID,
		    "the previous incarnation of entry %s is not registered",
		    name));
	return (check_entry_new(s, NULL, NULL, incarnation, reason));
}

static void
apply_entry_replace(struct cs *s, const json_t *c)
{
	struct cs_member *m;
	guint i;

	for (i = 0; i < s->members->len; i++) {
		m = &g_array_index(s->members, struct cs_member, i);
		if (strcmp(m->name, cs_json_name(c, "name")) == 0)
			(void)parse_incarnation(
			    c, "incarnation", &m->incarnation);
	}
}

static enum cs_error
check_entries_forget(
    const struct cs *s, const json_t *c, const struct cs_error_text *reason)
{
	const json_t *names, *name;
	size_t i;

	names = json_object_get(c, "names");
	if (!json_is_array(names) || json_array_size(names) == 0)
		return (reject_malformed(reason, "names"));
	json_array_foreach(names, i, name)
	{
		if (!json_is_string(name))
			return (reject_malformed(reason, "names"));
		if (find_member(s, json_string_value(name)) == NULL)
			return (cs_reject(reason, CS_INVALID,
			    "entry %s is not registered",
			    json_string_value(name)));
	}
	return (CS_OK);
}

static void
apply_entries_forget(struct cs *s, const json_t *c)
{
	const json_t *name;
	size_t i;

	json_array_foreach(json_object_get(c, "names"), i, name)
	{
		remove_member(s, json_string_value(name));
	}
}

/* The successor has the address, so the replaced incarnation has ended. */
static bool
exited_by_replace(const json_t *c, const char *name)
{
	return (strcmp(cs_json_name(c, "name"), name) == 0);
}

/* The operator who forgets entries states that they have exited. */
static bool
exited_by_forget(const json_t *c, const char *name)
{
	const json_t *j;
	size_t i;

	json_array_foreach(json_object_get(c, "names"), i, j)
	{
		if (strcmp(json_string_value(j), name) == 0)
			return (true);
	}
	return (false);
}

static const struct cs_change_kind kinds[] = {
    {"az_out", check_az, apply_az_out, false, NULL},
    {"az_in", check_az, apply_az_in, false, NULL},
    {"endpoint_put", check_endpoint_put, apply_endpoint_put, false, NULL},
    {"endpoint_retire", check_endpoint_exists, apply_endpoint_retire, false,
	NULL},
    {"endpoint_restore", check_endpoint_exists, apply_endpoint_restore, false,
	NULL},
    {"endpoint_delete", check_endpoint_exists, apply_endpoint_delete, false,
	NULL},
    {"team_put", check_team_put, apply_team_put, false, NULL},
    {"rule_put", check_rule_put, apply_rule_put, false, NULL},
    {"rule_delete", check_rule_delete, apply_rule_delete, false, NULL},
    {"inventory_put", check_inventory_put, apply_inventory_put, false, NULL},
    {"entry_add", check_entry_add, apply_entry_add, true, NULL},
    {"entry_leave", check_entry_registered, apply_entry_remove, true, NULL},
    {"entry_remove", check_entry_registered, apply_entry_remove, true, NULL},
    {"entry_replace", check_entry_replace, apply_entry_replace, true,
	exited_by_replace},
    {"entries_forget", check_entries_forget, apply_entries_forget, true,
	exited_by_forget},
};

enum cs_error
cs_check_change(const struct cs *s, const json_t *c,
    const struct cs_change_kind **kind, const struct cs_error_text *reason)
{
	const char *name, *change_id;
	uint64_t revision;
	size_t i;

	*kind = NULL;
	if (!json_is_object(c))
		return (cs_reject(reason, CS_MALFORMED, "not a JSON object"));
	change_id = cs_json_name(c, "change_id");
	if (change_id == NULL)
		return (reject_malformed(reason, "change_id"));
	name = cs_json_name(c, "kind");
	if (name == NULL)
		return (reject_malformed(reason, "kind"));
	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (strcmp(kinds[i].name, name) == 0)
			*kind = &kinds[i];
	}
	if (*kind == NULL)
		return (cs_reject(
		    reason, CS_MALFORMED, "kind %s is unknown", name));
	revision = cs_change_revision(s, change_id);
	if (revision != 0)
		return (cs_reject(reason, CS_INVALID,
		    "the change is already in the log at revision %" PRIu64,
		    revision));
	return ((*kind)->check(s, c, reason));
}

enum cs_error
cs_restore_tables(struct cs *s, const json_t *state)
{
	GPtrArray *updated[G_N_ELEMENTS(tables)] = {NULL};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(tables); i++) {
		updated[i] =
		    cs_table_from_json(json_object_get(state, tables[i].key),
			tables[i].from_json, tables[i].free_item);
		if (updated[i] == NULL)
			goto fail;
	}
	for (i = 0; i < G_N_ELEMENTS(tables); i++) {
		g_ptr_array_free(*table_of(s, i), TRUE);
		*table_of(s, i) = updated[i];
	}
	return (CS_OK);
fail:
	while (i-- > 0)
		g_ptr_array_free(updated[i], TRUE);
	return (CS_MALFORMED);
}

void
cs_tables_new(struct cs *s)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(tables); i++)
		*table_of(s, i) =
		    g_ptr_array_new_with_free_func(tables[i].free_item);
}

void
cs_tables_free(struct cs *s)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(tables); i++)
		g_ptr_array_free(*table_of(s, i), TRUE);
}
