#ifndef WORKERS_H
#define WORKERS_H

#include <stdbool.h>

#include "conn.h"
#include "fleet.h"
#include "jobs.h"

/**
 * DOC: wo - connections from agents of transient jobs, and the listener that
 * they share with other entries
 */
struct wo;

/**
 * struct wo_ops - what arrives
 * @entries: addresses of the entries, for agents that do not know them;
 *     borrowed until the next call
 * @call: a call from another entry
 */
struct wo_ops {
	const char *const *(*entries)(void *arg, unsigned *n, uint32_t *hash);
	void (*call)(
	    void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args);
};

/** struct wo_self - this entry. Text is borrowed */
struct wo_self {
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
    const struct wo_self *self, struct fl *fleet, const struct wo_ops *ops,
    void *arg);

/** wo_set_jobs() - jobs that hear of the agents; borrowed */
void wo_set_jobs(struct wo *w, struct jb *jobs);

/** wo_free() - close all connections; consumed, NULL is allowed */
void wo_free(struct wo *w);

/** wo_send_start() - send a grant */
void wo_send_start(
    struct wo *w, const struct fl_worker *to, struct pd_start *s);

/** wo_send_withdraw() - take a grant back */
void wo_send_withdraw(
    struct wo *w, const struct fl_worker *to, const struct pd_key *k);

/** wo_reconcile() - ask about grants */
void wo_reconcile(struct wo *w, const struct fl_worker *to,
    const struct pd_key *keys, unsigned n);

#endif
