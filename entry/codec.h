#ifndef CODEC_H
#define CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pd.h"

/**
 * DOC: co - codec for the JSON of the callers' interface
 *
 * Does no I/O and has no state, so that tests and fuzzers can link it alone.
 */

/** CO_BODY_MAX - greatest length of a request body in bytes */
#define CO_BODY_MAX (4U * 1024 * 1024)
/** CO_DEADLINE_MAX_MS - greatest deadline_ms of a submission */
#define CO_DEADLINE_MAX_MS 600000
/** CO_SIZE_MAX_MS - greatest size_ms of a task, its declared run time */
#define CO_SIZE_MAX_MS 3600000
/** CO_SIZE_DEFAULT_MS - size_ms of a task that declares none */
#define CO_SIZE_DEFAULT_MS 100

/** enum co_error - result of parsing */
enum co_error {
	CO_OK = 0,
	CO_MALFORMED, /* not JSON, or a field is missing or wrong */
	CO_TOO_LARGE, /* the body, a task or the number of tasks is too large */
};

/**
 * co_parse_submission() - parse the body of a submission or a stand-alone
 * request
 * @text: JSON text, need not be NUL terminated
 * @len: bytes at @text
 * @kind: PD_SUBMISSION requires "tasks", PD_REQUEST requires "task"
 * @error: set on failure to a sentence with the field and what is allowed
 * @error_size: bytes at @error
 * @out: set to the submission on CO_OK; released with co_submit_free()
 */
enum co_error co_parse_submission(const char *text, size_t len,
    enum pd_kind kind, char *error, size_t error_size, struct pd_submit **out);

/** co_submit_free() - free a submission; consumed, NULL is allowed */
void co_submit_free(struct pd_submit *s);

/**
 * co_name_ok() - whether a text is a valid id or name
 * @max: greatest length in bytes
 *
 * Ids and names appear in URLs and HTTP headers, so only letters, digits and
 * "-._:~" are allowed.
 */
bool co_name_ok(const char *text, size_t max);

/**
 * co_depth_ok() - whether a JSON text is nested no deeper than 8
 *
 * The parser recurses once per level, and the HTTP threads have small stacks.
 */
bool co_depth_ok(const char *text, size_t len);

/**
 * co_parse_positive() - parse a number of a URL or of the command line
 * @text: created_ms or a revision; NULL when it is missing
 *
 * Return: false when it is missing or not a decimal number from 1 to INT64_MAX.
 */
bool co_parse_positive(const char *text, uint64_t *out);

/**
 * co_answer_copy() - deep copy of an answer in one block, released with free()
 */
struct pd_answer *co_answer_copy(const struct pd_answer *a);

/**
 * co_answer_to_json() - encode an answer as JSON text
 *
 * Bytes of a result that are not UTF-8 are replaced by U+FFFD.
 *
 * Return: owned text, released with free().
 */
char *co_answer_to_json(const struct pd_answer *a);

/** co_error_to_json() - encode `{"error", "detail"}`, released with free() */
char *co_error_to_json(const char *code, const char *detail);

#endif
