#ifndef LINKS_H
#define LINKS_H

#include <event2/event.h>

#include "pd.h"
#include "runner.h"

/**
 * DOC: lk - connections of an agent to the entries of transient jobs
 *
 * Begins with the seeds, and follows the entries that they tell of.
 */
struct lk;
struct ck;

/**
 * struct lk_ops - what the links ask and tell
 * @describe: fill a heartbeat but for cell, clock and entries; text is
 *     borrowed. Return: false while the agent is not ready to attach
 * @contact: an entry answered a heartbeat of @clock_ms
 * @gone: the process of an entry has ended
 * @start: a grant arrived
 * @withdraw: a grant is not needed any more
 * @state: state of a grant
 */
struct lk_ops {
	bool (*describe)(void *arg, struct pd_attach *a);
	void (*contact)(void *arg, uint64_t entry, uint64_t clock_ms);
	void (*gone)(void *arg, uint64_t entry);
	void (*start)(void *arg, uint64_t entry, const struct pd_start *s);
	void (*withdraw)(void *arg, uint64_t entry, const struct pd_key *k);
	enum pd_end_state (*state)(
	    void *arg, uint64_t entry, const struct pd_key *k);
};

/**
 * lk_new() - connect
 * @cell: copied
 * @seeds: addresses, copied
 *
 * Return: owned handle.
 */
struct lk *lk_new(struct event_base *base, const struct ck *clock,
    const char *cell, const char *const *seeds, size_t nseeds,
    const struct lk_ops *ops, void *arg);

/** lk_free() - consumed, NULL is allowed */
void lk_free(struct lk *l);

/** lk_seed() - one more address to begin with; copied */
void lk_seed(struct lk *l, const char *address);

/** lk_ended() - report the end of a grant; batched per loop pass */
void lk_ended(struct lk *l, uint64_t entry, const struct pd_end *e);

/** lk_now() - send a heartbeat to all entries now */
void lk_now(struct lk *l);

/** lk_open() - entries that are connected */
unsigned lk_open(const struct lk *l);

#endif
