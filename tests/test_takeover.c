#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "clock.h"
#include "counters.h"
#include "log.h"
#include "partition.h"
#include "state.h"
#include "takeover_impl.h"

#define WALL 1767225600000
#define SELF 0xa
#define OTHER 0xb
#define THIRD 0xc
#define PROBE_PASS 600       /* more than the time for probes */
#define START (WALL - 60000) /* when the agents started */

/* One tk with the fences it sent and what it told the dispatcher. */
struct rig {
	struct ck *clock;
	struct ct *counters;
	struct cs *state;
	struct tk *tk;
	uint64_t revision;
	unsigned told[PD_PARTITIONS]; /* number of calls */
	enum dp_partition_state last[PD_PARTITIONS];
	bool complete[PD_PARTITIONS];
	uint64_t wall[PD_PARTITIONS];
	uint64_t view[PD_PARTITIONS];
	struct pd_fence fence[8]; /* latest, by agent handle */
	unsigned fences[8];
	unsigned records;
};

static void
on_fence(void *arg, dp_agent agent, const struct pd_fence *f)
{
	struct rig *r = arg;

	r->fence[agent] = *f;
	r->fences[agent]++;
}

static void
on_record(void *arg, dp_agent agent, const struct pd_record *rec)
{
	struct rig *r = arg;

	(void)agent;
	(void)rec;
	r->records++;
}

static void
on_partition(void *arg, unsigned p, enum dp_partition_state state,
    uint64_t view, bool complete, uint64_t wall)
{
	struct rig *r = arg;

	r->told[p]++;
	r->last[p] = state;
	r->view[p] = view;
	r->complete[p] = complete;
	r->wall[p] = wall;
}

static const struct tk_ops ops = {on_fence, on_record, on_partition};

static struct rig *
rig_new(unsigned variant)
{
	struct rig *r;

	r = g_new0(struct rig, 1);
	r->clock = ck_new_manual(100000, WALL);
	r->counters = ct_new();
	r->state = cs_new();
	r->tk = tk_new(r->clock, r->counters, &ops, r);
	tk_set_variant(r->tk, variant);
	return (r);
}

static void
rig_free(struct rig *r)
{
	tk_free(r->tk);
	cs_free(r->state);
	ct_free(r->counters);
	ck_free(r->clock);
	g_free(r);
}

static void __attribute__((format(printf, 2, 3)))
apply(struct rig *r, const char *fmt, ...)
{
	char body[512], json[640], error[128];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(body, sizeof(body), fmt, ap);
	va_end(ap);
	r->revision++;
	snprintf(json, sizeof(json), "{\"change_id\":\"c%" PRIu64 "\",%s}",
	    r->revision, body);
	assert_int_equal(
	    CS_OK, cs_apply(r->state, r->revision, json, error, sizeof(error)));
	tk_configure(r->tk, r->state, SELF);
}

static void
add_entry(struct rig *r, const char *name, unsigned incarnation)
{
	apply(r,
	    "\"kind\":\"entry_add\",\"name\":\"%s\",\"incarnation\":\"%x\","
	    "\"address\":\"127.0.0.1:%u\",\"az\":\"armor\"",
	    name, incarnation, 8000 + incarnation);
}

static void
remove_entry(struct rig *r, const char *name, unsigned incarnation)
{
	apply(r,
	    "\"kind\":\"entry_remove\",\"name\":\"%s\",\"incarnation\":\"%x\"",
	    name, incarnation);
}

static void
add_endpoint(struct rig *r, const char *name)
{
	apply(r,
	    "\"kind\":\"endpoint_put\",\"name\":\"%s\",\"az\":\"armor\","
	    "\"service\":\"order-desk\",\"worker\":\"w\",\"owner\":\"lids\","
	    "\"slots\":8",
	    name);
}

