#ifndef RUNNER_IMPL_H
#define RUNNER_IMPL_H

#include <glib.h>

#include "clock.h"
#include "counters.h"
#include "worker_health.h"
#include "lease.h"
#include "runner.h"

/**
 * DOC: ru - internals: runner.c decides about grants, runner_endpoint.c tracks
 * the runs at the endpoint, runner_speed.c reports what is learned from them
 */

/* Consecutive polls without an answer after which the endpoint counts as
 * silent; single polls go unanswered at a healthy endpoint too. */
#define RU_UNANSWERED_MAX 3

/**
 * enum ru_phase - phase of a grant
 * @RU_QUEUED: waits for capacity
 * @RU_STARTING: start was sent and is not answered yet
 * @RU_RUNNING: runs at the endpoint
 * @RU_STOPPING: is being stopped; may run, or not have been started
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
	uint64_t number; /* the entry's number of the job */
	unsigned task;
	unsigned attempt;
	unsigned step;
	unsigned index;
	unsigned run;
	unsigned cpu;
	unsigned mem_mb;
	unsigned level;
	unsigned size_ms; /* expected run time on a worker of ratio 1 */
	unsigned limit_ms;
	uint64_t start_by_ms;
	uint64_t expires_ms;
	uint64_t queued_ms;
	uint64_t
	    expected_start_ms;   /* of a queued task, by ru_expect_starts() */
	uint64_t started_ms;     /* when the start was sent; 0: not yet */
	uint64_t confirmed_ms;   /* when the endpoint confirmed the start */
	uint64_t stop_sent_ms;   /* when the stop was last repeated */
	uint64_t lease_limit_ms; /* latest end of the lease of a stopped run */
	uint64_t stopped_ms;     /* when the stop was confirmed; 0: not yet */
	uint64_t incarnation; /* process of the endpoint that got the start */
	uint64_t description; /* of the endpoint that it is for */
	enum ru_phase phase;
	bool listed;       /* a poll has listed the run */
	bool never_listed; /* it was confirmed, but is at no known process */
	bool limit_hit;    /* is being stopped at its run time limit */
	bool returnable;   /* its entry may choose another worker */
	bool taken_back;   /* is returned if its start is rejected */
	enum pd_end_state end; /* state to report once it has stopped */
};

struct ru_entry {
	uint64_t incarnation;
	uint64_t echo_ms; /* latest reading of our clock that it echoed */
};

struct ru {
	const struct ck *clock;
	struct ct *counters;
	const struct ru_ops *ops;
	void *arg;
	GPtrArray *tasks; /* struct ru_task, owned */
	GArray *entries;  /* struct ru_entry */
	struct wh
	    health; /* of this worker, learned from the runs of all entries */
	uint64_t endpoint_incarnation;
	uint64_t description; /* see struct ru_endpoint; 0: unknown */
	unsigned cpu;
	unsigned mem_mb;
	unsigned unanswered; /* consecutive calls without an answer */
	bool endpoint_known;
	bool accepting;
	bool draining;
	enum pd_zone_state zone; /* of the endpoint */
	bool old_runs_ended;     /* of an earlier process of the agent */
	bool replaced; /* an earlier process of the endpoint may have runs */
	uint64_t lease_until_ms; /* no run can exist after this */
	uint64_t full_until_ms;  /* no starts before this */
	uint64_t ended_ms;       /* when the endpoint last listed an end */
};

/** ru_sum_load() - as ru_load(), without the learned speed, which no decision
 * of the runner needs */
struct ru_load ru_sum_load(const struct ru *r);

/** ru_speed() - what has been learned from the runs, as it is reported */
struct pd_speed ru_speed(const struct ru *r);

/** ru_start_queued() - start queued tasks that fit, the most urgent first */
void ru_start_queued(struct ru *r);

/**
 * enum ru_cause - why a task counts as ended
 * @RU_C_LISTED: the endpoint listed the end of the run
 * @RU_C_NOT_LISTED: the endpoint's list no longer has the run
 * @RU_C_STOPPED: a stop was confirmed, and the list does not have the run
 * @RU_C_LEASE: the lease is over
 * @RU_C_NOT_STARTED: no start was sent, or it was refused
 */
enum ru_cause {
	RU_C_LISTED = 0,
	RU_C_NOT_LISTED,
	RU_C_STOPPED,
	RU_C_LEASE,
	RU_C_NOT_STARTED,
};

/** ru_end() - report the end of a task and remove it; @t is consumed */
void ru_end(struct ru *r, struct ru_task *t, enum pd_end_state state,
    enum ru_cause cause);

/** ru_return_queued() - return all queued tasks to their entries */
void ru_return_queued(struct ru *r);

/** ru_stop_task() - stop a task, to be reported as @end; a queued one is
 * returned and consumed */
void ru_stop_task(struct ru *r, struct ru_task *t, enum pd_end_state end);

/** ru_run_of() - description of the run of a task for the endpoint, borrowed
 * from @t */
struct ru_run ru_run_of(const struct ru_task *t);

/** ru_entry_echo_ms() - latest reading of our clock that an entry echoed; 0 if
 * it is not known */
uint64_t ru_entry_echo_ms(const struct ru *r, uint64_t entry);

/** ru_lease_ms() - longest lease that may be ordered now, 0 for none */
unsigned ru_lease_ms(const struct ru *r);

/** ru_lease_limit_ms() - time until which the lease of a run may last */
uint64_t ru_lease_limit_ms(const struct ru *r, const struct ru_task *t);

/** ru_extend_lease() - note that the lease is renewed now. Return: its
 * duration, milliseconds */
unsigned ru_extend_lease(struct ru *r);

/** ru_check_runs() - repeat unconfirmed stops and end the runs whose lease is
 * over */
void ru_check_runs(struct ru *r);

#endif
