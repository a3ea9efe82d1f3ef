#include "member_fixture.h"

/*
 * Each scenario returns whether all that it checks holds. It must fail when the
 * mechanism that it is about is switched off.
 */

/* The answer to an insert is lost: the change must be written only once. */
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

/* Two operators change the same revision: one succeeds, the other gets a
 * conflict that shows both changes. */
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

/* Two of four entries are cut off, and the others remove them. */
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

/* Two of three entries are cut off, and new ones try to join the third. */
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

/* Entries that restart in an outage must not verify others before they
 * register. */
static bool
restarted_in_outage(struct cell *c)
{
	struct cell_result r;
	bool none_ready;

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
	none_ready = ready_count_stays(c, 0, 10000);
	c->platform_down = false;
	cell_run(c, 10000);
	return (
	    none_ready && cell_count_ready(c) == 3 && count_members(c, 0) == 3);
}

/* All entries are killed and restarted with the same names and addresses. */
static bool
all_killed_same_names(struct cell *c)
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

/* All entries are killed, others start, and an operator forgets the killed
 * ones.
 */
static bool
all_killed_other_names(struct cell *c)
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

/* A frozen entry is removed; on resuming, it receives answers from before. */
static bool
frozen_resumes(struct cell *c)
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

/* An entry that was removed rejoins under a new incarnation. */
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

/* A snapshot that arrives late must not undo later changes. */
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
	return (!cs_az_in_service(mb_state(c->nodes[0].mb), "armor"));
}

/* One of two entries removes the other and accepts changes alone. */
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

/* A single entry that is forgotten during a pause must not verify itself. */
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
	unsigned count;     /* number of entries */
	unsigned start;     /* bit mask of the entries that start */
	unsigned variant;   /* mechanism without which the scenario fails */
	bool violates_rule; /* also violates a rule of the cell then */
} scenarios[] = {
    {"lost_answer", lost_answer, 3, 7, MB_V_NO_READ_BACK, false},
    {"operators_race", operators_race, 3, 7, MB_V_IGNORE_EXPECTED, false},
    {"cut_off_half", cut_off_half, 4, 15, MB_V_SMALL_QUORUM, true},
    {"cut_off_majority", cut_off_majority, 5, 7, MB_V_CONCURRENT_LIST_CHANGES,
	true},
    {"restarted_in_outage", restarted_in_outage, 3, 7, MB_V_VOTE_BY_NAME, true},
    {"all_killed_same_names", all_killed_same_names, 3, 7,
	MB_V_NO_PREDECESSOR_CONSENT, false},
    {"all_killed_other_names", all_killed_other_names, 6, 7,
	MB_V_NO_FORGOTTEN_CONSENT, false},
    {"frozen_resumes", frozen_resumes, 3, 7, MB_V_AGE_FROM_REPLY, true},
    {"rejoins", rejoins, 3, 7, MB_V_KEEP_INCARNATION, false},
    {"late_snapshot", late_snapshot, 3, 7, MB_V_TAKE_OLD_SNAPSHOT, true},
    {"two_entries_cut", two_entries_cut, 2, 3, MB_V_SMALL_QUORUM, true},
    {"one_entry_paused", one_entry_paused, 2, 1, MB_V_NO_PAUSE_CHECK, true},
};

/* Runs a scenario; @violated tells whether a rule of the cell was violated. */
static bool
scenario_holds(size_t s, unsigned variant, uint64_t seed, bool *violated)
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
	*violated = c->violation[0] != '\0';
	if (variant == 0 && (!ok || *violated))
		print_message("%s, seed %u: %s\n", scenarios[s].name,
		    (unsigned)seed, *violated ? c->violation : "does not hold");
	cell_free(c);
	return (ok && !*violated);
}

/* Runs each scenario with several seeds, which vary the order of events. */
static void
test_scenarios_hold(void **state)
{
	uint64_t seed;
	bool violated;
	size_t s;

	(void)state;
	for (s = 0; s < G_N_ELEMENTS(scenarios); s++) {
		for (seed = 1; seed <= 20; seed++)
			assert_true(scenario_holds(s, 0, seed, &violated));
	}
}

/* Guards against scenarios that hold without their mechanism. */
static void
test_scenarios_need_mechanism(void **state)
{
	bool violated;
	size_t s;

	(void)state;
	for (s = 0; s < G_N_ELEMENTS(scenarios); s++) {
		if (scenario_holds(s, scenarios[s].variant, 1, &violated))
			fail_msg("%s holds without its mechanism",
			    scenarios[s].name);
		if (violated != scenarios[s].violates_rule)
			fail_msg("%s violates %s rule without its mechanism",
			    scenarios[s].name, violated ? "a" : "no");
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_scenarios_hold),
	    cmocka_unit_test(test_scenarios_need_mechanism),
	};

	lg_open("test_member_scenarios", LOG_ERR);
	return (cmocka_run_group_tests(tests, NULL, NULL));
}
