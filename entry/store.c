#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "counters.h"
#include "kernel.h"
#include "log.h"
#include "mailbox.h"
#include "member.h"
#include "store.h"

#define LOG_TABLE "change"
#define SNAPSHOT_OBJECT "snapshot"
#define SCAN_ROWS 1000
#define LOG_KEY_BYTES 24

enum request_kind {
	REQUEST_SCAN,
	REQUEST_INSERT,
	REQUEST_SNAPSHOT,
	REQUEST_STOP,
};

/* A platform call and its result, passed to the thread and back to the loop. */
struct request {
	struct sr *store;
	enum request_kind kind;
	uint64_t revision;
	char *text;     /* change or snapshot */
	char *winner;   /* row that holds the revision already */
	char *snapshot; /* snapshot object read before the first scan */
	uint64_t snapshot_revision;
	enum pf_error error;
	GArray *changes; /* struct pd_change */
};

struct sr {
	struct kn *kernel;
	struct mx *mailbox;
	struct ct *counters;
	struct pf platform;
	GAsyncQueue *requests;
	GThread *thread;
	bool snapshot_read;       /* used by the thread only */
	enum pf_error last_error; /* logged when it changes; used by the loop */
};

static void
change_release(void *item)
{
	struct pd_change *c = item;

	g_free(c->json.json_val);
}

static void
request_free(struct request *r)
{
	g_free(r->text);
	g_free(r->winner);
	g_free(r->snapshot);
	if (r->changes != NULL)
		g_array_free(r->changes, TRUE);
	g_free(r);
}

static void
scan(struct sr *s, struct request *r)
{
	char key[LOG_KEY_BYTES];
	struct pf_rows rows;
	struct pd_change c;
	size_t i;

	r->changes = g_array_new(FALSE, FALSE, sizeof(struct pd_change));
	g_array_set_clear_func(r->changes, change_release);
	g_snprintf(key, sizeof(key), "%020" PRIu64,
	    MAX(r->revision, r->snapshot_revision));
	r->error = s->platform.ops->scan(
	    s->platform.arg, LOG_TABLE, key, SCAN_ROWS, &rows);
	for (i = 0; i < rows.count; i++) {
		c.revision = g_ascii_strtoull(rows.items[i].key, NULL, 10);
		c.json.json_val = g_steal_pointer(&rows.items[i].value);
		c.json.json_len = (u_int)strlen(c.json.json_val);
		g_array_append_val(r->changes, c);
	}
	pf_rows_release(&rows);
}

/* Stores the snapshot in the request if it has a revision; consumes @text. */
static void
parse_snapshot(struct request *r, char *text)
{
	json_t *root, *revision;

	root = json_loads(text, 0, NULL);
	revision = json_object_get(root, "revision");
	if (json_is_integer(revision)) {
		r->snapshot_revision = (uint64_t)json_integer_value(revision);
		r->snapshot = text;
	} else
		g_free(text);
	json_decref(root);
}

/* Before the first scan, reads the snapshot, so that only the log after it
 * needs to be read. */
static void
scan_after_snapshot(struct sr *s, struct request *r)
{
	char *text = NULL;

	if (!s->snapshot_read) {
		r->error = s->platform.ops->get_object(
		    s->platform.arg, SNAPSHOT_OBJECT, &text);
		if (r->error == PF_UNKNOWN)
			return;
		s->snapshot_read = true;
		if (text != NULL)
			parse_snapshot(r, text);
	}
	scan(s, r);
}

static void
insert(struct sr *s, struct request *r)
{
	char key[LOG_KEY_BYTES];

	g_snprintf(key, sizeof(key), "%020" PRIu64, r->revision);
	r->error = s->platform.ops->insert(
	    s->platform.arg, LOG_TABLE, key, r->text, &r->winner);
}

