#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "harness_fleet.h"
#include "pd.h"

/*
 * Clients that respect no limit of the interface, against the real programs.
 * The tests check memory, descriptors and that ordinary work is done
 * afterwards; they check no times, since the machine may be busy.
 */

/* An entry's host has 120 MB. The rest is for the kernel's buffers and for what
 * else runs there. */
#define MEMORY_MAX_KB (80 * 1024)
/* Descriptors that the processes may open, and those of these that must stay
 * free for files. */
#define DESCRIPTORS 1024
#define DESCRIPTORS_FOR_FILES 200
#define CROWD 40
#define FLOOD_BYTES_MAX (300ULL * 1024 * 1024)
#define FLOOD_MS 4000
#define SEND_BYTES 65536
#define RECONNECTS_MAX 400
#define LARGE_BODIES 600
#define LARGE_BODY_BYTES 260000
#define IDLE_CLIENTS 1200
#define WIDE_JOBS 80
#define WIDE_STEPS 64
#define WIDE_STEP_TASKS 540
#define ANSWER_MS 30000

struct flood {
	struct hf_test *test;
	GArray *sockets;
};

static void
set_descriptor_limit(rlim_t n)
{
	struct rlimit limit;

	assert_int_equal(0, getrlimit(RLIMIT_NOFILE, &limit));
	limit.rlim_cur = MIN(n, limit.rlim_max);
	assert_int_equal(0, setrlimit(RLIMIT_NOFILE, &limit));
}

static int
set_up(void **state)
{
	struct flood *f = g_new0(struct flood, 1);

	/* The processes inherit the limit. */
	set_descriptor_limit(DESCRIPTORS);
	hf_test_set_up((void **)&f->test, 1, 1);
	set_descriptor_limit(RLIM_INFINITY);
	f->sockets = g_array_new(FALSE, FALSE, sizeof(int));
	*state = f;
	return (0);
}

static void
close_sockets(struct flood *f)
{
	guint i;

	for (i = 0; i < f->sockets->len; i++)
		if (g_array_index(f->sockets, int, i) >= 0)
			close(g_array_index(f->sockets, int, i));
	g_array_set_size(f->sockets, 0);
}

static int
tear_down(void **state)
{
	struct flood *f = *state;

	close_sockets(f);
	g_array_free(f->sockets, TRUE);
	hf_test_tear_down((void **)&f->test);
	g_free(f);
	return (0);
}

/* Return: non-blocking socket, -1 if the connection is refused. */
static int
open_socket(unsigned port)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	    .sin_port = htons((uint16_t)port)};
	int s = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	assert_true(s >= 0);
	if (connect(s, (struct sockaddr *)&to, sizeof(to)) == 0 ||
	    errno == EINPROGRESS)
		return (s);
	close(s);
	return (-1);
}

static void
connect_crowd(struct flood *f, unsigned port, unsigned n)
{
	unsigned i;
	int s;

	for (i = 0; i < n; i++) {
		s = open_socket(port);
		if (s >= 0)
			g_array_append_val(f->sockets, s);
		/* Stay below the backlog of the listener. */
		if (i % 32 == 31)
			hn_sleep_ms(5);
	}
}

/* Sends the repeated pattern on all sockets and reads nothing, until so many
 * bytes are sent on each or in all, or the time is over. A connection that is
 * closed is opened again. */
