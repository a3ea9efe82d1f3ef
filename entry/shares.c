#include <glib.h>

#include "shares.h"

/* Least time between two lists to the same entry. */
#define INTERVAL_MS 2000
/* Three quarters of the 2 KB/s that the control of a node may send. */
#define BYTES_PER_MS 1.5

void
sh_fill(size_t *list_bytes, unsigned entries, uint64_t now_ms,
    uint64_t *sent_ms, struct pd_gossip *m, sh_fill_fn fill, void *arg)
{
	double round_ms = (double)entries * (double)*list_bytes / BYTES_PER_MS;
	struct pd_run_times *list;
	unsigned n, i;

	if (fill == NULL ||
	    (*sent_ms != 0 &&
		(double)(now_ms - *sent_ms) < MAX(INTERVAL_MS, round_ms)))
		return;
	list = g_new0(struct pd_run_times, PD_RUN_TIMES_MAX);
	n = fill(arg, list, PD_RUN_TIMES_MAX);
	m->run_times.run_times_val = list;
	m->run_times.run_times_len = n;
	if (n == 0)
		return;
	*sent_ms = now_ms;
	*list_bytes = 0;
	for (i = 0; i < n; i++)
		*list_bytes +=
		    xdr_sizeof((xdrproc_t)xdr_pd_run_times, &list[i]);
}

void
sh_release(struct pd_gossip *m)
{
	unsigned i;

	for (i = 0; i < m->run_times.run_times_len; i++) {
		g_free(m->run_times.run_times_val[i].queue);
		g_free(m->run_times.run_times_val[i].bins.bins_val);
	}
	g_free(m->run_times.run_times_val);
}
