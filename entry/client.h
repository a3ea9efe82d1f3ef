#ifndef CLIENT_H
#define CLIENT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: cl - client of the operators' HTTP interface for the command line
 *
 * Results go to standard output, errors to standard error. All functions
 * return an exit code (enum ex).
 */

/** struct cl - where and how to ask; strings are borrowed */
struct cl {
	const char *url;   /* of the operators' port */
	const char *token; /* bearer token */
	bool json;         /* print the answers as they are */
	unsigned timeout_s;
	const char *change_id; /* NULL: made here */
	uint64_t expect;       /* revision that must be the last; 0: any */
};

/** cl_status() - print the state of the entry */
int cl_status(const struct cl *c);

/** cl_entries() - print the registered entries */
int cl_entries(const struct cl *c);

/** cl_config() - print the configuration */
int cl_config(const struct cl *c);

/** cl_explain() - print the events of a submission */
int cl_explain(const struct cl *c, const char *id);

/**
 * cl_post_change() - make a change
 * @change: consumed; "change_id" and "by" are added
 *
 * A request whose answer is lost is sent again under the same change_id, which
 * makes the change at most once.
 */
int cl_post_change(const struct cl *c, json_t *change);

#endif
