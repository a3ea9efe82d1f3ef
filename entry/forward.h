#ifndef FORWARD_H
#define FORWARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "conn.h"
#include "pd.h"

/**
 * DOC: fw - brings submissions and look-ups to the owner of their partition
 *
 * A submission of a caller is kept until there is an answer. It goes to the
 * own dispatcher or to the owner; on PD_NOT_OWNER, a broken connection or a
 * change of owner it goes again, until its deadline. Then the answer is
 * PD_UNKNOWN with the reason "owner_unreachable".
 *
 * All functions belong to the event loop. Waiters of dp_ are handles of fw_.
 */
struct fw;
struct kn;

/**
 * fw_done_fn - answer for a caller, exactly once
 * @a: borrowed; status PD_PENDING when the waiting time ended first. NULL for
 *     a look-up whose owner could not be asked
 */
typedef void (*fw_done_fn)(void *arg, const struct pd_answer *a);

/**
 * fw_new() - no submissions
 * @k: kernel with "clock" and "counters"; "member", "dispatch", "history" and
 *     "peers" are looked up later
 */
struct fw *fw_new(struct kn *k);

/** fw_free() - forget all without answering; consumed */
void fw_free(struct fw *f);

/**
 * fw_submit() - bring a submission of a caller to its owner
 * @s: consumed, made by co_parse_submission()
 * @wait_ms: the caller waits this long; 0 answers at once
 */
void fw_submit(struct fw *f, struct pd_submit *s, unsigned wait_ms,
    fw_done_fn done, void *arg);

/**
 * fw_lookup() - ask the owner for the answer to a submission
 * @id: copied
 * @cancel: withdraw what has not started
 */
void fw_lookup(struct fw *f, const struct pd_id *id, bool cancel,
    unsigned wait_ms, fw_done_fn done, void *arg);

/** fw_serve_submit() - FORWARD from another entry; @s is borrowed */
void fw_serve_submit(
    struct fw *f, struct cn *c, uint32_t xid, const struct pd_submit *s);

/** fw_serve_lookup() - LOOKUP from another entry; @l is borrowed */
void fw_serve_lookup(
    struct fw *f, struct cn *c, uint32_t xid, const struct pd_lookup *l);

/** fw_conn_closed() - the connection of served calls has ended */
void fw_conn_closed(struct fw *f, const struct cn *c);

/** fw_handle_answer() - answer of the own dispatcher to a waiter */
void fw_handle_answer(struct fw *f, uint64_t waiter, const struct pd_answer *a);

/** fw_view_changed() - owners may have changed */
void fw_view_changed(struct fw *f);

/** fw_tick() - waiting times, deadlines and retries; call every 10 ms */
void fw_tick(struct fw *f);

/** fw_pending() - calls and submissions without an answer */
size_t fw_pending(const struct fw *f);

#endif
