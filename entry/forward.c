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
/* The owner answers at the deadline; the answer may take this much longer to
 * arrive before the submission is given up. */
#define ANSWER_MARGIN_MS 250
/* A look-up whose owner cannot be reached fails this long after wait_ms. */
#define LOOKUP_MARGIN_MS 1000

enum call_kind {
	CALL_SUBMIT,      /* from a caller */
	CALL_LOOKUP,      /* from a caller */
	CALL_PEER_SUBMIT, /* from another entry */
	CALL_PEER_LOOKUP, /* from another entry */
};

/* A submission or look-up without a final answer. */
struct call {
	pl_handle handle; /* also the waiter in the local dispatcher */
	enum call_kind kind;
	struct pd_submit *submit; /* CALL_SUBMIT */
	struct pd_lookup lookup;  /* of look-ups, id owned */
	fw_done_fn done;          /* NULL once the caller has its answer */
	void *arg;
	struct cn *conn; /* of calls from another entry, otherwise NULL */
	uint32_t xid;
	uint64_t until_ms;    /* end of the caller's wait_ms */
	uint64_t deadline_ms; /* 0: none */
	uint64_t retry_ms;    /* time of the next attempt, 0 while in flight */
	uint64_t owner;       /* incarnation of the entry asked last */
	unsigned attempt;
	bool local; /* the last attempt went to the local dispatcher */
};

struct fw {
	struct kn *kernel;
	struct ck *clock;
	struct ct_metric *forwards;
	struct ct_metric *resends;
	struct ct_metric *unreachable;
	struct pl *calls;
};

/* Reply context of one attempt at another entry. */
struct remote_attempt {
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
call_id(const struct call *call)
{
	return (
	    call->kind == CALL_SUBMIT ? &call->submit->sub : &call->lookup.sub);
}

struct fw *
fw_new(struct kn *k)
{
	struct ct *counters = kn_find(k, "counters");
	struct fw *f;

	f = g_new0(struct fw, 1);
	f->kernel = k;
	f->clock = kn_find(k, "clock");
	f->calls = pl_new(sizeof(struct call));
	f->forwards = ct_get(counters, CT_COUNTER, "pd_forwards_total",
	    "submissions sent to another entry", "");
	f->resends = ct_get(counters, CT_COUNTER, "pd_forward_repeats_total",
	    "submissions sent to an owner again", "");
	f->unreachable = ct_get(counters, CT_COUNTER,
	    "pd_owner_unreachable_total",
	    "submissions answered unknown because no owner was reached", "");
	return (f);
}

static void
call_release(struct fw *f, struct call *call)
{
	co_submit_free(call->submit);
	g_free(call->lookup.sub.id);
	pl_release(f->calls, call->handle);
}

void
fw_free(struct fw *f)
{
	pl_handle h;

	if (f == NULL)
		return;
	for (h = pl_next(f->calls, PL_NONE); h != PL_NONE;
	     h = pl_next(f->calls, h))
		call_release(f, pl_get(f->calls, h));
	pl_free(f->calls);
	g_free(f);
}

/* Answers and frees the call. */
static void
finish(struct fw *f, struct call *call, const struct pd_answer *a)
{
	if (call->conn != NULL)
		cn_reply(call->conn, call->xid, (xdrproc_t)xdr_pd_answer, a);
	else if (call->done != NULL)
		call->done(call->arg, a);
	call_release(f, call);
}

static void
init_answer(
    struct pd_answer *a, const struct pd_id *id, enum pd_status_code status)
{
	memset(a, 0, sizeof(*a));
	a->sub = *id;
	a->status = status;
	a->reason = (char *)(uintptr_t) "";
	a->detail = (char *)(uintptr_t) "";
}

static void
give_up(struct fw *f, struct call *call)
{
	struct pd_answer a;

	if (call->local)
		dp_detach(dispatch(f), call->handle);
	if (call->kind != CALL_SUBMIT) {
		finish(f, call, NULL);
		return;
	}
	ct_add(f->unreachable, 1);
	init_answer(&a, call_id(call), PD_UNKNOWN);
	a.reason = (char *)(uintptr_t) "owner_unreachable";
	a.detail = (char *)(uintptr_t) "No owner of this submission answered "
				       "before the deadline.";
	finish(f, call, &a);
}

static bool
has_submission(const struct fw *f, const struct pd_id *id)
{
	const struct call *call;
	pl_handle h;

	for (h = pl_next(f->calls, PL_NONE); h != PL_NONE;
	     h = pl_next(f->calls, h)) {
		call = pl_get(f->calls, h);
		if (call->kind == CALL_SUBMIT &&
		    call->submit->sub.created_ms == id->created_ms &&
		    strcmp(call->submit->sub.id, id->id) == 0)
			return (true);
	}
	return (false);
}

/*
 * Whether an answer may be passed on. In a late answer from an entry that was
 * asked before the current owner, results are final, but a refusal may be
 * outdated: the current owner may have accepted the submission since.
 */
static bool
is_usable(const struct call *call, const struct pd_answer *a, bool latest)
{
	if (a->status == PD_NOT_OWNER)
		return (false);
	return (latest || call->kind == CALL_LOOKUP ||
	    a->status == PD_COMPLETE || a->status == PD_JOB_FAILED);
}

/*
 * Handles the answer to an attempt; @a is NULL when the connection broke.
 * @latest: the answer is that of the last attempt
 */
static void
handle_answer(
    struct fw *f, struct call *call, const struct pd_answer *a, bool latest)
{
	struct pd_answer pending;

