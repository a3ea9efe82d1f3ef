#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <sys/wait.h>

#define PROGRAM "entry/pimentodock"
#define ARGS_MAX 12

#define VALID_SETTINGS                                                         \
	"name = \"entry-1\"\navailability_zone = \"finistere\"\n[listen]\n"    \
	"callers = \"127.0.0.1:39130\"\noperators = \"127.0.0.1:39131\"\n"     \
	"rpc = \"127.0.0.1:39132\"\n[platform]\nurl = "                        \
	"\"http://127.0.0.1:1\"\n"
#define OPERATORS_SECTION "[operators]\ntoken_file = \"token\"\n"

static char *folder;
static char *settings_path;
static char *token_path;

static int
setup(void **state)
{
	(void)state;
	folder = g_dir_make_tmp("pimentodock-XXXXXX", NULL);
	settings_path = g_build_filename(folder, "settings.toml", NULL);
	token_path = g_build_filename(folder, "token", NULL);
	return (g_file_set_contents(token_path, "0123456789abcdef\n", -1, NULL)
		? 0
		: -1);
}

static int
teardown(void **state)
{
	(void)state;
	g_unlink(settings_path);
	g_unlink(token_path);
	g_rmdir(folder);
	g_free(settings_path);
	g_free(token_path);
	g_free(folder);
	return (0);
}

/* Runs the program; returns its exit code, sets its output. */
static int
run(const char *const *args, char **out, char **err)
{
	char *argv[ARGS_MAX + 2] = {(char *)(uintptr_t)PROGRAM};
	int status = -1;
	size_t i;

	for (i = 0; i < ARGS_MAX && args[i] != NULL; i++)
		argv[i + 1] = (char *)(uintptr_t)args[i];
	assert_true(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL,
	    out, err, &status, NULL));
	assert_true(WIFEXITED(status));
	return (WEXITSTATUS(status));
}

static void
check_settings(const char *text, int code, const char *expected)
{
	const char *const args[] = {"check", "--settings", settings_path, NULL};
	char *out, *err;

	assert_true(g_file_set_contents(settings_path, text, -1, NULL));
	if (run(args, &out, &err) != code ||
	    strstr(code == 0 ? out : err, expected) == NULL)
		fail_msg("\"%s\" prints \"%s%s\" instead of \"%s\"", text, out,
		    err, expected);
	g_free(out);
	g_free(err);
}

/* Guards against accepting invalid settings, and against errors that do not
 * name the key. */
static void
test_settings(void **state)
{
	(void)state;
	check_settings(VALID_SETTINGS OPERATORS_SECTION, 0, "is valid");
	check_settings(VALID_SETTINGS, 2, "operators.token_file: missing");
	check_settings(VALID_SETTINGS OPERATORS_SECTION
	    "[log]\nlevle = \"info\"\n",
	    2, "log.levle: unknown key");
	check_settings(VALID_SETTINGS OPERATORS_SECTION
	    "[log]\nlevel = \"loud\"\n",
	    2, "log.level: \"loud\" is not allowed");
	check_settings(VALID_SETTINGS OPERATORS_SECTION
	    "[submission]\nlife_s = 0\n",
	    2, "submission.life_s: value 0 is out of range");
	check_settings(VALID_SETTINGS OPERATORS_SECTION
	    "[dispatch]\npolicy = \"best\"\n",
	    2, "dispatch.policy");
	check_settings(VALID_SETTINGS OPERATORS_SECTION
	    "[peers]\naddresses = [\"host:1\"]\n",
	    2, "peers.addresses: \"host:1\" is not an IPv4 number");
	check_settings(VALID_SETTINGS "[operators]\ntoken_file = \"missing\"\n",
	    2, "missing");
	check_settings("name = \"a b\"\n", 2, "missing");
	check_settings("name = [\n", 2, "settings.toml:");
}

/* Guards against serving where clients submit a job again while a run of it may
 * be left at an agent that has lost its entry: it would run twice at a time. */
static void
test_dispatch_settings(void **state)
{
	const char *const args[] = {
	    "dispatch", "--settings", settings_path, NULL};
	char *out, *err;

	(void)state;
	assert_true(g_file_set_contents(
	    settings_path, "[clients]\nresubmit_ms = 1000\n", -1, NULL));
	assert_int_equal(2, run(args, &out, &err));
	assert_non_null(
	    strstr(err, "clients.resubmit_ms: value 1000 is out of range"));
	g_free(out);
	g_free(err);
}

/* Guards against an entry that starts to serve before its settings have been
 * validated. */
static void
test_serve_rejects_settings(void **state)
{
	const char *const args[] = {"serve", "--settings", settings_path, NULL};
	char *out, *err;

	(void)state;
	assert_true(g_file_set_contents(settings_path, "x = 1\n", -1, NULL));
	assert_int_equal(run(args, &out, &err), 2);
	assert_non_null(strstr(err, "unknown key"));
	assert_null(strstr(err, "serves"));
	g_free(out);
	g_free(err);
}

/* Guards against wrong exit codes of the check of a configuration, by which
 * scripts decide whether to send it. */
