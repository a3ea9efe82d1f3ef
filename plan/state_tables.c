#include <string.h>

#include "state_impl.h"

static bool
is_valid_name(const char *name)
{
	size_t len;

	len = name == NULL ? 0 : strlen(name);
	return (len > 0 && len <= PD_NAME_MAX);
}

/* Value of an optional string: "" when absent, NULL when malformed. */
static const char *
text_of(const json_t *j, const char *key)
{
	const json_t *v;

	v = json_object_get(j, key);
	if (v == NULL || json_is_null(v))
		return ("");
	if (!json_is_string(v) || strlen(json_string_value(v)) > PD_NAME_MAX)
		return (NULL);
	return (json_string_value(v));
}

/* Value of an optional integer; sets @min when it is absent. */
static bool
count_of(const json_t *j, const char *key, unsigned min, unsigned *out)
{
	const json_t *v;
	json_int_t n;

	v = json_object_get(j, key);
	if (v == NULL) {
		*out = min;
		return (true);
	}
	n = json_integer_value(v);
	if (!json_is_integer(v) || n < (json_int_t)min || n > INT32_MAX)
		return (false);
	*out = (unsigned)n;
	return (true);
}

void
cs_az_free(void *az)
{
	struct cs_az *z = az;

	g_free(z->name);
	g_free(z);
}

void
cs_endpoint_free(void *endpoint)
{
	struct cs_endpoint *e = endpoint;

	g_free(e->name);
	g_free(e->az);
	g_free(e->service);
	g_free(e->worker);
	g_free(e->owner);
	g_free(e);
}

void
cs_team_free(void *team)
{
	struct cs_team *t = team;

	g_free(t->name);
	g_free(t);
}

void
cs_rule_free(void *rule)
{
	struct cs_rule *r = rule;

	g_free(r->name);
	g_free(r->team);
	g_free(r->service);
	g_free(r->az);
	g_free(r);
}

void
cs_member_clear(void *member)
{
	struct cs_member *m = member;

	g_free(m->name);
	g_free(m->address);
	g_free(m->az);
}

void
cs_recent_change_clear(void *recent_change)
{
	struct cs_recent_change *r = recent_change;

	g_free(r->change_id);
}

struct cs_az *
cs_az_from_json(const json_t *j)
{
	struct cs_az *z;
	const char *name;

	name = json_is_string(j) ? json_string_value(j) : text_of(j, "name");
	if (!is_valid_name(name))
		return (NULL);
	z = g_new0(struct cs_az, 1);
	z->name = g_strdup(name);
	z->out = json_is_true(json_object_get(j, "out"));
	return (z);
}

struct cs_endpoint *
cs_endpoint_from_json(const json_t *j)
{
	struct cs_endpoint *e;
	const char *name, *az, *service, *worker, *owner;
	unsigned slots;

	name = text_of(j, "name");
	az = text_of(j, "az");
	service = text_of(j, "service");
	worker = text_of(j, "worker");
	owner = text_of(j, "owner");
	if (!is_valid_name(name) || !is_valid_name(az) ||
	    !is_valid_name(service) || worker == NULL || owner == NULL ||
	    !count_of(j, "slots", 1, &slots))
		return (NULL);
	e = g_new0(struct cs_endpoint, 1);
	e->name = g_strdup(name);
	e->az = g_strdup(az);
	e->service = g_strdup(service);
	e->worker = g_strdup(worker);
	e->owner = g_strdup(owner);
	e->slots = slots;
	e->retired = json_is_true(json_object_get(j, "retired"));
	return (e);
}

struct cs_team *
cs_team_from_json(const json_t *j)
{
	struct cs_team *t;
	const char *name;
	unsigned weight, max_running;

	name = text_of(j, "name");
	if (!is_valid_name(name) || !count_of(j, "weight", 1, &weight) ||
	    !count_of(j, "max_running", 0, &max_running))
		return (NULL);
	t = g_new0(struct cs_team, 1);
	t->name = g_strdup(name);
	t->weight = weight;
	t->max_running = max_running;
	return (t);
}

