#include <glib.h>

#include "heap.h"

static void
set_node(struct hp *h, struct hp_node *n, uint32_t pos)
{
	h->nodes[pos] = n;
	n->pos = pos;
}

static void
sift_up(struct hp *h, struct hp_node *n, uint32_t pos)
{
	while (pos > 1 && n->key < h->nodes[pos / 2]->key) {
		set_node(h, h->nodes[pos / 2], pos);
		pos /= 2;
	}
	set_node(h, n, pos);
}

static void
sift_down(struct hp *h, struct hp_node *n, uint32_t pos)
{
	uint32_t child;

	for (; (child = 2 * pos) <= h->count; pos = child) {
		if (child < h->count &&
		    h->nodes[child + 1]->key < h->nodes[child]->key)
			child++;
		if (n->key <= h->nodes[child]->key)
			break;
		set_node(h, h->nodes[child], pos);
	}
	set_node(h, n, pos);
}

static void
sift(struct hp *h, struct hp_node *n, uint32_t pos)
{
	if (pos > 1 && n->key < h->nodes[pos / 2]->key)
		sift_up(h, n, pos);
	else
		sift_down(h, n, pos);
}

void
hp_set(struct hp *h, struct hp_node *n, uint64_t key)
{
	n->key = key;
	if (n->pos != 0) {
		sift(h, n, n->pos);
		return;
	}
	if (h->count + 1 >= h->size) {
		h->size = h->size == 0 ? 16 : h->size * 2;
		h->nodes = g_renew(struct hp_node *, h->nodes, h->size);
	}
	sift_up(h, n, ++h->count);
}

void
hp_remove(struct hp *h, struct hp_node *n)
{
	struct hp_node *last;
	uint32_t pos;

	pos = n->pos;
	if (pos == 0)
		return;
	n->pos = 0;
	last = h->nodes[h->count--];
	if (last != n)
		sift(h, last, pos);
}

struct hp_node *
hp_first(const struct hp *h)
{
	return (h->count > 0 ? h->nodes[1] : NULL);
}

void
hp_release(struct hp *h)
{
	g_free(h->nodes);
	h->nodes = NULL;
	h->count = h->size = 0;
}
