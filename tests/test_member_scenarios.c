#include "member_fixture.h"

/*
 * Scenarios that hold, and that fail with the mechanism that guards them
 * switched off. Each returns whether all it checks holds.
 */

/* A platform answer is lost after the write: the change is written once. */
static bool
lost_answer(struct cell *c)
{
	struct cell_result r;

	c->lose_insert_answers = true;
	cell_write_change(c, 0, AZ_OUT_CHANGE, 0, &r);
	cell_run(c, 1200);
	c->lose_insert_answers = false;
	cell_run(c, 3000);
	return (r.ended && r.calls == 1 && r.outcome == MB_ACCEPTED &&
	    count_log_rows(c, "az_out") == 1);
}

/* Two operators saw the same revision: one wins, the other sees both. */
static bool
operators_race(struct cell *c)
{
	const struct cell_result *loser;
	struct cell_result a, b;
	uint64_t seen;

	seen = revision_of(c, 0);
	cell_write_change(c, 0, AZ_OUT_CHANGE, seen, &a);
	cell_write_change(c, 1,
	    "{\"change_id\":\"c2\",\"kind\":\"az_out\",\"az\":\"morbihan\"}",
	    seen, &b);
	cell_run(c, 3000);
	if (!a.ended || !b.ended || a.calls != 1 || b.calls != 1)
		return (false);
	if ((a.outcome == MB_ACCEPTED) == (b.outcome == MB_ACCEPTED))
		return (false);
	loser = a.outcome == MB_ACCEPTED ? &b : &a;
	return (loser->outcome == MB_CONFLICT && loser->revision == seen + 1 &&
	    strstr(loser->text, "armor") != NULL &&
	    strstr(loser->text, "morbihan") != NULL);
}

/* Two of four entries are cut off while the others remove them. */
static bool
cut_off_half(struct cell *c)
{
	struct cell_result r;

	c->nodes[2].platform_cut = c->nodes[3].platform_cut = true;
	set_cut(c, 3, 12, true);
	cell_run(c, 20000);
	cell_write_change(c, 0, AZ_OUT_CHANGE, 0, &r);
	cell_run(c, 5000);
	if (r.outcome != MB_ACCEPTED || count_members(c, 0) != 2 ||
	    is_verified(c, 2) || is_verified(c, 3))
		return (false);
	c->nodes[2].platform_cut = c->nodes[3].platform_cut = false;
	set_cut(c, 3, 12, false);
	cell_run(c, 10000);
	return (cell_count_ready(c) == 4 && count_members(c, 0) == 4);
}

/* Two of three entries are cut off while new ones try to join the third. */
static bool
cut_off_majority(struct cell *c)
{
	struct cell_result r;

	c->nodes[1].platform_cut = c->nodes[2].platform_cut = true;
	set_cut(c, 25, 6, true);
	cell_start(c, 3);
	cell_start(c, 4);
	cell_run(c, 10000);
	cell_write_change(c, 0, AZ_OUT_CHANGE, 0, &r);
	cell_run(c, 10000);
	if (r.outcome != MB_PENDING || !is_verified(c, 1) || !is_verified(c, 2))
		return (false);
	c->nodes[1].platform_cut = c->nodes[2].platform_cut = false;
	set_cut(c, 25, 6, false);
	cell_run(c, 10000);
	return (cell_count_ready(c) == 5);
}

/* Entries that restart during an outage do not vote before they register. */
static bool
restarted_in_outage(struct cell *c)
{
	struct cell_result r;
	bool held;

	c->nodes[0].platform_cut = true;
	set_cut(c, 1, 6, true);
	cell_write_change(c, 1, AZ_OUT_CHANGE, 0, &r);
	cell_run(c, 1500);
	if (r.outcome != MB_ACCEPTED || count_members(c, 1) != 3)
		return (false);
	cell_kill(c, 1);
	cell_kill(c, 2);
	c->platform_down = true;
	c->nodes[0].platform_cut = false;
	set_cut(c, 1, 6, false);
	cell_start(c, 1);
	cell_start(c, 2);
	held = ready_count_stays(c, 0, 10000);
	c->platform_down = false;
	cell_run(c, 10000);
	return (held && cell_count_ready(c) == 3 && count_members(c, 0) == 3);
}

