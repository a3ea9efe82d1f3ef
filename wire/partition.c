#include <string.h>
#include <xxhash.h>

#include "partition.h"

unsigned
pt_partition(const struct pd_id *id)
{
	uint64_t hash;

	hash = XXH3_64bits_withSeed(id->id, strlen(id->id), id->created_ms);
	return ((unsigned)(hash % PD_PARTITIONS));
}

uint64_t
pt_weight(unsigned partition, const char *name)
{
	return (XXH3_64bits_withSeed(name, strlen(name), partition));
}
