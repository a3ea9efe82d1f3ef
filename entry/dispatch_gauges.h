#ifndef DISPATCH_GAUGES_H
#define DISPATCH_GAUGES_H

struct cf;
struct ct;
struct fl;
struct jb;

/**
 * DOC: dg - gauges of an entry of transient jobs
 */

/** dg_refresh() - set the gauges to the state of the jobs, workers and
 * configuration */
void dg_refresh(struct ct *counters, struct jb *jobs, const struct fl *fleet,
    const struct cf *config);

#endif
