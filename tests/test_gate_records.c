#include "gate_fixture.h"

#define ENTRY_1 11 /* incarnation of an entry */

/* Guards against pages that lose or repeat records, and against pages that are
 * too large for one message. */
static void
test_fence_pages(void **state)
{
	static const struct {
		size_t body;
		unsigned records;
		unsigned pages;
	} cases[] = {
	    {0, 1, 1},
	    {0, PD_BATCH_MAX, 1},
	    {0, PD_BATCH_MAX + 1, 2},
	    {PD_BODY_MAX, 40, 3},
	};
	struct fix *f = *state;
	struct pd_fence_reply reply;
	struct pd_fence fence;
	unsigned i, pages, records;
	size_t c, bytes;
	ga_session s;

	f->settings.records_bytes = 64U << 20;
	for (c = 0; c < G_N_ELEMENTS(cases); c++) {
		fix_new_gate(f);
		s = ga_session_opened(f->gate, ENTRY_1);
		fix_permit(f, s);
		for (i = 0; i < cases[c].records; i++) {
			fix_grant(f, s, "job", i);
			fix_end_call(f, 0, GA_OK, cases[c].body);
		}
		fence = (struct pd_fence){2, FIX_ALL_PARTITIONS, 0};
		for (pages = records = 0;; pages++) {
			ga_fence(f->gate, s, &fence, &reply);
			bytes = 0;
			for (i = 0; i < reply.list.list_len; i++) {
				assert_int_equal(
				    records++, reply.list.list_val[i].key.task);
				bytes += reply.list.list_val[i].body.body_len;
			}
			assert_true(bytes <= GA_PAGE_BYTES + PD_BODY_MAX);
			fence.cursor = reply.next;
			if (reply.next == 0)
				break;
		}
		assert_int_equal(cases[c].records, records);
		assert_int_equal(cases[c].pages, pages + 1);
	}
}

/* Guards against records that exceed the memory limit, and against a record
 * whose dropped result is reported as an empty result. */
static void
test_bodies_dropped_first(void **state)
{
	struct fix *f = *state;
	struct pd_record r;
	ga_session s;
	unsigned i;

	f->settings.records_bytes = 65536;
	fix_new_gate(f);
	s = ga_session_opened(f->gate, ENTRY_1);
	fix_permit(f, s);
	for (i = 0; i < 100; i++) {
		fix_grant(f, s, "job", i);
		fix_end_call(f, 0, GA_OK, 1000);
		assert_true(ga_stats(f->gate).record_bytes <= 65536);
	}
	assert_int_equal(100, ga_stats(f->gate).records);
	assert_true(ga_stats(f->gate).bodies_dropped > 0);
	r = fix_resolve(f, fix_key("job", 0));
	assert_int_equal(PD_OUTCOME_UNKNOWN, r.state);
	assert_int_equal(PD_R_FORGOTTEN, r.reason);
	assert_int_equal(PD_DONE, fix_resolve(f, fix_key("job", 99)).state);
	fix_grant(f, s, "job", 0);
	assert_int_equal(100, f->nstarts);
	assert_int_equal(f->settings.started_ms, ga_complete_since(f->gate));
}

/* Guards against a task that is reported as not started, or starts again, after
 * its record was dropped. */
static void
test_records_dropped_last(void **state)
{
	struct fix *f = *state;
	struct pd_record r;
	struct pd_grant g;
	ga_session s;
	char id[16];
	unsigned i;

	f->settings.records_bytes = 16384;
	fix_new_gate(f);
	s = ga_session_opened(f->gate, ENTRY_1);
	for (i = 0; i < 200; i++) {
		fix_permit(f, s);
		snprintf(id, sizeof(id), "job-%u", i);
		g = fix_make_grant(id, 0);
		g.key.sub.created_ms = ck_wall_ms(f->clock);
		ga_grant(f->gate, s, &g);
		fix_end_call(f, 0, GA_OK, 0);
		ck_advance_ms(f->clock, 10);
	}
	assert_int_equal(200, f->nstarts);
	assert_true(ga_stats(f->gate).records_dropped > 0);
	assert_true(ga_stats(f->gate).record_bytes <= 16384);
	r = fix_resolve(f, fix_key("job-0", 0));
	assert_int_equal(PD_OUTCOME_UNKNOWN, r.state);
	assert_int_equal(PD_R_FORGOTTEN, r.reason);
	fix_grant(f, s, "job-0", 0);
	assert_int_equal(PD_OUTCOME_UNKNOWN, fix_last_report(f)->state);
	assert_int_equal(PD_R_FORGOTTEN, fix_last_report(f)->reason);
	assert_int_equal(200, f->nstarts);
	/* The fence reply tells that records of older ids may be missing. */
	assert_true(
	    fix_fence(f, s, FIX_ALL_PARTITIONS, 2).started_ms > FIX_WALL_MS);
	assert_true(fix_fence(f, s, FIX_ALL_PARTITIONS, 2).started_ms <=
	    ck_wall_ms(f->clock));
}

/* Guards against finished records that don't expire, and against a start of a
 * task whose record has expired. */
static void
test_records_expire(void **state)
{
	struct fix *f = *state;
	ga_session s = ga_session_opened(f->gate, ENTRY_1);

	fix_permit(f, s);
	fix_grant(f, s, "job", 0);
	fix_grant(f, s, "long", 0);
	fix_end_call(f, 0, GA_OK, 10);
	ck_advance_ms(f->clock, f->settings.retention_ms);
	ga_tick(f->gate);
	assert_int_equal(2, ga_stats(f->gate).records);
	ck_advance_ms(f->clock, 1);
	ga_tick(f->gate);
	assert_int_equal(1, ga_stats(f->gate).records);
	fix_permit(f, s);
	fix_grant(f, s, "job", 0);
	assert_int_equal(2, f->nstarts);
	fix_end_call(f, 1, GA_OK, 10);
	assert_int_equal(PD_DONE, fix_last_report(f)->state);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    FIX_TEST(test_fence_pages),
	    FIX_TEST(test_bodies_dropped_first),
	    FIX_TEST(test_records_dropped_last),
	    FIX_TEST(test_records_expire),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
