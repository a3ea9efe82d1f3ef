#include <argtable2.h>
#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "client.h"
#include "codec.h"
#include "command.h"
#include "dispatcher.h"
#include "exits.h"
#include "options.h"
#include "serve.h"
#include "story.h"

#define PROGRAM "pimentodock"
#define TIMEOUT_DEFAULT_S 15
#define TIMEOUT_MAX_S 600
#define ERRORS_MAX 20
#define NAMES_MAX PD_MEMBERS_MAX
#define ARGS_MAX 12
/* Logs that one command reads. */
#define LOGS_MAX 1000

enum shape {
	SHAPE_SETTINGS, /* reads a settings file, asks no entry */
	SHAPE_VIEW,     /* asks an entry */
	SHAPE_LOGS,     /* reads logs, asks no entry */
	SHAPE_CHANGE,   /* changes the configuration through an entry */
};

struct parsed;

/* A subcommand of one or two words. */
struct command {
	const char *words;
	const char *operand; /* name of the operand, NULL for none */
	int (*run)(const struct parsed *p);
	const char *summary;
	const char *text; /* further help */
	enum shape shape;
	int operands_max;
};

/* Arguments of a subcommand. */
struct parsed {
	const struct command *command;
	struct arg_lit *help;
	struct arg_file *settings;
	struct arg_str *operator_url;
	struct arg_file *token_file;
	struct arg_file *logs;
	struct arg_lit *json;
	struct arg_int *timeout;
	struct arg_str *change_id;
	struct arg_str *expect;
	struct arg_str *operand;
	struct arg_end *end;
	void *table[ARGS_MAX];
	struct cl client;
};

static int
run_serve(const struct parsed *p)
{
	return (sv_run(p->settings->filename[0]));
}

static int
run_dispatch(const struct parsed *p)
{
	return (di_run(p->settings->filename[0]));
}

static int
run_dispatch_check(const struct parsed *p)
{
	int result;

	result = di_check(p->settings->filename[0]);
	if (result == EX_DONE)
		printf("%s is valid\n", p->settings->filename[0]);
	return (result);
}

static int
run_check(const struct parsed *p)
{
	int result;

	result = sv_check(p->settings->filename[0]);
	if (result == EX_DONE)
		printf("%s is valid\n", p->settings->filename[0]);
	return (result);
}

static int
run_status(const struct parsed *p)
{
	return (cl_status(&p->client));
}

static int
run_entries_list(const struct parsed *p)
{
	return (cl_entries(&p->client));
}

static int
run_config_show(const struct parsed *p)
{
	return (cl_config(&p->client));
}

static int
run_explain(const struct parsed *p)
{
	return (cl_explain(&p->client, p->operand->sval[0]));
}

static bool
read_log(struct so *story, const char *path)
{
	FILE *f = fopen(path, "r");

	if (f == NULL) {
		fprintf(stderr, PROGRAM " trace: %s: %s\n", path,
		    g_strerror(errno));
		return (false);
	}
	so_read(story, f);
	fclose(f);
	return (true);
}

static int
run_trace(const struct parsed *p)
{
	struct so *story = so_new(p->operand->sval[0]);
	bool valid = true;
	int i;

	for (i = 0; valid && i < p->logs->count; i++)
		valid = read_log(story, p->logs->filename[i]);
	if (p->logs->count == 0)
		so_read(story, stdin);
	if (valid && !so_print(story, stdout)) {
		fprintf(stderr,
		    PROGRAM
		    " trace: the logs tell nothing about \"%s\"; a "
		    "job that ended well and in time is logged in a "
		    "sample only\n",
		    p->operand->sval[0]);
		valid = false;
	}
	so_free(story);
	return (valid ? EX_DONE : EX_FAILED);
}

static int
change_name(const struct parsed *p, const char *kind, const char *field)
{
	return (cl_change(&p->client,
	    json_pack("{s:s, s:s}", "kind", kind, field, p->operand->sval[0])));
}

static int
run_zone_out(const struct parsed *p)
{
	return (change_name(p, "az_out", "az"));
}

static int
run_zone_in(const struct parsed *p)
{
	return (change_name(p, "az_in", "az"));
}

static int
run_endpoint_retire(const struct parsed *p)
{
	return (change_name(p, "endpoint_retire", "name"));
}

static int
run_endpoint_restore(const struct parsed *p)
{
	return (change_name(p, "endpoint_restore", "name"));
}

static int
run_entries_forget(const struct parsed *p)
{
	json_t *names = json_array();
	int i;

	for (i = 0; i < p->operand->count; i++)
		json_array_append_new(names, json_string(p->operand->sval[i]));
	return (cl_change(&p->client,
	    json_pack("{s:s, s:o}", "kind", "entries_forget", "names", names)));
}

