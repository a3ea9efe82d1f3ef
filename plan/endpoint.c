#include <glib.h>
#include <limits.h>

#include "endpoint.h"
#include "pool.h"

/* Assumed size of a task that is known only from its start record. */
#define DEFAULT_SIZE_MS 100
/* A load report may miss grants younger than this, one round trip. */
#define GRANT_IN_FLIGHT_US 4000
/* Interval between probes of an ejected endpoint; the agent limits them too. */
#define PROBE_FIRST_US 1000000
#define PROBE_MAX_US 30000000

struct ep *
ep_new(const char *name)
{
	struct ep *e;

	e = g_new0(struct ep, 1);
	e->name = g_strdup(name);
	e->az = g_strdup("");
	e->hello_service = g_strdup("");
	e->session = PL_NONE;
	e->to_resolve = g_ptr_array_new();
	return (e);
}

void
ep_free(struct ep *e)
{
	g_ptr_array_free(e->to_resolve, TRUE);
	g_free(e->hello_service);
	g_free(e->az);
	g_free(e->name);
	g_free(e);
}

static void
set_counted_flag(bool *flag, unsigned *count, bool value)
{
	if (value == *flag)
		return;
	*flag = value;
	if (value)
		(*count)++;
	else
		(*count)--;
}

static void
set_has_room(struct ep *e, bool has_room)
{
	set_counted_flag(&e->has_room, &e->service->nwith_room, has_room);
	set_counted_flag(&e->probing, &e->service->nprobing,
	    has_room && e->health == PD_EJECTED);
}

void
ep_set_service(struct ep *e, struct service *s)
{
	if (e->service == s)
		return;
	if (e->service != NULL) {
		set_has_room(e, false);
		g_ptr_array_remove_fast(e->service->eps, e);
	}
	e->service = s;
	g_ptr_array_add(s->eps, e);
}

static unsigned
load_limit(const struct ep *e, unsigned queue, uint64_t now_us)
{
	if (e->session == PL_NONE || !e->in_service || e->draining ||
	    e->hold_until_us > now_us)
		return (0);
	if (e->health == PD_EJECTED)
		return (e->ngrants == 0 && e->next_probe_us <= now_us ? UINT_MAX
								      : 0);
	if (e->health == PD_SUSPECT)
		return (1);
	return (e->slots + MIN(queue, e->queue_max));
}

void
ep_refresh(struct ep *e, unsigned queue, uint64_t now_us)
{
	e->policy_view.slots = e->health == PD_HEALTHY ? e->slots : 1;
	e->policy_view.load = e->others_load + e->ngrants;
	e->policy_view.limit = load_limit(e, queue, now_us);
	if (e->service != NULL)
		set_has_room(e, po_has_room(&e->policy_view));
}

void
ep_add_grant(struct ep *e, struct sb_task *t, uint64_t now_us)
{
	t->ep = e;
	t->incarnation = e->incarnation;
	t->granted_us = now_us;
	t->prev = NULL;
	t->next = e->grants;
	if (t->next != NULL)
		t->next->prev = t;
	e->grants = t;
	e->ngrants++;
	t->start_us =
	    now_us + (uint64_t)(po_wait_ms(&e->policy_view, now_us) * 1000);
	if (t->work_ms <= 0)
		t->work_ms = DEFAULT_SIZE_MS;
	po_task_started(&e->policy_view.speed, t->work_ms, t->start_us);
}

void
ep_remove_grant(struct ep *e, struct sb_task *t)
{
	if (t->next != NULL)
		t->next->prev = t->prev;
	if (t->prev != NULL)
		t->prev->next = t->next;
	else
		e->grants = t->next;
	t->next = t->prev = NULL;
	t->ep = NULL;
	e->ngrants--;
	g_ptr_array_remove_fast(e->to_resolve, t);
	po_task_ended(&e->policy_view.speed, t->work_ms, t->start_us);
}

void
ep_set_load(struct ep *e, unsigned running, unsigned queued, uint64_t now_us)
{
	const struct sb_task *t;
	unsigned reported_grants;

	e->running = running;
	e->queued = queued;
	reported_grants = e->ngrants;
	for (t = e->grants;
	     t != NULL && t->granted_us + GRANT_IN_FLIGHT_US > now_us;
	     t = t->next)
		reported_grants--;
	e->others_load = running + queued > reported_grants
	    ? running + queued - reported_grants
	    : 0;
}

static void
schedule_wake(struct ep *e, struct hp *wakes, uint64_t at_us)
{
	if (!hp_has(&e->wake) || at_us < e->wake.key)
		hp_set(wakes, &e->wake, at_us);
}

void
ep_hold(struct ep *e, struct hp *wakes, uint64_t until_us)
{
	if (until_us > e->hold_until_us)
		e->hold_until_us = until_us;
	schedule_wake(e, wakes, e->hold_until_us);
}

void
ep_set_health(
    struct ep *e, struct hp *wakes, enum pd_health health, uint64_t now_us)
{
	if (health == PD_EJECTED && e->health != PD_EJECTED) {
		e->probe_interval_us = PROBE_FIRST_US;
		e->next_probe_us = now_us + e->probe_interval_us;
		schedule_wake(e, wakes, e->next_probe_us);
	}
	e->health = health;
}

void
ep_probe_granted(struct ep *e, struct hp *wakes, uint64_t now_us)
{
	e->probe_interval_us = MIN(e->probe_interval_us * 2, PROBE_MAX_US);
	e->next_probe_us = now_us + e->probe_interval_us;
	schedule_wake(e, wakes, e->next_probe_us);
}
