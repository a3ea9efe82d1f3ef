#ifndef HANGUP_H
#define HANGUP_H

#include <event2/event.h>
#include <stdbool.h>

#include "pool.h"

/**
 * DOC: hu - the end of connections that are not read
 *
 * A server that works on a request does not read its connection, and must still
 * notice when the client ends it. libevent cannot report every end without
 * reading: EV_CLOSED stands for a FIN only, and an event for EV_READ fires as
 * long as unread bytes wait. This module watches such sockets with an epoll set
 * of its own, for a FIN, a reset and a time-out of TCP.
 */
struct hu;

/**
 * hu_ended_fn - a connection has ended; called once, from the event loop
 * @by_error: by a reset or a time-out, not by a FIN
 */
typedef void (*hu_ended_fn)(void *arg, bool by_error);

/**
 * hu_new() - watch no connections yet
 * @base: event loop, borrowed
 *
 * Return: owned handle, NULL if no descriptor is available.
 */
struct hu *hu_new(struct event_base *base);

/** hu_free() - end all watches; consumed, NULL is allowed */
void hu_free(struct hu *h);

/**
 * hu_add() - watch a connection
 * @fd: of a stream socket that is not watched yet
 * @ended: called with @arg, never before this function returns
 *
 * Return: handle of the watch, PL_NONE if the socket cannot be watched. Remove
 * it before the socket is closed, also after @ended was called.
 */
pl_handle hu_add(
    struct hu *h, evutil_socket_t fd, hu_ended_fn ended, void *arg);

/** hu_remove() - end a watch; no effect on PL_NONE and on one that was removed
 */
void hu_remove(struct hu *h, pl_handle watch);

#endif