static void
send_flood(struct flood *f, unsigned port, const char *pattern, size_t len,
    size_t each_max)
{
	GString *repeated = g_string_new(NULL);
	uint64_t end = hn_mono_ms() + FLOOD_MS;
	unsigned long long sent = 0;
	unsigned reconnects = 0;
	size_t *each = g_new0(size_t, f->sockets->len);
	struct pollfd *polled = g_new0(struct pollfd, f->sockets->len);
	size_t offset;
	ssize_t n;
	guint i;

	while (repeated->len < SEND_BYTES + len)
		g_string_append_len(repeated, pattern, (gssize)len);
	while (sent < FLOOD_BYTES_MAX && hn_mono_ms() < end) {
		for (i = 0; i < f->sockets->len; i++) {
			polled[i].fd = each[i] < each_max
			    ? g_array_index(f->sockets, int, i)
			    : -1;
			polled[i].events = POLLOUT;
		}
		poll(polled, f->sockets->len, 100);
		for (i = 0; i < f->sockets->len; i++) {
			int *s = &g_array_index(f->sockets, int, i);

			if (polled[i].fd < 0 || polled[i].revents == 0)
				continue;
			offset = each[i] % MAX(len, 1);
			n = send(*s, repeated->str + offset,
			    MIN(SEND_BYTES, each_max - each[i]), MSG_NOSIGNAL);
			if (n > 0) {
				sent += (size_t)n;
				each[i] += (size_t)n;
			} else if (n < 0 && errno != EAGAIN) {
				close(*s);
				*s = reconnects++ < RECONNECTS_MAX
				    ? open_socket(port)
				    : -1;
				each[i] = 0;
			}
		}
	}
	print_message("%llu kB sent, %u connections opened again\n",
	    sent / 1024, reconnects);
	g_string_free(repeated, TRUE);
	g_free(polled);
	g_free(each);
}

static unsigned
count_descriptors(const struct hn_proc *p)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/fd", hn_pid(p));
	GDir *dir = g_dir_open(path, 0, NULL);
	unsigned n = 0;

	assert_non_null(dir);
	while (g_dir_read_name(dir) != NULL)
		n++;
	g_dir_close(dir);
	return (n);
}

static void
check_process(struct hn_proc *p, const char *name)
{
	unsigned kb, descriptors;

	/* 1 ms: a process that lives has not ended by then. */
	assert_int_equal(-1, hn_wait(p, 1));
	kb = hn_peak_memory_kb(p);
	descriptors = count_descriptors(p);
	print_message(
	    "%s: peak memory %u kB, %u descriptors\n", name, kb, descriptors);
	if (kb > MEMORY_MAX_KB ||
	    descriptors > DESCRIPTORS - DESCRIPTORS_FOR_FILES)
		fail_msg("%s exceeds %d kB or %d descriptors", name,
		    MEMORY_MAX_KB, DESCRIPTORS - DESCRIPTORS_FOR_FILES);
}

static bool
job_completes(void *arg)
{
	static unsigned number;
	struct flood *f = arg;
	json_t *answer = NULL;
	char id[17];
	bool done;

	snprintf(id, sizeof(id), "%016x", 0xf0000 + ++number);
	done = hf_submit(f->test->fleet, 0, id, "run_ms=5 cpu=1", 2, 5,
		   &answer) == 200 &&
	    strcmp(hn_json_text(answer, "state"), "completed") == 0;
	json_decref(answer);
	return (done);
}

/* Checks the processes while the crowd is still connected, and that an ordinary
 * job is completed. */
static void
check_fleet(struct flood *f)
{
	check_process(hf_entry(f->test->fleet, 0), "entry");
	check_process(hf_agent(f->test->fleet, 0), "agent");
	assert_true(hn_wait_until(job_completes, f, ANSWER_MS));
	assert_true(hf_is_ready(f->test->fleet, 0));
	check_process(hf_entry(f->test->fleet, 0), "entry");
	check_process(hf_agent(f->test->fleet, 0), "agent");
}

static void
flood_requests(struct flood *f, unsigned port, const char *request)
{
	connect_crowd(f, port, CROWD);
	send_flood(f, port, request, strlen(request), SIZE_MAX);
	check_fleet(f);
}

/* Guards against memory that grows with requests that are pipelined without
 * headers while the responses are not read. */
static void
test_headers(void **state)
{
	struct flood *f = *state;

	flood_requests(
	    f, hf_clients_port(f->test->fleet, 0), "GET /q/ HTTP/1.1\r\n\r\n");
}

