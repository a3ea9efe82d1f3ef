#include <glib.h>
#include <math.h>
#include <string.h>
#include <time.h>

#include "partition.h"
#include "policy.h"
#include "pool.h"
#include "support_world.h"

#define TICK_INTERVAL_US 10000
#define HEARTBEAT_INTERVAL_US 500000
#define FAULT_INTERVAL_US 100000
#define REPORT_DELAY_MAX_US 300000
#define RECONNECT_MAX_US 50000
#define SENT_REPORTS_MAX 16

struct agent;

/* Start record of a key at an agent. */
struct record {
	char *key_text;
	char id[64];
	struct pd_key key;
	pd_task_state state;
	pd_reason reason;
	unsigned ntasks;
	unsigned entry;
	uint64_t started_us;
	uint32_t run_ms;
	struct sw_body body;
};

enum event_kind {
	TICK,
	WAKE,
	HEARTBEAT,
	FAULTS,
	GRANT,   /* arrives at an agent */
	CANCEL,  /* arrives at an agent */
	RESOLVE, /* arrives at an agent */
	REPORT,  /* arrives at an entry */
	LOAD,    /* arrives at an entry */
	FINISH,  /* a slot is free */
	CONNECT,
};

struct event {
	struct hp_node node;
	enum event_kind kind;
	uint64_t serial; /* number of the event */
	unsigned entry;
	struct agent *agent;
	uint64_t incarnation; /* of the agent when the event was created */
	uint64_t session;     /* connection that carries it */
	uint64_t argument;
	char id[64];
	struct pd_key key;
	struct sw_body body;
	unsigned ntasks;
	pd_task_state state;
	pd_reason reason;
	uint32_t run_ms;
	unsigned running;
	unsigned queued;
};

struct agent {
	char name[16];
	unsigned index;
	uint64_t incarnation;
	double speed;
	GHashTable *records; /* key text -> struct record */
	GQueue queue;        /* struct record, borrowed */
	unsigned running;
	uint64_t starts;
	struct record
	    sent[SENT_REPORTS_MAX]; /* ring of the reports sent last */
	unsigned nsent;
	dp_agent *sessions;    /* per entry, PL_NONE when down */
	uint64_t *connections; /* per entry, number of the connection */
};

struct entry {
	struct sw *world;
	unsigned index;
	struct dp *dp;
};

struct sw {
	struct sw_settings settings;
	const struct sw_ops *ops;
	void *arg;
	struct ck *clock;
	struct ct *counters;
	struct cs *state;
	struct rn *rng;
	struct hp events;
	uint64_t serial;
	struct entry *entries;
	struct agent *agents;
	GHashTable *starts; /* "id/task" -> number */
	GHashTable *keys;   /* set of started key texts */
	struct sw_counts counts;
	uint64_t timer_start_ns;
};

