#include "member_fixture.h"

/* Checks that entries register and changes are accepted without faults. */
static void
test_no_faults(void **state)
{
	struct cell_result r;
	struct cell *c;
	unsigned i;

	(void)state;
	c = start_cell(3, 0);
	assert_int_equal(3, cell_count_ready(c));
	cell_write_change(c, 1, AZ_OUT_CHANGE, 0, &r);
	cell_run(c, 1000);
	assert_true(r.ended);
	assert_int_equal(MB_ACCEPTED, r.outcome);
	for (i = 0; i < 3; i++) {
		assert_int_equal(3, count_members(c, i));
		assert_false(
		    cs_az_in_service(mb_state(c->nodes[i].mb), "armor"));
		assert_ptr_not_equal(
		    NULL, cs_owner(mb_state(c->nodes[i].mb), 7));
	}
	assert_string_equal("", c->violation);
	cell_free(c);
}

/* Guards against entries that lose their verification because the platform is
 * down or slow. */
static void
test_outage(void **state)
{
	static const struct {
		bool refuses;
		unsigned platform_delay_ms; /* 0: down */
	} cases[] = {{false, 0}, {true, 0}, {false, 300}, {false, 450},
	    {false, 470}, {false, 600}};
	struct cell_result r;
	struct cell *c;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		c = start_cell(3, 0);
		c->platform_fails_fast = cases[i].refuses;
		c->platform_down = cases[i].platform_delay_ms == 0;
		if (!c->platform_down)
			c->platform_delay_ms = cases[i].platform_delay_ms;
		if (!ready_count_stays(c, 3, 20000))
			fail_msg("case %zu: an entry is not verified", i);
		cell_write_change(c, 0, AZ_OUT_CHANGE, 0, &r);
		cell_run(c, 9000);
		assert_true(r.ended);
		if (c->platform_down)
			assert_int_equal(MB_UNAVAILABLE, r.outcome);
		c->platform_down = false;
		c->platform_delay_ms = 5;
		cell_run(c, 2000);
		assert_int_equal(3, cell_count_ready(c));
		assert_int_equal(3, count_members(c, 0));
		assert_string_equal("", c->violation);
		cell_free(c);
	}
}

/* Checks how many entries verify each other in an outage, for lists of two and
 * one. */
static void
test_small_lists(void **state)
{
	struct cell *c;

	(void)state;
	c = start_cell(2, 0);
	c->platform_down = true;
	assert_true(ready_count_stays(c, 2, 5000));
	cell_kill(c, 1);
	cell_run(c, 2000);
	assert_true(ready_count_stays(c, 0, 5000));
	c->platform_down = false;
	cell_run(c, 3000);
	assert_int_equal(1, cell_count_ready(c));
	assert_int_equal(1, count_members(c, 0));
	c->platform_down = true;
	assert_true(ready_count_stays(c, 1, 5000));
	cell_kill(c, 0);
	cell_start(c, 0);
	assert_true(ready_count_stays(c, 0, 5000));
	c->platform_down = false;
	cell_run(c, 3000);
	assert_int_equal(1, cell_count_ready(c));
	assert_string_equal("", c->violation);
	cell_free(c);
}

/* Guards against removal that is early, late, or impossible when the entry with
 * the lowest name cannot reach the platform. */
static void
test_removal(void **state)
{
	struct cell *c;

	(void)state;
	c = start_cell(4, 0);
	cell_kill(c, 3);
	cell_run(c, 2800);
	assert_int_equal(4, count_members(c, 0));
	cell_run(c, 1000);
	assert_int_equal(3, count_members(c, 0));
	c->nodes[0].platform_cut = true;
	cell_kill(c, 2);
	cell_run(c, 8000);
	assert_int_equal(2, count_members(c, 1));
	assert_int_equal(2, count_members(c, 0));
	assert_string_equal("", c->violation);
	cell_free(c);
}

/* Guards against removal of an entry that only some members cannot reach. */
static void
test_partial_network_cut(void **state)
{
	struct cell *c;

	(void)state;
	c = start_cell(3, 0);
	set_cut(c, 1, 4, true);
	cell_run(c, 10000);
	assert_int_equal(3, count_members(c, 1));
	assert_int_equal(3, cell_count_ready(c));
	cell_free(c);
}

