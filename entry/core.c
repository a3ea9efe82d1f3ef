#include <event2/event.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "clock.h"
#include "core.h"
#include "counters.h"
#include "dispatch.h"
#include "forward.h"
#include "history.h"
#include "kernel.h"
#include "log.h"
#include "member.h"
#include "options.h"
#include "peers.h"
#include "policy.h"
#include "rng.h"
#include "sessions.h"
#include "store.h"
#include "takeover.h"

#define TICK_PERIOD_MS 10
#define MEMBER_TICK_PERIOD_MS 50
#define US_PER_MS 1000
#define MS_PER_S 1000
#define CLOCK_ERROR_MS 2000
#define SNAPSHOT_INTERVAL_REVISIONS 256
#define HISTORY_SUBMISSIONS_MAX 4096
#define HISTORY_EVENTS_MAX 64

struct cr {
	struct kn *kernel;
	struct mb *member;
	struct dp *dispatch;
	struct tk *takeover;
	struct sr *store;
	struct pe *peers;
	struct ss *sessions;
	struct fw *forward;
	struct event *tick;
	struct event *member_tick;
	uint64_t view;
	bool verified;
};

static void
on_scan(void *arg, uint64_t after)
{
	struct cr *c = arg;

	sr_scan(c->store, after);
}

static void
on_insert(void *arg, uint64_t revision, const char *json)
{
	struct cr *c = arg;

	sr_insert(c->store, revision, json);
}

static void
on_status(void *arg, const char *address)
{
	struct cr *c = arg;

	pe_status(c->peers, address);
}

static void
on_fetch(void *arg, const char *address, uint64_t after)
{
	struct cr *c = arg;

	pe_fetch(c->peers, address, after);
}

static void
on_push(void *arg, const char *address, uint64_t after)
{
	struct cr *c = arg;

	pe_push(c->peers, address, after);
}

/* Only the first member writes the snapshot, so that the platform gets one
 * write for it and not one from each entry. */
static void
write_snapshot(struct cr *c, uint64_t revision)
{
	const struct cs_member *members;
	size_t n;

	if (revision % SNAPSHOT_INTERVAL_REVISIONS != 0)
		return;
	members = cs_members(mb_state(c->member), &n);
	if (n > 0 && members[0].incarnation == mb_incarnation(c->member))
		sr_snapshot(
		    c->store, revision, cs_snapshot(mb_state(c->member)));
}

static void
on_applied(void *arg, uint64_t revision)
{
	const struct cs *state;
	struct cr *c = arg;

	state = mb_state(c->member);
	dp_configure(c->dispatch, state);
	tk_configure(c->takeover, state, mb_incarnation(c->member));
	if (cs_view(state) != c->view) {
		c->view = cs_view(state);
		lg_write(LOG_NOTICE, "core", "new view %" PRIu64, c->view);
		pe_configure(c->peers, state);
		fw_view_changed(c->forward);
	}
	write_snapshot(c, revision);
}

static void
on_accepted(void *arg, uint64_t revision)
{
	struct cr *c = arg;

	tk_accepted(c->takeover, revision);
}

static void
on_confirmed(void *arg, uint64_t incarnation, uint64_t revision)
{
	struct cr *c = arg;

	tk_confirmed(c->takeover, incarnation, revision);
}

static const struct mb_ops member_ops = {
    .scan = on_scan,
    .insert = on_insert,
    .status = on_status,
    .fetch = on_fetch,
    .push = on_push,
    .applied = on_applied,
    .accepted = on_accepted,
    .confirmed = on_confirmed,
};

static void
on_grant(void *arg, dp_agent agent, const struct pd_grant *g)
{
	struct cr *c = arg;

	ss_grant(c->sessions, agent, g);
}

static void
on_cancel(void *arg, dp_agent agent, const struct pd_key *k)
{
	struct cr *c = arg;

	ss_cancel(c->sessions, agent, k);
}

static void
on_resolve(void *arg, dp_agent agent, const struct pd_key *keys, size_t n)
{
	struct cr *c = arg;

	ss_resolve(c->sessions, agent, keys, n);
}

static void
on_answer(void *arg, uint64_t waiter, const struct pd_answer *a)
{
	struct cr *c = arg;

	fw_handle_answer(c->forward, waiter, a);
}

static const struct dp_ops dispatch_ops = {
    .grant = on_grant,
    .cancel = on_cancel,
    .resolve = on_resolve,
    .answer = on_answer,
};

static void
on_fence(void *arg, dp_agent agent, const struct pd_fence *f)
{
	struct cr *c = arg;

	ss_fence(c->sessions, agent, f);
}

static void
on_record(void *arg, dp_agent agent, const struct pd_record *r)
{
	struct cr *c = arg;

	dp_gathered_record(c->dispatch, agent, r);
}

