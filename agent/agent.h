#ifndef AGENT_H
#define AGENT_H

/**
 * DOC: ag - agent program: creates the services and runs the event loop
 *
 * Services in the kernel: "settings" (struct op_settings), "clock",
 * "counters", "loop" (struct event_base), "identity" (struct ag_identity),
 * "mailbox", "gate", "sessions", "endpoint".
 */

#include <stdint.h>

struct op_settings;

/** struct ag_identity - identity of this process */
struct ag_identity {
	uint64_t incarnation;
	uint64_t started_ms; /* wall clock, ms since the Unix epoch */
};

/**
 * ag_run() - run until a signal ends the program
 * @settings: borrowed
 *
 * Return: exit code, 0 after a graceful shutdown and 1 when it cannot start.
 */
int ag_run(struct op_settings *settings);

#endif
