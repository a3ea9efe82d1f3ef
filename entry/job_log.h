#ifndef JOB_LOG_H
#define JOB_LOG_H

#include <stdint.h>

/**
 * DOC: jl - log lines of a transient job that has ended
 */
struct jb_answer;

/**
 * jl_write() - log a job with its events
 * @workers: number of usable workers
 * @revision: of the configuration in force
 *
 * The first problem is part of the line of the answer, since the lines of
 * events are dropped first when many jobs end at once.
 */
void jl_write(const struct jb_answer *a, unsigned workers, uint64_t revision);

#endif
