#ifndef REPORT_H
#define REPORT_H

#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: rp - reports of an entry for operators, as JSON and as metrics
 *
 * All functions belong to the thread of the event loop and look up the services
 * in the kernel.
 */
struct kn;

/** rp_status() - state of the entry and of its endpoints; freed with free() */
char *rp_status(struct kn *k, bool draining);

/** rp_config() - configuration with its revision; freed with free() */
char *rp_config(struct kn *k);

/**
 * rp_explain() - events of a submission
 *
 * Return: JSON text freed with free(), NULL when the submission is unknown.
 */
char *rp_explain(struct kn *k, const char *id);

/** rp_metrics() - metrics in the text format of Prometheus; freed with g_free()
 */
char *rp_metrics(struct kn *k);

#endif