static void
agent_up(struct rig *r, dp_agent handle, const char *name, uint64_t incarnation,
    uint64_t started_ms)
{
	struct pd_hello h;

	memset(&h, 0, sizeof(h));
	h.name = (char *)(uintptr_t)name;
	h.incarnation = incarnation;
	h.started_ms = started_ms;
	tk_agent_up(r->tk, handle, &h);
}

/* Answers the latest fence of an agent. */
static void
answer(struct rig *r, dp_agent handle, uint64_t incarnation,
    uint64_t started_ms, uint64_t next)
{
	struct pd_fence_reply reply;
	struct pd_fence asked;

	memset(&reply, 0, sizeof(reply));
	reply.incarnation = incarnation;
	reply.started_ms = started_ms;
	reply.next = next;
	asked = r->fence[handle];
	tk_fence_reply(r->tk, handle, &asked, &reply);
}

static void
pass(struct rig *r, uint64_t ms)
{
	while (ms > 0) {
		ck_advance_ms(r->clock, 10);
		tk_tick(r->tk);
		ms = ms > 10 ? ms - 10 : 0;
	}
}

/* A partition that entry-2 takes from entry-1 when it joins. */
static unsigned
moving(const struct rig *r)
{
	unsigned p;

	for (p = 0; p < PD_PARTITIONS; p++) {
		if (cs_owner(r->state, p)->incarnation == OTHER)
			return (p);
	}
	fail();
	return (0);
}

/* Two entries, of which this one is active; endpoints e1 and e2. */
static struct rig *
pair(unsigned variant, unsigned *p)
{
	struct rig *r;

	r = rig_new(variant);
	add_endpoint(r, "e1");
	add_endpoint(r, "e2");
	add_entry(r, "entry-1", SELF);
	add_entry(r, "entry-2", OTHER);
	tk_accepted(r->tk, r->revision);
	*p = moving(r);
	agent_up(r, 1, "e1", 11, START);
	agent_up(r, 2, "e2", 12, WALL - 50000);
	return (r);
}

/* Both agents answer the fences they were sent last. */
static void
answer_both(struct rig *r)
{
	answer(r, 1, 11, START, 0);
	answer(r, 2, 12, WALL - 50000, 0);
}

/* Guards against a takeover that ends before the permits of a removed owner
 * have expired, or that never ends. */
static void
test_removed_owner(void **state)
{
	struct rig *r;
	unsigned p;

	(void)state;
	r = pair(0, &p);
	assert_int_equal(DP_FOREIGN, tk_partition_state(r->tk, p));
	remove_entry(r, "entry-2", OTHER);
	assert_int_equal(DP_GATHERING, tk_partition_state(r->tk, p));
	assert_int_equal(r->revision, r->fence[1].view);
	assert_true((r->fence[1].partitions & pt_bit(p)) != 0);
	answer_both(r);
	/* The wait starts when the change is known to be accepted. */
	pass(r, 5000);
	assert_int_equal(DP_GATHERING, tk_partition_state(r->tk, p));
	tk_accepted(r->tk, r->revision);
	pass(r, TK_PERMIT_WAIT_MS - 10);
	assert_int_equal(DP_GATHERING, tk_partition_state(r->tk, p));
	pass(r, 20);
	/* The agents are asked again whether they still are the same. */
	assert_true(r->fence[1].partitions == 0);
	answer_both(r);
	assert_int_equal(DP_ACTIVE, tk_partition_state(r->tk, p));
	assert_int_equal(r->revision, r->view[p]);
	rig_free(r);

	r = pair(TK_V_NO_WAIT, &p);
	remove_entry(r, "entry-2", OTHER);
	answer_both(r);
	answer_both(r);
	assert_int_equal(DP_ACTIVE, tk_partition_state(r->tk, p));
	rig_free(r);
}

/* Guards against a wait after the old owner has stopped by itself, and against
 * skipping it when the old owner holds less than the view. */
