#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "clock.h"
#include "conn.h"
#include "contacts.h"
#include "lease.h"
#include "links.h"
#include "log.h"
#include "support_net.h"

/* Tests the connections of an agent to more entries than it needs, with
 * entries that only answer heartbeats, on one event loop. */

#define ENTRIES 20
#define SEEDS 3
/* More than the entries that an agent connects to. */
#define ODD_ADDRESSES (2 * AC_CONTACTS_MIN)
/* Longer than an agent takes to learn the addresses and to leave the entries
 * that it does not need. */
#define SETTLE_MS 1800
#define RECONNECT_MS 800
#define MANY_WORKERS 1000
/* Time between ends of tasks. */
#define REPORT_END_MS 10
/* Two full messages and one more end. */
#define MANY_ENDS (2 * PD_BATCH_MAX + 1)
/* Target: agents are connected within 100 ms of the announcement of entries.
 * Half as much again is allowed for a machine that is busy with other tests. */
#define DISCOVER_MS 100
#define BUSY_MS 50
/* Less than the time between two heartbeats. */
#define ROUND_TRIP_MS 20

struct fixture;

struct entry {
	struct fixture *fixture;
	unsigned number;
	uint64_t incarnation;
	unsigned accepted; /* connections */
	struct cn_listener *listener;
	char address[SN_ADDRESS_SIZE];
	struct cn *conn;
	unsigned full;      /* heartbeats that describe the endpoint */
	unsigned renewals;  /* heartbeats that do not */
	bool wants_attach;  /* says so in the answer to the next renewal */
	bool accepting;     /* in the last heartbeat */
	uint64_t described; /* endpoint in the last heartbeat */
	bool holds;         /* heartbeats; answered by answer_held() */
	uint32_t held_xid;
	uint64_t held_clock_ms;
	unsigned accepting_reports; /* reports that accept grants */
	unsigned loads;             /* reports without ended tasks */
	unsigned ends;              /* ended tasks of all reports */
	bool silent;                /* leaves heartbeats unanswered */
	enum pd_end_state last_end;
	enum cn_error query_error;
	unsigned ends_before_answer; /* reported before the answer to a query */
	enum pd_end_state query_answer;
};

struct fixture {
	struct event_base *base;
	struct ck *clock;
	struct lk *links;
	struct entry entries[ENTRIES];
	const char *addresses[ENTRIES + ODD_ADDRESSES];
	unsigned announced;      /* entries that are announced to the agent */
	uint64_t busy_entry;     /* has grants at the agent */
	unsigned started;        /* grants that the agent took */
	uint64_t endpoint;       /* description of the endpoint */
	uint64_t zones_revision; /* that an entry sent last */
	unsigned zones_out;      /* zones with it */
};

static void
on_report(struct entry *e, struct cn *c, XDR *args)
{
	struct pd_ended ended = {0};

	assert_true(cn_decode(c, args, (xdrproc_t)xdr_pd_ended, &ended));
	e->accepting_reports += ended.load.accepting;
	e->loads += ended.list.list_len == 0;
	e->ends += ended.list.list_len;
	if (ended.list.list_len > 0)
		e->last_end = ended.list.list_val[0].state;
	xdr_free((xdrproc_t)xdr_pd_ended, (char *)&ended);
}

static void
on_renew(struct entry *e, struct cn *c, uint32_t xid, XDR *args)
{
	struct pd_renew r = {0};
	struct pd_renewed reply = {.attach = e->wants_attach};

	assert_true(cn_decode(c, args, (xdrproc_t)xdr_pd_renew, &r));
	/* It is only sent to an entry that has the description. */
	assert_int_equal(e->described, r.endpoint);
	e->renewals++;
	e->accepting = r.load.accepting;
	e->wants_attach = false;
	reply.clock_ms = r.clock_ms;
	cn_reply(c, xid, (xdrproc_t)xdr_pd_renewed, &reply);
}

