#ifndef JOBLOG_H
#define JOBLOG_H

#include <stdint.h>

#include "jobs.h"

/** DOC: jl - log lines of a transient job that has ended */

/**
 * jl_write() - log the answer of a job and its events
 *
 * The first problem is part of the line of the answer, since the lines of
 * events are dropped first when many jobs end at once.
 *
 * @workers: number of usable workers
 * @revision: of the configuration in force
 */
void jl_write(const struct jb_answer *a, unsigned workers, uint64_t revision);

#endif
