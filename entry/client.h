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

/** struct cl - parameters of a command; strings are borrowed */
struct cl {
	const char *url;       /* of the operators' interface, without a path */
	const char *token;     /* bearer token */
	bool json;             /* print responses as received */
	unsigned timeout_s;    /* of one request */
	const char *change_id; /* NULL: generated */
	uint64_t expect;       /* expected latest revision; 0: any */
};

/** cl_status() - print the state of the entry */
int cl_status(const struct cl *c);

/** cl_entries() - print the registered entries */
int cl_entries(const struct cl *c);

/** cl_config() - print the configuration as JSON */
int cl_config(const struct cl *c);

/** cl_explain() - print the events of a submission */
int cl_explain(const struct cl *c, const char *id);

/**
 * cl_post_change() - request a change of the configuration
 * @change: consumed; "change_id" and "by" are added
 *
 * A request without a response is repeated with the same change_id, so that the
 * change is made at most once.
 */
int cl_post_change(const struct cl *c, json_t *change);

#endif
