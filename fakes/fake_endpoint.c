#include <argtable2.h>
#include <event2/buffer.h>
#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "web.h"

/**
 * DOC: fake_endpoint - endpoints with a configurable speed
 *
 * `POST /task` runs for the time in the body (`run_ms=N`, `status=N`) or of
 * --run-ms, divided by the speed, and answers `done:<body>`. Several endpoints
 * can share one process; each has its own port.
 *
 * Each start is a line in the start log: wall clock in ms, endpoint,
 * submission, task and attempt, separated by tabs. The line is written when the
 * request arrives, because the agent counts a task as started from then on.
 *
 * `PUT /control?speed=X&fail=0|1&hang=0|1&instant=0|1&slots=N` changes one
 * endpoint; `GET /control` returns its settings and counts.
 */

#define ENDPOINTS_MAX 256
#define US_PER_MS 1000

struct endpoint {
	struct event_base *base;
	struct evhttp *http;
	char *name;
	int log_fd; /* -1 for none */
	unsigned slots;
	unsigned run_ms;
	double speed;
	bool fail;
	bool hang;
	bool instant;
	GQueue queue;      /* struct task without a free slot */
	GQueue hung_tasks; /* struct task, in hang mode */
	unsigned running;
	unsigned running_max;
	uint64_t started;
	uint64_t done;
	uint64_t failed;
	uint64_t queued;
};

struct task {
	struct endpoint *endpoint;
	struct evhttp_request *req;
	struct event *timer;
	char *body;
	size_t len;
	int status;
};

struct options {
	unsigned port;
	unsigned count;
	const char *name;
	const char *log;
	const char *speeds;
	unsigned slots;
	unsigned run_ms;
	bool instant;
};

static void
log_start(const struct endpoint *e, struct evhttp_request *req)
{
	char line[512];
	int n;

	if (e->log_fd < 0)
		return;
	n = snprintf(line, sizeof(line), "%llu\t%s\t%s\t%s\t%s\n",
	    (unsigned long long)wb_wall_ms(), e->name,
	    wb_header(req, "X-Pd-Submission"), wb_header(req, "X-Pd-Task"),
	    wb_header(req, "X-Pd-Attempt"));
	/* One write per line, so that several processes can share the file. */
	if (n > 0 && write(e->log_fd, line, (size_t)n) != n)
		perror("start log");
}

static void
reply_task(struct task *t)
{
	struct endpoint *e = t->endpoint;
	int status = e->fail ? 500 : t->status;
	struct evbuffer *out = evbuffer_new();

	if (status == 200) {
		e->done++;
		evbuffer_add(out, "done:", 5);
		evbuffer_add(out, t->body, t->len);
	} else {
		e->failed++;
	}
	evhttp_send_reply(t->req, status, NULL, out);
	evbuffer_free(out);
	if (t->timer != NULL)
		event_free(t->timer);
	g_free(t->body);
	g_free(t);
}

static void start_run(struct task *t);

static void
on_run_end(evutil_socket_t fd, short what, void *arg)
{
	struct task *t = arg;
	struct endpoint *e = t->endpoint;

	(void)fd;
	(void)what;
	if (e->hang) {
		g_queue_push_tail(&e->hung_tasks, t);
		return;
	}
	reply_task(t);
	e->running--;
	if (e->running < e->slots && !g_queue_is_empty(&e->queue))
		start_run(g_queue_pop_head(&e->queue));
}

static unsigned
body_number(const struct task *t, const char *key, unsigned fallback)
{
	const char *at = strstr(t->body, key);

	return (at != NULL ? (unsigned)strtoul(at + strlen(key), NULL, 10)
			   : fallback);
}

static void
start_run(struct task *t)
{
	struct endpoint *e = t->endpoint;
	unsigned ms = body_number(t, "run_ms=", e->run_ms);

	e->running++;
	if (e->running > e->running_max)
		e->running_max = e->running;
	/* A failing endpoint answers at once and so attracts even more tasks.
	 */
	if (e->instant || (e->fail && !e->hang)) {
		on_run_end(-1, 0, t);
		return;
	}
	t->timer = evtimer_new(e->base, on_run_end, t);
	wb_start_timer(t->timer, (uint64_t)(ms * (double)US_PER_MS / e->speed));
}

static void
task_request(struct endpoint *e, struct evhttp_request *req)
{
	struct task *t = g_new0(struct task, 1);

	log_start(e, req);
	e->started++;
	t->endpoint = e;
	t->req = req;
	t->body = wb_body(req, &t->len);
	t->status = (int)body_number(t, "status=", 200);
	if (e->running >= e->slots) {
		e->queued++;
		g_queue_push_tail(&e->queue, t);
		return;
	}
	start_run(t);
}

static void
control_put(struct endpoint *e, struct evhttp_request *req)
{
	struct wb_query q;
	struct task *t;

	wb_query_read(&q, req);
	e->speed = wb_query_number(&q, "speed", e->speed);
	e->slots = (unsigned)wb_query_number(&q, "slots", e->slots);
	e->fail = wb_query_number(&q, "fail", e->fail) > 0;
	e->hang = wb_query_number(&q, "hang", e->hang) > 0;
	e->instant = wb_query_number(&q, "instant", e->instant) > 0;
	wb_query_release(&q);
	while (!e->hang && (t = g_queue_pop_head(&e->hung_tasks)) != NULL)
		on_run_end(-1, 0, t);
}

