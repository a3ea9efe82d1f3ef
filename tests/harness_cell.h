#ifndef HARNESS_CELL_H
#define HARNESS_CELL_H

#include "harness.h"
#include "harness_log.h"

/**
 * DOC: pc - process cell: a cell of the real programs for tests
 *
 * Runs a fake platform, one process with all fake endpoints, and entries and
 * agents, which are placed in the zones finistere, morbihan and armor in turn;
 * applies an inventory. Entry 0 is "entry-1" in finistere; agent 0 is
 * "order-desk-1".
 */

#define PC_ENTRIES_MAX 9
#define PC_AGENTS_MAX 32
#define PC_TOKEN "test-token-0123456789"
#define PC_SERVICE "order-desk"
#define PC_TEAM "lids"

/** struct pc_options - size and settings of a cell; 0 stands for the default */
struct pc_options {
	unsigned entries; /* default 3 */
	unsigned agents;  /* default 6 */
	unsigned slots;   /* per endpoint, default 8 */
	unsigned queue;   /* length of an agent's queue, default 8 */
	unsigned life_s;  /* time for which an id is remembered, default 600 */
	const char *speeds; /* factors of the endpoints, default unequal */
	bool foreign_agent; /* the last agent belongs to another cell */
	bool relay;         /* agents reach the entries through relays */
};

/** struct pc_entry - an entry process and its ports */
struct pc_entry {
	char name[32];
	const char *az;
	unsigned callers;
	unsigned operators;
	unsigned rpc;
	unsigned relay;         /* port of the relay for agents, 0 for none */
	unsigned relay_control; /* its control port */
	struct hn_proc *proc;
	unsigned starts; /* number of times it was started */
};

/** struct pc_agent - an agent process and its endpoint */
struct pc_agent {
	char name[32];
	const char *az;
	unsigned endpoint; /* port of the endpoint, also for its control */
	unsigned metrics;
	struct hn_proc *proc;
	unsigned starts;
};

struct pc {
	struct hn *hn;
	struct pc_options options;
	unsigned platform; /* port, also for its control */
	struct hn_proc *platform_proc;
	struct hn_proc *endpoints_proc;
	struct pc_entry entries[PC_ENTRIES_MAX];
	struct pc_agent agents[PC_AGENTS_MAX];
	char *start_log;
	unsigned loads; /* load clients started */
};

/** struct pc_load - a running load client */
struct pc_load {
	struct hn_proc *proc;
	char *log;
};

/** struct pc_result - counts of a load client, each -1 when not printed */
struct pc_result {
	long submissions;
	long complete;
	long failed;
	long refused;
	long unknown;
	long unanswered;
	long errors;
	long partial;
	long foreign;
	long mismatch;
	long refused_run;
};

/**
 * pc_new() - start a cell and wait until it completes a submission through
 * each entry; fails the test when an entry needs more than 30 s. Owned
 */
struct pc *pc_new(const struct pc_options *options);

/** pc_free() - end all processes; consumed */
void pc_free(struct pc *c);

/** pc_entry_start() - start entry @i, also after it has ended */
void pc_entry_start(struct pc *c, unsigned i);

/** pc_agent_start() - start agent @i, also after it has ended */
void pc_agent_start(struct pc *c, unsigned i);

/** pc_entry_ready() - wait until entry @i completes a submission */
void pc_entry_ready(struct pc *c, unsigned i);

/**
 * pc_cli() - run the operator's command-line tool against an entry
 * @c: cell
 * @entry: index of the entry
 * @output: set to its output, released with g_free(); may be NULL
 * @words: command and its arguments, NULL at the end
 *
 * Return: exit code.
 */
int pc_cli(
    struct pc *c, unsigned entry, char **output, const char *const *words);

/** pc_set_az() - run `zone in NAME` or `zone out NAME` through an entry */
int pc_set_az(struct pc *c, unsigned entry, const char *az, bool in);

/**
 * pc_submission_json() - JSON of a submission, released with free()
 * @id: submission id
 * @created_ms: wall clock
 * @tasks: number of tasks
 * @run_ms: run time of each task
 * @deadline_ms: time limit, counted from the arrival
 */
char *pc_submission_json(const char *id, uint64_t created_ms, unsigned tasks,
    unsigned run_ms, unsigned deadline_ms);

/**
 * pc_submit() - POST /v1/submissions
 * @wait_ms: how long to wait for the answer, 0 for none
 * @answer: set to the answer, owned; may be NULL
 *
 * Return: HTTP status.
 */
int pc_submit(struct pc *c, unsigned entry, const char *body, unsigned wait_ms,
    json_t **answer);

/** pc_fetch() - GET /v1/submissions/{id}; Return: HTTP status */
int pc_fetch(struct pc *c, unsigned entry, const char *id, uint64_t created_ms,
    unsigned wait_ms, json_t **answer);

/** pc_cancel() - DELETE /v1/submissions/{id}; Return: HTTP status */
int pc_cancel(struct pc *c, unsigned entry, const char *id, uint64_t created_ms,
    json_t **answer);

/**
 * pc_load_start() - start a load client that uses all entries
 * @options: further options of fake_load, separated by spaces
 */
struct pc_load pc_load_start(struct pc *c, const char *options);

/**
 * pc_load_check() - wait for the end of a load client and check its results
 *
 * Compares its log with the start log. Fails the test when a task of a
 * submission started twice, a refused job started, not all tasks of a complete
 * job started, or an answer was missing, partial, of another submission or
 * contradictory.
 *
 * Return: counts of the load.
 */
struct pc_result pc_load_check(struct pc *c, struct pc_load *load);

/** pc_read_starts() - read the cell's start log; owned */
struct hl_starts *pc_read_starts(struct pc *c);

/** pc_count_az_starts() - number of starts in a zone, times as
 * hl_starts_between() */
size_t pc_count_az_starts(
    struct pc *c, const char *az, uint64_t from_ms, uint64_t to_ms);

#endif
