#ifndef HISTOGRAM_H
#define HISTOGRAM_H

#include <stdint.h>

/**
 * DOC: hg - latency histograms in the Prometheus text format
 *
 * The values are the counters NAME_bucket, NAME_sum and NAME_count of a
 * registry, and ct_render() includes them.
 */
struct hg;
struct ct;

/**
 * hg_new() - histogram of milliseconds
 * @counters: registry that holds the values, borrowed
 * @name: metric name ending in "_ms"
 * @help: one line of text
 *
 * Return: owned handle.
 */
struct hg *hg_new(struct ct *counters, const char *name, const char *help);

/** hg_free() - free a histogram; @h is consumed, NULL is allowed. The values
 * stay in the registry */
void hg_free(struct hg *h);

/** hg_observe() - record one value */
void hg_observe(struct hg *h, uint64_t ms);

#endif
