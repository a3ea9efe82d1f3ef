#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "bounds.h"
#include "clock.h"
#include "counters.h"
#include "event.h"
#include "executor.h"
#include "links.h"
#include "log.h"
#include "orders.h"
#include "process.h"
#include "rng.h"
#include "runner.h"
#include "scrape.h"
#include "settings.h"
#include "zone_reader.h"
#include "zones.h"

#define PART "agent"
#define TICK_MS 20
#define US_PER_MS 1000
/* The platform kills the process 6 s after SIGTERM. */
#define DRAIN_MAX_MS 5500
/* Time to send the reports of the last tasks. */
#define DRAIN_MIN_MS 100
#define EXIT_SETTINGS 2
/* Shares of the connections, in thousandths; the endpoint has a few. */
#define HEARTBEATS_SHARE 250
#define METRICS_SHARE 125
#define AT(field) offsetof(struct settings, field)

struct settings {
	char *cell;
	char *name;
	char *az;
	char *heartbeats;
	char *orders;
	char *metrics;
	struct st_strings addresses;
	struct st_strings seeds;
	int64_t entry_port;
	char *heartbeat_form;
	int64_t evacuate_ms;
	char *store;
	char *log_level;
	struct bd_settings limits;
};

static const struct st_key keys[] = {
    {"cell", ST_STRING, AT(cell), 1, PD_NAME_MAX, "default", NULL,
	"name of the cell, the same at all its entries and agents"},
    {"name", ST_STRING, AT(name), 1, PD_NAME_MAX, NULL, NULL,
	"name of this host"},
    {"availability_zone", ST_STRING, AT(az), 1, PD_NAME_MAX, NULL, NULL,
	"availability zone of this host"},
    {"endpoint.heartbeats", ST_STRING, AT(heartbeats), 9, 21, NULL, NULL,
	"IP:port on which the endpoint reports"},
    {"endpoint.orders", ST_STRING, AT(orders), 9, 21, NULL, NULL,
	"IP:port of the endpoint"},
    {"entries.addresses", ST_STRINGS, AT(addresses), 0, PD_ENTRIES_MAX, "",
	NULL, "RPC addresses of entries, IP:port"},
    {"entries.seeds", ST_STRINGS, AT(seeds), 0, PD_ENTRIES_MAX, "", NULL,
	"addresses of entries; their RPC port is entries.port"},
    {"entries.port", ST_INTEGER, AT(entry_port), 0, 65535, "0", NULL,
	"RPC port of the entries in entries.seeds"},
    {"entries.heartbeats", ST_STRING, AT(heartbeat_form), 1, 16, "full",
	"full|short",
	"whether each heartbeat to an entry describes the endpoint, or only "
	"the first one and changes"},
    {"zones.evacuate_ms", ST_INTEGER, AT(evacuate_ms), 1000, 600000, "5000",
	NULL,
	"time after an evacuation from which nothing may start in the zone"},
    {"platform.store", ST_STRING, AT(store), 0, 21, "", NULL,
	"IP:port of the platform's store, which is asked for evacuations while "
	"no entry answers for them; empty for none"},
    {"listen.metrics", ST_STRING, AT(metrics), 0, 21, "", NULL,
	"IP:port of the metrics; empty for none"},
    {"log.level", ST_STRING, AT(log_level), 1, 16, "info",
	"err|warning|notice|info|debug", "least severe level to log"},
    BD_SETTINGS(AT(limits)),
};

struct ex {
	struct settings settings;
	struct bd_limits limits;
	struct bd *bounds;
	struct event_base *base;
	struct ck *clock;
	struct ct *counters;
	struct ru *runner;
	struct zn *zones;
	enum pd_zone_state zone; /* as passed on to the runner */
	struct zr *zone_reader;  /* NULL without the address of the store */
	struct od *endpoint;
	struct lk *links;
	struct sc *metrics;
	struct event *tick;
	struct pr_signals *signals;
	uint64_t incarnation;
	uint64_t started_ms; /* wall clock */
	char *service;       /* of the endpoint, owned */
	char *endpoint_az;   /* owned */
	GPtrArray *labels;
	uint64_t stop_requested_ms;
	const char *path; /* of the settings */
	bool failed;
};

