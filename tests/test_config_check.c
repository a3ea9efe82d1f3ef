#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "answer.h"
#include "cleanup.h"
#include "config.h"
#include "config_check.h"

/* Tests the check of a configuration before it is sent. */

#define ROUTE_A                                                                \
	"{\"name\":\"a\",\"host\":\"h.example\",\"path_prefix\":\"/a/\","      \
	"\"kind\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":60,"    \
	"\"priority\":0,\"service\":\"desk\",\"max_attempts\":3,"              \
	"\"stretch\":1.6}"
#define ROUTE_B                                                                \
	"{\"name\":\"b\",\"host\":\"h.example\",\"path_prefix\":\"/b/\","      \
	"\"kind\":\"safe\",\"timeout_ms\":900,\"target_latency_ms\":70,"       \
	"\"priority\":2,\"service\":\"desk\",\"max_attempts\":1,\"stretch\":"  \
	"2}"
#define SERVICE                                                                \
	"{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":64,"     \
	"\"admission_control\":true,\"standby\":false}"
#define LIMITS                                                                 \
	"{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"               \
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}"
#define DOCUMENT                                                               \
	"{\"version\":7,\"routes\":[" ROUTE_A "," ROUTE_B                      \
	"],\"services\":[" SERVICE "],\"limits\":" LIMITS "}"

/* Replaces the first @from in a text. Return: released with g_free(). */
static char *
replace(const char *text, const char *from, const char *to)
{
	const char *at = strstr(text, from);

	assert_non_null(at);
	return (g_strdup_printf(
	    "%.*s%s%s", (int)(at - text), text, to, at + strlen(from)));
}

static void
assert_findings(struct kc *k, const char *document, const char *expected)
{
	autofree char *text = kf_text(kc_findings(k));

	if (strcmp(text, expected) != 0)
		fail_msg(
		    "%s gives\n%sinstead of\n%s", document, text, expected);
}

/* Whether an entry takes a document into force. */
static bool
is_applied(const char *document)
{
	struct pd_config c = {0};
	uint64_t version;
	bool applied = an_decode_config(document, &c, &version) && cf_fits(&c);

	cf_release(&c);
	return (applied);
}

/* Guards against faults of a document that are not found or are reported with
 * another severity, against findings in sound documents, and against a document
 * without errors that an entry rejects. */
