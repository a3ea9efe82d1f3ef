#ifndef LEVEL_H
#define LEVEL_H

#include "pd.h"

/**
 * DOC: lv - priority levels, to which the priorities of queues are mapped in
 * load reports
 */

/** lv_of() - level of a priority, the index in pd_load.cpu_queued; the last
 * level holds all lower priorities */
static inline unsigned
lv_of(unsigned priority)
{
	return (priority < PD_LEVELS ? priority : PD_LEVELS - 1);
}

#endif