/* --- outputs of the runner --- */

static void
order_start(void *arg, const struct ru_run *run)
{
	struct ex *e = arg;

	od_start(e->endpoint, run);
}

static void
order_stop(void *arg, const struct ru_run *run)
{
	struct ex *e = arg;

	od_stop(e->endpoint, run);
}

static void
report_end(void *arg, uint64_t entry, const struct pd_end *end)
{
	struct ex *e = arg;

	if (e->links != NULL)
		lk_report_end(e->links, entry, end);
}

static const struct ru_ops runner_ops = {
    .start = order_start,
    .stop = order_stop,
    .ended = report_end,
};

/* --- the endpoint --- */

/* Entries must learn at once that an endpoint joins, leaves or changes. */
static void
send_heartbeats_if_changed(struct ex *e, const struct ru_load *before)
{
	struct ru_load after = ru_load(e->runner);

	if (before->reported.accepting != after.reported.accepting ||
	    before->reported.zone != after.reported.zone ||
	    before->description != after.description)
		lk_send_heartbeats(e->links);
}

static const char *
zone_of(const struct ex *e)
{
	return (e->endpoint_az != NULL ? e->endpoint_az : e->settings.az);
}

/* Passes the state of the zone of the endpoint on. Return: whether it changed.
 */
static bool
update_zone(struct ex *e)
{
	static const char *const names[] = {
	    [PD_ZONE_IN] = "in use",
	    [PD_ZONE_LEAVING] =
		"evacuated, still used by entries that have "
		"no other",
	    [PD_ZONE_OUT] = "out",
	};
	enum pd_zone_state zone;

	zn_set_az(e->zones, zone_of(e));
	zone = zn_state(e->zones);
	if (zone == e->zone)
		return (false);
	e->zone = zone;
	lg_write(LOG_NOTICE, PART, "zone %s is %s, revision %llu", zone_of(e),
	    names[zone], (unsigned long long)zn_revision(e->zones));
	ru_set_zone(e->runner, zone);
	return (true);
}

/* Hash of the process and of all that entries place tasks by, not 0. */
static uint64_t
hash_description(const struct od_heartbeat *a)
{
	GString *s = g_string_new(NULL);
	uint64_t hash;
	unsigned i;

	g_string_printf(s, "%llu\n%u\n%u\n%s\n%s",
	    (unsigned long long)a->started_ms, a->cpu, a->mem_mb, a->service,
	    a->az);
	for (i = 0; i < a->nlabels; i++)
		g_string_append_printf(s, "\n%s", a->labels[i]);
	hash = XXH3_64bits(s->str, s->len);
	g_string_free(s, TRUE);
	return (hash == 0 ? 1 : hash);
}

static void
on_heartbeat(void *arg, const struct od_heartbeat *a)
{
	struct ex *e = arg;
	struct ru_load before = ru_load(e->runner);
	struct ru_endpoint endpoint = {
	    .incarnation = a->started_ms,
	    .description = hash_description(a),
	    .cpu = a->cpu,
	    .mem_mb = a->mem_mb,
	    .accepting = a->accepting,
	};
	unsigned i;

	g_free(e->service);
	e->service = g_strdup(a->service);
	g_free(e->endpoint_az);
	e->endpoint_az = g_strdup(a->az);
	g_ptr_array_set_size(e->labels, 0);
	for (i = 0; i < a->nlabels; i++)
		g_ptr_array_add(e->labels, g_strdup(a->labels[i]));
	update_zone(e);
	ru_update_endpoint(e->runner, &endpoint);
	send_heartbeats_if_changed(e, &before);
}

static void
on_heartbeat_ignored(void *arg, const char *reason)
{
	struct ex *e = arg;

	ct_increment(e->counters, "pd_heartbeats_ignored_total",
	    "Heartbeats with a fault, which change nothing", "reason", reason);
}

static void
on_gone(void *arg)
{
	struct ex *e = arg;

	ru_endpoint_gone(e->runner);
	lk_send_heartbeats(e->links);
}

static void
on_connection_refused(void *arg)
{
	struct ex *e = arg;
	struct ru_load before = ru_load(e->runner);

	ru_connection_refused(e->runner);
	send_heartbeats_if_changed(e, &before);
}

