#ifndef HARNESS_LOG_H
#define HARNESS_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: hl - harness logs: start logs of the fake endpoints and the log of the
 * load client
 *
 * The checks rely only on what endpoints and callers observed, never on what
 * the tested programs report.
 */
struct hl_starts;

/** hl_read() - read a start log, owned; a missing file counts as empty */
struct hl_starts *hl_read(const char *path);

/** hl_free() - free a log; consumed, NULL is allowed */
void hl_free(struct hl_starts *s);

/** hl_start_count() - number of starts in the log */
size_t hl_start_count(const struct hl_starts *s);

/**
 * hl_double_starts() - number of tasks that started more than once
 *
 * Prints the first ten of them.
 */
size_t hl_double_starts(const struct hl_starts *s);

/** hl_started_tasks() - number of distinct tasks of a submission that started
 */
size_t hl_started_tasks(const struct hl_starts *s, const char *submission);

/**
 * hl_starts_between() - number of starts at an endpoint in a time interval
 * @s: log
 * @endpoint: name of the endpoint, NULL for all endpoints
 * @from_ms: wall clock, inclusive
 * @to_ms: wall clock, exclusive
 */
size_t hl_starts_between(const struct hl_starts *s, const char *endpoint,
    uint64_t from_ms, uint64_t to_ms);

/**
 * struct hl_mismatches - contradictions between a load log and the start log
 * @submissions: submissions in the load log
 * @refused_started: submissions that were refused as "not run" although a task
 *     started
 * @incomplete_started: submissions that were complete although not every task
 *     started
 */
struct hl_mismatches {
	size_t submissions;
	size_t refused_started;
	size_t incomplete_started;
};

/** hl_compare() - check the log of the load client against a start log */
struct hl_mismatches hl_compare(
    const struct hl_starts *s, const char *load_log);

#endif