struct cs_rule *
cs_rule_from_json(const json_t *j)
{
	struct cs_rule *r;
	const char *name, *team, *service, *az;
	const json_t *allow;

	name = text_of(j, "name");
	team = text_of(j, "team");
	service = text_of(j, "service");
	az = text_of(j, "az");
	allow = json_object_get(j, "allow");
	if (!is_valid_name(name) || team == NULL || service == NULL ||
	    az == NULL || !json_is_boolean(allow))
		return (NULL);
	r = g_new0(struct cs_rule, 1);
	r->name = g_strdup(name);
	r->team = g_strdup(team);
	r->service = g_strdup(service);
	r->az = g_strdup(az);
	r->allow = json_is_true(allow);
	return (r);
}

static int
compare_names(const void *a, const void *b)
{
	char *const *const *x = a;
	char *const *const *y = b;

	return (strcmp(**x, **y));
}

static bool
has_duplicate(const GPtrArray *table)
{
	guint i;

	for (i = 1; i < table->len; i++) {
		if (compare_names(&table->pdata[i - 1], &table->pdata[i]) == 0)
			return (true);
	}
	return (false);
}

GPtrArray *
cs_table_from_json(const json_t *list, void *(*from_json)(const json_t *),
    GDestroyNotify free_item)
{
	GPtrArray *table;
	const json_t *j;
	void *item;
	size_t i;

	table = g_ptr_array_new_with_free_func(free_item);
	if (list != NULL && !json_is_array(list))
		goto fail;
	json_array_foreach(list, i, j)
	{
		item = from_json(j);
		if (item == NULL)
			goto fail;
		g_ptr_array_add(table, item);
	}
	g_ptr_array_sort(table, compare_names);
	if (has_duplicate(table))
		goto fail;
	return (table);
fail:
	g_ptr_array_free(table, TRUE);
	return (NULL);
}

GArray *
cs_member_list_new(void)
{
	GArray *list;

	list = g_array_new(FALSE, FALSE, sizeof(struct cs_member));
	g_array_set_clear_func(list, cs_member_clear);
	return (list);
}

void
cs_member_list_insert(GArray *list, const char *name, uint64_t incarnation,
    const char *address, const char *az)
{
	struct cs_member m;
	guint i;

	m.name = g_strdup(name);
	m.incarnation = incarnation;
	m.address = g_strdup(address);
	m.az = g_strdup(az);
	for (i = 0; i < list->len; i++) {
		if (strcmp(name,
			g_array_index(list, struct cs_member, i).name) < 0)
			break;
	}
	g_array_insert_val(list, i, m);
}

void
cs_add_recent_change(struct cs *s, const char *change_id, uint64_t revision)
{
	struct cs_recent_change r;

	r.change_id = g_strdup(change_id);
	r.revision = revision;
	if (s->recent_changes->len == CS_RECENT_CHANGES_MAX)
		g_array_remove_index(s->recent_changes, 0);
	g_array_append_val(s->recent_changes, r);
}

/* Index of a name in a table, or the index at which to insert it. */
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

void *
cs_table_find(const GPtrArray *table, const char *name)
{
	guint i;
	bool found;

	i = table_index(table, name, &found);
	return (found ? table->pdata[i] : NULL);
}

void
cs_table_put(GPtrArray *table, void *item, GDestroyNotify free_item)
{
	guint i;
	bool found;

	i = table_index(table, *(char **)item, &found);
	if (found) {
		free_item(table->pdata[i]);
		table->pdata[i] = item;
		return;
	}
	g_ptr_array_insert(table, (gint)i, item);
}

void
cs_table_remove(GPtrArray *table, const char *name)
{
	guint i;
	bool found;

	i = table_index(table, name, &found);
	if (found)
		g_ptr_array_remove_index(table, i);
}
