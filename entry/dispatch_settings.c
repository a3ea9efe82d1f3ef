#include <glib.h>

#include "dispatch_settings.h"
#include "lease.h"
#include "pd.h"
#include "process.h"

/* Limit of clients.resubmit_ms. */
#define RESUBMIT_MAX_MS 600000
#define FIELD(field) offsetof(struct ds_settings, field)

static const struct st_key keys[] = {
    {"cell", ST_STRING, FIELD(cell), 1, PD_NAME_MAX, "default", NULL,
	"name of the cell, the same at all its entries and agents"},
    {"name", ST_STRING, FIELD(name), 1, PD_NAME_MAX, NULL, NULL,
	"name of this entry"},
    {"availability_zone", ST_STRING, FIELD(az), 1, PD_NAME_MAX, NULL, NULL,
	"availability zone of this host"},
    {"listen.clients", ST_STRING, FIELD(clients), 9, 21, NULL, NULL,
	"IP:port for clients"},
    {"listen.probes", ST_STRING, FIELD(probes), 9, 21, NULL, NULL,
	"IP:port for the balancer's probes"},
    {"listen.rpc", ST_STRING, FIELD(rpc), 9, 21, NULL, NULL,
	"IP:port for agents and other entries"},
    {"clients.resubmit_ms", ST_INTEGER, FIELD(resubmit_ms), LE_UNREACHABLE_MS,
	RESUBMIT_MAX_MS, "1300", NULL,
	"time after which clients submit a job again whose connection broke, "
	"milliseconds: no run of it may be left then"},
    {"listen.advertised", ST_STRING, FIELD(advertised), 0, 21, "", NULL,
	"IP:port by which agents and entries reach listen.rpc; empty for it"},
    {"listen.metrics", ST_STRING, FIELD(metrics), 0, 21, "", NULL,
	"IP:port of the metrics; empty for none"},
    {"entries.addresses", ST_STRINGS, FIELD(addresses), 0, PD_ENTRIES_MAX, "",
	NULL, "RPC addresses of other entries, IP:port"},
    {"entries.seeds", ST_STRINGS, FIELD(seeds), 0, PD_ENTRIES_MAX, "", NULL,
	"addresses of other entries; their RPC port is that of listen.rpc"},
    {"platform.store", ST_STRING, FIELD(store), 9, 21, NULL, NULL,
	"IP:port of the platform's store"},
    {"admission.run_times", ST_STRING, FIELD(run_times), 1, 16, "mean",
	"mean|distribution",
	"what jobs are admitted and given up by: the mean run time or the "
	"distribution of run times of their queue"},
    {"placing.speeds", ST_STRING, FIELD(speeds), 1, 16, "individual",
	"individual|pooled|auto",
	"speeds by which workers are chosen: of each alone, compared over all, "
	"or compared while they are found to be equal"},
    {"admission.contention", ST_STRING, FIELD(contention), 1, 16, "slack",
	"slack|value",
	"which jobs are refused while capacity is short: those that would wait "
	"too long, or those that cost callers least"},
    {"log.level", ST_STRING, FIELD(log_level), 1, 16, "info",
	"err|warning|notice|info|debug", "least severe level to log"},
    {"log.jobs", ST_STRING, FIELD(log_jobs), 1, 16, "sample", "sample|all",
	"which of the jobs that complete in time are logged with their events"},
    BD_SETTINGS(FIELD(limits)),
};

bool
ds_load(const char *path, struct ds_settings *s)
{
	return (
	    pr_load_settings("pimentodock", path, keys, G_N_ELEMENTS(keys), s));
}

void
ds_release(struct ds_settings *s)
{
	st_release(keys, G_N_ELEMENTS(keys), s);
}
