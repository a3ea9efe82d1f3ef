#include <argtable2.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "web.h"

/**
 * DOC: fake_minion - simulated endpoint of the platform (minion)
 *
 * Runs tasks under a lease, answers polls with the running tasks and the ends
 * of runs, and sends heartbeats to its agent.
 *
 * The text of a task sets its behaviour: "run_ms=N cpu=N fail=1". Each start
 * and end is a line in the log: wall clock in ms, "start" or the outcome, name
 * of the endpoint, its process id, task and run, separated by tabs.
 *
 * `PUT /control?speed=X&fail=0|1&hang=0|1&drop=N&late=N&late_ms=N&drain=0|1&
 * no_lists=N&leave=0|1&replace=0|1` changes the behaviour. With drop=N the
 * connections of the next N requests are closed without an answer. With late=N
 * the next N start or stop commands get no answer and are executed late_ms
 * later. With no_lists=N the next N polls are answered without lists of runs.
 * With leave=1 the endpoint closes its port, deregisters and ends once its runs
 * have ended; with replace=1 it does the same without deregistering, so that a
 * new process can take its port and name. `GET /control` returns the counts.
 */

#define US_PER_MS 1000
#define LEASE_MAX_MS 1000
#define WAIT_MAX_MS 2000
#define HEARTBEAT_MS 1500
#define STATUS_CONFLICT 409
#define STATUS_OTHER_INSTANCE 421
#define EXPECTED_HEADER "X-Pimentodock-Expected-Instance"
#define LEAVE_DELAY_US 5000

struct run {
	struct minion *minion;
	struct event *timer; /* end of the run, NULL in hang mode */
	char *task;
	unsigned run_number;
	unsigned cpu;
	bool fail;
};

struct run_end {
	uint64_t sequence;
	char *task;
	unsigned run;
	const char *outcome;
};

/* A poll that waits for the next end of a run. */
struct pending_poll {
	struct minion *minion;
	struct evhttp_request *req;
	struct event *timer;
};

/* A command that is executed after a delay. */
struct delayed_command {
	struct minion *minion;
	struct event *timer;
	char *path;
	json_t *body;
};

struct minion {
	struct event_base *base;
	struct evhttp *http;
	struct evhttp_connection *agent;
	struct event *heartbeat_timer;
	struct event *lease_timer;
	struct event *leave_timer;
	char *name;
	char *service;
	char *az;
	char *label; /* of its kind, NULL for "a" */
	int log_fd;
	unsigned port;
	unsigned cpu;
	double speed;
	bool fail;
	bool hang;
	bool draining;
	bool leaving;
	bool deregisters;        /* when it leaves */
	unsigned omit_lists;     /* number of polls still to answer so */
	unsigned drop_requests;  /* number of requests still to drop */
	unsigned delay_commands; /* number of commands still to delay */
	unsigned command_delay_ms;
	uint64_t incarnation;
	uint64_t heartbeat_seq;
	uint64_t fencing_token;
	uint64_t lease_until_ms;
	uint64_t last_end_sequence;
	GPtrArray *runs;           /* struct run, owned */
	GPtrArray *run_ends;       /* struct run_end, owned */
	GList *polls;              /* struct pending_poll */
	GHashTable *highest_ended; /* task -> highest run that has ended */
	uint64_t started;
	uint64_t refused_commands;
	uint64_t expired_runs;
};

static uint64_t
now_ms(void)
{
	return (wb_mono_us() / US_PER_MS);
}

static void
log_line(
    const struct minion *m, const char *what, const char *task, unsigned run)
{
	char line[512];
	int n;

	n = snprintf(line, sizeof(line), "%llu\t%s\t%s\t%d\t%s\t%u\n",
	    (unsigned long long)wb_wall_ms(), what, m->name, (int)getpid(),
	    task, run);
	/* One write per line, so that several processes can share the file. */
	if (m->log_fd >= 0 && n > 0 && write(m->log_fd, line, (size_t)n) != n)
		perror("run log");
}

static void
run_free(void *p)
{
	struct run *r = p;

	if (r->timer != NULL)
		event_free(r->timer);
	g_free(r->task);
	g_free(r);
}

static void
run_end_free(void *p)
{
	struct run_end *e = p;

	g_free(e->task);
	g_free(e);
}

static void
reply(struct minion *m, struct evhttp_request *req, int status, json_t *body)
{
	json_object_set_new(
	    body, "clock_ms", json_integer((json_int_t)now_ms()));
	json_object_set_new(
	    body, "born", json_integer((json_int_t)m->incarnation));
	wb_reply_json(req, status, body);
}

