#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>
#include <jansson.h>

#include "codec.h"

#define HEAD                                                                   \
	"\"id\":\"a-1\",\"created_ms\":5,\"team\":\"lids\",\"service\":"       \
	"\"desk\",\"deadline_ms\":1000"
#define TASKS ",\"tasks\":[{\"body\":\"x\"}]"

static enum co_error
parse(const char *text, enum pd_kind kind, char *error, struct pd_submit **out)
{
	return (co_parse_submission(text, strlen(text), kind, error, 256, out));
}

/* Guards against fields that get lost or defaults that change. */
static void
test_valid(void **state)
{
	struct pd_submit *s;
	char error[256];

	(void)state;
	assert_int_equal(
	    parse("{" HEAD ",\"az\":\"armor\",\"idempotent\":true,\"tasks\":["
		  "{\"body\":\"one\",\"size_ms\":7},{\"body\":\"\"}]}",
		PD_SUBMISSION, error, &s),
	    CO_OK);
	assert_string_equal(s->sub.id, "a-1");
	assert_int_equal(s->sub.created_ms, 5);
	assert_string_equal(s->team, "lids");
	assert_string_equal(s->service, "desk");
	assert_string_equal(s->az, "armor");
	assert_int_equal(s->left_ms, 1000);
	assert_true(s->idempotent);
	assert_int_equal(s->tasks.tasks_len, 2);
	assert_int_equal(s->tasks.tasks_val[0].size_ms, 7);
	assert_memory_equal(s->tasks.tasks_val[0].body.body_val, "one", 3);
	assert_int_equal(s->tasks.tasks_val[1].size_ms, CO_SIZE_DEFAULT_MS);
	assert_int_equal(s->tasks.tasks_val[1].body.body_len, 0);
	co_submit_free(s);

	assert_int_equal(parse("{" HEAD ",\"task\":{\"body\":\"x\"}}",
			     PD_REQUEST, error, &s),
	    CO_OK);
	assert_int_equal(s->kind, PD_REQUEST);
	assert_false(s->idempotent);
	assert_string_equal(s->az, "");
	assert_int_equal(s->tasks.tasks_len, 1);
	co_submit_free(s);
}

/* Guards against malformed input that is accepted, and against errors that do
 * not say which field is wrong. */
static void
test_malformed(void **state)
{
	static const struct {
		const char *text;
		const char *part; /* of the error */
	} cases[] = {
	    {"", "not JSON"},
	    {"{" HEAD, "not JSON"},
	    {"[]", "must be an object"},
	    {"{" HEAD TASKS ",\"x\":1}", "\"x\" is not a known field"},
	    {"{" HEAD ",\"id\":\"b\"" TASKS "}", "duplicate"},
	    {"{\"created_ms\":5" TASKS "}", "\"id\" must"},
	    {"{\"id\":7" TASKS "}", "\"id\" must"},
	    {"{\"id\":\"\"" TASKS "}", "\"id\" must"},
	    {"{\"id\":\"a b\"" TASKS "}", "\"id\" must"},
	    {"{\"id\":\"a\\r\\nX: y\"" TASKS "}", "\"id\" must"},
	    {"{\"id\":\"a\\u0000\"" TASKS "}", "not JSON"},
	    {"{\"id\":\"a\",\"created_ms\":0" TASKS "}", "\"created_ms\" must"},
	    {"{\"id\":\"a\",\"created_ms\":-1" TASKS "}",
		"\"created_ms\" must"},
	    {"{\"id\":\"a\",\"created_ms\":1.5" TASKS "}",
		"\"created_ms\" must"},
	    {"{\"id\":\"a\",\"created_ms\":99999999999999999999" TASKS "}",
		"not JSON"},
	    {"{\"id\":\"a\",\"created_ms\":5,\"team\":\"\"" TASKS "}",
		"\"team\" must"},
	    {"{\"id\":\"a\",\"created_ms\":5,\"team\":\"t\"" TASKS "}",
		"\"service\" must"},
	    {"{\"id\":\"a\",\"created_ms\":5,\"team\":\"t\",\"service\":"
	     "\"s\"" TASKS "}",
		"\"deadline_ms\" must"},
	    {"{\"id\":\"a\",\"created_ms\":5,\"team\":\"t\",\"service\":\"s\","
	     "\"deadline_ms\":600001" TASKS "}",
		"\"deadline_ms\" must"},
	    {"{" HEAD ",\"az\":5" TASKS "}", "\"az\" must"},
	    {"{" HEAD ",\"idempotent\":1" TASKS "}", "\"idempotent\" must"},
	    {"{" HEAD "}", "\"tasks\" must"},
	    {"{" HEAD ",\"tasks\":{}}", "\"tasks\" must"},
	    {"{" HEAD ",\"tasks\":[]}", "\"tasks\" must"},
	    {"{" HEAD ",\"tasks\":[5]}", "a task must"},
	    {"{" HEAD ",\"tasks\":[{}]}", "\"body\" of a task must"},
	    {"{" HEAD ",\"tasks\":[{\"body\":\"x\",\"size_ms\":0}]}",
		"\"size_ms\" must"},
	    {"{" HEAD ",\"tasks\":[{\"body\":\"x\",\"y\":0}]}",
		"task: \"y\" is not"},
	    {"{" HEAD ",\"task\":{\"body\":\"x\"}}",
		"\"task\" is not a known field"},
	};
	struct pd_submit *s;
	char error[256];
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		assert_int_equal(parse(cases[i].text, PD_SUBMISSION, error, &s),
		    CO_MALFORMED);
		assert_null(s);
		if (strstr(error, cases[i].part) == NULL)
			fail_msg("\"%s\" gives \"%s\"", cases[i].text, error);
	}
}