static uint64_t
thread_cpu_ns(void)
{
	struct timespec t;

	(void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return ((uint64_t)t.tv_sec * 1000000000 + (uint64_t)t.tv_nsec);
}

static void
timer_start(struct sw *w)
{
	w->timer_start_ns = thread_cpu_ns();
}

static void
timer_stop(struct sw *w)
{
	w->counts.dp_cpu_s +=
	    (double)(thread_cpu_ns() - w->timer_start_ns) / 1e9;
}

static bool
chance(struct sw *w, double p)
{
	return (p > 0 && rn_unit(w->rng) < p);
}

uint64_t
sw_now(const struct sw *w)
{
	return (ck_mono_us(w->clock));
}

static struct event *
event_new(struct sw *w, enum event_kind kind, uint64_t at_us)
{
	struct event *e;

	e = g_new0(struct event, 1);
	e->kind = kind;
	e->serial = w->serial++;
	hp_set(&w->events, &e->node, at_us);
	return (e);
}

static struct event *
send_message(struct sw *w, enum event_kind kind, unsigned entry,
    struct agent *a, uint64_t extra_us)
{
	struct event *e;

	e = event_new(w, kind, sw_now(w) + w->settings.delay_us + extra_us);
	e->entry = entry;
	e->agent = a;
	e->incarnation = a->incarnation;
	e->session = a->connections[entry];
	return (e);
}

static void
set_key(struct event *e, const struct pd_key *k)
{
	g_strlcpy(e->id, k->sub.id, sizeof(e->id));
	e->key = *k;
	e->key.sub.id = e->id;
}

static char *
key_text(const struct pd_key *k)
{
	return (g_strdup_printf("%s/%u/%u", k->sub.id, k->task, k->attempt));
}

static void
record_free(gpointer p)
{
	struct record *r = p;

	g_free(r->key_text);
	g_free(r);
}

static struct agent *
find_agent(struct sw *w, unsigned entry, dp_agent session)
{
	unsigned i;

	for (i = 0; i < w->settings.endpoints; i++)
		if (w->agents[i].sessions[entry] == session)
			return (&w->agents[i]);
	return (NULL);
}

static void
on_grant(void *arg, dp_agent session, const struct pd_grant *g)
{
	struct entry *entry = arg;
	struct sw *w = entry->world;
	struct agent *a;
	struct event *e;

	a = find_agent(w, entry->index, session);
	w->counts.grants++;
	e = send_message(w, GRANT, entry->index, a, 0);
	set_key(e, &g->key);
	e->incarnation = g->incarnation;
	e->ntasks = g->ntasks;
	memcpy(&e->body, g->body.body_val, sizeof(e->body));
}

static void
on_cancel(void *arg, dp_agent session, const struct pd_key *k)
{
	struct entry *entry = arg;
	struct sw *w = entry->world;

	w->counts.other_messages++;
	set_key(send_message(w, CANCEL, entry->index,
		    find_agent(w, entry->index, session), 0),
	    k);
}

static void
on_resolve(void *arg, dp_agent session, const struct pd_key *keys, size_t n)
{
	struct entry *entry = arg;
	struct sw *w = entry->world;
	struct agent *a;
	size_t i;

	a = find_agent(w, entry->index, session);
	w->counts.other_messages += 2;
	for (i = 0; i < n; i++)
		set_key(send_message(w, RESOLVE, entry->index, a, 0), &keys[i]);
}

static void
on_answer(void *arg, uint64_t waiter, const struct pd_answer *a)
{
	struct entry *entry = arg;
	struct sw *w = entry->world;

	w->ops->answer(w->arg, entry->index, waiter, a);
}

static const struct dp_ops outputs = {
    on_grant, on_cancel, on_resolve, on_answer};

static void
send_load(struct sw *w, struct agent *a, unsigned entry)
{
	struct event *e;

	e = send_message(w, LOAD, entry, a, 0);
	e->running = a->running;
	e->queued = a->queue.length;
}

static struct event *
send_state(struct sw *w, struct agent *a, const struct record *r,
    unsigned entry, uint64_t extra_us)
{
	struct event *e;

	e = send_message(w, REPORT, entry, a, extra_us);
	set_key(e, &r->key);
	e->body = r->body;
	e->ntasks = r->ntasks;
	e->state = r->state;
	e->reason = r->reason;
	e->run_ms = r->run_ms;
	return (e);
}

/* Sends a report and the load, with faults delayed or duplicated. */
static void
send_report(struct sw *w, struct agent *a, const struct record *r)
{
	uint64_t late;

	w->counts.reports++;
	a->sent[a->nsent++ % SENT_REPORTS_MAX] = *r;
	late = 0;
	if (chance(w, w->settings.faults.report_delayed))
		late = rn_below(w->rng, REPORT_DELAY_MAX_US);
	(void)send_state(w, a, r, r->entry, late);
	if (chance(w, w->settings.faults.report_duplicated))
		(void)send_state(w, a, r, r->entry,
		    late + rn_below(w->rng, REPORT_DELAY_MAX_US));
	send_load(w, a, r->entry);
}

static struct record *
record_new(struct agent *a, const struct event *e, pd_task_state state)
{
	struct record *r;

	r = g_new0(struct record, 1);
	g_strlcpy(r->id, e->id, sizeof(r->id));
	r->key = e->key;
	r->key.sub.id = r->id;
	r->key_text = key_text(&r->key);
	r->state = state;
	r->ntasks = e->ntasks;
	r->entry = e->entry;
	r->body = e->body;
	g_hash_table_insert(a->records, r->key_text, r);
	return (r);
}

static struct record *
record_find(const struct agent *a, const struct pd_key *k)
{
	g_autofree char *key = key_text(k);

	return (g_hash_table_lookup(a->records, key));
}

static void
count_start(struct sw *w, const struct record *r)
{
	char *task;
	gpointer n;

	w->counts.starts++;
	if (!g_hash_table_add(w->keys, g_strdup(r->key_text)))
		w->counts.duplicate_starts++;
	task = g_strdup_printf("%s/%u", r->id, r->key.task);
	n = g_hash_table_lookup(w->starts, task);
	g_hash_table_insert(
	    w->starts, task, GUINT_TO_POINTER(GPOINTER_TO_UINT(n) + 1));
}

static void
start_queued(struct sw *w, struct agent *a)
{
	struct record *r;
	struct event *e;

	while (a->running < w->settings.slots &&
	    (r = g_queue_pop_head(&a->queue)) != NULL) {
		r->state = PD_RUNNING;
		r->started_us = sw_now(w);
		a->running++;
		a->starts++;
		count_start(w, r);
		e = event_new(w, FINISH,
		    sw_now(w) + (uint64_t)(r->body.work_us / a->speed));
		e->agent = a;
		e->incarnation = a->incarnation;
		set_key(e, &r->key);
	}
}

/* Returns a grant to its entry; the agent keeps no record of it. */
static void
return_grant(struct sw *w, struct agent *a, struct record *r, pd_reason reason)
{
	r->state = PD_NOT_STARTED;
	r->reason = reason;
	send_report(w, a, r);
	g_hash_table_remove(a->records, r->key_text);
}

static void
grant_arrives(struct sw *w, const struct event *e)
{
	struct agent *a = e->agent;
	struct record *r;

	r = record_find(a, &e->key);
	if (r != NULL) {
		(void)send_state(w, a, r, e->entry, 0);
		return;
	}
	r = record_new(a, e, PD_QUEUED);
	if (e->incarnation != a->incarnation)
		return_grant(w, a, r, PD_R_WRONG_INCARNATION);
	else if (a->queue.length + (a->running >= w->settings.slots) >
		w->settings.queue_max ||
	    chance(w, w->settings.faults.grant_returned))
		return_grant(w, a, r, PD_R_QUEUE_FULL);
	else {
		g_queue_push_tail(&a->queue, r);
		start_queued(w, a);
	}
}

static void
cancel_arrives(struct sw *w, const struct event *e)
{
	struct record *r;

	r = record_find(e->agent, &e->key);
	if (r == NULL || r->state != PD_QUEUED)
		return;
	g_queue_remove(&e->agent->queue, r);
	return_grant(w, e->agent, r, PD_R_CANCELLED);
}

static void
resolve_arrives(struct sw *w, const struct event *e)
{
	struct record *r;

	r = record_find(e->agent, &e->key);
	if (r == NULL) {
		r = record_new(e->agent, e, PD_NOT_STARTED);
		r->reason = PD_R_VOIDED;
	}
	(void)send_state(w, e->agent, r, e->entry, 0);
}

static void
report_arrives(struct sw *w, struct event *e)
{
	struct pd_record r;

	memset(&r, 0, sizeof(r));
	r.key = e->key;
	r.state = e->state;
	r.reason = e->reason;
	r.ntasks = e->ntasks;
	r.run_ms = e->run_ms;
	if (e->state == PD_DONE) {
		r.body.body_val = (char *)&e->body;
		r.body.body_len = sizeof(e->body);
	}
	timer_start(w);
	dp_report(w->entries[e->entry].dp, e->agent->sessions[e->entry], &r);
	timer_stop(w);
}

static void
load_arrives(struct sw *w, const struct event *e)
{
	timer_start(w);
	dp_agent_load(w->entries[e->entry].dp, e->agent->sessions[e->entry],
	    e->running, e->queued, PD_HEALTHY, false);
	timer_stop(w);
}

static void
finish_task(struct sw *w, const struct event *e)
{
	struct agent *a = e->agent;
	struct record *r;

	if (a->incarnation != e->incarnation)
		return;
	r = record_find(a, &e->key);
	a->running--;
	r->run_ms = (uint32_t)((sw_now(w) - r->started_us) / 1000);
	r->state = PD_DONE;
	if (r->body.flags & SW_FAILS) {
		r->state = PD_FAILED;
		r->reason = PD_R_ENDPOINT_ERROR;
	} else if (r->body.flags & SW_LOST) {
		r->state = PD_OUTCOME_UNKNOWN;
		r->reason = PD_R_ENDPOINT_TIMEOUT;
	}
	start_queued(w, a);
	send_report(w, a, r);
}

static void
connect_agent(struct sw *w, struct agent *a, unsigned entry)
{
	struct pd_hello h;

	if (a->sessions[entry] != PL_NONE)
		return;
	memset(&h, 0, sizeof(h));
	h.name = a->name;
	h.incarnation = a->incarnation;
	h.az = "finistere";
	h.service = "order-desk";
	h.worker = "worker";
	h.slots = w->settings.slots;
	h.queue_max = w->settings.queue_max;
	a->connections[entry]++;
	a->sessions[entry] = dp_agent_up(w->entries[entry].dp, &h);
}

static void
disconnect(struct sw *w, struct agent *a, unsigned entry)
{
	dp_agent session;

	session = a->sessions[entry];
	if (session == PL_NONE)
		return;
	a->sessions[entry] = PL_NONE;
	dp_agent_down(w->entries[entry].dp, session);
}

static void
reconnect_later(struct sw *w, struct agent *a, unsigned entry)
{
	struct event *e;

	e = event_new(
	    w, CONNECT, sw_now(w) + rn_below(w->rng, RECONNECT_MAX_US));
	e->agent = a;
	e->entry = entry;
}

static void
restart_agent(struct sw *w, struct agent *a)
{
	unsigned i;

	a->incarnation++;
	a->running = 0;
	a->nsent = 0;
	g_queue_clear(&a->queue);
	g_hash_table_remove_all(a->records);
	for (i = 0; i < w->settings.entries; i++) {
		disconnect(w, a, i);
		reconnect_later(w, a, i);
	}
}

/* Repeats an old report, possibly of an earlier session. */
static void
send_stale_report(struct sw *w, struct agent *a)
{
	struct record r;

	r = a->sent[rn_below(w->rng, MIN(a->nsent, SENT_REPORTS_MAX))];
	r.key.sub.id = r.id;
	(void)send_state(w, a, &r, r.entry, 0);
}

static void
inject_faults(struct sw *w)
{
	struct agent *a;
	unsigned i, k;

	for (i = 0; i < w->settings.endpoints; i++) {
		a = &w->agents[i];
		if (a->nsent > 0 && chance(w, w->settings.faults.report_stale))
			send_stale_report(w, a);
		if (chance(w, w->settings.faults.agent_restarted))
			restart_agent(w, a);
		for (k = 0; k < w->settings.entries; k++)
			if (chance(w, w->settings.faults.session_dropped)) {
				disconnect(w, a, k);
				reconnect_later(w, a, k);
			}
	}
	(void)event_new(w, FAULTS, sw_now(w) + FAULT_INTERVAL_US);
}

static void
tick_all(struct sw *w)
{
	unsigned i;

	timer_start(w);
	for (i = 0; i < w->settings.entries; i++)
		dp_tick(w->entries[i].dp);
	timer_stop(w);
	(void)event_new(w, TICK, sw_now(w) + TICK_INTERVAL_US);
}

static void
heartbeat(struct sw *w, struct agent *a)
{
	unsigned i;

	for (i = 0; i < w->settings.entries; i++)
		send_load(w, a, i);
	event_new(w, HEARTBEAT, sw_now(w) + HEARTBEAT_INTERVAL_US)->agent = a;
}

/* Whether the connection on which a message was sent still exists. */
static bool
is_connected(const struct event *e)
{
	return (e->agent->sessions[e->entry] != PL_NONE &&
	    e->agent->connections[e->entry] == e->session);
}

static void
deliver_message(struct sw *w, struct event *e)
{
	if (!is_connected(e))
		return;
	switch (e->kind) {
	case GRANT:
		grant_arrives(w, e);
		break;
	case CANCEL:
		cancel_arrives(w, e);
		break;
	case RESOLVE:
		resolve_arrives(w, e);
		break;
	case REPORT:
		report_arrives(w, e);
		break;
	default:
		load_arrives(w, e);
		break;
	}
}

static void
handle_event(struct sw *w, struct event *e)
{
	switch (e->kind) {
	case TICK:
		tick_all(w);
		break;
	case WAKE:
		w->ops->wake(w->arg, e->argument);
		break;
	case HEARTBEAT:
		heartbeat(w, e->agent);
		break;
	case FAULTS:
		inject_faults(w);
		break;
	case FINISH:
		finish_task(w, e);
		break;
	case CONNECT:
		connect_agent(w, e->agent, e->entry);
		break;
	default:
		deliver_message(w, e);
		break;
	}
}

static void
agent_init(struct sw *w, unsigned i)
{
	const struct sw_settings *s = &w->settings;
	struct agent *a;

	a = &w->agents[i];
	a->index = i;
	a->incarnation = 1000 * (i + 1);
	g_snprintf(a->name, sizeof(a->name), "e%u", i);
	a->speed = s->speed_min;
	if (s->endpoints > 1)
		a->speed *= pow(s->speed_max / s->speed_min,
		    (double)i / (s->endpoints - 1));
	a->records =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, record_free);
	g_queue_init(&a->queue);
	a->sessions = g_new0(dp_agent, s->entries);
	a->connections = g_new0(uint64_t, s->entries);
	ss_put_endpoint(w->state, a->name, "finistere", "order-desk", s->slots);
	event_new(
	    w, HEARTBEAT, sw_now(w) + rn_below(w->rng, HEARTBEAT_INTERVAL_US))
	    ->agent = a;
}

