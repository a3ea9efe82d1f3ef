#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib.h>

#include "bounds_impl.h"

/* Tests the decisions on connections, without any. */

#define NOW_MS 100000
#define MB (1024 * 1024)
#define LIMIT (8 * MB)

static struct bd_settings
default_settings(void)
{
	return ((struct bd_settings){
	    .read_ahead_bytes = 65536, .request_ms = 15000});
}

/* Guards against a program that does not start on the smallest hosts, or whose
 * limits exceed their memory or descriptors. */
static void
test_smallest_hosts(void **state)
{
	static const struct {
		unsigned memory_mb;
		unsigned descriptors;
	} hosts[] = {{120, 3075}, {128, 4096}, {512, 10250}};
	struct bd_settings s = default_settings();
	struct bd_limits limits;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(hosts); i++) {
		s.memory_mb = hosts[i].memory_mb;
		s.descriptors = hosts[i].descriptors;
		assert_null(bd_limits_derive(&s, 1 << 20, &limits));
		assert_in_range(limits.memory_bytes, 16 * MB,
		    (uint64_t)hosts[i].memory_mb * MB / 2);
		assert_in_range(
		    limits.connections, 2000, hosts[i].descriptors - 200);
	}
	/* The process has fewer descriptors than the host. */
	assert_null(bd_limits_derive(&s, 1024, &limits));
	assert_in_range(limits.connections, 256, 1024 - 200);
	s = default_settings();
	assert_null(bd_limits_derive(&s, 1024, &limits));
	assert_in_range(limits.memory_bytes, 16 * MB, 60 * MB);
	/* RLIM_INFINITY */
	assert_null(bd_limits_derive(&s, UINT64_MAX, &limits));
}

/* Guards against limits under which no request would be served, or that the
 * host cannot keep. */
static void
test_contradictions(void **state)
{
	struct bd_settings s = default_settings();
	struct bd_limits limits;

	(void)state;
	assert_non_null(bd_limits_derive(&s, 300, &limits));
	s.descriptors = 400;
	assert_non_null(bd_limits_derive(&s, 1024, &limits));
	s.descriptors = 1024;
	s.connections = 5;
	assert_non_null(bd_limits_derive(&s, 1024, &limits));
	s.connections = 1000;
	assert_non_null(bd_limits_derive(&s, 1024, &limits));
	s.connections = 100;
	assert_null(bd_limits_derive(&s, 1024, &limits));
	assert_int_equal(100, limits.connections_each);
	s.memory_mb = 8;
	assert_non_null(bd_limits_derive(&s, 1024, &limits));
	s.memory_mb = 100;
	s.memory_bytes = 101LL * MB;
	assert_non_null(bd_limits_derive(&s, 1024, &limits));
	s.memory_bytes = MB;
	assert_non_null(bd_limits_derive(&s, 1024, &limits));
	s.memory_bytes = 16LL * MB;
	s.read_ahead_bytes = 5LL * MB;
	assert_non_null(bd_limits_derive(&s, 1024, &limits));
	s.read_ahead_bytes = MB;
	assert_null(bd_limits_derive(&s, 1024, &limits));
	assert_int_equal(16 * MB, limits.memory_bytes);
}

