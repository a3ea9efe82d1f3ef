#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "harness_cell.h"

#define CLI_TIMEOUT_MS 30000U
#define CLI_WORDS_MAX 16
/* Longest run of a load client, including deadline and grace time. */
#define LOAD_TIMEOUT_MS 150000U
#define LOAD_WORDS_MAX 64

int
pc_cli(struct pc *c, unsigned entry, char **output, const char *const *words)
{
	char *token = hn_path(c->hn, "token");
	char *url =
	    g_strdup_printf("http://127.0.0.1:%u", c->entries[entry].operators);
	const char *argv[CLI_WORDS_MAX + 6] = {"entry/pimentodock"};
	size_t n = 1;
	int status;

	for (; *words != NULL && n < CLI_WORDS_MAX; words++)
		argv[n++] = *words;
	argv[n++] = "--operator";
	argv[n++] = url;
	argv[n++] = "--token-file";
	argv[n++] = token;
	argv[n] = NULL;
	status = hn_run(c->hn, argv, output, CLI_TIMEOUT_MS);
	g_free(token);
	g_free(url);
	return (status);
}

int
pc_set_az(struct pc *c, unsigned entry, const char *az, bool in)
{
	const char *words[] = {"zone", in ? "in" : "out", az, NULL};

	return (pc_cli(c, entry, NULL, words));
}

char *
pc_submission_json(const char *id, uint64_t created_ms, unsigned tasks,
    unsigned run_ms, unsigned deadline_ms)
{
	json_t *list = json_array(), *root;
	char *text;

	for (unsigned i = 0; i < tasks; i++) {
		char body[256];

		snprintf(body, sizeof(body), "%s/%u;run_ms=%u", id, i, run_ms);
		json_array_append_new(list,
		    json_pack("{s:s, s:i}", "body", body, "size_ms",
			run_ms > 0 ? (int)run_ms : 1));
	}
	root = json_pack("{s:s, s:I, s:s, s:s, s:i, s:o}", "id", id,
	    "created_ms", (json_int_t)created_ms, "team", PC_TEAM, "service",
	    PC_SERVICE, "deadline_ms", (int)deadline_ms, "tasks", list);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return (text);
}

int
pc_submit(struct pc *c, unsigned entry, const char *body, unsigned wait_ms,
    json_t **answer)
{
	char path[96] = "/v1/submissions";

	if (wait_ms > 0)
		snprintf(
		    path, sizeof(path), "/v1/submissions?wait_ms=%u", wait_ms);
	return (hn_http(
	    "POST", c->entries[entry].callers, path, body, NULL, answer));
}

static int
request_by_id(struct pc *c, const char *verb, unsigned entry, const char *id,
    uint64_t created_ms, unsigned wait_ms, json_t **answer)
{
	char *path =
	    g_strdup_printf("/v1/submissions/%s?created_ms=%llu&wait_ms=%u", id,
		(unsigned long long)created_ms, wait_ms);
	int status =
	    hn_http(verb, c->entries[entry].callers, path, NULL, NULL, answer);

	g_free(path);
	return (status);
}

int
pc_fetch(struct pc *c, unsigned entry, const char *id, uint64_t created_ms,
    unsigned wait_ms, json_t **answer)
{
	return (
	    request_by_id(c, "GET", entry, id, created_ms, wait_ms, answer));
}

int
pc_cancel(struct pc *c, unsigned entry, const char *id, uint64_t created_ms,
    json_t **answer)
{
	return (
	    request_by_id(c, "DELETE", entry, id, created_ms, 2000, answer));
}

struct pc_load
pc_load_start(struct pc *c, const char *options)
{
	char *name = g_strdup_printf("load-%u", ++c->loads);
	char *log_name = g_strconcat(name, ".log", NULL);
	struct pc_load load = {.log = hn_path(c->hn, log_name)};
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
	char **words = g_strsplit(options, " ", LOAD_WORDS_MAX);

	g_ptr_array_add(argv, g_strdup("fakes/fake_load"));
	for (unsigned i = 0; i < c->options.entries; i++) {
		g_ptr_array_add(argv, g_strdup("--entry"));
		g_ptr_array_add(argv,
		    g_strdup_printf("127.0.0.1:%u", c->entries[i].callers));
	}
	g_ptr_array_add(argv, g_strdup_printf("--prefix=%s", name));
	g_ptr_array_add(argv, g_strdup_printf("--log=%s", load.log));
	for (char **word = words; *word != NULL; word++)
		g_ptr_array_add(argv, g_strdup(*word));
	g_ptr_array_add(argv, NULL);
	load.proc = hn_start(c->hn, name, (const char *const *)argv->pdata);
	g_ptr_array_free(argv, TRUE);
	g_strfreev(words);
	g_free(log_name);
	g_free(name);
	return (load);
}

static struct pc_result
wait_for_load(const struct pc_load *load)
{
	int status = hn_wait(load->proc, LOAD_TIMEOUT_MS);
	char *text = hn_output(load->proc);
	struct pc_result r = {
	    .submissions = hn_parse_count(text, "submissions"),
	    .complete = hn_parse_count(text, "complete"),
	    .failed = hn_parse_count(text, "failed"),
	    .refused = hn_parse_count(text, "refused"),
	    .unknown = hn_parse_count(text, "unknown"),
	    .unanswered = hn_parse_count(text, "unanswered"),
	    .errors = hn_parse_count(text, "errors"),
	    .partial = hn_parse_count(text, "partial"),
	    .foreign = hn_parse_count(text, "foreign"),
	    .mismatch = hn_parse_count(text, "mismatch"),
	    .refused_run = hn_parse_count(text, "refused_run"),
	};

	print_message("exit code %d, %s", status, text);
	g_free(text);
	return (r);
}

struct hl_starts *
pc_read_starts(struct pc *c)
{
	return (hl_read(c->start_log));
}

struct pc_result
pc_load_check(struct pc *c, struct pc_load *load)
{
	struct pc_result r = wait_for_load(load);
	struct hl_starts *starts = pc_read_starts(c);
	struct hl_mismatches v = hl_compare(starts, load->log);
	size_t repeated_starts = hl_double_starts(starts);

	hl_free(starts);
	g_free(load->log);
	load->log = NULL;
	assert_true(r.submissions > 0);
	assert_int_equal(v.submissions, r.submissions);
	assert_int_equal(repeated_starts, 0);
	assert_int_equal(v.refused_started, 0);
	assert_int_equal(v.incomplete_started, 0);
	assert_int_equal(r.refused_run, 0);
	assert_int_equal(r.unanswered, 0);
	assert_int_equal(r.errors, 0);
	assert_int_equal(r.partial, 0);
	assert_int_equal(r.foreign, 0);
	assert_int_equal(r.mismatch, 0);
	return (r);
}

size_t
pc_count_az_starts(
    struct pc *c, const char *az, uint64_t from_ms, uint64_t to_ms)
{
	struct hl_starts *starts = pc_read_starts(c);
	size_t n = 0;

	for (unsigned i = 0; i < c->options.agents; i++)
		if (strcmp(c->agents[i].az, az) == 0)
			n += hl_starts_between(
			    starts, c->agents[i].name, from_ms, to_ms);
	hl_free(starts);
	return (n);
}
