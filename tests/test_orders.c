#include <setjmp.h>
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

/* Tests the orders of an agent with an endpoint that only checks fencing
 * tokens, on one event loop. */

#define WALL_MS 1767225600000ULL
#define HEARTBEAT                                                              \
	"{\"service\":\"%s\",\"address\":\"a\",\"zone\":\"z\",\"slots\":8,"    \
	"\"state\":\"ready\",\"capacity\":{\"cpu\":1000,\"mem_mb\":10},"       \
	"\"labels\":[\"%s\"],\"seq\":%u,\"born\":%llu}"

struct fixture {
	struct event_base *base;
	struct ck *clock;
	struct evhttp *endpoint;
	char endpoint_address[SN_ADDRESS_SIZE];
	char heartbeat_address[SN_ADDRESS_SIZE];
	unsigned heartbeat_port;
	struct od *orders;
	unsigned long long highest_token; /* that the endpoint has seen */
	unsigned polls;
	unsigned heartbeats;
	unsigned superseded;
	unsigned sequence;
};

/* --- endpoint --- */

static void
on_hold(struct evhttp_request *req, void *arg)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	struct evbuffer *out = evhttp_request_get_output_buffer(req);
	struct fixture *f = arg;
	unsigned long long token = 0;
	char *body =
	    g_strndup((char *)evbuffer_pullup(in, -1), evbuffer_get_length(in));
	const char *at = strstr(body, "\"fencing_token\":");

	if (at != NULL)
		token = strtoull(strchr(at, ':') + 1, NULL, 10);
	g_free(body);
	if (token < f->highest_token) {
		evbuffer_add_printf(out, "{\"reason\":\"fence\"}");
		evhttp_send_reply(req, 409, NULL, NULL);
		return;
	}
	f->highest_token = token;
	f->polls++;
	evbuffer_add_printf(
	    out, "{\"clock_ms\":1,\"running\":[],\"ended\":[]}");
	evhttp_send_reply(req, 200, NULL, NULL);
}

/* --- agent --- */

static void
on_heartbeat(void *arg, const struct od_heartbeat *a)
{
	struct fixture *f = arg;

	(void)a;
	f->heartbeats++;
}

static void
ignore(void *arg)
{
	(void)arg;
}

static void
on_polled(void *arg, const struct ru_poll_result *poll)
{
	(void)arg;
	(void)poll;
}

static unsigned
no_renewal(void *arg)
{
	(void)arg;
	return (0);
}

static void
on_superseded(void *arg)
{
	struct fixture *f = arg;

	f->superseded++;
}

static const struct od_ops ops = {.heartbeat = on_heartbeat,
    .gone = ignore,
    .connection_refused = ignore,
    .polled = on_polled,
    .lease_renewal_ms = no_renewal,
    .unreachable = ignore,
    .superseded = on_superseded};

static int
set_up(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	lg_open("test", LOG_CRIT);
	f->base = event_base_new();
	f->clock = ck_new_manual(1000, WALL_MS);
	sn_address(f->endpoint_address, sn_free_port());
	f->endpoint = sc_listen(f->base, f->endpoint_address, on_hold, f);
	assert_non_null(f->endpoint);
	*state = f;
	return (0);
}

static void
start_orders(struct fixture *f)
{
	f->heartbeat_port = sn_free_port();
	sn_address(f->heartbeat_address, f->heartbeat_port);
	f->orders = od_new(f->base, f->clock, f->heartbeat_address,
	    f->endpoint_address, &ops, f);
	assert_non_null(f->orders);
	sn_run_loop(f->base, 100);
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

/* Guards against an agent that is rejected for ever because its predecessor
 * used a clock that was ahead. */
static void
test_predecessor_had_higher_token(void **state)
{
	struct fixture *f = *state;

	f->highest_token = WALL_MS + 30000;
	start_orders(f);
	assert_true(f->polls > 0);
	assert_true(f->highest_token > WALL_MS + 30000);
	assert_int_equal(0, f->superseded);
}

/* Guards against two agents that both order runs at an endpoint, for example
 * when one was paused and its successor has started: it raised its token above
 * that of its successor and took over again. */
static void
test_successor_in_charge(void **state)
{
	struct fixture *f = *state;
	unsigned polls;

	start_orders(f);
	assert_true(f->polls > 0);
	f->highest_token = WALL_MS + 1000;
	sn_run_loop(f->base, 800);
	assert_int_equal(1, f->superseded);
	assert_int_equal(WALL_MS + 1000, f->highest_token);
	polls = f->polls;
	sn_run_loop(f->base, 800);
	assert_int_equal(polls, f->polls);
	assert_int_equal(1, f->superseded);
}

static void
on_answer(struct evhttp_request *req, void *arg)
{
	int *status = arg;

	*status = req == NULL ? 0 : evhttp_request_get_response_code(req);
}

static void
send_heartbeat(struct fixture *f, const char *text)
{
	struct evhttp_connection *c = evhttp_connection_base_new(
	    f->base, NULL, "127.0.0.1", (ev_uint16_t)f->heartbeat_port);
	int status = 0;
	struct evhttp_request *req = evhttp_request_new(on_answer, &status);

	evbuffer_add_printf(evhttp_request_get_output_buffer(req), "%s", text);
	evhttp_make_request(c, req, EVHTTP_REQ_PUT, "/v1/instances/i");
	sn_run_loop(f->base, 50);
	assert_int_equal(200, status);
	evhttp_connection_free(c);
}

static void
send_names(struct fixture *f, const char *service, const char *label)
{
	char *text = g_strdup_printf(HEARTBEAT, service, label, ++f->sequence,
	    (unsigned long long)WALL_MS);

	send_heartbeat(f, text);
	g_free(text);
}

/* Guards against a heartbeat that ends the process or makes the agent unable to
 * send its own: a name of more than 64 bytes does not fit in a message, so the
 * entries lost contact and the runs were stopped. */
static void
test_malformed_heartbeat(void **state)
{
	static const char *const texts[] = {"", "{", "[]", "{}",
	    "{\"service\":7}", "{\"service\":\"s\",\"state\":\"odd\"}",
	    "{\"service\":\"s\",\"state\":\"ready\",\"capacity\":7}",
	    "{\"service\":\"s\",\"capacity\":{},\"labels\":7}"};
	char *name = g_strnfill(PD_NAME_MAX + 1, 'n');
	struct fixture *f = *state;
	size_t i;

	start_orders(f);
	send_names(f, "desk", "a");
	assert_int_equal(1, f->heartbeats);
	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		send_heartbeat(f, texts[i]);
	send_names(f, name, "a");
	send_names(f, "desk", name);
	assert_int_equal(1, f->heartbeats);
	send_names(f, "desk", "a");
	assert_int_equal(2, f->heartbeats);
	g_free(name);
}

int
main(void)
{
#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    T(test_predecessor_had_higher_token),
	    T(test_successor_in_charge),
	    T(test_malformed_heartbeat),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
