#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "clock.h"
#include "conn.h"
#include "pd.h"

/*
 * Runs the agent binary between a stub entry, which speaks the RPC messages,
 * and a stub endpoint, which answers by the first word of the submission id.
 */

#define AGENT "agent/pimentodock-agent"
#define RECORDS 4096
#define CREATED_MS 1767225600000ULL

struct stub {
	struct ck *clock;
	struct event_base *loop;
	struct event *wake; /* keeps the loop turning */
	struct cn_listener *listener;
	struct cn *agent;
	char dir[64];
	char path[96];
	pid_t pid;
	/* Entry. */
	bool silent; /* answers nothing */
	bool permits;
	unsigned hellos;
	unsigned heartbeats;
	struct pd_heartbeat last;
	uint64_t incarnation; /* of the agent */
	unsigned reports;     /* messages */
	unsigned nrecords;
	struct {
		char id[32];
		unsigned task;
		enum pd_task_state state;
		enum pd_reason reason;
		unsigned body_len;
		char body[64];
	} records[RECORDS];
	/* Endpoint. */
	int endpoint_fd;
	unsigned endpoint_port;
	gint calls;
	GMutex lock;
	char last_request[1024];
};

/* Reads one HTTP request; returns false when there is none. */
static bool
read_request(int fd, char *buf, size_t size, char **body)
{
	size_t len = 0, want = 0;
	const char *length;
	ssize_t n;

	*body = NULL;
	while (*body == NULL || len < want) {
		n = read(fd, buf + len, size - 1 - len);
		if (n <= 0)
			return (false);
		len += (size_t)n;
		buf[len] = '\0';
		if (*body != NULL)
			continue;
		*body = strstr(buf, "\r\n\r\n");
		if (*body == NULL)
			continue;
		*body += 4;
		length = strcasestr(buf, "\r\nContent-Length:");
		want = (size_t)(*body - buf);
		if (length != NULL)
			want += strtoul(length + 17, NULL, 10);
	}
	return (true);
}

/* Value of a header of a request, released with g_free(). */
static char *
header(const char *request, const char *name)
{
	char *start, *line, *value;

	start = g_strdup_printf("\r\n%s:", name);
	line = strstr(request, start);
	assert_non_null(line);
	line += strlen(start);
	value = g_strstrip(g_strndup(line, strcspn(line, "\r")));
	g_free(start);
	return (value);
}

static void
answer(int fd, unsigned status, const char *body, size_t len)
{
	GString *out;
	ssize_t n;

	out = g_string_new(NULL);
	g_string_printf(out,
	    "HTTP/1.1 %u X\r\nContent-Length: %zu\r\nConnection: close"
	    "\r\n\r\n",
	    status, len);
	g_string_append_len(out, body, (gssize)len);
	n = send(fd, out->str, out->len, MSG_NOSIGNAL);
	(void)n;
	g_string_free(out, TRUE);
}

struct endpoint_call {
	struct stub *stub;
	int fd;
};

static void
serve(struct stub *s, int fd, const char *request, const char *body)
{
	static char large[PD_BODY_MAX + 1];
	char *id = header(request, "X-Pd-Submission");

	g_atomic_int_inc(&s->calls);
	g_mutex_lock(&s->lock);
	g_strlcpy(s->last_request, request, sizeof(s->last_request));
	g_mutex_unlock(&s->lock);
	if (g_str_has_prefix(id, "slow"))
		g_usleep(strtoul(id + 5, NULL, 10) * 1000);
	if (g_str_has_prefix(id, "fail"))
		answer(fd, 500, "no", 2);
	else if (g_str_has_prefix(id, "reject"))
		answer(fd, 404, "no", 2);
	else if (g_str_has_prefix(id, "large"))
		answer(fd, 200, large, sizeof(large));
	else if (!g_str_has_prefix(id, "broken"))
		answer(fd, 200, body, strlen(body));
	g_free(id);
}

