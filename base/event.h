#ifndef EVENT_LOG_H
#define EVENT_LOG_H

#include <stdint.h>

/**
 * DOC: ev - event log: structured log lines on standard output, one JSON object
 * each
 *
 * Writing never blocks. A line is dropped and counted if standard output does
 * not accept it at once or if the rate limit is reached. Not thread-safe.
 */

/** EV_LINES_PER_S - rate limit, lines per second; bursts may be twice as long
 */
#define EV_LINES_PER_S 300

/**
 * ev_open() - write to standard output from now on
 * @ident: name of the process in each line, borrowed
 *
 * From then on, lg_write() writes its lines there as well.
 */
void ev_open(const char *ident);

/** ev_enabled() - whether ev_open() was called */
int ev_enabled(void);

/**
 * ev_write() - write one line
 * @part: component that logs, such as "jobs"
 * @event: name of the event, such as "refused"
 * @format: json_pack() format of an object with the fields of the event, such
 *     as "{s:s,s:i}"; its arguments follow
 *
 * A line whose arguments are not UTF-8 is dropped and counted.
 */
void ev_write(const char *part, const char *event, const char *format, ...);

/**
 * ev_write_detail() - write one line of low priority
 *
 * Dropped already when the rate limit leaves room for no more than
 * EV_LINES_PER_S lines, which are reserved for ev_write().
 */
void ev_write_detail(
    const char *part, const char *event, const char *format, ...);

/** ev_dropped() - number of lines dropped since the start of the process */
uint64_t ev_dropped(void);

#endif
