#include <argtable2.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fields.h"
#include "web.h"

/**
 * DOC: fake_platform - the platform's store in memory: versioned rows,
 * conditional transactions, a feed of changes, and objects
 *
 * `PUT /control?mode=up|down|silent|error|busy|slow&delay_ms=N&lose_writes=N&
 * late_writes=N&late_ms=N&refuse=N&forget=1` injects faults: "down" closes the
 * connection of every request, "silent" leaves every request unanswered,
 * "error" answers 503, "busy" 429, "slow" delays each operation by delay_ms.
 * With lose_writes the next N writes take effect and are not answered; with
 * late_writes they take effect late_ms later, if their condition still holds.
 * With refuse the next N requests get 503. With forget the history of changes
 * is discarded. `GET /control` returns the settings and the counts.
 */

/* Upper limit of the wait_ms of a feed request. */
#define WAIT_MAX_MS 30000
#define ROWS_MAX 500
/* Values of the rows of one answer; a longer row has an answer of its own. */
#define PAGE_BYTES 1000000
#define STATUS_CONFLICT 412
#define STATUS_GONE 410

enum mode {
	MODE_UP,
	MODE_DOWN,
	MODE_SILENT,
	MODE_ERROR,
	MODE_BUSY,
	MODE_SLOW,
	MODE_COUNT,
};

static const char *const mode_names[MODE_COUNT] = {
    [MODE_UP] = "up",
    [MODE_DOWN] = "down",
    [MODE_SILENT] = "silent",
    [MODE_ERROR] = "error",
    [MODE_BUSY] = "busy",
    [MODE_SLOW] = "slow",
};

/* A removed row is kept as a tombstone, so that the feed reports it. */
struct row {
	char *table;
	char *part;
	char *key;
	char *value; /* base64, NULL for a tombstone */
	uint64_t version;
};

/* A feed request that waits for a change. */
struct feed_request {
	struct platform *platform;
	struct evhttp_request *req;
	struct event *timer;
	char *table;
	uint64_t after;
};

struct platform {
	struct event_base *base;
	GPtrArray *rows;      /* struct row in order of table, part and key */
	GHashTable *objects;  /* name to GString */
	GList *held_requests; /* requests of the silent mode */
	GList *feeds;         /* struct feed_request */
	enum mode mode;
	unsigned delay_ms;
	unsigned lose_writes;
	unsigned late_writes;
	unsigned late_ms;
	unsigned refuse_requests;
	uint64_t version;
	uint64_t discarded_version; /* history is gone up to here */
	uint64_t reads;
	uint64_t writes;
	uint64_t lost_writes;
	uint64_t failed_requests; /* requests without effect */
};

/* A transaction that takes effect after a delay. */
struct delayed_tx {
	struct platform *platform;
	struct event *timer;
	json_t *tx;
};

/* A request that is delayed in the slow mode. */
struct delayed_request {
	struct platform *platform;
	struct evhttp_request *req;
	struct event *timer;
};

static void
value_free(void *value)
{
	g_string_free(value, TRUE);
}

static void
row_free(void *p)
{
	struct row *r = p;

	g_free(r->table);
	g_free(r->part);
	g_free(r->key);
	g_free(r->value);
	g_free(r);
}

static int
compare_key(
    const struct row *r, const char *table, const char *part, const char *key)
{
	int c = strcmp(r->table, table);

	if (c == 0)
		c = strcmp(r->part, part);
	return (c != 0 ? c : strcmp(r->key, key));
}

