#include <string.h>

#include "contacts.h"
#include "lease.h"
#include "model_impl.h"

#define US_PER_MS 1000
#define PERMILLE 1000
/* Delay between an agent and its endpoint, which are on one host. */
#define LOCAL_DELAY_US 500
/* Time that an endpoint needs to stop a run. */
#define STOP_DELAY_US 20000
#define MEM_MB 100000
/* Has no divisor in common with usual numbers of workers. */
#define WORKER_ORDER_STEP 7919

struct grant {
	struct pd_start start;
	char id[20];
	uint64_t incarnation;
};

struct report {
	struct pd_ended ended;
	uint64_t incarnation;
};

struct command {
	char id[20];
	unsigned index;
	unsigned run;
	uint64_t number;
	uint64_t incarnation;
};

static uint64_t
session_of(const struct md_worker *w)
{
	return (w->incarnation * (w->model->nworkers + 1) + w->number + 1);
}

static struct md_worker *
worker_of(struct md *m, const struct fl_worker *to)
{
	return (&m->workers[(to->session - 1) % (m->nworkers + 1)]);
}

/* --- endpoint --- */

static char *
task_name(const struct command *o)
{
	return (g_strdup_printf("%s.%u", o->id, o->index));
}

/* Adds @by to the number of active runs of a task. Return: number before. */
static int
count_active_run(struct md *m, const struct command *o, int by)
{
	char *name = task_name(o);
	int n = GPOINTER_TO_INT(g_hash_table_lookup(m->active_runs, name));

	g_hash_table_insert(m->active_runs, name, GINT_TO_POINTER(n + by));
	return (n);
}

static void
account_run_time(struct md_worker *w, const struct md_run_state *run)
{
	struct md *m = w->model;
	struct md_job *job = g_hash_table_lookup(m->jobs_by_id, run->id);
	double ms =
	    (double)(ck_mono_us(m->clock) - run->started_us) / US_PER_MS;

	job->run_core_s +=
	    ms * w->speed / w->slowdown * run->cpu / PERMILLE / PERMILLE;
}

static void
remove_run(struct md_worker *w, guint i)
{
	struct md_run_state *run =
	    &g_array_index(w->runs, struct md_run_state, i);
	struct command o = {.index = run->index};

	account_run_time(w, run);
	g_strlcpy(o.id, run->id, sizeof(o.id));
	count_active_run(w->model, &o, -1);
	g_array_remove_index(w->runs, i);
}

/* Delivers the end of a run to the agent, as the result of a poll. */
static void
deliver_run_end(
    struct md_worker *w, const struct command *o, enum ru_outcome outcome)
{
	struct ru_run_info ended = {
	    .id = o->id, .index = o->index, .run = o->run, .outcome = outcome};
	struct ru_run_info *running =
	    g_new0(struct ru_run_info, w->runs->len + 1);
	struct ru_poll_result poll = {.sent_ms = ck_mono_ms(w->model->clock),
	    .incarnation = w->incarnation,
	    .running = running,
	    .nrunning = w->runs->len,
	    .ended = &ended,
	    .nended = 1};
	const struct md_run_state *run;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		run = &g_array_index(w->runs, struct md_run_state, i);
		running[i].id = run->id;
		running[i].index = run->index;
		running[i].run = run->run;
	}
	ru_polled(w->runner, &poll);
	g_free(running);
}

static void
on_run_end(struct md *m, struct md_event *e)
{
	struct md_worker *w = &m->workers[e->a];
	const struct command *o = e->data;
	guint i;

	if (!w->up || w->incarnation != o->incarnation)
		return;
	for (i = 0; i < w->runs->len; i++)
		if (g_array_index(w->runs, struct md_run_state, i).number ==
		    o->number) {
			remove_run(w, i);
			deliver_run_end(w, o, (enum ru_outcome)e->b);
			return;
		}
}

