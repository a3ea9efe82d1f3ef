#ifndef JOBLOG_H
#define JOBLOG_H

#include <stdint.h>

#include "jobs.h"

/**
 * DOC: jl - lines in the event log about jobs that have ended
 */

/**
 * jl_write() - log the answer of a job and its events
 * @workers: usable workers of this entry
 * @config: revision of the configuration in force
 */
void jl_write(const struct jb_answer *a, unsigned workers, uint64_t config);

#endif
