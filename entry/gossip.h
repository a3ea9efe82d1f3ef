#ifndef GOSSIP_H
#define GOSSIP_H

#include <glib.h>

#include "config.h"
#include "conn.h"
#include "shares.h"

/**
 * DOC: go - gossip between entries: the newest configuration, their addresses,
 * the number of waiting jobs per queue and summaries of run times
 *
 * An entry whose requests the platform's store refuses gets the configuration
 * from the other entries: it asks one of those that have a newer one.
 */
struct go;

/**
 * struct go_identity - this entry; text is borrowed
 * @address: RPC address by which entries and agents reach it
 * @seeds: RPC addresses of entries to connect to at the start
 * @nseeds: number of @seeds
 */
struct go_identity {
	const char *cell;
	const char *name;
	uint64_t incarnation;
	const char *address;
	const char *const *seeds;
	unsigned nseeds;
};

/**
 * struct go_ops - callbacks
 * @config_received: another entry sent queues, zones or both; those of lower
 *     revisions are to be ignored
 * @store_reachable: whether the store is expected to send this entry each
 *     configuration
 * @waiting_counts: queues with waiting jobs at this entry and the numbers of
 *     these jobs, as jb_waiting_counts() returns them
 * @cancel: cancel a job for another entry. Return: whether it was active here
 * @claim: give up a job that its client has submitted to another entry. Return:
 *     whether it may still run
 * @run_times: summaries of the run times of this entry's own jobs; NULL for
 *     none
 * @run_times_received: another entry sent its summaries; NULL to ignore them.
 *     @sender is its address
 */
struct go_ops {
	void (*config_received)(void *arg, const struct pd_config *config);
	bool (*store_reachable)(void *arg);
	GHashTable *(*waiting_counts)(void *arg);
	bool (*cancel)(void *arg, const char *id);
	bool (*claim)(void *arg, const char *id);
	sh_fill_fn run_times;
	void (*run_times_received)(void *arg, const char *sender,
	    const struct pd_run_times *list, unsigned n);
};

/** go_new() - connect to the seeds and start the periodic exchange; owned */
struct go *go_new(struct event_base *base, const struct ck *clock,
    const struct cf *config, const struct go_identity *self,
    const struct go_ops *ops, void *arg);

/** go_free() - consumed, NULL is allowed */
void go_free(struct go *g);

/** go_handle_call() - answer a call of another entry */
void go_handle_call(
    struct go *g, struct cn *c, uint32_t proc, uint32_t xid, XDR *args);

/** go_add_seed() - add a seed unless its address is known; copied */
void go_add_seed(struct go *g, const char *address);

/** go_waiting_count() - number of waiting jobs of a queue at the other
 * entries */
unsigned go_waiting_count(const struct go *g, const char *queue);

/**
 * go_addresses() - addresses of this entry and of the entries heard from lately
 * @n: set to their number
 * @hash: set to a hash of the list that does not depend on its order
 *
 * Return: list, borrowed until the next call.
 */
const char *const *go_addresses(struct go *g, unsigned *n, uint32_t *hash);

/**
 * go_cancel() - ask the other entries to cancel a job
 * @done: called once; @known tells whether the job was active at one of them
 * @waiter: passed to @done
 */
void go_cancel(struct go *g, const char *id,
    void (*done)(void *arg, uint64_t waiter, bool known), void *arg,
    uint64_t waiter);

/**
 * go_claim() - ask the other entries to give up a job that its client has
 * submitted to this one
 * @done: called once; @known tells whether the job may still run for one of
 *     them. Those that cannot be reached do not count
 * @waiter: passed to @done
 */
void go_claim(struct go *g, const char *id,
    void (*done)(void *arg, uint64_t waiter, bool known), void *arg,
    uint64_t waiter);

#endif
