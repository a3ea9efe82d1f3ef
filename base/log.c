#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "event.h"
#include "log.h"

#define LINE_BYTES 1024

static const char *log_ident = "pimentodock";
static int log_max = LOG_INFO;

void
lg_open(const char *ident, int level)
{
	log_ident = ident;
	log_max = level;
}

int
lg_level(const char *name)
{
	static const struct {
		const char *name;
		int level;
	} levels[] = {{"err", LOG_ERR}, {"warning", LOG_WARNING},
	    {"notice", LOG_NOTICE}, {"info", LOG_INFO}, {"debug", LOG_DEBUG}};
	size_t i;

	for (i = 0; i < sizeof(levels) / sizeof(levels[0]); i++)
		if (strcmp(levels[i].name, name) == 0)
			return (levels[i].level);
	return (-1);
}

void
lg_write(int level, const char *part, const char *fmt, ...)
{
	char line[LINE_BYTES], stamp[32];
	struct tm tm;
	time_t now;
	va_list ap;
	int n, m;

	if (level > log_max)
		return;
	if (ev_enabled()) {
		va_start(ap, fmt);
		m = vsnprintf(line, sizeof(line), fmt, ap);
		va_end(ap);
		if (m >= 0)
			ev_write(part, "note", "{s:i,s:s}", "level", level,
			    "text", line);
		return;
	}
	now = time(NULL);
	localtime_r(&now, &tm);
	strftime(stamp, sizeof(stamp), "%b %e %H:%M:%S", &tm);
	n = snprintf(line, sizeof(line),
	    "<%d>%s %s[%d]: %s: ", LOG_DAEMON | level, stamp, log_ident,
	    (int)getpid(), part);
	if (n < 0 || n >= (int)sizeof(line) - 1)
		return;
	va_start(ap, fmt);
	m = vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, ap);
	va_end(ap);
	if (m < 0)
		return;
	n += m;
	if (n > (int)sizeof(line) - 2)
		n = (int)sizeof(line) - 2;
	line[n++] = '\n';
	/* With one write per line, the lines of several threads do not mix. */
	if (write(STDERR_FILENO, line, (size_t)n) < 0)
		return;
}
