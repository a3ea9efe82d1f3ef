#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "clock.h"
#include "codec.h"
#include "counters.h"
#include "dispatch.h"
#include "forward.h"
#include "history.h"
#include "kernel.h"
#include "member.h"
#include "partition.h"
#include "peers.h"
#include "pool.h"

#define RETRY_MS 20
/* The owner answers at the deadline; this is the time for its answer to come
 * back before the submission is given up. */
#define ANSWER_MARGIN_MS 250
/* A look-up whose owner cannot be reached ends this long after its wait. */
#define LOOKUP_MARGIN_MS 1000

enum kind {
	KIND_SUBMIT,       /* of a caller */
	KIND_LOOKUP,       /* of a caller */
	KIND_SERVE_SUBMIT, /* of another entry */
	KIND_SERVE_LOOKUP, /* of another entry */
};

struct item {
	pl_handle handle; /* also the waiter at dp_ */
	enum kind kind;
	struct pd_submit *submit; /* KIND_SUBMIT */
	struct pd_lookup lookup;  /* KIND_LOOKUP, id owned */
	fw_done_fn done;          /* NULL once the caller was answered */
	void *arg;
	struct cn *conn; /* served calls */
	uint32_t xid;
	uint64_t until_ms;    /* the caller waits */
	uint64_t deadline_ms; /* 0: none */
	uint64_t retry_ms;    /* 0: in flight */
	uint64_t owner;       /* incarnation of the entry asked last */
	unsigned attempt;
	bool local; /* the last attempt was at dp_ */
};

struct fw {
	struct kn *kernel;
	struct ck *clock;
	struct ct_metric *forwards;
	struct ct_metric *repeats;
	struct ct_metric *gave_up;
	struct pl *items;
};

/* One attempt at another entry. */
struct trip {
	struct fw *forward;
	pl_handle handle;
	unsigned attempt;
};

static struct dp *
dispatch(struct fw *f)
{
	return (kn_find(f->kernel, "dispatch"));
}

static struct mb *
member(struct fw *f)
{
	return (kn_find(f->kernel, "member"));
}

static const struct pd_id *
item_id(const struct item *it)
{
	return (it->kind == KIND_SUBMIT ? &it->submit->sub : &it->lookup.sub);
}

struct fw *
fw_new(struct kn *k)
{
	struct ct *counters = kn_find(k, "counters");
	struct fw *f;

	f = g_new0(struct fw, 1);
	f->kernel = k;
	f->clock = kn_find(k, "clock");
	f->items = pl_new(sizeof(struct item));
	f->forwards = ct_get(counters, CT_COUNTER, "pd_forwards_total",
	    "submissions sent to another entry", "");
	f->repeats = ct_get(counters, CT_COUNTER, "pd_forward_repeats_total",
	    "submissions brought to an owner again", "");
	f->gave_up = ct_get(counters, CT_COUNTER, "pd_owner_unreachable_total",
	    "submissions answered unknown since no owner was reached", "");
	return (f);
}

static void
item_release(struct fw *f, struct item *it)
{
	co_submit_free(it->submit);
	g_free(it->lookup.sub.id);
	pl_release(f->items, it->handle);
}

void
fw_free(struct fw *f)
{
	pl_handle h;

	if (f == NULL)
		return;
	for (h = pl_next(f->items, PL_NONE); h != PL_NONE;
	     h = pl_next(f->items, h))
		item_release(f, pl_get(f->items, h));
	pl_free(f->items);
	g_free(f);
}

/* Answers the caller and forgets the item. */
static void
finish(struct fw *f, struct item *it, const struct pd_answer *a)
{
	if (it->conn != NULL)
		cn_reply(it->conn, it->xid, (xdrproc_t)xdr_pd_answer, a);
	else if (it->done != NULL)
		it->done(it->arg, a);
	item_release(f, it);
}

static void
simple_answer(
    struct pd_answer *a, const struct pd_id *id, enum pd_status_code status)
{
	memset(a, 0, sizeof(*a));
	a->sub = *id;
	a->status = status;
	a->reason = (char *)(uintptr_t) "";
	a->detail = (char *)(uintptr_t) "";
}

static void
give_up(struct fw *f, struct item *it)
{
	struct pd_answer a;

	if (it->local)
		dp_detach(dispatch(f), it->handle);
	if (it->kind != KIND_SUBMIT) {
		finish(f, it, NULL);
		return;
	}
	ct_add(f->gave_up, 1);
	simple_answer(&a, item_id(it), PD_UNKNOWN);
	a.reason = (char *)(uintptr_t) "owner_unreachable";
	a.detail = (char *)(uintptr_t) "No owner of this submission answered "
				       "before the deadline.";
	finish(f, it, &a);
}

static bool
is_submitted_here(const struct fw *f, const struct pd_id *id)
{
	const struct item *it;
	pl_handle h;

	for (h = pl_next(f->items, PL_NONE); h != PL_NONE;
	     h = pl_next(f->items, h)) {
		it = pl_get(f->items, h);
		if (it->kind == KIND_SUBMIT &&
		    it->submit->sub.created_ms == id->created_ms &&
		    strcmp(it->submit->sub.id, id->id) == 0)
			return (true);
	}
	return (false);
}

