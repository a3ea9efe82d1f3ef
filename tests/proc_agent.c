#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <ulfius.h>
#include <unistd.h>

#include "harness_stub.h"

/* Rounds of closing a port while a task is sent. */
#define CLOSE_ROUNDS 40

static void
assert_header(const char *request, const char *name, const char *value)
{
	char *found = su_header(request, name);

	assert_string_equal(value, found);
	g_free(found);
}

/* Guards against a task whose identity, body or result is lost in transit. */
static void
test_run_tasks(void **state)
{
	struct su *s = *state;
	unsigned i;

	su_grant(s, "job 1", 7, 12, 5000, "text");
	SU_WAIT(s, s->nrecords == 12);
	for (i = 0; i < 12; i++) {
		assert_string_equal("job 1", s->records[i].id);
		assert_int_equal(PD_DONE, s->records[i].state);
		assert_int_equal(4, s->records[i].body_len);
		assert_memory_equal("text", s->records[i].body, 4);
	}
	su_grant(s, "job\n2", 3, 1, 5000, "");
	SU_WAIT(s, s->nrecords == 13);
	assert_int_equal(PD_DONE, s->records[12].state);
	assert_int_equal(0, s->records[12].body_len);
	g_mutex_lock(&s->lock);
	assert_true(g_str_has_prefix(s->last_request, "POST /task HTTP"));
	assert_header(s->last_request, "X-Pd-Submission", "job%0A2");
	assert_header(s->last_request, "X-Pd-Task", "3");
	assert_header(s->last_request, "X-Pd-Attempt", "0");
	assert_header(s->last_request, "Content-Length", "0");
	g_mutex_unlock(&s->lock);
	assert_int_equal(13, g_atomic_int_get(&s->endpoint_calls));
}

/* Guards against a wrong report of whether a task ran. */
static void
test_task_outcomes(void **state)
{
	static const struct {
		const char *id;
		unsigned timeout_ms;
		enum pd_task_state state;
		enum pd_reason reason;
	} cases[] = {
	    {"ok", 5000, PD_DONE, PD_R_NONE},
	    {"reject", 5000, PD_FAILED, PD_R_ENDPOINT_ERROR},
	    {"large", 5000, PD_FAILED, PD_R_ENDPOINT_ERROR},
	    {"fail", 5000, PD_FAILED, PD_R_ENDPOINT_ERROR},
	    {"broken", 5000, PD_OUTCOME_UNKNOWN, PD_R_ENDPOINT_ERROR},
	    {"ok-again", 5000, PD_DONE, PD_R_NONE},
	    {"slow-1500", 900, PD_OUTCOME_UNKNOWN, PD_R_ENDPOINT_TIMEOUT},
	};
	struct su *s = *state;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		su_grant(s, cases[i].id, 0, 1, cases[i].timeout_ms, "x");
		SU_WAIT(s, s->nrecords == i + 1);
		if (s->records[i].state != cases[i].state ||
		    s->records[i].reason != cases[i].reason)
			fail_msg("%s: state %u, reason %u", cases[i].id,
			    (unsigned)s->records[i].state,
			    (unsigned)s->records[i].reason);
	}
	/* A port without a listener refuses connections. */
	shutdown(s->endpoint_fd, SHUT_RDWR);
	su_grant(s, "refused", 0, 1, 5000, "x");
	SU_WAIT(s, s->nrecords == i + 1);
	assert_int_equal(PD_NOT_STARTED, s->records[i].state);
	assert_int_equal(PD_R_ENDPOINT_REFUSED, s->records[i].reason);
	assert_int_equal(
	    G_N_ELEMENTS(cases), g_atomic_int_get(&s->endpoint_calls));
}

/* Guards against a task that is sent twice, or reported as not started, after a
 * response that tempts an HTTP client to send the request again. */
