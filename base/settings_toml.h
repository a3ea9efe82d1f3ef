#ifndef SETTINGS_TOML_H
#define SETTINGS_TOML_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * DOC: C interface to the C++ library toml++; Debian has no other TOML library
 * that C code can use
 */

enum toml_type {
	TOML_STRING,
	TOML_INTEGER,
	TOML_BOOLEAN,
	TOML_STRINGS,
	TOML_OTHER, /* any other type; no key has it */
};

/** struct toml_value - a key of the file and its value; pointers are borrowed
 */
struct toml_value {
	const char *key; /* dotted path */
	unsigned line;
	enum toml_type type;
	const char *string;
	int64_t integer;
	bool boolean;
	const char *const *strings;
	size_t nstrings;
};

/**
 * toml_visit() - parse a text and visit each key that is not a table
 * @text: TOML text
 * @visit: called for each key; stops the visit by returning false
 * @arg: passed to @visit
 * @error: set to the description of a syntax error
 * @error_size: size of @error in bytes
 * @error_line: set to the line of a syntax error, 0 if unknown
 *
 * Return: false on a syntax error, true otherwise.
 */
bool toml_visit(const char *text,
    bool (*visit)(void *arg, const struct toml_value *value), void *arg,
    char *error, size_t error_size, unsigned *error_line);

#ifdef __cplusplus
}
#endif

#endif
