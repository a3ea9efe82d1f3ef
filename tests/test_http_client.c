#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <event2/event.h>
#include <glib.h>

#include "http.h"
#include "log.h"
#include "support_net.h"

/* Tests which status a call gets, and that it gets one once, when its server,
 * here a plain socket, fails in one of many ways. */

#define CALLS_MAX 4
#define STATUS_OK 200
#define STATUS_NO_CONTENT 204
#define TIMEOUT_MS 300
#define LONG_TIMEOUT_MS 4000
/* A test fails when something has not happened by then. */
#define WAIT_MS 2000
#define STEP_MS 2
/* Time in which a second status of a call would come. */
#define SETTLE_MS 20
/* More than the buffers of both sockets hold. */
#define LARGE_BYTES 16000000
#define REQUEST_MAX 4096
#define FILLERS 4
#define BODY_START "{\"call\":"
#define ANSWER(body_bytes, body)                                               \
	"HTTP/1.1 200 OK\r\nContent-Length: " body_bytes "\r\n\r\n" body
#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
#define ANSWER_ONE ANSWER("3", "one")
#define ANSWER_TWO ANSWER("3", "two")

/* What a call got. */
struct result {
	struct fixture *fixture;
	unsigned calls; /* of its callback */
	int status;
	char *body;    /* owned */
	unsigned next; /* call that the callback makes; 0: none */
	gint64 ended_us;
};

struct fixture {
	struct event_base *base;
	int listener;
	char address[SN_ADDRESS_SIZE];
	struct hc *client;
	struct result results[CALLS_MAX];
	int sockets[CALLS_MAX]; /* accepted */
	unsigned nsockets;
	char request[REQUEST_MAX]; /* last one read */
};

static void call(struct fixture *f, unsigned number, unsigned timeout_ms);

static void
on_done(void *arg, int status, const char *body, size_t len)
{
	struct result *r = arg;

	r->calls++;
	r->status = status;
	g_free(r->body);
	r->body = g_strndup(body, len);
	r->ended_us = g_get_monotonic_time();
	if (r->next != 0)
		call(r->fixture, r->next, LONG_TIMEOUT_MS);
}

static void
call(struct fixture *f, unsigned number, unsigned timeout_ms)
{
	char body[32];

	snprintf(body, sizeof(body), "{\"call\":%u}", number);
	hc_call(f->client, HC_POST, "/v1/run-start", NULL, NULL, body,
	    timeout_ms, on_done, &f->results[number]);
}

/* --- the server --- */

static void
listen_on(struct fixture *f, int backlog)
{
	struct sockaddr_in a = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(a);

	f->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	assert_int_equal(
	    0, bind(f->listener, (struct sockaddr *)&a, sizeof(a)));
	assert_int_equal(0, listen(f->listener, backlog));
	assert_int_equal(
	    0, getsockname(f->listener, (struct sockaddr *)&a, &len));
	sn_address(f->address, ntohs(a.sin_port));
}

/* Handles events until a connection has been made. */
static int
accept_connection(struct fixture *f)
{
	gint64 until = g_get_monotonic_time() + WAIT_MS * 1000;
	int s = -1;

	while (s < 0 && g_get_monotonic_time() < until) {
		s = accept4(f->listener, NULL, NULL, SOCK_NONBLOCK);
		if (s < 0)
			event_base_loop(f->base, EVLOOP_NONBLOCK);
	}
	assert_true(s >= 0);
	assert_in_range(f->nsockets, 0, CALLS_MAX - 1);
	f->sockets[f->nsockets++] = s;
	return (s);
}

/* Handles events until a whole request has been read. Return: the number of its
 * call. */
static unsigned
read_request(struct fixture *f, int s)
{
	gint64 until = g_get_monotonic_time() + WAIT_MS * 1000;
	const char *body = "";
	size_t have = 0;
	ssize_t n;

	while (g_get_monotonic_time() < until && strchr(body, '}') == NULL) {
		sn_run_loop(f->base, STEP_MS);
		n = recv(
		    s, f->request + have, sizeof(f->request) - have - 1, 0);
		if (n > 0)
			have += (size_t)n;
		f->request[have] = '\0';
		body = strstr(f->request, BODY_START);
		body = body == NULL ? "" : body + strlen(BODY_START);
	}
	assert_string_not_equal("", body);
	return ((unsigned)strtoul(body, NULL, 10));
}

