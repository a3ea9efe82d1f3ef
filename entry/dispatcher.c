#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "bounds.h"
#include "claims.h"
#include "clock.h"
#include "config.h"
#include "counters.h"
#include "dispatch_gauges.h"
#include "dispatch_settings.h"
#include "dispatcher.h"
#include "event.h"
#include "exits.h"
#include "feed.h"
#include "fleet.h"
#include "front.h"
#include "gossip.h"
#include "job_log.h"
#include "jobs.h"
#include "lease.h"
#include "log.h"
#include "process.h"
#include "rng.h"
#include "scrape.h"
#include "settings.h"
#include "workers.h"

#define TICK_MS 20
#define US_PER_MS 1000
/* The load balancer probes once a second and stops sending new connections to
 * this entry after two failed probes. */
#define DRAIN_MIN_MS 3600
/* Connections without a request in progress are closed this long after the
 * signal. A request that arrives just before still has 1.9 s. */
#define CLOSE_IDLE_AFTER_MS 3500
/* The platform kills the process 6 s after SIGTERM. */
#define DRAIN_MAX_MS 5500
/* The last jobs are given up so long before, to send their answers. */
#define DRAIN_ANSWER_MS 100
/* A job is asked for at the other entries if its deadline is longer than this
 * many times clients.resubmit_ms. One with a shorter deadline has all but ended
 * when its client submits it again. */
#define CLAIM_RESUBMISSIONS 2
/* Shares of the connections, in thousandths. Agents and entries have the most
 * connections; clients have at most 18 for each zone. */
#define RPC_SHARE 625
#define CLIENTS_SHARE 250
#define PROBES_SHARE 62
#define METRICS_SHARE 62

struct di {
	struct ds_settings settings;
	struct bd_limits limits;
	struct bd *bounds;
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
	const char *path; /* of the settings file */
	GPtrArray *seeds; /* RPC addresses, owned */
	struct cw *claims;
	struct jl job_log;
	bool store_reachable;
	uint64_t store_asked_ms; /* when the feed sent its last request */
	bool has_workers;        /* to go on with, as of the last tick */
	uint64_t stopping_ms;    /* when the stop signal arrived, 0 before */
};

/* --- callbacks of the jobs --- */

static void
send_start(void *arg, struct fl_worker *w, const struct pd_start *s)
{
	struct di *d = arg;
	struct pd_start copy = *s;

	wo_send_start(d->workers, w, &copy);
}

static void
send_withdraw(void *arg, struct fl_worker *w, const struct pd_key *k)
{
	struct di *d = arg;

	wo_send_withdraw(d->workers, w, k);
}

static void
send_take_back(
    void *arg, struct fl_worker *w, const struct pd_key *list, unsigned n)
{
	struct di *d = arg;

	wo_send_take_back(d->workers, w, list, n);
}

static void
send_reconcile(
    void *arg, struct fl_worker *w, const struct pd_key *list, unsigned n)
{
	struct di *d = arg;

	wo_reconcile(d->workers, w, list, n);
}

static void
send_answer(void *arg, uint64_t waiter, const struct jb_answer *a)
{
	struct di *d = arg;

	fr_answer(d->front, waiter, a);
}

static void
on_job_ended(void *arg, const struct jb_answer *a)
{
	struct di *d = arg;

	if (jl_is_logged(&d->job_log, a))
		jl_write(a, fl_usable_count(d->fleet), cf_revision(d->config));
}

static const struct jb_ops job_ops = {
    .start = send_start,
    .withdraw = send_withdraw,
    .take_back = send_take_back,
    .reconcile = send_reconcile,
    .answer = send_answer,
    .ended = on_job_ended,
};

/* --- callbacks of the HTTP interface for clients --- */

static bool
front_has_config(void *arg)
{
	struct di *d = arg;

	return (cf_complete(d->config));
}

static bool
front_config_expected(void *arg)
{
	struct di *d = arg;

	return (fl_is_warming_up(d->fleet));
}

static const struct pd_queue *
front_find_queue(void *arg, const char *host, const char *path)
{
	struct di *d = arg;
	const struct pd_queue *q = cf_match(d->config, host, path);

	if (q != NULL || !front_has_config(d))
		return (q);
	ct_add(
	    ct_get(d->counters, CT_COUNTER, "pd_requests_without_queue_total",
		"Requests that match no queue of the configuration", ""),
	    1);
	ev_write_detail("front", "no_queue", "{s:s,s:s,s:I,s:i}", "host", host,
	    "path", path, "config", (json_int_t)cf_revision(d->config),
	    "queues", (int)cf_current(d->config)->queues.queues_len);
	return (NULL);
}

