#include <glib.h>
#include <string.h>
#include <strings.h>

#include "config.h"

struct cf {
	struct pd_config current;
};

struct cf *
cf_new(void)
{
	return (g_new0(struct cf, 1));
}

static void
free_contents(struct pd_config *c)
{
	xdr_free((xdrproc_t)xdr_pd_config, (char *)c);
	memset(c, 0, sizeof(*c));
}

void
cf_free(struct cf *c)
{
	if (c == NULL)
		return;
	free_contents(&c->current);
	g_free(c);
}

static void
copy_queue(const struct pd_queue *from, struct pd_queue *to)
{
	*to = *from;
	to->name = strdup(from->name);
	to->host = strdup(from->host);
	to->prefix = strdup(from->prefix);
	to->service = strdup(from->service);
}

/* Memory is from malloc(), since xdr_free() releases it with free(). */
void
cf_copy(const struct pd_config *from, struct pd_config *to)
{
	unsigned i;

	*to = *from;
	to->queues.queues_val =
	    calloc(from->queues.queues_len + 1, sizeof(struct pd_queue));
	to->evacuated.evacuated_val =
	    calloc(from->evacuated.evacuated_len + 1, sizeof(pd_name));
	for (i = 0; i < from->queues.queues_len; i++)
		copy_queue(
		    &from->queues.queues_val[i], &to->queues.queues_val[i]);
	for (i = 0; i < from->evacuated.evacuated_len; i++)
		to->evacuated.evacuated_val[i] =
		    strdup(from->evacuated.evacuated_val[i]);
}

bool
cf_apply(struct cf *c, const struct pd_config *config)
{
	if (config->revision <= c->current.revision)
		return (false);
	free_contents(&c->current);
	cf_copy(config, &c->current);
	return (true);
}

void
cf_confirm(struct cf *c, uint64_t revision)
{
	if (c->current.revision != 0 && revision > c->current.revision)
		c->current.revision = revision;
}

bool
cf_fits(const struct pd_config *config)
{
	return (xdr_sizeof(
		    (xdrproc_t)xdr_pd_config, (void *)(uintptr_t)config) != 0);
}

uint64_t
cf_revision(const struct cf *c)
{
	return (c->current.revision);
}

const struct pd_config *
cf_current(const struct cf *c)
{
	return (&c->current);
}

static bool
host_matches(const struct pd_queue *q, const char *host)
{
	size_t len = strcspn(host, ":");

	return (strlen(q->host) == len && strncasecmp(q->host, host, len) == 0);
}

const struct pd_queue *
cf_match(const struct cf *c, const char *host, const char *path)
{
	const struct pd_queue *q, *best = NULL;
	size_t len, longest = 0;
	unsigned i;

	for (i = 0; i < c->current.queues.queues_len; i++) {
		q = &c->current.queues.queues_val[i];
		len = strlen(q->prefix);
		if (!host_matches(q, host) ||
		    strncmp(path, q->prefix, len) != 0)
			continue;
		if (best == NULL || len > longest) {
			best = q;
			longest = len;
		}
	}
	return (best);
}

bool
cf_evacuated(const struct cf *c, const char *az)
{
	unsigned i;

	for (i = 0; i < c->current.evacuated.evacuated_len; i++)
		if (strcmp(c->current.evacuated.evacuated_val[i], az) == 0)
			return (true);
	return (false);
}
