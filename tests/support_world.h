#ifndef SUPPORT_WORLD_H
#define SUPPORT_WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "counters.h"
#include "dispatch.h"
#include "heap.h"
#include "rng.h"
#include "support_state.h"

/**
 * DOC: sw - simulated world of agents and network around dispatchers
 *
 * A discrete-event simulation on a manual clock. Agents follow the rules of
 * docs/design.md: a queue, slots, start records, voided keys. Every start is
 * counted, so that a test can compare answers with what ran. Faults are
 * injected with given probabilities from a seeded generator.
 */

/** SW_WALL_MS - wall clock at the start */
#define SW_WALL_MS 1767225600000ULL

#define SW_FAILS 1 /* the endpoint reports a failure */
#define SW_LOST 2  /* the endpoint gives no answer */

/** struct sw_body - body of a simulated task; its result is the same bytes */
struct sw_body {
	uint32_t job;
	uint32_t task;
	uint32_t work_us; /* run time at speed 1 */
	uint32_t flags;   /* SW_FAILS, SW_LOST; the other bits are free */
};

/** struct sw_faults - probability per event, 0 to 1 */
struct sw_faults {
	double report_duplicated; /* a second copy arrives up to 300 ms later */
	double report_delayed;    /* arrives up to 300 ms later */
	double report_stale;      /* old report again, per agent and 100 ms */
	double session_dropped;   /* per agent and 100 ms */
	double agent_restarted;   /* per agent and 100 ms */
	double grant_returned;    /* as "queue full", though there is room */
};

/** struct sw_settings - parameters of a simulation */
struct sw_settings {
	unsigned entries;
	unsigned endpoints;
	unsigned slots;
	unsigned queue_max;
	uint64_t delay_us; /* of the network, one way */
	const char *policy;
	uint64_t seed;
	double speed_min; /* speeds are spaced evenly on a logarithmic scale */
	double speed_max;
	struct sw_faults faults;
};

struct sw;

/** struct sw_ops - callbacks to the test or benchmark */
struct sw_ops {
	void (*answer)(void *arg, unsigned entry, uint64_t waiter,
	    const struct pd_answer *a);
	void (*wake)(void *arg, uint64_t argument); /* from sw_schedule() */
};

/** struct sw_counts - counts of events */
struct sw_counts {
	uint64_t grants;
	uint64_t reports;
	uint64_t other_messages; /* CANCEL, RESOLVE and replies to it */
	uint64_t starts;
	uint64_t duplicate_starts; /* of a key that had started before */
	double dp_cpu_s;           /* CPU time in dp_ functions, seconds */
};

/** sw_new() - simulation with all agents connected, owned */
struct sw *sw_new(
    const struct sw_settings *settings, const struct sw_ops *ops, void *arg);

/** sw_free() - free a simulation; consumed */
void sw_free(struct sw *w);

/** sw_now() - monotonic time, microseconds */
uint64_t sw_now(const struct sw *w);

/** sw_dp() - dispatcher of an entry, borrowed */
struct dp *sw_dp(const struct sw *w, unsigned entry);

/** sw_state() - cell state, borrowed; call sw_configure() after changes */
struct cs *sw_state(const struct sw *w);

/** sw_configure() - apply the cell state to all dispatchers */
void sw_configure(struct sw *w);

/**
 * sw_fill_submission() - fill in a submission of team "lids" to "order-desk"
 * @id: borrowed
 * @tasks: borrowed
 */
void sw_fill_submission(struct pd_submit *s, const char *id,
    const struct pd_task *tasks, unsigned ntasks, unsigned left_ms);

/** sw_submit() - submit to an entry; counts in dp_cpu_s */
void sw_submit(
    struct sw *w, unsigned entry, const struct pd_submit *s, uint64_t waiter);

/** sw_schedule() - call wake() with @argument at a time */
void sw_schedule(struct sw *w, uint64_t at_us, uint64_t argument);

/** sw_run() - simulate until a time */
void sw_run(struct sw *w, uint64_t until_us);

/** sw_scale_speed() - multiply the speed of an endpoint by @factor */
void sw_scale_speed(struct sw *w, unsigned endpoint, double factor);

/** sw_stop_faults() - inject no more faults */
void sw_stop_faults(struct sw *w);

/** sw_capacity() - sum of the speeds of all slots */
double sw_capacity(const struct sw *w);

/** sw_take_starts() - tasks started at an endpoint since the last call */
uint64_t sw_take_starts(struct sw *w, unsigned endpoint);

/** sw_start_count() - how often a task of a submission was started */
unsigned sw_start_count(const struct sw *w, const char *id, unsigned task);

/** sw_counts() - counts since the start */
struct sw_counts sw_counts(const struct sw *w);

#endif
