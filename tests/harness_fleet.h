#ifndef HARNESS_FLEET_H
#define HARNESS_FLEET_H

#include "harness.h"

/**
 * DOC: hf - harness of a fleet: the real dispatchers and agents of transient
 * jobs, with fake endpoints and a fake store of the platform
 */
struct hf;

/** HF_NODES_MAX - maximum of entries, and of workers, of a fleet */
#define HF_NODES_MAX 16

/** struct hf_job - a job of the background load and its outcome at the client
 */
struct hf_job {
	char id[17];
	unsigned tasks;
	int status;     /* HTTP status of the last try, 0 without a response */
	bool completed; /* the answer has the state "completed" */
	bool refused;   /* every try was answered 429 or 503 */
	unsigned tries;
	uint64_t took_ms;
};

/** hf_more_settings() - text that fleets started from now on append to the
 * settings of each entry and agent, borrowed */
void hf_more_settings(const char *text);

/**
 * hf_new() - start a fleet and wait until each entry has all workers
 * @h: harness, borrowed
 * @entries: number of entries, in zones "z0", "z1", ...
 * @workers: number of workers, assigned to these zones in turn
 */
struct hf *hf_new(struct hn *h, unsigned entries, unsigned workers);

/** hf_new_relayed() - like hf_new(), with a relay in front of each entry's RPC
 * address, each endpoint and the store */
struct hf *hf_new_relayed(struct hn *h, unsigned entries, unsigned workers);

/** hf_new_separable() - like hf_new(), with relays by which the first entry can
 * be cut off, see hf_cut_first_entry() */
struct hf *hf_new_separable(struct hn *h, unsigned entries, unsigned workers);

/** hf_cut_first_entry() - cut the first entry off from the store, the other
 * entries and the agents of other zones, or end that. It still reaches the
 * agents of its own zone, which reach the other entries */
void hf_cut_first_entry(struct hf *f, bool cut);

/** enum hf_relay_target - what a relay is in front of */
enum hf_relay_target {
	HF_ENTRY,
	HF_ENDPOINT,
	HF_STORE,
};

/** hf_control_relay() - control a relay of hf_new_relayed() */
void hf_control_relay(
    struct hf *f, enum hf_relay_target target, unsigned i, const char *control);

/** struct hf_test - state of a test with a fleet of its own */
struct hf_test {
	struct hn *hn;
	struct hf *fleet;
};

/** hf_test_set_up() - start a fleet as by hf_new() for a test */
int hf_test_set_up(void **state, unsigned entries, unsigned workers);

/** hf_test_tear_down() - end the fleet of a test */
int hf_test_tear_down(void **state);

/** hf_free() - stop the load; consumed. The processes run until hn_free() */
void hf_free(struct hf *f);

/** hf_set_queues() - write a configuration of @added queues "/added0/",
 * "/added1/", ... and then the queue of the load to the store, as the operator
 * does */
void hf_set_queues(struct hf *f, unsigned version, unsigned added);

/** hf_set_times() - write a configuration with another timeout of the queue,
 * which limits the deadline of its jobs, and another target */
void hf_set_times(
    struct hf *f, unsigned version, unsigned timeout_ms, unsigned target_ms);

/** hf_evacuate() - take an availability zone out, or bring it back, as the
 * operator does */
void hf_evacuate(struct hf *f, const char *az, bool out);

/** hf_submit() - send one job and wait. Return: HTTP status, 0 without a
 * response */
int hf_submit(struct hf *f, unsigned entry, const char *id, const char *spec,
    unsigned tasks, unsigned size_ms, json_t **answer);

/** hf_send_job() - send one job and do not wait for its answer. Return: socket
 * of the connection, owned */
int hf_send_job(struct hf *f, unsigned entry, const char *id, const char *spec,
    unsigned tasks, unsigned size_ms);

/** hf_start_load() - send jobs at a rate in the background, until
 * hf_stop_load()
 */
void hf_start_load(struct hf *f, unsigned per_s);

/**
 * hf_stop_load() - end the load and wait for its answers
 * @n: set to the number of jobs
 *
 * Return: jobs, borrowed for the life of @f.
 */
const struct hf_job *hf_stop_load(struct hf *f, unsigned *n);

/** hf_entry() - process of an entry */
struct hn_proc *hf_entry(struct hf *f, unsigned i);

/** hf_agent() - process of an agent */
struct hn_proc *hf_agent(struct hf *f, unsigned i);

/** hf_minion() - process of an endpoint */
struct hn_proc *hf_minion(struct hf *f, unsigned i);

/** hf_restart_entry() - end an entry with a signal and start it again */
void hf_restart_entry(struct hf *f, unsigned i, int sig);

/** hf_restart_agent() - end an agent with a signal and start it again */
void hf_restart_agent(struct hf *f, unsigned i, int sig);

/** hf_restart_minion() - kill an endpoint and start it again */
void hf_restart_minion(struct hf *f, unsigned i);

/** hf_replace_minion() - start a process that takes the port and the name of an
 * endpoint, which finishes its runs. @deregisters: the endpoint does so first
 */
void hf_replace_minion(struct hf *f, unsigned i, bool deregisters);

/** hf_set_label() - label of the kind of an endpoint from its next start on */
void hf_set_label(struct hf *f, unsigned i, const char *label);

/** hf_require_label() - label that the tasks of all further jobs require */
void hf_require_label(struct hf *f, const char *label);

/** hf_start_minion() - start an endpoint that has left */
void hf_start_minion(struct hf *f, unsigned i);

/** hf_heartbeats_port() - port of an agent for heartbeats of its endpoint */
unsigned hf_heartbeats_port(const struct hf *f, unsigned i);

/** hf_running() - number of runs at an endpoint */
unsigned hf_running(const struct hf *f, unsigned i);

/** hf_clients_port() - port of an entry for clients */
unsigned hf_clients_port(const struct hf *f, unsigned i);

/** enum hf_listener - listeners without a function of their own */
enum hf_listener {
	HF_PROBES,
	HF_RPC,
	HF_METRICS,
	HF_AGENT_METRICS,
};

/** hf_port() - port of a listener of an entry, or of an agent */
unsigned hf_port(const struct hf *f, enum hf_listener listener, unsigned i);

/** hf_store() - process of the fake store */
struct hn_proc *hf_store(struct hf *f);

/** hf_store_port() - port of the fake store */
unsigned hf_store_port(const struct hf *f);

/** hf_minion_port() - port of an endpoint */
unsigned hf_minion_port(const struct hf *f, unsigned i);

/** hf_is_ready() - whether an entry answers the readiness probe with 200 */
bool hf_is_ready(struct hf *f, unsigned i);

/** struct hf_runs - counts of runs at the endpoints */
struct hf_runs {
	unsigned starts;
	unsigned concurrent;      /* starts of a task that already ran */
	unsigned refused_started; /* starts of tasks of refused jobs */
	unsigned expired; /* runs that were stopped as their lease ended */
};

/**
 * hf_check_runs() - count the runs in the log of the endpoints; violations
 *     are printed
 * @jobs: from hf_stop_load()
 */
struct hf_runs hf_check_runs(
    struct hf *f, const struct hf_job *jobs, unsigned njobs);

/** hf_starts_in_zone() - number of starts in an availability zone after a
 * time, wall clock in ms */
unsigned hf_starts_in_zone(struct hf *f, const char *az, uint64_t after_ms);

/** hf_starts_at() - the same for one endpoint */
unsigned hf_starts_at(struct hf *f, unsigned i, uint64_t after_ms);

#endif