static char *
job_text(size_t tasks, size_t body)
{
	GString *text = g_string_new("{" HEAD ",\"tasks\":[");
	char *fill = g_strnfill(body, 'x');
	size_t i;

	for (i = 0; i < tasks; i++)
		g_string_append_printf(
		    text, "%s{\"body\":\"%s\"}", i > 0 ? "," : "", fill);
	g_string_append(text, "]}");
	g_free(fill);
	return (g_string_free(text, FALSE));
}

/* Guards against limits that are off by one or not checked. */
static void
test_limits(void **state)
{
	static const struct {
		size_t tasks;
		size_t body;
		enum co_error result;
	} cases[] = {
	    {PD_TASKS_MAX, 1, CO_OK},
	    {PD_TASKS_MAX + 1, 1, CO_TOO_LARGE},
	    {1, PD_BODY_MAX, CO_OK},
	    {1, PD_BODY_MAX + 1, CO_TOO_LARGE},
	    {100, PD_BODY_MAX, CO_TOO_LARGE},
	};
	struct pd_submit *s;
	char error[256];
	char *text;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		text = job_text(cases[i].tasks, cases[i].body);
		assert_int_equal(
		    parse(text, PD_SUBMISSION, error, &s), cases[i].result);
		co_submit_free(s);
		g_free(text);
	}
}

/* Guards against a stack overflow by deep nesting: the threads of the HTTP
 * server have 256 KB. */
static void
test_deep(void **state)
{
	struct pd_submit *s;
	char error[256];
	char *text;

	(void)state;
	text = g_strnfill(1000000, '[');
	assert_int_equal(parse(text, PD_SUBMISSION, error, &s), CO_MALFORMED);
	assert_non_null(strstr(error, "nested"));
	g_free(text);
	/* Brackets in strings do not nest. */
	assert_int_equal(parse("{" HEAD ",\"tasks\":[{\"body\":"
			       "\"[[[[[[[[[[\\\"[[[[\"}]}",
			     PD_SUBMISSION, error, &s),
	    CO_OK);
	co_submit_free(s);
}

static void
check_answer(const struct pd_answer *a, const char *want)
{
	struct pd_answer *copy = co_answer_copy(a);
	char *text = co_answer_to_json(copy);
	json_t *have = json_loads(text, 0, NULL);
	json_t *expected = json_loads(want, 0, NULL);

	assert_non_null(expected);
	if (!json_equal(have, expected))
		fail_msg("%s instead of %s", text, want);
	json_decref(have);
	json_decref(expected);
	g_free(text);
	g_free(copy);
}

/* Guards against answers that lose a result, or show results of a job that is
 * not complete. */
static void
test_answers(void **state)
{
	char one[] = "one", bad[] = "\xff\"", empty[] = "";
	char id[] = "a-1", reason[] = "overload", detail[] = "Too much.";
	struct pd_result results[] = {{{3, one}}, {{0, NULL}}, {{2, bad}}};
	struct pd_answer a = {{id, 5}, PD_COMPLETE, empty, empty, 0,
	    {G_N_ELEMENTS(results), results}};

	(void)state;
	check_answer(&a,
	    "{\"id\":\"a-1\",\"created_ms\":5,\"status\":\"complete\","
	    "\"results\":[\"one\",\"\",\"\\ufffd\\\"\"]}");
	a.status = PD_JOB_FAILED;
	a.reason = reason;
	a.detail = detail;
	check_answer(&a,
	    "{\"id\":\"a-1\",\"created_ms\":5,\"status\":\"failed\","
	    "\"reason\":\"overload\",\"detail\":\"Too much.\"}");
	a.status = PD_REFUSED;
	a.not_run = 1;
	check_answer(&a,
	    "{\"id\":\"a-1\",\"created_ms\":5,\"status\":\"refused\","
	    "\"reason\":\"overload\",\"detail\":\"Too much.\","
	    "\"not_run\":true}");
	a.status = PD_PENDING;
	check_answer(
	    &a, "{\"id\":\"a-1\",\"created_ms\":5,\"status\":\"pending\"}");
}

/* Guards against a created_ms that is read in part. */
static void
test_created(void **state)
{
	static const char *const wrong[] = {
	    "", "0", "-1", "+1", "1x", " 1", "1e3", "99999999999999999999"};
	uint64_t value;
	size_t i;

	(void)state;
	assert_false(co_parse_positive(NULL, &value));
	for (i = 0; i < G_N_ELEMENTS(wrong); i++)
		assert_false(co_parse_positive(wrong[i], &value));
	assert_true(co_parse_positive("1767225600000", &value));
	assert_true(value == 1767225600000);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_valid),
	    cmocka_unit_test(test_malformed),
	    cmocka_unit_test(test_limits),
	    cmocka_unit_test(test_deep),
	    cmocka_unit_test(test_answers),
	    cmocka_unit_test(test_created),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
