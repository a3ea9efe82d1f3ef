#ifndef POOL_H
#define POOL_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: pl - pool of items that are referred to by handles
 *
 * A handle holds an index and a generation, so that a stale handle, whose item
 * was released, is recognised. PL_NONE is never a valid handle.
 */
struct pl;
typedef uint64_t pl_handle;

#define PL_NONE ((pl_handle)0)

/**
 * pl_new() - empty pool
 * @item_size: bytes per item
 */
struct pl *pl_new(size_t item_size);

/** pl_free() - free the pool and all items; @p is consumed, NULL is allowed */
void pl_free(struct pl *p);

/**
 * pl_alloc() - add a zeroed item
 * @p: pool
 * @item: set to the item, or NULL; items never move
 *
 * Return: handle of the new item.
 */
pl_handle pl_alloc(struct pl *p, void **item);

/** pl_get() - item of a handle, borrowed; NULL if it was released */
void *pl_get(const struct pl *p, pl_handle h);

/** pl_release() - release an item; no effect on a stale handle */
void pl_release(struct pl *p, pl_handle h);

/** pl_count() - number of items */
size_t pl_count(const struct pl *p);

/**
 * pl_next() - iterate over the items
 * @p: pool
 * @h: previous handle, PL_NONE to get the first item
 *
 * Return: next handle in index order, PL_NONE at the end. The item of @h may
 * have been released in the meantime.
 */
pl_handle pl_next(const struct pl *p, pl_handle h);

#endif
