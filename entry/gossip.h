#ifndef GOSSIP_H
#define GOSSIP_H

#include "config.h"
#include "conn.h"

/**
 * DOC: go - what entries tell each other: the newest configuration, their
 * addresses, and how many jobs wait
 *
 * An entry whom the platform's store refuses gets the configuration here.
 */
struct go;

/**
 * struct go_self - this entry; text is borrowed
 * @address: for entries and agents
 * @seeds: addresses to begin with
 */
struct go_self {
	const char *cell;
	const char *name;
	uint64_t incarnation;
	const char *address;
	const char *const *seeds;
	unsigned nseeds;
};

/**
 * struct go_ops - what is told and heard
 * @config: a newer configuration came from another entry
 * @waiting: jobs of a queue that wait here
 * @cancel: withdraw a job for another entry. Return: whether it ran here
 */
struct go_ops {
	void (*config)(void *arg, const struct pd_config *config);
	unsigned (*waiting)(void *arg, const char *queue);
	bool (*cancel)(void *arg, const char *id);
};

/** go_new() - connect to the seeds; owned */
struct go *go_new(struct event_base *base, const struct ck *clock,
    const struct cf *config, const struct go_self *self,
    const struct go_ops *ops, void *arg);

/** go_free() - consumed, NULL is allowed */
void go_free(struct go *g);

/** go_handle_call() - a call from another entry arrived */
void go_handle_call(
    struct go *g, struct cn *c, uint32_t proc, uint32_t xid, XDR *args);

/** go_add_seed() - one more address to begin with; copied */
void go_add_seed(struct go *g, const char *address);

/** go_exchange_now() - tell the others now instead of at the next period */
void go_exchange_now(struct go *g);

/** go_waiting_count() - jobs of a queue that wait at the other entries */
unsigned go_waiting_count(const struct go *g, const char *queue);

/** go_addresses() - addresses of all entries heard of lately, with this one;
 * borrowed until the next call. @hash: of the list */
const char *const *go_addresses(struct go *g, unsigned *n, uint32_t *hash);

/**
 * go_cancel() - ask the other entries to withdraw a job
 * @done: called once; @known tells whether it ran at one of them
 */
void go_cancel(struct go *g, const char *id,
    void (*done)(void *arg, uint64_t waiter, bool known), void *arg,
    uint64_t waiter);

#endif
