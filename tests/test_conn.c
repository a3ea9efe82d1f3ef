#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <glib.h>
#include <sys/socket.h>

#include "conn.h"
#include "pd.h"
#include "support_net.h"

/* Both ends of a connection, on one event loop. */
/* Less than the limit of 48 MB, more than its fourth. */
#define LARGE_MB 40
#define LARGE_TIMEOUT_MS 5000

struct connection_pair {
	struct event_base *base;
	struct cn_listener *listener;
	struct cn *client;
	struct cn *server;
	int opened;
	int client_closed;
	int server_closed;
	enum cn_error client_why;
	enum cn_error server_why;
	uint32_t xids[4];
	int calls;
	uint64_t last_after;
	bool answer_now;
};

static void
server_call(void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	struct pd_changes_from from = {0};
	struct pd_held held = {0};
	struct connection_pair *p = arg;

	if (proc != PD_CHANGES) {
		cn_reject(c, xid);
		return;
	}
	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_changes_from, &from))
		return;
	p->last_after = from.after;
	if (p->calls < 4)
		p->xids[p->calls] = xid;
	p->calls++;
	held.revision = from.after + 1;
	if (p->answer_now)
		cn_reply(c, xid, (xdrproc_t)xdr_pd_held, &held);
}

static void
server_closed(void *arg, struct cn *c, enum cn_error why)
{
	struct connection_pair *p = arg;

	(void)c;
	p->server = NULL;
	p->server_closed++;
	p->server_why = why;
}

static void
client_opened(void *arg, struct cn *c)
{
	struct connection_pair *p = arg;

	(void)c;
	p->opened++;
}

static void
client_closed(void *arg, struct cn *c, enum cn_error why)
{
	struct connection_pair *p = arg;

	(void)c;
	p->client = NULL;
	p->client_closed++;
	p->client_why = why;
}

static const struct cn_ops server_ops = {NULL, server_call, server_closed};
static const struct cn_ops client_ops = {
    client_opened, server_call, client_closed};

static void
accepted(void *arg, struct cn *c)
{
	struct connection_pair *p = arg;

	p->server = c;
	cn_set_ops(c, &server_ops, p);
}

static int
setup(void **state)
{
	static struct connection_pair p;
	enum cn_error error;
	char address[32];

	memset(&p, 0, sizeof(p));
	p.base = event_base_new();
	p.answer_now = true;
	p.listener = cn_listen(p.base, "127.0.0.1:0", accepted, &p, &error);
	assert_non_null(p.listener);
	snprintf(address, sizeof(address), "127.0.0.1:%u",
	    cn_listener_port(p.listener));
	p.client = cn_connect(p.base, address, &client_ops, &p, &error);
	assert_non_null(p.client);
	sn_run_loop(p.base, 30);
	assert_int_equal(1, p.opened);
	*state = &p;
	return (0);
}

static int
teardown(void **state)
{
	struct connection_pair *p = *state;

	if (p->client != NULL)
		cn_close(p->client);
	sn_run_loop(p->base, 20);
	if (p->server != NULL)
		cn_close(p->server);
	cn_listener_free(p->listener);
	event_base_free(p->base);
	return (0);
}

struct outcome {
	int count;
	enum cn_error error;
	uint64_t revision;
};

static void
call_done(void *arg, enum cn_error error, void *result)
{
	const struct pd_held *held = result;
	struct outcome *o = arg;

	o->count++;
	o->error = error;
	o->revision = held != NULL ? held->revision : 0;
}

static void
call(struct connection_pair *p, uint64_t after, unsigned timeout_ms,
    struct outcome *o)
{
	struct pd_changes_from from = {after};

	cn_call(p->client, PD_CHANGES, (xdrproc_t)xdr_pd_changes_from, &from,
	    (xdrproc_t)xdr_pd_held, sizeof(struct pd_held), timeout_ms,
	    call_done, o);
}

static void
test_call_and_reply(void **state)
{
	struct connection_pair *p = *state;
	struct outcome o = {0};

	call(p, 41, 1000, &o);
	sn_run_loop(p->base, 30);
	assert_int_equal(1, o.count);
	assert_int_equal(CN_OK, o.error);
	assert_int_equal(42, o.revision);
}

/* Guards against a crash, or a call without a result, if the other end has no
 * call handler. */
static void
test_call_without_handler_is_rejected(void **state)
{
	static const struct cn_ops no_call_ops = {NULL, NULL, server_closed};
	struct connection_pair *p = *state;
	struct outcome o = {0};

	cn_set_ops(p->server, &no_call_ops, p);
	call(p, 41, 1000, &o);
	sn_run_loop(p->base, 30);
	assert_int_equal(1, o.count);
	assert_int_equal(CN_REJECTED, o.error);
	assert_int_equal(0, p->calls);
}

/* Guards against a connection that is lost with a message that cannot be
 * encoded. */
static void
test_message_beyond_limits(void **state)
{
	struct connection_pair *p = *state;
	char *id = g_strnfill(PD_ID_MAX + 1, 'x');
	struct pd_id too_long = {.id = id};
	struct outcome o = {0};

	cn_send(p->client, PD_CANCEL, (xdrproc_t)xdr_pd_id, &too_long);
	cn_call(p->client, PD_ABANDON, (xdrproc_t)xdr_pd_id, &too_long,
	    (xdrproc_t)xdr_pd_held, sizeof(struct pd_held), 1000, call_done,
	    &o);
	assert_int_equal(1, o.count);
	assert_int_equal(CN_MALFORMED, o.error);
	call(p, 41, 1000, &o);
	sn_run_loop(p->base, 30);
	assert_int_equal(2, o.count);
	assert_int_equal(CN_OK, o.error);
	assert_int_equal(1, p->calls);
	g_free(id);
}

