#include <inttypes.h>
#include <stdarg.h>
#include <string.h>

#include "state_impl.h"

enum cs_error __attribute__((format(printf, 3, 4)))
cs_refuse(const struct cs_why *why, enum cs_error error, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	if (why->size > 0)
		g_vsnprintf(why->text, why->size, fmt, ap);
	va_end(ap);
	return (error);
}

static enum cs_error
malformed(const struct cs_why *why, const char *what)
{
	return (cs_refuse(why, CS_MALFORMED, "%s: missing or malformed", what));
}

/* Text of 1 to PD_NAME_MAX bytes, NULL when missing or malformed. */
const char *
cs_name_of(const json_t *c, const char *key)
{
	const char *text;

	text = json_string_value(json_object_get(c, key));
	if (text == NULL || *text == '\0' || strlen(text) > PD_NAME_MAX)
		return (NULL);
	return (text);
}

static bool
incarnation_of(const json_t *c, const char *key, uint64_t *out)
{
	const char *text;
	char *end;

	text = cs_name_of(c, key);
	if (text == NULL || !g_ascii_isxdigit(*text) || strlen(text) > 16)
		return (false);
	*out = g_ascii_strtoull(text, &end, 16);
	return (*end == '\0' && *out != 0);
}

static const struct cs_member *
member_named(const struct cs *s, const char *name)
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
member_drop(struct cs *s, const char *name)
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

