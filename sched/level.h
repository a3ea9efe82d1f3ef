#ifndef LEVEL_H
#define LEVEL_H

#include "pd.h"

/**
 * DOC: lv - priorities of queues, as agents and entries tell them apart
 */

/** lv_of() - index in pd_load.cpu_queued of a priority */
static inline unsigned
lv_of(unsigned priority)
{
	return (priority < PD_LEVELS ? priority : PD_LEVELS - 1);
}

#endif