static json_t *
run_lists(const struct minion *m)
{
	json_t *running = json_array(), *ended = json_array();
	const struct run_end *e;
	const struct run *r;
	guint i;

	for (i = 0; i < m->runs->len; i++) {
		r = m->runs->pdata[i];
		json_array_append_new(running,
		    json_pack("[s,i,s,i,i]", r->task, (int)r->run_number, "",
			100, (int)r->cpu));
	}
	for (i = 0; i < m->run_ends->len; i++) {
		e = m->run_ends->pdata[i];
		json_array_append_new(ended,
		    json_pack("[I,s,i,s,s]", (json_int_t)e->sequence, e->task,
			(int)e->run, e->outcome, ""));
	}
	return (json_pack("{s:o,s:o}", "running", running, "ended", ended));
}

static void
poll_answer(void *arg)
{
	struct pending_poll *l = arg;
	struct minion *m = l->minion;

	m->polls = g_list_remove(m->polls, l);
	event_free(l->timer);
	reply(m, l->req, 200, run_lists(m));
	g_free(l);
}

static void
end_if_left(struct minion *m)
{
	if (m->leaving && m->runs->len == 0)
		event_base_loopbreak(m->base);
}

static void
poll_timed_out(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	poll_answer(arg);
}

/* Records the end of a run and answers all waiting polls; @r is consumed. */
static void
finish_run(struct minion *m, struct run *r, const char *outcome)
{
	struct run_end *e = g_new0(struct run_end, 1);
	unsigned highest_ended;
	GList *polls;

	highest_ended =
	    GPOINTER_TO_UINT(g_hash_table_lookup(m->highest_ended, r->task));
	g_hash_table_insert(m->highest_ended, g_strdup(r->task),
	    GUINT_TO_POINTER(MAX(highest_ended, r->run_number)));
	log_line(m, outcome, r->task, r->run_number);
	e->sequence = ++m->last_end_sequence;
	e->task = g_strdup(r->task);
	e->run = r->run_number;
	e->outcome = outcome;
	g_ptr_array_add(m->run_ends, e);
	g_ptr_array_remove(m->runs, r);
	polls = m->polls;
	m->polls = NULL;
	g_list_free_full(polls, poll_answer);
	end_if_left(m);
}

static void
on_run_done(evutil_socket_t fd, short what, void *arg)
{
	struct run *r = arg;

	(void)fd;
	(void)what;
	finish_run(
	    r->minion, r, r->fail || r->minion->fail ? "failed" : "done");
}

static void
lease_expired(evutil_socket_t fd, short what, void *arg)
{
	struct minion *m = arg;

	(void)fd;
	(void)what;
	while (m->runs->len > 0) {
		m->expired_runs++;
		finish_run(m, m->runs->pdata[0], "lapsed");
	}
}

/* All runs share one lease, which is only ever extended. */
static void
renew_lease(struct minion *m, const json_t *body)
{
	uint64_t until =
	    (uint64_t)json_integer_value(json_object_get(body, "deadline_ms"));
	uint64_t now = now_ms();

	until = MIN(until, now + LEASE_MAX_MS);
	if (until <= m->lease_until_ms)
		return;
	m->lease_until_ms = until;
	wb_start_timer(
	    m->lease_timer, (until > now ? until - now : 0) * US_PER_MS);
}

static struct run *
find_run(const struct minion *m, const char *task, unsigned run_number)
{
	struct run *r;
	guint i;

	for (i = 0; i < m->runs->len; i++) {
		r = m->runs->pdata[i];
		if (strcmp(r->task, task) == 0 && r->run_number == run_number)
			return (r);
	}
	return (NULL);
}

static unsigned
cpu_in_use(const struct minion *m)
{
	unsigned cpu = 0;
	guint i;

	for (i = 0; i < m->runs->len; i++)
		cpu += ((struct run *)m->runs->pdata[i])->cpu;
	return (cpu);
}

/* Number after @key in the text of the task. */
static double
spec_number(const json_t *body, const char *key, double fallback)
{
	const char *spec = json_string_value(json_object_get(body, "spec"));
	const char *at = spec == NULL ? NULL : strstr(spec, key);

	return (at == NULL ? fallback : g_ascii_strtod(at + strlen(key), NULL));
}

/* Return: reason of the refusal, NULL when the run was started or is running
 * already. */
