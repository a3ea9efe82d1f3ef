#ifndef LEASE_H
#define LEASE_H

/**
 * DOC: times after which the two ends of a lost connection stop trusting each
 * other. A client sends a job again 1,300 ms after its connection broke, so
 * nothing of the first attempt may run by then.
 */

/** LE_HEARTBEAT_MS - period of an agent's heartbeats; three fit in
 * LE_CONTACT_MS, so that one late answer stops no work */
#define LE_HEARTBEAT_MS 200

/** LE_CONTACT_MS - an agent stops the tasks of an entry whose last answer
 * echoes a clock reading older than this */
#define LE_CONTACT_MS 650

/** LE_RUN_MS - lease of the runs at an endpoint. It covers an agent that is
 * frozen or killed, and ends with LE_CONTACT_MS before a client comes back */
#define LE_RUN_MS 600

/** LE_DRIFT_PERMILLE - how much slower an endpoint's clock may run */
#define LE_DRIFT_PERMILLE 20

#endif
