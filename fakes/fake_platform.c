#include <argtable2.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "web.h"

/**
 * DOC: fake_platform - table service and object store in memory
 *
 * `PUT /control?mode=up|down|silent|error|slow&delay_ms=N&lose_writes=N` sets
 * faults: "down" closes the connection of every request, "silent" holds every
 * request, "error" answers 503, "slow" waits delay_ms before each operation.
 * With lose_writes the next N writes take effect and are not answered.
 * `GET /control` gives the settings and the counts.
 */

enum mode {
	MODE_UP,
	MODE_DOWN,
	MODE_SILENT,
	MODE_ERROR,
	MODE_SLOW,
	MODE_COUNT,
};

static const char *const mode_names[MODE_COUNT] = {
    [MODE_UP] = "up",
    [MODE_DOWN] = "down",
    [MODE_SILENT] = "silent",
    [MODE_ERROR] = "error",
    [MODE_SLOW] = "slow",
};

struct platform {
	struct event_base *base;
	GHashTable *tables;  /* name to GTree of key to GString */
	GHashTable *objects; /* name to GString */
	GList *held;         /* requests of the silent mode */
	enum mode mode;
	unsigned delay_ms;
	unsigned lose_writes;
	uint64_t reads;
	uint64_t writes;
	uint64_t lost;
	uint64_t faulted; /* requests without effect: down, silent, error */
};

/* A request that waits in the slow mode. */
struct delayed {
	struct platform *platform;
	struct evhttp_request *req;
	struct event *timer;
};

static int
key_compare(const void *a, const void *b, void *arg)
{
	(void)arg;
	return (strcmp(a, b));
}

static void
value_free(void *value)
{
	g_string_free(value, TRUE);
}

static void
tree_free(void *tree)
{
	g_tree_destroy(tree);
}

static GTree *
table_of(struct platform *p, const char *name)
{
	GTree *tree = g_hash_table_lookup(p->tables, name);

	if (tree == NULL) {
		tree = g_tree_new_full(key_compare, NULL, g_free, value_free);
		g_hash_table_insert(p->tables, g_strdup(name), tree);
	}
	return (tree);
}

static json_t *
row_json(const char *key, const GString *value)
{
	return (json_pack(
	    "{s:s, s:s%}", "key", key, "value", value->str, value->len));
}

static GString *
body_string(struct evhttp_request *req)
{
	size_t len;
	char *text = wb_body(req, &len);
	GString *s = g_string_new_len(text, (gssize)len);

	g_free(text);
	return (s);
}

static void
reply_written(struct platform *p, struct evhttp_request *req, int code)
{
	p->writes++;
	if (p->lose_writes > 0) {
		p->lose_writes--;
		p->lost++;
		wb_drop(req);
		return;
	}
	wb_reply_json(req, code, json_pack("{s:b}", "written", 1));
}

static void
table_put(struct platform *p, struct evhttp_request *req, const char *table,
    const char *key)
{
	bool if_absent = strcmp(wb_header(req, "If-None-Match"), "*") == 0;
	GTree *tree = table_of(p, table);
	const GString *row = g_tree_lookup(tree, key);

	if (row != NULL && if_absent) {
		/* A rejected write also counts against the platform's rate. */
		p->writes++;
		wb_reply_json(req, 412, row_json(key, row));
		return;
	}
	g_tree_replace(tree, g_strdup(key), body_string(req));
	reply_written(p, req, 201);
}

static void
table_get(struct platform *p, struct evhttp_request *req, const char *table,
    const char *key)
{
	const GString *row = g_tree_lookup(table_of(p, table), key);

	p->reads++;
	if (row == NULL)
		wb_reply_json(req, 404, json_pack("{s:s}", "error", "no_row"));
	else
		wb_reply_json(req, 200, row_json(key, row));
}

static void
table_scan(struct platform *p, struct evhttp_request *req, const char *table)
{
	json_t *rows = json_array();
	const char *after;
	struct wb_query q;
	GTreeNode *node;
	size_t limit;

	wb_query_read(&q, req);
	after = wb_query_text(&q, "after");
	limit = (size_t)wb_query_number(&q, "limit", 1000);
	node = g_tree_upper_bound(table_of(p, table), after ? after : "");
	for (; node != NULL && json_array_size(rows) < limit;
	     node = g_tree_node_next(node))
		json_array_append_new(rows,
		    row_json(g_tree_node_key(node), g_tree_node_value(node)));
	wb_query_release(&q);
	p->reads++;
	wb_reply_json(req, 200, json_pack("{s:o}", "rows", rows));
}

static void
object_request(struct platform *p, struct evhttp_request *req, const char *name,
    enum evhttp_cmd_type method)
{
	const GString *value;