static int
run_config_apply(const struct parsed *p)
{
	json_error_t error;
	json_t *change;

	change =
	    json_load_file(p->operand->sval[0], JSON_REJECT_DUPLICATES, &error);
	if (!json_is_object(change)) {
		fprintf(stderr, PROGRAM ": %s:%d: %s\n", p->operand->sval[0],
		    error.line,
		    change != NULL ? "an inventory must be a JSON object"
				   : error.text);
		json_decref(change);
		return (EX_SETTINGS);
	}
	json_object_set_new(change, "kind", json_string("inventory_put"));
	return (cl_change(&p->client, change));
}

static const struct command commands[] = {
    {"serve", NULL, run_serve, "run an entry",
	"Runs until SIGTERM, which starts a graceful shutdown.", SHAPE_SETTINGS,
	0},
    {"dispatch", NULL, run_dispatch,
	"run an entry of transient jobs on the platform",
	"Runs until SIGTERM, which starts a graceful shutdown.", SHAPE_SETTINGS,
	0},
    {"dispatch check", NULL, run_dispatch_check,
	"check a settings file of dispatch and start nothing",
	"Prints the file, line, key and what is allowed on an error.",
	SHAPE_SETTINGS, 0},
    {"check", NULL, run_check, "check a settings file and start nothing",
	"Prints the file, line, key and what is allowed on an error.",
	SHAPE_SETTINGS, 0},
    {"config show", NULL, run_config_show, "print the configuration",
	"The output is JSON in any case.", SHAPE_VIEW, 0},
    {"config apply", "FILE", run_config_apply, "replace the inventory",
	"FILE is JSON: {\"azs\": [], \"teams\": [], \"endpoints\": [], "
	"\"rules\": []}.",
	SHAPE_CHANGE, 1},
    {"zone out", "AZ", run_zone_out, "take an availability zone out of service",
	"No task starts there more than 3 s after the change is accepted.",
	SHAPE_CHANGE, 1},
    {"zone in", "AZ", run_zone_in, "put an availability zone into service", "",
	SHAPE_CHANGE, 1},
    {"endpoint retire", "NAME", run_endpoint_retire,
	"give an endpoint no new work", "Tasks that run there finish.",
	SHAPE_CHANGE, 1},
    {"endpoint restore", "NAME", run_endpoint_restore,
	"give a retired endpoint work again", "", SHAPE_CHANGE, 1},
    {"entries list", NULL, run_entries_list, "print the registered entries", "",
	SHAPE_VIEW, 0},
    {"entries forget", "NAME", run_entries_forget,
	"remove entries that will not return",
	"For the loss of a majority of the entries at once. The named entries "
	"must have\nexited: a running one could still start tasks.",
	SHAPE_CHANGE, NAMES_MAX},
    {"status", NULL, run_status,
	"print the state of an entry and of its endpoints", "", SHAPE_VIEW, 0},
    {"explain", "ID", run_explain, "print what happened to a submission", "",
	SHAPE_VIEW, 1},
    {"trace", "ID", run_trace, "print the life of a job from logs",
	"Joins the logs of any entries and agents: the decisions about the job "
	"in their\norder, what happened to its workers, and the first thing "
	"that went wrong.",
	SHAPE_LOGS, 1},
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
		    to, "  %-18s %s\n", commands[i].words, commands[i].summary);
	fprintf(to,
	    "\n`" PROGRAM
	    " COMMAND --help` prints the options of a command.\n"
	    "Exit codes: 0 done, 1 failed, 2 usage or settings error, 3 "
	    "conflict,\n4 pending (written, not yet accepted).\n");
}

/* Finds the subcommand and the number of its words. */
static const struct command *
find_command(int argc, char **argv, int *words)
{
	char *two = NULL;
	size_t i;

	if (argc > 2)
		two = g_strconcat(argv[1], " ", argv[2], NULL);
	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		*words =
		    two != NULL && strcmp(two, commands[i].words) == 0 ? 2 : 1;
		if (*words == 2 || strcmp(argv[1], commands[i].words) == 0)
			break;
	}
	g_free(two);
	return (i < G_N_ELEMENTS(commands) ? &commands[i] : NULL);
}

static void
build_client(struct parsed *p, int *n)
{
	p->table[(*n)++] = p->operator_url = arg_str1(NULL, "operator", "URL",
	    "operators' address of an entry, such as http://127.0.0.1:8081");
	p->table[(*n)++] = p->token_file = arg_file1(
	    NULL, "token-file", "FILE", "file with the operators' token");
	p->table[(*n)++] = p->json =
	    arg_lit0(NULL, "json", "print the answer of the entry as JSON");
	p->table[(*n)++] = p->timeout = arg_int0(NULL, "timeout", "SECONDS",
	    "limit for one answer, 1 to 600 (default 15)");
	if (p->command->shape != SHAPE_CHANGE)
		return;
	p->table[(*n)++] = p->change_id = arg_str0(NULL, "change-id", "ID",
	    "identity of the change, to repeat one whose answer was lost");
	p->table[(*n)++] = p->expect = arg_str0(NULL, "expect", "REVISION",
	    "make the change only if this is the last revision");
}