static void
test_confirmed(void **state)
{
	struct rig *r;
	unsigned p;

	(void)state;
	r = pair(0, &p);
	remove_entry(r, "entry-2", OTHER);
	answer_both(r);
	tk_confirmed(r->tk, OTHER, r->revision - 1);
	pass(r, 100);
	assert_int_equal(DP_GATHERING, tk_partition_state(r->tk, p));
	tk_confirmed(r->tk, OTHER, r->revision);
	pass(r, 10);
	answer_both(r);
	assert_int_equal(DP_ACTIVE, tk_partition_state(r->tk, p));
	rig_free(r);

	/* It may be heard to hold the view before this entry holds it. */
	r = pair(0, &p);
	tk_confirmed(r->tk, OTHER, r->revision + 1);
	remove_entry(r, "entry-2", OTHER);
	answer_both(r);
	answer_both(r);
	assert_int_equal(DP_ACTIVE, tk_partition_state(r->tk, p));
	rig_free(r);

	r = pair(TK_V_ALWAYS_WAIT, &p);
	tk_confirmed(r->tk, OTHER, r->revision + 1);
	remove_entry(r, "entry-2", OTHER);
	answer_both(r);
	answer_both(r);
	assert_int_equal(DP_GATHERING, tk_partition_state(r->tk, p));
	rig_free(r);
}

/* Guards against a wait for an entry whose address has a successor. */
static void
test_replaced(void **state)
{
	struct rig *r;
	unsigned p;

	(void)state;
	r = rig_new(0);
	add_endpoint(r, "e1");
	add_entry(r, "entry-1", OTHER);
	agent_up(r, 1, "e1", 11, START);
	apply(r,
	    "\"kind\":\"entry_replace\",\"name\":\"entry-1\",\"incarnation\":"
	    "\"%x\",\"previous\":\"%x\"",
	    SELF, OTHER);
	answer(r, 1, 11, START, 0);
	answer(r, 1, 11, START, 0);
	for (p = 0; p < PD_PARTITIONS; p++) {
		assert_int_equal(DP_ACTIVE, tk_partition_state(r->tk, p));
		assert_int_equal(START, r->wall[p]);
		assert_false(r->complete[p]);
	}
	rig_free(r);
}

/* Guards against a gather for partitions that nobody has owned. */
static void
test_first_owner(void **state)
{
	struct rig *r;
	unsigned p;

	(void)state;
	r = rig_new(0);
	add_endpoint(r, "e1");
	agent_up(r, 1, "e1", 11, START);
	add_entry(r, "entry-1", SELF);
	for (p = 0; p < PD_PARTITIONS; p++) {
		assert_int_equal(DP_ACTIVE, r->last[p]);
		assert_true(r->complete[p]);
		assert_int_equal(0, r->wall[p]);
	}
	assert_int_equal(0, r->fences[1]);
	add_entry(r, "entry-2", OTHER);
	p = moving(r);
	assert_int_equal(DP_FOREIGN, r->last[p]);
	assert_int_equal(2, r->told[p]);
	rig_free(r);
}

/* A partition that passes from entry-2 to entry-3 to this entry. */
static unsigned
passing(void)
{
	unsigned p;

	for (p = 0; p < PD_PARTITIONS; p++) {
		if (pt_weight(p, "entry-2") > pt_weight(p, "entry-3") &&
		    pt_weight(p, "entry-3") > pt_weight(p, "entry-1"))
			return (p);
	}
	fail();
	return (0);
}

static enum dp_partition_state
after_two_owners(unsigned variant)
{
	enum dp_partition_state state;
	struct rig *r;
	unsigned p;

	r = pair(variant, &p);
	add_entry(r, "entry-3", THIRD);
	p = passing();
	remove_entry(r, "entry-2", OTHER);
	tk_accepted(r->tk, r->revision);
	pass(r, 1000);
	remove_entry(r, "entry-3", THIRD);
	tk_accepted(r->tk, r->revision);
	tk_confirmed(r->tk, THIRD, r->revision);
	answer_both(r);
	pass(r, TK_PERMIT_WAIT_MS - 1010);
	answer_both(r);
	state = tk_partition_state(r->tk, p);
	if (state == DP_GATHERING) {
		pass(r, 20);
		answer_both(r);
		assert_int_equal(DP_ACTIVE, tk_partition_state(r->tk, p));
	}
	rig_free(r);
	return (state);
}