	if (a == NULL || !is_usable(call, a, latest)) {
		if (latest)
			call->retry_ms = ck_mono_ms(f->clock) + RETRY_MS;
		return;
	}
	if (call->kind == CALL_LOOKUP && a->status == PD_NOT_FOUND &&
	    has_submission(f, call_id(call))) {
		init_answer(&pending, call_id(call), PD_PENDING);
		finish(f, call, &pending);
		return;
	}
	/* A late remote answer replaces the attempt at the local dispatcher. */
	if (!latest && call->local)
		dp_detach(dispatch(f), call->handle);
	finish(f, call, a);
}

static void
remote_attempt_done(void *arg, enum cn_error error, void *result)
{
	struct remote_attempt *ra = arg;
	struct call *call = pl_get(ra->forward->calls, ra->handle);

	if (call != NULL)
		handle_answer(ra->forward, call, error == CN_OK ? result : NULL,
		    ra->attempt == call->attempt && !call->local);
	g_free(ra);
}

void
fw_handle_answer(struct fw *f, uint64_t waiter, const struct pd_answer *a)
{
	struct call *call = pl_get(f->calls, waiter);

	if (call == NULL)
		return;
	if (call->conn != NULL)
		finish(f, call, a);
	else
		handle_answer(f, call, a, call->local);
}

static unsigned
remaining_ms(uint64_t end_ms, uint64_t now)
{
	return (end_ms > now ? (unsigned)(end_ms - now) : 0);
}

static void
send_local(struct fw *f, struct call *call)
{
	call->local = true;
	if (call->kind == CALL_SUBMIT)
		dp_submit(dispatch(f), call->submit, call->handle);
	else
		dp_lookup(dispatch(f), &call->lookup.sub,
		    call->lookup.cancel != 0, call->handle);
}

static void
send_remote(struct fw *f, struct call *call, const struct cs_member *owner)
{
	struct pe *peers = kn_find(f->kernel, "peers");
	struct remote_attempt *ra;
	bool sent;

	ra = g_new0(struct remote_attempt, 1);
	ra->forward = f;
	ra->handle = call->handle;
	ra->attempt = call->attempt;
	call->local = false;
	if (call->kind == CALL_SUBMIT)
		sent = pe_forward(peers, owner->address, call->submit,
		    remote_attempt_done, ra);
	else
		sent = pe_lookup(peers, owner->address, &call->lookup,
		    remote_attempt_done, ra);
	if (!sent) {
		g_free(ra);
		call->retry_ms = ck_mono_ms(f->clock) + RETRY_MS;
		return;
	}
	ct_add(f->forwards, 1);
	hi_add(kn_find(f->kernel, "history"), call_id(call), "forwarded",
	    "to entry %s", owner->name);
}

/* The call may have been freed when this returns. */
static void
call_send(struct fw *f, struct call *call)
{
	uint64_t now = ck_mono_ms(f->clock);
	struct mb *m = member(f);
	const struct cs_member *owner;

	if (call->attempt++ > 0)
		ct_add(f->resends, 1);
	owner = cs_owner(mb_state(m), pt_partition(call_id(call)));
	call->retry_ms = owner == NULL ? now + RETRY_MS : 0;
	if (owner == NULL)
		return;
	call->owner = owner->incarnation;
	if (call->kind == CALL_SUBMIT)
		call->submit->left_ms =
		    MAX(remaining_ms(call->deadline_ms, now), 1);
	else
		call->lookup.wait_ms = remaining_ms(call->until_ms, now);
	if (owner->incarnation == mb_incarnation(m))
		send_local(f, call);
	else
		send_remote(f, call, owner);
}

static struct call *
call_new(struct fw *f, enum call_kind kind)
{
	struct call *call;
	pl_handle h;
	void *slot;

	h = pl_alloc(f->calls, &slot);
	call = slot;
	call->handle = h;
	call->kind = kind;
	return (call);
}

/* Answers "pending" at the end of wait_ms; a submission goes on. */
static void
answer_pending(struct fw *f, struct call *call)
{
	fw_done_fn done = call->done;
	struct pd_answer a;

	init_answer(&a, call_id(call), PD_PENDING);
	if (call->kind == CALL_SUBMIT) {
		call->done = NULL;
		if (done != NULL)
			done(call->arg, &a);
		return;
	}
	if (call->local)
		dp_detach(dispatch(f), call->handle);
	finish(f, call, &a);
}

static struct call *
start_call(struct fw *f, struct call *call, unsigned wait_ms, fw_done_fn done,
    void *arg)
{
	pl_handle h = call->handle;

	call->done = done;
	call->arg = arg;
	call->until_ms = ck_mono_ms(f->clock) + wait_ms;
	call_send(f, call);
	return (pl_get(f->calls, h));
}

void
fw_submit(struct fw *f, struct pd_submit *s, unsigned wait_ms, fw_done_fn done,
    void *arg)
{
	struct call *call = call_new(f, CALL_SUBMIT);

	call->submit = s;
	call->deadline_ms = ck_mono_ms(f->clock) + s->left_ms;
	call = start_call(f, call, wait_ms, done, arg);
	if (call != NULL && wait_ms == 0)
		answer_pending(f, call);
}

void
fw_lookup(struct fw *f, const struct pd_id *id, bool cancel, unsigned wait_ms,
    fw_done_fn done, void *arg)
{
	struct call *call = call_new(f, CALL_LOOKUP);

	call->lookup.sub.id = g_strdup(id->id);
	call->lookup.sub.created_ms = id->created_ms;
	call->lookup.cancel = cancel;
	call->deadline_ms = ck_mono_ms(f->clock) + wait_ms + LOOKUP_MARGIN_MS;
	call = start_call(f, call, wait_ms, done, arg);
	if (call != NULL && wait_ms == 0 && call->local && call->retry_ms == 0)
		answer_pending(f, call);
}

void
fw_serve_submit(
    struct fw *f, struct cn *c, uint32_t xid, const struct pd_submit *s)
{
	struct call *call = call_new(f, CALL_PEER_SUBMIT);

