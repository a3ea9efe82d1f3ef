#include <glib.h>
#include <string.h>

#include "batch.h"

#define KEEP_BYTES 65536

void
ba_append(struct ba *b, xdrproc_t xitem, const void *item, size_t bound)
{
	XDR xdr;

	if (b->len + bound > b->size) {
		b->size = MAX(2 * b->size, b->len + bound);
		b->bytes = g_realloc(b->bytes, b->size);
	}
	xdrmem_create(&xdr, b->bytes + b->len, (u_int)bound, XDR_ENCODE);
	if (!xitem(&xdr, (void *)(uintptr_t)item, 0))
		g_error("an item needs more than %zu bytes", bound);
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
	if (b->size > KEEP_BYTES)
		ba_release(b);
}

void
ba_release(struct ba *b)
{
	g_free(b->bytes);
	memset(b, 0, sizeof(*b));
}
