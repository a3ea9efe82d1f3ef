#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <ulfius.h>
#include <unistd.h>

#include "client.h"
#include "exits.h"
#include "fields.h"
#include "http.h"

#define ATTEMPTS_MAX 3
#define RETRY_DELAY_US 500000
#define HTTP_SERVER_ERROR 500

struct reply {
	long status; /* 0: no response */
	char *text;
	json_t *json; /* NULL when the text is not JSON */
};

static void
reply_release(struct reply *r)
{
	g_free(r->text);
	json_decref(r->json);
}

static void
send_request(const struct cl *c, const char *verb, const char *path,
    const char *body, struct reply *out)
{
	struct _u_response response;
	struct _u_request request;
	char *url, *bearer;

	memset(out, 0, sizeof(*out));
	ulfius_init_request(&request);
	ulfius_init_response(&response);
	url = g_strconcat(c->url, path, NULL);
	bearer = g_strconcat("Bearer ", c->token, NULL);
	ulfius_set_request_properties(&request, U_OPT_HTTP_VERB, verb,
	    U_OPT_HTTP_URL, url, U_OPT_TIMEOUT, (unsigned long)c->timeout_s,
	    U_OPT_HEADER_PARAMETER, "Authorization", bearer, U_OPT_NONE);
	if (body != NULL) {
		ulfius_set_string_body_request(&request, body);
		u_map_put(
		    request.map_header, "Content-Type", "application/json");
		u_map_put(request.map_header, "Expect", "");
	}
	if (ulfius_send_http_request(&request, &response) == U_OK) {
		out->status = response.status;
		out->text = g_strndup(
		    response.binary_body, response.binary_body_length);
		out->json = json_loads(out->text, 0, NULL);
	}
	g_free(url);
	g_free(bearer);
	ulfius_clean_response(&response);
	ulfius_clean_request(&request);
}

static int
report_no_response(const struct cl *c)
{
	fprintf(stderr,
	    "pimentodock: no answer from %s; is the entry running, and is this "
	    "its operators' address?\n",
	    c->url);
	return (EX_FAILED);
}

/* Prints the error of a reply. */
static int
report_error(const struct cl *c, const struct reply *r)
{
	if (r->status == 0)
		return (report_no_response(c));
	if (r->json != NULL)
		fprintf(stderr, "pimentodock: %s: %s\n",
		    fd_text(r->json, "error"), fd_text(r->json, "detail"));
	else
		fprintf(stderr,
		    "pimentodock: HTTP status %ld from %s, which does not look "
		    "like an entry\n",
		    r->status, c->url);
	return (EX_FAILED);
}

static void
print_pretty(const json_t *value)
{
	char *text = json_dumps(value, JSON_INDENT(2) | JSON_ENCODE_ANY);

	puts(text != NULL ? text : "null");
	g_free(text);
}

/* Requests @path and prints the response with @print, or as received. */
static int
fetch_and_print(
    const struct cl *c, const char *path, void (*print)(const json_t *root))
{
	struct reply r;
	int result = EX_DONE;

	send_request(c, "GET", path, NULL, &r);
	if (r.status != HT_OK || r.json == NULL)
		result = report_error(c, &r);
	else if (c->json)
		puts(r.text);
	else
		print(r.json);
	reply_release(&r);
	return (result);
}

static const char *
yes_no(const json_t *object, const char *key)
{
	return (json_is_true(json_object_get(object, key)) ? "yes" : "no");
}

static json_int_t
number_of(const json_t *object, const char *key)
{
	return (json_integer_value(json_object_get(object, key)));
}

static void
print_entries(const json_t *root)
{
	json_t *entry;
	size_t i;

	printf(
	    "%-20s %-16s %-21s %s\n", "ENTRY", "INCARNATION", "ADDRESS", "AZ");
	json_array_foreach(json_object_get(root, "entries"), i, entry)
	{
		printf("%-20s %-16s %-21s %s%s\n", fd_text(entry, "name"),
		    fd_text(entry, "incarnation"), fd_text(entry, "address"),
		    fd_text(entry, "az"),
		    json_is_true(json_object_get(entry, "self")) ? "  (asked)"
								 : "");
	}
}

static void
print_endpoints(const json_t *list)
{
	json_t *e;
	size_t i;

	printf("%-20s %-12s %-14s %-9s %-10s %-8s %7s %6s %8s\n", "ENDPOINT",
	    "AZ", "SERVICE", "CONNECTED", "IN SERVICE", "HEALTH", "RUNNING",
	    "QUEUED", "SPEED");
	json_array_foreach(list, i, e)
	{
		printf("%-20s %-12s %-14s %-9s %-10s %-8s %7" PRId64
		       " %6" PRId64 " %8.3f\n",
		    fd_text(e, "name"), fd_text(e, "az"), fd_text(e, "service"),
		    yes_no(e, "connected"), yes_no(e, "in_service"),
		    fd_text(e, "health"), (int64_t)number_of(e, "running"),
		    (int64_t)number_of(e, "queued"),
		    json_number_value(json_object_get(e, "speed")));
	}
}

