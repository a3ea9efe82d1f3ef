#include <argtable2.h>
#include <event2/event.h>
#include <glib.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "clock.h"
#include "conn.h"
#include "partition.h"
#include "pd.h"

/*
 * Peers of sessions for bench/capacity.sh: --agents opens sessions of many
 * simulated agents with one entry from one process, --entries simulates entries
 * that one real agent connects to.
 *
 * Agents finish every granted task at once. SIGUSR1 closes all sessions and
 * opens them again at once; SIGUSR2 prints and resets the counts of FENCE
 * calls. Entries give permits; with --rate the first one grants tasks to its
 * agent.
 */
#define HEARTBEAT_MS 500
#define STEP_MS 10
#define STEPS (HEARTBEAT_MS / STEP_MS)
#define TASKS_PER_JOB 20
#define BODY_BYTES 64
#define ID_BYTES 48
#define US_PER_MS 1000
#define MS_PER_S 1000.0
#define GRANT_TIMEOUT_MS 5000
#define ENTRIES_MAX 64

struct stub;

struct session {
	struct stub *stub;
	struct cn *conn;
	unsigned index;
	bool permitted;
};

struct stub {
	struct event_base *base;
	struct ck *clock;
	struct session *sessions;
	unsigned nsessions;
	unsigned heartbeat_step;
	const char *address;
	unsigned records; /* start records of each agent */
	uint64_t started_ms;
	char body[BODY_BYTES];
	/* reconnection */
	uint64_t reconnect_start_us;
	unsigned permitted;
	/* FENCE calls */
	uint64_t fence_first_us;
	uint64_t fence_last_us;
	unsigned fences;
	unsigned fence_records;
	/* grants of a simulated entry */
	double rate;
	double grants_due;
	uint64_t last_us;
	uint64_t tasks_granted;
	uint64_t agent_incarnation;
};

static void send_heartbeat(struct session *l);

static void
on_permit(void *arg, enum cn_error error, void *result)
{
	const struct pd_permit *permit = result;
	struct session *l = arg;
	struct stub *s = l->stub;

	if (error != CN_OK || !permit->granted || l->permitted)
		return;
	l->permitted = true;
	if (++s->permitted < s->nsessions)
		return;
	printf("permitted %u %.1f\n", s->permitted,
	    (double)(ck_mono_us(s->clock) - s->reconnect_start_us) / US_PER_MS);
	fflush(stdout);
}

static void
on_hello_reply(void *arg, enum cn_error error, void *result)
{
	(void)result;
	if (error == CN_OK)
		send_heartbeat(arg);
}

static void
send_heartbeat(struct session *l)
{
	struct pd_heartbeat h = {0};

	h.clock_ms = ck_mono_ms(l->stub->clock);
	cn_call(l->conn, PD_HEARTBEAT, (xdrproc_t)xdr_pd_heartbeat, &h,
	    (xdrproc_t)xdr_pd_permit, sizeof(struct pd_permit), 0, on_permit,
	    l);
}

static void
agent_opened(void *arg, struct cn *c)
{
	static char cell[] = "default", az[] = "finistere";
	static char service[] = "order-desk";
	struct pd_hello h = {0};
	struct session *l = arg;
	char name[ID_BYTES], worker[ID_BYTES];

	g_snprintf(name, sizeof(name), "order-desk-%u", l->index + 1);
	g_snprintf(worker, sizeof(worker), "worker-%u", l->index + 1);
	h.cell = cell;
	h.name = name;
	h.worker = worker;
	h.az = az;
	h.service = service;
	h.incarnation = l->stub->started_ms + l->index;
	h.started_ms = l->stub->started_ms;
	h.slots = 8;
	h.queue_max = 8;
	cn_call(c, PD_HELLO, (xdrproc_t)xdr_pd_hello, &h,
	    (xdrproc_t)xdr_pd_hello_reply, sizeof(struct pd_hello_reply), 0,
	    on_hello_reply, l);
}