static bool
build(struct parsed *p)
{
	const struct command *c = p->command;
	int n = 0;

	p->table[n++] = p->help = arg_lit0("h", "help", "print this help");
	if (c->shape == SHAPE_SETTINGS)
		p->table[n++] = p->settings = arg_file1(
		    NULL, "settings", "FILE", "settings of the entry (TOML)");
	else if (c->shape == SHAPE_LOGS)
		p->table[n++] = p->logs = arg_filen(NULL, "log", "FILE", 0,
		    LOGS_MAX, "log of an entry or an agent (standard input)");
	else
		build_client(p, &n);
	if (c->operand != NULL)
		p->table[n++] = p->operand =
		    arg_strn(NULL, NULL, c->operand, 1, c->operands_max, NULL);
	p->table[n++] = p->end = arg_end(ERRORS_MAX);
	return (arg_nullcheck(p->table) == 0);
}

static void
print_help(const struct parsed *p)
{
	printf("Usage: " PROGRAM " %s", p->command->words);
	arg_print_syntax(stdout, (void **)(uintptr_t)p->table, "\n\n");
	printf("%c%s.\n", g_ascii_toupper(p->command->summary[0]),
	    p->command->summary + 1);
	if (p->command->text[0] != '\0')
		printf("%s\n", p->command->text);
	putchar('\n');
	arg_print_glossary(
	    stdout, (void **)(uintptr_t)p->table, "  %-22s %s\n");
}

static int
usage_error(const struct parsed *p, const char *text)
{
	fprintf(stderr, PROGRAM " %s: %s\n", p->command->words, text);
	return (EX_SETTINGS);
}

static int
check_operands(const struct parsed *p)
{
	int i;

	if (p->operand == NULL || strcmp(p->command->operand, "FILE") == 0)
		return (EX_DONE);
	for (i = 0; i < p->operand->count; i++)
		if (!co_name_ok(p->operand->sval[i], PD_ID_MAX)) {
			fprintf(stderr,
			    PROGRAM
			    " %s: \"%s\" has other characters than "
			    "letters, digits and -._:~\n",
			    p->command->words, p->operand->sval[i]);
			return (EX_SETTINGS);
		}
	return (EX_DONE);
}

/* Fills the client from the arguments. @token is owned by the caller. */
static int
check_client(struct parsed *p, char **token)
{
	char message[512];
	int timeout = TIMEOUT_DEFAULT_S;

	if (!g_str_has_prefix(p->operator_url->sval[0], "http://"))
		return (usage_error(p, "--operator must begin with http://"));
	if (p->timeout->count > 0)
		timeout = p->timeout->ival[0];
	if (timeout < 1 || timeout > TIMEOUT_MAX_S)
		return (usage_error(p, "--timeout must be from 1 to 600"));
	if (p->expect != NULL && p->expect->count > 0 &&
	    !co_parse_positive(p->expect->sval[0], &p->client.expect))
		return (usage_error(p, "--expect must be a revision above 0"));
	if (p->change_id != NULL && p->change_id->count > 0) {
		p->client.change_id = p->change_id->sval[0];
		if (!co_name_ok(p->client.change_id, PD_NAME_MAX))
			return (usage_error(p,
			    "--change-id must be 1 to 64 letters, digits and "
			    "-._:~"));
	}
	*token =
	    op_read_token(p->token_file->filename[0], message, sizeof(message));
	if (*token == NULL)
		return (usage_error(p, message));
	p->client.url = p->operator_url->sval[0];
	p->client.token = *token;
	p->client.json = p->json->count > 0;
	p->client.timeout_s = (unsigned)timeout;
	return (check_operands(p));
}

static int
run(struct parsed *p, int argc, char **argv)
{
	char *token = NULL;
	int errors, result;

	errors = arg_parse(argc, argv, p->table);
	if (p->help->count > 0) {
		print_help(p);
		return (EX_DONE);
	}
	if (errors > 0) {
		char *name = g_strconcat(PROGRAM " ", p->command->words, NULL);

		arg_print_errors(stderr, p->end, name);
		fprintf(stderr, "Try `%s --help`.\n", name);
		g_free(name);
		return (EX_SETTINGS);
	}
	if (p->command->shape == SHAPE_SETTINGS)
		result = EX_DONE;
	else if (p->command->shape == SHAPE_LOGS)
		result = check_operands(p);
	else
		result = check_client(p, &token);
	if (result == EX_DONE)
		result = p->command->run(p);
	g_free(token);
	return (result);
}

int
cm_main(int argc, char **argv)
{
	struct parsed p = {0};
	int words, result = EX_FAILED;

	if (argc > 1 &&
	    (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0)) {
		print_usage(stdout);
		return (EX_DONE);
	}
	if (argc > 1)
		p.command = find_command(argc, argv, &words);
	if (p.command == NULL) {
		if (argc > 1)
			fprintf(stderr, PROGRAM ": \"%s\" is not a command\n\n",
			    argv[1]);
		print_usage(stderr);
		return (EX_SETTINGS);
	}
	if (build(&p))
		result = run(&p, argc - words, argv + words);
	arg_freetable(p.table, G_N_ELEMENTS(p.table));
	return (result);
}
