#include "load_fixture.h"

/* Replays loads in which the jobs of a kind are of very different size. */

/* Target: the largest tenth of the jobs of a kind, and the fifth below it, are
 * served at least half as often as the whole kind. */
#define SERVED_FLOOR 0.5
/* Target: as long as there is capacity, a job whose client waits is served,
 * whatever its size. */
#define SERVED_MIN 0.98

static void
assert_sizes_served(double scale, double served_min)
{
	struct totals s = replay(LOADS_DIR "patient-clients.toml", scale);
	double kind, largest, fifth;
	unsigned i;

	for (i = 0; i < s.nkinds; i++) {
		kind = md_served_share(&s.kinds[i]);
		largest = md_served_share(&s.classes[i][MD_LARGEST_TENTH]);
		fifth = md_served_share(&s.classes[i][MD_FIFTH_BELOW]);
		print_message(
		    "load x%.1f, kind %u: served %.3f, largest tenth "
		    "%.3f, fifth below it %.3f\n",
		    scale, i, kind, largest, fifth);
		assert_true(kind >= served_min);
		assert_true(largest >= MAX(kind * SERVED_FLOOR, served_min));
		assert_true(fifth >= MAX(kind * SERVED_FLOOR, served_min));
	}
	assert_int_equal(0, s.duplicate_runs);
}

/* Guards against the largest jobs being cut off by the time-out of their queue
 * while their clients wait on. */
static void
test_largest_served_while_clients_wait(void **state)
{
	(void)state;
	assert_sizes_served(1, SERVED_MIN);
}

/* The same while demand exceeds the capacity. */
static void
test_largest_served_under_contention(void **state)
{
	(void)state;
	assert_sizes_served(2, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_largest_served_while_clients_wait),
	    cmocka_unit_test(test_largest_served_under_contention),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
