#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "partition.h"
#include "state.h"

/* A change of the log and the expected result. */
struct step {
	enum cs_error result;
	const char *body;  /* change without its change_id */
	const char *error; /* expected text, NULL when the result is CS_OK */
};

static const struct step steps[] = {
    {CS_OK,
	"\"kind\":\"inventory_put\",\"azs\":[\"armor\",\"morbihan\"],"
	"\"endpoints\":[{\"name\":\"e2\",\"az\":\"armor\",\"service\":\"s\"},"
	"{\"name\":\"e1\",\"az\":\"morbihan\",\"service\":\"s\",\"worker\":"
	"\"w1\",\"owner\":\"lids\",\"slots\":8}],\"teams\":[{\"name\":\"lids\","
	"\"weight\":3,\"max_running\":40}]",
	NULL},
    {CS_OK, "\"kind\":\"az_out\",\"az\":\"armor\"", NULL},
    {CS_INVALID, "\"kind\":\"az_out\",\"az\":\"amor\"",
	"availability zone amor is unknown"},
    {CS_MALFORMED, "\"kind\":\"az_out\",\"az\":\"\"",
	"az: missing or malformed"},
    {CS_MALFORMED, "\"kind\":\"az_off\",\"az\":\"armor\"",
	"kind az_off is unknown"},
    {CS_MALFORMED, "\"az\":\"armor\"", "kind: missing or malformed"},
    {CS_OK, "\"kind\":\"endpoint_retire\",\"name\":\"e1\"", NULL},
    {CS_INVALID, "\"kind\":\"endpoint_retire\",\"name\":\"e9\"",
	"endpoint e9 is not in the inventory"},
    {CS_MALFORMED,
	"\"kind\":\"endpoint_put\",\"name\":\"e3\",\"az\":\"armor\","
	"\"service\":\"s\",\"slots\":\"8\"",
	"endpoint: missing or malformed"},
    {CS_OK,
	"\"kind\":\"endpoint_put\",\"name\":\"e3\",\"az\":\"morbihan\","
	"\"service\":\"s\",\"slots\":4",
	NULL},
    {CS_OK, "\"kind\":\"team_put\",\"name\":\"hats\",\"weight\":2", NULL},
    {CS_MALFORMED, "\"kind\":\"team_put\",\"name\":\"hats\",\"weight\":0",
	"team: missing or malformed"},
    {CS_OK,
	"\"kind\":\"rule_put\",\"name\":\"b\",\"team\":\"lids\",\"az\":"
	"\"armor\",\"allow\":false",
	NULL},
    {CS_OK,
	"\"kind\":\"rule_put\",\"name\":\"a\",\"team\":\"lids\",\"service\":"
	"\"s\",\"az\":\"armor\",\"allow\":true",
	NULL},
    {CS_MALFORMED, "\"kind\":\"rule_put\",\"name\":\"c\",\"allow\":1",
	"rule: missing or malformed"},
    {CS_INVALID, "\"kind\":\"rule_delete\",\"name\":\"z\"",
	"rule z is unknown"},
    {CS_OK,
	"\"kind\":\"entry_add\",\"name\":\"n1\",\"incarnation\":\"a\","
	"\"address\":\"127.0.0.1:1\",\"az\":\"armor\"",
	NULL},
    {CS_INVALID,
	"\"kind\":\"entry_add\",\"name\":\"n1\",\"incarnation\":\"b\","
	"\"address\":\"127.0.0.1:2\",\"az\":\"armor\"",
	"entry n1 is already registered"},
    {CS_INVALID,
	"\"kind\":\"entry_add\",\"name\":\"n2\",\"incarnation\":\"b\","
	"\"address\":\"127.0.0.1:1\",\"az\":\"armor\"",
	"address 127.0.0.1:1 is registered for entry n1"},
    {CS_INVALID,
	"\"kind\":\"entry_add\",\"name\":\"n2\",\"incarnation\":\"a\","
	"\"address\":\"127.0.0.1:2\",\"az\":\"armor\"",
	"the incarnation is registered for entry n1"},
    {CS_MALFORMED,
	"\"kind\":\"entry_add\",\"name\":\"n2\",\"incarnation\":11,"
	"\"address\":\"127.0.0.1:2\",\"az\":\"armor\"",
	"incarnation: missing or malformed"},
    {CS_OK,
	"\"kind\":\"entry_add\",\"name\":\"n0\",\"incarnation\":"
	"\"ffffffffffffffff\",\"address\":\"127.0.0.1:2\",\"az\":\"armor\"",
	NULL},
    {CS_INVALID,
	"\"kind\":\"entry_replace\",\"name\":\"n1\",\"incarnation\":\"c\","
	"\"previous\":\"b\"",
	"the previous incarnation of entry n1 is not registered"},
    {CS_OK,
	"\"kind\":\"entry_replace\",\"name\":\"n1\",\"incarnation\":\"c\","
	"\"previous\":\"a\"",
	NULL},
    {CS_INVALID,
	"\"kind\":\"entry_remove\",\"name\":\"n1\",\"incarnation\":\"a\"",
	"entry n1 with that incarnation is not registered"},
    {CS_MALFORMED, "\"kind\":\"entries_forget\",\"names\":[]",
	"names: missing or malformed"},
    {CS_INVALID, "\"kind\":\"entries_forget\",\"names\":[\"n1\",\"n7\"]",
	"entry n7 is not registered"},
};

