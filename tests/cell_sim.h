#ifndef CELL_SIM_H
#define CELL_SIM_H

#include "cell.h"
#include "takeover.h"

/**
 * DOC: sim - simulation of a cell of 3 to 5 entries and 2 agents under random
 * faults
 *
 * Each submission has one task. The dispatcher and the gates of the agents are
 * minimal models that follow the rules of the real ones. Time advances by
 * SLICE_MS.
 */

#define SIM_AGENTS 2
#define SLICE_MS 5
#define STEP_MS 100
#define HEARTBEAT_MS 500
#define SESSION_TIMEOUT_MS 2000
#define PERMIT_MAX_AGE_MS 1650
#define AZ_OUT_LIMIT_MS 3000
#define CLOCK_ERROR_MS 2000
#define CALL_TIMEOUT_MS 1000
#define CLIENT_TIMEOUT_MS 30000

/* The latest permit that an agent has from an entry. */
struct permit {
	uint64_t incarnation; /* of the entry */
	uint64_t clock_ms;
	bool in_service;
};

struct grant {
	unsigned task;
	unsigned partition;
	uint64_t view;
	uint64_t agent;  /* incarnation that it is for */
	uint64_t entry;  /* incarnation of the owner */
	unsigned node;   /* of the owner */
	uint64_t due_ms; /* when a slot becomes free */
};

struct agent {
	char name[8];
	const char *az;
	bool up;
	uint64_t incarnation;
	uint64_t started_ms; /* wall clock */
	uint64_t revision;
	uint64_t next_heartbeat_ms;
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
		MSG_PERMIT,
		MSG_FENCE,
		MSG_GRANT
	} kind;
	uint64_t incarnation; /* of the agent that it is for */
	uint64_t entry;
	struct pd_permit permit;
	struct pd_fence fence;
	struct grant grant;
	dp_agent handle;
	struct fence_call *fence_call;
};

/* A FENCE call; shared by its message, its reply and its timeout. */
struct fence_call {
	unsigned refs;
	bool ended;
	unsigned generation; /* of the calling process */
	dp_agent handle;
	struct pd_fence fence;
	struct pd_fence_reply reply;
};

enum task_state {
	TASK_NEW = 0,
	TASK_GRANTED,
	TASK_RECORDED,
	TASK_ENDED
};

/* State of an entry process besides its mb. */
struct entry {
	struct tk *tk;
	unsigned generation;
	enum dp_partition_state state[PD_PARTITIONS];
	uint64_t view[PD_PARTITIONS];
	bool records_complete[PD_PARTITIONS];
	uint64_t records_lost_until_ms[PD_PARTITIONS]; /* wall clock */
	dp_agent handle[SIM_AGENTS];
	uint64_t agent[SIM_AGENTS];    /* incarnation of the session */
	uint64_t heard_ms[SIM_AGENTS]; /* last heartbeat */
	uint64_t handles;              /* number given out */
	GArray *task_states;           /* enum task_state, by task */
};

struct task {
	struct pd_id id;
	unsigned partition;
	uint64_t start_ms;
	bool answered;
	unsigned starts;
};

struct sim {
	struct cell *cell;
	struct rn *rng;
	unsigned tk_variant;
	struct entry entries[CELL_NODES];
	struct agent agents[SIM_AGENTS];
	GQueue *messages;
	GPtrArray *tasks;               /* struct task */
	unsigned oldest;                /* first task that may be open */
	uint64_t az_out_ms[SIM_AGENTS]; /* of acceptance, 0 when in */
	GArray *azs_out; /* unsigned: bit mask of az_names, by revision */
	struct cell_result results[16];
	unsigned nresults;
	unsigned started, unknown, takeovers;
	const struct scenario *scenario; /* NULL for none */
	unsigned scenario_node;
	uint64_t scenario_ms;
};

/** sim - the running simulation; a global, since cell hooks have no argument */
extern struct sim *sim;

/** az_names - availability zone of each agent */
extern const char *const az_names[SIM_AGENTS];

/** sim_new() - start all entries and agents; also sets sim; owned */
struct sim *sim_new(uint64_t seed, unsigned mb_variant, unsigned tk_variant);

/** sim_free() - free; consumed */
void sim_free(struct sim *w);

/** sim_step() - inject a fault, submit a task and run for STEP_MS */
void sim_step(void);

/** sim_now() - monotonic time, ms */
uint64_t sim_now(void);

/** sim_start_agent() - (re)start an agent with an empty state */
void sim_start_agent(unsigned i);

/** sim_inject_fault() - a random fault, or the next step of a scenario */
void sim_inject_fault(void);

/** sim_heal() - end all faults */
void sim_heal(void);

#endif
