#ifndef ENDPOINT_H
#define ENDPOINT_H

#include <stddef.h>

#include "gate.h"

/**
 * DOC: en - calls to the endpoint, one thread per slot
 */
struct en;
struct ck;
struct mx;
struct op_settings;

/**
 * en_done_fn - a call ended; runs on the event loop
 * @body: result, consumed by the callee, allocated with g_malloc(); may be
 *     NULL
 */
typedef void (*en_done_fn)(void *arg, unsigned slot, enum ga_outcome outcome,
    char *body, size_t body_len);

/**
 * en_new() - start the threads that call the endpoint
 * @settings: borrowed
 * @clock: borrowed
 * @mailbox: of the event loop, borrowed
 * @done: called once per en_start()
 * @arg: passed to @done
 *
 * Needs ulfius_global_init(). Return: owned handle.
 */
struct en *en_new(const struct op_settings *settings, struct ck *clock,
    struct mx *mailbox, en_done_fn done, void *arg);

/** en_free() - wait for running calls and end the threads; consumed */
void en_free(struct en *e);

/** en_start() - run a task in a free slot; the body of @task is consumed */
void en_start(struct en *e, const struct ga_task *task);

#endif
