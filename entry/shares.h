#ifndef SHARES_H
#define SHARES_H

#include <stddef.h>
#include <stdint.h>

#include "pd.h"

/**
 * DOC: sh - summaries of run times in the messages between entries, at a
 * bounded rate
 *
 * An entry sends its own samples only, so each other entry has to get them from
 * it. At 55 entries and 16 queues that is about 90 kB for one round. So the
 * time between two lists to the same entry grows with their number and size.
 */

/**
 * typedef sh_fill_fn - get the summaries of this entry
 * @list: filled; the caller frees queue and bins with g_free()
 *
 * Return: number of summaries, at most @max.
 */
typedef unsigned (*sh_fill_fn)(
    void *arg, struct pd_run_times *list, unsigned max);

/**
 * sh_fill() - add summaries to a message if they are due
 * @list_bytes: size of the last list; updated
 * @entries: number of other entries
 * @sent_ms: when they were last sent to the receiver, 0 for never, in which
 *     case they are due at once; updated
 * @fill: NULL for none
 *
 * m->run_times is released with sh_release().
 */
void sh_fill(size_t *list_bytes, unsigned entries, uint64_t now_ms,
    uint64_t *sent_ms, struct pd_gossip *m, sh_fill_fn fill, void *arg);

/** sh_release() - free the summaries that sh_fill() added */
void sh_release(struct pd_gossip *m);

#endif
