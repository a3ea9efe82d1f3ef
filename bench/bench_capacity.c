#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counters.h"
#include "dispatch.h"
#include "partition.h"
#include "pd.h"
#include "policy.h"
#include "startlog.h"
#include "state.h"

/*
 * Figures of bench/capacity.sh that are measured inside one process: cell
 * state, start records, remembered submissions and sizes of messages. Each line
 * is "point NAME SIZE VALUE UNIT".
 */
#define TASKS_PER_JOB 20
#define BODY_BYTES 64
#define ID_BYTES 48
#define TEXT_BYTES 256
#define RECORD_LIFETIME_MS 600000
#define RECORDS_MAX_BYTES ((size_t)1 << 30)
#define CHANGES 200
#define CREATED_MS 1767225600000ULL
/* RFC 5531: record mark plus header of a call without credentials, of a reply.
 */
#define CALL_HEADER_BYTES 44
#define REPLY_HEADER_BYTES 28

struct dispatch {
	struct ck *clock;
	struct ct *counters;
	struct cs *state;
	struct dp *dp;
	GQueue grants; /* struct pd_key, owned */
};

static char body[BODY_BYTES];

static size_t
heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return (m.uordblks + m.hblkhd);
}

static void
print_point(const char *name, unsigned size, double value, const char *unit)
{
	printf("point %s %u %.4f %s\n", name, size, value, unit);
}

static char *
inventory_change(unsigned n)
{
	GString *text = g_string_new(
	    "{\"change_id\": \"inventory\", \"by\": \"capacity\", \"kind\": "
	    "\"inventory_put\", \"azs\": [\"finistere\"], \"teams\": [{"
	    "\"name\": \"lids\", \"weight\": 1, \"max_running\": 0}], "
	    "\"rules\": [], \"endpoints\": [");
	unsigned i;

	for (i = 0; i < n; i++)
		g_string_append_printf(text,
		    "%s{\"name\": \"order-desk-%u\", \"az\": \"finistere\", "
		    "\"service\": \"order-desk\", \"worker\": \"worker-%u\", "
		    "\"owner\": \"lids\", \"slots\": 8}",
		    i > 0 ? ", " : "", i + 1, i + 1);
	g_string_append(text, "]}");
	return (g_string_free(text, FALSE));
}

static void
apply_change(struct cs *s, const char *json)
{
	char error[TEXT_BYTES] = "";

	if (cs_apply(s, cs_revision(s) + 1, json, error, sizeof(error)) ==
	    CS_OK)
		return;
	fprintf(stderr, "change refused: %s\n", error);
	exit(EXIT_FAILURE);
}

/* Mean time to apply a change of one endpoint, microseconds. */
static double
time_of_change(struct cs *s, struct ck *clock)
{
	char json[TEXT_BYTES];
	uint64_t start;
	unsigned i;

	start = ck_mono_us(clock);
	for (i = 0; i < CHANGES; i++) {
		g_snprintf(json, sizeof(json),
		    "{\"change_id\": \"c%u\", \"by\": \"capacity\", \"kind\": "
		    "\"%s\", \"name\": \"order-desk-1\"}",
		    i, i % 2 == 0 ? "endpoint_retire" : "endpoint_restore");
		apply_change(s, json);
	}
	return ((double)(ck_mono_us(clock) - start) / CHANGES);
}

static void
measure_state(unsigned n, struct ck *clock)
{
	char *json = inventory_change(n), *text;
	uint64_t start;
	struct cs *s;
	size_t before;

	before = heap_bytes();
	s = cs_new();
	start = ck_mono_us(clock);
	apply_change(s, json);
	print_point("state_inventory_apply", n,
	    (double)(ck_mono_us(clock) - start), "us");
	print_point("state_memory", n, (double)(heap_bytes() - before), "B");
	print_point("state_change_apply", n, time_of_change(s, clock), "us");
	print_point(
	    "state_inventory_change_size", n, (double)strlen(json), "B");
	start = ck_mono_us(clock);
	text = cs_snapshot(s);
	print_point("state_snapshot_time", n,
	    (double)(ck_mono_us(clock) - start), "us");
	print_point("state_snapshot_size", n, (double)strlen(text), "B");
	free(text);
	cs_free(s);
	g_free(json);
}