static void
send_text(int s, const char *text)
{
	assert_int_equal(
	    strlen(text), send(s, text, strlen(text), MSG_NOSIGNAL));
}

/* Closes with a reset instead of a FIN. */
static void
reset(struct fixture *f, int s)
{
	struct linger hard = {.l_onoff = 1, .l_linger = 0};

	setsockopt(s, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	close(s);
	f->sockets[f->nsockets - 1] = -1;
}

static void
end_connection(struct fixture *f, int s, bool with_reset)
{
	if (with_reset) {
		reset(f, s);
		return;
	}
	close(s);
	f->sockets[f->nsockets - 1] = -1;
}

/* --- fixture --- */

static int
set_up_connections(void **state, unsigned connections)
{
	struct fixture *f = g_new0(struct fixture, 1);
	unsigned i;

	lg_open("test", LOG_CRIT);
	f->base = event_base_new();
	listen_on(f, SOMAXCONN);
	f->client = hc_new(f->base, f->address, connections);
	for (i = 0; i < CALLS_MAX; i++)
		f->results[i].fixture = f;
	*state = f;
	return (0);
}

/* One connection, so that calls share it. */
static int
set_up(void **state)
{
	return (set_up_connections(state, 1));
}

static int
set_up_two(void **state)
{
	return (set_up_connections(state, 2));
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;
	unsigned i;

	hc_free(f->client);
	for (i = 0; i < f->nsockets; i++)
		if (f->sockets[i] >= 0)
			close(f->sockets[i]);
	close(f->listener);
	event_base_loop(f->base, EVLOOP_NONBLOCK);
	event_base_free(f->base);
	for (i = 0; i < CALLS_MAX; i++)
		g_free(f->results[i].body);
	g_free(f);
	return (0);
}

/* Handles events until a call has ended, and asserts that it ends once. */
static void
assert_status(struct fixture *f, unsigned number, int status)
{
	gint64 until = g_get_monotonic_time() + WAIT_MS * 1000;
	struct result *r = &f->results[number];

	while (r->calls == 0 && g_get_monotonic_time() < until)
		sn_run_loop(f->base, STEP_MS);
	sn_run_loop(f->base, SETTLE_MS);
	assert_int_equal(1, r->calls);
	assert_int_equal(status, r->status);
}

static void
assert_body(const struct fixture *f, unsigned number, const char *body)
{
	assert_string_equal(body, f->results[number].body);
}

/* --- tests: the connection --- */

/* Guards against a task that is taken for started though its order was not
 * sent. */
static void
test_connection_refused(void **state)
{
	struct fixture *f = *state;

	close(f->listener);
	call(f, 1, LONG_TIMEOUT_MS);
	assert_status(f, 1, HC_REFUSED);
	listen_on(f, SOMAXCONN);
}

/* Guards against a request that is sent after its call was reported as not
 * sent, because the connection was established later. */
static void
test_connect_times_out(void **state)
{
	struct fixture *f = *state;
	struct sockaddr_in to;
	socklen_t len = sizeof(to);
	int fillers[FILLERS], s;
	unsigned i;
	char byte;

	close(f->listener);
	hc_free(f->client);
	listen_on(f, 0);
	f->client = hc_new(f->base, f->address, 1);
	assert_int_equal(
	    0, getsockname(f->listener, (struct sockaddr *)&to, &len));
	for (i = 0; i < FILLERS; i++) {
		fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(fillers[i], (struct sockaddr *)&to, sizeof(to));
	}
	call(f, 1, TIMEOUT_MS);
	assert_status(f, 1, HC_REFUSED);
	for (i = 0; i < FILLERS; i++)
		close(fillers[i]);
	/* Connections that are established late carry no request. */
	for (i = 0; i < WAIT_MS / STEP_MS; i++) {
		sn_run_loop(f->base, STEP_MS);
		s = accept4(f->listener, NULL, NULL, 0);
		if (s < 0)
			continue;
		assert_int_equal(0, recv(s, &byte, 1, 0));
		close(s);
	}
}

/* Guards against a status of "not sent" that depends on how far the client had
 * got when the connection was reset. */
static void
test_reset_before_request(void **state)
{
	struct fixture *f = *state;

	call(f, 1, LONG_TIMEOUT_MS);
	reset(f, accept_connection(f));
	assert_status(f, 1, HC_NO_ANSWER);
}

/* Guards against a request of which a part was sent and that is reported as not
 * sent. */
static void
test_reset_during_request(void **state)
{
	struct fixture *f = *state;
	char *body = g_strnfill(LARGE_BYTES, ' '), byte;
	unsigned i;
	int s;

	hc_call(f->client, HC_POST, "/", NULL, NULL, body, LONG_TIMEOUT_MS,
	    on_done, &f->results[1]);
	g_free(body);
	s = accept_connection(f);
	for (i = 0; i < WAIT_MS / STEP_MS && recv(s, &byte, 1, 0) != 1; i++)
		sn_run_loop(f->base, STEP_MS);
	assert_int_equal(0, f->results[1].calls);
	reset(f, s);
	assert_status(f, 1, HC_NO_ANSWER);
}

/* Guards against a task that runs and whose order is reported as not sent. */
static void
test_reset_after_request(void **state)
{
	struct fixture *f = *state;
	int s;

	call(f, 1, LONG_TIMEOUT_MS);
	s = accept_connection(f);
	read_request(f, s);
	reset(f, s);
	assert_status(f, 1, HC_NO_ANSWER);
}

static void
test_closed_without_answer(void **state)
{
	struct fixture *f = *state;
	int s;

	call(f, 1, LONG_TIMEOUT_MS);
	s = accept_connection(f);
	read_request(f, s);
	end_connection(f, s, false);
	assert_status(f, 1, HC_NO_ANSWER);
}

/* --- tests: answers that are cut --- */

static void
assert_cut_answer(struct fixture *f, const char *text, bool with_reset)
{
	int s;

	f->results[1].calls = 0;
	f->nsockets = 0;
	call(f, 1, LONG_TIMEOUT_MS);
	s = accept_connection(f);
	read_request(f, s);
	send_text(s, text);
	sn_run_loop(f->base, SETTLE_MS);
	end_connection(f, s, with_reset);
	assert_status(f, 1, HC_NO_ANSWER);
}

/* Guards against a part of an answer that is taken for the whole. */
static void
test_answer_cut(void **state)
{
	static const char *const answers[] = {"H", "HTTP/1.1 200",
	    "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Le",
	    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n",
	    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
	    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\none", CHUNKED,
	    CHUNKED "3\r\non", CHUNKED "3\r\none\r\n", CHUNKED "3\r\none\r\n0"};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		assert_cut_answer(f, answers[i], false);
		assert_cut_answer(f, answers[i], true);
	}
}

