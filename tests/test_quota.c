#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "quota.h"

#define JOBS 4
#define FAR UINT64_MAX

static bool
any(void *arg, struct qu_job *j)
{
	(void)arg;
	(void)j;
	return (true);
}

static bool
not_this(void *arg, struct qu_job *j)
{
	return (j != arg);
}

/* A lane of a new team in a new order. */
static struct qu_lane *
lane_new(struct qu **q, struct qu_job *jobs, size_t njobs)
{
	memset(jobs, 0, njobs * sizeof(*jobs));
	*q = qu_new();
	return (qu_lane_new(*q, 0, "a", NULL));
}

/* Grants @n tasks of 10 ms; returns how many the lane got. */
static unsigned
grants(struct qu *q, const struct qu_lane *lane, unsigned n)
{
	struct qu_job *j;
	unsigned got;

	for (got = 0; n > 0; n--) {
		j = qu_next(q, 0, 0, any, NULL);
		if (j == NULL)
			break;
		got += j->lane == lane;
		qu_task_granted(j->lane, 10);
	}
	return (got);
}

/* Guards against a team that takes the share of another one. */
static void
test_shares(void **state)
{
	struct qu_lane *a, *b;
	struct qu_job x, y;
	struct qu *q;

	(void)state;
	memset(&x, 0, sizeof(x));
	memset(&y, 0, sizeof(y));
	q = qu_new();
	qu_set_team(q, "a", 3, 0);
	qu_set_team(q, "b", 1, 0);
	a = qu_lane_new(q, 0, "a", NULL);
	b = qu_lane_new(q, 0, "b", NULL);
	qu_put(a, &x, 1000, 0, FAR);
	/* Work conserving: alone, "a" gets everything. */
	assert_int_equal(grants(q, a, 100), 100);
	/* What "a" used while "b" was idle is not held against it. */
	qu_put(b, &y, 1000, 0, FAR);
	assert_in_range(grants(q, b, 400), 98, 103);
	qu_remove(&x);
	assert_int_equal(grants(q, b, 50), 50);
	qu_remove(&y);
	assert_null(qu_next(q, 0, 0, any, NULL));
	qu_free(q);
}

/* Guards against shares by declared sizes, which a team could understate. */
static void
test_actual_use(void **state)
{
	struct qu_lane *lanes[2];
	struct qu_job jobs[2];
	unsigned i, got[2];
	struct qu_job *j;
	struct qu *q;

	(void)state;
	memset(jobs, 0, sizeof(jobs));
	q = qu_new();
	lanes[0] = qu_lane_new(q, 0, "short", NULL);
	lanes[1] = qu_lane_new(q, 0, "understated", NULL);
	qu_put(lanes[0], &jobs[0], 1000, 0, FAR);
	qu_put(lanes[1], &jobs[1], 1000, 0, FAR);
	got[0] = got[1] = 0;
	for (i = 0; i < 400; i++) {
		j = qu_next(q, 0, 0, any, NULL);
		qu_task_granted(j->lane, 10);
		qu_task_ended(j->lane, 10, j == &jobs[0] ? 10 : 30);
		got[j == &jobs[0] ? 0 : 1]++;
	}
	assert_in_range(got[0], 295, 305);
	qu_free(q);
}

/* Guards against a limit that is exceeded or never lifted. */
static void
test_max_running(void **state)
{
	struct qu_lane *a;
	struct qu_job x;
	struct qu *q;

	(void)state;
	a = lane_new(&q, &x, 1);
	qu_set_team(q, "a", 1, 2);
	qu_put(a, &x, 1000, 0, FAR);
	assert_int_equal(grants(q, a, 10), 2);
	qu_task_ended(a, 10, 10);
	assert_int_equal(grants(q, a, 10), 1);
	qu_free(q);
}

/* Guards against a wrong order within a team, and a job that blocks others. */
static void
test_order(void **state)
{
	struct qu_job jobs[JOBS];
	struct qu_lane *a;
	struct qu *q;

	(void)state;
	a = lane_new(&q, jobs, JOBS);
	qu_put(a, &jobs[0], 500, 500, FAR);
	qu_put(a, &jobs[1], 100, 100, FAR);
	qu_put(a, &jobs[2], 900, 900, 2000000);
	assert_ptr_equal(qu_next(q, 0, 0, any, NULL), &jobs[1]);
	/* The latest start of the largest job is near. */
	assert_ptr_equal(qu_next(q, 0, 1990000, any, NULL), &jobs[2]);
	qu_put(a, &jobs[1], 50, 600, FAR);
	assert_ptr_equal(qu_next(q, 0, 0, any, NULL), &jobs[0]);
	/* A lane offers its first job only; another lane is not held up. */
	qu_put(qu_lane_new(q, 0, "b", NULL), &jobs[3], 9000, 9000, FAR);
	assert_ptr_equal(qu_next(q, 0, 0, not_this, &jobs[0]), &jobs[3]);
	assert_null(qu_next(q, 1, 0, any, NULL));
	qu_free(q);
}

/* Guards against refusals that count work which a small job overtakes. */
static void
test_ahead(void **state)
{
	struct qu_job jobs[2];
	struct qu_lane *a;
	struct qu *q;

	(void)state;
	a = lane_new(&q, jobs, 2);
	assert_true(qu_work_ahead_ms(a, 100) == 0);
	qu_put(a, &jobs[0], 10000, 10000, FAR);
	assert_true(qu_work_ahead_ms(a, 100) == 0);
	assert_true(qu_work_ahead_ms(a, 100000) == 10000);
	qu_put(qu_lane_new(q, 0, "b", NULL), &jobs[1], 10, 10, FAR);
	assert_true(qu_work_ahead_ms(a, 100000) == 20000);
	qu_free(q);
}

int
main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_shares),
	    cmocka_unit_test(test_actual_use),
	    cmocka_unit_test(test_max_running),
	    cmocka_unit_test(test_order),
	    cmocka_unit_test(test_ahead),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
