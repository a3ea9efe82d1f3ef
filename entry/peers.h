#ifndef PEERS_H
#define PEERS_H

#include <stdbool.h>
#include <stdint.h>

#include "conn.h"
#include "pd.h"

/**
 * DOC: pe - connections to the other entries, and the calls between entries
 *
 * Connections are kept to the seeds of the settings and to the addresses of
 * the registered entries. Calls to an entry go over the connection that this
 * end opened; calls from an entry arrive at the listener of ss_.
 */
struct pe;
struct kn;
struct cs;

/** PE_IDLE_TIMEOUT_MS - a connection without traffic for this time is opened
 * anew */
#define PE_IDLE_TIMEOUT_MS 2000

/**
 * pe_new() - connections to the seeds
 * @k: kernel with "loop", "settings" and "counters"; "member" and "forward"
 *     are looked up later
 */
struct pe *pe_new(struct kn *k);

/** pe_free() - close all connections; consumed */
void pe_free(struct pe *p);

/** pe_configure() - connect to the registered entries, drop removed ones */
void pe_configure(struct pe *p, const struct cs *state);

/** pe_status() - STATUS call -> mb_status_done() */
void pe_status(struct pe *p, const char *address);

/** pe_fetch() - CHANGES call -> mb_fetch_done() */
void pe_fetch(struct pe *p, const char *address, uint64_t after);

/** pe_push() - PUSH call -> mb_push_done(), if there is a connection */
void pe_push(struct pe *p, const char *address, uint64_t after);

/**
 * pe_forward() - FORWARD a submission
 * @done: called once with the struct pd_answer or an error
 *
 * Return: false when there is no connection; @done is not called then.
 */
bool pe_forward(struct pe *p, const char *address, const struct pd_submit *s,
    cn_reply_fn done, void *arg);

/** pe_lookup() - LOOKUP, like pe_forward() */
bool pe_lookup(struct pe *p, const char *address, const struct pd_lookup *l,
    cn_reply_fn done, void *arg);

/**
 * pe_handle_call() - serve a call from another entry
 *
 * Return: false when @proc is not a call between entries.
 */
bool pe_handle_call(
    struct pe *p, struct cn *c, uint32_t proc, uint32_t xid, XDR *args);

#endif
