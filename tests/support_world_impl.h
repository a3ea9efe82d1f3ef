#ifndef SUPPORT_WORLD_IMPL_H
#define SUPPORT_WORLD_IMPL_H

#include "support_world.h"

/**
 * DOC: sw - internals: support_world.c has the events, the network, the entries
 * and the faults, support_world_agent.c the agents
 */

#define SENT_REPORTS_MAX 16

struct agent;

/* Start record of a key at an agent. */
struct record {
	char *key_text;
	char id[64];
	struct pd_key key;
	pd_task_state state;
	pd_reason reason;
	unsigned ntasks;
	unsigned entry;
	uint64_t started_us;
	uint32_t run_ms;
	struct sw_body body;
};

enum event_kind {
	TICK,
	WAKE,
	HEARTBEAT,
	FAULTS,
	GRANT,   /* arrives at an agent */
	CANCEL,  /* arrives at an agent */
	RESOLVE, /* arrives at an agent */
	REPORT,  /* arrives at an entry */
	LOAD,    /* arrives at an entry */
	FINISH,  /* a slot is free */
	CONNECT,
};

struct event {
	struct hp_node node;
	enum event_kind kind;
	uint64_t serial; /* number of the event */
	unsigned entry;
	struct agent *agent;
	uint64_t incarnation; /* of the agent when the event was created */
	uint64_t session;     /* connection that carries it */
	uint64_t argument;
	char id[64];
	struct pd_key key;
	struct sw_body body;
	unsigned ntasks;
	pd_task_state state;
	pd_reason reason;
	uint32_t run_ms;
	unsigned running;
	unsigned queued;
};

struct agent {
	char name[16];
	unsigned index;
	uint64_t incarnation;
	double speed;
	GHashTable *records; /* key text -> struct record */
	GQueue queue;        /* struct record, borrowed */
	unsigned running;
	uint64_t starts;
	struct record
	    sent[SENT_REPORTS_MAX]; /* ring of the reports sent last */
	unsigned nsent;
	dp_agent *sessions;    /* per entry, PL_NONE when down */
	uint64_t *connections; /* per entry, number of the connection */
};

struct entry {
	struct sw *world;
	unsigned index;
	struct dp *dp;
};

struct sw {
	struct sw_settings settings;
	const struct sw_ops *ops;
	void *arg;
	struct ck *clock;
	struct ct *counters;
	struct cs *state;
	struct rn *rng;
	struct hp events;
	uint64_t serial;
	struct entry *entries;
	struct agent *agents;
	GHashTable *starts; /* "id/task" -> number */
	GHashTable *keys;   /* set of started key texts */
	struct sw_counts counts;
	uint64_t timer_start_ns;
};

/** sw_event_new() - create an event, owned by the simulation */
struct event *sw_event_new(struct sw *w, enum event_kind kind, uint64_t at_us);

/** sw_send_message() - send a message between an entry and an agent
 * @extra_us: delay in addition to that of the network */
struct event *sw_send_message(struct sw *w, enum event_kind kind,
    unsigned entry, struct agent *a, uint64_t extra_us);

/** sw_set_key() - copy a key to an event */
void sw_set_key(struct event *e, const struct pd_key *k);

/** sw_chance() - true with the probability @p */
bool sw_chance(struct sw *w, double p);

/** sw_record_free() - free a start record */
void sw_record_free(gpointer p);

/** sw_send_load() - send the load of an agent to an entry */
void sw_send_load(struct sw *w, struct agent *a, unsigned entry);

/** sw_grant_arrives() - handle a grant at an agent */
void sw_grant_arrives(struct sw *w, const struct event *e);

/** sw_cancel_arrives() - handle a cancellation at an agent */
void sw_cancel_arrives(struct sw *w, const struct event *e);

/** sw_resolve_arrives() - handle a query of a key at an agent, which voids it
 * if it is unknown */
void sw_resolve_arrives(struct sw *w, const struct event *e);

/** sw_finish_task() - handle the end of a task at its endpoint */
void sw_finish_task(struct sw *w, const struct event *e);

/** sw_send_stale_report() - repeat an old report, possibly of an earlier
 * session */
void sw_send_stale_report(struct sw *w, struct agent *a);

#endif
