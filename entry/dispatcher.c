#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "config.h"
#include "counters.h"
#include "dispatcher.h"
#include "event.h"
#include "exits.h"
#include "feed.h"
#include "fleet.h"
#include "front.h"
#include "gossip.h"
#include "jobs.h"
#include "log.h"
#include "process.h"
#include "rng.h"
#include "scrape.h"
#include "settings.h"
#include "workers.h"

#define TICK_MS 20
#define US_PER_MS 1000
/* The balancer takes this entry out after two missed probes, one a second;
 * until then new connections arrive. */
#define DRAIN_MIN_MS 3600
/* Connections without a request are closed after this time: a request that
 * comes just before still ends within its 1.5 s. */
#define CLOSE_IDLE_MS 3500
/* The platform kills the process 6 s after SIGTERM. */
#define DRAIN_MAX_MS 5500
/* One in so many jobs that end in time is logged with all its steps. */
#define SAMPLE 32
#define AT(field) offsetof(struct settings, field)

struct settings {
	char *cell;
	char *name;
	char *az;
	char *clients;
	char *probes;
	char *rpc;
	char *advertised;
	char *metrics;
	struct st_strings addresses;
	struct st_strings seeds;
	char *store;
	char *log_level;
};

static const struct st_key keys[] = {
    {"cell", ST_STRING, AT(cell), 1, PD_NAME_MAX, "default", NULL,
	"name of the cell, the same at all its entries and agents"},
    {"name", ST_STRING, AT(name), 1, PD_NAME_MAX, NULL, NULL,
	"name of this entry"},
    {"availability_zone", ST_STRING, AT(az), 1, PD_NAME_MAX, NULL, NULL,
	"availability zone of this host"},
    {"listen.clients", ST_STRING, AT(clients), 9, 21, NULL, NULL,
	"IP:port for clients"},
    {"listen.probes", ST_STRING, AT(probes), 9, 21, NULL, NULL,
	"IP:port for the balancer's probes"},
    {"listen.rpc", ST_STRING, AT(rpc), 9, 21, NULL, NULL,
	"IP:port for agents and other entries"},
    {"listen.advertised", ST_STRING, AT(advertised), 0, 21, "", NULL,
	"IP:port by which agents and entries reach listen.rpc; empty for it"},
    {"listen.metrics", ST_STRING, AT(metrics), 0, 21, "", NULL,
	"IP:port of the metrics; empty for none"},
    {"entries.addresses", ST_STRINGS, AT(addresses), 0, PD_ENTRIES_MAX, "",
	NULL, "RPC addresses of other entries, IP:port"},
    {"entries.seeds", ST_STRINGS, AT(seeds), 0, PD_ENTRIES_MAX, "", NULL,
	"addresses of other entries; their RPC port is that of listen.rpc"},
    {"platform.store", ST_STRING, AT(store), 9, 21, NULL, NULL,
	"IP:port of the platform's store"},
    {"log.level", ST_STRING, AT(log_level), 1, 16, "info",
	"err|warning|notice|info|debug", "least severe level to log"},
};

struct di {
	struct settings settings;
	struct event_base *base;
	struct ck *clock;
	struct ct *counters;
	struct cf *config;
	struct fl *fleet;
	struct jb *jobs;
	struct wo *workers;
	struct go *gossip;
	struct fr *front;
	struct fe *feed;
	struct sc *metrics;
	struct event *tick;
	struct pr_signals *signals;
	const char *path; /* of the settings */
	GPtrArray *seeds; /* RPC addresses, owned */
	uint64_t jobs_logged;
	uint64_t stopping_ms; /* when the stop was asked for; 0: not */
};

/* --- outputs of the jobs --- */

static void
on_start(void *arg, struct fl_worker *w, const struct pd_start *s)
{
	struct di *d = arg;
	struct pd_start copy = *s;

	wo_start(d->workers, w, &copy);
}

static void
on_withdraw(void *arg, struct fl_worker *w, const struct pd_key *k)
{
	struct di *d = arg;

	wo_withdraw(d->workers, w, k);
}

static void
on_reconcile(
    void *arg, struct fl_worker *w, const struct pd_key *list, unsigned n)
{
	struct di *d = arg;

	wo_reconcile(d->workers, w, list, n);
}

static void
on_answer(void *arg, uint64_t waiter, const struct jb_answer *a)
{
	struct di *d = arg;

	fr_answer(d->front, waiter, a);
}

#define STEP "{s:s,s:i,s:i,s:i,s:s*,s:"

