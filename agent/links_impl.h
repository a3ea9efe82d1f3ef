#ifndef LINKS_IMPL_H
#define LINKS_IMPL_H

#include <glib.h>

#include "conn.h"
#include "links.h"

/**
 * DOC: lk - internals: links.c keeps the connections and sends heartbeats and
 * reports, links_calls.c handles what entries send
 */

struct link {
	struct lk *links;
	char *address;
	struct cn *conn;
	bool open;
	bool heartbeat_pending;
	bool seed;
	bool failed;                /* the last attempt got no answer */
	uint64_t rank;              /* order of preference, lowest first */
	uint64_t entry;             /* incarnation, 0 while unknown */
	uint64_t heartbeat_sent_ms; /* clock in the last heartbeat */
	uint64_t echo_ms; /* latest clock echoed on this connection; 0: none */
	uint64_t announced_ms; /* when it answered or was announced last */
	uint64_t unneeded_ms;  /* since when it is not needed; 0: it is */
	uint32_t list_hash;    /* of the entries that it announced last */
	uint64_t load_sent_ms; /* when a report with the load was sent last */
	uint64_t described;    /* endpoint in the last heartbeat; 0: none */
	uint64_t attached;     /* endpoint in the last answered PD_ATTACH */
	uint64_t
	    attached_ms;    /* when that was sent; 0: none on this connection */
	bool heartbeat_due; /* as soon as the pending one is answered */
	GArray *unsent_ends; /* struct pd_end with owned ids, to be sent */
};

struct lk {
	struct event_base *base;
	const struct ck *clock;
	char *cell;
	char *name;
	struct ac *contacts;
	const struct lk_ops *ops;
	void *arg;
	GHashTable *table; /* address -> struct link, owned */
	GPtrArray *ranked; /* the same links by rank */
	uint64_t list_requested_ms;
	uint64_t started_ms;
	uint64_t discovered_ms; /* when an address was last added */
	struct event *timer;
	struct event *flush_event;
	struct event *connect_event; /* to entries that were announced */
	bool short_heartbeats;
	bool closing;
};

/** lk_in_contact() - whether a heartbeat on this connection was answered within
 * LE_CONTACT_MS */
bool lk_in_contact(const struct link *l);

/** lk_current_load() - load as it is reported to the entry now */
struct pd_load lk_current_load(const struct link *l);

/** lk_send_heartbeat() - send a heartbeat; none may be pending */
void lk_send_heartbeat(struct link *l);

/** lk_send_ends() - send the load and all ends that are not sent yet */
void lk_send_ends(struct link *l, struct pd_load load);

/** lk_handle_call() - handle a call or message of the entry */
void lk_handle_call(struct link *l, uint32_t proc, uint32_t xid, XDR *args);

#endif
