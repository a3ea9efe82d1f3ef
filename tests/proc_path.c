#include <glib.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "harness_cell.h"

/*
 * Submissions through the real programs, without faults. All tests share one
 * cell.
 */

#define WAIT_TIMEOUT_MS 20000
#define DEADLINE_MS 20000
#define CLOCK_ERROR_MS 2000

static int
set_up(void **state)
{
	const struct pc_options options = {.agents = 3, .speeds = "1,0.5,2"};

	*state = pc_new(&options);
	return (0);
}

static int
tear_down(void **state)
{
	pc_free(*state);
	return (0);
}

/* Also asserts that no task started twice. */
static size_t
count_started_tasks(struct pc *c, const char *id)
{
	struct hl_starts *starts = pc_read_starts(c);
	size_t n = hl_started_tasks(starts, id);

	assert_int_equal(hl_double_starts(starts), 0);
	hl_free(starts);
	return (n);
}

/* Asserts that the answer is complete and each result belongs to its task. */
static void
assert_complete(const json_t *answer, const char *id, unsigned tasks)
{
	json_t *results = json_object_get(answer, "results");

	if (strcmp(hn_json_text(answer, "status"), "complete") != 0)
		print_message("%s: %s\n", hn_json_text(answer, "reason"),
		    hn_json_text(answer, "detail"));
	assert_string_equal(hn_json_text(answer, "status"), "complete");
	assert_string_equal(hn_json_text(answer, "id"), id);
	assert_int_equal(json_array_size(results), tasks);
	for (unsigned i = 0; i < tasks; i++) {
		char prefix[128];

		snprintf(prefix, sizeof(prefix), "done:%s/%u;", id, i);
		assert_memory_equal(
		    json_string_value(json_array_get(results, i)), prefix,
		    strlen(prefix));
	}
}

static void
assert_refused(const json_t *answer, const char *reason)
{
	assert_string_equal(hn_json_text(answer, "status"), "refused");
	assert_string_equal(hn_json_text(answer, "reason"), reason);
	assert_true(json_is_true(json_object_get(answer, "not_run")));
}

/* Guards against answers with missing results or of another submission. */
static void
test_through_each_entry(void **state)
{
	struct pc *c = *state;

	for (unsigned i = 0; i < c->options.entries; i++) {
		char *id = g_strdup_printf("each-%u", i);
		char *body =
		    pc_submission_json(id, hn_wall_ms(), 20, 30, DEADLINE_MS);
		json_t *answer = NULL;

		assert_int_equal(
		    pc_submit(c, i, body, WAIT_TIMEOUT_MS, &answer), 200);
		assert_complete(answer, id, 20);
		assert_int_equal(count_started_tasks(c, id), 20);
		json_decref(answer);
		free(body);
		g_free(id);
	}
}

/* Guards against losing an answer that the caller does not wait for. */
static void
test_answer_fetched_later(void **state)
{
	uint64_t now = hn_wall_ms();
	char *body = pc_submission_json("later", now, 4, 300, DEADLINE_MS);
	json_t *answer = NULL;
	struct pc *c = *state;

	assert_int_equal(pc_submit(c, 0, body, 0, &answer), 202);
	assert_string_equal(hn_json_text(answer, "status"), "pending");
	json_decref(answer);
	for (unsigned i = 0; i < c->options.entries; i++) {
		assert_int_equal(
		    pc_fetch(c, i, "later", now, WAIT_TIMEOUT_MS, &answer),
		    200);
		assert_complete(answer, "later", 4);
		json_decref(answer);
	}
	assert_int_equal(pc_fetch(c, 1, "never-sent", now, 0, NULL), 404);
	free(body);
}

/* Guards against tasks that start again when the caller sends the same id
 * through other entries. */
static void
test_resubmission(void **state)
{
	uint64_t now = hn_wall_ms();
	char *body = pc_submission_json("again", now, 10, 400, DEADLINE_MS);
	json_t *answer = NULL;
	struct pc *c = *state;

	assert_int_equal(pc_submit(c, 0, body, 0, NULL), 202);
	for (unsigned i = 1; i < c->options.entries; i++)
		assert_int_equal(pc_submit(c, i, body, 0, NULL), 202);
	for (unsigned round = 0; round < 2; round++) {
		for (unsigned i = 0; i < c->options.entries; i++) {
			assert_int_equal(
			    pc_submit(c, i, body, WAIT_TIMEOUT_MS, &answer),
			    200);
			assert_complete(answer, "again", 10);
			json_decref(answer);
		}
	}
	assert_int_equal(count_started_tasks(c, "again"), 10);
	free(body);
}

/* Guards against answering a second body under the same id with the answer to
 * the first. */