/* Guards against forgetting an owner before the last one: its permits may be
 * valid although the last owner has stopped. */
static void
test_two_owners(void **state)
{
	(void)state;
	assert_int_equal(DP_GATHERING, after_two_owners(0));
	assert_int_equal(DP_ACTIVE, after_two_owners(TK_V_LAST_OWNER_ONLY));
}

/* Guards against an entry that starts from a snapshot and skips the wait for
 * an owner that it never saw. */
static void
test_snapshot_start(void **state)
{
	struct rig *r;
	struct tk *old;
	unsigned p;

	(void)state;
	r = pair(0, &p);
	remove_entry(r, "entry-2", OTHER);
	remove_entry(r, "entry-1", SELF);
	old = r->tk;
	r->tk = tk_new(r->clock, r->counters, &ops, r);
	tk_free(old);
	tk_configure(r->tk, r->state, SELF);
	add_entry(r, "entry-1", SELF);
	tk_accepted(r->tk, r->revision);
	pass(r, TK_PERMIT_WAIT_MS - 10);
	assert_int_equal(DP_GATHERING, tk_partition_state(r->tk, p));
	pass(r, PROBE_PASS);
	assert_int_equal(DP_ACTIVE, tk_partition_state(r->tk, p));
	assert_int_equal(ck_wall_ms(r->clock) / 1000, r->wall[p] / 1000);
	rig_free(r);
}

/* Guards against an entry that misses changes and keeps a partition that may
 * have been with another one. */
static void
test_missed_changes(void **state)
{
	struct rig *r;
	unsigned p;

	(void)state;
	r = pair(0, &p);
	for (p = 0; cs_owner(r->state, p)->incarnation != SELF;)
		p++;
	assert_int_equal(DP_ACTIVE, tk_partition_state(r->tk, p));
	r->revision++;
	assert_int_equal(CS_OK,
	    cs_apply(r->state, r->revision,
		"{\"change_id\":\"m1\",\"kind\":\"entry_remove\",\"name\":"
		"\"entry-2\",\"incarnation\":\"b\"}",
		NULL, 0));
	apply(r, "\"kind\":\"team_put\",\"name\":\"lids\"");
	assert_int_equal(DP_GATHERING, tk_partition_state(r->tk, p));
	rig_free(r);
}

/* Guards against a takeover that waits for an agent that does not answer, and
 * against records that are never completed when it comes back. */
static void
test_agent_comes_back(void **state)
{
	struct pd_fence_reply reply;
	struct pd_record rec;
	struct rig *r;
	uint64_t takeover;
	unsigned p;

	(void)state;
	r = pair(0, &p);
	tk_agent_down(r->tk, 2);
	remove_entry(r, "entry-2", OTHER);
	tk_confirmed(r->tk, OTHER, r->revision);
	answer(r, 1, 11, START, 0);
	pass(r, 10);
	answer(r, 1, 11, START, 0);
	pass(r, TK_GATHER_TIMEOUT_MS - 30);
	assert_int_equal(DP_GATHERING, tk_partition_state(r->tk, p));
	pass(r, 30);
	assert_int_equal(DP_ACTIVE, tk_partition_state(r->tk, p));
	takeover = ck_wall_ms(r->clock);
	assert_false(r->complete[p]);
	assert_true(takeover - r->wall[p] <= 20);
	pass(r, 1000);

	agent_up(r, 3, "e2", 12, WALL - 50000);
	assert_int_equal(r->view[p], r->fence[3].view);
	assert_true((r->fence[3].partitions & pt_bit(p)) != 0);
	memset(&rec, 0, sizeof(rec));
	rec.key.sub.id = (char[]){"order-17"};
	while (pt_of(&rec.key.sub) != p)
		rec.key.sub.created_ms++;
	memset(&reply, 0, sizeof(reply));
	reply.incarnation = 12;
	reply.started_ms = WALL - 50000;
	reply.list.list_len = 1;
	reply.list.list_val = &rec;
	tk_fence_reply(r->tk, 3, &r->fence[3], &reply);
	assert_int_equal(1, r->records);
	assert_int_equal(DP_ACTIVE, r->last[p]);
	assert_int_equal(WALL - 50000, r->wall[p]);
	rig_free(r);
}

