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

#define WALL_MS 1767225600000
/* Incarnations of entry-1, which is the entry under test, -2 and -3. */
#define SELF 0xa
#define OTHER 0xb
#define THIRD 0xc
#define PROBE_WAIT_MS 600                /* longer than TK_PROBE_TIMEOUT_MS */
#define AGENT_START_MS (WALL_MS - 60000) /* wall clock */

/* A tk, the fences that it sent and the partition states that it reported. */
struct fixture {
	struct ck *clock;
	struct ct *counters;
	struct cs *state;
	struct tk *tk;
	uint64_t revision;
	unsigned nreports[PD_PARTITIONS];
	enum dp_partition_state last_state[PD_PARTITIONS];
	bool complete[PD_PARTITIONS];
	uint64_t wall_ms[PD_PARTITIONS];
	uint64_t view[PD_PARTITIONS];
	struct pd_fence last_fence[8]; /* by agent handle */
	unsigned nfences[8];           /* by agent handle */
	unsigned nrecords;
};

static void
on_fence(void *arg, dp_agent agent, const struct pd_fence *fence)
{
	struct fixture *f = arg;

	f->last_fence[agent] = *fence;
	f->nfences[agent]++;
}

static void
on_record(void *arg, dp_agent agent, const struct pd_record *rec)
{
	struct fixture *f = arg;

	(void)agent;
	(void)rec;
	f->nrecords++;
}

static void
on_partition(void *arg, unsigned p, enum dp_partition_state state,
    uint64_t view, bool complete, uint64_t wall)
{
	struct fixture *f = arg;

	f->nreports[p]++;
	f->last_state[p] = state;
	f->view[p] = view;
	f->complete[p] = complete;
	f->wall_ms[p] = wall;
}

static const struct tk_ops ops = {on_fence, on_record, on_partition};

static struct fixture *
fixture_new(unsigned variant)
{
	struct fixture *f;

	f = g_new0(struct fixture, 1);
	f->clock = ck_new_manual(100000, WALL_MS);
	f->counters = ct_new();
	f->state = cs_new();
	f->tk = tk_new(f->clock, f->counters, &ops, f);
	tk_set_variant(f->tk, variant);
	return (f);
}

static void
fixture_free(struct fixture *f)
{
	tk_free(f->tk);
	cs_free(f->state);
	ct_free(f->counters);
	ck_free(f->clock);
	g_free(f);
}

static void __attribute__((format(printf, 2, 3)))
apply(struct fixture *f, const char *fmt, ...)
{
	char body[512], json[640], error[128];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(body, sizeof(body), fmt, ap);
	va_end(ap);
	f->revision++;
	snprintf(json, sizeof(json), "{\"change_id\":\"c%" PRIu64 "\",%s}",
	    f->revision, body);
	assert_int_equal(
	    CS_OK, cs_apply(f->state, f->revision, json, error, sizeof(error)));
	tk_configure(f->tk, f->state, SELF);
}

static void
add_entry(struct fixture *f, const char *name, unsigned incarnation)
{
	apply(f,
	    "\"kind\":\"entry_add\",\"name\":\"%s\",\"incarnation\":\"%x\","
	    "\"address\":\"127.0.0.1:%u\",\"az\":\"armor\"",
	    name, incarnation, 8000 + incarnation);
}

static void
remove_entry(struct fixture *f, const char *name, unsigned incarnation)
{
	apply(f,
	    "\"kind\":\"entry_remove\",\"name\":\"%s\",\"incarnation\":\"%x\"",
	    name, incarnation);
}

static void
add_endpoint(struct fixture *f, const char *name)
{
	apply(f,
	    "\"kind\":\"endpoint_put\",\"name\":\"%s\",\"az\":\"armor\","
	    "\"service\":\"order-desk\",\"worker\":\"w\",\"owner\":\"lids\","
	    "\"slots\":8",
	    name);
}

static void
agent_up(struct fixture *f, dp_agent handle, const char *name,
    uint64_t incarnation, uint64_t started_ms)
{
	struct pd_hello h;

	memset(&h, 0, sizeof(h));
	h.name = (char *)(uintptr_t)name;
	h.incarnation = incarnation;
	h.started_ms = started_ms;
	tk_agent_up(f->tk, handle, &h);
}

