#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include <cmocka.h>

#include "harness_fleet_impl.h"

#define PATH_PREFIX "/q/"
#define TASK_CPU 6000
#define ENDPOINT_CPU 64000U
#define DEADLINE_MS 1500
#define TARGET_MS 60
/* Time after which a client submits a job without an answer again. */
#define RETRY_DELAY_MS 1300
#define TRIES_MAX 3
#define SENDERS 48

/* Appended to the settings of all entries and agents. */
static const char *more_settings = "";

/* --- processes --- */

static void
start_entry(struct hf *f, unsigned i)
{
	struct entry *e = &f->entries[i];
	char name[32], *path, *text;
	char *seeds = hf_entries_for_entries(f);

	text = g_strdup_printf(
	    "name = \"e%u\"\navailability_zone = \"z%u\"\n"
	    "[listen]\nclients = \"127.0.0.1:%u\"\n"
	    "probes = \"127.0.0.1:%u\"\n"
	    "rpc = \"127.0.0.1:%u\"\n"
	    "advertised = \"127.0.0.1:%u\"\n"
	    "metrics = \"127.0.0.1:%u\"\n[entries]\n"
	    "addresses = [%s]\n[platform]\n"
	    "store = \"127.0.0.1:%u\"\n%s",
	    i, i, e->clients_port, e->probes_port, e->rpc_port, e->relay_port,
	    e->metrics_port, seeds, hf_store_port_for(f, i), more_settings);
	snprintf(name, sizeof(name), "entry%u.toml", i);
	hn_write(f->hn, name, text);
	path = hn_path(f->hn, name);
	snprintf(name, sizeof(name), "entry%u-%u", i, f->next_suffix++);
	e->proc = hn_start(f->hn, name,
	    (const char *const[]){
		"entry/pimentodock", "dispatch", "--settings", path, NULL});
	g_free(path);
	g_free(text);
	g_free(seeds);
}

static void
start_agent(struct hf *f, unsigned i)
{
	struct worker *w = &f->workers[i];
	char name[32], *path, *text;
	char *seeds = hf_entries_for_agent(f, i);

	text = g_strdup_printf(
	    "name = \"w%u\"\navailability_zone = \"%s\"\n"
	    "[endpoint]\nheartbeats = \"127.0.0.1:%u\"\n"
	    "orders = \"127.0.0.1:%u\"\n[entries]\n"
	    "addresses = [%s]\n"
	    "[platform]\nstore = \"127.0.0.1:%u\"\n"
	    "[listen]\nmetrics = \"127.0.0.1:%u\"\n%s",
	    i, w->az, w->heartbeats_port, w->relay_port, seeds, f->store_port,
	    w->metrics_port, more_settings);
	snprintf(name, sizeof(name), "agent%u.toml", i);
	hn_write(f->hn, name, text);
	path = hn_path(f->hn, name);
	snprintf(name, sizeof(name), "agent%u-%u", i, f->next_suffix++);
	w->agent = hn_start(f->hn, name,
	    (const char *const[]){"agent/pimentodock-agent", "--execute",
		"--settings", path, NULL});
	g_free(path);
	g_free(text);
	g_free(seeds);
}

static void
start_minion(struct hf *f, unsigned i)
{
	struct worker *w = &f->workers[i];
	char name[32], orders[16], beats[16], id[16], cpu[16];
	unsigned port;

	snprintf(name, sizeof(name), "minion%u-%u", i, f->next_suffix++);
	snprintf(orders, sizeof(orders), "%u", w->orders_port);
	snprintf(beats, sizeof(beats), "%u", w->heartbeats_port);
	snprintf(id, sizeof(id), "m%u", i);
	snprintf(cpu, sizeof(cpu), "%u", ENDPOINT_CPU);
	w->minion = hn_start(f->hn, name,
	    (const char *const[]){"fakes/fake_minion", "--port", orders,
		"--agent", beats, "--cpu", cpu, "--name", id, "--az", w->az,
		"--log", f->log, w->label == NULL ? NULL : "--label", w->label,
		NULL});
	hn_wait_ready(w->minion, &port, 1);
}

