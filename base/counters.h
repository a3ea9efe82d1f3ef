#ifndef COUNTERS_H
#define COUNTERS_H

#include <stdint.h>

/**
 * DOC: ct - counters and gauges in the Prometheus text format
 *
 * All functions but ct_new() and ct_free() may be called from any thread. Only
 * ct_get(), ct_increment() and ct_render() take a lock.
 */
struct ct;
struct ct_metric;

enum ct_kind {
	CT_COUNTER,
	CT_GAUGE,
};

/** ct_new() - empty registry; owned by the caller, NULL when out of memory */
struct ct *ct_new(void);

/** ct_free() - free a registry and its metrics; consumed, NULL is allowed */
void ct_free(struct ct *c);

/**
 * ct_get() - find or create a metric
 * @c: registry
 * @kind: counter or gauge
 * @name: metric name, such as "pd_refusals_total"
 * @help: one line of text; used when the metric is created
 * @labels: pairs of label and value such as `reason="overload"`, or "" for none
 *
 * Return: metric borrowed from the registry. Aborts when out of memory.
 */
struct ct_metric *ct_get(struct ct *c, enum ct_kind kind, const char *name,
    const char *help, const char *labels);

/** ct_add() - add to a metric */
void ct_add(struct ct_metric *m, int64_t n);

/** ct_set() - set a gauge */
void ct_set(struct ct_metric *m, int64_t n);

/** ct_value() - current value of a metric */
int64_t ct_value(const struct ct_metric *m);

/**
 * ct_increment() - add 1 to the counter with this name and label, which is
 * created if necessary
 * @c: registry
 * @name: metric name
 * @help: help text
 * @key: label name
 * @value: label value; must be a constant of the program and not input, since
 *     each value creates a metric
 */
void ct_increment(struct ct *c, const char *name, const char *help,
    const char *key, const char *value);

/**
 * ct_render() - all metrics in the Prometheus text format
 *
 * Return: owned string, released with g_free().
 */
char *ct_render(struct ct *c);

#endif
