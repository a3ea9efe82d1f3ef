#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "codec.h"

/* Jansson's parser recurses once per level, so deep nesting would overflow the
 * small stacks of the HTTP threads. The format needs 3 levels. */
#define NESTING_MAX 8

struct parse {
	enum co_error result;
	char *error;
	size_t error_size;
};

static bool fail(struct parse *p, enum co_error result, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

static bool
fail(struct parse *p, enum co_error result, const char *fmt, ...)
{
	va_list ap;

	p->result = result;
	va_start(ap, fmt);
	g_vsnprintf(p->error, p->error_size, fmt, ap);
	va_end(ap);
	return (false);
}

bool
co_depth_ok(const char *text, size_t len)
{
	bool in_string = false;
	unsigned depth = 0;
	size_t i;

	for (i = 0; i < len; i++) {
		if (in_string) {
			if (text[i] == '\\')
				i++;
			else if (text[i] == '"')
				in_string = false;
		} else if (text[i] == '"')
			in_string = true;
		else if (text[i] == '[' || text[i] == '{') {
			if (++depth > NESTING_MAX)
				return (false);
		} else if ((text[i] == ']' || text[i] == '}') && depth > 0)
			depth--;
	}
	return (true);
}

bool
co_name_ok(const char *text, size_t max)
{
	size_t i;

	if (text == NULL)
		return (false);
	for (i = 0; text[i] != '\0'; i++)
		if (i >= max ||
		    (!g_ascii_isalnum(text[i]) &&
			strchr("-._:~", text[i]) == NULL))
			return (false);
	return (i > 0);
}

bool
co_parse_positive(const char *text, uint64_t *out)
{
	guint64 value;

	if (text == NULL ||
	    !g_ascii_string_to_unsigned(
		text, 10, 1, (guint64)INT64_MAX, &value, NULL))
		return (false);
	*out = value;
	return (true);
}

static bool
check_keys(
    struct parse *p, json_t *object, const char *where, const char *const *keys)
{
	const char *key;
	json_t *value;

	json_object_foreach(object, key, value)
	{
		if (!g_strv_contains(keys, key))
			return (fail(p, CO_MALFORMED,
			    "%s\"%.64s\" is not a known field", where, key));
	}
	return (true);
}

static bool
get_name(struct parse *p, json_t *object, const char *key, size_t max,
    bool required, char **out)
{
	json_t *value = json_object_get(object, key);

	if (value == NULL && !required) {
		*out = g_strdup("");
		return (true);
	}
	if (!json_is_string(value) ||
	    !co_name_ok(json_string_value(value), max))
		return (fail(p, CO_MALFORMED,
		    "\"%s\" must be a string of 1 to %zu letters, digits and "
		    "-._:~",
		    key, max));
	*out = g_strdup(json_string_value(value));
	return (true);
}

/* @default_value: value of a missing field, 0 when the field is required */
static bool
get_integer(struct parse *p, json_t *object, const char *key, int64_t max,
    int64_t default_value, int64_t *out)
{
	json_t *value = json_object_get(object, key);

	*out = default_value;
	if (value == NULL && default_value > 0)
		return (true);
	if (json_is_integer(value))
		*out = json_integer_value(value);
	if (!json_is_integer(value) || *out < 1 || *out > max)
		return (fail(p, CO_MALFORMED,
		    "\"%s\" must be an integer from 1 to %" PRId64, key, max));
	return (true);
}

static bool
get_task(struct parse *p, json_t *from, struct pd_task *to)
{
	static const char *const keys[] = {"body", "size_ms", NULL};
	json_t *body;
	int64_t size;

	if (!json_is_object(from))
		return (fail(
		    p, CO_MALFORMED, "a task must be an object with \"body\""));
	if (!check_keys(p, from, "task: ", keys))
		return (false);
	body = json_object_get(from, "body");
	if (!json_is_string(body))
		return (fail(
		    p, CO_MALFORMED, "\"body\" of a task must be a string"));
	if (json_string_length(body) > PD_BODY_MAX)
		return (fail(p, CO_TOO_LARGE,
		    "\"body\" of a task has %zu bytes, at most %d are allowed",
		    json_string_length(body), PD_BODY_MAX));
	if (!get_integer(
		p, from, "size_ms", CO_SIZE_MAX_MS, CO_SIZE_DEFAULT_MS, &size))
		return (false);
	to->size_ms = (u_int)size;
	to->body.body_len = (u_int)json_string_length(body);
	to->body.body_val =
	    g_memdup2(json_string_value(body), json_string_length(body));
	return (true);
}

static bool
get_tasks(struct parse *p, json_t *root, struct pd_submit *s)
{
	json_t *list;
	size_t i, n = 1;

	list = json_object_get(root, s->kind == PD_REQUEST ? "task" : "tasks");
	if (s->kind == PD_SUBMISSION) {
		if (!json_is_array(list) || json_array_size(list) == 0)
			return (fail(p, CO_MALFORMED,
			    "\"tasks\" must be a list of 1 to %d tasks",
			    PD_TASKS_MAX));
		n = json_array_size(list);
	}
	if (n > PD_TASKS_MAX)
		return (fail(p, CO_TOO_LARGE,
		    "\"tasks\" has %zu items, at most %d are allowed", n,
		    PD_TASKS_MAX));
	s->tasks.tasks_val = g_new0(struct pd_task, n);
	s->tasks.tasks_len = (u_int)n;
	for (i = 0; i < n; i++)
		if (!get_task(p,
			s->kind == PD_SUBMISSION ? json_array_get(list, i)
						 : list,
			&s->tasks.tasks_val[i]))
			return (false);
	return (true);
}

static bool
get_idempotent(struct parse *p, json_t *root, struct pd_submit *s)
{
	json_t *value = json_object_get(root, "idempotent");

	if (value != NULL && !json_is_boolean(value))
		return (fail(
		    p, CO_MALFORMED, "\"idempotent\" must be true or false"));
	s->idempotent = json_is_true(value);
	return (true);
}

static bool
get_submission(struct parse *p, json_t *root, struct pd_submit *s)
{
	static const char *const job_keys[] = {"id", "created_ms", "team",
	    "service", "deadline_ms", "idempotent", "az", "tasks", NULL};
	static const char *const request_keys[] = {"id", "created_ms", "team",
	    "service", "deadline_ms", "idempotent", "az", "task", NULL};
	int64_t created, deadline;

	if (!json_is_object(root))
		return (fail(p, CO_MALFORMED, "the body must be an object"));
	if (!check_keys(
		p, root, "", s->kind == PD_REQUEST ? request_keys : job_keys) ||
	    !get_name(p, root, "id", PD_ID_MAX, true, &s->sub.id) ||
	    !get_integer(p, root, "created_ms", INT64_MAX, 0, &created) ||
	    !get_name(p, root, "team", PD_NAME_MAX, true, &s->team) ||
	    !get_name(p, root, "service", PD_NAME_MAX, true, &s->service) ||
	    !get_name(p, root, "az", PD_NAME_MAX, false, &s->az) ||
	    !get_integer(
		p, root, "deadline_ms", CO_DEADLINE_MAX_MS, 0, &deadline) ||
	    !get_idempotent(p, root, s))
		return (false);
	s->sub.created_ms = (u_quad_t)created;
	s->left_ms = (u_int)deadline;
	return (get_tasks(p, root, s));
}

enum co_error
co_parse_submission(const char *text, size_t len, enum pd_kind kind,
    char *error, size_t error_size, struct pd_submit **out)
{
	struct parse p = {CO_OK, error, error_size};
	struct pd_submit *s;
	json_error_t where;
	json_t *root;

	*out = NULL;
	if (len > CO_BODY_MAX) {
		fail(&p, CO_TOO_LARGE, "the body is above %u bytes",
		    CO_BODY_MAX);
		return (p.result);
	}
	if (!co_depth_ok(text, len)) {
		fail(&p, CO_MALFORMED, "the body is nested deeper than %d",
		    NESTING_MAX);
		return (p.result);
	}
	root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &where);
	if (root == NULL) {
		fail(&p, CO_MALFORMED, "not JSON, line %d column %d: %s",
		    where.line, where.column, where.text);
		return (p.result);
	}
	s = g_new0(struct pd_submit, 1);
	s->kind = kind;
	if (get_submission(&p, root, s))
		*out = s;
	else
		co_submit_free(s);
	json_decref(root);
	return (p.result);
}

