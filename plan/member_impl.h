#ifndef MEMBER_IMPL_H
#define MEMBER_IMPL_H

#include <glib.h>
#include <jansson.h>

#include "clock.h"
#include "counters.h"
#include "member.h"
#include "rng.h"

/**
 * DOC: mb - internals: declarations that member*.c share; not for other
 * modules. Tests use the variants and some limits
 */

/** MB_POLL_INTERVAL_MS - interval of log reads and of status calls to a peer */
#define MB_POLL_INTERVAL_MS 250
/** MB_READ_TIMEOUT_TICKS - ticks after which a read of the log counts as
 * unanswered. Counted in ticks, so that a pause of this process is not taken
 * for a failure of the platform */
#define MB_READ_TIMEOUT_TICKS 6
/** MB_PAUSE_MIN_MS - shortest gap between ticks that counts as a pause of this
 * process */
#define MB_PAUSE_MIN_MS 1000
/** MB_REPORT_MAX_AGE_MS - age up to which a peer's report of missing entries
 * and of its agents counts */
#define MB_REPORT_MAX_AGE_MS 1000
/** MB_REMOVAL_STAGGER_MS - extra wait before removing a missing entry for each
 * live member with a lower name, which removes it first unless it cannot reach
 * the platform */
#define MB_REMOVAL_STAGGER_MS 1500
/** MB_RETRY_MS - wait before an unanswered insert is retried, and between
 * changes that the entry makes by itself */
#define MB_RETRY_MS 300
/** MB_OWN_CHANGE_TIMEOUT_MS - time after which a change that the entry makes by
 * itself is dropped if it was not sent; whether it is needed is then checked
 * again */
#define MB_OWN_CHANGE_TIMEOUT_MS 500
/** MB_ISOLATION_TIMEOUT_MS - time without an agent after which an entry leaves
 * the list; longer than an agent needs to reconnect after its connection went
 * silent */
#define MB_ISOLATION_TIMEOUT_MS 5000
/** MB_INSTANCE_RETENTION_MS - time without a message after which an instance
 * outside the list is deleted */
#define MB_INSTANCE_RETENTION_MS 600000
/** MB_PUSH_RETRY_MS - wait before the same changes are pushed to a peer again
 */
#define MB_PUSH_RETRY_MS 500
/** MB_CHANGE_TIMEOUT_MS - time after which an operator's change that is not
 * accepted ends as pending, refused or unavailable */
#define MB_CHANGE_TIMEOUT_MS 8000
/** MB_LEAVE_NOTICE_MS - longest time for which a leave that is written waits
 * until all live members have answered a status call */
#define MB_LEAVE_NOTICE_MS 1000
/** MB_LOG_MAX_CHANGES - changes kept for peers */
#define MB_LOG_MAX_CHANGES 512
/** MB_LOG_MAX_BYTES - bytes of changes kept for peers */
#define MB_LOG_MAX_BYTES (4U * 1024 * 1024)
/** MB_PAGE_BYTES - size above which no more changes are added to a message to
 * a peer */
#define MB_PAGE_BYTES (256U * 1024)

/**
 * enum mb_variant - mechanisms that tests switch off to show what they guard
 */
enum mb_variant {
	MB_V_NONE = 0,
	/* do not look for own changes in the log */
	MB_V_NO_READ_BACK = 1 << 0,
	/* ignore the revision that an operator saw */
	MB_V_IGNORE_EXPECTED = 1 << 1,
	/* count the answer of an entry for the listed one of that name,
	 * whatever its incarnation */
	MB_V_VOTE_BY_NAME = 1 << 2,
	/* count the age of a verification from the answer, not the call */
	MB_V_AGE_FROM_REPLY = 1 << 3,
	/* change the list before the previous change of it is accepted */
	MB_V_CONCURRENT_LIST_CHANGES = 1 << 4,
	/* entries that have exited do not count as consenting */
	MB_V_NO_PREDECESSOR_CONSENT = 1 << 5,
	/* rejoin with the incarnation that was removed */
	MB_V_KEEP_INCARNATION = 1 << 6,
	/* verify by ceil(n / 2) entries instead of a majority */
	MB_V_SMALL_QUORUM = 1 << 7,
	/* use times from before a pause of the process */
	MB_V_NO_PAUSE_CHECK = 1 << 8,
	/* entries that are to be forgotten do not count as consenting */
	MB_V_NO_FORGOTTEN_CONSENT = 1 << 9,
	/* take a snapshot that is older than the state */
	MB_V_TAKE_OLD_SNAPSHOT = 1 << 10,
};