/* Guards against trusting an agent that started after the takeover. */
static void
test_agent_restarted_later(void **state)
{
	struct rig *r;
	uint64_t wall;
	unsigned p;

	(void)state;
	r = pair(0, &p);
	tk_agent_down(r->tk, 2);
	remove_entry(r, "entry-2", OTHER);
	tk_confirmed(r->tk, OTHER, r->revision);
	answer(r, 1, 11, START, 0);
	pass(r, 3000);
	assert_int_equal(DP_ACTIVE, tk_partition_state(r->tk, p));
	wall = r->wall[p];
	agent_up(r, 3, "e2", 13, ck_wall_ms(r->clock));
	answer(r, 3, 13, ck_wall_ms(r->clock), 0);
	assert_int_equal(wall, r->wall[p]);
	assert_false(r->complete[p]);
	rig_free(r);
}

/* Wall clock time up to which ids are too old when an agent restarts during
 * the wait and this entry does not notice. */
static uint64_t
restarted_in_wait(unsigned variant)
{
	struct rig *r;
	uint64_t age;
	unsigned p;

	r = pair(variant, &p);
	remove_entry(r, "entry-2", OTHER);
	tk_accepted(r->tk, r->revision);
	answer_both(r);
	pass(r, TK_PERMIT_WAIT_MS + 10);
	answer(r, 1, 11, START, 0);
	pass(r, PROBE_PASS);
	assert_int_equal(DP_ACTIVE, tk_partition_state(r->tk, p));
	age = ck_wall_ms(r->clock) - r->wall[p];
	rig_free(r);
	return (age);
}

/* Guards against trusting a fence that an agent may have lost in a restart
 * while the old owner could still give it work. */
static void
test_agent_restarts_in_wait(void **state)
{
	(void)state;
	assert_true(restarted_in_wait(0) < 1000);
	assert_true(restarted_in_wait(TK_V_NO_PROBE) > 50000);
}

/* Guards against running ids that are older than an agent, which has lost what
 * it started before. */
static void
test_young_agent(void **state)
{
	struct rig *r;
	unsigned p;

	(void)state;
	r = pair(0, &p);
	remove_entry(r, "entry-2", OTHER);
	tk_confirmed(r->tk, OTHER, r->revision);
	answer_both(r);
	pass(r, 10);
	answer_both(r);
	assert_int_equal(DP_ACTIVE, tk_partition_state(r->tk, p));
	assert_false(r->complete[p]);
	assert_int_equal(WALL - 50000, r->wall[p]);
	rig_free(r);

	r = pair(TK_V_IGNORE_AGENT_START, &p);
	remove_entry(r, "entry-2", OTHER);
	tk_confirmed(r->tk, OTHER, r->revision);
	answer_both(r);
	pass(r, 10);
	answer_both(r);
	assert_true(r->complete[p]);
	rig_free(r);
}

/* Guards against fences that are not repeated, and against answers that count
 * for another page, view or process. */