static void
test_config_check(void **state)
{
	static const char *const valid =
	    "{\"version\":7,\"routes\":[],\"services\":[],\"limits\":{"
	    "\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
	    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
	static const struct {
		const char *args[ARGS_MAX];
		int code;
		const char *expected;
	} cases[] = {
	    {{"config", "check", "%S"}, 0, "is valid\n"},
	    {{"config", "check", "%S", "--json"}, 0, "{\"findings\":[]}\n"},
	    {{"config", "check", "%S", "--against", "%S", "--json"}, 1,
		"\"contradiction\""},
	    {{"config", "check", "%S", "--against", "%S"}, 1,
		"contradiction: document: version 7 is not above 7"},
	    {{"config", "check", "%T"}, 1, "error: document: is not JSON"},
	    {{"config", "check", "%S", "--against", "%T"}, 2,
		"is not a configuration"},
	    {{"config", "check", "no-such-file"}, 2, "no-such-file"},
	    {{"config", "check", "%S", "--against", "no-such-file"}, 2,
		"no-such-file"},
	    {{"config", "check"}, 2, "missing option"},
	    /* A command of two words whose first one is another command. */
	    {{"dispatch", "check", "--settings", "no-such-file"}, 2,
		"no-such-file"},
	};
	const char *args[ARGS_MAX + 1] = {NULL}, *arg;
	char *out, *err;
	size_t i, j;
	int code;

	(void)state;
	assert_true(g_file_set_contents(settings_path, valid, -1, NULL));
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (j = 0; j < ARGS_MAX; j++) {
			arg = cases[i].args[j];
			if (g_strcmp0(arg, "%S") == 0)
				arg = settings_path;
			else if (g_strcmp0(arg, "%T") == 0)
				arg = token_path;
			args[j] = arg;
		}
		code = run(args, &out, &err);
		if (code != cases[i].code ||
		    strstr(code == 2 ? err : out, cases[i].expected) == NULL)
			fail_msg("case %zu: exit code %d, \"%s%s\"", i, code,
			    out, err);
		g_free(out);
		g_free(err);
	}
}

/* Guards against wrong exit codes and missing messages on usage errors and when
 * the entry cannot be reached. %T stands for the path of the token file. */
static void
test_usage_errors(void **state)
{
	static const struct {
		const char *args[ARGS_MAX];
		int code;
		const char *expected;
	} cases[] = {
	    {{NULL}, 2, "Usage: pimentodock COMMAND"},
	    {{"zone"}, 2, "\"zone\" is not a command"},
	    {{"zone", "sideways", "x"}, 2, "\"zone\" is not a command"},
	    {{"serve"}, 2, "missing option"},
	    {{"serve", "--settings"}, 2, "requires an argument"},
	    {{"status", "--fast"}, 2, "invalid option"},
	    {{"status", "--operator", "http://127.0.0.1:1"}, 2,
		"missing option"},
	    {{"status", "--operator", "127.0.0.1:1", "--token-file", "%T"}, 2,
		"must begin with http://"},
	    {{"status", "--operator", "http://127.0.0.1:1", "--token-file",
		 "no-such-file"},
		2, "no-such-file"},
	    {{"zone", "out", "--operator", "http://127.0.0.1:1", "--token-file",
		 "%T"},
		2, "missing option"},
	    {{"zone", "out", "a/b", "--operator", "http://127.0.0.1:1",
		 "--token-file", "%T"},
		2, "other characters"},
	    {{"zone", "out", "x", "--expect", "0", "--operator",
		 "http://127.0.0.1:1", "--token-file", "%T"},
		2, "--expect must"},
	    {{"config", "apply", "no-such-file", "--operator",
		 "http://127.0.0.1:1", "--token-file", "%T"},
		2, "no-such-file"},
	    {{"status", "--operator", "http://127.0.0.1:1", "--token-file",
		 "%T"},
		1, "no answer from http://127.0.0.1:1"},
	    {{"zone", "out", "x", "--operator", "http://127.0.0.1:1",
		 "--token-file", "%T", "--change-id", "c-1"},
		1, "repeat the command with --change-id c-1"},
	};
	const char *args[ARGS_MAX + 1];
	char *out, *err;
	size_t i, j;
	int code;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (j = 0; j < ARGS_MAX && cases[i].args[j] != NULL; j++)
			args[j] = strcmp(cases[i].args[j], "%T") == 0
			    ? token_path
			    : cases[i].args[j];
		args[j] = NULL;
		code = run(args, &out, &err);
		if (code != cases[i].code ||
		    strstr(err, cases[i].expected) == NULL)
			fail_msg(
			    "case %zu: exit code %d, \"%s\"", i, code, err);
		g_free(out);
		g_free(err);
	}
}

/* Guards against commands whose --help fails or prints nothing useful. */
static void
test_help(void **state)
{
	static const char *const commands[][3] = {{"serve"}, {"check"},
	    {"config", "show"}, {"config", "apply"}, {"config", "check"},
	    {"zone", "out"}, {"zone", "in"}, {"endpoint", "retire"},
	    {"endpoint", "restore"}, {"entries", "list"}, {"entries", "forget"},
	    {"status"}, {"explain"}};
	const char *args[4];
	char *out, *err;
	size_t i, n;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		n = 0;
		args[n++] = commands[i][0];
		if (commands[i][1] != NULL)
			args[n++] = commands[i][1];
		args[n++] = "--help";
		args[n] = NULL;
		assert_int_equal(run(args, &out, &err), 0);
		assert_true(g_str_has_prefix(out, "Usage: pimentodock "));
		assert_non_null(strstr(out, commands[i][0]));
		assert_non_null(strstr(out, "--help"));
		assert_string_equal(err, "");
		g_free(out);
		g_free(err);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_settings),
	    cmocka_unit_test(test_dispatch_settings),
	    cmocka_unit_test(test_serve_rejects_settings),
	    cmocka_unit_test(test_config_check),
	    cmocka_unit_test(test_usage_errors),
	    cmocka_unit_test(test_help),
	};

	return (cmocka_run_group_tests(tests, setup, teardown));
}
