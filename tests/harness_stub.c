#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "harness_stub.h"

#define AGENT_PROGRAM "agent/pimentodock-agent"

/* All stubs; none is freed, since threads of its endpoint may still run. */
static struct su *all_stubs;

/* Length of a request in bytes, 0 while its headers are incomplete. */
static size_t
request_length(const char *buf)
{
	const char *end = strstr(buf, "\r\n\r\n");
	const char *length = strcasestr(buf, "\r\nContent-Length:");

	if (end == NULL)
		return (0);
	return ((size_t)(end + 4 - buf) +
	    (length != NULL ? strtoul(length + 17, NULL, 10) : 0));
}

/* Reads one HTTP request; returns false when the connection ends before. */
static bool
read_request(int fd, char *buf, size_t size)
{
	size_t len = 0, want = 0;
	ssize_t n;

	while (want == 0 || len < want) {
		n = read(fd, buf + len, size - 1 - len);
		if (n <= 0)
			return (false);
		len += (size_t)n;
		buf[len] = '\0';
		if (want == 0)
			want = request_length(buf);
	}
	return (true);
}

/* Value of a header of a request, released with g_free(). */
char *
su_header(const char *request, const char *name)
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
send_response(int fd, unsigned status, const char *body, size_t len)
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

static void
send_text(int fd, const char *text)
{
	ssize_t n = send(fd, text, strlen(text), MSG_NOSIGNAL);

	(void)n;
}

/* Makes close() reset the connection. */
static void
reset_on_close(int fd)
{
	struct linger reset = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

/* Responds in a way that tempts a client to send a request again; returns false
 * for other ids. */
static bool
respond_with_fault(int fd, const char *id)
{
	if (g_str_has_prefix(id, "reset"))
		reset_on_close(fd);
	else if (g_str_has_prefix(id, "partial"))
		send_text(
		    fd, "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\npart");
	else if (g_str_has_prefix(id, "redirect"))
		send_text(fd,
		    "HTTP/1.1 307 X\r\nLocation: /task\r\n"
		    "Content-Length: 0\r\nConnection: close\r\n\r\n");
	else if (g_str_has_prefix(id, "busy"))
		send_text(fd,
		    "HTTP/1.1 503 X\r\nRetry-After: 0\r\n"
		    "Content-Length: 0\r\nConnection: close\r\n\r\n");
	else if (g_str_has_prefix(id, "continue"))
		send_text(fd, "HTTP/1.1 100 Continue\r\n\r\n");
	else
		return (g_str_has_prefix(id, "broken"));
	return (true);
}

struct endpoint_call {
	struct su *stub;
	int fd;
};

static void
handle_request(struct su *s, int fd, const char *request, const char *body)
{
	static char large[PD_BODY_MAX + 1];
	char *id = su_header(request, "X-Pd-Submission");

	g_atomic_int_inc(&s->endpoint_calls);
	g_mutex_lock(&s->lock);
	g_strlcpy(s->last_request, request, sizeof(s->last_request));
	g_mutex_unlock(&s->lock);
	if (g_str_has_prefix(id, "slow"))
		g_usleep(strtoul(id + 5, NULL, 10) * 1000);
	if (g_str_has_prefix(id, "fail"))
		send_response(fd, 500, "no", 2);
	else if (g_str_has_prefix(id, "reject"))
		send_response(fd, 404, "no", 2);
	else if (g_str_has_prefix(id, "large"))
		send_response(fd, 200, large, sizeof(large));
	else if (!respond_with_fault(fd, id))
		send_response(fd, 200, body, strlen(body));
	g_free(id);
}

static gpointer
endpoint_call(gpointer arg)
{
	struct endpoint_call *c = arg;
	char *request;

	request = g_malloc(2 * PD_BODY_MAX);
	if (read_request(c->fd, request, 2 * PD_BODY_MAX))
		handle_request(
		    c->stub, c->fd, request, strstr(request, "\r\n\r\n") + 4);
	close(c->fd);
	g_free(request);
	g_free(c);
	return (NULL);
}

static gpointer
endpoint_accept(gpointer arg)
{
	struct su *s = arg;
	struct endpoint_call *c;
	int fd;

	while ((fd = accept(s->endpoint_fd, NULL, NULL)) >= 0) {
		c = g_new(struct endpoint_call, 1);
		*c = (struct endpoint_call){s, fd};
		g_thread_unref(g_thread_new("call", endpoint_call, c));
	}
	return (NULL);
}

int
su_listen_any(unsigned *port)
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
on_report(struct su *s, struct cn *c, XDR *args)
{
	struct pd_report report = {0};
	const struct pd_record *r;
	unsigned i, n;

	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_report, &report))
		return;
	s->report_messages++;
	for (i = 0; i < report.list.list_len; i++) {
		r = &report.list.list_val[i];
		n = s->nrecords++ % SU_RECORDS_MAX;
		g_strlcpy(
		    s->records[n].id, r->key.sub.id, sizeof(s->records[n].id));
		s->records[n].task = r->key.task;
		s->records[n].state = r->state;
		s->records[n].reason = r->reason;
		s->records[n].body_len = r->body.body_len;
		if (r->body.body_len > 0)
			memcpy(s->records[n].body, r->body.body_val,
			    MIN(r->body.body_len, sizeof(s->records[n].body)));
	}
	xdr_free((xdrproc_t)xdr_pd_report, &report);
}