static void
test_findings(void **state)
{
	static const struct {
		const char *from, *to; /* in DOCUMENT */
		const char *expected;
		bool failed;
	} cases[] = {
	    {"{", "{", "", false},
	    {"{\"version\"", "{\"version\",",
		"error: document: is not JSON: line 1, column 11: ':' expected "
		"near ','\n",
		true},
	    {DOCUMENT, "[]", "error: document: must be an object\n", true},
	    {"\"version\":7", "\"version\":7,\"version\":8",
		"error: document: line 1, column 22: duplicate object key near "
		"'\"version\"'\n",
		true},
	    {"\"version\":7,", "", "error: document: version is missing\n",
		true},
	    {"\"version\":7", "\"version\":-7",
		"error: document: version -7 is out of range\n", true},
	    {"\"routes\":[" ROUTE_A "," ROUTE_B "]", "\"routes\":{}",
		"error: document: routes must be an array\n", true},
	    {LIMITS, "{}",
		"error: limits: header_timeout_ms is missing\n"
		"error: limits: idle_timeout_ms is missing\n"
		"error: limits: max_body_bytes is missing\n"
		"error: limits: max_header_bytes is missing\n",
		true},
	    {ROUTE_B, "7", "error: routes[1]: must be an object\n", true},
	    {"\"timeout_ms\":1500", "\"timeout_ms\":1500.0",
		"error: route \"a\": timeout_ms must be an integer\n", true},
	    {"\"timeout_ms\":1500", "\"timeout_ms\":4294967296",
		"error: route \"a\": timeout_ms 4294967296 is out of range\n",
		true},
	    {"\"priority\":0", "\"priority\":-1",
		"error: route \"a\": priority -1 is out of range\n", true},
	    {"\"stretch\":1.6", "\"stretch\":-1.6",
		"error: route \"a\": stretch -1.6 is out of range\n", true},
	    {"\"stretch\":1.6", "\"stretch\":null",
		"error: route \"a\": stretch must be a number\n", true},
	    {"\"standby\":false", "\"standby\":0",
		"error: service \"desk\": standby must be true or false\n",
		true},
	    {"\"name\":\"a\"", "\"name\":\"\"",
		"error: routes[0]: name is empty\n", true},
	    {"\"name\":\"b\"", "\"name\":\"a\"",
		"error: route \"a\": routes[1] has the name of an earlier "
		"one\n",
		true},
	    {SERVICE, SERVICE "," SERVICE,
		"error: service \"desk\": services[1] has the name of an "
		"earlier one\n",
		true},
	    {"/a/", "",
		"error: route \"a\": path_prefix is empty, it matches each "
		"path of the host\n",
		true},
	    {"\"timeout_ms\":1500", "\"timeout_ms\":0",
		"contradiction: route \"a\": timeout_ms is 0, no job can "
		"wait for a worker\n",
		true},
	    {"\"timeout_ms\":1500", "\"timeout_ms\":59",
		"contradiction: route \"a\": timeout_ms 59 is less than "
		"target_latency_ms 60\n",
		true},
	    {"\"timeout_ms\":1500", "\"timeout_ms\":60", "", false},
	    {"\"stretch\":1.6", "\"stretch\":0.999",
		"contradiction: route \"a\": stretch 0.999 is less than 1\n",
		true},
	    {"\"stretch\":1.6", "\"stretch\":1", "", false},
	    {"\"max_attempts\":3", "\"max_attempts\":0",
		"contradiction: route \"a\": max_attempts is 0, an entry makes "
		"one attempt\n",
		true},
	    {"262144", "65535",
		"contradiction: limits: max_body_bytes 65535 is less than the "
		"65536 that the text of a job may have\n",
		true},
	    {"262144", "65536", "", false},
	    {"16384", "1163",
		"contradiction: limits: max_header_bytes 1163 is less than the "
		"1164 that the usual headers of a request to these routes "
		"need\n",
		true},
	    {"16384", "1164", "", false},
	    {"/b/", "/a/",
		"unmatched: route \"b\": same host and path_prefix as the "
		"earlier route \"a\"\n",
		false},
	    {ROUTE_B,
		"{\"name\":\"b\",\"host\":\"H.EXAMPLE\",\"path_prefix\":"
		"\"/a/\",\"kind\":\"safe\",\"timeout_ms\":900,"
		"\"target_latency_ms\":70,\"priority\":2,\"service\":\"desk\","
		"\"max_attempts\":1,\"stretch\":2}",
		"unmatched: route \"b\": same host and path_prefix as the "
		"earlier route \"a\"\n",
		false},
	    {"/b/", "/a/b/", "", false},
	    {"h.example", "",
		"unmatched: route \"a\": host is empty, only requests without "
		"a host match\n",
		false},
	    {"h.example", "h.example:80",
		"unmatched: route \"a\": host has a port, requests are matched "
		"without it\n",
		false},
	    {"/a/", "a/",
		"unmatched: route \"a\": path_prefix does not begin with "
		"\"/\"\n",
		false},
	    {"/a/", "/a?b",
		"unmatched: route \"a\": path_prefix has characters that no "
		"path of a request has\n",
		false},
	    {"\"service\":\"desk\"", "\"service\":\"d\\nsk\"",
		"unmatched: route \"a\": service \"d\\nsk\" does not exist\n",
		false},
	    {"\"standby\":false", "\"standby\":true",
		"unmatched: route \"a\": service \"desk\" is on standby\n"
		"unmatched: route \"b\": service \"desk\" is on standby\n",
		false},
	    {ROUTE_A "," ROUTE_B "]",
		"{\"x\":1,"
		"\"name\":\"c\",\"host\":\"h\",\"path_prefix\":"
		"\"/\",\"kind\":\"\",\"timeout_ms\":1,\"target_latency_ms\":2,"
		"\"priority\":0,\"service\":\"s\",\"max_attempts\":1,"
		"\"stretch\":1},{\"x\":2}]",
		"error: routes[1]: host is missing\n"
		"error: routes[1]: kind is missing\n"
		"error: routes[1]: max_attempts is missing\n"
		"error: routes[1]: name is missing\n"
		"error: routes[1]: path_prefix is missing\n"
		"error: routes[1]: priority is missing\n"
		"error: routes[1]: service is missing\n"
		"error: routes[1]: stretch is missing\n"
		"error: routes[1]: target_latency_ms is missing\n"
		"error: routes[1]: timeout_ms is missing\n"
		"contradiction: route \"c\": timeout_ms 1 is less than "
		"target_latency_ms 2\n"
		"unmatched: route \"c\": service \"s\" does not exist\n"
		"note: routes: unknown field \"x\"\n",
		true},
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text =
		    replace(DOCUMENT, cases[i].from, cases[i].to);
		struct kc *k = kc_new(text, strlen(text));

		assert_findings(k, text, cases[i].expected);
		assert_int_equal(cases[i].failed, kf_failed(kc_findings(k)));
		assert_true(cases[i].failed || is_applied(text));
		kc_free(k);
	}
}

/* Guards against limits that differ from those of an entry: of each text the
 * longest one that an entry takes has no error, and one more byte has. */
