#include <stdlib.h>

#include "member_impl.h"

uint64_t
mb_now(const struct mb *m)
{
	return (ck_mono_ms(m->clock));
}

static void
instance_free(void *p)
{
	struct mb_instance *inst = p;

	g_array_free(inst->missing, TRUE);
	g_free(inst);
}

static void
peer_free(void *p)
{
	struct mb_peer *peer = p;

	g_free(peer->address);
	g_free(peer);
}

struct mb_instance *
mb_instance_find(const struct mb *m, uint64_t incarnation)
{
	return (g_hash_table_lookup(m->instances, &incarnation));
}

struct mb_instance *
mb_instance_get(struct mb *m, uint64_t incarnation)
{
	struct mb_instance *inst;

	inst = mb_instance_find(m, incarnation);
	if (inst != NULL)
		return (inst);
	inst = g_new0(struct mb_instance, 1);
	inst->incarnation = incarnation;
	inst->last_heard_ms = mb_now(m);
	inst->missing = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_hash_table_insert(m->instances, &inst->incarnation, inst);
	return (inst);
}

bool
mb_is_member(const struct mb *m, uint64_t incarnation)
{
	const struct cs_member *members;
	size_t n, i;

	members = cs_members(m->state, &n);
	for (i = 0; i < n; i++) {
		if (members[i].incarnation == incarnation)
			return (true);
	}
	return (false);
}

void
mb_note_heard(struct mb *m, uint64_t incarnation, uint64_t revision)
{
	struct mb_instance *inst;

	inst = mb_instance_get(m, incarnation);
	inst->last_heard_ms = mb_now(m);
	inst->ever_heard = true;
	if (revision <= inst->held_revision)
		return;
	inst->held_revision = revision;
	m->ops->confirmed(m->arg, incarnation, revision);
}

void
mb_mark_terminated(struct mb *m, uint64_t incarnation)
{
	mb_instance_get(m, incarnation)->terminated = true;
}

static void
start_scan(struct mb *m)
{
	m->scan_outstanding = true;
	m->scan_ticks = 0;
	m->scan_sent_ms = mb_now(m);
	m->scan_after = cs_revision(m->state);
	m->scan_next_ms = m->scan_sent_ms + MB_POLL_INTERVAL_MS;
	m->ops->scan(m->arg, m->scan_after);
}

void
mb_schedule_read(struct mb *m)
{
	m->scan_next_ms = mb_now(m);
}

void
mb_scan_done(struct mb *m, bool ok, const struct pd_change *changes, size_t n)
{
	size_t i;

	if (!m->scan_outstanding)
		return;
	m->scan_outstanding = false;
	if (!ok) {
		/* A failure from before a pause shows nothing about now. */
		m->scan_failed = m->scan_sent_ms >= m->resumed_ms;
		return;
	}
	m->scan_failed = false;
	m->scan_slow = m->scan_ticks >= MB_READ_TIMEOUT_TICKS;
	for (i = 0; i < n; i++)
		(void)mb_receive_change(m, changes[i].revision,
		    changes[i].json.json_val, changes[i].json.json_len);
	if (n > 0) {
		/* There may be more: only an empty answer is the end. */
		mb_schedule_read(m);
		mb_writes_advance(m);
		return;
	}
	m->read_once = true;
	m->read_verified = true;
	m->read_verified_ms = (m->variant & MB_V_AGE_FROM_REPLY) != 0
	    ? mb_now(m)
	    : m->scan_sent_ms;
	mb_writes_advance(m);
}

void
mb_fill_permit(const struct mb *m, const char *endpoint, uint64_t clock_ms,
    struct pd_permit *out)
{
	out->granted = mb_verified(m);
	out->clock_ms = clock_ms;
	out->revision = cs_revision(m->state);
	out->view = cs_view(m->state);
	out->in_service = cs_endpoint_in_service(m->state, endpoint);
}

const struct cs *
mb_state(const struct mb *m)
{
	return (m->state);
}

uint64_t
mb_incarnation(const struct mb *m)
{
	return (m->incarnation);
}

bool
mb_registered(const struct mb *m)
{
	return (mb_is_member(m, m->incarnation));
}

void
mb_set_variant(struct mb *m, unsigned variant)
{
	m->variant = variant;
}

/* Messages that were not received during a pause of this process do not count
 * as missing, and a failed or slow read does not count against the platform. */
static void
handle_resume(struct mb *m)
{
	struct mb_instance *inst;
	GHashTableIter it;
	void *value;

	m->resumed_ms = mb_now(m);
	m->scan_failed = false;
	m->scan_slow = false;
	m->scan_ticks = 0;
	g_hash_table_iter_init(&it, m->instances);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		inst = value;
		inst->last_heard_ms = m->resumed_ms;
		inst->reported_ms = 0;
	}
}

void
mb_tick(struct mb *m)
{
	uint64_t now;

	now = mb_now(m);
	if (m->started && now - m->tick_ms >= MB_PAUSE_MIN_MS &&
	    (m->variant & MB_V_NO_PAUSE_CHECK) == 0)
		handle_resume(m);
	m->started = true;
	m->tick_ms = now;
	if (m->scan_outstanding)
		m->scan_ticks++;
	else if (now >= m->scan_next_ms)
		start_scan(m);
	mb_poll_peers(m);
	mb_maintain_list(m);
	mb_update_accepted(m);
	mb_writes_advance(m);
}

struct mb *
mb_new(struct ck *clock, struct ct *counters, uint64_t seed,
    const struct mb_identity *id, const struct mb_ops *ops, void *arg)
{
	struct mb *m;

	m = g_new0(struct mb, 1);
	m->clock = clock;
	m->counters = counters;
	m->rng = rn_new(seed);
	m->ops = ops;
	m->arg = arg;
	m->name = g_strdup(id->name);
	m->address = g_strdup(id->address);
	m->az = g_strdup(id->az);
	m->incarnation = mb_new_incarnation(m);
	m->state = cs_new();
	m->log = g_queue_new();
	m->page = g_array_new(FALSE, FALSE, sizeof(struct pd_change));
	m->missing = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	m->instances = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, instance_free);
	m->peers = g_ptr_array_new_with_free_func(peer_free);
	m->queue = g_queue_new();
	mb_add_seeds(m, id);
	return (m);
}

void
mb_free(struct mb *m)
{
	if (m == NULL)
		return;
	mb_writes_free(m);
	g_ptr_array_free(m->peers, TRUE);
	g_hash_table_destroy(m->instances);
	g_array_free(m->missing, TRUE);
	g_array_free(m->page, TRUE);
	free(m->snapshot);
	mb_log_clear(m);
	g_queue_free(m->log);
	cs_free(m->state);
	rn_free(m->rng);
	g_free(m->name);
	g_free(m->address);
	g_free(m->az);
	g_free(m);
}
