#include <argtable2.h>
#include <event2/util.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "log.h"
#include "options.h"
#include "pd.h"

#define PROGRAM "pimentodock-agent"
#define URL_SCHEME "http://"
#define AT(field) offsetof(struct op_settings, field)

static const struct st_key keys[] = {
    {"cell", ST_STRING, AT(cell), 1, PD_NAME_MAX, "default", NULL,
	"name of the cell, the same at all its entries and agents"},
    {"name", ST_STRING, AT(name), 1, PD_NAME_MAX, NULL, NULL,
	"name of the endpoint in the inventory"},
    {"availability_zone", ST_STRING, AT(az), 1, PD_NAME_MAX, NULL, NULL,
	"availability zone of this host"},
    {"service", ST_STRING, AT(service), 1, PD_NAME_MAX, NULL, NULL,
	"service of the endpoint"},
    {"worker", ST_STRING, AT(worker), 1, PD_NAME_MAX, NULL, NULL,
	"name of this host"},
    {"endpoint.url", ST_STRING, AT(url), 1, 256, NULL, NULL,
	"URL of the endpoint with an IP number and a port"},
    {"endpoint.slots", ST_INTEGER, AT(slots), 1, 1024, "8", NULL,
	"tasks that run at a time"},
    {"endpoint.connections", ST_INTEGER, AT(connections), 1, 65535, "64", NULL,
	"connections that the endpoint accepts"},
    {"entries.addresses", ST_STRINGS, AT(entries), 1, PD_MEMBERS_MAX, NULL,
	NULL, "RPC addresses of the entries, \"IP:port\""},
    {"queue.max", ST_INTEGER, AT(queue_max), 1, 1024, "8", NULL,
	"grants that wait for a slot"},
    {"submission.life_s", ST_INTEGER, AT(life_s), 1, 86400, "600", NULL,
	"lifetime of a submission id in seconds"},
    {"submission.records_mb", ST_INTEGER, AT(records_mb), 1, 1024, "8", NULL,
	"memory of start records and results in MB"},
    {"listen.metrics", ST_STRING, AT(metrics), 0, 64, "", NULL,
	"address of /metrics and /healthz, \"IP:port\"; empty for none"},
    {"log.level", ST_STRING, AT(log_level), 1, 16, "info",
	"err|warning|notice|info|debug", "least severe level to print"},
};

bool
op_address(const char *text, int length, struct sockaddr_in *out)
{
	int size = sizeof(*out);
	char *copy;
	bool ok;

	copy = length < 0 ? g_strdup(text) : g_strndup(text, (gsize)length);
	ok = evutil_parse_sockaddr_port(copy, (struct sockaddr *)out, &size) ==
		0 &&
	    out->sin_family == AF_INET && out->sin_port != 0;
	g_free(copy);
	return (ok);
}

static bool
check_url(const char *path, struct op_settings *s)
{
	size_t len = strlen(s->url);
	const char *host;

	while (len > 0 && s->url[len - 1] == '/')
		s->url[--len] = '\0';
	host = s->url + strlen(URL_SCHEME);
	if (g_str_has_prefix(s->url, URL_SCHEME) &&
	    op_address(host, (int)strcspn(host, "/"), &s->endpoint))
		return (true);
	fprintf(stderr,
	    "%s: endpoint.url: \"%s\" is not of the form http://IP:port\n",
	    path, s->url);
	return (false);
}

static bool
check_entries(const char *path, const struct st_strings *list)
{
	struct sockaddr_in sin;
	size_t i, k;

	for (i = 0; i < list->count; i++) {
		if (!op_address(list->items[i], -1, &sin)) {
			fprintf(stderr,
			    "%s: entries.addresses: \"%s\" is not of the form "
			    "IP:port\n",
			    path, list->items[i]);
			return (false);
		}
		for (k = 0; k < i; k++)
			if (strcmp(list->items[i], list->items[k]) == 0) {
				fprintf(stderr,
				    "%s: entries.addresses: duplicate address "
				    "\"%s\"\n",
				    path, list->items[i]);
				return (false);
			}
	}
	return (true);
}

static bool
check(const char *path, struct op_settings *s)
{
	struct sockaddr_in sin;

	if (!check_url(path, s) || !check_entries(path, &s->entries))
		return (false);
	if (s->metrics[0] != '\0' && !op_address(s->metrics, -1, &sin)) {
		fprintf(stderr,
		    "%s: listen.metrics: \"%s\" is not of the form IP:port\n",
		    path, s->metrics);
		return (false);
	}
	if (s->slots > s->connections) {
		fprintf(stderr,
		    "%s: endpoint.slots (%lld) exceeds "
		    "endpoint.connections (%lld)\n",
		    path, (long long)s->slots, (long long)s->connections);
		return (false);
	}
	return (true);
}

static enum op_result
load(const char *path, struct op_settings *out)
{
	char message[512];

	memset(out, 0, sizeof(*out));
	if (st_load(path, keys, G_N_ELEMENTS(keys), out, message,
		sizeof(message)) != ST_OK) {
		fprintf(stderr, "%s\n", message);
		return (OP_BAD);
	}
	if (check(path, out))
		return (OP_RUN);
	op_release(out);
	return (OP_BAD);
}

enum op_result
op_read(int argc, char **argv, struct op_settings *out, char **path)
{
	struct arg_file *settings =
	    arg_file1(NULL, "settings", "FILE", "settings file in TOML format");
	struct arg_lit *execute =
	    arg_lit0(NULL, "execute", "run transient jobs of the platform");
	struct arg_lit *only_check = arg_lit0(NULL, "check",
	    "with --execute: check the settings and start nothing");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(4);
	void *table[] = {settings, execute, only_check, help, end};
	enum op_result result = OP_BAD;
	int errors;

	if (arg_nullcheck(table) != 0)
		goto out;
	errors = arg_parse(argc, argv, table);
	if (help->count > 0) {
		printf("usage: " PROGRAM);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		result = OP_HELP;
	} else if (errors > 0) {
		arg_print_errors(stderr, end, PROGRAM);
		fprintf(stderr, "usage: " PROGRAM " --settings FILE\n");
	} else if (execute->count > 0) {
		*path = g_strdup(settings->filename[0]);
		result = only_check->count > 0 ? OP_CHECK : OP_EXECUTE;
	} else
		result = load(settings->filename[0], out);
out:
	arg_freetable(table, G_N_ELEMENTS(table));
	return (result);
}

void
op_release(struct op_settings *s)
{
	st_release(keys, G_N_ELEMENTS(keys), s);
}