void
co_submit_free(struct pd_submit *s)
{
	if (s == NULL)
		return;
	xdr_free((xdrproc_t)xdr_pd_submit, s);
	g_free(s);
}

static char *
append_text(char **at, const char *text)
{
	size_t len = strlen(text) + 1;
	char *start = *at;

	memcpy(start, text, len);
	*at += len;
	return (start);
}

struct pd_answer *
co_answer_copy(const struct pd_answer *a)
{
	u_int i, n = a->results.results_len;
	struct pd_answer *copy;
	struct pd_result *to;
	size_t size;
	char *at;

	size = sizeof(*copy) + n * sizeof(*to) + strlen(a->sub.id) +
	    strlen(a->reason) + strlen(a->detail) + 3;
	for (i = 0; i < n; i++)
		size += a->results.results_val[i].body.body_len;
	copy = g_malloc(size);
	*copy = *a;
	to = (void *)(copy + 1);
	copy->results.results_val = to;
	at = (char *)(to + n);
	for (i = 0; i < n; i++) {
		to[i] = a->results.results_val[i];
		to[i].body.body_val = at;
		if (to[i].body.body_len > 0)
			memcpy(at, a->results.results_val[i].body.body_val,
			    to[i].body.body_len);
		at += to[i].body.body_len;
	}
	copy->sub.id = append_text(&at, a->sub.id);
	copy->reason = append_text(&at, a->reason);
	copy->detail = append_text(&at, a->detail);
	return (copy);
}

