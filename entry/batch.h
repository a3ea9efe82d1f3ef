#ifndef BATCH_H
#define BATCH_H

#include <rpc/rpc.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: ba - batch: an XDR list whose items are encoded as they are appended
 *
 * A batch has the wire format of `item list<>`. Encoding an item at once avoids
 * a deep copy of items whose memory is borrowed.
 */
struct ba {
	uint32_t count; /* items */
	size_t len;     /* bytes used */
	size_t size;    /* bytes allocated */
	char *bytes;
};

/**
 * ba_append() - encode an item at the end of a batch
 * @encode: XDR function of the item's type
 * @item: borrowed
 * @max_bytes: greatest encoded size of the item; the process aborts when the
 *     item needs more
 */
void ba_append(
    struct ba *b, xdrproc_t encode, const void *item, size_t max_bytes);

/** xdr_ba() - XDR function of a whole batch, for cn_send(); encodes only */
bool_t xdr_ba(XDR *xdrs, struct ba *b);

/** ba_reset() - empty a batch; frees a buffer of more than 64 KiB */
void ba_reset(struct ba *b);

/** ba_release() - free the buffer */
void ba_release(struct ba *b);

#endif
