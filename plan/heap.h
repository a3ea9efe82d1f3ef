#ifndef HEAP_H
#define HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: hp - binary min-heap of nodes embedded in the items
 *
 * A node knows its position, so an item can be moved or removed in O(log n).
 */

/** struct hp_node - member of an item; zeroed when in no heap */
struct hp_node {
	uint64_t key;
	uint32_t pos; /* 1-based, 0 when in no heap */
};

/** struct hp - heap; zeroed when empty */
struct hp {
	struct hp_node **nodes;
	uint32_t count;
	uint32_t size;
};

/** hp_item() - item of type @type that holds node @n as @member */
#define hp_item(n, type, member)                                               \
	((type *)(void *)((char *)(n)-offsetof(type, member)))

/** hp_set() - insert a node, or change its key if it is in the heap */
void hp_set(struct hp *h, struct hp_node *n, uint64_t key);

/** hp_remove() - remove a node; no effect if it is in no heap */
void hp_remove(struct hp *h, struct hp_node *n);

/** hp_first() - node with the least key, borrowed; NULL when empty */
struct hp_node *hp_first(const struct hp *h);

/** hp_release() - free the memory of a heap; the nodes are not touched */
void hp_release(struct hp *h);

/** hp_has() - whether a node is in a heap */
static inline bool
hp_has(const struct hp_node *n)
{
	return (n->pos != 0);
}

#endif