static gpointer
endpoint_call(gpointer arg)
{
	struct endpoint_call *c = arg;
	char *request, *body;

	request = g_malloc(2 * PD_BODY_MAX);
	if (read_request(c->fd, request, 2 * PD_BODY_MAX, &body))
		serve(c->stub, c->fd, request, body);
	close(c->fd);
	g_free(request);
	g_free(c);
	return (NULL);
}

static gpointer
endpoint_accept(gpointer arg)
{
	struct stub *s = arg;
	struct endpoint_call *c;
	int fd;

	while ((fd = accept(s->endpoint_fd, NULL, NULL)) >= 0) {
		c = g_new(struct endpoint_call, 1);
		*c = (struct endpoint_call){s, fd};
		g_thread_unref(g_thread_new("call", endpoint_call, c));
	}
	return (NULL);
}

static int
listen_any(unsigned *port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	int fd;

	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(0, bind(fd, (struct sockaddr *)&sin, sizeof(sin)));
	assert_int_equal(0, listen(fd, 64));
	getsockname(fd, (struct sockaddr *)&sin, &len);
	*port = ntohs(sin.sin_port);
	return (fd);
}

static void
on_report(struct stub *s, struct cn *c, XDR *args)
{
	struct pd_report report = {0};
	const struct pd_record *r;
	unsigned i, n;

	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_report, &report))
		return;
	s->reports++;
	for (i = 0; i < report.list.list_len; i++) {
		r = &report.list.list_val[i];
		n = s->nrecords++ % RECORDS;
		g_strlcpy(
		    s->records[n].id, r->key.sub.id, sizeof(s->records[n].id));
		s->records[n].task = r->key.task;
		s->records[n].state = r->state;
		s->records[n].reason = r->reason;
		s->records[n].body_len = r->body.body_len;
		memcpy(s->records[n].body, r->body.body_val,
		    MIN(r->body.body_len, sizeof(s->records[n].body)));
	}
	xdr_free((xdrproc_t)xdr_pd_report, &report);
}

static void
on_hello(struct stub *s, struct cn *c, uint32_t xid, XDR *args)
{
	static char name[] = "entry-1";
	struct pd_hello_reply reply = {name, 4711};
	struct pd_hello hello = {0};

	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_hello, &hello))
		return;
	assert_string_equal("order-desk-1", hello.name);
	assert_string_equal("finistere", hello.az);
	assert_string_equal("order-desk", hello.service);
	assert_string_equal("worker-1", hello.worker);
	assert_int_equal(4, hello.slots);
	assert_int_equal(8, hello.queue_max);
	s->incarnation = hello.incarnation;
	s->hellos++;
	xdr_free((xdrproc_t)xdr_pd_hello, &hello);
	cn_reply(c, xid, (xdrproc_t)xdr_pd_hello_reply, &reply);
}

static void
on_heartbeat(struct stub *s, struct cn *c, uint32_t xid, XDR *args)
{
	struct pd_permit permit = {s->permits, 0, 1, 1, true};

	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_heartbeat, &s->last))
		return;
	s->heartbeats++;
	permit.clock_ms = s->last.clock_ms;
	cn_reply(c, xid, (xdrproc_t)xdr_pd_permit, &permit);
}

static void
entry_call(void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	struct stub *s = arg;

	if (s->silent)
		return;
	if (proc == PD_HELLO)
		on_hello(s, c, xid, args);
	else if (proc == PD_HEARTBEAT)
		on_heartbeat(s, c, xid, args);
	else if (proc == PD_REPORT)
		on_report(s, c, args);
	else
		cn_reject(c, xid);
}

static void
entry_closed(void *arg, struct cn *c, enum cn_error why)
{
	struct stub *s = arg;

	(void)why;
	if (s->agent == c)
		s->agent = NULL;
}

static const struct cn_ops entry_ops = {NULL, entry_call, entry_closed};

