#ifndef CELL_H
#define CELL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "counters.h"
#include "member.h"
#include "rng.h"

/**
 * DOC: cell - several mb instances in one process
 *
 * They communicate over a simulated network and platform that tests can delay,
 * cut or make lossy. Time is a manual clock, so that runs are reproducible.
 */

#define CELL_NODES 6

/** struct cell_node - one entry process */
struct cell_node {
	struct cell *cell;
	unsigned index;
	char name[16];
	char address[32];
	const char *az;
	struct mb *mb; /* NULL when the process is not running */
	unsigned generation;
	bool frozen;
	bool platform_cut;
	uint64_t tick_due;
	uint64_t last_revision;
	GQueue *deferred;  /* events received while frozen */
	unsigned statuses; /* status calls sent */
};

/** struct cell_hooks - callbacks of a test; any may be NULL */
struct cell_hooks {
	void (*started)(struct cell_node *n);
	void (*stopped)(struct cell_node *n);
	void (*applied)(struct cell_node *n, uint64_t revision);
	void (*accepted)(struct cell_node *n, uint64_t revision);
	void (*confirmed)(
	    struct cell_node *n, uint64_t incarnation, uint64_t revision);
};

/** struct cell_result - outcome of an operator's change */
struct cell_result {
	bool ended;
	unsigned calls;
	enum mb_outcome outcome;
	uint64_t revision;
	char text[1024];
};

struct cell {
	struct ck *clock;
	struct ct *counters;
	struct rn *rng;
	unsigned variant; /* of nodes that start from now on */
	struct cell_node nodes[CELL_NODES];
	unsigned count;
	bool cut[CELL_NODES][CELL_NODES];
	GPtrArray *log_rows; /* char *, row i has revision i + 1 */
	char *snapshot;      /* stored at the platform, or NULL */
	bool platform_down;
	bool platform_fails_fast; /* fails calls at once when down */
	bool lose_insert_answers; /* lose answers of inserts after the write */
	unsigned platform_delay_ms; /* one way */
	unsigned link_delay_ms;     /* one way */
	unsigned max_jitter_ms;     /* random delay on top of both */
	GQueue *events;
	uint64_t sequence;
	const struct cell_hooks *hooks;
	GHashTable *states;  /* revision -> snapshot text */
	GArray *accepts;     /* struct cell_acceptance */
	char violation[512]; /* first violation of a rule, or "" */
};

/** struct cell_acceptance - when a revision was first reported as accepted */
struct cell_acceptance {
	uint64_t ms;
	uint64_t revision;
};

/** cell_new() - create a cell of @count entries, not started yet; owned */
struct cell *cell_new(unsigned count, uint64_t seed);

/** cell_free() - free; consumed */
void cell_free(struct cell *c);

/** cell_start() - start an entry's process */
void cell_start(struct cell *c, unsigned node);

/** cell_kill() - end an entry's process */
void cell_kill(struct cell *c, unsigned node);

/** cell_freeze() - pause a process; its events are deferred */
void cell_freeze(struct cell *c, unsigned node);

/** cell_resume() - continue a paused process; handles the deferred events */
void cell_resume(struct cell *c, unsigned node);

/** cell_set_cut() - cut or restore the network between two nodes */
void cell_set_cut(struct cell *c, unsigned a, unsigned b, bool cut);

/** cell_run() - run for a time, in ms */
void cell_run(struct cell *c, uint64_t ms);

/** cell_now() - monotonic time, ms */
uint64_t cell_now(const struct cell *c);

/** cell_write_change() - write an operator's change at a node */
void cell_write_change(struct cell *c, unsigned node, const char *json,
    uint64_t expect, struct cell_result *result);

/** cell_change_done() - callback of mb_write_change() that fills a struct
 * cell_result
 */
void cell_change_done(
    void *arg, enum mb_outcome outcome, uint64_t revision, const char *text);

/** cell_violation() - record a violation of a rule, unless there is one */
void cell_violation(struct cell *c, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** cell_count_ready() - number of running entries that are registered and
 * verified */
unsigned cell_count_ready(const struct cell *c);

/** cell_schedule() - run a function at a node after a time, if it still runs */
void cell_schedule(struct cell_node *n, uint64_t ms,
    void (*fn)(struct cell_node *n, void *arg), void *arg,
    GDestroyNotify release);

#endif
