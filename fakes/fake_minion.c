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
 * DOC: fake_minion - the platform's endpoint: runs tasks under a lease, lists
 * them and their ends, and reports itself to the agent beside it
 *
 * The text of a task says what it does: "run_ms=N cpu=N fail=1". Each start and
 * end is a line in the log: wall clock in ms, "start" or the kind of end, name
 * of the endpoint, its process id, task and run, separated by tabs.
 *
 * `PUT /control?speed=X&fail=0|1&hang=0|1&drop=N&late=N&late_ms=N&drain=0|1`
 * changes it: the next N orders get no answer with "drop", and are carried out
 * late_ms later with "late". `GET /control` gives the counts.
 */

#define US_PER_MS 1000
#define LEASE_MAX_MS 1000
#define WAIT_MAX_MS 2000
#define BEAT_MS 1500
#define STATUS_CONFLICT 409

struct run {
	struct minion *minion;
	struct event *timer; /* end of its work, NULL when it stands still */
	char *task;
	unsigned number;
	unsigned cpu;
	bool fail;
};

struct end {
	uint64_t number;
	char *task;
	unsigned run;
	const char *how;
};

/* A list that waits for an end. */
struct look {
	struct minion *minion;
	struct evhttp_request *req;
	struct event *timer;
};

/* An order that is carried out late. */
struct late {
	struct minion *minion;
	struct event *timer;
	char *path;
	json_t *body;
};

