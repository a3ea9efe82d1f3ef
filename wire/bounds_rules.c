#include <glib.h>

#include "bounds_impl.h"

/* Descriptors for files, and for connections that the process opens itself:
 * to 64 entries, 16 agents or entries, the store and the endpoint. */
#define DESCRIPTORS_RESERVED 300
/* Share of the host's memory for connections and jobs. The rest is for the
 * program, for allocations larger than what they hold, and for the kernel's
 * buffers of connections that are not paused. */
#define MEMORY_DIVISOR 4
#define BYTES_PER_MB (1024 * 1024)
/* If the memory of the host is unknown: as on the smallest one, of 120 MB. */
#define MEMORY_DEFAULT_MB 120
/* Some requests with the largest headers (16,384 bytes) and body (262,144). */
#define MEMORY_MIN_BYTES (4 * BYTES_PER_MB)
/* Zones have up to 18 connections. */
#define CONNECTIONS_MIN 256
#define CONNECTIONS_EACH_MIN 20
/* Time after which paused connections are closed if memory does not suffice:
 * buffers that shrink by themselves have done so by then. */
#define PAUSE_MIN_MS 40
/* Pauses end after this time, since requests that are larger than what is read
 * from paused connections have to be served, too. */
#define PAUSE_MAX_MS 500
/* Requests of the clients fit in a few segments, which arrive within
 * milliseconds; one segment that is lost is repeated within this time. */
#define SLOW_MS 1000

const char *
bd_limits_derive(const struct bd_settings *s, uint64_t process_descriptors,
    struct bd_limits *out)
{
	uint64_t descriptors = process_descriptors;
	uint64_t mb =
	    s->memory_mb > 0 ? (uint64_t)s->memory_mb : MEMORY_DEFAULT_MB;

	if (s->descriptors > 0)
		descriptors = MIN(descriptors, (uint64_t)s->descriptors);
	descriptors = MIN(descriptors, G_MAXINT);
	if (descriptors < DESCRIPTORS_RESERVED + CONNECTIONS_MIN)
		return (
		    "limits.descriptors, or the limit of open files, is "
		    "below 556");
	out->connections = (unsigned)(descriptors - DESCRIPTORS_RESERVED);
	out->connections_each = (unsigned)s->connections;
	if (s->connections > 0 && s->connections < CONNECTIONS_EACH_MIN)
		return ("limits.connections is below 20");
	if ((uint64_t)s->connections > out->connections)
		return ("limits.connections exceeds the descriptors less 300");
	out->memory_bytes = s->memory_bytes > 0
	    ? (size_t)s->memory_bytes
	    : (size_t)(mb * BYTES_PER_MB / MEMORY_DIVISOR);
	if (out->memory_bytes < MEMORY_MIN_BYTES)
		return (
		    "limits.memory_bytes is below 4 MB, or "
		    "limits.memory_mb below 16");
	if (s->memory_mb > 0 && out->memory_bytes > mb * BYTES_PER_MB)
		return ("limits.memory_bytes exceeds limits.memory_mb");
	out->read_ahead_bytes = (size_t)s->read_ahead_bytes;
	if (out->read_ahead_bytes > out->memory_bytes / MEMORY_DIVISOR)
		return (
		    "limits.read_ahead_bytes exceeds a quarter of "
		    "limits.memory_bytes");
	out->request_ms = (unsigned)s->request_ms;
	return (NULL);
}

bool
bd_is_idle(const struct bd_view *v, uint64_t now_ms, unsigned quiet_ms)
{
	return (!v->closing && v->request_ms == 0 && v->unread_ms == 0 &&
	    now_ms - v->last_ms >= quiet_ms);
}

bool
bd_is_slow(const struct bd_view *v, uint64_t now_ms)
{
	return (bd_is_overdue(v, now_ms, SLOW_MS));
}

/* When the request began, or the peer last read. */
static uint64_t
busy_since_ms(const struct bd_view *v)
{
	return (v->unread_ms != 0 ? v->unread_ms : v->request_ms);
}

bool
bd_precedes_victim(const struct bd_view *a, const struct bd_view *b)
{
	uint64_t a_ms = busy_since_ms(a), b_ms = busy_since_ms(b);

	if (a_ms == 0 && b_ms == 0)
		return (a->last_ms < b->last_ms);
	if (a_ms == 0 || b_ms == 0)
		return (a_ms == 0);
	return (a_ms < b_ms);
}

bool
bd_precedes_large(const struct bd_view *a, const struct bd_view *b)
{
	if (a->handled != b->handled)
		return (b->handled);
	return (a->held > b->held);
}

bool
bd_is_overdue(const struct bd_view *v, uint64_t now_ms, unsigned limit_ms)
{
	if (v->closing)
		return (false);
	if (v->unread_ms != 0)
		return (now_ms - v->unread_ms > limit_ms);
	return (v->request_ms != 0 && !v->handled &&
	    now_ms - v->request_ms > limit_ms);
}

size_t
bd_memory_goal(size_t limit)
{
	return (limit / 4 * 3);
}

enum bd_action
bd_memory_action(bool paused, uint64_t paused_ms, size_t held, size_t limit)
{
	if (!paused)
		return (held > limit ? BD_PAUSE : BD_RUN);
	if (held <= bd_memory_goal(limit))
		return (BD_RUN);
	if ((held > limit && paused_ms >= PAUSE_MIN_MS) ||
	    held > limit + limit / 4 || paused_ms >= PAUSE_MAX_MS)
		return (BD_CLOSE);
	return (BD_PAUSE);
}
