#ifndef EVENT_LOG_H
#define EVENT_LOG_H

#include <stdint.h>

/**
 * DOC: ev - structured log on standard output: one JSON object a line
 *
 * A line never blocks: one that standard output does not take, or that exceeds
 * the budget, is dropped and counted. Belongs to one thread.
 */

/** EV_LINES_PER_S - budget of lines; bursts of twice as many pass */
#define EV_LINES_PER_S 300

/**
 * ev_open() - write to standard output from now on
 * @ident: name of the process in each line, borrowed
 *
 * Lines of lg_write() go there too.
 */
void ev_open(const char *ident);

/** ev_enabled() - whether ev_open() was called */
int ev_enabled(void);

/**
 * ev_write() - write one line
 * @part: part that speaks, such as "jobs"
 * @event: what happened, such as "refused"
 * @format: format of json_pack() for the members of an object, such as
 *     "{s:s,s:i}"; arguments follow
 *
 * A line whose arguments are not UTF-8 is dropped and counted.
 */
void ev_write(const char *part, const char *event, const char *format, ...);

/**
 * ev_write_detail() - like ev_write(), for lines that are left out first
 *
 * One second's budget is kept for the lines of ev_write().
 */
void ev_write_detail(
    const char *part, const char *event, const char *format, ...);

/** ev_dropped() - lines dropped since the start */
uint64_t ev_dropped(void);

#endif