static void
store_put(struct hf *f, const char *key, const char *value, bool remove)
{
	char *text = g_base64_encode((const guchar *)value, strlen(value));
	json_t *tx =
	    json_pack("{s:[{s:s,s:s,s:s,s:s}]}", remove ? "remove" : "writes",
		"table", "op", "part", "", "key", key, "value", text);
	char *body = json_dumps(tx, JSON_COMPACT);
	int status = 0, i;

	/* The store may be failing; the operator repeats the request. */
	for (i = 0; i < 200 && status != 200; i++) {
		status = hn_http(
		    "POST", f->store_port, "/v1/rows-tx", body, NULL, NULL);
		if (status != 200)
			hn_sleep_ms(50);
	}
	assert_int_equal(200, status);
	free(body);
	json_decref(tx);
	g_free(text);
}

static json_t *
queue_json(const struct hf *f, const char *name, const char *prefix)
{
	return (json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:f,s:i}", "name", name,
	    "host", "127.0.0.1", "path_prefix", prefix, "service", "desk",
	    "timeout_ms", (int)f->timeout_ms, "target_latency_ms",
	    (int)f->target_ms, "max_attempts", 3, "stretch", 1.6, "priority",
	    0));
}

void
hf_set_queues(struct hf *f, unsigned version, unsigned added)
{
	json_t *routes = json_array(), *o;
	char name[32], prefix[32], *text;
	unsigned i;

	for (i = 0; i < added; i++) {
		snprintf(name, sizeof(name), "added%u", i);
		snprintf(prefix, sizeof(prefix), "/added%u/", i);
		json_array_append_new(routes, queue_json(f, name, prefix));
	}
	json_array_append_new(routes, queue_json(f, "q", PATH_PREFIX));
	o = json_pack("{s:i,s:o,s:[],s:{}}", "version", (int)version, "routes",
	    routes, "services", "limits");
	text = json_dumps(o, JSON_COMPACT);
	store_put(f, "config", text, false);
	free(text);
	json_decref(o);
}

void
hf_set_times(
    struct hf *f, unsigned version, unsigned timeout_ms, unsigned target_ms)
{
	f->timeout_ms = timeout_ms;
	f->target_ms = target_ms;
	hf_set_queues(f, version, 0);
}

void
hf_evacuate(struct hf *f, const char *az, bool out)
{
	char *key = g_strconcat("evacuate/", az, NULL);

	store_put(f, key, "{}", !out);
	g_free(key);
}

bool
hf_is_ready(struct hf *f, unsigned i)
{
	return (hn_http("GET", f->entries[i].probes_port, "/v1/readiness", NULL,
		    NULL, NULL) == 200);
}

static bool
all_entries_serve(void *arg)
{
	struct hf *f = arg;
	char id[32];
	unsigned i;

	for (i = 0; i < f->nentries; i++) {
		snprintf(id, sizeof(id), "%016x", 0xabc0 + f->next_suffix++);
		if (!hf_is_ready(f, i) ||
		    hf_submit(f, i, id, "run_ms=1 cpu=1", f->nworkers, 1,
			NULL) != 200)
			return (false);
	}
	return (true);
}

static struct hf *
fleet_new(struct hn *h, unsigned entries, unsigned workers, enum hf_net net)
{
	struct hf *f = g_new0(struct hf, 1);
	unsigned i;

	f->hn = h;
	f->net = net;
	f->timeout_ms = DEADLINE_MS;
	f->target_ms = TARGET_MS;
	f->required_label = "";
	f->nentries = entries;
	f->nworkers = workers;
	f->log = hn_path(h, "runs.log");
	g_mutex_init(&f->lock);
	f->store = hn_start(
	    h, "store", (const char *const[]){"fakes/fake_platform", NULL});
	hn_wait_ready(f->store, &f->store_port, 1);
	hf_start_store_relay(f);
	hf_set_queues(f, 1, 0);
	for (i = 0; i < entries; i++) {
		f->entries[i].clients_port = hn_port(h);
		f->entries[i].probes_port = hn_port(h);
		f->entries[i].rpc_port = hn_port(h);
		f->entries[i].metrics_port = hn_port(h);
		hf_start_entry_relay(f, i);
	}
	for (i = 0; i < workers; i++) {
		f->workers[i].heartbeats_port = hn_port(h);
		f->workers[i].orders_port = hn_port(h);
		f->workers[i].metrics_port = hn_port(h);
		hf_start_endpoint_relay(f, i);
		snprintf(f->workers[i].az, sizeof(f->workers[i].az), "z%u",
		    i % entries);
	}
	for (i = 0; i < entries; i++)
		start_entry(f, i);
	for (i = 0; i < workers; i++) {
		start_agent(f, i);
		start_minion(f, i);
	}
	assert_true(hn_wait_until(all_entries_serve, f, 15000));
	/* Agents learn of their endpoints by the first heartbeats. */
	hn_sleep_ms(500);
	return (f);
}

