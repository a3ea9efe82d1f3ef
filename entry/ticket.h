#ifndef TICKET_H
#define TICKET_H

#include <stdbool.h>

/**
 * DOC: ti - ticket: a future for the result of a request to the event loop
 *
 * An HTTP thread makes a ticket, posts it to the loop with the request and
 * waits. The loop completes each ticket exactly once and watches the request's
 * time limit, so that the thread waits without a timeout.
 */
struct ti;

/** ti_new() - create a ticket, owned by the thread that will wait on it */
struct ti *ti_new(void);

/**
 * ti_complete() - set the result and wake the waiting thread
 * @t: ticket; must not be used by the loop afterwards
 * @status: HTTP status
 * @result: consumed; returned by ti_wait()
 */
void ti_complete(struct ti *t, unsigned status, void *result);

/**
 * ti_wait() - wait for ti_complete()
 * @t: consumed
 * @status: set to the HTTP status
 *
 * Return: @result of ti_complete(), owned by the caller.
 */
void *ti_wait(struct ti *t, unsigned *status);

#endif