/*
 * An answer from an entry that has been asked before the present one: results
 * are facts and count, but a refusal may be overtaken by the submission that
 * went to the present owner.
 */
static bool
is_usable(const struct item *it, const struct pd_answer *a, bool latest)
{
	if (a->status == PD_NOT_OWNER)
		return (false);
	return (latest || it->kind == KIND_LOOKUP || a->status == PD_COMPLETE ||
	    a->status == PD_JOB_FAILED);
}

/* An answer or, with NULL, a broken connection. */
static void
take_answer(
    struct fw *f, struct item *it, const struct pd_answer *a, bool latest)
{
	struct pd_answer pending;

	if (a == NULL || !is_usable(it, a, latest)) {
		if (latest)
			it->retry_ms = ck_mono_ms(f->clock) + RETRY_MS;
		return;
	}
	if (it->kind == KIND_LOOKUP && a->status == PD_NOT_FOUND &&
	    is_submitted_here(f, item_id(it))) {
		simple_answer(&pending, item_id(it), PD_PENDING);
		finish(f, it, &pending);
		return;
	}
	/* The answer outlives the attempt at the own dispatcher. */
	if (!latest && it->local)
		dp_detach(dispatch(f), it->handle);
	finish(f, it, a);
}

static void
trip_done(void *arg, enum cn_error error, void *result)
{
	struct trip *t = arg;
	struct item *it = pl_get(t->forward->items, t->handle);

	if (it != NULL)
		take_answer(t->forward, it, error == CN_OK ? result : NULL,
		    t->attempt == it->attempt && !it->local);
	g_free(t);
}

void
fw_handle_answer(struct fw *f, uint64_t waiter, const struct pd_answer *a)
{
	struct item *it = pl_get(f->items, waiter);

	if (it == NULL)
		return;
	if (it->conn != NULL)
		finish(f, it, a);
	else
		take_answer(f, it, a, it->local);
}

static unsigned
time_left(uint64_t end_ms, uint64_t now)
{
	return (end_ms > now ? (unsigned)(end_ms - now) : 0);
}

static void
send_local(struct fw *f, struct item *it)
{
	it->local = true;
	if (it->kind == KIND_SUBMIT)
		dp_submit(dispatch(f), it->submit, it->handle);
	else
		dp_lookup(dispatch(f), &it->lookup.sub, it->lookup.cancel != 0,
		    it->handle);
}

static void
send_remote(struct fw *f, struct item *it, const struct cs_member *owner)
{
	struct pe *peers = kn_find(f->kernel, "peers");
	struct trip *t;
	bool sent;

	t = g_new0(struct trip, 1);
	t->forward = f;
	t->handle = it->handle;
	t->attempt = it->attempt;
	it->local = false;
	if (it->kind == KIND_SUBMIT)
		sent =
		    pe_forward(peers, owner->address, it->submit, trip_done, t);
	else
		sent =
		    pe_lookup(peers, owner->address, &it->lookup, trip_done, t);
	if (!sent) {
		g_free(t);
		it->retry_ms = ck_mono_ms(f->clock) + RETRY_MS;
		return;
	}
	ct_add(f->forwards, 1);
	hi_add(kn_find(f->kernel, "history"), item_id(it), "forwarded",
	    "to entry %s", owner->name);
}

/* The item may be released when this returns. */
static void
item_send(struct fw *f, struct item *it)
{
	uint64_t now = ck_mono_ms(f->clock);
	struct mb *m = member(f);
	const struct cs_member *owner;

	if (it->attempt++ > 0)
		ct_add(f->repeats, 1);
	owner = cs_owner(mb_state(m), pt_of(item_id(it)));
	it->retry_ms = owner == NULL ? now + RETRY_MS : 0;
	if (owner == NULL)
		return;
	it->owner = owner->incarnation;
	if (it->kind == KIND_SUBMIT)
		it->submit->left_ms = MAX(time_left(it->deadline_ms, now), 1);
	else
		it->lookup.wait_ms = time_left(it->until_ms, now);
	if (owner->incarnation == mb_incarnation(m))
		send_local(f, it);
	else
		send_remote(f, it, owner);
}

static struct item *
item_new(struct fw *f, enum kind kind)
{
	struct item *it;
	pl_handle h;
	void *slot;

	h = pl_alloc(f->items, &slot);
	it = slot;
	it->handle = h;
	it->kind = kind;
	return (it);
}

/* The caller does not wait any longer; a submission goes on. */
static void
tell_pending(struct fw *f, struct item *it)
{
	fw_done_fn done = it->done;
	struct pd_answer a;

	simple_answer(&a, item_id(it), PD_PENDING);
	if (it->kind == KIND_SUBMIT) {
		it->done = NULL;
		if (done != NULL)
			done(it->arg, &a);
		return;
	}
	if (it->local)
		dp_detach(dispatch(f), it->handle);
	finish(f, it, &a);
}