/* Guards against a leave that ends before the other entries know it, or after
 * which the entry registers again. */
static void
test_leave(void **state)
{
	struct cell_result r;
	struct cell *c;
	uint64_t left;

	(void)state;
	c = start_cell(3, 0);
	left = mb_incarnation(c->nodes[1].mb);
	memset(&r, 0, sizeof(r));
	mb_leave(c->nodes[1].mb, cell_change_done, &r);
	while (!r.ended)
		cell_run(c, 10);
	assert_int_equal(MB_ACCEPTED, r.outcome);
	assert_true(mb_instance_find(c->nodes[0].mb, left)->held_revision >=
	    revision_of(c, 1));
	cell_run(c, 5000);
	assert_int_equal(2, count_members(c, 0));
	assert_false(mb_registered(c->nodes[1].mb));
	assert_string_equal("", c->violation);
	cell_free(c);
}

/* Guards against a change that is reported as accepted while too few entries
 * hold it. */
static void
test_pending(void **state)
{
	struct cell_result r;
	struct cell *c;

	(void)state;
	c = start_cell(3, 0);
	cell_freeze(c, 1);
	cell_freeze(c, 2);
	cell_write_change(c, 0, AZ_OUT_CHANGE, 0, &r);
	cell_run(c, 7900);
	assert_false(r.ended);
	cell_run(c, 300);
	assert_int_equal(MB_PENDING, r.outcome);
	assert_string_equal("not confirmed by entry-2 entry-3", r.text);
	cell_resume(c, 1);
	cell_run(c, 2000);
	cell_write_change(c, 0, AZ_OUT_CHANGE, 0, &r);
	cell_run(c, 1000);
	assert_int_equal(MB_ACCEPTED, r.outcome);
	assert_int_equal(1, count_log_rows(c, "az_out"));
	cell_free(c);
}

/* Guards against a repeated request that is written twice, or that conflicts
 * with itself. */
static void
test_repeated_change(void **state)
{
	struct cell_result a, b;
	struct cell *c;
	uint64_t seen;

	(void)state;
	c = start_cell(3, 0);
	seen = revision_of(c, 0);
	cell_write_change(c, 0, AZ_OUT_CHANGE, seen, &a);
	cell_run(c, 1000);
	cell_write_change(c, 2, AZ_OUT_CHANGE, seen, &b);
	cell_run(c, 1000);
	assert_int_equal(MB_ACCEPTED, a.outcome);
	assert_int_equal(MB_ACCEPTED, b.outcome);
	assert_int_equal(a.revision, b.revision);
	assert_int_equal(1, count_log_rows(c, "az_out"));
	cell_free(c);
}

/* Checks that malformed changes and those not for operators are refused. */
static void
test_refused_changes(void **state)
{
	static const struct {
		const char *json;
		const char *text;
	} cases[] = {
	    {"nonsense", "not a change for operators"},
	    {"{\"kind\":\"entry_remove\",\"name\":\"entry-1\","
	     "\"incarnation\":\"1\"}",
		"not a change for operators"},
	    {"{\"kind\":\"az_out\",\"az\":\"nowhere\"}",
		"availability zone nowhere is unknown"},
	    {"{\"kind\":\"az_out\"}", "az: missing or malformed"},
	    {"{\"kind\":\"az_out\",\"az\":\"armor\",\"change_id\":7}",
		"not a change for operators"},
	    {"{\"kind\":\"entries_forget\",\"names\":[\"entry-2\"]}",
		"entry entry-2 answers and cannot be forgotten"},
	    {"{\"kind\":\"entries_forget\",\"names\":[7]}",
		"names: missing or malformed"},
	};
	struct cell_result r;
	struct cell *c;
	guint log_rows;
	size_t i;

	(void)state;
	c = start_cell(3, 0);
	log_rows = c->log_rows->len;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		cell_write_change(c, 0, cases[i].json, 0, &r);
		cell_run(c, 500);
		assert_true(r.ended);
		assert_int_equal(MB_REFUSED, r.outcome);
		assert_string_equal(cases[i].text, r.text);
		assert_int_equal(log_rows, c->log_rows->len);
	}
	cell_free(c);
}