/* Guards against messages within the limit of a record that are dropped, since
 * the buffer for them grows beyond it. */
static void
test_large_message_dropped(void **state)
{
	struct connection_pair *p = *state;
	char *json = g_malloc0(PD_CHANGE_MAX);
	struct pd_change list[LARGE_MB];
	struct pd_changes changes = {0};
	struct outcome o = {0};
	unsigned i;

	memset(list, 0, sizeof(list));
	for (i = 0; i < LARGE_MB; i++) {
		list[i].json.json_val = json;
		list[i].json.json_len = PD_CHANGE_MAX;
	}
	changes.list.list_val = list;
	changes.list.list_len = LARGE_MB;
	cn_call(p->client, PD_PUSH, (xdrproc_t)xdr_pd_changes, &changes,
	    (xdrproc_t)xdr_pd_held, sizeof(struct pd_held), LARGE_TIMEOUT_MS,
	    call_done, &o);
	for (i = 0; i < LARGE_TIMEOUT_MS && o.count == 0; i += 50)
		sn_run_loop(p->base, 50);
	/* It arrives: the other end does not know the procedure. */
	assert_int_equal(CN_REJECTED, o.error);
	g_free(json);
}

/* Guards against replies that are matched with the wrong call if they arrive in
 * another order. */
static void
test_replies_out_of_order(void **state)
{
	struct pd_held held = {0};
	struct outcome a = {0}, b = {0};
	struct connection_pair *p = *state;

	p->answer_now = false;
	call(p, 1, 0, &a);
	call(p, 2, 0, &b);
	sn_run_loop(p->base, 30);
	assert_int_equal(2, p->calls);
	held.revision = 22;
	cn_reply(p->server, p->xids[1], (xdrproc_t)xdr_pd_held, &held);
	held.revision = 11;
	cn_reply(p->server, p->xids[0], (xdrproc_t)xdr_pd_held, &held);
	sn_run_loop(p->base, 30);
	assert_int_equal(11, a.revision);
	assert_int_equal(22, b.revision);
}

/* Guards against a late reply that finishes a call twice. */
static void
test_reply_after_timeout(void **state)
{
	struct pd_held held = {5, 0};
	struct outcome o = {0};
	struct connection_pair *p = *state;

	p->answer_now = false;
	call(p, 1, 20, &o);
	sn_run_loop(p->base, 60);
	assert_int_equal(1, o.count);
	assert_int_equal(CN_TIMEOUT, o.error);
	cn_reply(p->server, p->xids[0], (xdrproc_t)xdr_pd_held, &held);
	sn_run_loop(p->base, 30);
	assert_int_equal(1, o.count);
	assert_non_null(p->client);
}

/* Guards against pending calls without a result after the connection closed. */
static void
test_close_fails_pending_calls(void **state)
{
	struct outcome o = {0};
	struct connection_pair *p = *state;

	p->answer_now = false;
	call(p, 1, 0, &o);
	sn_run_loop(p->base, 30);
	cn_close(p->server);
	sn_run_loop(p->base, 30);
	assert_int_equal(1, o.count);
	assert_int_equal(CN_CLOSED, o.error);
	assert_int_equal(1, p->client_closed);
}

/* Guards against a connection that stays open although nothing is received. */
static void
test_idle_connection_closes(void **state)
{
	struct connection_pair *p = *state;

	cn_set_idle(p->client, 40);
	sn_run_loop(p->base, 120);
	assert_int_equal(1, p->client_closed);
	assert_int_equal(CN_IDLE, p->client_why);
}

static void
test_unknown_procedure_is_rejected(void **state)
{
	struct pd_changes_from from = {0};
	struct outcome o = {0};
	struct connection_pair *p = *state;

	cn_call(p->client, 99, (xdrproc_t)xdr_pd_changes_from, &from,
	    (xdrproc_t)xdr_pd_held, sizeof(struct pd_held), 0, call_done, &o);
	sn_run_loop(p->base, 30);
	assert_int_equal(CN_REJECTED, o.error);
}

static int
connect_raw(const struct connection_pair *p)
{
	struct sockaddr_in sin = {0};
	int fd;

	fd = socket(AF_INET, SOCK_STREAM, 0);
	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)cn_listener_port(p->listener));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(0, connect(fd, (struct sockaddr *)&sin, sizeof(sin)));
	return (fd);
}

/* Guards against crashes on bytes that are not a valid message. */
static void
test_malformed_record_closes_connection(void **state)
{
	static const struct {
		const char *bytes;
		size_t len;
	} cases[] = {
	    {"GET / HTTP/1.1\r\n\r\n", 18},
	    {"\x80\x00\x00\x04"
	     "abcd",
		8},
	    {"\xff\xff\xff\xff"
	     "abcd",
		8},
	    {"\x80\x00\x00\x08"
	     "\0\0\0\1"
	     "\0\0\0\0",
		12},
	    {"\x80\x00\x00\x00", 4},
	};
	struct connection_pair *p = *state;
	size_t i;
	int fd;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct cn *good = p->server;

		p->server_closed = 0;
		fd = connect_raw(p);
		sn_run_loop(p->base, 20);
		assert_true(write(fd, cases[i].bytes, cases[i].len) ==
		    (ssize_t)cases[i].len);
		sn_run_loop(p->base, 20);
		assert_int_equal(1, p->server_closed);
		assert_int_equal(CN_MALFORMED, p->server_why);
		close(fd);
		p->server = good;
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_call_and_reply, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_call_without_handler_is_rejected, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_message_beyond_limits, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_large_message_dropped, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_replies_out_of_order, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_reply_after_timeout, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_close_fails_pending_calls, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_idle_connection_closes, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_unknown_procedure_is_rejected, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_malformed_record_closes_connection, setup, teardown),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
