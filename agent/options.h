#ifndef OPTIONS_H
#define OPTIONS_H

#include <netinet/in.h>
#include <stdbool.h>

#include "settings.h"

/**
 * DOC: op - arguments and settings of the agent
 */

/** struct op_settings - values of the settings file */
struct op_settings {
	char *cell;
	char *name;
	char *az;
	char *service;
	char *worker;
	char *url; /* of the endpoint, without a slash at the end */
	int64_t slots;
	int64_t connections;
	struct st_strings entries;
	int64_t queue_max;
	int64_t life_s;
	int64_t records_mb;
	char *metrics; /* "IP:port", "" to serve none */
	char *log_level;
	struct sockaddr_in endpoint; /* address in url */
};

/** enum op_result - what the program is to do */
enum op_result {
	OP_RUN,
	OP_EXECUTE, /* run as an agent of transient jobs; @path is set */
	OP_CHECK,   /* check the settings of --execute; @path is set */
	OP_HELP,    /* help was printed */
	OP_BAD,     /* usage or settings error; it was printed */
};

/**
 * op_read() - read arguments and settings
 * @out: filled with OP_RUN; release with op_release()
 * @path: set to the settings file with OP_EXECUTE and OP_CHECK, owned
 */
enum op_result op_read(
    int argc, char **argv, struct op_settings *out, char **path);

/** op_release() - free what op_read() filled */
void op_release(struct op_settings *s);

/**
 * op_address() - convert "IP:port"
 * @length: bytes of @text that are used, or -1 for all
 *
 * Return: whether it is an IPv4 number with a port from 1 to 65535.
 */
bool op_address(const char *text, int length, struct sockaddr_in *out);

#endif
