#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <event2/event.h>
#include <glib.h>

#include "clock.h"
#include "front.h"
#include "support_net.h"

/* HTTP interface for clients, with a dispatcher stub that completes each job
 * at once. */

#define START_MS 100000
#define DEADLINE_MS 1500
/* Time after which a client submits a job again whose connection broke. */
#define RESUBMIT_MS 1300
#define CHECK_MS 20
#define REQUEST                                                                \
	"POST /q/01 HTTP/1.1\r\nHost: h\r\nContent-Length: 61\r\n"             \
	"X-Pimentodock-Deadline-Ms: 1500\r\n\r\n"                              \
	"{\"spec\":\"s\",\"best_effort\":true,"                                \
	"\"steps\":[{\"count\":1,\"cpu\":1}]}"

struct fixture {
	struct event_base *base;
	struct ck *clock;
	struct fr *front;
	struct pd_queue queue;
	bool has_config;
	bool config_expected;
	bool holds_jobs;      /* the dispatcher does not answer */
	bool no_worker;       /* the dispatcher refuses jobs */
	unsigned deadline_ms; /* of the last job */
	unsigned closed;      /* jobs whose client has gone */
	enum fr_end end;      /* of the last of them */
	int client;
};

static bool
is_configured(void *arg)
{
	struct fixture *f = arg;

	return (f->has_config);
}

static bool
is_config_expected(void *arg)
{
	struct fixture *f = arg;

	return (f->config_expected);
}

static const struct pd_queue *
find_queue(void *arg, const char *host, const char *path)
{
	struct fixture *f = arg;

	(void)host;
	(void)path;
	return (f->has_config ? &f->queue : NULL);
}

static void
submit(void *arg, uint64_t waiter, const struct fr_job *job)
{
	struct jb_answer a = {.id = job->request.id, .status = JB_COMPLETED};
	struct fixture *f = arg;

	f->deadline_ms = job->request.deadline_ms;
	if (f->holds_jobs)
		return;
	if (f->no_worker) {
		a.status = JB_REFUSED;
		a.reason = JB_R_NO_WORKER;
	}
	fr_answer(f->front, waiter, &a);
}

static void
cancel(void *arg, uint64_t waiter, const char *id)
{
	(void)arg;
	(void)waiter;
	(void)id;
}

static void
client_gone(void *arg, uint64_t waiter, enum fr_end end)
{
	struct fixture *f = arg;

	(void)waiter;
	f->closed++;
	f->end = end;
}

static unsigned
count_waiting(void *arg, const char *queue)
{
	(void)arg;
	(void)queue;
	return (0);
}

static bool
is_ready(void *arg)
{
	struct fixture *f = arg;

	return (f->has_config && !f->no_worker);
}

static const struct fr_ops ops = {is_configured, is_config_expected, find_queue,
    submit, cancel, client_gone, count_waiting, is_ready};

static int
connect_to(const char *address)
{
	struct sockaddr_in a = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int s = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_port =
	    htons((uint16_t)strtoul(strchr(address, ':') + 1, NULL, 10));
	assert_int_equal(0, connect(s, (struct sockaddr *)&a, sizeof(a)));
	return (s);
}

static int
set_up(void **state)
{
	struct fixture *f = test_calloc(1, sizeof(*f));
	char clients[SN_ADDRESS_SIZE], probes[SN_ADDRESS_SIZE];

	sn_address(clients, sn_free_port());
	sn_address(probes, sn_free_port());
	f->base = event_base_new();
	f->clock = ck_new_manual(START_MS, START_MS);
	f->queue.prefix = (char *)(uintptr_t) "/q/";
	f->config_expected = true;
	f->front = fr_new(f->base, f->clock, clients, probes, &ops, f);
	assert_non_null(f->front);
	f->client = connect_to(clients);
	*state = f;
	return (0);
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;

	close(f->client);
	fr_free(f->front);
	event_base_loop(f->base, EVLOOP_NONBLOCK);
	event_base_free(f->base);
	ck_free(f->clock);
	test_free(f);
	return (0);
}

