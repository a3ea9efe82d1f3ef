#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "clock.h"
#include "history.h"

static void
collect(void *arg, const struct hi_event *e)
{
	g_string_append_printf(arg, "%s:%s ", e->what, e->text);
}

static size_t
visit(
    const struct hi *h, const char *id, char *out, size_t size, size_t *dropped)
{
	GString *text;
	size_t n;

	text = g_string_new("");
	n = hi_visit(h, id, collect, text, dropped);
	g_strlcpy(out, text->str, size);
	g_string_free(text, TRUE);
	return (n);
}

/* Guards against unbounded memory, and against the loss of the first or last
 * events. */
static void
test_bounded(void **state)
{
	struct pd_id id = {.id = "a", .created_ms = 1};
	struct ck *clock;
	struct hi *h;
	char text[128];
	size_t dropped;
	unsigned i;

	(void)state;
	clock = ck_new_manual(1, 1000);
	h = hi_new(clock, 2, 4);
	for (i = 0; i < 7; i++)
		hi_add(h, &id, "e", "%u", i);
	assert_int_equal(visit(h, "a", text, sizeof(text), &dropped), 4);
	assert_string_equal(text, "e:0 e:1 e:5 e:6 ");
	assert_int_equal(dropped, 3);
	id.id = "b";
	hi_add(h, &id, "x", "1");
	id.id = "c";
	hi_add(h, &id, "x", "2");
	assert_int_equal(visit(h, "a", text, sizeof(text), &dropped), 0);
	assert_int_equal(visit(h, "b", text, sizeof(text), &dropped), 1);
	assert_int_equal(hi_evicted(h), 1);
	hi_add(NULL, &id, "x", "3");
	hi_free(h);
	ck_free(clock);
}

int
main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_bounded),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
