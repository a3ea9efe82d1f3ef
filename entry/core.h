#ifndef CORE_H
#define CORE_H

/**
 * DOC: cr - core: connects the decision logic of plan/ to the entry's I/O
 */
struct cr;
struct kn;

/**
 * cr_new() - create membership, dispatcher, takeover and history
 * @k: kernel with "clock", "counters" and "settings"; cr_start() looks up the
 *     I/O services
 *
 * Registers "history", "dispatch", "takeover" and "member".
 */
struct cr *cr_new(struct kn *k);

/** cr_free() - free; consumed. The kernel frees the registered services */
void cr_free(struct cr *c);

/**
 * cr_start() - start the timers
 * @c: core whose kernel has "loop", "store", "peers", "sessions" and "forward"
 */
void cr_start(struct cr *c);

#endif
