#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "clock.h"
#include "config.h"
#include "conn.h"
#include "counters.h"
#include "log.h"
#include "support_net.h"
#include "workers.h"

/* Tests the connections from agents to an entry, on one event loop. */

#define CONNECTIONS 3
/* Longer than some messages take on the local host. */
#define SETTLE_MS 50
#define AGENT_CPU 64000
#define CONFIRMED_MS 100000
#define ZONES_AGE_MS 123

struct fixture;

/* A connection of the agent. */
struct agent {
	struct fixture *fixture;
	struct cn *conn;
	uint64_t incarnation; /* of the agent process, also its start */
	bool rejected;        /* its last heartbeat */
	unsigned attached;    /* replies to heartbeats */
	unsigned renewed;     /* replies to short ones */
	unsigned asked_to_attach;
	unsigned starts;
	unsigned zones;              /* messages about zones that are out */
	unsigned zones_at_reply;     /* before the last answer to a heartbeat */
	unsigned starts_before;      /* grants before the last of them */
	uint64_t zones_revision;     /* in the last of them */
	struct pd_zones_known known; /* in the last answer to a heartbeat */
	unsigned out;                /* zones in it */
	unsigned withdrawals;
	unsigned queries;
};

struct fixture {
	struct event_base *base;
	struct ck *clock;
	struct ct *counters;
	struct cf *config;
	struct fl *fleet;
	struct jb *jobs;
	struct wo *workers;
	char address[SN_ADDRESS_SIZE];
	struct agent agents[CONNECTIONS];
};

static const char *const *
entry_addresses(void *arg, unsigned *n, uint32_t *hash)
{
	(void)arg;
	*n = 0;
	*hash = 0;
	return (NULL);
}

static struct pd_zones_known
zones_known(void *arg)
{
	struct fixture *f = arg;

	return (cf_zones_known(f->config, CONFIRMED_MS + ZONES_AGE_MS));
}

static struct pd_zones
zones_in_force(void *arg)
{
	struct fixture *f = arg;

	return (cf_zones(f->config));
}

static const struct wo_ops worker_ops = {
    .entry_addresses = entry_addresses,
    .zones_known = zones_known,
    .zones = zones_in_force,
};

static void
send_start(void *arg, struct fl_worker *w, const struct pd_start *s)
{
	struct fixture *f = arg;
	struct pd_start copy = *s;

	wo_send_start(f->workers, w, &copy);
}

static void
send_withdraw(void *arg, struct fl_worker *w, const struct pd_key *k)
{
	struct fixture *f = arg;

	wo_send_withdraw(f->workers, w, k);
}

static void
send_reconcile(
    void *arg, struct fl_worker *w, const struct pd_key *keys, unsigned n)
{
	struct fixture *f = arg;

	wo_reconcile(f->workers, w, keys, n);
}

static void
ignore_answer(void *arg, uint64_t waiter, const struct jb_answer *a)
{
	(void)arg;
	(void)waiter;
	(void)a;
}

static void
ignore_end(void *arg, const struct jb_answer *a)
{
	(void)arg;
	(void)a;
}

static const struct jb_ops job_ops = {.start = send_start,
    .withdraw = send_withdraw,
    .reconcile = send_reconcile,
    .answer = ignore_answer,
    .ended = ignore_end};

static void
on_zones(struct agent *a, struct cn *c, XDR *args)
{
	struct pd_zones z = {0};

	assert_true(cn_decode(c, args, (xdrproc_t)xdr_pd_zones, &z));
	a->zones++;
	a->starts_before = a->starts;
	a->zones_revision = z.revision;
	a->out = z.evacuated.evacuated_len;
	xdr_free((xdrproc_t)xdr_pd_zones, (char *)&z);
}

static void
on_call(void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	struct agent *a = arg;

	(void)xid;
	if (proc == PD_ZONES)
		on_zones(a, c, args);
	a->starts += proc == PD_START;
	a->withdrawals += proc == PD_WITHDRAW;
	a->queries += proc == PD_RECONCILE;
}

static void
on_closed(void *arg, struct cn *c, enum cn_error why)
{
	struct agent *a = arg;

	(void)c;
	(void)why;
	a->conn = NULL;
}

static const struct cn_ops agent_ops = {.call = on_call, .closed = on_closed};

