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
 * DOC: sb - table of submissions: their tasks, waiters and answers
 *
 * Private to the dispatcher. The table owns the submissions.
 */
struct ep;
struct lane;
struct sb;

/**
 * enum sb_state - state of a task
 * @SB_WAITING: at the entry, or its payload is not known yet
 * @SB_GRANTED: at an agent, outcome not known
 * @SB_DONE: has its result
 * @SB_ENDED: failed, outcome lost, or dropped
 */
enum sb_state {
	SB_WAITING = 0,
	SB_GRANTED,
	SB_DONE,
	SB_ENDED,
};

/** struct sb_task - one task of a submission */
struct sb_task {
	struct hp_node due; /* next RESOLVE when granted */
	struct sb *sub;
	struct ep *ep;        /* endpoint of the outstanding grant; NULL when
				 it is not connected since a takeover */
	struct sb_task *next; /* outstanding grants of the endpoint */
	struct sb_task *prev;
	uint64_t incarnation; /* of the agent with the grant */
	uint64_t granted_us;
	uint64_t start_us; /* expected start */
	uint64_t resolve_after_us;
	double cost_ms; /* expected slot time */
	double
	    work_ms; /* size that is expected of a task that declares size_ms */
	const char *body;
	char *result; /* owned */
	uint32_t body_len;
	uint32_t result_len;
	uint32_t index;
	uint32_t attempt;
	uint32_t size_ms;
	uint8_t state;
	uint8_t starts;        /* attempts that may have started */
	uint8_t inconclusive;  /* reports that did not settle the outcome */
	bool counted_in_quota; /* granted by this entry: counts in its quota */
	bool again;            /* listed in the submission's again */
};

/**
 * enum sb_phase - phase of a submission
 * @SB_HELD: waits for its partition, or only known from start records
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
	struct hp_node check;  /* deadline, or an earlier check of it */
	struct hp_node expiry; /* end of life */
	struct sb *next;       /* submissions of the partition */
	struct sb *prev;
	struct pd_id id; /* id owned */
	uint64_t hash;
	uint64_t body_hash;
	uint64_t arrived_us;
	uint64_t deadline_us;
	struct lane *lane; /* NULL until it runs */
	char *texts;       /* owned: team, service, az, bodies */
	const char *team;
	const char *service;
	const char *az;
	struct sb_task *tasks;     /* owned */
	uint16_t *order;           /* owned: tasks by falling size */
	struct pd_result *results; /* owned: of a complete answer */
	GArray *waiters;           /* owned: uint64_t, NULL when none */
	GArray *again;             /* owned: indexes of returned tasks */
	double left_ms;            /* declared work not granted */
	uint32_t ntasks;
	uint32_t cursor; /* in order: tasks before it were granted */
	uint32_t tail;   /* in order: tasks from it on were granted */
	uint32_t nwaiting;
	uint32_t ngranted;
	uint32_t ndone;
	uint32_t nstarted; /* tasks that may have started */
	uint8_t partition;
	uint8_t phase;
	bool payload;
	bool idempotent;
	bool withdrawn; /* nothing more is granted; outcomes are awaited */
	bool
	    retried_unresolved; /* an attempt that was retried has no outcome */
	bool lost;              /* the outcome of a task will never be known */
	bool failed;            /* a task failed */
	uint8_t status;
	bool not_run;
	const char *reason;
	char *detail; /* owned */
};

/** struct sb_table - all submissions that are remembered */
struct sb_table {
	GHashTable *subs;    /* set of struct sb */
	GHashTable *waiters; /* waiter -> struct sb */
	GHashTable *refused; /* hashes of ids refused without an entry here */
	GQueue refused_order;
	uint64_t
	    refused_until_ms; /* ids up to here that are unknown stay refused */
	struct sb *partitions[PD_PARTITIONS];
};

/** sb_table_init() - make an empty table */
void sb_table_init(struct sb_table *t);

/** sb_table_release() - free all submissions and the table's memory */
void sb_table_release(struct sb_table *t);

/** sb_find() - submission by id, borrowed; NULL if unknown */
struct sb *sb_find(const struct sb_table *t, const struct pd_id *id);

/** sb_new() - add a submission with @ntasks empty tasks; owned by the table */
struct sb *sb_new(struct sb_table *t, const struct pd_id *id, uint32_t ntasks);

/** sb_set_payload() - copy the payload of a submission */
void sb_set_payload(struct sb *s, const struct pd_submit *p);

/** sb_body_hash() - hash over all that makes two submissions the same */
uint64_t sb_body_hash(const struct pd_submit *p);

/**
 * sb_remove() - forget a submission that is in no heap, lane or endpoint list
 * @s: consumed
 */
void sb_remove(struct sb_table *t, struct sb *s);

/** sb_add_waiter() - attach a waiter; no effect when @waiter is 0 */
void sb_add_waiter(struct sb_table *t, struct sb *s, uint64_t waiter);

/** sb_remove_waiter() - remove a waiter */
void sb_remove_waiter(struct sb_table *t, uint64_t waiter);

/** sb_fill_answer() - answer of an answered submission, borrowed */
void sb_fill_answer(const struct sb *s, struct pd_answer *out);

/**
 * sb_free_tasks() - free what an answered submission without outstanding grants
 * does not need
 */
void sb_free_tasks(struct sb *s);

/** sb_remember_refusal() - remember that an id was refused, without an entry */
void sb_remember_refusal(
    struct sb_table *t, const struct pd_id *id, uint64_t oldest_ms, size_t max);

/** sb_was_refused() - whether an unknown id was refused by
 * sb_remember_refusal() */
bool sb_was_refused(const struct sb_table *t, const struct pd_id *id);

#endif