/* Replies to the latest fence of an agent; @next is the cursor of the next
 * page. */
static void
answer_fence(struct fixture *f, dp_agent handle, uint64_t incarnation,
    uint64_t started_ms, uint64_t next)
{
	struct pd_fence_reply reply;
	struct pd_fence asked;

	memset(&reply, 0, sizeof(reply));
	reply.incarnation = incarnation;
	reply.started_ms = started_ms;
	reply.next = next;
	asked = f->last_fence[handle];
	tk_fence_reply(f->tk, handle, &asked, &reply);
}

static void
advance_ms(struct fixture *f, uint64_t ms)
{
	while (ms > 0) {
		ck_advance_ms(f->clock, 10);
		tk_tick(f->tk);
		ms = ms > 10 ? ms - 10 : 0;
	}
}

/* A partition that entry-2 owns. */
static unsigned
partition_of_other(const struct fixture *f)
{
	unsigned p;

	for (p = 0; p < PD_PARTITIONS; p++) {
		if (cs_owner(f->state, p)->incarnation == OTHER)
			return (p);
	}
	fail();
	return (0);
}

/* Registers this entry, entry-2 and two endpoints whose agents are connected;
 * sets @p to a partition that passed to entry-2. */
static struct fixture *
two_entries(unsigned variant, unsigned *p)
{
	struct fixture *f;

	f = fixture_new(variant);
	add_endpoint(f, "e1");
	add_endpoint(f, "e2");
	add_entry(f, "entry-1", SELF);
	add_entry(f, "entry-2", OTHER);
	tk_accepted(f->tk, f->revision);
	*p = partition_of_other(f);
	agent_up(f, 1, "e1", 11, AGENT_START_MS);
	agent_up(f, 2, "e2", 12, WALL_MS - 50000);
	return (f);
}

/* Both agents reply to the latest fences. */
static void
answer_both_fences(struct fixture *f)
{
	answer_fence(f, 1, 11, AGENT_START_MS, 0);
	answer_fence(f, 2, 12, WALL_MS - 50000, 0);
}

/* Guards against a takeover that ends before the permits of a removed owner
 * have expired, or that never ends. */
static void
test_removed_owner(void **state)
{
	struct fixture *f;
	unsigned p;

	(void)state;
	f = two_entries(0, &p);
	assert_int_equal(DP_FOREIGN, tk_partition_state(f->tk, p));
	remove_entry(f, "entry-2", OTHER);
	assert_int_equal(DP_GATHERING, tk_partition_state(f->tk, p));
	assert_int_equal(f->revision, f->last_fence[1].view);
	assert_true((f->last_fence[1].partitions & pt_bit(p)) != 0);
	answer_both_fences(f);
	/* The wait starts only when the change is known to be accepted. */
	advance_ms(f, 5000);
	assert_int_equal(DP_GATHERING, tk_partition_state(f->tk, p));
	tk_accepted(f->tk, f->revision);
	advance_ms(f, TK_PERMIT_WAIT_MS - 10);
	assert_int_equal(DP_GATHERING, tk_partition_state(f->tk, p));
	advance_ms(f, 20);
	/* The agents are probed before the partition becomes active. */
	assert_true(f->last_fence[1].partitions == 0);
	answer_both_fences(f);
	assert_int_equal(DP_ACTIVE, tk_partition_state(f->tk, p));
	assert_int_equal(f->revision, f->view[p]);
	fixture_free(f);

	f = two_entries(TK_V_NO_WAIT, &p);
	remove_entry(f, "entry-2", OTHER);
	answer_both_fences(f);
	answer_both_fences(f);
	assert_int_equal(DP_ACTIVE, tk_partition_state(f->tk, p));
	fixture_free(f);
}

/* Guards against a wait for a former owner that holds the revision of its
 * removal, and against no wait for one that holds only an older revision. */
