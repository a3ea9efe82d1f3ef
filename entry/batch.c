#include <glib.h>
#include <string.h>

#include "batch.h"

#define BUFFER_KEEP_BYTES 65536

void
ba_append(struct ba *b, xdrproc_t encode, const void *item, size_t max_bytes)
{
	XDR xdr;

	if (b->len + max_bytes > b->size) {
		b->size = MAX(2 * b->size, b->len + max_bytes);
		b->bytes = g_realloc(b->bytes, b->size);
	}
	xdrmem_create(&xdr, b->bytes + b->len, (u_int)max_bytes, XDR_ENCODE);
	if (!encode(&xdr, (void *)(uintptr_t)item, 0))
		g_error("a batch item needs more than %zu bytes", max_bytes);
	b->len += xdr_getpos(&xdr);
	b->count++;
}

bool_t
xdr_ba(XDR *xdrs, struct ba *b)
{
	return (xdr_u_int(xdrs, &b->count) &&
	    xdr_opaque(xdrs, b->bytes, (u_int)b->len));
}

void
ba_reset(struct ba *b)
{
	b->count = 0;
	b->len = 0;
	if (b->size > BUFFER_KEEP_BYTES)
		ba_release(b);
}

void
ba_release(struct ba *b)
{
	g_free(b->bytes);
	memset(b, 0, sizeof(*b));
}
