#include <glib.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "harness_cell.h"

#define START_TIMEOUT_MS 30000U
/* Wait after the start. An id that may be older than an agent, given the error
 * of clocks, is answered "record_lost" (docs/design.md, Submission ids and
 * their age). */
#define SETTLE_MS 2500U
#define PROBE_DEADLINE_MS 20000U
#define PROBE_RETRY_MS 100U
#define RECORDS_MB 8
#define AGENTS_PER_WORKER 1
#define SPEEDS "1,0.5,2,1,0.8,1.5,1,0.25,1.2,1,3"

static const char *const azs[] = {"finistere", "morbihan", "armor"};
#define NAZS (sizeof(azs) / sizeof(azs[0]))

static unsigned
value_or_default(unsigned value, unsigned default_value)
{
	return (value != 0 ? value : default_value);
}

static void
set_options(struct pc *c, const struct pc_options *options)
{
	c->options = *options;
	c->options.entries = value_or_default(options->entries, 3);
	c->options.agents = value_or_default(options->agents, 6);
	c->options.slots = value_or_default(options->slots, 8);
	c->options.queue = value_or_default(options->queue, 8);
	c->options.life_s = value_or_default(options->life_s, 600);
	if (options->speeds == NULL)
		c->options.speeds = SPEEDS;
}

static void
start_platform(struct pc *c)
{
	const char *argv[] = {"fakes/fake_platform", NULL};

	c->platform_proc = hn_start(c->hn, "platform", argv);
	hn_wait_ready(c->platform_proc, &c->platform, 1);
}

static void
start_endpoints(struct pc *c)
{
	unsigned n = c->options.agents, ports[PC_AGENTS_MAX];
	char *count = g_strdup_printf("%u", n);
	char *slots = g_strdup_printf("%u", c->options.slots);
	const char *argv[] = {"fakes/fake_endpoint", "--name", PC_SERVICE,
	    "--count", count, "--slots", slots, "--log", c->start_log,
	    "--speeds", c->options.speeds, NULL};

	c->endpoints_proc = hn_start(c->hn, "endpoints", argv);
	hn_wait_ready(c->endpoints_proc, ports, n);
	for (unsigned i = 0; i < n; i++)
		c->agents[i].endpoint = ports[i];
	g_free(count);
	g_free(slots);
}

static void
start_relay(struct pc *c, struct pc_entry *e)
{
	char *target = g_strdup_printf("127.0.0.1:%u", e->rpc);
	char *name = g_strconcat("relay-", e->name, NULL);
	const char *argv[] = {"fakes/fake_relay", "--target", target, NULL};
	unsigned ports[2];

	hn_wait_ready(hn_start(c->hn, name, argv), ports, 2);
	e->relay = ports[0];
	e->relay_control = ports[1];
	g_free(name);
	g_free(target);
}

/*
 * Returns the items of a TOML list: the addresses of all entries but @skip.
 * @relay: give the address of the relay where there is one
 */
static char *
entry_addresses(const struct pc *c, const struct pc_entry *skip, bool relay)
{
	GString *s = g_string_new(NULL);

	for (unsigned i = 0; i < c->options.entries; i++) {
		const struct pc_entry *e = &c->entries[i];

		if (e == skip)
			continue;
		g_string_append_printf(s, "%s\"127.0.0.1:%u\"",
		    s->len > 0 ? ", " : "",
		    relay && e->relay != 0 ? e->relay : e->rpc);
	}
	return (g_string_free(s, FALSE));
}

static void
write_entry_settings(struct pc *c, const struct pc_entry *e)
{
	char *peers = entry_addresses(c, e, false);
	char *file = g_strconcat(e->name, ".toml", NULL);
	char *text = g_strdup_printf(
	    "cell = \"cell-%u\"\n"
	    "name = \"%s\"\n"
	    "availability_zone = \"%s\"\n"
	    "[listen]\n"
	    "callers = \"127.0.0.1:%u\"\n"
	    "operators = \"127.0.0.1:%u\"\n"
	    "rpc = \"127.0.0.1:%u\"\n"
	    "[peers]\n"
	    "addresses = [%s]\n"
	    "[platform]\n"
	    "url = \"http://127.0.0.1:%u\"\n"
	    "timeout_ms = 1000\n"
	    "[operators]\n"
	    "token_file = \"token\"\n"
	    "[submission]\n"
	    "life_s = %u\n",
	    c->platform, e->name, e->az, e->callers, e->operators, e->rpc,
	    peers, c->platform, c->options.life_s);

	hn_write(c->hn, file, text);
	g_free(text);
	g_free(file);
	g_free(peers);
}

