/*
 * Messages between the processes of pimentodock. Members whose names end in _ms
 * are in milliseconds. `make generate` runs rpcgen on this file; its output,
 * pd.h and pd_xdr.c, is committed.
 */
const PD_NAME_MAX = 64;
const PD_ID_MAX = 128;
const PD_BODY_MAX = 65536;
const PD_TASKS_MAX = 540;
const PD_BATCH_MAX = 1024;
const PD_PARTITIONS = 64;
const PD_CHANGE_MAX = 1048576;
const PD_TEXT_MAX = 1024;
const PD_MEMBERS_MAX = 64;

/* Identity of a submission: the id and the time of its creation, both given by
 * the client. */
struct pd_id {
	string id<PD_ID_MAX>;
	unsigned hyper created_ms;
};

/* Key of one attempt to run a task. A task gets a new attempt after a grant was
 * returned, and for each start of an idempotent request. */
struct pd_key {
	pd_id sub;
	unsigned int task;
	unsigned int attempt;
};

struct pd_hello {
	string cell<PD_NAME_MAX>;
	string name<PD_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper started_ms;	/* wall clock at process start */
	string az<PD_NAME_MAX>;
	string service<PD_NAME_MAX>;
	string worker<PD_NAME_MAX>;
	unsigned int slots;
	unsigned int queue_max;
};

struct pd_hello_reply {
	string entry<PD_NAME_MAX>;
	unsigned hyper incarnation;
};

enum pd_health { PD_HEALTHY = 0, PD_SUSPECT = 1, PD_EJECTED = 2 };

struct pd_heartbeat {
	unsigned hyper clock_ms;	/* monotonic clock of the agent */
	unsigned int running;
	unsigned int queued;
	pd_health health;
	bool draining;
};

struct pd_permit {
	bool granted;			/* false if the entry is unverified */
	unsigned hyper clock_ms;	/* copied from the heartbeat */
	unsigned hyper revision;
	unsigned hyper view;
	bool in_service;		/* zone is in, endpoint not retired */
};

struct pd_grant {
	pd_key key;
	unsigned hyper view;		/* view in which the sender owns it */
	unsigned hyper incarnation;	/* of the agent that it is for */
	unsigned int ntasks;
	unsigned int size_ms;		/* declared run time */
	unsigned int timeout_ms;	/* time left until the deadline */
	bool idempotent;
	string team<PD_NAME_MAX>;
	opaque body<PD_BODY_MAX>;
};

struct pd_grants {
	pd_grant list<PD_BATCH_MAX>;
};

enum pd_task_state {
	PD_NOT_STARTED = 0,	/* and will never start with this key */
	PD_QUEUED = 1,
	PD_RUNNING = 2,
	PD_DONE = 3,
	PD_FAILED = 4,
	PD_OUTCOME_UNKNOWN = 5	/* sent to the endpoint, no response */
};

enum pd_reason {
	PD_R_NONE = 0,
	PD_R_STALE_VIEW = 1,
	PD_R_WRONG_INCARNATION = 2,
	PD_R_NO_PERMIT = 3,
	PD_R_OUT_OF_SERVICE = 4,
	PD_R_QUEUE_FULL = 5,
	PD_R_EJECTED = 6,
	PD_R_DRAINING = 7,
	PD_R_DEADLINE = 8,
	PD_R_DUPLICATE = 9,
	PD_R_VOIDED = 10,
	PD_R_CANCELLED = 11,
	PD_R_ENDPOINT_ERROR = 12,
	PD_R_ENDPOINT_TIMEOUT = 13,
	PD_R_ENDPOINT_REFUSED = 14,	/* connection refused: not started */
	PD_R_FORGOTTEN = 15		/* may have started; record dropped */
};

/* State of one task at an agent. */
struct pd_record {
	pd_key key;
	pd_task_state state;
	pd_reason reason;
	unsigned int ntasks;
	unsigned int queue_ms;		/* time in the agent's queue */
	unsigned int run_ms;
	unsigned hyper revision;	/* of the configuration at its start */
	opaque body<PD_BODY_MAX>;
};

