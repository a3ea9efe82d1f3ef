#ifndef TALLY_H
#define TALLY_H

#include <stdint.h>
#include <stdio.h>

/**
 * DOC: ta - counts and response times of a load run
 */

enum ta_count {
	TA_SUBMISSIONS, /* distinct ids sent */
	TA_TASKS,       /* tasks of all of them */
	TA_COMPLETE,
	TA_FAILED,
	TA_REFUSED,
	TA_UNKNOWN,
	TA_UNANSWERED, /* no final answer within deadline and grace time */
	TA_ERRORS,   /* HTTP status or body that the interface does not allow */
	TA_PARTIAL,  /* results missing, or present without "complete" */
	TA_FOREIGN,  /* id or results of another submission */
	TA_MISMATCH, /* two final answers for one id differ */
	TA_REFUSED_RUN, /* refused without "not_run" */
	TA_RESUBMITTED, /* sent again after a broken connection */
	TA_DUPLICATES,  /* sent again on purpose */
	TA_COUNT,
};

struct ta;

/** ta_new() - empty tally, owned */
struct ta *ta_new(void);

/** ta_free() - free a tally; consumed */
void ta_free(struct ta *t);

/** ta_add() - add to a count */
void ta_add(struct ta *t, enum ta_count which, uint64_t n);

/** ta_value() - value of a count */
uint64_t ta_value(const struct ta *t, enum ta_count which);

/** ta_add_time() - add the response time of a complete submission, microseconds
 */
void ta_add_time(struct ta *t, uint64_t us);

/**
 * ta_print() - print the counts and percentiles as one line
 * @t: tally
 * @out: where to print
 * @elapsed_us: length of the run, microseconds
 */
void ta_print(struct ta *t, FILE *out, uint64_t elapsed_us);

#endif
