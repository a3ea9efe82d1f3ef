#ifndef PARTITION_H
#define PARTITION_H

#include "pd.h"

/**
 * DOC: pt - partition of a submission id, the same in every process
 */

/** pt_partition() - partition of an id, 0 to PD_PARTITIONS - 1 */
unsigned pt_partition(const struct pd_id *id);

/** pt_bit() - bit of a partition in the mask of a fence */
static inline uint64_t
pt_bit(unsigned partition)
{
	return ((uint64_t)1 << partition);
}

/**
 * pt_weight() - weight of a member for a partition in rendezvous hashing
 * @partition: partition
 * @name: name of the member
 *
 * The member with the greatest weight owns the partition. The incarnation is
 * not hashed, so a restarted entry gets its partitions back.
 */
uint64_t pt_weight(unsigned partition, const char *name);

#endif
