#ifndef SETTINGS_H
#define SETTINGS_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: st - settings of a program, read from a TOML file and validated
 *
 * A program declares its keys in a table; st_load() fills a structure. An
 * unknown key, a wrong type, a value out of range or a missing key is an error;
 * its message has the file, the line, the key and what is allowed.
 */

enum st_type {
	ST_STRING,  /* char *, min to max bytes */
	ST_INTEGER, /* int64_t */
	ST_BOOLEAN, /* bool */
	ST_STRINGS, /* struct st_strings */
};

/** struct st_strings - list of strings */
struct st_strings {
	char **items;
	size_t count;
};

/**
 * struct st_key - one key of a settings file
 * @name: dotted name, such as "submission.life_s"
 * @type: type of the value
 * @offset: offset of the value in the settings structure
 * @min: minimum of an integer, or of the length of a string or a list
 * @max: maximum of an integer, or of the length of a string or a list
 * @fallback: default value as text, "" for an empty string or list; NULL if the
 *     key is required
 * @choices: allowed strings separated by '|', NULL for any
 * @help: description in one sentence, with the unit
 */
struct st_key {
	const char *name;
	enum st_type type;
	size_t offset;
	int64_t min;
	int64_t max;
	const char *fallback;
	const char *choices;
	const char *help;
};

enum st_error {
	ST_OK = 0,
	ST_UNREADABLE,
	ST_SYNTAX,
	ST_INVALID,
};

/**
 * st_load() - read and validate a settings file
 * @path: file name
 * @keys: table of all keys
 * @nkeys: number of keys
 * @out: structure to fill; release it with st_release()
 * @message: set to an error text with file, line and key
 * @message_size: size of @message in bytes
 *
 * Return: ST_OK, or an error, where @message is set and @out is released.
 */
enum st_error st_load(const char *path, const struct st_key *keys, size_t nkeys,
    void *out, char *message, size_t message_size);

/**
 * st_parse() - like st_load(), but from a string
 * @text: TOML text, NUL-terminated
 * @path: file name for error messages
 */
enum st_error st_parse(const char *text, const char *path,
    const struct st_key *keys, size_t nkeys, void *out, char *message,
    size_t message_size);

/** st_release() - free the strings in a structure filled by st_load() */
void st_release(const struct st_key *keys, size_t nkeys, void *out);

#endif