static void
on_call(void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	struct entry *e = arg;
	struct pd_attach a = {0};
	struct pd_attached reply = {.entry = e->address,
	    .incarnation = e->incarnation,
	    .service_workers = MANY_WORKERS,
	    .label_workers = MANY_WORKERS};

	if (proc == PD_ENDED) {
		on_report(e, c, args);
		return;
	}
	if (proc == PD_RENEW) {
		on_renew(e, c, xid, args);
		return;
	}
	assert_int_equal(PD_ATTACH, proc);
	e->full++;
	assert_true(cn_decode(c, args, (xdrproc_t)xdr_pd_attach, &a));
	e->accepting = a.load.accepting;
	e->described = a.endpoint;
	e->held_xid = xid;
	e->held_clock_ms = a.clock_ms;
	reply.clock_ms = a.clock_ms;
	reply.entries.entries_val = (pd_name *)(uintptr_t)e->fixture->addresses;
	reply.entries.entries_len = e->fixture->announced;
	if (!e->silent && !e->holds)
		cn_reply(c, xid, (xdrproc_t)xdr_pd_attached, &reply);
	xdr_free((xdrproc_t)xdr_pd_attach, (char *)&a);
}

static void
answer_held(struct entry *e)
{
	struct pd_attached reply = {.entry = e->address,
	    .incarnation = e->incarnation,
	    .clock_ms = e->held_clock_ms};

	e->holds = false;
	cn_reply(e->conn, e->held_xid, (xdrproc_t)xdr_pd_attached, &reply);
}

static void
on_closed(void *arg, struct cn *c, enum cn_error why)
{
	struct entry *e = arg;

	(void)c;
	(void)why;
	e->conn = NULL;
}

static const struct cn_ops entry_ops = {.call = on_call, .closed = on_closed};

static void
on_accept(void *arg, struct cn *c)
{
	struct entry *e = arg;

	e->conn = c;
	e->accepted++;
	cn_set_ops(c, &entry_ops, e);
}

static bool
fill_attach(void *arg, struct pd_attach *a)
{
	struct fixture *f = arg;

	a->endpoint = f->endpoint;
	a->name = (char *)(uintptr_t) "side-1";
	a->az = a->service = (char *)(uintptr_t) "x";
	a->incarnation = 1;
	a->load.accepting = true;
	return (true);
}

static void
on_contact(void *arg, uint64_t entry, uint64_t clock_ms,
    const struct pd_zones_known *zones)
{
	(void)zones;
	(void)arg;
	(void)entry;
	(void)clock_ms;
}

static void
on_gone(void *arg, uint64_t entry)
{
	(void)arg;
	(void)entry;
}

static bool
has_grants(void *arg, uint64_t entry)
{
	struct fixture *f = arg;

	return (f->busy_entry == entry);
}

static void
on_start(void *arg, uint64_t entry, const struct pd_start *s)
{
	struct fixture *f = arg;

	(void)entry;
	(void)s;
	f->started++;
}

/* A withdrawn grant ends at once. */
static void
on_withdraw(void *arg, uint64_t entry, const struct pd_key *k)
{
	struct pd_end end = {.key = *k};
	struct fixture *f = arg;

	lk_report_end(f->links, entry, &end);
}

static void
on_zones(void *arg, const struct pd_zones *z)
{
	struct fixture *f = arg;

	f->zones_revision = z->revision;
	f->zones_out = z->evacuated.evacuated_len;
}

static enum pd_end_state
grant_state(void *arg, uint64_t entry, const struct pd_key *k)
{
	(void)arg;
	(void)entry;
	(void)k;
	return (PD_END_LOST);
}

static const struct lk_ops link_ops = {.fill_attach = fill_attach,
    .contact = on_contact,
    .gone = on_gone,
    .start = on_start,
    .withdraw = on_withdraw,
    .zones = on_zones,
    .state = grant_state,
    .has_grants = has_grants};

