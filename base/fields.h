#ifndef FIELDS_H
#define FIELDS_H

#include <jansson.h>
#include <stdint.h>

/**
 * DOC: fd - reads fields of JSON objects; one that is missing or has another
 * type reads as "" or 0
 */

/** fd_text() - value of a string field, "" for none; borrowed from @o */
const char *fd_text(const json_t *o, const char *key);

/** fd_number() - value of an integer field; 0 for none and if it is negative */
uint64_t fd_number(const json_t *o, const char *key);

/** fd_count() - like fd_number(), limited to UINT32_MAX */
unsigned fd_count(const json_t *o, const char *key);

#endif
