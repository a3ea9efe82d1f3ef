#ifndef EXECUTOR_H
#define EXECUTOR_H

/**
 * DOC: ex - executor, the process of `pimentodock-agent --execute`: an agent of
 * transient jobs beside an endpoint of the platform
 */

/**
 * ex_run() - run until SIGTERM or SIGINT
 * @path: settings file
 *
 * Return: exit code.
 */
int ex_run(const char *path);

/** ex_check() - check a settings file. Return: exit code */
int ex_check(const char *path);

#endif
