#ifndef RNG_H
#define RNG_H

#include <stdint.h>

/**
 * DOC: rn - pseudo-random numbers (GLib's Mersenne Twister)
 */
struct rn;

/** rn_new() - generator whose sequence depends only on the seed, owned */
struct rn *rn_new(uint64_t seed);

/** rn_new_random() - generator seeded by the operating system, owned */
struct rn *rn_new_random(void);

/** rn_free() - free a generator; consumed, NULL is allowed */
void rn_free(struct rn *r);

/** rn_u64() - 64 random bits */
uint64_t rn_u64(struct rn *r);

/** rn_below() - uniform number in [0, limit), 0 when limit is 0 */
uint32_t rn_below(struct rn *r, uint32_t limit);

/** rn_unit() - uniform number in [0, 1) */
double rn_unit(struct rn *r);

#endif