static void
entry_accept(void *arg, struct cn *c)
{
	struct stub *s = arg;

	s->agent = c;
	cn_set(c, &entry_ops, s);
}

static void
on_wake(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
}

/* Runs the entry until a condition holds; the condition is read only here. */
#define WAIT(s, condition)                                                     \
	do {                                                                   \
		uint64_t limit = ck_mono_ms((s)->clock) + 10000;               \
		while (!(condition)) {                                         \
			event_base_loop((s)->loop, EVLOOP_ONCE);               \
			if (ck_mono_ms((s)->clock) > limit)                    \
				fail_msg("no " #condition " in 10 s");         \
		}                                                              \
	} while (0)

static void
run_for(struct stub *s, unsigned ms)
{
	uint64_t end = ck_mono_ms(s->clock) + ms;

	while (ck_mono_ms(s->clock) < end)
		event_base_loop(s->loop, EVLOOP_ONCE);
}

static pid_t
spawn(const char *path)
{
	pid_t pid;
	int fd;

	pid = fork();
	if (pid == 0) {
		fd = open("/dev/null", O_WRONLY | O_CLOEXEC);
		dup2(fd, STDERR_FILENO);
		execl(AGENT, AGENT, "--settings", path, (char *)NULL);
		_exit(127);
	}
	return (pid);
}

static int
exit_code(pid_t pid)
{
	int status = 0;

	assert_int_equal(pid, waitpid(pid, &status, 0));
	assert_true(WIFEXITED(status));
	return (WEXITSTATUS(status));
}

static void
write_settings(struct stub *s, const char *metrics)
{
	char *text;

	text = g_strdup_printf(
	    "name = \"order-desk-1\"\n"
	    "availability_zone = \"finistere\"\n"
	    "service = \"order-desk\"\n"
	    "worker = \"worker-1\"\n"
	    "[endpoint]\n"
	    "url = \"http://127.0.0.1:%u\"\n"
	    "slots = 4\n"
	    "[entries]\n"
	    "addresses = [\"127.0.0.1:%u\"]\n"
	    "[listen]\n"
	    "metrics = \"%s\"\n",
	    s->endpoint_port, cn_listener_port(s->listener), metrics);
	assert_true(g_file_set_contents(s->path, text, -1, NULL));
	g_free(text);
}

static int
setup(void **state)
{
	struct timeval tv = {0, 5000};
	enum cn_error error;
	struct stub *s;

	s = g_new0(struct stub, 1);
	s->clock = ck_new_system();
	g_mutex_init(&s->lock);
	s->permits = true;
	s->loop = event_base_new();
	s->wake = event_new(s->loop, -1, EV_PERSIST, on_wake, s);
	event_add(s->wake, &tv);
	s->listener =
	    cn_listen(s->loop, "127.0.0.1:0", entry_accept, s, &error);
	s->endpoint_fd = listen_any(&s->endpoint_port);
	g_thread_unref(g_thread_new("accept", endpoint_accept, s));
	g_strlcpy(s->dir, "/tmp/proc_agent_XXXXXX", sizeof(s->dir));
	assert_non_null(g_mkdtemp(s->dir));
	g_snprintf(s->path, sizeof(s->path), "%s/agent.toml", s->dir);
	write_settings(s, "");
	s->pid = spawn(s->path);
	WAIT(s, s->heartbeats > 0);
	*state = s;
	return (0);
}

static int
teardown(void **state)
{
	struct stub *s = *state;

	if (s->pid > 0) {
		kill(s->pid, SIGKILL);
		waitpid(s->pid, NULL, 0);
	}
	if (s->agent != NULL)
		cn_close(s->agent);
	cn_listener_free(s->listener);
	event_free(s->wake);
	event_base_free(s->loop);
	shutdown(s->endpoint_fd, SHUT_RDWR);
	close(s->endpoint_fd);
	unlink(s->path);
	rmdir(s->dir);
	ck_free(s->clock);
	/* The threads of the endpoint may still use the stub. */
	return (0);
}

static void
grant(struct stub *s, const char *id, unsigned first, unsigned n,
    unsigned timeout_ms, const char *body)
{
	static char team[] = "lids";
	struct pd_grants grants;
	unsigned i;

	grants.list.list_len = n;
	grants.list.list_val = g_new0(struct pd_grant, n);
	for (i = 0; i < n; i++)
		grants.list.list_val[i] = (struct pd_grant){
		    .key = {{(char *)(uintptr_t)id, CREATED_MS}, first + i, 0},
		    .view = 1,
		    .incarnation = s->incarnation,
		    .ntasks = n,
		    .timeout_ms = timeout_ms,
		    .team = team,
		    .body = {(u_int)strlen(body), (char *)(uintptr_t)body},
		};
	cn_send(s->agent, PD_GRANT, (xdrproc_t)xdr_pd_grants, &grants);
	g_free(grants.list.list_val);
}

static void
assert_header(const char *request, const char *name, const char *value)
{
	char *found = header(request, name);

	assert_string_equal(value, found);
	g_free(found);
}

/* Guards against tasks whose identity, body or result is lost on the way. */
static void
test_runs_tasks(void **state)
{
	struct stub *s = *state;
	unsigned i;

	grant(s, "job 1", 7, 12, 5000, "text");
	WAIT(s, s->nrecords == 12);
	for (i = 0; i < 12; i++) {
		assert_string_equal("job 1", s->records[i].id);
		assert_int_equal(PD_DONE, s->records[i].state);
		assert_int_equal(4, s->records[i].body_len);
		assert_memory_equal("text", s->records[i].body, 4);
	}
	grant(s, "job\n2", 3, 1, 5000, "");
	WAIT(s, s->nrecords == 13);
	assert_int_equal(PD_DONE, s->records[12].state);
	assert_int_equal(0, s->records[12].body_len);
	g_mutex_lock(&s->lock);
	assert_true(g_str_has_prefix(s->last_request, "POST /task HTTP"));
	assert_header(s->last_request, "X-Pd-Submission", "job%0A2");
	assert_header(s->last_request, "X-Pd-Task", "3");
	assert_header(s->last_request, "X-Pd-Attempt", "0");
	assert_header(s->last_request, "Content-Length", "0");
	g_mutex_unlock(&s->lock);
	assert_int_equal(13, g_atomic_int_get(&s->calls));
}

/* Guards against a wrong account of whether a task ran. */
static void
test_ends_of_tasks(void **state)
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
	struct stub *s = *state;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		grant(s, cases[i].id, 0, 1, cases[i].timeout_ms, "x");
		WAIT(s, s->nrecords == i + 1);
		if (s->records[i].state != cases[i].state ||
		    s->records[i].reason != cases[i].reason)
			fail_msg("%s: state %u, reason %u", cases[i].id,
			    (unsigned)s->records[i].state,
			    (unsigned)s->records[i].reason);
	}
	/* A port without listener refuses. */
	shutdown(s->endpoint_fd, SHUT_RDWR);
	grant(s, "refused", 0, 1, 5000, "x");
	WAIT(s, s->nrecords == i + 1);
	assert_int_equal(PD_NOT_STARTED, s->records[i].state);
	assert_int_equal(PD_R_ENDPOINT_REFUSED, s->records[i].reason);
	assert_int_equal(G_N_ELEMENTS(cases), g_atomic_int_get(&s->calls));
}

