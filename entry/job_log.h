#ifndef JOB_LOG_H
#define JOB_LOG_H

#include "jobs.h"

/**
 * DOC: jl - log lines of the jobs that have ended
 */

/**
 * jl_write() - log how a job ended, and its events
 * @workers: number of workers that take tasks
 * @revision: of the configuration in force
 */
void jl_write(const struct jb_answer *a, unsigned workers, uint64_t revision);

#endif