static unsigned
cpu_in_use(const struct md_worker *w)
{
	unsigned cpu = 0;
	guint i;

	for (i = 0; i < w->runs->len; i++)
		cpu += g_array_index(w->runs, struct md_run_state, i).cpu;
	return (cpu);
}

static void
start_run(struct md_worker *w, const struct command *o,
    const struct md_job *job, unsigned cpu)
{
	struct md *m = w->model;
	struct md_run_state run = {.index = o->index,
	    .run = o->run,
	    .cpu = cpu,
	    .number = ++m->last_run_number,
	    .started_us = ck_mono_us(m->clock)};
	struct command *end = g_memdup2(o, sizeof(*o));
	double ms = job->work_ms[o->index] / w->speed * w->slowdown;
	enum ru_outcome outcome = RU_DONE;

	if (rn_unit(m->run_rng) < m->load->error_share)
		outcome = RU_FAILED;
	g_strlcpy(run.id, o->id, sizeof(run.id));
	g_array_append_val(w->runs, run);
	if (count_active_run(m, o, 1) > 0)
		m->result->duplicate_runs++;
	end->number = run.number;
	md_schedule(
	    m, (uint64_t)(ms * US_PER_MS), on_run_end, w->number, outcome, end);
}

static void
on_start_command(struct md *m, struct md_event *e)
{
	struct md_worker *w = &m->workers[e->a];
	const struct command *o = e->data;
	struct md_job *job = g_hash_table_lookup(m->jobs_by_id, o->id);
	struct ru_run run = {.id = o->id, .index = o->index, .run = o->run};
	unsigned cpu = m->load->kinds[job->kind].cpu;

	if (!w->up || w->incarnation != o->incarnation)
		return;
	m->result->starts++;
	if (cpu_in_use(w) + cpu > w->cpu) {
		m->result->starts_refused++;
		ru_start_answer(w->runner, &run, RU_NO_ROOM);
		return;
	}
	start_run(w, o, job, cpu);
	ru_start_answer(w->runner, &run, RU_STARTED);
}

static void
on_stop_command(struct md *m, struct md_event *e)
{
	struct md_worker *w = &m->workers[e->a];
	const struct command *o = e->data;
	struct ru_run run = {.id = o->id, .index = o->index, .run = o->run};
	struct md_run_state *at;
	guint i;

	if (!w->up || w->incarnation != o->incarnation)
		return;
	ru_stop_answer(w->runner, &run, true);
	for (i = 0; i < w->runs->len; i++) {
		at = &g_array_index(w->runs, struct md_run_state, i);
		if (strcmp(at->id, o->id) == 0 && at->index == o->index &&
		    at->run == o->run) {
			remove_run(w, i);
			deliver_run_end(w, o, RU_STOPPED);
			return;
		}
	}
}

/* --- agent --- */

static struct command *
command_new(const struct md_worker *w, const struct ru_run *run)
{
	struct command *o = g_new0(struct command, 1);

	g_strlcpy(o->id, run->id, sizeof(o->id));
	o->index = run->index;
	o->run = run->run;
	o->incarnation = w->incarnation;
	return (o);
}

static void
runner_start(void *arg, const struct ru_run *run)
{
	struct md_worker *w = arg;

	md_schedule(w->model, LOCAL_DELAY_US, on_start_command, w->number, 0,
	    command_new(w, run));
}

static void
runner_stop(void *arg, const struct ru_run *run)
{
	struct md_worker *w = arg;

	md_schedule(w->model, STOP_DELAY_US, on_stop_command, w->number, 0,
	    command_new(w, run));
}

static void
clear_ended(GArray *ended)
{
	guint i;

	for (i = 0; i < ended->len; i++)
		g_free(g_array_index(ended, struct pd_end, i).key.sub.id);
	g_array_set_size(ended, 0);
}