static void
refuse_job(
    struct di *d, uint64_t waiter, const struct fr_job *job, const char *reason)
{
	lg_write(LOG_NOTICE, "jobs", "job %s is refused: %s", job->request.id,
	    reason);
	ct_increment(d->counters, "pd_jobs_not_done_total",
	    "Transient jobs refused or given up", "reason", reason);
	fr_refuse(d->front, waiter, reason);
}

static void
resume_request(void *arg, uint64_t waiter)
{
	struct di *d = arg;

	fr_resume(d->front, waiter);
}

static void
answer_cancelled(void *arg, uint64_t waiter)
{
	static const struct jb_answer cancelled = {.status = JB_CANCELLED};
	struct di *d = arg;

	fr_answer(d->front, waiter, &cancelled);
}

static void
answer_released(void *arg, uint64_t waiter)
{
	static const struct jb_answer released = {
	    .status = JB_GAVE_UP, .reason = JB_R_CONTACT};
	struct di *d = arg;

	fr_answer(d->front, waiter, &released);
}

static void
on_claimed(void *arg, uint64_t number, bool may_run)
{
	struct di *d = arg;

	/* Calls that are pending when the process stops end then. */
	if (d->claims == NULL)
		return;
	if (may_run)
		lg_write(LOG_NOTICE, "jobs",
		    "taking over a job of another entry: waiting %d ms for "
		    "the end of its runs",
		    LE_UNREACHABLE_MS);
	cw_answered(d->claims, number, may_run);
}

/*
 * Whether another entry may have a job that is submitted to this one. Its
 * client may have lost a connection that the other entry still takes for open,
 * for example if a proxy keeps it.
 */
static bool
must_claim(const struct di *d, const struct fr_job *job)
{
	if (cw_contains(d->claims, job->request.id))
		return (true);
	return (!job->resumed && !jb_is_active(d->jobs, job->request.id) &&
	    jb_limit_ms(&job->request) >
		CLAIM_RESUBMISSIONS * d->settings.resubmit_ms);
}

static void
claim(struct di *d, uint64_t waiter, const char *id)
{
	uint64_t number;

	if (cw_add(d->claims, id, waiter, &number))
		go_claim(d->gossip, id, on_claimed, d, number);
}

static void
front_submit(void *arg, uint64_t waiter, const struct fr_job *job)
{
	struct di *d = arg;

	if (job->durable)
		refuse_job(d, waiter, job, "kept_jobs_unsupported");
	else if (job->unsupported != NULL)
		refuse_job(d, waiter, job, "ability_unsupported");
	else if (must_claim(d, job))
		claim(d, waiter, job->request.id);
	else
		jb_submit(d->jobs, &job->request, waiter);
}

static void
on_gossip_cancelled(void *arg, uint64_t waiter, bool known)
{
	struct di *d = arg;

	fr_answer_cancel(d->front, waiter, known);
}

static void
on_others_told(void *arg, uint64_t waiter, bool known)
{
	(void)arg;
	(void)waiter;
	(void)known;
}

/* Another entry may still have a job that waits here, if it was not in reach
 * when it was asked to give it up. */
static void
front_cancel(void *arg, uint64_t waiter, const char *id)
{
	struct di *d = arg;

	if (jb_cancel(d->jobs, id)) {
		fr_answer_cancel(d->front, waiter, true);
	} else if (cw_remove(d->claims, id, answer_cancelled)) {
		fr_answer_cancel(d->front, waiter, true);
		go_cancel(d->gossip, id, on_others_told, d, waiter);
	} else {
		go_cancel(d->gossip, id, on_gossip_cancelled, d, waiter);
	}
}

static void
front_client_gone(void *arg, uint64_t waiter, enum fr_end end)
{
	struct di *d = arg;

	ct_increment(d->counters, "pd_clients_gone_total",
	    "Clients that did not wait for the response, by the end of their "
	    "connection",
	    "end", fr_end_name(end));
	jb_remove_waiter(d->jobs, waiter);
}