static int
set_up(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct entry *e;
	unsigned i;

	lg_open("test", LOG_CRIT);
	f->base = event_base_new();
	f->clock = ck_new_system();
	f->announced = ENTRIES;
	for (i = 0; i < ENTRIES; i++) {
		e = &f->entries[i];
		e->fixture = f;
		e->number = i;
		e->incarnation = i + 1;
		e->listener = sn_listen(f->base, on_accept, e, e->address);
		f->addresses[i] = e->address;
	}
	*state = f;
	return (0);
}

static void
start_links(struct fixture *f)
{
	f->links = lk_new(f->base, f->clock, "cell", "side-1", f->addresses,
	    SEEDS, &link_ops, f);
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;
	unsigned i;

	lk_free(f->links);
	for (i = 0; i < ENTRIES; i++) {
		if (f->entries[i].conn != NULL)
			cn_close(f->entries[i].conn);
		cn_listener_free(f->entries[i].listener);
	}
	event_base_loop(f->base, EVLOOP_NONBLOCK);
	event_base_free(f->base);
	ck_free(f->clock);
	g_free(f);
	return (0);
}

static unsigned
connected(const struct fixture *f)
{
	unsigned i, n = 0;

	for (i = 0; i < ENTRIES; i++)
		n += f->entries[i].conn != NULL;
	return (n);
}

static gint
compare_ranks(gconstpointer a, gconstpointer b)
{
	uint64_t x = ac_rank("side-1", *(const char *const *)a);
	uint64_t y = ac_rank("side-1", *(const char *const *)b);

	return ((x < y) - (x > y));
}

/* Sorts the addresses so that the agent does not need the seeds. Return: the
 * first seed. */
static struct entry *
choose_unneeded_seeds(struct fixture *f)
{
	unsigned i;

	qsort(f->addresses, ENTRIES, sizeof(*f->addresses), compare_ranks);
	for (i = 0; f->entries[i].address != f->addresses[0]; i++)
		;
	return (&f->entries[i]);
}

static bool
is_needed(struct fixture *f, const struct entry *e)
{
	uint64_t rank = ac_rank("side-1", e->address);
	unsigned i, before = 0;

	for (i = 0; i < ENTRIES; i++)
		before += ac_rank("side-1", f->entries[i].address) < rank;
	return (before < AC_CONTACTS_MIN);
}

/* Guards against a connection to each entry, and against entries that are
 * replaced by none when they are lost. */
static void
test_subset(void **state)
{
	struct fixture *f = *state;
	unsigned i;

	start_links(f);
	sn_run_loop(f->base, SETTLE_MS);
	assert_int_equal(AC_CONTACTS_MIN, connected(f));
	for (i = 0; i < ENTRIES; i++) {
		assert_int_equal(
		    is_needed(f, &f->entries[i]), f->entries[i].conn != NULL);
		assert_true(
		    f->entries[i].conn == NULL || f->entries[i].accepting);
	}
	for (i = 0; f->entries[i].conn == NULL; i++)
		;
	cn_listener_free(f->entries[i].listener);
	f->entries[i].listener = NULL;
	cn_close(f->entries[i].conn);
	sn_run_loop(f->base, RECONNECT_MS);
	assert_null(f->entries[i].conn);
	assert_int_equal(AC_CONTACTS_MIN, connected(f));
}

/* Guards against leaving an entry that has granted tasks, or that may still
 * grant some because it was not told. */
static void
test_leave_when_idle(void **state)
{
	struct fixture *f = *state;
	struct entry *seed = choose_unneeded_seeds(f);

	f->busy_entry = seed->number + 1;
	start_links(f);
	sn_run_loop(f->base, SETTLE_MS);
	assert_non_null(seed->conn);
	assert_false(seed->accepting);
	assert_int_equal(AC_CONTACTS_MIN + 1, connected(f));
	f->busy_entry = 0;
	sn_run_loop(f->base, RECONNECT_MS);
	assert_null(seed->conn);
}