static void
entry_init(struct sw *w, unsigned i)
{
	struct dp_settings settings = {
	    .retention_ms = 600000,
	    .clock_error_ms = 2000,
	    .submissions_max = 1000000,
	    .queue_tasks_max = 1000000,
	    .seed = w->settings.seed * 100 + i,
	};
	struct entry *entry;
	unsigned p;

	entry = &w->entries[i];
	entry->world = w;
	entry->index = i;
	entry->dp = dp_new(w->clock, w->counters, NULL,
	    po_find(w->settings.policy), &settings, &outputs, entry);
	for (p = 0; p < PD_PARTITIONS; p++)
		dp_set_partition(entry->dp, p, DP_ACTIVE, 1, true, 0);
	dp_set_verified(entry->dp, UINT64_MAX);
}

struct sw *
sw_new(const struct sw_settings *settings, const struct sw_ops *ops, void *arg)
{
	struct sw *w;
	unsigned i, k;

	w = g_new0(struct sw, 1);
	w->settings = *settings;
	w->ops = ops;
	w->arg = arg;
	w->clock = ck_new_manual(1000000, SW_WALL_MS);
	w->counters = ct_new();
	w->rng = rn_new(settings->seed);
	w->state = cs_new();
	ss_put_team(w->state, "lids", 1, 0);
	w->starts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->entries = g_new0(struct entry, settings->entries);
	w->agents = g_new0(struct agent, settings->endpoints);
	for (i = 0; i < settings->endpoints; i++)
		agent_init(w, i);
	for (i = 0; i < settings->entries; i++)
		entry_init(w, i);
	sw_configure(w);
	for (i = 0; i < settings->endpoints; i++)
		for (k = 0; k < settings->entries; k++)
			connect_agent(w, &w->agents[i], k);
	(void)event_new(w, TICK, sw_now(w) + TICK_INTERVAL_US);
	(void)event_new(w, FAULTS, sw_now(w) + FAULT_INTERVAL_US);
	return (w);
}

