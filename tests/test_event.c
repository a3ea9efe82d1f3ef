#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <fcntl.h>
#include <jansson.h>

#include "event.h"

#define READ_BYTES 65536

/* Makes standard output a pipe and returns its read end; close_pipe() restores
 * the output for the reports of cmocka. */
static int
open_pipe(int *saved)
{
	int ends[2];

	assert_int_equal(0, pipe(ends));
	*saved = dup(STDOUT_FILENO);
	assert_int_equal(STDOUT_FILENO, dup2(ends[1], STDOUT_FILENO));
	close(ends[1]);
	return (ends[0]);
}

static void
close_pipe(int saved)
{
	dup2(saved, STDOUT_FILENO);
	close(saved);
}

/* Guards against a line that is not one JSON object, for instance because of
 * quotes or newlines in a text. */
static void
test_line_is_json_object(void **state)
{
	char text[READ_BYTES] = "";
	int saved, fd = open_pipe(&saved);
	json_t *o;

	(void)state;
	ev_open("test");
	ev_write("part", "happened", "{s:s,s:i}", "text", "a \"b\"\nc", "n", 5);
	assert_true(read(fd, text, sizeof(text) - 1) > 0);
	close_pipe(saved);
	close(fd);
	assert_ptr_equal(strchr(text, '\n'), text + strlen(text) - 1);
	o = json_loads(text, 0, NULL);
	assert_string_equal(
	    "happened", json_string_value(json_object_get(o, "event")));
	assert_string_equal(
	    "a \"b\"\nc", json_string_value(json_object_get(o, "text")));
	assert_int_equal(5, json_integer_value(json_object_get(o, "n")));
	json_decref(o);
}

/* Guards against a process that blocks because nothing reads its log, and
 * against an unlimited volume of log lines. */
static void
test_blocked_reader_drops_lines(void **state)
{
	char text[2000];
	int saved, fd = open_pipe(&saved), i;
	uint64_t before = ev_dropped();

	(void)state;
	memset(text, 'x', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	ev_open("test");
	for (i = 0; i < EV_LINES_PER_S * 10; i++)
		ev_write("part", "happened", "{s:s}", "text", text);
	close_pipe(saved);
	close(fd);
	assert_true(ev_dropped() - before >= EV_LINES_PER_S * 7);
}

/* Guards against answers that are not logged because the steps of other jobs
 * have used up the rate limit. This once left no line of a late job. */
static void
test_details_leave_budget_for_answers(void **state)
{
	int saved, fd = open_pipe(&saved), i;
	uint64_t before;

	(void)state;
	ev_open("test");
	for (i = 0; i < EV_LINES_PER_S * 10; i++)
		ev_write_detail("part", "step", "{s:i}", "n", i);
	before = ev_dropped();
	for (i = 0; i < EV_LINES_PER_S; i++)
		ev_write("part", "answered", "{s:i}", "n", i);
	close_pipe(saved);
	close(fd);
	assert_int_equal(before, ev_dropped());
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_line_is_json_object),
	    cmocka_unit_test(test_blocked_reader_drops_lines),
	    cmocka_unit_test(test_details_leave_budget_for_answers),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
