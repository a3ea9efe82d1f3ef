#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>

#include "callers.h"
#include "clock.h"
#include "core.h"
#include "counters.h"
#include "dispatch.h"
#include "exits.h"
#include "forward.h"
#include "kernel.h"
#include "log.h"
#include "mailbox.h"
#include "member.h"
#include "operators.h"
#include "options.h"
#include "peers.h"
#include "platform.h"
#include "serve.h"
#include "sessions.h"
#include "store.h"

#define DRAIN_TICK_PERIOD_MS 20
#define US_PER_MS 1000

enum phase {
	PHASE_SERVING,
	PHASE_FINISHING, /* the only entry: complete its work first */
	PHASE_LEAVING,   /* mb_leave() is in progress */
	PHASE_DRAINING,  /* not an owner any more, or could not leave */
	PHASE_CLOSING,   /* the HTTP servers are being stopped */
};

struct sv {
	struct op options;
	struct kn *kernel;
	struct event_base *base;
	struct mx *mailbox;
	struct ca *callers;
	struct or *operators;
	struct event *signals[2];
	struct event *drain;
	enum phase phase;
	bool has_left; /* owns no partition any more */
	GThread *close_thread;
};

static void
stop_clock(void *c)
{
	ck_free(c);
}

static void
stop_counters(void *c)
{
	ct_free(c);
}

static void
stop_loop(void *b)
{
	/* Run the pending callbacks that free connections just closed. */
	event_base_loop(b, EVLOOP_NONBLOCK);
	event_base_free(b);
}

static void
stop_mailbox(void *m)
{
	mx_free(m);
}

static void
stop_core(void *c)
{
	cr_free(c);
}

static void
stop_store(void *s)
{
	sr_free(s);
}

static void
stop_peers(void *p)
{
	pe_free(p);
}

static void
stop_forward(void *f)
{
	fw_free(f);
}

static void
stop_sessions(void *s)
{
	ss_free(s);
}

static void
stop_callers(void *c)
{
	ca_free(c);
}

static void
stop_operators(void *o)
{
	or_free(o);
}

static bool
bind_failed(const char *what, const char *address)
{
	lg_write(LOG_ERR, "serve", "cannot listen on %s for %s", address, what);
	return (false);
}

/* Registers the services that only depend on each other. */
static void
register_basic_services(struct sv *s)
{
	struct kn *k = s->kernel;

	kn_register(k, "settings", &s->options, NULL);
	kn_register(k, "clock", ck_new_system(), stop_clock);
	kn_register(k, "counters", ct_new(), stop_counters);
	s->base = event_base_new();
	kn_register(k, "loop", s->base, stop_loop);
	s->mailbox = mx_new(s->base);
	kn_register(k, "mailbox", s->mailbox, stop_mailbox);
}

/* Registers the other services. Binding the listeners before cr_start() proves
 * that an earlier process of this entry has exited. */
static bool
start_services(struct sv *s)
{
	struct kn *k = s->kernel;
	const struct op *o = &s->options;
	struct ss *sessions;
	struct cr *core;

	core = cr_new(k);
	kn_register(k, "core", core, stop_core);
	/* Services are freed in reverse order: connections to peers must be
	 * closed before the calls that they carry are freed. */
	kn_register(k, "forward", fw_new(k), stop_forward);
	kn_register(k, "peers", pe_new(k), stop_peers);
	sessions = ss_new(k);
	if (sessions == NULL)
		return (bind_failed("agents and entries", o->rpc_address));
	kn_register(k, "sessions", sessions, stop_sessions);
	kn_register(k, "store",
	    sr_new(
		k, pf_http(o->platform_url, (unsigned)o->platform_timeout_ms)),
	    stop_store);
	s->operators = or_new(k);
	if (s->operators == NULL)
		return (bind_failed("operators", o->operators_address));
	kn_register(k, "operators", s->operators, stop_operators);
	s->callers = ca_new(k);
	if (s->callers == NULL)
		return (bind_failed("callers", o->callers_address));
	kn_register(k, "callers", s->callers, stop_callers);
	cr_start(core);
	return (true);
}

/* Runs on the loop. */
static void
http_closed(void *arg)
{
	struct sv *s = arg;

	event_base_loopbreak(s->base);
}

/* Runs on its own thread: the loop must keep running to answer the handlers. */
static void *
close_http(void *arg)
{
	struct sv *s = arg;

	ca_close(s->callers);
	or_close(s->operators);
	mx_post(s->mailbox, http_closed, s);
	return (NULL);
}