static unsigned
front_waiting_count(void *arg, const char *queue)
{
	struct di *d = arg;

	return (jb_waiting_count(d->jobs, queue) +
	    go_waiting_count(d->gossip, queue));
}

/* Without workers every job is refused, so clients are better served elsewhere.
 * If no entry has any, the load balancer uses all entries. */
static bool
front_ready(void *arg)
{
	struct di *d = arg;

	return (d->stopping_ms == 0 && front_has_config(d) && d->has_workers);
}

static const struct fr_ops front_ops = {
    .has_config = front_has_config,
    .config_expected = front_config_expected,
    .find_queue = front_find_queue,
    .submit = front_submit,
    .cancel = front_cancel,
    .client_gone = front_client_gone,
    .waiting_count = front_waiting_count,
    .ready = front_ready,
};

/* --- configuration --- */

static void
apply_config(struct di *d, const struct pd_config *c, const char *source)
{
	uint64_t zones_revision = cf_zones_revision(d->config);
	const struct pd_config *current;

	if (!cf_apply(d->config, c))
		return;
	current = cf_current(d->config);
	lg_write(LOG_NOTICE, "config",
	    "from %s: revision %llu, %u queues; zones of revision %llu, %u out",
	    source, (unsigned long long)current->revision,
	    current->queues.queues_len,
	    (unsigned long long)current->zones_revision,
	    current->evacuated.evacuated_len);
	if (current->zones_revision != zones_revision)
		wo_send_zones(d->workers);
	jb_zones_changed(d->jobs);
	fr_set_limits(d->front, current->header_bytes, current->body_bytes);
	if (cf_complete(d->config))
		fr_resume_waiting(d->front);
}

static void
feed_config(void *arg, const struct pd_config *c)
{
	apply_config(arg, c, "the store");
}

static void
feed_config_unchanged(
    void *arg, uint64_t revision, uint64_t zones_revision, unsigned waited_ms)
{
	struct di *d = arg;
	uint64_t now = ck_mono_ms(d->clock);

	cf_confirm(d->config, revision, zones_revision);
	if (zones_revision != 0)
		cf_confirm_zones(
		    d->config, MIN(d->store_asked_ms + waited_ms, now));
}

static void
feed_requested(void *arg)
{
	struct di *d = arg;

	d->store_asked_ms = ck_mono_ms(d->clock);
}

static void
feed_config_rejected(void *arg)
{
	struct di *d = arg;

	ct_add(ct_get(d->counters, CT_COUNTER, "pd_configs_rejected_total",
		   "Queues or zones that cannot be read or exceed a limit", ""),
	    1);
}

static void
feed_store_reachable(void *arg, bool reachable)
{
	struct di *d = arg;

	d->store_reachable = reachable;
	ct_set(ct_get(d->counters, CT_GAUGE, "pd_store_answers",
		   "1 while the platform's store answers", ""),
	    reachable);
}

static const struct fe_ops feed_ops = {
    .config = feed_config,
    .requested = feed_requested,
    .config_unchanged = feed_config_unchanged,
    .config_rejected = feed_config_rejected,
    .store_reachable = feed_store_reachable,
};

static void
gossip_config_received(void *arg, const struct pd_config *c)
{
	apply_config(arg, c, "another entry");
}

static bool
gossip_store_reachable(void *arg)
{
	struct di *d = arg;

	return (d->store_reachable);
}

static GHashTable *
gossip_waiting_counts(void *arg)
{
	struct di *d = arg;

	return (jb_waiting_counts(d->jobs));
}

static bool
gossip_cancel(void *arg, const char *id)
{
	struct di *d = arg;

	return (cw_remove(d->claims, id, answer_cancelled) ||
	    jb_cancel(d->jobs, id));
}

static bool
gossip_claim(void *arg, const char *id)
{
	struct di *d = arg;

	if (cw_remove(d->claims, id, answer_released))
		return (true);
	return (jb_release(d->jobs, id));
}

static unsigned
gossip_run_times(void *arg, struct pd_run_times *list, unsigned max)
{
	struct di *d = arg;

	return (jb_export_run_times(d->jobs, list, max));
}

static void
gossip_run_times_received(
    void *arg, const char *sender, const struct pd_run_times *list, unsigned n)
{
	struct di *d = arg;

	jb_merge_run_times(d->jobs, sender, list, n);
}

