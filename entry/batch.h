#ifndef BATCH_H
#define BATCH_H

#include <rpc/rpc.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: ba - list of XDR items that is encoded item by item
 *
 * A batch has the wire format of `item list<>`. Encoding each item when it
 * is added needs no deep copy of items whose memory is borrowed.
 */
struct ba {
	uint32_t count;
	size_t len;
	size_t size;
	char *bytes;
};

/**
 * ba_append() - encode an item at the end
 * @xitem: encoder
 * @item: borrowed
 * @bound: greatest number of bytes that the item needs
 */
void ba_append(struct ba *b, xdrproc_t xitem, const void *item, size_t bound);

/** xdr_ba() - encoder of a whole batch for cn_send() */
bool_t xdr_ba(XDR *xdrs, struct ba *b);

/** ba_reset() - empty a batch, keeping at most a small buffer */
void ba_reset(struct ba *b);

/** ba_release() - free the buffer */
void ba_release(struct ba *b);

#endif
