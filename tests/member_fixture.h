#ifndef MEMBER_FIXTURE_H
#define MEMBER_FIXTURE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "cell.h"
#include "log.h"
#include "member_impl.h"

/**
 * DOC: helpers for cells that the tests of mb share
 */

#define AZ_OUT_CHANGE                                                          \
	"{\"change_id\":\"c1\",\"kind\":\"az_out\",\"az\":\"armor\"}"

static inline struct cell *
start_cell(unsigned count, unsigned variant)
{
	struct cell *c;
	unsigned i;

	c = cell_new(count, 1);
	c->variant = variant;
	for (i = 0; i < count; i++)
		cell_start(c, i);
	cell_run(c, 3000);
	return (c);
}

static inline unsigned
count_log_rows(const struct cell *c, const char *kind)
{
	unsigned n;
	guint i;

	n = 0;
	for (i = 0; i < c->log_rows->len; i++) {
		if (strstr(c->log_rows->pdata[i], kind) != NULL)
			n++;
	}
	return (n);
}

static inline size_t
count_members(const struct cell *c, unsigned node)
{
	size_t n;

	(void)cs_members(mb_state(c->nodes[node].mb), &n);
	return (n);
}

static inline uint64_t
revision_of(const struct cell *c, unsigned node)
{
	return (cs_revision(mb_state(c->nodes[node].mb)));
}

static inline bool
is_verified(const struct cell *c, unsigned node)
{
	return (mb_verified(c->nodes[node].mb));
}

/* Runs for a time; false if the number of ready entries ever differed. */
static inline bool
ready_count_stays(struct cell *c, unsigned ready, uint64_t ms)
{
	for (; ms > 0; ms -= 10) {
		cell_run(c, 10);
		if (cell_count_ready(c) != ready)
			return (false);
	}
	return (true);
}

/* Cuts or restores the network between two groups of nodes, given as bit
 * masks. */
static inline void
set_cut(struct cell *c, unsigned left, unsigned right, bool cut)
{
	unsigned a, b;

	for (a = 0; a < c->count; a++) {
		for (b = 0; b < c->count; b++) {
			if ((left >> a & 1) != 0 && (right >> b & 1) != 0)
				cell_set_cut(c, a, b, cut);
		}
	}
}

#endif