void
hf_more_settings(const char *text)
{
	more_settings = text;
}

struct hf *
hf_new(struct hn *h, unsigned entries, unsigned workers)
{
	return (fleet_new(h, entries, workers, HF_NET_DIRECT));
}

struct hf *
hf_new_relayed(struct hn *h, unsigned entries, unsigned workers)
{
	return (fleet_new(h, entries, workers, HF_NET_RELAYED));
}

struct hf *
hf_new_separable(struct hn *h, unsigned entries, unsigned workers)
{
	return (fleet_new(h, entries, workers, HF_NET_SEPARABLE));
}

int
hf_test_set_up(void **state, unsigned entries, unsigned workers)
{
	struct hf_test *t = g_new0(struct hf_test, 1);

	t->hn = hn_new();
	t->fleet = hf_new(t->hn, entries, workers);
	*state = t;
	return (0);
}

int
hf_test_tear_down(void **state)
{
	struct hf_test *t = *state;

	hf_free(t->fleet);
	hn_free(t->hn);
	g_free(t);
	return (0);
}

struct hn_proc *
hf_entry(struct hf *f, unsigned i)
{
	return (f->entries[i].proc);
}

struct hn_proc *
hf_store(struct hf *f)
{
	return (f->store);
}

struct hn_proc *
hf_agent(struct hf *f, unsigned i)
{
	return (f->workers[i].agent);
}

struct hn_proc *
hf_minion(struct hf *f, unsigned i)
{
	return (f->workers[i].minion);
}

static void
stop_process(struct hn_proc *p, int sig)
{
	if (sig == SIGKILL) {
		hn_kill(p);
		return;
	}
	hn_signal(p, sig);
	assert_int_equal(0, hn_wait(p, 7000));
}

void
hf_restart_entry(struct hf *f, unsigned i, int sig)
{
	stop_process(f->entries[i].proc, sig);
	start_entry(f, i);
}

void
hf_restart_agent(struct hf *f, unsigned i, int sig)
{
	stop_process(f->workers[i].agent, sig);
	start_agent(f, i);
}

void
hf_restart_minion(struct hf *f, unsigned i)
{
	char line[128];
	int fd, n;

	/* The runs end with the endpoint, which cannot log that itself. The
	 * line is written before the kill, since the agent notices at once and
	 * the tasks may start elsewhere. */
	hn_signal(f->workers[i].minion, SIGSTOP);
	n = snprintf(line, sizeof(line), "%llu\tkilled\tm%u\t%d\t-\t0\n",
	    (unsigned long long)hn_wall_ms(), i, hn_pid(f->workers[i].minion));
	fd = open(f->log, O_WRONLY | O_APPEND);
	assert_int_equal(n, write(fd, line, (size_t)n));
	close(fd);
	hn_kill(f->workers[i].minion);
	start_minion(f, i);
}

void
hf_set_label(struct hf *f, unsigned i, const char *label)
{
	f->workers[i].label = label;
}

void
hf_require_label(struct hf *f, const char *label)
{
	f->required_label = label;
}

void
hf_start_minion(struct hf *f, unsigned i)
{
	start_minion(f, i);
}

static bool
refuses_connections(void *arg)
{
	const unsigned *port = arg;

	return (hn_http("GET", *port, "/control", NULL, NULL, NULL) == 0);
}

void
hf_replace_minion(struct hf *f, unsigned i, bool deregisters)
{
	hn_control(
	    f->workers[i].orders_port, deregisters ? "leave=1" : "replace=1");
	assert_true(hn_wait_until(
	    refuses_connections, &f->workers[i].orders_port, 1000));
	start_minion(f, i);
}

unsigned
hf_heartbeats_port(const struct hf *f, unsigned i)
{
	return (f->workers[i].heartbeats_port);
}

unsigned
hf_running(const struct hf *f, unsigned i)
{
	json_t *counts = NULL;
	unsigned n;

	assert_int_equal(200,
	    hn_http("GET", f->workers[i].orders_port, "/control", NULL, NULL,
		&counts));
	n = (unsigned)json_integer_value(json_object_get(counts, "running"));
	json_decref(counts);
	return (n);
}

unsigned
hf_clients_port(const struct hf *f, unsigned i)
{
	return (f->entries[i].clients_port);
}