static const struct go_ops gossip_ops = {
    .config_received = gossip_config_received,
    .store_reachable = gossip_store_reachable,
    .waiting_counts = gossip_waiting_counts,
    .cancel = gossip_cancel,
    .claim = gossip_claim,
    .run_times = gossip_run_times,
    .run_times_received = gossip_run_times_received,
};

/* --- callbacks of the RPC listener --- */

static const char *const *
workers_entry_addresses(void *arg, unsigned *n, uint32_t *hash)
{
	struct di *d = arg;

	return (go_addresses(d->gossip, n, hash));
}

static void
workers_entry_call(
    void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	struct di *d = arg;

	go_handle_call(d->gossip, c, proc, xid, args);
}

static struct pd_zones_known
workers_zones_known(void *arg)
{
	struct di *d = arg;

	return (cf_zones_known(d->config, ck_mono_ms(d->clock)));
}

static struct pd_zones
workers_zones(void *arg)
{
	struct di *d = arg;

	return (cf_zones(d->config));
}

static const struct wo_ops worker_ops = {
    .entry_addresses = workers_entry_addresses,
    .entry_call = workers_entry_call,
    .zones_known = workers_zones_known,
    .zones = workers_zones,
};

/* --- the process --- */

static void
refresh_gauges(void *arg)
{
	struct di *d = arg;

	dg_refresh(d->counters, d->jobs, d->fleet, d->config);
}

static void
continue_drain(struct di *d)
{
	uint64_t elapsed_ms = ck_mono_ms(d->clock) - d->stopping_ms;

	if (elapsed_ms > CLOSE_IDLE_AFTER_MS)
		fr_close_idle(d->front);
	if ((elapsed_ms > DRAIN_MIN_MS && fr_is_drained(d->front)) ||
	    elapsed_ms > DRAIN_MAX_MS)
		event_base_loopbreak(d->base);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct di *d = arg;

	(void)fd;
	(void)what;
	bd_set_jobs_bytes(d->bounds, jb_memory(d->jobs));
	fr_check_clients(d->front);
	cw_tick(d->claims);
	jb_tick(d->jobs);
	d->has_workers =
	    fl_usable_count(d->fleet) > 0 && !fl_is_leaving(d->fleet);
	if (!front_has_config(d) && !front_config_expected(d))
		fr_resume_waiting(d->front);
	if (d->stopping_ms != 0)
		continue_drain(d);
}

static GPtrArray *
read_seeds(const struct ds_settings *s)
{
	const char *port = strrchr(s->rpc, ':');

	return (pr_seed_addresses(
	    &s->addresses, &s->seeds, port == NULL ? "" : port + 1));
}

static bool
logs_all_jobs(const struct ds_settings *s)
{
	return (strcmp(s->log_jobs, "all") == 0);
}

/* Applies the log settings and new addresses of entries. Other changes take
 * effect at the next start, and an invalid file changes nothing. */