struct minion {
	struct event_base *base;
	struct evhttp_connection *agent;
	struct event *beat;
	struct event *lease;
	char *name;
	char *service;
	char *az;
	int log_fd;
	unsigned port;
	unsigned cpu;
	double speed;
	bool fail;
	bool hang;
	bool draining;
	unsigned drop;
	unsigned late;
	unsigned late_ms;
	uint64_t born;
	uint64_t sequence;
	uint64_t token;
	uint64_t lease_ms;
	uint64_t ends_made;
	GPtrArray *runs;     /* struct run, owned */
	GPtrArray *ends;     /* struct end, owned */
	GList *looks;        /* struct look */
	GHashTable *highest; /* task -> highest run that has ended */
	uint64_t starts;
	uint64_t refused;
	uint64_t lapsed;
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
end_free(void *p)
{
	struct end *e = p;

	g_free(e->task);
	g_free(e);
}

static void
reply(struct minion *m, struct evhttp_request *req, int status, json_t *body)
{
	json_object_set_new(
	    body, "clock_ms", json_integer((json_int_t)now_ms()));
	json_object_set_new(body, "born", json_integer((json_int_t)m->born));
	wb_reply_json(req, status, body);
}

static json_t *
lists(const struct minion *m)
{
	json_t *running = json_array(), *ended = json_array();
	const struct end *e;
	const struct run *r;
	guint i;

	for (i = 0; i < m->runs->len; i++) {
		r = m->runs->pdata[i];
		json_array_append_new(running,
		    json_pack("[s,i,s,i,i]", r->task, (int)r->number, "", 100,
			(int)r->cpu));
	}
	for (i = 0; i < m->ends->len; i++) {
		e = m->ends->pdata[i];
		json_array_append_new(ended,
		    json_pack("[I,s,i,s,s]", (json_int_t)e->number, e->task,
			(int)e->run, e->how, ""));
	}
	return (json_pack("{s:o,s:o}", "running", running, "ended", ended));
}

static void
look_answer(void *arg)
{
	struct look *l = arg;
	struct minion *m = l->minion;

	m->looks = g_list_remove(m->looks, l);
	event_free(l->timer);
	reply(m, l->req, 200, lists(m));
	g_free(l);
}

static void
look_late(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	look_answer(arg);
}

/* @run is consumed. */
static void
end_run(struct minion *m, struct run *r, const char *how)
{
	struct end *e = g_new0(struct end, 1);
	unsigned highest;
	GList *looks;

	highest = GPOINTER_TO_UINT(g_hash_table_lookup(m->highest, r->task));
	g_hash_table_insert(m->highest, g_strdup(r->task),
	    GUINT_TO_POINTER(MAX(highest, r->number)));
	log_line(m, how, r->task, r->number);
	e->number = ++m->ends_made;
	e->task = g_strdup(r->task);
	e->run = r->number;
	e->how = how;
	g_ptr_array_add(m->ends, e);
	g_ptr_array_remove(m->runs, r);
	looks = m->looks;
	m->looks = NULL;
	g_list_free_full(looks, look_answer);
}

static void
work_done(evutil_socket_t fd, short what, void *arg)
{
	struct run *r = arg;

	(void)fd;
	(void)what;
	end_run(r->minion, r, r->fail || r->minion->fail ? "failed" : "done");
}

static void
lease_over(evutil_socket_t fd, short what, void *arg)
{
	struct minion *m = arg;

	(void)fd;
	(void)what;
	while (m->runs->len > 0) {
		m->lapsed++;
		end_run(m, m->runs->pdata[0], "lapsed");
	}
}

/* The lease is that of all runs, and never gets shorter. */
static void
renew(struct minion *m, const json_t *body)
{
	uint64_t until =
	    (uint64_t)json_integer_value(json_object_get(body, "deadline_ms"));
	uint64_t now = now_ms();

	until = MIN(until, now + LEASE_MAX_MS);
	if (until <= m->lease_ms)
		return;
	m->lease_ms = until;
	wb_start_timer(m->lease, (until > now ? until - now : 0) * US_PER_MS);
}

static struct run *
find_run(const struct minion *m, const char *task, unsigned number)
{
	struct run *r;
	guint i;

	for (i = 0; i < m->runs->len; i++) {
		r = m->runs->pdata[i];
		if (strcmp(r->task, task) == 0 && r->number == number)
			return (r);
	}
	return (NULL);
}

static unsigned
cpu_used(const struct minion *m)
{
	unsigned cpu = 0;
	guint i;

	for (i = 0; i < m->runs->len; i++)
		cpu += ((struct run *)m->runs->pdata[i])->cpu;
	return (cpu);
}

/* Number after a key in the text of a task. */
static double
spec_number(const json_t *body, const char *key, double fallback)
{
	const char *spec = json_string_value(json_object_get(body, "spec"));
	const char *at = spec == NULL ? NULL : strstr(spec, key);

	return (at == NULL ? fallback : g_ascii_strtod(at + strlen(key), NULL));
}

/* Return: reason why the run cannot start, NULL when it runs. */
static const char *
start(struct minion *m, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	unsigned number =
	    (unsigned)json_integer_value(json_object_get(body, "run"));
	uint64_t deadline =
	    (uint64_t)json_integer_value(json_object_get(body, "deadline_ms"));
	struct run *r;

	if (deadline <= now_ms())
		return ("late");
	renew(m, body);
	if (find_run(m, task, number) != NULL)
		return (NULL);
	if (number <= GPOINTER_TO_UINT(g_hash_table_lookup(m->highest, task)))
		return ("old");
	r = g_new0(struct run, 1);
	r->cpu = (unsigned)spec_number(body, "cpu=", 0);
	if (cpu_used(m) + r->cpu > m->cpu) {
		g_free(r);
		return ("room");
	}
	r->minion = m;
	r->task = g_strdup(task);
	r->number = number;
	r->fail = spec_number(body, "fail=", 0) > 0;
	g_ptr_array_add(m->runs, r);
	m->starts++;
	log_line(m, "start", task, number);
	if (m->hang)
		return (NULL);
	r->timer = evtimer_new(m->base, work_done, r);
	wb_start_timer(r->timer,
	    (uint64_t)(spec_number(body, "run_ms=", 50) * US_PER_MS /
		m->speed));
	return (NULL);
}

static void
stop(struct minion *m, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	unsigned number =
	    (unsigned)json_integer_value(json_object_get(body, "run"));
	struct run *r = find_run(m, task, number);
	unsigned highest;

	if (r != NULL) {
		end_run(m, r, "stopped");
		return;
	}
	highest = GPOINTER_TO_UINT(g_hash_table_lookup(m->highest, task));
	g_hash_table_insert(
	    m->highest, g_strdup(task), GUINT_TO_POINTER(MAX(highest, number)));
}

static void
look(struct minion *m, struct evhttp_request *req, const json_t *body)
{
	uint64_t seen =
	    (uint64_t)json_integer_value(json_object_get(body, "ack_cursor"));
	uint64_t wait =
	    (uint64_t)json_integer_value(json_object_get(body, "wait_ms"));
	struct look *l;

	renew(m, body);
	while (m->ends->len > 0 &&
	    ((struct end *)m->ends->pdata[0])->number <= seen)
		g_ptr_array_remove_index(m->ends, 0);
	if (wait == 0 || m->ends->len > 0) {
		reply(m, req, 200, lists(m));
		return;
	}
	l = g_new0(struct look, 1);
	l->minion = m;
	l->req = req;
	l->timer = evtimer_new(m->base, look_late, l);
	m->looks = g_list_prepend(m->looks, l);
	wb_start_timer(l->timer, MIN(wait, WAIT_MAX_MS) * US_PER_MS);
}

/* @req is NULL for an order that is carried out late. */
static void
carry_out(struct minion *m, const char *path, const json_t *body,
    struct evhttp_request *req)
{
	uint64_t token = (uint64_t)json_integer_value(
	    json_object_get(body, "fencing_token"));
	const char *why = NULL;

