#include <glib.h>

#include "lease.h"
#include "links_impl.h"
#include "log.h"

static void
return_grant(struct link *l, const struct pd_start *s)
{
	struct pd_end e = {.key = s->key, .state = PD_END_RETURNED};
	struct pd_ended report = {.load = lk_current_load(l),
	    .list = {.list_len = 1, .list_val = &e}};

	lg_write(LOG_NOTICE, "links",
	    "job %s task %u attempt %u: grant returned, no contact with entry "
	    "%s for %d ms",
	    s->key.sub.id, s->key.task, s->key.attempt, l->address,
	    LE_CONTACT_MS);
	/* Renews the contact before the entry grants the task again. */
	if (!l->heartbeat_pending)
		lk_send_heartbeat(l);
	cn_send(l->conn, PD_ENDED, (xdrproc_t)xdr_pd_ended, &report);
}

/* A grant that is read without contact may be older than LE_UNREACHABLE_MS: its
 * entry may have granted the task elsewhere. Contact that is made later does
 * not prove the opposite, so the grant is not kept until then. */
static void
on_start(struct link *l, XDR *args)
{
	struct lk *k = l->links;
	struct pd_start s = {0};

	if (!cn_decode(l->conn, args, (xdrproc_t)xdr_pd_start, &s))
		return;
	if (lk_in_contact(l))
		k->ops->start(k->arg, l->entry, &s);
	else
		return_grant(l, &s);
	xdr_free((xdrproc_t)xdr_pd_start, (char *)&s);
}

/* Calls @handle for each grant of a list. */
static void
on_keys(struct link *l, XDR *args,
    void (*handle)(void *arg, uint64_t entry, const struct pd_key *k))
{
	struct lk *k = l->links;
	struct pd_cancel list = {0};
	unsigned i;

	if (!cn_decode(l->conn, args, (xdrproc_t)xdr_pd_cancel, &list))
		return;
	for (i = 0; i < list.list.list_len; i++)
		handle(k->arg, l->entry, &list.list.list_val[i]);
	xdr_free((xdrproc_t)xdr_pd_cancel, (char *)&list);
}

/* Before the first reply to a heartbeat of this connection it is not known
 * which entry asks; it asks again. */
static void
on_reconcile(struct link *l, uint32_t xid, XDR *args)
{
	struct lk *k = l->links;
	struct pd_cancel list = {0};
	struct pd_ended reply = {0};
	unsigned i;

	if (l->echo_ms == 0) {
		cn_reject(l->conn, xid);
		return;
	}
	if (!cn_decode(l->conn, args, (xdrproc_t)xdr_pd_cancel, &list))
		return;
	reply.list.list_val = g_new0(struct pd_end, list.list.list_len + 1);
	reply.list.list_len = list.list.list_len;
	for (i = 0; i < list.list.list_len; i++) {
		reply.list.list_val[i].key = list.list.list_val[i];
		reply.list.list_val[i].state =
		    k->ops->state(k->arg, l->entry, &list.list.list_val[i]);
	}
	reply.load = lk_current_load(l);
	/* A grant that has just ended is not known here any more. */
	if (l->unsent_ends->len > 0)
		lk_send_ends(l, reply.load);
	cn_reply(l->conn, xid, (xdrproc_t)xdr_pd_ended, &reply);
	g_free(reply.list.list_val);
	xdr_free((xdrproc_t)xdr_pd_cancel, (char *)&list);
}

static void
on_zones(struct link *l, XDR *args)
{
	struct lk *k = l->links;
	struct pd_zones z = {0};

	if (!cn_decode(l->conn, args, (xdrproc_t)xdr_pd_zones, &z))
		return;
	k->ops->zones(k->arg, &z);
	xdr_free((xdrproc_t)xdr_pd_zones, (char *)&z);
}

void
lk_handle_call(struct link *l, uint32_t proc, uint32_t xid, XDR *args)
{
	if (proc == PD_START)
		on_start(l, args);
	else if (proc == PD_WITHDRAW)
		on_keys(l, args, l->links->ops->withdraw);
	else if (proc == PD_TAKE_BACK)
		on_keys(l, args, l->links->ops->take_back);
	else if (proc == PD_RECONCILE)
		on_reconcile(l, xid, args);
	else if (proc == PD_ZONES)
		on_zones(l, args);
	else
		cn_reject(l->conn, xid);
}