static void
make_key(struct pd_key *k, char *id, unsigned i)
{
	g_snprintf(id, ID_BYTES, "order-%u", i / TASKS_PER_JOB);
	*k = (struct pd_key){{id, CREATED_MS}, i % TASKS_PER_JOB, 0};
}

static struct sl *
fill_records(unsigned n)
{
	struct sl *s = sl_new(RECORD_LIFETIME_MS, RECORDS_MAX_BYTES);
	struct sl_grant *grant;
	struct sl_record *r;
	char id[ID_BYTES];
	struct pd_key k;
	unsigned i;

	for (i = 0; i < n; i++) {
		make_key(&k, id, i);
		grant = g_new0(struct sl_grant, 1);
		r = sl_add(s, &k, TASKS_PER_JOB, grant, 0);
		sl_finish(s, r, PD_DONE, PD_R_NONE,
		    g_memdup2(body, sizeof(body)), sizeof(body), 0);
	}
	return (s);
}

static bool
add_record_size(void *arg, const struct sl_record *r)
{
	struct pd_record out;

	sl_export(r, &out);
	*(size_t *)arg += xdr_sizeof((xdrproc_t)xdr_pd_record, &out);
	return (true);
}

static void
measure_records(unsigned n, struct ck *clock)
{
	size_t before = heap_bytes(), bytes = 0;
	struct sl *s = fill_records(n);
	uint64_t start;

	print_point(
	    "agent_record_memory", n, (double)(heap_bytes() - before), "B");
	print_point(
	    "agent_record_accounted", n, (double)sl_stats(s).bytes, "B");
	start = ck_mono_us(clock);
	sl_page(s, UINT64_MAX, 0, add_record_size, &bytes);
	print_point("gather_page_time_agent", n,
	    (double)(ck_mono_us(clock) - start), "us");
	print_point("gather_record_size", n, (double)bytes, "B");
	sl_free(s);
}

static void
on_grant(void *arg, dp_agent agent, const struct pd_grant *g)
{
	struct dispatch *d = arg;
	struct pd_key *k = g_memdup2(&g->key, sizeof(g->key));

	(void)agent;
	k->sub.id = g_strdup(g->key.sub.id);
	g_queue_push_tail(&d->grants, k);
}

static void
on_cancel(void *arg, dp_agent agent, const struct pd_key *k)
{
	(void)arg;
	(void)agent;
	(void)k;
}

static void
on_resolve(void *arg, dp_agent agent, const struct pd_key *keys, size_t n)
{
	(void)arg;
	(void)agent;
	(void)keys;
	(void)n;
}

static void
on_answer(void *arg, uint64_t waiter, const struct pd_answer *a)
{
	(void)arg;
	(void)waiter;
	(void)a;
}

static const struct dp_ops dispatch_ops = {
    on_grant, on_cancel, on_resolve, on_answer};

static void
set_partitions(struct dispatch *d, enum dp_partition_state state)
{
	unsigned i;

	for (i = 0; i < PD_PARTITIONS; i++)
		dp_set_partition(d->dp, i, state, 1, true, 0);
}

static void
dispatch_open(struct dispatch *d)
{
	struct dp_settings settings = {
	    RECORD_LIFETIME_MS, 2000, 10000000, 10000000, 1};
	char *json = inventory_change(1);

	memset(d, 0, sizeof(*d));
	g_queue_init(&d->grants);
	d->clock = ck_new_manual(1000, CREATED_MS);
	d->counters = ct_new();
	d->state = cs_new();
	apply_change(d->state, json);
	g_free(json);
	d->dp = dp_new(d->clock, d->counters, NULL, po_find("learned"),
	    &settings, &dispatch_ops, d);
	dp_configure(d->dp, d->state);
	dp_set_verified(d->dp, true);
}

