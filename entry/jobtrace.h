#ifndef JOBTRACE_H
#define JOBTRACE_H

#include <stdbool.h>
#include <stdio.h>

/**
 * DOC: so - the life of one job, told from the logs of any processes
 *
 * Logs are lines with one JSON object each; what stands before the object, such
 * as the name of a host, is kept as the source of the line.
 */
struct so;

/** so_new() - story of a job; owned */
struct so *so_new(const char *job);

/** so_free() - consumed, NULL is allowed */
void so_free(struct so *s);

/** so_add_log() - take all lines of a log that may matter; @f stays open */
void so_add_log(struct so *s, FILE *f);

/**
 * so_print() - print the decisions about the job in their order, what the logs
 * say of its workers at that time, and the first thing that went wrong
 *
 * Return: whether the logs tell anything about the job.
 */
bool so_print(struct so *s, FILE *out);

#endif
