#include <jansson.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"
#include "fuzz.h"

/* Targets: the parser of callers' JSON, and the encoder of answers with results
 * of arbitrary bytes. */

enum decoder {
	DECODE_SUBMISSION,
	DECODE_REQUEST,
	ENCODE_ANSWER,
	DECODERS,
};

const unsigned fz_decoders = DECODERS;

const char *const fz_dictionary[] = {"\"id\"", "\"created_ms\":", "\"tasks\":[",
    "\"task\":{", "\"body\":\"", "\"size_ms\":", "\"team\":", "\"az\":\"\"",
    "\"idempotent\":true", "null", "true", "[[[[[[[[[[", "{\"a\":", "}", "]",
    "\\u0000", "\\ud800", "1e400", "-1", "9223372036854775808", "0.5", "\xff",
    "\xc3\xa9", ",", "\"", NULL};

static const char *const seeds[DECODERS][3] = {
    [DECODE_SUBMISSION] =
	{
	    "{\"id\":\"order-17\",\"created_ms\":1767225600000,\"team\":"
	    "\"lids\",\"service\":\"order-desk\",\"deadline_ms\":30000,"
	    "\"idempotent\":false,\"az\":\"finistere\",\"tasks\":[{\"body\":"
	    "\"text\",\"size_ms\":100},{\"body\":\"\\u00e9\"}]}",
	    "{\"id\":\"a\",\"created_ms\":1,\"team\":\"t\",\"service\":\"s\","
	    "\"deadline_ms\":1,\"tasks\":[{\"body\":\"\"}]}",
	},
    [DECODE_REQUEST] =
	{
	    "{\"id\":\"order-17\",\"created_ms\":1767225600000,\"team\":"
	    "\"lids\",\"service\":\"order-desk\",\"deadline_ms\":30000,"
	    "\"idempotent\":true,\"task\":{\"body\":\"text\"}}",
	},
    [ENCODE_ANSWER] = {"complete", "\xff\xfe\x01 text", "\xed\xa0\x80\xf4"},
};

size_t
fz_seed(unsigned decoder, unsigned index, uint8_t *out)
{
	size_t len;

	if (decoder >= DECODERS || index >= 3 || seeds[decoder][index] == NULL)
		return (0);
	len = strlen(seeds[decoder][index]);
	memcpy(out, seeds[decoder][index], len);
	return (len);
}

static void
check_submission(const struct pd_submit *s)
{
	if (!co_name_ok(s->sub.id, PD_ID_MAX) || s->sub.created_ms == 0 ||
	    s->tasks.tasks_len < 1 || s->tasks.tasks_len > PD_TASKS_MAX ||
	    s->left_ms < 1 || s->left_ms > CO_DEADLINE_MAX_MS)
		abort();
}

static void
decode(const uint8_t *data, size_t size, enum pd_kind kind)
{
	struct pd_submit *s = NULL;
	char error[256] = "";

	if (co_parse_submission((const char *)data, size, kind, error,
		sizeof(error), &s) == CO_OK) {
		check_submission(s);
		co_submit_free(s);
	} else if (error[0] == '\0' || s != NULL) {
		abort();
	}
}

/* The answer must be valid JSON whatever bytes a result has. */
static void
encode(const uint8_t *data, size_t size)
{
	struct pd_result result = {
	    .body = {.body_len = (u_int)size, .body_val = (char *)data}};
	struct pd_answer answer = {
	    .sub = {.id = "order-17", .created_ms = 1},
	    .status = PD_COMPLETE,
	    .reason = "",
	    .detail = "",
	    .results = {.results_len = 1, .results_val = &result},
	};
	char *text = co_answer_to_json(&answer);
	json_t *json = json_loads(text, JSON_ALLOW_NUL, NULL);

	if (json_array_size(json_object_get(json, "results")) != 1)
		abort();
	json_decref(json);
	free(text);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (size == 0 || data[0] >= DECODERS)
		return (0);
	if (data[0] == DECODE_SUBMISSION)
		decode(data + 1, size - 1, PD_SUBMISSION);
	else if (data[0] == DECODE_REQUEST)
		decode(data + 1, size - 1, PD_REQUEST);
	else
		encode(data + 1, size - 1);
	return (0);
}