/** mb_set_variant() - switch mechanisms off, for tests only */
void mb_set_variant(struct mb *m, unsigned variant);

/** struct mb_instance - what is known of one incarnation of an entry */
struct mb_instance {
	uint64_t incarnation;
	uint64_t held_revision;   /* highest that it reported */
	uint64_t last_heard_ms;   /* at first, when it became known */
	bool ever_heard;          /* sent a message */
	bool terminated;          /* its process exited, or took another
				     incarnation */
	uint64_t status_sent_ms;  /* when the latest answered call was sent */
	uint64_t status_revision; /* revision in that answer */
	bool has_status;          /* status_sent_ms is valid */
	GArray *missing;          /* uint64_t: whom it reported as missing */
	uint64_t reported_ms;     /* when it sent missing and agents */
	unsigned agents;          /* its sessions with agents */
};

/** struct mb_peer - an address that is asked for its status */
struct mb_peer {
	char *address;
	bool seed;
	bool active; /* a seed, or in the list or in the one before */
	bool status_outstanding; /* a status call is not answered */
	uint64_t sent_ms;        /* of the latest status call */
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
	MB_WRITE_UNANSWERED, /* may have been inserted; the log will show it */
	MB_WRITE_DONE,       /* in the log */
};

/** struct mb_write - a change that is being written */
struct mb_write {
	json_t *change;
	const char *change_id; /* borrowed from change */
	char *json;
	uint64_t expected; /* revision that the operator saw, 0 for any */
	uint64_t revision; /* where it was sent or written */
	enum mb_write_state state;
	bool sent_once;
	bool was_valid;    /* in an earlier state */
	bool changes_list; /* changes the list of entries */
	bool is_leave;
	uint64_t start_ms;
	uint64_t retry_ms; /* not sent again before */
	uint64_t written_ms;
	mb_change_fn done; /* NULL for changes that the entry makes by itself */
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

	GHashTable *instances; /* incarnation -> struct mb_instance */
	GPtrArray *peers;      /* struct mb_peer */

	uint64_t accepted; /* highest accepted revision */

	bool scan_outstanding;
	bool scan_failed;    /* the last answer was a failure */
	bool scan_slow;      /* the last answer came late */
	unsigned scan_ticks; /* ticks since the unanswered read was sent */
	uint64_t scan_sent_ms;
	uint64_t scan_after;
	uint64_t scan_next_ms;
	bool read_once;            /* the end of the log was reached */
	bool read_verified;        /* read_verified_ms is valid */
	uint64_t read_verified_ms; /* when the last read that found nothing
				      newer was sent */

	bool fetch_outstanding;
	uint64_t fetch_sent_ms;

	GQueue *queue;             /* struct mb_write, owned */
	struct mb_write *inflight; /* borrowed from queue */
	bool insert_outstanding;
	bool leaving; /* mb_leave() was called */
	bool started; /* tick_ms is valid */
	uint64_t tick_ms;
	uint64_t resumed_ms;         /* end of the last pause of this process */
	unsigned agents;             /* sessions with agents of this entry */
	uint64_t agents_seen_ms;     /* when an agent was last connected */
	uint64_t next_own_change_ms; /* no registration or removal before */
};

