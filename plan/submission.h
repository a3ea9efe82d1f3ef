#ifndef SUBMISSION_H
#define SUBMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "heap.h"
#include "pd.h"
#include "quota.h"

/**
 * DOC: sb - table of submissions with their tasks, waiters and answers
 *
 * Private to the dispatcher. The table owns the submissions.
 */
struct ep;
struct lane;
struct sb;

/**
 * enum sb_task_state - state of a task
 * @SB_WAITING: at the entry, or its payload is not known yet
 * @SB_GRANTED: at an agent, outcome not known
 * @SB_DONE: has its result
 * @SB_ENDED: ended without a result: failed, outcome unknown, or withdrawn
 */
enum sb_task_state {
	SB_WAITING = 0,
	SB_GRANTED,
	SB_DONE,
	SB_ENDED,
};

/** struct sb_task - one task of a submission */
struct sb_task {
	struct hp_node resolve_timer; /* next RESOLVE of a granted task */
	struct sb *sub;
	struct ep *ep;        /* endpoint of the outstanding grant; NULL when
				 it is not connected since a takeover */
	struct sb_task *next; /* outstanding grants of the endpoint */
	struct sb_task *prev;
	uint64_t incarnation; /* of the agent with the grant */
	uint64_t granted_us;
	uint64_t start_us;         /* expected start */
	uint64_t resolve_after_us; /* delay of the next RESOLVE */
	double cost_ms;            /* expected slot time */
	double work_ms;            /* expected size, see po_expected_size() */
	const char *body;
	char *result; /* owned */
	uint32_t body_len;
	uint32_t result_len;
	uint32_t index;
	uint32_t attempt;
	uint32_t size_ms;
	uint8_t state;
	uint8_t starts;        /* attempts that may have started */
	uint8_t inconclusive;  /* reports that left the outcome open */
	bool counted_in_quota; /* granted by this entry */
	bool requeued;         /* listed in the submission's requeued */
};

/**
 * enum sb_phase - phase of a submission
 * @SB_HELD: waits until its partition is active, or only start records are
 *     known
 * @SB_RUNNING: its tasks are dispatched
 * @SB_ANSWERED: has its answer
 */
enum sb_phase {
	SB_HELD = 0,
	SB_RUNNING,
	SB_ANSWERED,
};

/** struct sb - submission */
struct sb {
	struct qu_job job;
	struct hp_node deadline_check; /* next check */
	struct hp_node expiry;         /* end of retention */
	struct sb *next;               /* submission list of the partition */
	struct sb *prev;
	struct pd_id id; /* id owned */
	uint64_t hash;
	uint64_t body_hash; /* 0 when the body is not known */
	uint64_t arrived_us;
	uint64_t deadline_us;
	struct lane *lane; /* NULL until it runs */
	char *texts;       /* owned: team, service, az, bodies */
	const char *team;
	const char *service;
	const char *az;
	struct sb_task *tasks;     /* owned */
	uint16_t *order;           /* owned: tasks by decreasing size */
	struct pd_result *results; /* owned: of a complete answer */
	GArray *waiters;           /* owned: uint64_t, NULL when none */
	GArray *requeued;          /* owned: indexes of tasks that came back */
	double ungranted_ms;       /* expected work of the waiting tasks */
	uint32_t ntasks;
	uint32_t head; /* tasks before it in order were granted */
	uint32_t tail; /* tasks from it on in order were granted */
	uint32_t nwaiting;
	uint32_t ngranted;
	uint32_t ndone;
	uint32_t nstarted; /* tasks that may have started */
	uint8_t partition;
	uint8_t phase;
	bool has_payload;
	bool idempotent;
	bool withdrawn;          /* grants nothing more, awaits outcomes */
	bool retried_unresolved; /* a retried attempt has no outcome */
	bool outcome_lost;       /* outcome of a task will stay unknown */
	bool task_failed;        /* a task ran and failed */
	uint8_t status;
	bool not_run;
	const char *reason;
	char *detail; /* owned */
};

/** struct sb_table - all known submissions */
struct sb_table {
	GHashTable *subs;    /* set of struct sb */
	GHashTable *waiters; /* waiter -> struct sb */
	GHashTable *refused; /* hashes of refused ids that are not in subs */
	GQueue refused_order;
	uint64_t refused_until_ms; /* refuse unknown ids up to here */
	struct sb *partitions[PD_PARTITIONS];
};

/** sb_table_init() - initialise an empty table */
void sb_table_init(struct sb_table *t);

/** sb_table_release() - free all submissions and the memory of the table */
void sb_table_release(struct sb_table *t);

/** sb_find() - submission by id, borrowed; NULL if unknown */
struct sb *sb_find(const struct sb_table *t, const struct pd_id *id);

/** sb_new() - add a submission with @ntasks empty tasks; owned by the table */
struct sb *sb_new(struct sb_table *t, const struct pd_id *id, uint32_t ntasks);

/** sb_set_payload() - copy the payload into a submission */
void sb_set_payload(struct sb *s, const struct pd_submit *p);

/** sb_body_hash() - hash over the parts that must be equal under one id */
uint64_t sb_body_hash(const struct pd_submit *p);

/**
 * sb_remove() - remove a submission that is in no heap, lane or endpoint list
 * @s: consumed
 */
void sb_remove(struct sb_table *t, struct sb *s);

/** sb_add_waiter() - attach a waiter; no effect when @waiter is 0 */
void sb_add_waiter(struct sb_table *t, struct sb *s, uint64_t waiter);

/** sb_remove_waiter() - detach a waiter; no effect when it is unknown */
void sb_remove_waiter(struct sb_table *t, uint64_t waiter);

/** sb_fill_answer() - get the answer of an answered submission, borrowed */
void sb_fill_answer(const struct sb *s, struct pd_answer *out);

/**
 * sb_free_tasks() - free the tasks of an answered submission without
 * outstanding grants; keeps the results of a complete one
 */
void sb_free_tasks(struct sb *s);

/**
 * sb_remember_refusal() - remember a refused id without adding a submission
 * @oldest_ms: refusals of ids created before are dropped
 * @max: limit on remembered refusals; when older ones are dropped for it, all
 *     unknown ids created up to theirs count as refused
 */
void sb_remember_refusal(
    struct sb_table *t, const struct pd_id *id, uint64_t oldest_ms, size_t max);

/** sb_was_refused() - whether an unknown id was refused, or may have been */
bool sb_was_refused(const struct sb_table *t, const struct pd_id *id);

#endif
