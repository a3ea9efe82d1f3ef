#include "gate_fixture.h"

#define ENTRY 11
#define SLOTS 4
#define QUEUE 4

static struct fix *
opened(ga_session *session)
{
	struct fix *f = fix_new();

	f->settings.slots = SLOTS;
	f->settings.queue_max = QUEUE;
	fix_open(f);
	*session = ga_session_up(f->gate, ENTRY);
	return (f);
}

static void
grant(struct fix *f, ga_session session, char *team, unsigned weight,
    const char *id, unsigned task)
{
	struct pd_grant g = fix_make(id, task);

	g.team = team;
	g.weight = weight;
	g.ntasks = 100;
	fix_permit(f, session);
	ga_grant(f->gate, session, &g);
}

static const char *
last_started(const struct fix *f)
{
	return (f->starts[f->nstarts - 1].id);
}

/*
 * Guards against a team that takes all slots of an agent through the longer
 * queue of its entry.
 */
static void
test_slots_are_shared(void **state)
{
	static char lids[] = "lids", tins[] = "tins";
	ga_session s;
	struct fix *f = opened(&s);
	unsigned i;

	(void)state;
	for (i = 0; i < SLOTS + QUEUE - 1; i++)
		grant(f, s, lids, 1, "lids", i);
	grant(f, s, tins, 1, "tins", 0);
	assert_int_equal(f->nreports, 0);
	ga_done(f->gate, 0, GA_OK, NULL, 0);
	assert_string_equal(last_started(f), "tins");
	ga_done(f->gate, 1, GA_OK, NULL, 0);
	assert_string_equal(last_started(f), "lids");
	fix_free(f);
}

/* Guards against a weight that has no effect on the order. */
static void
test_weight_counts(void **state)
{
	static char lids[] = "lids", tins[] = "tins";
	ga_session s;
	struct fix *f = opened(&s);
	unsigned i;

	(void)state;
	grant(f, s, tins, 1, "tins", 0);
	for (i = 0; i < SLOTS - 1; i++)
		grant(f, s, lids, 3, "lids", i);
	grant(f, s, tins, 1, "tins", 1);
	grant(f, s, lids, 3, "lids", i);
	/* Slot 3 ran lids: 3 slots for weight 3 are less than 2 for 1. */
	ga_done(f->gate, 3, GA_OK, NULL, 0);
	assert_string_equal(last_started(f), "lids");
	/* Slot 0 ran tins, so that none of it runs. */
	ga_done(f->gate, 0, GA_OK, NULL, 0);
	assert_string_equal(last_started(f), "tins");
	fix_free(f);
}

/* Guards against a queue that one team keeps full. */
static void
test_full_queue_gives_up_largest_team(void **state)
{
	static char lids[] = "lids", tins[] = "tins";
	const struct fix_report *r;
	ga_session s;
	struct fix *f = opened(&s);
	unsigned i;

	(void)state;
	for (i = 0; i < SLOTS + QUEUE; i++)
		grant(f, s, lids, 1, "lids", i);
	grant(f, s, tins, 1, "tins", 0);
	assert_int_equal(f->nreports, 1);
	r = &f->reports[0];
	assert_string_equal(r->id, "lids");
	assert_int_equal(r->task, SLOTS + QUEUE - 1);
	assert_int_equal(r->reason, PD_R_QUEUE_FULL);
	/* A team alone loses its newest grant, as before. */
	for (i = 1; i < 4; i++)
		grant(f, s, tins, 1, "tins", i);
	r = &f->reports[f->nreports - 1];
	assert_string_equal(r->id, "tins");
	assert_int_equal(r->task, 3);
	fix_free(f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_slots_are_shared),
	    cmocka_unit_test(test_weight_counts),
	    cmocka_unit_test(test_full_queue_gives_up_largest_team),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
