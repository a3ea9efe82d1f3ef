#include <glib.h>
#include <jansson.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <string.h>

#include "codec.h"
#include "counters.h"
#include "http.h"
#include "kernel.h"
#include "mailbox.h"
#include "member.h"
#include "operators.h"
#include "options.h"
#include "report.h"
#include "ticket.h"

#define CONNECTIONS_MAX 64
#define CHANGE_ID_MAX 64
#define BEARER_PREFIX "Bearer "

struct or
{
	struct kn *kernel;
	struct ct *counters;
	struct mx *mailbox;
	const struct op *options;
	struct ht *server;
	atomic_bool draining;
};

/* A request that a connection's thread passes to the event loop. */
struct request {
	struct or *operators;
	void (*run)(struct request *r);
	const char *text; /* id or change, borrowed */
	uint64_t expect;
	struct ti *ticket;
};

bool
or_token_matches(const char *header, const char *token)
{
	const char *given = "";
	size_t i, len, token_len = strlen(token);
	volatile unsigned char mismatch;

	if (header != NULL && g_str_has_prefix(header, BEARER_PREFIX))
		given = header + strlen(BEARER_PREFIX);
	len = strlen(given);
	mismatch = len != token_len;
	for (i = 0; i < token_len; i++)
		mismatch |=
		    (unsigned char)(token[i] ^ given[len > 0 ? i % len : 0]);
	return (mismatch == 0);
}

static int
reject(struct or *o, struct _u_response *response, unsigned status,
    const char *code, const char *detail)
{
	ct_increment(o->counters, "pd_operators_rejected_total",
	    "requests of operators answered with an error", "error", code);
	return (ht_respond_error(response, status, code, detail));
}

/* Whether the request has the right token; answers 401 otherwise. */
static bool
is_authorized(struct or *o, const struct _u_request *request,
    struct _u_response *response)
{
	if (or_token_matches(
		u_map_get_case(request->map_header, "Authorization"),
		o->options->token))
		return (true);
	reject(o, response, HT_UNAUTHORIZED, "unauthorized",
	    "The header \"Authorization: Bearer TOKEN\" is missing or wrong.");
	return (false);
}

/* Runs on the loop. */
static void
run_request(void *arg)
{
	struct request *r = arg;

	r->run(r);
}

/* Runs a request on the loop and waits; returns the body, sets the status. */
static char *
run_on_loop(struct or *o, struct request *r, unsigned *status)
{
	r->operators = o;
	r->ticket = ti_new();
	mx_post(o->mailbox, run_request, r);
	return (ti_wait(r->ticket, status));
}

static void
run_status(struct request *r)
{
	ti_complete(r->ticket, HT_OK,
	    rp_status(
		r->operators->kernel, atomic_load(&r->operators->draining)));
}

static void
run_config(struct request *r)
{
	ti_complete(r->ticket, HT_OK, rp_config(r->operators->kernel));
}

static void
run_explain(struct request *r)
{
	ti_complete(
	    r->ticket, HT_OK, rp_explain(r->operators->kernel, r->text));
}

static void
run_metrics(struct request *r)
{
	ti_complete(r->ticket, HT_OK, rp_metrics(r->operators->kernel));
}

static int
answer_view(struct or *o, const struct _u_request *request,
    struct _u_response *response, void (*run)(struct request *))
{
	struct request r = {.run = run};
	unsigned status;
	char *text;

	if (!is_authorized(o, request, response))
		return (U_CALLBACK_COMPLETE);
	text = run_on_loop(o, &r, &status);
	return (ht_respond_json(response, status, text));
}

static int
get_status(
    const struct _u_request *request, struct _u_response *response, void *arg)
{
	return (answer_view(arg, request, response, run_status));
}

static int
get_config(
    const struct _u_request *request, struct _u_response *response, void *arg)
{
	return (answer_view(arg, request, response, run_config));
}

static int
get_metrics(
    const struct _u_request *request, struct _u_response *response, void *arg)
{
	int result = answer_view(arg, request, response, run_metrics);

	if (response->status == HT_OK)
		u_map_put(response->map_header, "Content-Type",
		    "text/plain; version=0.0.4");
	return (result);
}

static int
get_explain(
    const struct _u_request *request, struct _u_response *response, void *arg)
{
	struct request r = {.run = run_explain};
	struct or *o = arg;
	unsigned status;
	char *text;

	if (!is_authorized(o, request, response))
		return (U_CALLBACK_COMPLETE);
	r.text = u_map_get(request->map_url, "id");
	if (!co_name_ok(r.text, PD_ID_MAX))
		return (reject(o, response, HT_BAD_REQUEST, "malformed",
		    "The id must be 1 to 128 letters, digits and -._:~"));
	text = run_on_loop(o, &r, &status);
	if (text == NULL)
		return (reject(o, response, HT_NOT_FOUND, "not_found",
		    "This entry has no events of that id; the entry that owns "
		    "it may have."));
	return (ht_respond_json(response, status, text));
}

static const struct {
	const char *name;
	unsigned status;
} outcome_replies[] = {
    [MB_ACCEPTED] = {"accepted", HT_OK},
    [MB_PENDING] = {"pending", HT_ACCEPTED},
    [MB_CONFLICT] = {"conflict", HT_CONFLICT},
    [MB_REFUSED] = {"refused", HT_UNPROCESSABLE},
    [MB_UNAVAILABLE] = {"platform_unavailable", HT_UNAVAILABLE},
};