/* An answer without a length ends with its connection. */
static void
test_answer_without_length(void **state)
{
	struct fixture *f = *state;
	int s;

	call(f, 1, LONG_TIMEOUT_MS);
	s = accept_connection(f);
	read_request(f, s);
	send_text(s, "HTTP/1.1 200 OK\r\n\r\none");
	sn_run_loop(f->base, SETTLE_MS);
	assert_int_equal(0, f->results[1].calls);
	end_connection(f, s, false);
	assert_status(f, 1, STATUS_OK);
	assert_body(f, 1, "one");
}

/* Guards against a call that a server keeps open for any time with a byte now
 * and then. */
static void
test_answer_byte_by_byte(void **state)
{
	const char *text =
	    "HTTP/1.1 200 OK\r\nX: aaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
	gint64 began = g_get_monotonic_time();
	struct fixture *f = *state;
	int s;

	call(f, 1, TIMEOUT_MS / 5);
	s = accept_connection(f);
	read_request(f, s);
	for (; *text != '\0' && f->results[1].calls == 0; text++) {
		(void)send(s, text, 1, MSG_NOSIGNAL);
		sn_run_loop(f->base, TIMEOUT_MS / 15);
	}
	assert_int_equal(1, f->results[1].calls);
	assert_int_equal(HC_NO_ANSWER, f->results[1].status);
	assert_in_range((f->results[1].ended_us - began) / 1000, 0,
	    TIMEOUT_MS / 5 * HC_LIMIT_FACTOR + WAIT_MS);
	/* The connection is not used again. */
	call(f, 2, LONG_TIMEOUT_MS);
	s = accept_connection(f);
	assert_int_equal(2, read_request(f, s));
	send_text(s, ANSWER_TWO);
	assert_status(f, 2, STATUS_OK);
	assert_body(f, 2, "two");
}