/* Index of the first row whose key is not less than the given one. */
static guint
lower_bound(const struct platform *p, const char *table, const char *part,
    const char *key)
{
	guint low = 0, high = p->rows->len, middle;

	while (low < high) {
		middle = (low + high) / 2;
		if (compare_key(p->rows->pdata[middle], table, part, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return (low);
}

/* Row that an entry of a transaction names, NULL when it never existed. */
static struct row *
find_row(const struct platform *p, const json_t *entry)
{
	const char *table = fd_text(entry, "table");
	const char *part = fd_text(entry, "part");
	const char *key = fd_text(entry, "key");
	guint i = lower_bound(p, table, part, key);

	if (i < p->rows->len &&
	    compare_key(p->rows->pdata[i], table, part, key) == 0)
		return (p->rows->pdata[i]);
	return (NULL);
}

static json_t *
row_json(const struct row *r)
{
	json_t *o = json_pack("{s:s, s:s, s:s, s:I}", "table", r->table, "part",
	    r->part, "key", r->key, "ver", (json_int_t)r->version);

	if (r->value != NULL)
		json_object_set_new(o, "value", json_string(r->value));
	else
		json_object_set_new(o, "tombstone", json_true());
	return (o);
}

static json_t *
answer_json(const struct platform *p, json_t *rows, bool more)
{
	return (json_pack("{s:o, s:b, s:I, s:I}", "rows", rows, "has_more",
	    more, "ver", (json_int_t)p->version, "now_ms",
	    (json_int_t)(wb_mono_us() / 1000)));
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
reply_written(struct platform *p, struct evhttp_request *req, json_t *answer)
{
	p->writes++;
	if (p->lose_writes > 0) {
		p->lose_writes--;
		p->lost_writes++;
		json_decref(answer);
		wb_drop(req);
		return;
	}
	wb_reply_json(req, 200, answer);
}

static json_t *
changed_rows(const struct platform *p, const char *table, uint64_t after)
{
	json_t *rows = json_array();
	uint64_t next, last = after;
	const struct row *r, *best;
	guint i;

	/* By version, which is the order of the changes. */
	do {
		best = NULL;
		next = UINT64_MAX;
		for (i = 0; i < p->rows->len; i++) {
			r = p->rows->pdata[i];
			if (r->version > last && r->version < next &&
			    strcmp(r->table, table) == 0) {
				best = r;
				next = r->version;
			}
		}
		if (best != NULL) {
			json_array_append_new(rows, row_json(best));
			last = next;
		}
	} while (best != NULL && json_array_size(rows) < ROWS_MAX);
	return (rows);
}

static void
feed_free(void *arg)
{
	struct feed_request *f = arg;

	event_free(f->timer);
	f->platform->feeds = g_list_remove(f->platform->feeds, f);
	g_free(f->table);
	g_free(f);
}

/* @timed_out: answer also without changes, as the wait_ms have passed. */
static void
feed_answer(struct feed_request *f, bool timed_out)
{
	struct platform *p = f->platform;
	json_t *rows = changed_rows(p, f->table, f->after);

	if (json_array_size(rows) == 0 && !timed_out) {
		json_decref(rows);
		return;
	}
	wb_reply_json(f->req, 200, answer_json(p, rows, false));
	feed_free(f);
}

static void
feed_timed_out(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	feed_answer(arg, true);
}

static void
notify_feeds(struct platform *p)
{
	GList *copy = g_list_copy(p->feeds), *i;

	for (i = copy; i != NULL; i = i->next)
		feed_answer(i->data, false);
	g_list_free(copy);
}

/* Rows whose version is not the one that the transaction expects; NULL when
 * there are none. */
static json_t *
conflicting_rows(const struct platform *p, const json_t *tx)
{
	json_t *list = json_object_get(tx, "expected_revision"), *entry;
	json_t *rows = NULL;
	const struct row *r;
	uint64_t version;
	size_t i;

	json_array_foreach(list, i, entry)
	{
		r = find_row(p, entry);
		version = r != NULL && r->value != NULL ? r->version : 0;
		if (version ==
		    (uint64_t)json_integer_value(json_object_get(entry, "ver")))
			continue;
		if (rows == NULL)
			rows = json_array();
		if (version != 0)
			json_array_append_new(rows, row_json(r));
	}
	return (rows);
}

static void
set_row(struct platform *p, const json_t *entry, const char *value)
{
	struct row *r = find_row(p, entry);

	if (r == NULL) {
		r = g_new0(struct row, 1);
		r->table = g_strdup(fd_text(entry, "table"));
		r->part = g_strdup(fd_text(entry, "part"));
		r->key = g_strdup(fd_text(entry, "key"));
		g_ptr_array_insert(p->rows,
		    (gint)lower_bound(p, r->table, r->part, r->key), r);
	}
	g_free(r->value);
	r->value = g_strdup(value);
	r->version = p->version;
}

static void
apply(struct platform *p, const json_t *tx)
{
	json_t *entry;
	size_t i;

	p->version++;
	json_array_foreach(json_object_get(tx, "writes"), i, entry)
	{
		set_row(p, entry, fd_text(entry, "value"));
	}
	json_array_foreach(json_object_get(tx, "remove"), i, entry)
	{
		set_row(p, entry, NULL);
	}
	notify_feeds(p);
}

static void
on_delayed_tx(evutil_socket_t fd, short what, void *arg)
{
	struct delayed_tx *l = arg;
	json_t *rows = conflicting_rows(l->platform, l->tx);

	(void)fd;
	(void)what;
	if (rows == NULL)
		apply(l->platform, l->tx);
	json_decref(rows);
	json_decref(l->tx);
	event_free(l->timer);
	g_free(l);
}

static void
apply_later(struct platform *p, json_t *tx)
{
	struct delayed_tx *l = g_new0(struct delayed_tx, 1);

	l->platform = p;
	l->tx = json_incref(tx);
	l->timer = evtimer_new(p->base, on_delayed_tx, l);
	wb_start_timer(l->timer, (uint64_t)p->late_ms * 1000);
}

static void
handle_transaction(struct platform *p, struct evhttp_request *req)
{
	size_t len;
	char *text = wb_body(req, &len);
	json_t *tx = json_loadb(text, len, 0, NULL), *rows;

	g_free(text);
	rows = conflicting_rows(p, tx);
	if (!json_is_object(tx)) {
		wb_reply_json(req, 400, json_pack("{s:s}", "error", "body"));
	} else if (p->late_writes > 0) {
		p->late_writes--;
		apply_later(p, tx);
		wb_drop(req);
	} else if (rows != NULL) {
		/* A rejected write also counts against the platform's rate. */
		p->writes++;
		wb_reply_json(req, STATUS_CONFLICT,
		    answer_json(p, json_incref(rows), false));
	} else {
		apply(p, tx);
		reply_written(
		    p, req, json_pack("{s:I}", "ver", (json_int_t)p->version));
	}
	json_decref(rows);
	json_decref(tx);
}

static void
rows_get(struct platform *p, struct evhttp_request *req)
{
	const char *table, *part, *from, *to;
	json_t *rows = json_array();
	bool more = false;
	struct wb_query q;
	const struct row *r;
	size_t limit, bytes = 0;
	guint i;

	wb_query_read(&q, req);
	table = wb_query_text(&q, "table");
	part = wb_query_text(&q, "part");
	from = wb_query_text(&q, "from");
	to = wb_query_text(&q, "to");
	limit = (size_t)wb_query_number(&q, "limit", ROWS_MAX);
	table = table != NULL ? table : "";
	part = part != NULL ? part : "";
	i = lower_bound(p, table, part, from != NULL ? from : "");
	for (; i < p->rows->len; i++) {
		r = p->rows->pdata[i];
		if (strcmp(r->table, table) != 0 ||
		    strcmp(r->part, part) != 0 ||
		    (to != NULL && strcmp(r->key, to) >= 0))
			break;
		if (r->value == NULL)
			continue;
		bytes += strlen(r->value);
		more = json_array_size(rows) == MIN(limit, ROWS_MAX) ||
		    (bytes > PAGE_BYTES && json_array_size(rows) > 0);
		if (more)
			break;
		json_array_append_new(rows, row_json(r));
	}
	wb_query_release(&q);
	p->reads++;
	wb_reply_json(req, 200, answer_json(p, rows, more));
}

static void
rows_feed(struct platform *p, struct evhttp_request *req)
{
	struct feed_request *f = g_new0(struct feed_request, 1);
	const char *table;
	struct wb_query q;
	double wait;

	wb_query_read(&q, req);
	table = wb_query_text(&q, "table");
	f->platform = p;
	f->req = req;
	f->table = g_strdup(table != NULL ? table : "");
	f->after = (uint64_t)wb_query_number(&q, "after", 0);
	wait = wb_query_number(&q, "wait_ms", 0);
	wb_query_release(&q);
	p->reads++;
	f->timer = evtimer_new(p->base, feed_timed_out, f);
	p->feeds = g_list_prepend(p->feeds, f);
	if (f->after < p->discarded_version) {
		wb_reply_json(
		    req, STATUS_GONE, json_pack("{s:s}", "error", "history"));
		feed_free(f);
		return;
	}
	wb_start_timer(f->timer, (uint64_t)(MIN(wait, WAIT_MAX_MS) * 1000));
	feed_answer(f, false);
}

static void
object_request(struct platform *p, struct evhttp_request *req, const char *name,
    enum evhttp_cmd_type method)
{
	const GString *value;

	if (method == EVHTTP_REQ_PUT) {
		g_hash_table_replace(
		    p->objects, g_strdup(name), body_string(req));
		reply_written(p, req, json_pack("{s:b}", "written", 1));
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
handle_request(struct platform *p, struct evhttp_request *req)
{
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	enum evhttp_cmd_type method = evhttp_request_get_command(req);

	path = path != NULL ? path : "";
	if (strcmp(path, "/v1/rows-tx") == 0 && method == EVHTTP_REQ_POST)
		handle_transaction(p, req);
	else if (strcmp(path, "/v1/rows-get") == 0)
		rows_get(p, req);
	else if (strcmp(path, "/v1/rows-feed") == 0)
		rows_feed(p, req);
	else if (g_str_has_prefix(path, "/v1/blob-put/") ||
	    g_str_has_prefix(path, "/v1/blob-get/"))
		object_request(p, req, strrchr(path, '/') + 1, method);
	else
		wb_reply_json(req, 404, json_pack("{s:s}", "error", "path"));
}

static void
on_delayed_request(evutil_socket_t fd, short what, void *arg)
{
	struct delayed_request *d = arg;

	(void)fd;
	(void)what;
	event_free(d->timer);
	handle_request(d->platform, d->req);
	g_free(d);
}

static void
delay_request(struct platform *p, struct evhttp_request *req)
{
	struct delayed_request *d = g_new0(struct delayed_request, 1);

	d->platform = p;
	d->req = req;
	d->timer = evtimer_new(p->base, on_delayed_request, d);
	wb_start_timer(d->timer, (uint64_t)p->delay_ms * 1000);
}

static void
drop_held_request(void *req)
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
	p->late_writes =
	    (unsigned)wb_query_number(&q, "late_writes", p->late_writes);
	p->late_ms = (unsigned)wb_query_number(&q, "late_ms", p->late_ms);
	p->refuse_requests =
	    (unsigned)wb_query_number(&q, "refuse", p->refuse_requests);
	if (wb_query_number(&q, "forget", 0) > 0)
		p->discarded_version = p->version;
	wb_query_release(&q);
	if (p->mode != MODE_SILENT) {
		g_list_free_full(p->held_requests, drop_held_request);
		p->held_requests = NULL;
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
		(json_int_t)p->lost_writes, "faulted",
		(json_int_t)p->failed_requests));
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	struct platform *p = arg;

	if (wb_is_control(req)) {
		control(p, req);
		return;
	}
	if (p->refuse_requests > 0) {
		p->refuse_requests--;
		p->failed_requests++;
		wb_reply_json(req, 503, json_pack("{s:s}", "error", "refused"));
		return;
	}
	switch (p->mode) {
	case MODE_DOWN:
		p->failed_requests++;
		wb_drop(req);
		break;
	case MODE_SILENT:
		p->failed_requests++;
		p->held_requests = g_list_prepend(p->held_requests, req);
		break;
	case MODE_ERROR:
		p->failed_requests++;
		wb_reply_json(req, 503, json_pack("{s:s}", "error", "down"));
		break;
	case MODE_BUSY:
		p->failed_requests++;
		wb_reply_json(req, 429, json_pack("{s:s}", "error", "rate"));
		break;
	case MODE_SLOW:
		delay_request(p, req);
		break;
	default:
		handle_request(p, req);
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
	GList *feeds;

	p.base = wb_base_new();
	p.rows = g_ptr_array_new_with_free_func(row_free);
	p.objects =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, value_free);
	http = wb_listen(p.base, port, on_request, &p, &port);
	wb_print_ready(&port, 1);
	wb_run(p.base);
	evhttp_free(http);
	g_list_free(p.held_requests);
	feeds = p.feeds;
	p.feeds = NULL;
	g_list_free_full(feeds, feed_free);
	g_ptr_array_free(p.rows, TRUE);
	g_hash_table_destroy(p.objects);
	event_base_free(p.base);
	return (0);
}
