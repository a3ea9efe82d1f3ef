#include "fields.h"

const char *
fd_text(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return (s == NULL ? "" : s);
}

uint64_t
fd_number(const json_t *o, const char *key)
{
	json_int_t n = json_integer_value(json_object_get(o, key));

	return (n < 0 ? 0 : (uint64_t)n);
}

unsigned
fd_count(const json_t *o, const char *key)
{
	uint64_t n = fd_number(o, key);

	return (n > UINT32_MAX ? UINT32_MAX : (unsigned)n);
}
