#ifndef SERVE_H
#define SERVE_H

/**
 * DOC: sv - serve: runs the entry's process from start to graceful shutdown
 */

/**
 * sv_run() - serve until the shutdown on SIGTERM or SIGINT is complete
 * @settings: path of the settings file
 *
 * Return: exit code: 0 after a graceful shutdown, 1 when an address cannot be
 * bound, 2 when the settings are invalid.
 */
int sv_run(const char *settings);

/**
 * sv_check() - validate a settings file without starting anything
 *
 * Return: exit code 0 or 2.
 */
int sv_check(const char *settings);

#endif