/* Guards against writing a change that is no longer valid after a conflict, and
 * against giving up one that still is. */
static void
test_change_at_any_revision(void **state)
{
	static const char *const deletes[] = {
	    "{\"kind\":\"rule_delete\",\"name\":\"r\"}",
	    "{\"kind\":\"rule_delete\",\"name\":\"r\",\"by\":\"x\"}",
	};
	struct cell_result a, b;
	struct cell *c;

	(void)state;
	c = start_cell(3, 0);
	cell_write_change(c, 0,
	    "{\"kind\":\"rule_put\",\"name\":\"r\",\"allow\":false}", 0, &a);
	cell_run(c, 1000);
	cell_write_change(c, 0, deletes[0], 0, &a);
	cell_write_change(c, 1, deletes[1], 0, &b);
	cell_run(c, 2000);
	assert_true(a.ended && b.ended);
	assert_true((a.outcome == MB_ACCEPTED) != (b.outcome == MB_ACCEPTED));
	assert_true((a.outcome == MB_CONFLICT) != (b.outcome == MB_CONFLICT));
	cell_write_change(c, 0, AZ_OUT_CHANGE, 0, &a);
	cell_write_change(
	    c, 1, "{\"kind\":\"az_out\",\"az\":\"morbihan\"}", 0, &b);
	cell_run(c, 2000);
	assert_int_equal(MB_ACCEPTED, a.outcome);
	assert_int_equal(MB_ACCEPTED, b.outcome);
	assert_string_equal("", c->violation);
	cell_free(c);
}

/* Guards against an entry that starts in an outage and does not get the state
 * from the others, also when they no longer keep the whole log. */
static void
test_start_in_outage(void **state)
{
	struct cell_result r;
	struct cell *c;
	unsigned round, i;

	(void)state;
	c = start_cell(4, 0);
	for (round = 0; round < 2; round++) {
		cell_kill(c, 3);
		c->platform_down = true;
		cell_start(c, 3);
		cell_run(c, 4000);
		assert_false(mb_registered(c->nodes[3].mb));
		assert_false(is_verified(c, 3));
		assert_int_equal(revision_of(c, 0), revision_of(c, 3));
		assert_int_equal(4, count_members(c, 3));
		c->platform_down = false;
		cell_run(c, 6000);
		assert_int_equal(4, cell_count_ready(c));
		for (i = 0; round == 0 && i < MB_LOG_MAX_CHANGES; i++) {
			cell_write_change(c, 0,
			    "{\"kind\":\"az_in\",\"az\":\"armor\"}", 0, &r);
			cell_run(c, 300);
			assert_int_equal(MB_ACCEPTED, r.outcome);
		}
	}
	assert_string_equal("", c->violation);
	cell_free(c);
}

/* Guards against a state that depends on the order of restarts, or on whether
 * it was read from a snapshot. */
static void
test_restart_orders(void **state)
{
	static const unsigned orders[6][3] = {
	    {0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}};
	struct cell_result r;
	struct cell *c;
	unsigned o, i;
	bool snapshot;

	(void)state;
	for (o = 0; o < 12; o++) {
		snapshot = o >= 6;
		c = start_cell(3, 0);
		for (i = 0; i < 3; i++) {
			if (snapshot && i == 1)
				c->snapshot =
				    cs_snapshot(mb_state(c->nodes[0].mb));
			cell_kill(c, orders[o % 6][i]);
			cell_run(c, 500);
			cell_start(c, orders[o % 6][i]);
			cell_run(c, 1500);
			cell_write_change(c, orders[o % 6][i],
			    i == 1 ? "{\"kind\":\"az_in\",\"az\":\"armor\"}"
				   : "{\"kind\":\"az_out\",\"az\":\"armor\"}",
			    0, &r);
			cell_run(c, 1500);
			assert_int_equal(MB_ACCEPTED, r.outcome);
		}
		assert_int_equal(3, cell_count_ready(c));
		assert_int_equal(3, count_members(c, 0));
		assert_string_equal("", c->violation);
		cell_free(c);
	}
}

