#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "cell.h"
#include "log.h"
#include "member_impl.h"

#define ZONE_OUT "{\"change_id\":\"c1\",\"kind\":\"az_out\",\"az\":\"armor\"}"

static struct cell *
started(unsigned count, unsigned variant)
{
	struct cell *c;
	unsigned i;

	c = cell_new(count, 1);
	c->variant = variant;
	for (i = 0; i < count; i++)
		cell_start(c, i);
	cell_run(c, 3000);
	return (c);
}

/* Guards against entries that never register or changes never accepted on the
 * calm path. */
static void
test_calm(void **state)
{
	struct cell_result r;
	struct cell *c;
	size_t n, i;

	(void)state;
	c = started(3, 0);
	assert_int_equal(3, cell_ready(c));
	cell_change(c, 1, ZONE_OUT, 0, &r);
	cell_run(c, 1000);
	assert_true(r.ended);
	assert_int_equal(MB_ACCEPTED, r.outcome);
	for (i = 0; i < 3; i++) {
		(void)cs_members(mb_state(c->nodes[i].mb), &n);
		assert_int_equal(3, n);
		assert_false(cs_az_in(mb_state(c->nodes[i].mb), "armor"));
		assert_ptr_not_equal(
		    NULL, cs_owner(mb_state(c->nodes[i].mb), 7));
	}
	assert_string_equal("", c->violation);
	cell_free(c);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_calm),
	};

	lg_open("test_member", LOG_ERR);
	return (cmocka_run_group_tests(tests, NULL, NULL));
}
