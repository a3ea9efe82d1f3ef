#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "quota.h"

#define JOBS 4
#define NO_DEADLINE UINT64_MAX

static bool
fits_any(void *arg, struct qu_job *j)
{
	(void)arg;
	(void)j;
	return (true);
}

static bool
fits_other(void *arg, struct qu_job *j)
{
	return (j != arg);
}

/* Creates a queue with one lane. */
static struct qu_lane *
lane_new(struct qu **q, struct qu_job *jobs, size_t njobs)
{
	memset(jobs, 0, njobs * sizeof(*jobs));
	*q = qu_new();
	return (qu_lane_new(*q, 0, "a", NULL));
}

/* Grants up to @n tasks of 10 ms; returns how many the lane got. */
static unsigned
grant_tasks(struct qu *q, const struct qu_lane *lane, unsigned n)
{
	struct qu_job *j;
	unsigned got;

	for (got = 0; n > 0; n--) {
		j = qu_next(q, 0, 0, fits_any, NULL);
		if (j == NULL)
			break;
		got += j->lane == lane;
		qu_task_granted(j->lane, 10);
	}
	return (got);
}

/* Guards against a team that gets part of the share of another one. */
static void
test_weighted_shares(void **state)
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
	qu_put(a, &x, 1000, 0, NO_DEADLINE);
	/* Work conserving: alone, "a" gets all grants. */
	assert_int_equal(grant_tasks(q, a, 100), 100);
	/* "a" is not charged for slots that "b" left idle. */
	qu_put(b, &y, 1000, 0, NO_DEADLINE);
	assert_in_range(grant_tasks(q, b, 400), 98, 103);
	qu_remove(&x);
	assert_int_equal(grant_tasks(q, b, 50), 50);
	qu_remove(&y);
	assert_null(qu_next(q, 0, 0, fits_any, NULL));
	qu_free(q);
}

/* Guards against shares by declared size, which a team can understate. */
static void
test_shares_by_used_time(void **state)
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
	qu_put(lanes[0], &jobs[0], 1000, 0, NO_DEADLINE);
	qu_put(lanes[1], &jobs[1], 1000, 0, NO_DEADLINE);
	got[0] = got[1] = 0;
	for (i = 0; i < 400; i++) {
		j = qu_next(q, 0, 0, fits_any, NULL);
		qu_task_granted(j->lane, 10);
		qu_task_ended(j->lane, 10, j == &jobs[0] ? 10 : 30);
		got[j == &jobs[0] ? 0 : 1]++;
	}
	assert_in_range(got[0], 295, 305);
	qu_free(q);
}

/* Guards against a limit that is exceeded, or stays reached. */
static void
test_max_running(void **state)
{
	struct qu_lane *a;
	struct qu_job x;
	struct qu *q;

	(void)state;
	a = lane_new(&q, &x, 1);
	qu_set_team(q, "a", 1, 2);
	qu_put(a, &x, 1000, 0, NO_DEADLINE);
	assert_int_equal(grant_tasks(q, a, 10), 2);
	qu_task_ended(a, 10, 10);
	assert_int_equal(grant_tasks(q, a, 10), 1);
	qu_free(q);
}

/* Guards against a wrong order in a lane, and a job that blocks other lanes. */
static void
test_job_order(void **state)
{
	struct qu_job jobs[JOBS];
	struct qu_lane *a;
	struct qu *q;

	(void)state;
	a = lane_new(&q, jobs, JOBS);
	qu_put(a, &jobs[0], 500, 500, NO_DEADLINE);
	qu_put(a, &jobs[1], 100, 100, NO_DEADLINE);
	qu_put(a, &jobs[2], 900, 900, 2000000);
	assert_ptr_equal(qu_next(q, 0, 0, fits_any, NULL), &jobs[1]);
	/* The latest start of the largest job is near. */
	assert_ptr_equal(qu_next(q, 0, 1990000, fits_any, NULL), &jobs[2]);
	qu_put(a, &jobs[1], 50, 600, NO_DEADLINE);
	assert_ptr_equal(qu_next(q, 0, 0, fits_any, NULL), &jobs[0]);
	/* Only the first job of a lane is tried, but every lane is. */
	qu_put(qu_lane_new(q, 0, "b", NULL), &jobs[3], 9000, 9000, NO_DEADLINE);
	assert_ptr_equal(qu_next(q, 0, 0, fits_other, &jobs[0]), &jobs[3]);
	assert_null(qu_next(q, 1, 0, fits_any, NULL));
	qu_free(q);
}

/* Guards against refusals that count work which a small job goes before. */
static void
test_work_ahead(void **state)
{
	struct qu_job jobs[2];
	struct qu_lane *a;
	struct qu *q;

	(void)state;
	a = lane_new(&q, jobs, 2);
	assert_true(qu_work_ahead_ms(a, 100) == 0);
	qu_put(a, &jobs[0], 10000, 10000, NO_DEADLINE);
	assert_true(qu_work_ahead_ms(a, 100) == 0);
	assert_true(qu_work_ahead_ms(a, 100000) == 10000);
	qu_put(qu_lane_new(q, 0, "b", NULL), &jobs[1], 10, 10, NO_DEADLINE);
	assert_true(qu_work_ahead_ms(a, 100000) == 20000);
	qu_free(q);
}

int
main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_weighted_shares),
	    cmocka_unit_test(test_shares_by_used_time),
	    cmocka_unit_test(test_max_running),
	    cmocka_unit_test(test_job_order),
	    cmocka_unit_test(test_work_ahead),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