static void
on_report(struct md *m, struct md_event *e)
{
	struct md_entry *entry = &m->entries[e->a];
	struct md_worker *w = &m->workers[e->b];
	struct report *r = e->data;
	struct fl_worker *from;
	unsigned i;

	from = fl_find_by_session(entry->fleet, session_of(w));
	if (from != NULL && w->incarnation == r->incarnation)
		jb_grants_ended(entry->jobs, from, &r->ended);
	for (i = 0; i < r->ended.list.list_len; i++)
		g_free(r->ended.list.list_val[i].key.sub.id);
	g_free(r->ended.list.list_val);
}

static void
send_report(struct md_worker *w, unsigned entry)
{
	struct ru_load l = ru_load(w->runner);
	struct report *r = g_new0(struct report, 1);
	GArray *ended = w->ended[entry];

	r->incarnation = w->incarnation;
	r->ended.load = l.reported;
	r->ended.list.list_len = ended->len;
	r->ended.list.list_val =
	    g_memdup2(ended->data, ended->len * sizeof(struct pd_end));
	g_array_set_size(ended, 0);
	w->reported_us[entry] = ck_mono_us(w->model->clock);
	md_schedule(
	    w->model, md_net_us(w->model), on_report, entry, w->number, r);
}

static void
on_flush(struct md *m, struct md_event *e)
{
	struct md_worker *w = &m->workers[e->a];
	unsigned i, contacts = 0;
	uint64_t period_us;

	w->flush_pending = false;
	if (!w->up)
		return;
	for (i = 0; i < m->load->entries; i++)
		contacts += w->contacts[i];
	period_us = (uint64_t)ac_report_period_ms(contacts) * US_PER_MS;
	for (i = 0; i < m->load->entries; i++)
		if (w->contacts[i] &&
		    (w->ended[i]->len > 0 ||
			ck_mono_us(m->clock) - w->reported_us[i] >= period_us))
			send_report(w, i);
}

static void
runner_ended(void *arg, uint64_t entry, const struct pd_end *end)
{
	struct md_worker *w = arg;
	struct pd_end copy = *end;

	w->model->result->returned += end->state == PD_END_RETURNED;
	w->model->result->stopped += end->state == PD_END_STOPPED;
	copy.key.sub.id = g_strdup(end->key.sub.id);
	g_array_append_val(w->ended[entry - 1], copy);
	if (!w->flush_pending)
		md_schedule(w->model, 0, on_flush, w->number, 0, NULL);
	w->flush_pending = true;
}

static const struct ru_ops runner_ops = {
    .start = runner_start,
    .stop = runner_stop,
    .ended = runner_ended,
};

static void
attach(struct md_worker *w, struct md_entry *entry, uint64_t clock_ms)
{
	struct ru_load l = ru_load(w->runner);
	struct pd_attach a = {.cell = (char *)(uintptr_t) "cell",
	    .name = w->name,
	    .az = w->az,
	    .service = (char *)(uintptr_t) "service",
	    .incarnation = w->incarnation,
	    .started_ms = w->incarnation,
	    .cpu = l.cpu,
	    .mem_mb = MEM_MB,
	    .endpoint = l.description,
	    .load = l.reported,
	    .clock_ms = clock_ms};
	struct fl_worker *f;
	bool known, restarted;

	known = fl_find_by_session(entry->fleet, session_of(w)) != NULL;
	f = fl_attach(entry->fleet, &a, session_of(w), &restarted);
	if (!known)
		jb_attached(entry->jobs, f, restarted);
}

static void
on_heartbeat(struct md *m, struct md_event *e)
{
	struct md_worker *w = &m->workers[e->a];
	uint64_t now = ck_mono_ms(m->clock);
	unsigned i;

	if (!w->up || w->incarnation != e->b)
		return;
	ru_renew_lease(w->runner);
	for (i = 0; i < m->load->entries; i++) {
		if (!w->contacts[i])
			continue;
		attach(w, &m->entries[i], now);
		ru_entry_contact(w->runner, i + 1, now);
	}
	md_schedule(
	    m, LE_HEARTBEAT_MS * US_PER_MS, on_heartbeat, e->a, e->b, NULL);
}

