#ifndef RUNNER_H
#define RUNNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pd.h"

/**
 * DOC: ru - runner of an agent: which granted tasks start at the endpoint
 * beside it, in which order, and when they are stopped
 *
 * Pure decision logic. Runs live under a lease that the runner renews; when
 * the agent freezes or dies, the endpoint ends them by itself.
 */
struct ru;
struct ck;
struct ct;

/**
 * struct ru_run - one run at the endpoint
 * @id: of the job
 * @step: step of the job
 * @index: of the task in the step
 * @run: number of the start of this task, from 1
 * @lease_ms: time after which the endpoint ends all its runs
 * @body: what the endpoint gets
 */
struct ru_run {
	const char *id;
	unsigned step;
	unsigned index;
	unsigned run;
	unsigned lease_ms;
	const char *body;
	size_t body_len;
};

/** enum ru_start_result - answer of the endpoint to a start */
enum ru_start_result {
	RU_STARTED = 0,
	RU_NO_ROOM,   /* nothing was started */
	RU_OLD_RUN,   /* that run number is used up */
	RU_TOO_LATE,  /* its lease had ended on arrival */
	RU_REJECTED,  /* nothing was started, and will not be */
	RU_NO_ANSWER, /* it may have been started, or may be later */
};

/** enum ru_outcome - how a run ended */
enum ru_outcome {
	RU_DONE = 0,
	RU_FAILED,
	RU_STOPPED,
	RU_LAPSED, /* its lease ended, or the endpoint lost it */
};

/** struct ru_run_info - a run in a list of the endpoint */
struct ru_run_info {
	const char *id;
	unsigned step;
	unsigned index;
	unsigned run;
	enum ru_outcome how; /* of ended runs */
};

/**
 * struct ru_poll_result - what the endpoint says of itself
 * @sent_ms: when it was asked
 * @incarnation: number that differs for each start of the endpoint
 */
struct ru_poll_result {
	uint64_t sent_ms;
	uint64_t incarnation;
	const struct ru_run_info *running;
	unsigned nrunning;
	const struct ru_run_info *ended;
	unsigned nended;
};

/**
 * struct ru_ops - outputs; must not call back into the runner
 * @start: start a run, answered by ru_start_answer()
 * @stop: stop a run, answered by ru_stop_answer()
 * @ended: a grant is over; @entry is the entry that made it
 */
struct ru_ops {
	void (*start)(void *arg, const struct ru_run *r);
	void (*stop)(void *arg, const struct ru_run *r);
	void (*ended)(void *arg, uint64_t entry, const struct pd_end *e);
};

/** ru_new() - nothing to run */
struct ru *ru_new(const struct ck *clock, struct ct *counters,
    const struct ru_ops *ops, void *arg);

/** ru_free() - consumed, NULL is allowed */
void ru_free(struct ru *r);

/**
 * ru_update_endpoint() - the endpoint announced itself
 * @incarnation: number that differs for each start of it
 * @accepting: it takes new work
 */
void ru_update_endpoint(struct ru *r, uint64_t incarnation, unsigned cpu,
    unsigned mem_mb, bool accepting);

/** ru_endpoint_gone() - the endpoint has ended: nothing runs there */
void ru_endpoint_gone(struct ru *r);

/** ru_polled() - the endpoint listed its runs */
void ru_polled(struct ru *r, const struct ru_poll_result *look);

/**
 * ru_renew_lease() - a renewal of the lease is about to be sent
 *
 * Return: milliseconds for which to renew it; 0 when it must not be.
 */
unsigned ru_renew_lease(struct ru *r);

/** ru_call_unanswered() - a call to the endpoint got no answer */
void ru_call_unanswered(struct ru *r);

/**
 * ru_connection_refused() - the endpoint refused a connection
 *
 * That does not prove that its runs have ended: they count until their lease is
 * over, or the endpoint says that it has restarted.
 */
void ru_connection_refused(struct ru *r);

/** ru_start_answer() - see struct ru_ops */
void ru_start_answer(
    struct ru *r, const struct ru_run *run, enum ru_start_result answer);

/** ru_stop_answer() - @done: the run does not run, or ends at once */
void ru_stop_answer(struct ru *r, const struct ru_run *run, bool done);

/** ru_entry_contact() - an entry echoed a clock reading of this agent */
void ru_entry_contact(struct ru *r, uint64_t entry, uint64_t clock_ms);

/** ru_entry_gone() - the process of an entry has ended */
void ru_entry_gone(struct ru *r, uint64_t entry);

/** ru_grant() - take a grant from an entry */
void ru_grant(struct ru *r, uint64_t entry, const struct pd_start *s);

/** ru_withdraw() - an entry does not need a task any more */
void ru_withdraw(struct ru *r, uint64_t entry, const struct pd_key *k);

/** ru_grant_state() - state of a grant for its entry; unknown ones are void */
enum pd_end_state ru_grant_state(
    const struct ru *r, uint64_t entry, const struct pd_key *k);

/** ru_drain() - take no more grants and give back those that wait */
void ru_drain(struct ru *r);

/** ru_tick() - lost entries, deadlines, leases; call each 20 ms */
void ru_tick(struct ru *r);

/** struct ru_load - load at this moment */
struct ru_load {
	struct pd_load reported; /* as entries are reported */
	unsigned cpu;
	unsigned mem_mb;
	unsigned active; /* runs at the endpoint */
	unsigned queued;
	bool old_runs_ended; /* all runs of an earlier agent have ended */
};

/** ru_load() - load at this moment */
struct ru_load ru_load(const struct ru *r);

#endif
