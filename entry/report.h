#ifndef REPORT_H
#define REPORT_H

#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: rp - JSON views of an entry for operators
 *
 * All functions belong to the event loop and look the services up in the
 * kernel.
 */
struct kn;

/** rp_status() - state of the entry and of its endpoints, freed with free() */
char *rp_status(struct kn *k, bool draining);

/** rp_config() - configuration with its revision, freed with free() */
char *rp_config(struct kn *k);

/**
 * rp_explain() - events of a submission
 *
 * Return: JSON text freed with free(), NULL when nothing is known of it.
 */
char *rp_explain(struct kn *k, const char *id);

/** rp_metrics() - Prometheus text, freed with g_free() */
char *rp_metrics(struct kn *k);

#endif
