#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <glib.h>
#include <ulfius.h>
#include <unistd.h>

#include "platform.h"
#include "support_net.h"

#define TIMEOUT_MS 1000

/* Platform stub: the response it sends next, and the last request. */
struct fake {
	struct _u_instance instance;
	unsigned status;
	const char *body;
	unsigned delay_s;
	char method[16];
	char url[256];
	char if_none_match[16];
	char received[512];
};

static struct fake fake;
static unsigned port; /* of the fake */

static int
handle_request(
    const struct _u_request *request, struct _u_response *response, void *arg)
{
	const char *match =
	    u_map_get_case(request->map_header, "If-None-Match");

	(void)arg;
	g_strlcpy(fake.method, request->http_verb, sizeof(fake.method));
	g_strlcpy(fake.url, request->http_url, sizeof(fake.url));
	g_strlcpy(fake.if_none_match, match != NULL ? match : "",
	    sizeof(fake.if_none_match));
	memset(fake.received, 0, sizeof(fake.received));
	if (request->binary_body_length > 0)
		memcpy(fake.received, request->binary_body,
		    MIN(request->binary_body_length,
			sizeof(fake.received) - 1));
	sleep(fake.delay_s);
	ulfius_set_string_body_response(response, fake.status, fake.body);
	return (U_CALLBACK_COMPLETE);
}

static int
start_server(void **state)
{
	struct sockaddr_in bind_to = {.sin_family = AF_INET};

	(void)state;
	port = sn_free_port();
	bind_to.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, "127.0.0.1", &bind_to.sin_addr);
	if (ulfius_init_instance(&fake.instance, port, &bind_to, NULL) != U_OK)
		return (-1);
	ulfius_add_endpoint_by_val(
	    &fake.instance, "*", NULL, "*", 0, handle_request, NULL);
	return (ulfius_start_framework(&fake.instance) == U_OK ? 0 : -1);
}

static int
stop_server(void **state)
{
	(void)state;
	ulfius_stop_framework(&fake.instance);
	ulfius_clean_instance(&fake.instance);
	return (0);
}

static struct pf
new_client(void)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u", port);
	struct pf client = pf_http(url, TIMEOUT_MS);

	g_free(url);
	return (client);
}

static void
set_response(unsigned status, const char *body)
{
	fake.status = status;
	fake.body = body;
	fake.delay_s = 0;
}

/* Guards against an insert that replaces a row, and against responses that are
 * taken for success or for a conflict although the outcome is unknown. */
static void
test_insert(void **state)
{
	static const struct {
		const char *body;
		const char *existing;
		unsigned status;
		enum pf_error error;
	} cases[] = {
	    {"{\"ver\":4}", NULL, 200, PF_OK},
	    {"{\"rows\":[{\"key\":\"7\",\"value\":\"eyJhIjoxfQ==\"}]}",
		"{\"a\":1}", 412, PF_EXISTS},
	    {"", NULL, 412, PF_UNKNOWN},
	    {"{\"rows\":[{\"key\":\"7\"}]}", NULL, 412, PF_UNKNOWN},
	    {"{\"rows\":[]}", NULL, 412, PF_UNKNOWN},
	    {"{}", NULL, 201, PF_UNKNOWN},
	    {"{}", NULL, 429, PF_UNKNOWN},
	    {"{}", NULL, 404, PF_UNKNOWN},
	    {"{}", NULL, 503, PF_UNKNOWN},
	};
	struct pf p = new_client();
	char *existing;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		set_response(cases[i].status, cases[i].body);
		assert_int_equal(
		    p.ops->insert(p.arg, "change", "00000000000000000007",
			"{\"b\":2}", &existing),
		    cases[i].error);
		if (cases[i].existing == NULL)
			assert_null(existing);
		else
			assert_string_equal(existing, cases[i].existing);
		g_free(existing);
		assert_string_equal(fake.method, "POST");
		assert_string_equal(fake.url, "/v1/rows-tx");
		assert_string_equal(fake.received,
		    "{\"expected_revision\":[{\"table\":\"change\",\"part\":"
		    "\"\","
		    "\"key\":\"00000000000000000007\",\"ver\":0}],"
		    "\"writes\":[{\"table\":\"change\",\"part\":\"\","
		    "\"key\":\"00000000000000000007\","
		    "\"value\":\"eyJiIjoyfQ==\"}]}");
	}
	p.ops->close(p.arg);
}

/* Guards against a missing row that is taken for an unavailable platform, and
 * the reverse. */
