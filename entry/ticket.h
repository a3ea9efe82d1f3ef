#ifndef TICKET_H
#define TICKET_H

#include <stdbool.h>

/**
 * DOC: ti - answer that an HTTP thread awaits from the event loop
 *
 * The thread makes a ticket, posts it to the loop and waits. The loop answers
 * each ticket exactly once and keeps the time, so that the thread needs no
 * timeout of its own.
 */
struct ti;

/** ti_new() - ticket, owned by the waiting thread */
struct ti *ti_new(void);

/**
 * ti_complete() - answer a ticket, from the loop
 * @t: ticket; the loop may not touch it afterwards
 * @status: HTTP status
 * @payload: consumed; what the waiting thread gets
 */
void ti_complete(struct ti *t, unsigned status, void *payload);

/**
 * ti_wait() - wait for the answer
 * @t: consumed
 * @status: set to the HTTP status
 *
 * Return: payload of ti_complete(), owned by the caller.
 */
void *ti_wait(struct ti *t, unsigned *status);

#endif