/* --- tests: answers that are whole --- */

static void
answer_next(struct fixture *f, int s, unsigned number, const char *text)
{
	assert_int_equal(number, read_request(f, s));
	send_text(s, text);
}

static void
test_empty_body(void **state)
{
	struct fixture *f = *state;
	int s;

	call(f, 1, LONG_TIMEOUT_MS);
	s = accept_connection(f);
	answer_next(f, s, 1, ANSWER("0", ""));
	assert_status(f, 1, STATUS_OK);
	assert_body(f, 1, "");
	call(f, 2, LONG_TIMEOUT_MS);
	answer_next(f, s, 2, "HTTP/1.1 204 No Content\r\n\r\n");
	assert_status(f, 2, STATUS_NO_CONTENT);
	assert_body(f, 2, "");
}

static void
test_chunked_answer(void **state)
{
	struct fixture *f = *state;
	int s;

	call(f, 1, LONG_TIMEOUT_MS);
	s = accept_connection(f);
	answer_next(f, s, 1, CHUNKED "2\r\non\r\n1\r\ne\r\n0\r\n\r\n");
	assert_status(f, 1, STATUS_OK);
	assert_body(f, 1, "one");
}

/* Guards against an answer that is lost because "100 Continue" precedes it. */
static void
test_continue_before_answer(void **state)
{
	struct fixture *f = *state;
	int s;

	call(f, 1, LONG_TIMEOUT_MS);
	s = accept_connection(f);
	answer_next(f, s, 1, "HTTP/1.1 100 Continue\r\n\r\n");
	sn_run_loop(f->base, SETTLE_MS);
	assert_int_equal(0, f->results[1].calls);
	send_text(s, ANSWER_ONE);
	assert_status(f, 1, STATUS_OK);
	assert_body(f, 1, "one");
	call(f, 2, LONG_TIMEOUT_MS);
	answer_next(f, s, 2, "HTTP/1.1 100 Continue\r\n\r\n" ANSWER_TWO);
	assert_status(f, 2, STATUS_OK);
	assert_body(f, 2, "two");
}

static void
test_only_continue(void **state)
{
	struct fixture *f = *state;

	call(f, 1, TIMEOUT_MS);
	answer_next(
	    f, accept_connection(f), 1, "HTTP/1.1 100 Continue\r\n\r\n");
	assert_status(f, 1, HC_NO_ANSWER);
}

/* Guards against a status line that is no final answer and is reported as
 * "not sent", or as a final answer. */
static void
test_invalid_status(void **state)
{
	static const char *const lines[] = {
	    "-1", "0", "20", "103", "199", "600", "4294967295", "x"};
	struct fixture *f = *state;
	char text[128];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(lines); i++) {
		snprintf(text, sizeof(text),
		    "HTTP/1.1 %s x\r\nContent-Length: 0\r\n\r\n", lines[i]);
		f->results[1].calls = 0;
		f->nsockets = 0;
		call(f, 1, LONG_TIMEOUT_MS);
		answer_next(f, accept_connection(f), 1, text);
		assert_status(f, 1, HC_NO_ANSWER);
		end_connection(f, f->sockets[0], false);
		sn_run_loop(f->base, SETTLE_MS);
	}
}

/* --- tests: several calls --- */

/* Guards against the failure of a call whose connection the server has closed
 * while it was idle: the request is sent on a new one. */
static void
assert_idle_connection_closed(struct fixture *f, bool with_reset)
{
	int s;

	call(f, 1, LONG_TIMEOUT_MS);
	s = accept_connection(f);
	answer_next(f, s, 1, ANSWER_ONE);
	assert_status(f, 1, STATUS_OK);
	end_connection(f, s, with_reset);
	/* No event is handled in between. */
	call(f, 2, LONG_TIMEOUT_MS);
	s = accept_connection(f);
	answer_next(f, s, 2, ANSWER_TWO);
	assert_status(f, 2, STATUS_OK);
	assert_body(f, 2, "two");
}

static void
test_idle_connection_closed(void **state)
{
	assert_idle_connection_closed(*state, false);
}

static void
test_idle_connection_reset(void **state)
{
	assert_idle_connection_closed(*state, true);
}

