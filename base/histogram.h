#ifndef HISTOGRAM_H
#define HISTOGRAM_H

#include <stdint.h>

/**
 * DOC: hg - latency histograms in the Prometheus text form
 *
 * Kept as counters NAME_bucket, NAME_sum and NAME_count of a registry, so that
 * they are rendered with it.
 */
struct hg;
struct ct;

/**
 * hg_new() - histogram of milliseconds
 * @counters: registry, borrowed; keeps the values
 * @name: metric name ending in "_ms"
 * @help: one line of text
 *
 * Return: owned handle.
 */
struct hg *hg_new(struct ct *counters, const char *name, const char *help);

/** hg_free() - consumed, NULL is allowed; the values stay in the registry */
void hg_free(struct hg *h);

/** hg_observe() - count one value */
void hg_observe(struct hg *h, uint64_t ms);

#endif
