#ifndef FLEET_IMPL_H
#define FLEET_IMPL_H

#include <glib.h>

#include "clock.h"
#include "config.h"
#include "counters.h"
#include "fleet.h"
#include "rng.h"
#include "speeds.h"

/**
 * DOC: fl - internals: fleet.c keeps the workers and chooses by individual
 * speeds, fleet_pooled.c pools the speeds and chooses by them, fleet_counts.c
 * counts the workers
 */

/* Workers that are considered for a task: a smaller sample would miss the fast
 * ones. */
#define FL_SAMPLE_SIZE 16
/* Workers that are considered when the sample has no free capacity. */
#define FL_LARGE_SAMPLE_SIZE 128
/* Mean run time assumed of a worker that has not finished a task yet. */
#define FL_DEFAULT_MEAN_MS 150.0

/* Own run times contradict the agent's report when they are this many times
 * longer, in at least this many tasks. */
#define FL_CONTRADICTION_FACTOR 2.5
#define FL_CONTRADICTION_SAMPLES 4

#define FL_US_PER_MS 1000
struct fl {
	const struct ck *clock;
	struct ct *counters;
	const struct cf *config;
	struct rn *rng;
	GPtrArray *workers;     /* struct fl_worker, owned */
	GPtrArray *connected;   /* those with a session, in any order */
	GHashTable *by_name;    /* name -> struct fl_worker */
	GHashTable *by_session; /* session -> struct fl_worker */
	uint64_t counted_ms;    /* when workers were counted */
	uint64_t warm_up_from_ms;
	uint64_t ticked_ms;
	uint64_t heard_ms; /* last heartbeat of any agent, or start */
	/* Latest time without a heartbeat for longer than LE_CONTACT_MS. */
	uint64_t silent_from_ms;
	uint64_t silent_until_ms;
	/* Pooled speeds; see struct fl_placing. */
	bool pools;         /* computes them */
	bool only_equal;    /* chooses by them while the workers are equal */
	bool pooled;        /* chooses by them now */
	char *az;           /* of this entry, owned; NULL if unknown */
	GHashTable *kinds;  /* labels, owned -> number of the kind */
	GArray *pool;       /* struct sp_worker, reused */
	GArray *candidates; /* struct fl_candidate, reused */
	struct sp_summary speeds;
	bool leaving;       /* see fl_is_leaving() */
	uint64_t pooled_ms; /* when the speeds were pooled; 0: never */
};

/**
 * enum fl_prospect - prospects of a task at a worker
 * @PR_LATE: it is expected to end too late
 * @PR_RISKY: it is expected in time, but misses its deadline if it takes much
 *     longer than expected
 * @PR_SAFE: it is expected in time, and meets its deadline even then
 */
enum fl_prospect {
	PR_LATE = 0,
	PR_RISKY,
	PR_SAFE,
};

/* A possible worker for a task. @finish_ms: expected time until the task ends.
 * @cost_ms: the same plus the weighted delay of other tasks. @run_ms: expected
 * run time. */
struct fl_candidate {
	struct fl_worker *worker;
	enum fl_prospect prospect;
	double finish_ms;
	double cost_ms;
	double run_ms;
};

/** fl_evaluate() - evaluate a worker for a task. @all: include workers that the
 * task should avoid. Return: false if the worker cannot take it now */
bool fl_evaluate(const struct fl *f, const struct fl_requirements *req,
    struct fl_worker *w, bool all, uint64_t now_us, struct fl_candidate *out);

/** fl_is_better() - whether candidate @a is better than @b, which may be empty
 */
bool fl_is_better(const struct fl_requirements *req,
    const struct fl_candidate *a, const struct fl_candidate *b);

/** fl_cpu_free() - CPU that is free at a worker for tasks of @priority */
unsigned fl_cpu_free(const struct fl_worker *w, unsigned priority);

/** fl_is_usable_at() - fl_is_usable() at @now, milliseconds */
bool fl_is_usable_at(
    const struct fl *f, const struct fl_worker *w, uint64_t now);

/** fl_set_kind() - set the kind of a worker by its service and labels */
void fl_set_kind(struct fl *f, struct fl_worker *w);

/** fl_check_report() - count and log a report whose estimate cannot be used */
void fl_check_report(
    struct fl *f, const struct fl_worker *w, const struct pd_speed *s);

/** fl_pool() - pool the speeds of all workers, if that was not done lately */
void fl_pool(struct fl *f);

/** fl_choose_pooled() - fl_choose() with pooled speeds */
struct fl_worker *fl_choose_pooled(
    struct fl *f, const struct fl_requirements *req, double *finish_ms);

#endif