static const char *
start_run(struct minion *m, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	unsigned run_number =
	    (unsigned)json_integer_value(json_object_get(body, "run"));
	uint64_t deadline =
	    (uint64_t)json_integer_value(json_object_get(body, "deadline_ms"));
	struct run *r;

	if (deadline <= now_ms())
		return ("late");
	renew_lease(m, body);
	if (find_run(m, task, run_number) != NULL)
		return (NULL);
	if (run_number <=
	    GPOINTER_TO_UINT(g_hash_table_lookup(m->highest_ended, task)))
		return ("old");
	r = g_new0(struct run, 1);
	r->cpu = (unsigned)spec_number(body, "cpu=", 0);
	if (cpu_in_use(m) + r->cpu > m->cpu) {
		g_free(r);
		return ("room");
	}
	r->minion = m;
	r->task = g_strdup(task);
	r->run_number = run_number;
	r->fail = spec_number(body, "fail=", 0) > 0;
	g_ptr_array_add(m->runs, r);
	m->started++;
	log_line(m, "start", task, run_number);
	if (m->hang)
		return (NULL);
	r->timer = evtimer_new(m->base, on_run_done, r);
	wb_start_timer(r->timer,
	    (uint64_t)(spec_number(body, "run_ms=", 50) * US_PER_MS /
		m->speed));
	return (NULL);
}

static void
stop_run(struct minion *m, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	unsigned run_number =
	    (unsigned)json_integer_value(json_object_get(body, "run"));
	struct run *r = find_run(m, task, run_number);
	unsigned highest_ended;

	if (r != NULL) {
		finish_run(m, r, "stopped");
		return;
	}
	highest_ended =
	    GPOINTER_TO_UINT(g_hash_table_lookup(m->highest_ended, task));
	g_hash_table_insert(m->highest_ended, g_strdup(task),
	    GUINT_TO_POINTER(MAX(highest_ended, run_number)));
}

static void
poll_runs(struct minion *m, struct evhttp_request *req, const json_t *body)
{
	uint64_t seen =
	    (uint64_t)json_integer_value(json_object_get(body, "ack_cursor"));
	uint64_t wait =
	    (uint64_t)json_integer_value(json_object_get(body, "wait_ms"));
	struct pending_poll *l;

	renew_lease(m, body);
	if (m->omit_lists > 0) {
		m->omit_lists--;
		reply(m, req, 200, json_object());
		return;
	}
	while (m->run_ends->len > 0 &&
	    ((struct run_end *)m->run_ends->pdata[0])->sequence <= seen)
		g_ptr_array_remove_index(m->run_ends, 0);
	if (wait == 0 || m->run_ends->len > 0) {
		reply(m, req, 200, run_lists(m));
		return;
	}
	l = g_new0(struct pending_poll, 1);
	l->minion = m;
	l->req = req;
	l->timer = evtimer_new(m->base, poll_timed_out, l);
	m->polls = g_list_prepend(m->polls, l);
	wb_start_timer(l->timer, MIN(wait, WAIT_MAX_MS) * US_PER_MS);
}

static bool
is_for_other(const struct minion *m, struct evhttp_request *req)
{
	const char *id = evhttp_find_header(
	    evhttp_request_get_input_headers(req), EXPECTED_HEADER);

	return (id != NULL && strcmp(id, m->name) != 0);
}

/* @req is NULL for a command that was delayed. */
static void
execute(struct minion *m, const char *path, const json_t *body,
    struct evhttp_request *req)
{
	uint64_t fencing_token = (uint64_t)json_integer_value(
	    json_object_get(body, "fencing_token"));
	const char *reason = NULL;

	if (req != NULL && is_for_other(m, req)) {
		reply(m, req, STATUS_OTHER_INSTANCE, json_object());
		return;
	}
	if (fencing_token < m->fencing_token)
		reason = "fence";
	m->fencing_token = MAX(m->fencing_token, fencing_token);
	if (reason == NULL && strcmp(path, "/v1/run-start") == 0)
		reason = start_run(m, body);
	else if (reason == NULL && strcmp(path, "/v1/run-stop") == 0)
		stop_run(m, body);
	else if (reason == NULL && req != NULL) {
		poll_runs(m, req, body);
		return;
	}
	if (reason != NULL)
		m->refused_commands++;
	if (req == NULL)
		return;
	reply(m, req, reason == NULL ? 200 : STATUS_CONFLICT,
	    reason == NULL ? json_object()
			   : json_pack("{s:s}", "reason", reason));
}

