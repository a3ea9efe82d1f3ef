#ifndef CONTENTION_H
#define CONTENTION_H

#include <stdbool.h>
#include <stdint.h>

#include "pd.h"

/**
 * DOC: cc - admission of jobs while the capacity of a service is short
 *
 * Handles demand above capacity, in waves and after outages. A job has a cost
 * of being turned away, which is the weight of its priority level times its
 * chance to end in time, and a need of capacity. While capacity is short, the
 * jobs with the lowest cost per need are turned away, with floors for each
 * queue and each size class of a queue. See docs/design/contention.md.
 *
 * Services do not affect each other. Memory is bounded: CC_SERVICES_MAX
 * services and CC_QUEUES_MAX queues; what exceeds them shares one entry.
 */
struct cc;
struct ck;

/** CC_SERVICES_MAX - services with a state of their own */
#define CC_SERVICES_MAX 64
/** CC_QUEUES_MAX - queues with a state of their own */
#define CC_QUEUES_MAX 256

/**
 * struct cc_fleet - state of the workers of a service
 * @capacity: CPU of the usable workers, thousandths of a core
 * @free: CPU on which another task would start at once, thousandths of a core
 * @waiting: CPU of the tasks that wait at the workers, by priority level,
 *     thousandths of a core
 * @run_ms: mean run time of these tasks, by priority level
 * @unseen: CPU of granted tasks that will wait and are not reported yet,
 *     thousandths of a core
 * @mean_ms: mean run time of all tasks
 * @slack_ms: time that jobs of the most urgent active queue can wait and still
 *     be in time
 */
struct cc_fleet {
	double capacity;
	double free;
	double waiting[PD_LEVELS];
	double run_ms[PD_LEVELS];
	double unseen;
	double mean_ms;
	double slack_ms;
};

/**
 * struct cc_job - a job to decide on
 * @id: chosen by the client; spreads retries
 * @level: priority level, see lv_of()
 * @chance: probability of ending in time, 0 to 1
 * @need: core-milliseconds that it is expected to take
 * @declared: the same by its declared run times; determines its size class
 * @slack_ms: time that it can still wait and be in time; 0 or less: none
 */
struct cc_job {
	const char *id;
	const char *service;
	const char *queue;
	unsigned level;
	double chance;
	double need;
	double declared;
	double slack_ms;
};

/**
 * enum cc_decision - what to do with a job
 * @CC_ADMIT: no contention, or its cost per need is not below the price
 * @CC_FLOOR: admitted below the price, since its queue or size class would get
 *     less than its floor
 * @CC_WAIT: below the price, which is expected to fall below its cost per need
 *     while it can still wait; decide again later
 * @CC_REFUSE: below the price
 */
enum cc_decision {
	CC_ADMIT = 0,
	CC_FLOOR,
	CC_WAIT,
	CC_REFUSE,
};

/**
 * struct cc_verdict - decision on a job with its reasons
 * @price: lowest cost per core-second of need that is admitted; 0 without
 *     contention
 * @cost: cost of turning the job away
 * @need: core-milliseconds
 * @retry_ms: time after which to submit a refused job again
 */
struct cc_verdict {
	enum cc_decision decision;
	double price;
	double cost;
	double need;
	unsigned retry_ms;
};

/** cc_new() - create a module without services. @clock: borrowed */
struct cc *cc_new(const struct ck *clock);

/** cc_free() - consumed, NULL is allowed */
void cc_free(struct cc *c);

/** cc_observe() - record the state of the workers of a service; call at least
 * once before jobs of it are decided on */
void cc_observe(struct cc *c, const char *service, const struct cc_fleet *f);

/** cc_is_stale() - whether the last state of a service is older than @age_ms at
 * @now_ms, or there is none */
bool cc_is_stale(
    const struct cc *c, const char *service, uint64_t now_ms, unsigned age_ms);

/** cc_is_contended() - whether the capacity of a service is short */
bool cc_is_contended(const struct cc *c, const char *service);

/** cc_arrived() - record the arrival of a job, once */
void cc_arrived(struct cc *c, const struct cc_job *job);

/** cc_decide() - decide on a job that has arrived; changes no state */
struct cc_verdict cc_decide(const struct cc *c, const struct cc_job *job);

/** cc_settled() - record whether a job that has arrived was admitted or turned
 * away, for whatever reason; once */
void cc_settled(struct cc *c, const struct cc_job *job, bool admitted);

/** cc_price() - highest price of all services, per core-second */
double cc_price(const struct cc *c);

/** cc_value() - cost per core-second of need, the order in which jobs are
 * admitted */
double cc_value(const struct cc_job *job);

/** cc_decision_name() - name in logs and metrics, never NULL */
const char *cc_decision_name(enum cc_decision d);

#endif
