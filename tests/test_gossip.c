#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "clock.h"
#include "gossip.h"
#include "log.h"
#include "support_net.h"

/* Tests the gossip of many entries on one event loop, over real connections. */

#define ENTRIES 40
/* An availability zone that is away. */
#define AWAY 8
#define SEEDS 3
/* Two rounds, in which all entries hear of each other. */
#define SETTLE_MS 4500
/* Target: half of the shortest time in which a configuration must be in force
 * at entries that the store does not answer. */
#define CONVERGE_MS 1000
#define STEP_MS 50
/* Queues of a large configuration. */
#define QUEUES 1500
/* Target: each entry gets a configuration once. The same again is allowed for
 * all other messages. */
#define COPIES_MAX 2
/* Target: entries are known within 100 ms of the start of the last one. The
 * same again is allowed for a machine that is busy with other tests. */
#define START_MS 100
#define BUSY_MS 100

struct fixture;

struct entry {
	struct fixture *fixture;
	struct cn_listener *listener;
	char address[SN_ADDRESS_SIZE];
	struct cf *config;
	struct go *gossip;
	GPtrArray *conns;      /* accepted and still open */
	unsigned cancels;      /* that it was told of */
	GHashTable *summaries; /* senders of run times, owned */
	bool silent;           /* answers nothing */
};

struct fixture {
	struct event_base *base;
	struct ck *clock;
	struct entry entries[ENTRIES];
	const char *seeds[SEEDS];
};

static void
on_call(void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	struct entry *e = arg;

	if (!e->silent)
		go_handle_call(e->gossip, c, proc, xid, args);
}

static void
on_closed(void *arg, struct cn *c, enum cn_error why)
{
	struct entry *e = arg;

	(void)why;
	g_ptr_array_remove(e->conns, c);
}

static const struct cn_ops entry_ops = {.call = on_call, .closed = on_closed};

static void
on_accept(void *arg, struct cn *c)
{
	struct entry *e = arg;

	g_ptr_array_add(e->conns, c);
	cn_set_ops(c, &entry_ops, e);
}

static void
config_received(void *arg, const struct pd_config *config)
{
	struct entry *e = arg;

	cf_apply(e->config, config);
}

static bool
store_reachable(void *arg)
{
	(void)arg;
	return (false);
}

static GHashTable *
waiting_counts(void *arg)
{
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);

	(void)arg;
	g_hash_table_insert(
	    counts, (char *)(uintptr_t) "q", GUINT_TO_POINTER(1));
	return (counts);
}

static bool
cancel(void *arg, const char *id)
{
	struct entry *e = arg;

	assert_string_equal("a", id);
	e->cancels++;
	return (false);
}

static unsigned
run_times(void *arg, struct pd_run_times *list, unsigned max)
{
	(void)arg;
	(void)max;
	list[0].queue = g_strdup("q");
	list[0].samples = 100;
	return (1);
}

static void
run_times_received(
    void *arg, const char *sender, const struct pd_run_times *list, unsigned n)
{
	struct entry *e = arg;

	assert_int_equal(1, n);
	assert_string_equal("q", list[0].queue);
	assert_int_equal(100, list[0].samples);
	g_hash_table_add(e->summaries, g_strdup(sender));
}

static const struct go_ops gossip_ops = {
    .config_received = config_received,
    .store_reachable = store_reachable,
    .waiting_counts = waiting_counts,
    .cancel = cancel,
    .run_times = run_times,
    .run_times_received = run_times_received,
};

static void
start_entry(struct fixture *f, struct entry *e, unsigned number)
{
	struct go_identity self = {.cell = "cell",
	    .name = e->address,
	    .incarnation = number + 1,
	    .address = e->address,
	    .seeds = f->seeds,
	    .nseeds = SEEDS};

	e->config = cf_new();
	e->gossip = go_new(f->base, f->clock, e->config, &self, &gossip_ops, e);
}

static void
stop_entry(struct entry *e)
{
	go_free(e->gossip);
	e->gossip = NULL;
	cn_listener_free(e->listener);
	e->listener = NULL;
	while (e->conns->len > 0)
		cn_close(e->conns->pdata[0]);
}