unsigned
hf_port(const struct hf *f, enum hf_listener listener, unsigned i)
{
	return (listener == HF_PROBES    ? f->entries[i].probes_port
		: listener == HF_RPC     ? f->entries[i].rpc_port
		: listener == HF_METRICS ? f->entries[i].metrics_port
					 : f->workers[i].metrics_port);
}

unsigned
hf_store_port(const struct hf *f)
{
	return (f->store_port);
}

unsigned
hf_minion_port(const struct hf *f, unsigned i)
{
	return (f->workers[i].orders_port);
}

/* --- clients --- */

/* Body of a job, released with free(). */
static char *
job_body(const struct hf *f, const char *spec, unsigned tasks, unsigned size_ms)
{
	json_t *o = json_pack("{s:s,s:b,s:[{s:i,s:i,s:i,s:i,s:s}]}", "spec",
	    spec, "best_effort", 1, "steps", "count", (int)tasks, "cpu",
	    TASK_CPU, "mem_mb", 64, "estimate_ms", (int)size_ms,
	    "required_label", f->required_label);
	char *body = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	return (body);
}

int
hf_send_job(struct hf *f, unsigned entry, const char *id, const char *spec,
    unsigned tasks, unsigned size_ms)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	    .sin_port = htons((uint16_t)f->entries[entry].clients_port)};
	int s = socket(AF_INET, SOCK_STREAM, 0);
	char *body = job_body(f, spec, tasks, size_ms);
	char *request = g_strdup_printf("POST " PATH_PREFIX
					"%s HTTP/1.1\r\nHost: 127.0.0.1\r\n"
					"Content-Length: %zu\r\n\r\n%s",
	    id, strlen(body), body);

	assert_int_equal(0, connect(s, (struct sockaddr *)&to, sizeof(to)));
	assert_int_equal(strlen(request), send(s, request, strlen(request), 0));
	g_free(request);
	free(body);
	return (s);
}

int
hf_submit(struct hf *f, unsigned entry, const char *id, const char *spec,
    unsigned tasks, unsigned size_ms, json_t **answer)
{
	char *body = job_body(f, spec, tasks, size_ms);
	char *path = g_strconcat(PATH_PREFIX, id, NULL);
	int status;

	status = hn_http(
	    "POST", f->entries[entry].clients_port, path, body, NULL, answer);
	g_free(path);
	free(body);
	return (status);
}

/* Submits a job as a client does: without an answer, again at another entry. */
static void
send_job(void *item, void *arg)
{
	struct hf_job *job = item;
	struct hf *f = arg;
	unsigned size = job->tasks > 3 ? 60 : 150;
	uint64_t start = hn_mono_ms();
	json_t *answer = NULL;
	char spec[64];

	snprintf(spec, sizeof(spec), "run_ms=%u cpu=%d", size, TASK_CPU);
	job->refused = true;
	while (job->tries < TRIES_MAX) {
		unsigned entry =
		    (unsigned)(job->id[15] + job->tries) % f->nentries;

		job->tries++;
		job->status = hf_submit(
		    f, entry, job->id, spec, job->tasks, size, &answer);
		job->completed = job->status == 200 &&
		    strcmp(hn_json_text(answer, "state"), "completed") == 0;
		json_decref(answer);
		answer = NULL;
		if (job->status != 429 && job->status != 503)
			job->refused = false;
		if (job->status != 0 && job->status != 504)
			break;
		hn_sleep_ms(RETRY_DELAY_MS);
	}
	job->took_ms = hn_mono_ms() - start;
}

static void *
run_load(void *arg)
{
	struct hf *f = arg;
	struct hf_job *job;
	int n;

	while (!g_atomic_int_get(&f->load_stopped) && f->njobs < HF_JOBS_MAX) {
		n = g_atomic_int_add(&f->njobs, 1);
		job = &f->jobs[n];
		snprintf(job->id, sizeof(job->id), "%016x", n + 1);
		job->tasks = n % 4 == 0 ? 8 : 2;
		g_thread_pool_push(f->senders, job, NULL);
		g_usleep(G_USEC_PER_SEC / f->per_s);
	}
	return (NULL);
}

void
hf_start_load(struct hf *f, unsigned per_s)
{
	f->per_s = per_s;
	f->senders = g_thread_pool_new(send_job, f, SENDERS, TRUE, NULL);
	f->loader = g_thread_new("load", run_load, f);
}