/* Guards against starts without a permit. */
static void
test_no_permit_no_start(void **state)
{
	struct stub *s = *state;

	s->permits = false;
	run_for(s, 2200);
	grant(s, "job", 0, 1, 5000, "x");
	run_for(s, 700);
	assert_int_equal(0, g_atomic_int_get(&s->calls));
	s->permits = true;
	WAIT(s, s->nrecords == 1);
	assert_int_equal(PD_DONE, s->records[0].state);
}

/* Guards against one report message per task. */
static void
test_reports_are_batched(void **state)
{
	struct stub *s = *state;

	grant(s, "job", 0, 400, 5000, "x");
	WAIT(s, s->nrecords == 400);
	/* 12 fit into slots and queue, the others come back at once. */
	assert_true(s->reports <= 13);
}

/* Guards against a shutdown that interrupts a task or loses its result. */
static void
test_graceful_shutdown(void **state)
{
	struct stub *s = *state;
	unsigned done = 0, returned = 0, i;

	grant(s, "slow-700", 0, 7, 5000, "x");
	WAIT(s, g_atomic_int_get(&s->calls) == 4);
	kill(s->pid, SIGTERM);
	WAIT(s, s->last.draining);
	assert_int_equal(4, s->last.running);
	grant(s, "late", 0, 2, 5000, "x");
	WAIT(s, s->agent == NULL);
	assert_int_equal(0, exit_code(s->pid));
	s->pid = 0;
	for (i = 0; i < s->nrecords; i++) {
		done += s->records[i].state == PD_DONE;
		returned += s->records[i].state == PD_NOT_STARTED &&
		    s->records[i].reason == PD_R_DRAINING;
	}
	assert_int_equal(4, done);
	assert_int_equal(5, returned);
	assert_int_equal(4, g_atomic_int_get(&s->calls));
}

