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

#define SUBMISSION_FIELDS                                                      \
	"\"id\":\"a-1\",\"created_ms\":5,\"team\":\"lids\",\"service\":"       \
	"\"desk\",\"deadline_ms\":1000"
#define TASKS_FIELD ",\"tasks\":[{\"body\":\"x\"}]"

static enum co_error
parse(const char *text, enum pd_kind kind, char *error, struct pd_submit **out)
{
	return (co_parse_submission(text, strlen(text), kind, error, 256, out));
}

/* Guards against fields that are dropped and defaults that change. */
static void
test_valid_submissions(void **state)
{
	struct pd_submit *s;
	char error[256];

	(void)state;
	assert_int_equal(
	    parse("{" SUBMISSION_FIELDS
		  ",\"az\":\"armor\",\"idempotent\":true,\"tasks\":["
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

	assert_int_equal(
	    parse("{" SUBMISSION_FIELDS ",\"task\":{\"body\":\"x\"}}",
		PD_REQUEST, error, &s),
	    CO_OK);
	assert_int_equal(s->kind, PD_REQUEST);
	assert_false(s->idempotent);
	assert_string_equal(s->az, "");
	assert_int_equal(s->tasks.tasks_len, 1);
	co_submit_free(s);
}

/* Guards against accepting malformed input, and against errors that do not name
 * the field. */
static void
test_malformed_submissions(void **state)
{
	static const struct {
		const char *text;
		const char *error_part;
	} cases[] = {
	    {"", "not JSON"},
	    {"{" SUBMISSION_FIELDS, "not JSON"},
	    {"[]", "must be an object"},
	    {"{" SUBMISSION_FIELDS TASKS_FIELD ",\"x\":1}",
		"\"x\" is not a known field"},
	    {"{" SUBMISSION_FIELDS ",\"id\":\"b\"" TASKS_FIELD "}",
		"duplicate"},
	    {"{\"created_ms\":5" TASKS_FIELD "}", "\"id\" must"},
	    {"{\"id\":7" TASKS_FIELD "}", "\"id\" must"},
	    {"{\"id\":\"\"" TASKS_FIELD "}", "\"id\" must"},
	    {"{\"id\":\"a b\"" TASKS_FIELD "}", "\"id\" must"},
	    {"{\"id\":\"a\\r\\nX: y\"" TASKS_FIELD "}", "\"id\" must"},
	    {"{\"id\":\"a\\u0000\"" TASKS_FIELD "}", "not JSON"},
	    {"{\"id\":\"a\",\"created_ms\":0" TASKS_FIELD "}",
		"\"created_ms\" must"},
	    {"{\"id\":\"a\",\"created_ms\":-1" TASKS_FIELD "}",
		"\"created_ms\" must"},
	    {"{\"id\":\"a\",\"created_ms\":1.5" TASKS_FIELD "}",
		"\"created_ms\" must"},
	    {"{\"id\":\"a\",\"created_ms\":99999999999999999999" TASKS_FIELD
	     "}",
		"not JSON"},
	    {"{\"id\":\"a\",\"created_ms\":5,\"team\":\"\"" TASKS_FIELD "}",
		"\"team\" must"},
	    {"{\"id\":\"a\",\"created_ms\":5,\"team\":\"t\"" TASKS_FIELD "}",
		"\"service\" must"},
	    {"{\"id\":\"a\",\"created_ms\":5,\"team\":\"t\",\"service\":"
	     "\"s\"" TASKS_FIELD "}",
		"\"deadline_ms\" must"},
	    {"{\"id\":\"a\",\"created_ms\":5,\"team\":\"t\",\"service\":\"s\","
	     "\"deadline_ms\":600001" TASKS_FIELD "}",
		"\"deadline_ms\" must"},
	    {"{" SUBMISSION_FIELDS ",\"az\":5" TASKS_FIELD "}", "\"az\" must"},
	    {"{" SUBMISSION_FIELDS ",\"idempotent\":1" TASKS_FIELD "}",
		"\"idempotent\" must"},
	    {"{" SUBMISSION_FIELDS "}", "\"tasks\" must"},
	    {"{" SUBMISSION_FIELDS ",\"tasks\":{}}", "\"tasks\" must"},
	    {"{" SUBMISSION_FIELDS ",\"tasks\":[]}", "\"tasks\" must"},
	    {"{" SUBMISSION_FIELDS ",\"tasks\":[5]}", "a task must"},
	    {"{" SUBMISSION_FIELDS ",\"tasks\":[{}]}",
		"\"body\" of a task must"},
	    {"{" SUBMISSION_FIELDS
	     ",\"tasks\":[{\"body\":\"x\",\"size_ms\":0}]}",
		"\"size_ms\" must"},
	    {"{" SUBMISSION_FIELDS ",\"tasks\":[{\"body\":\"x\",\"y\":0}]}",
		"task: \"y\" is not"},
	    {"{" SUBMISSION_FIELDS ",\"task\":{\"body\":\"x\"}}",
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
		if (strstr(error, cases[i].error_part) == NULL)
			fail_msg("\"%s\" gives \"%s\"", cases[i].text, error);
	}
}

static char *
submission_text(size_t tasks, size_t body)
{
	GString *text = g_string_new("{" SUBMISSION_FIELDS ",\"tasks\":[");
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
test_size_limits(void **state)
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
		text = submission_text(cases[i].tasks, cases[i].body);
		assert_int_equal(
		    parse(text, PD_SUBMISSION, error, &s), cases[i].result);
		co_submit_free(s);
		g_free(text);
	}
}

/* Guards against a stack overflow: the JSON parser recurses once per level, and
 * the threads of the HTTP server have stacks of 256 KB. */
static void
test_deep_nesting(void **state)
{
	struct pd_submit *s;
	char error[256];
	char *text;

	(void)state;
	text = g_strnfill(1000000, '[');
	assert_int_equal(parse(text, PD_SUBMISSION, error, &s), CO_MALFORMED);
	assert_non_null(strstr(error, "nested"));
	g_free(text);
	/* Brackets in strings do not count. */
	assert_int_equal(parse("{" SUBMISSION_FIELDS ",\"tasks\":[{\"body\":"
			       "\"[[[[[[[[[[\\\"[[[[\"}]}",
			     PD_SUBMISSION, error, &s),
	    CO_OK);
	co_submit_free(s);
}

static void
check_answer(const struct pd_answer *a, const char *expected_text)
{
	struct pd_answer *copy = co_answer_copy(a);
	char *text = co_answer_to_json(copy);
	json_t *actual = json_loads(text, 0, NULL);
	json_t *expected = json_loads(expected_text, 0, NULL);

	assert_non_null(expected);
	if (!json_equal(actual, expected))
		fail_msg("%s instead of %s", text, expected_text);
	json_decref(actual);
	json_decref(expected);
	g_free(text);
	g_free(copy);
}

/* Guards against answers that omit a result, or that have results although the
 * job is not complete. */
static void
test_answer_json(void **state)
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

/* Guards against accepting a number that is followed by other text. */
static void
test_parse_positive(void **state)
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
	    cmocka_unit_test(test_valid_submissions),
	    cmocka_unit_test(test_malformed_submissions),
	    cmocka_unit_test(test_size_limits),
	    cmocka_unit_test(test_deep_nesting),
	    cmocka_unit_test(test_answer_json),
	    cmocka_unit_test(test_parse_positive),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