static void
on_polled(void *arg, const struct ru_poll_result *poll)
{
	struct ex *e = arg;
	struct ru_load before = ru_load(e->runner);

	ru_polled(e->runner, poll);
	send_heartbeats_if_changed(e, &before);
}

static unsigned
on_lease_renewal(void *arg)
{
	struct ex *e = arg;

	return (ru_renew_lease(e->runner));
}

static void
on_unreachable(void *arg)
{
	struct ex *e = arg;

	ru_call_unanswered(e->runner);
}

static void
on_started(void *arg, const struct ru_run *run, enum ru_start_result answer)
{
	struct ex *e = arg;

	ru_start_answer(e->runner, run, answer);
}

static void
on_stopped(void *arg, const struct ru_run *run, bool done)
{
	struct ex *e = arg;

	ru_stop_answer(e->runner, run, done);
}

/* The later agent ends the runs of this one. */
static void
on_superseded(void *arg)
{
	struct ex *e = arg;

	lg_write(LOG_ERR, PART,
	    "a later agent is in charge of the endpoint: stopping");
	e->failed = true;
	event_base_loopbreak(e->base);
}

static const struct od_ops endpoint_ops = {
    .heartbeat = on_heartbeat,
    .heartbeat_ignored = on_heartbeat_ignored,
    .gone = on_gone,
    .connection_refused = on_connection_refused,
    .polled = on_polled,
    .lease_renewal_ms = on_lease_renewal,
    .unreachable = on_unreachable,
    .started = on_started,
    .stopped = on_stopped,
    .superseded = on_superseded,
};

/* --- the entries --- */

static bool
fill_attach(void *arg, struct pd_attach *a)
{
	struct ex *e = arg;
	struct ru_load l = ru_load(e->runner);

	a->name = e->settings.name;
	a->az = (char *)(uintptr_t)zone_of(e);
	a->incarnation = e->incarnation;
	a->started_ms = e->started_ms;
	a->service = e->service;
	a->labels.labels_val = (pd_name *)e->labels->pdata;
	a->labels.labels_len = e->labels->len;
	a->cpu = l.cpu;
	a->mem_mb = l.mem_mb;
	a->endpoint = l.description;
	a->load = l.reported;
	return (l.old_runs_ended && e->service != NULL);
}

static void
on_contact(void *arg, uint64_t entry, uint64_t clock_ms,
    const struct pd_zones_known *zones)
{
	struct ex *e = arg;

	zn_confirm(e->zones, clock_ms, zones);
	ru_entry_contact(e->runner, entry, clock_ms);
}

static void
on_entry_gone(void *arg, uint64_t entry)
{
	struct ex *e = arg;

	ru_entry_gone(e->runner, entry);
}

static void
on_grant(void *arg, uint64_t entry, const struct pd_start *s)
{
	struct ex *e = arg;

	ru_grant(e->runner, entry, s);
}

static void
on_withdraw(void *arg, uint64_t entry, const struct pd_key *k)
{
	struct ex *e = arg;

	ru_withdraw(e->runner, entry, k);
}

static void
on_take_back(void *arg, uint64_t entry, const struct pd_key *k)
{
	struct ex *e = arg;

	ru_take_back(e->runner, entry, k);
}

/* Handled in the tick, since a link is in use here. */
static void
on_zones(void *arg, const struct pd_zones *z)
{
	struct ex *e = arg;

	if (zn_apply(e->zones, z))
		event_active(e->tick, EV_TIMEOUT, 0);
}

static void
on_zones_read(void *arg, uint64_t asked_ms, const struct pd_zones *z)
{
	struct pd_zones_known known = {.revision = z->revision};
	struct ex *e = arg;

	zn_apply(e->zones, z);
	zn_confirm(e->zones, asked_ms, &known);
}

static const struct zr_ops zone_ops = {.zones = on_zones_read};

static enum pd_end_state
on_state(void *arg, uint64_t entry, const struct pd_key *k)
{
	struct ex *e = arg;

	return (ru_grant_state(e->runner, entry, k));
}

static bool
on_has_grants(void *arg, uint64_t entry)
{
	struct ex *e = arg;

	return (ru_has_grants(e->runner, entry));
}

