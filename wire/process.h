#ifndef PROCESS_H
#define PROCESS_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

#include "settings.h"

/**
 * DOC: pr - process set-up that the long-running programs share: settings,
 * addresses and signals
 */
struct pr_signals;

/**
 * pr_load_settings() - read and validate a settings file; prints errors
 * @program: name of the program for the error message
 *
 * Return: whether @out is filled; release it with st_release().
 */
bool pr_load_settings(const char *program, const char *path,
    const struct st_key *table, size_t nkeys, void *out);

/**
 * pr_seed_addresses() - addresses of the entries to contact first
 * @addresses: "IP:port", used unchanged
 * @hosts: "IP:port" of another interface; @port replaces the port
 * @port: port of the entries, as text
 *
 * Return: owned list of owned strings.
 */
GPtrArray *pr_seed_addresses(const struct st_strings *addresses,
    const struct st_strings *hosts, const char *port);

/**
 * pr_signals_new() - call @fn on the event loop for SIGTERM, SIGINT and SIGHUP
 *
 * SIGPIPE is ignored from now on. Return: owned handle.
 */
struct pr_signals *pr_signals_new(
    struct event_base *base, event_callback_fn fn, void *arg);

/** pr_signals_free() - remove the handlers; @s is consumed, NULL is allowed */
void pr_signals_free(struct pr_signals *s);

#endif
