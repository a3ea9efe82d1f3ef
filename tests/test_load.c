#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "load.h"
#include "model.h"

/* Replays loads on the model of a cell: the decisions of entries and agents at
 * loads that a single decision does not show. */

#define LOADS "../bench/loads/"
#define SEEDS 3
/* Users expect a cell with free capacity to serve practically all jobs. */
#define SERVED_WITH_ROOM 0.99
/* Users expect no kind of job to be served much less than the others. */
#define WORST_CLASS 0.1
/* Users expect the median refusal within this time. */
#define REFUSAL_MS 20

struct sums {
	struct md_class all;
	struct md_class kinds[MD_KINDS_MAX];
	unsigned nkinds;
	unsigned twice;
};

static void
add(struct md_class *to, const struct md_class *c)
{
	to->asked += c->asked;
	to->in_time += c->in_time;
	to->late += c->late;
	to->too_late += c->too_late;
	to->refused += c->refused;
	to->gave_up += c->gave_up;
	to->failed += c->failed;
}

/* Replays a load with several seeds, with @scale times its arrivals. */
static struct sums
replay(const char *path, double scale)
{
	struct sums s = {0};
	struct md_result *r;
	struct md_load load;
	char message[256];
	unsigned i, k;

	if (!ld_read(path, &load, message, sizeof(message)))
		fail_msg("%s", message);
	ld_scale(&load, scale);
	s.nkinds = load.nkinds;
	for (i = 0; i < SEEDS; i++) {
		load.seed = i + 1;
		r = md_run(&load);
		add(&s.all, &r->all);
		for (k = 0; k < load.nkinds; k++)
			add(&s.kinds[k], &r->kinds[k]);
		s.twice += r->twice;
		md_result_free(r);
	}
	return (s);
}

/* Guards against long jobs that are not served because short ones queue for the
 * few fast workers, while most workers have room. */
static void
test_fast_workers_for_long_jobs(void **state)
{
	struct sums s;
	unsigned i;

	(void)state;
	s = replay(LOADS "order-desk.toml", 1.25);
	for (i = 0; i < s.nkinds; i++)
		assert_true(md_share(&s.kinds[i]) >= SERVED_WITH_ROOM);
}

static void
assert_shared(struct sums s)
{
	unsigned i;

	for (i = 0; i < s.nkinds; i++)
		assert_true(
		    md_share(&s.kinds[i]) >= md_share(&s.all) - WORST_CLASS);
}

/* Guards against refusing mostly urgent jobs under overload, because jobs with
 * longer deadlines fill the queues; and against the opposite. */
static void
test_overload_is_shared(void **state)
{
	(void)state;
	assert_shared(replay(LOADS "order-desk.toml", 2));
	assert_shared(replay(LOADS "order-desk-evacuated.toml", 1));
}

/* Guards against callers that wait for a refusal. */
static void
test_refusals_are_quick(void **state)
{
	struct md_result *r;
	struct md_load load;
	char message[256];

	(void)state;
	assert_true(
	    ld_read(LOADS "order-desk.toml", &load, message, sizeof(message)));
	ld_scale(&load, 2.5);
	r = md_run(&load);
	assert_true(r->all.refused > 0);
	assert_true(r->all.refusal_ms <= REFUSAL_MS);
	md_result_free(r);
}

/* Guards against a result that depends on anything but the load. */
static void
test_same_seed_same_result(void **state)
{
	struct md_result *a, *b;
	struct md_load load;
	char message[256];

	(void)state;
	assert_true(ld_read(
	    LOADS "order-desk-bursts.toml", &load, message, sizeof(message)));
	a = md_run(&load);
	b = md_run(&load);
	assert_memory_equal(&a->all, &b->all, sizeof(a->all));
	assert_memory_equal(a->kinds, b->kinds, sizeof(a->kinds));
	assert_memory_equal(
	    a->windows, b->windows, a->nwindows * sizeof(*a->windows));
	assert_int_equal(a->starts, b->starts);
	md_result_free(a);
	md_result_free(b);
}

/* Guards against two runs of a task at the same time while workers slow down
 * and lose their power. */
static void
test_no_task_twice(void **state)
{
	struct sums s;

	(void)state;
	s = replay(LOADS "order-desk-bursts.toml", 1.25);
	assert_int_equal(0, s.twice);
	assert_true(s.all.asked > 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_fast_workers_for_long_jobs),
	    cmocka_unit_test(test_overload_is_shared),
	    cmocka_unit_test(test_refusals_are_quick),
	    cmocka_unit_test(test_same_seed_same_result),
	    cmocka_unit_test(test_no_task_twice),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