static void
on_partition(void *arg, unsigned partition, enum dp_partition_state state,
    uint64_t view, bool records_complete, uint64_t takeover_wall_ms)
{
	struct cr *c = arg;

	dp_set_partition(c->dispatch, partition, state, view, records_complete,
	    takeover_wall_ms);
}

static const struct tk_ops takeover_ops = {
    .fence = on_fence,
    .record = on_record,
    .partition = on_partition,
};

static void
stop_history(void *h)
{
	hi_free(h);
}

static void
stop_dispatch(void *d)
{
	dp_free(d);
}

static void
stop_takeover(void *t)
{
	tk_free(t);
}

static void
stop_member(void *m)
{
	mb_free(m);
}

static struct dp *
dispatch_new(struct cr *c, const struct op *o, uint64_t seed)
{
	struct dp_settings settings = {
	    .retention_ms = (uint64_t)o->life_s * MS_PER_S,
	    .clock_error_ms = CLOCK_ERROR_MS,
	    .submissions_max = (size_t)o->remembered_max,
	    .queue_tasks_max = (size_t)o->queue_tasks_max,
	    .seed = seed,
	};

	return (dp_new(kn_find(c->kernel, "clock"),
	    kn_find(c->kernel, "counters"), kn_find(c->kernel, "history"),
	    po_find(o->policy), &settings, &dispatch_ops, c));
}

static struct mb *
member_new(struct cr *c, const struct op *o, uint64_t seed)
{
	struct mb_identity id = {
	    .name = o->name,
	    .address = o->rpc_address,
	    .az = o->az,
	    .seeds = (const char *const *)o->peers.items,
	    .nseeds = o->peers.count,
	};

	return (mb_new(kn_find(c->kernel, "clock"),
	    kn_find(c->kernel, "counters"), seed, &id, &member_ops, c));
}

struct cr *
cr_new(struct kn *k)
{
	const struct op *o = kn_find(k, "settings");
	struct ck *clock = kn_find(k, "clock");
	struct rn *rng = rn_new_random();
	struct cr *c;

	c = g_new0(struct cr, 1);
	c->kernel = k;
	kn_register(k, "history",
	    hi_new(clock, HISTORY_SUBMISSIONS_MAX, HISTORY_EVENTS_MAX),
	    stop_history);
	c->dispatch = dispatch_new(c, o, rn_u64(rng));
	kn_register(k, "dispatch", c->dispatch, stop_dispatch);
	c->takeover = tk_new(clock, kn_find(k, "counters"), &takeover_ops, c);
	kn_register(k, "takeover", c->takeover, stop_takeover);
	c->member = member_new(c, o, rn_u64(rng));
	kn_register(k, "member", c->member, stop_member);
	rn_free(rng);
	return (c);
}

void
cr_free(struct cr *c)
{
	if (c == NULL)
		return;
	if (c->tick != NULL)
		event_free(c->tick);
	if (c->member_tick != NULL)
		event_free(c->member_tick);
	g_free(c);
}

static void
tick(evutil_socket_t fd, short what, void *arg)
{
	struct cr *c = arg;

	(void)fd;
	(void)what;
	dp_tick(c->dispatch);
	tk_tick(c->takeover);
	fw_tick(c->forward);
}

static void
member_tick(evutil_socket_t fd, short what, void *arg)
{
	struct cr *c = arg;
	uint64_t until_ms;
	bool verified;

	(void)fd;
	(void)what;
	mb_set_agent_count(c->member, (unsigned)ss_agent_count(c->sessions));
	mb_tick(c->member);
	until_ms = mb_verified_until(c->member);
	dp_set_verified(c->dispatch, until_ms);
	verified = until_ms != 0;
	if (verified != c->verified)
		lg_write(LOG_NOTICE, "core", "the configuration is %s",
		    verified ? "verified" : "not verified");
	c->verified = verified;
}

static struct event *
start_timer(struct cr *c, unsigned ms, event_callback_fn fn)
{
	struct timeval tv = {0, (long)ms * US_PER_MS};
	struct event *e;

	e = event_new(
	    kn_find(c->kernel, "loop"), -1, EV_PERSIST | EV_TIMEOUT, fn, c);
	event_add(e, &tv);
	return (e);
}

void
cr_start(struct cr *c)
{
	struct kn *k = c->kernel;

	c->store = kn_find(k, "store");
	c->peers = kn_find(k, "peers");
	c->sessions = kn_find(k, "sessions");
	c->forward = kn_find(k, "forward");
	c->tick = start_timer(c, TICK_PERIOD_MS, tick);
	c->member_tick = start_timer(c, MEMBER_TICK_PERIOD_MS, member_tick);
}