/* Runs on the loop. The answer to a conflict has both changes. */
static void
change_done(
    void *arg, enum mb_outcome outcome, uint64_t revision, const char *detail)
{
	struct request *r = arg;
	const char *name = outcome_replies[outcome].name;
	json_t *root;
	char *text;

	/* Drop the code from the head of the detail: it has its own field. */
	if (detail != NULL && g_str_has_prefix(detail, name) &&
	    g_str_has_prefix(detail + strlen(name), ": "))
		detail += strlen(name) + 2;
	root = json_pack("{s:s, s:I, s:s}", "outcome", name, "revision",
	    (json_int_t)revision, "detail", detail != NULL ? detail : "");
	if (outcome == MB_CONFLICT) {
		json_object_set_new(
		    root, "yours", json_loads(r->text, 0, NULL));
		if (detail != NULL)
			json_object_set_new(
			    root, "winner", json_loads(detail, 0, NULL));
	}
	if (outcome != MB_ACCEPTED && outcome != MB_PENDING)
		json_object_set_new(root, "error", json_string(name));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	ti_complete(r->ticket, outcome_replies[outcome].status, text);
}

static void
run_change(struct request *r)
{
	mb_write_change(kn_find(r->operators->kernel, "member"), r->text,
	    r->expect, change_done, r);
}

/* Operators may not make the changes that entries write themselves. */
static bool
is_operator_kind(const char *kind)
{
	return (kind != NULL && !g_str_has_prefix(kind, "entry_"));
}

/* Returns what is wrong with a change, or NULL. */
static const char *
check_change(json_t *change)
{
	if (!json_is_object(change))
		return ("The body must be a JSON object.");
	if (!co_name_ok(json_string_value(json_object_get(change, "change_id")),
		CHANGE_ID_MAX))
		return (
		    "\"change_id\" must be 1 to 64 letters, digits and "
		    "-._:~");
	if (json_string_length(json_object_get(change, "by")) == 0)
		return ("\"by\" must name who makes the change.");
	if (!is_operator_kind(
		json_string_value(json_object_get(change, "kind"))))
		return ("\"kind\" must be a kind of change for operators.");
	return (NULL);
}

/* Reads and checks the body; returns it as compact JSON, or NULL after
 * answering an error. */
static char *
read_change(struct or *o, const struct _u_request *request,
    struct _u_response *response)
{
	const char *problem = "The body is not JSON.";
	json_t *change = NULL;
	char *text = NULL;

	if (request->binary_body_length > PD_CHANGE_MAX) {
		reject(o, response, HT_TOO_LARGE, "too_large",
		    "A change has at most 1048576 bytes.");
		return (NULL);
	}
	if (co_depth_ok(request->binary_body, request->binary_body_length))
		change = json_loadb(request->binary_body,
		    request->binary_body_length, JSON_REJECT_DUPLICATES, NULL);
	if (change != NULL)
		problem = check_change(change);
	if (problem == NULL)
		text = json_dumps(change, JSON_COMPACT);
	else
		reject(o, response, HT_BAD_REQUEST, "malformed", problem);
	json_decref(change);
	return (text);
}

static int
post_change(
    const struct _u_request *request, struct _u_response *response, void *arg)
{
	const char *expect = u_map_get(request->map_url, "expect");
	struct request r = {.run = run_change};
	struct or *o = arg;
	unsigned status;
	char *change, *text;

	if (!is_authorized(o, request, response))
		return (U_CALLBACK_COMPLETE);
	if (expect != NULL && !co_parse_positive(expect, &r.expect))
		return (reject(o, response, HT_BAD_REQUEST, "malformed",
		    "\"expect\" must be a revision above 0."));
	change = read_change(o, request, response);
	if (change == NULL)
		return (U_CALLBACK_COMPLETE);
	r.text = change;
	text = run_on_loop(o, &r, &status);
	g_free(change);
	return (ht_respond_json(response, status, text));
}

static const struct ht_route routes[] = {
    {"GET", "/v1/status", get_status},
    {"GET", "/v1/config", get_config},
    {"POST", "/v1/changes", post_change},
    {"GET", "/v1/explain/:id", get_explain},
    {"GET", "/metrics", get_metrics},
    {NULL, NULL, NULL},
};

struct or *or_new(struct kn *k)
{
	struct or *o;

	o = g_new0(struct or, 1);
	o->kernel = k;
	o->counters = kn_find(k, "counters");
	o->mailbox = kn_find(k, "mailbox");
	o->options = kn_find(k, "settings");
	o->server = ht_start(o->options->operators_address, CONNECTIONS_MAX,
	    PD_CHANGE_MAX, routes, o);
	if (o->server == NULL) {
		g_free(o);
		return (NULL);
	}
	return (o);
}

void or_drain(struct or *o)
{
	atomic_store(&o->draining, true);
}

void or_close(struct or *o)
{
	if (o == NULL)
		return;
	ht_stop(o->server);
	o->server = NULL;
}

void or_free(struct or *o)
{
	if (o == NULL)
		return;
	or_close(o);
	g_free(o);
}
