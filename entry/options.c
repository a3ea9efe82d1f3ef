#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "codec.h"
#include "options.h"

#define TOKEN_MIN 16
#define TOKEN_MAX 256

#define AT(field) offsetof(struct op, field)

static const struct st_key keys[] = {
    {"cell", ST_STRING, AT(cell), 1, PD_NAME_MAX, "default", NULL,
	"name of the cell, the same at all its entries and agents"},
    {"name", ST_STRING, AT(name), 1, PD_NAME_MAX, NULL, NULL,
	"name of this entry, unique in its cell"},
    {"availability_zone", ST_STRING, AT(az), 1, PD_NAME_MAX, NULL, NULL,
	"availability zone of this host"},
    {"listen.callers", ST_STRING, AT(callers_address), 9, 21, NULL, NULL,
	"IP:port of the callers' HTTP interface"},
    {"listen.operators", ST_STRING, AT(operators_address), 9, 21, NULL, NULL,
	"IP:port of the operators' HTTP interface"},
    {"listen.rpc", ST_STRING, AT(rpc_address), 9, 21, NULL, NULL,
	"IP:port for agents and other entries"},
    {"peers.addresses", ST_STRINGS, AT(peers), 0, PD_MEMBERS_MAX, "", NULL,
	"RPC addresses of the other entries"},
    {"platform.url", ST_STRING, AT(platform_url), 8, 256, NULL, NULL,
	"base URL of the platform"},
    {"platform.timeout_ms", ST_INTEGER, AT(platform_timeout_ms), 1, 60000,
	"1000", NULL, "limit of one platform call in milliseconds"},
    {"operators.token_file", ST_STRING, AT(token_file), 1, 4096, NULL, NULL,
	"file with the operators' bearer token"},
    {"submission.life_s", ST_INTEGER, AT(life_s), 1, 86400, "600", NULL,
	"seconds for which a submission is remembered"},
    {"submission.remembered_max", ST_INTEGER, AT(remembered_max), 1, 10000000,
	"100000", NULL, "submissions remembered"},
    {"submission.queue_tasks_max", ST_INTEGER, AT(queue_tasks_max), 1, 10000000,
	"100000", NULL, "tasks queued at this entry"},
    {"dispatch.policy", ST_STRING, AT(policy), 1, 32, "learned",
	"learned|random|two_choices", "how an endpoint is chosen"},
    {"log.level", ST_STRING, AT(log_level), 1, 16, "info",
	"err|warning|notice|info|debug", "least severe level to log"},
};
#define NKEYS (sizeof(keys) / sizeof(keys[0]))

int
op_parse_address(const char *address, char **host)
{
	const char *colon = strrchr(address, ':');
	struct in_addr number;
	guint64 port;
	char *ip;
	bool ok;

	if (colon == NULL ||
	    !g_ascii_string_to_unsigned(
		colon + 1, 10, 1, UINT16_MAX, &port, NULL))
		return (-1);
	ip = g_strndup(address, (gsize)(colon - address));
	ok = inet_pton(AF_INET, ip, &number) == 1;
	if (ok && host != NULL)
		*host = ip;
	else
		g_free(ip);
	return (ok ? (int)port : -1);
}

char *
op_read_token(const char *path, char *message, size_t message_size)
{
	GError *error = NULL;
	char *text = NULL;
	size_t len;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		snprintf(message, message_size, "%s", error->message);
		g_error_free(error);
		return (NULL);
	}
	g_strstrip(text);
	len = strlen(text);
	if (len >= TOKEN_MIN && len <= TOKEN_MAX && !strpbrk(text, " \t\r\n"))
		return (text);
	g_free(text);
	snprintf(message, message_size,
	    "%s: must hold one token of %d to %d characters without spaces",
	    path, TOKEN_MIN, TOKEN_MAX);
	return (NULL);
}

static bool
check_address(const char *path, const char *key, const char *address,
    char *message, size_t message_size)
{
	if (op_parse_address(address, NULL) > 0)
		return (true);
	snprintf(message, message_size,
	    "%s: %s: \"%s\" is not an IPv4 number and port such as "
	    "127.0.0.1:8080",
	    path, key, address);
	return (false);
}

static bool
check_name(const char *path, const char *key, const char *name, char *message,
    size_t message_size)
{
	if (co_name_ok(name, PD_NAME_MAX))
		return (true);
	snprintf(message, message_size,
	    "%s: %s: \"%s\" has other characters than letters, digits and "
	    "-._:~",
	    path, key, name);
	return (false);
}

static bool
check_options(
    const char *path, struct op *o, char *message, size_t message_size)
{
	size_t i;

	if (!check_name(path, "name", o->name, message, message_size) ||
	    !check_name(
		path, "availability_zone", o->az, message, message_size) ||
	    !check_address(path, "listen.callers", o->callers_address, message,
		message_size) ||
	    !check_address(path, "listen.operators", o->operators_address,
		message, message_size) ||
	    !check_address(
		path, "listen.rpc", o->rpc_address, message, message_size))
		return (false);
	for (i = 0; i < o->peers.count; i++)
		if (!check_address(path, "peers.addresses", o->peers.items[i],
			message, message_size))
			return (false);
	if (strcmp(o->callers_address, o->operators_address) == 0 ||
	    strcmp(o->callers_address, o->rpc_address) == 0 ||
	    strcmp(o->operators_address, o->rpc_address) == 0) {
		snprintf(message, message_size,
		    "%s: listen: the three addresses must differ", path);
		return (false);
	}
	if (!g_str_has_prefix(o->platform_url, "http://") ||
	    g_str_has_suffix(o->platform_url, "/")) {
		snprintf(message, message_size,
		    "%s: platform.url: \"%s\" must begin with http:// and not "
		    "end with /",
		    path, o->platform_url);
		return (false);
	}
	return (true);
}

/* A relative path of the token file starts at the folder of the settings. */
static char *
resolve_token_path(const char *settings, const char *file)
{
	char *dir, *path;

	if (g_path_is_absolute(file))
		return (g_strdup(file));
	dir = g_path_get_dirname(settings);
	path = g_build_filename(dir, file, NULL);
	g_free(dir);
	return (path);
}

bool
op_load(const char *path, struct op *out, char *message, size_t message_size)
{
	char *token_file;

	memset(out, 0, sizeof(*out));
	if (st_load(path, keys, NKEYS, out, message, message_size) != ST_OK)
		return (false);
	if (check_options(path, out, message, message_size)) {
		token_file = resolve_token_path(path, out->token_file);
		out->token = op_read_token(token_file, message, message_size);
		g_free(token_file);
	}
	if (out->token != NULL)
		return (true);
	op_release(out);
	return (false);
}

void
op_release(struct op *o)
{
	st_release(keys, NKEYS, o);
	g_free(o->token);
	o->token = NULL;
}
