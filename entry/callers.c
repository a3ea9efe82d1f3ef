#include <glib.h>
#include <inttypes.h>
#include <stdatomic.h>
#include <string.h>

#include "callers.h"
#include "clock.h"
#include "codec.h"
#include "counters.h"
#include "forward.h"
#include "http.h"
#include "kernel.h"
#include "mailbox.h"
#include "options.h"
#include "rng.h"
#include "ticket.h"

/* Each connection has a thread with about 40 KB of touched stack and buffers;
 * an entry should need less than 128 MB. */
#define CONNECTIONS_MAX 1500
/* Submissions and look-ups that may wait at a time; the other connections stay
 * free for health checks and new ids. */
#define WAITERS_MAX 1200
#define WAIT_MAX_MS 600000
#define ID_BYTES 40

enum phase {
	PHASE_OPEN,
	PHASE_DRAINING,
	PHASE_CLOSED,
};

struct ca {
	struct ck *clock;
	struct ct *counters;
	struct mx *mailbox;
	struct fw *forward;
	const struct op *options;
	struct ht *server;
	struct rn *rng;
	GMutex rng_lock;
	atomic_int phase;
	atomic_int waiting;
	struct ct_metric *waiting_gauge;
};

/* A request that a connection's thread passes to the event loop. */
struct request {
	struct ca *callers;
	struct pd_submit *submit; /* NULL for a look-up */
	struct pd_id id;          /* of a look-up, borrowed */
	bool cancel;
	unsigned wait_ms;
	struct ti *ticket;
};

/* Answers an error and counts it. */
static int
reject(struct ca *c, struct _u_response *response, unsigned status,
    const char *code, const char *detail)
{
	ct_increment(c->counters, "pd_callers_rejected_total",
	    "requests of callers answered with an error", "error", code);
	return (ht_respond_error(response, status, code, detail));
}

/* Runs on the loop. */
static void
on_answer(void *arg, const struct pd_answer *a)
{
	unsigned status = HT_OK;

	if (a == NULL) {
		ti_complete(arg, HT_UNAVAILABLE, NULL);
		return;
	}
	if (a->status == PD_PENDING)
		status = HT_ACCEPTED;
	else if (a->status == PD_NOT_FOUND)
		status = HT_NOT_FOUND;
	ti_complete(arg, status, co_answer_copy(a));
}

/* Runs on the loop. */
static void
run_request(void *arg)
{
	struct request *r = arg;

	if (r->submit != NULL)
		fw_submit(r->callers->forward, r->submit, r->wait_ms, on_answer,
		    r->ticket);
	else
		fw_lookup(r->callers->forward, &r->id, r->cancel, r->wait_ms,
		    on_answer, r->ticket);
}

static int
respond(struct ca *c, struct _u_response *response, unsigned status,
    struct pd_answer *a)
{
	if (a == NULL)
		return (reject(c, response, status, "owner_unreachable",
		    "The owner of this submission cannot be asked now."));
	if (status == HT_NOT_FOUND)
		return (reject(c, response, status, "not_found",
		    "No submission with this id and created_ms is known."));
	return (ht_respond_json(response, status, co_answer_to_json(a)));
}

/* Passes a request to the loop and waits for the answer without a timeout: the
 * loop answers when wait_ms ends. */
static int
run_on_loop(struct ca *c, struct request *r, struct _u_response *response)
{
	struct pd_answer *a;
	unsigned status;
	int result;

	r->callers = c;
	r->ticket = ti_new();
	mx_post(c->mailbox, run_request, r);
	a = ti_wait(r->ticket, &status);
	result = respond(c, response, status, a);
	g_free(a);
	return (result);
}

/* Counts a waiting request; false at WAITERS_MAX. */
static bool
acquire_waiter(struct ca *c)
{
	if (atomic_fetch_add(&c->waiting, 1) < WAITERS_MAX) {
		ct_add(c->waiting_gauge, 1);
		return (true);
	}
	atomic_fetch_sub(&c->waiting, 1);
	return (false);
}

static void
release_waiter(struct ca *c)
{
	atomic_fetch_sub(&c->waiting, 1);
	ct_add(c->waiting_gauge, -1);
}

static int
reject_busy(struct ca *c, struct _u_response *response)
{
	return (reject(c, response, HT_UNAVAILABLE, "too_many_callers",
	    "Too many callers wait at this entry; this request started "
	    "nothing."));
}

/*
 * Checks the phase and wait_ms of a request; answers it when it is rejected.
 * @last_phase: last phase in which the request is accepted
 */
static bool
check_request(struct ca *c, const struct _u_request *request,
    struct _u_response *response, enum phase last_phase, unsigned *wait_ms)
{
	const char *text = u_map_get(request->map_url, "wait_ms");
	guint64 value = 0;

	if (atomic_load(&c->phase) > (int)last_phase) {
		reject(c, response, HT_UNAVAILABLE, "draining",
		    "This entry is stopping; this request started nothing.");
		return (false);
	}
	if (text != NULL &&
	    !g_ascii_string_to_unsigned(
		text, 10, 0, WAIT_MAX_MS, &value, NULL)) {
		reject(c, response, HT_BAD_REQUEST, "malformed",
		    "\"wait_ms\" must be a number from 0 to 600000.");
		return (false);
	}
	*wait_ms = (unsigned)value;
	return (true);
}

