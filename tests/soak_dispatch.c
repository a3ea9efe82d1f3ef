#include <argtable2.h>
#include <glib.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "harness_fleet.h"
#include "rng.h"

/*
 * Fault soak: real dispatchers and agents with fakes of the platform, and
 * overlapping random faults that a seed determines. Checks at the clients and
 * endpoints that no task runs twice at the same time, that no refused job
 * starts, and that jobs are served again once the faults end. The configuration
 * does not change.
 */

#define ENTRIES 3
#define WORKERS 5
#define PER_S 20
/* Time after the end of the faults until which everything works again. */
#define RECOVERY_MS 4000
#define FINAL_JOBS 20U
/* Added to the configuration before the faults. */
#define ADDED_QUEUES 2800
#define STATUS_NOT_FOUND 404
/* Pauses between two faults, short enough that most of them overlap. */
#define PAUSE_MIN_MS 100
#define PAUSE_RANGE_MS 900
#define SEEDS_MAX 256

struct soak {
	struct hn *hn;
	struct hf *fleet;
	struct rn *rng;
	bool frozen_entry[ENTRIES];
	bool frozen_agent[WORKERS];
};

/* A kind of fault; @i is random and less than @n. */
struct fault {
	const char *name;
	unsigned n;
	void (*inject)(struct soak *s, unsigned i);
};

static void
resume_frozen(struct soak *s)
{
	unsigned i;

	for (i = 0; i < ENTRIES; i++)
		if (s->frozen_entry[i])
			hn_signal(hf_entry(s->fleet, i), SIGCONT);
	for (i = 0; i < WORKERS; i++)
		if (s->frozen_agent[i])
			hn_signal(hf_agent(s->fleet, i), SIGCONT);
	memset(s->frozen_entry, 0, sizeof(s->frozen_entry));
	memset(s->frozen_agent, 0, sizeof(s->frozen_agent));
}

static void
kill_entry(struct soak *s, unsigned i)
{
	resume_frozen(s);
	hf_restart_entry(s->fleet, i, SIGKILL);
}

static void
stop_entry(struct soak *s, unsigned i)
{
	resume_frozen(s);
	hf_restart_entry(s->fleet, i, SIGTERM);
}

static void
freeze_entry(struct soak *s, unsigned i)
{
	hn_signal(hf_entry(s->fleet, i), SIGSTOP);
	s->frozen_entry[i] = true;
}

static void
kill_agent(struct soak *s, unsigned i)
{
	resume_frozen(s);
	hf_restart_agent(s->fleet, i, SIGKILL);
}

static void
stop_agent(struct soak *s, unsigned i)
{
	resume_frozen(s);
	hf_restart_agent(s->fleet, i, SIGTERM);
}

static void
freeze_agent(struct soak *s, unsigned i)
{
	hn_signal(hf_agent(s->fleet, i), SIGSTOP);
	s->frozen_agent[i] = true;
}

static void
resume_all(struct soak *s, unsigned i)
{
	(void)i;
	resume_frozen(s);
}

static void
kill_endpoint(struct soak *s, unsigned i)
{
	hf_restart_minion(s->fleet, i);
}

static void
disturb_endpoint(struct soak *s, unsigned i)
{
	static const char *const kinds[] = {"drop=8", "late=8&late_ms=300",
	    "late=4&late_ms=2000", "hang=1", "fail=1", "speed=0.2",
	    "hang=0&fail=0&speed=1", "drain=1", "drain=0"};

	hn_control(hf_minion_port(s->fleet, i),
	    kinds[rn_below(s->rng, G_N_ELEMENTS(kinds))]);
}

static void
replace_endpoint(struct soak *s, unsigned i)
{
	hf_replace_minion(s->fleet, i, rn_below(s->rng, 2) > 0);
}

/* Messages about an endpoint from a process that is not the endpoint, and
 * answers to polls without lists. */