static void
test_id_with_other_body(void **state)
{
	uint64_t now = hn_wall_ms();
	char *first = pc_submission_json("reused", now, 2, 10, DEADLINE_MS);
	char *second = pc_submission_json("reused", now, 3, 10, DEADLINE_MS);
	json_t *answer = NULL;
	struct pc *c = *state;

	assert_int_equal(pc_submit(c, 0, first, WAIT_TIMEOUT_MS, NULL), 200);
	assert_int_equal(
	    pc_submit(c, 1, second, WAIT_TIMEOUT_MS, &answer), 200);
	assert_string_equal(hn_json_text(answer, "reason"), "id_reused");
	assert_string_equal(hn_json_text(answer, "status"), "refused");
	assert_int_equal(count_started_tasks(c, "reused"), 2);
	json_decref(answer);
	free(first);
	free(second);
}

static void
set_endpoints_hang(struct pc *c, bool hang)
{
	for (unsigned i = 0; i < c->options.agents; i++)
		hn_control(c->agents[i].endpoint, hang ? "hang=1" : "hang=0");
}

struct start_condition {
	struct pc *cell;
	const char *id;
};

static bool
has_started(void *arg)
{
	const struct start_condition *w = arg;

	return (count_started_tasks(w->cell, w->id) > 0);
}

static bool
has_filled_slots(void *arg)
{
	const struct start_condition *w = arg;
	const struct pc_options *o = &w->cell->options;

	return (count_started_tasks(w->cell, w->id) == o->agents * o->slots);
}

/* Runs also when the test fails: endpoints left hanging would fail the tests
 * that follow. */
static int
stop_hang(void **state)
{
	set_endpoints_hang(*state, false);
	return (0);
}

/* Guards against a task that starts after the caller was told that its job was
 * not run. */
static void
test_cancel_before_start(void **state)
{
	struct pc *c = *state;
	unsigned fill =
	    c->options.agents * (c->options.slots + c->options.queue) + 8;
	uint64_t now = hn_wall_ms();
	char *filler = pc_submission_json("filler", now, fill, 1, DEADLINE_MS);
	char *body = pc_submission_json("cancelled", now, 3, 1, DEADLINE_MS);
	struct start_condition filling = {c, "filler"};
	json_t *answer = NULL;

	set_endpoints_hang(c, true);
	assert_int_equal(pc_submit(c, 0, filler, 0, NULL), 202);
	/* If a slot were still free, the shorter job would start at once. */
	assert_true(hn_wait_until(has_filled_slots, &filling, WAIT_TIMEOUT_MS));
	assert_int_equal(pc_submit(c, 0, body, 0, NULL), 202);
	assert_int_equal(pc_cancel(c, 1, "cancelled", now, &answer), 200);
	assert_refused(answer, "cancelled");
	json_decref(answer);
	set_endpoints_hang(c, false);
	assert_int_equal(
	    pc_fetch(c, 2, "filler", now, WAIT_TIMEOUT_MS, &answer), 200);
	assert_complete(answer, "filler", fill);
	json_decref(answer);
	assert_int_equal(
	    pc_fetch(c, 2, "cancelled", now, WAIT_TIMEOUT_MS, &answer), 200);
	assert_refused(answer, "cancelled");
	json_decref(answer);
	assert_int_equal(count_started_tasks(c, "cancelled"), 0);
	free(filler);
	free(body);
}

/* Guards against tasks that start after a cancellation, and against results of
 * a cancelled job. */
static void
test_cancel_while_running(void **state)
{
	uint64_t now = hn_wall_ms();
	char *body = pc_submission_json("stopped", now, 300, 400, DEADLINE_MS);
	json_t *answer = NULL;
	struct pc *c = *state;
	struct start_condition first = {c, "stopped"};
	size_t started;

	assert_int_equal(pc_submit(c, 0, body, 0, NULL), 202);
	/* On a busy machine a fixed wait may be too short. */
	assert_true(hn_wait_until(has_started, &first, WAIT_TIMEOUT_MS));
	pc_cancel(c, 1, "stopped", now, NULL);
	hn_sleep_ms(500);
	started = count_started_tasks(c, "stopped");
	assert_int_equal(
	    pc_fetch(c, 2, "stopped", now, WAIT_TIMEOUT_MS, &answer), 200);
	print_message("%zu of 300 tasks started, answer %s, %s\n", started,
	    hn_json_text(answer, "status"), hn_json_text(answer, "reason"));
	assert_true(started > 0 && started < 300);
	assert_string_equal(hn_json_text(answer, "status"), "failed");
	assert_null(json_object_get(answer, "results"));
	assert_int_equal(count_started_tasks(c, "stopped"), started);
	json_decref(answer);
	free(body);
}

