#ifndef TAKEOVER_IMPL_H
#define TAKEOVER_IMPL_H

#include "takeover.h"

/**
 * DOC: mechanisms of tk that tests switch off to show what they guard
 */
enum tk_variant {
	TK_V_NONE = 0,
	TK_V_NO_WAIT = 1 << 0,     /* do not wait out a removed owner */
	TK_V_NO_PROBE = 1 << 1,    /* trust agents fenced before the wait */
	TK_V_NO_AGE = 1 << 2,      /* ignore when the agents started */
	TK_V_ALWAYS_WAIT = 1 << 3, /* never skip the wait */
	TK_V_NO_HISTORY = 1 << 4,  /* forget owners before the last one */
};

/** tk_set_variant() - switch mechanisms off, for tests only */
void tk_set_variant(struct tk *t, unsigned variant);

#endif
