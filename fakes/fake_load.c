#include <argtable2.h>
#include <glib.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "caller.h"
#include "web.h"

/**
 * DOC: fake_load - load generator
 *
 * Sends jobs to entries, open loop (--rate) or closed loop (--clients), and
 * prints one line of counts and response times. The exit code is 0 when every
 * submission got one complete answer that belongs to it.
 */

#define US_PER_S 1000000.0
#define ENTRIES_MAX 64
#define TEAMS_MAX 128
/* Interval of the check whether all submissions have ended. */
#define POLL_US 20000

struct load {
	struct event_base *base;
	struct hc *entries[ENTRIES_MAX];
	unsigned nentries;
	struct ca *caller;
	struct rn *rng;
	struct event *arrival;
	struct event *poll;
	double rate; /* submissions per second, 0 for a closed loop */
	uint64_t max_submissions; /* 0 for no limit */
	uint64_t sent;
	uint64_t next_arrival_us;
	uint64_t end_us;
};

struct arguments {
	struct arg_str *entry, *workload, *team, *service, *tasks, *run_ms;
	struct arg_str *prefix, *log, *record;
	struct arg_dbl *rate, *duration, *duplicates, *size_error;
	struct arg_int *clients, *seed, *deadline, *grace, *count;
	struct arg_lit *requests, *idempotent;
	struct arg_end *end;
};

static bool
is_sending_over(const struct load *l)
{
	return (wb_mono_us() >= l->end_us ||
	    (l->max_submissions > 0 && l->sent >= l->max_submissions));
}

static void
ignore_end(void *arg)
{
	(void)arg;
}

/* Sends the next submission of a client of the closed loop. */
static void
client_submit_next(void *arg)
{
	struct load *l = arg;

	if (is_sending_over(l))
		return;
	l->sent++;
	ca_submit(l->caller, client_submit_next, l);
}

/* Sends all submissions that are due; arrivals are a Poisson process. */
static void
on_arrival(evutil_socket_t fd, short what, void *arg)
{
	struct load *l = arg;
	uint64_t now = wb_mono_us();

	(void)fd;
	(void)what;
	while (l->next_arrival_us <= now) {
		if (is_sending_over(l))
			return;
		l->sent++;
		ca_submit(l->caller, ignore_end, NULL);
		l->next_arrival_us +=
		    (uint64_t)(-log(1 - rn_unit(l->rng)) / l->rate * US_PER_S);
	}
	now = wb_mono_us();
	wb_start_timer(l->arrival,
	    l->next_arrival_us > now ? l->next_arrival_us - now : 0);
}

static void
on_poll(evutil_socket_t fd, short what, void *arg)
{
	struct load *l = arg;

	(void)fd;
	(void)what;
	if (is_sending_over(l) && ca_open(l->caller) == 0)
		event_base_loopbreak(l->base);
	else
		wb_start_timer(l->poll, POLL_US);
}

static void
run(struct load *l, unsigned clients)
{
	l->arrival = evtimer_new(l->base, on_arrival, l);
	l->poll = evtimer_new(l->base, on_poll, l);
	l->next_arrival_us = wb_mono_us();
	if (l->rate > 0)
		wb_start_timer(l->arrival, 0);
	for (unsigned i = 0; l->rate <= 0 && i < clients; i++)
		client_submit_next(l);
	wb_start_timer(l->poll, POLL_US);
	wb_run(l->base);
	event_free(l->arrival);
	event_free(l->poll);
}

/* "A" or "A-B" */
static void
parse_range(const struct arg_str *arg, unsigned *low, unsigned *high)
{
	char *rest;

	if (arg->count == 0)
		return;
	*low = (unsigned)strtoul(arg->sval[0], &rest, 10);
	*high = *rest == '-' ? (unsigned)strtoul(rest + 1, NULL, 10) : *low;
	if (*low < 1)
		*low = 1;
	if (*high < *low)
		*high = *low;
}

static void
parse_workload(const struct arguments *a, struct wl *w)
{
	const struct wl *known = wl_find(a->workload->sval[0]);

	if (known == NULL) {
		fprintf(stderr, "unknown workload %s\n", a->workload->sval[0]);
		exit(2);
	}
	*w = *known;
	parse_range(a->tasks, &w->tasks_min, &w->tasks_max);
	parse_range(a->run_ms, &w->run_min, &w->run_max);
	if (a->run_ms->count > 0)
		w->long_share = 0;
	if (a->service->count > 0)
		w->service = a->service->sval[0];
	w->size_error = a->size_error->dval[0];
}

static void
create_clients(struct load *l, const struct arg_str *entry)
{
	for (int i = 0; i < entry->count; i++) {
		l->entries[l->nentries] = hc_new(l->base, entry->sval[i]);
		if (l->entries[l->nentries] == NULL) {
			fprintf(stderr, "invalid address %s\n", entry->sval[i]);
			exit(2);
		}
		l->nentries++;
	}
}

static FILE *
open_log(const struct arg_str *log)
{
	FILE *f = log->count > 0 ? fopen(log->sval[0], "w") : NULL;

	if (log->count > 0 && f == NULL) {
		perror(log->sval[0]);
		exit(1);
	}
	return (f);
}

static int
exit_status(const struct ta *t)
{
	static const enum ta_count faults[] = {TA_UNANSWERED, TA_ERRORS,
	    TA_PARTIAL, TA_FOREIGN, TA_MISMATCH, TA_REFUSED_RUN};

	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++)
		if (ta_value(t, faults[i]) > 0)
			return (1);
	return (0);
}

