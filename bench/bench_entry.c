#include <argtable2.h>
#include <event2/event.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "conn.h"
#include "pd.h"
#include "rng.h"

/**
 * DOC: bench_entry - simulated agents, to measure the throughput of an entry
 *
 * Keeps sessions of many agents with one entry open and answers every grant at
 * once with the result `done:<body>`, so that agents and endpoints cost almost
 * nothing. Runs until it is ended by a signal.
 */

#define HEARTBEAT_MS 500
#define US_PER_MS 1000

struct agent {
	struct cn *conn;
	struct ck *clock;
	char name[PD_NAME_MAX];
	const char *service;
	unsigned slots;
	uint64_t incarnation;
	struct event *heartbeat;
};

static void
on_reply(void *arg, enum cn_error error, void *result)
{
	(void)arg;
	(void)result;
	if (error != CN_OK) {
		fprintf(stderr, "bench_entry: %s\n", cn_error_name(error));
		exit(1);
	}
}

static void
on_heartbeat(evutil_socket_t fd, short what, void *arg)
{
	struct pd_heartbeat heartbeat = {0};
	struct agent *a = arg;

	(void)fd;
	(void)what;
	heartbeat.clock_ms = ck_mono_ms(a->clock);
	cn_call(a->conn, PD_HEARTBEAT, (xdrproc_t)xdr_pd_heartbeat, &heartbeat,
	    (xdrproc_t)xdr_pd_permit, sizeof(struct pd_permit), 0, on_reply, a);
}

static void
opened(void *arg, struct cn *c)
{
	static char cell[] = "default", none[] = "";
	struct agent *a = arg;
	struct pd_hello hello = {
	    .cell = cell,
	    .name = a->name,
	    .incarnation = a->incarnation,
	    .started_ms = ck_wall_ms(a->clock),
	    .az = none,
	    .service = (char *)(uintptr_t)a->service,
	    .worker = none,
	    .slots = a->slots,
	    .queue_max = a->slots,
	};

	cn_call(c, PD_HELLO, (xdrproc_t)xdr_pd_hello, &hello,
	    (xdrproc_t)xdr_pd_hello_reply, sizeof(struct pd_hello_reply), 0,
	    on_reply, a);
	on_heartbeat(-1, 0, a);
}

/* The key is borrowed from the grant; the body is owned. */
static void
make_result(const struct pd_grant *g, struct pd_record *r)
{
	memset(r, 0, sizeof(*r));
	r->key = g->key;
	r->state = PD_DONE;
	r->ntasks = g->ntasks;
	r->run_ms = 1;
	r->body.body_len = g->body.body_len + 5;
	r->body.body_val = g_malloc(r->body.body_len);
	memcpy(r->body.body_val, "done:", 5);
	if (g->body.body_len > 0)
		memcpy(
		    r->body.body_val + 5, g->body.body_val, g->body.body_len);
}

static void
on_grants(struct cn *c, XDR *args)
{
	struct pd_report report = {0};
	struct pd_grants grants = {0};
	u_int i, n;

	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_grants, &grants))
		return;
	n = grants.list.list_len;
	report.list.list_len = n;
	report.list.list_val = g_new(struct pd_record, n);
	for (i = 0; i < n; i++)
		make_result(&grants.list.list_val[i], &report.list.list_val[i]);
	cn_send(c, PD_REPORT, (xdrproc_t)xdr_pd_report, &report);
	for (i = 0; i < n; i++)
		g_free(report.list.list_val[i].body.body_val);
	g_free(report.list.list_val);
	xdr_free((xdrproc_t)xdr_pd_grants, &grants);
}

static void
on_call(void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	struct pd_fence_reply fence = {0};
	struct agent *a = arg;

	if (proc == PD_GRANT)
		on_grants(c, args);
	else if (proc == PD_FENCE) {
		fence.incarnation = a->incarnation;
		cn_reply(c, xid, (xdrproc_t)xdr_pd_fence_reply, &fence);
	} else if (proc != PD_CANCEL)
		cn_reject(c, xid);
}

static void
closed(void *arg, struct cn *c, enum cn_error why)
{
	const struct agent *a = arg;

	(void)c;
	fprintf(stderr, "bench_entry: %s: %s\n", a->name, cn_error_name(why));
	exit(1);
}

static const struct cn_ops ops = {
    .opened = opened,
    .call = on_call,
    .closed = closed,
};

static void
start_agent(struct agent *a, struct event_base *base, const char *address)
{
	struct timeval tv = {0, HEARTBEAT_MS * US_PER_MS};
	enum cn_error error;

	a->conn = cn_connect(base, address, &ops, a, &error);
	if (a->conn == NULL) {
		fprintf(stderr, "bench_entry: %s\n", cn_error_name(error));
		exit(1);
	}
	a->heartbeat =
	    event_new(base, -1, EV_PERSIST | EV_TIMEOUT, on_heartbeat, a);
	event_add(a->heartbeat, &tv);
}

static void
run_agents(const char *address, const char *service, const char *prefix,
    int count, int slots)
{
	struct event_base *base = event_base_new();
	struct ck *clock = ck_new_system();
	struct rn *rng = rn_new_random();
	struct agent *agents = g_new0(struct agent, (gsize)count);
	int i;

	for (i = 0; i < count; i++) {
		agents[i].clock = clock;
		agents[i].service = service;
		agents[i].slots = (unsigned)slots;
		agents[i].incarnation = rn_u64(rng);
		g_snprintf(
		    agents[i].name, sizeof(agents[i].name), "%s%d", prefix, i);
		start_agent(&agents[i], base, address);
	}
	event_base_dispatch(base);
	rn_free(rng);
	ck_free(clock);
	g_free(agents);
	event_base_free(base);
}

int
main(int argc, char **argv)
{
	struct arg_str *entry =
	    arg_str1(NULL, "entry", "IP:PORT", "RPC address of the entry");
	struct arg_str *service =
	    arg_str1(NULL, "service", "NAME", "service of the agents");
	struct arg_str *prefix = arg_str1(
	    NULL, "prefix", "TEXT", "names are TEXT0, TEXT1 and so on");
	struct arg_int *count =
	    arg_int0(NULL, "count", "N", "number of agents");
	struct arg_int *slots =
	    arg_int0(NULL, "slots", "N", "slots of each agent");
	struct arg_end *end = arg_end(4);
	void *table[] = {entry, service, prefix, count, slots, end};

	count->ival[0] = 11;
	slots->ival[0] = 8;
	if (arg_parse(argc, argv, table) != 0) {
		arg_print_errors(stderr, end, argv[0]);
		arg_print_glossary(stderr, table, "  %-20s %s\n");
		return (2);
	}
	run_agents(entry->sval[0], service->sval[0], prefix->sval[0],
	    count->ival[0], slots->ival[0]);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return (0);
}
