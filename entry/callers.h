#ifndef CALLERS_H
#define CALLERS_H

/**
 * DOC: ca - HTTP interface for callers
 */
struct ca;
struct kn;

/**
 * ca_new() - listen
 * @k: kernel with "clock", "counters", "forward", "mailbox", "settings"
 *
 * Return: owned handle, or NULL when the address cannot be bound.
 */
struct ca *ca_new(struct kn *k);

/**
 * ca_drain() - refuse new submissions; look-ups are still answered
 *
 * /healthz answers 503 from now on.
 */
void ca_drain(struct ca *c);

/**
 * ca_close() - refuse everything and wait until the connections have ended
 *
 * Blocks; the event loop must go on meanwhile. NULL is allowed.
 */
void ca_close(struct ca *c);

/** ca_free() - ca_close() and free; consumed */
void ca_free(struct ca *c);

#endif
