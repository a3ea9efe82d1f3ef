#include <argtable2.h>
#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client.h"
#include "codec.h"
#include "command.h"
#include "config_check.h"
#include "dispatcher.h"
#include "exits.h"
#include "options.h"
#include "serve.h"
#include "jobtrace.h"

#define PROGRAM "pimentodock"
#define TIMEOUT_DEFAULT_S 15
#define TIMEOUT_MAX_S 600
#define ERRORS_MAX 20
#define NAMES_MAX PD_MEMBERS_MAX
#define ARGS_MAX 12
/* Log files that one command can read. */
#define LOGS_MAX 1000

enum command_type {
	TYPE_SETTINGS, /* reads a settings file, contacts no entry */
	TYPE_VIEW,     /* queries an entry */
	TYPE_LOGS,     /* reads log files, contacts no entry */
	TYPE_CONFIG,   /* reads configurations, contacts no entry */
	TYPE_CHANGE,   /* changes the configuration through an entry */
};

struct args;

/* A subcommand. */
struct command {
	const char *name;    /* one or two words */
	const char *operand; /* name of the operand, NULL for none */
	int (*run)(const struct args *a);
	const char *summary;
	const char *description; /* help beyond the summary, may be empty */
	enum command_type type;
	int operands_max;
};

/* Parsed arguments of a subcommand. */
struct args {
	const struct command *command;
	struct arg_lit *help;
	struct arg_file *settings;
	struct arg_str *operator_url;
	struct arg_file *token_file;
	struct arg_file *logs;
	struct arg_file *against;
	struct arg_lit *json;
	struct arg_int *timeout;
	struct arg_str *change_id;
	struct arg_str *expect;
	struct arg_str *operand;
	struct arg_end *end;
	void *argtable[ARGS_MAX];
	struct cl client;
};

static int
run_serve(const struct args *a)
{
	return (sv_run(a->settings->filename[0]));
}

static int
run_dispatch(const struct args *a)
{
	return (di_run(a->settings->filename[0]));
}

static int
run_dispatch_check(const struct args *a)
{
	int result;

	result = di_check(a->settings->filename[0]);
	if (result == EX_DONE)
		printf("%s is valid\n", a->settings->filename[0]);
	return (result);
}

static int
run_check(const struct args *a)
{
	int result;

	result = sv_check(a->settings->filename[0]);
	if (result == EX_DONE)
		printf("%s is valid\n", a->settings->filename[0]);
	return (result);
}

static int
run_status(const struct args *a)
{
	return (cl_status(&a->client));
}

static int
run_entries_list(const struct args *a)
{
	return (cl_entries(&a->client));
}

static int
run_config_show(const struct args *a)
{
	return (cl_config(&a->client));
}

static int
run_explain(const struct args *a)
{
	return (cl_explain(&a->client, a->operand->sval[0]));
}

static bool
read_log(struct so *trace, const char *path)
{
	FILE *f = fopen(path, "r");

	if (f == NULL) {
		fprintf(stderr, PROGRAM " trace: %s: %s\n", path,
		    g_strerror(errno));
		return (false);
	}
	so_add_log(trace, f);
	fclose(f);
	return (true);
}

static int
run_trace(const struct args *a)
{
	struct so *trace = so_new(a->operand->sval[0]);
	bool valid = true;
	int i;

	for (i = 0; valid && i < a->logs->count; i++)
		valid = read_log(trace, a->logs->filename[i]);
	if (a->logs->count == 0)
		so_add_log(trace, stdin);
	if (valid && !so_print(trace, stdout)) {
		fprintf(stderr,
		    PROGRAM
		    " trace: the logs contain nothing about \"%s\"; of "
		    "jobs that completed in time, only a sample is "
		    "logged\n",
		    a->operand->sval[0]);
		valid = false;
	}
	so_free(trace);
	return (valid ? EX_DONE : EX_FAILED);
}

static int
run_change_named(const struct args *a, const char *kind, const char *field)
{
	return (cl_post_change(&a->client,
	    json_pack("{s:s, s:s}", "kind", kind, field, a->operand->sval[0])));
}

static int
run_az_out(const struct args *a)
{
	return (run_change_named(a, "az_out", "az"));
}

static int
run_az_in(const struct args *a)
{
	return (run_change_named(a, "az_in", "az"));
}

static int
run_endpoint_retire(const struct args *a)
{
	return (run_change_named(a, "endpoint_retire", "name"));
}

static int
run_endpoint_restore(const struct args *a)
{
	return (run_change_named(a, "endpoint_restore", "name"));
}