void
sw_free(struct sw *w)
{
	struct hp_node *n;
	unsigned i;

	while ((n = hp_first(&w->events)) != NULL) {
		hp_remove(&w->events, n);
		g_free(hp_item(n, struct event, node));
	}
	hp_release(&w->events);
	for (i = 0; i < w->settings.entries; i++)
		dp_free(w->entries[i].dp);
	for (i = 0; i < w->settings.endpoints; i++) {
		g_queue_clear(&w->agents[i].queue);
		g_hash_table_destroy(w->agents[i].records);
		g_free(w->agents[i].sessions);
		g_free(w->agents[i].connections);
	}
	g_free(w->entries);
	g_free(w->agents);
	g_hash_table_destroy(w->starts);
	g_hash_table_destroy(w->keys);
	cs_free(w->state);
	rn_free(w->rng);
	ct_free(w->counters);
	ck_free(w->clock);
	g_free(w);
}

struct dp *
sw_dp(const struct sw *w, unsigned entry)
{
	return (w->entries[entry].dp);
}

struct cs *
sw_state(const struct sw *w)
{
	return (w->state);
}

void
sw_configure(struct sw *w)
{
	unsigned i;

	for (i = 0; i < w->settings.entries; i++)
		dp_configure(w->entries[i].dp, w->state);
}