static json_t *
result_to_json(const struct pd_result *r)
{
	json_t *text;
	char *valid;

	text = json_stringn(
	    r->body.body_len > 0 ? r->body.body_val : "", r->body.body_len);
	if (text != NULL)
		return (text);
	valid = g_utf8_make_valid(r->body.body_val, r->body.body_len);
	text = json_string(valid);
	g_free(valid);
	return (text);
}

char *
co_answer_to_json(const struct pd_answer *a)
{
	static const char *const names[] = {
	    [PD_COMPLETE] = "complete",
	    [PD_JOB_FAILED] = "failed",
	    [PD_REFUSED] = "refused",
	    [PD_UNKNOWN] = "unknown",
	    [PD_PENDING] = "pending",
	    [PD_NOT_FOUND] = "not_found",
	    [PD_NOT_OWNER] = "unknown",
	};
	json_t *root, *results;
	char *text;
	u_int i;

	root = json_pack("{s:s, s:I, s:s}", "id", a->sub.id, "created_ms",
	    (json_int_t)a->sub.created_ms, "status", names[a->status]);
	if (a->status == PD_COMPLETE) {
		results = json_array();
		for (i = 0; i < a->results.results_len; i++)
			json_array_append_new(results,
			    result_to_json(&a->results.results_val[i]));
		json_object_set_new(root, "results", results);
	} else if (a->status != PD_PENDING) {
		json_object_set_new(root, "reason", json_string(a->reason));
		json_object_set_new(root, "detail", json_string(a->detail));
		if (a->not_run)
			json_object_set_new(root, "not_run", json_true());
	}
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return (text);
}

char *
co_error_to_json(const char *code, const char *detail)
{
	json_t *root;
	char *text;

	root = json_pack("{s:s, s:s}", "error", code, "detail", detail);
	if (root == NULL) /* the detail quotes input that is not UTF-8 */
		root = json_pack("{s:s, s:s}", "error", code, "detail", "");
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return (text);
}
