#ifndef OPTIONS_H
#define OPTIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "settings.h"

/**
 * DOC: op - options: the settings of the entry
 */

/** struct op - validated settings; strings are owned */
struct op {
	char *cell;
	char *name;
	char *az;
	char *callers_address; /* addresses to listen on, "IP:port" */
	char *operators_address;
	char *rpc_address;
	struct st_strings peers;
	char *platform_url;
	int64_t platform_timeout_ms;
	char *token_file;
	int64_t life_s;
	int64_t remembered_max;
	int64_t queue_tasks_max;
	char *policy;
	char *log_level;
	char *token; /* content of token_file without surrounding space */
};

/**
 * op_load() - read and validate a settings file and the token file
 * @message: set to an error text with file and key on failure
 * @message_size: bytes at @message
 *
 * Return: false with @message set; @out is released then.
 */
bool op_load(
    const char *path, struct op *out, char *message, size_t message_size);

/** op_release() - free the strings of @o */
void op_release(struct op *o);

/**
 * op_read_token() - read and validate a bearer token
 *
 * Return: owned token, or NULL with @message set.
 */
char *op_read_token(const char *path, char *message, size_t message_size);

/**
 * op_parse_address() - split "IP:port"
 * @host: set to the IP address unless NULL; released with g_free()
 *
 * Return: the port, or -1 when the text is not an IPv4 address and a port.
 */
int op_parse_address(const char *address, char **host);

#endif
