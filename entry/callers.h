#ifndef CALLERS_H
#define CALLERS_H

/**
 * DOC: ca - HTTP interface for callers, who submit work and look up answers
 */
struct ca;
struct kn;

/**
 * ca_new() - start the HTTP server
 * @k: kernel with "clock", "counters", "forward", "mailbox", "settings"
 *
 * Return: owned handle, or NULL when the address cannot be bound.
 */
struct ca *ca_new(struct kn *k);

/**
 * ca_drain() - reject new submissions with 503; look-ups are still answered
 *
 * /healthz answers 503 from now on.
 */
void ca_drain(struct ca *c);

/**
 * ca_close() - reject all requests and wait until the connections are closed
 *
 * Blocks; the event loop must keep running to answer the requests in progress.
 * NULL is allowed.
 */
void ca_close(struct ca *c);

/** ca_free() - ca_close() and free; consumed */
void ca_free(struct ca *c);

#endif
