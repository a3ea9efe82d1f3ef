#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "process.h"

#define MESSAGE_BYTES 1024

struct pr_signals {
	struct event *events[3];
};

bool
pr_load_settings(const char *program, const char *path,
    const struct st_key *table, size_t nkeys, void *out)
{
	char message[MESSAGE_BYTES];

	if (st_load(path, table, nkeys, out, message, sizeof(message)) == ST_OK)
		return (true);
	fprintf(stderr, "%s: %s\n", program, message);
	return (false);
}

GPtrArray *
pr_seed_addresses(const struct st_strings *addresses,
    const struct st_strings *hosts, const char *port)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
	const char *host;
	size_t i;

	for (i = 0; i < addresses->count; i++)
		g_ptr_array_add(list, g_strdup(addresses->items[i]));
	for (i = 0; i < hosts->count; i++) {
		host = hosts->items[i];
		g_ptr_array_add(list,
		    g_strdup_printf(
			"%.*s:%s", (int)strcspn(host, ":"), host, port));
	}
	return (list);
}

struct pr_signals *
pr_signals_new(struct event_base *base, event_callback_fn fn, void *arg)
{
	static const int numbers[] = {SIGTERM, SIGINT, SIGHUP};
	struct pr_signals *s = g_new0(struct pr_signals, 1);
	size_t i;

	signal(SIGPIPE, SIG_IGN);
	for (i = 0; i < G_N_ELEMENTS(numbers); i++) {
		s->events[i] = evsignal_new(base, numbers[i], fn, arg);
		event_add(s->events[i], NULL);
	}
	return (s);
}

void
pr_signals_free(struct pr_signals *s)
{
	size_t i;

	if (s == NULL)
		return;
	for (i = 0; i < G_N_ELEMENTS(s->events); i++)
		event_free(s->events[i]);
	g_free(s);
}
