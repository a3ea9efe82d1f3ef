#include "config.h"
#include "counters.h"
#include "dispatch_gauges.h"
#include "fleet.h"
#include "jobs.h"

#define PERMILLE 1000

void
dg_refresh(struct ct *counters, struct jb *jobs, const struct fl *fleet,
    const struct cf *config)
{
	ct_set(ct_get(counters, CT_GAUGE, "pd_jobs_active",
		   "Transient jobs without an answer", ""),
	    jb_active_count(jobs));
	ct_set(ct_get(counters, CT_GAUGE, "pd_contention_price",
		   "Cost per core-second below which jobs are refused, in "
		   "thousandths; 0 without contention",
		   ""),
	    (int64_t)(jb_contention_price(jobs) * PERMILLE));
	ct_set(ct_get(counters, CT_GAUGE, "pd_workers_usable",
		   "Workers that take work", ""),
	    fl_usable_count(fleet));
	ct_set(ct_get(counters, CT_GAUGE, "pd_config_revision",
		   "Configuration in force", ""),
	    (int64_t)cf_revision(config));
	ct_set(ct_get(counters, CT_GAUGE, "pd_zones_revision",
		   "Availability zones out in force", ""),
	    (int64_t)cf_zones_revision(config));
	ct_set(ct_get(counters, CT_GAUGE, "pd_config_queues",
		   "Queues of the configuration in force", ""),
	    cf_current(config)->queues.queues_len);
}
