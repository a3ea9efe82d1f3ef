#include <glib.h>

#include "dispatch_impl.h"

/*
 * A grant without a result is doubted after this, or after DUE_FACTOR times
 * its expected time: declared sizes are wrong by up to 10x.
 */
#define DUE_MIN_US 1000000
#define DUE_MAX_US 10000000
#define DUE_FACTOR 10
/*
 * A job that takes 1 s of all endpoints goes before one that takes 2 s unless
 * the latter arrived RANK_FACTOR s earlier. Without ageing the p99 of large
 * jobs at load 0.95 is up to 1.4 times that of a first-in-first-out queue.
 */
#define RANK_FACTOR 3
/* Time that a report needs, kept free before the deadline. */
#define RETURN_MS 5

/* One search for a job and an endpoint. */
struct search {
	struct dp *dp;
	uint64_t now_us;
	struct sb_task *task;
	struct ep *ep;
};

/* An ejected endpoint whose probe is due gets the next task. */
static bool
place_probe(struct search *q, struct sb *s, struct sb_task *t)
{
	struct ep *e;
	guint i;

	for (i = 0; i < s->lane->eps->len; i++) {
		e = g_ptr_array_index(s->lane->eps, i);
		if (e->probing) {
			q->task = t;
			q->ep = e;
			return (true);
		}
	}
	return (false);
}

static bool
place(struct search *q, struct sb *s, struct sb_task *t)
{
	struct po_task task;
	GPtrArray *eps;
	size_t i;

	if (s->lane->service->nprobing > 0 && place_probe(q, s, t))
		return (true);
	task.size_ms = t->work_ms;
	task.nwaiting = s->lane->service->queued;
	task.now_us = q->now_us;
	eps = s->lane->eps;
	i = q->dp->policy->choose((struct po_endpoint *const *)eps->pdata,
	    eps->len, &task, q->dp->rng);
	if (i == PO_WAIT)
		return (false);
	q->task = t;
	q->ep = g_ptr_array_index(eps, i);
	return (true);
}

/* Next task that was never returned. */
static struct sb_task *
fresh_task(struct sb *s)
{
	struct sb_task *t;

	for (; s->cursor < s->ntasks; s->cursor++) {
		t = &s->tasks[s->order[s->cursor]];
		if (t->state == SB_WAITING && !t->again)
			return (t);
	}
	return (NULL);
}

/* Smallest task that was never returned. */
static struct sb_task *
smallest_task(struct sb *s)
{
	struct sb_task *t;

	for (; s->tail > s->cursor; s->tail--) {
		t = &s->tasks[s->order[s->tail - 1]];
		if (t->state == SB_WAITING && !t->again)
			return (t);
	}
	return (NULL);
}

/* Last of the tasks that came back; entries that are over are dropped. */
static struct sb_task *
again_task(struct sb *s)
{
	struct sb_task *t;

	while (s->again != NULL && s->again->len > 0) {
		t = &s->tasks[g_array_index(
		    s->again, uint16_t, s->again->len - 1)];
		if (t->state == SB_WAITING)
			return (t);
		g_array_set_size(s->again, s->again->len - 1);
	}
	return (NULL);
}

static bool
fits(void *arg, struct qu_job *j)
{
	struct search *q = arg;
	struct sb_task *t;
	struct sb *s;

	s = hp_item(j, struct sb, job);
	t = again_task(s);
	if (t != NULL && place(q, s, t))
		return (true);
	t = fresh_task(s);
	if (t == NULL)
		return (false);
	if (place(q, s, t))
		return (true);
	/* A small task loses less on a slow endpoint than the largest. */
	t = smallest_task(s);
	return (t != NULL && place(q, s, t));
}

/* Latest start: what remains at the speed of one slot for the largest task. */
static uint64_t
latest_start(const struct sb *s)
{
	uint64_t need;

	need = (uint64_t)(2000 * s->tasks[s->order[0]].work_ms);
	return (s->deadline_us > need ? s->deadline_us - need : 0);
}

/* Least remaining work first; waiting makes up for more work, see RANK_FACTOR
 */
static uint64_t
rank(struct dp *d, const struct sb *s)
{
	return (s->arrived_us +
	    (uint64_t)(RANK_FACTOR * 1000 *
		ln_run_time_ms(d, s->lane, s->left_ms)));
}

void
pm_enqueue(struct dp *d, struct sb *s)
{
	if (s->nwaiting > 0)
		qu_put(s->lane->queue, &s->job, s->left_ms, rank(d, s),
		    latest_start(s));
}

void
pm_dequeue(struct dp *d, struct sb *s)
{
	qu_remove(&s->job);
	(void)d;
}