static void
print_status(const json_t *root)
{
	const json_t *s = json_object_get(root, "submissions");
	const json_t *p = json_object_get(root, "partitions");

	printf("entry %s, revision %" PRId64 ", view %" PRId64 "\n",
	    fd_text(root, "name"), (int64_t)number_of(root, "revision"),
	    (int64_t)number_of(root, "view"));
	printf("registered %s, verified %s, draining %s\n",
	    yes_no(root, "registered"), yes_no(root, "verified"),
	    yes_no(root, "draining"));
	printf("partitions: %" PRId64 " active, %" PRId64 " gathering, %" PRId64
	       " foreign\n",
	    (int64_t)number_of(p, "active"), (int64_t)number_of(p, "gathering"),
	    (int64_t)number_of(p, "foreign"));
	printf("submissions: %" PRId64 " remembered, %" PRId64
	       " pending; "
	       "tasks: %" PRId64 " queued, %" PRId64 " granted\n\n",
	    (int64_t)number_of(s, "remembered"),
	    (int64_t)number_of(s, "pending"),
	    (int64_t)number_of(s, "queued_tasks"),
	    (int64_t)number_of(s, "granted_tasks"));
	print_entries(root);
	putchar('\n');
	print_endpoints(json_object_get(root, "endpoints"));
}

int
cl_status(const struct cl *c)
{
	return (fetch_and_print(c, "/v1/status", print_status));
}

int
cl_entries(const struct cl *c)
{
	return (fetch_and_print(c, "/v1/status", print_entries));
}

int
cl_config(const struct cl *c)
{
	return (fetch_and_print(c, "/v1/config", print_pretty));
}

static void
print_events(const json_t *root)
{
	json_t *e;
	size_t i;

	printf("submission %s\n", fd_text(root, "id"));
	json_array_foreach(json_object_get(root, "events"), i, e)
	{
		printf("%" PRId64 " %-12s %s\n",
		    (int64_t)number_of(e, "wall_ms"), fd_text(e, "what"),
		    fd_text(e, "text"));
	}
	if (number_of(root, "dropped") > 0)
		printf("%" PRId64 " events in the middle were not kept\n",
		    (int64_t)number_of(root, "dropped"));
}

int
cl_explain(const struct cl *c, const char *id)
{
	char *escaped, *path;
	int result;

	escaped = g_uri_escape_string(id, NULL, FALSE);
	path = g_strconcat("/v1/explain/", escaped, NULL);
	result = fetch_and_print(c, path, print_events);
	g_free(path);
	g_free(escaped);
	return (result);
}

static void
print_conflict(const json_t *root)
{
	fprintf(stderr,
	    "pimentodock: conflict: another change came first, at revision "
	    "%" PRId64 "\n",
	    (int64_t)number_of(root, "revision"));
	printf("the other change:\n");
	print_pretty(json_object_get(root, "winner"));
	printf("this change, not made:\n");
	print_pretty(json_object_get(root, "yours"));
}

static int
print_outcome(const struct cl *c, const struct reply *r)
{
	const char *outcome = fd_text(r->json, "outcome");

	if (c->json && r->text != NULL)
		puts(r->text);
	if (strcmp(outcome, "accepted") == 0) {
		if (!c->json)
			printf("accepted at revision %" PRId64 "\n",
			    (int64_t)number_of(r->json, "revision"));
		return (EX_DONE);
	}
	if (strcmp(outcome, "pending") == 0) {
		if (!c->json)
			printf("pending at revision %" PRId64
			       ", not yet confirmed by: %s\n",
			    (int64_t)number_of(r->json, "revision"),
			    fd_text(r->json, "detail"));
		return (EX_PENDING);
	}
	if (strcmp(outcome, "conflict") == 0) {
		if (!c->json)
			print_conflict(r->json);
		return (EX_CONFLICT);
	}
	return (report_error(c, r));
}

/* Without a response, or after a server error, the change may have been made.
 */
static bool
should_retry(const struct reply *r)
{
	return (r->status == 0 || r->status >= HTTP_SERVER_ERROR);
}

int
cl_post_change(const struct cl *c, json_t *change)
{
	char *id, *body, *path;
	struct reply r;
	int attempt, result;

	id = c->change_id != NULL ? g_strdup(c->change_id)
				  : g_uuid_string_random();
	json_object_set_new(change, "change_id", json_string(id));
	json_object_set_new(change, "by", json_string(g_get_user_name()));
	body = json_dumps(change, JSON_COMPACT);
	path = c->expect > 0
	    ? g_strdup_printf("/v1/changes?expect=%" PRIu64, c->expect)
	    : g_strdup("/v1/changes");
	for (attempt = 1;; attempt++) {
		send_request(c, "POST", path, body, &r);
		if (!should_retry(&r) || attempt == ATTEMPTS_MAX)
			break;
		reply_release(&r);
		usleep(RETRY_DELAY_US);
	}
	result = print_outcome(c, &r);
	if (result == EX_FAILED && should_retry(&r))
		fprintf(stderr,
		    "pimentodock: repeat the command with --change-id %s, so "
		    "that the change is made at most once\n",
		    id);
	reply_release(&r);
	json_decref(change);
	g_free(body);
	g_free(path);
	g_free(id);
	return (result);
}
