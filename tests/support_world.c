#include <glib.h>
#include <math.h>
#include <string.h>
#include <time.h>

#include "partition.h"
#include "policy.h"
#include "pool.h"
#include "support_world_impl.h"

#define TICK_INTERVAL_US 10000
#define HEARTBEAT_INTERVAL_US 500000
#define FAULT_INTERVAL_US 100000
#define RECONNECT_MAX_US 50000

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

bool
sw_chance(struct sw *w, double p)
{
	return (p > 0 && rn_unit(w->rng) < p);
}

uint64_t
sw_now(const struct sw *w)
{
	return (ck_mono_us(w->clock));
}

struct event *
sw_event_new(struct sw *w, enum event_kind kind, uint64_t at_us)
{
	struct event *e;

	e = g_new0(struct event, 1);
	e->kind = kind;
	e->serial = w->serial++;
	hp_set(&w->events, &e->node, at_us);
	return (e);
}

struct event *
sw_send_message(struct sw *w, enum event_kind kind, unsigned entry,
    struct agent *a, uint64_t extra_us)
{
	struct event *e;

	e = sw_event_new(w, kind, sw_now(w) + w->settings.delay_us + extra_us);
	e->entry = entry;
	e->agent = a;
	e->incarnation = a->incarnation;
	e->session = a->connections[entry];
	return (e);
}

void
sw_set_key(struct event *e, const struct pd_key *k)
{
	g_strlcpy(e->id, k->sub.id, sizeof(e->id));
	e->key = *k;
	e->key.sub.id = e->id;
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
	e = sw_send_message(w, GRANT, entry->index, a, 0);
	sw_set_key(e, &g->key);
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
	sw_set_key(sw_send_message(w, CANCEL, entry->index,
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
		sw_set_key(
		    sw_send_message(w, RESOLVE, entry->index, a, 0), &keys[i]);
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

	e = sw_event_new(
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

static void
inject_faults(struct sw *w)
{
	struct agent *a;
	unsigned i, k;

	for (i = 0; i < w->settings.endpoints; i++) {
		a = &w->agents[i];
		if (a->nsent > 0 &&
		    sw_chance(w, w->settings.faults.report_stale))
			sw_send_stale_report(w, a);
		if (sw_chance(w, w->settings.faults.agent_restarted))
			restart_agent(w, a);
		for (k = 0; k < w->settings.entries; k++)
			if (sw_chance(w, w->settings.faults.session_dropped)) {
				disconnect(w, a, k);
				reconnect_later(w, a, k);
			}
	}
	(void)sw_event_new(w, FAULTS, sw_now(w) + FAULT_INTERVAL_US);
}

static void
tick_all(struct sw *w)
{
	unsigned i;

	timer_start(w);
	for (i = 0; i < w->settings.entries; i++)
		dp_tick(w->entries[i].dp);
	timer_stop(w);
	(void)sw_event_new(w, TICK, sw_now(w) + TICK_INTERVAL_US);
}

static void
heartbeat(struct sw *w, struct agent *a)
{
	unsigned i;

	for (i = 0; i < w->settings.entries; i++)
		sw_send_load(w, a, i);
	sw_event_new(w, HEARTBEAT, sw_now(w) + HEARTBEAT_INTERVAL_US)->agent =
	    a;
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
		sw_grant_arrives(w, e);
		break;
	case CANCEL:
		sw_cancel_arrives(w, e);
		break;
	case RESOLVE:
		sw_resolve_arrives(w, e);
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
		sw_finish_task(w, e);
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
	a->records = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, sw_record_free);
	g_queue_init(&a->queue);
	a->sessions = g_new0(dp_agent, s->entries);
	a->connections = g_new0(uint64_t, s->entries);
	ss_put_endpoint(w->state, a->name, "finistere", "order-desk", s->slots);
	sw_event_new(
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
	(void)sw_event_new(w, TICK, sw_now(w) + TICK_INTERVAL_US);
	(void)sw_event_new(w, FAULTS, sw_now(w) + FAULT_INTERVAL_US);
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
	sw_event_new(w, WAKE, at_us)->argument = argument;
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