static void
log_result(struct sr *s, const struct request *r)
{
	ct_increment(s->counters, "pd_platform_calls_total",
	    "platform calls by result", "result", pf_error_name(r->error));
	if ((r->error == PF_UNKNOWN) != (s->last_error == PF_UNKNOWN))
		lg_write(r->error == PF_UNKNOWN ? LOG_WARNING : LOG_NOTICE,
		    "store", "the platform %s",
		    r->error == PF_UNKNOWN ? "does not answer" : "answers");
	s->last_error = r->error;
}

static void
finish_insert(struct mb *m, const struct request *r)
{
	enum mb_insert_result result = MB_UNREACHABLE;

	if (r->error == PF_OK)
		result = MB_INSERTED;
	else if (r->error == PF_EXISTS)
		result = MB_REVISION_TAKEN;
	mb_insert_done(m, r->revision, result, r->winner);
}

static void
finish_scan(struct mb *m, const struct request *r)
{
	bool ok = r->error == PF_OK;

	if (r->snapshot != NULL &&
	    r->snapshot_revision > cs_revision(mb_state(m))) {
		mb_load_snapshot(m, r->snapshot);
		/* The rows begin after the snapshot. If it was not accepted,
		 * the scan fails and the next one reads the whole log. */
		ok = ok && cs_revision(mb_state(m)) >= r->snapshot_revision;
	}
	mb_scan_done(m, ok, (const struct pd_change *)(void *)r->changes->data,
	    r->changes->len);
}

/* Runs on the loop. */
static void
finish(void *arg)
{
	struct request *r = arg;
	struct mb *m = kn_find(r->store->kernel, "member");

	log_result(r->store, r);
	if (r->kind == REQUEST_INSERT)
		finish_insert(m, r);
	else if (r->kind == REQUEST_SCAN && r->changes != NULL)
		finish_scan(m, r);
	else if (r->kind == REQUEST_SCAN)
		mb_scan_done(m, false, NULL, 0);
	else if (r->error != PF_OK)
		lg_write(LOG_WARNING, "store",
		    "snapshot of revision %" PRIu64 " was not written",
		    r->revision);
	request_free(r);
}

static void *
run(void *arg)
{
	struct sr *s = arg;
	struct request *r;

	for (;;) {
		r = g_async_queue_pop(s->requests);
		if (r->kind == REQUEST_STOP)
			break;
		if (r->kind == REQUEST_SCAN)
			scan_after_snapshot(s, r);
		else if (r->kind == REQUEST_INSERT)
			insert(s, r);
		else
			r->error = s->platform.ops->put_object(
			    s->platform.arg, SNAPSHOT_OBJECT, r->text);
		mx_post(s->mailbox, finish, r);
	}
	request_free(r);
	return (NULL);
}

static void
enqueue(struct sr *s, enum request_kind kind, uint64_t revision, char *text)
{
	struct request *r;

	r = g_new0(struct request, 1);
	r->store = s;
	r->kind = kind;
	r->revision = revision;
	r->text = text;
	g_async_queue_push(s->requests, r);
}

struct sr *
sr_new(struct kn *k, struct pf platform)
{
	struct sr *s;

	s = g_new0(struct sr, 1);
	s->kernel = k;
	s->mailbox = kn_find(k, "mailbox");
	s->counters = kn_find(k, "counters");
	s->platform = platform;
	s->requests = g_async_queue_new();
	s->thread = g_thread_new("store", run, s);
	return (s);
}

void
sr_free(struct sr *s)
{
	if (s == NULL)
		return;
	enqueue(s, REQUEST_STOP, 0, NULL);
	g_thread_join(s->thread);
	g_async_queue_unref(s->requests);
	s->platform.ops->close(s->platform.arg);
	g_free(s);
}

void
sr_scan(struct sr *s, uint64_t after)
{
	enqueue(s, REQUEST_SCAN, after, NULL);
}

void
sr_insert(struct sr *s, uint64_t revision, const char *json)
{
	enqueue(s, REQUEST_INSERT, revision, g_strdup(json));
}

void
sr_snapshot(struct sr *s, uint64_t revision, char *text)
{
	enqueue(s, REQUEST_SNAPSHOT, revision, text);
}