static bool
az_known(const struct cs *s, const char *az)
{
	guint i;

	if (cs_find(s->azs, az) != NULL)
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
check_az(const struct cs *s, const json_t *c, const struct cs_why *why)
{
	const char *az;

	az = cs_name_of(c, "az");
	if (az == NULL)
		return (malformed(why, "az"));
	if (!az_known(s, az))
		return (cs_refuse(
		    why, CS_INVALID, "availability zone %s is unknown", az));
	return (CS_OK);
}

static void
set_az(struct cs *s, const char *name, bool out)
{
	struct cs_az *az;

	az = cs_find(s->azs, name);
	if (az == NULL) {
		az = g_new0(struct cs_az, 1);
		az->name = g_strdup(name);
		cs_put(s->azs, az, cs_az_free);
	}
	az->out = out;
}

static void
apply_az_out(struct cs *s, const json_t *c)
{
	set_az(s, cs_name_of(c, "az"), true);
}

static void
apply_az_in(struct cs *s, const json_t *c)
{
	set_az(s, cs_name_of(c, "az"), false);
}

static enum cs_error
check_endpoint(const struct cs *s, const json_t *c, const struct cs_why *why)
{
	const char *name;

	name = cs_name_of(c, "name");
	if (name == NULL)
		return (malformed(why, "name"));
	if (cs_find(s->endpoints, name) == NULL)
		return (cs_refuse(why, CS_INVALID,
		    "endpoint %s is not in the inventory", name));
	return (CS_OK);
}

static void
apply_endpoint_retire(struct cs *s, const json_t *c)
{
	((struct cs_endpoint *)cs_find(s->endpoints, cs_name_of(c, "name")))
	    ->retired = true;
}

static void
apply_endpoint_restore(struct cs *s, const json_t *c)
{
	((struct cs_endpoint *)cs_find(s->endpoints, cs_name_of(c, "name")))
	    ->retired = false;
}

static void
apply_endpoint_delete(struct cs *s, const json_t *c)
{
	cs_drop(s->endpoints, cs_name_of(c, "name"));
}

static void *
endpoint_make(const json_t *j)
{
	return (cs_endpoint_new(j));
}

static void *
team_make(const json_t *j)
{
	return (cs_team_new(j));
}

static void *
rule_make(const json_t *j)
{
	return (cs_rule_new(j));
}

/* Whether a change describes an item of a table. */
static enum cs_error
check_item(const json_t *c, void *(*make)(const json_t *),
    GDestroyNotify release, const char *what, const struct cs_why *why)
{
	void *item;

	item = make(c);
	if (item == NULL)
		return (malformed(why, what));
	release(item);
	return (CS_OK);
}

static enum cs_error
check_endpoint_put(
    const struct cs *s, const json_t *c, const struct cs_why *why)
{
	(void)s;
	return (
	    check_item(c, endpoint_make, cs_endpoint_free, "endpoint", why));
}

/* Whether an endpoint is retired outlasts a new description of it, unless the
 * description says otherwise. */
static void
keep_retired(
    const GPtrArray *table, struct cs_endpoint *next, const json_t *described)
{
	const struct cs_endpoint *old;

	old = cs_find(table, next->name);
	if (old != NULL && json_object_get(described, "retired") == NULL)
		next->retired = old->retired;
}

static void
apply_endpoint_put(struct cs *s, const json_t *c)
{
	struct cs_endpoint *e;

	e = cs_endpoint_new(c);
	keep_retired(s->endpoints, e, c);
	cs_put(s->endpoints, e, cs_endpoint_free);
}

static enum cs_error
check_team_put(const struct cs *s, const json_t *c, const struct cs_why *why)
{
	(void)s;
	return (check_item(c, team_make, cs_team_free, "team", why));
}

static void
apply_team_put(struct cs *s, const json_t *c)
{
	cs_put(s->teams, cs_team_new(c), cs_team_free);
}

static enum cs_error
check_rule_put(const struct cs *s, const json_t *c, const struct cs_why *why)
{
	(void)s;
	return (check_item(c, rule_make, cs_rule_free, "rule", why));
}

static void
apply_rule_put(struct cs *s, const json_t *c)
{
	cs_put(s->rules, cs_rule_new(c), cs_rule_free);
}

static enum cs_error
check_rule_delete(const struct cs *s, const json_t *c, const struct cs_why *why)
{
	const char *name;

	name = cs_name_of(c, "name");
	if (name == NULL)
		return (malformed(why, "name"));
	if (cs_find(s->rules, name) == NULL)
		return (cs_refuse(why, CS_INVALID, "rule %s is unknown", name));
	return (CS_OK);
}

static void
apply_rule_delete(struct cs *s, const json_t *c)
{
	cs_drop(s->rules, cs_name_of(c, "name"));
}

static void *
az_make(const json_t *j)
{
	return (cs_az_new(j));
}

/* The four tables of an inventory or a snapshot. */
static const struct {
	const char *key;
	void *(*make)(const json_t *);
	GDestroyNotify release;
	size_t offset;
} tables[] = {

    {"azs", az_make, cs_az_free, offsetof(struct cs, azs)},
    {"endpoints", endpoint_make, cs_endpoint_free,
	offsetof(struct cs, endpoints)},
    {"teams", team_make, cs_team_free, offsetof(struct cs, teams)},
    {"rules", rule_make, cs_rule_free, offsetof(struct cs, rules)},
};

static GPtrArray **
table_at(struct cs *s, size_t i)
{
	return ((GPtrArray **)(void *)((char *)s + tables[i].offset));
}

static enum cs_error
check_inventory(const struct cs *s, const json_t *c, const struct cs_why *why)
{
	GPtrArray *table;
	size_t i;

	(void)s;
	for (i = 0; i < G_N_ELEMENTS(tables); i++) {
		table = cs_table(json_object_get(c, tables[i].key),
		    tables[i].make, tables[i].release);
		if (table == NULL)
			return (malformed(why, tables[i].key));
		g_ptr_array_free(table, TRUE);
	}
	return (CS_OK);
}

/* A zone that is out of service stays out, also when the inventory does not
 * list it: an inventory is a description and no command to start work. */
static void
keep_azs_out(const GPtrArray *old, GPtrArray *next)
{
	const struct cs_az *from;
	struct cs_az *to;
	guint i;

	for (i = 0; i < old->len; i++) {
		from = old->pdata[i];
		if (!from->out)
			continue;
		to = cs_find(next, from->name);
		if (to == NULL) {
			to = g_new0(struct cs_az, 1);
			to->name = g_strdup(from->name);
			cs_put(next, to, cs_az_free);
		}
		to->out = true;
	}
}

static void
keep_all_retired(const GPtrArray *old, const GPtrArray *next, const json_t *c)
{
	const json_t *described;
	size_t i;

	json_array_foreach(json_object_get(c, "endpoints"), i, described)
	{
		keep_retired(old, cs_find(next, cs_name_of(described, "name")),
		    described);
	}
}

static void
apply_inventory(struct cs *s, const json_t *c)
{
	GPtrArray *next, **at;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(tables); i++) {
		next = cs_table(json_object_get(c, tables[i].key),
		    tables[i].make, tables[i].release);
		at = table_at(s, i);
		if (*at == s->azs)
			keep_azs_out(*at, next);
		if (*at == s->endpoints)
			keep_all_retired(*at, next, c);
		g_ptr_array_free(*at, TRUE);
		*at = next;
	}
}