	if (token < m->token)
		why = "fence";
	m->token = MAX(m->token, token);
	if (why == NULL && strcmp(path, "/v1/run-start") == 0)
		why = start(m, body);
	else if (why == NULL && strcmp(path, "/v1/run-stop") == 0)
		stop(m, body);
	else if (why == NULL && req != NULL) {
		look(m, req, body);
		return;
	}
	if (why != NULL)
		m->refused++;
	if (req == NULL)
		return;
	reply(m, req, why == NULL ? 200 : STATUS_CONFLICT,
	    why == NULL ? json_object() : json_pack("{s:s}", "reason", why));
}

static void
late_run(evutil_socket_t fd, short what, void *arg)
{
	struct late *l = arg;

	(void)fd;
	(void)what;
	carry_out(l->minion, l->path, l->body, NULL);
	event_free(l->timer);
	json_decref(l->body);
	g_free(l->path);
	g_free(l);
}

static void
carry_out_late(struct minion *m, const char *path, json_t *body)
{
	struct late *l = g_new0(struct late, 1);

	l->minion = m;
	l->path = g_strdup(path);
	l->body = json_incref(body);
	l->timer = evtimer_new(m->base, late_run, l);
	wb_start_timer(l->timer, (uint64_t)m->late_ms * US_PER_MS);
}

static void
beat_done(struct evhttp_request *req, void *arg)
{
	(void)req;
	(void)arg;
}

static void
send_beat(struct minion *m)
{
	struct evhttp_request *req = evhttp_request_new(beat_done, m);
	json_t *o;
	char *text, *path;

	o = json_pack(
	    "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],"
	    "s:I,s:I,s:I}",
	    "service", m->service, "address", "-", "zone", m->az, "version",
	    "v1", "slots", 8, "state", m->draining ? "draining" : "ready",
	    "cold_remaining_ms", 0, "capacity", "cpu", (int)m->cpu, "mem_mb",
	    65536, "gpu", 0, "labels", "a", "r1", "clock_ms",
	    (json_int_t)now_ms(), "seq", (json_int_t)++m->sequence, "born",
	    (json_int_t)m->born);
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
on_beat(evutil_socket_t fd, short what, void *arg)
{
	struct minion *m = arg;

	(void)fd;
	(void)what;
	send_beat(m);
	wb_start_timer(m->beat, (uint64_t)BEAT_MS * US_PER_MS);
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
	m->drop = (unsigned)wb_query_number(&q, "drop", m->drop);
	m->late = (unsigned)wb_query_number(&q, "late", m->late);
	m->late_ms = (unsigned)wb_query_number(&q, "late_ms", m->late_ms);
	wb_query_release(&q);
	if (m->draining != draining)
		send_beat(m);
	wb_reply_json(req, 200,
	    json_pack("{s:i,s:I,s:I,s:I}", "running", (int)m->runs->len,
		"starts", (json_int_t)m->starts, "refused",
		(json_int_t)m->refused, "lapsed", (json_int_t)m->lapsed));
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
	} else if (m->drop > 0) {
		m->drop--;
		wb_drop(req);
	} else if (m->late > 0 && strcmp(path, "/v1/hold") != 0) {
		m->late--;
		carry_out_late(m, path, body);
		wb_drop(req);
	} else {
		carry_out(m, path, body, req);
	}
	json_decref(body);
}

static void
parse_options(int argc, char **argv, struct minion *m, unsigned *agent)
{
	struct arg_int *port = arg_int1(NULL, "port", "N", "port to listen on");
	struct arg_int *beats =
	    arg_int1(NULL, "agent", "N", "port of the agent for heartbeats");
	struct arg_int *cpu =
	    arg_int1(NULL, "cpu", "N", "room, thousandths of a core");
	struct arg_str *name = arg_str1(NULL, "name", "NAME", "its id");
	struct arg_str *az = arg_str1(NULL, "az", "AZ", "availability zone");
	struct arg_str *log = arg_str1(NULL, "log", "FILE", "log of runs");
	struct arg_end *end = arg_end(8);
	void *table[] = {port, beats, cpu, name, az, log, end};

	if (arg_parse(argc, argv, table) != 0) {
		arg_print_errors(stderr, end, argv[0]);
		exit(2);
	}
	m->port = (unsigned)port->ival[0];
	*agent = (unsigned)beats->ival[0];
	m->cpu = (unsigned)cpu->ival[0];
	m->name = g_strdup(name->sval[0]);
	m->az = g_strdup(az->sval[0]);
	m->service = g_strdup("desk");
	m->log_fd = open(log->sval[0], O_WRONLY | O_CREAT | O_APPEND, 0644);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
}

int
main(int argc, char **argv)
{
	struct minion m = {.speed = 1, .born = wb_wall_ms()};
	struct evhttp *http;
	unsigned agent;

	parse_options(argc, argv, &m, &agent);
	m.base = wb_base_new();
	m.runs = g_ptr_array_new_with_free_func(run_free);
	m.ends = g_ptr_array_new_with_free_func(end_free);
	m.highest =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	m.lease = evtimer_new(m.base, lease_over, &m);
	m.beat = evtimer_new(m.base, on_beat, &m);
	m.agent = evhttp_connection_base_new(
	    m.base, NULL, "127.0.0.1", (unsigned short)agent);
	evhttp_connection_set_timeout(m.agent, 1);
	http = wb_listen(m.base, m.port, on_request, &m, &m.port);
	wb_start_timer(m.beat, 0);
	wb_print_ready(&m.port, 1);
	wb_run(m.base);
	evhttp_free(http);
	evhttp_connection_free(m.agent);
	event_free(m.beat);
	event_free(m.lease);
	g_ptr_array_free(m.runs, TRUE);
	g_ptr_array_free(m.ends, TRUE);
	g_hash_table_destroy(m.highest);
	g_free(m.name);
	g_free(m.az);
	g_free(m.service);
	event_base_free(m.base);
	close(m.log_fd);
	return (0);
}