static void
on_grant(struct md *m, struct md_event *e)
{
	struct md_worker *w = &m->workers[e->b];
	struct grant *g = e->data;

	if (!w->up || w->incarnation != g->incarnation)
		return;
	g->start.key.sub.id = g->id;
	ru_grant(w->runner, e->a + 1, &g->start);
}

void
md_grant(
    struct md_entry *e, const struct fl_worker *to, const struct pd_start *s)
{
	struct md *m = e->model;
	struct md_worker *w = worker_of(m, to);
	struct grant *g = g_new0(struct grant, 1);

	m->result->grants++;
	m->result->own_zone += strcmp(w->az, e->az) == 0;
	g->start = *s;
	g->start.body.body_val = NULL;
	g->start.body.body_len = 0;
	g->incarnation = w->incarnation;
	g_strlcpy(g->id, s->key.sub.id, sizeof(g->id));
	md_schedule(m, md_net_us(m), on_grant, e->number, w->number, g);
}

static void
on_withdraw(struct md *m, struct md_event *e)
{
	struct md_worker *w = &m->workers[e->b];
	struct grant *g = e->data;

	if (!w->up || w->incarnation != g->incarnation)
		return;
	g->start.key.sub.id = g->id;
	ru_withdraw(w->runner, e->a + 1, &g->start.key);
}

void
md_withdraw(
    struct md_entry *e, const struct fl_worker *to, const struct pd_key *k)
{
	struct md *m = e->model;
	struct md_worker *w = worker_of(m, to);
	struct grant *g = g_new0(struct grant, 1);

	g->start.key = *k;
	g->incarnation = w->incarnation;
	g_strlcpy(g->id, k->sub.id, sizeof(g->id));
	md_schedule(m, md_net_us(m), on_withdraw, e->number, w->number, g);
}

/* Request and reply take one network delay each. */
void
md_reconcile(struct md_entry *e, const struct fl_worker *to,
    const struct pd_key *keys, unsigned n)
{
	struct md *m = e->model;
	struct md_worker *w = worker_of(m, to);
	struct report *r = g_new0(struct report, 1);
	struct ru_load l = ru_load(w->runner);
	unsigned i;

	r->incarnation = w->incarnation;
	r->ended.load = l.reported;
	r->ended.list.list_len = n;
	r->ended.list.list_val = g_new0(struct pd_end, n);
	for (i = 0; i < n; i++) {
		r->ended.list.list_val[i].key = keys[i];
		r->ended.list.list_val[i].key.sub.id = g_strdup(keys[i].sub.id);
		r->ended.list.list_val[i].state =
		    ru_grant_state(w->runner, e->number + 1, &keys[i]);
	}
	md_schedule(m, 2 * md_net_us(m), on_report, e->number, w->number, r);
}

/* --- start and stop of workers --- */

void
md_worker_start(struct md_worker *w)
{
	struct md *m = w->model;
	struct ru_endpoint endpoint = {
	    .cpu = w->cpu, .mem_mb = MEM_MB, .accepting = true};

	w->up = true;
	w->incarnation++;
	endpoint.incarnation = w->incarnation;
	endpoint.description = w->incarnation;
	w->runner = ru_new(m->clock, m->counters, &runner_ops, w);
	ru_update_endpoint(w->runner, &endpoint);
	deliver_run_end(w, &(struct command){.id = ""}, RU_LAPSED);
	md_schedule(
	    m, 0, on_heartbeat, w->number, (unsigned)w->incarnation, NULL);
}