static int
run_entries_forget(const struct args *a)
{
	json_t *names = json_array();
	int i;

	for (i = 0; i < a->operand->count; i++)
		json_array_append_new(names, json_string(a->operand->sval[i]));
	return (cl_post_change(&a->client,
	    json_pack("{s:s, s:o}", "kind", "entries_forget", "names", names)));
}

static int
run_config_apply(const struct args *a)
{
	json_error_t error;
	json_t *change;

	change =
	    json_load_file(a->operand->sval[0], JSON_REJECT_DUPLICATES, &error);
	if (!json_is_object(change)) {
		fprintf(stderr, PROGRAM ": %s:%d: %s\n", a->operand->sval[0],
		    error.line,
		    change != NULL ? "an inventory must be a JSON object"
				   : error.text);
		json_decref(change);
		return (EX_SETTINGS);
	}
	json_object_set_new(change, "kind", json_string("inventory_put"));
	return (cl_post_change(&a->client, change));
}

/* Reads a whole file. Return: owned text, NULL after printing the error. */
static char *
read_config(const char *path, size_t *len)
{
	GError *error = NULL;
	char *text = NULL;

	if (!g_file_get_contents(path, &text, len, &error)) {
		fprintf(stderr, PROGRAM " config check: %s\n", error->message);
		g_error_free(error);
	}
	return (text);
}

static bool
compare_config(struct kc *check, const char *path)
{
	g_autofree char *text = NULL;
	size_t len;

	text = read_config(path, &len);
	if (text == NULL)
		return (false);
	if (!kc_compare(check, text)) {
		fprintf(stderr,
		    PROGRAM
		    " config check: %s: is not a configuration that "
		    "an entry can read\n",
		    path);
		return (false);
	}
	return (true);
}

static int
run_config_check(const struct args *a)
{
	g_autofree char *text = NULL;
	struct kf *findings;
	int result = EX_SETTINGS;
	struct kc *check;
	char *output;
	size_t len;

	text = read_config(a->operand->sval[0], &len);
	if (text == NULL)
		return (EX_SETTINGS);
	check = kc_new(text, len);
	if (a->against->count == 0 ||
	    compare_config(check, a->against->filename[0])) {
		findings = kc_findings(check);
		output =
		    a->json->count > 0 ? kf_json(findings) : kf_text(findings);
		fputs(output, stdout);
		free(output);
		if (a->json->count == 0 && kf_count(findings) == 0)
			printf("%s is valid\n", a->operand->sval[0]);
		result = kf_failed(findings) ? EX_FAILED : EX_DONE;
	}
	kc_free(check);
	return (result);
}

/* A command comes before one whose name it begins with. */
static const struct command commands[] = {
    {"serve", NULL, run_serve, "run an entry",
	"Runs until SIGTERM, which starts a graceful shutdown.", TYPE_SETTINGS,
	0},
    {"dispatch check", NULL, run_dispatch_check,
	"check a settings file of dispatch and start nothing",
	"On an error, prints the file, line, key and what is allowed.",
	TYPE_SETTINGS, 0},
    {"dispatch", NULL, run_dispatch,
	"run an entry of transient jobs on the platform",
	"Runs until SIGTERM, which starts a graceful shutdown.", TYPE_SETTINGS,
	0},
    {"check", NULL, run_check, "check a settings file and start nothing",
	"On an error, prints the file, line, key and what is allowed.",
	TYPE_SETTINGS, 0},
    {"config show", NULL, run_config_show, "print the configuration",
	"The output is always JSON.", TYPE_VIEW, 0},
    {"config apply", "FILE", run_config_apply, "replace the inventory",
	"FILE is JSON: {\"azs\": [], \"teams\": [], \"endpoints\": [], "
	"\"rules\": []}.",
	TYPE_CHANGE, 1},
    {"config check", "FILE", run_config_check,
	"check a configuration of the platform before it is sent",
	"FILE is the document of the platform's store: {\"version\": 1, "
	"\"routes\": [],\n\"services\": [], \"limits\": {}}. Prints a line "
	"for each finding, the most severe\nfirst: error, contradiction (of "
	"limits), unmatched (a route that serves no\nrequest), difference "
	"(from "
	"the version in force), note. Exit code 0 without errors\nand "
	"contradictions, 1 with any, 2 for a usage error or an unreadable "
	"file.",
	TYPE_CONFIG, 1},
    {"zone out", "AZ", run_az_out, "take an availability zone out of service",
	"No task starts there more than 3 s after the change is accepted.",
	TYPE_CHANGE, 1},
    {"zone in", "AZ", run_az_in, "put an availability zone into service", "",
	TYPE_CHANGE, 1},
    {"endpoint retire", "NAME", run_endpoint_retire,
	"stop giving new work to an endpoint", "Running tasks finish.",
	TYPE_CHANGE, 1},
    {"endpoint restore", "NAME", run_endpoint_restore,
	"give work to a retired endpoint again", "", TYPE_CHANGE, 1},
    {"entries list", NULL, run_entries_list, "print the registered entries", "",
	TYPE_VIEW, 0},
    {"entries forget", "NAME", run_entries_forget,
	"remove entries that will not return",
	"For the loss of a majority of the entries at once. The named entries "
	"must have\nexited: a running one could still start tasks.",
	TYPE_CHANGE, NAMES_MAX},
    {"status", NULL, run_status,
	"print the state of an entry and of its endpoints", "", TYPE_VIEW, 0},
    {"explain", "ID", run_explain, "print what happened to a submission", "",
	TYPE_VIEW, 1},
    {"trace", "ID", run_trace, "print the history of a job from logs",
	"Merges the logs of any entries and agents. Prints the decisions about "
	"the job in\norder, the events of its workers, and the first problem.",
	TYPE_LOGS, 1},
};

