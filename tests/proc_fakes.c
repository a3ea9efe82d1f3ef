#include <glib.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "harness.h"
#include "harness_log.h"

/*
 * Tests of the test programs in fakes/. The other process tests rely on them,
 * so that a fault in them would make the results of all of these wrong.
 */

static int
set_up(void **state)
{
	*state = hn_new();
	return (0);
}

static int
tear_down(void **state)
{
	hn_free(*state);
	return (0);
}

static unsigned
start_platform(struct hn *h)
{
	const char *argv[] = {"fakes/fake_platform", NULL};
	unsigned port;

	hn_wait_ready(hn_start(h, "platform", argv), &port, 1);
	return (port);
}

static unsigned
start_endpoint(struct hn *h, const char *option, const char *value)
{
	char *log = hn_path(h, "starts.log");
	const char *argv[] = {"fakes/fake_endpoint", "--name", "e", "--log",
	    log, "--slots", "2", option, value, NULL};
	unsigned port;

	hn_wait_ready(hn_start(h, "endpoint", argv), &port, 1);
	g_free(log);
	return (port);
}

#define INSERT(key, value)                                                     \
	"{\"expected_revision\":[{\"table\":\"t\",\"part\":\"\",\"key\":"      \
	"\"" key                                                               \
	"\",\"ver\":0}],\"writes\":[{\"table\":\"t\",\"part\":\"\",\"key\":"   \
	"\"" key "\",\"value\":\"" value "\"}]}"

static long
transact(unsigned port, const char *body)
{
	return (hn_http("POST", port, "/v1/rows-tx", body, NULL, NULL));
}

/* Value of the only row with a key, "" when there is none. */
static char *
value_of(unsigned port, const char *key)
{
	json_t *answer = NULL;
	char *path =
	    g_strdup_printf("/v1/rows-get?table=t&part=&from=%s&limit=1", key);
	char *value;

	assert_int_equal(hn_http("GET", port, path, NULL, NULL, &answer), 200);
	value = g_strdup(hn_json_text(
	    json_array_get(json_object_get(answer, "rows"), 0), "value"));
	json_decref(answer);
	g_free(path);
	return (value != NULL ? value : g_strdup(""));
}

static void
assert_value(unsigned port, const char *key, const char *expected)
{
	char *value = value_of(port, key);

	assert_string_equal(expected, value);
	g_free(value);
}

/* A write whose answer is lost must still take effect. */
static void
test_lost_write_takes_effect(void **state)
{
	unsigned port = start_platform(*state);

	hn_control(port, "lose_writes=1");
	assert_int_equal(transact(port, INSERT("1", "b25l")), 0);
	assert_value(port, "1", "b25l");
	assert_int_equal(transact(port, INSERT("2", "dHdv")), 200);
}

/* Of two writers that insert the same row, the second must fail. A delayed
 * write must not overwrite a row that was written in the meantime. */
static void
test_conditional_writes(void **state)
{
	unsigned port = start_platform(*state);

	assert_int_equal(transact(port, INSERT("1", "YQ==")), 200);
	assert_int_equal(transact(port, INSERT("1", "Yg==")), 412);
	assert_value(port, "1", "YQ==");
	hn_control(port, "late_writes=1&late_ms=200");
	assert_int_equal(transact(port, INSERT("2", "YQ==")), 0);
	assert_value(port, "2", "");
	hn_control(port, "late_writes=1&late_ms=200");
	assert_int_equal(transact(port, INSERT("3", "YQ==")), 0);
	assert_int_equal(transact(port, INSERT("3", "Yg==")), 200);
	g_usleep(400000);
	assert_value(port, "2", "YQ==");
	assert_value(port, "3", "Yg==");
}

/* A feed must return each change once and in order, and answer 410 when the
 * history was discarded. */
static void
test_feed(void **state)
{
	unsigned port = start_platform(*state);
	json_t *answer = NULL, *rows;

	assert_int_equal(transact(port, INSERT("2", "YQ==")), 200);
	assert_int_equal(transact(port, INSERT("1", "YQ==")), 200);
	assert_int_equal(
	    hn_http("GET", port, "/v1/rows-feed?table=t&after=0&wait_ms=10",
		NULL, NULL, &answer),
	    200);
	rows = json_object_get(answer, "rows");
	assert_int_equal(2, json_array_size(rows));
	assert_string_equal("2", hn_json_text(json_array_get(rows, 0), "key"));
	assert_string_equal("1", hn_json_text(json_array_get(rows, 1), "key"));
	json_decref(answer);
	assert_int_equal(
	    hn_http("GET", port, "/v1/rows-feed?table=t&after=2&wait_ms=10",
		NULL, NULL, &answer),
	    200);
	assert_int_equal(0, json_array_size(json_object_get(answer, "rows")));
	json_decref(answer);
	hn_control(port, "forget=1");
	assert_int_equal(
	    hn_http("GET", port, "/v1/rows-feed?table=t&after=1&wait_ms=10",
		NULL, NULL, NULL),
	    410);
}

/* A write must not take effect while the platform is down, busy or refuses
 * requests. */
