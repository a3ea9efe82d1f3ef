#ifndef ENDPOINT_H
#define ENDPOINT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "dispatch.h"
#include "heap.h"
#include "pd.h"
#include "policy.h"
#include "submission.h"

/**
 * DOC: ep - endpoints and their load, as known to the dispatcher
 *
 * Private to the dispatcher.
 */
struct cs;

/** struct service - counter service and the endpoints that run its tasks */
struct service {
	char *name;
	unsigned number;
	unsigned nwith_room; /* endpoints that accept a task now */
	unsigned nprobing;   /* ejected ones among them, due for a probe */
	GPtrArray *eps;      /* struct ep, borrowed */
	GPtrArray *lanes;    /* struct lane, borrowed */
	struct po_size_model sizes;
	size_t queued;  /* tasks of the service that are queued at the entry */
	unsigned slots; /* of all endpoints */
	unsigned queue; /* tasks that an agent may hold beyond its slots */
	bool known;     /* in the inventory */
};

/** struct ep - endpoint; its agent is reached through the session */
struct ep {
	struct po_endpoint policy_view; /* first member; what policies see */
	struct hp_node wake; /* at the end of a hold or for the next probe */
	char *name;
	char *az;
	char *hello_service;
	struct service *service;
	dp_agent session; /* PL_NONE when not connected */
	uint64_t incarnation;
	bool in_service;
	bool has_room; /* counted in service->nwith_room */
	bool probing;  /* counted in service->nprobing */
	bool draining;
	enum pd_health health;
	unsigned slots;
	unsigned queue_max;
	unsigned running; /* from the last load report */
	unsigned queued;
	unsigned ngrants;       /* outstanding grants of this entry */
	unsigned others_load;   /* load of other entries, estimated */
	uint64_t hold_until_us; /* no grants until then */
	uint64_t next_probe_us; /* of an ejected endpoint */
	uint64_t probe_interval_us;
	struct sb_task *grants; /* outstanding, newest first */
	GPtrArray *to_resolve;  /* tasks for the next RESOLVE; borrowed */
};

/** ep_new() - create an endpoint that is not connected, owned */
struct ep *ep_new(const char *name);

/** ep_free() - free an endpoint; consumed */
void ep_free(struct ep *e);

/** ep_set_service() - move an endpoint to a service */
void ep_set_service(struct ep *e, struct service *s);

/**
 * ep_refresh() - recompute load and limit after a change
 * @queue: tasks that the agent may hold beyond its slots
 */
void ep_refresh(struct ep *e, unsigned queue, uint64_t now_us);

/** ep_add_grant() - record that a task was granted to the endpoint */
void ep_add_grant(struct ep *e, struct sb_task *t, uint64_t now_us);

/** ep_remove_grant() - remove a grant that is no longer outstanding */
void ep_remove_grant(struct ep *e, struct sb_task *t);

/** ep_set_load() - record the load that the agent reported */
void ep_set_load(
    struct ep *e, unsigned running, unsigned queued, uint64_t now_us);

/** ep_hold() - grant the endpoint no tasks before @until_us */
void ep_hold(struct ep *e, struct hp *wakes, uint64_t until_us);

/** ep_set_health() - record the reported health of the endpoint */
void ep_set_health(
    struct ep *e, struct hp *wakes, enum pd_health health, uint64_t now_us);

/** ep_probe_granted() - schedule the next probe after one was granted */
void ep_probe_granted(struct ep *e, struct hp *wakes, uint64_t now_us);

#endif