/* Guards against load reports that grow with the number of entries. */
static void
test_load_report_rate(void **state)
{
	struct pd_end end = {.key.sub.id = (char *)(uintptr_t) "a"};
	struct fixture *f = *state;
	uint64_t started_ms, elapsed_ms;
	unsigned i, loads = 0;
	struct entry *busy;

	start_links(f);
	sn_run_loop(f->base, SETTLE_MS);
	for (i = 0; f->entries[i].conn == NULL; i++)
		;
	busy = &f->entries[i];
	for (i = 0; i < ENTRIES; i++)
		f->entries[i].loads = 0;
	started_ms = ck_mono_ms(f->clock);
	do {
		lk_report_end(f->links, busy->number + 1, &end);
		sn_run_loop(f->base, REPORT_END_MS);
		elapsed_ms = ck_mono_ms(f->clock) - started_ms;
	} while (elapsed_ms < 1000);
	for (i = 0; i < ENTRIES; i++)
		loads += f->entries[i].loads;
	assert_in_range(loads * 1000 / elapsed_ms, 1, AC_REPORTS_PER_S);
}

/* Guards against ends of tasks that the entry does not hear of, because they
 * are more than a message holds: their jobs would wait until their deadline. */
static void
test_ends_beyond_one_message(void **state)
{
	struct pd_end end = {.key.sub.id = (char *)(uintptr_t) "a"};
	struct fixture *f = *state;
	unsigned i, n;

	start_links(f);
	sn_run_loop(f->base, SETTLE_MS);
	for (i = 0; f->entries[i].conn == NULL; i++)
		;
	for (n = 0; n < MANY_ENDS; n++)
		lk_report_end(f->links, f->entries[i].number + 1, &end);
	sn_run_loop(f->base, BUSY_MS);
	assert_int_equal(MANY_ENDS, f->entries[i].ends);
}

/* Guards against agents that hear of entries up to 200 ms after the seeds, in a
 * heartbeat, while jobs wait after a power loss. */
static void
test_entries_announced_later(void **state)
{
	struct fixture *f = *state;

	f->announced = SEEDS;
	start_links(f);
	sn_run_loop(f->base, 20);
	assert_int_equal(SEEDS, connected(f));
	f->announced = ENTRIES;
	sn_run_loop(f->base, DISCOVER_MS + BUSY_MS);
	assert_in_range(connected(f), AC_CONTACTS_MIN, ENTRIES);
}

static void
send_start(struct entry *e)
{
	struct pd_start s = {.key.sub.id = (char *)(uintptr_t) "a"};

	cn_send(e->conn, PD_START, (xdrproc_t)xdr_pd_start, &s);
}

/* Guards against the start of a task that its entry has granted elsewhere: an
 * agent that was stopped for seconds finds the grant in its socket, and has
 * contact to the entry again before the task would have to start. */
static void
test_grant_read_after_silence(void **state)
{
	struct fixture *f = *state;
	struct entry *e = &f->entries[0];

	f->announced = SEEDS;
	start_links(f);
	sn_run_loop(f->base, RECONNECT_MS);
	send_start(e);
	sn_run_loop(f->base, BUSY_MS);
	assert_int_equal(1, f->started);
	e->silent = true;
	sn_run_loop(f->base, LE_CONTACT_MS + BUSY_MS);
	send_start(e);
	e->silent = false;
	sn_run_loop(f->base, BUSY_MS);
	assert_int_equal(1, f->started);
	assert_int_equal(1, e->ends);
	assert_int_equal(PD_END_RETURNED, e->last_end);
}

/* Guards against grants by an old description of the endpoint, while a
 * heartbeat with it waits for its answer: the new one was sent with the next
 * heartbeat, and reports said in between that the endpoint takes tasks. */