static void
write_agent_settings(struct pc *c, const struct pc_agent *a, unsigned index)
{
	bool foreign =
	    c->options.foreign_agent && index + 1 == c->options.agents;
	char *entries = entry_addresses(c, NULL, true);
	char *file = g_strconcat(a->name, ".toml", NULL);
	char *text = g_strdup_printf(
	    "cell = \"%s-%u\"\n"
	    "name = \"%s\"\n"
	    "availability_zone = \"%s\"\n"
	    "service = \"" PC_SERVICE
	    "\"\n"
	    "worker = \"worker-%u\"\n"
	    "[endpoint]\n"
	    "url = \"http://127.0.0.1:%u\"\n"
	    "slots = %u\n"
	    "connections = 64\n"
	    "[entries]\n"
	    "addresses = [%s]\n"
	    "[queue]\n"
	    "max = %u\n"
	    "[submission]\n"
	    "life_s = %u\n"
	    "records_mb = %u\n"
	    "[listen]\n"
	    "metrics = \"127.0.0.1:%u\"\n",
	    foreign ? "other" : "cell", c->platform, a->name, a->az,
	    index / AGENTS_PER_WORKER + 1, a->endpoint, c->options.slots,
	    entries, c->options.queue, c->options.life_s, RECORDS_MB,
	    a->metrics);

	hn_write(c->hn, file, text);
	g_free(text);
	g_free(file);
	g_free(entries);
}

static void
write_inventory(struct pc *c)
{
	json_t *endpoints = json_array(), *zones = json_array(), *root;
	char *text;

	for (size_t i = 0; i < NAZS; i++)
		json_array_append_new(zones, json_string(azs[i]));
	for (unsigned i = 0; i < c->options.agents; i++) {
		char worker[32];

		snprintf(worker, sizeof(worker), "worker-%u", i + 1);
		json_array_append_new(endpoints,
		    json_pack("{s:s, s:s, s:s, s:s, s:s, s:i}", "name",
			c->agents[i].name, "az", c->agents[i].az, "service",
			PC_SERVICE, "worker", worker, "owner", PC_TEAM, "slots",
			(int)c->options.slots));
	}
	root = json_pack("{s:o, s:o, s:[{s:s, s:i, s:i}], s:[]}", "azs", zones,
	    "endpoints", endpoints, "teams", "name", PC_TEAM, "weight", 1,
	    "max_running", 0, "rules");
	text = json_dumps(root, JSON_INDENT(1));
	hn_write(c->hn, "inventory.json", text);
	free(text);
	json_decref(root);
}

static void
init_entry(struct pc *c, unsigned i)
{
	struct pc_entry *e = &c->entries[i];

	snprintf(e->name, sizeof(e->name), "entry-%u", i + 1);
	e->az = azs[i % NAZS];
	e->callers = hn_port(c->hn);
	e->operators = hn_port(c->hn);
	e->rpc = hn_port(c->hn);
	if (c->options.relay)
		start_relay(c, e);
}

static void
init_agent(struct pc *c, unsigned i)
{
	struct pc_agent *a = &c->agents[i];

	snprintf(a->name, sizeof(a->name), PC_SERVICE "-%u", i + 1);
	a->az = azs[i % NAZS];
	a->metrics = hn_port(c->hn);
}

static struct hn_proc *
start_program(
    struct pc *c, const char *program, const char *command, const char *name)
{
	char *file = g_strconcat(name, ".toml", NULL);
	char *settings = hn_path(c->hn, file);
	const char *with_command[] = {
	    program, command, "--settings", settings, NULL};
	const char *without[] = {program, "--settings", settings, NULL};
	struct hn_proc *p =
	    hn_start(c->hn, name, command != NULL ? with_command : without);