static enum cs_error
apply(struct cs *s, const char *body, char *error, size_t size)
{
	char json[1024];

	snprintf(json, sizeof(json), "{\"change_id\":\"c%" PRIu64 "\",%s}",
	    cs_revision(s) + 1, body);
	return (cs_apply(s, cs_revision(s) + 1, json, error, size));
}

static void
apply_ok(struct cs *s, const char *body)
{
	char error[128];

	error[0] = '\0';
	if (apply(s, body, error, sizeof(error)) != CS_OK)
		fail_msg("%s: %s", body, error);
}

/* A state to which all of steps[] were applied. */
static struct cs *
state_after_steps(void)
{
	char error[128];
	struct cs *s;
	size_t i;

	s = cs_new();
	for (i = 0; i < G_N_ELEMENTS(steps); i++)
		(void)apply(s, steps[i].body, error, sizeof(error));
	return (s);
}

/* A snapshot without its revision, which even a rejected change advances. */
static char *
snapshot_content(const struct cs *s)
{
	char *text, *out;

	text = cs_snapshot(s);
	out = g_strdup(strchr(text, ','));
	free(text);
	return (out);
}

/* Guards against valid changes that are rejected, invalid ones that are
 * applied, and rejected ones that modify the state or block the log. */
static void
test_apply_changes(void **state)
{
	char error[128], *before, *after;
	struct cs *s;
	size_t i;

	(void)state;
	s = cs_new();
	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		before = snapshot_content(s);
		error[0] = '\0';
		assert_int_equal(steps[i].result,
		    apply(s, steps[i].body, error, sizeof(error)));
		assert_int_equal(i + 1, cs_revision(s));
		after = snapshot_content(s);
		if (steps[i].result != CS_OK) {
			assert_string_equal(steps[i].error, error);
			assert_string_equal(before, after);
		}
		g_free(before);
		g_free(after);
	}
	assert_int_equal(
	    CS_GAP, cs_apply(s, i + 2, "{}", error, sizeof(error)));
	assert_int_equal(CS_GAP, cs_apply(s, i, "{}", error, sizeof(error)));
	assert_int_equal(i, cs_revision(s));
	assert_int_equal(
	    CS_MALFORMED, cs_apply(s, i + 1, "[]", error, sizeof(error)));
	assert_int_equal(
	    CS_MALFORMED, cs_apply(s, i + 2, "{", error, sizeof(error)));
	assert_int_equal(i + 2, cs_revision(s));
	cs_free(s);
}

/* Guards against queries that look into the wrong table. */
static void
test_queries(void **state)
{
	const struct cs_member *members;
	const struct cs_endpoint *const *endpoints;
	const struct cs_team *const *teams;
	const char *rule;
	struct cs *s;
	size_t n, exited;

	(void)state;
	s = state_after_steps();
	assert_false(cs_az_in_service(s, "armor"));
	assert_true(cs_az_in_service(s, "morbihan"));
	assert_true(cs_az_in_service(s, "nowhere"));
	assert_false(cs_endpoint_in_service(s, "e1"));
	assert_false(cs_endpoint_in_service(s, "e2"));
	assert_true(cs_endpoint_in_service(s, "e3"));
	assert_false(cs_endpoint_in_service(s, "e4"));
	assert_true(cs_endpoint(s, "e1")->retired);
	assert_int_equal(8, cs_endpoint(s, "e1")->slots);
	assert_string_equal("w1", cs_endpoint(s, "e1")->worker);
	assert_null(cs_endpoint(s, "e4"));
	endpoints = cs_endpoints(s, &n);
	assert_int_equal(3, n);
	assert_string_equal("e1", endpoints[0]->name);
	assert_string_equal("e3", endpoints[2]->name);
	teams = cs_teams(s, &n);
	assert_int_equal(2, n);
	assert_string_equal("hats", teams[0]->name);
	assert_int_equal(40, cs_team(s, "lids")->max_running);
	assert_null(cs_team(s, "caps"));
	assert_true(cs_allowed(s, "lids", "s", "armor", &rule));
	rule = NULL;
	assert_false(cs_allowed(s, "lids", "t", "armor", &rule));
	assert_string_equal("b", rule);
	assert_true(cs_allowed(s, "lids", "t", "morbihan", NULL));
	assert_true(cs_allowed(s, "hats", "t", "armor", NULL));
	members = cs_members(s, &n);
	assert_int_equal(2, n);
	assert_string_equal("n0", members[0].name);
	assert_true(members[0].incarnation == UINT64_MAX);
	assert_int_equal(0xc, members[1].incarnation);
	assert_string_equal("127.0.0.1:1", members[1].address);
	assert_int_equal(24, cs_view(s));
	members = cs_previous_members(s, &n, &exited);
	assert_int_equal(1, n);
	assert_int_equal(1, exited);
	assert_string_equal("n0", members[0].name);
	cs_free(s);
}

