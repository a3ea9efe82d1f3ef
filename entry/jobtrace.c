#include <glib.h>
#include <jansson.h>
#include <limits.h>
#include <stdint.h>
#include <string.h>

#include "fields.h"
#include "jobtrace.h"
#include "trace.h"

/* Notes about workers are printed from this time before the job arrived. */
#define NOTES_BEFORE_MS 2000
/* A run that takes this many times the expected time counts as a problem. */
#define LONG_RUN_RATIO 1.5
/* A longer wait in the agent's queue counts as a problem. */
#define SHORT_QUEUE_MS 20
#define LINE_MAX_BYTES 65536

/* One line of a log. */
struct line {
	int64_t at_ms;     /* when it happened, ms since 1970 */
	unsigned sequence; /* order of reading */
	char *source;
	json_t *object;
};

struct so {
	char *job;
	GPtrArray *lines; /* struct line, owned */
	unsigned lines_read;
};

static void
line_free(void *arg)
{
	struct line *l = arg;

	g_free(l->source);
	json_decref(l->object);
	g_free(l);
}

struct so *
so_new(const char *job)
{
	struct so *s = g_new0(struct so, 1);

	s->job = g_strdup(job);
	s->lines = g_ptr_array_new_with_free_func(line_free);
	return (s);
}

void
so_free(struct so *s)
{
	if (s == NULL)
		return;
	g_free(s->job);
	g_ptr_array_free(s->lines, TRUE);
	g_free(s);
}

static const char *
text_of(const struct line *l, const char *key)
{
	return (fd_text(l->object, key));
}

static int64_t
number_of(const struct line *l, const char *key)
{
	return (json_integer_value(json_object_get(l->object, key)));
}

static bool
is_job_event(const struct line *l)
{
	return (json_object_get(l->object, "job") != NULL);
}

/* Whether the line belongs to the job or contains its id. */
static bool
mentions_job(const struct so *s, const struct line *l)
{
	return (strcmp(text_of(l, "job"), s->job) == 0 ||
	    strstr(text_of(l, "text"), s->job) != NULL);
}

/* Keeps the lines of the job and all notes, which are lines without a field
 * "job": which of them concern its workers is known once every log has been
 * read. */
static void
read_line(struct so *s, const char *text)
{
	const char *brace = strchr(text, '{');
	struct line *l;
	json_t *o;

	if (brace == NULL)
		return;
	o = json_loads(brace, JSON_DISABLE_EOF_CHECK, NULL);
	if (o == NULL)
		return;
	l = g_new0(struct line, 1);
	l->object = o;
	l->sequence = ++s->lines_read;
	l->at_ms = number_of(l, "t");
	l->source = g_strstrip(g_strndup(text, (gsize)(brace - text)));
	if (mentions_job(s, l) || !is_job_event(l))
		g_ptr_array_add(s->lines, l);
	else
		line_free(l);
}

void
so_add_log(struct so *s, FILE *f)
{
	char *text = g_malloc(LINE_MAX_BYTES);

	while (fgets(text, LINE_MAX_BYTES, f) != NULL)
		read_line(s, text);
	g_free(text);
}

/*
 * Sets the time of each event, and the times of arrival and answer of the job:
 * the first and the last if several entries answered it.
 * The events of a job are logged after the line of its answer and carry the
 * time since the job arrived.
 */
static void
set_event_times(struct so *s, int64_t *arrival_ms, int64_t *answer_ms)
{
	int64_t arrived = 0;
	struct line *l;
	guint i;

	for (i = 0; i < s->lines->len; i++) {
		l = s->lines->pdata[i];
		if (!is_job_event(l))
			continue;
		if (strcmp(text_of(l, "event"), "answered") == 0) {
			arrived = l->at_ms - number_of(l, "took_ms");
			*answer_ms = MAX(*answer_ms, l->at_ms);
			*arrival_ms = MIN(*arrival_ms, arrived);
			/* Sorts after events of the same millisecond. */
			l->sequence = UINT_MAX;
		} else if (arrived != 0) {
			l->at_ms = arrived + number_of(l, "at_ms");
		}
	}
}

static gint
compare_lines(gconstpointer a, gconstpointer b)
{
	const struct line *x = *(struct line *const *)a;
	const struct line *y = *(struct line *const *)b;

	if (x->at_ms != y->at_ms)
		return (x->at_ms < y->at_ms ? -1 : 1);
	return (x->sequence < y->sequence ? -1 : x->sequence > y->sequence);
}

/* Whether a note names a worker of the job or was written by the agent of one,
 * and is not about another job. */
