#ifndef MEMBER_IMPL_H
#define MEMBER_IMPL_H

#include <glib.h>
#include <jansson.h>

#include "clock.h"
#include "counters.h"
#include "member.h"
#include "rng.h"

/**
 * DOC: parts of mb that member*.c share; not for other modules, except the
 * variants below, which tests use
 */

/** MB_PERIOD_MS - period of log reads and of status calls to each entry */
#define MB_PERIOD_MS 250
/** MB_SILENT_TICKS - ticks without an answer after which a read of the log
 * counts as unanswered. Ticks and not time, so that a process that was paused
 * does not blame the platform */
#define MB_SILENT_TICKS 6
/** MB_PAUSE_MS - a gap between ticks that shows that the process was paused */
#define MB_PAUSE_MS 1000
/** MB_FRESH_MS - age up to which a peer's list of missing entries counts */
#define MB_FRESH_MS 1000
/** MB_RANK_MS - extra wait for each live member with a lower name before
 * removing a missing entry, for when the lowest cannot reach the platform */
#define MB_RANK_MS 1500
/** MB_RETRY_MS - wait before an unanswered insert is tried again */
#define MB_RETRY_MS 300
/** MB_OWN_MS - time after which a change of this entry that was not sent is
 * decided again */
#define MB_OWN_MS 500
/** MB_ISOLATED_MS - time without an agent after which an entry leaves; longer
 * than an agent needs to reconnect after a silent connection */
#define MB_ISOLATED_MS 5000
/** MB_FORGET_MS - time after which an entry outside the list is forgotten */
#define MB_FORGET_MS 600000
/** MB_PUSH_MS - wait before the same changes are pushed to a peer again */
#define MB_PUSH_MS 500
/** MB_CHANGE_MS - time until an operator's change is reported as pending */
#define MB_CHANGE_MS 8000
/** MB_LEAVE_MS - time to tell the others of a leave that is accepted */
#define MB_LEAVE_MS 1000
/** MB_LOG_MAX - changes kept for peers */
#define MB_LOG_MAX 512
/** MB_LOG_BYTES - bytes of changes kept for peers */
#define MB_LOG_BYTES (4U * 1024 * 1024)
/** MB_PAGE_BYTES - bytes of changes after which an answer to a peer ends */
#define MB_PAGE_BYTES (256U * 1024)

/**
 * enum mb_variant - mechanisms that tests switch off to show what they guard
 */
enum mb_variant {
	MB_V_NONE = 0,
	MB_V_NO_READ_BACK = 1 << 0, /* do not look for own changes in the log
				     */
	MB_V_NO_COMPARE = 1 << 1,   /* ignore the revision an operator saw */
	MB_V_VOTE_BY_NAME = 1 << 2, /* count answers of unregistered entries
				     */
	MB_V_AGE_OF_REPLY = 1 << 3, /* age from the latest request */
	MB_V_NO_OVERLAP = 1 << 4,   /* change the list before the change
				       before is accepted */
	MB_V_NO_CONSENT = 1 << 5,   /* predecessors do not consent */
	MB_V_SAME_INCARNATION = 1 << 6, /* rejoin as before */
	MB_V_SMALL_QUORUM = 1 << 7,     /* verify by ceil(n/2) */
	MB_V_NO_PAUSE_CHECK = 1 << 8,   /* trust old times after a pause */
	MB_V_NO_FORGET = 1 << 9,        /* a forgotten entry does not consent */
	MB_V_REVERT = 1 << 10,          /* take a lower snapshot from a peer */
};

/** mb_set_variant() - switch mechanisms off, for tests only */
void mb_set_variant(struct mb *m, unsigned variant);

/** struct mb_known - what is known of one incarnation of an entry */
struct mb_known {
	uint64_t incarnation;
	uint64_t held;           /* highest revision it was heard to hold */
	uint64_t heard_ms;       /* last sign of life, or since when it is
				    listed */
	bool alive;              /* heard at least once */
	bool gone;               /* its process exited or renounced it */
	uint64_t asked_ms;       /* when the latest answered status was sent */
	uint64_t asked_revision; /* what it held then */
	bool asked;              /* asked_ms is valid */
	GArray *missing;         /* uint64_t: whom it reported missing */
	uint64_t missing_ms;
	unsigned agents; /* sessions with agents, reported at missing_ms */
};

/** struct mb_peer - an address that is asked for its status */
struct mb_peer {
	char *address;
	bool seed;
	bool wanted;      /* an address of the list or of the one before */
	bool outstanding; /* a status call is not answered */
	uint64_t sent_ms; /* of the latest status call */
	uint64_t pushed_ms;
	uint64_t pushed_revision;
};

/** struct mb_entry - a change of the log kept for peers */
struct mb_entry {
	uint64_t revision;
	char *json;
	size_t size;
};

/** enum mb_op_state - state of a change that is being written */
enum mb_op_state {
	MB_OP_WAITING, /* not in flight */
	MB_OP_SENT,    /* insert in flight */
	MB_OP_UNSURE,  /* the answer was lost; the log is read back */
	MB_OP_WRITTEN,
};

