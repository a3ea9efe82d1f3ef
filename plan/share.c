#include <glib.h>

#include "share.h"

struct sh_team {
	char *name;
	unsigned weight;
	unsigned queued;
	unsigned running;
};

struct sh {
	GHashTable *teams; /* name -> struct sh_team */
};

static void
team_free(void *p)
{
	struct sh_team *t = p;

	g_free(t->name);
	g_free(t);
}

struct sh *
sh_new(void)
{
	struct sh *s;

	s = g_new0(struct sh, 1);
	s->teams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_free);
	return (s);
}

void
sh_free(struct sh *s)
{
	if (s == NULL)
		return;
	g_hash_table_destroy(s->teams);
	g_free(s);
}

struct sh_team *
sh_queue(struct sh *s, const char *name, unsigned weight)
{
	struct sh_team *t;

	t = g_hash_table_lookup(s->teams, name);
	if (t == NULL) {
		t = g_new0(struct sh_team, 1);
		t->name = g_strdup(name);
		g_hash_table_insert(s->teams, t->name, t);
	}
	t->weight = MAX(weight, 1);
	t->queued++;
	return (t);
}

static void
drop_unused(struct sh *s, struct sh_team *t)
{
	if (t->queued == 0 && t->running == 0)
		g_hash_table_remove(s->teams, t->name);
}

void
sh_start(struct sh_team *t)
{
	t->queued--;
	t->running++;
}

void
sh_unqueue(struct sh *s, struct sh_team *t)
{
	t->queued--;
	drop_unused(s, t);
}

void
sh_end(struct sh *s, struct sh_team *t)
{
	t->running--;
	drop_unused(s, t);
}

double
sh_next_share(const struct sh_team *t)
{
	return ((t->running + 1.0) / t->weight);
}

double
sh_queued_share(const struct sh_team *t)
{
	return ((double)t->queued / t->weight);
}
