#include <glib.h>
#include <string.h>

#include "support_state.h"

struct rule {
	char *name;
	char *team;
	char *service;
	char *az;
};

struct cs {
	GPtrArray *endpoints;
	GPtrArray *teams;
	GPtrArray *rules;
	GHashTable *out; /* zones out of service */
};

static void
endpoint_free(gpointer p)
{
	struct cs_endpoint *e = p;

	g_free(e->name);
	g_free(e->az);
	g_free(e->service);
	g_free(e);
}

static void
team_free(gpointer p)
{
	struct cs_team *t = p;

	g_free(t->name);
	g_free(t);
}

static void
rule_free(gpointer p)
{
	struct rule *r = p;

	g_free(r->name);
	g_free(r->team);
	g_free(r->service);
	g_free(r->az);
	g_free(r);
}

struct cs *
cs_new(void)
{
	struct cs *s;

	s = g_new0(struct cs, 1);
	s->endpoints = g_ptr_array_new_with_free_func(endpoint_free);
	s->teams = g_ptr_array_new_with_free_func(team_free);
	s->rules = g_ptr_array_new_with_free_func(rule_free);
	s->out = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return (s);
}

void
cs_free(struct cs *s)
{
	if (s == NULL)
		return;
	g_ptr_array_free(s->endpoints, TRUE);
	g_ptr_array_free(s->teams, TRUE);
	g_ptr_array_free(s->rules, TRUE);
	g_hash_table_destroy(s->out);
	g_free(s);
}

void
ss_az(struct cs *s, const char *az, bool in)
{
	if (in)
		g_hash_table_remove(s->out, az);
	else
		g_hash_table_add(s->out, g_strdup(az));
}

void
ss_endpoint(struct cs *s, const char *name, const char *az, const char *service,
    unsigned slots)
{
	struct cs_endpoint *e;

	e = g_new0(struct cs_endpoint, 1);
	e->name = g_strdup(name);
	e->az = g_strdup(az);
	e->service = g_strdup(service);
	e->slots = slots;
	g_ptr_array_add(s->endpoints, e);
}

void
ss_retire(struct cs *s, const char *name)
{
	((struct cs_endpoint *)cs_endpoint(s, name))->retired = true;
}

void
ss_team(struct cs *s, const char *name, unsigned weight, unsigned max_running)
{
	struct cs_team *t;

	t = (struct cs_team *)cs_team(s, name);
	if (t == NULL) {
		t = g_new0(struct cs_team, 1);
		t->name = g_strdup(name);
		g_ptr_array_add(s->teams, t);
	}
	t->weight = weight;
	t->max_running = max_running;
}

void
ss_forbid(struct cs *s, const char *rule, const char *team, const char *service,
    const char *az)
{
	struct rule *r;

	r = g_new0(struct rule, 1);
	r->name = g_strdup(rule);
	r->team = g_strdup(team);
	r->service = g_strdup(service);
	r->az = g_strdup(az);
	g_ptr_array_add(s->rules, r);
}

const struct cs_member *
cs_members(const struct cs *s, size_t *n)
{
	(void)s;
	*n = 0;
	return (NULL);
}

bool
cs_az_in(const struct cs *s, const char *az)
{
	return (!g_hash_table_contains(s->out, az));
}

const struct cs_endpoint *
cs_endpoint(const struct cs *s, const char *name)
{
	const struct cs_endpoint *e;
	guint i;

	for (i = 0; i < s->endpoints->len; i++) {
		e = g_ptr_array_index(s->endpoints, i);
		if (strcmp(e->name, name) == 0)
			return (e);
	}
	return (NULL);
}

bool
cs_endpoint_in_service(const struct cs *s, const char *name)
{
	const struct cs_endpoint *e;

	e = cs_endpoint(s, name);
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
	const struct cs_team *t;
	guint i;

	for (i = 0; i < s->teams->len; i++) {
		t = g_ptr_array_index(s->teams, i);
		if (strcmp(t->name, name) == 0)
			return (t);
	}
	return (NULL);
}

const struct cs_team *const *
cs_teams(const struct cs *s, size_t *n)
{
	*n = s->teams->len;
	return ((const struct cs_team *const *)s->teams->pdata);
}

static bool
matches(const char *pattern, const char *name)
{
	return (pattern[0] == '\0' || strcmp(pattern, name) == 0);
}

bool
cs_allowed(const struct cs *s, const char *team, const char *service,
    const char *az, const char **rule)
{
	const struct rule *r;
	guint i;

	for (i = 0; i < s->rules->len; i++) {
		r = g_ptr_array_index(s->rules, i);
		if (matches(r->team, team) && matches(r->service, service) &&
		    matches(r->az, az)) {
			if (rule != NULL)
				*rule = r->name;
			return (false);
		}
	}
	return (true);
}
