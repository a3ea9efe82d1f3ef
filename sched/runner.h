#ifndef RUNNER_H
#define RUNNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pd.h"

/**
 * DOC: ru - runner of an agent: decides which granted tasks start at its
 * endpoint, in which order, and when they are stopped
 *
 * It does no I/O. Runs hold a lease that the runner renews; if the agent
 * freezes or dies, the endpoint ends them when the lease is over.
 */
struct ru;
struct ck;
struct ct;

/**
 * struct ru_run - a run of a task at the endpoint
 * @id: of the job
 * @step: step of the job
 * @index: of the task in the step
 * @run: run number of the task, counted from 1
 * @lease_ms: time after which the endpoint ends all its runs, see LE_RUN_MS
 * @body: sent to the endpoint
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

/** enum ru_start_result - answer of the endpoint to a start order */
enum ru_start_result {
	RU_STARTED = 0,
	RU_NO_ROOM,   /* not started: the endpoint is full or unhealthy */
	RU_OLD_RUN,   /* not started: the run number was used before */
	RU_TOO_LATE,  /* not started: the lease had ended on arrival */
	RU_REJECTED,  /* not started, and never will be */
	RU_NO_ANSWER, /* it may have been started, or may be later */
};

/** enum ru_outcome - how a run ended */
enum ru_outcome {
	RU_DONE = 0,
	RU_FAILED,
	RU_STOPPED,
	RU_LAPSED, /* its lease ended, or the endpoint lost the run */
};

/** struct ru_run_info - a run as listed by the endpoint */
struct ru_run_info {
	const char *id;
	unsigned step;
	unsigned index;
	unsigned run;
	enum ru_outcome outcome; /* set for ended runs */
};

/**
 * struct ru_poll_result - answer of the endpoint to a poll
 * @sent_ms: when the poll was sent
 * @incarnation: number that differs for each start of the endpoint
 * @running: runs that go on
 * @ended: runs that have ended and are not acknowledged yet
 * @partial: there may be runs and ends that are not in the lists
 */
struct ru_poll_result {
	uint64_t sent_ms;
	uint64_t incarnation;
	const struct ru_run_info *running;
	unsigned nrunning;
	const struct ru_run_info *ended;
	unsigned nended;
	bool partial;
};

/**
 * struct ru_ops - callbacks; must not call functions of this module
 * @start: start a run; answered by ru_start_answer()
 * @stop: stop a run; answered by ru_stop_answer()
 * @ended: report the end of a grant to the entry that made it
 */
struct ru_ops {
	void (*start)(void *arg, const struct ru_run *r);
	void (*stop)(void *arg, const struct ru_run *r);
	void (*ended)(void *arg, uint64_t entry, const struct pd_end *e);
};

/** ru_new() - create a runner without grants */
struct ru *ru_new(const struct ck *clock, struct ct *counters,
    const struct ru_ops *ops, void *arg);

/** ru_free() - consumed, NULL is allowed */
void ru_free(struct ru *r);

/**
 * struct ru_endpoint - the endpoint as it describes itself
 * @incarnation: number that differs for each start of it; as in polls, since
 *     anyone can send a heartbeat
 * @description: identifies the process and everything by which entries place
 *     tasks: service, availability zone, labels and capacity; not 0
 * @cpu: its capacity, thousandths of a core
 * @accepting: it accepts new tasks
 */
struct ru_endpoint {
	uint64_t incarnation;
	uint64_t description;
	unsigned cpu;
	unsigned mem_mb;
	bool accepting;
};

/** ru_update_endpoint() - handle a heartbeat of the endpoint */
void ru_update_endpoint(struct ru *r, const struct ru_endpoint *e);

/**
 * ru_set_zone() - set the state of the availability zone of the endpoint
 *
 * In one that is out nothing starts, whichever entry has granted it: runs go
 * on, and all else is returned.
 */
void ru_set_zone(struct ru *r, enum pd_zone_state zone);

/**
 * ru_endpoint_gone() - handle that the endpoint takes no more tasks
 *
 * Its runs count until it lists their ends or their lease is over: a process
 * that has deregistered may finish them.
 */
void ru_endpoint_gone(struct ru *r);

/** ru_polled() - handle the answer to a poll */
void ru_polled(struct ru *r, const struct ru_poll_result *poll);

/**
 * ru_renew_lease() - decide on a renewal of the lease, to be sent now
 *
 * Return: milliseconds for which to renew it; 0 for no renewal.
 */
unsigned ru_renew_lease(struct ru *r);

/** ru_call_unanswered() - note that a call to the endpoint got no answer */
void ru_call_unanswered(struct ru *r);

/**
 * ru_connection_refused() - note that the endpoint refused a connection
 *
 * This does not prove that its runs have ended: they count as running until
 * their lease is over or the endpoint reports a restart.
 */
void ru_connection_refused(struct ru *r);

/** ru_start_answer() - handle the answer to ru_ops.start */
void ru_start_answer(
    struct ru *r, const struct ru_run *run, enum ru_start_result answer);

/** ru_stop_answer() - handle the answer to ru_ops.stop
 * @done: the run does not exist, or ends at once */
void ru_stop_answer(struct ru *r, const struct ru_run *run, bool done);

/** ru_entry_contact() - note that an entry echoed a reading of this agent's
 * clock */
void ru_entry_contact(struct ru *r, uint64_t entry, uint64_t clock_ms);

/** ru_entry_gone() - handle the end of an entry process: stop its tasks */
void ru_entry_gone(struct ru *r, uint64_t entry);

/**
 * ru_grant() - handle a grant of an entry: queue, start or return the task
 *
 * A grant is for one description of the endpoint. It is returned if that is not
 * the current one, also later, while it is queued.
 */
void ru_grant(struct ru *r, uint64_t entry, const struct pd_start *s);

/** ru_withdraw() - stop a task that its entry no longer needs */
void ru_withdraw(struct ru *r, uint64_t entry, const struct pd_key *k);

/** ru_take_back() - return a task unless it has started; a run goes on */
void ru_take_back(struct ru *r, uint64_t entry, const struct pd_key *k);

/** ru_grant_state() - state of a grant, PD_END_LOST if it is unknown */
enum pd_end_state ru_grant_state(
    const struct ru *r, uint64_t entry, const struct pd_key *k);

/** ru_has_grants() - whether an entry has grants here */
bool ru_has_grants(const struct ru *r, uint64_t entry);

/** ru_drain() - accept no more grants and return the queued ones */
void ru_drain(struct ru *r);

/** ru_tick() - check contact to entries, deadlines and leases; call every
 * 20 ms */
void ru_tick(struct ru *r);

/** struct ru_load - current load and capacity */
struct ru_load {
	struct pd_load reported; /* part that is sent to entries */
	unsigned cpu;
	unsigned mem_mb;
	uint64_t description; /* of the endpoint; 0: unknown */
	unsigned active;      /* runs at the endpoint */
	unsigned queued;      /* tasks that wait */
	bool old_runs_ended;  /* no run of an earlier agent process is left */
};

/** ru_load() - current load and capacity */
struct ru_load ru_load(const struct ru *r);

#endif