static void
on_grants(struct session *l, XDR *args)
{
	struct pd_grants grants = {0};
	struct pd_report report = {0};
	struct pd_record *r;
	u_int i;

	if (!cn_decode(l->conn, args, (xdrproc_t)xdr_pd_grants, &grants))
		return;
	report.list.list_len = grants.list.list_len;
	report.list.list_val = g_new0(struct pd_record, grants.list.list_len);
	for (i = 0; i < grants.list.list_len; i++) {
		r = &report.list.list_val[i];
		r->key = grants.list.list_val[i].key;
		r->state = PD_DONE;
		r->ntasks = grants.list.list_val[i].ntasks;
		r->run_ms = 1;
		r->body.body_val = l->stub->body;
		r->body.body_len = BODY_BYTES;
	}
	cn_send(l->conn, PD_REPORT, (xdrproc_t)xdr_pd_report, &report);
	g_free(report.list.list_val);
	xdr_free((xdrproc_t)xdr_pd_grants, &grants);
}

/* Fills a page with the start records in the partitions, from the cursor on. */
static void
fence_page(struct session *l, const struct pd_fence *f,
    struct pd_fence_reply *out, char (*ids)[ID_BYTES])
{
	struct stub *s = l->stub;
	struct pd_record *r;
	unsigned i, n = 0;

	for (i = (unsigned)f->cursor; i < s->records && n < PD_BATCH_MAX; i++) {
		r = &out->list.list_val[n];
		g_snprintf(ids[n], ID_BYTES, "record-%u-%u", l->index,
		    i / TASKS_PER_JOB);
		r->key.sub.id = ids[n];
		r->key.sub.created_ms = s->started_ms;
		if ((f->partitions >> pt_partition(&r->key.sub) & 1) == 0)
			continue;
		r->key.task = i % TASKS_PER_JOB;
		r->state = PD_DONE;
		r->ntasks = TASKS_PER_JOB;
		r->body.body_val = s->body;
		r->body.body_len = BODY_BYTES;
		n++;
	}
	out->next = i < s->records ? i : 0;
	out->list.list_len = n;
}

static void
on_fence(struct session *l, uint32_t xid, XDR *args)
{
	struct pd_fence_reply reply = {0};
	struct pd_fence fence = {0};
	struct stub *s = l->stub;
	char(*ids)[ID_BYTES];

	if (!cn_decode(l->conn, args, (xdrproc_t)xdr_pd_fence, &fence))
		return;
	ids = g_malloc0((size_t)PD_BATCH_MAX * ID_BYTES);
	reply.incarnation = s->started_ms + l->index;
	reply.started_ms = s->started_ms;
	reply.list.list_val = g_new0(struct pd_record, PD_BATCH_MAX);
	fence_page(l, &fence, &reply, ids);
	s->fence_last_us = ck_mono_us(s->clock);
	if (s->fences++ == 0)
		s->fence_first_us = s->fence_last_us;
	s->fence_records += reply.list.list_len;
	cn_reply(l->conn, xid, (xdrproc_t)xdr_pd_fence_reply, &reply);
	g_free(reply.list.list_val);
	g_free(ids);
}

static void
agent_called(void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	struct session *l = arg;

	if (proc == PD_GRANT)
		on_grants(l, args);
	else if (proc == PD_FENCE)
		on_fence(l, xid, args);
	else if (proc != PD_CANCEL)
		cn_reject(c, xid);
}

static void
session_closed(void *arg, struct cn *c, enum cn_error why)
{
	struct session *l = arg;

	(void)c;
	if (why != CN_CLOSED_LOCALLY)
		fprintf(stderr, "session %u ended: %s\n", l->index,
		    cn_error_name(why));
	l->conn = NULL;
}

static const struct cn_ops agent_ops = {
    agent_opened, agent_called, session_closed};

