#include "feed_fixture.h"

/* Tests changes of zones beside a configuration that is rejected. */

/* Guards against tasks in a zone that is taken out after a configuration that
 * exceeds a limit: the zone has to be out, and the queues stay. */
static void
test_zone_after_rejected_configuration(void **state)
{
	struct fixture *f = *state;

	add_answer(f, 3, false, json_pack("[o]", config_row(2, 1)));
	add_answer(
	    f, 4, false, json_pack("[o]", config_row(3, PD_TEXT_MAX + 1)));
	add_answer(f, 5, false, json_pack("[o]", row("evacuate/armor", "{}")));
	follow(f);
	assert_int_equal(2, cf_current(f->config)->queues.queues_len);
	assert_true(cf_evacuated(f->config, "armor"));
}

/* Guards against old queues under the revision of a configuration that cannot
 * be read, when a zone changes with it. */
static void
test_zone_beside_unreadable_configuration(void **state)
{
	struct fixture *f = *state;

	add_answer(f, 3, false, json_pack("[o]", config_row(2, 1)));
	add_answer(f, 4, false,
	    json_pack(
		"[o,o]", row("config", "["), row("evacuate/armor", "{}")));
	follow(f);
	assert_true(cf_evacuated(f->config, "armor"));
	assert_int_equal(3, cf_revision(f->config));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_zone_after_rejected_configuration, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_zone_beside_unreadable_configuration, set_up, tear_down),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
