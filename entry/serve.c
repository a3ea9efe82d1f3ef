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

#define DRAIN_TICK_MS 20
#define US_PER_MS 1000

enum phase {
	SERVING,
	FINISHING, /* the only entry: its own work ends before it leaves */
	LEAVING,   /* mb_leave() has been called */
	DRAINING,  /* the other entries own everything */
	CLOSING,   /* the HTTP servers are being stopped */
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
	bool left; /* not the owner of anything any more */
	GThread *closer;
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
	/* A connection that was just closed is freed by its last callback. */
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

/* Services that only need each other. */
static void
start_basic(struct sv *s)
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

/* Services with sockets. The listeners come first: a bound address proves
 * that the predecessor of this process has exited. */
static bool
start_services(struct sv *s)
{
	struct kn *k = s->kernel;
	const struct op *o = &s->options;
	struct ss *sessions;
	struct cr *core;

	core = cr_new(k);
	kn_register(k, "core", core, stop_core);
	/* Connections to peers end before the submissions they carry. */
	kn_register(k, "forward", fw_new(k), stop_forward);
	kn_register(k, "peers", pe_new(k), stop_peers);
	sessions = ss_new(k);
	if (sessions == NULL)
		return (bind_failed("agents and entries", o->rpc));
	kn_register(k, "sessions", sessions, stop_sessions);
	kn_register(k, "store",
	    sr_new(
		k, pf_http(o->platform_url, (unsigned)o->platform_timeout_ms)),
	    stop_store);
	s->operators = or_new(k);
	if (s->operators == NULL)
		return (bind_failed("operators", o->operators));
	kn_register(k, "operators", s->operators, stop_operators);
	s->callers = ca_new(k);
	if (s->callers == NULL)
		return (bind_failed("callers", o->callers));
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

/* The loop goes on while the handlers finish. */
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
	s->left = outcome == MB_ACCEPTED || outcome == MB_PENDING;
	lg_write(LOG_NOTICE, "serve", "%s",
	    s->left ? "left the list of entries"
		    : "could not leave the list of entries, finishing the work "
		      "here");
	if (!s->left && text != NULL)
		lg_write(LOG_NOTICE, "serve", "reason: %s", text);
	s->phase = DRAINING;
}

static void
leave(struct sv *s)
{
	s->phase = LEAVING;
	mb_leave(kn_find(s->kernel, "member"), leave_done, s);
}

static bool
is_idle(const struct sv *s)
{
	struct dp_stats stats = dp_stats(kn_find(s->kernel, "dispatch"));

	/* Without a successor, also submissions that no caller waits for must
	 * end here. */
	return (fw_pending(kn_find(s->kernel, "forward")) == 0 &&
	    (s->left || stats.pending == 0));
}

static void
drain_tick(evutil_socket_t fd, short what, void *arg)
{
	struct sv *s = arg;

	(void)fd;
	(void)what;
	if (s->phase == FINISHING && is_idle(s))
		leave(s);
	else if (s->phase == DRAINING && is_idle(s)) {
		s->phase = CLOSING;
		s->closer = g_thread_new("close", close_http, s);
	}
}

/* Whether an entry remains that can own the partitions. */
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
	struct timeval tv = {0, DRAIN_TICK_MS * US_PER_MS};
	struct sv *s = arg;

	(void)fd;
	(void)what;
	if (s->phase != SERVING)
		return;
	lg_write(LOG_NOTICE, "serve", "stopping");
	ca_drain(s->callers);
	or_drain(s->operators);
	event_add(s->drain, &tv);
	if (!mb_registered(kn_find(s->kernel, "member"))) {
		s->left = true;
		s->phase = DRAINING;
	} else if (has_successor(s))
		leave(s);
	else
		s->phase = FINISHING;
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
	struct sv s = {.phase = SERVING};
	int result = EX_FAILED;

	if (!load(settings, &s.options))
		return (EX_SETTINGS);
	json_object_seed(0);
	lg_open("pimentodock", lg_level(s.options.log_level));
	s.kernel = kn_new();
	start_basic(&s);
	start_signals(&s);
	if (start_services(&s)) {
		lg_write(LOG_NOTICE, "serve", "entry %s serves callers on %s",
		    s.options.name, s.options.callers);
		event_base_dispatch(s.base);
		result = EX_DONE;
	} else {
		/* A request may have come in already; the loop answers it. */
		s.closer = g_thread_new("close", close_http, &s);
		event_base_dispatch(s.base);
	}
	g_thread_join(s.closer);
	stop_signals(&s);
	kn_free(s.kernel);
	op_release(&s.options);
	lg_write(LOG_NOTICE, "serve", "stopped");
	return (result);
}
