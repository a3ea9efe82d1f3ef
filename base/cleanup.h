#ifndef CLEANUP_H
#define CLEANUP_H

#include <stdlib.h>

/**
 * DOC: clean-up attributes
 *
 * `CLEANUP(xx_freep) struct xx *p = NULL;` releases p at the end of its scope.
 * CLEANUP_DEFINE() defines xx_freep() from the release function of the module.
 * `autofree` frees a pointer that was allocated with malloc().
 */
#define CLEANUP(fn) __attribute__((cleanup(fn)))

#define CLEANUP_DEFINE(name, type, release)                                    \
	static inline void name(type **p)                                      \
	{                                                                      \
		if (*p != NULL)                                                \
			release(*p);                                           \
	}

static inline void
cleanup_free(void *p)
{
	free(*(void **)p);
}

#define autofree CLEANUP(cleanup_free)

#endif
