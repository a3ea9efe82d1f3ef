#ifndef LOG_H
#define LOG_H

#include <syslog.h>

/**
 * DOC: lg - log lines on standard error
 *
 * One line per event: `<pri>Mon DD HH:MM:SS ident[pid]: part: text`, with the
 * priority numbers of syslog. After ev_open() the lines go to the event log
 * instead. Until then lg_write() may be called from any thread; the event log
 * is not thread-safe.
 */

/**
 * lg_open() - set the program name and the least severe level to print
 * @ident: program name, borrowed for the life of the process
 * @level: LOG_ERR to LOG_DEBUG from syslog.h
 */
void lg_open(const char *ident, int level);

/**
 * lg_level() - convert a level name
 * @name: "err", "warning", "notice", "info" or "debug"
 *
 * Return: the syslog level, or -1 for an unknown name.
 */
int lg_level(const char *name);

/**
 * lg_write() - write one line
 * @level: syslog level
 * @part: component that logs, such as "member"; the prefix of the line
 * @fmt: printf format of a short sentence without a newline
 */
void lg_write(int level, const char *part, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#endif
