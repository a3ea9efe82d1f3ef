#ifndef FORWARD_H
#define FORWARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "conn.h"
#include "pd.h"

/**
 * DOC: fw - forwards submissions and look-ups to the owner of their partition
 *
 * A caller's submission is kept until there is an answer. It is sent to the
 * owner, which may be the local dispatcher, and again on PD_NOT_OWNER, a broken
 * connection or a change of owner, until its deadline. Then the answer is
 * PD_UNKNOWN with the reason "owner_unreachable".
 *
 * All functions must be called on the event loop. The waiters that are passed
 * to the dispatcher are handles of calls kept here.
 */
struct fw;
struct kn;

/**
 * fw_done_fn - deliver the answer to a caller; called exactly once
 * @a: borrowed; status PD_PENDING when wait_ms ended first. NULL for a look-up
 *     whose owner could not be reached
 */
typedef void (*fw_done_fn)(void *arg, const struct pd_answer *a);

/**
 * fw_new() - create a forwarder without calls
 * @k: kernel with "clock" and "counters"; "member", "dispatch", "history" and
 *     "peers" are looked up when they are used
 */
struct fw *fw_new(struct kn *k);

/** fw_free() - free all calls without answering them; consumed */
void fw_free(struct fw *f);

/**
 * fw_submit() - send a caller's submission to its owner
 * @s: consumed, made by co_parse_submission()
 * @wait_ms: time after which PD_PENDING is answered; 0 answers at once
 */
void fw_submit(struct fw *f, struct pd_submit *s, unsigned wait_ms,
    fw_done_fn done, void *arg);

/**
 * fw_lookup() - ask the owner for the answer to a submission
 * @id: copied
 * @cancel: cancel tasks that have not started
 */
void fw_lookup(struct fw *f, const struct pd_id *id, bool cancel,
    unsigned wait_ms, fw_done_fn done, void *arg);

/** fw_serve_submit() - handle FORWARD from another entry; @s is borrowed */
void fw_serve_submit(
    struct fw *f, struct cn *c, uint32_t xid, const struct pd_submit *s);

/** fw_serve_lookup() - handle LOOKUP from another entry; @l is borrowed */
void fw_serve_lookup(
    struct fw *f, struct cn *c, uint32_t xid, const struct pd_lookup *l);

/** fw_conn_closed() - drop the calls that came over a closed connection */
void fw_conn_closed(struct fw *f, const struct cn *c);

/** fw_handle_answer() - handle an answer of the local dispatcher */
void fw_handle_answer(struct fw *f, uint64_t waiter, const struct pd_answer *a);

/** fw_view_changed() - send calls again whose owner has changed */
void fw_view_changed(struct fw *f);

/** fw_tick() - check wait times, deadlines and retries; call every 10 ms */
void fw_tick(struct fw *f);

/** fw_pending() - number of calls without a final answer */
size_t fw_pending(const struct fw *f);

#endif