static void
print_usage(FILE *to)
{
	size_t i;

	fprintf(to,
	    "Usage: " PROGRAM
	    " COMMAND [OPTION]...\n\n"
	    "Dispatches sub-second tasks to endpoints.\n\nCommands:\n");
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(
		    to, "  %-18s %s\n", commands[i].name, commands[i].summary);
	fprintf(to,
	    "\n`" PROGRAM
	    " COMMAND --help` prints the options of a command.\n"
	    "Exit codes: 0 done, 1 failed, 2 usage or settings error, 3 "
	    "conflict,\n4 pending (written, not yet accepted).\n");
}

/* Finds the subcommand; sets @words to the number of words of its name. */
static const struct command *
find_command(int argc, char **argv, int *words)
{
	char *two = NULL;
	size_t i;

	if (argc > 2)
		two = g_strconcat(argv[1], " ", argv[2], NULL);
	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		*words =
		    two != NULL && strcmp(two, commands[i].name) == 0 ? 2 : 1;
		if (*words == 2 || strcmp(argv[1], commands[i].name) == 0)
			break;
	}
	g_free(two);
	return (i < G_N_ELEMENTS(commands) ? &commands[i] : NULL);
}

static void
add_client_options(struct args *a, int *n)
{
	a->argtable[(*n)++] = a->operator_url = arg_str1(NULL, "operator",
	    "URL",
	    "operators' address of an entry, such as http://127.0.0.1:8081");
	a->argtable[(*n)++] = a->token_file = arg_file1(
	    NULL, "token-file", "FILE", "file with the operators' token");
	a->argtable[(*n)++] = a->json =
	    arg_lit0(NULL, "json", "print the answer of the entry as JSON");
	a->argtable[(*n)++] = a->timeout = arg_int0(NULL, "timeout", "SECONDS",
	    "limit for one answer, 1 to 600 (default 15)");
	if (a->command->type != TYPE_CHANGE)
		return;
	a->argtable[(*n)++] = a->change_id = arg_str0(NULL, "change-id", "ID",
	    "id of the change, to repeat one whose answer was lost");
	a->argtable[(*n)++] = a->expect = arg_str0(NULL, "expect", "REVISION",
	    "make the change only if this is the last revision");
}

static void
add_config_options(struct args *a, int *n)
{
	a->argtable[(*n)++] = a->against = arg_file0(NULL, "against", "FILE",
	    "configuration in force, to print the differences from");
	a->argtable[(*n)++] = a->json =
	    arg_lit0(NULL, "json", "print the findings as JSON");
}

static bool
build_argtable(struct args *a)
{
	const struct command *c = a->command;
	int n = 0;

	a->argtable[n++] = a->help = arg_lit0("h", "help", "print this help");
	if (c->type == TYPE_SETTINGS)
		a->argtable[n++] = a->settings = arg_file1(
		    NULL, "settings", "FILE", "settings of the entry (TOML)");
	else if (c->type == TYPE_LOGS)
		a->argtable[n++] = a->logs = arg_filen(NULL, "log", "FILE", 0,
		    LOGS_MAX, "log of an entry or an agent (standard input)");
	else if (c->type == TYPE_CONFIG)
		add_config_options(a, &n);
	else
		add_client_options(a, &n);
	if (c->operand != NULL)
		a->argtable[n++] = a->operand =
		    arg_strn(NULL, NULL, c->operand, 1, c->operands_max, NULL);
	a->argtable[n++] = a->end = arg_end(ERRORS_MAX);
	return (arg_nullcheck(a->argtable) == 0);
}

