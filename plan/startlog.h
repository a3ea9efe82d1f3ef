#ifndef STARTLOG_H
#define STARTLOG_H

#include <sys/queue.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pd.h"

/**
 * DOC: sl - start records of an agent
 *
 * A record is created when a grant is accepted or a key is voided, and expires
 * when its lifetime after the end of the task is over. Beyond the memory limit,
 * the bodies of the oldest results are dropped first, then the oldest finished
 * records. Records may be missing for ids that were created up to sl_horizon().
 */
struct sl;

/** struct sl_sub - a submission with at least one record */
struct sl_sub {
	struct pd_id id;
	unsigned partition;
	struct sl_record *first; /* head of the list linked by sibling */
};

/**
 * struct sl_grant - the part of a grant that is kept until its task ends
 * @entry: incarnation of the entry that sent the grant
 * @view: view of the grant
 * @queued_ms: time of arrival, monotonic ms
 * @started_ms: time of the start, monotonic ms
 * @deadline_ms: monotonic ms
 * @idempotent: more than one attempt may start
 * @probe: admitted as a probe of an ejected endpoint
 * @body: request, owned; passed on at the start, then NULL
 */
struct sl_grant {
	uint64_t entry;
	uint64_t view;
	uint64_t queued_ms;
	uint64_t started_ms;
	uint64_t deadline_ms;
	bool idempotent;
	bool probe;
	char *body;
	size_t body_len;
};

/**
 * struct sl_record - state of one key
 * @grant: owned, NULL once the task is finished and for voided keys
 * @body: result, owned
 * @single_attempt: the task may not start under another attempt
 *
 * The caller may change @state, @reason, @queue_ms, @run_ms, @revision and the
 * fields of @grant until the task is finished; this module changes the rest.
 */
struct sl_record {
	struct sl_sub *sub;
	struct sl_record *sibling;
	TAILQ_ENTRY(sl_record) link;
	struct sl_grant *grant;
	char *body;
	uint64_t seq;
	uint64_t finished_ms;
	uint64_t revision;
	uint32_t body_len;
	uint32_t task;
	uint32_t attempt;
	uint32_t queue_ms;
	uint32_t run_ms;
	uint16_t ntasks;
	uint8_t state;  /* enum pd_task_state */
	uint8_t reason; /* enum pd_reason */
	bool single_attempt;
};

/**
 * sl_new() - create an empty table
 * @retention_ms: how long a finished record is kept
 * @bytes_max: memory limit for all records
 */
struct sl *sl_new(uint64_t retention_ms, size_t bytes_max);

/** sl_free() - free all records; consumed, NULL is allowed */
void sl_free(struct sl *s);

/** sl_sub_find() - submission by id, borrowed; NULL when it has no record */
struct sl_sub *sl_sub_find(const struct sl *s, const struct pd_id *id);

/** sl_find() - record of a key, borrowed; NULL when there is none */
struct sl_record *sl_find(const struct sl *s, const struct pd_key *key);

/**
 * sl_add() - add a record in state PD_QUEUED
 * @key: copied; must not have a record
 * @grant: consumed; NULL for a voided key, which is finished at once with
 *     PD_NOT_STARTED and PD_R_VOIDED
 * @now_ms: monotonic ms
 *
 * Return: borrowed record.
 */
struct sl_record *sl_add(struct sl *s, const struct pd_key *key,
    unsigned ntasks, struct sl_grant *grant, uint64_t now_ms);

/**
 * sl_finish() - store the result of a task that has ended
 * @body: result, consumed; may be NULL
 * @now_ms: monotonic ms
 */
void sl_finish(struct sl *s, struct sl_record *r, enum pd_task_state state,
    enum pd_reason reason, char *body, size_t body_len, uint64_t now_ms);

/** sl_remove() - remove a record; consumed */
void sl_remove(struct sl *s, struct sl_record *r);

/** sl_remove_voided() - remove voided keys; bit i stands for partition i */
void sl_remove_voided(struct sl *s, uint64_t partitions);

/** sl_expire() - remove expired records and enforce the memory limit */
void sl_expire(struct sl *s, uint64_t now_ms);

/**
 * sl_horizon() - greatest created_ms among expired and dropped records
 *
 * Records may be missing for ids created up to this time, not for later ones.
 * Return: milliseconds since the Unix epoch, 0 when none was dropped.
 */
uint64_t sl_horizon(const struct sl *s);

/** sl_export() - fill a wire record; pointers in it are borrowed from @r */
void sl_export(const struct sl_record *r, struct pd_record *out);

/**
 * sl_page() - visit a page of the records of partitions, ordered by seq
 * @partitions: bit i stands for partition i
 * @cursor: 0 for the first page, then the result of the previous call
 * @visit: returns false when the page is full; that record is visited again
 *     on the next page
 *
 * Voided keys are skipped. A record that finishes between two pages may be
 * visited twice.
 *
 * Return: cursor of the next page, 0 at the end.
 */
uint64_t sl_page(const struct sl *s, uint64_t partitions, uint64_t cursor,
    bool (*visit)(void *arg, const struct sl_record *r), void *arg);

/** struct sl_stats - sizes at this moment and totals */
struct sl_stats {
	size_t records;
	size_t bytes;
	uint64_t bodies_dropped;
	uint64_t records_dropped; /* before they expired */
};

/** sl_stats() - sizes and totals */
struct sl_stats sl_stats(const struct sl *s);

#endif
