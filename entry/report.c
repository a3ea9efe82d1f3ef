#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

#include "conn.h"
#include "counters.h"
#include "dispatch.h"
#include "forward.h"
#include "history.h"
#include "kernel.h"
#include "member.h"
#include "options.h"
#include "report.h"
#include "sessions.h"
#include "takeover.h"

#define HEX_BYTES 17

/* Incarnations are hexadecimal strings, since JSON numbers would lose bits. */
static json_t *
hex_json(uint64_t value)
{
	char text[HEX_BYTES];

	snprintf(text, sizeof(text), "%016" PRIx64, value);
	return (json_string(text));
}

static json_t *
entries_json(const struct mb *m)
{
	const struct cs_member *members;
	json_t *list = json_array();
	size_t i, n;

	members = cs_members(mb_state(m), &n);
	for (i = 0; i < n; i++)
		json_array_append_new(list,
		    json_pack("{s:s, s:o, s:s, s:s, s:b}", "name",
			members[i].name, "incarnation",
			hex_json(members[i].incarnation), "address",
			members[i].address, "az", members[i].az, "self",
			members[i].incarnation == mb_incarnation(m)));
	return (list);
}

static void
add_endpoint(void *arg, const struct dp_endpoint_info *e)
{
	static const char *const health[] = {
	    [PD_HEALTHY] = "healthy",
	    [PD_SUSPECT] = "suspect",
	    [PD_EJECTED] = "ejected",
	};

	json_array_append_new(arg,
	    json_pack("{s:s, s:s, s:s, s:b, s:b, s:b, s:s, s:i, s:i, s:i, s:i, "
		      "s:f}",
		"name", e->name, "az", e->az, "service", e->service,
		"connected", e->connected, "in_service", e->in_service,
		"draining", e->draining, "health", health[e->health], "slots",
		(int)e->slots, "running", (int)e->running, "queued",
		(int)e->queued, "outstanding", (int)e->outstanding, "speed",
		e->speed));
}

static json_t *
partition_counts(const struct tk *t)
{
	static const char *const names[] = {
	    [DP_FOREIGN] = "foreign",
	    [DP_GATHERING] = "gathering",
	    [DP_ACTIVE] = "active",
	};
	int count[G_N_ELEMENTS(names)] = {0};
	json_t *root = json_object();
	unsigned i;

	for (i = 0; i < PD_PARTITIONS; i++)
		count[tk_partition_state(t, i)]++;
	for (i = 0; i < G_N_ELEMENTS(names); i++)
		json_object_set_new(root, names[i], json_integer(count[i]));
	return (root);
}

static json_t *
submission_counts(const struct kn *k)
{
	struct dp_stats s = dp_stats(kn_find(k, "dispatch"));

	return (json_pack("{s:I, s:I, s:I, s:I, s:I}", "remembered",
	    (json_int_t)s.submissions, "pending", (json_int_t)s.pending,
	    "queued_tasks", (json_int_t)s.queued, "granted_tasks",
	    (json_int_t)s.granted, "in_hand",
	    (json_int_t)fw_pending(kn_find(k, "forward"))));
}

char *
rp_status(struct kn *k, bool draining)
{
	const struct mb *m = kn_find(k, "member");
	const struct op *o = kn_find(k, "settings");
	const struct cs *state = mb_state(m);
	json_t *endpoints = json_array();
	json_t *root;
	char *text;

	dp_endpoints(kn_find(k, "dispatch"), add_endpoint, endpoints);
	root = json_pack(
	    "{s:s, s:o, s:s, s:I, s:I, s:b, s:b, s:b, s:o, s:o, s:o, s:o}",
	    "name", o->name, "incarnation", hex_json(mb_incarnation(m)), "az",
	    o->az, "revision", (json_int_t)cs_revision(state), "view",
	    (json_int_t)cs_view(state), "registered", mb_registered(m),
	    "verified", mb_verified(m), "draining", draining, "entries",
	    entries_json(m), "partitions",
	    partition_counts(kn_find(k, "takeover")), "submissions",
	    submission_counts(k), "endpoints", endpoints);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return (text);
}

char *
rp_config(struct kn *k)
{
	return (cs_snapshot(mb_state(kn_find(k, "member"))));
}

static void
add_event(void *arg, const struct hi_event *e)
{
	json_array_append_new(arg,
	    json_pack("{s:I, s:s, s:s}", "wall_ms", (json_int_t)e->wall_ms,
		"what", e->what, "text", e->text));
}

char *
rp_explain(struct kn *k, const char *id)
{
	json_t *events = json_array();
	size_t n, dropped = 0;
	char *text = NULL;
	json_t *root;

	n = hi_visit(kn_find(k, "history"), id, add_event, events, &dropped);
	root = json_pack("{s:s, s:I, s:o}", "id", id, "dropped",
	    (json_int_t)dropped, "events", events);
	if (n > 0)
		text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return (text);
}

static void
set_gauge(struct kn *k, const char *name, const char *help, int64_t value)
{
	ct_set(ct_get(kn_find(k, "counters"), CT_GAUGE, name, help, ""), value);
}

char *
rp_metrics(struct kn *k)
{
	const struct mb *m = kn_find(k, "member");
	struct dp_stats s = dp_stats(kn_find(k, "dispatch"));
	struct cn_stats wire = cn_stats_get();

	set_gauge(k, "pd_submissions_remembered", "submissions remembered",
	    (int64_t)s.submissions);
	set_gauge(k, "pd_submissions_pending", "submissions without an answer",
	    (int64_t)s.pending);
	set_gauge(k, "pd_tasks_queued", "tasks that wait at this entry",
	    (int64_t)s.queued);
	set_gauge(k, "pd_tasks_granted", "tasks granted without a result",
	    (int64_t)s.granted);
	set_gauge(k, "pd_agents", "agents with a session",
	    (int64_t)ss_agent_count(kn_find(k, "sessions")));
	set_gauge(k, "pd_revision", "revision of the configuration",
	    (int64_t)cs_revision(mb_state(m)));
	set_gauge(k, "pd_view", "revision of the list of entries",
	    (int64_t)cs_view(mb_state(m)));
	set_gauge(k, "pd_verified", "1 while permits may be given",
	    mb_verified(m) ? 1 : 0);
	set_gauge(k, "pd_rpc_sent_messages", "messages sent since the start",
	    (int64_t)wire.sent_messages);
	set_gauge(k, "pd_rpc_sent_bytes", "bytes sent since the start",
	    (int64_t)wire.sent_bytes);
	set_gauge(k, "pd_rpc_received_messages",
	    "messages received since the start",
	    (int64_t)wire.received_messages);
	set_gauge(k, "pd_rpc_received_bytes", "bytes received since the start",
	    (int64_t)wire.received_bytes);
	set_gauge(k, "pd_rpc_malformed",
	    "connections closed because of malformed messages",
	    (int64_t)wire.malformed);
	return (ct_render(kn_find(k, "counters")));
}