static int
set_up_stopped(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct entry *e;
	unsigned i;

	lg_open("test", LOG_CRIT);
	f->base = event_base_new();
	f->clock = ck_new_system();
	for (i = 0; i < ENTRIES; i++) {
		e = &f->entries[i];
		e->fixture = f;
		e->conns = g_ptr_array_new();
		e->summaries = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
		e->listener = sn_listen(f->base, on_accept, e, e->address);
	}
	for (i = 0; i < SEEDS; i++)
		f->seeds[i] = f->entries[i].address;
	*state = f;
	return (0);
}

static int
set_up(void **state)
{
	struct fixture *f;
	unsigned i;

	set_up_stopped(state);
	f = *state;
	for (i = 0; i < ENTRIES; i++)
		start_entry(f, &f->entries[i], i);
	sn_run_loop(f->base, SETTLE_MS);
	return (0);
}

static int
tear_down(void **state)
{
	struct fixture *f = *state;
	unsigned i;

	for (i = 0; i < ENTRIES; i++) {
		stop_entry(&f->entries[i]);
		cf_free(f->entries[i].config);
		g_hash_table_destroy(f->entries[i].summaries);
		g_ptr_array_free(f->entries[i].conns, TRUE);
	}
	event_base_loop(f->base, EVLOOP_NONBLOCK);
	event_base_free(f->base);
	ck_free(f->clock);
	g_free(f);
	return (0);
}

static bool
all_have(const struct fixture *f, unsigned first, uint64_t revision)
{
	unsigned i;

	for (i = first; i < ENTRIES; i++)
		if (cf_revision(f->entries[i].config) != revision ||
		    cf_zones_revision(f->entries[i].config) != revision)
			return (false);
	return (true);
}

/* Guards against entries that learn a configuration late or not at all, since
 * each entry contacts only a few others in a period. */
static void
test_config_spreads(void **state)
{
	struct pd_queue queue = {.name = (char *)(uintptr_t) "q",
	    .host = (char *)(uintptr_t) "h",
	    .prefix = (char *)(uintptr_t) "/",
	    .service = (char *)(uintptr_t) "s"};
	struct pd_config config = {.revision = 7,
	    .queues = {.queues_len = 1, .queues_val = &queue},
	    .zones_revision = 7};
	struct fixture *f = *state;
	unsigned i, n, ms;
	uint32_t hash;

	go_addresses(f->entries[0].gossip, &n, &hash);
	assert_int_equal(ENTRIES, n);
	for (i = 0; i < AWAY; i++)
		stop_entry(&f->entries[i]);
	assert_true(cf_apply(f->entries[AWAY].config, &config));
	for (ms = 0; ms < CONVERGE_MS && !all_have(f, AWAY, 7); ms += STEP_MS)
		sn_run_loop(f->base, STEP_MS);
	assert_true(all_have(f, AWAY, 7));
	/* After a round, the count of waiting jobs includes each entry. */
	sn_run_loop(f->base, SETTLE_MS);
	assert_in_range(go_waiting_count(f->entries[AWAY].gossip, "q"),
	    ENTRIES - AWAY - 1, ENTRIES - 1);
}

static void
on_cancelled(void *arg, uint64_t waiter, bool known)
{
	unsigned *answered = arg;

	(void)waiter;
	(void)known;
	(*answered)++;
}

/* Guards against a job that goes on after its cancellation was acknowledged by
 * an entry that could not reach the one that has it. */
static void
test_cancel_beside_partition(void **state)
{
	struct fixture *f = *state;
	struct entry *silent = &f->entries[1], *away = &f->entries[2];
	unsigned answered = 0, i;
	enum cn_error error;

	silent->silent = true;
	stop_entry(away);
	sn_run_loop(f->base, 100);
	go_cancel(f->entries[0].gossip, "a", on_cancelled, &answered, 7);
	sn_run_loop(f->base, 700);
	assert_int_equal(1, answered);
	assert_int_equal(0, silent->cancels + away->cancels);
	silent->silent = false;
	away->listener =
	    cn_listen(f->base, away->address, on_accept, away, &error);
	assert_non_null(away->listener);
	start_entry(f, away, 2);
	sn_run_loop(f->base, SETTLE_MS);
	/* Those that have answered are not told again. */
	for (i = 1; i < ENTRIES; i++)
		assert_int_equal(1, f->entries[i].cancels);
}