static int
set_up(void **state)
{
	const struct wo_identity self = {"cell", "entry", 1};
	struct fixture *f = g_new0(struct fixture, 1);

	lg_open("test", LOG_CRIT);
	f->base = event_base_new();
	f->clock = ck_new_system();
	f->counters = ct_new();
	f->config = cf_new();
	cf_confirm_zones(f->config, CONFIRMED_MS);
	f->fleet = fl_new(f->clock, f->counters, f->config, 1);
	f->jobs = jb_new(f->clock, f->counters, f->fleet, &job_ops, f);
	sn_address(f->address, sn_free_port());
	f->workers =
	    wo_new(f->base, f->address, &self, f->fleet, &worker_ops, f);
	assert_non_null(f->workers);
	wo_set_jobs(f->workers, f->jobs);
	*state = f;
	return (0);
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;
	unsigned i;

	for (i = 0; i < CONNECTIONS; i++)
		if (f->agents[i].conn != NULL)
			cn_close(f->agents[i].conn);
	wo_free(f->workers);
	jb_free(f->jobs);
	fl_free(f->fleet);
	cf_free(f->config);
	ct_free(f->counters);
	ck_free(f->clock);
	event_base_loop(f->base, EVLOOP_NONBLOCK);
	event_base_free(f->base);
	g_free(f);
	return (0);
}

static void
on_attached(void *arg, enum cn_error error, void *result)
{
	const struct pd_attached *reply = result;
	struct agent *a = arg;

	a->rejected = error == CN_REJECTED;
	a->attached += error == CN_OK;
	if (error != CN_OK)
		return;
	a->known = reply->zones;
	a->zones_at_reply = a->zones;
}

static void
send_heartbeat(struct agent *a)
{
	struct pd_attach out = {.cell = (char *)(uintptr_t) "cell",
	    .name = (char *)(uintptr_t) "side-1",
	    .az = (char *)(uintptr_t) "z1",
	    .service = (char *)(uintptr_t) "desk",
	    .incarnation = a->incarnation,
	    .started_ms = a->incarnation,
	    .cpu = AGENT_CPU,
	    .mem_mb = 1000,
	    .load.accepting = true,
	    .clock_ms = ck_mono_ms(a->fixture->clock)};

	cn_call(a->conn, PD_ATTACH, (xdrproc_t)xdr_pd_attach, &out,
	    (xdrproc_t)xdr_pd_attached, sizeof(struct pd_attached), 0,
	    on_attached, a);
	sn_run_loop(a->fixture->base, SETTLE_MS);
}

static void
on_renewed(void *arg, enum cn_error error, void *result)
{
	const struct pd_renewed *r = result;
	struct agent *a = arg;

	a->rejected = error == CN_REJECTED;
	a->renewed += error == CN_OK;
	if (error == CN_OK)
		a->known = r->zones;
	a->asked_to_attach += error == CN_OK && r->attach;
}

static void
renew(struct agent *a, uint64_t endpoint)
{
	struct pd_renew out = {.endpoint = endpoint,
	    .load.accepting = true,
	    .clock_ms = ck_mono_ms(a->fixture->clock)};

	cn_call(a->conn, PD_RENEW, (xdrproc_t)xdr_pd_renew, &out,
	    (xdrproc_t)xdr_pd_renewed, sizeof(struct pd_renewed), 0, on_renewed,
	    a);
	sn_run_loop(a->fixture->base, SETTLE_MS);
}

/* Opens a connection of an agent process and attaches it. */
static struct agent *
connect_agent(struct fixture *f, unsigned i, uint64_t incarnation)
{
	struct agent *a = &f->agents[i];
	enum cn_error error;

	a->fixture = f;
	a->incarnation = incarnation;
	a->conn = cn_connect(f->base, f->address, &agent_ops, a, &error);
	assert_non_null(a->conn);
	sn_run_loop(f->base, SETTLE_MS);
	send_heartbeat(a);
	return (a);
}

static void
submit(struct fixture *f, const char *id)
{
	struct pd_queue q = {.name = (char *)(uintptr_t) "q",
	    .service = (char *)(uintptr_t) "desk",
	    .timeout_ms = 10000,
	    .target_ms = 10000,
	    .attempts = 2};
	struct jb_step s = {
	    .count = 1, .cpu = 1000, .size_ms = 100, .label = ""};
	struct jb_request r = {.id = id,
	    .queue = &q,
	    .deadline_ms = 10000,
	    .steps = &s,
	    .nsteps = 1,
	    .body = "b",
	    .body_len = 1};

	jb_submit(f->jobs, &r, 1);
	sn_run_loop(f->base, SETTLE_MS);
}

