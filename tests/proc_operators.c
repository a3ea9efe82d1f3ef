#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "harness_cell.h"

/*
 * Runs operators' commands against running entries: exit codes, conflicts, and
 * changes whose answer is lost.
 */

#define WORDS_MAX 10

static int
set_up(void **state)
{
	const struct pc_options options = {.entries = 2, .agents = 2};

	*state = pc_new(&options);
	return (0);
}

static int
tear_down(void **state)
{
	pc_free(*state);
	return (0);
}

/* Runs a command, given as words separated by spaces, through entry 0. */
static int
run_command(struct pc *c, char **output, const char *text)
{
	char **words = g_strsplit(text, " ", WORDS_MAX);
	int code;

	code = pc_cli(c, 0, output, (const char *const *)words);
	g_strfreev(words);
	return (code);
}

static json_int_t
get_revision(struct pc *c)
{
	char *output;
	json_int_t value;
	json_t *root;

	assert_int_equal(run_command(c, &output, "status --json"), 0);
	root = json_loads(output, 0, NULL);
	assert_non_null(root);
	value = json_integer_value(json_object_get(root, "revision"));
	json_decref(root);
	g_free(output);
	return (value);
}

/* Guards against a repeated command that makes its change twice. */
static void
test_repeated_change_id(void **state)
{
	json_int_t before = get_revision(*state);

	assert_int_equal(
	    run_command(*state, NULL, "zone out armor --change-id c-1"), 0);
	assert_int_equal(
	    run_command(*state, NULL, "zone out armor --change-id c-1"), 0);
	assert_int_equal(get_revision(*state), before + 1);
	assert_int_equal(
	    run_command(*state, NULL, "zone in armor --change-id c-2"), 0);
	assert_int_equal(get_revision(*state), before + 2);
}

/* Guards against a change that overwrites one that the operator has not seen,
 * and against a conflict that does not print both changes. */
static void
test_conflict(void **state)
{
	json_int_t before = get_revision(*state);
	char *text, *output;

	text = g_strdup_printf(
	    "zone out armor --change-id c-3 --expect %lld", (long long)before);
	assert_int_equal(run_command(*state, NULL, text), 0);
	g_free(text);
	text = g_strdup_printf(
	    "zone out morbihan --change-id c-4 --expect "
	    "%lld",
	    (long long)before);
	assert_int_equal(run_command(*state, &output, text), 3);
	assert_non_null(strstr(output, "\"c-3\""));
	assert_non_null(strstr(output, "\"c-4\""));
	g_free(text);
	g_free(output);
	assert_int_equal(get_revision(*state), before + 1);
	assert_int_equal(run_command(*state, NULL, "zone in armor"), 0);
}

/* Guards against accepting changes of unknown zones, endpoints and entries. */
static void
test_refused_changes(void **state)
{
	json_int_t before = get_revision(*state);

	assert_int_equal(run_command(*state, NULL, "zone out nowhere"), 1);
	assert_int_equal(
	    run_command(*state, NULL, "endpoint retire nobody"), 1);
	assert_int_equal(run_command(*state, NULL, "entries forget nobody"), 1);
	assert_int_equal(run_command(*state, NULL, "explain no-such-id"), 1);
	assert_int_equal(get_revision(*state), before);
}

/* Guards against a change that is made twice or reported as failed when the
 * platform wrote it but its answer was lost. */
static void
test_lost_platform_answer(void **state)
{
	struct pc *c = *state;
	json_int_t before = get_revision(c);

	hn_control(c->platform, "lose_writes=1");
	assert_int_equal(
	    run_command(c, NULL, "endpoint retire order-desk-1"), 0);
	assert_int_equal(get_revision(c), before + 1);
	assert_int_equal(
	    run_command(c, NULL, "endpoint restore order-desk-1"), 0);
	assert_int_equal(get_revision(c), before + 2);
}

/* Guards against reads of the configuration that fail, and changes that are
 * accepted, while the platform is down. */
static void
test_platform_down(void **state)
{
	struct pc *c = *state;
	char *output;

	hn_control(c->platform, "mode=down");
	assert_int_equal(run_command(c, NULL, "zone out armor"), 1);
	assert_int_equal(run_command(c, &output, "entries list"), 0);
	assert_non_null(strstr(output, "entry-1"));
	assert_non_null(strstr(output, "entry-2"));
	g_free(output);
	assert_int_equal(run_command(c, &output, "config show"), 0);
	assert_non_null(strstr(output, "\"order-desk-2\""));
	g_free(output);
	hn_control(c->platform, "mode=up");
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_repeated_change_id),
	    cmocka_unit_test(test_conflict),
	    cmocka_unit_test(test_refused_changes),
	    cmocka_unit_test(test_lost_platform_answer),
	    cmocka_unit_test(test_platform_down),
	};

	return (cmocka_run_group_tests(tests, set_up, tear_down));
}