static const struct lk_ops link_ops = {
    .fill_attach = fill_attach,
    .contact = on_contact,
    .gone = on_entry_gone,
    .start = on_grant,
    .withdraw = on_withdraw,
    .take_back = on_take_back,
    .zones = on_zones,
    .state = on_state,
    .has_grants = on_has_grants,
};

/* --- the process --- */

static void
refresh_gauges(void *arg)
{
	struct ex *e = arg;
	struct ru_load l = ru_load(e->runner);

	ct_set(ct_get(e->counters, CT_GAUGE, "pd_agent_runs",
		   "Runs at the endpoint", ""),
	    l.active);
	ct_set(ct_get(e->counters, CT_GAUGE, "pd_agent_waiting",
		   "Grants that wait for room", ""),
	    l.queued);
	ct_set(ct_get(e->counters, CT_GAUGE, "pd_agent_links",
		   "Entries that are connected", ""),
	    lk_connected(e->links));
	ct_set(ct_get(e->counters, CT_GAUGE, "pd_agent_zone",
		   "Zone of the endpoint: 0 in use, 1 evacuated but used by "
		   "entries that have no other, 2 out",
		   ""),
	    l.reported.zone);
	ct_set(ct_get(e->counters, CT_GAUGE, "pd_zones_revision",
		   "Availability zones out, as heard from entries", ""),
	    (int64_t)zn_revision(e->zones));
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct ex *e = arg;
	uint64_t elapsed_ms;

	(void)fd;
	(void)what;
	if (e->zone_reader != NULL)
		zr_tick(e->zone_reader, zn_age_ms(e->zones));
	if (update_zone(e))
		lk_send_heartbeats(e->links);
	ru_tick(e->runner);
	if (e->stop_requested_ms == 0)
		return;
	elapsed_ms = ck_mono_ms(e->clock) - e->stop_requested_ms;
	if ((ru_load(e->runner).active == 0 && elapsed_ms > DRAIN_MIN_MS) ||
	    elapsed_ms > DRAIN_MAX_MS)
		event_base_loopbreak(e->base);
}

static GPtrArray *
read_seeds(const struct settings *s)
{
	char port[16];

	snprintf(port, sizeof(port), "%d", (int)s->entry_port);
	return (pr_seed_addresses(&s->addresses, &s->seeds, port));
}

static bool
load(const char *path, struct settings *s)
{
	return (pr_load_settings(
	    "pimentodock-agent", path, keys, G_N_ELEMENTS(keys), s));
}

/* Applies a new log level and new seeds. Changed addresses of the endpoint take
 * effect at the next start only; an invalid file changes nothing. */
static void
reload(struct ex *e)
{
	struct settings s = {0};
	GPtrArray *seeds;
	guint i;

	if (!load(e->path, &s)) {
		lg_write(LOG_ERR, PART,
		    "SIGHUP: the settings are not valid, the old ones stay");
		return;
	}
	if (strcmp(s.heartbeats, e->settings.heartbeats) != 0 ||
	    strcmp(s.orders, e->settings.orders) != 0)
		lg_write(LOG_WARNING, PART,
		    "SIGHUP: addresses change at the next start only");
	lg_open("pimentodock-agent", lg_level(s.log_level));
	seeds = read_seeds(&s);
	for (i = 0; i < seeds->len; i++)
		lk_add_seed(e->links, seeds->pdata[i]);
	g_ptr_array_free(seeds, TRUE);
	st_release(keys, G_N_ELEMENTS(keys), &s);
	lg_write(LOG_NOTICE, PART, "SIGHUP: settings read");
}

static void
on_signal(evutil_socket_t signal, short what, void *arg)
{
	struct ex *e = arg;

	(void)what;
	if (signal == SIGHUP) {
		reload(e);
		return;
	}
	if (e->stop_requested_ms != 0)
		return;
	lg_write(LOG_NOTICE, PART, "signal %d: stopping, %u runs", (int)signal,
	    ru_load(e->runner).active);
	e->stop_requested_ms = ck_mono_ms(e->clock);
	ru_drain(e->runner);
	lk_send_heartbeats(e->links);
}

