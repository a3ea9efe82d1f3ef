#ifndef TAKEOVER_IMPL_H
#define TAKEOVER_IMPL_H

#include <glib.h>

#include "state.h"
#include "takeover.h"

/**
 * DOC: parts of tk that takeover*.c share; not for other modules, except the
 * variants, which tests use
 */

/** enum tk_variant - mechanisms that tests switch off to show what they guard
 */
enum tk_variant {
	TK_V_NONE = 0,
	TK_V_NO_WAIT = 1 << 0,  /* do not wait out a removed owner */
	TK_V_NO_PROBE = 1 << 1, /* trust agents fenced before the wait */
	TK_V_IGNORE_AGENT_START = 1 << 2, /* ignore when the agents started */
	TK_V_ALWAYS_WAIT = 1 << 3,        /* never skip the wait */
	TK_V_LAST_OWNER_ONLY = 1 << 4, /* forget owners before the last one */
};

/** TK_RETRY_MS - wait before a fence that failed is sent again */
#define TK_RETRY_MS 200
/** TK_PROBE_MS - time for agents to answer that they are still the ones that
 * were fenced */
#define TK_PROBE_MS 500

/** struct tk_entry - an entry that is or was in the list */
struct tk_entry {
	uint64_t incarnation;
	char *name;
	char *address;
	uint64_t confirmed; /* highest revision it was heard to hold */
	bool gone;          /* its process exited or renounced it */
};

/** struct tk_prior - an entry that owned a partition and may have permits out
 */
struct tk_prior {
	uint64_t incarnation; /* 0: unknown */
	uint64_t revision;    /* of the change that took the partition away */
	bool accepted;
	uint64_t accepted_ms; /* when that was known to be accepted */
};

/** struct tk_part - a partition */
struct tk_part {
	enum dp_partition_state state;
	uint64_t owner; /* incarnation, 0 for none */
	uint64_t view;
	bool had_owner;
	GArray *priors; /* struct tk_prior */
	uint64_t gather_ms;
	bool cleared; /* no prior owner can start anything */
	uint64_t cleared_ms;
	uint64_t cleared_seq;
	uint64_t lost_ms; /* wall clock: latest start of an agent that was
			     gathered */
	uint64_t takeover_wall_ms;
	bool told_complete;
	uint64_t told_wall_ms;
};

/** struct tk_agent - an agent that was connected */
struct tk_agent {
	char *name;
	dp_agent handle;
	bool up;
	uint64_t incarnation;
	uint64_t started_ms;
	bool outstanding;
	uint64_t sent_seq; /* of the first page of the open fence */
	uint64_t retry_ms;
	uint64_t done;     /* partitions fenced and gathered at this
			      incarnation */
	uint64_t answered; /* partitions gathered at any incarnation */
	uint64_t ok_seq;   /* of the latest answered fence, when sent */
};

struct tk {
	struct ck *clock;
	struct ct *counters;
	const struct tk_ops *ops;
	void *arg;
	unsigned variant;
	const struct cs *state;
	uint64_t self;
	uint64_t revision;
	uint64_t view;
	uint64_t accepted;
	uint64_t seq; /* orders fences and the ends of waits */
	struct tk_part parts[PD_PARTITIONS];
	GHashTable *entries; /* incarnation -> struct tk_entry */
	GHashTable *agents;  /* name -> struct tk_agent */
	GHashTable *handles; /* dp_agent -> struct tk_agent, borrowed */
};

/** tk_now_ms() - monotonic time, ms */
uint64_t tk_now_ms(const struct tk *t);

/** tk_ask() - send the fence or the probe that an agent needs now, if any */
void tk_ask(struct tk *t, struct tk_agent *a);

/** tk_gathered_from() - partitions whose records from an agent are complete;
 * NULL for an agent that was never connected */
uint64_t tk_gathered_from(const struct tk *t, const struct tk_agent *a);

/** tk_gathered() - partitions whose records from all agents of the inventory
 * are complete; with @active also those from agents that have gone since */
uint64_t tk_gathered(const struct tk *t, bool active);

/** tk_probing() - whether an agent may still answer a probe for a partition */
bool tk_probing(const struct tk *t, unsigned p);

/** tk_update_active() - tell of active partitions whose records became
 * complete; @mask: those that are */
void tk_update_active(struct tk *t, uint64_t mask);

/** tk_set_variant() - switch mechanisms off, for tests only */
void tk_set_variant(struct tk *t, unsigned variant);

#endif