static void
dispatch_close(struct dispatch *d)
{
	dp_free(d->dp);
	cs_free(d->state);
	ct_free(d->counters);
	ck_free(d->clock);
}

static dp_agent
connect_agent(struct dispatch *d)
{
	static char name[] = "order-desk-1", az[] = "finistere";
	static char service[] = "order-desk", worker[] = "worker-1";
	struct pd_hello h = {.name = name,
	    .incarnation = 1,
	    .started_ms = CREATED_MS,
	    .az = az,
	    .service = service,
	    .worker = worker,
	    .slots = TASKS_PER_JOB,
	    .queue_max = 1000};

	return (dp_agent_up(d->dp, &h));
}

static void
fill_submit(struct pd_submit *s, struct pd_task *tasks, unsigned n)
{
	static char team[] = "lids", service[] = "order-desk", az[] = "";
	unsigned i;

	memset(s, 0, sizeof(*s));
	s->team = team;
	s->service = service;
	s->az = az;
	s->left_ms = 30000;
	s->tasks.tasks_len = n;
	s->tasks.tasks_val = tasks;
	for (i = 0; i < n; i++)
		tasks[i] = (struct pd_task){100, {BODY_BYTES, body}};
}

/* Reports all granted tasks as done by the agent. */
static void
finish_granted_tasks(struct dispatch *d, dp_agent agent)
{
	struct pd_record r = {0};
	struct pd_key *k;

	while ((k = g_queue_pop_head(&d->grants)) != NULL) {
		r.key = *k;
		r.state = PD_DONE;
		r.ntasks = TASKS_PER_JOB;
		r.run_ms = 100;
		r.body.body_val = body;
		r.body.body_len = BODY_BYTES;
		dp_report(d->dp, agent, &r);
		g_free(k->sub.id);
		g_free(k);
	}
}

static void
measure_remembered(unsigned n)
{
	struct pd_task tasks[TASKS_PER_JOB];
	struct pd_submit s;
	struct dispatch d;
	char id[ID_BYTES];
	dp_agent agent;
	size_t before;
	unsigned i;

	dispatch_open(&d);
	set_partitions(&d, DP_ACTIVE);
	agent = connect_agent(&d);
	fill_submit(&s, tasks, TASKS_PER_JOB);
	before = heap_bytes();
	for (i = 0; i < n; i++) {
		g_snprintf(id, sizeof(id), "order-%u", i);
		s.sub = (struct pd_id){id, CREATED_MS};
		dp_submit(d.dp, &s, 0);
		finish_granted_tasks(&d, agent);
	}
	print_point(
	    "entry_remembered_memory", n, (double)(heap_bytes() - before), "B");
	if (dp_stats(d.dp).submissions != n || dp_stats(d.dp).pending != 0)
		exit(EXIT_FAILURE);
	dispatch_close(&d);
}

/* Cost of the start records that the dispatcher gets in a takeover. */
static void
measure_gathered(unsigned n, struct ck *clock)
{
	struct pd_record r = {0};
	struct dispatch d;
	char id[ID_BYTES];
	uint64_t start;
	dp_agent agent;
	size_t before;
	unsigned i;

	dispatch_open(&d);
	agent = connect_agent(&d);
	set_partitions(&d, DP_GATHERING);
	r.state = PD_DONE;
	r.ntasks = TASKS_PER_JOB;
	r.body.body_val = body;
	r.body.body_len = BODY_BYTES;
	before = heap_bytes();
	start = ck_mono_us(clock);
	for (i = 0; i < n; i++) {
		make_key(&r.key, id, i);
		dp_gathered_record(d.dp, agent, &r);
	}
	print_point(
	    "gather_time_entry", n, (double)(ck_mono_us(clock) - start), "us");
	print_point(
	    "gather_memory_entry", n, (double)(heap_bytes() - before), "B");
	dispatch_close(&d);
}

