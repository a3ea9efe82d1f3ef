#ifndef OPERATORS_H
#define OPERATORS_H

#include <stdbool.h>

/**
 * DOC: or - HTTP interface for operators, with a bearer token
 */
struct or ;
struct kn;

/**
 * or_new() - listen
 * @k: kernel with "counters", "mailbox", "settings", "member", "dispatch",
 *     "takeover", "history", "forward" and "sessions"
 *
 * Return: owned handle, or NULL when the address cannot be bound.
 */
struct or *or_new(struct kn *k);

/** or_drain() - show the entry as draining in its status */
void or_drain(struct or *o);

/**
 * or_close() - wait until the connections have ended
 *
 * Blocks; the event loop must go on meanwhile. NULL is allowed.
 */
void or_close(struct or *o);

/** or_free() - or_close() and free; consumed */
void or_free(struct or *o);

/**
 * or_token_matches() - compare a token without telling by the time taken how
 * much of it is right
 * @header: value of the Authorization header, NULL when it is missing
 * @token: token of the settings
 */
bool or_token_matches(const char *header, const char *token);

#endif