/* All entries are lost; the same names and addresses come back. */
static bool
all_dead_same_names(struct cell *c)
{
	unsigned i;

	for (i = 0; i < 3; i++)
		cell_kill(c, i);
	cell_run(c, 5000);
	for (i = 0; i < 3; i++)
		cell_start(c, i);
	cell_run(c, 5000);
	return (cell_count_ready(c) == 3 && count_members(c, 0) == 3);
}

/* All entries are lost; others come and an operator forgets the lost ones. */
static bool
all_dead_other_names(struct cell *c)
{
	struct cell_result r;
	unsigned i;

	for (i = 0; i < 3; i++)
		cell_kill(c, i);
	for (i = 3; i < 6; i++)
		cell_start(c, i);
	cell_run(c, 5000);
	if (cell_count_ready(c) != 0 || count_members(c, 3) != 3)
		return (false);
	cell_write_change(c, 3,
	    "{\"kind\":\"entries_forget\",\"names\":[\"entry-1\",\"entry-2\","
	    "\"entry-3\"]}",
	    0, &r);
	cell_run(c, 10000);
	return (r.outcome == MB_ACCEPTED && cell_count_ready(c) == 3 &&
	    count_members(c, 3) == 3);
}

/* A frozen entry is removed; when it wakes, old answers wait for it. */
static bool
frozen_wakes(struct cell *c)
{
	struct cell_result r;
	uint64_t before;

	before = mb_incarnation(c->nodes[2].mb);
	while (!c->nodes[2].mb->scan_outstanding)
		cell_run(c, 1);
	cell_freeze(c, 2);
	cell_run(c, 6000);
	cell_write_change(c, 0, AZ_OUT_CHANGE, 0, &r);
	cell_run(c, 3000);
	if (r.outcome != MB_ACCEPTED || count_members(c, 0) != 2)
		return (false);
	cell_resume(c, 2);
	if (is_verified(c, 2))
		return (false);
	cell_run(c, 5000);
	return (cell_count_ready(c) == 3 && count_members(c, 0) == 3 &&
	    mb_incarnation(c->nodes[2].mb) != before);
}

/* An entry is removed and rejoins as another one. */
static bool
rejoins(struct cell *c)
{
	uint64_t before;

	before = mb_incarnation(c->nodes[2].mb);
	set_cut(c, 4, 3, true);
	cell_run(c, 8000);
	if (count_members(c, 0) != 2 || is_verified(c, 2))
		return (false);
	set_cut(c, 4, 3, false);
	cell_run(c, 5000);
	return (cell_count_ready(c) == 3 && count_members(c, 0) == 3 &&
	    mb_incarnation(c->nodes[2].mb) != before);
}

/* A snapshot that was under way for long does not undo later changes. */
static bool
late_snapshot(struct cell *c)
{
	struct pd_changes changes;
	struct pd_change one;
	struct cell_result r;
	char *text;

	text = cs_snapshot(mb_state(c->nodes[0].mb));
	one.revision = revision_of(c, 0);
	one.json.json_val = text;
	one.json.json_len = (u_int)strlen(text);
	changes.list.list_val = &one;
	changes.list.list_len = 1;
	cell_write_change(c, 0, AZ_OUT_CHANGE, 0, &r);
	cell_run(c, 3000);
	(void)mb_receive_push(c->nodes[0].mb, &changes);
	free(text);
	return (!cs_az_in(mb_state(c->nodes[0].mb), "armor"));
}

/* Two entries: one removes the other and accepts alone. */
static bool
two_entries_cut(struct cell *c)
{
	struct cell_result r;

	set_cut(c, 1, 2, true);
	c->nodes[1].platform_cut = true;
	cell_run(c, 6000);
	cell_write_change(c, 0, AZ_OUT_CHANGE, 0, &r);
	cell_run(c, 3000);
	if (r.outcome != MB_ACCEPTED || count_members(c, 0) != 1 ||
	    is_verified(c, 1))
		return (false);
	set_cut(c, 1, 2, false);
	c->nodes[1].platform_cut = false;
	cell_run(c, 5000);
	return (cell_count_ready(c) == 2 && count_members(c, 0) == 2);
}

