#include <glib.h>
#include <limits.h>

#include "endpoint.h"
#include "pool.h"

/* Size of a task of which only the start record is known. */
#define SIZE_DEFAULT_MS 100
/* Grants younger than this may be missing in a report: one round trip. */
#define IN_FLIGHT_US 4000
/* Interval of probes to an ejected endpoint; the agent bounds them as well. */
#define PROBE_FIRST_US 1000000
#define PROBE_LAST_US 30000000

struct ep *
ep_new(const char *name)
{
	struct ep *e;

	e = g_new0(struct ep, 1);
	e->name = g_strdup(name);
	e->az = g_strdup("");
	e->hello_service = g_strdup("");
	e->session = PL_NONE;
	e->doubtful = g_ptr_array_new();
	return (e);
}

void
ep_free(struct ep *e)
{
	g_ptr_array_free(e->doubtful, TRUE);
	g_free(e->hello_service);
	g_free(e->az);
	g_free(e->name);
	g_free(e);
}

static void
count_flag(bool *flag, unsigned *count, bool value)
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
count_open(struct ep *e, bool open)
{
	count_flag(&e->open, &e->service->nopen, open);
	count_flag(&e->probing, &e->service->nprobing,
	    open && e->health == PD_EJECTED);
}

void
ep_join(struct ep *e, struct service *s)
{
	if (e->service == s)
		return;
	if (e->service != NULL) {
		count_open(e, false);
		g_ptr_array_remove_fast(e->service->eps, e);
	}
	e->service = s;
	g_ptr_array_add(s->eps, e);
}

static unsigned
limit_of(const struct ep *e, unsigned queue, uint64_t now_us)
{
	if (e->session == PL_NONE || !e->in_service || e->draining ||
	    e->hold_us > now_us)
		return (0);
	if (e->health == PD_EJECTED)
		return (e->own == 0 && e->probe_us <= now_us ? UINT_MAX : 0);
	if (e->health == PD_SUSPECT)
		return (1);
	return (e->slots + MIN(queue, e->queue_max));
}

void
ep_refresh(struct ep *e, unsigned queue, uint64_t now_us)
{
	e->view.slots = e->health == PD_HEALTHY ? e->slots : 1;
	e->view.load = e->others + e->own;
	e->view.limit = limit_of(e, queue, now_us);
	if (e->service != NULL)
		count_open(e, po_has_room(&e->view));
}

void
ep_grant(struct ep *e, struct sb_task *t, uint64_t now_us)
{
	t->ep = e;
	t->incarnation = e->incarnation;
	t->granted_us = now_us;
	t->prev = NULL;
	t->next = e->grants;
	if (t->next != NULL)
		t->next->prev = t;
	e->grants = t;
	e->own++;
	t->start_us = now_us + (uint64_t)(po_wait_ms(&e->view, now_us) * 1000);
	if (t->work_ms <= 0)
		t->work_ms = SIZE_DEFAULT_MS;
	po_task_started(&e->view.speed, t->work_ms, t->start_us);
}

void
ep_release(struct ep *e, struct sb_task *t)
{
	if (t->next != NULL)
		t->next->prev = t->prev;
	if (t->prev != NULL)
		t->prev->next = t->next;
	else
		e->grants = t->next;
	t->next = t->prev = NULL;
	t->ep = NULL;
	e->own--;
	g_ptr_array_remove_fast(e->doubtful, t);
	po_task_ended(&e->view.speed, t->work_ms, t->start_us);
}

void
ep_load(struct ep *e, unsigned running, unsigned queued, uint64_t now_us)
{
	const struct sb_task *t;
	unsigned seen;

	e->running = running;
	e->queued = queued;
	seen = e->own;
	for (t = e->grants; t != NULL && t->granted_us + IN_FLIGHT_US > now_us;
	     t = t->next)
		seen--;
	e->others = running + queued > seen ? running + queued - seen : 0;
}

static void
wake_at(struct ep *e, struct hp *wakes, uint64_t at_us)
{
	if (!hp_has(&e->wake) || at_us < e->wake.key)
		hp_set(wakes, &e->wake, at_us);
}

void
ep_hold(struct ep *e, struct hp *wakes, uint64_t until_us)
{
	if (until_us > e->hold_us)
		e->hold_us = until_us;
	wake_at(e, wakes, e->hold_us);
}

void
ep_health(
    struct ep *e, struct hp *wakes, enum pd_health health, uint64_t now_us)
{
	if (health == PD_EJECTED && e->health != PD_EJECTED) {
		e->probe_wait_us = PROBE_FIRST_US;
		e->probe_us = now_us + e->probe_wait_us;
		wake_at(e, wakes, e->probe_us);
	}
	e->health = health;
}

void
ep_probed(struct ep *e, struct hp *wakes, uint64_t now_us)
{
	e->probe_wait_us = MIN(e->probe_wait_us * 2, PROBE_LAST_US);
	e->probe_us = now_us + e->probe_wait_us;
	wake_at(e, wakes, e->probe_us);
}