static void
test_fence_answers(void **state)
{
	struct pd_fence_reply reply;
	struct pd_fence old;
	struct rig *r;
	unsigned p, sent;

	(void)state;
	r = pair(0, &p);
	add_entry(r, "entry-3", THIRD);
	remove_entry(r, "entry-2", OTHER);
	tk_confirmed(r->tk, OTHER, r->revision);
	tk_confirmed(r->tk, THIRD, r->revision + 1);
	old = r->fence[1];
	sent = r->fences[1];
	tk_fence_failed(r->tk, 1, &old);
	pass(r, 150);
	assert_int_equal(sent, r->fences[1]);
	pass(r, 100);
	assert_int_equal(sent + 1, r->fences[1]);
	memset(&reply, 0, sizeof(reply));
	reply.incarnation = 11;
	reply.refused = TRUE;
	tk_fence_reply(r->tk, 1, &r->fence[1], &reply);
	pass(r, 250);
	assert_int_equal(sent + 2, r->fences[1]);
	answer(r, 1, 99, START, 0); /* another process */
	pass(r, 250);
	assert_int_equal(sent + 3, r->fences[1]);
	answer(r, 1, 11, START, 5); /* more pages */
	assert_int_equal(sent + 4, r->fences[1]);
	assert_int_equal(5, r->fence[1].cursor);

	/* The gather starts anew for partitions that come with the next view,
	 * and the answer to the old fence does not count for them. */
	old = r->fence[1];
	remove_entry(r, "entry-3", THIRD);
	old.partitions = UINT64_MAX;
	memset(&reply, 0, sizeof(reply));
	reply.incarnation = 11;
	tk_fence_reply(r->tk, 1, &old, &reply);
	assert_int_equal(r->revision, r->fence[1].view);
	assert_true(r->fence[1].partitions != 0);
	for (sent = 0; sent < 4; sent++) {
		answer_both(r);
		pass(r, 10);
	}
	for (p = 0; p < PD_PARTITIONS; p++)
		assert_int_equal(DP_ACTIVE, tk_partition_state(r->tk, p));
	rig_free(r);
}

/* Guards against an entry that goes on as owner after it was removed, or that
 * waits for itself when it rejoins. */
static void
test_rejoin(void **state)
{
	struct rig *r;
	unsigned p;

	(void)state;
	r = pair(0, &p);
	for (p = 0; cs_owner(r->state, p)->incarnation != SELF;)
		p++;
	remove_entry(r, "entry-1", SELF);
	assert_int_equal(DP_FOREIGN, tk_partition_state(r->tk, p));
	tk_confirmed(r->tk, OTHER, r->revision + 1);
	r->revision++;
	assert_int_equal(CS_OK,
	    cs_apply(r->state, r->revision,
		"{\"change_id\":\"m1\",\"kind\":\"entry_add\",\"name\":"
		"\"entry-1\",\"incarnation\":\"d\",\"address\":"
		"\"127.0.0.1:8010\",\"az\":\"armor\"}",
		NULL, 0));
	tk_configure(r->tk, r->state, 0xd);
	assert_int_equal(DP_GATHERING, tk_partition_state(r->tk, p));
	answer_both(r);
	pass(r, 10);
	answer_both(r);
	assert_int_equal(DP_ACTIVE, tk_partition_state(r->tk, p));
	rig_free(r);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_removed_owner),
	    cmocka_unit_test(test_confirmed),
	    cmocka_unit_test(test_replaced),
	    cmocka_unit_test(test_first_owner),
	    cmocka_unit_test(test_two_owners),
	    cmocka_unit_test(test_snapshot_start),
	    cmocka_unit_test(test_missed_changes),
	    cmocka_unit_test(test_agent_comes_back),
	    cmocka_unit_test(test_agent_restarted_later),
	    cmocka_unit_test(test_agent_restarts_in_wait),
	    cmocka_unit_test(test_young_agent),
	    cmocka_unit_test(test_fence_answers),
	    cmocka_unit_test(test_rejoin),
	};

	lg_open("test_takeover", LOG_ERR);
	return (cmocka_run_group_tests(tests, NULL, NULL));
}
