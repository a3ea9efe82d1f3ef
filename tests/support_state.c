#include <glib.h>
#include <stdarg.h>
#include <stdlib.h>

#include "support_state.h"

/* Applies a change and aborts the test if it is rejected. */
static void __attribute__((format(printf, 2, 3)))
apply(struct cs *s, const char *fmt, ...)
{
	char error[256] = "";
	va_list ap;
	char *fields, *json;

	va_start(ap, fmt);
	fields = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	/* A repeated change id would be rejected; the revision is unique. */
	json = g_strdup_printf(
	    "{\"change_id\": \"%llu\", \"by\": "
	    "\"test\", %s}",
	    (unsigned long long)cs_revision(s) + 1, fields);
	g_free(fields);
	if (cs_apply(s, cs_revision(s) + 1, json, error, sizeof(error)) !=
	    CS_OK)
		g_error("change %s: %s", json, error);
	g_free(json);
}

void
ss_set_az(struct cs *s, const char *az, bool in)
{
	apply(s,
	    "\"kind\": \"%s\", "
	    "\"az\": \"%s\"",
	    in ? "az_in" : "az_out", az);
}

void
ss_put_endpoint(struct cs *s, const char *name, const char *az,
    const char *service, unsigned slots)
{
	apply(s,
	    "\"kind\": "
	    "\"endpoint_put\", \"name\": \"%s\", \"az\": \"%s\", "
	    "\"service\": \"%s\", \"worker\": \"w\", \"owner\": \"lids\", "
	    "\"slots\": %u",
	    name, az, service, slots);
}

void
ss_retire_endpoint(struct cs *s, const char *name)
{
	apply(s,
	    "\"kind\": "
	    "\"endpoint_retire\", \"name\": \"%s\"",
	    name);
}

void
ss_put_team(
    struct cs *s, const char *name, unsigned weight, unsigned max_running)
{
	apply(s,
	    "\"kind\": \"team_put\", "
	    "\"name\": \"%s\", \"weight\": %u, \"max_running\": %u",
	    name, weight, max_running);
}

void
ss_put_forbid_rule(struct cs *s, const char *rule, const char *team,
    const char *service, const char *az)
{
	apply(s,
	    "\"kind\": \"rule_put\", "
	    "\"name\": \"%s\", \"team\": \"%s\", \"service\": \"%s\", "
	    "\"az\": \"%s\", \"allow\": false",
	    rule, team, service, az);
}