static void
test_confirmed_owner(void **state)
{
	struct fixture *f;
	unsigned p;

	(void)state;
	f = two_entries(0, &p);
	remove_entry(f, "entry-2", OTHER);
	answer_both_fences(f);
	tk_confirmed(f->tk, OTHER, f->revision - 1);
	advance_ms(f, 100);
	assert_int_equal(DP_GATHERING, tk_partition_state(f->tk, p));
	tk_confirmed(f->tk, OTHER, f->revision);
	advance_ms(f, 10);
	answer_both_fences(f);
	assert_int_equal(DP_ACTIVE, tk_partition_state(f->tk, p));
	fixture_free(f);

	/* It may be known to hold the revision before this entry holds it. */
	f = two_entries(0, &p);
	tk_confirmed(f->tk, OTHER, f->revision + 1);
	remove_entry(f, "entry-2", OTHER);
	answer_both_fences(f);
	answer_both_fences(f);
	assert_int_equal(DP_ACTIVE, tk_partition_state(f->tk, p));
	fixture_free(f);

	f = two_entries(TK_V_ALWAYS_WAIT, &p);
	tk_confirmed(f->tk, OTHER, f->revision + 1);
	remove_entry(f, "entry-2", OTHER);
	answer_both_fences(f);
	answer_both_fences(f);
	assert_int_equal(DP_GATHERING, tk_partition_state(f->tk, p));
	fixture_free(f);
}

/* Guards against a wait for an entry that a new incarnation at the same address
 * has replaced. */
static void
test_replaced_owner(void **state)
{
	struct fixture *f;
	unsigned p;

	(void)state;
	f = fixture_new(0);
	add_endpoint(f, "e1");
	add_entry(f, "entry-1", OTHER);
	agent_up(f, 1, "e1", 11, AGENT_START_MS);
	apply(f,
	    "\"kind\":\"entry_replace\",\"name\":\"entry-1\",\"incarnation\":"
	    "\"%x\",\"previous\":\"%x\"",
	    SELF, OTHER);
	answer_fence(f, 1, 11, AGENT_START_MS, 0);
	answer_fence(f, 1, 11, AGENT_START_MS, 0);
	for (p = 0; p < PD_PARTITIONS; p++) {
		assert_int_equal(DP_ACTIVE, tk_partition_state(f->tk, p));
		assert_int_equal(AGENT_START_MS, f->wall_ms[p]);
		assert_false(f->complete[p]);
	}
	fixture_free(f);
}

/* Guards against a gather for partitions that had no owner before. */
static void
test_first_owner(void **state)
{
	struct fixture *f;
	unsigned p;

	(void)state;
	f = fixture_new(0);
	add_endpoint(f, "e1");
	agent_up(f, 1, "e1", 11, AGENT_START_MS);
	add_entry(f, "entry-1", SELF);
	for (p = 0; p < PD_PARTITIONS; p++) {
		assert_int_equal(DP_ACTIVE, f->last_state[p]);
		assert_true(f->complete[p]);
		assert_int_equal(0, f->wall_ms[p]);
	}
	assert_int_equal(0, f->nfences[1]);
	add_entry(f, "entry-2", OTHER);
	p = partition_of_other(f);
	assert_int_equal(DP_FOREIGN, f->last_state[p]);
	assert_int_equal(2, f->nreports[p]);
	fixture_free(f);
}

/* A partition that passes from entry-2 to entry-3 and then to this entry, as
 * they are removed. */
static unsigned
partition_of_both(void)
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

/* State of such a partition when the wait for entry-2 is nearly over and
 * entry-3 has stopped. */
static enum dp_partition_state
state_after_two_owners(unsigned variant)
{
	enum dp_partition_state state;
	struct fixture *f;
	unsigned p;

	f = two_entries(variant, &p);
	add_entry(f, "entry-3", THIRD);
	p = partition_of_both();
	remove_entry(f, "entry-2", OTHER);
	tk_accepted(f->tk, f->revision);
	advance_ms(f, 1000);
	remove_entry(f, "entry-3", THIRD);
	tk_accepted(f->tk, f->revision);
	tk_confirmed(f->tk, THIRD, f->revision);
	answer_both_fences(f);
	advance_ms(f, TK_PERMIT_WAIT_MS - 1010);
	answer_both_fences(f);
	state = tk_partition_state(f->tk, p);
	if (state == DP_GATHERING) {
		advance_ms(f, 20);
		answer_both_fences(f);
		assert_int_equal(DP_ACTIVE, tk_partition_state(f->tk, p));
	}
	fixture_free(f);
	return (state);
}

