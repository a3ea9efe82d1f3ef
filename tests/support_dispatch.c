#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "policy.h"
#include "support_dispatch.h"

static void
copy_text(char *to, size_t size, const char *from, size_t len)
{
	len = MIN(len, size - 1);
	if (len > 0)
		memcpy(to, from, len);
	to[len] = '\0';
}

static struct sd_grant *
record_key(GPtrArray *list, dp_agent agent, const struct pd_key *k)
{
	struct sd_grant *g;

	g = g_new0(struct sd_grant, 1);
	g->agent = agent;
	copy_text(g->id, sizeof(g->id), k->sub.id, strlen(k->sub.id));
	g->grant.key = *k;
	g->grant.key.sub.id = g->id;
	g_ptr_array_add(list, g);
	return (g);
}

static void
on_grant(void *arg, dp_agent agent, const struct pd_grant *from)
{
	struct sd *x = arg;
	struct sd_grant *g;

	g = record_key(x->grants, agent, &from->key);
	g->grant = *from;
	g->grant.key.sub.id = g->id;
	g->grant.team = NULL;
	g->grant.body.body_val = NULL;
	copy_text(
	    g->body, sizeof(g->body), from->body.body_val, from->body.body_len);
}

static void
on_cancel(void *arg, dp_agent agent, const struct pd_key *k)
{
	struct sd *x = arg;

	(void)record_key(x->cancels, agent, k);
}

static void
on_resolve(void *arg, dp_agent agent, const struct pd_key *keys, size_t n)
{
	struct sd *x = arg;
	size_t i;

	for (i = 0; i < n; i++)
		(void)record_key(x->resolves, agent, &keys[i]);
}

static void
copy_result(char *to, size_t size, const struct pd_result *r)
{
	copy_text(to, size, r->body.body_val, r->body.body_len);
}

static void
on_answer(void *arg, uint64_t waiter, const struct pd_answer *from)
{
	struct sd *x = arg;
	struct sd_answer *a;
	u_int n;

	a = g_new0(struct sd_answer, 1);
	a->waiter = waiter;
	copy_text(a->id, sizeof(a->id), from->sub.id, strlen(from->sub.id));
	a->status = from->status;
	copy_text(
	    a->reason, sizeof(a->reason), from->reason, strlen(from->reason));
	copy_text(
	    a->detail, sizeof(a->detail), from->detail, strlen(from->detail));
	a->not_run = from->not_run;
	n = a->nresults = from->results.results_len;
	if (n > 0) {
		copy_result(
		    a->first, sizeof(a->first), &from->results.results_val[0]);
		copy_result(a->last, sizeof(a->last),
		    &from->results.results_val[n - 1]);
	}
	g_ptr_array_add(x->answers, a);
}

static const struct dp_ops outputs = {
    on_grant, on_cancel, on_resolve, on_answer};

struct sd *
sd_new_limited(const char *policy, const struct dp_settings *settings)
{
	struct sd *x;

	x = g_new0(struct sd, 1);
	x->clock = ck_new_manual(1000000, SD_WALL_MS);
	x->counters = ct_new();
	x->history = hi_new(x->clock, 100, 16);
	x->grants = g_ptr_array_new_with_free_func(g_free);
	x->cancels = g_ptr_array_new_with_free_func(g_free);
	x->resolves = g_ptr_array_new_with_free_func(g_free);
	x->answers = g_ptr_array_new_with_free_func(g_free);
	x->state = cs_new();
	ss_put_team(x->state, "lids", 1, 0);
	x->dp = dp_new(x->clock, x->counters, x->history, po_find(policy),
	    settings, &outputs, x);
	dp_configure(x->dp, x->state);
	sd_set_partitions(x, DP_ACTIVE, 7, true, 0);
	dp_set_verified(x->dp, UINT64_MAX);
	return (x);
}

struct sd *
sd_new(const char *policy)
{
	static const struct dp_settings settings = {
	    .retention_ms = 600000,
	    .clock_error_ms = 2000,
	    .submissions_max = 100000,
	    .queue_tasks_max = 100000,
	    .seed = 1,
	};

	return (sd_new_limited(policy, &settings));
}

void
sd_free(struct sd *x)
{
	dp_free(x->dp);
	cs_free(x->state);
	hi_free(x->history);
	ct_free(x->counters);
	ck_free(x->clock);
	g_ptr_array_free(x->grants, TRUE);
	g_ptr_array_free(x->cancels, TRUE);
	g_ptr_array_free(x->resolves, TRUE);
	g_ptr_array_free(x->answers, TRUE);
	g_free(x);
}

void
sd_set_partitions(struct sd *x, enum dp_partition_state state, uint64_t view,
    bool complete, uint64_t takeover_ms)
{
	unsigned i;

	for (i = 0; i < PD_PARTITIONS; i++)
		dp_set_partition(x->dp, i, state, view, complete, takeover_ms);
}

void
sd_add_endpoint(struct sd *x, const char *name, const char *az)
{
	ss_put_endpoint(x->state, name, az, "order-desk", 8);
	dp_configure(x->dp, x->state);
}

