#ifndef MEMBER_H
#define MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pd.h"
#include "state.h"

/**
 * DOC: mb - membership and configuration of an entry: reading the change log,
 * verification, acceptance, registration and removal of entries
 */
struct mb;
struct ck;
struct ct;

/** MB_VERIFICATION_MAX_AGE_MS - greatest age of a verification behind a permit
 */
#define MB_VERIFICATION_MAX_AGE_MS 1250
/** MB_MISSING_AFTER_MS - silence after which a member is missing */
#define MB_MISSING_AFTER_MS 3000

/**
 * struct mb_ops - outputs. Each of scan, insert and status is answered by one
 * call of the function named, also on failure
 * @scan: read the log after a revision -> mb_scan_done()
 * @insert: insert a change if its revision is free -> mb_insert_done()
 * @status: STATUS call to an address -> mb_status_done()
 * @fetch: CHANGES call to an address -> mb_fetch_done()
 * @push: send the changes of mb_changes_after() to an address; the answer may
 *     be given to mb_push_done()
 * @applied: a revision was applied to the state
 * @accepted: the highest accepted revision rose
 * @confirmed: a member is known to hold a revision
 */
struct mb_ops {
	void (*scan)(void *arg, uint64_t after);
	void (*insert)(void *arg, uint64_t revision, const char *json);
	void (*status)(void *arg, const char *address);
	void (*fetch)(void *arg, const char *address, uint64_t after);
	void (*push)(void *arg, const char *address, uint64_t after);
	void (*applied)(void *arg, uint64_t revision);
	void (*accepted)(void *arg, uint64_t revision);
	void (*confirmed)(void *arg, uint64_t incarnation, uint64_t revision);
};

/** enum mb_insert_result - result of an insert at the platform */
enum mb_insert_result {
	MB_INSERTED,
	MB_REVISION_TAKEN, /* another change has that revision */
	MB_UNREACHABLE,    /* no answer; it may have taken effect */
};

/** struct mb_identity - this entry */
struct mb_identity {
	const char *name;
	const char *address;
	const char *az;
	const char *const *seeds; /* addresses of other entries */
	size_t nseeds;
};

/** enum mb_outcome - what became of an operator's change */
enum mb_outcome {
	MB_ACCEPTED,
	MB_PENDING,     /* written, not held by enough entries yet */
	MB_CONFLICT,    /* another change came first */
	MB_REFUSED,     /* not allowed in this state */
	MB_UNAVAILABLE, /* the platform does not answer; may have been written
			 */
};

/**
 * mb_change_fn - end of an operator's change
 * @text: reason, winner's change, or names of entries that have not confirmed
 */
typedef void (*mb_change_fn)(
    void *arg, enum mb_outcome outcome, uint64_t revision, const char *text);

/** mb_new() - membership; @id is copied, all else borrowed */
struct mb *mb_new(struct ck *clock, struct ct *counters, uint64_t seed,
    const struct mb_identity *id, const struct mb_ops *ops, void *arg);

/** mb_free() - free; consumed, NULL is allowed */
void mb_free(struct mb *m);

/** mb_state() - current cell state, borrowed */
const struct cs *mb_state(const struct mb *m);

/** mb_incarnation() - incarnation of this entry */
uint64_t mb_incarnation(const struct mb *m);

/** mb_registered() - whether this entry is in the list */
bool mb_registered(const struct mb *m);

/** mb_verified() - whether permits may be given now */
bool mb_verified(const struct mb *m);

/**
 * mb_verified_until() - end of the present verification
 *
 * Return: monotonic milliseconds, exclusive; 0 when not verified.
 */
uint64_t mb_verified_until(const struct mb *m);

/** mb_fill_permit() - fill a permit for an agent */
void mb_fill_permit(const struct mb *m, const char *endpoint, uint64_t clock_ms,
    struct pd_permit *out);

/**
 * mb_write_change() - write an operator's change
 * @json: change without revision; borrowed
 * @expect: revision that the operator saw, 0 for any. With 0 a conflict is
 *     tried again unless the change is no longer valid
 * @done: called once, with MB_PENDING after 8 s at the latest
 */
void mb_write_change(struct mb *m, const char *json, uint64_t expect,
    mb_change_fn done, void *arg);

/**
 * mb_set_agent_count() - number of agents that have a session with this entry
 *
 * An entry that no agent reaches, while other entries have agents, cannot run
 * what it owns. It leaves the list after 5 s and comes back when an agent does.
 */
void mb_set_agent_count(struct mb *m, unsigned agents);

/** mb_leave() - write this entry's leave; @done as for mb_write_change() */
void mb_leave(struct mb *m, mb_change_fn done, void *arg);

/** mb_scan_done() - answer to scan; @changes borrowed, in order */
void mb_scan_done(
    struct mb *m, bool ok, const struct pd_change *changes, size_t n);

/** mb_load_snapshot() - a snapshot was read at the start; before any scan */
void mb_load_snapshot(struct mb *m, const char *json);

/** mb_insert_done() - answer to insert; @winner is the row there, or NULL */
void mb_insert_done(struct mb *m, uint64_t revision,
    enum mb_insert_result result, const char *winner);

/**
 * mb_status_done() - answer to status; @status NULL when it failed
 *
 * Called once for each status, and for nothing else: a verification is as old
 * as the call that is answered, and the answer is taken for that of the only
 * call to the address that is open.
 */
void mb_status_done(
    struct mb *m, const char *address, const struct pd_status *status);

/** mb_push_done() - answer to push; @held NULL when it failed */
void mb_push_done(
    struct mb *m, const char *address, const struct pd_held *held);

/** mb_fetch_done() - answer to fetch; @changes NULL when it failed */
void mb_fetch_done(
    struct mb *m, const char *address, const struct pd_changes *changes);

/**
 * mb_handle_status() - a peer called STATUS; fills the answer, borrowed
 * @from: the peer's status; NULL to fill the arguments of an own call
 */
void mb_handle_status(
    struct mb *m, const struct pd_status *from, struct pd_status *out);

/** mb_changes_after() - changes that a peer asked for, borrowed */
void mb_changes_after(struct mb *m, uint64_t after, struct pd_changes *out);

/** mb_receive_push() - a peer pushed changes; returns the revision held then */
uint64_t mb_receive_push(struct mb *m, const struct pd_changes *changes);

/** mb_tick() - reads, status rounds, removals; call every 50 ms */
void mb_tick(struct mb *m);

#endif