/* Guards against a takeover that waits only for the latest former owner:
 * permits of an earlier one may still be valid when the latest has stopped. */
static void
test_two_former_owners(void **state)
{
	(void)state;
	assert_int_equal(DP_GATHERING, state_after_two_owners(0));
	assert_int_equal(
	    DP_ACTIVE, state_after_two_owners(TK_V_LAST_OWNER_ONLY));
}

/* Guards against an entry that starts from a snapshot and does not wait for a
 * former owner that the snapshot does not show. */
static void
test_start_from_snapshot(void **state)
{
	struct fixture *f;
	struct tk *old;
	unsigned p;

	(void)state;
	f = two_entries(0, &p);
	remove_entry(f, "entry-2", OTHER);
	remove_entry(f, "entry-1", SELF);
	old = f->tk;
	f->tk = tk_new(f->clock, f->counters, &ops, f);
	tk_free(old);
	tk_configure(f->tk, f->state, SELF);
	add_entry(f, "entry-1", SELF);
	tk_accepted(f->tk, f->revision);
	advance_ms(f, TK_PERMIT_WAIT_MS - 10);
	assert_int_equal(DP_GATHERING, tk_partition_state(f->tk, p));
	advance_ms(f, PROBE_WAIT_MS);
	assert_int_equal(DP_ACTIVE, tk_partition_state(f->tk, p));
	assert_int_equal(ck_wall_ms(f->clock) / 1000, f->wall_ms[p] / 1000);
	fixture_free(f);
}

/* Guards against an entry that misses changes and keeps a partition active that
 * another entry may have owned in between. */
static void
test_missed_changes(void **state)
{
	struct fixture *f;
	unsigned p;

	(void)state;
	f = two_entries(0, &p);
	for (p = 0; cs_owner(f->state, p)->incarnation != SELF;)
		p++;
	assert_int_equal(DP_ACTIVE, tk_partition_state(f->tk, p));
	f->revision++;
	assert_int_equal(CS_OK,
	    cs_apply(f->state, f->revision,
		"{\"change_id\":\"m1\",\"kind\":\"entry_remove\",\"name\":"
		"\"entry-2\",\"incarnation\":\"b\"}",
		NULL, 0));
	apply(f, "\"kind\":\"team_put\",\"name\":\"lids\"");
	assert_int_equal(DP_GATHERING, tk_partition_state(f->tk, p));
	fixture_free(f);
}

/* Guards against a takeover that waits forever for an agent that does not
 * answer, and against records that stay incomplete when it reconnects. */
static void
test_agent_reconnects(void **state)
{
	struct pd_fence_reply reply;
	struct pd_record rec;
	struct fixture *f;
	uint64_t takeover;
	unsigned p;

	(void)state;
	f = two_entries(0, &p);
	tk_agent_down(f->tk, 2);
	remove_entry(f, "entry-2", OTHER);
	tk_confirmed(f->tk, OTHER, f->revision);
	answer_fence(f, 1, 11, AGENT_START_MS, 0);
	advance_ms(f, 10);
	answer_fence(f, 1, 11, AGENT_START_MS, 0);
	advance_ms(f, TK_GATHER_TIMEOUT_MS - 30);
	assert_int_equal(DP_GATHERING, tk_partition_state(f->tk, p));
	advance_ms(f, 30);
	assert_int_equal(DP_ACTIVE, tk_partition_state(f->tk, p));
	takeover = ck_wall_ms(f->clock);
	assert_false(f->complete[p]);
	assert_true(takeover - f->wall_ms[p] <= 20);
	advance_ms(f, 1000);

	agent_up(f, 3, "e2", 12, WALL_MS - 50000);
	assert_int_equal(f->view[p], f->last_fence[3].view);
	assert_true((f->last_fence[3].partitions & pt_bit(p)) != 0);
	memset(&rec, 0, sizeof(rec));
	rec.key.sub.id = (char[]){"order-17"};
	while (pt_partition(&rec.key.sub) != p)
		rec.key.sub.created_ms++;
	memset(&reply, 0, sizeof(reply));
	reply.incarnation = 12;
	reply.started_ms = WALL_MS - 50000;
	reply.list.list_len = 1;
	reply.list.list_val = &rec;
	tk_fence_reply(f->tk, 3, &f->last_fence[3], &reply);
	assert_int_equal(1, f->nrecords);
	assert_int_equal(DP_ACTIVE, f->last_state[p]);
	assert_int_equal(WALL_MS - 50000, f->wall_ms[p]);
	fixture_free(f);
}

