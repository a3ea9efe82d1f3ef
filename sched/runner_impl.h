#ifndef RUNNER_IMPL_H
#define RUNNER_IMPL_H

#include <glib.h>

#include "clock.h"
#include "counters.h"
#include "lease.h"
#include "runner.h"

/**
 * DOC: ru - parts: runner.c decides about grants, runner_endpoint.c follows
 * the runs at the endpoint
 */

/* Looks in a row without an answer after which the endpoint counts as silent;
 * single ones get lost while it is well. */
#define RU_UNANSWERED_MAX 3

/**
 * enum ru_phase - phase of a grant
 * @RU_QUEUED: waits for room
 * @RU_STARTING: the endpoint has not answered the start yet
 * @RU_RUNNING: runs
 * @RU_STOPPING: is being stopped, or may have been started
 */
enum ru_phase {
	RU_QUEUED = 0,
	RU_STARTING,
	RU_RUNNING,
	RU_STOPPING,
};

struct ru_task {
	uint64_t entry;
	char *id;
	char *body;
	size_t body_len;
	uint64_t number; /* of the job at its entry */
	unsigned task;
	unsigned attempt;
	unsigned step;
	unsigned index;
	unsigned run;
	unsigned cpu;
	unsigned mem_mb;
	unsigned level;
	unsigned limit_ms;
	uint64_t start_by_ms;
	uint64_t expires_ms;
	uint64_t queued_ms;
	uint64_t started_ms;   /* when the start was ordered; 0: not yet */
	uint64_t confirmed_ms; /* when the endpoint confirmed it */
	uint64_t stop_sent_ms;
	uint64_t stopped_ms; /* when a stop was confirmed; 0: not yet */
	enum ru_phase phase;
	bool returnable;       /* its entry may find a better place */
	enum pd_end_state end; /* how a stopped one is reported */
};

struct ru_entry {
	uint64_t incarnation;
	uint64_t echo_ms;
};

struct ru {
	const struct ck *clock;
	struct ct *counters;
	const struct ru_ops *ops;
	void *arg;
	GPtrArray *tasks; /* struct ru_task, owned */
	GArray *entries;  /* struct ru_entry */
	uint64_t incarnation;
	unsigned cpu;
	unsigned mem_mb;
	unsigned unanswered; /* calls in a row without an answer */
	bool known;
	bool accepting;
	bool draining;
	bool old_runs_ended;
	uint64_t lease_until_ms; /* last moment at which a run can exist */
	uint64_t full_until_ms;
};

/** ru_start_queued() - start what has room, the most urgent first */
void ru_start_queued(struct ru *r);

/** ru_end() - report the end of a task and forget it; @t is consumed */
void ru_end(struct ru *r, struct ru_task *t, enum pd_end_state state);

/** ru_return_queued() - give back what waits */
void ru_return_queued(struct ru *r);

/** ru_stop_task() - end a task early, reported as @end */
void ru_stop_task(struct ru *r, struct ru_task *t, enum pd_end_state end);

/** ru_run_of() - a run as the endpoint sees it, borrowed from @t */
struct ru_run ru_run_of(const struct ru_task *t);

/** ru_extend_lease() - a renewal is sent now. Return: its length, milliseconds
 */
unsigned ru_extend_lease(struct ru *r);

/** ru_check_runs() - stops to repeat, runs whose lease has ended */
void ru_check_runs(struct ru *r);

#endif
