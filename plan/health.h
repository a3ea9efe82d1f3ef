#ifndef HEALTH_H
#define HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include "pd.h"

/**
 * DOC: he - health of an endpoint: outlier ejection by consecutive failures
 */

/** HE_EJECT_FAILURES - failures in a row after which an endpoint is ejected */
#define HE_EJECT_FAILURES 3
/** HE_PROBE_FIRST_MS - wait before the first probe */
#define HE_PROBE_FIRST_MS 1000
/** HE_PROBE_MAX_MS - longest wait between probes */
#define HE_PROBE_MAX_MS 30000

/** struct he - health of an endpoint, healthy if zeroed; fields are private */
struct he {
	enum pd_health state;
	unsigned failures;  /* in a row */
	uint64_t first_sub; /* hash of the submission that failed first */
	bool multiple_subs; /* not all due to one submission */
	bool probing;       /* a probe is queued or runs */
	uint64_t interval_ms;
	uint64_t next_probe_ms;
};

/** he_success() - record the success of a task; the endpoint is healthy */
void he_success(struct he *h);

/**
 * he_failure() - record a failure that counts against the endpoint
 * @sub: hash of the submission
 * @task_independent: the task cannot be the cause; the failure counts like
 *     failures of two submissions
 * @now_ms: monotonic ms
 *
 * Return: whether this failure ejected the endpoint.
 */
bool he_failure(
    struct he *h, uint64_t sub, bool task_independent, uint64_t now_ms);

/**
 * he_admit() - whether a grant is admitted now
 *
 * At an ejected endpoint an admitted grant is the probe.
 */
bool he_admit(struct he *h, uint64_t now_ms);

/**
 * he_probe_end() - the admitted probe ended without success
 * @failed: the endpoint failed; the interval until the next probe doubles
 * @ran: false if the probe was never started; another is admitted at once
 */
void he_probe_end(struct he *h, bool failed, bool ran, uint64_t now_ms);

/** he_max_running() - number of tasks that may run at a time */
unsigned he_max_running(const struct he *h, unsigned slots);

#endif
