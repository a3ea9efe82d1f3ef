#ifndef LOAD_FIXTURE_H
#define LOAD_FIXTURE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "load.h"
#include "model.h"

/**
 * DOC: replays of loads on the model of a cell, to find faults that only show
 * in the interplay of many decisions of entries and agents
 */

#define LOADS_DIR "../bench/loads/"
#define SEEDS 3

struct totals {
	struct md_outcomes all;
	struct md_outcomes kinds[MD_KINDS_MAX];
	struct md_outcomes classes[MD_KINDS_MAX][MD_CLASSES];
	unsigned nkinds;
	unsigned duplicate_runs;
};

static inline void
add_outcomes(struct md_outcomes *to, const struct md_outcomes *c)
{
	to->submitted += c->submitted;
	to->in_time += c->in_time;
	to->late += c->late;
	to->too_late += c->too_late;
	to->refused += c->refused;
	to->gave_up += c->gave_up;
	to->failed += c->failed;
}

/* Replays a load with SEEDS seeds and its arrivals multiplied by @scale. */
static inline struct totals
replay_by(const char *path, double scale, bool by_value)
{
	struct totals s = {0};
	struct md_result *r;
	struct md_load load;
	char message[256];
	unsigned i, k, n;

	if (!ld_read(path, &load, message, sizeof(message)))
		fail_msg("%s", message);
	ld_scale(&load, scale);
	load.by_value = by_value;
	s.nkinds = load.nkinds;
	for (i = 0; i < SEEDS; i++) {
		load.seed = i + 1;
		r = md_run(&load);
		add_outcomes(&s.all, &r->all);
		for (k = 0; k < load.nkinds; k++) {
			add_outcomes(&s.kinds[k], &r->kinds[k]);
			for (n = 0; n < MD_CLASSES; n++)
				add_outcomes(
				    &s.classes[k][n], &r->classes[k][n]);
		}
		s.duplicate_runs += r->duplicate_runs;
		md_result_free(r);
	}
	return (s);
}

static inline struct totals
replay(const char *path, double scale)
{
	return (replay_by(path, scale, false));
}

#endif