static void
test_description_changes_beside_pending_heartbeat(void **state)
{
	struct pd_end end = {.key.sub.id = (char *)(uintptr_t) "a"};
	struct fixture *f = *state;
	struct entry *e = &f->entries[0];
	unsigned reports;

	f->announced = SEEDS;
	f->endpoint = 1;
	start_links(f);
	sn_run_loop(f->base, RECONNECT_MS);
	e->holds = true;
	e->held_xid = 0;
	while (e->held_xid == 0)
		sn_run_loop(f->base, 1);
	assert_int_equal(1, e->described);
	f->endpoint = 2;
	lk_send_heartbeats(f->links);
	reports = e->accepting_reports;
	lk_report_end(f->links, e->incarnation, &end);
	sn_run_loop(f->base, ROUND_TRIP_MS);
	assert_int_equal(1, e->ends);
	assert_int_equal(reports, e->accepting_reports);
	assert_int_equal(1, e->described);
	answer_held(e);
	sn_run_loop(f->base, ROUND_TRIP_MS);
	assert_int_equal(2, e->described);
	lk_report_end(f->links, e->incarnation, &end);
	sn_run_loop(f->base, ROUND_TRIP_MS);
	assert_int_equal(reports + 1, e->accepting_reports);
}

/* Guards against short heartbeats to an entry that does not have the current
 * description of the endpoint: it would place tasks by the earlier one, or wait
 * for the next full heartbeat. */
static void
test_short_heartbeats(void **state)
{
	struct fixture *f = *state;
	struct entry *e = &f->entries[0];
	unsigned full;

	f->announced = SEEDS;
	f->endpoint = 1;
	start_links(f);
	lk_set_short_heartbeats(f->links, true);
	sn_run_loop(f->base, RECONNECT_MS);
	assert_int_equal(1, e->full);
	assert_in_range(e->renewals, 2, 20);
	/* A change is sent at once, in full. */
	f->endpoint = 2;
	lk_send_heartbeats(f->links);
	sn_run_loop(f->base, ROUND_TRIP_MS);
	assert_int_equal(2, e->described);
	assert_int_equal(2, e->full);
	/* So is the description that an entry asks for. */
	e->wants_attach = true;
	lk_send_heartbeats(f->links);
	sn_run_loop(f->base, ROUND_TRIP_MS);
	assert_false(e->wants_attach);
	assert_int_equal(3, e->full);
	/* A new connection begins with it. */
	full = e->full;
	cn_close(e->conn);
	sn_run_loop(f->base, RECONNECT_MS);
	assert_true(e->full > full);
	/* The numbers of workers come with full heartbeats only. */
	full = e->full;
	sn_run_loop(f->base, SETTLE_MS);
	assert_true(e->full > full);
}

/* Guards against a task that goes back and forth between an entry and an agent
 * that was stopped, until the next heartbeat is due. */
static void
test_contact_after_returned_grant(void **state)
{
	struct fixture *f = *state;
	struct entry *e = &f->entries[0];

	ck_free(f->clock);
	f->clock = ck_new_manual(LE_CONTACT_MS, LE_CONTACT_MS);
	f->announced = SEEDS;
	start_links(f);
	sn_run_loop(f->base, RECONNECT_MS);
	ck_advance_ms(f->clock, LE_CONTACT_MS + 1);
	send_start(e);
	sn_run_loop(f->base, ROUND_TRIP_MS);
	assert_int_equal(1, e->ends);
	send_start(e);
	sn_run_loop(f->base, ROUND_TRIP_MS);
	assert_int_equal(1, e->ends);
	assert_int_equal(1, f->started);
}

static void
on_query_answer(void *arg, enum cn_error error, void *result)
{
	const struct pd_ended *ended = result;
	struct entry *e = arg;

	e->query_error = error;
	e->ends_before_answer = e->ends;
	if (error == CN_OK && ended->list.list_len > 0)
		e->query_answer = ended->list.list_val[0].state;
}

