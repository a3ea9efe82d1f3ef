#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "clock.h"
#include "log.h"
#include "orders.h"
#include "scrape.h"
#include "support_net.h"

/* Tests heartbeats of other writers than the endpoint: each is sent between two
 * heartbeats of the endpoint, must change nothing, and must not keep the agent
 * from the second one. */

#define WALL_MS 1767225600000ULL
/* Life of the endpoint at the start of a test. */
#define LIFE_MS 10000
#define ANSWER_MS 40
#define INSTANCE "/v1/instances/i-7f3a91c2"
/* More than jansson accepts. */
#define NESTING 50000

struct fixture {
	struct event_base *base;
	struct ck *clock;
	struct evhttp *endpoint;
	struct od *orders;
	unsigned port;
	unsigned long long sequence;
	unsigned heartbeats;
	struct od_heartbeat last;
	unsigned ignored;
	const char *reason; /* of the last one that was ignored */
	unsigned gone;
};

static void
on_heartbeat(void *arg, const struct od_heartbeat *a)
{
	struct fixture *f = arg;

	f->heartbeats++;
	f->last = *a;
}

static void
on_ignored(void *arg, const char *reason)
{
	struct fixture *f = arg;

	f->ignored++;
	f->reason = reason;
}

static void
on_gone(void *arg)
{
	struct fixture *f = arg;

	f->gone++;
}

static void
ignore(void *arg)
{
	(void)arg;
}

static void
ignore_poll(void *arg, const struct ru_poll_result *poll)
{
	(void)arg;
	(void)poll;
}

/* The endpoint, which has no runs. */
static void
on_poll(struct evhttp_request *req, void *arg)
{
	(void)arg;
	evbuffer_add_printf(evhttp_request_get_output_buffer(req),
	    "{\"clock_ms\":1,\"born\":%llu,\"running\":[],\"ended\":[]}",
	    WALL_MS);
	evhttp_send_reply(req, 200, NULL, NULL);
}

static unsigned
no_renewal(void *arg)
{
	(void)arg;
	return (0);
}

static const struct od_ops ops = {.heartbeat = on_heartbeat,
    .heartbeat_ignored = on_ignored,
    .gone = on_gone,
    .connection_refused = ignore,
    .polled = ignore_poll,
    .lease_renewal_ms = no_renewal,
    .unreachable = ignore};

static int
set_up(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	char heartbeats[SN_ADDRESS_SIZE], endpoint[SN_ADDRESS_SIZE];

	lg_open("test", LOG_CRIT);
	/* The agent may close a connection while a test writes to it. */
	signal(SIGPIPE, SIG_IGN);
	f->base = event_base_new();
	f->clock = ck_new_manual(1000, WALL_MS + LIFE_MS);
	f->port = sn_free_port();
	sn_address(heartbeats, f->port);
	sn_address(endpoint, sn_free_port());
	f->endpoint = sc_listen(f->base, endpoint, on_poll, f);
	assert_non_null(f->endpoint);
	f->orders = od_new(f->base, f->clock, heartbeats, endpoint, &ops, f);
	assert_non_null(f->orders);
	*state = f;
	return (0);
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;

	od_free(f->orders);
	evhttp_free(f->endpoint);
	event_base_loop(f->base, EVLOOP_NONBLOCK);
	event_base_free(f->base);
	ck_free(f->clock);
	g_free(f);
	return (0);
}

static void
on_answer(struct evhttp_request *req, void *arg)
{
	int *status = arg;

	*status = req == NULL ? 0 : evhttp_request_get_response_code(req);
}

static int
send_request(struct fixture *f, enum evhttp_cmd_type method, const char *path,
    const char *text)
{
	struct evhttp_connection *c = evhttp_connection_base_new(
	    f->base, NULL, "127.0.0.1", (ev_uint16_t)f->port);
	int status = 0;
	struct evhttp_request *req = evhttp_request_new(on_answer, &status);

	evbuffer_add(evhttp_request_get_output_buffer(req), text, strlen(text));
	evhttp_add_header(
	    evhttp_request_get_output_headers(req), "Host", "agent");
	evhttp_make_request(c, req, method, path);
	sn_run_loop(f->base, ANSWER_MS);
	evhttp_connection_free(c);
	return (status);
}

/* Heartbeat of the endpoint in which the text of one field is replaced; with
 * @text NULL the field is missing. Owned by the caller. */
static char *
heartbeat_with(struct fixture *f, const char *key, const char *text)
{
	char sequence[32], born[32];
	const char *const fields[][2] = {{"service", "\"desk\""},
	    {"address", "\"10.128.0.9:8080\""}, {"zone", "\"armor\""},
	    {"version", "\"v1\""}, {"slots", "8"}, {"state", "\"ready\""},
	    {"cold_remaining_ms", "0"},
	    {"capacity", "{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":0}"},
	    {"labels", "[\"a\",\"r1-3\"]"}, {"clock_ms", "482113"},
	    {"seq", sequence}, {"born", born}};
	GString *out = g_string_new("{");
	const char *value;
	size_t i;

	snprintf(sequence, sizeof(sequence), "%llu", ++f->sequence);
	snprintf(born, sizeof(born), "%llu", WALL_MS);
	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		value = strcmp(fields[i][0], key) == 0 ? text : fields[i][1];
		if (value != NULL)
			g_string_append_printf(out, "%s\"%s\":%s",
			    out->len > 1 ? "," : "", fields[i][0], value);
	}
	g_string_append(out, "}");
	return (g_string_free(out, FALSE));
}

