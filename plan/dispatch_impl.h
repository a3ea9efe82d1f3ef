#ifndef DISPATCH_IMPL_H
#define DISPATCH_IMPL_H

#include <glib.h>

#include "clock.h"
#include "counters.h"
#include "dispatch.h"
#include "endpoint.h"
#include "heap.h"
#include "history.h"
#include "policy.h"
#include "pool.h"
#include "quota.h"
#include "rng.h"
#include "submission.h"

/**
 * DOC: dp - parts of the dispatcher
 *
 * dispatch.c takes input, lane.c maps the configuration to endpoints,
 * placement.c grants waiting tasks, outcome.c handles reports and answers.
 */

/**
 * struct lane - jobs of one team that may use the same endpoints
 * @impossible: reason why they can never run, NULL when they can
 */
struct lane {
	char *team;
	char *az;
	struct service *service;
	struct qu_lane *queue;
	GPtrArray *eps; /* struct po_endpoint, borrowed */
	const char *impossible;
	char *detail;
	double rate; /* declared work per time, from this entry's share */
	uint64_t rate_us;
};

/** struct session - session with an agent */
struct session {
	struct ep *ep;
};

/** struct partition - what this entry may do with a partition */
struct partition {
	enum dp_partition_state state;
	uint64_t view;
	bool complete;
	uint64_t takeover_ms;
	uint64_t record_dropped_ms; /* when a gathered record found no place */
};

struct dp {
	struct ck *clock;
	struct ct *counters;
	struct hi *history;
	const struct po_ops *policy;
	struct dp_settings settings;
	const struct dp_ops *ops;
	void *arg;
	struct rn *rng;
	const struct cs *state;
	uint64_t verified_until_ms;
	struct partition partitions[PD_PARTITIONS];
	struct sb_table table;
	struct qu *queue;
	GHashTable *services; /* name -> struct service */
	GPtrArray *service_list;
	GHashTable *azs;   /* set of names in the inventory */
	GHashTable *lanes; /* "team/service/az" -> struct lane */
	GHashTable *eps;   /* name -> struct ep */
	struct pl *sessions;
	struct hp deadline_checks; /* struct sb by next look at the deadline */
	struct hp expiries;        /* struct sb by end of life */
	struct hp resolve_timers;  /* struct sb_task by next RESOLVE */
	struct hp wakes;           /* struct ep */
	GPtrArray *doubtful;       /* struct ep with tasks to resolve */
	size_t pending;
	size_t queued;
	size_t granted;
	struct ct_metric *m_submissions;
	struct ct_metric *m_grants;
	struct ct_metric *m_ignored;
};

static inline uint64_t
dp_now(const struct dp *d)
{
	return (ck_mono_us(d->clock));
}

static inline bool
dp_verified(const struct dp *d)
{
	return (ck_mono_ms(d->clock) < d->verified_until_ms);
}

/* dispatch.c */

/** dp_check_deadlines() - end the submissions whose deadline passed */
void dp_check_deadlines(struct dp *d, uint64_t now_us);

/* lane.c */

/** ln_init() - allocate the maps */
void ln_init(struct dp *d);

/** ln_release() - free the maps */
void ln_release(struct dp *d);

/** ln_configure() - follow a new revision of the cell state */
void ln_configure(struct dp *d);

/** ln_place_endpoint() - an endpoint announced itself: find its place */
void ln_place_endpoint(struct dp *d, struct ep *e);

/**
 * ln_get() - lane of a submission
 * @reason: set when there is none because the job can never run
 * @detail: set with @reason, owned by the caller
 */
struct lane *ln_get(struct dp *d, const char *team, const char *service,
    const char *az, const char **reason, char **detail);

/** ln_run_time_ms() - time that a lane's endpoints take for work of this entry
 */
double ln_run_time_ms(struct dp *d, struct lane *l, double work_ms);

/**
 * ln_wait_ms() - expected time until new work of a lane is done
 * @work_ms: declared work
 */
double ln_wait_ms(struct dp *d, struct lane *l, double work_ms);

/* placement.c */

/** pm_enqueue() - put a submission with waiting tasks into its lane */
void pm_enqueue(struct dp *d, struct sb *s);

/** pm_dequeue() - take a submission out of its lane */
void pm_dequeue(struct dp *d, struct sb *s);

/** pm_add_waiting() - @n more tasks of a submission wait at the entry */
void pm_add_waiting(struct dp *d, struct sb *s, int n);

/** pm_grant_waiting() - grant what can be granted at a service */
void pm_grant_waiting(struct dp *d, struct service *s);

/** pm_refresh_endpoint() - the load of an endpoint changed */
void pm_refresh_endpoint(struct dp *d, struct ep *e);

/** pm_wake_endpoints() - end of holds, next probes */
void pm_wake_endpoints(struct dp *d);

/* outcome.c */

/** oc_answer_waiter() - answer a waiter that is attached to no submission */
void oc_answer_waiter(struct dp *d, const struct pd_id *id, uint64_t waiter,
    pd_status_code status, const char *reason, const char *detail,
    bool not_run);

/** oc_repeat_answer() - answer a waiter from an answered submission */
void oc_repeat_answer(struct dp *d, const struct sb *s, uint64_t waiter);

/** oc_finish() - give a submission its answer; @detail is consumed */
void oc_finish(struct dp *d, struct sb *s, pd_status_code status,
    const char *reason, char *detail, bool not_run);

/**
 * oc_abort() - end a submission that will not be completed: refused when
 * no task started, unknown when an outcome is not known, else failed
 * @detail: consumed
 */
void oc_abort(struct dp *d, struct sb *s, const char *reason, char *detail);

/** oc_finish_if_decided() - answer a submission if its tasks decide the answer
 */
void oc_finish_if_decided(struct dp *d, struct sb *s);

/** oc_records_sufficient() - whether the start records show what ran of it */
bool oc_records_sufficient(const struct dp *d, const struct sb *s);

/**
 * oc_not_run_provable() - whether this entry may say "not run" of an id that it
 * does not know
 */
bool oc_not_run_provable(const struct dp *d, const struct pd_id *id);

/** oc_task_reported() - the state of an outstanding grant was reported */
void oc_task_reported(
    struct dp *d, struct sb_task *t, const struct pd_record *r);

/** oc_task_lost() - the outcome of an outstanding grant will never be known */
void oc_task_lost(struct dp *d, struct sb_task *t);

/** oc_adopt_record() - a start record was gathered for a known submission */
void oc_adopt_record(
    struct dp *d, struct sb *s, struct ep *e, const struct pd_record *r);

/**
 * oc_withdraw() - withdraw what has not started; the answer follows when the
 * outcome of every granted task is known
 * @detail: consumed
 */
void oc_withdraw(struct dp *d, struct sb *s, const char *reason, char *detail);

/** oc_forget() - forget a submission and its outstanding grants; consumed */
void oc_forget(struct dp *d, struct sb *s);

/** oc_queue_resolve() - ask the agent for the state of an outstanding grant */
void oc_queue_resolve(struct dp *d, struct sb_task *t);

/** oc_send_resolves() - send the questions collected by oc_queue_resolve() */
void oc_send_resolves(struct dp *d);

#endif
