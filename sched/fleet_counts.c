#include <glib.h>

#include "fleet_impl.h"

/* Maximum age of the numbers of workers by service and label. */
#define COUNTS_MAX_AGE_MS 1000

static char *
service_and_label(const struct fl_worker *w, const char *label)
{
	return (g_strdup_printf("%s %s", w->service, label));
}

static void
increment_count(
    GHashTable *counts, const struct fl_worker *w, const char *label)
{
	char *key = service_and_label(w, label);
	unsigned n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, key));

	g_hash_table_insert(counts, key, GUINT_TO_POINTER(n + 1));
}

static unsigned
count_of(GHashTable *counts, const struct fl_worker *w, const char *label)
{
	g_autofree char *key = service_and_label(w, label);

	return (GPOINTER_TO_UINT(g_hash_table_lookup(counts, key)));
}

static void
count_worker(GHashTable *counts, const struct fl_worker *w)
{
	unsigned i;

	if (w->session == 0 || !w->accepting)
		return;
	increment_count(counts, w, "");
	for (i = 0; w->labels[i] != NULL; i++)
		if (w->labels[i][0] != '\0')
			increment_count(counts, w, w->labels[i]);
}

static void
set_counts(GHashTable *counts, struct fl_worker *w)
{
	unsigned i;

	w->service_workers = count_of(counts, w, "");
	w->label_workers = w->service_workers;
	for (i = 0; w->labels[i] != NULL; i++)
		if (w->labels[i][0] != '\0')
			w->label_workers = MIN(w->label_workers,
			    count_of(counts, w, w->labels[i]));
}

void
fl_count_workers(struct fl *f)
{
	g_autoptr(GHashTable) counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uint64_t now = ck_mono_ms(f->clock);
	guint i;

	if (now - f->counted_ms < COUNTS_MAX_AGE_MS)
		return;
	f->counted_ms = now;
	for (i = 0; i < f->workers->len; i++)
		count_worker(counts, f->workers->pdata[i]);
	for (i = 0; i < f->workers->len; i++)
		set_counts(counts, f->workers->pdata[i]);
}
