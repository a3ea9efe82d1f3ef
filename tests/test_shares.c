#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "shares.h"

/* Tests how often summaries of run times are sent. */

#define PEERS 54
/* An exchange with some entries each 300 ms, each of them once in a round. */
#define PERIOD_MS 300
#define PEERS_EACH 9
#define RUN_MS 600000
/* Target: 2 KB/s per node, including the first list to each entry. */
#define BYTES_PER_S 2048
#define START_MS 100000
#define INTERVAL_MS 2000
#define BINS 40

static unsigned
fill_full(void *arg, struct pd_run_times *list, unsigned max)
{
	unsigned i;

	(void)arg;
	for (i = 0; i < max; i++) {
		list[i].queue = g_strdup_printf("queue-of-a-customer-%u", i);
		list[i].bins.bins_len = BINS;
		list[i].bins.bins_val = g_malloc0(BINS);
	}
	return (max);
}

static unsigned
fill_none(void *arg, struct pd_run_times *list, unsigned max)
{
	(void)arg;
	(void)list;
	(void)max;
	return (0);
}

/* Return: bytes of the summaries that are sent. */
static size_t
send_one(size_t *b, uint64_t now, uint64_t *sent_ms, sh_fill_fn fill)
{
	struct pd_gossip m = {0};
	size_t bytes = 0;
	unsigned i;

	sh_fill(b, PEERS, now, sent_ms, &m, fill, NULL);
	for (i = 0; i < m.run_times.run_times_len; i++)
		bytes += xdr_sizeof(
		    (xdrproc_t)xdr_pd_run_times, &m.run_times.run_times_val[i]);
	sh_release(&m);
	return (bytes);
}

/* Guards against an entry that sends more than it may, that leaves others out,
 * or that does not tell a new one at once. */
static void
test_rate(void **state)
{
	uint64_t sent[PEERS] = {0}, now, before;
	size_t b = 0;
	size_t bytes = 0, one;
	unsigned i, next = 0, p;

	(void)state;
	for (now = START_MS; now < START_MS + RUN_MS; now += PERIOD_MS)
		for (i = 0; i < PEERS_EACH; i++, next++) {
			p = next % PEERS;
			before = sent[p];
			one = send_one(&b, now, &sent[p], fill_full);
			bytes += one;
			assert_true(before != 0 || one > 0);
			assert_true(one == 0 || before == 0 ||
			    now - before >= INTERVAL_MS);
		}
	assert_true(bytes <= (size_t)BYTES_PER_S * RUN_MS / 1000);
	for (i = 0; i < PEERS; i++)
		assert_true(now - sent[i] < 2 * 60000);
}

/* Guards against an entry without summaries that counts as having sent them. */
static void
test_nothing_to_send(void **state)
{
	size_t b = 0;
	uint64_t sent = 0;

	(void)state;
	assert_int_equal(0, send_one(&b, START_MS, &sent, NULL));
	assert_int_equal(0, send_one(&b, START_MS, &sent, fill_none));
	assert_int_equal(0, sent);
	assert_true(send_one(&b, START_MS, &sent, fill_full) > 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_rate),
	    cmocka_unit_test(test_nothing_to_send),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