/* Guards against an inventory that puts a zone or an endpoint back into service
 * although no operator asked for that. */
static void
test_inventory_keeps_out_of_service(void **state)
{
	struct cs *s;

	(void)state;
	s = state_after_steps();
	apply_ok(s,
	    "\"kind\":\"inventory_put\",\"endpoints\":[{\"name\":\"e1\","
	    "\"az\":\"morbihan\",\"service\":\"t\"},{\"name\":\"e2\",\"az\":"
	    "\"morbihan\",\"service\":\"t\",\"retired\":true}]");
	assert_false(cs_az_in_service(s, "armor"));
	assert_string_equal("t", cs_endpoint(s, "e1")->service);
	assert_true(cs_endpoint(s, "e1")->retired);
	assert_true(cs_endpoint(s, "e2")->retired);
	assert_null(cs_endpoint(s, "e3"));
	assert_null(cs_team(s, "lids"));
	assert_true(cs_allowed(s, "lids", "t", "armor", NULL));
	apply_ok(s,
	    "\"kind\":\"inventory_put\",\"endpoints\":[{\"name\":\"e1\","
	    "\"az\":\"morbihan\",\"service\":\"t\",\"retired\":false}]");
	assert_true(cs_endpoint_in_service(s, "e1"));
	apply_ok(s, "\"kind\":\"endpoint_retire\",\"name\":\"e1\"");
	apply_ok(s,
	    "\"kind\":\"endpoint_put\",\"name\":\"e1\",\"az\":\"morbihan\","
	    "\"service\":\"u\"");
	assert_false(cs_endpoint_in_service(s, "e1"));
	apply_ok(s, "\"kind\":\"endpoint_restore\",\"name\":\"e1\"");
	assert_true(cs_endpoint_in_service(s, "e1"));
	apply_ok(s, "\"kind\":\"az_in\",\"az\":\"armor\"");
	assert_true(cs_az_in_service(s, "armor"));
	apply_ok(s, "\"kind\":\"endpoint_delete\",\"name\":\"e1\"");
	assert_null(cs_endpoint(s, "e1"));
	cs_free(s);
}

/* Guards against a malformed inventory that is applied in part. */
static void
test_malformed_inventory(void **state)
{
	static const char *const cases[] = {
	    "\"kind\":\"inventory_put\",\"azs\":[7]",
	    "\"kind\":\"inventory_put\",\"azs\":{}",
	    "\"kind\":\"inventory_put\",\"azs\":[\"a\",\"a\"]",
	    "\"kind\":\"inventory_put\",\"endpoints\":[{\"name\":\"e\"}]",
	    "\"kind\":\"inventory_put\",\"teams\":[\"lids\"]",
	    "\"kind\":\"inventory_put\",\"azs\":[\"a\"],\"rules\":[{}]",
	};
	char error[128], *before, *after;
	struct cs *s;
	size_t i;

	(void)state;
	s = state_after_steps();
	before = snapshot_content(s);
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		assert_int_equal(
		    CS_MALFORMED, apply(s, cases[i], error, sizeof(error)));
	after = snapshot_content(s);
	assert_string_equal(before, after);
	g_free(before);
	g_free(after);
	cs_free(s);
}

/* Guards against a snapshot that loses part of the state, such as the recent
 * change ids or the entries that accept the last change of the list. */