/* Guards against taking the records of an agent as complete when it started
 * only after the takeover. */
static void
test_agent_restarted_later(void **state)
{
	struct fixture *f;
	uint64_t wall;
	unsigned p;

	(void)state;
	f = two_entries(0, &p);
	tk_agent_down(f->tk, 2);
	remove_entry(f, "entry-2", OTHER);
	tk_confirmed(f->tk, OTHER, f->revision);
	answer_fence(f, 1, 11, AGENT_START_MS, 0);
	advance_ms(f, 3000);
	assert_int_equal(DP_ACTIVE, tk_partition_state(f->tk, p));
	wall = f->wall_ms[p];
	agent_up(f, 3, "e2", 13, ck_wall_ms(f->clock));
	answer_fence(f, 3, 13, ck_wall_ms(f->clock), 0);
	assert_int_equal(wall, f->wall_ms[p]);
	assert_false(f->complete[p]);
	fixture_free(f);
}

/* Age of the youngest start records that count as lost when e2 answers its
 * fence but not the probe, since it may have restarted during the wait. */
static uint64_t
age_of_lost_records(unsigned variant)
{
	struct fixture *f;
	uint64_t age;
	unsigned p;

	f = two_entries(variant, &p);
	remove_entry(f, "entry-2", OTHER);
	tk_accepted(f->tk, f->revision);
	answer_both_fences(f);
	advance_ms(f, TK_PERMIT_WAIT_MS + 10);
	answer_fence(f, 1, 11, AGENT_START_MS, 0);
	advance_ms(f, PROBE_WAIT_MS);
	assert_int_equal(DP_ACTIVE, tk_partition_state(f->tk, p));
	age = ck_wall_ms(f->clock) - f->wall_ms[p];
	fixture_free(f);
	return (age);
}

/* Guards against relying on a fence that an agent may have lost in a restart
 * while the former owner could still give it tasks. */
static void
test_agent_restarts_during_wait(void **state)
{
	(void)state;
	assert_true(age_of_lost_records(0) < 1000);
	assert_true(age_of_lost_records(TK_V_NO_PROBE) > 50000);
}

/* Guards against running ids that are older than an agent: an agent keeps no
 * records of tasks from before its start. */
static void
test_ids_older_than_agent(void **state)
{
	struct fixture *f;
	unsigned p;

	(void)state;
	f = two_entries(0, &p);
	remove_entry(f, "entry-2", OTHER);
	tk_confirmed(f->tk, OTHER, f->revision);
	answer_both_fences(f);
	advance_ms(f, 10);
	answer_both_fences(f);
	assert_int_equal(DP_ACTIVE, tk_partition_state(f->tk, p));
	assert_false(f->complete[p]);
	assert_int_equal(WALL_MS - 50000, f->wall_ms[p]);
	fixture_free(f);

	f = two_entries(TK_V_IGNORE_AGENT_START, &p);
	remove_entry(f, "entry-2", OTHER);
	tk_confirmed(f->tk, OTHER, f->revision);
	answer_both_fences(f);
	advance_ms(f, 10);
	answer_both_fences(f);
	assert_true(f->complete[p]);
	fixture_free(f);
}

/* Up to which wall clock time records count as lost after a takeover for which
 * @handle of the agent of e2 answers. */
