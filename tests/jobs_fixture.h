#ifndef JOBS_FIXTURE_H
#define JOBS_FIXTURE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "clock.h"
#include "config.h"
#include "counters.h"
#include "fleet.h"
#include "jobs.h"
#include "lease.h"

/**
 * DOC: fixture of the jobs of an entry on a manual clock; the tests send the
 * reports of the agents
 */

#define START_MS 100000
/* A new entry waits for its agents for a second. */
#define WARM_UP_MS 2000
#define RECORDS_MAX 128
#define TASK_CPU 6000
#define WORKER_CPU 64000
#define TARGET_MS 60
#define TIMEOUT_MS 1500
/* Period of jb_tick(). */
#define TICK_MS 20

struct fixture {
	struct ck *clock;
	struct ct *counters;
	struct cf *config;
	struct fl *fleet;
	struct jb *jobs;
	struct pd_key starts[RECORDS_MAX];
	unsigned run_limits[RECORDS_MAX];
	struct fl_worker *start_workers[RECORDS_MAX];
	unsigned nstarts;
	unsigned nwithdrawn;
	unsigned nreconciled;
	unsigned ntaken_back;
	struct jb_answer answers[RECORDS_MAX];
	uint64_t waiters[RECORDS_MAX];
	unsigned nanswers;
	char ids[RECORDS_MAX][32];
	uint64_t endpoints[RECORDS_MAX]; /* that the grants are for */
	uint64_t endpoint;               /* in heartbeats of agents */
	unsigned priority;               /* of the jobs that are submitted */
	unsigned timeout_ms;             /* likewise, of their queue */
	unsigned client_ms; /* that their clients wait, 0: as @timeout_ms */
	bool client_silent; /* their clients do not say how long they wait */
	int32_t limits[2];  /* values of the last TR_LIMITS */
};

static inline void
on_start(void *arg, struct fl_worker *w, const struct pd_start *s)
{
	struct fixture *f = arg;

	f->starts[f->nstarts] = s->key;
	g_strlcpy(f->ids[f->nstarts], s->key.sub.id, sizeof(f->ids[0]));
	f->starts[f->nstarts].sub.id = f->ids[f->nstarts];
	f->run_limits[f->nstarts] = s->limit_ms;
	f->endpoints[f->nstarts] = s->endpoint;
	f->start_workers[f->nstarts++] = w;
}

static inline void
on_withdraw(void *arg, struct fl_worker *w, const struct pd_key *k)
{
	struct fixture *f = arg;

	(void)k;
	/* Without a connection nothing is sent. */
	f->nwithdrawn += w->session != 0;
}

static inline void
on_reconcile(
    void *arg, struct fl_worker *w, const struct pd_key *keys, unsigned n)
{
	struct fixture *f = arg;

	(void)w;
	(void)keys;
	f->nreconciled += n;
}

static inline void
on_answer(void *arg, uint64_t waiter, const struct jb_answer *a)
{
	struct fixture *f = arg;

	f->waiters[f->nanswers] = waiter;
	f->answers[f->nanswers++] = *a;
}

static inline void
on_ended(void *arg, const struct jb_answer *a)
{
	struct fixture *f = arg;
	unsigned i;

	for (i = 0; i < a->ntrace; i++)
		if (a->trace[i].kind == TR_LIMITS) {
			f->limits[0] = a->trace[i].a;
			f->limits[1] = a->trace[i].b;
		}
}

static inline unsigned
stated_deadline_ms(const struct fixture *f)
{
	if (f->client_silent)
		return (0);
	return (f->client_ms != 0 ? f->client_ms : f->timeout_ms);
}

static inline void
on_take_back(
    void *arg, struct fl_worker *w, const struct pd_key *keys, unsigned n)
{
	struct fixture *f = arg;

	(void)w;
	(void)keys;
	f->ntaken_back += n;
}

static const struct jb_ops ops = {.start = on_start,
    .withdraw = on_withdraw,
    .take_back = on_take_back,
    .reconcile = on_reconcile,
    .answer = on_answer,
    .ended = on_ended};

/* Passes the warm-up time, in which an entry does not refuse jobs for lack of
 * workers. */
static inline void
warm_up(struct fixture *f)
{
	unsigned i;

	for (i = 0; i < WARM_UP_MS; i += 100) {
		ck_advance_ms(f->clock, 100);
		jb_tick(f->jobs);
	}
}