static void
test_no_second_request(void **state)
{
	static const struct {
		const char *id;
		enum pd_task_state state;
	} cases[] = {
	    {"reset", PD_OUTCOME_UNKNOWN},
	    {"ok-1", PD_DONE},
	    {"partial", PD_OUTCOME_UNKNOWN},
	    {"ok-2", PD_DONE},
	    {"redirect", PD_FAILED},
	    {"ok-3", PD_DONE},
	    {"busy", PD_FAILED},
	    {"ok-4", PD_DONE},
	    {"continue", PD_OUTCOME_UNKNOWN},
	};
	struct su *s = *state;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		su_grant(s, cases[i].id, 0, 1, 5000, "x");
		SU_WAIT(s, s->nrecords == i + 1);
		if (s->records[i].state != cases[i].state)
			fail_msg("%s: state %u", cases[i].id,
			    (unsigned)s->records[i].state);
		assert_int_equal(i + 1, g_atomic_int_get(&s->endpoint_calls));
	}
}

/* A listener at the port of the endpoint, in place of the stub's. */
static int
listen_again(const struct su *s)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	int fd, on = 1;

	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons((uint16_t)s->endpoint_port);
	assert_int_equal(0, bind(fd, (struct sockaddr *)&sin, sizeof(sin)));
	assert_int_equal(0, listen(fd, 64));
	return (fd);
}

/* Guards against "not started" when the endpoint takes the connection that is
 * tried beforehand and closes its port before or while the task is sent: the
 * kernel refuses or resets the second connection. */
static void
test_endpoint_closes_before_task(void **state)
{
	struct su *s = *state;
	unsigned i;
	int fd, checked;

	shutdown(s->endpoint_fd, SHUT_RDWR);
	close(s->endpoint_fd);
	for (i = 0; i < CLOSE_ROUNDS; i++) {
		fd = listen_again(s);
		su_grant(s, "job", i, 1, 5000, "x");
		SU_WAIT(s, (checked = accept(fd, NULL, NULL)) >= 0);
		close(checked);
		close(fd);
		SU_WAIT(s, s->nrecords == i + 1);
		assert_int_equal(PD_OUTCOME_UNKNOWN, s->records[i].state);
	}
	s->endpoint_fd = listen_again(s);
}

/* Guards against starts without a permit. */
static void
test_start_needs_permit(void **state)
{
	struct su *s = *state;

	s->allow_starts = false;
	su_run_for(s, 2200);
	su_grant(s, "job", 0, 1, 5000, "x");
	su_run_for(s, 700);
	assert_int_equal(0, g_atomic_int_get(&s->endpoint_calls));
	s->allow_starts = true;
	SU_WAIT(s, s->nrecords == 1);
	assert_int_equal(PD_DONE, s->records[0].state);
}

/* Guards against starting a task after the agent process was paused, because of
 * a grant that arrived during the pause and a permit from before it. */
static void
test_agent_pause(void **state)
{
	struct su *s = *state;

	kill(s->pid, SIGSTOP);
	su_grant(s, "job", 0, 1, 20000, "x");
	su_run_for(s, 1700);
	s->allow_starts = false;
	kill(s->pid, SIGCONT);
	su_run_for(s, 700);
	assert_int_equal(0, g_atomic_int_get(&s->endpoint_calls));
	s->allow_starts = true;
	SU_WAIT(s, s->nrecords == 1);
	assert_int_equal(PD_DONE, s->records[0].state);
}

/* Guards against a report message for each task. */
static void
test_report_batching(void **state)
{
	struct su *s = *state;

	su_grant(s, "job", 0, 400, 5000, "x");
	SU_WAIT(s, s->nrecords == 400);
	/* 12 fit into slots and queue, the others are refused at once. */
	assert_true(s->report_messages <= 13);
}

/* Guards against a shutdown that interrupts a task or loses its result. */
static void
test_graceful_shutdown(void **state)
{
	struct su *s = *state;
	unsigned done = 0, returned = 0, i;

	su_grant(s, "slow-700", 0, 7, 5000, "x");
	SU_WAIT(s, g_atomic_int_get(&s->endpoint_calls) == 4);
	kill(s->pid, SIGTERM);
	SU_WAIT(s, s->last_heartbeat.draining);
	assert_int_equal(4, s->last_heartbeat.running);
	su_grant(s, "late", 0, 2, 5000, "x");
	SU_WAIT(s, s->agent_conn == NULL);
	assert_int_equal(0, su_exit_code(s->pid));
	s->pid = 0;
	for (i = 0; i < s->nrecords; i++) {
		done += s->records[i].state == PD_DONE;
		returned += s->records[i].state == PD_NOT_STARTED &&
		    s->records[i].reason == PD_R_DRAINING;
	}
	assert_int_equal(4, done);
	assert_int_equal(5, returned);
	assert_int_equal(4, g_atomic_int_get(&s->endpoint_calls));
}