static uint64_t
lost_until(struct fixture *f, unsigned p, dp_agent handle, uint64_t incarnation,
    uint64_t started_ms)
{
	unsigned round;

	remove_entry(f, "entry-2", OTHER);
	tk_confirmed(f->tk, OTHER, f->revision);
	for (round = 0; round < 2; round++) {
		answer_fence(f, 1, 11, AGENT_START_MS, 0);
		answer_fence(f, handle, incarnation, started_ms, 0);
		advance_ms(f, 10);
	}
	assert_int_equal(DP_ACTIVE, tk_partition_state(f->tk, p));
	return (f->wall_ms[p]);
}

/* Guards against a second start of a task whose record is at another process of
 * the same agent, which was up together with the process that is gathered. */
static void
test_overlapping_agents(void **state)
{
	struct fixture *f;
	uint64_t heard;
	unsigned p;

	(void)state;
	/* The earlier process connects again after the later one. */
	f = two_entries(0, &p);
	agent_up(f, 3, "e2", 13, WALL_MS - 10000);
	advance_ms(f, 5000);
	heard = ck_wall_ms(f->clock);
	agent_up(f, 2, "e2", 12, WALL_MS - 50000);
	advance_ms(f, 1000);
	assert_true(lost_until(f, p, 2, 12, WALL_MS - 50000) >= heard);
	fixture_free(f);

	/* The later process connects while the earlier one is connected. */
	f = two_entries(0, &p);
	advance_ms(f, 5000);
	heard = ck_wall_ms(f->clock);
	agent_up(f, 3, "e2", 13, WALL_MS - 10000);
	advance_ms(f, 1000);
	assert_true(lost_until(f, p, 3, 13, WALL_MS - 10000) >= heard);
	fixture_free(f);

	/* A process that starts after the end of the earlier one. */
	f = two_entries(0, &p);
	tk_agent_down(f->tk, 2);
	advance_ms(f, 5000);
	agent_up(f, 3, "e2", 13, WALL_MS + 4000);
	advance_ms(f, 1000);
	assert_int_equal(
	    WALL_MS + 4000, lost_until(f, p, 3, 13, WALL_MS + 4000));
	fixture_free(f);
}

static bool
is_replaced(struct fixture *f, const char *name, uint64_t incarnation)
{
	struct pd_hello h = {0};

	h.name = (char *)(uintptr_t)name;
	h.incarnation = incarnation;
	return (tk_agent_is_replaced(f->tk, &h));
}

/* Guards against two processes of an agent that end each other's sessions, so
 * that no result arrives, and against a refused one whose records are taken for
 * known. */
static void
test_replaced_agent(void **state)
{
	struct fixture *f;
	uint64_t heard;
	unsigned p;

	(void)state;
	f = two_entries(0, &p);
	assert_false(is_replaced(f, "e2", 12));
	assert_false(is_replaced(f, "e2", 13));
	agent_up(f, 3, "e2", 13, WALL_MS - 10000);
	assert_true(is_replaced(f, "e2", 12));
	assert_false(is_replaced(f, "e2", 13));
	assert_false(is_replaced(f, "e1", 12));
	assert_false(is_replaced(f, "e3", 12));
	advance_ms(f, 5000);
	heard = ck_wall_ms(f->clock);
	assert_true(is_replaced(f, "e2", 12));
	assert_true(lost_until(f, p, 3, 13, WALL_MS - 10000) >= heard);
	/* It may connect again when the successor has no session. */
	tk_agent_down(f->tk, 3);
	assert_false(is_replaced(f, "e2", 12));
	fixture_free(f);
}

/* Guards against failed fences that are not sent again, and against replies
 * that are taken for another page, view or agent process. */
