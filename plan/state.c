#include <inttypes.h>
#include <stdarg.h>
#include <string.h>

#include "partition.h"
#include "state_impl.h"

/* Where the text of a refusal goes. */
struct why {
	char *text;
	size_t size;
};

/*
 * A kind of change. check() decides whether the change is allowed in a state;
 * apply() carries out a change that check() let pass.
 */
struct kind {
	const char *name;
	enum cs_error (*check)(
	    const struct cs *, const json_t *, const struct why *);
	void (*apply)(struct cs *, const json_t *);
	bool list; /* changes the list of entries */
	/* Whether the change shows that a listed entry has exited. */
	bool (*consents)(const json_t *, const char *name);
};

static enum cs_error __attribute__((format(printf, 3, 4)))
refuse(const struct why *why, enum cs_error error, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	if (why->size > 0)
		g_vsnprintf(why->text, why->size, fmt, ap);
	va_end(ap);
	return (error);
}

static enum cs_error
malformed(const struct why *why, const char *what)
{
	return (refuse(why, CS_MALFORMED, "%s: missing or malformed", what));
}

/* Index of a name in a table, or where it belongs. */
static guint
table_index(const GPtrArray *table, const char *name, bool *found)
{
	guint low, high, mid;
	int order;

	*found = false;
	low = 0;
	high = table->len;
	while (low < high) {
		mid = (low + high) / 2;
		order = strcmp(*(char **)table->pdata[mid], name);
		if (order == 0) {
			*found = true;
			return (mid);
		}
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return (low);
}

static void *
table_find(const GPtrArray *table, const char *name)
{
	guint i;
	bool found;

	i = table_index(table, name, &found);
	return (found ? table->pdata[i] : NULL);
}

/* Adds an item, in place of one with the same name; consumes the item. */
static void
table_put(GPtrArray *table, void *item, GDestroyNotify release)
{
	guint i;
	bool found;

	i = table_index(table, *(char **)item, &found);
	if (found) {
		release(table->pdata[i]);
		table->pdata[i] = item;
		return;
	}
	g_ptr_array_insert(table, (gint)i, item);
}

static void
table_remove(GPtrArray *table, const char *name)
{
	guint i;
	bool found;

	i = table_index(table, name, &found);
	if (found)
		g_ptr_array_remove_index(table, i);
}

/* Text of 1 to PD_NAME_MAX bytes, NULL when missing or malformed. */
static const char *
name_of(const json_t *c, const char *key)
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

	text = name_of(c, key);
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

	if (table_find(s->azs, az) != NULL)
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
check_az(const struct cs *s, const json_t *c, const struct why *why)
{
	const char *az;

	az = name_of(c, "az");
	if (az == NULL)
		return (malformed(why, "az"));
	if (!az_known(s, az))
		return (refuse(
		    why, CS_INVALID, "availability zone %s is unknown", az));
	return (CS_OK);
}

static void
set_az(struct cs *s, const char *name, bool out)
{
	struct cs_az *az;

	az = table_find(s->azs, name);
	if (az == NULL) {
		az = g_new0(struct cs_az, 1);
		az->name = g_strdup(name);
		table_put(s->azs, az, cs_az_free);
	}
	az->out = out;
}

static void
apply_az_out(struct cs *s, const json_t *c)
{
	set_az(s, name_of(c, "az"), true);
}

static void
apply_az_in(struct cs *s, const json_t *c)
{
	set_az(s, name_of(c, "az"), false);
}

static enum cs_error
check_endpoint(const struct cs *s, const json_t *c, const struct why *why)
{
	const char *name;

	name = name_of(c, "name");
	if (name == NULL)
		return (malformed(why, "name"));
	if (table_find(s->endpoints, name) == NULL)
		return (refuse(why, CS_INVALID,
		    "endpoint %s is not in the inventory", name));
	return (CS_OK);
}

static void
apply_endpoint_retire(struct cs *s, const json_t *c)
{
	((struct cs_endpoint *)table_find(s->endpoints, name_of(c, "name")))
	    ->retired = true;
}

static void
apply_endpoint_restore(struct cs *s, const json_t *c)
{
	((struct cs_endpoint *)table_find(s->endpoints, name_of(c, "name")))
	    ->retired = false;
}

static void
apply_endpoint_delete(struct cs *s, const json_t *c)
{
	table_remove(s->endpoints, name_of(c, "name"));
}

static enum cs_error
check_endpoint_put(const struct cs *s, const json_t *c, const struct why *why)
{
	struct cs_endpoint *e;

	(void)s;
	e = cs_endpoint_new(c);
	if (e == NULL)
		return (malformed(why, "endpoint"));
	cs_endpoint_free(e);
	return (CS_OK);
}

/* Whether an endpoint is retired outlasts a new description of it, unless the
 * description says otherwise. */
static void
keep_retired(
    const GPtrArray *table, struct cs_endpoint *next, const json_t *described)
{
	const struct cs_endpoint *old;

	old = table_find(table, next->name);
	if (old != NULL && json_object_get(described, "retired") == NULL)
		next->retired = old->retired;
}

static void
apply_endpoint_put(struct cs *s, const json_t *c)
{
	struct cs_endpoint *e;

	e = cs_endpoint_new(c);
	keep_retired(s->endpoints, e, c);
	table_put(s->endpoints, e, cs_endpoint_free);
}

static enum cs_error
check_team_put(const struct cs *s, const json_t *c, const struct why *why)
{
	struct cs_team *t;

	(void)s;
	t = cs_team_new(c);
	if (t == NULL)
		return (malformed(why, "team"));
	cs_team_free(t);
	return (CS_OK);
}

static void
apply_team_put(struct cs *s, const json_t *c)
{
	table_put(s->teams, cs_team_new(c), cs_team_free);
}

static enum cs_error
check_rule_put(const struct cs *s, const json_t *c, const struct why *why)
{
	struct cs_rule *r;

	(void)s;
	r = cs_rule_new(c);
	if (r == NULL)
		return (malformed(why, "rule"));
	cs_rule_free(r);
	return (CS_OK);
}

static void
apply_rule_put(struct cs *s, const json_t *c)
{
	table_put(s->rules, cs_rule_new(c), cs_rule_free);
}

static enum cs_error
check_rule_delete(const struct cs *s, const json_t *c, const struct why *why)
{
	const char *name;

	name = name_of(c, "name");
	if (name == NULL)
		return (malformed(why, "name"));
	if (table_find(s->rules, name) == NULL)
		return (refuse(why, CS_INVALID, "rule %s is unknown", name));
	return (CS_OK);
}

static void
apply_rule_delete(struct cs *s, const json_t *c)
{
	table_remove(s->rules, name_of(c, "name"));
}

static void *
az_make(const json_t *j)
{
	return (cs_az_new(j));
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
check_inventory(const struct cs *s, const json_t *c, const struct why *why)
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
		to = table_find(next, from->name);
		if (to == NULL) {
			to = g_new0(struct cs_az, 1);
			to->name = g_strdup(from->name);
			table_put(next, to, cs_az_free);
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
		keep_retired(old, table_find(next, name_of(described, "name")),
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
check_entry(const struct cs *s, const json_t *c, const struct why *why)
{
	const struct cs_member *m;
	const char *name;
	uint64_t incarnation;

	name = name_of(c, "name");
	if (name == NULL)
		return (malformed(why, "name"));
	if (!incarnation_of(c, "incarnation", &incarnation))
		return (malformed(why, "incarnation"));
	m = member_named(s, name);
	if (m == NULL || m->incarnation != incarnation)
		return (refuse(why, CS_INVALID,
		    "entry %s with that incarnation is not registered", name));
	return (CS_OK);
}

static void
apply_entry_drop(struct cs *s, const json_t *c)
{
	member_drop(s, name_of(c, "name"));
}

static enum cs_error
check_unused(const struct cs *s, const char *name, const char *address,
    uint64_t incarnation, const struct why *why)
{
	const struct cs_member *m;
	guint i;

	for (i = 0; i < s->members->len; i++) {
		m = &g_array_index(s->members, struct cs_member, i);
		if (name != NULL && strcmp(m->name, name) == 0)
			return (refuse(why, CS_INVALID,
			    "entry %s is already registered", name));
		if (address != NULL && strcmp(m->address, address) == 0)
			return (refuse(why, CS_INVALID,
			    "address %s is registered for entry %s", address,
			    m->name));
		if (m->incarnation == incarnation)
			return (refuse(why, CS_INVALID,
			    "the incarnation is registered for entry %s",
			    m->name));
	}
	return (CS_OK);
}

static enum cs_error
check_entry_add(const struct cs *s, const json_t *c, const struct why *why)
{
	const char *name, *address;
	uint64_t incarnation;

	name = name_of(c, "name");
	if (name == NULL)
		return (malformed(why, "name"));
	address = name_of(c, "address");
	if (address == NULL)
		return (malformed(why, "address"));
	if (name_of(c, "az") == NULL)
		return (malformed(why, "az"));
	if (!incarnation_of(c, "incarnation", &incarnation))
		return (malformed(why, "incarnation"));
	if (s->members->len >= PD_MEMBERS_MAX)
		return (refuse(why, CS_INVALID, "the list is full"));
	return (check_unused(s, name, address, incarnation, why));
}

static void
apply_entry_add(struct cs *s, const json_t *c)
{
	uint64_t incarnation;

	incarnation = 0;
	(void)incarnation_of(c, "incarnation", &incarnation);
	cs_member_add(s->members, name_of(c, "name"), incarnation,
	    name_of(c, "address"), name_of(c, "az"));
}

static enum cs_error
check_entry_replace(const struct cs *s, const json_t *c, const struct why *why)
{
	const struct cs_member *m;
	const char *name;
	uint64_t incarnation, previous;

	name = name_of(c, "name");
	if (name == NULL)
		return (malformed(why, "name"));
	if (!incarnation_of(c, "incarnation", &incarnation))
		return (malformed(why, "incarnation"));
	if (!incarnation_of(c, "previous", &previous))
		return (malformed(why, "previous"));
	m = member_named(s, name);
	if (m == NULL || m->incarnation != previous)
		return (refuse(why, CS_INVALID,
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
		if (strcmp(m->name, name_of(c, "name")) == 0)
			(void)incarnation_of(c, "incarnation", &m->incarnation);
	}
}

static enum cs_error
check_forget(const struct cs *s, const json_t *c, const struct why *why)
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
			return (refuse(why, CS_INVALID,
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
	return (strcmp(name_of(c, "name"), name) == 0);
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

static const struct kind kinds[] = {
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

static enum cs_error
check_change(const struct cs *s, const json_t *c, const struct kind **kind,
    const struct why *why)
{
	const char *name, *change_id;
	uint64_t revision;
	size_t i;

	*kind = NULL;
	if (!json_is_object(c))
		return (refuse(why, CS_MALFORMED, "not a JSON object"));
	change_id = name_of(c, "change_id");
	if (change_id == NULL)
		return (malformed(why, "change_id"));
	name = name_of(c, "kind");
	if (name == NULL)
		return (malformed(why, "kind"));
	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (strcmp(kinds[i].name, name) == 0)
			*kind = &kinds[i];
	}
	if (*kind == NULL)
		return (refuse(why, CS_MALFORMED, "kind %s is unknown", name));
	revision = cs_change_revision(s, change_id);
	if (revision != 0)
		return (refuse(why, CS_INVALID,
		    "the change is already in the log at revision %" PRIu64,
		    revision));
	return ((*kind)->check(s, c, why));
}

static void
keep_list(struct cs *s, const struct kind *kind, const json_t *c)
{
	const struct cs_member *m;
	guint i;

	g_array_set_size(s->before, 0);
	s->consents = 0;
	for (i = 0; i < s->members->len; i++) {
		m = &g_array_index(s->members, struct cs_member, i);
		if (kind->consents != NULL && kind->consents(c, m->name)) {
			s->consents++;
			continue;
		}
		cs_member_add(
		    s->before, m->name, m->incarnation, m->address, m->az);
	}
}

struct cs *
cs_new(void)
{
	struct cs *s;
	size_t i;

	s = g_new0(struct cs, 1);
	s->members = cs_member_list();
	s->before = cs_member_list();
	s->recent = g_array_new(FALSE, FALSE, sizeof(struct cs_recent));
	g_array_set_clear_func(s->recent, cs_recent_clear);
	for (i = 0; i < G_N_ELEMENTS(tables); i++)
		*table_at(s, i) =
		    g_ptr_array_new_with_free_func(tables[i].release);
	cs_elect(s);
	return (s);
}

void
cs_free(struct cs *s)
{
	size_t i;

	if (s == NULL)
		return;
	for (i = 0; i < G_N_ELEMENTS(tables); i++)
		g_ptr_array_free(*table_at(s, i), TRUE);
	g_array_free(s->members, TRUE);
	g_array_free(s->before, TRUE);
	g_array_free(s->recent, TRUE);
	g_free(s);
}

enum cs_error
cs_apply(struct cs *s, uint64_t revision, const char *json, char *error,
    size_t error_size)
{
	const struct why why = {error, error_size};
	const struct kind *kind;
	enum cs_error result;
	json_t *c;

	if (revision != s->revision + 1)
		return (refuse(&why, CS_GAP,
		    "revision %" PRIu64 " does not follow %" PRIu64, revision,
		    s->revision));
	c = json_loads(json, 0, NULL);
	result = check_change(s, c, &kind, &why);
	s->revision = revision;
	if (result == CS_OK) {
		if (kind->list) {
			keep_list(s, kind, c);
			s->view = revision;
		}
		kind->apply(s, c);
		cs_note_change(s, name_of(c, "change_id"), revision);
		if (kind->list)
			cs_elect(s);
	}
	json_decref(c);
	return (result);
}

enum cs_error
cs_check(const struct cs *s, const char *json, char *error, size_t error_size)
{
	const struct why why = {error, error_size};
	const struct kind *kind;
	enum cs_error result;
	json_t *c;

	c = json_loads(json, 0, NULL);
	result = check_change(s, c, &kind, &why);
	json_decref(c);
	return (result);
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
cs_elect(struct cs *s)
{
	const struct cs_member *m;
	uint64_t weight, best;
	unsigned p;
	guint i;

	for (p = 0; p < PD_PARTITIONS; p++) {
		s->owner[p] = -1;
		best = 0;
		for (i = 0; i < s->members->len; i++) {
			m = &g_array_index(s->members, struct cs_member, i);
			weight = pt_weight(p, m->name);
			if (s->owner[p] < 0 || weight > best) {
				s->owner[p] = (int)i;
				best = weight;
			}
		}
	}
}

uint64_t
cs_revision(const struct cs *s)
{
	return (s->revision);
}

uint64_t
cs_view(const struct cs *s)
{
	return (s->view);
}

uint64_t
cs_change_revision(const struct cs *s, const char *change_id)
{
	const struct cs_recent *r;
	guint i;

	for (i = 0; i < s->recent->len; i++) {
		r = &g_array_index(s->recent, struct cs_recent, i);
		if (strcmp(r->change_id, change_id) == 0)
			return (r->revision);
	}
	return (0);
}

const struct cs_member *
cs_members(const struct cs *s, size_t *n)
{
	*n = s->members->len;
	return ((const struct cs_member *)(const void *)s->members->data);
}

const struct cs_member *
cs_members_before(const struct cs *s, size_t *n, size_t *consents)
{
	*n = s->before->len;
	*consents = s->consents;
	return ((const struct cs_member *)(const void *)s->before->data);
}

const struct cs_member *
cs_owner(const struct cs *s, unsigned partition)
{
	if (partition >= PD_PARTITIONS || s->owner[partition] < 0)
		return (NULL);
	return (
	    &g_array_index(s->members, struct cs_member, s->owner[partition]));
}

bool
cs_az_in(const struct cs *s, const char *az)
{
	const struct cs_az *z;

	z = table_find(s->azs, az);
	return (z == NULL || !z->out);
}

const struct cs_endpoint *
cs_endpoint(const struct cs *s, const char *name)
{
	return (table_find(s->endpoints, name));
}

bool
cs_endpoint_in_service(const struct cs *s, const char *name)
{
	const struct cs_endpoint *e;

	e = table_find(s->endpoints, name);
	return (e != NULL && !e->retired && cs_az_in(s, e->az));
}

const struct cs_endpoint *const *
cs_endpoints(const struct cs *s, size_t *n)
{
	*n = s->endpoints->len;
	return ((const struct cs_endpoint *const *)s->endpoints->pdata);
}

const struct cs_team *
cs_team(const struct cs *s, const char *name)
{
	return (table_find(s->teams, name));
}

const struct cs_team *const *
cs_teams(const struct cs *s, size_t *n)
{
	*n = s->teams->len;
	return ((const struct cs_team *const *)s->teams->pdata);
}

static bool
matches(const char *pattern, const char *value)
{
	return (*pattern == '\0' || strcmp(pattern, value) == 0);
}

bool
cs_allowed(const struct cs *s, const char *team, const char *service,
    const char *az, const char **rule)
{
	const struct cs_rule *r;
	guint i;

	for (i = 0; i < s->rules->len; i++) {
		r = s->rules->pdata[i];
		if (!matches(r->team, team) || !matches(r->service, service) ||
		    !matches(r->az, az))
			continue;
		if (!r->allow && rule != NULL)
			*rule = r->name;
		return (r->allow);
	}
	return (true);
}