static void
run_loop(struct fixture *f)
{
	int i;

	for (i = 0; i < 20; i++) {
		usleep(1000);
		event_base_loop(f->base, EVLOOP_NONBLOCK);
	}
}

/* Return: status of the response, 0 when there is none yet. */
static int
read_status(struct fixture *f)
{
	char text[512] = "";
	int code = 0;

	run_loop(f);
	if (recv(f->client, text, sizeof(text) - 1, MSG_DONTWAIT) > 0)
		code = (int)strtol(strchr(text, ' '), NULL, 10);
	return (code);
}

static void
send_request(struct fixture *f)
{
	assert_int_equal(strlen(REQUEST),
	    send(f->client, REQUEST, strlen(REQUEST), MSG_NOSIGNAL));
}

/* Guards against refusing clients right after a start: the configuration
 * arrives some ms after their requests. This caused 80 to 110 answers with 503
 * on each day that ended with a loss of all power. */
static void
test_wait_for_configuration(void **state)
{
	struct fixture *f = *state;

	send_request(f);
	assert_int_equal(0, read_status(f));
	ck_advance_ms(f->clock, 100);
	f->has_config = true;
	fr_resume_waiting(f->front);
	assert_int_equal(200, read_status(f));
	/* The time spent waiting counts towards the deadline. */
	assert_int_equal(DEADLINE_MS - 100, f->deadline_ms);
}

/* Guards against a request that waits for ever when no configuration arrives.
 */
static void
test_no_configuration(void **state)
{
	struct fixture *f = *state;

	send_request(f);
	assert_int_equal(0, read_status(f));
	f->config_expected = false;
	fr_resume_waiting(f->front);
	assert_int_equal(503, read_status(f));
	send_request(f);
	assert_int_equal(503, read_status(f));
}

/* Guards against an answer to a client that has closed its connection while its
 * request waited. */
static void
test_client_gone(void **state)
{
	struct fixture *f = *state;

	send_request(f);
	assert_int_equal(0, read_status(f));
	close(f->client);
	run_loop(f);
	assert_int_equal(0, fr_pending(f->front));
	f->has_config = true;
	fr_resume_waiting(f->front);
	run_loop(f);
	assert_int_equal(0, f->deadline_ms);
	f->client = socket(AF_INET, SOCK_STREAM, 0);
}

/* Guards against a second run of a job beside that of its resubmission: an
 * entry that was stopped finds the request of a client that has given up, and
 * started its tasks before it noticed. */
static void
test_client_gone_before_read(void **state)
{
	struct fixture *f = *state;

	f->has_config = true;
	send_request(f);
	close(f->client);
	run_loop(f);
	assert_int_equal(0, f->deadline_ms);
	assert_int_equal(0, fr_pending(f->front));
	f->client = socket(AF_INET, SOCK_STREAM, 0);
}