static void
test_fence_replies(void **state)
{
	struct pd_fence_reply reply;
	struct pd_fence old;
	struct fixture *f;
	unsigned p, sent;

	(void)state;
	f = two_entries(0, &p);
	add_entry(f, "entry-3", THIRD);
	remove_entry(f, "entry-2", OTHER);
	tk_confirmed(f->tk, OTHER, f->revision);
	tk_confirmed(f->tk, THIRD, f->revision + 1);
	old = f->last_fence[1];
	sent = f->nfences[1];
	tk_fence_failed(f->tk, 1, &old);
	advance_ms(f, 150);
	assert_int_equal(sent, f->nfences[1]);
	advance_ms(f, 100);
	assert_int_equal(sent + 1, f->nfences[1]);
	memset(&reply, 0, sizeof(reply));
	reply.incarnation = 11;
	reply.refused = TRUE;
	tk_fence_reply(f->tk, 1, &f->last_fence[1], &reply);
	advance_ms(f, 250);
	assert_int_equal(sent + 2, f->nfences[1]);
	answer_fence(f, 1, 99, AGENT_START_MS, 0); /* other incarnation */
	advance_ms(f, 250);
	assert_int_equal(sent + 3, f->nfences[1]);
	answer_fence(f, 1, 11, AGENT_START_MS, 5); /* more pages */
	assert_int_equal(sent + 4, f->nfences[1]);
	assert_int_equal(5, f->last_fence[1].cursor);

	/* Partitions that are gained in the next view are gathered anew; the
	 * reply to the fence of the old view does not count for them. */
	old = f->last_fence[1];
	remove_entry(f, "entry-3", THIRD);
	old.partitions = UINT64_MAX;
	memset(&reply, 0, sizeof(reply));
	reply.incarnation = 11;
	tk_fence_reply(f->tk, 1, &old, &reply);
	assert_int_equal(f->revision, f->last_fence[1].view);
	assert_true(f->last_fence[1].partitions != 0);
	for (sent = 0; sent < 4; sent++) {
		answer_both_fences(f);
		advance_ms(f, 10);
	}
	for (p = 0; p < PD_PARTITIONS; p++)
		assert_int_equal(DP_ACTIVE, tk_partition_state(f->tk, p));
	fixture_free(f);
}

/* Guards against an entry that remains owner after its removal, or that waits
 * for itself when it registers again. */
static void
test_rejoin(void **state)
{
	struct fixture *f;
	unsigned p;

	(void)state;
	f = two_entries(0, &p);
	for (p = 0; cs_owner(f->state, p)->incarnation != SELF;)
		p++;
	remove_entry(f, "entry-1", SELF);
	assert_int_equal(DP_FOREIGN, tk_partition_state(f->tk, p));
	tk_confirmed(f->tk, OTHER, f->revision + 1);
	f->revision++;
	assert_int_equal(CS_OK,
	    cs_apply(f->state, f->revision,
		"{\"change_id\":\"m1\",\"kind\":\"entry_add\",\"name\":"
		"\"entry-1\",\"incarnation\":\"d\",\"address\":"
		"\"127.0.0.1:8010\",\"az\":\"armor\"}",
		NULL, 0));
	tk_configure(f->tk, f->state, 0xd);
	assert_int_equal(DP_GATHERING, tk_partition_state(f->tk, p));
	answer_both_fences(f);
	advance_ms(f, 10);
	answer_both_fences(f);
	assert_int_equal(DP_ACTIVE, tk_partition_state(f->tk, p));
	fixture_free(f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_removed_owner),
	    cmocka_unit_test(test_confirmed_owner),
	    cmocka_unit_test(test_replaced_owner),
	    cmocka_unit_test(test_first_owner),
	    cmocka_unit_test(test_two_former_owners),
	    cmocka_unit_test(test_start_from_snapshot),
	    cmocka_unit_test(test_missed_changes),
	    cmocka_unit_test(test_agent_reconnects),
	    cmocka_unit_test(test_agent_restarted_later),
	    cmocka_unit_test(test_agent_restarts_during_wait),
	    cmocka_unit_test(test_ids_older_than_agent),
	    cmocka_unit_test(test_overlapping_agents),
	    cmocka_unit_test(test_replaced_agent),
	    cmocka_unit_test(test_fence_replies),
	    cmocka_unit_test(test_rejoin),
	};

	lg_open("test_takeover", LOG_ERR);
	return (cmocka_run_group_tests(tests, NULL, NULL));
}
