#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "harness_log.h"

#define PRINT_MAX 10

/* Columns of a start log. */
enum {
	START_MS,
	START_ENDPOINT,
	START_SUBMISSION,
	START_TASK,
	START_ATTEMPT,
	START_COLUMNS,
};

/* Columns of the log of the load client. */
enum {
	LOAD_MS,
	LOAD_ID,
	LOAD_CREATED,
	LOAD_STATUS,
	LOAD_REASON,
	LOAD_NOT_RUN,
	LOAD_TASKS,
	LOAD_COLUMNS,
};

struct start {
	uint64_t ms;
	char *endpoint;
	char *submission;
	char *task; /* "submission/task" */
};

struct hl_starts {
	GPtrArray *list;   /* struct start, owned */
	GHashTable *tasks; /* task -> number of starts */
	GHashTable *subs;  /* submission -> number of started tasks */
};

static void
start_free(void *arg)
{
	struct start *s = arg;

	g_free(s->endpoint);
	g_free(s->submission);
	g_free(s->task);
	g_free(s);
}

static guint
increment(GHashTable *table, const char *key)
{
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(table, key)) + 1;

	g_hash_table_insert(table, g_strdup(key), GUINT_TO_POINTER(n));
	return (n);
}

static void
add_line(struct hl_starts *s, const char *line)
{
	char **words = g_strsplit(line, "\t", 0);
	struct start *start;

	if (g_strv_length(words) < START_COLUMNS) {
		g_strfreev(words);
		return;
	}
	start = g_new0(struct start, 1);
	start->ms = g_ascii_strtoull(words[START_MS], NULL, 10);
	start->endpoint = g_strdup(words[START_ENDPOINT]);
	start->submission = g_strdup(words[START_SUBMISSION]);
	start->task =
	    g_strconcat(words[START_SUBMISSION], "/", words[START_TASK], NULL);
	g_ptr_array_add(s->list, start);
	if (increment(s->tasks, start->task) == 1)
		increment(s->subs, start->submission);
	g_strfreev(words);
}

static char **
read_lines(const char *path)
{
	char *text = NULL, **lines;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		text = g_strdup("");
	lines = g_strsplit(text, "\n", 0);
	g_free(text);
	return (lines);
}

struct hl_starts *
hl_read(const char *path)
{
	struct hl_starts *s = g_new0(struct hl_starts, 1);
	char **lines = read_lines(path);

	s->list = g_ptr_array_new_with_free_func(start_free);
	s->tasks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->subs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (char **line = lines; *line != NULL; line++)
		add_line(s, *line);
	g_strfreev(lines);
	return (s);
}

void
hl_free(struct hl_starts *s)
{
	if (s == NULL)
		return;
	g_ptr_array_free(s->list, TRUE);
	g_hash_table_destroy(s->tasks);
	g_hash_table_destroy(s->subs);
	g_free(s);
}

size_t
hl_start_count(const struct hl_starts *s)
{
	return (s->list->len);
}

static void
print_starts(const struct hl_starts *s, const char *task)
{
	for (guint i = 0; i < s->list->len; i++) {
		const struct start *start = g_ptr_array_index(s->list, i);

		if (strcmp(start->task, task) == 0)
			print_message("double start of %s at %s, %llu\n", task,
			    start->endpoint, (unsigned long long)start->ms);
	}
}

size_t
hl_double_starts(const struct hl_starts *s)
{
	GHashTableIter iter;
	void *task, *n;
	size_t doubles = 0;

	g_hash_table_iter_init(&iter, s->tasks);
	while (g_hash_table_iter_next(&iter, &task, &n)) {
		if (GPOINTER_TO_UINT(n) < 2)
			continue;
		if (doubles++ < PRINT_MAX)
			print_starts(s, task);
	}
	return (doubles);
}

size_t
hl_started_tasks(const struct hl_starts *s, const char *submission)
{
	return (GPOINTER_TO_UINT(g_hash_table_lookup(s->subs, submission)));
}

size_t
hl_starts_between(const struct hl_starts *s, const char *endpoint,
    uint64_t from_ms, uint64_t to_ms)
{
	size_t n = 0;

	for (guint i = 0; i < s->list->len; i++) {
		const struct start *start = g_ptr_array_index(s->list, i);

		if (start->ms >= from_ms && start->ms < to_ms &&
		    (endpoint == NULL ||
			strcmp(start->endpoint, endpoint) == 0))
			n++;
	}
	return (n);
}

static void
compare_line(const struct hl_starts *s, char *const *words,
    struct hl_mismatches *mismatches)
{
	const char *id = words[LOAD_ID];
	size_t started = hl_started_tasks(s, id);

	mismatches->submissions++;
	if (strcmp(words[LOAD_STATUS], "refused") == 0 &&
	    strcmp(words[LOAD_NOT_RUN], "1") == 0 && started > 0) {
		print_message("%s was refused (%s), %zu tasks started\n", id,
		    words[LOAD_REASON], started);
		mismatches->refused_started++;
	}
	if (strcmp(words[LOAD_STATUS], "complete") == 0 &&
	    started != strtoul(words[LOAD_TASKS], NULL, 10)) {
		print_message("%s is complete, %zu of %s tasks started\n", id,
		    started, words[LOAD_TASKS]);
		mismatches->incomplete_started++;
	}
}

struct hl_mismatches
hl_compare(const struct hl_starts *s, const char *load_log)
{
	struct hl_mismatches mismatches = {0};
	char **lines = read_lines(load_log);

	for (char **line = lines; *line != NULL; line++) {
		char **words = g_strsplit(*line, "\t", 0);

		if ((*line)[0] != '#' && g_strv_length(words) >= LOAD_COLUMNS)
			compare_line(s, words, &mismatches);
		g_strfreev(words);
	}
	g_strfreev(lines);
	return (mismatches);
}