	call->conn = c;
	call->xid = xid;
	dp_submit(dispatch(f), s, call->handle);
}

void
fw_serve_lookup(
    struct fw *f, struct cn *c, uint32_t xid, const struct pd_lookup *l)
{
	struct call *call = call_new(f, CALL_PEER_LOOKUP);
	pl_handle h = call->handle;

	call->conn = c;
	call->xid = xid;
	call->local = true;
	call->lookup.sub.id = g_strdup(l->sub.id);
	call->lookup.sub.created_ms = l->sub.created_ms;
	call->until_ms = ck_mono_ms(f->clock) + l->wait_ms;
	dp_lookup(dispatch(f), &l->sub, l->cancel != 0, h);
	call = pl_get(f->calls, h);
	if (call != NULL && l->wait_ms == 0)
		answer_pending(f, call);
}

void
fw_conn_closed(struct fw *f, const struct cn *c)
{
	struct call *call;
	pl_handle h;

	for (h = pl_next(f->calls, PL_NONE); h != PL_NONE;
	     h = pl_next(f->calls, h)) {
		call = pl_get(f->calls, h);
		if (call->conn != c)
			continue;
		dp_detach(dispatch(f), h);
		call_release(f, call);
	}
}

void
fw_view_changed(struct fw *f)
{
	const struct cs_member *owner;
	struct call *call;
	pl_handle h;

	for (h = pl_next(f->calls, PL_NONE); h != PL_NONE;
	     h = pl_next(f->calls, h)) {
		call = pl_get(f->calls, h);
		if (call->conn != NULL)
			continue;
		owner =
		    cs_owner(mb_state(member(f)), pt_partition(call_id(call)));
		if (owner != NULL && owner->incarnation != call->owner)
			/* Not now: the dispatcher is being reconfigured. The
			 * next tick sends it. */
			call->retry_ms = ck_mono_ms(f->clock);
	}
}

/* Whether wait_ms is over and "pending" is to be answered here. */
static bool
is_wait_over(const struct call *call, uint64_t now)
{
	if (now < call->until_ms)
		return (false);
	if (call->kind == CALL_SUBMIT)
		return (call->done != NULL);
	/* A look-up sent to another entry is ended by that entry. */
	return (call->kind == CALL_PEER_LOOKUP ||
	    (call->kind == CALL_LOOKUP && call->local && call->retry_ms == 0));
}

static void
call_tick(struct fw *f, struct call *call, uint64_t now)
{
	bool in_flight = call->kind == CALL_SUBMIT && call->retry_ms == 0;
	uint64_t margin = in_flight ? ANSWER_MARGIN_MS : 0;

	if (call->deadline_ms != 0 && now >= call->deadline_ms + margin)
		give_up(f, call);
	else if (is_wait_over(call, now))
		answer_pending(f, call);
	else if (call->retry_ms != 0 && now >= call->retry_ms)
		call_send(f, call);
}

void
fw_tick(struct fw *f)
{
	uint64_t now = ck_mono_ms(f->clock);
	pl_handle h;

	for (h = pl_next(f->calls, PL_NONE); h != PL_NONE;
	     h = pl_next(f->calls, h))
		call_tick(f, pl_get(f->calls, h), now);
}

size_t
fw_pending(const struct fw *f)
{
	return (pl_count(f->calls));
}