const struct hf_job *
hf_stop_load(struct hf *f, unsigned *n)
{
	g_atomic_int_set(&f->load_stopped, 1);
	g_thread_join(f->loader);
	g_thread_pool_free(f->senders, FALSE, TRUE);
	f->loader = NULL;
	*n = (unsigned)f->njobs;
	return (f->jobs);
}

void
hf_free(struct hf *f)
{
	unsigned n;

	if (f == NULL)
		return;
	if (f->loader != NULL)
		(void)hf_stop_load(f, &n);
	g_free(f->log);
	g_mutex_clear(&f->lock);
	g_free(f);
}

/* --- log of the endpoints --- */

/* The process that wrote a line of the log, released with g_free(). Processes
 * of one endpoint may overlap. */
static char *
writer_of(char **part)
{
	return (g_strdup_printf("%s (%s)", part[2], part[3]));
}

/* Counts one line of the log. @running maps active tasks to the processes that
 * run them. */
static void
count_run(
    char **part, GHashTable *running, GHashTable *refused, struct hf_runs *out)
{
	g_autofree char *minion = writer_of(part);
	const char *what = part[1], *task = part[4];
	const char *at = g_hash_table_lookup(running, task);
	char id[17];

	if (strcmp(what, "start") == 0) {
		out->starts++;
		if (at != NULL) {
			out->concurrent++;
			print_message("%s: %s runs at %s and %s\n", part[0],
			    task, at, minion);
		}
		g_strlcpy(id, task, sizeof(id));
		if (g_hash_table_contains(refused, id)) {
			out->refused_started++;
			print_message("%s was refused and started\n", task);
		}
		g_hash_table_insert(running, g_strdup(task), g_strdup(minion));
		return;
	}
	out->expired += strcmp(what, "lapsed") == 0;
	if (at != NULL && strcmp(at, minion) == 0)
		g_hash_table_remove(running, task);
}

static gboolean
is_minion(void *key, void *value, void *minion)
{
	(void)key;
	return (strcmp(value, minion) == 0);
}

struct hf_runs
hf_check_runs(struct hf *f, const struct hf_job *jobs, unsigned njobs)
{
	GHashTable *running =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTable *refused = g_hash_table_new(g_str_hash, g_str_equal);
	struct hf_runs out = {0};
	char *text = NULL, *killed, **lines, **part;
	unsigned i;

	for (i = 0; i < njobs; i++)
		if (jobs[i].refused)
			g_hash_table_add(
			    refused, (char *)(uintptr_t)jobs[i].id);
	assert_true(g_file_get_contents(f->log, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i] != NULL; i++) {
		part = g_strsplit(lines[i], "\t", 6);
		if (g_strv_length(part) == 6) {
			if (strcmp(part[1], "killed") == 0) {
				killed = writer_of(part);
				g_hash_table_foreach_remove(
				    running, is_minion, killed);
				g_free(killed);
			} else {
				count_run(part, running, refused, &out);
			}
		}
		g_strfreev(part);
	}
	g_strfreev(lines);
	g_free(text);
	g_hash_table_destroy(running);
	g_hash_table_destroy(refused);
	return (out);
}

/* Number of starts at each worker after a time. */
static void
count_starts(struct hf *f, uint64_t after_ms, unsigned n[HF_NODES_MAX])
{
	char *text = NULL, **lines, **part;
	unsigned i, worker;

	memset(n, 0, HF_NODES_MAX * sizeof(*n));

	assert_true(g_file_get_contents(f->log, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (i = 0; lines[i] != NULL; i++) {
		part = g_strsplit(lines[i], "\t", 6);
		if (g_strv_length(part) == 6 && strcmp(part[1], "start") == 0 &&
		    g_ascii_strtoull(part[0], NULL, 10) > after_ms) {
			worker =
			    (unsigned)g_ascii_strtoull(part[2] + 1, NULL, 10);
			n[worker]++;
		}
		g_strfreev(part);
	}
	g_strfreev(lines);
	g_free(text);
}

unsigned
hf_starts_in_zone(struct hf *f, const char *az, uint64_t after_ms)
{
	unsigned starts[HF_NODES_MAX], i, n = 0;

	count_starts(f, after_ms, starts);
	for (i = 0; i < f->nworkers; i++)
		n += strcmp(f->workers[i].az, az) == 0 ? starts[i] : 0;
	return (n);
}

unsigned
hf_starts_at(struct hf *f, unsigned i, uint64_t after_ms)
{
	unsigned starts[HF_NODES_MAX];

	count_starts(f, after_ms, starts);
	return (starts[i]);
}
