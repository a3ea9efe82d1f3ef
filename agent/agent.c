#include <event2/event.h>
#include <event2/thread.h>
#include <glib.h>
#include <malloc.h>
#include <signal.h>
#include <stdbool.h>
#include <ulfius.h>

#include "agent.h"
#include "clock.h"
#include "counters.h"
#include "endpoint.h"
#include "gate.h"
#include "kernel.h"
#include "log.h"
#include "mailbox.h"
#include "metrics.h"
#include "options.h"
#include "rng.h"
#include "sessions.h"

#define PART "agent"
#define TICK_MS 100
#define US_PER_MS 1000
#define MS_PER_S 1000
#define BYTES_PER_MB 1048576
/* Each malloc arena keeps freed memory; an arena for each of many threads would
 * exceed the limit of 32 MB for an agent. */
#define MALLOC_ARENAS_MAX 2

struct ag {
	struct op_settings *settings;
	struct kn *kernel;
	struct event_base *loop;
	struct ct *counters;
	struct ga *gate;
	struct ss *sessions;
	struct en *endpoint;
	struct ag_identity identity;
	struct event *tick;
	struct event *terminate;
	struct event *interrupt;
	bool draining;
	bool draining_sessions;
};

static void
set_gauge(struct ag *a, const char *name, const char *help, int64_t value)
{
	ct_set(ct_get(a->counters, CT_GAUGE, name, help, ""), value);
}

static void
set_bytes(struct ag *a, const char *direction, uint64_t control)
{
	char labels[64];

	g_snprintf(labels, sizeof(labels), "direction=\"%s\"", direction);
	ct_set(ct_get(a->counters, CT_COUNTER, "pd_agent_control_bytes_total",
		   "Bytes exchanged with entries besides task bodies", labels),
	    (int64_t)control);
}

static void
update_gauges(struct ag *a)
{
	struct ga_stats g = ga_stats(a->gate);
	struct ss_traffic b = ss_traffic(a->sessions);

	set_gauge(a, "pd_agent_running", "Tasks in a slot", g.running);
	set_gauge(a, "pd_agent_queued", "Grants waiting for a slot", g.queued);
	set_gauge(
	    a, "pd_agent_records", "Start records kept", (int64_t)g.records);
	set_gauge(a, "pd_agent_record_bytes", "Memory of start records",
	    (int64_t)g.record_bytes);
	set_gauge(a, "pd_agent_revision", "Configuration revision",
	    (int64_t)g.revision);
	set_gauge(a, "pd_agent_in_service", "1 when in service", g.in_service);
	set_gauge(a, "pd_agent_health", "0 healthy, 1 suspect, 2 ejected",
	    (int64_t)g.health);
	set_gauge(a, "pd_agent_draining", "1 when draining", a->draining);
	set_gauge(a, "pd_agent_sessions", "Open sessions with entries",
	    ss_open_count(a->sessions));
	ct_set(ct_get(a->counters, CT_COUNTER, "pd_agent_bodies_dropped_total",
		   "Results dropped before the end of their lifetime", ""),
	    (int64_t)g.bodies_dropped);
	ct_set(
	    ct_get(a->counters, CT_COUNTER, "pd_agent_records_dropped_total",
		"Start records dropped before the end of their lifetime", ""),
	    (int64_t)g.records_dropped);
	set_bytes(a, "sent", b.sent_control);
	set_bytes(a, "received", b.received_control);
}

static void
on_sessions_drained(void *arg)
{
	struct ag *a = arg;

	event_base_loopbreak(a->loop);
}

static void
check_drained(struct ag *a)
{
	if (a->draining_sessions || !ga_drained(a->gate))
		return;
	a->draining_sessions = true;
	ss_drain(a->sessions, on_sessions_drained, a);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct ag *a = arg;

	(void)fd;
	(void)what;
	ga_tick(a->gate);
	update_gauges(a);
	check_drained(a);
}

static void
on_signal(evutil_socket_t signal, short what, void *arg)
{
	struct ag *a = arg;

	(void)what;
	if (a->draining)
		return;
	lg_write(LOG_NOTICE, PART, "signal %d: draining", (int)signal);
	a->draining = true;
	ga_drain(a->gate);
	ss_send_heartbeats(a->sessions);
	check_drained(a);
}

static void
start_task(void *arg, const struct ga_task *task)
{
	struct ag *a = arg;

	en_start(a->endpoint, task);
}

static void
report_record(void *arg, ga_session session, const struct pd_record *r)
{
	struct ag *a = arg;

	ss_report(a->sessions, session, r);
}

static const struct ga_ops gate_ops = {start_task, report_record};

