#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include <cmocka.h>
#include <glib.h>

#include "config.h"
#include "rng.h"

/* Tests how a request finds its queue. */

#define SEEDS 20
#define QUEUES 200
#define REQUESTS 500
#define PATH_MAX_BYTES 12

struct queue {
	char name[16];
	char host[16];
	char prefix[PATH_MAX_BYTES + 1];
};

/* Paths of few letters, so that many prefixes match. */
static void
random_path(struct rn *rng, char *path)
{
	size_t i, len = rn_below(rng, PATH_MAX_BYTES);

	path[0] = '/';
	for (i = 1; i < len; i++)
		path[i] = "ab/"[rn_below(rng, 3)];
	path[len == 0 ? 1 : len] = '\0';
}

/* The queue with the longest prefix; the first one of several. */
static const char *
naive_match(const struct queue *queues, const char *host, const char *path)
{
	const struct queue *best = NULL;
	unsigned i;

	for (i = 0; i < QUEUES; i++)
		if (strcasecmp(queues[i].host, host) == 0 &&
		    strncmp(path, queues[i].prefix, strlen(queues[i].prefix)) ==
			0 &&
		    (best == NULL ||
			strlen(queues[i].prefix) > strlen(best->prefix)))
			best = &queues[i];
	return (best == NULL ? NULL : best->name);
}

/* Guards against requests that get to another queue than that with the longest
 * matching prefix, or to none. */
static void
test_match_is_that_of_naive_search(void **state)
{
	static const char *const hosts[] = {"a.example", "b.example", "c"};
	static struct queue queues[QUEUES];
	static struct pd_queue list[QUEUES];
	char path[PATH_MAX_BYTES + 1], host[32];
	const char *expected;
	const struct pd_queue *q;
	struct pd_config config = {.revision = 1};
	struct cf *c;
	struct rn *rng;
	unsigned seed, i;

	(void)state;
	config.queues.queues_val = list;
	config.queues.queues_len = QUEUES;
	for (seed = 1; seed <= SEEDS; seed++) {
		rng = rn_new(seed);
		c = cf_new();
		for (i = 0; i < QUEUES; i++) {
			snprintf(
			    queues[i].name, sizeof(queues[i].name), "q%u", i);
			g_strlcpy(queues[i].host, hosts[rn_below(rng, 2)],
			    sizeof(queues[i].host));
			random_path(rng, queues[i].prefix);
			list[i].name = queues[i].name;
			list[i].host = queues[i].host;
			list[i].prefix = queues[i].prefix;
			list[i].service = queues[i].name;
		}
		assert_true(cf_apply(c, &config));
		config.revision++;
		for (i = 0; i < REQUESTS; i++) {
			random_path(rng, path);
			g_strlcpy(host, hosts[rn_below(rng, 3)], sizeof(host));
			expected = naive_match(queues, host, path);
			if (i % 2 == 0)
				host[0] = g_ascii_toupper(host[0]);
			g_strlcat(host, ":80", sizeof(host));
			q = cf_match(c, host, path);
			assert_int_equal(expected == NULL, q == NULL);
			if (q != NULL)
				assert_string_equal(expected, q->name);
		}
		cf_free(c);
		rn_free(rng);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_match_is_that_of_naive_search),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
