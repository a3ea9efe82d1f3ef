#include <malloc.h>

#include "answer.h"
#include "feed_fixture.h"

#define REJECTIONS 3
#define REJECTED_QUEUES 1000

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

/* Guards against the same when the whole table is read again: queues and zones
 * of before the rejected configuration, or old queues under its revision. */
static void
test_table_read_again(void **state)
{
	struct fixture *f = *state;

	add_answer(f, 3, false,
	    json_pack("[o,o]", config_row(2, 1), row("evacuate/teal", "{}")));
	add_gone(f);
	add_answer(f, 6, false,
	    json_pack(
		"[o,o]", row("config", "["), row("evacuate/armor", "{}")));
	add_answer(f, 7, false, json_array());
	follow(f);
	assert_true(cf_evacuated(f->config, "armor"));
	assert_false(cf_evacuated(f->config, "teal"));
	assert_int_equal(2, cf_current(f->config)->queues.queues_len);
	assert_int_equal(3, cf_revision(f->config));
}

/* The same with a configuration that exceeds a limit, and pages. */
static void
test_pages_read_again(void **state)
{
	struct fixture *f = *state;

	add_answer(f, 3, false, json_pack("[o]", config_row(2, 1)));
	add_gone(f);
	add_answer(
	    f, 6, true, json_pack("[o]", config_row(3, PD_TEXT_MAX + 1)));
	add_answer(f, 8, false, json_pack("[o]", row("evacuate/armor", "{}")));
	add_answer(f, 9, false, json_pack("[o]", row("evacuate/teal", "{}")));
	follow(f);
	assert_true(cf_evacuated(f->config, "armor"));
	assert_true(cf_evacuated(f->config, "teal"));
	assert_int_equal(2, cf_current(f->config)->queues.queues_len);
	assert_int_equal(3, cf_revision(f->config));
	/* The next configuration within the limits is applied. */
	fe_free(f->feed);
	add_answer(f, 10, false,
	    json_pack("[o,o]", config_row(4, 1), row("evacuate/teal", "{}")));
	follow(f);
	assert_int_equal(4, cf_current(f->config)->queues.queues_len);
	assert_int_equal(10, cf_revision(f->config));
	assert_false(cf_evacuated(f->config, "armor"));
}

/* Guards against zones that are out and get tasks at an entry that starts when
 * the configuration is rejected, and has its queues from another entry. */
static void
test_start_beside_rejected_configuration(void **state)
{
	struct pd_queue queue = {.name = (char *)(uintptr_t) "q",
	    .host = (char *)(uintptr_t) "h",
	    .prefix = (char *)(uintptr_t) "/",
	    .service = (char *)(uintptr_t) "s"};
	struct pd_config peers = {
	    .revision = 3, .queues = {.queues_len = 1, .queues_val = &queue}};
	struct fixture *f = *state;

	add_answer(f, 6, false,
	    json_pack("[o,o]", config_row(3, PD_TEXT_MAX + 1),
		row("evacuate/armor", "{}")));
	add_answer(f, 9, false, json_array());
	follow(f);
	assert_int_equal(0, cf_revision(f->config));
	cf_apply(f->config, &peers);
	assert_int_equal(3, cf_revision(f->config));
	assert_true(cf_evacuated(f->config, "armor"));
}

/* Guards against a feed that has restarted and gives its revision to queues of
 * before a rejected configuration, or loses the zones. */
static void
test_feed_restarts_beside_rejected_configuration(void **state)
{
	struct fixture *f = *state;

	add_answer(f, 3, false, json_pack("[o]", config_row(2, 1)));
	add_answer(f, 4, false, json_pack("[o]", row("config", "[")));
	follow(f);
	fe_free(f->feed);
	add_answer(f, 5, false,
	    json_pack(
		"[o,o]", row("config", "["), row("evacuate/armor", "{}")));
	add_answer(f, 9, false, json_array());
	follow(f);
	assert_true(cf_evacuated(f->config, "armor"));
	assert_int_equal(2, cf_current(f->config)->queues.queues_len);
	assert_int_equal(3, cf_revision(f->config));
}