/** mb_now() - monotonic time, ms */
uint64_t mb_now(const struct mb *m);

/** mb_instance_get() - find an incarnation, or add it; borrowed */
struct mb_instance *mb_instance_get(struct mb *m, uint64_t incarnation);

/** mb_instance_find() - find an incarnation, NULL when unknown; borrowed */
struct mb_instance *mb_instance_find(const struct mb *m, uint64_t incarnation);

/** mb_is_member() - whether an incarnation is in the list */
bool mb_is_member(const struct mb *m, uint64_t incarnation);

/** mb_note_heard() - record a message of an incarnation and the revision that
 * it holds */
void mb_note_heard(struct mb *m, uint64_t incarnation, uint64_t revision);

/** mb_mark_terminated() - record that an incarnation will never verify itself
 * or grant again */
void mb_mark_terminated(struct mb *m, uint64_t incarnation);

/** mb_platform_unresponsive() - whether reads of the log fail or are late */
bool mb_platform_unresponsive(const struct mb *m);

/** mb_set_accepted() - report a revision as accepted, unless it was before */
void mb_set_accepted(struct mb *m, uint64_t revision);

/** mb_update_accepted() - recompute the highest accepted revision */
void mb_update_accepted(struct mb *m);

/** mb_list_accepted() - whether the last change of the list is accepted when
 * the members @forgotten (JSON list of names, or NULL) count as consenting */
bool mb_list_accepted(const struct mb *m, const json_t *forgotten);

/** mb_unconfirmed_names() - text that names the members that have not confirmed
 * a revision; released with g_free() */
char *mb_unconfirmed_names(const struct mb *m, uint64_t revision);

/** mb_quorum_reachable() - whether enough members can confirm a change of the
 * list */
bool mb_quorum_reachable(const struct mb *m);

/** mb_receive_change() - apply a change of the log, or a snapshot that is ahead
 * of the state; false when it is malformed or changes before it are missing */
bool mb_receive_change(
    struct mb *m, uint64_t revision, const char *json, size_t size);

/** mb_schedule_read() - read the log at the next tick */
void mb_schedule_read(struct mb *m);

/** mb_push_all() - push to each member that lacks changes */
void mb_push_all(struct mb *m);

/** mb_update_peers() - choose the addresses to ask: those of the list, of the
 * one before, and the seeds */
void mb_update_peers(struct mb *m);

/** mb_poll_peers() - send the status calls that are due */
void mb_poll_peers(struct mb *m);

/** mb_add_seeds() - always ask the seed addresses, in the list or not */
void mb_add_seeds(struct mb *m, const struct mb_identity *id);

/** mb_new_incarnation() - random number that is not 0 */
uint64_t mb_new_incarnation(struct mb *m);

/** mb_log_clear() - drop the changes kept for peers */
void mb_log_clear(struct mb *m);

/** mb_writes_check_log() - mark the writes that are in the log; call after each
 * change that is applied */
void mb_writes_check_log(struct mb *m);

/** mb_write_enqueue() - queue a change; consumes @change */
void mb_write_enqueue(struct mb *m, json_t *change, uint64_t expect,
    mb_change_fn done, void *arg);

/** mb_writes_advance() - finish the writes that are decided and send the next
 */
void mb_writes_advance(struct mb *m);

/** mb_writes_free() - drop all writes without calling them back */
void mb_writes_free(struct mb *m);

/** mb_maintain_list() - register, leave when isolated, remove missing entries
 */
void mb_maintain_list(struct mb *m);

/** mb_write_own_change() - write a change that the entry makes by itself;
 * consumes @change */
void mb_write_own_change(struct mb *m, json_t *change);

/** mb_own_change_pending() - whether such a change is being written */
bool mb_own_change_pending(const struct mb *m);

/** mb_is_missing() - whether a member sent nothing for MB_MISSING_AFTER_MS */
bool mb_is_missing(const struct mb *m, uint64_t incarnation);

#endif