struct pd_report {
	unsigned int running;
	unsigned int queued;
	pd_record list<PD_BATCH_MAX>;
};

struct pd_resolve {
	pd_key list<PD_BATCH_MAX>;
};

struct pd_resolve_reply {
	pd_record list<PD_BATCH_MAX>;
};

struct pd_cancel {
	pd_key list<PD_BATCH_MAX>;
};

struct pd_fence {
	unsigned hyper view;
	unsigned hyper partitions;	/* bit i: partition i */
	unsigned hyper cursor;		/* 0, then `next` of the last reply */
};

struct pd_fence_reply {
	unsigned hyper incarnation;
	unsigned hyper started_ms;
	bool refused;			/* the agent has seen a newer view */
	unsigned hyper next;		/* cursor of the next page, 0: none */
	pd_record list<PD_BATCH_MAX>;
};

struct pd_status {
	string cell<PD_NAME_MAX>;
	string name<PD_NAME_MAX>;
	unsigned hyper incarnation;
	string address<PD_NAME_MAX>;
	unsigned hyper revision;
	unsigned hyper view;
	/* Incarnations of the entries that this one has not heard from for the
	 * failure-detection time, and of its own predecessors. */
	unsigned hyper missing<PD_MEMBERS_MAX>;
	unsigned int agents;	/* number of sessions with agents */
};

struct pd_change {
	unsigned hyper revision;
	opaque json<PD_CHANGE_MAX>;
};

struct pd_changes {
	pd_change list<PD_BATCH_MAX>;
};

struct pd_changes_from {
	unsigned hyper after;
};

struct pd_held {
	unsigned hyper revision;
	unsigned hyper incarnation;
};

struct pd_task {
	unsigned int size_ms;
	opaque body<PD_BODY_MAX>;
};

enum pd_kind { PD_SUBMISSION = 0, PD_REQUEST = 1 };

struct pd_submit {
	pd_id sub;
	pd_kind kind;
	bool idempotent;
	string team<PD_NAME_MAX>;
	string service<PD_NAME_MAX>;
	string az<PD_NAME_MAX>;		/* "" for any */
	unsigned int left_ms;		/* time left until the deadline */
	pd_task tasks<PD_TASKS_MAX>;
};

enum pd_status_code {
	PD_COMPLETE = 0,
	PD_JOB_FAILED = 1,
	PD_REFUSED = 2,
	PD_UNKNOWN = 3,
	PD_PENDING = 4,		/* accepted, no answer yet */
	PD_NOT_FOUND = 5,
	PD_NOT_OWNER = 6	/* only between entries: check the view */
};

struct pd_result {
	opaque body<PD_BODY_MAX>;
};

struct pd_answer {
	pd_id sub;
	pd_status_code status;
	string reason<PD_NAME_MAX>;	/* code of the reason, "" if complete */
	string detail<PD_TEXT_MAX>;
	bool not_run;			/* it is certain that no task started */
	pd_result results<PD_TASKS_MAX>;
};

struct pd_lookup {
	pd_id sub;
	bool cancel;
	unsigned int wait_ms;		/* PD_PENDING if no answer by then */
};

/*
 * Transient jobs are kept in memory only, by the entry that accepted them.
 * created_ms of their keys is the number that the entry gave to the job.
 */
const PD_ENTRIES_MAX = 512;
const PD_LABELS_MAX = 16;
const PD_QUEUES_MAX = 16384;	/* a process of 128 MB can read them */
const PD_AZS_MAX = 64;

typedef string pd_name<PD_NAME_MAX>;

const PD_LEVELS = 4;	/* priority levels; the last has all lower ones */

/* What an agent has learned from the runs at its endpoint, for all entries. */
struct pd_speed {
	unsigned int samples;		/* run times learned; 0: none yet */
	unsigned int ratio_permille;	/* actual / expected run time */
	unsigned int mean_ms;		/* mean run time */
	bool ejected;			/* takes probes only */
	/* The logarithm of actual / expected run time, in thousandths. */
	int log_mean_permille;
	unsigned int log_var_permille;	/* variance between runs */
	unsigned int log_samples;	/* effective number; 0: none yet */
	bool hanging;			/* no run has ended for too long */
};

