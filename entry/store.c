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

#define TABLE "change"
#define SNAPSHOT "snapshot"
#define SCAN_ROWS 1000
#define KEY_BYTES 24

enum job_kind {
	JOB_SCAN,
	JOB_INSERT,
	JOB_SNAPSHOT,
	JOB_STOP,
};

/* A call and its result; it travels to the thread and back. */
struct job {
	struct sr *store;
	enum job_kind kind;
	uint64_t revision;
	char *text;     /* change or snapshot */
	char *winner;   /* row that was there */
	char *snapshot; /* object read before the first scan */
	uint64_t snapshot_revision;
	enum pf_error error;
	GArray *changes; /* struct pd_change */
};

struct sr {
	struct kn *kernel;
	struct mx *mailbox;
	struct ct *counters;
	struct pf platform;
	GAsyncQueue *jobs;
	GThread *thread;
	bool snapshot_read; /* used by the thread only */
	enum pf_error last; /* to log changes only; used by the loop only */
};

static void
change_release(void *item)
{
	struct pd_change *c = item;

	g_free(c->json.json_val);
}

static void
job_free(struct job *j)
{
	g_free(j->text);
	g_free(j->winner);
	g_free(j->snapshot);
	if (j->changes != NULL)
		g_array_free(j->changes, TRUE);
	g_free(j);
}

static void
scan(struct sr *s, struct job *j)
{
	char key[KEY_BYTES];
	struct pf_rows rows;
	struct pd_change c;
	size_t i;

	j->changes = g_array_new(FALSE, FALSE, sizeof(struct pd_change));
	g_array_set_clear_func(j->changes, change_release);
	g_snprintf(key, sizeof(key), "%020" PRIu64,
	    MAX(j->revision, j->snapshot_revision));
	j->error = s->platform.ops->scan(
	    s->platform.arg, TABLE, key, SCAN_ROWS, &rows);
	for (i = 0; i < rows.count; i++) {
		c.revision = g_ascii_strtoull(rows.items[i].key, NULL, 10);
		c.json.json_val = g_steal_pointer(&rows.items[i].value);
		c.json.json_len = (u_int)strlen(c.json.json_val);
		g_array_append_val(j->changes, c);
	}
	pf_rows_release(&rows);
}

/* Keeps the snapshot object if it has a revision. */
static void
take_snapshot(struct job *j, char *text)
{
	json_t *root, *revision;

	root = json_loads(text, 0, NULL);
	revision = json_object_get(root, "revision");
	if (json_is_integer(revision)) {
		j->snapshot_revision = (uint64_t)json_integer_value(revision);
		j->snapshot = text;
	} else
		g_free(text);
	json_decref(root);
}

/* The first scan reads the snapshot before, so that it need not read the
 * whole log. */
static void
first_scan(struct sr *s, struct job *j)
{
	char *text = NULL;

	if (!s->snapshot_read) {
		j->error = s->platform.ops->get_object(
		    s->platform.arg, SNAPSHOT, &text);
		if (j->error == PF_UNKNOWN)
			return;
		s->snapshot_read = true;
		if (text != NULL)
			take_snapshot(j, text);
	}
	scan(s, j);
}

static void
insert(struct sr *s, struct job *j)
{
	char key[KEY_BYTES];

	g_snprintf(key, sizeof(key), "%020" PRIu64, j->revision);
	j->error = s->platform.ops->insert(
	    s->platform.arg, TABLE, key, j->text, &j->winner);
}

static void
log_result(struct sr *s, const struct job *j)
{
	ct_increment(s->counters, "pd_platform_calls_total", "calls by result",
	    "result", pf_error_name(j->error));
	if ((j->error == PF_UNKNOWN) != (s->last == PF_UNKNOWN))
		lg_write(j->error == PF_UNKNOWN ? LOG_WARNING : LOG_NOTICE,
		    "store", "the platform %s",
		    j->error == PF_UNKNOWN ? "does not answer" : "answers");
	s->last = j->error;
}

static void
finish_insert(struct mb *m, const struct job *j)
{
	enum mb_insert_result result = MB_UNREACHABLE;

	if (j->error == PF_OK)
		result = MB_INSERTED;
	else if (j->error == PF_EXISTS)
		result = MB_REVISION_TAKEN;
	mb_insert_done(m, j->revision, result, j->winner);
}

static void
finish_scan(struct mb *m, const struct job *j)
{
	bool ok = j->error == PF_OK;

	if (j->snapshot != NULL &&
	    j->snapshot_revision > cs_revision(mb_state(m))) {
		mb_load_snapshot(m, j->snapshot);
		/* The rows begin after the snapshot. When it is not usable, the
		 * next scan reads the whole log. */
		ok = ok && cs_revision(mb_state(m)) >= j->snapshot_revision;
	}
	mb_scan_done(m, ok, (const struct pd_change *)(void *)j->changes->data,
	    j->changes->len);
}

/* Runs on the loop. */
static void
finish(void *arg)
{
	struct job *j = arg;
	struct mb *m = kn_find(j->store->kernel, "member");

	log_result(j->store, j);
	if (j->kind == JOB_INSERT)
		finish_insert(m, j);
	else if (j->kind == JOB_SCAN && j->changes != NULL)
		finish_scan(m, j);
	else if (j->kind == JOB_SCAN)
		mb_scan_done(m, false, NULL, 0);
	else if (j->error != PF_OK)
		lg_write(LOG_WARNING, "store",
		    "snapshot of revision %" PRIu64 " was not written",
		    j->revision);
	job_free(j);
}

static void *
run(void *arg)
{
	struct sr *s = arg;
	struct job *j;

	for (;;) {
		j = g_async_queue_pop(s->jobs);
		if (j->kind == JOB_STOP)
			break;
		if (j->kind == JOB_SCAN)
			first_scan(s, j);
		else if (j->kind == JOB_INSERT)
			insert(s, j);
		else
			j->error = s->platform.ops->put_object(
			    s->platform.arg, SNAPSHOT, j->text);
		mx_post(s->mailbox, finish, j);
	}
	job_free(j);
	return (NULL);
}

static void
push(struct sr *s, enum job_kind kind, uint64_t revision, char *text)
{
	struct job *j;

	j = g_new0(struct job, 1);
	j->store = s;
	j->kind = kind;
	j->revision = revision;
	j->text = text;
	g_async_queue_push(s->jobs, j);
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
	s->jobs = g_async_queue_new();
	s->thread = g_thread_new("store", run, s);
	return (s);
}

void
sr_free(struct sr *s)
{
	if (s == NULL)
		return;
	push(s, JOB_STOP, 0, NULL);
	g_thread_join(s->thread);
	g_async_queue_unref(s->jobs);
	s->platform.ops->close(s->platform.arg);
	g_free(s);
}

void
sr_scan(struct sr *s, uint64_t after)
{
	push(s, JOB_SCAN, after, NULL);
}

void
sr_insert(struct sr *s, uint64_t revision, const char *json)
{
	push(s, JOB_INSERT, revision, g_strdup(json));
}

void
sr_snapshot(struct sr *s, uint64_t revision, char *text)
{
	push(s, JOB_SNAPSHOT, revision, text);
}
