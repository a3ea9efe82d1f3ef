#ifndef RUNNER_FIXTURE_H
#define RUNNER_FIXTURE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "clock.h"
#include "counters.h"
#include "worker_health.h"
#include "lease.h"
#include "runner.h"

/**
 * DOC: fixture of the runner of an agent on a manual clock, with a recording
 * endpoint
 */

#define ENTRY_1 11
#define ENTRY_2 22
#define TASK_CPU 1000
#define TASK_SIZE_MS 100
#define ENDPOINT_CPU 4000
#define DESCRIPTION 77
#define OTHER_DESCRIPTION 78
#define START_MS 100000
#define ORDERS_MAX 64

struct order {
	char id[32];
	unsigned index;
	unsigned run;
	unsigned lease_ms;
	bool stop;
};

struct fixture {
	struct ck *clock;
	struct ct *counters;
	struct ru *runner;
	struct order orders[ORDERS_MAX];
	unsigned norders;
	struct pd_end ends[ORDERS_MAX];
	char end_ids[ORDERS_MAX][32];
	unsigned nends;
	unsigned priority;    /* of the tasks that are granted */
	uint64_t incarnation; /* of the process that answers polls */
	bool partial;         /* its lists are */
	uint64_t description; /* of the endpoint that tasks are granted for */
};

static inline void
record_order(struct fixture *f, const struct ru_run *r, bool stop)
{
	struct order *o = &f->orders[f->norders++];

	g_strlcpy(o->id, r->id, sizeof(o->id));
	o->index = r->index;
	o->run = r->run;
	o->lease_ms = r->lease_ms;
	o->stop = stop;
}

static inline void
on_start(void *arg, const struct ru_run *r)
{
	record_order(arg, r, false);
}

static inline void
on_stop(void *arg, const struct ru_run *r)
{
	record_order(arg, r, true);
}

static inline void
on_ended(void *arg, uint64_t entry, const struct pd_end *e)
{
	struct fixture *f = arg;

	(void)entry;
	g_strlcpy(f->end_ids[f->nends], e->key.sub.id, sizeof(f->end_ids[0]));
	f->ends[f->nends++] = *e;
}

static const struct ru_ops ops = {on_start, on_stop, on_ended};

static inline void
answer_poll(struct fixture *f, uint64_t sent_ms,
    const struct ru_run_info *running, unsigned nrunning,
    const struct ru_run_info *ended, unsigned nended)
{
	struct ru_poll_result poll = {.sent_ms = sent_ms,
	    .incarnation = f->incarnation,
	    .running = running,
	    .nrunning = nrunning,
	    .ended = ended,
	    .nended = nended,
	    .partial = f->partial};

	ru_polled(f->runner, &poll);
}

static inline void
answer_empty_poll(struct fixture *f)
{
	answer_poll(f, ck_mono_ms(f->clock), NULL, 0, NULL, 0);
}

static inline void
report_run_end(
    struct fixture *f, const char *id, unsigned run, enum ru_outcome outcome)
{
	struct ru_run_info info = {.id = id, .run = run, .outcome = outcome};

	answer_poll(f, ck_mono_ms(f->clock), NULL, 0, &info, 1);
}

static inline void
describe_endpoint(struct fixture *f, uint64_t incarnation, uint64_t description,
    bool accepting)
{
	struct ru_endpoint e = {.incarnation = incarnation,
	    .description = description,
	    .cpu = ENDPOINT_CPU,
	    .mem_mb = 1000,
	    .accepting = accepting};

	ru_update_endpoint(f->runner, &e);
}

static inline int
set_up(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->clock = ck_new_manual(START_MS, START_MS);
	f->counters = ct_new();
	f->incarnation = 1;
	f->description = DESCRIPTION;
	f->runner = ru_new(f->clock, f->counters, &ops, f);
	answer_empty_poll(f);
	describe_endpoint(f, 1, DESCRIPTION, true);
	ru_entry_contact(f->runner, ENTRY_1, ck_mono_ms(f->clock));
	ru_entry_contact(f->runner, ENTRY_2, ck_mono_ms(f->clock));
	*state = f;
	return (0);
}

static inline int
tear_down(void **state)
{
	struct fixture *f = *state;

	ru_free(f->runner);
	ct_free(f->counters);
	ck_free(f->clock);
	g_free(f);
	return (0);
}

/* Advances the clock in ticks while @entry stays in contact and the lease is
 * renewed as far as the runner allows. */
static inline void
pass(struct fixture *f, unsigned ms, uint64_t entry)
{
	unsigned i;

	for (i = 0; i < ms; i += 10) {
		ck_advance_ms(f->clock, 10);
		if (entry != 0)
			ru_entry_contact(
			    f->runner, entry, ck_mono_ms(f->clock));
		(void)ru_renew_lease(f->runner);
		ru_tick(f->runner);
	}
}

static inline void
grant_task(struct fixture *f, uint64_t entry, const char *id, unsigned attempt,
    int64_t start_by_ms, unsigned limit_ms)
{
	uint64_t now = ck_mono_ms(f->clock);
	struct pd_start s = {
	    .key = {.sub = {.id = (char *)(uintptr_t)id, .created_ms = 1},
		.attempt = attempt},
	    .cpu = TASK_CPU,
	    .mem_mb = 1,
	    .priority = f->priority,
	    .size_ms = TASK_SIZE_MS,
	    .limit_ms = limit_ms,
	    .queue_max = UINT32_MAX,
	    .start_by_ms = (uint64_t)((int64_t)now + start_by_ms),
	    .expires_ms = now + 1500,
	    .endpoint = f->description,
	    .body = {.body_len = 1, .body_val = (char *)(uintptr_t) "x"},
	};

	ru_grant(f->runner, entry, &s);
}

static inline void
grant(struct fixture *f, uint64_t entry, const char *id)
{
	grant_task(f, entry, id, 1, 100, 0);
}

static inline struct ru_run
run_of(const char *id, unsigned run)
{
	struct ru_run r = {.id = id, .run = run};

	return (r);
}

static inline void
answer_start(struct fixture *f, const char *id, enum ru_start_result answer)
{
	struct ru_run r = run_of(id, 1);

	ru_start_answer(f->runner, &r, answer);
}

static inline void
confirm_stop(struct fixture *f, const char *id)
{
	struct ru_run r = run_of(id, 1);

	ru_stop_answer(f->runner, &r, true);
}

#endif