static void
test_failed_write_has_no_effect(void **state)
{
	unsigned port = start_platform(*state);

	hn_control(port, "mode=down");
	assert_int_equal(transact(port, INSERT("1", "YQ==")), 0);
	hn_control(port, "mode=busy");
	assert_int_equal(transact(port, INSERT("1", "YQ==")), 429);
	hn_control(port, "mode=up&refuse=1");
	assert_int_equal(transact(port, INSERT("1", "YQ==")), 503);
	assert_value(port, "1", "");
}

/* The start log must contain every start at an endpoint, also of a task that
 * fails. */
static void
test_start_log(void **state)
{
	unsigned port = start_endpoint(*state, "--run-ms", "1");
	char *log = hn_path(*state, "starts.log");
	struct hl_starts *starts;

	for (int i = 0; i < 3; i++)
		assert_int_equal(hn_http("POST", port, "/task",
				     i == 1 ? "status=500" : "x", NULL, NULL),
		    i == 1 ? 500 : 200);
	starts = hl_read(log);
	assert_int_equal(hl_start_count(starts), 3);
	assert_int_equal(hl_double_starts(starts), 1);
	assert_int_equal(hl_starts_between(starts, "e", hn_wall_ms() - 60000,
			     hn_wall_ms() + 1),
	    3);
	hl_free(starts);
	g_free(log);
}

/* hl_compare() must find a refused job that has a start, and a complete job
 * with a missing start. */
static void
test_compare_finds_contradictions(void **state)
{
	struct hn *h = *state;
	char *starts_path = hn_path(h, "s.log"), *load = hn_path(h, "l.log");
	struct hl_starts *starts;
	struct hl_mismatches v;

	hn_write(h, "s.log",
	    "1\te\ta\t0\t0\n1\te\tb\t0\t0\n1\te\tc\t0\t0\n1\te\tc\t1\t0\n");
	hn_write(h, "l.log",
	    "9\ta\t1\trefused\toverload\t1\t1\t5\t1\n"
	    "9\tb\t1\tcomplete\t-\t0\t2\t5\t1\n"
	    "9\tc\t1\tcomplete\t-\t0\t2\t5\t1\n");
	starts = hl_read(starts_path);
	v = hl_compare(starts, load);
	assert_int_equal(v.submissions, 3);
	assert_int_equal(v.refused_started, 1);
	assert_int_equal(v.incomplete_started, 1);
	assert_int_equal(hl_double_starts(starts), 0);
	hl_free(starts);
	g_free(starts_path);
	g_free(load);
}

/* The failure tests rely on the failure and the speed set by /control. */
static void
test_endpoint_control(void **state)
{
	unsigned port = start_endpoint(*state, "--speeds", "1");
	uint64_t start;

	hn_control(port, "fail=1");
	assert_int_equal(hn_http("POST", port, "/task", "x", NULL, NULL), 500);
	hn_control(port, "fail=0&speed=0.5");
	start = hn_mono_ms();
	assert_int_equal(
	    hn_http("POST", port, "/task", "run_ms=100", NULL, NULL), 200);
	assert_true(hn_mono_ms() - start >= 195);
}

/* The relay must refuse connections when it is cut. With existing=1 it must
 * still forward new connections. */
static void
test_relay_modes(void **state)
{
	unsigned platform = start_platform(*state), ports[2];
	char *target = g_strdup_printf("127.0.0.1:%u", platform);
	const char *argv[] = {"fakes/fake_relay", "--target", target, NULL};

	hn_wait_ready(hn_start(*state, "relay", argv), ports, 2);
	assert_int_equal(
	    hn_http("GET", ports[0], "/object/x", NULL, NULL, NULL), 404);
	hn_control(ports[1], "mode=cut");
	assert_int_equal(
	    hn_http("GET", ports[0], "/object/x", NULL, NULL, NULL), 0);
	hn_control(ports[1], "mode=silent&existing=1");
	assert_int_equal(
	    hn_http("GET", ports[0], "/object/x", NULL, NULL, NULL), 404);
	g_free(target);
}

/* The harness must be able to stop and kill the processes it started, so that
 * none is left running after a test. */
static void
test_kill_and_wait(void **state)
{
	const char *argv[] = {"fakes/fake_platform", NULL};
	struct hn_proc *p = hn_start(*state, "platform", argv);
	unsigned port;

	hn_wait_ready(p, &port, 1);
	assert_int_equal(hn_wait(p, 50), -1);
	hn_signal(p, SIGTERM);
	assert_int_equal(hn_wait(p, 3000), 0);
	p = hn_start(*state, "second", argv);
	hn_kill(p);
	assert_int_equal(hn_wait(p, 0), 1000 + SIGKILL);
}

int
main(void)
{
#define TEST(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    TEST(test_lost_write_takes_effect),
	    TEST(test_conditional_writes),
	    TEST(test_feed),
	    TEST(test_failed_write_has_no_effect),
	    TEST(test_start_log),
	    TEST(test_compare_finds_contradictions),
	    TEST(test_endpoint_control),
	    TEST(test_relay_modes),
	    TEST(test_kill_and_wait),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