/* The fields of a step are named after its kind, which may have none. */
static void
log_step(const struct jb_answer *job, const struct tr_event *s)
{
	const char *a = tr_field_a(s->kind), *b = tr_field_b(s->kind);
	const char *format = b != NULL ? STEP "{s:i,s:i}}"
	    : a != NULL                ? STEP "{s:i}}"
				       : STEP "{}}";

	ev_write_detail("jobs", tr_name(s->kind), format, "job", job->id,
	    "at_ms", (int)s->at_ms, "task", (int)s->task, "attempt",
	    (int)s->attempt, "worker", s->worker, "because", a, s->a, b, s->b);
}

/* First step that is not as it should be, NULL for none. */
static const struct tr_event *
first_trouble(const struct jb_answer *a)
{
	unsigned i;

	for (i = 0; i < a->ntrace; i++)
		if (tr_is_problem(a->trace[i].kind))
			return (&a->trace[i]);
	return (NULL);
}

/* All steps of jobs that did not end well and in time, and of a sample. When
 * many jobs end so at once, their first trouble is told, and the steps of
 * some. */
static void
on_job_ended(void *arg, const struct jb_answer *a)
{
	const struct tr_event *first = first_trouble(a);
	struct di *d = arg;
	unsigned i;

	if (a->status == JB_COMPLETED && a->late_ms == 0 &&
	    ++d->jobs_logged % SAMPLE != 0)
		return;
	ev_write("jobs", "answered",
	    "{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:I,s:s*,s:s*}", "job", a->id,
	    "queue", a->queue, "status", jb_status_name(a->status), "reason",
	    jb_reason_name(a->reason), "took_ms", (int)a->took_ms, "late_ms",
	    (int)a->late_ms, "workers", (int)fl_usable_count(d->fleet),
	    "config", (json_int_t)cf_revision(d->config), "trouble",
	    first == NULL ? NULL : tr_name(first->kind), "trouble_worker",
	    first == NULL ? NULL : first->worker);
	for (i = 0; i < a->ntrace; i++)
		log_step(a, &a->trace[i]);
}

static const struct jb_ops job_ops = {
    .start = on_start,
    .withdraw = on_withdraw,
    .reconcile = on_reconcile,
    .answer = on_answer,
    .ended = on_job_ended,
};

/* --- clients --- */

static bool
front_configured(void *arg)
{
	struct di *d = arg;

	return (cf_revision(d->config) != 0);
}

static bool
front_starting(void *arg)
{
	struct di *d = arg;

	return (fl_is_warming_up(d->fleet));
}

static const struct pd_queue *
front_match(void *arg, const char *host, const char *path)
{
	struct di *d = arg;

	return (cf_match(d->config, host, path));
}

static void
refuse(
    struct di *d, uint64_t waiter, const struct fr_job *job, const char *reason)
{
	lg_write(LOG_NOTICE, "jobs", "job %s is refused: %s", job->request.id,
	    reason);
	ct_increment(d->counters, "pd_jobs_not_done_total",
	    "Transient jobs refused or given up", "reason", reason);
	fr_refuse(d->front, waiter, reason);
}

static void
front_submit(void *arg, uint64_t waiter, const struct fr_job *job)
{
	struct di *d = arg;

	if (job->durable)
		refuse(d, waiter, job, "kept_jobs_unsupported");
	else if (job->unsupported != NULL)
		refuse(d, waiter, job, "ability_unsupported");
	else
		jb_submit(d->jobs, &job->request, waiter);
}

static void
on_cancelled(void *arg, uint64_t waiter, bool known)
{
	struct di *d = arg;

	fr_answer_cancel(d->front, waiter, known);
}

static void
front_cancel(void *arg, uint64_t waiter, const char *id)
{
	struct di *d = arg;

	if (jb_cancel(d->jobs, id))
		fr_answer_cancel(d->front, waiter, true);
	else
		go_cancel(d->gossip, id, on_cancelled, d, waiter);
}

static void
front_gone(void *arg, uint64_t waiter)
{
	struct di *d = arg;

	jb_remove_waiter(d->jobs, waiter);
}

static unsigned
front_waiting(void *arg, const char *queue)
{
	struct di *d = arg;

	return (
	    jb_waiting_count(d->jobs, queue) + go_waiting(d->gossip, queue));
}

static bool
front_ready(void *arg)
{
	struct di *d = arg;

	return (d->stopping_ms == 0 && front_configured(d));
}

static const struct fr_ops front_ops = {
    .has_config = front_configured,
    .config_expected = front_starting,
    .find_queue = front_match,
    .submit = front_submit,
    .cancel = front_cancel,
    .client_closed = front_gone,
    .waiting = front_waiting,
    .ready = front_ready,
};