/* A single mb whose calls the test answers itself. */
struct scripted_mb {
	struct ck *clock;
	struct ct *counters;
	struct mb *mb;
	unsigned scans;
	unsigned statuses;
	uint64_t inserted;
	char json[1024];
};

static void
scripted_scan(void *arg, uint64_t after)
{
	(void)after;
	((struct scripted_mb *)arg)->scans++;
}

static void
scripted_insert(void *arg, uint64_t revision, const char *json)
{
	struct scripted_mb *h = arg;

	h->inserted = revision;
	g_strlcpy(h->json, json, sizeof(h->json));
}

static void
scripted_status(void *arg, const char *address)
{
	(void)address;
	((struct scripted_mb *)arg)->statuses++;
}

static void
ignore_call(void *arg, const char *address, uint64_t after)
{
	(void)arg;
	(void)address;
	(void)after;
}

static void
ignore_revision(void *arg, uint64_t revision)
{
	(void)arg;
	(void)revision;
}

static void
ignore_confirmed(void *arg, uint64_t incarnation, uint64_t revision)
{
	(void)arg;
	(void)incarnation;
	(void)revision;
}

static const struct mb_ops scripted_ops = {scripted_scan, scripted_insert,
    scripted_status, ignore_call, ignore_call, ignore_revision, ignore_revision,
    ignore_confirmed};

static void
scripted_run(struct scripted_mb *h, uint64_t ms)
{
	for (; ms > 0; ms -= 50) {
		ck_advance_ms(h->clock, 50);
		mb_tick(h->mb);
	}
}

/* Creates an entry and registers it, and also entry-2 if @pair. */
static void
scripted_new(struct scripted_mb *h, unsigned variant, bool pair)
{
	static const struct mb_identity id = {
	    "entry-1", "127.0.0.1:8001", "armor", NULL, 0};
	char other[] =
	    "{\"change_id\":\"x\",\"kind\":\"entry_add\",\"name\":"
	    "\"entry-2\",\"incarnation\":\"b\",\"address\":"
	    "\"127.0.0.1:8002\",\"az\":\"armor\"}";
	struct pd_change row;

	memset(h, 0, sizeof(*h));
	h->clock = ck_new_manual(100000, 1767225600000);
	h->counters = ct_new();
	h->mb = mb_new(h->clock, h->counters, 1, &id, &scripted_ops, h);
	mb_set_variant(h->mb, variant);
	mb_tick(h->mb);
	mb_scan_done(h->mb, true, NULL, 0);
	scripted_run(h, 50);
	assert_int_equal(1, h->inserted);
	mb_insert_done(h->mb, 1, MB_INSERTED, NULL);
	scripted_run(h, 300);
	row.revision = 2;
	row.json.json_val = other;
	row.json.json_len = (u_int)strlen(other);
	mb_scan_done(h->mb, true, &row, pair ? 1 : 0);
	scripted_run(h, 300);
}

static void
scripted_free(struct scripted_mb *h)
{
	mb_free(h->mb);
	ct_free(h->counters);
	ck_free(h->clock);
}

/* How long after the call an entry stays verified by a read that takes 900
 * ms.
 */
static uint64_t
verified_ms_after_read(unsigned variant)
{
	struct scripted_mb h;
	uint64_t sent;

	scripted_new(&h, variant, true);
	mb_scan_done(h.mb, true, NULL, 0);
	while (!h.mb->scan_outstanding)
		scripted_run(&h, 50);
	sent = ck_mono_ms(h.clock);
	scripted_run(&h, 900);
	mb_scan_done(h.mb, true, NULL, 0);
	assert_true(mb_verified(h.mb));
	while (mb_verified(h.mb))
		ck_advance_ms(h.clock, 1);
	sent = ck_mono_ms(h.clock) - sent;
	scripted_free(&h);
	return (sent);
}

/* The same for a status call that takes 900 ms while the platform does not
 * respond. */