/* Adds @n queues to an empty configuration; released with xdr_free(). */
static void
add_queues(struct pd_config *c, unsigned n)
{
	struct pd_queue *q;
	unsigned i;

	c->queues.queues_len = n;
	c->queues.queues_val = calloc(n, sizeof(struct pd_queue));
	for (i = 0; i < n; i++) {
		q = &c->queues.queues_val[i];
		q->name = strdup("queue");
		q->host = strdup("order-desk.example");
		q->prefix = strdup("/prefix/");
		q->service = strdup("order-desk");
	}
}

/* Guards against a large configuration that each entry sends to all others it
 * contacts until it hears that they have it: links are busy with copies, calls
 * time out, and the connections of entries are closed and opened again. */
static void
test_config_sent_many_times(void **state)
{
	struct fixture *f = *state;
	struct pd_config config = {.revision = 7, .zones_revision = 7};
	uint64_t size, sent = cn_stats_get().sent_bytes;
	unsigned ms;

	add_queues(&config, QUEUES);
	size = xdr_sizeof((xdrproc_t)xdr_pd_config, &config);
	assert_true(cf_apply(f->entries[0].config, &config));
	for (ms = 0; ms < CONVERGE_MS && !all_have(f, 0, 7); ms += STEP_MS)
		sn_run_loop(f->base, STEP_MS);
	assert_true(all_have(f, 0, 7));
	sn_run_loop(f->base, CONVERGE_MS);
	assert_in_range(
	    cn_stats_get().sent_bytes - sent, 0, COPIES_MAX * ENTRIES * size);
	xdr_free((xdrproc_t)xdr_pd_config, (char *)&config);
}

/* Guards against zones that are out and stay in use at an entry that the store
 * refuses, because the zones came after queues that it has, and against its
 * queues getting the revision of the zones. */
static void
test_zones_spread_without_queues(void **state)
{
	pd_name out[] = {(char *)(uintptr_t) "armor"};
	struct pd_config zones = {.zones_revision = 9,
	    .evacuated = {.evacuated_len = 1, .evacuated_val = out}};
	struct pd_config config = {.revision = 7, .zones_revision = 7};
	struct fixture *f = *state;
	const struct cf *c;
	unsigned i;

	add_queues(&config, 2);
	for (i = 0; i < ENTRIES; i++)
		assert_true(cf_apply(f->entries[i].config, &config));
	assert_true(cf_apply(f->entries[0].config, &zones));
	sn_run_loop(f->base, CONVERGE_MS);
	for (i = 0; i < ENTRIES; i++) {
		c = f->entries[i].config;
		assert_true(cf_evacuated(c, "armor"));
		assert_int_equal(9, cf_zones_revision(c));
		assert_int_equal(7, cf_revision(c));
		assert_int_equal(2, cf_current(c)->queues.queues_len);
	}
	xdr_free((xdrproc_t)xdr_pd_config, (char *)&config);
}

/* Sockets on an address where SYNs are lost, as on a host without power: the
 * queue of the listener is full. */
struct black_hole {
	int listener;
	int fillers[2];
};

static struct black_hole
black_hole_open(const char *address)
{
	struct black_hole h = {.listener = socket(AF_INET, SOCK_STREAM, 0)};
	struct sockaddr_in to = {.sin_family = AF_INET};
	int on = 1;
	size_t i;

	to.sin_port = htons(
	    (uint16_t)g_ascii_strtoull(strchr(address, ':') + 1, NULL, 10));
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(h.listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	assert_int_equal(
	    0, bind(h.listener, (struct sockaddr *)&to, sizeof(to)));
	assert_int_equal(0, listen(h.listener, 0));
	for (i = 0; i < G_N_ELEMENTS(h.fillers); i++) {
		h.fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		/* In progress, or waiting for a retransmission. */
		(void)connect(h.fillers[i], (struct sockaddr *)&to, sizeof(to));
	}
	return (h);
}

static void
black_hole_close(struct black_hole *h)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(h->fillers); i++)
		close(h->fillers[i]);
	close(h->listener);
}