struct resolved {
	unsigned answers;
	enum pd_task_state state;
	unsigned body_len;
};

static void
resolve_done(void *arg, enum cn_error error, void *result)
{
	const struct pd_resolve_reply *reply = result;
	struct resolved *r = arg;

	assert_int_equal(CN_OK, error);
	assert_int_equal(1, reply->list.list_len);
	r->answers++;
	r->state = reply->list.list_val[0].state;
	r->body_len = reply->list.list_val[0].body.body_len;
}

static void
resolve(struct stub *s, const char *id, struct resolved *r)
{
	struct pd_key key = {{(char *)(uintptr_t)id, CREATED_MS}, 0, 0};
	struct pd_resolve keys = {{1, &key}};

	cn_call(s->agent, PD_RESOLVE, (xdrproc_t)xdr_pd_resolve, &keys,
	    (xdrproc_t)xdr_pd_resolve_reply, sizeof(struct pd_resolve_reply),
	    1000, resolve_done, r);
}

/* Guards against a silent connection that is kept, and against results that
 * are lost with it. */
static void
test_silent_entry(void **state)
{
	struct resolved r = {0};
	struct stub *s = *state;
	uint64_t began;

	grant(s, "slow-300", 0, 1, 5000, "text");
	WAIT(s, g_atomic_int_get(&s->calls) == 1);
	s->silent = true;
	began = ck_mono_ms(s->clock);
	WAIT(s, s->agent == NULL);
	s->silent = false;
	WAIT(s, s->hellos == 2);
	assert_in_range(ck_mono_ms(s->clock) - began, 1500, 4000);
	assert_int_equal(0, s->nrecords);
	resolve(s, "slow-300", &r);
	WAIT(s, r.answers == 1);
	assert_int_equal(PD_DONE, r.state);
	assert_int_equal(4, r.body_len);
	resolve(s, "never-seen", &r);
	WAIT(s, r.answers == 2);
	assert_int_equal(PD_NOT_STARTED, r.state);
	grant(s, "never-seen", 0, 1, 5000, "x");
	WAIT(s, s->nrecords == 1);
	assert_int_equal(PD_R_VOIDED, s->records[0].reason);
}

static void
fence_done(void *arg, enum cn_error error, void *result)
{
	const struct pd_fence_reply *reply = result;
	struct pd_fence_reply *out = arg;

	assert_int_equal(CN_OK, error);
	out->incarnation = reply->incarnation;
	out->list.list_len += reply->list.list_len;
	out->next = reply->next;
	out->refused = true; /* marks the arrival */
}