/* The same on the path of the readiness probe. */
static void
test_probes(void **state)
{
	struct flood *f = *state;

	flood_requests(f, hf_port(f->test->fleet, HF_PROBES, 0),
	    "GET /v1/readiness HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n");
}

/* The same for paths that no queue has. */
static void
test_paths(void **state)
{
	struct flood *f = *state;

	flood_requests(f, hf_clients_port(f->test->fleet, 0),
	    "GET /nowhere/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n");
}

/* The same at the port for heartbeats of the endpoint. */
static void
test_heartbeats(void **state)
{
	struct flood *f = *state;

	flood_requests(f, hf_heartbeats_port(f->test->fleet, 0),
	    "PUT /v1/instances/x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
	    "Content-Length: 2\r\n\r\n{}");
}

/* The same at the metrics of both programs. */
static void
test_metrics(void **state)
{
	static const char request[] =
	    "GET /metrics HTTP/1.1\r\n"
	    "Host: 127.0.0.1\r\n\r\n";
	struct flood *f = *state;

	flood_requests(f, hf_port(f->test->fleet, HF_METRICS, 0), request);
	close_sockets(f);
	flood_requests(
	    f, hf_port(f->test->fleet, HF_AGENT_METRICS, 0), request);
}

/* Guards against memory that grows with the number of unfinished bodies, each
 * of which is within the limits. */
static void
test_bodies(void **state)
{
	struct flood *f = *state;
	unsigned port = hf_clients_port(f->test->fleet, 0);
	GString *request = g_string_new(
	    "POST /q/00000000000000a1 HTTP/1.1\r\n"
	    "Host: 127.0.0.1\r\n");

	g_string_append_printf(
	    request, "Content-Length: %u\r\n\r\n", LARGE_BODY_BYTES + 1);
	while (request->len < LARGE_BODY_BYTES)
		g_string_append_c(request, ' ');
	connect_crowd(f, port, LARGE_BODIES);
	send_flood(f, port, request->str, request->len, request->len);
	check_fleet(f);
	g_string_free(request, TRUE);
}

/* Guards against memory that grows with calls whose replies are not read, and
 * with unfinished messages, at the port for agents and other entries. */
static void
test_rpc(void **state)
{
	enum {
		UNKNOWN_PROCEDURE = 9999,
		UNFINISHED_BYTES = 40 * 1024 * 1024
	};
	const uint32_t call[] = {htonl(0x80000000U | 40), 1, 0, htonl(2),
	    htonl(PD_PROG), htonl(PD_V1), htonl(UNKNOWN_PROCEDURE), 0, 0, 0, 0};
	struct flood *f = *state;
	unsigned port = hf_port(f->test->fleet, HF_RPC, 0);
	GString *unfinished = g_string_new(NULL);
	uint32_t mark = htonl(0x80000000U | UNFINISHED_BYTES);

	connect_crowd(f, port, CROWD);
	send_flood(f, port, (const char *)call, sizeof(call), SIZE_MAX);
	check_fleet(f);
	close_sockets(f);

	g_string_append_len(unfinished, (const char *)&mark, sizeof(mark));
	g_string_set_size(unfinished, UNFINISHED_BYTES / 4);
	memset(
	    unfinished->str + sizeof(mark), 0, unfinished->len - sizeof(mark));
	connect_crowd(f, port, CROWD);
	send_flood(f, port, unfinished->str, unfinished->len, unfinished->len);
	check_fleet(f);
	g_string_free(unfinished, TRUE);
}

/* Guards against connections that take all descriptors and send nothing. */
static void
test_idle(void **state)
{
	struct flood *f = *state;

	connect_crowd(f, hf_clients_port(f->test->fleet, 0), IDLE_CLIENTS);
	hn_sleep_ms(300);
	check_fleet(f);
	close_sockets(f);
	connect_crowd(f, hf_heartbeats_port(f->test->fleet, 0), IDLE_CLIENTS);
	hn_sleep_ms(300);
	check_fleet(f);
}

/* Request for a job of which one task runs for a second, and all others wait
 * for it. */
