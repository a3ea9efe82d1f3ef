#include <netinet/in.h>
#include <netinet/tcp.h>
#include <linux/filter.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <event2/event.h>
#include <glib.h>

#include "hangup.h"

/* Watches of connections that are not read, over loopback. */

#define PAIRS 2
/* Longer than the end of a connection on loopback takes to arrive. */
#define SETTLE_MS 20
/* TCP gives up a connection at its first retransmission after this time. */
#define TCP_TIMEOUT_MS 100
#define TCP_GIVEN_UP_MS 1500

struct pair {
	struct fixture *f;
	int client;
	int server; /* watched */
	pl_handle watch;
	unsigned ends;
	bool by_error;
	struct pair *removes; /* its watch is removed at the end of this one */
};

struct fixture {
	struct event_base *base;
	struct hu *hangups;
	struct pair pairs[PAIRS];
};

static void
on_ended(void *arg, bool by_error)
{
	struct pair *p = arg;

	p->ends++;
	p->by_error = by_error;
	if (p->removes != NULL)
		hu_remove(p->f->hangups, p->removes->watch);
}

static void
connect_pair(struct fixture *f, struct pair *p)
{
	struct sockaddr_in a = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	socklen_t len = sizeof(a);

	assert_int_equal(0, bind(listener, (struct sockaddr *)&a, len));
	assert_int_equal(0, listen(listener, 1));
	assert_int_equal(0, getsockname(listener, (struct sockaddr *)&a, &len));
	p->f = f;
	p->client = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(0, connect(p->client, (struct sockaddr *)&a, len));
	p->server = accept(listener, NULL, NULL);
	assert_true(p->server >= 0);
	close(listener);
	p->watch = hu_add(f->hangups, p->server, on_ended, p);
	assert_true(p->watch != PL_NONE);
}

static int
set_up(void **state)
{
	struct fixture *f = test_calloc(1, sizeof(*f));
	unsigned i;

	f->base = event_base_new();
	f->hangups = hu_new(f->base);
	assert_non_null(f->hangups);
	for (i = 0; i < PAIRS; i++)
		connect_pair(f, &f->pairs[i]);
	*state = f;
	return (0);
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;
	unsigned i;

	for (i = 0; i < PAIRS; i++) {
		hu_remove(f->hangups, f->pairs[i].watch);
		close(f->pairs[i].server);
		close(f->pairs[i].client);
	}
	hu_free(f->hangups);
	event_base_free(f->base);
	test_free(f);
	return (0);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	bool *over = arg;

	(void)fd;
	(void)what;
	*over = true;
}

/* Runs the event loop for a time. Return: how often it woke up. */
static unsigned
run_loop(struct fixture *f, unsigned ms)
{
	struct timeval tv = {ms / 1000, (long)(ms % 1000) * 1000};
	bool over = false;
	unsigned passes = 0;

	event_base_once(f->base, -1, EV_TIMEOUT, on_timer, &over, &tv);
	while (!over) {
		event_base_loop(f->base, EVLOOP_ONCE);
		passes++;
	}
	return (passes);
}

static void
send_unread_bytes(struct pair *p)
{
	assert_int_equal(4, send(p->client, "more", 4, MSG_NOSIGNAL));
}

static void
close_client(struct pair *p)
{
	close(p->client);
	p->client = -1;
}

static void
reset_client(struct pair *p)
{
	static const struct linger discard = {.l_onoff = 1};

	setsockopt(p->client, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
	close_client(p);
}

static void
half_close_client(struct pair *p)
{
	shutdown(p->client, SHUT_WR);
}

static void
shut_down_server(struct pair *p)
{
	shutdown(p->server, SHUT_RDWR);
}

static void
close_after_bytes(struct pair *p)
{
	send_unread_bytes(p);
	close_client(p);
}

static void
reset_after_bytes(struct pair *p)
{
	send_unread_bytes(p);
	reset_client(p);
}

/* Guards against an end that is not noticed while a connection is not read, as
 * a reset was not, and against an event loop that wakes up for it again and
 * again. */
static void
test_each_end_is_reported_once(void **state)
{
	static const struct {
		void (*end)(struct pair *p);
		bool by_error;
	} cases[] = {
	    {close_client, false},
	    {close_after_bytes, false},
	    {half_close_client, false},
	    {shut_down_server, false},
	    {reset_client, true},
	    {reset_after_bytes, true},
	};
	struct fixture *f = *state;
	struct pair *p = &f->pairs[0];
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cases[i].end(p);
		run_loop(f, SETTLE_MS);
		assert_int_equal(1, p->ends);
		assert_int_equal(cases[i].by_error, p->by_error);
		assert_int_equal(1, run_loop(f, SETTLE_MS));
		assert_int_equal(1, p->ends);
		hu_remove(f->hangups, p->watch);
		close(p->server);
		close(p->client);
		*p = (struct pair){0};
		connect_pair(f, p);
	}
	assert_int_equal(0, f->pairs[1].ends);
}

/* Guards against a connection that TCP gives up without a packet from the other
 * end. */
static void
test_time_out_of_tcp(void **state)
{
	static const unsigned timeout_ms = TCP_TIMEOUT_MS;
	struct sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
	struct sock_fprog program = {.len = 1, .filter = &drop};
	struct fixture *f = *state;
	struct pair *p = &f->pairs[0];

	assert_int_equal(0,
	    setsockopt(p->server, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		sizeof(timeout_ms)));
	assert_int_equal(0,
	    setsockopt(p->client, SOL_SOCKET, SO_ATTACH_FILTER, &program,
		sizeof(program)));
	assert_int_equal(4, send(p->server, "lost", 4, MSG_NOSIGNAL));
	run_loop(f, TCP_GIVEN_UP_MS);
	assert_int_equal(1, p->ends);
	assert_true(p->by_error);
}

/* Guards against taking bytes of an open connection for its end, and against an
 * event loop that wakes up as long as they are not read. */
static void
test_unread_bytes(void **state)
{
	struct fixture *f = *state;

	send_unread_bytes(&f->pairs[0]);
	assert_int_equal(1, run_loop(f, SETTLE_MS));
	assert_int_equal(0, f->pairs[0].ends);
}

/* Guards against a call for a watch that the callback of another one, which
 * ended at the same time, has removed. */
static void
test_removed_by_other_end(void **state)
{
	struct fixture *f = *state;

	f->pairs[0].removes = &f->pairs[1];
	f->pairs[1].removes = &f->pairs[0];
	reset_client(&f->pairs[0]);
	reset_client(&f->pairs[1]);
	run_loop(f, SETTLE_MS);
	assert_int_equal(1, f->pairs[0].ends + f->pairs[1].ends);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    T(test_each_end_is_reported_once),
	    T(test_time_out_of_tcp),
	    T(test_unread_bytes),
	    T(test_removed_by_other_end),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
