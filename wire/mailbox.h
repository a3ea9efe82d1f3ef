#ifndef MAILBOX_H
#define MAILBOX_H

#include <event2/event.h>

/**
 * DOC: mx - mailbox: functions posted from other threads to the event loop
 */
struct mx;

/**
 * mx_new() - mailbox of an event loop
 * @base: event loop, borrowed. The mailbox keeps the loop running until
 * mx_free()
 *
 * Return: owned handle, or NULL if no file descriptor is available.
 */
struct mx *mx_new(struct event_base *base);

/** mx_free() - discard functions that have not run; consumed, NULL is allowed
 */
void mx_free(struct mx *m);

/**
 * mx_post() - run a function on the event loop
 * @m: mailbox
 * @fn: function
 * @arg: passed to @fn
 *
 * May be called from any thread. Functions posted by one thread run in order.
 */
void mx_post(struct mx *m, void (*fn)(void *arg), void *arg);

#endif