static void
query_grant(struct entry *e)
{
	struct pd_key key = {.sub.id = (char *)(uintptr_t) "a"};
	struct pd_cancel query = {.list = {.list_len = 1, .list_val = &key}};

	cn_call(e->conn, PD_RECONCILE, (xdrproc_t)xdr_pd_cancel, &query,
	    (xdrproc_t)xdr_pd_ended, sizeof(struct pd_ended), 0,
	    on_query_answer, e);
	sn_run_loop(e->fixture->base, BUSY_MS);
}

/* Guards against the answer "lost" for grants that go on: an agent that was
 * stopped takes the reply to its first heartbeat for lost, so it does not know
 * which entry asks. */
static void
test_query_before_heartbeat_answered(void **state)
{
	struct fixture *f = *state;
	struct entry *e = &f->entries[0];

	f->announced = SEEDS;
	e->silent = true;
	start_links(f);
	sn_run_loop(f->base, BUSY_MS);
	query_grant(e);
	assert_int_equal(CN_REJECTED, e->query_error);
	e->silent = false;
	sn_run_loop(f->base, RECONNECT_MS);
	query_grant(e);
	assert_int_equal(CN_OK, e->query_error);
}

/* Guards against two connections to one entry, which has two addresses: a grant
 * on one of them may be read after a query on the other, whose answer was that
 * it is not known. */
static void
test_entry_with_two_addresses(void **state)
{
	struct fixture *f = *state;
	struct entry *e = f->entries;
	unsigned accepted;

	f->announced = SEEDS;
	e[1].incarnation = e[0].incarnation;
	start_links(f);
	sn_run_loop(f->base, RECONNECT_MS);
	assert_int_equal(SEEDS - 1, connected(f));
	assert_int_equal(SEEDS - 1, lk_connected(f->links));
	accepted = e[0].accepted + e[1].accepted;
	sn_run_loop(f->base, RECONNECT_MS);
	assert_int_equal(accepted, e[0].accepted + e[1].accepted);
	/* The other address is used when the first one fails. */
	e = e[0].conn != NULL ? &e[0] : &e[1];
	cn_listener_free(e->listener);
	e->listener = NULL;
	cn_close(e->conn);
	sn_run_loop(f->base, RECONNECT_MS);
	assert_int_equal(SEEDS - 1, connected(f));
}

/* Guards against running a task again that has ended while there was no
 * connection to its entry, or just before the entry asked for it. */
static void
test_end_while_disconnected(void **state)
{
	struct pd_end end = {.key.sub.id = (char *)(uintptr_t) "a"};
	struct fixture *f = *state;
	struct entry *e = &f->entries[0];

	f->announced = SEEDS;
	start_links(f);
	sn_run_loop(f->base, RECONNECT_MS);
	cn_close(e->conn);
	while (lk_connected(f->links) == SEEDS)
		event_base_loop(f->base, EVLOOP_ONCE);
	lk_report_end(f->links, e->incarnation, &end);
	sn_run_loop(f->base, RECONNECT_MS);
	assert_int_equal(1, e->ends);
}

/* The same for a task that ends just before its entry asks for it. */
static void
test_end_before_query(void **state)
{
	struct pd_key key = {.sub.id = (char *)(uintptr_t) "a"};
	struct pd_cancel list = {.list = {.list_len = 1, .list_val = &key}};
	struct fixture *f = *state;
	struct entry *e = &f->entries[0];

	f->announced = SEEDS;
	start_links(f);
	sn_run_loop(f->base, RECONNECT_MS);
	cn_send(e->conn, PD_WITHDRAW, (xdrproc_t)xdr_pd_cancel, &list);
	query_grant(e);
	assert_int_equal(CN_OK, e->query_error);
	assert_int_equal(1, e->ends_before_answer);
}

/* Guards against an end that is reported to the successor of its entry, whose
 * jobs have the same numbers. */