static enum cs_error
check_entry(const struct cs *s, const json_t *c, const struct cs_why *why)
{
	const struct cs_member *m;
	const char *name;
	uint64_t incarnation;

	name = cs_name_of(c, "name");
	if (name == NULL)
		return (malformed(why, "name"));
	if (!incarnation_of(c, "incarnation", &incarnation))
		return (malformed(why, "incarnation"));
	m = member_named(s, name);
	if (m == NULL || m->incarnation != incarnation)
		return (cs_refuse(why, CS_INVALID,
		    "entry %s with that incarnation is not registered", name));
	return (CS_OK);
}

static void
apply_entry_drop(struct cs *s, const json_t *c)
{
	member_drop(s, cs_name_of(c, "name"));
}

static enum cs_error
check_unused(const struct cs *s, const char *name, const char *address,
    uint64_t incarnation, const struct cs_why *why)
{
	const struct cs_member *m;
	guint i;

	for (i = 0; i < s->members->len; i++) {
		m = &g_array_index(s->members, struct cs_member, i);
		if (name != NULL && strcmp(m->name, name) == 0)
			return (cs_refuse(why, CS_INVALID,
			    "entry %s is already registered", name));
		if (address != NULL && strcmp(m->address, address) == 0)
			return (cs_refuse(why, CS_INVALID,
			    "address %s is registered for entry %s", address,
			    m->name));
		if (m->incarnation == incarnation)
			return (cs_refuse(why, CS_INVALID,
			    "the incarnation is registered for entry %s",
			    m->name));
	}
	return (CS_OK);
}

static enum cs_error
check_entry_add(const struct cs *s, const json_t *c, const struct cs_why *why)
{
	const char *name, *address;
	uint64_t incarnation;

	name = cs_name_of(c, "name");
	if (name == NULL)
		return (malformed(why, "name"));
	address = cs_name_of(c, "address");
	if (address == NULL)
		return (malformed(why, "address"));
	if (cs_name_of(c, "az") == NULL)
		return (malformed(why, "az"));
	if (!incarnation_of(c, "incarnation", &incarnation))
		return (malformed(why, "incarnation"));
	if (s->members->len >= PD_MEMBERS_MAX)
		return (cs_refuse(why, CS_INVALID, "the list is full"));
	return (check_unused(s, name, address, incarnation, why));
}

static void
apply_entry_add(struct cs *s, const json_t *c)
{
	uint64_t incarnation;

	incarnation = 0;
	(void)incarnation_of(c, "incarnation", &incarnation);
	cs_member_add(s->members, cs_name_of(c, "name"), incarnation,
	    cs_name_of(c, "address"), cs_name_of(c, "az"));
}

static enum cs_error
check_entry_replace(
    const struct cs *s, const json_t *c, const struct cs_why *why)
{
	const struct cs_member *m;
	const char *name;
	uint64_t incarnation, previous;

	name = cs_name_of(c, "name");
	if (name == NULL)
		return (malformed(why, "name"));
	if (!incarnation_of(c, "incarnation", &incarnation))
		return (malformed(why, "incarnation"));
	if (!incarnation_of(c, "previous", &previous))
		return (malformed(why, "previous"));
	m = member_named(s, name);
	if (m == NULL || m->incarnation != previous)
		return (cs_refuse(why, CS_INVALID,
		    "the previous incarnation of entry %s is not registered",
		    name));
	return (check_unused(s, NULL, NULL, incarnation, why));
}

static void
apply_entry_replace(struct cs *s, const json_t *c)
{
	struct cs_member *m;
	guint i;

	for (i = 0; i < s->members->len; i++) {
		m = &g_array_index(s->members, struct cs_member, i);
		if (strcmp(m->name, cs_name_of(c, "name")) == 0)
			(void)incarnation_of(c, "incarnation", &m->incarnation);
	}
}

