#include <glib.h>

#include "pool.h"

struct slot {
	uint32_t generation;
	uint32_t used;
	void *item;
};

struct pl {
	size_t item_size;
	size_t count;
	GArray *slots;
	GArray *unused; /* indexes of released slots */
};

static uint32_t
handle_index(pl_handle h)
{
	return ((uint32_t)h);
}

static pl_handle
make_handle(const struct slot *s, uint32_t index)
{
	return (((pl_handle)s->generation << 32) | index);
}

static struct slot *
slot_at(const struct pl *p, uint32_t index)
{
	return (&g_array_index(p->slots, struct slot, index));
}

static struct slot *
find_slot(const struct pl *p, pl_handle h)
{
	struct slot *s;

	if (h == PL_NONE || handle_index(h) >= p->slots->len)
		return (NULL);
	s = slot_at(p, handle_index(h));
	if (!s->used || s->generation != (uint32_t)(h >> 32))
		return (NULL);
	return (s);
}

struct pl *
pl_new(size_t item_size)
{
	struct pl *p;

	p = g_new0(struct pl, 1);
	p->item_size = item_size;
	p->slots = g_array_new(FALSE, TRUE, sizeof(struct slot));
	p->unused = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	return (p);
}

void
pl_free(struct pl *p)
{
	guint i;

	if (p == NULL)
		return;
	for (i = 0; i < p->slots->len; i++)
		g_free(slot_at(p, i)->item);
	g_array_free(p->slots, TRUE);
	g_array_free(p->unused, TRUE);
	g_free(p);
}

pl_handle
pl_alloc(struct pl *p, void **item)
{
	struct slot *s;
	uint32_t index;

	if (p->unused->len > 0) {
		index = g_array_index(p->unused, uint32_t, p->unused->len - 1);
		g_array_set_size(p->unused, p->unused->len - 1);
	} else {
		index = p->slots->len;
		g_array_set_size(p->slots, index + 1);
	}
	s = slot_at(p, index);
	s->generation++;
	if (s->generation == 0)
		s->generation = 1;
	s->used = 1;
	s->item = g_malloc0(p->item_size);
	p->count++;
	if (item != NULL)
		*item = s->item;
	return (make_handle(s, index));
}

void *
pl_get(const struct pl *p, pl_handle h)
{
	const struct slot *s;

	s = find_slot(p, h);
	return (s != NULL ? s->item : NULL);
}

void
pl_release(struct pl *p, pl_handle h)
{
	struct slot *s;
	uint32_t index;

	s = find_slot(p, h);
	if (s == NULL)
		return;
	g_free(s->item);
	s->item = NULL;
	s->used = 0;
	p->count--;
	index = handle_index(h);
	g_array_append_val(p->unused, index);
}

size_t
pl_count(const struct pl *p)
{
	return (p->count);
}

pl_handle
pl_next(const struct pl *p, pl_handle h)
{
	const struct slot *s;
	uint32_t i;

	for (i = h == PL_NONE ? 0 : handle_index(h) + 1; i < p->slots->len;
	     i++) {
		s = slot_at(p, i);
		if (s->used)
			return (make_handle(s, i));
	}
	return (PL_NONE);
}