static inline int
set_up(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->clock = ck_new_manual(START_MS, START_MS);
	f->counters = ct_new();
	f->config = cf_new();
	f->fleet = fl_new(f->clock, f->counters, f->config, 1);
	f->jobs = jb_new(f->clock, f->counters, f->fleet, &ops, f);
	f->timeout_ms = TIMEOUT_MS;
	warm_up(f);
	*state = f;
	return (0);
}

static inline int
tear_down(void **state)
{
	struct fixture *f = *state;

	jb_free(f->jobs);
	fl_free(f->fleet);
	cf_free(f->config);
	ct_free(f->counters);
	ck_free(f->clock);
	g_free(f);
	return (0);
}

/* Handles the first heartbeat of a connection, or a later one if not
 * @first. */
static inline struct fl_worker *
handle_heartbeat(struct fixture *f, const char *name, const char *az,
    uint64_t session, uint64_t incarnation, unsigned used, bool first)
{
	struct pd_attach a = {.cell = (char *)(uintptr_t) "c",
	    .name = (char *)(uintptr_t)name,
	    .az = (char *)(uintptr_t)az,
	    .service = (char *)(uintptr_t) "desk",
	    .incarnation = incarnation,
	    .started_ms = incarnation,
	    .cpu = WORKER_CPU,
	    .mem_mb = 1000,
	    .endpoint = f->endpoint,
	    .load.cpu_used = used,
	    .load.accepting = true,
	    .clock_ms = ck_mono_ms(f->clock)};
	bool restarted;
	struct fl_worker *w;

	w = fl_attach(f->fleet, &a, session, &restarted);
	if (w != NULL && first)
		jb_attached(f->jobs, w, restarted);
	return (w);
}

static inline struct fl_worker *
attach_agent(struct fixture *f, const char *name, const char *az,
    uint64_t session, uint64_t incarnation, unsigned used)
{
	return (
	    handle_heartbeat(f, name, az, session, incarnation, used, true));
}

static inline struct fl_worker *
attach(struct fixture *f, const char *name, uint64_t session)
{
	return (attach_agent(f, name, "z1", session, session, 0));
}

/* Passes time, with heartbeats of an agent unless its name is NULL. */
static inline void
pass_time(struct fixture *f, const char *name, uint64_t session, unsigned ms)
{
	unsigned i;

	for (i = 0; i < ms; i += TICK_MS) {
		ck_advance_ms(f->clock, TICK_MS);
		if (name != NULL)
			handle_heartbeat(
			    f, name, "z1", session, session, 0, false);
		jb_tick(f->jobs);
	}
}

static inline void
submit_job(struct fixture *f, const char *id, uint64_t waiter, unsigned count,
    unsigned size_ms, unsigned steps)
{
	static const char *const names[] = {"q", "q1", "q2", "q3"};
	struct pd_queue q = {.name = (char *)(uintptr_t)names[f->priority],
	    .service = (char *)(uintptr_t) "desk",
	    .timeout_ms = f->timeout_ms,
	    .target_ms = TARGET_MS,
	    .priority = f->priority,
	    .attempts = 2,
	    .stretch_permille = 1600};
	struct jb_step s[2] = {
	    {.count = count, .cpu = TASK_CPU, .size_ms = size_ms, .label = ""},
	    {.count = count,
		.cpu = TASK_CPU,
		.size_ms = size_ms,
		.label = "",
		.nafter = 1},
	};
	struct jb_request r = {.id = id,
	    .queue = &q,
	    .deadline_ms = stated_deadline_ms(f),
	    .steps = s,
	    .nsteps = steps,
	    .body = "b",
	    .body_len = 1};

	jb_submit(f->jobs, &r, waiter);
}

static inline void
submit(struct fixture *f, const char *id, unsigned count)
{
	submit_job(f, id, 7, count, 100, 1);
}

static inline void
report_end(struct fixture *f, unsigned start, enum pd_end_state state)
{
	struct pd_end e = {
	    .key = f->starts[start], .state = state, .run_ms = 100};
	struct pd_ended report = {
	    .load.cpu_used = f->start_workers[start]->cpu_own,
	    .load.accepting = true,
	    .list = {.list_len = 1, .list_val = &e}};

	jb_grants_ended(f->jobs, f->start_workers[start], &report);
}

/* Reports runs on a worker until its run ratio is learned. */
static inline void
set_run_ratio(struct fixture *f, struct fl_worker *w, double ratio)
{
	unsigned i;

	for (i = 0; i < 200; i++)
		fl_task_done(f->fleet, w, 100, 100 * ratio);
}

#endif