/** struct mb_op - a change that is being written */
struct mb_op {
	json_t *change;
	const char *change_id; /* borrowed from change */
	char *json;
	uint64_t expect;
	uint64_t revision; /* where it was sent or written */
	enum mb_op_state state;
	bool sent_once;
	bool checked; /* was allowed in an earlier state */
	bool list;    /* changes the list of entries */
	bool leave;
	uint64_t start_ms;
	uint64_t retry_ms;
	uint64_t written_ms;
	mb_change_fn done; /* NULL for changes of the entry itself */
	void *arg;
};

struct mb {
	struct ck *clock;
	struct ct *counters;
	struct rn *rng;
	const struct mb_ops *ops;
	void *arg;
	unsigned variant;
	char *name;
	char *address;
	char *az;
	uint64_t incarnation;
	struct cs *state;
	GQueue *log; /* struct mb_entry */
	size_t log_bytes;
	GArray *page; /* struct pd_change, for mb_changes_after() */
	char *snapshot;
	GArray *missing; /* uint64_t, for mb_handle_status() */

	GHashTable *known; /* incarnation -> struct mb_known */
	GPtrArray *peers;  /* struct mb_peer */

	uint64_t accepted;

	bool scan_outstanding;
	bool scan_failed;    /* the last answer was a failure */
	bool scan_slow;      /* the last answer came late */
	unsigned scan_ticks; /* ticks since the unanswered read was sent */
	uint64_t scan_sent_ms;
	uint64_t scan_after;
	uint64_t scan_next_ms;
	bool read_once; /* the end of the log was reached */
	bool read_verified;
	uint64_t read_verified_ms; /* when the read was sent that found nothing
				      newer */

	bool fetch_outstanding;
	uint64_t fetch_sent_ms;

	GQueue *queue;          /* struct mb_op, owned */
	struct mb_op *inflight; /* borrowed from queue */
	bool insert_outstanding;
	bool left;
	bool started;
	uint64_t tick_ms;
	uint64_t woke_ms;
	unsigned agents;       /* sessions with agents of this entry */
	uint64_t agents_ms;    /* when an agent was last there */
	uint64_t own_retry_ms; /* no registration or removal before */
};

/** mb_now() - monotonic time, ms */
uint64_t mb_now(const struct mb *m);

/** mb_know() - entry of an incarnation, created when needed; borrowed */
struct mb_known *mb_know(struct mb *m, uint64_t incarnation);

/** mb_lookup() - entry of an incarnation, NULL when unknown; borrowed */
struct mb_known *mb_lookup(const struct mb *m, uint64_t incarnation);

/** mb_is_member() - whether an incarnation is in the list */
bool mb_is_member(const struct mb *m, uint64_t incarnation);

/** mb_heard() - an incarnation said which revision it holds */
void mb_heard(struct mb *m, uint64_t incarnation, uint64_t revision);

/** mb_gone() - an incarnation will never verify or grant again */
void mb_gone(struct mb *m, uint64_t incarnation);

/** mb_platform_silent() - whether the platform does not respond */
bool mb_platform_silent(const struct mb *m);

/** mb_raise() - a revision is accepted */
void mb_raise(struct mb *m, uint64_t revision);

/** mb_accept() - compute the highest accepted revision */
void mb_accept(struct mb *m);

/** mb_list_settled() - whether the last change of the list is accepted when
 * the members @forgotten (JSON list of names, or NULL) count as consenting */
bool mb_list_settled(const struct mb *m, const json_t *forgotten);

/** mb_unconfirmed() - names that have not confirmed; released with g_free() */
char *mb_unconfirmed(const struct mb *m, uint64_t revision);

/** mb_reachable() - whether enough of the list can confirm a change of it */
bool mb_reachable(const struct mb *m);

/** mb_learn() - take a change of the log, or a snapshot that is ahead of the
 * state; false when changes are missing before it */
bool mb_learn(struct mb *m, uint64_t revision, const char *json, size_t size);

/** mb_read_now() - read the log at the next chance */
void mb_read_now(struct mb *m);

/** mb_push_all() - push to each member that is behind */
void mb_push_all(struct mb *m);

/** mb_note_list() - ask the addresses of the list, the one before and seeds */
void mb_note_list(struct mb *m);

/** mb_ask_peers() - status calls that are due */
void mb_ask_peers(struct mb *m);

/** mb_add_seeds() - addresses to ask whether they are in the list or not */
void mb_add_seeds(struct mb *m, const struct mb_identity *id);

/** mb_new_incarnation() - random number that is not 0 */
uint64_t mb_new_incarnation(struct mb *m);

/** mb_log_clear() - drop the changes kept for peers */
void mb_log_clear(struct mb *m);

/** mb_ops_learned() - compare the log with the changes being written */
void mb_ops_learned(struct mb *m);

/** mb_op_add() - queue a change; consumes @change */
void mb_op_add(struct mb *m, json_t *change, uint64_t expect, mb_change_fn done,
    void *arg);

/** mb_ops_run() - drive the changes that are being written */
void mb_ops_run(struct mb *m);

/** mb_ops_free() - drop the changes that are being written */
void mb_ops_free(struct mb *m);

/** mb_list_run() - registration and removal of missing entries */
void mb_list_run(struct mb *m);

/** mb_own_change() - write a change of this entry; consumes @change */
void mb_own_change(struct mb *m, json_t *change);

/** mb_own_busy() - whether a change of this entry is being written */
bool mb_own_busy(const struct mb *m);

/** mb_missing() - whether a member was not heard for the limit */
bool mb_missing(const struct mb *m, uint64_t incarnation);

#endif