static struct item *
start(
    struct fw *f, struct item *it, unsigned wait_ms, fw_done_fn done, void *arg)
{
	pl_handle h = it->handle;

	it->done = done;
	it->arg = arg;
	it->until_ms = ck_mono_ms(f->clock) + wait_ms;
	item_send(f, it);
	return (pl_get(f->items, h));
}

void
fw_submit(struct fw *f, struct pd_submit *s, unsigned wait_ms, fw_done_fn done,
    void *arg)
{
	struct item *it = item_new(f, KIND_SUBMIT);

	it->submit = s;
	it->deadline_ms = ck_mono_ms(f->clock) + s->left_ms;
	it = start(f, it, wait_ms, done, arg);
	if (it != NULL && wait_ms == 0)
		tell_pending(f, it);
}

void
fw_lookup(struct fw *f, const struct pd_id *id, bool cancel, unsigned wait_ms,
    fw_done_fn done, void *arg)
{
	struct item *it = item_new(f, KIND_LOOKUP);

	it->lookup.sub.id = g_strdup(id->id);
	it->lookup.sub.created_ms = id->created_ms;
	it->lookup.cancel = cancel;
	it->deadline_ms = ck_mono_ms(f->clock) + wait_ms + LOOKUP_MARGIN_MS;
	it = start(f, it, wait_ms, done, arg);
	if (it != NULL && wait_ms == 0 && it->local && it->retry_ms == 0)
		tell_pending(f, it);
}

void
fw_serve_submit(
    struct fw *f, struct cn *c, uint32_t xid, const struct pd_submit *s)
{
	struct item *it = item_new(f, KIND_SERVE_SUBMIT);

	it->conn = c;
	it->xid = xid;
	dp_submit(dispatch(f), s, it->handle);
}

void
fw_serve_lookup(
    struct fw *f, struct cn *c, uint32_t xid, const struct pd_lookup *l)
{
	struct item *it = item_new(f, KIND_SERVE_LOOKUP);
	pl_handle h = it->handle;

	it->conn = c;
	it->xid = xid;
	it->local = true;
	it->lookup.sub.id = g_strdup(l->sub.id);
	it->lookup.sub.created_ms = l->sub.created_ms;
	it->until_ms = ck_mono_ms(f->clock) + l->wait_ms;
	dp_lookup(dispatch(f), &l->sub, l->cancel != 0, h);
	it = pl_get(f->items, h);
	if (it != NULL && l->wait_ms == 0)
		tell_pending(f, it);
}

void
fw_conn_closed(struct fw *f, const struct cn *c)
{
	struct item *it;
	pl_handle h;

	for (h = pl_next(f->items, PL_NONE); h != PL_NONE;
	     h = pl_next(f->items, h)) {
		it = pl_get(f->items, h);
		if (it->conn != c)
			continue;
		dp_detach(dispatch(f), h);
		item_release(f, it);
	}
}

void
fw_view_changed(struct fw *f)
{
	const struct cs_member *owner;
	struct item *it;
	pl_handle h;

	for (h = pl_next(f->items, PL_NONE); h != PL_NONE;
	     h = pl_next(f->items, h)) {
		it = pl_get(f->items, h);
		if (it->conn != NULL)
			continue;
		owner = cs_owner(mb_state(member(f)), pt_of(item_id(it)));
		if (owner != NULL && owner->incarnation != it->owner)
			/* In the next tick: dp_ is being configured now. */
			it->retry_ms = ck_mono_ms(f->clock);
	}
}

/* Whether the caller is to be told that the answer is pending. */
static bool
has_waited(const struct item *it, uint64_t now)
{
	if (now < it->until_ms)
		return (false);
	if (it->kind == KIND_SUBMIT)
		return (it->done != NULL);
	/* A look-up at another entry ends there. */
	return (it->kind == KIND_SERVE_LOOKUP ||
	    (it->kind == KIND_LOOKUP && it->local && it->retry_ms == 0));
}

static void
item_tick(struct fw *f, struct item *it, uint64_t now)
{
	bool in_flight = it->kind == KIND_SUBMIT && it->retry_ms == 0;
	uint64_t margin = in_flight ? ANSWER_MARGIN_MS : 0;

	if (it->deadline_ms != 0 && now >= it->deadline_ms + margin)
		give_up(f, it);
	else if (has_waited(it, now))
		tell_pending(f, it);
	else if (it->retry_ms != 0 && now >= it->retry_ms)
		item_send(f, it);
}

void
fw_tick(struct fw *f)
{
	uint64_t now = ck_mono_ms(f->clock);
	pl_handle h;

	for (h = pl_next(f->items, PL_NONE); h != PL_NONE;
	     h = pl_next(f->items, h))
		item_tick(f, pl_get(f->items, h), now);
}

size_t
fw_pending(const struct fw *f)
{
	return (pl_count(f->items));
}
