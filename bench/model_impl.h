#ifndef MODEL_IMPL_H
#define MODEL_IMPL_H

#include <glib.h>

#include "clock.h"
#include "config.h"
#include "counters.h"
#include "fleet.h"
#include "jobs.h"
#include "model.h"
#include "rng.h"
#include "runner.h"

/**
 * DOC: md - internals of the model: model.c has the events, arrivals and
 * entries, model_worker.c the agents and endpoints, model_result.c the result
 */

struct md;
struct md_event;

/** typedef md_event_fn - handler of an event, which is freed afterwards */
typedef void (*md_event_fn)(struct md *m, struct md_event *e);

/**
 * struct md_event - event in simulated time
 * @order: order of creation, in which events of the same time are handled
 * @a: @b: numbers for @fn, such as an entry and a worker
 * @data: argument for @fn, owned; freed with g_free()
 */
struct md_event {
	uint64_t at_us;
	uint64_t order;
	md_event_fn fn;
	unsigned a;
	unsigned b;
	void *data;
};

/** struct md_job - job as seen by its client */
struct md_job {
	char id[20];
	unsigned kind;
	unsigned ntasks;
	uint64_t arrived_us;
	uint64_t allowed_us; /* response time that counts as in time */
	unsigned waits_ms;   /* time that its client waits */
	double tail;         /* factor of its run times */
	double *work_ms;     /* of each task */
	double run_core_s;   /* core-seconds of its runs so far */
	bool answered;
	enum jb_status status;
	uint64_t response_us;
};

struct md_entry {
	struct md *model;
	unsigned number;
	char az[16];
	struct cf *config;
	struct fl *fleet;
	struct jb *jobs;
};

/** struct md_run_state - active run at an endpoint */
struct md_run_state {
	char id[20];
	unsigned index;
	unsigned run;
	unsigned cpu;
	uint64_t number; /* unique in the model */
	uint64_t started_us;
};

struct md_worker {
	struct md *model;
	unsigned number;
	char name[16];
	char az[16];
	unsigned cpu;
	double speed;
	double slowdown;
	bool up;
	uint64_t incarnation;
	struct ru *runner;
	GArray *runs;   /* struct md_run_state */
	bool *contacts; /* whether it is connected to each entry */
	GArray **ended; /* struct pd_end for each entry, with owned ids */
	uint64_t *reported_us;
	bool flush_pending;
};

struct md {
	const struct md_load *load;
	struct md_result *result;
	struct ck *clock;
	struct ct *counters;
	struct rn *arrival_rng; /* arrivals, independent of decisions */
	struct rn *run_rng;     /* failures of runs */
	GSequence *events;      /* struct md_event, owned */
	uint64_t last_event_order;
	struct md_entry *entries;
	struct md_worker *workers;
	unsigned nworkers;
	GPtrArray *jobs;         /* struct md_job, owned */
	GHashTable *jobs_by_id;  /* id -> struct md_job */
	GHashTable *active_runs; /* "id.index" -> number of active runs */
	double arrival_factor[MD_KINDS_MAX];
	uint64_t arrivals_end_us;
	uint64_t last_run_number;
};

/** md_schedule() - call @fn after @delay_us; takes ownership of @data */
void md_schedule(struct md *m, uint64_t delay_us, md_event_fn fn, unsigned a,
    unsigned b, void *data);

/** md_net_us() - network delay of a message, microseconds */
uint64_t md_net_us(const struct md *m);

/** md_workers_new() - create and start the agents and endpoints of @m */
void md_workers_new(struct md *m);

/** md_workers_free() - free what md_workers_new() created */
void md_workers_free(struct md *m);

/** md_worker_stop() - power off a worker; its runs are lost */
void md_worker_stop(struct md_worker *w);

/** md_worker_start() - power on a worker, with a new agent and endpoint */
void md_worker_start(struct md_worker *w);

/** md_grant() - send a grant to an agent; @s is copied */
void md_grant(
    struct md_entry *e, const struct fl_worker *to, const struct pd_start *s);

/** md_set_az() - write the name of the availability zone of the entry or worker
 * with a number; @az has 16 bytes */
void md_set_az(const struct md *m, unsigned number, char *az);

/** md_withdraw() - withdraw a grant from an agent */
void md_withdraw(
    struct md_entry *e, const struct fl_worker *to, const struct pd_key *k);

/** md_reconcile() - request the states of grants from an agent */
void md_reconcile(struct md_entry *e, const struct fl_worker *to,
    const struct pd_key *keys, unsigned n);

/** md_count_results() - compute the result from the jobs */
void md_count_results(struct md *m);

#endif