static char *
wide_job(unsigned number)
{
	GString *body = g_string_new(
	    "{\"spec\":\"run_ms=1000 cpu=1\","
	    "\"best_effort\":true,\"steps\":["
	    "{\"count\":1,\"cpu\":1,\"mem_mb\":1,"
	    "\"estimate_ms\":1000}");
	char *request;
	unsigned i;

	for (i = 1; i < WIDE_STEPS; i++)
		g_string_append_printf(body,
		    ",{\"count\":%u,\"cpu\":1,\"mem_mb\":1,"
		    "\"estimate_ms\":1,\"after\":[0]}",
		    WIDE_STEP_TASKS);
	g_string_append(body, "]}");
	request = g_strdup_printf(
	    "POST /q/%016x HTTP/1.1\r\n"
	    "Host: 127.0.0.1\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    0xa0000 + number, body->len, body->str);
	g_string_free(body, TRUE);
	return (request);
}

/* Guards against jobs whose number of tasks is bounded for each step only. */
static void
test_tasks(void **state)
{
	struct flood *f = *state;
	unsigned i;
	int s;

	hf_set_times(f->test->fleet, 2, 10000, 10000);
	hn_sleep_ms(2000);
	for (i = 0; i < WIDE_JOBS; i++) {
		g_autofree char *request = wide_job(i);

		s = open_socket(hf_clients_port(f->test->fleet, 0));
		assert_true(s >= 0);
		g_array_append_val(f->sockets, s);
		hn_sleep_ms(5);
		(void)!send(s, request, strlen(request), MSG_NOSIGNAL);
	}
	hn_sleep_ms(700);
	close_sockets(f);
	hf_set_times(f->test->fleet, 3, 1500, 60);
	check_fleet(f);
}

static int
run_with_limits(struct hn *h, const char *limits, bool agent)
{
	g_autofree char *path = hn_path(h, "limits.toml");
	g_autofree char *text =
	    g_strconcat("name = \"n\"\navailability_zone = \"z\"\n",
		agent ? "[endpoint]\nheartbeats = \"127.0.0.1:1\"\n"
			"orders = \"127.0.0.1:1\"\n"
		      : "[listen]\nclients = \"127.0.0.1:1\"\n"
			"probes = \"127.0.0.1:1\"\nrpc = \"127.0.0.1:1\"\n"
			"[platform]\nstore = \"127.0.0.1:1\"\n",
		"[limits]\n", limits, "\n", NULL);

	hn_write(h, "limits.toml", text);
	return (agent ? hn_run(h,
			    (const char *const[]){"agent/pimentodock-agent",
				"--execute", "--settings", path, NULL},
			    NULL, 5000)
		      : hn_run(h,
			    (const char *const[]){"entry/pimentodock",
				"dispatch", "--settings", path, NULL},
			    NULL, 5000));
}

/* Guards against a program that starts with limits under which it cannot
 * serve instead of ending with exit code 2. */
static void
test_limits(void **state)
{
	struct flood *f = *state;
	struct hn *h = f->test->hn;
	int agent;

	for (agent = 0; agent < 2; agent++) {
		assert_int_equal(2, run_with_limits(h, "memory_mb = 4", agent));
		assert_int_equal(
		    2, run_with_limits(h, "descriptors = 300", agent));
		assert_int_equal(
		    2, run_with_limits(h, "connections = 5", agent));
	}
}

int
main(int argc, char **argv)
{
#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    T(test_headers),
	    T(test_probes),
	    T(test_paths),
	    T(test_bodies),
	    T(test_idle),
	    T(test_heartbeats),
	    T(test_metrics),
	    T(test_rpc),
	    T(test_tasks),
	    T(test_limits),
	};
	g_autofree char *pattern =
	    argc > 1 ? g_strconcat("test_", argv[1], NULL) : NULL;

	if (pattern != NULL)
		cmocka_set_test_filter(pattern);
	return (cmocka_run_group_tests(tests, NULL, NULL));
}
