#ifndef METRICS_H
#define METRICS_H

/**
 * DOC: me - HTTP listener of the agent: GET /metrics and GET /healthz
 */
struct me;
struct kn;

/**
 * me_new() - listen
 * @kernel: finds "settings" and "counters"
 *
 * Return: owned handle, NULL when the address cannot be bound.
 */
struct me *me_new(struct kn *kernel);

/** me_free() - stop listening; consumed, NULL is allowed */
void me_free(struct me *m);

#endif