/* Guards against partial results: a failed task must fail the whole job. */
static void
test_failed_task(void **state)
{
	static const char tasks[] =
	    "[{\"body\": \"a\"}, {\"body\": \"status=500\"}]";
	struct pc *c = *state;
	json_t *answer = NULL;
	char *body = g_strdup_printf(
	    "{\"id\": \"failing\", \"created_ms\": %llu, \"team\": \"%s\", "
	    "\"service\": \"%s\", \"deadline_ms\": 20000, \"tasks\": %s}",
	    (unsigned long long)hn_wall_ms(), PC_TEAM, PC_SERVICE, tasks);

	assert_int_equal(pc_submit(c, 1, body, WAIT_TIMEOUT_MS, &answer), 200);
	assert_string_equal(hn_json_text(answer, "status"), "failed");
	assert_null(json_object_get(answer, "results"));
	assert_int_equal(count_started_tasks(c, "failing"), 2);
	json_decref(answer);
	g_free(body);
}

static size_t
run_failing_request(struct pc *c, const char *id, bool idempotent)
{
	json_t *answer = NULL;
	struct hl_starts *starts;
	size_t before, after;
	char *body = g_strdup_printf(
	    "{\"id\": \"%s\", \"created_ms\": %llu, \"team\": \"%s\", "
	    "\"service\": \"%s\", \"deadline_ms\": 10000, \"idempotent\": %s, "
	    "\"task\": {\"body\": \"status=500\"}}",
	    id, (unsigned long long)hn_wall_ms(), PC_TEAM, PC_SERVICE,
	    idempotent ? "true" : "false");

	starts = pc_read_starts(c);
	before = hl_start_count(starts);
	hl_free(starts);
	assert_int_equal(hn_http("POST", c->entries[0].callers,
			     "/v1/requests?wait_ms=20000", body, NULL, &answer),
	    200);
	assert_string_equal(hn_json_text(answer, "status"), "failed");
	starts = pc_read_starts(c);
	after = hl_start_count(starts);
	hl_free(starts);
	json_decref(answer);
	g_free(body);
	return (after - before);
}

/* Guards against a second attempt at a failed request that is not marked
 * idempotent; an idempotent one is tried at most 3 times. */
static void
test_failed_request(void **state)
{
	assert_int_equal(run_failing_request(*state, "once", false), 1);
	assert_int_equal(run_failing_request(*state, "thrice", true), 3);
}

/* Guards against a job that waits until its deadline although no endpoint of
 * its service exists. */
static void
test_unknown_service(void **state)
{
	static const char text[] =
	    "{\"id\": \"nowhere\", \"created_ms\": %llu, \"team\": \"lids\", "
	    "\"service\": \"no-such-service\", \"deadline_ms\": 60000, "
	    "\"tasks\": [{\"body\": \"a\"}]}";
	char body[sizeof(text) + 24];
	uint64_t start = hn_mono_ms();
	json_t *answer = NULL;
	struct pc *c = *state;

	snprintf(body, sizeof(body), text, (unsigned long long)hn_wall_ms());
	assert_int_equal(pc_submit(c, 2, body, WAIT_TIMEOUT_MS, &answer), 200);
	assert_string_equal(hn_json_text(answer, "status"), "refused");
	assert_true(json_is_true(json_object_get(answer, "not_run")));
	assert_true(hn_mono_ms() - start < 2000);
	json_decref(answer);
}

/* Guards against running ids whose age cannot be determined: those too old to
 * be remembered, and those from the future. */
static void
test_too_old_and_future_ids(void **state)
{
	struct pc *c = *state;
	uint64_t now = hn_wall_ms();
	uint64_t late = now + 60000 + CLOCK_ERROR_MS;
	uint64_t old = now - (c->options.life_s + 60) * 1000ULL;
	char *future = pc_submission_json("future", late, 1, 1, DEADLINE_MS);
	char *expired = pc_submission_json("expired", old, 1, 1, DEADLINE_MS);
	json_t *answer = NULL;

	assert_int_equal(
	    pc_submit(c, 0, future, WAIT_TIMEOUT_MS, &answer), 200);
	assert_string_equal(hn_json_text(answer, "status"), "refused");
	json_decref(answer);
	assert_int_equal(
	    pc_submit(c, 0, expired, WAIT_TIMEOUT_MS, &answer), 200);
	assert_string_equal(hn_json_text(answer, "status"), "unknown");
	assert_string_equal(hn_json_text(answer, "reason"), "id_expired");
	json_decref(answer);
	assert_int_equal(count_started_tasks(c, "future"), 0);
	assert_int_equal(count_started_tasks(c, "expired"), 0);
	free(future);
	free(expired);
}

