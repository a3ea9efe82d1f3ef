#ifndef WORKERS_H
#define WORKERS_H

#include <stdbool.h>

#include "conn.h"
#include "fleet.h"
#include "jobs.h"

/**
 * DOC: wo - workers: connections from the agents that run transient jobs, and
 * the listener that agents share with other entries
 */
struct bd;
struct wo;

/**
 * struct wo_ops - callbacks
 * @entry_addresses: addresses of the entries, sent to agents whose list
 *     differs in its hash; borrowed until the next call
 * @entry_call: handle a call from another entry
 * @zones_known: what is known of the availability zones that are out
 * @zones: these zones, borrowed until the next change
 */
struct wo_ops {
	const char *const *(*entry_addresses)(
	    void *arg, unsigned *n, uint32_t *hash);
	void (*entry_call)(
	    void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args);
	struct pd_zones_known (*zones_known)(void *arg);
	struct pd_zones (*zones)(void *arg);
};

/** struct wo_identity - this entry. Text is borrowed */
struct wo_identity {
	const char *cell;
	const char *name;
	uint64_t incarnation;
};

/**
 * wo_new() - listen
 * @address: "IP:port"
 * @fleet: borrowed
 *
 * Return: owned handle, NULL when @address cannot be used.
 */
struct wo *wo_new(struct event_base *base, const char *address,
    const struct wo_identity *self, struct fl *fleet, const struct wo_ops *ops,
    void *arg);

/** wo_set_jobs() - set the jobs that are notified of agents; borrowed */
void wo_set_jobs(struct wo *w, struct jb *jobs);

/** wo_set_bounds() - bound the connections to a share of all of the process;
 * @bounds is borrowed */
void wo_set_bounds(struct wo *w, struct bd *bounds, unsigned share_permille);

/** wo_free() - close all connections; consumed, NULL is allowed */
void wo_free(struct wo *w);

/** wo_send_start() - grant a task to the agent of a worker */
void wo_send_start(
    struct wo *w, const struct fl_worker *to, struct pd_start *s);

/** wo_send_withdraw() - withdraw a grant */
void wo_send_withdraw(
    struct wo *w, const struct fl_worker *to, const struct pd_key *k);

/** wo_send_take_back() - take grants back that have not started */
void wo_send_take_back(struct wo *w, const struct fl_worker *to,
    const struct pd_key *keys, unsigned n);

/** wo_send_zones() - tell all agents which availability zones are out */
void wo_send_zones(struct wo *w);

/** wo_reconcile() - ask the agent of a worker for the state of grants; its
 * reply goes to jb_grants_ended() */
void wo_reconcile(struct wo *w, const struct fl_worker *to,
    const struct pd_key *keys, unsigned n);

#endif