struct resolve_result {
	unsigned answers;
	enum pd_task_state state;
	unsigned body_len;
};

static void
resolve_done(void *arg, enum cn_error error, void *result)
{
	const struct pd_resolve_reply *reply = result;
	struct resolve_result *r = arg;

	assert_int_equal(CN_OK, error);
	assert_int_equal(1, reply->list.list_len);
	r->answers++;
	r->state = reply->list.list_val[0].state;
	r->body_len = reply->list.list_val[0].body.body_len;
}

static void
resolve(struct su *s, const char *id, struct resolve_result *r)
{
	struct pd_key key = {{(char *)(uintptr_t)id, SU_CREATED_MS}, 0, 0};
	struct pd_resolve keys = {{1, &key}};

	cn_call(s->agent_conn, PD_RESOLVE, (xdrproc_t)xdr_pd_resolve, &keys,
	    (xdrproc_t)xdr_pd_resolve_reply, sizeof(struct pd_resolve_reply),
	    1000, resolve_done, r);
}

/* Guards against keeping a connection to an unresponsive entry, and against
 * losing results with that connection. */
static void
test_unresponsive_entry(void **state)
{
	struct resolve_result r = {0};
	struct su *s = *state;
	uint64_t start_ms;

	su_grant(s, "slow-300", 0, 1, 5000, "text");
	SU_WAIT(s, g_atomic_int_get(&s->endpoint_calls) == 1);
	s->ignore_calls = true;
	start_ms = ck_mono_ms(s->clock);
	SU_WAIT(s, s->agent_conn == NULL);
	s->ignore_calls = false;
	SU_WAIT(s, s->hellos == 2);
	assert_in_range(ck_mono_ms(s->clock) - start_ms, 1500, 4000);
	assert_int_equal(0, s->nrecords);
	resolve(s, "slow-300", &r);
	SU_WAIT(s, r.answers == 1);
	assert_int_equal(PD_DONE, r.state);
	assert_int_equal(4, r.body_len);
	resolve(s, "never-seen", &r);
	SU_WAIT(s, r.answers == 2);
	assert_int_equal(PD_NOT_STARTED, r.state);
	su_grant(s, "never-seen", 0, 1, 5000, "x");
	SU_WAIT(s, s->nrecords == 1);
	assert_int_equal(PD_R_VOIDED, s->records[0].reason);
}

struct gather_result {
	bool arrived;
	uint64_t incarnation;
	unsigned records;
	uint64_t next;
};

static void
fence_done(void *arg, enum cn_error error, void *result)
{
	const struct pd_fence_reply *reply = result;
	struct gather_result *g = arg;

	assert_int_equal(CN_OK, error);
	assert_false(reply->refused);
	g->arrived = true;
	g->incarnation = reply->incarnation;
	g->records += reply->list.list_len;
	g->next = reply->next;
}

/* Fences all partitions and gathers all pages. */
static struct gather_result
gather(struct su *s)
{
	struct pd_fence fence = {2, ~0ULL, 0};
	struct gather_result g = {0};

	do {
		g.arrived = false;
		cn_call(s->agent_conn, PD_FENCE, (xdrproc_t)xdr_pd_fence,
		    &fence, (xdrproc_t)xdr_pd_fence_reply,
		    sizeof(struct pd_fence_reply), 1000, fence_done, &g);
		SU_WAIT(s, g.arrived);
		fence.cursor = g.next;
	} while (g.next != 0);
	return (g);
}

/* Guards against an agent that reconnects too often to an entry that closes its
 * connections, and against one that stops trying. */
