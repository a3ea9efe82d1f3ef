#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <glib.h>

#include "clock.h"
#include "log.h"
#include "support_net.h"
#include "zone_reader.h"

/* Reads of the zones that are out, from a stub of the store. */

#define START_MS 100000
#define TICK_MS 20
/* Confirmed by an entry as late as it can be, and not confirmed. */
#define FRESH_MS 2200
#define STALE_MS 3100
#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503
#define TWO_ZONES                                                              \
	"{\"ver\":7,\"rows\":[{\"table\":\"op\",\"part\":\"\","                \
	"\"key\":\"evacuate/z1\",\"value\":\"e30=\",\"ver\":5},"               \
	"{\"table\":\"op\",\"part\":\"\",\"key\":\"evacuate/z2\","             \
	"\"value\":\"e30=\",\"ver\":6}]}"

struct fixture {
	struct event_base *base;
	struct ck *clock;
	struct evhttp *store;
	struct zr *reader;
	int status;       /* of the answers of the store; 0: none */
	const char *body; /* likewise */
	char url[256];    /* of the last request */
	unsigned requests;
	unsigned answers; /* that were passed on */
	uint64_t asked_ms;
	uint64_t revision;
	unsigned zones;
};

static void
on_request(struct evhttp_request *req, void *arg)
{
	struct fixture *f = arg;
	struct evbuffer *body;

	f->requests++;
	g_strlcpy(f->url, evhttp_request_get_uri(req), sizeof(f->url));
	if (f->status == 0)
		return;
	body = evbuffer_new();
	evbuffer_add(body, f->body, strlen(f->body));
	evhttp_send_reply(req, f->status, NULL, body);
	evbuffer_free(body);
}

static void
on_zones(void *arg, uint64_t asked_ms, const struct pd_zones *zones)
{
	struct fixture *f = arg;

	f->answers++;
	f->asked_ms = asked_ms;
	f->revision = zones->revision;
	f->zones = zones->evacuated.evacuated_len;
	if (f->zones > 0)
		assert_string_equal("z1", zones->evacuated.evacuated_val[0]);
}

static const struct zr_ops ops = {.zones = on_zones};

static int
set_up(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	char address[SN_ADDRESS_SIZE];
	unsigned port = sn_free_port();

	lg_open("test", LOG_CRIT);
	sn_address(address, port);
	f->base = event_base_new();
	f->clock = ck_new_manual(START_MS, START_MS);
	f->store = evhttp_new(f->base);
	assert_int_equal(
	    0, evhttp_bind_socket(f->store, "127.0.0.1", (uint16_t)port));
	evhttp_set_gencb(f->store, on_request, f);
	f->status = STATUS_OK;
	f->body = TWO_ZONES;
	f->reader = zr_new(f->base, f->clock, address, &ops, f);
	*state = f;
	return (0);
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;

	zr_free(f->reader);
	evhttp_free(f->store);
	event_base_loop(f->base, EVLOOP_NONBLOCK);
	event_base_free(f->base);
	ck_free(f->clock);
	g_free(f);
	return (0);
}

/* Passes time with ticks at an age of the zones that stays. */
static void
pass(struct fixture *f, unsigned ms, unsigned age_ms)
{
	unsigned i;

	for (i = 0; i < ms; i += TICK_MS) {
		zr_tick(f->reader, age_ms);
		sn_run_loop(f->base, 1);
		ck_advance_ms(f->clock, TICK_MS);
	}
	sn_run_loop(f->base, TICK_MS);
}

/* Guards against calls to the store while entries confirm the zones: there are
 * thousands of agents. */
static void
test_not_while_confirmed(void **state)
{
	struct fixture *f = *state;

	pass(f, 2000, FRESH_MS);
	assert_int_equal(0, f->requests);
}

/* Guards against an agent that goes on in a zone that is out since all entries
 * are cut off from the store, and against more than the zones in an answer. */
static void
test_read(void **state)
{
	struct fixture *f = *state;

	pass(f, 1000, STALE_MS);
	assert_int_equal(1, f->requests);
	assert_non_null(strstr(f->url, "from=evacuate%2F&to=evacuate0"));
	assert_int_equal(1, f->answers);
	assert_int_equal(7, f->revision);
	assert_int_equal(2, f->zones);
	assert_int_equal(START_MS, f->asked_ms);
	f->body = "{\"ver\":9,\"rows\":[]}";
	pass(f, 1000, STALE_MS);
	assert_int_equal(2, f->requests);
	assert_int_equal(9, f->revision);
	assert_int_equal(0, f->zones);
	/* An entry confirms them again. */
	pass(f, 4000, FRESH_MS);
	assert_int_equal(2, f->requests);
}

/* Guards against agents that add to the load of a store that is down, and
 * against answers that are taken for an empty list. */
static void
test_failed_reads(void **state)
{
	static const char *const bodies[] = {"{}", "[", "{\"rows\":[]}",
	    "{\"ver\":7,\"rows\":[],\"has_more\":true}"};
	struct fixture *f = *state;
	unsigned i;

	f->status = STATUS_UNAVAILABLE;
	pass(f, 7500, STALE_MS);
	/* After 0, 1, 3 and 7 s. */
	assert_in_range(f->requests, 3, 4);
	f->status = STATUS_OK;
	for (i = 0; i < G_N_ELEMENTS(bodies); i++) {
		f->body = bodies[i];
		f->requests = 0;
		pass(f, 5000, STALE_MS);
		assert_true(f->requests > 0);
	}
	assert_int_equal(0, f->answers);
	f->body = TWO_ZONES;
	pass(f, 5000, STALE_MS);
	assert_true(f->answers > 0);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    T(test_not_while_confirmed),
	    T(test_read),
	    T(test_failed_reads),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
