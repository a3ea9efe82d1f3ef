#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "event.h"

/* PIPE_BUF of Linux: a write of up to this size to a pipe is atomic. */
#define LINE_BYTES 4096
#define MS_PER_S 1000
#define NS_PER_MS 1000000

static const char *ident;
static int log_fd = -1;
static uint64_t dropped;
static uint64_t reported; /* dropped lines that the log has reported */
static uint64_t refilled_ms;
static uint64_t tokens; /* thousandths of a line */

void
ev_open(const char *name)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		(void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	ident = name;
	log_fd = STDOUT_FILENO;
	tokens = (uint64_t)EV_LINES_PER_S * 2 * MS_PER_S;
}

int
ev_enabled(void)
{
	return (log_fd >= 0);
}

uint64_t
ev_dropped(void)
{
	return (dropped);
}

static uint64_t
read_ms(clockid_t clock)
{
	struct timespec now;

	clock_gettime(clock, &now);
	return ((uint64_t)now.tv_sec * MS_PER_S +
	    (uint64_t)now.tv_nsec / NS_PER_MS);
}

/* Takes a token for one line; fails if less than @reserve others are left. */
static int
consume_token(unsigned reserve)
{
	const uint64_t burst_limit = (uint64_t)EV_LINES_PER_S * 2 * MS_PER_S;
	uint64_t now = read_ms(CLOCK_MONOTONIC);

	if (now > refilled_ms) {
		if (refilled_ms != 0)
			tokens += (now - refilled_ms) * EV_LINES_PER_S;
		refilled_ms = now;
	}
	if (tokens > burst_limit)
		tokens = burst_limit;
	if (tokens < (uint64_t)(reserve + 1) * MS_PER_S)
		return (0);
	tokens -= MS_PER_S;
	return (1);
}

static int
write_object(json_t *o)
{
	char line[LINE_BYTES];
	size_t n;

	n = json_dumpb(o, line, sizeof(line) - 1, JSON_COMPACT);
	if (n == 0 || n > sizeof(line) - 1)
		return (0);
	line[n++] = '\n';
	return (write(log_fd, line, n) == (ssize_t)n);
}

static json_t *
header(uint64_t now, const char *part, const char *event)
{
	return (json_pack("{s:I,s:s,s:s,s:s}", "t", (json_int_t)now, "proc",
	    ident, "part", part, "event", event));
}

static void
report_dropped(uint64_t now)
{
	uint64_t unreported = dropped - reported;
	json_t *o;

	if (unreported == 0)
		return;
	o = header(now, "log", "dropped");
	json_object_set_new(o, "lines", json_integer((json_int_t)unreported));
	if (write_object(o))
		reported += unreported;
	json_decref(o);
}

static void
write_line(unsigned reserve, const char *part, const char *event,
    const char *format, va_list ap)
{
	uint64_t now = read_ms(CLOCK_REALTIME);
	json_t *members, *o;

	if (log_fd < 0)
		return;
	if (!consume_token(reserve)) {
		dropped++;
		return;
	}
	report_dropped(now);
	members = json_vpack_ex(NULL, 0, format, ap);
	o = header(now, part, event);
	if (members == NULL || json_object_update(o, members) != 0 ||
	    !write_object(o))
		dropped++;
	json_decref(members);
	json_decref(o);
}

void
ev_write(const char *part, const char *event, const char *format, ...)
{
	va_list ap;

	va_start(ap, format);
	write_line(0, part, event, format, ap);
	va_end(ap);
}

void
ev_write_detail(const char *part, const char *event, const char *format, ...)
{
	va_list ap;

	va_start(ap, format);
	write_line(EV_LINES_PER_S, part, event, format, ap);
	va_end(ap);
}
