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
 * DOC: dp - internals of the dispatcher
 *
 * dispatch.c handles input. lane.c (ln) maps the configuration to lanes of
 * endpoints, placement.c (pm) grants waiting tasks, outcome.c (oc) handles
 * reports and answers.
 */

/**
 * struct lane - queue of jobs of one team that may use the same endpoints
 * @refuse_reason: reason to refuse its jobs when they can never run, else NULL
 * @refuse_detail: text for the caller that goes with it
 */
struct lane {
	char *team;
	char *az;
	struct service *service;
	struct qu_lane *queue;
	GPtrArray *eps; /* struct po_endpoint, borrowed */
	const char *refuse_reason;
	char *refuse_detail;
	double rate;      /* work per time that this entry gets done */
	uint64_t rate_us; /* when @rate was computed; 0 to recompute it */
};

/** struct session - session with an agent */
struct session {
	struct ep *ep;
};

/** struct partition - what this entry may do with a partition */
struct partition {
	enum dp_partition_state state;
	uint64_t view; /* under which grants are made */
	bool records_complete;
	uint64_t takeover_ms;       /* wall clock; 0 without a former owner */
	uint64_t record_dropped_ms; /* wall clock, when the table was full */
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
	/* Greatest created_ms of a forgotten submission. The wall clock may be
	 * set back after the submission has expired by the monotonic one. */
	uint64_t forgotten_until_ms;
	struct partition partitions[PD_PARTITIONS];
	struct sb_table table;
	struct qu *queue;
	GHashTable *services; /* name -> struct service */
	GPtrArray *service_list;
	GHashTable *azs;   /* set of names in the inventory */
	GHashTable *lanes; /* "team\nservice\naz" -> struct lane */
	GHashTable *eps;   /* name -> struct ep */
	struct pl *sessions;
	struct hp deadline_checks; /* struct sb by next deadline check */
	struct hp expiries;        /* struct sb by expiry */
	struct hp resolve_timers;  /* struct sb_task by next RESOLVE */
	struct hp wakes;           /* struct ep by end of hold or next probe */
	GPtrArray *resolve_eps;    /* struct ep with queued RESOLVE keys */
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

/**
 * dp_check_deadlines() - end submissions that missed their deadline, or whose
 * deadline cannot be met
 */
void dp_check_deadlines(struct dp *d, uint64_t now_us);

/* lane.c */

/** ln_init() - allocate the maps */
void ln_init(struct dp *d);

/** ln_release() - free the maps */
void ln_release(struct dp *d);

/** ln_configure() - apply a new revision of the cell state */
void ln_configure(struct dp *d);

/** ln_place_endpoint() - assign an endpoint to its service and lanes */
void ln_place_endpoint(struct dp *d, struct ep *e);

/**
 * ln_get() - find or create the lane of a submission
 * @reason: set when NULL is returned because the job can never run
 * @detail: set with @reason, owned by the caller
 */
struct lane *ln_get(struct dp *d, const char *team, const char *service,
    const char *az, const char **reason, char **detail);

/** ln_run_time_ms() - time in which a lane's endpoints do work of this entry */
double ln_run_time_ms(struct dp *d, struct lane *l, double work_ms);

/**
 * ln_wait_ms() - expected wait of new work in a lane
 * @work_ms: declared work
 */
double ln_wait_ms(struct dp *d, struct lane *l, double work_ms);

/* placement.c */

/** pm_enqueue() - queue a submission with waiting tasks in its lane */
void pm_enqueue(struct dp *d, struct sb *s);

/** pm_dequeue() - remove a submission from its lane */
void pm_dequeue(struct dp *d, struct sb *s);

/** pm_add_waiting() - add @n to the number of tasks that wait at the entry */
void pm_add_waiting(struct dp *d, struct sb *s, int n);

/** pm_grant_waiting() - grant tasks of a service while endpoints have room */
void pm_grant_waiting(struct dp *d, struct service *s);

/** pm_refresh_endpoint() - recompute load and limit of an endpoint */
void pm_refresh_endpoint(struct dp *d, struct ep *e);

/** pm_wake_endpoints() - handle ended holds and due probes */
void pm_wake_endpoints(struct dp *d);

/* outcome.c */

/**
 * oc_answer_waiter() - answer a waiter that is attached to no submission
 */
void oc_answer_waiter(struct dp *d, const struct pd_id *id, uint64_t waiter,
    pd_status_code status, const char *reason, const char *detail,
    bool not_run);

/**
 * oc_repeat_answer() - send the answer of a submission to a further waiter
 */
void oc_repeat_answer(struct dp *d, const struct sb *s, uint64_t waiter);

/** oc_finish() - answer a submission; @detail is consumed */
void oc_finish(struct dp *d, struct sb *s, pd_status_code status,
    const char *reason, char *detail, bool not_run);

/**
 * oc_abort() - end a submission that will not complete: refused when no task
 * started, unknown when an outcome is not known, else failed
 * @detail: consumed
 */
void oc_abort(struct dp *d, struct sb *s, const char *reason, char *detail);

/**
 * oc_finish_if_decided() - answer a submission if its tasks decide the answer
 */
void oc_finish_if_decided(struct dp *d, struct sb *s);

/** oc_records_sufficient() - whether start records tell which tasks ran */
bool oc_records_sufficient(const struct dp *d, const struct sb *s);

/**
 * oc_not_run_provable() - whether this entry may answer "not run" for an
 * unknown id
 */
bool oc_not_run_provable(const struct dp *d, const struct pd_id *id);

/** oc_task_reported() - handle a report on an outstanding grant */
void oc_task_reported(
    struct dp *d, struct sb_task *t, const struct pd_record *r);

/** oc_task_lost() - give up an outstanding grant; its outcome stays unknown */
void oc_task_lost(struct dp *d, struct sb_task *t);

/** oc_adopt_record() - apply a gathered start record to its submission */
void oc_adopt_record(
    struct dp *d, struct sb *s, struct ep *e, const struct pd_record *r);

/**
 * oc_withdraw() - withdraw the tasks that have not started; the answer follows
 * when the outcome of every granted task is known
 * @detail: consumed
 */
void oc_withdraw(struct dp *d, struct sb *s, const char *reason, char *detail);

/** oc_forget() - remove a submission and its outstanding grants; consumed */
void oc_forget(struct dp *d, struct sb *s);

/** oc_queue_resolve() - queue a RESOLVE for an outstanding grant */
void oc_queue_resolve(struct dp *d, struct sb_task *t);

/** oc_send_resolves() - send the queued RESOLVE keys */
void oc_send_resolves(struct dp *d);

#endif