static void
misreport_endpoint(struct soak *s, unsigned i)
{
	unsigned port = hf_heartbeats_port(s->fleet, i);
	unsigned kind = rn_below(s->rng, 3);
	char path[64], body[512];

	if (kind == 0) {
		hn_control(hf_minion_port(s->fleet, i), "no_lists=5");
		return;
	}
	if (kind == 1) {
		snprintf(path, sizeof(path), "/v1/instances/m%u", i);
		hn_http("DELETE", port, path, NULL, NULL, NULL);
		return;
	}
	snprintf(body, sizeof(body),
	    "{\"service\":\"desk\",\"address\":\"127.0.0.1:1\",\"zone\":\"z0\","
	    "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
	    "\"capacity\":{\"cpu\":64000,\"mem_mb\":65536},\"labels\":[],"
	    "\"clock_ms\":1,\"seq\":1,\"born\":%llu}",
	    (unsigned long long)hn_wall_ms());
	hn_http("PUT", port, "/v1/instances/other", body, NULL, NULL);
}

static void
disturb_store(struct soak *s, unsigned i)
{
	static const char *const kinds[] = {"mode=silent", "mode=error",
	    "mode=busy", "mode=down", "mode=slow&delay_ms=200", "refuse=5",
	    "forget=1", "mode=up"};

	(void)i;
	hn_control(hf_store_port(s->fleet),
	    kinds[rn_below(s->rng, G_N_ELEMENTS(kinds))]);
}

static const char *
random_relay_mode(struct soak *s)
{
	static const char *const kinds[] = {"mode=cut", "mode=silent",
	    "mode=one_way", "mode=silent&existing=1", "delay_ms=60",
	    "mode=pass&delay_ms=0", "mode=pass&delay_ms=0"};

	return (kinds[rn_below(s->rng, G_N_ELEMENTS(kinds))]);
}

static void
disturb_entry_link(struct soak *s, unsigned i)
{
	hf_control_relay(s->fleet, HF_ENTRY, i, random_relay_mode(s));
}

static void
disturb_endpoint_link(struct soak *s, unsigned i)
{
	hf_control_relay(s->fleet, HF_ENDPOINT, i, random_relay_mode(s));
}

static void
disturb_store_link(struct soak *s, unsigned i)
{
	(void)i;
	hf_control_relay(s->fleet, HF_STORE, 0, random_relay_mode(s));
}

/* With endpoint faults all of them are injected, else the first BASE_FAULTS:
 * a seed stands for the same faults as before the others were added. */
#define BASE_FAULTS 14U
static const struct fault faults[] = {
    {"kill entry", ENTRIES, kill_entry},
    {"stop entry", ENTRIES, stop_entry},
    {"freeze entry", ENTRIES, freeze_entry},
    {"kill agent", WORKERS, kill_agent},
    {"stop agent", WORKERS, stop_agent},
    {"freeze agent", WORKERS, freeze_agent},
    {"resume", 1, resume_all},
    {"kill endpoint", WORKERS, kill_endpoint},
    {"endpoint", WORKERS, disturb_endpoint},
    {"endpoint", WORKERS, disturb_endpoint},
    {"store", 1, disturb_store},
    {"entry link", ENTRIES, disturb_entry_link},
    {"endpoint link", WORKERS, disturb_endpoint_link},
    {"store link", 1, disturb_store_link},
    {"replace endpoint", WORKERS, replace_endpoint},
    {"replace endpoint", WORKERS, replace_endpoint},
    {"misreport endpoint", WORKERS, misreport_endpoint},
    {"misreport endpoint", WORKERS, misreport_endpoint},
};

static void
end_faults(struct soak *s)
{
	unsigned i;

	resume_frozen(s);
	hn_control(hf_store_port(s->fleet), "mode=up&refuse=0");
	hf_control_relay(s->fleet, HF_STORE, 0, "mode=pass&delay_ms=0");
	for (i = 0; i < ENTRIES; i++)
		hf_control_relay(s->fleet, HF_ENTRY, i, "mode=pass&delay_ms=0");
	for (i = 0; i < WORKERS; i++) {
		hf_control_relay(
		    s->fleet, HF_ENDPOINT, i, "mode=pass&delay_ms=0");
		hn_control(hf_minion_port(s->fleet, i),
		    "drop=0&late=0&hang=0&fail=0&speed=1&drain=0&no_lists=0");
	}
}