/* Guards against malformed input that crashes an entry or is accepted. */
static void
test_malformed_bodies(void **state)
{
	static const char *const bodies[] = {"", "{", "[]", "null", "\xff\xfe",
	    "{\"id\": \"x\"}", "{\"id\": 7, \"created_ms\": \"now\"}",
	    "{\"id\": \"a/b\", \"created_ms\": 1, \"team\": \"lids\", "
	    "\"service\": \"order-desk\", \"deadline_ms\": 1000, \"tasks\": "
	    "[{\"body\": \"a\"}]}",
	    "{\"id\": \"none\", \"created_ms\": 1, \"team\": \"lids\", "
	    "\"service\": \"order-desk\", \"deadline_ms\": 1000, \"tasks\": "
	    "[]}",
	    "{\"id\": \"neg\", \"created_ms\": -1, \"team\": \"lids\", "
	    "\"service\": \"order-desk\", \"deadline_ms\": -5, \"tasks\": "
	    "[{\"body\": \"a\"}]}"};
	struct pc *c = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		json_t *answer = NULL;
		int status = pc_submit(
		    c, (unsigned)i % 3, bodies[i], WAIT_TIMEOUT_MS, &answer);

		if (status != 400)
			print_message("%s\n", bodies[i]);
		assert_int_equal(status, 400);
		assert_true(hn_json_text(answer, "error")[0] != '\0');
		assert_true(hn_json_text(answer, "detail")[0] != '\0');
		json_decref(answer);
	}
	pc_entry_ready(c, 0);
}

/* Guards against bodies and numbers of tasks above the limits, which would use
 * up the memory of an entry. */
static void
test_oversized_bodies(void **state)
{
	struct pc *c = *state;
	char *too_many =
	    pc_submission_json("too-many", hn_wall_ms(), 541, 1, 1000);
	size_t size = 16 * 1024 * 1024;
	char *large = g_malloc(size + 1);
	int status;

	memset(large, 'x', size);
	large[size] = '\0';
	status = pc_submit(c, 0, too_many, WAIT_TIMEOUT_MS, NULL);
	assert_true(status == 400 || status == 413);
	assert_int_equal(pc_submit(c, 1, large, WAIT_TIMEOUT_MS, NULL), 413);
	assert_int_equal(count_started_tasks(c, "too-many"), 0);
	pc_entry_ready(c, 1);
	free(too_many);
	g_free(large);
}

/* Guards against a crash on HTTP requests to the RPC port, as a port scan or a
 * wrong setting sends them. */
static void
test_http_on_rpc_port(void **state)
{
	struct pc *c = *state;

	for (unsigned i = 0; i < c->options.entries; i++)
		assert_int_equal(hn_http("POST", c->entries[i].rpc, "/x",
				     "0123456789", NULL, NULL),
		    0);
	for (unsigned i = 0; i < c->options.entries; i++)
		pc_entry_ready(c, i);
}

/* Guards against answering operators' requests without the token. */
static void
test_operators_need_token(void **state)
{
	struct pc *c = *state;
	unsigned port = c->entries[0].operators;
	json_t *answer = NULL;

	assert_int_equal(
	    hn_http("GET", port, "/v1/status", NULL, NULL, NULL), 401);
	assert_int_equal(
	    hn_http("GET", port, "/v1/status", NULL, "wrong", NULL), 401);
	assert_int_equal(
	    hn_http("GET", port, "/v1/status", NULL, PC_TOKEN, &answer), 200);
	json_decref(answer);
}

/* Without faults, every submission of a load must complete. */
static void
test_load_without_faults(void **state)
{
	struct pc *c = *state;
	struct pc_load load = pc_load_start(c,
	    "--rate 10 --duration 6 --tasks 1-20 --run-ms 20-200 --seed 3 "
	    "--duplicates 0.2");
	struct pc_result r = pc_load_check(c, &load);

	assert_int_equal(r.complete, r.submissions);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_through_each_entry),
	    cmocka_unit_test(test_answer_fetched_later),
	    cmocka_unit_test(test_resubmission),
	    cmocka_unit_test(test_id_with_other_body),
	    cmocka_unit_test_teardown(test_cancel_before_start, stop_hang),
	    cmocka_unit_test(test_cancel_while_running),
	    cmocka_unit_test(test_unknown_service),
	    cmocka_unit_test(test_too_old_and_future_ids),
	    cmocka_unit_test(test_malformed_bodies),
	    cmocka_unit_test(test_oversized_bodies),
	    cmocka_unit_test(test_http_on_rpc_port),
	    cmocka_unit_test(test_operators_need_token),
	    cmocka_unit_test(test_load_without_faults),
	    cmocka_unit_test(test_failed_task),
	    cmocka_unit_test(test_failed_request),
	};

	return (cmocka_run_group_tests(tests, set_up, tear_down));
}