static void
start_links(struct ex *e)
{
	GPtrArray *seeds = read_seeds(&e->settings);

	e->links = lk_new(e->base, e->clock, e->settings.cell, e->settings.name,
	    (const char *const *)seeds->pdata, seeds->len, &link_ops, e);
	lk_set_short_heartbeats(
	    e->links, strcmp(e->settings.heartbeat_form, "short") == 0);
	g_ptr_array_free(seeds, TRUE);
}

static bool
start(struct ex *e)
{
	struct rn *rng = rn_new_random();

	/* 0 stands for "unknown" in messages. */
	do
		e->incarnation = rn_u64(rng);
	while (e->incarnation == 0);
	rn_free(rng);
	e->labels = g_ptr_array_new_with_free_func(g_free);
	e->clock = ck_new_system();
	e->started_ms = ck_wall_ms(e->clock);
	e->counters = ct_new();
	e->runner = ru_new(e->clock, e->counters, &runner_ops, e);
	e->zones = zn_new(e->clock, (unsigned)e->settings.evacuate_ms);
	start_links(e);
	e->endpoint = od_new(e->base, e->clock, e->settings.heartbeats,
	    e->settings.orders, &endpoint_ops, e);
	if (e->endpoint == NULL)
		return (false);
	e->bounds = bd_new(e->base, e->clock, e->counters, &e->limits);
	od_set_bounds(e->endpoint, e->bounds, HEARTBEATS_SHARE);
	if (e->settings.store[0] != '\0')
		e->zone_reader =
		    zr_new(e->base, e->clock, e->settings.store, &zone_ops, e);
	if (e->settings.metrics[0] == '\0')
		return (true);
	e->metrics = sc_new(
	    e->base, e->settings.metrics, e->counters, refresh_gauges, e);
	if (e->metrics == NULL)
		return (false);
	sc_set_bounds(e->metrics, e->bounds, METRICS_SHARE);
	return (true);
}

static void
start_events(struct ex *e)
{
	struct timeval tv = {0, TICK_MS * US_PER_MS};

	e->signals = pr_signals_new(e->base, on_signal, e);
	e->tick = event_new(e->base, -1, EV_PERSIST, on_tick, e);
	event_add(e->tick, &tv);
}

static void
stop(struct ex *e)
{
	pr_signals_free(e->signals);
	if (e->tick != NULL)
		event_free(e->tick);
	sc_free(e->metrics);
	zr_free(e->zone_reader);
	od_free(e->endpoint);
	bd_free(e->bounds);
	lk_free(e->links);
	ru_free(e->runner);
	zn_free(e->zones);
	ct_free(e->counters);
	ck_free(e->clock);
	g_ptr_array_free(e->labels, TRUE);
	g_free(e->service);
	g_free(e->endpoint_az);
	/* The last callback of a connection that was just closed frees it. */
	event_base_loop(e->base, EVLOOP_NONBLOCK);
	event_base_free(e->base);
}

int
ex_check(const char *path)
{
	struct bd_limits limits;
	struct settings s = {0};
	bool valid;

	if (!load(path, &s))
		return (EXIT_SETTINGS);
	valid = bd_limits_read("pimentodock-agent", &s.limits, &limits);
	st_release(keys, G_N_ELEMENTS(keys), &s);
	return (valid ? 0 : EXIT_SETTINGS);
}

int
ex_run(const char *path)
{
	struct ex e = {.path = path};
	int code = 1;

	if (!load(path, &e.settings))
		return (EXIT_SETTINGS);
	if (!bd_limits_read(
		"pimentodock-agent", &e.settings.limits, &e.limits)) {
		st_release(keys, G_N_ELEMENTS(keys), &e.settings);
		return (EXIT_SETTINGS);
	}
	json_object_seed(0);
	lg_open("pimentodock-agent", lg_level(e.settings.log_level));
	ev_open("agent");
	e.base = event_base_new();
	if (start(&e)) {
		start_events(&e);
		lg_write(LOG_NOTICE, PART, "%s started", e.settings.name);
		event_base_dispatch(e.base);
		code = e.failed ? 1 : 0;
	}
	stop(&e);
	st_release(keys, G_N_ELEMENTS(keys), &e.settings);
	lg_write(LOG_NOTICE, PART, "stopped");
	return (code);
}