static void
control(struct endpoint *e, struct evhttp_request *req)
{
	if (evhttp_request_get_command(req) == EVHTTP_REQ_PUT)
		control_put(e, req);
	wb_reply_json(req, 200,
	    json_pack("{s:s, s:f, s:b, s:b, s:i, s:i, s:i, s:i, s:I, s:I, s:I, "
		      "s:I}",
		"name", e->name, "speed", e->speed, "fail", e->fail, "hang",
		e->hang, "slots", (int)e->slots, "running", (int)e->running,
		"running_max", (int)e->running_max, "waiting",
		(int)g_queue_get_length(&e->queue), "started",
		(json_int_t)e->started, "done", (json_int_t)e->done, "failed",
		(json_int_t)e->failed, "waited", (json_int_t)e->queued));
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	struct endpoint *e = arg;
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

	if (wb_is_control(req))
		control(e, req);
	else if (path != NULL && strcmp(path, "/task") == 0)
		task_request(e, req);
	else
		wb_reply_json(req, 404, json_pack("{s:s}", "error", "path"));
}

/* The list is cycled through when there are more endpoints than speeds. */
static double
speed_of(const char *speeds, unsigned index)
{
	char **parts = g_strsplit(speeds, ",", 0);
	unsigned n = g_strv_length(parts);
	double speed = n > 0 ? g_ascii_strtod(parts[index % n], NULL) : 1.0;

	g_strfreev(parts);
	return (speed > 0 ? speed : 1.0);
}

static struct endpoint *
endpoint_new(struct event_base *base, const struct options *o, unsigned index,
    int log_fd, unsigned *port)
{
	struct endpoint *e = g_new0(struct endpoint, 1);

	e->base = base;
	e->log_fd = log_fd;
	e->slots = o->slots;
	e->run_ms = o->run_ms;
	e->instant = o->instant;
	e->speed = speed_of(o->speeds, index);
	e->name = o->count == 1 ? g_strdup(o->name)
				: g_strdup_printf("%s-%u", o->name, index + 1);
	g_queue_init(&e->queue);
	g_queue_init(&e->hung_tasks);
	e->http = wb_listen(
	    base, o->port != 0 ? o->port + index : 0, on_request, e, port);
	return (e);
}

static void
endpoint_free(struct endpoint *e)
{
	evhttp_free(e->http);
	g_queue_clear(&e->queue);
	g_queue_clear(&e->hung_tasks);
	g_free(e->name);
	g_free(e);
}

static int
open_start_log(const char *path)
{
	int fd = -1;

	if (path == NULL)
		return (-1);
	fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	if (fd < 0) {
		perror(path);
		exit(1);
	}
	return (fd);
}

static void
run_endpoints(const struct options *o)
{
	struct endpoint *all[ENDPOINTS_MAX];
	struct event_base *base = wb_base_new();
	unsigned ports[ENDPOINTS_MAX];
	int log_fd = open_start_log(o->log);

	for (unsigned i = 0; i < o->count; i++)
		all[i] = endpoint_new(base, o, i, log_fd, &ports[i]);
	wb_print_ready(ports, o->count);
	wb_run(base);
	for (unsigned i = 0; i < o->count; i++)
		endpoint_free(all[i]);
	event_base_free(base);
	if (log_fd >= 0)
		close(log_fd);
}

int
main(int argc, char **argv)
{
	struct arg_int *port = arg_int0(
	    NULL, "port", "N", "first port, 0 for any; the others follow it");
	struct arg_int *count =
	    arg_int0(NULL, "count", "N", "number of endpoints");
	struct arg_int *slots =
	    arg_int0(NULL, "slots", "N", "concurrent tasks of an endpoint");
	struct arg_int *run_ms = arg_int0(
	    NULL, "run-ms", "MS", "run time of a task without run_ms=");
	struct arg_str *name = arg_str0(NULL, "name", "NAME",
	    "name in the start log; numbered when --count is above 1");
	struct arg_str *log = arg_str0(NULL, "log", "FILE", "start log");
	struct arg_str *speeds = arg_str0(
	    NULL, "speeds", "X,X", "speed of each endpoint, default 1");
	struct arg_lit *instant =
	    arg_lit0(NULL, "instant", "answer at once, without a run time");
	struct arg_end *end = arg_end(8);
	void *table[] = {
	    port, count, slots, run_ms, name, log, speeds, instant, end};
	struct options o;

	port->ival[0] = 0;
	count->ival[0] = 1;
	slots->ival[0] = 8;
	run_ms->ival[0] = 50;
	name->sval[0] = "endpoint";
	log->sval[0] = NULL;
	speeds->sval[0] = "1";
	if (arg_parse(argc, argv, table) != 0 || count->ival[0] < 1 ||
	    count->ival[0] > ENDPOINTS_MAX) {
		arg_print_errors(stderr, end, argv[0]);
		arg_print_glossary(stderr, table, "  %-20s %s\n");
		return (2);
	}
	o = (struct options){
	    .port = (unsigned)port->ival[0],
	    .count = (unsigned)count->ival[0],
	    .name = name->sval[0],
	    .log = log->sval[0],
	    .speeds = speeds->sval[0],
	    .slots = (unsigned)slots->ival[0],
	    .run_ms = (unsigned)run_ms->ival[0],
	    .instant = instant->count > 0,
	};
	run_endpoints(&o);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return (0);
}
