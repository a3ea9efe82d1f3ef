#include <inttypes.h>
#include <string.h>

#include "partition.h"
#include "state_impl.h"

static void
save_previous_members(
    struct cs *s, const struct cs_change_kind *kind, const json_t *c)
{
	const struct cs_member *m;
	guint i;

	g_array_set_size(s->previous_members, 0);
	s->previous_exited = 0;
	for (i = 0; i < s->members->len; i++) {
		m = &g_array_index(s->members, struct cs_member, i);
		if (kind->has_exited != NULL && kind->has_exited(c, m->name)) {
			s->previous_exited++;
			continue;
		}
		cs_member_list_insert(s->previous_members, m->name,
		    m->incarnation, m->address, m->az);
	}
}

struct cs *
cs_new(void)
{
	struct cs *s;

	s = g_new0(struct cs, 1);
	s->members = cs_member_list_new();
	s->previous_members = cs_member_list_new();
	s->recent_changes =
	    g_array_new(FALSE, FALSE, sizeof(struct cs_recent_change));
	g_array_set_clear_func(s->recent_changes, cs_recent_change_clear);
	cs_tables_new(s);
	cs_assign_partitions(s);
	return (s);
}

void
cs_free(struct cs *s)
{
	if (s == NULL)
		return;
	cs_tables_free(s);
	g_array_free(s->members, TRUE);
	g_array_free(s->previous_members, TRUE);
	g_array_free(s->recent_changes, TRUE);
	g_free(s);
}

enum cs_error
cs_apply(struct cs *s, uint64_t revision, const char *json, char *error,
    size_t error_size)
{
	const struct cs_error_text reason = {error, error_size};
	const struct cs_change_kind *kind;
	enum cs_error result;
	json_t *c;

	if (revision != s->revision + 1)
		return (cs_reject(&reason, CS_GAP,
		    "revision %" PRIu64 " does not follow %" PRIu64, revision,
		    s->revision));
	c = json_loads(json, 0, NULL);
	result = cs_check_change(s, c, &kind, &reason);
	s->revision = revision;
	if (result == CS_OK) {
		if (kind->changes_members) {
			save_previous_members(s, kind, c);
			s->view = revision;
		}
		kind->apply(s, c);
		cs_add_recent_change(s, cs_json_name(c, "change_id"), revision);
		if (kind->changes_members)
			cs_assign_partitions(s);
	}
	json_decref(c);
	return (result);
}

enum cs_error
cs_check(const struct cs *s, const char *json, char *error, size_t error_size)
{
	const struct cs_error_text reason = {error, error_size};
	const struct cs_change_kind *kind;
	enum cs_error result;
	json_t *c;

	c = json_loads(json, 0, NULL);
	result = cs_check_change(s, c, &kind, &reason);
	json_decref(c);
	return (result);
}

void
cs_assign_partitions(struct cs *s)
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
	const struct cs_recent_change *r;
	guint i;

	for (i = 0; i < s->recent_changes->len; i++) {
		r = &g_array_index(
		    s->recent_changes, struct cs_recent_change, i);
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
cs_previous_members(const struct cs *s, size_t *n, size_t *exited)
{
	*n = s->previous_members->len;
	*exited = s->previous_exited;
	return (
	    (const struct cs_member *)(const void *)s->previous_members->data);
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
cs_az_in_service(const struct cs *s, const char *az)
{
	const struct cs_az *z;

	z = cs_table_find(s->azs, az);
	return (z == NULL || !z->out);
}

const struct cs_endpoint *
cs_endpoint(const struct cs *s, const char *name)
{
	return (cs_table_find(s->endpoints, name));
}

bool
cs_endpoint_in_service(const struct cs *s, const char *name)
{
	const struct cs_endpoint *e;

	e = cs_table_find(s->endpoints, name);
	return (e != NULL && !e->retired && cs_az_in_service(s, e->az));
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
	return (cs_table_find(s->teams, name));
}

const struct cs_team *const *
cs_teams(const struct cs *s, size_t *n)
{
	*n = s->teams->len;
	return ((const struct cs_team *const *)s->teams->pdata);
}

static bool
pattern_matches(const char *pattern, const char *value)
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
		if (!pattern_matches(r->team, team) ||
		    !pattern_matches(r->service, service) ||
		    !pattern_matches(r->az, az))
			continue;
		if (!r->allow && rule != NULL)
			*rule = r->name;
		return (r->allow);
	}
	return (true);
}