static void
on_hello(struct su *s, struct cn *c, uint32_t xid, XDR *args)
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
on_heartbeat(struct su *s, struct cn *c, uint32_t xid, XDR *args)
{
	struct pd_permit permit = {s->allow_starts, 0, 1, 1, true};

	if (!cn_decode(
		c, args, (xdrproc_t)xdr_pd_heartbeat, &s->last_heartbeat))
		return;
	s->heartbeats++;
	permit.clock_ms = s->last_heartbeat.clock_ms;
	cn_reply(c, xid, (xdrproc_t)xdr_pd_permit, &permit);
}

static void
on_entry_call(void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	struct su *s = arg;

	if (s->ignore_calls)
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
on_entry_closed(void *arg, struct cn *c, enum cn_error why)
{
	struct su *s = arg;

	(void)why;
	if (s->agent_conn == c)
		s->agent_conn = NULL;
}

static const struct cn_ops entry_ops = {NULL, on_entry_call, on_entry_closed};

static void
on_entry_accept(void *arg, struct cn *c)
{
	struct su *s = arg;

	s->accepted_connections++;
	s->agent_conn = c;
	cn_set_ops(c, &entry_ops, s);
	if (s->close_connections)
		cn_close(c);
}

static void
on_wake(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
}

void
su_run_for(struct su *s, unsigned ms)
{
	uint64_t end = ck_mono_ms(s->clock) + ms;

	while (ck_mono_ms(s->clock) < end)
		event_base_loop(s->loop, EVLOOP_ONCE);
}

pid_t
su_spawn(const char *path)
{
	pid_t pid;
	int fd;

	pid = fork();
	if (pid == 0) {
		/* The agent must not outlive a crashed test. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open("/dev/null", O_WRONLY | O_CLOEXEC);
		dup2(fd, STDERR_FILENO);
		execl(AGENT_PROGRAM, AGENT_PROGRAM, "--settings", path,
		    (char *)NULL);
		_exit(127);
	}
	return (pid);
}

int
su_exit_code(pid_t pid)
{
	int status = 0;

	assert_int_equal(pid, waitpid(pid, &status, 0));
	assert_true(WIFEXITED(status));
	return (WEXITSTATUS(status));
}

void
su_write_settings(struct su *s, const char *metrics)
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
	assert_true(g_file_set_contents(s->settings_path, text, -1, NULL));
	g_free(text);
}

int
su_setup(void **state)
{
	struct timeval tv = {0, 5000};
	enum cn_error error;
	struct su *s;

	s = g_new0(struct su, 1);
	s->next = all_stubs;
	all_stubs = s;
	s->clock = ck_new_system();
	g_mutex_init(&s->lock);
	s->allow_starts = true;
	s->loop = event_base_new();
	s->wake = event_new(s->loop, -1, EV_PERSIST, on_wake, s);
	event_add(s->wake, &tv);
	s->listener =
	    cn_listen(s->loop, "127.0.0.1:0", on_entry_accept, s, &error);
	s->endpoint_fd = su_listen_any(&s->endpoint_port);
	g_thread_unref(g_thread_new("accept", endpoint_accept, s));
	g_strlcpy(s->dir, "/tmp/proc_agent_XXXXXX", sizeof(s->dir));
	assert_non_null(g_mkdtemp(s->dir));
	g_snprintf(s->settings_path, sizeof(s->settings_path), "%s/agent.toml",
	    s->dir);
	su_write_settings(s, "");
	s->pid = su_spawn(s->settings_path);
	SU_WAIT(s, s->heartbeats > 0);
	*state = s;
	return (0);
}

int
su_teardown(void **state)
{
	struct su *s = *state;

	if (s->pid > 0) {
		kill(s->pid, SIGKILL);
		waitpid(s->pid, NULL, 0);
	}
	if (s->agent_conn != NULL)
		cn_close(s->agent_conn);
	cn_listener_free(s->listener);
	event_free(s->wake);
	event_base_free(s->loop);
	shutdown(s->endpoint_fd, SHUT_RDWR);
	close(s->endpoint_fd);
	unlink(s->settings_path);
	rmdir(s->dir);
	ck_free(s->clock);
	return (0);
}

void
su_grant(struct su *s, const char *id, unsigned first, unsigned n,
    unsigned timeout_ms, const char *body)
{
	static char team[] = "lids";
	struct pd_grants grants;
	unsigned i;

	grants.list.list_len = n;
	grants.list.list_val = g_new0(struct pd_grant, n);
	for (i = 0; i < n; i++)
		grants.list.list_val[i] = (struct pd_grant){
		    .key = {{(char *)(uintptr_t)id, SU_CREATED_MS}, first + i,
			0},
		    .view = 1,
		    .incarnation = s->incarnation,
		    .ntasks = n,
		    .timeout_ms = timeout_ms,
		    .team = team,
		    .body = {(u_int)strlen(body), (char *)(uintptr_t)body},
		};
	cn_send(s->agent_conn, PD_GRANT, (xdrproc_t)xdr_pd_grants, &grants);
	g_free(grants.list.list_val);
}
