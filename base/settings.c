#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "settings.h"
#include "settings_toml.h"

struct load {
	const char *path;
	const struct st_key *keys;
	size_t nkeys;
	bool *seen;
	char *out;
	char *message;
	size_t message_size;
	enum st_error error;
};

static const char *
type_name(enum st_type type)
{
	switch (type) {
	case ST_STRING:
		return ("a string");
	case ST_INTEGER:
		return ("an integer");
	case ST_BOOLEAN:
		return ("true or false");
	case ST_STRINGS:
		return ("a list of strings");
	}
	return ("a value");
}

static bool
type_matches(enum st_type want, enum toml_type have)
{
	return ((want == ST_STRING && have == TOML_STRING) ||
	    (want == ST_INTEGER && have == TOML_INTEGER) ||
	    (want == ST_BOOLEAN && have == TOML_BOOLEAN) ||
	    (want == ST_STRINGS && have == TOML_STRINGS));
}

static bool
choice_allowed(const char *choices, const char *value)
{
	char **list;
	bool found;

	list = g_strsplit(choices, "|", -1);
	found = g_strv_contains((const gchar *const *)list, value);
	g_strfreev(list);
	return (found);
}

static void
store_strings(struct st_strings *to, const char *const *from, size_t n)
{
	size_t i;

	to->items = g_new0(char *, n + 1);
	to->count = n;
	for (i = 0; i < n; i++)
		to->items[i] = g_strdup(from[i]);
}

static bool
check_range(struct load *l, const struct st_key *k, unsigned line, int64_t v,
    const char *what)
{
	if (v >= k->min && v <= k->max)
		return (true);
	snprintf(l->message, l->message_size,
	    "%s:%u: %s: %s %lld is out of range, allowed are %lld to %lld",
	    l->path, line, k->name, what, (long long)v, (long long)k->min,
	    (long long)k->max);
	l->error = ST_INVALID;
	return (false);
}

static bool
store_value(struct load *l, const struct st_key *k, const struct toml_value *v)
{
	void *field = l->out + k->offset;

	switch (k->type) {
	case ST_STRING:
		if (!check_range(
			l, k, v->line, (int64_t)strlen(v->string), "length"))
			return (false);
		if (k->choices != NULL &&
		    !choice_allowed(k->choices, v->string)) {
			snprintf(l->message, l->message_size,
			    "%s:%u: %s: \"%s\" is not allowed, one of %s is",
			    l->path, v->line, k->name, v->string, k->choices);
			l->error = ST_INVALID;
			return (false);
		}
		*(char **)field = g_strdup(v->string);
		return (true);
	case ST_INTEGER:
		if (!check_range(l, k, v->line, v->integer, "value"))
			return (false);
		*(int64_t *)field = v->integer;
		return (true);
	case ST_BOOLEAN:
		*(bool *)field = v->boolean;
		return (true);
	case ST_STRINGS:
		if (!check_range(
			l, k, v->line, (int64_t)v->nstrings, "number of items"))
			return (false);
		store_strings(field, v->strings, v->nstrings);
		return (true);
	}
	return (false);
}

static bool
visit_value(void *arg, const struct toml_value *v)
{
	struct load *l = arg;
	const struct st_key *k;
	size_t i;

	for (i = 0; i < l->nkeys; i++)
		if (strcmp(l->keys[i].name, v->key) == 0)
			break;
	if (i == l->nkeys) {
		snprintf(l->message, l->message_size, "%s:%u: %s: unknown key",
		    l->path, v->line, v->key);
		l->error = ST_INVALID;
		return (false);
	}
	k = &l->keys[i];
	if (!type_matches(k->type, v->type)) {
		snprintf(l->message, l->message_size,
		    "%s:%u: %s: wrong type, %s is allowed", l->path, v->line,
		    v->key, type_name(k->type));
		l->error = ST_INVALID;
		return (false);
	}
	l->seen[i] = true;
	return (store_value(l, k, v));
}

static bool
store_fallback(struct load *l, const struct st_key *k)
{
	void *field = l->out + k->offset;

	if (k->fallback == NULL) {
		snprintf(l->message, l->message_size,
		    "%s: %s: missing, %s is required", l->path, k->name,
		    type_name(k->type));
		l->error = ST_INVALID;
		return (false);
	}
	switch (k->type) {
	case ST_STRING:
		*(char **)field = g_strdup(k->fallback);
		break;
	case ST_INTEGER:
		*(int64_t *)field = g_ascii_strtoll(k->fallback, NULL, 10);
		break;
	case ST_BOOLEAN:
		*(bool *)field = strcmp(k->fallback, "true") == 0;
		break;
	case ST_STRINGS:
		store_strings(field, NULL, 0);
		break;
	}
	return (true);
}

/*
 * Returns the line of the first non-ASCII character outside of lines that are
 * only a comment, 0 if there is none. toml++ 3.3 has undefined behaviour for
 * such a character where it looks for white space.
 */
static unsigned
find_non_ascii(const char *text)
{
	bool comment = false, start = true;
	unsigned line = 1;

	for (; *text != '\0'; text++) {
		if (*text == '\n') {
			line++;
			start = true;
			comment = false;
		} else if (start && *text != ' ' && *text != '\t') {
			start = false;
			comment = *text == '#';
		}
		if (!comment && (unsigned char)*text > 0x7f)
			return (line);
	}
	return (0);
}

enum st_error
st_parse(const char *text, const char *path, const struct st_key *keys,
    size_t nkeys, void *out, char *message, size_t message_size)
{
	struct load l = {
	    path, keys, nkeys, NULL, out, message, message_size, ST_OK};
	char error[256];
	unsigned line = 0;
	size_t i;

	l.seen = g_new0(bool, nkeys);
	line = find_non_ascii(text);
	if (line > 0) {
		snprintf(message, message_size,
		    "%s:%u: only lines that begin with # may have other "
		    "characters than ASCII",
		    path, line);
		l.error = ST_SYNTAX;
	} else if (!toml_visit(
		       text, visit_value, &l, error, sizeof(error), &line)) {
		snprintf(message, message_size, "%s:%u: %s", path, line, error);
		l.error = ST_SYNTAX;
	}
	for (i = 0; i < nkeys && l.error == ST_OK; i++)
		if (!l.seen[i])
			store_fallback(&l, &keys[i]);
	g_free(l.seen);
	if (l.error != ST_OK)
		st_release(keys, nkeys, out);
	return (l.error);
}

enum st_error
st_load(const char *path, const struct st_key *keys, size_t nkeys, void *out,
    char *message, size_t message_size)
{
	GError *error = NULL;
	enum st_error result;
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		snprintf(message, message_size, "%s", error->message);
		g_error_free(error);
		return (ST_UNREADABLE);
	}
	result = st_parse(text, path, keys, nkeys, out, message, message_size);
	g_free(text);
	return (result);
}

void
st_release(const struct st_key *keys, size_t nkeys, void *out)
{
	struct st_strings *list;
	char **string;
	size_t i;

	for (i = 0; i < nkeys; i++) {
		if (keys[i].type == ST_STRING) {
			string = (void *)((char *)out + keys[i].offset);
			g_free(*string);
			*string = NULL;
		} else if (keys[i].type == ST_STRINGS) {
			list = (void *)((char *)out + keys[i].offset);
			g_strfreev(list->items);
			list->items = NULL;
			list->count = 0;
		}
	}
}