/* --- configuration --- */

static void
apply(struct di *d, const struct pd_config *c, const char *source)
{
	if (!cf_apply(d->config, c))
		return;
	lg_write(LOG_NOTICE, "config",
	    "revision %llu from %s: %u queues, %u availability zones out",
	    (unsigned long long)c->revision, source, c->queues.queues_len,
	    c->evacuated.evacuated_len);
	fr_set_limits(d->front, c->header_bytes, c->body_bytes);
	fr_resume_waiting(d->front);
}

static void
on_feed(void *arg, const struct pd_config *c)
{
	apply(arg, c, "the store");
}

static void
on_store_state(void *arg, bool answers)
{
	struct di *d = arg;

	ct_set(ct_get(d->counters, CT_GAUGE, "pd_store_answers",
		   "1 while the platform's store answers", ""),
	    answers);
}

static const struct fe_ops feed_ops = {
    .config = on_feed,
    .store_reachable = on_store_state,
};

static void
gossip_config(void *arg, const struct pd_config *c)
{
	apply(arg, c, "another entry");
}

static unsigned
gossip_waiting(void *arg, const char *queue)
{
	struct di *d = arg;

	return (jb_waiting_count(d->jobs, queue));
}

static bool
gossip_cancel(void *arg, const char *id)
{
	struct di *d = arg;

	return (jb_cancel(d->jobs, id));
}

static const struct go_ops gossip_ops = {
    .config = gossip_config,
    .waiting = gossip_waiting,
    .cancel = gossip_cancel,
};

/* --- agents and entries --- */

static const char *const *
workers_entries(void *arg, unsigned *n, uint32_t *hash)
{
	struct di *d = arg;

	return (go_entries(d->gossip, n, hash));
}

static void
workers_call(void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	struct di *d = arg;

	go_call(d->gossip, c, proc, xid, args);
}

static const struct wo_ops worker_ops = {
    .entries = workers_entries,
    .call = workers_call,
};

/* --- the process --- */

static void
refresh_gauges(void *arg)
{
	struct di *d = arg;

	ct_set(ct_get(d->counters, CT_GAUGE, "pd_jobs_active",
		   "Transient jobs without an answer", ""),
	    jb_active_count(d->jobs));
	ct_set(ct_get(d->counters, CT_GAUGE, "pd_workers_usable",
		   "Workers that take work", ""),
	    fl_usable_count(d->fleet));
	ct_set(ct_get(d->counters, CT_GAUGE, "pd_config_revision",
		   "Configuration in force", ""),
	    (int64_t)cf_revision(d->config));
}

static void
check_stop(struct di *d)
{
	uint64_t took = ck_mono_ms(d->clock) - d->stopping_ms;

	if (took > CLOSE_IDLE_MS)
		fr_close_idle(d->front);
	if ((took > DRAIN_MIN_MS && fr_pending(d->front) == 0) ||
	    took > DRAIN_MAX_MS)
		event_base_loopbreak(d->base);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct di *d = arg;

	(void)fd;
	(void)what;
	jb_tick(d->jobs);
	if (!front_configured(d) && !front_starting(d))
		fr_resume_waiting(d->front);
	if (d->stopping_ms != 0)
		check_stop(d);
}

static GPtrArray *
read_seeds(const struct settings *s)
{
	const char *port = strrchr(s->rpc, ':');

	return (pr_seed_addresses(
	    &s->addresses, &s->seeds, port == NULL ? "" : port + 1));
}

static bool
load(const char *path, struct settings *s)
{
	return (
	    pr_load_settings("pimentodock", path, keys, G_N_ELEMENTS(keys), s));
}

/* Takes what can change while the process runs. A file that is not valid, or
 * changes an address, leaves the settings as they are. */
static void
reload(struct di *d)
{
	struct settings s = {0};
	GPtrArray *seeds;
	guint i;

	if (!load(d->path, &s)) {
		lg_write(LOG_ERR, "dispatch",
		    "SIGHUP: the settings are not valid, the old ones stay");
		return;
	}
	if (strcmp(s.clients, d->settings.clients) != 0 ||
	    strcmp(s.probes, d->settings.probes) != 0 ||
	    strcmp(s.rpc, d->settings.rpc) != 0 ||
	    strcmp(s.store, d->settings.store) != 0)
		lg_write(LOG_WARNING, "dispatch",
		    "SIGHUP: addresses change at the next start only");
	lg_open("pimentodock", lg_level(s.log_level));
	seeds = read_seeds(&s);
	for (i = 0; i < seeds->len; i++)
		go_seed(d->gossip, seeds->pdata[i]);
	g_ptr_array_free(seeds, TRUE);
	st_release(keys, G_N_ELEMENTS(keys), &s);
	lg_write(LOG_NOTICE, "dispatch", "SIGHUP: settings read");
}