static void
test_backoff(void **state)
{
	struct su *s = *state;

	s->close_connections = true;
	s->accepted_connections = 0;
	cn_close(s->agent_conn);
	su_run_for(s, 4000);
	assert_in_range(s->accepted_connections, 4, 20);
	s->close_connections = false;
	SU_WAIT(s, s->hellos == 2);
}

/* Guards against a gather that misses records. */
static void
test_fence(void **state)
{
	struct su *s = *state;
	struct gather_result got;

	su_grant(s, "job", 0, 5, 5000, "x");
	SU_WAIT(s, s->nrecords == 5);
	got = gather(s);
	assert_int_equal(s->incarnation, got.incarnation);
	assert_int_equal(5, got.records);
	su_grant(s, "job", 9, 1, 5000, "x");
	SU_WAIT(s, s->nrecords == 6);
	assert_int_equal(PD_R_STALE_VIEW, s->records[5].reason);
}

static unsigned long
status_kb(pid_t pid, const char *field)
{
	char path[64], *text, *at;
	unsigned long kb;

	g_snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	at = strstr(text, field);
	assert_non_null(at);
	kb = strtoul(at + strlen(field), NULL, 10);
	g_free(text);
	return (kb);
}

/* Processor time of a process in clock ticks. */
static unsigned long
cpu_ticks(pid_t pid)
{
	unsigned long user, system;
	char path[64], *text, *at;
	int i;

	g_snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	at = strrchr(text, ')');
	for (i = 0; i < 12; i++)
		at = strchr(at + 1, ' ');
	user = strtoul(at, &at, 10);
	system = strtoul(at, NULL, 10);
	g_free(text);
	return (user + system);
}

/* Guards against an agent that exceeds its limits of 32 MB of memory and 1.1 %
 * of a core while idle. */
static void
test_memory_and_idle_cpu(void **state)
{
	struct su *s = *state;
	unsigned long ticks, kb;
	char id[32], *body;
	unsigned i;

	body = g_strnfill(60000, 'x');
	for (i = 0; i < 400; i++) {
		g_snprintf(id, sizeof(id), "job-%u", i);
		su_grant(s, id, 0, 1, 5000, body);
		SU_WAIT(s, s->nrecords == i + 1);
		assert_int_equal(PD_DONE, s->records[i].state);
	}
	g_free(body);
	assert_int_equal(400, gather(s).records);
	kb = status_kb(s->pid, "VmRSS:");
	ticks = cpu_ticks(s->pid);
	su_run_for(s, 4000);
	ticks = cpu_ticks(s->pid) - ticks;
	print_message(
	    "after 24 MB of results and a gather: %lu KB; idle: %lu ticks of "
	    "10 ms in 4 s\n",
	    kb, ticks);
	/* The address sanitizer keeps freed memory. */
#ifndef __SANITIZE_ADDRESS__
	assert_true(kb < 32 * 1024);
#endif
	/* 1.1 % of a core are 4.4 ticks in 4 s. */
	assert_true(ticks < 4);
}

static int
run_with_settings(const struct su *s, const char *find, const char *replace)
{
	char *text, **parts, *changed, *path;
	int code;

	assert_true(g_file_get_contents(s->settings_path, &text, NULL, NULL));
	assert_non_null(strstr(text, find));
	parts = g_strsplit(text, find, 2);
	changed = g_strjoinv(replace, parts);
	path = g_strconcat(s->settings_path, ".bad", NULL);
	assert_true(g_file_set_contents(path, changed, -1, NULL));
	code = su_exit_code(su_spawn(path));
	unlink(path);
	g_free(path);
	g_free(changed);
	g_strfreev(parts);
	g_free(text);
	return (code);
}

