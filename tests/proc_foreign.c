#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <event2/event.h>
#include <glib.h>

#include "conn.h"
#include "harness_cell.h"
#include "pd.h"

/*
 * Calls to an entry from a process that is not an entry of its cell. Each cell
 * has its own owners and its own change log.
 */

#define CALL_TIMEOUT_MS 5000
#define RUN_MS 20
#define DEADLINE_MS 4000

/* A connection to an entry, as another entry opens it. */
struct peer {
	struct event_base *loop;
	struct cn *conn;
	enum cn_error error; /* of the last call */
	bool answered;
	pd_status_code status; /* of the answer to FORWARD */
};

static void
peer_closed(void *arg, struct cn *c, enum cn_error why)
{
	struct peer *p = arg;

	(void)c;
	(void)why;
	p->conn = NULL;
}

static const struct cn_ops peer_ops = {.closed = peer_closed};

static void
peer_connect(struct peer *p, const struct pc *c)
{
	enum cn_error error;
	char address[32];

	memset(p, 0, sizeof(*p));
	p->loop = event_base_new();
	g_snprintf(address, sizeof(address), "127.0.0.1:%u", c->entries[0].rpc);
	p->conn = cn_connect(p->loop, address, &peer_ops, p, &error);
	assert_non_null(p->conn);
}

static void
peer_close(struct peer *p)
{
	if (p->conn != NULL)
		cn_close(p->conn);
	event_base_loop(p->loop, EVLOOP_NONBLOCK);
	event_base_free(p->loop);
}

static void
call_done(void *arg, enum cn_error error, void *result)
{
	struct peer *p = arg;

	(void)result;
	p->error = error;
	p->answered = true;
}

static void
forward_done(void *arg, enum cn_error error, void *result)
{
	const struct pd_answer *answer = result;
	struct peer *p = arg;

	if (error == CN_OK)
		p->status = answer->status;
	call_done(arg, error, NULL);
}

static enum cn_error
await_answer(struct peer *p)
{
	while (!p->answered)
		event_base_loop(p->loop, EVLOOP_ONCE);
	p->answered = false;
	return (p->error);
}

static enum cn_error
call_status(struct peer *p, char *cell)
{
	struct pd_status s = {0};

	s.cell = cell;
	s.name = (char[]){"entry-x"};
	s.incarnation = 4711;
	s.address = (char[]){"127.0.0.1:1"};
	cn_call(p->conn, PD_STATUS, (xdrproc_t)xdr_pd_status, &s,
	    (xdrproc_t)xdr_pd_status, sizeof(struct pd_status), CALL_TIMEOUT_MS,
	    call_done, p);
	return (await_answer(p));
}

static enum cn_error
call_forward(struct peer *p, char *id)
{
	struct pd_task task = {1, {0, (char[]){""}}};
	struct pd_submit s = {0};
	char body[32];

	g_snprintf(body, sizeof(body), "run_ms=%d", RUN_MS);
	task.body.body_val = body;
	task.body.body_len = (u_int)strlen(body);
	s.sub.id = id;
	s.sub.created_ms = hn_wall_ms();
	s.team = (char[]){PC_TEAM};
	s.service = (char[]){PC_SERVICE};
	s.az = (char[]){""};
	s.left_ms = DEADLINE_MS;
	s.tasks.tasks_len = 1;
	s.tasks.tasks_val = &task;
	cn_call(p->conn, PD_FORWARD, (xdrproc_t)xdr_pd_submit, &s,
	    (xdrproc_t)xdr_pd_answer, sizeof(struct pd_answer), CALL_TIMEOUT_MS,
	    forward_done, p);
	return (await_answer(p));
}

static enum cn_error
call_changes(struct peer *p)
{
	struct pd_changes_from from = {0};

	cn_call(p->conn, PD_CHANGES, (xdrproc_t)xdr_pd_changes_from, &from,
	    (xdrproc_t)xdr_pd_changes, sizeof(struct pd_changes),
	    CALL_TIMEOUT_MS, call_done, p);
	return (await_answer(p));
}

static enum cn_error
call_push(struct peer *p)
{
	struct pd_changes changes = {0};

	cn_call(p->conn, PD_PUSH, (xdrproc_t)xdr_pd_changes, &changes,
	    (xdrproc_t)xdr_pd_held, sizeof(struct pd_held), CALL_TIMEOUT_MS,
	    call_done, p);
	return (await_answer(p));
}

static enum cn_error
call_lookup(struct peer *p, char *id)
{
	struct pd_lookup l = {{id, hn_wall_ms()}, true, 0};

	cn_call(p->conn, PD_LOOKUP, (xdrproc_t)xdr_pd_lookup, &l,
	    (xdrproc_t)xdr_pd_answer, sizeof(struct pd_answer), CALL_TIMEOUT_MS,
	    call_done, p);
	return (await_answer(p));
}

static size_t
started_tasks(struct pc *c, const char *id)
{
	struct hl_starts *starts = pc_read_starts(c);
	size_t n = hl_started_tasks(starts, id);

	hl_free(starts);
	return (n);
}

static void
assert_all_rejected(struct peer *p, struct pc *c, char *id)
{
	assert_int_equal(CN_REJECTED, call_forward(p, id));
	assert_int_equal(CN_REJECTED, call_push(p));
	assert_int_equal(CN_REJECTED, call_changes(p));
	assert_int_equal(CN_REJECTED, call_lookup(p, id));
	assert_int_equal(0, started_tasks(c, id));
}

/* Guards against a submission that two cells run, and against changes of the
 * log of another cell, when an entry of that cell calls an address that has
 * passed to this cell. */
static void
test_entry_of_other_cell(void **state)
{
	struct pc *c = *state;
	struct peer p;

	peer_connect(&p, c);
	assert_all_rejected(&p, c, (char[]){"silent"});
	assert_int_equal(CN_REJECTED, call_status(&p, (char[]){"other"}));
	assert_all_rejected(&p, c, (char[]){"other"});
	peer_close(&p);
}

/* Guards against an entry of this cell whose calls are rejected. */
static void
test_entry_of_same_cell(void **state)
{
	struct pc *c = *state;
	char cell[32];
	struct peer p;

	g_snprintf(cell, sizeof(cell), "cell-%u", c->platform);
	peer_connect(&p, c);
	assert_int_equal(CN_OK, call_status(&p, cell));
	assert_int_equal(CN_OK, call_forward(&p, (char[]){"same"}));
	assert_int_equal(PD_COMPLETE, p.status);
	assert_int_equal(CN_OK, call_push(&p));
	assert_int_equal(CN_OK, call_changes(&p));
	assert_int_equal(CN_OK, call_lookup(&p, (char[]){"none"}));
	assert_int_equal(1, started_tasks(c, "same"));
	peer_close(&p);
}

static int
set_up(void **state)
{
	const struct pc_options options = {.entries = 1, .agents = 1};

	*state = pc_new(&options);
	return (0);
}

static int
tear_down(void **state)
{
	pc_free(*state);
	return (0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_entry_of_other_cell),
	    cmocka_unit_test(test_entry_of_same_cell),
	};

	return (cmocka_run_group_tests(tests, set_up, tear_down));
}