/* Guards against grants on a connection that the agent has replaced, and
 * against a connection whose end makes the agent count as lost though it has
 * another one: the state of its grants is then never asked. */
static void
test_heartbeat_on_replaced_connection(void **state)
{
	struct fixture *f = *state;
	struct agent *first, *second;

	first = connect_agent(f, 0, 1);
	second = connect_agent(f, 1, 1);
	assert_int_equal(1, second->attached);
	if (first->conn != NULL)
		send_heartbeat(first);
	submit(f, "a");
	assert_int_equal(0, first->starts);
	assert_int_equal(1, second->starts);
	assert_null(first->conn);
	assert_int_equal(1, fl_usable_count(f->fleet));
}

/* Guards against grants to an agent process whose successor is connected, and
 * against contact that lets it go on with its tasks. */
static void
test_earlier_agent_on_connection(void **state)
{
	struct fixture *f = *state;
	struct agent *early, *late, *again;

	early = connect_agent(f, 0, 1);
	submit(f, "a");
	assert_int_equal(1, early->starts);
	late = connect_agent(f, 1, 2);
	assert_int_equal(1, late->starts);
	again = connect_agent(f, 2, 1);
	assert_int_equal(0, again->attached);
	assert_true(again->rejected);
	submit(f, "b");
	assert_int_equal(0, again->starts);
	assert_int_equal(2, late->starts);
}

/* Guards against contact by short heartbeats on a connection whose agent is not
 * attached, which would let it go on with tasks that are granted elsewhere, and
 * against grants by a description that the entry does not have. */
static void
test_short_heartbeat(void **state)
{
	struct fixture *f = *state;
	struct agent *early, *late;

	early = connect_agent(f, 0, 1);
	renew(early, 0);
	assert_int_equal(1, early->renewed);
	assert_int_equal(0, early->asked_to_attach);
	assert_int_equal(1, fl_usable_count(f->fleet));
	renew(early, 7);
	assert_int_equal(2, early->renewed);
	assert_int_equal(1, early->asked_to_attach);
	assert_int_equal(0, fl_usable_count(f->fleet));
	send_heartbeat(early);
	assert_int_equal(1, fl_usable_count(f->fleet));
	late = connect_agent(f, 1, 2);
	early = connect_agent(f, 2, 1);
	assert_true(early->rejected);
	renew(early, 0);
	assert_int_equal(0, early->renewed);
	assert_true(early->rejected);
	renew(late, 0);
	assert_int_equal(1, late->renewed);
}

static void
set_zones(struct fixture *f, uint64_t revision, unsigned out)
{
	pd_name zones[] = {(char *)(uintptr_t) "z2"};
	struct pd_config c = {.zones_revision = revision,
	    .evacuated = {.evacuated_len = out, .evacuated_val = zones}};

	assert_true(cf_apply(f->config, &c));
	wo_send_zones(f->workers);
	sn_run_loop(f->base, SETTLE_MS);
}

/* Guards against agents that do not hear which zones are out: when they
 * connect, before the first grant, and when that changes. */
static void
test_zones_sent(void **state)
{
	struct fixture *f = *state;
	struct agent *a, *again;

	/* What is not known is not sent. */
	a = connect_agent(f, 0, 1);
	assert_int_equal(0, a->zones);
	set_zones(f, 4, 1);
	assert_int_equal(1, a->zones);
	assert_int_equal(4, a->zones_revision);
	assert_int_equal(1, a->out);
	submit(f, "a");
	assert_int_equal(1, a->starts);
	again = connect_agent(f, 1, 2);
	assert_int_equal(1, again->starts);
	assert_int_equal(1, again->zones);
	assert_int_equal(0, again->starts_before);
	/* The answer to the first heartbeat confirms them. */
	assert_int_equal(1, again->zones_at_reply);
	set_zones(f, 9, 0);
	assert_int_equal(2, again->zones);
	assert_int_equal(9, again->zones_revision);
	assert_int_equal(0, again->out);
	/* Answers to heartbeats of both forms confirm them. */
	send_heartbeat(again);
	assert_int_equal(9, again->known.revision);
	assert_int_equal(ZONES_AGE_MS, again->known.age_ms);
	again->known.revision = 0;
	renew(again, 0);
	assert_int_equal(9, again->known.revision);
	assert_int_equal(ZONES_AGE_MS, again->known.age_ms);
}

int
main(void)
{
#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    T(test_heartbeat_on_replaced_connection),
	    T(test_earlier_agent_on_connection),
	    T(test_short_heartbeat),
	    T(test_zones_sent),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