void
md_worker_stop(struct md_worker *w)
{
	struct md *m = w->model;
	struct fl_worker *f;
	unsigned i;

	w->up = false;
	while (w->runs->len > 0)
		remove_run(w, 0);
	ru_free(w->runner);
	w->runner = NULL;
	for (i = 0; i < m->load->entries; i++) {
		clear_ended(w->ended[i]);
		f = fl_detach(m->entries[i].fleet, session_of(w));
		if (f != NULL)
			jb_detached(m->entries[i].jobs, f);
	}
}

static gint
compare_ranks(gconstpointer a, gconstpointer b, gpointer worker)
{
	char x[16], y[16];
	uint64_t rank_x, rank_y;

	snprintf(x, sizeof(x), "e%u", *(const unsigned *)a);
	snprintf(y, sizeof(y), "e%u", *(const unsigned *)b);
	rank_x = ac_rank(((struct md_worker *)worker)->name, x);
	rank_y = ac_rank(((struct md_worker *)worker)->name, y);
	return ((rank_x > rank_y) - (rank_x < rank_y));
}

static void
choose_contacts(struct md_worker *w)
{
	unsigned n = w->model->load->entries, i;
	g_autofree unsigned *order = g_new(unsigned, n);

	w->contacts = g_new0(bool, n);
	for (i = 0; i < n; i++)
		order[i] = i;
	g_qsort_with_data(order, (gint)n, sizeof(*order), compare_ranks, w);
	for (i = 0; i < MIN(n, AC_CONTACTS_MIN); i++)
		w->contacts[order[i]] = true;
}

static void
on_worker_start(struct md *m, struct md_event *e)
{
	md_worker_start(&m->workers[e->a]);
}

/* Starts a worker before the first arrivals, or in the second half of the time
 * that agents need, in an order that mixes the groups. */
static void
schedule_worker_start(struct md_worker *w)
{
	struct md *m = w->model;
	uint64_t half_us = (uint64_t)m->load->agents_ms * US_PER_MS / 2;
	unsigned place = w->number * WORKER_ORDER_STEP % m->nworkers;

	if (half_us == 0)
		md_worker_start(w);
	else
		md_schedule(m, half_us + half_us * place / m->nworkers,
		    on_worker_start, w->number, 0, NULL);
}

static void
worker_new(struct md *m, unsigned number, const struct md_worker_group *g)
{
	struct md_worker *w = &m->workers[number];
	unsigned i;

	w->model = m;
	w->number = number;
	w->cpu = g->cpu;
	w->speed = g->speed;
	w->slowdown = 1;
	snprintf(w->name, sizeof(w->name), "w%u", number);
	md_set_az(m, number, w->az);
	w->runs = g_array_new(FALSE, TRUE, sizeof(struct md_run_state));
	choose_contacts(w);
	w->ended = g_new0(GArray *, m->load->entries);
	w->reported_us = g_new0(uint64_t, m->load->entries);
	for (i = 0; i < m->load->entries; i++)
		w->ended[i] = g_array_new(FALSE, TRUE, sizeof(struct pd_end));
	schedule_worker_start(w);
}

void
md_workers_new(struct md *m)
{
	const struct md_load *l = m->load;
	unsigned i, k, n = 0;

	for (i = 0; i < l->ngroups; i++)
		m->nworkers += l->groups[i].count;
	m->workers = g_new0(struct md_worker, m->nworkers);
	for (i = 0; i < l->ngroups; i++)
		for (k = 0; k < l->groups[i].count; k++)
			worker_new(m, n++, &l->groups[i]);
}

void
md_workers_free(struct md *m)
{
	struct md_worker *w;
	unsigned i, k;

	for (i = 0; i < m->nworkers; i++) {
		w = &m->workers[i];
		ru_free(w->runner);
		g_array_free(w->runs, TRUE);
		for (k = 0; k < m->load->entries; k++) {
			clear_ended(w->ended[k]);
			g_array_free(w->ended[k], TRUE);
		}
		g_free(w->contacts);
		g_free(w->ended);
		g_free(w->reported_us);
	}
	g_free(m->workers);
}