static void
print_help(const struct args *a)
{
	printf("Usage: " PROGRAM " %s", a->command->name);
	arg_print_syntax(stdout, (void **)(uintptr_t)a->argtable, "\n\n");
	printf("%c%s.\n", g_ascii_toupper(a->command->summary[0]),
	    a->command->summary + 1);
	if (a->command->description[0] != '\0')
		printf("%s\n", a->command->description);
	putchar('\n');
	arg_print_glossary(
	    stdout, (void **)(uintptr_t)a->argtable, "  %-22s %s\n");
}

static int
usage_error(const struct args *a, const char *text)
{
	fprintf(stderr, PROGRAM " %s: %s\n", a->command->name, text);
	return (EX_SETTINGS);
}

static int
check_operands(const struct args *a)
{
	int i;

	if (a->operand == NULL || strcmp(a->command->operand, "FILE") == 0)
		return (EX_DONE);
	for (i = 0; i < a->operand->count; i++)
		if (!co_name_ok(a->operand->sval[i], PD_ID_MAX)) {
			fprintf(stderr,
			    PROGRAM
			    " %s: \"%s\" has other characters than "
			    "letters, digits and -._:~\n",
			    a->command->name, a->operand->sval[i]);
			return (EX_SETTINGS);
		}
	return (EX_DONE);
}

/*
 * Sets up the client from the arguments.
 * @token: set to the token that the client borrows, owned by the caller
 *
 * Return: EX_DONE, or EX_SETTINGS after printing what is wrong.
 */
static int
init_client(struct args *a, char **token)
{
	char message[512];
	int timeout = TIMEOUT_DEFAULT_S;

	if (!g_str_has_prefix(a->operator_url->sval[0], "http://"))
		return (usage_error(a, "--operator must begin with http://"));
	if (a->timeout->count > 0)
		timeout = a->timeout->ival[0];
	if (timeout < 1 || timeout > TIMEOUT_MAX_S)
		return (usage_error(a, "--timeout must be from 1 to 600"));
	if (a->expect != NULL && a->expect->count > 0 &&
	    !co_parse_positive(a->expect->sval[0], &a->client.expect))
		return (usage_error(a, "--expect must be a revision above 0"));
	if (a->change_id != NULL && a->change_id->count > 0) {
		a->client.change_id = a->change_id->sval[0];
		if (!co_name_ok(a->client.change_id, PD_NAME_MAX))
			return (usage_error(a,
			    "--change-id must be 1 to 64 letters, digits and "
			    "-._:~"));
	}
	*token =
	    op_read_token(a->token_file->filename[0], message, sizeof(message));
	if (*token == NULL)
		return (usage_error(a, message));
	a->client.url = a->operator_url->sval[0];
	a->client.token = *token;
	a->client.json = a->json->count > 0;
	a->client.timeout_s = (unsigned)timeout;
	return (check_operands(a));
}

static int
run(struct args *a, int argc, char **argv)
{
	char *token = NULL;
	int errors, result;

	errors = arg_parse(argc, argv, a->argtable);
	if (a->help->count > 0) {
		print_help(a);
		return (EX_DONE);
	}
	if (errors > 0) {
		char *name = g_strconcat(PROGRAM " ", a->command->name, NULL);

		arg_print_errors(stderr, a->end, name);
		fprintf(stderr, "Try `%s --help`.\n", name);
		g_free(name);
		return (EX_SETTINGS);
	}
	if (a->command->type == TYPE_SETTINGS)
		result = EX_DONE;
	else if (a->command->type == TYPE_LOGS ||
	    a->command->type == TYPE_CONFIG)
		result = check_operands(a);
	else
		result = init_client(a, &token);
	if (result == EX_DONE)
		result = a->command->run(a);
	g_free(token);
	return (result);
}

int
cm_main(int argc, char **argv)
{
	struct args a = {0};
	int words, result = EX_FAILED;

	if (argc > 1 &&
	    (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0)) {
		print_usage(stdout);
		return (EX_DONE);
	}
	if (argc > 1)
		a.command = find_command(argc, argv, &words);
	if (a.command == NULL) {
		if (argc > 1)
			fprintf(stderr, PROGRAM ": \"%s\" is not a command\n\n",
			    argv[1]);
		print_usage(stderr);
		return (EX_SETTINGS);
	}
	if (build_argtable(&a))
		result = run(&a, argc - words, argv + words);
	arg_freetable(a.argtable, G_N_ELEMENTS(a.argtable));
	return (result);
}
