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

/** MB_POLL_INTERVAL_MS - period of log reads and of status calls to each entry
 */
#define MB_POLL_INTERVAL_MS 250
/** MB_READ_TIMEOUT_TICKS - ticks without an answer after which a read of the
 * log counts as unanswered. Ticks and not time, so that a process that was
 * paused does not blame the platform */
#define MB_READ_TIMEOUT_TICKS 6
/** MB_PAUSE_MIN_MS - a gap between ticks that shows that the process was paused
 */
#define MB_PAUSE_MIN_MS 1000
/** MB_REPORT_MAX_AGE_MS - age up to which a peer's list of missing entries
 * counts */
#define MB_REPORT_MAX_AGE_MS 1000
/** MB_REMOVAL_STAGGER_MS - extra wait for each live member with a lower name
 * before removing a missing entry, for when the lowest cannot reach the
 * platform */
#define MB_REMOVAL_STAGGER_MS 1500
/** MB_RETRY_MS - wait before an unanswered insert is tried again */
#define MB_RETRY_MS 300
/** MB_OWN_CHANGE_TIMEOUT_MS - time after which a change of this entry that was
 * not sent is decided again */
#define MB_OWN_CHANGE_TIMEOUT_MS 500
/** MB_ISOLATION_TIMEOUT_MS - time without an agent after which an entry leaves;
 * longer than an agent needs to reconnect after a silent connection */
#define MB_ISOLATION_TIMEOUT_MS 5000
/** MB_INSTANCE_RETENTION_MS - time after which an entry outside the list is
 * forgotten */
#define MB_INSTANCE_RETENTION_MS 600000
/** MB_PUSH_RETRY_MS - wait before the same changes are pushed to a peer again
 */
#define MB_PUSH_RETRY_MS 500
/** MB_CHANGE_TIMEOUT_MS - time until an operator's change is reported as
 * pending */
#define MB_CHANGE_TIMEOUT_MS 8000
/** MB_LEAVE_NOTICE_MS - time to tell the others of a leave that is accepted */
#define MB_LEAVE_NOTICE_MS 1000
/** MB_LOG_MAX_CHANGES - changes kept for peers */
#define MB_LOG_MAX_CHANGES 512
/** MB_LOG_MAX_BYTES - bytes of changes kept for peers */
#define MB_LOG_MAX_BYTES (4U * 1024 * 1024)
/** MB_PAGE_BYTES - bytes of changes after which an answer to a peer ends */
#define MB_PAGE_BYTES (256U * 1024)

/**
 * enum mb_variant - mechanisms that tests switch off to show what they guard
 */
enum mb_variant {
	MB_V_NONE = 0,
	MB_V_NO_READ_BACK = 1 << 0,    /* do not look for own changes in the log
					*/
	MB_V_IGNORE_EXPECTED = 1 << 1, /* ignore the revision an operator saw */
	MB_V_VOTE_BY_NAME = 1 << 2,    /* count answers of unregistered entries
					*/
	MB_V_AGE_FROM_REPLY = 1 << 3,  /* age from the latest request */
	MB_V_CONCURRENT_LIST_CHANGES = 1 << 4, /* change the list before the
				     change before is accepted */
	MB_V_NO_PREDECESSOR_CONSENT = 1 << 5,  /* predecessors do not consent */
	MB_V_KEEP_INCARNATION = 1 << 6,        /* rejoin as before */
	MB_V_SMALL_QUORUM = 1 << 7,            /* verify by ceil(n/2) */
	MB_V_NO_PAUSE_CHECK = 1 << 8, /* trust old times after a pause */
	MB_V_NO_FORGOTTEN_CONSENT = 1
	    << 9, /* a forgotten entry does not consent */
	MB_V_TAKE_OLD_SNAPSHOT = 1
	    << 10, /* take a lower snapshot from a peer */
};

/** mb_set_variant() - switch mechanisms off, for tests only */
void mb_set_variant(struct mb *m, unsigned variant);