/* Guards against an agent that starts with invalid settings. */
static void
test_bad_settings(void **state)
{
	static const struct {
		const char *find;
		const char *replace;
	} cases[] = {
	    {"name = \"order-desk-1\"\n", ""},
	    {"name = \"order-desk-1\"", "name = 1"},
	    {"name = \"order-desk-1\"", "nam = \"order-desk-1\""},
	    {"[endpoint]", "[endpoint"},
	    {"slots = 4", "slots = 0"},
	    {"slots = 4", "slots = 65"},
	    {"url = \"http://127.0.0.1", "url = \"http://localhost"},
	    {"url = \"http://127.0.0.1", "url = \"ftp://127.0.0.1"},
	    {"addresses = [\"127.0.0.1:", "addresses = [\"entry:"},
	    {"metrics = \"\"", "metrics = \"127.0.0.1\""},
	    {"metrics = \"\"", "metrics = \"127.0.0.1:0\""},
	};
	struct su *s = *state;
	unsigned hellos = s->hellos;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		if (run_with_settings(s, cases[i].find, cases[i].replace) != 2)
			fail_msg("%s -> %s", cases[i].find, cases[i].replace);
	assert_int_equal(2, su_exit_code(su_spawn("/nonexistent/agent.toml")));
	su_run_for(s, 100);
	assert_int_equal(hellos, s->hellos);
}

static char *
get(unsigned port, const char *path)
{
	struct _u_response response;
	struct _u_request request;
	char url[64], *body;

	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u%s", port, path);
	ulfius_init_request(&request);
	ulfius_init_response(&response);
	ulfius_set_request_properties(&request, U_OPT_HTTP_VERB, "GET",
	    U_OPT_HTTP_URL, url, U_OPT_TIMEOUT, 5UL, U_OPT_NONE);
	assert_int_equal(U_OK, ulfius_send_http_request(&request, &response));
	assert_int_equal(200, response.status);
	body = g_strndup(response.binary_body, response.binary_body_length);
	ulfius_clean_response(&response);
	ulfius_clean_request(&request);
	return (body);
}

static void
assert_line(const char *text, const char *line)
{
	char *full = g_strdup_printf("\n%s\n", line);

	if (strstr(text, full) == NULL)
		fail_msg("no line \"%s\" in:\n%s", line, text);
	g_free(full);
}

/* Guards against missing or wrong counters, against an agent that runs without
 * its configured metrics listener, and against an address that stays in use
 * after a stop. */
static void
test_metrics(void **state)
{
	struct su *s = *state;
	unsigned port, round;
	char address[48], *text;

	close(su_listen_any(&port));
	g_snprintf(address, sizeof(address), "127.0.0.1:%u", port);
	su_write_settings(s, address);
	for (round = 0; round < 2; round++) {
		kill(s->pid, SIGTERM);
		SU_WAIT(s, s->agent_conn == NULL);
		assert_int_equal(0, su_exit_code(s->pid));
		s->hellos = 0;
		s->pid = su_spawn(s->settings_path);
		SU_WAIT(s, s->hellos == 1);
		su_run_for(s, 100);
	}
	assert_int_equal(1, run_with_settings(s, "[listen]", "[listen]"));
	s->nrecords = 0;
	su_grant(s, "job", 0, 3, 5000, "x");
	su_grant(s, "job", 0, 1, 0, "x");
	SU_WAIT(s, s->nrecords == 4);
	su_run_for(s, 200);
	text = get(port, "/healthz");
	assert_string_equal(
	    "{\"status\":\"ok\",\"sessions\":1,\"running\":0}", text);
	g_free(text);
	text = get(port, "/metrics");
	assert_line(text, "pd_agent_starts_total 3");
	assert_line(text, "pd_agent_results_total{state=\"done\"} 3");
	assert_line(text, "pd_agent_refusals_total{reason=\"duplicate\"} 1");
	assert_line(text,
	    "pd_agent_messages_total{direction=\"received\",kind=\"grant\"} "
	    "2");
	assert_line(text, "pd_agent_records 3");
	g_free(text);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, su_setup, su_teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    TEST(test_run_tasks),
	    TEST(test_task_outcomes),
	    TEST(test_no_second_request),
	    TEST(test_endpoint_closes_before_task),
	    TEST(test_start_needs_permit),
	    TEST(test_agent_pause),
	    TEST(test_report_batching),
	    TEST(test_graceful_shutdown),
	    TEST(test_unresponsive_entry),
	    TEST(test_backoff),
	    TEST(test_fence),
	    TEST(test_memory_and_idle_cpu),
	    TEST(test_bad_settings),
	    TEST(test_metrics),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
