#ifndef SESSIONS_H
#define SESSIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dispatch.h"
#include "pd.h"

/**
 * DOC: ss - listener of the entry, and its sessions with agents
 *
 * One listener serves agents and other entries, told apart by the number of
 * the procedure. Grants and cancellations for an agent are batched: each pass
 * of the event loop sends at most one message of each kind, or more when a
 * batch is full.
 */
struct ss;
struct kn;

/** SS_IDLE_TIMEOUT_MS - a connection idle for this long is closed */
#define SS_IDLE_TIMEOUT_MS 2000

/**
 * ss_new() - listen on the RPC address
 * @k: kernel with "loop", "settings", "counters", "peers"; "member",
 *     "dispatch", "takeover" and "forward" are looked up when they are used
 *
 * Return: owned handle, or NULL when the address cannot be bound.
 */
struct ss *ss_new(struct kn *k);

/** ss_free() - close all connections; consumed */
void ss_free(struct ss *s);

/** ss_grant() - queue a grant for an agent; @g is borrowed */
void ss_grant(struct ss *s, dp_agent agent, const struct pd_grant *g);

/** ss_cancel() - queue a cancellation; @k is borrowed */
void ss_cancel(struct ss *s, dp_agent agent, const struct pd_key *k);

/** ss_resolve() - call RESOLVE; the reply goes to dp_report() */
void ss_resolve(
    struct ss *s, dp_agent agent, const struct pd_key *keys, size_t n);

/**
 * ss_fence() - call FENCE; the reply goes to tk_fence_reply(), an error to
 * tk_fence_failed()
 */
void ss_fence(struct ss *s, dp_agent agent, const struct pd_fence *f);

/** ss_agent_count() - number of agents with an open session */
size_t ss_agent_count(const struct ss *s);

#endif