static void
connect_all(struct stub *s)
{
	enum cn_error error;
	struct session *l;
	unsigned i;

	s->permitted = 0;
	s->reconnect_start_us = ck_mono_us(s->clock);
	for (i = 0; i < s->nsessions; i++) {
		l = &s->sessions[i];
		if (l->conn != NULL)
			cn_close(l->conn);
		l->permitted = false;
		l->conn =
		    cn_connect(s->base, s->address, &agent_ops, l, &error);
	}
}

static void
on_reconnect(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	connect_all(arg);
}

static void
on_fence_counts(evutil_socket_t fd, short what, void *arg)
{
	struct stub *s = arg;

	(void)fd;
	(void)what;
	printf("fences %u %u %.1f\n", s->fences, s->fence_records,
	    (double)(s->fence_last_us - s->fence_first_us) / US_PER_MS);
	fflush(stdout);
	s->fences = 0;
	s->fence_records = 0;
}

/* Heartbeats are spread over their period, as those of real agents are. */
static void
on_heartbeat_step(evutil_socket_t fd, short what, void *arg)
{
	struct stub *s = arg;
	unsigned i;

	(void)fd;
	(void)what;
	for (i = s->heartbeat_step; i < s->nsessions; i += STEPS)
		if (s->sessions[i].conn != NULL && s->sessions[i].permitted)
			send_heartbeat(&s->sessions[i]);
	s->heartbeat_step = (s->heartbeat_step + 1) % STEPS;
}

static void
entry_called(void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	static char name[] = "entry";
	struct pd_hello_reply reply = {name, 4711};
	struct pd_permit permit = {true, 0, 1, 1, true};
	struct pd_heartbeat heartbeat = {0};
	struct pd_report report = {0};
	struct pd_hello hello = {0};
	struct session *l = arg;

	if (proc == PD_HELLO &&
	    cn_decode(c, args, (xdrproc_t)xdr_pd_hello, &hello)) {
		l->stub->agent_incarnation = hello.incarnation;
		reply.incarnation += l->index;
		cn_reply(c, xid, (xdrproc_t)xdr_pd_hello_reply, &reply);
		xdr_free((xdrproc_t)xdr_pd_hello, &hello);
	} else if (proc == PD_HEARTBEAT &&
	    cn_decode(c, args, (xdrproc_t)xdr_pd_heartbeat, &heartbeat)) {
		permit.clock_ms = heartbeat.clock_ms;
		cn_reply(c, xid, (xdrproc_t)xdr_pd_permit, &permit);
	} else if (proc == PD_REPORT &&
	    cn_decode(c, args, (xdrproc_t)xdr_pd_report, &report))
		xdr_free((xdrproc_t)xdr_pd_report, &report);
}

static const struct cn_ops entry_ops = {NULL, entry_called, session_closed};

static void
entry_accept(void *arg, struct cn *c)
{
	struct session *l = arg;

	l->conn = c;
	cn_set_ops(c, &entry_ops, l);
}

static void
send_grant(struct stub *s)
{
	static char team[] = "lids";
	struct pd_grant g = {0};
	struct pd_grants grants = {{1, &g}};
	char id[ID_BYTES];

	g_snprintf(id, sizeof(id), "job-%llu",
	    (unsigned long long)(s->tasks_granted / TASKS_PER_JOB));
	g.key.sub.id = id;
	g.key.sub.created_ms = ck_wall_ms(s->clock);
	g.key.task = (u_int)(s->tasks_granted++ % TASKS_PER_JOB);
	g.view = 1;
	g.incarnation = s->agent_incarnation;
	g.ntasks = TASKS_PER_JOB;
	g.size_ms = 1;
	g.timeout_ms = GRANT_TIMEOUT_MS;
	g.team = team;
	g.body.body_val = s->body;
	g.body.body_len = BODY_BYTES;
	cn_send(
	    s->sessions[0].conn, PD_GRANT, (xdrproc_t)xdr_pd_grants, &grants);
}