/* Guards against the answer of a call that has timed out, or its failure, being
 * taken for that of the call that waits for the same connection. */
static void
test_call_queued_behind_timeout(void **state)
{
	struct fixture *f = *state;
	int first, second;

	call(f, 1, TIMEOUT_MS);
	call(f, 2, LONG_TIMEOUT_MS);
	first = accept_connection(f);
	assert_int_equal(1, read_request(f, first));
	assert_status(f, 1, HC_NO_ANSWER);
	(void)send(first, ANSWER_ONE, strlen(ANSWER_ONE), MSG_NOSIGNAL);
	second = accept_connection(f);
	answer_next(f, second, 2, ANSWER_TWO);
	assert_status(f, 2, STATUS_OK);
	assert_body(f, 2, "two");
	assert_int_equal(1, f->results[1].calls);
}

/* The same when the next call comes after the late answer. */
static void
test_answer_after_timeout(void **state)
{
	struct fixture *f = *state;
	int first, second;

	call(f, 1, TIMEOUT_MS);
	first = accept_connection(f);
	read_request(f, first);
	assert_status(f, 1, HC_NO_ANSWER);
	(void)send(first, ANSWER_ONE, strlen(ANSWER_ONE), MSG_NOSIGNAL);
	call(f, 2, LONG_TIMEOUT_MS);
	second = accept_connection(f);
	answer_next(f, second, 2, ANSWER_TWO);
	assert_status(f, 2, STATUS_OK);
	assert_body(f, 2, "two");
}

/* Guards against a second answer to one request that is taken for the answer of
 * the next call: in the same segment, and while the connection is idle. */
static void
test_two_answers(void **state)
{
	struct fixture *f = *state;
	int s;

	call(f, 1, LONG_TIMEOUT_MS);
	call(f, 2, LONG_TIMEOUT_MS);
	s = accept_connection(f);
	answer_next(f, s, 1, ANSWER_ONE ANSWER_ONE);
	assert_status(f, 1, STATUS_OK);
	assert_int_equal(0, f->results[2].calls);
	s = accept_connection(f);
	answer_next(f, s, 2, ANSWER_TWO);
	assert_status(f, 2, STATUS_OK);
	assert_body(f, 2, "two");
	send_text(s, ANSWER_TWO);
	/* No event is handled in between. */
	call(f, 3, LONG_TIMEOUT_MS);
	s = accept_connection(f);
	answer_next(f, s, 3, ANSWER("5", "three"));
	assert_status(f, 3, STATUS_OK);
	assert_body(f, 3, "three");
}

/* The same with an interim answer that is not followed up. */
static void
test_final_after_interim_answer(void **state)
{
	struct fixture *f = *state;
	int s;

	call(f, 1, LONG_TIMEOUT_MS);
	call(f, 2, LONG_TIMEOUT_MS);
	s = accept_connection(f);
	answer_next(f, s, 1, "HTTP/1.1 103 Early Hints\r\n\r\n" ANSWER_ONE);
	assert_status(f, 1, HC_NO_ANSWER);
	assert_int_equal(0, f->results[2].calls);
	s = accept_connection(f);
	answer_next(f, s, 2, ANSWER_TWO);
	assert_status(f, 2, STATUS_OK);
	assert_body(f, 2, "two");
}

/* Guards against the timeout of a call that applies to the one before it on the
 * same connection. */
static void
test_timeout_of_queued_call(void **state)
{
	struct fixture *f = *state;
	int s;

	call(f, 1, LONG_TIMEOUT_MS);
	call(f, 2, TIMEOUT_MS);
	s = accept_connection(f);
	assert_int_equal(1, read_request(f, s));
	sn_run_loop(f->base, 2 * TIMEOUT_MS);
	assert_int_equal(0, f->results[1].calls);
	send_text(s, ANSWER_ONE);
	assert_status(f, 1, STATUS_OK);
	answer_next(f, s, 2, ANSWER_TWO);
	assert_status(f, 2, STATUS_OK);
	assert_body(f, 2, "two");
}

/* The same with a longer timeout. */
static void
test_longer_timeout_of_queued_call(void **state)
{
	struct fixture *f = *state;

	call(f, 1, TIMEOUT_MS);
	call(f, 2, LONG_TIMEOUT_MS);
	assert_int_equal(1, read_request(f, accept_connection(f)));
	assert_status(f, 1, HC_NO_ANSWER);
}

