#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "harness_fleet_impl.h"

/* Addresses as members of a TOML list, owned. */
static char *
address_list(const unsigned *ports, unsigned n)
{
	GString *list = g_string_new("");
	unsigned i;

	for (i = 0; i < n; i++)
		g_string_append_printf(
		    list, "%s\"127.0.0.1:%u\"", i == 0 ? "" : ",", ports[i]);
	return (g_string_free(list, FALSE));
}

char *
hf_entries_for_entries(const struct hf *f)
{
	unsigned ports[HF_NODES_MAX], i;

	for (i = 0; i < f->nentries; i++)
		ports[i] = f->entries[i].relay_port;
	return (address_list(ports, f->nentries));
}

char *
hf_entries_for_agent(const struct hf *f, unsigned agent)
{
	unsigned ports[HF_NODES_MAX], i;
	bool in_first_zone = agent % f->nentries == 0;

	if (f->net != HF_NET_SEPARABLE)
		return (hf_entries_for_entries(f));
	for (i = 0; i < f->nentries; i++)
		ports[i] = f->entries[i].rpc_port;
	if (!in_first_zone)
		ports[0] = f->entries[0].relay_port;
	return (address_list(ports, f->nentries));
}

unsigned
hf_store_port_for(const struct hf *f, unsigned entry)
{
	return (f->net == HF_NET_SEPARABLE && entry != 0 ? f->store_port
							 : f->store_relay_port);
}

/* Starts a relay in front of @target. @control is set to its control port.
 * Return: its port. */
static unsigned
start_relay(struct hf *f, unsigned target, unsigned *control)
{
	char name[32], address[32];
	unsigned ports[2];

	snprintf(name, sizeof(name), "relay-%u", f->next_suffix++);
	snprintf(address, sizeof(address), "127.0.0.1:%u", target);
	hn_wait_ready(hn_start(f->hn, name,
			  (const char *const[]){
			      "fakes/fake_relay", "--target", address, NULL}),
	    ports, 2);
	*control = ports[1];
	return (ports[0]);
}

void
hf_start_store_relay(struct hf *f)
{
	f->store_relay_port = f->net == HF_NET_DIRECT
	    ? f->store_port
	    : start_relay(f, f->store_port, &f->store_relay_control_port);
}

void
hf_start_entry_relay(struct hf *f, unsigned i)
{
	struct entry *e = &f->entries[i];

	e->relay_port = f->net == HF_NET_DIRECT
	    ? e->rpc_port
	    : start_relay(f, e->rpc_port, &e->relay_control_port);
}

void
hf_start_endpoint_relay(struct hf *f, unsigned i)
{
	struct worker *w = &f->workers[i];

	w->relay_port = f->net != HF_NET_RELAYED
	    ? w->orders_port
	    : start_relay(f, w->orders_port, &w->relay_control_port);
}

void
hf_control_relay(
    struct hf *f, enum hf_relay_target target, unsigned i, const char *control)
{
	hn_control(target == HF_ENTRY   ? f->entries[i].relay_control_port
		: target == HF_ENDPOINT ? f->workers[i].relay_control_port
					: f->store_relay_control_port,
	    control);
}

void
hf_cut_first_entry(struct hf *f, bool cut)
{
	const char *mode = cut ? "mode=silent" : "mode=pass";
	unsigned i;

	for (i = 0; i < f->nentries; i++)
		hf_control_relay(f, HF_ENTRY, i, mode);
	hf_control_relay(f, HF_STORE, 0, mode);
}