static void
leave_done(
    void *arg, enum mb_outcome outcome, uint64_t revision, const char *text)
{
	struct sv *s = arg;

	(void)revision;
	s->has_left = outcome == MB_ACCEPTED || outcome == MB_PENDING;
	lg_write(LOG_NOTICE, "serve", "%s",
	    s->has_left ? "left the list of entries"
			: "could not leave the list of entries, completing the "
			  "work here");
	if (!s->has_left && text != NULL)
		lg_write(LOG_NOTICE, "serve", "reason: %s", text);
	s->phase = PHASE_DRAINING;
}

static void
leave(struct sv *s)
{
	s->phase = PHASE_LEAVING;
	mb_leave(kn_find(s->kernel, "member"), leave_done, s);
}

static bool
is_idle(const struct sv *s)
{
	struct dp_stats stats = dp_stats(kn_find(s->kernel, "dispatch"));

	/* An entry that has not left has no successor, so it must also complete
	 * the submissions that no caller waits for. */
	return (fw_pending(kn_find(s->kernel, "forward")) == 0 &&
	    (s->has_left || stats.pending == 0));
}

static void
drain_tick(evutil_socket_t fd, short what, void *arg)
{
	struct sv *s = arg;

	(void)fd;
	(void)what;
	if (s->phase == PHASE_FINISHING && is_idle(s))
		leave(s);
	else if (s->phase == PHASE_DRAINING && is_idle(s)) {
		s->phase = PHASE_CLOSING;
		s->close_thread = g_thread_new("close", close_http, s);
	}
}

/* Whether another entry can take over the partitions. */
static bool
has_successor(const struct sv *s)
{
	size_t n;

	cs_members(mb_state(kn_find(s->kernel, "member")), &n);
	return (n > 1);
}

static void
on_signal(evutil_socket_t fd, short what, void *arg)
{
	struct timeval tv = {0, DRAIN_TICK_PERIOD_MS * US_PER_MS};
	struct sv *s = arg;

	(void)fd;
	(void)what;
	if (s->phase != PHASE_SERVING)
		return;
	lg_write(LOG_NOTICE, "serve", "stopping");
	ca_drain(s->callers);
	or_drain(s->operators);
	event_add(s->drain, &tv);
	if (!mb_registered(kn_find(s->kernel, "member"))) {
		s->has_left = true;
		s->phase = PHASE_DRAINING;
	} else if (has_successor(s))
		leave(s);
	else
		s->phase = PHASE_FINISHING;
}

static void
start_signals(struct sv *s)
{
	static const int numbers[] = {SIGTERM, SIGINT};
	size_t i;

	signal(SIGPIPE, SIG_IGN);
	for (i = 0; i < G_N_ELEMENTS(numbers); i++) {
		s->signals[i] = evsignal_new(s->base, numbers[i], on_signal, s);
		event_add(s->signals[i], NULL);
	}
	s->drain =
	    event_new(s->base, -1, EV_PERSIST | EV_TIMEOUT, drain_tick, s);
}

static void
stop_signals(struct sv *s)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(s->signals); i++)
		event_free(s->signals[i]);
	event_free(s->drain);
}

static bool
load(const char *path, struct op *o)
{
	char message[1024];

	if (op_load(path, o, message, sizeof(message)))
		return (true);
	fprintf(stderr, "pimentodock: %s\n", message);
	return (false);
}

int
sv_check(const char *settings)
{
	struct op o;

	if (!load(settings, &o))
		return (EX_SETTINGS);
	op_release(&o);
	return (EX_DONE);
}

int
sv_run(const char *settings)
{
	struct sv s = {.phase = PHASE_SERVING};
	int result = EX_FAILED;

	if (!load(settings, &s.options))
		return (EX_SETTINGS);
	json_object_seed(0);
	lg_open("pimentodock", lg_level(s.options.log_level));
	s.kernel = kn_new();
	register_basic_services(&s);
	start_signals(&s);
	if (start_services(&s)) {
		lg_write(LOG_NOTICE, "serve", "entry %s serves callers on %s",
		    s.options.name, s.options.callers_address);
		event_base_dispatch(s.base);
		result = EX_DONE;
	} else {
		/* The loop must answer requests that have come in already. */
		s.close_thread = g_thread_new("close", close_http, &s);
		event_base_dispatch(s.base);
	}
	g_thread_join(s.close_thread);
	stop_signals(&s);
	kn_free(s.kernel);
	op_release(&s.options);
	lg_write(LOG_NOTICE, "serve", "stopped");
	return (result);
}
