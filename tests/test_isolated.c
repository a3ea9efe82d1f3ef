#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "cell.h"
#include "member_impl.h"

#define SEED 7
#define ENTRIES 3

static void
set_agents(struct cell *c, unsigned node, unsigned agents)
{
	mb_set_agent_count(c->nodes[node].mb, agents);
}

static size_t
count_members(const struct cell *c, unsigned node)
{
	size_t n;

	cs_members(mb_state(c->nodes[node].mb), &n);
	return (n);
}

static struct cell *
started(void)
{
	struct cell *c = cell_new(ENTRIES, SEED);
	unsigned i;

	for (i = 0; i < ENTRIES; i++)
		cell_start(c, i);
	cell_run(c, 10000);
	assert_int_equal(ENTRIES, cell_count_ready(c));
	return (c);
}

/*
 * Guards against submissions that wait at an owner without agents: it still
 * reaches the other entries and the platform, so it is not removed as missing.
 */
static void
test_isolated_entry_leaves(void **state)
{
	struct cell *c = started();
	unsigned i;

	(void)state;
	for (i = 0; i < ENTRIES; i++)
		set_agents(c, i, 4);
	cell_run(c, 1000);
	set_agents(c, 1, 0);
	cell_run(c, MB_ISOLATION_TIMEOUT_MS - 500);
	assert_int_equal(ENTRIES, count_members(c, 0));
	cell_run(c, 3000);
	assert_int_equal(ENTRIES - 1, count_members(c, 0));
	cell_run(c, 10000);
	assert_int_equal(ENTRIES - 1, count_members(c, 0));
	set_agents(c, 1, 1);
	cell_run(c, 3000);
	assert_int_equal(ENTRIES, count_members(c, 0));
	assert_int_equal(ENTRIES, cell_count_ready(c));
	assert_string_equal("", c->violation);
	cell_free(c);
}

/* Guards against entries that leave when no entry has agents. */
static void
test_no_agents_anywhere(void **state)
{
	struct cell *c = started();
	unsigned i;

	(void)state;
	for (i = 0; i < ENTRIES; i++)
		set_agents(c, i, 4);
	cell_run(c, 1000);
	for (i = 0; i < ENTRIES; i++)
		set_agents(c, i, 0);
	cell_run(c, 20000);
	assert_int_equal(ENTRIES, count_members(c, 0));
	assert_int_equal(ENTRIES, cell_count_ready(c));
	cell_free(c);
}

/* Guards against a change of the list after a short loss of agents. */
static void
test_short_loss(void **state)
{
	struct cell *c = started();
	unsigned i, round;

	(void)state;
	for (i = 0; i < ENTRIES; i++)
		set_agents(c, i, 4);
	for (round = 0; round < 4; round++) {
		set_agents(c, 1, 0);
		cell_run(c, MB_ISOLATION_TIMEOUT_MS - 1000);
		set_agents(c, 1, 4);
		cell_run(c, 500);
	}
	assert_int_equal(ENTRIES, count_members(c, 0));
	cell_free(c);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_isolated_entry_leaves),
	    cmocka_unit_test(test_no_agents_anywhere),
	    cmocka_unit_test(test_short_loss),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