static void
on_delayed_command(evutil_socket_t fd, short what, void *arg)
{
	struct delayed_command *l = arg;

	(void)fd;
	(void)what;
	execute(l->minion, l->path, l->body, NULL);
	event_free(l->timer);
	json_decref(l->body);
	g_free(l->path);
	g_free(l);
}

static void
execute_later(struct minion *m, const char *path, json_t *body)
{
	struct delayed_command *l = g_new0(struct delayed_command, 1);

	l->minion = m;
	l->path = g_strdup(path);
	l->body = json_incref(body);
	l->timer = evtimer_new(m->base, on_delayed_command, l);
	wb_start_timer(l->timer, (uint64_t)m->command_delay_ms * US_PER_MS);
}

static void
heartbeat_done(struct evhttp_request *req, void *arg)
{
	(void)req;
	(void)arg;
}

static void
send_heartbeat(struct minion *m)
{
	struct evhttp_request *req = evhttp_request_new(heartbeat_done, m);
	json_t *o;
	char *text, *path, address[32];

	snprintf(address, sizeof(address), "127.0.0.1:%u", m->port);
	o = json_pack(
	    "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],"
	    "s:I,s:I,s:I}",
	    "service", m->service, "address", address, "zone", m->az, "version",
	    "v1", "slots", 8, "state", m->draining ? "draining" : "ready",
	    "cold_remaining_ms", 0, "capacity", "cpu", (int)m->cpu, "mem_mb",
	    65536, "gpu", 0, "labels", "a", "r1", "clock_ms",
	    (json_int_t)now_ms(), "seq", (json_int_t)++m->heartbeat_seq, "born",
	    (json_int_t)m->incarnation);
	if (m->label != NULL)
		json_object_set_new(
		    o, "labels", json_pack("[s,s]", m->label, "r1"));
	text = json_dumps(o, JSON_COMPACT);
	path = g_strdup_printf("/v1/instances/%s", m->name);
	evbuffer_add(evhttp_request_get_output_buffer(req), text, strlen(text));
	evhttp_add_header(
	    evhttp_request_get_output_headers(req), "Host", "agent");
	evhttp_make_request(m->agent, req, EVHTTP_REQ_PUT, path);
	g_free(path);
	free(text);
	json_decref(o);
}

static void
on_heartbeat(evutil_socket_t fd, short what, void *arg)
{
	struct minion *m = arg;

	(void)fd;
	(void)what;
	send_heartbeat(m);
	wb_start_timer(m->heartbeat_timer, (uint64_t)HEARTBEAT_MS * US_PER_MS);
}

static void
deregister(struct minion *m)
{
	struct evhttp_request *req = evhttp_request_new(heartbeat_done, m);
	char *path = g_strdup_printf("/v1/instances/%s", m->name);

	evhttp_add_header(
	    evhttp_request_get_output_headers(req), "Host", "agent");
	evhttp_make_request(m->agent, req, EVHTTP_REQ_DELETE, path);
	g_free(path);
}

static void
poll_abandon(void *arg)
{
	struct pending_poll *l = arg;

	event_free(l->timer);
	g_free(l);
}

/* Closes the port and its connections. The runs go on until they end or their
 * lease is over. */
static void
leave(evutil_socket_t fd, short what, void *arg)
{
	struct minion *m = arg;

	(void)fd;
	(void)what;
	event_del(m->heartbeat_timer);
	g_list_free_full(m->polls, poll_abandon);
	m->polls = NULL;
	evhttp_free(m->http);
	m->http = NULL;
	m->leaving = true;
	if (m->deregisters)
		deregister(m);
	end_if_left(m);
}