/* Guards against closing a connection that is in use for a new one. */
static void
test_victims(void **state)
{
	const struct bd_view idle = {.last_ms = NOW_MS - 10},
			     longer_idle = {.last_ms = NOW_MS - 20},
			     receiving = {.last_ms = NOW_MS - 30,
				 .request_ms = NOW_MS - 30},
			     slow = {.last_ms = NOW_MS,
				 .request_ms = NOW_MS - 2000},
			     unread = {.unread_ms = NOW_MS - 3000},
			     handled = {.request_ms = NOW_MS - 9000,
				 .handled = true},
			     closing = {.closing = true};

	(void)state;
	assert_true(bd_is_idle(&idle, NOW_MS, 0));
	assert_false(bd_is_idle(&idle, NOW_MS, 500));
	assert_false(bd_is_idle(&receiving, NOW_MS, 0));
	assert_false(bd_is_idle(&unread, NOW_MS, 0));
	assert_false(bd_is_idle(&handled, NOW_MS, 0));
	assert_false(bd_is_idle(&closing, NOW_MS, 0));
	assert_false(bd_is_slow(&receiving, NOW_MS));
	assert_false(bd_is_slow(&handled, NOW_MS));
	assert_false(bd_is_slow(&closing, NOW_MS));
	assert_true(bd_is_slow(&slow, NOW_MS));
	assert_true(bd_is_slow(&unread, NOW_MS));
	assert_true(bd_precedes_victim(&longer_idle, &idle));
	assert_false(bd_precedes_victim(&idle, &longer_idle));
	assert_true(bd_precedes_victim(&idle, &slow));
	assert_false(bd_precedes_victim(&slow, &idle));
	assert_true(bd_precedes_victim(&unread, &slow));
}

/* Guards against requests that never end, and against giving up a request that
 * takes long to serve. */
static void
test_overdue(void **state)
{
	struct bd_view v = {.last_ms = NOW_MS, .request_ms = NOW_MS - 100};

	(void)state;
	assert_false(bd_is_overdue(&v, NOW_MS, 100));
	assert_true(bd_is_overdue(&v, NOW_MS + 1, 100));
	v.handled = true;
	assert_false(bd_is_overdue(&v, NOW_MS + 10000, 100));
	/* The next request is not parsed while a response is sent. */
	v.handled = false;
	v.unread_ms = NOW_MS;
	assert_false(bd_is_overdue(&v, NOW_MS + 100, 100));
	assert_true(bd_is_overdue(&v, NOW_MS + 101, 100));
	v = (struct bd_view){0};
	assert_false(bd_is_overdue(&v, NOW_MS, 100));
}

/* Guards against closing connections before reading has paused, against a pause
 * that lasts, and against one that ends and begins all the time. */
static void
test_memory(void **state)
{
	(void)state;
	assert_int_equal(BD_RUN, bd_memory_action(false, 0, LIMIT, LIMIT));
	assert_int_equal(
	    BD_PAUSE, bd_memory_action(false, 0, LIMIT + 1, LIMIT));
	assert_int_equal(BD_PAUSE, bd_memory_action(false, 0, 9 * MB, LIMIT));
	assert_int_equal(BD_PAUSE, bd_memory_action(true, 5, 9 * MB, LIMIT));
	assert_int_equal(BD_CLOSE, bd_memory_action(true, 60, 9 * MB, LIMIT));
	assert_int_equal(BD_CLOSE, bd_memory_action(true, 5, 11 * MB, LIMIT));
	assert_int_equal(BD_PAUSE, bd_memory_action(true, 60, 7 * MB, LIMIT));
	assert_int_equal(BD_CLOSE, bd_memory_action(true, 600, 7 * MB, LIMIT));
	assert_int_equal(BD_RUN, bd_memory_action(true, 60, 6 * MB, LIMIT));
	assert_int_equal(6 * MB, bd_memory_goal(LIMIT));
}

/* Guards against giving up work in progress while others only hold memory. */
static void
test_largest(void **state)
{
	const struct bd_view large = {.held = 100}, small = {.held = 10},
			     handled = {.held = 1000, .handled = true};

	(void)state;
	assert_true(bd_precedes_large(&large, &small));
	assert_false(bd_precedes_large(&small, &large));
	assert_true(bd_precedes_large(&small, &handled));
	assert_false(bd_precedes_large(&handled, &large));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_smallest_hosts),
	    cmocka_unit_test(test_contradictions),
	    cmocka_unit_test(test_victims),
	    cmocka_unit_test(test_overdue),
	    cmocka_unit_test(test_memory),
	    cmocka_unit_test(test_largest),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
