#ifndef MEMBER_H
#define MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pd.h"
#include "state.h"

/**
 * DOC: mb - membership of an entry in its cell
 *
 * Reads the change log at the platform and exchanges changes with the other
 * entries, verifies that the state is current, and writes changes: those of
 * operators, and those that register or remove entries.
 *
 * A revision is accepted when enough registered entries hold it. An entry is
 * verified when a recent read of the log, or a majority of the entries while
 * the platform does not respond, showed no revision newer than its own. Only a
 * verified entry grants permits to agents.
 */
struct mb;
struct ck;
struct ct;

/** MB_VERIFICATION_MAX_AGE_MS - time for which a verification allows permits */
#define MB_VERIFICATION_MAX_AGE_MS 1250
/** MB_MISSING_AFTER_MS - time without a message until a member is missing */
#define MB_MISSING_AFTER_MS 3000

/**
 * struct mb_ops - callbacks of mb. Each call of @scan, @insert and @status must
 * be answered by exactly one call of the function named, also on failure
 * @scan: read the log after a revision -> mb_scan_done()
 * @insert: insert a change if its revision is free -> mb_insert_done()
 * @status: STATUS call to an address -> mb_status_done()
 * @fetch: CHANGES call to an address -> mb_fetch_done()
 * @push: send the changes of mb_changes_after() to an address; its answer may
 *     be passed to mb_push_done()
 * @applied: a revision was applied to the state
 * @accepted: the highest accepted revision increased
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

/** enum mb_insert_result - result of an insert into the log */
enum mb_insert_result {
	MB_INSERTED,
	MB_REVISION_TAKEN, /* another change has this revision */
	MB_UNREACHABLE,    /* no answer; may have been inserted */
};

/** struct mb_identity - this entry */
struct mb_identity {
	const char *name;
	const char *address;
	const char *az;
	const char *const *seeds; /* addresses of other entries */
	size_t nseeds;
};

/** enum mb_outcome - outcome of an operator's change */
enum mb_outcome {
	MB_ACCEPTED,
	MB_PENDING,     /* written, but too few entries hold it yet */
	MB_CONFLICT,    /* another change was written first */
	MB_REFUSED,     /* not valid in the current state */
	MB_UNAVAILABLE, /* the platform does not answer; may have been written
			 */
};

/**
 * mb_change_fn - called with the outcome of an operator's change
 * @text: the reason, both changes after a conflict, or the names of entries
 *     that have not confirmed
 */
typedef void (*mb_change_fn)(
    void *arg, enum mb_outcome outcome, uint64_t revision, const char *text);

/** mb_new() - create; the strings of @id are copied, all else is borrowed */
struct mb *mb_new(struct ck *clock, struct ct *counters, uint64_t seed,
    const struct mb_identity *id, const struct mb_ops *ops, void *arg);

/** mb_free() - free; consumed, NULL is allowed */
void mb_free(struct mb *m);

/** mb_state() - current cell state, borrowed */
const struct cs *mb_state(const struct mb *m);

/** mb_incarnation() - incarnation of this entry */
uint64_t mb_incarnation(const struct mb *m);

/** mb_registered() - whether this entry is in the list of entries */
bool mb_registered(const struct mb *m);

/** mb_verified() - whether permits may be granted now */
bool mb_verified(const struct mb *m);

/**
 * mb_verified_until() - when the current verification expires
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
 * @expect: revision that the operator saw, 0 for any. With 0 the change is
 *     retried after a conflict for as long as it is valid
 * @done: called once, with MB_PENDING after 8 s at the latest
 */
void mb_write_change(struct mb *m, const char *json, uint64_t expect,
    mb_change_fn done, void *arg);

/**
 * mb_set_agent_count() - number of agents that have a session with this entry
 *
 * An entry without agents cannot run the tasks that it owns. If other entries
 * have agents, it leaves the list after 5 s and registers again when an agent
 * connects.
 */
void mb_set_agent_count(struct mb *m, unsigned agents);

/** mb_leave() - leave the list for good; @done as in mb_write_change() */
void mb_leave(struct mb *m, mb_change_fn done, void *arg);

/** mb_scan_done() - answer to scan; @changes borrowed, ordered by revision */
void mb_scan_done(
    struct mb *m, bool ok, const struct pd_change *changes, size_t n);

/** mb_load_snapshot() - start from a snapshot; call before the first scan */
void mb_load_snapshot(struct mb *m, const char *json);

/** mb_insert_done() - answer to insert; @winner is the change that the log has
 * at @revision, or NULL */
void mb_insert_done(struct mb *m, uint64_t revision,
    enum mb_insert_result result, const char *winner);

/**
 * mb_status_done() - answer to status; @status NULL when it failed
 *
 * Call it exactly once for each call of status, and never otherwise. A
 * verification counts from when the status call was sent, and the answer is
 * matched to the only outstanding call to @address.
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
 * mb_handle_status() - handle a STATUS call of a peer; @out is borrowed
 * @from: the peer's status; NULL to fill only @out, the own status
 */
void mb_handle_status(
    struct mb *m, const struct pd_status *from, struct pd_status *out);

/** mb_changes_after() - changes to send to a peer, borrowed */
void mb_changes_after(struct mb *m, uint64_t after, struct pd_changes *out);

/** mb_receive_push() - apply changes that a peer pushed; returns the revision
 * that is held then */
uint64_t mb_receive_push(struct mb *m, const struct pd_changes *changes);

/** mb_tick() - timed work: reads, status calls, removals; call every 50 ms */
void mb_tick(struct mb *m);

#endif