static int
submit(struct ca *c, const struct _u_request *request,
    struct _u_response *response, enum pd_kind kind)
{
	struct request r = {.callers = c};
	enum co_error parsed;
	char error[256];
	int result;

	if (!check_request(c, request, response, PHASE_OPEN, &r.wait_ms))
		return (U_CALLBACK_COMPLETE);
	parsed = co_parse_submission(request->binary_body,
	    request->binary_body_length, kind, error, sizeof(error), &r.submit);
	if (parsed != CO_OK)
		return (reject(c, response,
		    parsed == CO_TOO_LARGE ? HT_TOO_LARGE : HT_BAD_REQUEST,
		    parsed == CO_TOO_LARGE ? "too_large" : "malformed", error));
	if (!acquire_waiter(c)) {
		co_submit_free(r.submit);
		return (reject_busy(c, response));
	}
	result = run_on_loop(c, &r, response);
	release_waiter(c);
	return (result);
}

static int
post_submission(
    const struct _u_request *request, struct _u_response *response, void *arg)
{
	return (submit(arg, request, response, PD_SUBMISSION));
}

static int
post_request(
    const struct _u_request *request, struct _u_response *response, void *arg)
{
	return (submit(arg, request, response, PD_REQUEST));
}

static int
lookup(struct ca *c, const struct _u_request *request,
    struct _u_response *response, bool cancel)
{
	const char *id = u_map_get(request->map_url, "id");
	struct request r = {.callers = c, .cancel = cancel};
	uint64_t created;
	int result;

	if (!check_request(c, request, response, PHASE_DRAINING, &r.wait_ms))
		return (U_CALLBACK_COMPLETE);
	if (!co_name_ok(id, PD_ID_MAX))
		return (reject(c, response, HT_BAD_REQUEST, "malformed",
		    "The id must be 1 to 128 letters, digits and -._:~"));
	if (!co_parse_positive(
		u_map_get(request->map_url, "created_ms"), &created))
		return (reject(c, response, HT_BAD_REQUEST, "malformed",
		    "\"created_ms\" must be given as a number above 0."));
	r.id.id = (char *)(uintptr_t)id;
	r.id.created_ms = created;
	if (!acquire_waiter(c))
		return (reject_busy(c, response));
	result = run_on_loop(c, &r, response);
	release_waiter(c);
	return (result);
}

static int
get_submission(
    const struct _u_request *request, struct _u_response *response, void *arg)
{
	return (lookup(arg, request, response, false));
}

static int
delete_submission(
    const struct _u_request *request, struct _u_response *response, void *arg)
{
	return (lookup(arg, request, response, true));
}

static int
post_id(
    const struct _u_request *request, struct _u_response *response, void *arg)
{
	struct ca *c = arg;
	uint64_t high, low;

	(void)request;
	g_mutex_lock(&c->rng_lock);
	high = rn_u64(c->rng);
	low = rn_u64(c->rng);
	g_mutex_unlock(&c->rng_lock);
	/* No string needs escaping, so printf() is enough. */
	return (ht_respond_json(response, HT_OK,
	    g_strdup_printf("{\"id\":\"%016" PRIx64 "%016" PRIx64
			    "\",\"created_ms\":%" PRIu64 "}",
		high, low, ck_wall_ms(c->clock))));
}

static int
get_health(
    const struct _u_request *request, struct _u_response *response, void *arg)
{
	struct ca *c = arg;

	(void)request;
	if (atomic_load(&c->phase) != PHASE_OPEN)
		return (ht_respond_error(response, HT_UNAVAILABLE, "draining",
		    "This entry is stopping."));
	return (
	    ht_respond_json(response, HT_OK, g_strdup("{\"status\":\"ok\"}")));
}

static const struct ht_route routes[] = {
    {"POST", "/v1/submissions", post_submission},
    {"GET", "/v1/submissions/:id", get_submission},
    {"DELETE", "/v1/submissions/:id", delete_submission},
    {"POST", "/v1/requests", post_request},
    {"POST", "/v1/ids", post_id},
    {"GET", "/healthz", get_health},
    {NULL, NULL, NULL},
};

struct ca *
ca_new(struct kn *k)
{
	struct ca *c;

	c = g_new0(struct ca, 1);
	c->clock = kn_find(k, "clock");
	c->counters = kn_find(k, "counters");
	c->mailbox = kn_find(k, "mailbox");
	c->forward = kn_find(k, "forward");
	c->options = kn_find(k, "settings");
	c->rng = rn_new_random();
	g_mutex_init(&c->rng_lock);
	c->waiting_gauge = ct_get(c->counters, CT_GAUGE, "pd_callers_waiting",
	    "callers waiting for an answer", "");
	c->server = ht_start(c->options->callers_address, CONNECTIONS_MAX,
	    CO_BODY_MAX, routes, c);
	if (c->server == NULL) {
		ca_free(c);
		return (NULL);
	}
	return (c);
}

void
ca_drain(struct ca *c)
{
	atomic_store(&c->phase, PHASE_DRAINING);
}

void
ca_close(struct ca *c)
{
	if (c == NULL)
		return;
	atomic_store(&c->phase, PHASE_CLOSED);
	ht_stop(c->server);
	c->server = NULL;
}

void
ca_free(struct ca *c)
{
	if (c == NULL)
		return;
	ca_close(c);
	rn_free(c->rng);
	g_mutex_clear(&c->rng_lock);
	g_free(c);
}