static bool
concerns_worker(const struct so *s, const struct line *note)
{
	const struct line *l;
	const char *worker;
	guint i;

	if (g_str_has_prefix(text_of(note, "text"), "job "))
		return (false);
	for (i = 0; i < s->lines->len; i++) {
		l = s->lines->pdata[i];
		worker = text_of(l, "worker");
		if (worker[0] != '\0' &&
		    (strstr(text_of(note, "text"), worker) != NULL ||
			strstr(note->source, worker) != NULL))
			return (true);
	}
	return (false);
}

static void
print_values(const struct line *l, FILE *out)
{
	json_t *because = json_object_get(l->object, "because"), *value;
	const char *key;

	json_object_foreach(because, key, value)
	{
		fprintf(out, ", %s %" JSON_INTEGER_FORMAT, key,
		    json_integer_value(value));
	}
}

static void
print_line(const struct line *l, int64_t arrival_ms, FILE *out)
{
	const char *event = text_of(l, "event");

	fprintf(out, "%+6" G_GINT64_FORMAT " ms  ", l->at_ms - arrival_ms);
	if (l->source[0] != '\0')
		fprintf(out, "%s: ", l->source);
	if (!is_job_event(l)) {
		fprintf(
		    out, "(%s) %s\n", text_of(l, "part"), text_of(l, "text"));
		return;
	}
	if (strcmp(event, "answered") == 0) {
		fprintf(out,
		    "answered: %s, reason %s, late by %d ms, %d workers, "
		    "configuration %d",
		    text_of(l, "status"), text_of(l, "reason"),
		    (int)number_of(l, "late_ms"), (int)number_of(l, "workers"),
		    (int)number_of(l, "config"));
		if (text_of(l, "trouble")[0] != '\0')
			fprintf(out, ", first trouble: %s %s",
			    text_of(l, "trouble"),
			    text_of(l, "trouble_worker"));
		fputc('\n', out);
		return;
	}
	fprintf(out, "task %d, attempt %d: %s", (int)number_of(l, "task"),
	    (int)number_of(l, "attempt"), event);
	if (text_of(l, "worker")[0] != '\0')
		fprintf(out, " at %s", text_of(l, "worker"));
	print_values(l, out);
	fputc('\n', out);
}

static int64_t
value_of(const struct line *l, const char *key)
{
	return (json_integer_value(
	    json_object_get(json_object_get(l->object, "because"), key)));
}

/* Expected time of the attempt that ended with @end; 0 if unknown. */
static int64_t
expected_ms(const struct so *s, const struct line *end)
{
	const struct line *l;
	guint i;

	for (i = 0; i < s->lines->len; i++) {
		l = s->lines->pdata[i];
		if (strcmp(text_of(l, "event"), "granted") == 0 &&
		    number_of(l, "task") == number_of(end, "task") &&
		    number_of(l, "attempt") == number_of(end, "attempt"))
			return (value_of(l, "expected_ms"));
	}
	return (0);
}

static const char *
done_problem_text(const struct so *s, const struct line *l)
{
	int64_t expected = expected_ms(s, l);

	if (value_of(l, "queue_ms") > SHORT_QUEUE_MS)
		return ("the task waited at its agent");
	if (expected > 0 &&
	    (double)value_of(l, "run_ms") > (double)expected * LONG_RUN_RATIO)
		return ("the run took much longer than expected");
	return (NULL);
}

/* Problem that an event stands for, NULL if none. */
static const char *
problem_text(const struct so *s, const struct line *l)
{
	const char *event = text_of(l, "event");

	if (strcmp(event, "done") == 0)
		return (done_problem_text(s, l));
	return (tr_problem_text(event));
}

bool
so_print(struct so *s, FILE *out)
{
	int64_t arrival_ms = INT64_MAX, answer_ms = 0;
	const struct line *l, *first = NULL;
	bool found = false;
	guint i;

	set_event_times(s, &arrival_ms, &answer_ms);
	g_ptr_array_sort(s->lines, compare_lines);
	for (i = 0; i < s->lines->len; i++) {
		l = s->lines->pdata[i];
		if (!mentions_job(s, l) &&
		    (l->at_ms < arrival_ms - NOTES_BEFORE_MS ||
			l->at_ms > answer_ms || !concerns_worker(s, l)))
			continue;
		found = found || mentions_job(s, l);
		print_line(l, arrival_ms, out);
		if (first == NULL && is_job_event(l) &&
		    problem_text(s, l) != NULL)
			first = l;
	}
	if (!found)
		return (false);
	if (first == NULL) {
		fputs("Nothing went wrong according to the logs.\n", out);
		return (true);
	}
	fprintf(
	    out, "First thing that went wrong: %s.\n", problem_text(s, first));
	print_line(first, arrival_ms, out);
	return (true);
}
