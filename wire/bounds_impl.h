#ifndef BOUNDS_IMPL_H
#define BOUNDS_IMPL_H

#include "bounds.h"

/**
 * DOC: bd - decisions on connections, without any I/O
 */

/**
 * struct bd_view - what decisions know of a connection
 * @held: bytes that it holds in this process and in the kernel
 * @last_ms: when bytes were last received or written
 * @request_ms: when the first byte of its request came, 0: none
 * @unread_ms: since when no byte of its response was written, 0: no response
 * @handled: its request is complete and has no response yet
 * @closing: it has been closed, and its owner has not noticed yet
 */
struct bd_view {
	size_t held;
	uint64_t last_ms;
	uint64_t request_ms;
	uint64_t unread_ms;
	bool handled;
	bool closing;
};

/** enum bd_action - what to do about the memory of connections */
enum bd_action {
	BD_RUN,   /* read from all connections */
	BD_PAUSE, /* do not read from those that hold much */
	BD_CLOSE, /* close those that hold most, down to bd_memory_goal() */
};

/** bd_is_idle() - whether nothing is received or sent on a connection, for
 * @quiet_ms at least */
bool bd_is_idle(const struct bd_view *v, uint64_t now_ms, unsigned quiet_ms);

/** bd_is_slow() - whether a request or the reading of a response takes longer
 * than it does unless a network or a peer fails */
bool bd_is_slow(const struct bd_view *v, uint64_t now_ms);

/**
 * bd_precedes_victim() - whether @a is closed before @b to make room for a new
 * connection
 * @a, @b: idle or slow: the longest idle one first, then the slowest
 */
bool bd_precedes_victim(const struct bd_view *a, const struct bd_view *b);

/** bd_precedes_large() - whether @a is closed before @b to free memory: what
 * holds most, but one whose request is being handled only after the others */
bool bd_precedes_large(const struct bd_view *a, const struct bd_view *b);

/** bd_is_overdue() - whether an incomplete request or an unread response has
 * taken longer than @limit_ms */
bool bd_is_overdue(const struct bd_view *v, uint64_t now_ms, unsigned limit_ms);

/**
 * bd_memory_action() - what to do
 * @paused: whether reading is paused
 * @paused_ms: for how long
 * @held: by connections and jobs, bytes
 * @limit: bytes
 */
enum bd_action bd_memory_action(
    bool paused, uint64_t paused_ms, size_t held, size_t limit);

/** bd_memory_goal() - memory to which connections are closed, and at which
 * reading goes on, bytes */
size_t bd_memory_goal(size_t limit);

#endif