static size_t
grants_size(const struct pd_submit *s, unsigned n)
{
	struct pd_grants grants = {{n, g_new0(struct pd_grant, n)}};
	size_t size;
	unsigned i;

	for (i = 0; i < n; i++) {
		grants.list.list_val[i].key = (struct pd_key){s->sub, i, 0};
		grants.list.list_val[i].team = s->team;
		grants.list.list_val[i].body.body_val = body;
		grants.list.list_val[i].body.body_len = BODY_BYTES;
	}
	size = xdr_sizeof((xdrproc_t)xdr_pd_grants, &grants);
	g_free(grants.list.list_val);
	return (size + CALL_HEADER_BYTES);
}

static size_t
report_size(const struct pd_submit *s, unsigned n)
{
	struct pd_report report = {0, 0, {n, g_new0(struct pd_record, n)}};
	size_t size;
	unsigned i;

	for (i = 0; i < n; i++) {
		report.list.list_val[i].key = (struct pd_key){s->sub, i, 0};
		report.list.list_val[i].body.body_val = body;
		report.list.list_val[i].body.body_len = BODY_BYTES;
	}
	size = xdr_sizeof((xdrproc_t)xdr_pd_report, &report);
	g_free(report.list.list_val);
	return (size + CALL_HEADER_BYTES);
}

static size_t
answer_size(const struct pd_submit *s, unsigned n)
{
	static char empty[] = "";
	struct pd_answer a = {.sub = s->sub, .reason = empty, .detail = empty};
	size_t size;
	unsigned i;

	a.results.results_len = n;
	a.results.results_val = g_new0(struct pd_result, n);
	for (i = 0; i < n; i++) {
		a.results.results_val[i].body.body_val = body;
		a.results.results_val[i].body.body_len = BODY_BYTES;
	}
	size = xdr_sizeof((xdrproc_t)xdr_pd_answer, &a);
	g_free(a.results.results_val);
	return (size + REPLY_HEADER_BYTES);
}

static void
measure_messages(unsigned n)
{
	static char id[] = "order-123456";
	struct pd_task tasks[PD_TASKS_MAX];
	struct pd_submit s;

	fill_submit(&s, tasks, n);
	s.sub = (struct pd_id){id, CREATED_MS};
	print_point("grant_message_size", n, (double)grants_size(&s, n), "B");
	print_point("report_message_size", n, (double)report_size(&s, n), "B");
	print_point("forward_message_size", n,
	    (double)(xdr_sizeof((xdrproc_t)xdr_pd_submit, &s) +
		CALL_HEADER_BYTES),
	    "B");
	print_point("forward_answer_size", n, (double)answer_size(&s, n), "B");
}

int
main(void)
{
	static const unsigned endpoints[] = {100, 1000, 1700, 5100};
	static const unsigned records[] = {1000, 4000, 16000};
	static const unsigned submissions[] = {1000, 4000, 16000};
	static const unsigned tasks[] = {1, 20, 100, 540};
	struct ck *clock = ck_new_system();
	unsigned i;

	memset(body, 'x', sizeof(body));
	for (i = 0; i < G_N_ELEMENTS(endpoints); i++)
		measure_state(endpoints[i], clock);
	for (i = 0; i < G_N_ELEMENTS(records); i++)
		measure_records(records[i], clock);
	for (i = 0; i < G_N_ELEMENTS(submissions); i++)
		measure_remembered(submissions[i]);
	for (i = 0; i < G_N_ELEMENTS(records); i++)
		measure_gathered(records[i], clock);
	for (i = 0; i < G_N_ELEMENTS(tasks); i++)
		measure_messages(tasks[i]);
	ck_free(clock);
	return (EXIT_SUCCESS);
}
