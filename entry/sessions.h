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
 * One listener serves agents and other entries; the number of the procedure
 * tells them apart. Grants and cancellations of one pass of the event loop go
 * to an agent as one message each.
 */
struct ss;
struct kn;

/** SS_IDLE_TIMEOUT_MS - a connection without traffic for this time is closed */
#define SS_IDLE_TIMEOUT_MS 2000

/**
 * ss_new() - listen
 * @k: kernel with "loop", "settings", "counters", "peers"; "member",
 *     "dispatch", "takeover" and "forward" are looked up later
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

/** ss_resolve() - RESOLVE -> dp_report() */
void ss_resolve(
    struct ss *s, dp_agent agent, const struct pd_key *keys, size_t n);

/** ss_fence() - FENCE -> tk_fence_reply() or tk_fence_failed() */
void ss_fence(struct ss *s, dp_agent agent, const struct pd_fence *f);

/** ss_agent_count() - open sessions with agents */
size_t ss_agent_count(const struct ss *s);

#endif
