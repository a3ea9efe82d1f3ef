#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "clock.h"
#include "counters.h"
#include "kernel.h"
#include "pool.h"
#include "rng.h"
#include "settings.h"

struct example {
	char *name;
	int64_t limit;
	bool enabled;
	struct st_strings peers;
};

static const struct st_key example_keys[] = {
    {"name", ST_STRING, offsetof(struct example, name), 1, 8, NULL, NULL,
	"name"},
    {"queue.limit", ST_INTEGER, offsetof(struct example, limit), 1, 10, "5",
	NULL, "limit in tasks"},
    {"enabled", ST_BOOLEAN, offsetof(struct example, enabled), 0, 1, "true",
	NULL, "switch"},
    {"peers", ST_STRINGS, offsetof(struct example, peers), 0, 2, "", NULL,
	"addresses"},
};
#define EXAMPLE_KEYS (sizeof(example_keys) / sizeof(example_keys[0]))

/* Guards against accepting settings that have an invalid key or value. */
static void
test_settings_rejected(void **state)
{
	static const struct {
		const char *text;
		const char *message;
	} cases[] = {
	    {"name = \"a\"\nnmae = 1\n", "f:2: nmae: unknown key"},
	    {"name = 3\n", "f:1: name: wrong type, a string is allowed"},
	    {"enabled = true\n", "f: name: missing, a string is required"},
	    {"name = \"a\"\n[queue]\nlimit = 11\n",
		"f:3: queue.limit: value 11 is out of range, allowed are "
		"1 to 10"},
	    {"name = \"\"\n",
		"f:1: name: length 0 is out of range, allowed are 1 to "
		"8"},
	    {"name = \"a\"\npeers = [\"x\", 1]\n",
		"f:2: peers: wrong type, a list of strings is allowed"},
	    {"name = \"a\"\npeers = [\"x\", \"y\", \"z\"]\n",
		"f:2: peers: number of items 3 is out of range, allowed "
		"are 0 to 2"},
	    {"name = \"a\"\nenabled = 1979-05-27\n",
		"f:2: enabled: wrong type, true or false is allowed"},
	};
	struct example out;
	char message[256];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&out, 0, sizeof(out));
		assert_int_equal(ST_INVALID,
		    st_parse(cases[i].text, "f", example_keys, EXAMPLE_KEYS,
			&out, message, sizeof(message)));
		assert_string_equal(cases[i].message, message);
		assert_null(out.name);
	}
	memset(&out, 0, sizeof(out));
	assert_int_equal(ST_SYNTAX,
	    st_parse("name = \"a\"\nx = [1\n", "f", example_keys, EXAMPLE_KEYS,
		&out, message, sizeof(message)));
	assert_non_null(strstr(message, "f:"));
}

static void
test_settings_accepted(void **state)
{
	struct example out;
	char message[256];

	(void)state;
	memset(&out, 0, sizeof(out));
	assert_int_equal(ST_OK,
	    st_parse("name = \"abc\"\npeers = [\"x\", \"y\"]\n", "f",
		example_keys, EXAMPLE_KEYS, &out, message, sizeof(message)));
	assert_string_equal("abc", out.name);
	assert_int_equal(5, out.limit);
	assert_true(out.enabled);
	assert_int_equal(2, out.peers.count);
	assert_string_equal("y", out.peers.items[1]);
	st_release(example_keys, EXAMPLE_KEYS, &out);
}

/* Guards against undefined behaviour of toml++, which fuzz_toml found with
 * U+037F in place of a key. */
static void
test_settings_non_ascii(void **state)
{
	struct example out = {0};
	char message[256];

	(void)state;
	assert_int_equal(ST_SYNTAX,
	    st_parse("name = \"a\"\nnam\xcd\xbfg 5\n", "f", example_keys,
		EXAMPLE_KEYS, &out, message, sizeof(message)));
	assert_string_equal(
	    "f:2: only lines that begin with # may have other "
	    "characters than ASCII",
	    message);
	assert_int_equal(ST_OK,
	    st_parse("# Finist\xc3\xa8re\nname = \"a\"\n\t# \xc3\xa8\n", "f",
		example_keys, EXAMPLE_KEYS, &out, message, sizeof(message)));
	st_release(example_keys, EXAMPLE_KEYS, &out);
}

