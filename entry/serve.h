#ifndef SERVE_H
#define SERVE_H

/**
 * DOC: sv - the entry as a process
 */

/**
 * sv_run() - serve until SIGTERM or SIGINT has been handled
 * @settings: path of the settings file
 *
 * Return: exit code: 0 after a graceful shutdown, 1 when an address cannot be
 * bound, 2 when the settings are wrong.
 */
int sv_run(const char *settings);

/**
 * sv_check() - check settings without starting anything
 *
 * Return: exit code 0 or 2.
 */
int sv_check(const char *settings);

#endif
