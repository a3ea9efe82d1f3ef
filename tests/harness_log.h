#ifndef HARNESS_LOG_H
#define HARNESS_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: hl - start logs of the fake endpoints and the log of the load client
 *
 * The checks use only what the endpoints and the callers saw, never what the
 * product says about itself.
 */
struct hl_starts;

/** hl_read() - read a start log; a missing file is an empty log. Owned */
struct hl_starts *hl_read(const char *path);

/** hl_free() - free a log; consumed, NULL is allowed */
void hl_free(struct hl_starts *s);

/** hl_start_count() - number of starts */
size_t hl_start_count(const struct hl_starts *s);

/**
 * hl_double_starts() - tasks of submissions that started more than once
 *
 * Prints the first ten.
 */
size_t hl_double_starts(const struct hl_starts *s);

/** hl_started_tasks() - number of different tasks of a submission that started
 */
size_t hl_started_tasks(const struct hl_starts *s, const char *submission);

/**
 * hl_starts_between() - starts at an endpoint in a time
 * @s: log
 * @endpoint: name of the endpoint, NULL for all
 * @from_ms: wall clock, inclusive
 * @to_ms: wall clock, exclusive
 */
size_t hl_starts_between(const struct hl_starts *s, const char *endpoint,
    uint64_t from_ms, uint64_t to_ms);

/**
 * struct hl_mismatches - contradictions between a load log and the start log
 * @submissions: lines of the load log
 * @refused_started: refused as "not run", and a task started
 * @incomplete_started: complete, and not every task started
 */
struct hl_mismatches {
	size_t submissions;
	size_t refused_started;
	size_t incomplete_started;
};

/** hl_compare() - compare the log of a load client with a start log */
struct hl_mismatches hl_compare(
    const struct hl_starts *s, const char *load_log);

#endif