/* Guards against a stale handle that gives access to the next item in its
 * slot. */
static void
test_pool_stale_handle(void **state)
{
	struct pl *p = pl_new(sizeof(int));
	pl_handle a, b;
	void *item;

	(void)state;
	a = pl_alloc(p, &item);
	*(int *)item = 7;
	assert_int_equal(7, *(int *)pl_get(p, a));
	pl_release(p, a);
	pl_release(p, a);
	b = pl_alloc(p, NULL);
	assert_true(a != b);
	assert_null(pl_get(p, a));
	assert_null(pl_get(p, PL_NONE));
	assert_int_equal(0, *(int *)pl_get(p, b));
	assert_true(pl_next(p, PL_NONE) == b);
	assert_true(pl_next(p, b) == PL_NONE);
	assert_int_equal(1, pl_count(p));
	pl_free(p);
}

static void
test_manual_clock_advances(void **state)
{
	struct ck *c = ck_new_manual(10, 1000);

	(void)state;
	assert_int_equal(10, ck_mono_ms(c));
	ck_advance_ms(c, 5);
	assert_int_equal(15, ck_mono_ms(c));
	assert_int_equal(1005, ck_wall_ms(c));
	ck_free(c);
}

static void
test_counters_render(void **state)
{
	struct ct *c = ct_new();
	char *text;

	(void)state;
	ct_increment(c, "pd_x_total", "Things.", "reason", "b");
	ct_increment(c, "pd_x_total", "Things.", "reason", "a");
	ct_increment(c, "pd_x_total", "Things.", "reason", "a");
	ct_set(ct_get(c, CT_GAUGE, "pd_y", "Size.", ""), -3);
	text = ct_render(c);
	assert_string_equal(
	    "# HELP pd_x_total Things.\n"
	    "# TYPE pd_x_total counter\n"
	    "pd_x_total{reason=\"a\"} 2\n"
	    "pd_x_total{reason=\"b\"} 1\n"
	    "# HELP pd_y Size.\n"
	    "# TYPE pd_y gauge\n"
	    "pd_y -3\n",
	    text);
	g_free(text);
	ct_free(c);
}

static char stop_order[8];

static void
record_stop(void *service)
{
	g_strlcat(stop_order, service, sizeof(stop_order));
}

static void
test_kernel_stops_in_reverse_order(void **state)
{
	struct kn *k = kn_new();
	char a[] = "a", b[] = "b";

	(void)state;
	stop_order[0] = '\0';
	assert_int_equal(KN_OK, kn_register(k, "one", a, record_stop));
	assert_int_equal(KN_OK, kn_register(k, "two", b, record_stop));
	assert_int_equal(KN_EXISTS, kn_register(k, "two", a, NULL));
	assert_ptr_equal(b, kn_find(k, "two"));
	assert_null(kn_find(k, "three"));
	kn_free(k);
	assert_string_equal("ba", stop_order);
}

/* Guards against generators with the same seed but different sequences. */
static void
test_rng_repeats_sequence_of_seed(void **state)
{
	struct rn *a = rn_new(42), *b = rn_new(42);
	int i;

	(void)state;
	for (i = 0; i < 100; i++)
		assert_true(rn_u64(a) == rn_u64(b));
	for (i = 0; i < 1000; i++)
		assert_in_range(rn_below(a, 7), 0, 6);
	assert_int_equal(0, rn_below(a, 0));
	rn_free(a);
	rn_free(b);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_settings_rejected),
	    cmocka_unit_test(test_settings_accepted),
	    cmocka_unit_test(test_settings_non_ascii),
	    cmocka_unit_test(test_pool_stale_handle),
	    cmocka_unit_test(test_manual_clock_advances),
	    cmocka_unit_test(test_counters_render),
	    cmocka_unit_test(test_kernel_stops_in_reverse_order),
	    cmocka_unit_test(test_rng_repeats_sequence_of_seed),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
