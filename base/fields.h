#ifndef FIELDS_H
#define FIELDS_H

#include <jansson.h>
#include <stdint.h>

/**
 * DOC: fd - members of JSON objects, where one that is missing or of another
 * type counts as empty or 0
 */

/** fd_text() - text of a member, "" for none; borrowed from @o */
const char *fd_text(const json_t *o, const char *key);

/** fd_number() - value of a member; 0 for none and for a negative one */
uint64_t fd_number(const json_t *o, const char *key);

/** fd_count() - like fd_number(), at most UINT32_MAX */
unsigned fd_count(const json_t *o, const char *key);

#endif