static void
reset_client(struct fixture *f)
{
	static const struct linger discard = {.l_onoff = 1};

	setsockopt(f->client, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
	close(f->client);
	f->client = socket(AF_INET, SOCK_STREAM, 0);
}

/* Guards against a job that goes on after the connection of its client was
 * reset: with the loss of its entry or agent a second later, it ran beside the
 * job that the client had submitted again. */
static void
test_client_reset(void **state)
{
	struct fixture *f = *state;

	f->has_config = true;
	f->holds_jobs = true;
	send_request(f);
	assert_int_equal(0, read_status(f));
	assert_int_equal(1, fr_pending(f->front));
	reset_client(f);
	run_loop(f);
	assert_int_equal(1, f->closed);
	assert_int_equal(FR_END_RESET, f->end);
	assert_int_equal(0, fr_pending(f->front));
}

/* Guards against the same while the request waits for the configuration, or is
 * passed on again. */
static void
test_client_reset_while_waiting(void **state)
{
	struct fixture *f = *state;

	f->holds_jobs = true;
	send_request(f);
	assert_int_equal(0, read_status(f));
	fr_resume_waiting(f->front);
	assert_int_equal(1, fr_pending(f->front));
	reset_client(f);
	run_loop(f);
	assert_int_equal(0, fr_pending(f->front));
	f->has_config = true;
	fr_resume_waiting(f->front);
	run_loop(f);
	assert_int_equal(0, f->deadline_ms);
}

/* Guards against taking the job of a client whose connection was reset before
 * the request was read. */
static void
test_client_reset_before_read(void **state)
{
	struct fixture *f = *state;

	f->has_config = true;
	send_request(f);
	reset_client(f);
	run_loop(f);
	assert_int_equal(0, f->deadline_ms);
	assert_int_equal(0, fr_pending(f->front));
}

/* Lets the client's socket drop all that it receives, as in a partition: it
 * acknowledges nothing. */
static void
cut_off_client(struct fixture *f)
{
	struct sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
	struct sock_fprog program = {.len = 1, .filter = &drop};

	assert_int_equal(0,
	    setsockopt(f->client, SOL_SOCKET, SO_ATTACH_FILTER, &program,
		sizeof(program)));
}

/* Passes time on both clocks and checks the clients. */
static void
pass(struct fixture *f, unsigned ms)
{
	unsigned i;

	for (i = 0; i < ms; i += CHECK_MS) {
		usleep(CHECK_MS * 1000);
		ck_advance_ms(f->clock, CHECK_MS);
		event_base_loop(f->base, EVLOOP_NONBLOCK);
		fr_check_clients(f->front);
	}
}

/* Guards against a run of a job beside that of its resubmission, when its
 * client is cut off and the end of its connection does not arrive. */
static void
test_client_cut_off(void **state)
{
	struct fixture *f = *state;

	f->has_config = true;
	f->holds_jobs = true;
	send_request(f);
	run_loop(f);
	cut_off_client(f);
	pass(f, RESUBMIT_MS);
	assert_int_equal(1, f->closed);
	assert_int_equal(0, fr_pending(f->front));
}

/* Guards against giving up a job whose client waits silently. */
static void
test_client_waits(void **state)
{
	struct fixture *f = *state;

	f->has_config = true;
	f->holds_jobs = true;
	send_request(f);
	pass(f, 3000);
	assert_int_equal(0, f->closed);
	assert_int_equal(1, fr_pending(f->front));
}

/* Guards against taking a job that has waited unread for longer than it takes
 * its client, whose end has not arrived, to submit it elsewhere. */
static void
test_request_read_late(void **state)
{
	struct fixture *f = *state;

	f->has_config = true;
	send_request(f);
	cut_off_client(f);
	usleep(RESUBMIT_MS * 1000);
	run_loop(f);
	assert_int_equal(0, f->deadline_ms);
	assert_int_equal(0, fr_pending(f->front));
}

/* Guards against clients that stay with an entry that has no worker, since
 * their connections stay with it. */
static void
test_client_moved(void **state)
{
	struct fixture *f = *state;
	char text[512] = "";

	f->has_config = true;
	send_request(f);
	run_loop(f);
	assert_true(recv(f->client, text, sizeof(text) - 1, MSG_DONTWAIT) > 0);
	assert_null(strstr(text, "Connection: close"));
	f->no_worker = true;
	send_request(f);
	run_loop(f);
	memset(text, 0, sizeof(text));
	assert_true(recv(f->client, text, sizeof(text) - 1, MSG_DONTWAIT) > 0);
	assert_non_null(strstr(text, " 503 "));
	assert_non_null(strstr(text, "Connection: close"));
}

/* Sends a job with the given body on a connection of its own. Return: status of
 * the response. */
static int
post(struct fixture *f, const char *path, const char *body)
{
	char *request = g_strdup_printf(
	    "POST %s HTTP/1.1\r\nHost: h\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    path, strlen(body), body);
	size_t len = strlen(request), sent = 0;
	ssize_t n;

	while (sent < len) {
		n = send(f->client, request + sent, len - sent,
		    MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n > 0)
			sent += (size_t)n;
		run_loop(f);
	}
	g_free(request);
	return (read_status(f));
}

static char *
job_with_spec(char filler, size_t len)
{
	char *spec = g_strnfill(len, filler), *body;

	body = g_strdup_printf(
	    "{\"spec\":\"%s\",\"best_effort\":true,"
	    "\"steps\":[{\"count\":1,\"cpu\":1}]}",
	    spec);
	g_free(spec);
	return (body);
}

/* Guards against a malformed job that ends the process, is not answered, or is
 * taken although it cannot be sent to an agent: a text of more than 64 KiB was
 * dropped on its way, and the job was held to its deadline. A label that is no
 * text, or an order that is no list, was taken for none, so that the job ran on
 * any worker, or at once. */
static void
test_malformed(void **state)
{
	static const char *const bodies[] = {"", "{", "[]", "null", "7",
	    "{\"steps\":7}", "{\"steps\":[]}", "{\"steps\":[7]}",
	    "{\"steps\":[{\"count\":-1}]}",
	    "{\"steps\":[{\"count\":99999999999999999999}]}",
	    "{\"steps\":[{\"count\":541,\"cpu\":1}]}",
	    "{\"steps\":[{\"count\":540,\"cpu\":1},{\"count\":1}]}",
	    "{\"steps\":[{\"count\":1,\"after\":[0]}]}",
	    "{\"steps\":[{\"count\":1,\"after\":[-1]}]}",
	    "{\"steps\":[{\"count\":\"1\"}]}", "\xff\xfe{}",
	    "{\"steps\":[{\"count\":1,\"required_label\":7}]}",
	    "{\"steps\":[{\"count\":1},{\"count\":1,\"after\":0}]}",
	    "{\"steps\":[{\"count\":1,\"required_label\":[\"a\"]}]}"};
	static const char most_tasks[] =
	    "{\"spec\":\"s\",\"best_effort\":true,\"steps\":["
	    "{\"count\":500,\"cpu\":1},{\"count\":40,\"cpu\":1}]}";
	char *large = job_with_spec('x', PD_BODY_MAX + 1);
	char *fits = job_with_spec('x', PD_BODY_MAX);
	char *nested = g_strnfill(100000, '[');
	struct fixture *f = *state;
	size_t i;

	f->has_config = true;
	for (i = 0; i < G_N_ELEMENTS(bodies); i++)
		assert_int_equal(400, post(f, "/q/01", bodies[i]));
	assert_int_equal(400, post(f, "/q/01", nested));
	assert_int_equal(400, post(f, "/q/01", large));
	assert_int_equal(0, f->deadline_ms);
	assert_int_equal(200, post(f, "/q/01", fits));
	assert_int_equal(200, post(f, "/q/01", most_tasks));
	send_request(f);
	assert_int_equal(200, read_status(f));
	g_free(large);
	g_free(fits);
	g_free(nested);
}

/* Guards against a job whose id cannot be sent to an endpoint: each agent gave
 * it back, and the entry granted it again and again until its deadline. */
static void
test_id_not_utf8(void **state)
{
	static const char *const paths[] = {
	    "/q/\xff\xfe", "/q/0123456789abcde\xe4", "/q/\x01"};
	char *job = job_with_spec('x', 1);
	struct fixture *f = *state;
	size_t i;

	f->has_config = true;
	for (i = 0; i < G_N_ELEMENTS(paths); i++)
		assert_int_equal(400, post(f, paths[i], job));
	assert_int_equal(0, f->deadline_ms);
	assert_int_equal(200, post(f, "/q/0123456789abcdef", job));
	g_free(job);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    T(test_wait_for_configuration),
	    T(test_no_configuration),
	    T(test_client_gone),
	    T(test_client_gone_before_read),
	    T(test_client_reset),
	    T(test_client_reset_while_waiting),
	    T(test_client_reset_before_read),
	    T(test_client_cut_off),
	    T(test_client_waits),
	    T(test_request_read_late),
	    T(test_client_moved),
	    T(test_malformed),
	    T(test_id_not_utf8),
	};

	/* Responses to connections that were reset. */
	signal(SIGPIPE, SIG_IGN);
	return (cmocka_run_group_tests(tests, NULL, NULL));
}
