#ifndef PEERS_H
#define PEERS_H

#include <stdbool.h>
#include <stdint.h>

#include "conn.h"
#include "pd.h"

/**
 * DOC: pe - connections to the other entries (peers) and calls between entries
 *
 * Connections are kept to the seeds of the settings and to the addresses of
 * the registered entries. Calls to an entry go over the connection that this
 * end opened; calls from an entry arrive at the listener in sessions.h.
 */
struct pe;
struct kn;
struct cs;

/** PE_IDLE_TIMEOUT_MS - a connection idle for this long is closed, reopened */
#define PE_IDLE_TIMEOUT_MS 2000

/**
 * pe_new() - connect to the seeds
 * @k: kernel with "loop", "settings" and "counters"; "member" and "forward"
 *     are looked up when they are used
 */
struct pe *pe_new(struct kn *k);

/** pe_free() - close all connections; consumed */
void pe_free(struct pe *p);

/** pe_configure() - connect to new entries, disconnect removed ones */
void pe_configure(struct pe *p, const struct cs *state);

/** pe_status() - call STATUS; the reply goes to mb_status_done() */
void pe_status(struct pe *p, const char *address);

/** pe_fetch() - call CHANGES; the reply goes to mb_fetch_done() */
void pe_fetch(struct pe *p, const char *address, uint64_t after);

/**
 * pe_push() - call PUSH; the reply goes to mb_push_done()
 *
 * Does nothing without an open connection.
 */
void pe_push(struct pe *p, const char *address, uint64_t after);

/**
 * pe_forward() - call FORWARD with a submission
 * @done: called once with the struct pd_answer or an error
 *
 * Return: false when there is no open connection; @done is not called then.
 */
bool pe_forward(struct pe *p, const char *address, const struct pd_submit *s,
    cn_reply_fn done, void *arg);

/** pe_lookup() - call LOOKUP, otherwise like pe_forward() */
bool pe_lookup(struct pe *p, const char *address, const struct pd_lookup *l,
    cn_reply_fn done, void *arg);

/**
 * pe_handle_call() - handle a call from another entry
 * @same_cell: kept with the connection, false at first; set by STATUS to
 *     whether the caller belongs to this cell. Other calls are rejected while
 *     it is false, since each cell has its own owners and its own change log.
 *
 * Return: false when @proc is not a call between entries.
 */
bool pe_handle_call(struct pe *p, struct cn *c, uint32_t proc, uint32_t xid,
    XDR *args, bool *same_cell);

#endif
