#ifndef CORE_H
#define CORE_H

/**
 * DOC: cr - connects the decision logic of plan to the I/O of the entry
 */
struct cr;
struct kn;

/**
 * cr_new() - create membership, dispatcher, takeover and history
 * @k: kernel with "clock", "counters" and "settings"; the I/O services are
 *     looked up by cr_start()
 *
 * Registers "history", "dispatch", "takeover" and "member".
 */
struct cr *cr_new(struct kn *k);

/** cr_free() - free; consumed. The registered services are freed by @k */
void cr_free(struct cr *c);

/**
 * cr_start() - start the timers
 * @c: core; "loop", "store", "peers", "sessions" and "forward" are registered
 */
void cr_start(struct cr *c);

#endif
