#ifndef JOB_LOG_H
#define JOB_LOG_H

#include "jobs.h"

/**
 * DOC: jl - log lines of the jobs that have ended
 */

/**
 * struct jl - which jobs are logged; zeroed at first
 * @all: all jobs; else those that did not complete in time, and a sample of the
 *     others
 * @in_time: number of jobs that completed in time
 */
struct jl {
	bool all;
	uint64_t in_time;
};

/** jl_is_logged() - whether a job that has just ended is to be logged; call
 * once for each job */
bool jl_is_logged(struct jl *l, const struct jb_answer *a);

/**
 * jl_write() - log how a job ended, and its events
 * @workers: number of workers that take tasks
 * @revision: of the configuration in force
 */
void jl_write(const struct jb_answer *a, unsigned workers, uint64_t revision);

#endif