static void
send_grant(
    struct dp *d, const struct ep *e, const struct sb_task *t, uint64_t now_us)
{
	const struct sb *s;
	struct pd_grant g;
	uint64_t left;

	s = t->sub;
	left = (s->deadline_us - now_us) / 1000;
	g.key.sub = s->id;
	g.key.task = t->index;
	g.key.attempt = t->attempt;
	g.view = d->partitions[s->partition].view;
	g.incarnation = e->incarnation;
	g.ntasks = s->ntasks;
	g.size_ms = t->size_ms;
	g.timeout_ms = (u_int)(left > 10 * RETURN_MS ? left - RETURN_MS : left);
	g.idempotent = s->idempotent;
	g.team = (char *)s->team;
	g.body.body_len = t->body_len;
	g.body.body_val = (char *)t->body;
	d->ops->grant(d->arg, e->session, &g);
}

static uint64_t
due_after(const struct sb_task *t, uint64_t now_us)
{
	uint64_t after;

	after = t->start_us - now_us + (uint64_t)(t->cost_ms * 1000);
	return (CLAMP(after * DUE_FACTOR, DUE_MIN_US, DUE_MAX_US));
}

static void
grant(struct dp *d, struct search *q)
{
	struct sb_task *t;
	struct sb *s;
	struct ep *e;

	t = q->task;
	s = t->sub;
	e = q->ep;
	t->state = SB_GRANTED;
	t->granted_us = q->now_us;
	t->cost_ms = t->work_ms * po_run_ratio(&e->view.speed, q->now_us);
	ep_grant(e, t, q->now_us);
	if (e->health == PD_EJECTED)
		ep_probed(e, &d->wakes, q->now_us);
	pm_refresh_endpoint(d, e);
	s->nwaiting--;
	s->ngranted++;
	s->left_ms -= t->work_ms;
	pm_add_waiting(d, s, -1);
	d->granted++;
	qu_task_granted(s->lane->queue, t->cost_ms);
	t->counted_in_quota = true;
	if (s->nwaiting > 0)
		pm_enqueue(d, s);
	else
		qu_remove(&s->job);
	t->resolve_after_us = due_after(t, q->now_us);
	hp_set(&d->resolve_timers, &t->due, q->now_us + t->resolve_after_us);
	ct_add(d->m_grants, 1);
	hi_add(
	    d->history, &s->id, "granted", "task %u to %s", t->index, e->name);
	send_grant(d, e, t, q->now_us);
}

void
pm_add_waiting(struct dp *d, struct sb *s, int n)
{
	d->queued = (size_t)((ssize_t)d->queued + n);
	s->lane->service->queued =
	    (size_t)((ssize_t)s->lane->service->queued + n);
}

/* The longer the queue at the entry, the more its agents may hold. */
static void
set_queue(struct dp *d, struct service *s)
{
	unsigned queue;
	guint i;

	queue = d->policy->queue_depth(s->queued, s->slots);
	if (queue == s->queue)
		return;
	s->queue = queue;
	for (i = 0; i < s->eps->len; i++)
		pm_refresh_endpoint(d, g_ptr_array_index(s->eps, i));
}

void
pm_grant_waiting(struct dp *d, struct service *s)
{
	struct search q;

	if (!dp_verified(d))
		return;
	q.dp = d;
	q.now_us = dp_now(d);
	dp_check_deadlines(d, q.now_us);
	set_queue(d, s);
	while (s->nopen > 0) {
		if (qu_next(d->queue, s->number, q.now_us, fits, &q) == NULL)
			return;
		grant(d, &q);
	}
}

void
pm_refresh_endpoint(struct dp *d, struct ep *e)
{
	ep_refresh(e, e->service != NULL ? e->service->queue : 0, dp_now(d));
}

static void
wake(struct dp *d, struct ep *e, uint64_t now_us)
{
	hp_remove(&d->wakes, &e->wake);
	if (e->hold_us > now_us)
		hp_set(&d->wakes, &e->wake, e->hold_us);
	else if (e->health == PD_EJECTED && e->probe_us > now_us)
		hp_set(&d->wakes, &e->wake, e->probe_us);
	pm_refresh_endpoint(d, e);
	if (e->service != NULL)
		pm_grant_waiting(d, e->service);
}

void
pm_wake_endpoints(struct dp *d)
{
	struct hp_node *n;
	uint64_t now;

	now = dp_now(d);
	while ((n = hp_first(&d->wakes)) != NULL && n->key <= now)
		wake(d, hp_item(n, struct ep, wake), now);
}