/* Guards against a gather that misses records. */
static void
test_fence(void **state)
{
	struct pd_fence_reply got = {0};
	struct pd_fence fence = {2, ~0ULL, 0};
	struct stub *s = *state;

	grant(s, "job", 0, 5, 5000, "x");
	WAIT(s, s->nrecords == 5);
	cn_call(s->agent, PD_FENCE, (xdrproc_t)xdr_pd_fence, &fence,
	    (xdrproc_t)xdr_pd_fence_reply, sizeof(struct pd_fence_reply), 1000,
	    fence_done, &got);
	WAIT(s, got.refused);
	assert_int_equal(s->incarnation, got.incarnation);
	assert_int_equal(5, got.list.list_len);
	assert_int_equal(0, got.next);
	grant(s, "job", 9, 1, 5000, "x");
	WAIT(s, s->nrecords == 6);
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

/* Guards against an agent that costs its node more than it may. */
static void
test_memory_and_idle_cpu(void **state)
{
	struct stub *s = *state;
	unsigned long ticks, kb;
	char id[32], *body;
	unsigned i;

	body = g_strnfill(60000, 'x');
	for (i = 0; i < 400; i++) {
		g_snprintf(id, sizeof(id), "job-%u", i);
		grant(s, id, 0, 1, 5000, body);
		WAIT(s, s->nrecords == i + 1);
		assert_int_equal(PD_DONE, s->records[i].state);
	}
	g_free(body);
	kb = status_kb(s->pid, "VmRSS:");
	ticks = cpu_ticks(s->pid);
	run_for(s, 4000);
	ticks = cpu_ticks(s->pid) - ticks;
	print_message(
	    "after 24 MB of results: %lu KB; idle: %lu ticks of "
	    "10 ms in 4 s\n",
	    kb, ticks);
	assert_true(kb < 32 * 1024);
	/* 1.1 % of a core are 4.4 ticks in 4 s. */
	assert_true(ticks < 4);
}

static int
run_with(const struct stub *s, const char *find, const char *replace)
{
	char *text, **parts, *changed, *path;
	int code;

	assert_true(g_file_get_contents(s->path, &text, NULL, NULL));
	assert_non_null(strstr(text, find));
	parts = g_strsplit(text, find, 2);
	changed = g_strjoinv(replace, parts);
	path = g_strconcat(s->path, ".bad", NULL);
	assert_true(g_file_set_contents(path, changed, -1, NULL));
	code = exit_code(spawn(path));
	unlink(path);
	g_free(path);
	g_free(changed);
	g_strfreev(parts);
	g_free(text);
	return (code);
}

/* Guards against an agent that starts with settings that cannot work. */
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
	struct stub *s = *state;
	unsigned hellos = s->hellos;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		if (run_with(s, cases[i].find, cases[i].replace) != 2)
			fail_msg("%s -> %s", cases[i].find, cases[i].replace);
	assert_int_equal(2, exit_code(spawn("/nonexistent/agent.toml")));
	run_for(s, 100);
	assert_int_equal(hellos, s->hellos);
}

/* Guards against an agent that runs without the listener it was told to have,
 * and against an address that is left taken after a stop. */
static void
test_listener(void **state)
{
	char find[64], address[32];
	struct stub *s = *state;

	g_snprintf(address, sizeof(address), "metrics = \"127.0.0.1:%u\"",
	    s->endpoint_port);
	g_strlcpy(find, "metrics = \"\"", sizeof(find));
	assert_int_equal(1, run_with(s, find, address));
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    TEST(test_runs_tasks),
	    TEST(test_ends_of_tasks),
	    TEST(test_no_permit_no_start),
	    TEST(test_reports_are_batched),
	    TEST(test_graceful_shutdown),
	    TEST(test_silent_entry),
	    TEST(test_fence),
	    TEST(test_memory_and_idle_cpu),
	    TEST(test_bad_settings),
	    TEST(test_listener),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