static void
test_get(void **state)
{
	static const struct {
		const char *body;
		unsigned status;
		enum pf_error error;
	} cases[] = {
	    {"{\"rows\":[{\"key\":\"7\",\"value\":\"eA==\"}]}", 200, PF_OK},
	    {"{\"rows\":[{\"key\":\"7\",\"value\":5}]}", 200, PF_UNKNOWN},
	    {"{\"rows\":[{\"key\":\"8\",\"value\":\"eA==\"}]}", 200,
		PF_NOT_FOUND},
	    {"{\"rows\":[]}", 200, PF_NOT_FOUND},
	    {"{}", 200, PF_UNKNOWN},
	    {"x", 200, PF_UNKNOWN},
	    {"{}", 404, PF_UNKNOWN},
	    {"{}", 500, PF_UNKNOWN},
	};
	struct pf p = new_client();
	char *value;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		set_response(cases[i].status, cases[i].body);
		assert_int_equal(
		    p.ops->get(p.arg, "change", "7", &value), cases[i].error);
		if (cases[i].error == PF_OK)
			assert_string_equal(value, "x");
		else
			assert_null(value);
		g_free(value);
	}
	assert_string_equal(
	    fake.url, "/v1/rows-get?table=change&part=&from=7&limit=1");
	p.ops->close(p.arg);
}

/* Guards against lost rows, and against a malformed row that is taken for the
 * end of the change log. */
static void
test_scan(void **state)
{
	static const char *const malformed[] = {"", "{}", "{\"rows\":{}}",
	    "{\"rows\":[{\"key\":\"1\",\"value\":\"YQ==\"},{\"key\":\"2\"}]}"};
	struct pf p = new_client();
	struct pf_rows rows;
	size_t i;

	(void)state;
	set_response(200,
	    "{\"rows\":[{\"key\":\"0\",\"value\":\"eA==\"},"
	    "{\"key\":\"1\",\"value\":\"YQ==\"},"
	    "{\"key\":\"2\",\"value\":\"Yg==\"}]}");
	assert_int_equal(p.ops->scan(p.arg, "change", "0", 10, &rows), PF_OK);
	assert_string_equal(
	    fake.url, "/v1/rows-get?table=change&part=&from=0&limit=11");
	assert_int_equal(rows.count, 2);
	assert_string_equal(rows.items[0].key, "1");
	assert_string_equal(rows.items[1].value, "b");
	pf_rows_release(&rows);
	/* Without the row "0" the response holds one row more than the limit.
	 */
	set_response(200,
	    "{\"rows\":[{\"key\":\"1\",\"value\":\"YQ==\"},"
	    "{\"key\":\"2\",\"value\":\"Yg==\"}]}");
	assert_int_equal(p.ops->scan(p.arg, "change", "0", 1, &rows), PF_OK);
	assert_int_equal(rows.count, 1);
	assert_string_equal(rows.items[0].key, "1");
	pf_rows_release(&rows);
	set_response(200, "{\"rows\":[]}");
	assert_int_equal(p.ops->scan(p.arg, "change", "2", 10, &rows), PF_OK);
	assert_int_equal(rows.count, 0);
	pf_rows_release(&rows);
	for (i = 0; i < G_N_ELEMENTS(malformed); i++) {
		set_response(200, malformed[i]);
		assert_int_equal(
		    p.ops->scan(p.arg, "change", "0", 10, &rows), PF_UNKNOWN);
		assert_int_equal(rows.count, 0);
	}
	p.ops->close(p.arg);
}

/* Guards against a conditional write (If-None-Match) of an object. */
static void
test_objects(void **state)
{
	struct pf p = new_client();
	char *text;

	(void)state;
	set_response(201, "{}");
	assert_int_equal(
	    p.ops->put_object(p.arg, "snapshot", "{\"r\":1}"), PF_OK);
	assert_string_equal(fake.url, "/v1/blob-put/snapshot");
	assert_string_equal(fake.received, "{\"r\":1}");
	assert_string_equal(fake.if_none_match, "");
	set_response(503, "{}");
	assert_int_equal(
	    p.ops->put_object(p.arg, "snapshot", "{}"), PF_UNKNOWN);
	set_response(200, "{\"r\":1}");
	assert_int_equal(p.ops->get_object(p.arg, "snapshot", &text), PF_OK);
	assert_string_equal(text, "{\"r\":1}");
	g_free(text);
	set_response(404, "{}");
	assert_int_equal(
	    p.ops->get_object(p.arg, "snapshot", &text), PF_NOT_FOUND);
	assert_null(text);
	p.ops->close(p.arg);
}

/* Guards against a call that hangs when the platform does not answer, or that
 * reports success when nothing listens. */
static void
test_unreachable(void **state)
{
	struct pf unreachable = pf_http("http://127.0.0.1:1", TIMEOUT_MS);
	struct pf p = new_client();
	char *value;
	gint64 start_us;

	(void)state;
	assert_int_equal(unreachable.ops->insert(
			     unreachable.arg, "change", "1", "{}", &value),
	    PF_UNKNOWN);
	unreachable.ops->close(unreachable.arg);
	set_response(201, "{}");
	fake.delay_s = 3;
	start_us = g_get_monotonic_time();
	assert_int_equal(
	    p.ops->insert(p.arg, "change", "1", "{}", &value), PF_UNKNOWN);
	assert_true(g_get_monotonic_time() - start_us < 2 * G_USEC_PER_SEC);
	p.ops->close(p.arg);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_insert),
	    cmocka_unit_test(test_get),
	    cmocka_unit_test(test_scan),
	    cmocka_unit_test(test_objects),
	    cmocka_unit_test(test_unreachable),
	};

	return (cmocka_run_group_tests(tests, start_server, stop_server));
}
