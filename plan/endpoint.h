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
 * DOC: ep - the dispatcher's view of the endpoints and their load
 *
 * Private to the dispatcher.
 */
struct cs;

/** struct service - endpoints that do the same work */
struct service {
	char *name;
	unsigned number;
	unsigned nopen;    /* endpoints that take a task now */
	unsigned nprobing; /* ejected ones among them */
	GPtrArray *eps;    /* struct ep, borrowed */
	GPtrArray *lanes;  /* struct lane, borrowed */
	struct po_size_model sizes;
	size_t queued;  /* tasks of the service that wait at the entry */
	unsigned slots; /* of all endpoints */
	unsigned queue; /* tasks that an agent may hold beyond its slots */
	bool known;     /* in the inventory */
};

/** struct ep - endpoint; the agent beside it is met through its session */
struct ep {
	struct po_endpoint view; /* first, policies see only this */
	struct hp_node wake;     /* end of a hold, or next probe */
	char *name;
	char *az;
	char *hello_service;
	struct service *service;
	dp_agent session; /* PL_NONE when not connected */
	uint64_t incarnation;
	bool in_service;
	bool open;    /* counted in service->nopen */
	bool probing; /* counted in service->nprobing */
	bool draining;
	enum pd_health health;
	unsigned slots;
	unsigned queue_max;
	unsigned running; /* last report */
	unsigned queued;
	unsigned own;    /* outstanding grants of this entry */
	unsigned others; /* load that is not ours, from the last report */
	uint64_t hold_us;
	uint64_t probe_us; /* next probe of an ejected endpoint */
	uint64_t probe_wait_us;
	struct sb_task *grants; /* outstanding, newest first */
	GPtrArray *doubtful;    /* tasks to resolve, borrowed */
};

/** ep_new() - endpoint that is not connected, owned */
struct ep *ep_new(const char *name);

/** ep_free() - free an endpoint; consumed */
void ep_free(struct ep *e);

/** ep_join() - move an endpoint to a service */
void ep_join(struct ep *e, struct service *s);

/**
 * ep_refresh() - recompute load and limit after a change
 * @queue: tasks that the agent may hold beyond its slots
 */
void ep_refresh(struct ep *e, unsigned queue, uint64_t now_us);

/** ep_grant() - a task was granted to the endpoint */
void ep_grant(struct ep *e, struct sb_task *t, uint64_t now_us);

/** ep_release() - an outstanding grant is over */
void ep_release(struct ep *e, struct sb_task *t);

/** ep_load() - the agent reported its load */
void ep_load(struct ep *e, unsigned running, unsigned queued, uint64_t now_us);

/** ep_hold() - give the endpoint no work for a while */
void ep_hold(struct ep *e, struct hp *wakes, uint64_t until_us);

/** ep_health() - the health of the endpoint was reported */
void ep_health(
    struct ep *e, struct hp *wakes, enum pd_health health, uint64_t now_us);

/** ep_probed() - a probe was granted to an ejected endpoint */
void ep_probed(struct ep *e, struct hp *wakes, uint64_t now_us);

#endif
