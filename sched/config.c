#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"

struct cf {
	struct pd_config current;
	GHashTable *index; /* key of host and prefix -> struct pd_queue */
	GArray *lengths;   /* size_t, lengths of the prefixes, longest first */
	uint64_t zones_confirmed_ms; /* 0: not yet */
};

struct cf *
cf_new(void)
{
	struct cf *c = g_new0(struct cf, 1);

	c->index = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->lengths = g_array_new(FALSE, FALSE, sizeof(size_t));
	return (c);
}

void
cf_free(struct cf *c)
{
	if (c == NULL)
		return;
	g_hash_table_destroy(c->index);
	g_array_free(c->lengths, TRUE);
	cf_release(&c->current);
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
static void
copy_queues(const struct pd_config *from, struct pd_config *to)
{
	unsigned i;

	to->revision = from->revision;
	to->header_bytes = from->header_bytes;
	to->body_bytes = from->body_bytes;
	to->queues.queues_len = from->queues.queues_len;
	to->queues.queues_val =
	    calloc(from->queues.queues_len + 1, sizeof(struct pd_queue));
	for (i = 0; i < from->queues.queues_len; i++)
		copy_queue(
		    &from->queues.queues_val[i], &to->queues.queues_val[i]);
}

static void
copy_zones(const struct pd_config *from, struct pd_config *to)
{
	unsigned i;

	to->zones_revision = from->zones_revision;
	to->evacuated.evacuated_len = from->evacuated.evacuated_len;
	to->evacuated.evacuated_val =
	    calloc(from->evacuated.evacuated_len + 1, sizeof(pd_name));
	for (i = 0; i < from->evacuated.evacuated_len; i++)
		to->evacuated.evacuated_val[i] =
		    strdup(from->evacuated.evacuated_val[i]);
}

static void
free_queues(struct pd_config *c)
{
	struct pd_queue *q;
	unsigned i;

	for (i = 0; i < c->queues.queues_len; i++) {
		q = &c->queues.queues_val[i];
		free(q->name);
		free(q->host);
		free(q->prefix);
		free(q->service);
	}
	free(c->queues.queues_val);
	memset(&c->queues, 0, sizeof(c->queues));
}

static void
free_zones(struct pd_config *c)
{
	unsigned i;

	for (i = 0; i < c->evacuated.evacuated_len; i++)
		free(c->evacuated.evacuated_val[i]);
	free(c->evacuated.evacuated_val);
	memset(&c->evacuated, 0, sizeof(c->evacuated));
}

/* xdr_free() stops at a text that exceeds its limit. */
void
cf_release(struct pd_config *config)
{
	free_queues(config);
	free_zones(config);
	memset(config, 0, sizeof(*config));
}

/* Host names are not case-sensitive, and have no blanks. */
static char *
index_key(const char *host, size_t host_len, const char *path, size_t path_len)
{
	char *key = g_malloc(host_len + 1 + path_len + 1);
	size_t i;

	for (i = 0; i < host_len; i++)
		key[i] = g_ascii_tolower(host[i]);
	key[host_len] = ' ';
	memcpy(key + host_len + 1, path, path_len);
	key[host_len + 1 + path_len] = '\0';
	return (key);
}

static void
add_length(GArray *lengths, size_t len)
{
	guint i;

	for (i = 0; i < lengths->len; i++)
		if (g_array_index(lengths, size_t, i) <= len)
			break;
	if (i == lengths->len || g_array_index(lengths, size_t, i) != len)
		g_array_insert_val(lengths, i, len);
}

/* Indexes the queues of the current configuration, which is a copy of @config.
 * Of queues with the same host and prefix, the first one counts. */
static void
index_queues(struct cf *c, const struct pd_config *config)
{
	const struct pd_queue *q;
	size_t len;
	unsigned i;
	char *key;

	g_hash_table_remove_all(c->index);
	g_array_set_size(c->lengths, 0);
	for (i = 0; i < config->queues.queues_len; i++) {
		q = &config->queues.queues_val[i];
		len = strlen(q->prefix);
		key = index_key(q->host, strlen(q->host), q->prefix, len);
		if (g_hash_table_contains(c->index, key)) {
			g_free(key);
			continue;
		}
		g_hash_table_insert(
		    c->index, key, &c->current.queues.queues_val[i]);
		add_length(c->lengths, len);
	}
}

bool
cf_apply(struct cf *c, const struct pd_config *config)
{
	bool queues = config->revision > c->current.revision;
	bool zones = config->zones_revision > c->current.zones_revision;

	if (queues) {
		free_queues(&c->current);
		copy_queues(config, &c->current);
		index_queues(c, config);
	}
	if (zones) {
		free_zones(&c->current);
		copy_zones(config, &c->current);
	}
	return (queues || zones);
}

/* Raises a revision, unless it is 0: the part is not known. */
static void
raise_revision(u_quad_t *revision, uint64_t to)
{
	if (*revision != 0 && to > *revision)
		*revision = to;
}

void
cf_confirm(struct cf *c, uint64_t revision, uint64_t zones_revision)
{
	raise_revision(&c->current.revision, revision);
	raise_revision(&c->current.zones_revision, zones_revision);
}

void
cf_confirm_zones(struct cf *c, uint64_t at_ms)
{
	c->zones_confirmed_ms = at_ms;
}

struct pd_zones_known
cf_zones_known(const struct cf *c, uint64_t now_ms)
{
	struct pd_zones_known known = {
	    .revision = c->current.zones_revision, .age_ms = PD_AGE_UNKNOWN};

	if (c->zones_confirmed_ms != 0)
		known.age_ms = (unsigned)(now_ms - c->zones_confirmed_ms);
	return (known);
}

struct pd_zones
cf_zones(const struct cf *c)
{
	struct pd_zones zones = {
	    .revision = c->current.zones_revision,
	    .evacuated = {.evacuated_len = c->current.evacuated.evacuated_len,
		.evacuated_val = c->current.evacuated.evacuated_val},
	};

	return (zones);
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

uint64_t
cf_zones_revision(const struct cf *c)
{
	return (c->current.zones_revision);
}

bool
cf_complete(const struct cf *c)
{
	return (c->current.revision != 0 && c->current.zones_revision != 0);
}

const struct pd_config *
cf_current(const struct cf *c)
{
	return (&c->current);
}

const struct pd_queue *
cf_match(const struct cf *c, const char *host, const char *path)
{
	size_t host_len = strcspn(host, ":"), path_len = strlen(path), len;
	const struct pd_queue *q = NULL;
	char *key = index_key(host, host_len, path, path_len);
	guint i;

	/* Shortens the key to each length of a prefix in turn. */
	for (i = 0; i < c->lengths->len && q == NULL; i++) {
		len = g_array_index(c->lengths, size_t, i);
		if (len > path_len)
			continue;
		key[host_len + 1 + len] = '\0';
		q = g_hash_table_lookup(c->index, key);
	}
	g_free(key);
	return (q);
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
