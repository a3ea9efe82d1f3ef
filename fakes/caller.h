#ifndef CALLER_H
#define CALLER_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdio.h>

#include "client.h"
#include "tally.h"
#include "workload.h"

/**
 * DOC: ca - caller: sends submissions, resubmits them and checks the answers
 *
 * When a connection breaks, the same id is sent through the next entry until
 * the deadline; after the deadline the answer is fetched for a grace time.
 */
struct ca;

/**
 * struct ca_options - how to call
 * @workload: jobs to send, borrowed
 * @teams: names of teams, used in turn, borrowed
 * @nteams: number of teams
 * @prefix: start of every submission id, borrowed
 * @seed: seed of the random numbers
 * @deadline_ms: time limit of each submission
 * @grace_ms: time after the deadline until a submission counts as unanswered
 * @duplicate_share: share of submissions that are sent twice on purpose
 * @requests: send stand-alone requests (POST /v1/requests) instead of
 *     submissions
 * @idempotent: mark them as idempotent
 * @log: one line per submission, NULL for none, borrowed
 * @record: one line per submission with its arrival and the run times of its
 *     tasks, for a replay; NULL for none, borrowed
 */
struct ca_options {
	const struct wl *workload;
	const char *const *teams;
	unsigned nteams;
	const char *prefix;
	uint64_t seed;
	unsigned deadline_ms;
	unsigned grace_ms;
	double duplicate_share;
	bool requests;
	bool idempotent;
	FILE *log;
	FILE *record;
};

/**
 * ca_new() - caller
 * @base: event loop, borrowed
 * @entries: clients of the entries, borrowed
 * @nentries: number of entries, at least 1
 * @options: copied
 * @tally: where to count, borrowed
 *
 * Return: owned caller.
 */
struct ca *ca_new(struct event_base *base, struct hc **entries,
    unsigned nentries, const struct ca_options *options, struct ta *tally);

/** ca_free() - free a caller; consumed. No submission may be open */
void ca_free(struct ca *c);

/**
 * ca_submit() - send the next submission
 * @c: caller
 * @done: called when the submission has its final state
 * @arg: passed to @done
 */
void ca_submit(struct ca *c, void (*done)(void *arg), void *arg);

/** ca_open() - number of submissions without a final state */
unsigned ca_open(const struct ca *c);

#endif