dp_agent
sd_connect_agent(struct sd *x, const char *name, uint64_t incarnation)
{
	struct pd_hello h;

	memset(&h, 0, sizeof(h));
	h.name = (char *)name;
	h.incarnation = incarnation;
	h.az = "finistere";
	h.service = "order-desk";
	h.worker = "worker-1";
	h.slots = 8;
	h.queue_max = 8;
	return (dp_agent_up(x->dp, &h));
}

void
sd_add_agents(struct sd *x, unsigned n, dp_agent *agents)
{
	char name[16];
	unsigned i;

	for (i = 0; i < n; i++) {
		g_snprintf(name, sizeof(name), "e%u", i);
		sd_add_endpoint(x, name, "finistere");
		agents[i] = sd_connect_agent(x, name, 100 + i);
	}
}

static void
fill_id(const struct sd *x, struct pd_id *id, const char *name)
{
	(void)x;
	id->id = (char *)name;
	id->created_ms = SD_WALL_MS;
}

void
sd_submit_as(struct sd *x, const char *id, unsigned ntasks,
    unsigned deadline_ms, uint64_t waiter, void (*change)(struct pd_submit *s))
{
	struct pd_submit s;
	struct pd_task *tasks;
	unsigned i;

	memset(&s, 0, sizeof(s));
	fill_id(x, &s.sub, id);
	s.team = "lids";
	s.service = "order-desk";
	s.az = "";
	s.left_ms = deadline_ms;
	tasks = g_new0(struct pd_task, ntasks);
	s.tasks.tasks_len = ntasks;
	s.tasks.tasks_val = tasks;
	for (i = 0; i < ntasks; i++) {
		tasks[i].size_ms = 100;
		tasks[i].body.body_val = g_strdup_printf("%s/%u", id, i);
		tasks[i].body.body_len = (u_int)strlen(tasks[i].body.body_val);
	}
	if (change != NULL)
		change(&s);
	dp_submit(x->dp, &s, waiter);
	for (i = 0; i < ntasks; i++)
		g_free(tasks[i].body.body_val);
	g_free(tasks);
}

void
sd_submit(struct sd *x, const char *id, unsigned ntasks, unsigned deadline_ms,
    uint64_t waiter)
{
	sd_submit_as(x, id, ntasks, deadline_ms, waiter, NULL);
}

static void
make_idempotent(struct pd_submit *s)
{
	s->kind = PD_REQUEST;
	s->idempotent = true;
}

void
sd_submit_request(
    struct sd *x, const char *id, unsigned deadline_ms, uint64_t waiter)
{
	sd_submit_as(x, id, 1, deadline_ms, waiter, make_idempotent);
}

void
sd_lookup(struct sd *x, const char *id, bool cancel, uint64_t waiter)
{
	struct pd_id key;

	fill_id(x, &key, id);
	dp_lookup(x->dp, &key, cancel, waiter);
}

void
sd_report(struct sd *x, const struct sd_grant *g, pd_task_state state,
    pd_reason reason, unsigned run_ms)
{
	struct pd_record r;
	char body[80];

	memset(&r, 0, sizeof(r));
	r.key = g->grant.key;
	r.key.sub.id = (char *)g->id;
	r.state = state;
	r.reason = reason;
	r.ntasks = g->grant.ntasks;
	r.run_ms = run_ms;
	if (state == PD_DONE) {
		g_snprintf(body, sizeof(body), "r:%s", g->body);
		r.body.body_val = body;
		r.body.body_len = (u_int)strlen(body);
	}
	dp_report(x->dp, g->agent, &r);
}

void
sd_finish(struct sd *x, unsigned first, unsigned run_ms)
{
	unsigned i;

	for (i = first; i < x->grants->len; i++)
		sd_report(x, g_ptr_array_index(x->grants, i), PD_DONE,
		    PD_R_NONE, run_ms);
}

void
sd_advance(struct sd *x, unsigned ms)
{
	unsigned step;

	for (; ms > 0; ms -= step) {
		step = MIN(ms, 10);
		ck_advance_ms(x->clock, step);
		dp_tick(x->dp);
	}
}

const struct sd_grant *
sd_grant(const struct sd *x, unsigned index)
{
	assert_in_range(index, 0, x->grants->len - 1);
	return (g_ptr_array_index(x->grants, index));
}

const struct sd_answer *
sd_answer(const struct sd *x, unsigned index)
{
	assert_in_range(index, 0, x->answers->len - 1);
	return (g_ptr_array_index(x->answers, index));
}

const struct sd_answer *
sd_answer_to(const struct sd *x, uint64_t waiter)
{
	const struct sd_answer *a, *found;
	guint i;

	found = NULL;
	for (i = 0; i < x->answers->len; i++) {
		a = g_ptr_array_index(x->answers, i);
		if (a->waiter != waiter)
			continue;
		assert_null(found);
		found = a;
	}
	assert_non_null(found);
	return (found);
}
