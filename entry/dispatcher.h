#ifndef DISPATCHER_H
#define DISPATCHER_H

/**
 * DOC: di - dispatcher process of `pimentodock dispatch`: an entry for
 * transient jobs
 */

/**
 * di_run() - run until SIGTERM or SIGINT
 * @path: settings file
 *
 * Return: exit code.
 */
int di_run(const char *path);

/** di_check() - check a settings file; errors are printed. Return: exit code */
int di_check(const char *path);

#endif
