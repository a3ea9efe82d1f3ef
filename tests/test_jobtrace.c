#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "jobtrace.h"

/* Tests the reader of logs behind `pimentodock trace`. */

#define EVENT(event, at, task, attempt, worker, because)                       \
	"{\"t\":5000,\"part\":\"jobs\",\"event\":\"" event                     \
	"\",\"job\":\"j1\",\"at_ms\":" #at ",\"task\":" #task                  \
	",\"attempt\":" #attempt ",\"worker\":\"" worker                       \
	"\",\"because\":{" because "}}\n"
#define ANSWERED                                                               \
	"{\"t\":5000,\"part\":\"jobs\",\"event\":\"answered\",\"job\":\"j1\"," \
	"\"status\":\"gave_up\",\"reason\":\"deadline\",\"took_ms\":1000,"     \
	"\"late_ms\":700}\n"
#define NOTE(at, text)                                                         \
	"{\"t\":" #at                                                          \
	",\"part\":\"workers\",\"event\":\"note\",\"text\":\"" text "\"}\n"

/* Return: trace of job j1 as printed, owned; NULL if the logs lack the job. */
static char *
print_trace(const char *entry_log, const char *agent_log)
{
	struct so *s = so_new("j1");
	char *text = NULL;
	size_t size = 0;
	bool found;
	FILE *f, *out;

	f = fmemopen((void *)(uintptr_t)entry_log, strlen(entry_log), "r");
	so_add_log(s, f);
	fclose(f);
	f = fmemopen((void *)(uintptr_t)agent_log, strlen(agent_log), "r");
	so_add_log(s, f);
	fclose(f);
	out = open_memstream(&text, &size);
	found = so_print(s, out);
	fclose(out);
	so_free(s);
	if (found)
		return (text);
	free(text);
	return (NULL);
}

/* Guards against a trace in the order of the log lines: an entry logs the
 * events of a job when it has ended, while its agent logs during the run. */
static void
test_order_of_events(void **state)
{
	char *text;

	(void)state;
	text = print_trace(
	    "front-1 " ANSWERED "front-1 " EVENT("granted", 10, 0, 1, "w1",
		"\"expected_ms\":100") "front-1 " EVENT("lost", 210, 0, 1, "w1",
		"\"queue_ms\":0,\"run_ms\":199"),
	    "w1 " NOTE(4150, "job j1 task 0 attempt 1: run lost"));
	assert_non_null(text);
	assert_non_null(strstr(text, "granted"));
	assert_true(strstr(text, "granted") < strstr(text, "run lost"));
	assert_true(strstr(text, "run lost") < strstr(text, ": lost"));
	assert_non_null(strstr(text, "gave_up"));
	assert_non_null(strstr(text,
	    "First thing that went wrong: the run ended without a result"));
	free(text);
}

/* Guards against notes about workers that the job did not use, and against
 * lines of other jobs. */
static void
test_unrelated_lines(void **state)
{
	char *text;

	(void)state;
	text = print_trace(
	    ANSWERED EVENT("granted", 10, 0, 1, "w1", "\"expected_ms\":100")
		NOTE(4100, "no connection from agent w1")
		    NOTE(4100, "no connection from agent w2"),
	    "{\"t\":4200,\"part\":\"jobs\",\"event\":\"failed\",\"job\":"
	    "\"j2\"}\n"
	    "w1 " NOTE(
		4100, "job j2 task 0: run failed") "not an object\n{broken\n");
	assert_non_null(text);
	assert_non_null(strstr(text, "agent w1"));
	assert_null(strstr(text, "agent w2"));
	assert_null(strstr(text, "failed"));
	free(text);
	assert_null(
	    print_trace(NOTE(4100, "no connection from agent w1"), "\n"));
}

/* Guards against a late job without a problem when only its run was long. */
static void
test_long_run(void **state)
{
	char *text;

	(void)state;
	text = print_trace(
	    ANSWERED EVENT("granted", 10, 0, 1, "w1", "\"expected_ms\":100")
		EVENT("done", 410, 0, 1, "w1", "\"queue_ms\":0,\"run_ms\":399"),
	    "\n");
	assert_non_null(text);
	assert_non_null(strstr(text, "much longer than expected"));
	free(text);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_order_of_events),
	    cmocka_unit_test(test_unrelated_lines),
	    cmocka_unit_test(test_long_run),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
