#ifndef HARNESS_STUB_H
#define HARNESS_STUB_H

#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>
#include <sys/types.h>

#include "clock.h"
#include "conn.h"
#include "pd.h"

/**
 * DOC: su - stubs around an agent process under test: an entry that speaks the
 * RPC messages, and an endpoint whose response depends on the first word of the
 * submission id: "fail" 500, "reject" 404, "large" more than PD_BODY_MAX bytes,
 * "broken" closes the connection, "reset" resets it, "partial" closes it after
 * a part of the response, "redirect" 307 to itself, "busy" 503 with
 * Retry-After, "continue" 100 and then closes the connection, "slow-MS" delays
 * the response; the body is echoed otherwise
 */

#define SU_RECORDS_MAX 4096
#define SU_CREATED_MS 1767225600000ULL

/** struct su - an agent process and the stubs around it */
struct su {
	struct su *next; /* in the list of all stubs */
	struct ck *clock;
	struct event_base *loop;
	struct event *wake; /* periodic timer that wakes the event loop */
	struct cn_listener *listener;
	struct cn *agent_conn;
	char dir[64];
	char settings_path[96];
	pid_t pid;
	/* Entry. */
	bool ignore_calls;      /* answer no call of the agent */
	bool close_connections; /* close each connection at once */
	unsigned accepted_connections;
	bool allow_starts; /* permit starts in answers to heartbeats */
	unsigned hellos;
	unsigned heartbeats;
	struct pd_heartbeat last_heartbeat;
	uint64_t incarnation; /* of the agent */
	unsigned report_messages;
	unsigned nrecords;
	struct {
		char id[32];
		unsigned task;
		enum pd_task_state state;
		enum pd_reason reason;
		unsigned body_len;
		char body[64];
	} records[SU_RECORDS_MAX];
	/* Endpoint. */
	int endpoint_fd;
	unsigned endpoint_port;
	gint endpoint_calls;
	GMutex lock;
	char last_request[1024];
};

/** SU_WAIT() - run the entry until a condition holds, 10 s at most */
#define SU_WAIT(s, condition)                                                  \
	do {                                                                   \
		uint64_t limit = ck_mono_ms((s)->clock) + 10000;               \
		while (!(condition)) {                                         \
			event_base_loop((s)->loop, EVLOOP_ONCE);               \
			if (ck_mono_ms((s)->clock) > limit)                    \
				fail_msg("no " #condition " in 10 s");         \
		}                                                              \
	} while (0)

/** su_setup() - cmocka set-up: start all, wait for the first heartbeat */
int su_setup(void **state);

/** su_teardown() - cmocka tear-down */
int su_teardown(void **state);

/** su_run_for() - run the entry for a time in milliseconds */
void su_run_for(struct su *s, unsigned ms);

/** su_spawn() - start an agent with a settings file */
pid_t su_spawn(const char *path);

/** su_exit_code() - wait for the end of an agent */
int su_exit_code(pid_t pid);

/** su_write_settings() - write the settings file; @metrics may be "" */
void su_write_settings(struct su *s, const char *metrics);

/** su_listen_any() - listener on a free port of 127.0.0.1 */
int su_listen_any(unsigned *port);

/** su_header() - value of a header of a request, released with g_free() */
char *su_header(const char *request, const char *name);

/** su_grant() - grant tasks @first to @first + @n - 1 of a submission */
void su_grant(struct su *s, const char *id, unsigned first, unsigned n,
    unsigned timeout_ms, const char *body);

#endif
