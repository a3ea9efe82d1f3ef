#ifndef SESSIONS_H
#define SESSIONS_H

#include <stdint.h>

#include "gate.h"

/**
 * DOC: ss - sessions with the entries: one connection to each address
 */
struct ss;
struct kn;

/**
 * ss_new() - connect to all entries
 * @kernel: finds "settings", "clock", "counters", "loop", "identity", "gate"
 *
 * Return: owned handle.
 */
struct ss *ss_new(struct kn *kernel);

/** ss_free() - close all connections; consumed, NULL is allowed */
void ss_free(struct ss *s);

/**
 * ss_report() - send a record to an entry, batched per loop pass
 * @r: copied
 */
void ss_report(struct ss *s, ga_session session, const struct pd_record *r);

/** ss_send_heartbeats() - send a heartbeat to all entries now */
void ss_send_heartbeats(struct ss *s);

/**
 * ss_drain() - send the last reports and wait until the entries have read them
 * @done: called once, when all entries have or after 3 s
 */
void ss_drain(struct ss *s, void (*done)(void *arg), void *arg);

/** ss_open_count() - number of sessions that are open */
unsigned ss_open_count(const struct ss *s);

/** struct ss_traffic - traffic with the entries since the start */
struct ss_traffic {
	uint64_t sent_control;     /* bytes besides task bodies */
	uint64_t received_control; /* bytes besides task bodies */
	uint64_t sent_bodies;
	uint64_t received_bodies;
};

/** ss_traffic() - traffic with the entries */
struct ss_traffic ss_traffic(const struct ss *s);

#endif