static void
control(struct minion *m, struct evhttp_request *req)
{
	bool draining = m->draining;
	struct wb_query q;

	wb_query_read(&q, req);
	m->speed = wb_query_number(&q, "speed", m->speed);
	m->fail = wb_query_number(&q, "fail", m->fail) > 0;
	m->hang = wb_query_number(&q, "hang", m->hang) > 0;
	m->draining = wb_query_number(&q, "drain", m->draining) > 0;
	m->drop_requests =
	    (unsigned)wb_query_number(&q, "drop", m->drop_requests);
	m->delay_commands =
	    (unsigned)wb_query_number(&q, "late", m->delay_commands);
	m->command_delay_ms =
	    (unsigned)wb_query_number(&q, "late_ms", m->command_delay_ms);
	m->omit_lists =
	    (unsigned)wb_query_number(&q, "no_lists", m->omit_lists);
	m->deregisters = wb_query_number(&q, "leave", 0) > 0;
	/* After the answer to this request. */
	if (m->deregisters || wb_query_number(&q, "replace", 0) > 0)
		wb_start_timer(m->leave_timer, LEAVE_DELAY_US);
	wb_query_release(&q);
	if (m->draining != draining)
		send_heartbeat(m);
	wb_reply_json(req, 200,
	    json_pack("{s:i,s:I,s:I,s:I}", "running", (int)m->runs->len,
		"starts", (json_int_t)m->started, "refused",
		(json_int_t)m->refused_commands, "lapsed",
		(json_int_t)m->expired_runs));
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	const char *path = evhttp_request_get_uri(req);
	struct minion *m = arg;
	json_t *body;
	size_t len;
	char *text;

	if (wb_is_control(req)) {
		control(m, req);
		return;
	}
	text = wb_body(req, &len);
	body = json_loadb(text, len, 0, NULL);
	g_free(text);
	if (!json_is_object(body)) {
		wb_reply_json(req, 400, json_object());
	} else if (m->drop_requests > 0) {
		m->drop_requests--;
		wb_drop(req);
	} else if (m->delay_commands > 0 && strcmp(path, "/v1/hold") != 0) {
		m->delay_commands--;
		execute_later(m, path, body);
		wb_drop(req);
	} else {
		execute(m, path, body, req);
	}
	json_decref(body);
}

static void
parse_options(int argc, char **argv, struct minion *m, unsigned *agent)
{
	struct arg_int *port = arg_int1(NULL, "port", "N", "port to listen on");
	struct arg_int *agent_port =
	    arg_int1(NULL, "agent", "N", "port of the agent for heartbeats");
	struct arg_int *cpu =
	    arg_int1(NULL, "cpu", "N", "capacity, thousandths of a core");
	struct arg_str *name =
	    arg_str1(NULL, "name", "NAME", "name of the endpoint");
	struct arg_str *az = arg_str1(NULL, "az", "AZ", "availability zone");
	struct arg_str *label = arg_str0(
	    NULL, "label", "LABEL", "label of its kind, \"a\" if unset");
	struct arg_str *log = arg_str1(NULL, "log", "FILE", "log of runs");
	struct arg_end *end = arg_end(8);
	void *table[] = {port, agent_port, cpu, name, az, label, log, end};

	if (arg_parse(argc, argv, table) != 0) {
		arg_print_errors(stderr, end, argv[0]);
		exit(2);
	}
	m->port = (unsigned)port->ival[0];
	*agent = (unsigned)agent_port->ival[0];
	m->cpu = (unsigned)cpu->ival[0];
	m->name = g_strdup(name->sval[0]);
	m->az = g_strdup(az->sval[0]);
	m->label = label->count > 0 ? g_strdup(label->sval[0]) : NULL;
	m->service = g_strdup("desk");
	m->log_fd = open(log->sval[0], O_WRONLY | O_CREAT | O_APPEND, 0644);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
}

int
main(int argc, char **argv)
{
	struct minion m = {.speed = 1, .incarnation = wb_wall_ms()};
	unsigned agent;

	parse_options(argc, argv, &m, &agent);
	m.base = wb_base_new();
	m.runs = g_ptr_array_new_with_free_func(run_free);
	m.run_ends = g_ptr_array_new_with_free_func(run_end_free);
	m.highest_ended =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	m.lease_timer = evtimer_new(m.base, lease_expired, &m);
	m.heartbeat_timer = evtimer_new(m.base, on_heartbeat, &m);
	m.leave_timer = evtimer_new(m.base, leave, &m);
	m.agent = evhttp_connection_base_new(
	    m.base, NULL, "127.0.0.1", (unsigned short)agent);
	evhttp_connection_set_timeout(m.agent, 1);
	m.http = wb_listen(m.base, m.port, on_request, &m, &m.port);
	wb_start_timer(m.heartbeat_timer, 0);
	wb_print_ready(&m.port, 1);
	wb_run(m.base);
	if (m.http != NULL)
		evhttp_free(m.http);
	evhttp_connection_free(m.agent);
	event_free(m.heartbeat_timer);
	event_free(m.lease_timer);
	event_free(m.leave_timer);
	g_ptr_array_free(m.runs, TRUE);
	g_ptr_array_free(m.run_ends, TRUE);
	g_hash_table_destroy(m.highest_ended);
	g_free(m.name);
	g_free(m.az);
	g_free(m.label);
	g_free(m.service);
	event_base_free(m.base);
	close(m.log_fd);
	return (0);
}
