#ifndef JOBTRACE_H
#define JOBTRACE_H

#include <stdbool.h>
#include <stdio.h>

/**
 * DOC: so - sorted trace of one job, collected from the logs of entries and
 * agents
 *
 * Logs are lines with one JSON object each. The text before the object, such as
 * the name of a host, is kept as the source of the line.
 */
struct so;

/** so_new() - create an empty trace of a job. Return: owned handle */
struct so *so_new(const char *job);

/** so_free() - consumed, NULL is allowed */
void so_free(struct so *s);

/** so_add_log() - add the lines of a log that may concern the job; @f stays
 * open */
void so_add_log(struct so *s, FILE *f);

/**
 * so_print() - print the events of the job and the notes about its workers in
 * the order of time, and then the first problem
 *
 * Return: whether the logs contain the job.
 */
bool so_print(struct so *s, FILE *out);

#endif