static int
put(struct fixture *f, const char *path, char *text)
{
	int status = send_request(f, EVHTTP_REQ_PUT, path, text);

	g_free(text);
	return (status);
}

/* The endpoint's own heartbeat is followed. */
static void
assert_followed(struct fixture *f)
{
	unsigned before = f->heartbeats;

	assert_int_equal(200, put(f, INSTANCE, heartbeat_with(f, "", NULL)));
	assert_int_equal(before + 1, f->heartbeats);
	assert_int_equal(WALL_MS, f->last.started_ms);
	assert_int_equal(16000, f->last.cpu);
}

static void
assert_ignored(
    struct fixture *f, const char *path, const char *reason, char *text)
{
	unsigned heartbeats = f->heartbeats, ignored = f->ignored;

	assert_int_equal(200, put(f, path, text));
	assert_int_equal(heartbeats, f->heartbeats);
	assert_int_equal(ignored + 1, f->ignored);
	assert_string_equal(reason, f->reason);
}

/* Sends heartbeats with other texts for a field, which end with NULL; in the
 * last one the field is missing. */
static void
assert_field_checked(struct fixture *f, const char *key, const char *reason,
    const char *const *texts)
{
	assert_followed(f);
	do {
		assert_ignored(
		    f, INSTANCE, reason, heartbeat_with(f, key, *texts));
		assert_followed(f);
	} while (*texts++ != NULL);
}

/* Guards against a process that ends, or that stops following its endpoint,
 * because of a body that cannot be read. */
static void
test_unreadable_body(void **state)
{
	static const char *const texts[] = {"", "{", "[]", "7", "\"\"", "null",
	    "{\"seq\":99999999999999999999}", "{\"seq\":1e999}",
	    "{\"service\":\"\xff\xfe\"}", "{\"service\":\"a\\u0000b\"}"};
	struct fixture *f = *state;
	char *nested;
	size_t i;

	assert_followed(f);
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		assert_ignored(f, INSTANCE, "body", g_strdup(texts[i]));
		assert_followed(f);
	}
	nested = g_strnfill(NESTING, '[');
	assert_ignored(f, INSTANCE, "body", nested);
	assert_followed(f);
}

/* Guards against a heartbeat without a name that entries can use. */
static void
test_odd_names(void **state)
{
	static const char *const texts[] = {
	    "7", "\"\"", "[]", "{}", "null", "true", NULL};
	static const char *const states[] = {
	    "\"odd\"", "\"Ready\"", "7", "\"\"", "[\"ready\"]", NULL};
	struct fixture *f = *state;

	assert_field_checked(f, "service", "service", texts);
	assert_field_checked(f, "state", "state", states);
}

/* Guards against a start of the endpoint that is no time or lies in the future:
 * it was taken for a restart, which ends all runs, and the heartbeats of the
 * endpoint were ignored from then on as those of an earlier process. */
static void
test_start_in_future(void **state)
{
	static const char *const texts[] = {"9223372036854775807",
	    "1767225600000000", "1767225730000", "-1767225600000", "0",
	    "1767225600001.5", "1.7e12", "\"1767225600001\"", "[]", "null",
	    "true", NULL};
	struct fixture *f = *state;

	assert_field_checked(f, "born", "born", texts);
}

/* Guards against a sequence number that is none or that the endpoint cannot
 * have reached: its own heartbeats were ignored from then on as late ones. */
static void
test_sequence_too_large(void **state)
{
	static const char *const texts[] = {"9223372036854775807", "11500",
	    "-1", "4.5", "1e6", "\"4\"", "[]", "null", "true", NULL};
	struct fixture *f = *state;

	assert_field_checked(f, "seq", "sequence", texts);
}

/* Guards against heartbeats that are ignored because the endpoint sends many,
 * or seems younger than it is since the clock of the host was set back. */
static void
test_sequence_of_endpoint(void **state)
{
	struct fixture *f = *state;

	f->sequence = LIFE_MS + 900;
	assert_followed(f);
	ck_advance_ms(f->clock, LIFE_MS);
	f->sequence = 2 * LIFE_MS;
	assert_followed(f);
}

/* Guards against a capacity that is cut to 32 bits, or that lets sums of
 * capacities overflow: the endpoint got more work than fits, or none. */
