#include <glib.h>
#include <stdarg.h>

#include "clock.h"
#include "history.h"

/* Events of one submission. The first half of the array keeps the oldest
 * events; the second half is a ring buffer of the latest. */
struct event_list {
	GList link;
	char *id;
	struct hi_event *events;
	size_t count;
	size_t next;
	size_t dropped;
};

struct hi {
	struct ck *clock;
	size_t submissions_max;
	size_t events_max;
	GHashTable *lists;
	GQueue order; /* oldest submission first */
	uint64_t evicted;
};

static void
event_list_free(gpointer p)
{
	struct event_list *l = p;
	size_t i;

	for (i = 0; i < l->count; i++)
		g_free((char *)l->events[i].text);
	g_free(l->events);
	g_free(l->id);
	g_free(l);
}

struct hi *
hi_new(struct ck *clock, size_t submissions_max, size_t events_max)
{
	struct hi *h;

	h = g_new0(struct hi, 1);
	h->clock = clock;
	h->submissions_max = submissions_max > 0 ? submissions_max : 1;
	h->events_max = events_max > 1 ? events_max : 2;
	h->lists = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, event_list_free);
	g_queue_init(&h->order);
	return (h);
}

void
hi_free(struct hi *h)
{
	if (h == NULL)
		return;
	g_hash_table_destroy(h->lists);
	g_free(h);
}

static void
evict_oldest(struct hi *h)
{
	struct event_list *l;

	l = g_queue_peek_head(&h->order);
	g_queue_unlink(&h->order, &l->link);
	g_hash_table_remove(h->lists, l->id);
	h->evicted++;
}

static struct event_list *
event_list_get(struct hi *h, const char *id)
{
	struct event_list *l;

	l = g_hash_table_lookup(h->lists, id);
	if (l != NULL)
		return (l);
	if (h->order.length >= h->submissions_max)
		evict_oldest(h);
	l = g_new0(struct event_list, 1);
	l->id = g_strdup(id);
	l->link.data = l;
	g_hash_table_insert(h->lists, l->id, l);
	g_queue_push_tail_link(&h->order, &l->link);
	return (l);
}

static struct hi_event *
event_slot(const struct hi *h, struct event_list *l)
{
	struct hi_event *e;

	if (l->count < h->events_max) {
		l->events = g_renew(struct hi_event, l->events, l->count + 1);
		l->next = h->events_max / 2;
		return (&l->events[l->count++]);
	}
	e = &l->events[l->next];
	l->next++;
	if (l->next == h->events_max)
		l->next = h->events_max / 2;
	g_free((char *)e->text);
	l->dropped++;
	return (e);
}

void
hi_add(struct hi *h, const struct pd_id *id, const char *what, const char *fmt,
    ...)
{
	struct hi_event *e;
	char text[256];
	va_list args;

	if (h == NULL)
		return;
	va_start(args, fmt);
	g_vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	e = event_slot(h, event_list_get(h, id->id));
	e->wall_ms = ck_wall_ms(h->clock);
	e->what = what;
	e->text = g_strdup(text);
}

size_t
hi_visit(const struct hi *h, const char *id,
    void (*visit)(void *arg, const struct hi_event *e), void *arg,
    size_t *dropped)
{
	const struct event_list *l;
	size_t half, i;

	*dropped = 0;
	l = g_hash_table_lookup(h->lists, id);
	if (l == NULL)
		return (0);
	*dropped = l->dropped;
	half = h->events_max / 2;
	for (i = 0; i < l->count && i < half; i++)
		visit(arg, &l->events[i]);
	for (i = l->next; i < l->count; i++)
		visit(arg, &l->events[i]);
	for (i = half; i < l->next && i < l->count; i++)
		visit(arg, &l->events[i]);
	return (l->count);
}

uint64_t
hi_evicted(const struct hi *h)
{
	return (h->evicted);
}