/* Guards against entries that agents learn of 300 ms too late after a power
 * loss, because the seeds started after them and were tried again only in the
 * next period: the jobs of this time were late. */
static void
test_seeds_start_last(void **state)
{
	struct fixture *f = *state;
	struct black_hole holes[SEEDS];
	enum cn_error error;
	struct entry *e;
	unsigned i, n;
	uint32_t hash;

	for (i = 0; i < SEEDS; i++) {
		cn_listener_free(f->entries[i].listener);
		f->entries[i].listener = NULL;
		holes[i] = black_hole_open(f->entries[i].address);
	}
	for (i = SEEDS; i < ENTRIES; i++)
		start_entry(f, &f->entries[i], i);
	sn_run_loop(f->base, 60);
	for (i = 0; i < SEEDS; i++) {
		e = &f->entries[i];
		black_hole_close(&holes[i]);
		e->listener =
		    cn_listen(f->base, e->address, on_accept, e, &error);
		assert_non_null(e->listener);
		start_entry(f, e, i);
	}
	sn_run_loop(f->base, START_MS + BUSY_MS);
	for (i = 0; i < SEEDS; i++) {
		go_addresses(f->entries[i].gossip, &n, &hash);
		assert_int_equal(ENTRIES, n);
	}
}

static void
on_client_closed(void *arg, struct cn *c, enum cn_error why)
{
	struct cn **client = arg;

	(void)c;
	(void)why;
	*client = NULL;
}

static const struct cn_ops client_ops = {.closed = on_client_closed};

/* Guards against addresses that are none in the lists that agents get, where
 * they take the place of entries. */
static void
test_odd_address_announced(void **state)
{
	static const char *const odd[] = {
	    "127.0.0.1:70000", "127.0.0.1:0", "entry", ""};
	char *listed[] = {(char *)(uintptr_t) "127.0.0.1:-1"};
	struct fixture *f = *state;
	struct pd_gossip m = {.cell = (char *)(uintptr_t) "cell",
	    .name = (char *)(uintptr_t) "x",
	    .entries = {G_N_ELEMENTS(listed), listed}};
	enum cn_error error;
	const char *const *list;
	struct cn *c;
	uint32_t hash;
	unsigned i, n;

	c = cn_connect(f->base, f->entries[0].address, &client_ops, &c, &error);
	assert_non_null(c);
	sn_run_loop(f->base, BUSY_MS);
	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		m.address = (char *)(uintptr_t)odd[i];
		cn_send(c, PD_GOSSIP, (xdrproc_t)xdr_pd_gossip, &m);
	}
	sn_run_loop(f->base, BUSY_MS);
	list = go_addresses(f->entries[0].gossip, &n, &hash);
	assert_int_equal(ENTRIES, n);
	for (i = 0; i < n; i++)
		assert_true(cn_is_address(list[i]));
	if (c != NULL)
		cn_close(c);
}

/* Guards against an entry that does not get the summaries of run times of all
 * others with the first exchanges, also if it has just been restarted at the
 * same address. */
static void
test_run_times_shared(void **state)
{
	struct fixture *f = *state;
	struct entry *e = &f->entries[ENTRIES - 1];
	unsigned i;

	for (i = 0; i < ENTRIES; i++)
		assert_int_equal(
		    ENTRIES - 1, g_hash_table_size(f->entries[i].summaries));
	go_free(e->gossip);
	cf_free(e->config);
	g_hash_table_remove_all(e->summaries);
	start_entry(f, e, 2 * ENTRIES);
	sn_run_loop(f->base, SETTLE_MS);
	assert_int_equal(ENTRIES - 1, g_hash_table_size(e->summaries));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(
		test_config_spreads, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_cancel_beside_partition, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_config_sent_many_times, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_zones_spread_without_queues, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_odd_address_announced, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_run_times_shared, set_up, tear_down),
	    cmocka_unit_test_setup_teardown(
		test_seeds_start_last, set_up_stopped, tear_down),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