static void
test_capacity_out_of_range(void **state)
{
	static const char *const texts[] = {"{}", "[]", "7", "null",
	    "{\"cpu\":4294967297,\"mem_mb\":1}",
	    "{\"cpu\":4294967295,\"mem_mb\":1}", "{\"cpu\":-1,\"mem_mb\":1}",
	    "{\"cpu\":1000.5,\"mem_mb\":1}", "{\"cpu\":\"1000\",\"mem_mb\":1}",
	    "{\"cpu\":1000}", "{\"mem_mb\":1}",
	    "{\"cpu\":1000,\"mem_mb\":4294967296}",
	    "{\"cpu\":1000,\"mem_mb\":-1}", "{\"cpu\":1000,\"mem_mb\":[1]}",
	    NULL};
	struct fixture *f = *state;

	assert_field_checked(f, "capacity", "capacity", texts);
}

/* Guards against following an entry that names no endpoint to call. */
static void
test_address_out_of_range(void **state)
{
	static const char *const texts[] = {"\"10.128.0.9:0\"",
	    "\"10.128.0.9:65536\"", "\"10.128.0.9:-1\"",
	    "\"10.128.0.9:99999999999999999999\"", "\"10.128.0.9\"",
	    "\"10.128.0.9:\"", "\"10.128.0.9:80x\"", "\"10.128.0.9: 80\"",
	    "\"10.128.0.256:80\"", "\"10.128.0:80\"", "\":80\"", "\"-\"",
	    "\"\"", "\"some-host-name-of-many-letters:80\"", "7", "[]", NULL};
	struct fixture *f = *state;

	assert_field_checked(f, "address", "address", texts);
}

/* Guards against taking a part of a heartbeat whose other fields are of another
 * type, such as no labels: the endpoint got no tasks that need one. */
static void
test_fields_of_another_type(void **state)
{
	static const char *const labels[] = {
	    "7", "{}", "null", "\"a\"", "[7]", "[\"a\",null]", "[[\"a\"]]"};
	static const char *const numbers[] = {"\"8\"", "-1", "[]", "null"};
	static const char *const zones[] = {"7", "\"\"", "[]", NULL};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(labels); i++) {
		assert_followed(f);
		assert_ignored(f, INSTANCE, "labels",
		    heartbeat_with(f, "labels", labels[i]));
	}
	for (i = 0; i < G_N_ELEMENTS(numbers); i++) {
		assert_ignored(f, INSTANCE, "number",
		    heartbeat_with(f, "slots", numbers[i]));
		assert_ignored(f, INSTANCE, "number",
		    heartbeat_with(f, "cold_remaining_ms", numbers[i]));
		assert_followed(f);
	}
	assert_field_checked(f, "zone", "zone", zones);
}

/* Guards against a reading of the endpoint's clock that makes the deadlines of
 * orders overflow, or that lets the endpoint refuse them as late. */
static void
test_clock_out_of_range(void **state)
{
	static const char *const texts[] = {"9223372036854775807", "-1",
	    "1767225800000", "\"482113\"", "[]", "null", "true"};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		assert_followed(f);
		assert_ignored(f, INSTANCE, "clock",
		    heartbeat_with(f, "clock_ms", texts[i]));
	}
	assert_followed(f);
}

/* Guards against following an entry without an id: the endpoint's own id was
 * forgotten, and its deregistration ignored. */
static void
test_odd_ids(void **state)
{
	char *name = g_strnfill(PD_ID_MAX + 1, 'i');
	char *path = g_strconcat("/v1/instances/", name, NULL);
	const char *const paths[] = {"/v1/instances/", "/v1/instances", "/",
	    "/v1/instances/a/b", "/v1/instances/?a=i-7f3a91c2", "/i-7f3a91c2",
	    path};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(paths); i++) {
		assert_followed(f);
		assert_ignored(f, paths[i], "id", heartbeat_with(f, "", NULL));
		assert_int_equal(
		    200, send_request(f, EVHTTP_REQ_DELETE, paths[i], ""));
		assert_int_equal(0, f->gone);
	}
	assert_int_equal(
	    200, send_request(f, EVHTTP_REQ_DELETE, INSTANCE "?a=b", ""));
	assert_int_equal(1, f->gone);
	g_free(path);
	g_free(name);
}

/* Guards against an agent, which may use 32 MB, that reads a body of any size:
 * 4 MiB of JSON take 87 MB once they are parsed. */
static void
test_body_too_large(void **state)
{
	struct fixture *f = *state;
	char *note, *version;

	assert_followed(f);
	note = g_strnfill(4 * 1024 * 1024, 'n');
	version = g_strdup_printf("\"%s\"", note);
	/* 413, or none if the connection is closed while it is written. */
	assert_int_not_equal(
	    200, put(f, INSTANCE, heartbeat_with(f, "version", version)));
	assert_int_equal(1, f->heartbeats);
	assert_followed(f);
	g_free(version);
	g_free(note);
}

int
main(void)
{
#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    T(test_unreadable_body),
	    T(test_odd_names),
	    T(test_start_in_future),
	    T(test_sequence_too_large),
	    T(test_sequence_of_endpoint),
	    T(test_capacity_out_of_range),
	    T(test_address_out_of_range),
	    T(test_fields_of_another_type),
	    T(test_clock_out_of_range),
	    T(test_odd_ids),
	    T(test_body_too_large),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