	if (method == EVHTTP_REQ_PUT) {
		g_hash_table_replace(
		    p->objects, g_strdup(name), body_string(req));
		reply_written(p, req, 201);
		return;
	}
	p->reads++;
	value = g_hash_table_lookup(p->objects, name);
	if (value == NULL)
		wb_reply_json(
		    req, 404, json_pack("{s:s}", "error", "no_object"));
	else
		wb_reply(req, 200, value->str, value->len);
}

static void
perform(struct platform *p, struct evhttp_request *req)
{
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	enum evhttp_cmd_type method = evhttp_request_get_command(req);
	char **parts = g_strsplit(path != NULL ? path : "", "/", 4);
	unsigned n = g_strv_length(parts);

	if (n == 4 && strcmp(parts[1], "table") == 0 &&
	    method == EVHTTP_REQ_PUT)
		table_put(p, req, parts[2], parts[3]);
	else if (n == 4 && strcmp(parts[1], "table") == 0)
		table_get(p, req, parts[2], parts[3]);
	else if (n == 3 && strcmp(parts[1], "table") == 0)
		table_scan(p, req, parts[2]);
	else if (n == 3 && strcmp(parts[1], "object") == 0)
		object_request(p, req, parts[2], method);
	else
		wb_reply_json(req, 404, json_pack("{s:s}", "error", "path"));
	g_strfreev(parts);
}

static void
delayed_run(evutil_socket_t fd, short what, void *arg)
{
	struct delayed *d = arg;

	(void)fd;
	(void)what;
	event_free(d->timer);
	perform(d->platform, d->req);
	g_free(d);
}

static void
delay(struct platform *p, struct evhttp_request *req)
{
	struct delayed *d = g_new0(struct delayed, 1);

	d->platform = p;
	d->req = req;
	d->timer = evtimer_new(p->base, delayed_run, d);
	wb_after(d->timer, (uint64_t)p->delay_ms * 1000);
}

static void
held_drop(void *req)
{
	wb_drop(req);
}

static void
control_put(struct platform *p, struct evhttp_request *req)
{
	const char *mode;
	struct wb_query q;

	wb_query_read(&q, req);
	mode = wb_query_text(&q, "mode");
	for (int i = 0; mode != NULL && i < MODE_COUNT; i++)
		if (strcmp(mode, mode_names[i]) == 0)
			p->mode = (enum mode)i;
	p->delay_ms = (unsigned)wb_query_number(&q, "delay_ms", p->delay_ms);
	p->lose_writes =
	    (unsigned)wb_query_number(&q, "lose_writes", p->lose_writes);
	wb_query_release(&q);
	if (p->mode != MODE_SILENT) {
		g_list_free_full(p->held, held_drop);
		p->held = NULL;
	}
}

static void
control(struct platform *p, struct evhttp_request *req)
{
	if (evhttp_request_get_command(req) == EVHTTP_REQ_PUT)
		control_put(p, req);
	wb_reply_json(req, 200,
	    json_pack("{s:s, s:i, s:i, s:I, s:I, s:I, s:I}", "mode",
		mode_names[p->mode], "delay_ms", (int)p->delay_ms,
		"lose_writes", (int)p->lose_writes, "reads",
		(json_int_t)p->reads, "writes", (json_int_t)p->writes, "lost",
		(json_int_t)p->lost, "faulted", (json_int_t)p->faulted));
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	struct platform *p = arg;

	if (wb_is_control(req)) {
		control(p, req);
		return;
	}
	switch (p->mode) {
	case MODE_DOWN:
		p->faulted++;
		wb_drop(req);
		break;
	case MODE_SILENT:
		p->faulted++;
		p->held = g_list_prepend(p->held, req);
		break;
	case MODE_ERROR:
		p->faulted++;
		wb_reply_json(req, 503, json_pack("{s:s}", "error", "down"));
		break;
	case MODE_SLOW:
		delay(p, req);
		break;
	default:
		perform(p, req);
	}
}

static unsigned
parse_options(int argc, char **argv)
{
	struct arg_int *port =
	    arg_int0(NULL, "port", "N", "port to listen on, 0 for any");
	struct arg_end *end = arg_end(4);
	void *table[] = {port, end};
	unsigned value;

	port->ival[0] = 0;
	if (arg_parse(argc, argv, table) != 0) {
		arg_print_errors(stderr, end, argv[0]);
		exit(2);
	}
	value = (unsigned)port->ival[0];
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return (value);
}

int
main(int argc, char **argv)
{
	struct platform p = {0};
	unsigned port = parse_options(argc, argv);
	struct evhttp *http;

	p.base = wb_base_new();
	p.tables =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, tree_free);
	p.objects =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, value_free);
	http = wb_listen(p.base, port, on_request, &p, &port);
	wb_ready(&port, 1);
	wb_run(p.base);
	evhttp_free(http);
	g_list_free(p.held);
	g_hash_table_destroy(p.tables);
	g_hash_table_destroy(p.objects);
	event_base_free(p.base);
	return (0);
}
