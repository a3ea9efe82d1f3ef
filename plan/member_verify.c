#include <stdlib.h>
#include <string.h>

#include "member_impl.h"

static int
compare_descending(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x < y ? 1 : x > y ? -1 : 0);
}

/* The @k-th greatest of @n values, the highest value that @k of them reach. */
static uint64_t
kth_greatest(uint64_t *values, size_t n, size_t k)
{
	if (k == 0)
		return (UINT64_MAX);
	if (k > n)
		return (0);
	qsort(values, n, sizeof(*values), compare_descending);
	return (values[k - 1]);
}

static size_t
half_rounded_up(size_t n)
{
	return ((n + 1) / 2);
}

bool
mb_platform_unresponsive(const struct mb *m)
{
	return (m->scan_failed || m->scan_slow ||
	    (m->scan_outstanding && m->scan_ticks >= MB_READ_TIMEOUT_TICKS));
}

/* The latest time at which a member is known to have held no newer revision
 * than this entry. */
static uint64_t
confirmed_ms(const struct mb *m, const struct cs_member *member)
{
	const struct mb_instance *inst;

	/* This entry counts as confirmed at its last tick, not now, so that a
	 * single entry does not verify itself right after a pause. */
	if (member->incarnation == m->incarnation)
		return ((m->variant & MB_V_NO_PAUSE_CHECK) != 0 ? mb_now(m)
								: m->tick_ms);
	inst = mb_instance_find(m, member->incarnation);
	if (inst == NULL || !inst->has_status ||
	    inst->status_revision > cs_revision(m->state))
		return (0);
	return (inst->status_sent_ms);
}

static uint64_t
majority_confirmed_ms(const struct mb *m)
{
	const struct cs_member *members;
	uint64_t at[PD_MEMBERS_MAX];
	size_t n, i;

	members = cs_members(m->state, &n);
	for (i = 0; i < n && i < PD_MEMBERS_MAX; i++)
		at[i] = confirmed_ms(m, &members[i]);
	if ((m->variant & MB_V_SMALL_QUORUM) != 0)
		return (kth_greatest(at, n, half_rounded_up(n)));
	return (kth_greatest(at, n, n / 2 + 1));
}

static bool
is_recent(const struct mb *m, uint64_t at)
{
	return (mb_now(m) - at <= MB_VERIFICATION_MAX_AGE_MS);
}

uint64_t
mb_verified_until(const struct mb *m)
{
	uint64_t at;

	if (!mb_registered(m))
		return (0);
	if (m->read_verified && is_recent(m, m->read_verified_ms))
		return (m->read_verified_ms + MB_VERIFICATION_MAX_AGE_MS + 1);
	/* A majority counts only while the platform does not respond, since
	 * the log may show that all of these entries were forgotten. */
	if (!mb_platform_unresponsive(m))
		return (0);
	at = majority_confirmed_ms(m);
	return (at != 0 && is_recent(m, at)
		? at + MB_VERIFICATION_MAX_AGE_MS + 1
		: 0);
}

bool
mb_verified(const struct mb *m)
{
	return (mb_verified_until(m) != 0);
}

static uint64_t
revision_held_by(const struct mb *m, uint64_t incarnation)
{
	const struct mb_instance *inst;

	if (incarnation == m->incarnation)
		return (cs_revision(m->state));
	inst = mb_instance_find(m, incarnation);
	if (inst == NULL)
		return (0);
	if (inst->terminated && (m->variant & MB_V_NO_PREDECESSOR_CONSENT) == 0)
		return (UINT64_MAX);
	return (inst->held_revision);
}

static bool
is_named(const struct mb *m, const json_t *names, uint64_t incarnation)
{
	const struct cs_member *members;
	const json_t *name;
	size_t n, i, j;

	if ((m->variant & MB_V_NO_FORGOTTEN_CONSENT) != 0)
		return (false);
	members = cs_members(m->state, &n);
	for (i = 0; i < n; i++) {
		if (members[i].incarnation != incarnation)
			continue;
		json_array_foreach(names, j, name)
		{
			if (strcmp(json_string_value(name), members[i].name) ==
			    0)
				return (true);
		}
	}
	return (false);
}