static void
on_grant_step(evutil_socket_t fd, short what, void *arg)
{
	struct stub *s = arg;
	uint64_t now = ck_mono_us(s->clock);

	(void)fd;
	(void)what;
	if (s->sessions[0].conn != NULL && s->agent_incarnation != 0)
		s->grants_due += s->rate * (double)(now - s->last_us) /
		    (US_PER_MS * MS_PER_S);
	s->last_us = now;
	while (s->grants_due >= 1 && s->sessions[0].conn != NULL) {
		send_grant(s);
		s->grants_due--;
	}
}

static void
start_timer(struct stub *s, unsigned ms, event_callback_fn fn)
{
	struct timeval tv = {0, (suseconds_t)ms * US_PER_MS};

	event_add(event_new(s->base, -1, EV_PERSIST, fn, s), &tv);
}

static void
run_agents(struct stub *s)
{
	event_add(evsignal_new(s->base, SIGUSR1, on_reconnect, s), NULL);
	event_add(evsignal_new(s->base, SIGUSR2, on_fence_counts, s), NULL);
	start_timer(s, STEP_MS, on_heartbeat_step);
	connect_all(s);
	event_base_dispatch(s->base);
}

static void
run_entries(struct stub *s)
{
	struct cn_listener *listener;
	enum cn_error error;
	unsigned i;

	printf("ready");
	for (i = 0; i < s->nsessions; i++) {
		listener = cn_listen(s->base, "127.0.0.1:0", entry_accept,
		    &s->sessions[i], &error);
		printf(" %u", cn_listener_port(listener));
	}
	printf("\n");
	fflush(stdout);
	s->last_us = ck_mono_us(s->clock);
	if (s->rate > 0)
		start_timer(s, STEP_MS / 2, on_grant_step);
	event_base_dispatch(s->base);
}

static void
init(struct stub *s, unsigned nsessions)
{
	struct rlimit files;
	unsigned i;

	if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
		files.rlim_cur = files.rlim_max;
		setrlimit(RLIMIT_NOFILE, &files);
	}
	s->base = event_base_new();
	s->clock = ck_new_system();
	s->started_ms = ck_wall_ms(s->clock);
	memset(s->body, 'x', sizeof(s->body));
	s->nsessions = nsessions;
	s->sessions = g_new0(struct session, nsessions);
	for (i = 0; i < nsessions; i++)
		s->sessions[i] = (struct session){.stub = s, .index = i};
}

int
main(int argc, char **argv)
{
	struct arg_int *agents =
	    arg_int0(NULL, "agents", "N", "agents that connect to --address");
	struct arg_int *entries =
	    arg_int0(NULL, "entries", "N", "entries that listen");
	struct arg_str *address =
	    arg_str0(NULL, "address", "IP:PORT", "entry to connect to");
	struct arg_int *records =
	    arg_int0(NULL, "records", "N", "start records of each agent");
	struct arg_dbl *rate =
	    arg_dbl0(NULL, "rate", "X", "grants per second of the first entry");
	struct arg_end *end = arg_end(4);
	void *table[] = {agents, entries, address, records, rate, end};
	static struct stub s;

	if (arg_parse(argc, argv, table) != 0 ||
	    (agents->count > 0) == (entries->count > 0) ||
	    (agents->count > 0 && address->count == 0)) {
		arg_print_errors(stderr, end, argv[0]);
		return (2);
	}
	s.address = address->count > 0 ? address->sval[0] : NULL;
	s.records = records->count > 0 ? (unsigned)records->ival[0] : 0;
	s.rate = rate->count > 0 ? rate->dval[0] : 0;
	if (agents->count > 0) {
		init(&s, (unsigned)agents->ival[0]);
		run_agents(&s);
	} else {
		init(&s, (unsigned)CLAMP(entries->ival[0], 1, ENTRIES_MAX));
		run_entries(&s);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return (EXIT_SUCCESS);
}
