#include <glib.h>
#include <string.h>

#include "cancels.h"
#include "clock.h"
#include "log.h"

struct job {
	char *id;
	uint64_t expires_ms;
};

struct uc {
	const struct ck *clock;
	GHashTable *entries; /* address -> GPtrArray of struct job, oldest
				first, owned */
};

static void
job_free(void *p)
{
	struct job *k = p;

	g_free(k->id);
	g_free(k);
}

struct uc *
uc_new(const struct ck *clock)
{
	struct uc *c = g_new0(struct uc, 1);

	c->clock = clock;
	c->entries = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
	return (c);
}

void
uc_free(struct uc *c)
{
	if (c == NULL)
		return;
	g_hash_table_destroy(c->entries);
	g_free(c);
}

/* Jobs kept for an entry, without those that have expired; NULL for none. */
static GPtrArray *
jobs_for(struct uc *c, const char *address)
{
	GPtrArray *jobs = g_hash_table_lookup(c->entries, address);
	uint64_t now = ck_mono_ms(c->clock);

	while (jobs != NULL && jobs->len > 0 &&
	    now >= ((struct job *)jobs->pdata[0])->expires_ms)
		g_ptr_array_remove_index(jobs, 0);
	if (jobs == NULL || jobs->len > 0)
		return (jobs);
	g_hash_table_remove(c->entries, address);
	return (NULL);
}

void
uc_add(struct uc *c, const char *address, const char *id)
{
	GPtrArray *jobs = jobs_for(c, address);
	struct job *k = g_new0(struct job, 1);

	if (jobs == NULL) {
		jobs = g_ptr_array_new_with_free_func(job_free);
		g_hash_table_insert(c->entries, g_strdup(address), jobs);
	}
	if (jobs->len >= UC_JOBS_MAX) {
		lg_write(LOG_WARNING, "gossip",
		    "entry %s is not told that job %s is cancelled: too many "
		    "wait",
		    address, ((struct job *)jobs->pdata[0])->id);
		g_ptr_array_remove_index(jobs, 0);
	}
	k->id = g_strdup(id);
	k->expires_ms = ck_mono_ms(c->clock) + UC_KEEP_MS;
	g_ptr_array_add(jobs, k);
}

void
uc_remove(struct uc *c, const char *address, const char *id)
{
	GPtrArray *jobs = jobs_for(c, address);
	guint i;

	if (jobs == NULL)
		return;
	for (i = jobs->len; i-- > 0;)
		if (strcmp(((struct job *)jobs->pdata[i])->id, id) == 0)
			g_ptr_array_remove_index(jobs, i);
}

void
uc_each(struct uc *c, const char *address, uc_visit_fn visit, void *arg)
{
	GPtrArray *jobs = jobs_for(c, address);
	guint i;

	if (jobs == NULL)
		return;
	/* Backwards, since a visit may remove its job. */
	for (i = jobs->len; i-- > 0;)
		visit(arg, ((struct job *)jobs->pdata[i])->id);
}
