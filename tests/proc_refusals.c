#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "harness_cell.h"

/* What refusals of a real entry say about a submission that has run. */

#define LONG_RUN_MS 4000
#define SHORT_RUN_MS 20
#define DEADLINE_MS 20000
#define WAIT_MS 10000
#define RETRY_MS 20
#define RETRIES 100
#define HTTP_UNAVAILABLE 503
#define STOP_TIMEOUT_MS 20000

/* Submits until the entry refuses because it is stopping. */
static json_t *
refused_answer(struct pc *c, const char *body)
{
	json_t *answer = NULL;
	int i;

	for (i = 0; i < RETRIES; i++) {
		if (pc_submit(c, 0, body, WAIT_MS, &answer) == HTTP_UNAVAILABLE)
			return (answer);
		json_decref(answer);
		hn_sleep_ms(RETRY_MS);
	}
	fail();
	return (NULL);
}

/* Guards against "not run" for a submission that has run, when it is sent again
 * to an entry that is stopping. */
static void
test_run_submission_sent_to_stopping_entry(void **state)
{
	uint64_t created_ms = hn_wall_ms();
	struct pc *c = *state;
	char *done, *slow;
	json_t *answer;

	done = pc_submission_json(
	    "done", created_ms, 1, SHORT_RUN_MS, DEADLINE_MS);
	slow =
	    pc_submission_json("slow", created_ms, 1, LONG_RUN_MS, DEADLINE_MS);
	assert_int_equal(200, pc_submit(c, 0, done, WAIT_MS, &answer));
	assert_string_equal("complete", hn_json_text(answer, "status"));
	json_decref(answer);
	assert_int_equal(202, pc_submit(c, 0, slow, 0, NULL));
	hn_signal(c->entries[0].proc, SIGTERM);
	answer = refused_answer(c, done);
	assert_string_equal("draining", hn_json_text(answer, "error"));
	assert_null(strstr(hn_json_text(answer, "detail"), "nothing was run"));
	assert_null(json_object_get(answer, "not_run"));
	json_decref(answer);
	assert_int_equal(0, hn_wait(c->entries[0].proc, STOP_TIMEOUT_MS));
	free(done);
	free(slow);
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
	    cmocka_unit_test(test_run_submission_sent_to_stopping_entry),
	};

	return (cmocka_run_group_tests(tests, set_up, tear_down));
}