static void
on_task_done(void *arg, unsigned slot, enum ga_outcome outcome, char *body,
    size_t body_len)
{
	struct ag *a = arg;

	ga_call_ended(a->gate, slot, outcome, body, body_len);
	check_drained(a);
}

static void
stop_clock(void *p)
{
	ck_free(p);
}

static void
stop_counters(void *p)
{
	ct_free(p);
}

static void
stop_loop(void *p)
{
	event_base_free(p);
}

static void
stop_mailbox(void *p)
{
	mx_free(p);
}

static void
stop_gate(void *p)
{
	ga_free(p);
}

static void
stop_sessions(void *p)
{
	ss_free(p);
}

static void
stop_endpoint(void *p)
{
	en_free(p);
}

static void
stop_metrics(void *p)
{
	me_free(p);
}

static void
start_gate(struct ag *a)
{
	const struct ga_settings settings = {
	    .incarnation = a->identity.incarnation,
	    .started_ms = a->identity.started_ms,
	    .slots = (unsigned)a->settings->slots,
	    .queue_max = (unsigned)a->settings->queue_max,
	    .retention_ms = (uint64_t)a->settings->life_s * MS_PER_S,
	    .records_bytes = (size_t)a->settings->records_mb * BYTES_PER_MB,
	};

	a->gate = ga_new(
	    kn_find(a->kernel, "clock"), a->counters, &settings, &gate_ops, a);
	kn_register(a->kernel, "gate", a->gate, stop_gate);
}

static void
start_identity(struct ag *a)
{
	struct rn *rng = rn_new_random();

	/* 0 stands for "unknown" in messages. */
	do
		a->identity.incarnation = rn_u64(rng);
	while (a->identity.incarnation == 0);
	rn_free(rng);
	a->identity.started_ms = ck_wall_ms(kn_find(a->kernel, "clock"));
	kn_register(a->kernel, "identity", &a->identity, NULL);
}

/* Starts the services that bind no address. */
static bool
start_base(struct ag *a)
{
	struct mx *mailbox;

	kn_register(a->kernel, "settings", a->settings, NULL);
	kn_register(a->kernel, "clock", ck_new_system(), stop_clock);
	a->counters = ct_new();
	kn_register(a->kernel, "counters", a->counters, stop_counters);
	a->loop = event_base_new();
	if (a->loop == NULL)
		return (false);
	kn_register(a->kernel, "loop", a->loop, stop_loop);
	mailbox = mx_new(a->loop);
	if (mailbox == NULL)
		return (false);
	kn_register(a->kernel, "mailbox", mailbox, stop_mailbox);
	return (true);
}

/* The metrics listener comes first, since it is the only one that can fail. */
static bool
start_services(struct ag *a)
{
	struct me *metrics;

	start_identity(a);
	if (a->settings->metrics[0] != '\0') {
		metrics = me_new(a->kernel);
		if (metrics == NULL) {
			lg_write(LOG_ERR, PART, "cannot listen on %s",
			    a->settings->metrics);
			return (false);
		}
		kn_register(a->kernel, "metrics", metrics, stop_metrics);
	}
	start_gate(a);
	a->sessions = ss_new(a->kernel);
	kn_register(a->kernel, "sessions", a->sessions, stop_sessions);
	a->endpoint = en_new(a->settings, kn_find(a->kernel, "clock"),
	    kn_find(a->kernel, "mailbox"), on_task_done, a);
	kn_register(a->kernel, "endpoint", a->endpoint, stop_endpoint);
	return (true);
}

static void
run_loop(struct ag *a)
{
	struct timeval tv = {0, TICK_MS * US_PER_MS};

	a->tick = event_new(a->loop, -1, EV_PERSIST, on_tick, a);
	a->terminate = evsignal_new(a->loop, SIGTERM, on_signal, a);
	a->interrupt = evsignal_new(a->loop, SIGINT, on_signal, a);
	event_add(a->tick, &tv);
	event_add(a->terminate, NULL);
	event_add(a->interrupt, NULL);
	update_gauges(a);
	lg_write(LOG_NOTICE, PART, "%s started", a->settings->name);
	event_base_dispatch(a->loop);
	event_free(a->tick);
	event_free(a->terminate);
	event_free(a->interrupt);
}

int
ag_run(struct op_settings *settings)
{
	struct ag a = {.settings = settings};
	int code = 1;

	mallopt(M_ARENA_MAX, MALLOC_ARENAS_MAX);
	signal(SIGPIPE, SIG_IGN);
	evthread_use_pthreads();
	if (ulfius_global_init() != U_OK)
		return (code);
	a.kernel = kn_new();
	if (start_base(&a) && start_services(&a)) {
		run_loop(&a);
		code = 0;
	}
	kn_free(a.kernel);
	ulfius_global_close();
	lg_write(LOG_NOTICE, PART, "stopped");
	return (code);
}