/** struct mb_instance - what is known of one incarnation of an entry */
struct mb_instance {
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

/** struct mb_log_entry - a change of the log kept for peers */
struct mb_log_entry {
	uint64_t revision;
	char *json;
	size_t size;
};

/** enum mb_write_state - state of a change that is being written */
enum mb_write_state {
	MB_WRITE_QUEUED,     /* not in flight */
	MB_WRITE_SENT,       /* insert in flight */
	MB_WRITE_UNANSWERED, /* the answer was lost; the log is read back */
	MB_WRITE_DONE,
};

/** struct mb_write - a change that is being written */
struct mb_write {
	json_t *change;
	const char *change_id; /* borrowed from change */
	char *json;
	uint64_t expect;
	uint64_t revision; /* where it was sent or written */
	enum mb_write_state state;
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
	GQueue *log; /* struct mb_log_entry */
	size_t log_bytes;
	GArray *page; /* struct pd_change, for mb_changes_after() */
	char *snapshot;
	GArray *missing; /* uint64_t, for mb_handle_status() */

	GHashTable *known; /* incarnation -> struct mb_instance */
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

	GQueue *queue;             /* struct mb_write, owned */
	struct mb_write *inflight; /* borrowed from queue */
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

/** mb_instance_get() - entry of an incarnation, created when needed; borrowed
 */
struct mb_instance *mb_instance_get(struct mb *m, uint64_t incarnation);

/** mb_instance_find() - entry of an incarnation, NULL when unknown; borrowed */
struct mb_instance *mb_instance_find(const struct mb *m, uint64_t incarnation);

/** mb_is_member() - whether an incarnation is in the list */
bool mb_is_member(const struct mb *m, uint64_t incarnation);

/** mb_note_heard() - an incarnation said which revision it holds */
void mb_note_heard(struct mb *m, uint64_t incarnation, uint64_t revision);

/** mb_mark_terminated() - an incarnation will never verify or grant again */
void mb_mark_terminated(struct mb *m, uint64_t incarnation);

/** mb_platform_unresponsive() - whether the platform does not respond */
bool mb_platform_unresponsive(const struct mb *m);

/** mb_set_accepted() - a revision is accepted */
void mb_set_accepted(struct mb *m, uint64_t revision);

/** mb_update_accepted() - compute the highest accepted revision */
void mb_update_accepted(struct mb *m);

/** mb_list_accepted() - whether the last change of the list is accepted when
 * the members @forgotten (JSON list of names, or NULL) count as consenting */
bool mb_list_accepted(const struct mb *m, const json_t *forgotten);

/** mb_unconfirmed_names() - names that have not confirmed; released with
 * g_free() */
char *mb_unconfirmed_names(const struct mb *m, uint64_t revision);

/** mb_quorum_reachable() - whether enough of the list can confirm a change of
 * it */
bool mb_quorum_reachable(const struct mb *m);

/** mb_receive_change() - take a change of the log, or a snapshot that is ahead
 * of the state; false when changes are missing before it */
bool mb_receive_change(
    struct mb *m, uint64_t revision, const char *json, size_t size);

/** mb_schedule_read() - read the log at the next chance */
void mb_schedule_read(struct mb *m);

/** mb_push_all() - push to each member that is behind */
void mb_push_all(struct mb *m);

/** mb_update_peers() - ask the addresses of the list, the one before and seeds
 */
void mb_update_peers(struct mb *m);

/** mb_poll_peers() - status calls that are due */
void mb_poll_peers(struct mb *m);

/** mb_add_seeds() - addresses to ask whether they are in the list or not */
void mb_add_seeds(struct mb *m, const struct mb_identity *id);

/** mb_new_incarnation() - random number that is not 0 */
uint64_t mb_new_incarnation(struct mb *m);

/** mb_log_clear() - drop the changes kept for peers */
void mb_log_clear(struct mb *m);

/** mb_writes_check_log() - compare the log with the changes being written */
void mb_writes_check_log(struct mb *m);

/** mb_write_enqueue() - queue a change; consumes @change */
void mb_write_enqueue(struct mb *m, json_t *change, uint64_t expect,
    mb_change_fn done, void *arg);

/** mb_writes_advance() - drive the changes that are being written */
void mb_writes_advance(struct mb *m);

/** mb_writes_free() - drop the changes that are being written */
void mb_writes_free(struct mb *m);

/** mb_maintain_list() - registration and removal of missing entries */
void mb_maintain_list(struct mb *m);

/** mb_write_own_change() - write a change of this entry; consumes @change */
void mb_write_own_change(struct mb *m, json_t *change);

/** mb_own_change_pending() - whether a change of this entry is being written */
bool mb_own_change_pending(const struct mb *m);

/** mb_is_missing() - whether a member was not heard for the limit */
bool mb_is_missing(const struct mb *m, uint64_t incarnation);

#endif
