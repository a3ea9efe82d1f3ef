#ifndef HARNESS_FLEET_IMPL_H
#define HARNESS_FLEET_IMPL_H

#include "harness_fleet.h"

/**
 * DOC: hf - internals of the harness of a fleet: harness_fleet.c starts and
 * drives its processes, harness_fleet_net.c has the relays between them
 */

/** HF_JOBS_MAX - maximum of jobs of the background load */
#define HF_JOBS_MAX 20000

/**
 * enum hf_net - relays between the processes
 * @HF_NET_DIRECT: none
 * @HF_NET_RELAYED: in front of each entry's RPC address, each endpoint and the
 *     store
 * @HF_NET_SEPARABLE: where hf_cut_first_entry() cuts
 */
enum hf_net {
	HF_NET_DIRECT = 0,
	HF_NET_RELAYED,
	HF_NET_SEPARABLE,
};

struct worker {
	struct hn_proc *agent;
	struct hn_proc *minion;
	unsigned heartbeats_port;
	unsigned orders_port;
	unsigned metrics_port;
	unsigned relay_port; /* orders_port when there is no relay */
	unsigned relay_control_port;
	const char *label; /* of its kind, NULL for "a" */
	char az[8];
};

struct entry {
	struct hn_proc *proc;
	unsigned clients_port;
	unsigned probes_port;
	unsigned rpc_port;
	unsigned metrics_port;
	unsigned relay_port; /* rpc_port when there is no relay */
	unsigned relay_control_port;
};

struct hf {
	struct hn *hn;
	struct hn_proc *store;
	unsigned store_port;
	unsigned store_relay_port; /* store_port when there is no relay */
	unsigned store_relay_control_port;
	enum hf_net net;
	unsigned timeout_ms;        /* of the queues */
	unsigned target_ms;         /* likewise */
	const char *required_label; /* of jobs, "" for none */
	unsigned nentries;
	unsigned nworkers;
	unsigned next_suffix; /* makes names of logs and ids of jobs unique */
	struct entry entries[HF_NODES_MAX];
	struct worker workers[HF_NODES_MAX];
	char *log; /* path of the log that all endpoints write */
	GThreadPool *senders;
	GThread *loader;
	unsigned per_s;
	gint load_stopped;
	gint njobs;
	struct hf_job jobs[HF_JOBS_MAX];
	GMutex lock;
};

/** hf_entries_for_entries() - addresses of the entries as members of a TOML
 * list, as entries reach each other; owned */
char *hf_entries_for_entries(const struct hf *f);

/** hf_entries_for_agent() - the same as an agent reaches them; owned */
char *hf_entries_for_agent(const struct hf *f, unsigned agent);

/** hf_store_port_for() - port at which an entry reaches the store */
unsigned hf_store_port_for(const struct hf *f, unsigned entry);

/** hf_start_store_relay() - start the relay in front of the store, if there is
 * one */
void hf_start_store_relay(struct hf *f);

/** hf_start_entry_relay() - the same for the RPC address of an entry */
void hf_start_entry_relay(struct hf *f, unsigned i);

/** hf_start_endpoint_relay() - the same for an endpoint */
void hf_start_endpoint_relay(struct hf *f, unsigned i);

#endif