static void
test_snapshot(void **state)
{
	static const char bad_table[] =
	    "{\"revision\":3,\"state\":{\"view\":1,\"members\":[],"
	    "\"before\":[],\"teams\":[7]}}";
	static const char *const malformed[] = {"", "{}", "[]",
	    "{\"revision\":3}", "{\"revision\":3,\"state\":{}}", bad_table};
	char error[128], *text, *again;
	struct cs *s, *t;
	size_t i;

	(void)state;
	s = state_after_steps();
	text = cs_snapshot(s);
	t = cs_new();
	apply_ok(t, "\"kind\":\"team_put\",\"name\":\"gone\"");
	assert_int_equal(CS_OK, cs_restore(t, text));
	again = cs_snapshot(t);
	assert_string_equal(text, again);
	free(again);
	for (i = 0; i < G_N_ELEMENTS(malformed); i++)
		assert_int_equal(CS_MALFORMED, cs_restore(t, malformed[i]));
	again = cs_snapshot(t);
	assert_string_equal(text, again);
	assert_int_equal(2, cs_change_revision(t, "c2"));
	assert_int_equal(0, cs_change_revision(t, "c3"));
	assert_int_equal(CS_INVALID,
	    cs_check(t,
		"{\"change_id\":\"c2\",\"kind\":\"az_in\",\"az\":\"armor\"}",
		error, sizeof(error)));
	assert_string_equal(
	    "the change is already in the log at revision 2", error);
	apply_ok(s, "\"kind\":\"entries_forget\",\"names\":[\"n0\"]");
	apply_ok(t, "\"kind\":\"entries_forget\",\"names\":[\"n0\"]");
	free(again);
	free(text);
	text = cs_snapshot(s);
	again = cs_snapshot(t);
	assert_string_equal(text, again);
	free(again);
	free(text);
	cs_free(s);
	cs_free(t);
}

/* Guards against a list of recent change ids that grows without limit. */
static void
test_recent_changes_limit(void **state)
{
	struct cs *s;
	unsigned i;

	(void)state;
	s = cs_new();
	for (i = 0; i < 300; i++)
		apply_ok(s, "\"kind\":\"team_put\",\"name\":\"lids\"");
	assert_int_equal(300, cs_change_revision(s, "c300"));
	assert_int_equal(45, cs_change_revision(s, "c45"));
	assert_int_equal(0, cs_change_revision(s, "c44"));
	cs_free(s);
}

/* Guards against partitions that have no owner or that move between two
 * entries when a third one leaves. */
static void
test_partition_owners(void **state)
{
	const char *before[PD_PARTITIONS];
	const struct cs_member *owner;
	unsigned p, moved;
	char body[256];
	struct cs *s;

	(void)state;
	s = cs_new();
	assert_null(cs_owner(s, 0));
	for (p = 0; p < 3; p++) {
		snprintf(body, sizeof(body),
		    "\"kind\":\"entry_add\",\"name\":\"n%u\",\"incarnation\":"
		    "\"%u\",\"address\":\"127.0.0.1:%u\",\"az\":\"armor\"",
		    p, p + 1, p);
		apply_ok(s, body);
	}
	for (p = 0; p < PD_PARTITIONS; p++) {
		owner = cs_owner(s, p);
		before[p] = g_intern_string(owner->name);
		assert_true(pt_weight(p, owner->name) >= pt_weight(p, "n0"));
		assert_true(pt_weight(p, owner->name) >= pt_weight(p, "n1"));
		assert_true(pt_weight(p, owner->name) >= pt_weight(p, "n2"));
	}
	assert_null(cs_owner(s, PD_PARTITIONS));
	apply_ok(s,
	    "\"kind\":\"entry_replace\",\"name\":\"n1\",\"incarnation\":\"9\","
	    "\"previous\":\"2\"");
	for (p = 0; p < PD_PARTITIONS; p++)
		assert_string_equal(before[p], cs_owner(s, p)->name);
	apply_ok(s,
	    "\"kind\":\"entry_leave\",\"name\":\"n1\",\"incarnation\":\"9\"");
	moved = 0;
	for (p = 0; p < PD_PARTITIONS; p++) {
		owner = cs_owner(s, p);
		if (strcmp(before[p], "n1") == 0)
			moved++;
		else
			assert_string_equal(before[p], owner->name);
	}
	assert_true(moved > 10 && moved < 35);
	cs_free(s);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_apply_changes),
	    cmocka_unit_test(test_queries),
	    cmocka_unit_test(test_inventory_keeps_out_of_service),
	    cmocka_unit_test(test_malformed_inventory),
	    cmocka_unit_test(test_snapshot),
	    cmocka_unit_test(test_recent_changes_limit),
	    cmocka_unit_test(test_partition_owners),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