static struct ca_options
caller_options(const struct arguments *a, const struct wl *w)
{
	struct ca_options o = {
	    .workload = w,
	    .teams = a->team->sval,
	    .nteams = a->team->count > 0 ? (unsigned)a->team->count : 1,
	    .prefix = a->prefix->sval[0],
	    .seed = (uint64_t)a->seed->ival[0],
	    .deadline_ms = (unsigned)a->deadline->ival[0],
	    .grace_ms = (unsigned)a->grace->ival[0],
	    .duplicate_share = a->duplicates->dval[0],
	    .requests = a->requests->count > 0,
	    .idempotent = a->idempotent->count > 0,
	    .log = open_log(a->log),
	    .record = open_log(a->record),
	};

	return (o);
}

/* Shows whether the load generator itself was the bottleneck. */
static void
print_cpu(FILE *out, uint64_t elapsed_us)
{
	struct rusage u;
	double s;

	getrusage(RUSAGE_SELF, &u);
	s = (double)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) +
	    (double)(u.ru_utime.tv_usec + u.ru_stime.tv_usec) / US_PER_S;
	fprintf(out, "# cpu_share %.3f\n", s / (double)elapsed_us * US_PER_S);
}

static int
run_load(const struct arguments *a)
{
	uint64_t start = wb_mono_us();
	struct load l = {.base = wb_base_new()};
	struct ta *tally = ta_new();
	struct ca_options o;
	struct wl w;
	int status;

	parse_workload(a, &w);
	create_clients(&l, a->entry);
	o = caller_options(a, &w);
	l.caller = ca_new(l.base, l.entries, l.nentries, &o, tally);
	l.rng = rn_new(o.seed + 1);
	l.rate = a->rate->dval[0];
	l.max_submissions = (uint64_t)a->count->ival[0];
	l.end_us = start + (uint64_t)(a->duration->dval[0] * US_PER_S);
	run(&l, (unsigned)a->clients->ival[0]);
	ta_add(tally, TA_UNANSWERED, ca_open(l.caller));
	ta_print(tally, stdout, wb_mono_us() - start);
	status = exit_status(tally);
	if (o.log != NULL)
		fclose(o.log);
	if (o.record != NULL) {
		print_cpu(o.record, wb_mono_us() - start);
		fclose(o.record);
	}
	rn_free(l.rng);
	ta_free(tally);
	/* Connections and duplicate calls may still be open; they are left to
	 * the exit of the process. */
	return (status);
}

static void
make_arguments(struct arguments *a)
{
	a->entry = arg_strn(NULL, "entry", "IP:PORT", 1, ENTRIES_MAX,
	    "HTTP address of an entry, repeatable");
	a->workload =
	    arg_str0(NULL, "workload", "NAME", "kerandour or himal-sapana");
	a->team =
	    arg_strn(NULL, "team", "NAME", 0, TEAMS_MAX, "teams, used in turn");
	a->service = arg_str0(NULL, "service", "NAME", "service to call");
	a->tasks = arg_str0(NULL, "tasks", "A-B", "tasks per job");
	a->run_ms = arg_str0(NULL, "run-ms", "A-B", "run time of a task");
	a->prefix =
	    arg_str0(NULL, "prefix", "TEXT", "prefix of every submission id");
	a->log =
	    arg_str0(NULL, "log", "FILE", "log with one line per submission");
	a->record = arg_str0(NULL, "record", "FILE",
	    "arrival, response and run times of each submission");
	a->rate = arg_dbl0(NULL, "rate", "N", "submissions per second");
	a->duration = arg_dbl0(
	    NULL, "duration", "S", "seconds during which jobs are sent");
	a->duplicates = arg_dbl0(
	    NULL, "duplicates", "SHARE", "share of submissions sent twice");
	a->size_error = arg_dbl0(NULL, "size-error", "X",
	    "declared sizes are wrong by up to this factor");
	a->clients =
	    arg_int0(NULL, "clients", "N", "clients of the closed loop");
	a->seed = arg_int0(NULL, "seed", "N", "seed");
	a->deadline = arg_int0(
	    NULL, "deadline-ms", "MS", "time limit of each submission");
	a->grace = arg_int0(NULL, "grace-ms", "MS",
	    "time after the deadline until a submission counts as unanswered");
	a->count =
	    arg_int0(NULL, "count", "N", "maximum number of submissions");
	a->requests =
	    arg_lit0(NULL, "requests", "send stand-alone requests of one task");
	a->idempotent =
	    arg_lit0(NULL, "idempotent", "mark submissions as idempotent");
	a->end = arg_end(8);
}

static void
set_defaults(struct arguments *a)
{
	a->workload->sval[0] = "kerandour";
	a->team->sval[0] = "lids";
	a->prefix->sval[0] = "load";
	a->rate->dval[0] = 0;
	a->duration->dval[0] = 10;
	a->duplicates->dval[0] = 0;
	a->size_error->dval[0] = 1;
	a->clients->ival[0] = 4;
	a->seed->ival[0] = 1;
	a->deadline->ival[0] = 30000;
	a->grace->ival[0] = 10000;
	a->count->ival[0] = 0;
}

int
main(int argc, char **argv)
{
	struct arguments a;
	int status;

	make_arguments(&a);
	void *table[] = {a.entry, a.workload, a.team, a.service, a.tasks,
	    a.run_ms, a.prefix, a.log, a.record, a.rate, a.duration,
	    a.duplicates, a.size_error, a.clients, a.seed, a.deadline, a.grace,
	    a.count, a.requests, a.idempotent, a.end};
	set_defaults(&a);
	if (arg_parse(argc, argv, table) != 0) {
		arg_print_errors(stderr, a.end, argv[0]);
		arg_print_glossary(stderr, table, "  %-24s %s\n");
		return (2);
	}
	signal(SIGPIPE, SIG_IGN);
	status = run_load(&a);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return (status);
}