/* Guards against a call that waits behind an unanswered one while another
 * connection is free. */
static void
test_unanswered_call_delays_no_other(void **state)
{
	struct fixture *f = *state;
	int first, second;

	call(f, 1, LONG_TIMEOUT_MS);
	call(f, 2, LONG_TIMEOUT_MS);
	call(f, 3, LONG_TIMEOUT_MS);
	first = accept_connection(f);
	assert_int_equal(1, read_request(f, first));
	second = accept_connection(f);
	answer_next(f, second, 2, ANSWER_TWO);
	assert_status(f, 2, STATUS_OK);
	answer_next(f, second, 3, ANSWER("5", "three"));
	assert_status(f, 3, STATUS_OK);
	assert_body(f, 3, "three");
	send_text(first, ANSWER_ONE);
	assert_status(f, 1, STATUS_OK);
	assert_body(f, 1, "one");
}

/* Guards against callbacks that come before hc_call() returns, or not at all,
 * when a callback makes the next call. */
static void
test_call_in_callback(void **state)
{
	struct fixture *f = *state;
	int s;

	f->results[1].next = 2;
	f->results[2].next = 3;
	call(f, 1, LONG_TIMEOUT_MS);
	s = accept_connection(f);
	answer_next(f, s, 1, ANSWER_ONE);
	answer_next(f, s, 2, ANSWER_TWO);
	assert_int_equal(3, read_request(f, s));
	reset(f, s);
	assert_status(f, 1, STATUS_OK);
	assert_status(f, 2, STATUS_OK);
	assert_status(f, 3, HC_NO_ANSWER);
	close(f->listener);
	f->results[1].calls = f->results[2].calls = f->results[3].calls = 0;
	call(f, 1, LONG_TIMEOUT_MS);
	assert_int_equal(0, f->results[1].calls);
	assert_status(f, 1, HC_REFUSED);
	assert_status(f, 2, HC_REFUSED);
	assert_status(f, 3, HC_REFUSED);
	listen_on(f, SOMAXCONN);
}

/* Guards against callbacks after hc_free(), for calls that are sent, and for
 * calls that wait. */
static void
test_free_with_calls(void **state)
{
	struct fixture *f = *state;

	call(f, 1, LONG_TIMEOUT_MS);
	call(f, 2, LONG_TIMEOUT_MS);
	read_request(f, accept_connection(f));
	call(f, 3, LONG_TIMEOUT_MS);
	hc_free(f->client);
	f->client = NULL;
	sn_run_loop(f->base, 2 * TIMEOUT_MS);
	assert_int_equal(0, f->results[1].calls);
	assert_int_equal(0, f->results[2].calls);
	assert_int_equal(0, f->results[3].calls);
}

#define CASE(test, before)                                                     \
	cmocka_unit_test_setup_teardown(test, before, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    CASE(test_connection_refused, set_up),
	    CASE(test_connect_times_out, set_up),
	    CASE(test_reset_before_request, set_up),
	    CASE(test_reset_during_request, set_up),
	    CASE(test_reset_after_request, set_up),
	    CASE(test_closed_without_answer, set_up),
	    CASE(test_answer_cut, set_up),
	    CASE(test_answer_without_length, set_up),
	    CASE(test_answer_byte_by_byte, set_up),
	    CASE(test_empty_body, set_up),
	    CASE(test_chunked_answer, set_up),
	    CASE(test_continue_before_answer, set_up),
	    CASE(test_only_continue, set_up),
	    CASE(test_invalid_status, set_up),
	    CASE(test_idle_connection_closed, set_up),
	    CASE(test_idle_connection_reset, set_up),
	    CASE(test_call_queued_behind_timeout, set_up),
	    CASE(test_answer_after_timeout, set_up),
	    CASE(test_two_answers, set_up),
	    CASE(test_final_after_interim_answer, set_up),
	    CASE(test_timeout_of_queued_call, set_up),
	    CASE(test_longer_timeout_of_queued_call, set_up),
	    CASE(test_unanswered_call_delays_no_other, set_up_two),
	    CASE(test_call_in_callback, set_up),
	    CASE(test_free_with_calls, set_up),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