static void
test_end_for_earlier_entry(void **state)
{
	struct pd_end end = {.key.sub.id = (char *)(uintptr_t) "a"};
	struct fixture *f = *state;
	struct entry *e = &f->entries[0];
	uint64_t earlier = e->incarnation;

	f->announced = SEEDS;
	start_links(f);
	sn_run_loop(f->base, RECONNECT_MS);
	cn_close(e->conn);
	e->incarnation = ENTRIES + 1;
	e->silent = true;
	sn_run_loop(f->base, 2 * DISCOVER_MS);
	assert_non_null(e->conn);
	lk_report_end(f->links, earlier, &end);
	sn_run_loop(f->base, BUSY_MS);
	assert_int_equal(0, e->ends);
	e->silent = false;
	sn_run_loop(f->base, SETTLE_MS);
	assert_int_equal(0, e->ends);
}

/* Announces addresses that come before all entries by rank. Their text is to be
 * released. */
static void
announce_odd_addresses(struct fixture *f, const char *ip, unsigned port)
{
	unsigned i, found = 0;
	char *address;

	for (; found < ODD_ADDRESSES; port++) {
		address = g_strdup_printf("%s:%u", ip, port);
		for (i = 0; i < ENTRIES; i++)
			if (ac_rank("side-1", f->entries[i].address) <
			    ac_rank("side-1", address))
				break;
		if (i == ENTRIES)
			f->addresses[ENTRIES + found++] = address;
		else
			g_free(address);
	}
	f->announced = ENTRIES + ODD_ADDRESSES;
}

static void
assert_connected_beside(struct fixture *f, const char *ip, unsigned port)
{
	unsigned i;

	announce_odd_addresses(f, ip, port);
	start_links(f);
	sn_run_loop(f->base, SETTLE_MS);
	assert_int_equal(AC_CONTACTS_MIN, connected(f));
	for (i = 0; i < ODD_ADDRESSES; i++)
		g_free((char *)(uintptr_t)f->addresses[ENTRIES + i]);
	f->announced = ENTRIES;
}

/* Guards against an agent that connects to no entry, because addresses that are
 * none are announced: each counted as an entry that is connected. */
static void
test_port_out_of_range(void **state)
{
	assert_connected_beside(*state, "127.0.0.1", 65536);
}

/* The same with addresses to which connections fail at once. */
static void
test_address_without_route(void **state)
{
	assert_connected_beside(*state, "255.255.255.255", 1);
}

/* Guards against an agent that hears of zones that are out from no entry but
 * the one that grants. */
static void
test_zones_of_any_entry(void **state)
{
	pd_name zones[] = {(char *)(uintptr_t) "z1", (char *)(uintptr_t) "z2"};
	struct pd_zones z = {.revision = 5,
	    .evacuated = {.evacuated_len = 2, .evacuated_val = zones}};
	struct fixture *f = *state;
	unsigned i;

	f->announced = SEEDS;
	start_links(f);
	sn_run_loop(f->base, SETTLE_MS);
	for (i = 0; i < SEEDS; i++, z.revision++) {
		cn_send(
		    f->entries[i].conn, PD_ZONES, (xdrproc_t)xdr_pd_zones, &z);
		sn_run_loop(f->base, BUSY_MS);
		assert_int_equal(z.revision, f->zones_revision);
		assert_int_equal(2, f->zones_out);
	}
}

int
main(void)
{
#define T(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)
	const struct CMUnitTest tests[] = {
	    T(test_subset),
	    T(test_leave_when_idle),
	    T(test_ends_beyond_one_message),
	    T(test_load_report_rate),
	    T(test_entries_announced_later),
	    T(test_description_changes_beside_pending_heartbeat),
	    T(test_short_heartbeats),
	    T(test_grant_read_after_silence),
	    T(test_contact_after_returned_grant),
	    T(test_query_before_heartbeat_answered),
	    T(test_entry_with_two_addresses),
	    T(test_end_while_disconnected),
	    T(test_end_before_query),
	    T(test_end_for_earlier_entry),
	    T(test_zones_of_any_entry),
	    T(test_port_out_of_range),
	    T(test_address_without_route),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