/* State of the availability zone of an endpoint. */
enum pd_zone_state {
	PD_ZONE_IN = 0,
	PD_ZONE_LEAVING = 1,	/* evacuated: takes what fits nowhere else */
	PD_ZONE_OUT = 2		/* evacuated: nothing starts */
};

struct pd_load {
	unsigned int cpu_used;
	unsigned int cpu_queued[PD_LEVELS];	/* by level, 0 is most urgent */
	bool accepting;
	pd_zone_state zone;	/* of the endpoint, as the agent has heard */
	pd_speed speed;
};

/* What an entry knows of the availability zones that are out. */
struct pd_zones_known {
	unsigned hyper revision;	/* of the store, up to which; 0: nothing */
	unsigned int age_ms;		/* since the store confirmed it */
};

const PD_AGE_UNKNOWN = 4294967295;

/* Sent when a connection opens and repeated as a heartbeat. */
struct pd_attach {
	string cell<PD_NAME_MAX>;
	string name<PD_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper started_ms;	/* wall clock at process start */
	string az<PD_NAME_MAX>;
	string service<PD_NAME_MAX>;
	pd_name labels<PD_LABELS_MAX>;
	unsigned int cpu;		/* thousandths of a core; 0 if unknown */
	unsigned int mem_mb;
	unsigned hyper endpoint;	/* identifies its process and all that is
					 * said of it here; 0: unknown */
	pd_load load;
	unsigned hyper clock_ms;	/* clock of the agent */
	unsigned int entries_hash;	/* of the list received last; 0: none */
};

struct pd_attached {
	string entry<PD_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper clock_ms;	/* copied from pd_attach */
	pd_name entries<PD_ENTRIES_MAX>; /* empty if the hash is equal */
	unsigned int service_workers;	/* known workers of the same service */
	unsigned int label_workers;	/* known workers with its rarest label */
	pd_zones_known zones;
};

/* Heartbeat of an agent that has said nothing new of itself and its endpoint
 * since its last PD_ATTACH that was answered on the connection. */
struct pd_renew {
	unsigned hyper endpoint;	/* as in that PD_ATTACH */
	pd_load load;
	unsigned hyper clock_ms;	/* clock of the agent */
	unsigned int entries_hash;	/* of the list received last */
};

struct pd_renewed {
	unsigned hyper clock_ms;	/* copied from pd_renew */
	bool attach;			/* send a PD_ATTACH now */
	pd_zones_known zones;
};

struct pd_start {
	pd_key key;
	unsigned int step;
	unsigned int index;		/* within the step */
	unsigned int cpu;
	unsigned int mem_mb;
	unsigned int priority;		/* 0 is most urgent */
	unsigned int size_ms;		/* expected run time on a worker of ratio 1 */
	unsigned int limit_ms;		/* the run is stopped after it; 0: none */
	unsigned int queue_max;		/* most cpu queued ahead, its own included */
	unsigned hyper start_by_ms;	/* agent's clock: latest start in time */
	unsigned hyper expires_ms;	/* agent's clock: ended at this time */
	unsigned hyper endpoint;	/* that it is for, as in pd_attach */
	opaque body<PD_BODY_MAX>;
};

enum pd_end_state {
	PD_END_DONE = 0,
	PD_END_FAILED = 1,
	PD_END_STOPPED = 2,	/* started and was stopped by the agent */
	PD_END_LOST = 3,	/* no longer runs and has no result */
	PD_END_RETURNED = 4,	/* not started and will never start */
	PD_END_ACTIVE = 5	/* only in replies to PD_RECONCILE */
};

struct pd_end {
	pd_key key;
	pd_end_state state;
	unsigned int queue_ms;
	unsigned int run_ms;
};

