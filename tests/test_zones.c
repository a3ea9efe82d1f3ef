#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "clock.h"
#include "zones.h"

/* What an agent concludes from the zones that its entries tell it. */

#define START_MS 100000
#define EVACUATE_MS 5000
/* Latest start before the bound. */
#define ORDER_MS 500
#define AGE_MS 800

struct fixture {
	struct ck *clock;
	struct zn *zones;
};

static int
set_up(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->clock = ck_new_manual(START_MS, START_MS);
	f->zones = zn_new(f->clock, EVACUATE_MS);
	zn_set_az(f->zones, "z1");
	*state = f;
	return (0);
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;

	zn_free(f->zones);
	ck_free(f->clock);
	g_free(f);
	return (0);
}

/* Return: whether the zones were newer. */
static bool
apply(struct fixture *f, uint64_t revision, const char *az)
{
	pd_name out[] = {(char *)(uintptr_t)az};
	struct pd_zones z = {.revision = revision,
	    .evacuated = {
		.evacuated_len = az == NULL ? 0 : 1, .evacuated_val = out}};

	return (zn_apply(f->zones, &z));
}

static void
confirm(struct fixture *f, uint64_t revision, unsigned age_ms)
{
	struct pd_zones_known known = {.revision = revision, .age_ms = age_ms};

	zn_confirm(f->zones, ck_mono_ms(f->clock), &known);
}

/* Passes time until just before and just after the latest start that is
 * allowed, @ms after now. */
static void
check_latest_start(struct fixture *f, unsigned ms)
{
	ck_advance_ms(f->clock, ms - 1);
	assert_int_equal(PD_ZONE_LEAVING, zn_state(f->zones));
	ck_advance_ms(f->clock, 1);
	assert_int_equal(PD_ZONE_OUT, zn_state(f->zones));
}

/* Guards against an older entry that keeps a zone in use, or out of use. */
static void
test_newest_counts(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(PD_ZONE_IN, zn_state(f->zones));
	assert_true(apply(f, 5, "z1"));
	assert_int_equal(PD_ZONE_OUT, zn_state(f->zones));
	assert_false(apply(f, 4, NULL));
	assert_int_equal(PD_ZONE_OUT, zn_state(f->zones));
	assert_true(apply(f, 7, NULL));
	assert_false(apply(f, 5, "z1"));
	assert_int_equal(PD_ZONE_IN, zn_state(f->zones));
	assert_int_equal(7, zn_revision(f->zones));
	assert_true(apply(f, 8, "z2"));
	assert_int_equal(PD_ZONE_IN, zn_state(f->zones));
}

/* Guards against starts later than operators allow: the time counts from the
 * last confirmation that the zone was in use, not from when the agent heard. */
static void
test_time_from_last_confirmation(void **state)
{
	struct fixture *f = *state;

	apply(f, 5, NULL);
	confirm(f, 5, AGE_MS);
	ck_advance_ms(f->clock, 300);
	apply(f, 6, "z1");
	check_latest_start(f, EVACUATE_MS - ORDER_MS - AGE_MS - 300);
}

/* Guards against the confirmation of an entry that has not heard: it does not
 * extend the time. */
static void
test_confirmations_of_older_revision(void **state)
{
	struct fixture *f = *state;

	apply(f, 5, NULL);
	confirm(f, 5, 0);
	apply(f, 6, "z1");
	ck_advance_ms(f->clock, 1000);
	confirm(f, 5, 0);
	confirm(f, 6, 0);
	check_latest_start(f, EVACUATE_MS - ORDER_MS - 1000);
	/* Nor does a further change. */
	apply(f, 8, "z1");
	confirm(f, 8, 0);
	assert_int_equal(PD_ZONE_OUT, zn_state(f->zones));
}

/* Guards against a new process that takes the time of its first contact for
 * that of the evacuation: its entry was cut off long before. */
static void
test_first_contact_with_entry_cut_off(void **state)
{
	struct fixture *f = *state;

	apply(f, 5, NULL);
	confirm(f, 5, EVACUATE_MS);
	apply(f, 6, "z1");
	assert_int_equal(PD_ZONE_OUT, zn_state(f->zones));
	/* An entry that has heard neither the store nor others confirms
	 * nothing. */
	apply(f, 7, NULL);
	confirm(f, 7, PD_AGE_UNKNOWN);
	confirm(f, 0, 0);
	apply(f, 8, "z1");
	assert_int_equal(PD_ZONE_OUT, zn_state(f->zones));
}

/* Guards against reads of the store while entries confirm the zones, right
 * after the start, and against none while only an older revision is confirmed.
 */
static void
test_age(void **state)
{
	struct fixture *f = *state;

	ck_advance_ms(f->clock, 700);
	assert_int_equal(700, zn_age_ms(f->zones));
	apply(f, 5, NULL);
	confirm(f, 5, 200);
	assert_int_equal(200, zn_age_ms(f->zones));
	apply(f, 6, NULL);
	ck_advance_ms(f->clock, 1000);
	confirm(f, 5, 0);
	assert_int_equal(1200, zn_age_ms(f->zones));
	confirm(f, 6, 100);
	assert_int_equal(100, zn_age_ms(f->zones));
}

/* Guards against time that was granted for another zone. */
static void
test_endpoint_of_other_zone(void **state)
{
	struct fixture *f = *state;

	apply(f, 5, NULL);
	confirm(f, 5, 0);
	apply(f, 6, "z1");
	assert_int_equal(PD_ZONE_LEAVING, zn_state(f->zones));
	zn_set_az(f->zones, "z2");
	assert_int_equal(PD_ZONE_IN, zn_state(f->zones));
	zn_set_az(f->zones, "z1");
	assert_int_equal(PD_ZONE_OUT, zn_state(f->zones));
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    T(test_newest_counts),
	    T(test_time_from_last_confirmation),
	    T(test_confirmations_of_older_revision),
	    T(test_first_contact_with_entry_cut_off),
	    T(test_age),
	    T(test_endpoint_of_other_zone),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