void
sw_fill_submission(struct pd_submit *s, const char *id,
    const struct pd_task *tasks, unsigned ntasks, unsigned left_ms)
{
	memset(s, 0, sizeof(*s));
	s->sub.id = (char *)id;
	s->sub.created_ms = SW_WALL_MS;
	s->team = "lids";
	s->service = "order-desk";
	s->az = "";
	s->left_ms = left_ms;
	s->tasks.tasks_len = ntasks;
	s->tasks.tasks_val = (struct pd_task *)tasks;
}

void
sw_submit(
    struct sw *w, unsigned entry, const struct pd_submit *s, uint64_t waiter)
{
	timer_start(w);
	dp_submit(w->entries[entry].dp, s, waiter);
	timer_stop(w);
}

void
sw_schedule(struct sw *w, uint64_t at_us, uint64_t argument)
{
	event_new(w, WAKE, at_us)->argument = argument;
}

void
sw_run(struct sw *w, uint64_t until_us)
{
	struct hp_node *n;
	struct event *e;

	while ((n = hp_first(&w->events)) != NULL && n->key <= until_us) {
		e = hp_item(n, struct event, node);
		if (n->key > sw_now(w))
			ck_advance_us(w->clock, n->key - sw_now(w));
		hp_remove(&w->events, n);
		handle_event(w, e);
		g_free(e);
	}
	if (until_us > sw_now(w))
		ck_advance_us(w->clock, until_us - sw_now(w));
}

void
sw_scale_speed(struct sw *w, unsigned endpoint, double factor)
{
	w->agents[endpoint].speed *= factor;
}

void
sw_stop_faults(struct sw *w)
{
	memset(&w->settings.faults, 0, sizeof(w->settings.faults));
}

double
sw_capacity(const struct sw *w)
{
	double sum;
	unsigned i;

	sum = 0;
	for (i = 0; i < w->settings.endpoints; i++)
		sum += w->agents[i].speed * w->settings.slots;
	return (sum);
}

uint64_t
sw_take_starts(struct sw *w, unsigned endpoint)
{
	uint64_t n;

	n = w->agents[endpoint].starts;
	w->agents[endpoint].starts = 0;
	return (n);
}

unsigned
sw_start_count(const struct sw *w, const char *id, unsigned task)
{
	g_autofree char *key = g_strdup_printf("%s/%u", id, task);

	return (GPOINTER_TO_UINT(g_hash_table_lookup(w->starts, key)));
}

struct sw_counts
sw_counts(const struct sw *w)
{
	return (w->counts);
}
