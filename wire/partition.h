#ifndef PARTITION_H
#define PARTITION_H

#include "pd.h"

/**
 * DOC: pt - partitions of submission ids, computed alike by every process
 */

/** pt_partition() - partition of a submission id, 0 to PD_PARTITIONS - 1 */
unsigned pt_partition(const struct pd_id *id);

/** pt_bit() - bit of a partition in pd_fence.partitions */
static inline uint64_t
pt_bit(unsigned partition)
{
	return ((uint64_t)1 << partition);
}

/**
 * pt_weight() - weight of an entry for a partition in rendezvous hashing
 * @partition: partition
 * @name: name of the entry
 *
 * The entry with the greatest weight owns the partition. The incarnation is not
 * hashed, so a restarted entry gets its partitions back.
 */
uint64_t pt_weight(unsigned partition, const char *name);

#endif
