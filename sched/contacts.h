#ifndef CONTACTS_H
#define CONTACTS_H

#include <stdint.h>

/**
 * DOC: ac - agent contacts: to which entries an agent stays connected
 *
 * An entry needs enough workers for its widest jobs and for a burst. With more
 * entries than that requires, each connection costs heartbeats and load reports
 * and spreads what an entry learns over more workers. So each agent connects to
 * a subset of the entries, chosen by rendezvous hashing: the subsets of agents
 * are independent, and few of them change when an entry comes or goes.
 */
struct ac;
struct ck;

/** AC_CONTACTS_MIN - entries that an agent connects to, if there are as many;
 * smaller cells are fully connected */
#define AC_CONTACTS_MIN 16

/** AC_SERVICE_WORKERS_MIN - workers of each service that an entry should know,
 * if there are as many */
#define AC_SERVICE_WORKERS_MIN 64

/** AC_LABEL_WORKERS_MIN - workers with each label that an entry should know,
 * if there are as many */
#define AC_LABEL_WORKERS_MIN 4

/** AC_REPORT_PERIOD_MS - minimum period of load reports to an entry. With a few
 * entries, a longer one makes each of them grant on older loads */
#define AC_REPORT_PERIOD_MS 40

/** AC_REPORTS_PER_S - load reports that an agent sends in a second */
#define AC_REPORTS_PER_S 200

/** ac_new() - create contacts of an agent; owned */
struct ac *ac_new(const struct ck *clock);

/** ac_free() - consumed, NULL is allowed */
void ac_free(struct ac *c);

/** ac_rank() - preference of an agent for an entry: the lowest come first */
uint64_t ac_rank(const char *agent, const char *address);

/** ac_list_hash() - hash of a list of addresses that does not depend on its
 * order */
uint32_t ac_list_hash(const char *const *addresses, unsigned n);

/**
 * ac_observe() - note how many workers an entry knows
 * @service_workers: workers of the same service as this one
 * @label_workers: workers that have the rarest label of this one
 */
void ac_observe(struct ac *c, unsigned service_workers, unsigned label_workers);

/**
 * ac_count() - number of entries to stay connected to
 * @entries: number of known entries
 *
 * Rises when the entries know too few workers and falls when they know more
 * than they need.
 */
unsigned ac_count(struct ac *c, unsigned entries);

/**
 * ac_report_period_ms() - minimum time between load reports to an entry that
 * has no other message to come
 * @contacts: connected entries
 *
 * The agent sends at most AC_REPORTS_PER_S of them to all entries together.
 */
unsigned ac_report_period_ms(unsigned contacts);

#endif