static uint64_t
verified_ms_after_status(unsigned variant)
{
	struct pd_status s;
	struct scripted_mb h;
	uint64_t sent;

	scripted_new(&h, variant, true);
	while (mb_verified(h.mb))
		scripted_run(&h, 50);
	memset(&s, 0, sizeof(s));
	s.name = (char[]){"entry-2"};
	s.address = (char[]){"127.0.0.1:8002"};
	s.incarnation = 0xb;
	s.revision = 2;
	mb_status_done(h.mb, s.address, &s);
	h.statuses = 0;
	while (h.statuses == 0)
		scripted_run(&h, 50);
	sent = ck_mono_ms(h.clock);
	scripted_run(&h, 900);
	assert_int_equal(1, h.statuses);
	mb_status_done(h.mb, s.address, &s);
	/* A second answer to the call, or the answer to a push, verifies
	 * nothing. */
	ck_advance_ms(h.clock, 100);
	mb_status_done(h.mb, s.address, &s);
	mb_push_done(h.mb, s.address,
	    &(struct pd_held){.revision = 2, .incarnation = 0xb});
	h.mb->tick_ms = UINT64_MAX / 2;
	assert_true(mb_verified(h.mb));
	while (mb_verified(h.mb))
		ck_advance_ms(h.clock, 1);
	sent = ck_mono_ms(h.clock) - sent;
	scripted_free(&h);
	return (sent);
}

/* Guards against a verification whose age counts from the answer. */
static void
test_verification_age(void **state)
{
	(void)state;
	assert_int_equal(
	    MB_VERIFICATION_MAX_AGE_MS + 1, verified_ms_after_read(0));
	assert_int_equal(
	    MB_VERIFICATION_MAX_AGE_MS + 1, verified_ms_after_status(0));
	assert_true(verified_ms_after_read(MB_V_AGE_FROM_REPLY) >
	    MB_VERIFICATION_MAX_AGE_MS + 1);
	assert_true(verified_ms_after_status(MB_V_AGE_FROM_REPLY) >
	    MB_VERIFICATION_MAX_AGE_MS + 1);
}

/* Guards against a permit that differs from the state, or is granted without
 * verification. */
static void
test_permit(void **state)
{
	struct pd_permit p;
	struct scripted_mb h;

	(void)state;
	scripted_new(&h, 0, false);
	assert_true(mb_verified(h.mb));
	mb_fill_permit(h.mb, "e1", 77, &p);
	assert_true(p.granted);
	assert_false(p.in_service);
	assert_int_equal(77, p.clock_ms);
	assert_int_equal(1, p.revision);
	assert_int_equal(1, p.view);
	mb_write_change(h.mb,
	    "{\"kind\":\"endpoint_put\",\"name\":\"e1\",\"az\":\"armor\","
	    "\"service\":\"s\"}",
	    0, cell_change_done, &(struct cell_result){0});
	mb_insert_done(h.mb, 2, MB_INSERTED, NULL);
	mb_fill_permit(h.mb, "e1", 78, &p);
	assert_true(p.in_service);
	assert_int_equal(2, p.revision);
	ck_advance_ms(h.clock, 2000);
	mb_fill_permit(h.mb, "e1", 79, &p);
	assert_false(p.granted);
	scripted_free(&h);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_no_faults),
	    cmocka_unit_test(test_outage),
	    cmocka_unit_test(test_small_lists),
	    cmocka_unit_test(test_removal),
	    cmocka_unit_test(test_partial_network_cut),
	    cmocka_unit_test(test_leave),
	    cmocka_unit_test(test_pending),
	    cmocka_unit_test(test_repeated_change),
	    cmocka_unit_test(test_refused_changes),
	    cmocka_unit_test(test_change_at_any_revision),
	    cmocka_unit_test(test_start_in_outage),
	    cmocka_unit_test(test_restart_orders),
	    cmocka_unit_test(test_verification_age),
	    cmocka_unit_test(test_permit),
	};

	lg_open("test_member", LOG_ERR);
	return (cmocka_run_group_tests(tests, NULL, NULL));
}
