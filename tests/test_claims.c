#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib.h>

#include "claims.h"
#include "clock.h"
#include "lease.h"

/* Tests when a job starts that another entry may have. */

#define WAITERS_MAX 8

struct fixture {
	struct ck *clock;
	struct cw *claims;
	uint64_t resumed[WAITERS_MAX];
	unsigned nresumed;
	unsigned ndropped;
};

static void
resume(void *arg, uint64_t waiter)
{
	struct fixture *f = arg;

	f->resumed[f->nresumed++] = waiter;
}

static void
drop(void *arg, uint64_t waiter)
{
	struct fixture *f = arg;

	(void)waiter;
	f->ndropped++;
}

static int
set_up(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->clock = ck_new_manual(1000, 1000);
	f->claims = cw_new(f->clock, resume, f);
	*state = f;
	return (0);
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;

	cw_free(f->claims);
	ck_free(f->clock);
	g_free(f);
	return (0);
}

/* Guards against a delay of jobs that no other entry has. */
static void
test_resumed_at_once(void **state)
{
	struct fixture *f = *state;
	uint64_t number;

	assert_true(cw_add(f->claims, "a", 7, &number));
	cw_answered(f->claims, number, false);
	assert_int_equal(1, f->nresumed);
	assert_int_equal(7, f->resumed[0]);
	assert_false(cw_contains(f->claims, "a"));
}

/* Guards against a start while the run for another entry goes on, also for a
 * second request: the other entry does not have the job when asked again. */
static void
test_resumed_after_other_runs(void **state)
{
	struct fixture *f = *state;
	uint64_t number, same;

	assert_true(cw_add(f->claims, "a", 7, &number));
	cw_tick(f->claims);
	assert_int_equal(0, f->nresumed);
	cw_answered(f->claims, number, true);
	assert_false(cw_add(f->claims, "a", 8, &same));
	assert_int_equal(number, same);
	ck_advance_ms(f->clock, LE_UNREACHABLE_MS);
	cw_tick(f->claims);
	assert_int_equal(0, f->nresumed);
	ck_advance_ms(f->clock, 1);
	cw_tick(f->claims);
	assert_int_equal(2, f->nresumed);
	assert_false(cw_contains(f->claims, "a"));
}

/* Guards against the start of a job that was cancelled while it waited. */
static void
test_cancelled_while_waiting(void **state)
{
	struct fixture *f = *state;
	uint64_t first, second;

	assert_true(cw_add(f->claims, "a", 7, &first));
	assert_true(cw_add(f->claims, "b", 8, &second));
	assert_true(cw_remove(f->claims, "a", drop));
	assert_false(cw_remove(f->claims, "a", drop));
	assert_int_equal(1, f->ndropped);
	cw_answered(f->claims, first, false);
	assert_int_equal(0, f->nresumed);
	cw_answered(f->claims, second, false);
	assert_int_equal(1, f->nresumed);
	assert_int_equal(8, f->resumed[0]);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    T(test_resumed_at_once),
	    T(test_resumed_after_other_runs),
	    T(test_cancelled_while_waiting),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
