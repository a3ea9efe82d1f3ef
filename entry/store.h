#ifndef STORE_H
#define STORE_H

#include <stdint.h>

#include "platform.h"

/**
 * DOC: sr - store: the thread that makes all platform calls of the entry
 *
 * Calls are made one after the other. Results are posted to the event loop and
 * passed to the membership. No other thread waits for the platform.
 */
struct sr;
struct kn;

/**
 * sr_new() - start the thread
 * @k: kernel with "mailbox" and "counters"; "member" is looked up when used
 * @platform: consumed
 */
struct sr *sr_new(struct kn *k, struct pf platform);

/** sr_free() - finish the call in progress and stop the thread; consumed */
void sr_free(struct sr *s);

/** sr_scan() - read the log after a revision; calls mb_scan_done() */
void sr_scan(struct sr *s, uint64_t after);

/** sr_insert() - insert a change into the log; calls mb_insert_done() */
void sr_insert(struct sr *s, uint64_t revision, const char *json);

/**
 * sr_snapshot() - replace the snapshot object of the platform
 * @text: result of cs_snapshot() at @revision; consumed
 */
void sr_snapshot(struct sr *s, uint64_t revision, char *text);

#endif
