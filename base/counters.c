#include <glib.h>
#include <inttypes.h>
#include <stdatomic.h>

#include "counters.h"

struct ct_metric {
	enum ct_kind kind;
	char *name;
	char *help;
	char *labels;
	atomic_llong value;
};

struct ct {
	GMutex lock;
	GTree *metrics; /* "name{labels}" to ct_metric, in output order */
};

static void
metric_free(void *p)
{
	struct ct_metric *m = p;

	g_free(m->name);
	g_free(m->help);
	g_free(m->labels);
	g_free(m);
}

static int
key_compare(const void *a, const void *b, void *arg)
{
	(void)arg;
	return (g_strcmp0(a, b));
}

struct ct *
ct_new(void)
{
	struct ct *c;

	c = g_new0(struct ct, 1);
	g_mutex_init(&c->lock);
	c->metrics = g_tree_new_full(key_compare, NULL, g_free, metric_free);
	return (c);
}

void
ct_free(struct ct *c)
{
	if (c == NULL)
		return;
	g_tree_destroy(c->metrics);
	g_mutex_clear(&c->lock);
	g_free(c);
}

struct ct_metric *
ct_get(struct ct *c, enum ct_kind kind, const char *name, const char *help,
    const char *labels)
{
	struct ct_metric *m;
	char *key;

	key = g_strdup_printf("%s{%s}", name, labels);
	g_mutex_lock(&c->lock);
	m = g_tree_lookup(c->metrics, key);
	if (m == NULL) {
		m = g_new0(struct ct_metric, 1);
		m->kind = kind;
		m->name = g_strdup(name);
		m->help = g_strdup(help);
		m->labels = g_strdup(labels);
		g_tree_insert(c->metrics, key, m);
		key = NULL;
	}
	g_mutex_unlock(&c->lock);
	g_free(key);
	return (m);
}

void
ct_add(struct ct_metric *m, int64_t n)
{
	atomic_fetch_add_explicit(&m->value, n, memory_order_relaxed);
}

void
ct_set(struct ct_metric *m, int64_t n)
{
	atomic_store_explicit(&m->value, n, memory_order_relaxed);
}

int64_t
ct_value(const struct ct_metric *m)
{
	return (atomic_load_explicit(&m->value, memory_order_relaxed));
}

void
ct_increment(struct ct *c, const char *name, const char *help, const char *key,
    const char *value)
{
	char labels[128];

	g_snprintf(labels, sizeof(labels), "%s=\"%s\"", key, value);
	ct_add(ct_get(c, CT_COUNTER, name, help, labels), 1);
}

struct render {
	GString *out;
	const char *previous_name; /* HELP and TYPE are written once per name */
};

static int
render_metric(void *key, void *value, void *arg)
{
	const struct ct_metric *m = value;
	struct render *r = arg;

	(void)key;
	if (g_strcmp0(r->previous_name, m->name) != 0)
		g_string_append_printf(r->out, "# HELP %s %s\n# TYPE %s %s\n",
		    m->name, m->help, m->name,
		    m->kind == CT_COUNTER ? "counter" : "gauge");
	r->previous_name = m->name;
	if (m->labels[0] != '\0')
		g_string_append_printf(r->out, "%s{%s} %" PRId64 "\n", m->name,
		    m->labels, ct_value(m));
	else
		g_string_append_printf(
		    r->out, "%s %" PRId64 "\n", m->name, ct_value(m));
	return (0);
}

char *
ct_render(struct ct *c)
{
	struct render r = {g_string_new(NULL), NULL};

	g_mutex_lock(&c->lock);
	g_tree_foreach(c->metrics, render_metric, &r);
	g_mutex_unlock(&c->lock);
	return (g_string_free(r.out, FALSE));
}