/* The highest revision held by half or more of the members of the list before
 * its last change. Members that are known to have exited or that are in
 * @forgotten consent to any revision. */
static uint64_t
held_by_previous_list(const struct mb *m, const json_t *forgotten)
{
	const struct cs_member *members;
	uint64_t held[2 * PD_MEMBERS_MAX];
	size_t n, exited, i;

	members = cs_previous_members(m->state, &n, &exited);
	for (i = 0; i < n; i++)
		held[i] = is_named(m, forgotten, members[i].incarnation)
		    ? UINT64_MAX
		    : revision_held_by(m, members[i].incarnation);
	for (i = 0; i < exited; i++)
		held[n + i] = (m->variant & MB_V_NO_PREDECESSOR_CONSENT) != 0
		    ? 0
		    : UINT64_MAX;
	return (kth_greatest(held, n + exited, half_rounded_up(n + exited)));
}

static uint64_t
held_by_list(const struct mb *m)
{
	const struct cs_member *members;
	uint64_t held[PD_MEMBERS_MAX];
	size_t n, i;

	members = cs_members(m->state, &n);
	for (i = 0; i < n; i++)
		held[i] = revision_held_by(m, members[i].incarnation);
	return (kth_greatest(held, n, half_rounded_up(n)));
}

void
mb_set_accepted(struct mb *m, uint64_t revision)
{
	if (revision <= m->accepted)
		return;
	m->accepted = revision;
	m->ops->accepted(m->arg, revision);
}

/*
 * A revision is accepted when half or more of the members at that revision hold
 * it, and the last change of the list up to it is held by half or more of the
 * members before that change. Earlier changes of the list are accepted, or the
 * last one would not have been written.
 */
void
mb_update_accepted(struct mb *m)
{
	uint64_t view, before;

	view = cs_view(m->state);
	if (m->accepted < view) {
		before = held_by_previous_list(m, NULL);
		if (before < view) {
			mb_set_accepted(m, MIN(before, view - 1));
			return;
		}
		mb_set_accepted(m, view);
	}
	mb_set_accepted(m, MIN(held_by_list(m), cs_revision(m->state)));
}

bool
mb_list_accepted(const struct mb *m, const json_t *forgotten)
{
	uint64_t view;

	view = cs_view(m->state);
	return (m->accepted >= view ||
	    held_by_previous_list(m, forgotten) >= view ||
	    (m->variant & MB_V_CONCURRENT_LIST_CHANGES) != 0);
}

char *
mb_unconfirmed_names(const struct mb *m, uint64_t revision)
{
	const struct cs_member *members;
	GString *out;
	size_t n, exited, i;

	out = g_string_new("not confirmed by");
	members = cs_view(m->state) == revision
	    ? cs_previous_members(m->state, &n, &exited)
	    : cs_members(m->state, &n);
	for (i = 0; i < n; i++) {
		if (revision_held_by(m, members[i].incarnation) < revision)
			g_string_append_printf(out, " %s", members[i].name);
	}
	return (g_string_free(out, FALSE));
}

bool
mb_is_missing(const struct mb *m, uint64_t incarnation)
{
	const struct mb_instance *inst;

	if (incarnation == m->incarnation)
		return (false);
	inst = mb_instance_find(m, incarnation);
	return (inst != NULL &&
	    mb_now(m) - inst->last_heard_ms >= MB_MISSING_AFTER_MS);
}

bool
mb_quorum_reachable(const struct mb *m)
{
	const struct cs_member *members;
	const struct mb_instance *inst;
	size_t n, i, confirming;

	members = cs_members(m->state, &n);
	confirming = 0;
	for (i = 0; i < n; i++) {
		inst = mb_instance_find(m, members[i].incarnation);
		if (inst != NULL &&
		    (inst->terminated ||
			(inst->ever_heard &&
			    !mb_is_missing(m, members[i].incarnation))))
			confirming++;
	}
	return (confirming >= half_rounded_up(n));
}