	g_free(file);
	g_free(settings);
	return (p);
}

void
pc_entry_start(struct pc *c, unsigned i)
{
	struct pc_entry *e = &c->entries[i];

	e->starts++;
	e->proc = start_program(c, "entry/pimentodock", "serve", e->name);
}

void
pc_agent_start(struct pc *c, unsigned i)
{
	struct pc_agent *a = &c->agents[i];

	a->starts++;
	a->proc = start_program(c, "agent/pimentodock-agent", NULL, a->name);
}

static void
print_log_tail(const char *name, const struct hn_proc *p)
{
	char *text = hn_error_output(p);
	size_t len = strlen(text);

	print_message(
	    "--- %s\n%s\n", name, len > 3000 ? text + len - 3000 : text);
	g_free(text);
}

static void
print_logs(const struct pc *c)
{
	for (unsigned i = 0; i < c->options.entries; i++)
		print_log_tail(c->entries[i].name, c->entries[i].proc);
	print_log_tail(c->agents[0].name, c->agents[0].proc);
}

static bool
submit_probe(struct pc *c, unsigned entry, unsigned round)
{
	uint64_t now = hn_wall_ms();
	char *id = g_strdup_printf("probe-%u-%u-%u-%llu", entry, round,
	    c->entries[entry].starts, (unsigned long long)now);
	char *body = pc_submission_json(id, now, 1, 1, PROBE_DEADLINE_MS);
	json_t *answer = NULL;
	bool ok;

	ok = pc_submit(c, entry, body, PROBE_DEADLINE_MS, &answer) == 200 &&
	    strcmp(hn_json_text(answer, "status"), "complete") == 0;
	json_decref(answer);
	free(body);
	g_free(id);
	return (ok);
}

void
pc_entry_ready(struct pc *c, unsigned i)
{
	uint64_t end = hn_mono_ms() + START_TIMEOUT_MS;

	for (unsigned round = 0; hn_mono_ms() < end; round++) {
		if (submit_probe(c, i, round))
			return;
		hn_sleep_ms(PROBE_RETRY_MS);
	}
	print_logs(c);
	fail_msg("entry %s completes nothing", c->entries[i].name);
}

static void
apply_inventory(struct pc *c)
{
	char *file = hn_path(c->hn, "inventory.json"), *output = NULL;
	const char *words[] = {"config", "apply", file, NULL};
	uint64_t end = hn_mono_ms() + START_TIMEOUT_MS;
	int status;

	do {
		g_free(output);
		status = pc_cli(c, 0, &output, words);
		if (status != 0)
			hn_sleep_ms(PROBE_RETRY_MS);
	} while (status != 0 && hn_mono_ms() < end);
	if (status != 0) {
		print_logs(c);
		fail_msg("config apply: exit code %d, %s", status, output);
	}
	g_free(output);
	g_free(file);
}

struct pc *
pc_new(const struct pc_options *options)
{
	struct pc *c = g_new0(struct pc, 1);

	c->hn = hn_new();
	set_options(c, options);
	c->start_log = hn_path(c->hn, "starts.log");
	start_platform(c);
	start_endpoints(c);
	hn_write(c->hn, "token", PC_TOKEN "\n");
	for (unsigned i = 0; i < c->options.entries; i++)
		init_entry(c, i);
	for (unsigned i = 0; i < c->options.agents; i++)
		init_agent(c, i);
	write_inventory(c);
	for (unsigned i = 0; i < c->options.entries; i++) {
		write_entry_settings(c, &c->entries[i]);
		pc_entry_start(c, i);
	}
	for (unsigned i = 0; i < c->options.agents; i++) {
		write_agent_settings(c, &c->agents[i], i);
		pc_agent_start(c, i);
	}
	apply_inventory(c);
	hn_sleep_ms(SETTLE_MS);
	for (unsigned i = 0; i < c->options.entries; i++)
		pc_entry_ready(c, i);
	return (c);
}

void
pc_free(struct pc *c)
{
	hn_free(c->hn);
	g_free(c->start_log);
	g_free(c);
}