static void
reds_load(struct di *d)
{
	struct ds_settings s = {0};
	GPtrArray *seeds;
	guint i;

	if (!ds_load(d->path, &s)) {
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
	d->job_log.all = logs_all_jobs(&s);
	seeds = read_seeds(&s);
	for (i = 0; i < seeds->len; i++)
		go_add_seed(d->gossip, seeds->pdata[i]);
	g_ptr_array_free(seeds, TRUE);
	ds_release(&s);
	lg_write(LOG_NOTICE, "dispatch", "SIGHUP: settings read");
}

static void
on_signal(evutil_socket_t signal, short what, void *arg)
{
	struct di *d = arg;

	(void)what;
	if (signal == SIGHUP) {
		reds_load(d);
		return;
	}
	if (d->stopping_ms != 0)
		return;
	lg_write(LOG_NOTICE, "dispatch", "signal %d: stopping, %u jobs",
	    (int)signal, jb_active_count(d->jobs));
	d->stopping_ms = ck_mono_ms(d->clock);
	jb_stop_at(d->jobs, d->stopping_ms + DRAIN_MAX_MS - DRAIN_ANSWER_MS);
	fr_drain(d->front);
}

static void
start_gossip(struct di *d, uint64_t incarnation)
{
	struct go_identity self = {
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

static void
set_bounds(struct di *d)
{
	d->bounds = bd_new(d->base, d->clock, d->counters, &d->limits);
	jb_set_memory(d->jobs, bd_jobs_bytes_max(d->bounds));
	wo_set_bounds(d->workers, d->bounds, RPC_SHARE);
	fr_set_bounds(d->front, d->bounds, CLIENTS_SHARE, PROBES_SHARE);
}

static bool
start_modules(struct di *d)
{
	struct rn *rng = rn_new_random();
	struct wo_identity self = {
	    .cell = d->settings.cell,
	    .name = d->settings.name,
	    .incarnation = rn_u64(rng),
	};

	d->clock = ck_new_system();
	d->claims = cw_new(d->clock, resume_request, d);
	d->counters = ct_new();
	d->config = cf_new();
	d->fleet = fl_new(d->clock, d->counters, d->config, rn_u64(rng));
	rn_free(rng);
	fl_set_placing(d->fleet,
	    &(struct fl_placing){
		.pooled = strcmp(d->settings.speeds, "individual") != 0,
		.only_equal = strcmp(d->settings.speeds, "auto") == 0,
		.az = d->settings.az});
	d->jobs = jb_new(d->clock, d->counters, d->fleet, &job_ops, d);
	jb_set_run_times(
	    d->jobs, strcmp(d->settings.run_times, "distribution") == 0);
	d->job_log.all = logs_all_jobs(&d->settings);
	if (strcmp(d->settings.contention, "value") == 0)
		jb_admit_by_value(d->jobs);
	d->seeds = read_seeds(&d->settings);
	d->workers =
	    wo_new(d->base, d->settings.rpc, &self, d->fleet, &worker_ops, d);
	d->front = fr_new(d->base, d->clock, d->settings.clients,
	    d->settings.probes, &front_ops, d);
	if (d->workers == NULL || d->front == NULL)
		return (false);
	wo_set_jobs(d->workers, d->jobs);
	set_bounds(d);
	start_gossip(d, self.incarnation);
	d->feed = fe_new(d->base, d->settings.store, &feed_ops, d);
	if (d->settings.metrics[0] == '\0')
		return (true);
	d->metrics = sc_new(
	    d->base, d->settings.metrics, d->counters, refresh_gauges, d);
	if (d->metrics == NULL)
		return (false);
	sc_set_bounds(d->metrics, d->bounds, METRICS_SHARE);
	return (true);
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
stop_modules(struct di *d)
{
	pr_signals_free(d->signals);
	if (d->tick != NULL)
		event_free(d->tick);
	fe_free(d->feed);
	g_clear_pointer(&d->claims, cw_free);
	go_free(d->gossip);
	wo_free(d->workers);
	fr_free(d->front);
	sc_free(d->metrics);
	bd_free(d->bounds);
	jb_free(d->jobs);
	fl_free(d->fleet);
	cf_free(d->config);
	ct_free(d->counters);
	ck_free(d->clock);
	if (d->seeds != NULL)
		g_ptr_array_free(d->seeds, TRUE);
	/* Runs the callbacks that free the connections closed above. */
	event_base_loop(d->base, EVLOOP_NONBLOCK);
	event_base_free(d->base);
}

int
di_check(const char *path)
{
	struct bd_limits limits;
	struct ds_settings s = {0};
	bool valid;

	if (!ds_load(path, &s))
		return (EX_SETTINGS);
	valid = bd_limits_read("pimentodock", &s.limits, &limits);
	ds_release(&s);
	return (valid ? EX_DONE : EX_SETTINGS);
}

int
di_run(const char *path)
{
	struct di d = {.path = path};
	int result = EX_FAILED;

	if (!ds_load(path, &d.settings))
		return (EX_SETTINGS);
	if (!bd_limits_read("pimentodock", &d.settings.limits, &d.limits)) {
		ds_release(&d.settings);
		return (EX_SETTINGS);
	}
	json_object_seed(0);
	lg_open("pimentodock", lg_level(d.settings.log_level));
	ev_open("entry");
	d.base = event_base_new();
	if (start_modules(&d)) {
		start_events(&d);
		lg_write(LOG_NOTICE, "dispatch",
		    "entry %s serves clients on %s", d.settings.name,
		    d.settings.clients);
		event_base_dispatch(d.base);
		result = EX_DONE;
	}
	stop_modules(&d);
	ds_release(&d.settings);
	lg_write(LOG_NOTICE, "dispatch", "stopped");
	return (result);
}