/* Guards against zones that stay in use because the name of another one is too
 * long for the messages between entries. */
static void
test_zone_name_too_long(void **state)
{
	struct fixture *f = *state;
	char *key = g_strnfill(PD_NAME_MAX + 1, 'a'),
	     *path = g_strconcat("evacuate/", key, NULL);

	add_answer(
	    f, 3, false, json_pack("[o,o]", config_row(2, 1), row(path, "{}")));
	add_answer(f, 4, false, json_pack("[o]", row("evacuate/armor", "{}")));
	follow(f);
	assert_int_equal(4, cf_revision(f->config));
	assert_int_equal(4, cf_zones_revision(f->config));
	assert_true(cf_evacuated(f->config, "armor"));
	g_free(path);
	g_free(key);
}

/* Guards against queues that stay old because more zones are out than the
 * messages between entries can hold. */
static void
test_queues_beside_too_many_zones(void **state)
{
	struct fixture *f = *state;
	json_t *rows = json_pack("[o]", config_row(4, 1));
	char path[32];
	unsigned i;

	for (i = 0; i < PD_AZS_MAX + 1; i++) {
		snprintf(path, sizeof(path), "evacuate/z%u", i);
		json_array_append_new(rows, row(path, "{}"));
	}
	add_answer(f, 3, false,
	    json_pack("[o,o]", config_row(2, 1), row("evacuate/z1", "{}")));
	add_answer(f, 4, false, rows);
	add_answer(f, 5, false, json_array());
	follow(f);
	assert_int_equal(4, cf_current(f->config)->queues.queues_len);
	assert_int_equal(5, cf_revision(f->config));
	assert_int_equal(3, cf_zones_revision(f->config));
	assert_true(cf_evacuated(f->config, "z1"));
	assert_int_equal(1, f->rejected);
}

/* Guards against queues under the revision of a configuration that cannot be
 * read, when the same answer has a readable one before it. */
static void
test_unreadable_configuration_after_readable(void **state)
{
	struct fixture *f = *state;

	add_answer(f, 3, false, json_pack("[o]", config_row(2, 1)));
	add_answer(f, 5, false,
	    json_pack("[o,o]", config_row(4, 1), row("config", "[")));
	add_answer(f, 9, false, json_array());
	follow(f);
	assert_int_equal(3, cf_revision(f->config));
	assert_int_equal(2, cf_current(f->config)->queues.queues_len);
	assert_int_equal(1, f->rejected);
}

/* Guards against a process that grows with each configuration that it rejects,
 * until it is killed. */
static void
test_memory_of_rejected_configurations(void **state)
{
	json_t *o = json_pack("{s:[o],s:i}", "rows",
	    config_row(REJECTED_QUEUES, PD_TEXT_MAX + 1), "ver", 4);
	char *body = json_dumps(o, JSON_COMPACT);
	size_t used = mallinfo2().uordblks;
	unsigned i;

	(void)state;
	for (i = 0; i < REJECTIONS; i++)
		an_free(an_decode(body, strlen(body)));
	/* Less than a byte for each queue. */
	assert_in_range(mallinfo2().uordblks, 0, used + REJECTED_QUEUES);
	free(body);
	json_decref(o);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_zone_after_rejected_configuration, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_zone_beside_unreadable_configuration, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_table_read_again, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_pages_read_again, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_start_beside_rejected_configuration, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_feed_restarts_beside_rejected_configuration, set_up,
		tear_down),
	    cmocka_unit_test_setup_teardown(
		test_zone_name_too_long, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_queues_beside_too_many_zones, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_unreadable_configuration_after_readable, set_up,
		tear_down),
	    cmocka_unit_test(test_memory_of_rejected_configurations),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
