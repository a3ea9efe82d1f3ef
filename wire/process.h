#ifndef PROCESS_H
#define PROCESS_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

#include "settings.h"

/**
 * DOC: pr - what the long-running programs share: settings, addresses, signals
 */
struct pr_signals;

/**
 * pr_load() - read and check a settings file; an error is printed
 * @program: name for the message
 *
 * Return: whether @out is filled; release it with st_release().
 */
bool pr_load(const char *program, const char *path, const struct st_key *table,
    size_t nkeys, void *out);

/**
 * pr_seed_addresses() - addresses of entries to begin with
 * @addresses: "IP:port", taken as they are
 * @hosts: "IP:port" of another interface; the port is replaced
 * @port: port of the entries, as text
 *
 * Return: owned list of owned text.
 */
GPtrArray *pr_seed_addresses(const struct st_strings *addresses,
    const struct st_strings *hosts, const char *port);

/**
 * pr_signals_new() - tell of SIGTERM, SIGINT and SIGHUP on the event loop
 *
 * SIGPIPE is ignored from now on. Return: owned handle.
 */
struct pr_signals *pr_signals_new(
    struct event_base *base, event_callback_fn fn, void *arg);

/** pr_signals_free() - consumed, NULL is allowed */
void pr_signals_free(struct pr_signals *s);

#endif