/* Submits jobs to every entry. Return: number of jobs that did not complete. */
static unsigned
count_unserved(struct soak *s)
{
	unsigned i, wrong = 0;
	char id[32];

	for (i = 0; i < FINAL_JOBS; i++) {
		snprintf(id, sizeof(id), "ca1%013x", i);
		if (hf_submit(s->fleet, i % ENTRIES, id, "run_ms=40 cpu=6000",
			2, 40, NULL) != 200)
			wrong++;
	}
	return (wrong);
}

/* Return: whether all checks passed. */
static bool
run_seed(unsigned seed, unsigned seconds, unsigned nfaults)
{
	struct soak s = {.hn = hn_new(), .rng = rn_new(seed)};
	const struct hf_job *jobs;
	const struct fault *f;
	struct hf_runs runs;
	unsigned i, n, done = 0, no_queue = 0, unserved;
	uint64_t end;

	s.fleet = hf_new_relayed(s.hn, ENTRIES, WORKERS);
	/* The queue of the load is the last one. */
	hf_set_queues(s.fleet, 2, ADDED_QUEUES);
	hf_start_load(s.fleet, PER_S);
	end = hn_mono_ms() + (uint64_t)seconds * 1000;
	while (hn_mono_ms() < end) {
		hn_sleep_ms(PAUSE_MIN_MS + rn_below(s.rng, PAUSE_RANGE_MS));
		f = &faults[rn_below(s.rng, nfaults)];
		i = rn_below(s.rng, f->n);
		printf("seed %u: %llu %s %u\n", seed,
		    (unsigned long long)hn_wall_ms(), f->name, i);
		f->inject(&s, i);
	}
	end_faults(&s);
	hn_sleep_ms(RECOVERY_MS);
	unserved = count_unserved(&s);
	jobs = hf_stop_load(s.fleet, &n);
	for (i = 0; i < n; i++) {
		done += jobs[i].completed;
		no_queue += jobs[i].status == STATUS_NOT_FOUND;
	}
	runs = hf_check_runs(s.fleet, jobs, n);
	printf(
	    "seed %u: %u jobs, %u done, %u starts, %u lapsed, %u double, "
	    "%u refused and started, %u without a queue, %u of %u not served "
	    "at the end\n",
	    seed, n, done, runs.starts, runs.expired, runs.concurrent,
	    runs.refused_started, no_queue, unserved, FINAL_JOBS);
	hf_free(s.fleet);
	hn_free(s.hn);
	rn_free(s.rng);
	return (runs.concurrent == 0 && runs.refused_started == 0 &&
	    no_queue == 0 && unserved == 0);
}

int
main(int argc, char **argv)
{
	struct arg_int *seed =
	    arg_intn(NULL, "seed", "N", 1, SEEDS_MAX, "seed of the faults");
	struct arg_int *seconds =
	    arg_int0(NULL, "seconds", "N", "time with faults for each seed");
	struct arg_lit *endpoints = arg_lit0(NULL, "endpoint-faults",
	    "endpoints are replaced and misreported too");
	struct arg_end *end = arg_end(4);
	void *table[] = {seed, seconds, endpoints, end};
	unsigned failed = 0;
	int i;

	seconds->ival[0] = 10;
	if (arg_parse(argc, argv, table) != 0) {
		arg_print_errors(stderr, end, argv[0]);
		return (2);
	}
	setvbuf(stdout, NULL, _IOLBF, 0);
	for (i = 0; i < seed->count; i++)
		failed += !run_seed((unsigned)seed->ival[i],
		    (unsigned)seconds->ival[0],
		    endpoints->count > 0 ? (unsigned)G_N_ELEMENTS(faults)
					 : BASE_FAULTS);
	printf("%d passed, %u failed\n", seed->count - (int)failed, failed);
	arg_freetable(table, G_N_ELEMENTS(table));
	return (failed > 0);
}
