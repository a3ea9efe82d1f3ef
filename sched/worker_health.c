#include "worker_health.h"

/* Run times of shorter tasks consist mostly of message delays. After a task of
 * 1 ms took 10 ms, all others were expected to take ten times their declared
 * run time and were refused. */
#define LEARN_MIN_SIZE_MS 10

void
wh_learn_run_time(
    struct wh *h, uint64_t job, double size_ms, double run_ms, uint64_t now_us)
{
	if (size_ms < LEARN_MIN_SIZE_MS)
		return;
	po_learn_run_time(&h->speed, size_ms, run_ms, now_us);
	sp_learn(&h->log_speed, job, size_ms, run_ms, now_us);
}

bool
wh_task_done(
    struct wh *h, uint64_t job, double size_ms, double run_ms, uint64_t now_us)
{
	bool was_ejected = h->ejected;

	wh_learn_run_time(h, job, size_ms, run_ms, now_us);
	h->failures = 0;
	h->ejected = false;
	return (was_ejected);
}

bool
wh_task_failed(struct wh *h, uint64_t job, uint64_t now_ms)
{
	if (h->ejected)
		wh_schedule_probe(h, now_ms);
	if (h->failures > 0 && h->failed_job == job)
		return (false);
	h->failures++;
	h->failed_job = job;
	if (h->failures < WH_EJECT_FAILURES || h->ejected)
		return (false);
	h->ejected = true;
	wh_schedule_probe(h, now_ms);
	return (true);
}
