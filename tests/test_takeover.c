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

/* One tk with the fences it sent and what it told the dispatcher. */
struct rig {
	struct ck *clock;
	struct ct *counters;
	struct cs *state;
	struct tk *tk;
	uint64_t revision;
	unsigned variant;
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
	agent_up(r, 1, "e1", 11, WALL - 60000);
	agent_up(r, 2, "e2", 12, WALL - 50000);
	return (r);
}

/* Guards against a takeover that never ends, or ends before the wait. */
static void
test_removed_owner(void **state)
{
	struct rig *r;
	unsigned p;

	(void)state;
	r = pair(0, &p);
	assert_int_equal(DP_FOREIGN, tk_state(r->tk, p));
	remove_entry(r, "entry-2", OTHER);
	assert_int_equal(DP_GATHERING, tk_state(r->tk, p));
	assert_int_equal(r->revision, r->fence[1].view);
	assert_true((r->fence[1].partitions & pt_bit(p)) != 0);
	answer(r, 1, 11, WALL - 60000, 0);
	answer(r, 2, 12, WALL - 50000, 0);
	pass(r, 500);
	tk_accepted(r->tk, r->revision);
	pass(r, TK_WAIT_MS - 10);
	assert_int_equal(DP_GATHERING, tk_state(r->tk, p));
	pass(r, 20);
	/* The agents are asked again whether they still are the same. */
	answer(r, 1, 11, WALL - 60000, 0);
	answer(r, 2, 12, WALL - 50000, 0);
	assert_int_equal(DP_ACTIVE, tk_state(r->tk, p));
	assert_int_equal(r->revision, r->view[p]);
	assert_int_equal(WALL - 50000, r->wall[p]);
	rig_free(r);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_removed_owner),
	};

	lg_open("test_takeover", LOG_ERR);
	return (cmocka_run_group_tests(tests, NULL, NULL));
}