/* A single entry that was paused is forgotten; it must not verify itself. */
static bool
one_entry_paused(struct cell *c)
{
	struct cell_result r;

	c->nodes[0].platform_cut = true;
	cell_run(c, 3000);
	if (!is_verified(c, 0))
		return (false);
	cell_freeze(c, 0);
	cell_start(c, 1);
	cell_run(c, 4000);
	cell_write_change(c, 1,
	    "{\"kind\":\"entries_forget\",\"names\":[\"entry-1\"]}", 0, &r);
	cell_run(c, 3000);
	if (r.outcome != MB_ACCEPTED || !is_verified(c, 1))
		return (false);
	cell_write_change(c, 1, AZ_OUT_CHANGE, 0, &r);
	cell_run(c, 3000);
	c->nodes[0].platform_cut = false;
	cell_resume(c, 0);
	cell_run(c, 5000);
	return (r.outcome == MB_ACCEPTED && cell_count_ready(c) == 2);
}

static const struct {
	const char *name;
	bool (*run)(struct cell *c);
	unsigned count;   /* entries in all */
	unsigned start;   /* bits of those that start */
	unsigned variant; /* mechanism without which the scenario fails */
	bool breaks;      /* and without which a rule of the cell is broken */
} scenarios[] = {
    {"lost_answer", lost_answer, 3, 7, MB_V_NO_READ_BACK, false},
    {"operators_race", operators_race, 3, 7, MB_V_IGNORE_EXPECTED, false},
    {"cut_off_half", cut_off_half, 4, 15, MB_V_SMALL_QUORUM, true},
    {"cut_off_majority", cut_off_majority, 5, 7, MB_V_CONCURRENT_LIST_CHANGES,
	true},
    {"restarted_in_outage", restarted_in_outage, 3, 7, MB_V_VOTE_BY_NAME, true},
    {"all_dead_same_names", all_dead_same_names, 3, 7,
	MB_V_NO_PREDECESSOR_CONSENT, false},
    {"all_dead_other_names", all_dead_other_names, 6, 7,
	MB_V_NO_FORGOTTEN_CONSENT, false},
    {"frozen_wakes", frozen_wakes, 3, 7, MB_V_AGE_FROM_REPLY, true},
    {"rejoins", rejoins, 3, 7, MB_V_KEEP_INCARNATION, false},
    {"late_snapshot", late_snapshot, 3, 7, MB_V_TAKE_OLD_SNAPSHOT, true},
    {"two_entries_cut", two_entries_cut, 2, 3, MB_V_SMALL_QUORUM, true},
    {"one_entry_paused", one_entry_paused, 2, 1, MB_V_NO_PAUSE_CHECK, true},
};

/* Runs a scenario; @broken tells whether a rule of the cell was broken. */
static bool
holds(size_t s, unsigned variant, uint64_t seed, bool *broken)
{
	struct cell *c;
	unsigned i;
	bool ok;

	c = cell_new(scenarios[s].count, seed);
	c->variant = variant;
	for (i = 0; i < c->count; i++) {
		if ((scenarios[s].start >> i & 1) != 0)
			cell_start(c, i);
	}
	cell_run(c, 4000);
	ok = scenarios[s].run(c);
	*broken = c->violation[0] != '\0';
	if (variant == 0 && (!ok || *broken))
		print_message("%s, seed %u: %s\n", scenarios[s].name,
		    (unsigned)seed, *broken ? c->violation : "does not hold");
	cell_free(c);
	return (ok && !*broken);
}

/* Guards each scenario, over several schedules. */
static void
test_scenarios_hold(void **state)
{
	uint64_t seed;
	bool broken;
	size_t s;

	(void)state;
	for (s = 0; s < G_N_ELEMENTS(scenarios); s++) {
		for (seed = 1; seed <= 20; seed++)
			assert_true(holds(s, 0, seed, &broken));
	}
}

/* Guards against scenarios that would hold without the mechanism. */
static void
test_scenarios_fail_without(void **state)
{
	bool broken;
	size_t s;

	(void)state;
	for (s = 0; s < G_N_ELEMENTS(scenarios); s++) {
		if (holds(s, scenarios[s].variant, 1, &broken))
			fail_msg("%s holds without its mechanism",
			    scenarios[s].name);
		if (broken != scenarios[s].breaks)
			fail_msg("%s breaks %s rule without its mechanism",
			    scenarios[s].name, broken ? "a" : "no");
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_scenarios_hold),
	    cmocka_unit_test(test_scenarios_fail_without),
	};

	lg_open("test_member_scenarios", LOG_ERR);
	return (cmocka_run_group_tests(tests, NULL, NULL));
}
