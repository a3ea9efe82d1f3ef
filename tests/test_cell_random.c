#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "cell_sim.h"
#include "log.h"
#include "member_impl.h"
#include "takeover_impl.h"

struct run {
	char violation[512];
	unsigned tasks, started, unknown, takeovers, revisions, accepted;
	unsigned ready; /* entries ready after all faults ended */
	unsigned count;
};

static struct run
run(uint64_t seed, unsigned steps, unsigned mb_variant, unsigned tk_variant)
{
	struct run r;
	struct sim *w;
	unsigned i;

	w = sim_new(seed, mb_variant, tk_variant);
	for (i = 0; i < steps && w->cell->violation[0] == '\0'; i++)
		sim_step();
	sim_heal();
	cell_run(w->cell, 20000);
	memset(&r, 0, sizeof(r));
	memcpy(r.violation, w->cell->violation, sizeof(r.violation));
	r.tasks = w->tasks->len;
	r.started = w->started;
	r.unknown = w->unknown;
	r.takeovers = w->takeovers;
	r.revisions = w->cell->log_rows->len;
	r.accepted = w->cell->accepts->len;
	r.ready = cell_count_ready(w->cell);
	r.count = w->cell->count;
	sim_free(w);
	return (r);
}

static void
print_run(uint64_t seed, const struct run *r)
{
	print_message(
	    "seed %u: %u entries, %u tasks, %u started, %u unknown, "
	    "%u partitions taken over, %u revisions%s%s\n",
	    (unsigned)seed, r->count, r->tasks, r->started, r->unknown,
	    r->takeovers, r->revisions, r->violation[0] != '\0' ? ": " : "",
	    r->violation);
}

static void
seeds_from_env(uint64_t *first, uint64_t *count, uint64_t *steps)
{
	const char *text;
	char **part;

	text = getenv("SEED");
	if (text == NULL)
		return;
	part = g_strsplit(text, ",", 3);
	if (g_strv_length(part) != 3)
		fail_msg("SEED is first,count,steps");
	*first = g_ascii_strtoull(part[0], NULL, 10);
	*count = g_ascii_strtoull(part[1], NULL, 10);
	*steps = g_ascii_strtoull(part[2], NULL, 10);
	g_strfreev(part);
}

/* Checks the rules of the cell under random faults. Seeds are fixed, or given
 * as SEED=first,count,steps to search further. */
static void
test_random_faults(void **state)
{
	uint64_t first, count, steps, seed;
	struct run r;

	(void)state;
	first = 1;
	count = 6;
	steps = 3000;
	seeds_from_env(&first, &count, &steps);
	for (seed = first; seed < first + count; seed++) {
		r = run(seed, (unsigned)steps, 0, 0);
		print_run(seed, &r);
		assert_string_equal("", r.violation);
		assert_int_equal(r.count, r.ready);
		assert_true(r.started > r.tasks / 10);
		assert_true(r.takeovers > 0);
	}
}

/* Guards against random faults that are too weak: a run without a mechanism
 * must violate a rule. */
static void
test_random_detects_missing_mechanism(void **state)
{
	static const struct {
		const char *name;
		unsigned mb_variant, tk_variant;
		uint64_t
		    first; /* first of the seeds, one of which detects it */
		unsigned seeds;
	} cases[] = {
	    {"vote by name", MB_V_VOTE_BY_NAME, 0, 1, 12},
	    {"age from reply", MB_V_AGE_FROM_REPLY, 0, 2, 12},
	    {"concurrent list changes", MB_V_CONCURRENT_LIST_CHANGES, 0, 6, 12},
	    {"small quorum", MB_V_SMALL_QUORUM, 0, 1, 12},
	    /* Rounding differs between machines: seed 12 detects it on x86-64,
	     * 26 on arm64. */
	    {"no wait", 0, TK_V_NO_WAIT, 12, 15},
	    {"no age", 0, TK_V_IGNORE_AGENT_START, 1, 12},
	};
	struct run r;
	uint64_t seed;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (seed = cases[i].first, r.violation[0] = '\0';
		     seed < cases[i].first + cases[i].seeds &&
		     r.violation[0] == '\0';
		     seed++)
			r = run(seed, 4000, cases[i].mb_variant,
			    cases[i].tk_variant);
		if (r.violation[0] == '\0')
			fail_msg("no violation with %s", cases[i].name);
		print_message("%s, seed %u: %s\n", cases[i].name,
		    (unsigned)(seed - 1), r.violation);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_random_faults),
	    cmocka_unit_test(test_random_detects_missing_mechanism),
	};

	lg_open("test_cell_random", LOG_ERR);
	return (cmocka_run_group_tests(tests, NULL, NULL));
}