static enum cs_error
check_forget(const struct cs *s, const json_t *c, const struct cs_why *why)
{
	const json_t *names, *name;
	size_t i;

	names = json_object_get(c, "names");
	if (!json_is_array(names) || json_array_size(names) == 0)
		return (malformed(why, "names"));
	json_array_foreach(names, i, name)
	{
		if (!json_is_string(name))
			return (malformed(why, "names"));
		if (member_named(s, json_string_value(name)) == NULL)
			return (cs_refuse(why, CS_INVALID,
			    "entry %s is not registered",
			    json_string_value(name)));
	}
	return (CS_OK);
}

static void
apply_forget(struct cs *s, const json_t *c)
{
	const json_t *name;
	size_t i;

	json_array_foreach(json_object_get(c, "names"), i, name)
	{
		member_drop(s, json_string_value(name));
	}
}

static bool
consents_replace(const json_t *c, const char *name)
{
	return (strcmp(cs_name_of(c, "name"), name) == 0);
}

static bool
consents_forget(const json_t *c, const char *name)
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

static const struct cs_kind kinds[] = {
    {"az_out", check_az, apply_az_out, false, NULL},
    {"az_in", check_az, apply_az_in, false, NULL},
    {"endpoint_put", check_endpoint_put, apply_endpoint_put, false, NULL},
    {"endpoint_retire", check_endpoint, apply_endpoint_retire, false, NULL},
    {"endpoint_restore", check_endpoint, apply_endpoint_restore, false, NULL},
    {"endpoint_delete", check_endpoint, apply_endpoint_delete, false, NULL},
    {"team_put", check_team_put, apply_team_put, false, NULL},
    {"rule_put", check_rule_put, apply_rule_put, false, NULL},
    {"rule_delete", check_rule_delete, apply_rule_delete, false, NULL},
    {"inventory_put", check_inventory, apply_inventory, false, NULL},
    {"entry_add", check_entry_add, apply_entry_add, true, NULL},
    {"entry_leave", check_entry, apply_entry_drop, true, NULL},
    {"entry_remove", check_entry, apply_entry_drop, true, NULL},
    {"entry_replace", check_entry_replace, apply_entry_replace, true,
	consents_replace},
    {"entries_forget", check_forget, apply_forget, true, consents_forget},
};

enum cs_error
cs_check_change(const struct cs *s, const json_t *c,
    const struct cs_kind **kind, const struct cs_why *why)
{
	const char *name, *change_id;
	uint64_t revision;
	size_t i;

	*kind = NULL;
	if (!json_is_object(c))
		return (cs_refuse(why, CS_MALFORMED, "not a JSON object"));
	change_id = cs_name_of(c, "change_id");
	if (change_id == NULL)
		return (malformed(why, "change_id"));
	name = cs_name_of(c, "kind");
	if (name == NULL)
		return (malformed(why, "kind"));
	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (strcmp(kinds[i].name, name) == 0)
			*kind = &kinds[i];
	}
	if (*kind == NULL)
		return (
		    cs_refuse(why, CS_MALFORMED, "kind %s is unknown", name));
	revision = cs_change_revision(s, change_id);
	if (revision != 0)
		return (cs_refuse(why, CS_INVALID,
		    "the change is already in the log at revision %" PRIu64,
		    revision));
	return ((*kind)->check(s, c, why));
}

/* Replaces the tables that a snapshot holds; all or none. */
enum cs_error
cs_restore_tables(struct cs *s, const json_t *state)
{
	GPtrArray *next[G_N_ELEMENTS(tables)] = {NULL};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(tables); i++) {
		next[i] = cs_table(json_object_get(state, tables[i].key),
		    tables[i].make, tables[i].release);
		if (next[i] == NULL)
			goto fail;
	}
	for (i = 0; i < G_N_ELEMENTS(tables); i++) {
		g_ptr_array_free(*table_at(s, i), TRUE);
		*table_at(s, i) = next[i];
	}
	return (CS_OK);
fail:
	while (i-- > 0)
		g_ptr_array_free(next[i], TRUE);
	return (CS_MALFORMED);
}

void
cs_tables_new(struct cs *s)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(tables); i++)
		*table_at(s, i) =
		    g_ptr_array_new_with_free_func(tables[i].release);
}

void
cs_tables_free(struct cs *s)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(tables); i++)
		g_ptr_array_free(*table_at(s, i), TRUE);
}
