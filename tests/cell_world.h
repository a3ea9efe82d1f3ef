#ifndef CELL_WORLD_H
#define CELL_WORLD_H

#include "cell.h"
#include "takeover.h"

/**
 * DOC: world - a cell of 3 to 5 entries with 2 agents that run one task per id,
 * under random faults
 *
 * The dispatcher and the gates of the agents are modelled as simply as the
 * rules of the design allow. Time passes in slices of SLICE_MS.
 */

#define AGENTS 2
#define SLICE_MS 5
#define STEP_MS 100
#define HEARTBEAT_MS 500
#define SILENT_MS 2000
#define PERMIT_LIMIT_MS 1650
#define ZONE_LIMIT_MS 3000
#define CLOCK_ERROR_MS 2000
#define CALL_TIMEOUT_MS 1000
#define GIVE_UP_MS 30000

/* A permit of an entry at an agent. */
struct permit {
	uint64_t incarnation; /* of the entry */
	uint64_t clock_ms;
	bool in_service;
};

struct grant {
	unsigned task;
	unsigned partition;
	uint64_t view;
	uint64_t agent;  /* incarnation it is meant for */
	uint64_t entry;  /* incarnation of the owner */
	unsigned node;   /* where the owner runs */
	uint64_t due_ms; /* when a slot is free */
};

struct agent {
	char name[8];
	const char *az;
	bool up;
	uint64_t incarnation;
	uint64_t started_ms; /* wall clock */
	uint64_t revision;
	uint64_t beat_ms;
	uint64_t fence[PD_PARTITIONS];
	struct permit permits[CELL_NODES];
	bool cut[CELL_NODES];
	GQueue *queue;   /* struct grant */
	GArray *records; /* unsigned: tasks that were started */
};

/* A message to an agent. */
struct message {
	uint64_t due;
	unsigned agent;
	unsigned node;
	enum {
		M_PERMIT,
		M_FENCE,
		M_GRANT
	} kind;
	uint64_t incarnation; /* of the agent it is meant for */
	uint64_t entry;
	struct pd_permit permit;
	struct pd_fence fence;
	struct grant grant;
	dp_agent handle;
	struct asked *asked;
};

/* A fence that is under way; shared by its answer and its timeout. */
struct asked {
	unsigned refs;
	bool ended;
	unsigned generation; /* of the process that asked */
	dp_agent handle;
	struct pd_fence fence;
	struct pd_fence_reply reply;
};

enum known {
	K_NEW = 0,
	K_GRANTED,
	K_RECORD,
	K_ENDED
};

/* What an entry process has besides its mb. */
struct entry {
	struct tk *tk;
	unsigned generation;
	enum dp_partition_state state[PD_PARTITIONS];
	uint64_t view[PD_PARTITIONS];
	bool complete[PD_PARTITIONS];
	uint64_t wall[PD_PARTITIONS];
	dp_agent handle[AGENTS];
	uint64_t agent[AGENTS]; /* incarnation of the session */
	uint64_t heard_ms[AGENTS];
	uint64_t handles;
	GArray *known; /* enum known, by task */
};

struct task {
	struct pd_id id;
	unsigned partition;
	uint64_t start_ms;
	bool answered;
	unsigned starts;
};

struct world {
	struct cell *cell;
	struct rn *rng;
	unsigned tk_variant;
	struct entry entries[CELL_NODES];
	struct agent agents[AGENTS];
	GQueue *messages;
	GPtrArray *tasks;           /* struct task */
	unsigned oldest;            /* tasks before it have ended */
	uint64_t az_out_ms[AGENTS]; /* when accepted, 0 when in */
	GArray *zones; /* unsigned: bits of zones that are out, by revision */
	struct cell_result results[16];
	unsigned nresults;
	unsigned started, unknown, takeovers;
	const struct scene *scene; /* NULL for none */
	unsigned scene_node;
	uint64_t scene_ms;
};

/** world - the world that runs; the hooks of a cell have no argument */
extern struct world *world;

/** az_names - zone of each agent */
extern const char *const az_names[AGENTS];

/** world_new() - start all entries and agents; sets world, owned */
struct world *world_new(
    uint64_t seed, unsigned mb_variant, unsigned tk_variant);

/** world_free() - consumed */
void world_free(struct world *w);

/** world_step() - a fault, a task and STEP_MS of time */
void world_step(void);

/** world_now() - monotonic time, ms */
uint64_t world_now(void);

/** world_agent_start() - start an agent anew; it has lost all it knew */
void world_agent_start(unsigned i);

/** world_fault() - a random fault, or the next part of a combination */
void world_fault(void);

/** world_heal() - end all faults */
void world_heal(void);

#endif
