#ifndef TAKEOVER_IMPL_H
#define TAKEOVER_IMPL_H

#include <glib.h>

#include "state.h"
#include "takeover.h"

/**
 * DOC: tk - internals: declarations that takeover*.c share; other modules do
 * not include them, except tests, for tk_set_variant()
 */

/**
 * enum tk_variant - mechanisms that tests switch off, to check that the loss of
 * each one is noticed
 * @TK_V_NO_WAIT: take former owners as stopped at once
 * @TK_V_NO_PROBE: do not ask agents again after the former owners have stopped
 * @TK_V_IGNORE_AGENT_START: take records of agents as complete, whenever they
 *     started
 * @TK_V_ALWAYS_WAIT: wait also for former owners that are known to have stopped
 * @TK_V_LAST_OWNER_ONLY: wait only for the latest former owner
 */
enum tk_variant {
	TK_V_NONE = 0,
	TK_V_NO_WAIT = 1 << 0,
	TK_V_NO_PROBE = 1 << 1,
	TK_V_IGNORE_AGENT_START = 1 << 2,
	TK_V_ALWAYS_WAIT = 1 << 3,
	TK_V_LAST_OWNER_ONLY = 1 << 4,
};

/** TK_FENCE_RETRY_MS - delay before a failed fence is sent again */
#define TK_FENCE_RETRY_MS 200
/** TK_PROBE_TIMEOUT_MS - time that agents have to answer a probe */
#define TK_PROBE_TIMEOUT_MS 500

/** struct tk_entry - an entry that is or was in the list */
struct tk_entry {
	uint64_t incarnation;
	char *name;
	char *address;
	uint64_t confirmed_revision; /* highest revision it is known to hold */
	bool stopped; /* has exited or given up its incarnation */
};

/**
 * struct tk_former_owner - an entry that owned a partition and may still have
 * valid permits
 */
struct tk_former_owner {
	uint64_t incarnation; /* 0: unknown */
	uint64_t revision;    /* of the change that took the partition away */
	bool accepted;        /* that change is known to be accepted */
	uint64_t accepted_ms; /* since this monotonic time */
};

/** struct tk_partition - a partition */
struct tk_partition {
	enum dp_partition_state state;
	uint64_t owner;        /* incarnation, 0 for none */
	uint64_t view;         /* in which this entry became the owner */
	bool had_owner;        /* was owned before */
	GArray *former_owners; /* struct tk_former_owner, not stopped yet */
	uint64_t gather_start_ms;
	bool owners_stopped; /* no former owner can start tasks any more */
	uint64_t owners_stopped_ms;
	uint64_t owners_stopped_seq; /* tk.seq at that moment */
	uint64_t latest_start_ms;    /* wall clock: latest time from which an
					agent of the inventory that was
					gathered has all start records */
	uint64_t takeover_wall_ms;
	bool reported_complete; /* latest arguments of tk_ops.partition */
	uint64_t reported_wall_ms;
};

/** struct tk_agent - an agent that is or was connected */
struct tk_agent {
	char *name;
	dp_agent handle; /* of its session */
	bool connected;
	uint64_t incarnation;
	uint64_t replaced_incarnation; /* the one before it, 0 for none */
	uint64_t started_ms;
	uint64_t connected_ms;        /* wall clock: end of the latest session,
					 while there is none */
	uint64_t others_connected_ms; /* wall clock: when another process of
					 the agent was last connected, or 0 */
	bool fence_pending;           /* a fence or probe waits for its reply */
	uint64_t fence_seq;     /* tk.seq of the latest fence's first page */
	uint64_t retry_ms;      /* no fence before this monotonic time */
	uint64_t gathered;      /* partitions that this incarnation was fenced
				   for and gathered from */
	uint64_t ever_gathered; /* the same for any incarnation */
	uint64_t answered_seq;  /* fence_seq of the latest answered fence */
};

struct tk {
	struct ck *clock;
	struct ct *counters;
	const struct tk_ops *ops;
	void *arg;
	unsigned variant; /* enum tk_variant */
	const struct cs *state;
	uint64_t self; /* incarnation of this entry */
	uint64_t revision;
	uint64_t view;
	uint64_t accepted; /* highest revision known to be accepted */
	uint64_t seq;      /* counter that orders fences and the moments when
			      owners have stopped */
	struct tk_partition partitions[PD_PARTITIONS];
	GHashTable *entries; /* incarnation -> struct tk_entry */
	GHashTable *agents;  /* name -> struct tk_agent */
	GHashTable *handles; /* dp_agent -> struct tk_agent, borrowed */
};

/** tk_now_ms() - monotonic time, ms */
uint64_t tk_now_ms(const struct tk *t);

/** tk_send_fence() - send the fence or probe that an agent is due, if any */
void tk_send_fence(struct tk *t, struct tk_agent *a);

/**
 * tk_gathered_from() - mask of partitions whose start records from an agent are
 * complete
 * @a: NULL for an agent that was never connected
 */
uint64_t tk_gathered_from(const struct tk *t, const struct tk_agent *a);

/**
 * tk_gathered() - mask of partitions whose start records from all agents of the
 * inventory are complete
 * @ever: count also agents that have disconnected or restarted since they were
 *     gathered from
 */
uint64_t tk_gathered(const struct tk *t, bool ever);

/** tk_probe_pending() - whether agents may still answer a partition's probe */
bool tk_probe_pending(const struct tk *t, unsigned p);

/**
 * tk_report_completed() - report active partitions whose records became
 * complete
 * @mask: partitions whose records are complete
 */
void tk_report_completed(struct tk *t, uint64_t mask);

/** tk_set_variant() - switch mechanisms off, for tests only */
void tk_set_variant(struct tk *t, unsigned variant);

#endif
