#ifndef OPERATORS_H
#define OPERATORS_H

#include <stdbool.h>

/**
 * DOC: or - HTTP interface for operators, who authenticate by a bearer token
 */
struct or ;
struct kn;

/**
 * or_new() - start the HTTP server
 * @k: kernel with "counters", "mailbox", "settings", "member", "dispatch",
 *     "takeover", "history", "forward" and "sessions"
 *
 * Return: owned handle, or NULL when the address cannot be bound.
 */
struct or *or_new(struct kn *k);

/** or_drain() - report the entry as draining in its status from now on */
void or_drain(struct or *o);

/**
 * or_close() - wait for the requests in progress and close all connections
 *
 * Blocks; the event loop must keep running to answer them. NULL is allowed.
 */
void or_close(struct or *o);

/** or_free() - or_close() and free; consumed */
void or_free(struct or *o);

/**
 * or_token_matches() - check the bearer token in constant time
 * @header: value of the Authorization header, NULL when it is missing
 * @token: token from the settings
 *
 * The time taken must not tell how much of a guessed token is right.
 */
bool or_token_matches(const char *header, const char *token);

#endif