static void
test_text_limits(void **state)
{
	static const struct {
		const char *value, *key;
		size_t max;
	} cases[] = {
	    {"\"name\":\"a\"", "name", PD_TEXT_MAX},
	    {"\"host\":\"h.example\"", "host", PD_TEXT_MAX},
	    {"\"path_prefix\":\"/a/\"", "path_prefix", PD_TEXT_MAX},
	    {"\"service\":\"desk\"", "service", PD_NAME_MAX},
	};
	size_t i, over;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases) * 2; i++) {
		over = i % 2;
		g_autofree char *fill =
		    g_strnfill(cases[i / 2].max + over, '/');
		g_autofree char *value =
		    g_strdup_printf("\"%s\":\"%s\"", cases[i / 2].key, fill);
		g_autofree char *text =
		    replace(DOCUMENT, cases[i / 2].value, value);
		g_autofree char *error = g_strdup_printf(
		    ": %s has %zu bytes, more than an entry accepts\n",
		    cases[i / 2].key, cases[i / 2].max + 1);
		struct kc *k = kc_new(text, strlen(text));
		autofree char *found = kf_text(kc_findings(k));

		assert_int_equal(over, strstr(found, error) != NULL);
		assert_int_equal(over, kf_failed(kc_findings(k)));
		assert_int_equal(over, !is_applied(text));
		kc_free(k);
	}
}

/* Guards against more routes than an entry accepts, and against a NUL byte that
 * hides the rest of a document from it. */
static void
test_document_limits(void **state)
{
	static const char nul[] = DOCUMENT "\0x";
	g_autoptr(GString) routes = g_string_new(NULL);
	g_autofree char *text = NULL;
	struct kc *many, *cut;
	unsigned i;

	(void)state;
	for (i = 0; i < PD_QUEUES_MAX; i++) {
		g_autofree char *name = g_strdup_printf("\"name\":\"r%u\"", i);
		g_autofree char *path =
		    g_strdup_printf("\"path_prefix\":\"/r%u/\"", i);
		g_autofree char *named =
		    replace(ROUTE_A, "\"name\":\"a\"", name);
		g_autofree char *route =
		    replace(named, "\"path_prefix\":\"/a/\"", path);

		g_string_append_printf(routes, "%s,", route);
	}
	g_string_append(routes, ROUTE_A);
	text = replace(DOCUMENT, ROUTE_A "," ROUTE_B, routes->str);
	many = kc_new(text, strlen(text));
	assert_findings(many, "too many routes",
	    "error: routes: 16385 routes, an entry accepts at most 16384\n");
	cut = kc_new(nul, sizeof(nul) - 1);
	assert_findings(cut, "NUL byte",
	    "error: document: has a NUL byte, an entry reads only what "
	    "precedes it\n");
	kc_free(many);
	kc_free(cut);
}

/* Guards against differences from the version in force that are missing or made
 * up, against a version that is not above it, and against a version in force
 * that cannot be read and counts as one without routes. */
static void
test_differences(void **state)
{
	static const struct {
		const char *from, *to; /* in DOCUMENT, for the new version */
		const char *expected;
	} cases[] = {
	    {"{\"version\":7", "{\"version\":8",
		"difference: document: \"version\": 7 -> 8\n"},
	    {"{\"version\":7", "{\"version\":7",
		"contradiction: document: version 7 is not above 7, which is "
		"in force\n"},
	    {"{\"version\":7,\"routes\":[" ROUTE_A "," ROUTE_B "]",
		"{\"version\":8,\"routes\":[" ROUTE_B "]",
		"difference: document: \"version\": 7 -> 8\n"
		"difference: route \"a\": removed\n"},
	    {"{\"version\":7,\"routes\":[" ROUTE_A,
		"{\"version\":8,\"note\":\"n\",\"routes\":[{\"name\":\"c\","
		"\"host\":\"h\",\"path_prefix\":\"/c/\",\"kind\":\"safe\","
		"\"timeout_ms\":900,\"target_latency_ms\":70,\"priority\":2,"
		"\"service\":\"desk\",\"max_attempts\":1,\"stretch\":2},"
		"{\"name\":\"a\",\"host\":\"h.example\",\"path_prefix\":"
		"\"/a/\",\"kind\":\"unsafe\",\"timeout_ms\":1600,"
		"\"target_latency_ms\":60,\"priority\":0.0,\"service\":"
		"\"desk\",\"max_attempts\":3,\"stretch\":1.7}",
		"error: route \"a\": priority must be an integer\n"
		"difference: document: \"note\": none -> \"n\"\n"
		"difference: document: \"version\": 7 -> 8\n"
		"difference: route \"c\": added\n"
		"difference: route \"a\": \"stretch\": 1.6 -> "
		"1.7\n"
		"difference: route \"a\": \"timeout_ms\": 1500 -> 1600\n"
		"note: document: unknown field \"note\"\n"},
	};
	struct kc *same = kc_new(DOCUMENT, strlen(DOCUMENT));
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text =
		    replace(DOCUMENT, cases[i].from, cases[i].to);
		struct kc *k = kc_new(text, strlen(text));

		assert_true(kc_compare(k, DOCUMENT));
		assert_findings(k, text, cases[i].expected);
		kc_free(k);
	}
	assert_false(kc_compare(same, "{\"routes\":"));
	assert_false(kc_compare(same, "{}"));
	kc_free(same);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_findings),
	    cmocka_unit_test(test_text_limits),
	    cmocka_unit_test(test_document_limits),
	    cmocka_unit_test(test_differences),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