static void
on_signal(evutil_socket_t signal, short what, void *arg)
{
	struct di *d = arg;

	(void)what;
	if (signal == SIGHUP) {
		reload(d);
		return;
	}
	if (d->stopping_ms != 0)
		return;
	lg_write(LOG_NOTICE, "dispatch", "signal %d: stopping, %u jobs",
	    (int)signal, jb_active_count(d->jobs));
	d->stopping_ms = ck_mono_ms(d->clock);
	fr_drain(d->front);
}

static void
start_gossip(struct di *d, uint64_t incarnation)
{
	struct go_self self = {
	    .cell = d->settings.cell,
	    .name = d->settings.name,
	    .incarnation = incarnation,
	    .address = d->settings.advertised[0] != '\0'
		? d->settings.advertised
		: d->settings.rpc,
	    .seeds = (const char *const *)d->seeds->pdata,
	    .nseeds = d->seeds->len,
	};

	d->gossip = go_new(d->base, d->clock, d->config, &self, &gossip_ops, d);
}

static bool
start(struct di *d)
{
	struct rn *rng = rn_new_random();
	struct wo_self self = {
	    .cell = d->settings.cell,
	    .name = d->settings.name,
	    .incarnation = rn_u64(rng),
	};

	d->clock = ck_new_system();
	d->counters = ct_new();
	d->config = cf_new();
	d->fleet = fl_new(d->clock, d->counters, d->config, rn_u64(rng));
	rn_free(rng);
	d->jobs = jb_new(d->clock, d->counters, d->fleet, &job_ops, d);
	d->seeds = read_seeds(&d->settings);
	d->workers =
	    wo_new(d->base, d->settings.rpc, &self, d->fleet, &worker_ops, d);
	d->front = fr_new(d->base, d->clock, d->settings.clients,
	    d->settings.probes, &front_ops, d);
	if (d->workers == NULL || d->front == NULL)
		return (false);
	wo_set_jobs(d->workers, d->jobs);
	start_gossip(d, self.incarnation);
	d->feed = fe_new(d->base, d->settings.store, &feed_ops, d);
	if (d->settings.metrics[0] == '\0')
		return (true);
	d->metrics = sc_new(
	    d->base, d->settings.metrics, d->counters, refresh_gauges, d);
	return (d->metrics != NULL);
}

static void
start_events(struct di *d)
{
	struct timeval tv = {0, TICK_MS * US_PER_MS};

	d->signals = pr_signals_new(d->base, on_signal, d);
	d->tick = event_new(d->base, -1, EV_PERSIST, on_tick, d);
	event_add(d->tick, &tv);
}

static void
stop(struct di *d)
{
	pr_signals_free(d->signals);
	if (d->tick != NULL)
		event_free(d->tick);
	fe_free(d->feed);
	go_free(d->gossip);
	wo_free(d->workers);
	fr_free(d->front);
	sc_free(d->metrics);
	jb_free(d->jobs);
	fl_free(d->fleet);
	cf_free(d->config);
	ct_free(d->counters);
	ck_free(d->clock);
	if (d->seeds != NULL)
		g_ptr_array_free(d->seeds, TRUE);
	/* A connection that was just closed is freed by its last callback. */
	event_base_loop(d->base, EVLOOP_NONBLOCK);
	event_base_free(d->base);
}

int
di_check(const char *path)
{
	struct settings s = {0};

	if (!load(path, &s))
		return (EX_SETTINGS);
	st_release(keys, G_N_ELEMENTS(keys), &s);
	return (EX_DONE);
}

int
di_run(const char *path)
{
	struct di d = {.path = path};
	int result = EX_FAILED;

	if (!load(path, &d.settings))
		return (EX_SETTINGS);
	json_object_seed(0);
	lg_open("pimentodock", lg_level(d.settings.log_level));
	ev_open("entry");
	d.base = event_base_new();
	if (start(&d)) {
		start_events(&d);
		lg_write(LOG_NOTICE, "dispatch",
		    "entry %s serves clients on %s", d.settings.name,
		    d.settings.clients);
		event_base_dispatch(d.base);
		result = EX_DONE;
	}
	stop(&d);
	st_release(keys, G_N_ELEMENTS(keys), &d.settings);
	lg_write(LOG_NOTICE, "dispatch", "stopped");
	return (result);
}
