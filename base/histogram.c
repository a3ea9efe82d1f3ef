#include <glib.h>
#include <stdio.h>

#include "counters.h"
#include "histogram.h"

/* From the round trip between hosts to the longest deadline, each bound about
 * twice the one before. */
static const unsigned bounds_ms[] = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000};
#define NBOUNDS G_N_ELEMENTS(bounds_ms)

struct hg {
	struct ct_metric *buckets[NBOUNDS + 1]; /* the last one is +Inf */
	struct ct_metric *sum;
	struct ct_metric *count;
};

struct hg *
hg_new(struct ct *counters, const char *name, const char *help)
{
	struct hg *h = g_new0(struct hg, 1);
	char metric[128], label[32];
	size_t i;

	snprintf(metric, sizeof(metric), "%s_bucket", name);
	for (i = 0; i < NBOUNDS; i++) {
		snprintf(label, sizeof(label), "le=\"%u\"", bounds_ms[i]);
		h->buckets[i] =
		    ct_get(counters, CT_COUNTER, metric, help, label);
	}
	h->buckets[NBOUNDS] =
	    ct_get(counters, CT_COUNTER, metric, help, "le=\"+Inf\"");
	snprintf(metric, sizeof(metric), "%s_sum", name);
	h->sum = ct_get(counters, CT_COUNTER, metric, help, "");
	snprintf(metric, sizeof(metric), "%s_count", name);
	h->count = ct_get(counters, CT_COUNTER, metric, help, "");
	return (h);
}

void
hg_free(struct hg *h)
{
	g_free(h);
}

void
hg_observe(struct hg *h, uint64_t ms)
{
	size_t i;

	/* Buckets are cumulative: each counts all values up to its bound. */
	for (i = 0; i < NBOUNDS; i++)
		if (ms <= bounds_ms[i])
			ct_add(h->buckets[i], 1);
	ct_add(h->buckets[NBOUNDS], 1);
	ct_add(h->sum, (int64_t)ms);
	ct_add(h->count, 1);
}
