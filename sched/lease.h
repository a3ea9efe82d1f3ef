#ifndef LEASE_H
#define LEASE_H

/**
 * DOC: LE - timeouts of agents and entries that have lost contact
 *
 * A client submits a job again 1,300 ms after its connection broke. No task of
 * its first submission may run by then.
 */

/** LE_HEARTBEAT_MS - period of an agent's heartbeats; three fit in
 * LE_CONTACT_MS, so that one late reply stops no tasks */
#define LE_HEARTBEAT_MS 200

/** LE_CONTACT_MS - an agent stops the tasks of an entry when the clock reading
 * in the last reply from it is older than this */
#define LE_CONTACT_MS 650

/** LE_RUN_MS - lease of the runs at an endpoint, which ends the runs of a
 * frozen or killed agent; together with LE_CONTACT_MS it is shorter than the
 * time after which a client submits again */
#define LE_RUN_MS 600

/** LE_ENDPOINT_MAX_MS - longest lease that an endpoint gives to a run */
#define LE_ENDPOINT_MAX_MS 1000

/** LE_DRIFT_PERMILLE - by how much an endpoint's clock may be slow */
#define LE_DRIFT_PERMILLE 20

/** LE_UNREACHABLE_MS - longest time that a run goes on after the last reply to
 * the heartbeats of its agent: until the agent has noticed the loss of contact,
 * and then the lease of the endpoint, timed by its clock, has ended */
#define LE_UNREACHABLE_MS                                                      \
	(LE_CONTACT_MS + LE_RUN_MS + LE_RUN_MS * LE_DRIFT_PERMILLE / 1000)

#endif
