#ifndef LINKS_H
#define LINKS_H

#include <event2/event.h>

#include "pd.h"
#include "runner.h"

/**
 * DOC: lk - connections of an agent to the entries of transient jobs
 *
 * Learns the addresses of entries from the seeds and from the entries that it
 * connects to; contacts.h decides to which of them it connects.
 */
struct lk;
struct ck;

/**
 * struct lk_ops - callbacks; @entry is the incarnation of an entry
 * @fill_attach: fill a heartbeat except for cell, clock and entries; text is
 *     borrowed. Return: false while the agent is not ready to attach
 * @contact: an entry answered the heartbeat sent at @clock_ms; @zones: what it
 *     knew of zones that are out
 * @gone: the process of an entry has ended
 * @start: a grant arrived
 * @withdraw: a grant is no longer needed
 * @take_back: a grant is to be returned unless it has started
 * @zones: an entry told which availability zones are out
 * @state: return the state of a grant
 * @has_grants: return whether an entry has grants here
 */
struct lk_ops {
	bool (*fill_attach)(void *arg, struct pd_attach *a);
	void (*contact)(void *arg, uint64_t entry, uint64_t clock_ms,
	    const struct pd_zones_known *zones);
	void (*gone)(void *arg, uint64_t entry);
	void (*start)(void *arg, uint64_t entry, const struct pd_start *s);
	void (*withdraw)(void *arg, uint64_t entry, const struct pd_key *k);
	void (*take_back)(void *arg, uint64_t entry, const struct pd_key *k);
	void (*zones)(void *arg, const struct pd_zones *z);
	enum pd_end_state (*state)(
	    void *arg, uint64_t entry, const struct pd_key *k);
	bool (*has_grants)(void *arg, uint64_t entry);
};

/**
 * lk_new() - connect to the entries
 * @cell: copied
 * @name: of this agent, copied
 * @seeds: addresses, copied
 *
 * Return: owned handle.
 */
struct lk *lk_new(struct event_base *base, const struct ck *clock,
    const char *cell, const char *name, const char *const *seeds, size_t nseeds,
    const struct lk_ops *ops, void *arg);

/** lk_free() - consumed, NULL is allowed */
void lk_free(struct lk *l);

/** lk_add_seed() - add a seed address; copied */
void lk_add_seed(struct lk *l, const char *address);

/** lk_report_end() - report the end of a grant; batched per loop pass */
void lk_report_end(struct lk *l, uint64_t entry, const struct pd_end *e);

/**
 * lk_set_short_heartbeats() - send heartbeats without the description of the
 * endpoint while it has not changed
 *
 * They have less than half of the bytes.
 */
void lk_set_short_heartbeats(struct lk *l, bool on);

/** lk_send_heartbeats() - send a heartbeat to all entries now */
void lk_send_heartbeats(struct lk *l);

/** lk_connected() - number of connected entries */
unsigned lk_connected(const struct lk *l);

#endif