struct pd_ended {
	pd_load load;
	pd_end list<PD_BATCH_MAX>;
};

/* Configuration of the transient jobs. */
struct pd_queue {
	string name<PD_TEXT_MAX>;
	string host<PD_TEXT_MAX>;
	string prefix<PD_TEXT_MAX>;
	string service<PD_NAME_MAX>;
	unsigned int timeout_ms;
	unsigned int target_ms;
	unsigned int priority;
	unsigned int attempts;
	unsigned int stretch_permille;
};

/* A part whose revision is 0 is not known, or not included. */
struct pd_config {
	unsigned hyper revision;	/* of the store, for queues and sizes */
	unsigned int header_bytes;
	unsigned int body_bytes;
	pd_queue queues<PD_QUEUES_MAX>;
	unsigned hyper zones_revision;	/* of the store, for evacuated */
	pd_name evacuated<PD_AZS_MAX>;
};

/* Availability zones that are out, sent to an agent when it connects and when
 * they change. */
struct pd_zones {
	unsigned hyper revision;	/* of the store, for evacuated */
	pd_name evacuated<PD_AZS_MAX>;
};

struct pd_waiting {
	string queue<PD_TEXT_MAX>;
	unsigned int jobs;
};

const PD_RUN_BINS_MAX = 160;
const PD_RUN_TIMES_MAX = 16;

/* Run times of a queue, from the samples of the sender only; see struct
 * rt_summary. Bins that are left out on both sides are empty. */
struct pd_run_times {
	string queue<PD_TEXT_MAX>;
	unsigned int samples;
	unsigned int error_samples;
	int error_mean_permille;
	unsigned int error_sd_permille;
	unsigned int bins_total;	/* of the histogram of the sender */
	unsigned int bins_first;	/* index of the first one of bins */
	opaque bins<PD_RUN_BINS_MAX>;
};

struct pd_gossip {
	string cell<PD_NAME_MAX>;
	string name<PD_NAME_MAX>;
	unsigned hyper incarnation;
	string address<PD_NAME_MAX>;
	unsigned hyper revision;
	unsigned hyper zones_revision;
	bool wants_config;	/* send what is newer in the reply */
	pd_config *config;
	unsigned int entries_hash;	/* of the list of the sender */
	pd_name entries<PD_ENTRIES_MAX>; /* empty if the other end has the same */
	pd_waiting waiting<PD_QUEUES_MAX>;
	pd_run_times run_times<PD_RUN_TIMES_MAX>; /* empty if sent lately */
};

program PD_PROG {
	version PD_V1 {
		pd_hello_reply PD_HELLO(pd_hello) = 1;
		pd_permit PD_HEARTBEAT(pd_heartbeat) = 2;
		void PD_GRANT(pd_grants) = 3;
		void PD_REPORT(pd_report) = 4;
		pd_resolve_reply PD_RESOLVE(pd_resolve) = 5;
		pd_fence_reply PD_FENCE(pd_fence) = 6;
		void PD_CANCEL(pd_cancel) = 7;
		pd_status PD_STATUS(pd_status) = 8;
		pd_changes PD_CHANGES(pd_changes_from) = 9;
		pd_held PD_PUSH(pd_changes) = 10;
		pd_answer PD_FORWARD(pd_submit) = 11;
		pd_answer PD_LOOKUP(pd_lookup) = 12;
		pd_attached PD_ATTACH(pd_attach) = 13;
		void PD_START(pd_start) = 14;
		void PD_ENDED(pd_ended) = 15;
		void PD_WITHDRAW(pd_cancel) = 16;
		pd_ended PD_RECONCILE(pd_cancel) = 17;
		pd_gossip PD_GOSSIP(pd_gossip) = 18;
		bool PD_ABANDON(pd_id) = 19;
		bool PD_CLAIM(pd_id) = 20;
		void PD_TAKE_BACK(pd_cancel) = 21;
		pd_renewed PD_RENEW(pd_renew) = 22;
		void PD_ZONES(pd_zones) = 23;
	} = 1;
} = 0x20504431;
