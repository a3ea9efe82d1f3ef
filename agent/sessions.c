#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "agent.h"
#include "conn.h"
#include "counters.h"
#include "kernel.h"
#include "log.h"
#include "options.h"
#include "rng.h"
#include "sessions.h"

#define PART "sessions"
#define MS_PER_S 1000
#define US_PER_MS 1000

#define HEARTBEAT_MS 750
/* A connection is closed when nothing, or no answer to a heartbeat, is received
 * for this time. */
#define IDLE_TIMEOUT_MS 2000
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 1000
/* Time for the entries to read the last reports. */
#define DRAIN_TIMEOUT_MS 3000
/* Larger batches are split, so that no message delays a heartbeat. */
#define MESSAGE_BYTES_MAX 1048576

struct link {
	struct ss *sessions;
	const char *address;
	struct cn *conn; /* NULL while waiting to connect */
	struct event *connect_timer;
	unsigned failures;          /* attempts in a row without HELLO reply */
	uint64_t entry_incarnation; /* from the last HELLO reply */
	ga_session session;
	GArray *outbox; /* pd_record, owned */
	size_t outbox_bytes;
	bool sent_since_heartbeat;
	bool drained; /* the entry has read the last reports */
};

struct ss {
	struct kn *kernel;
	const struct op_settings *settings;
	const struct ag_identity *identity;
	struct ga *gate;
	struct ct *counters;
	struct event_base *loop;
	struct rn *rng;
	struct link *links;
	size_t nlinks;
	struct event *heartbeat_timer;
	struct event *flush_event; /* runs at the end of a loop pass */
	struct event *drain_timer; /* timer of ss_drain() */
	bool flush_pending;
	bool draining;
	bool stopping;
	void (*drained_fn)(void *arg);
	void *drained_arg;
	uint64_t sent_bodies;
	uint64_t received_bodies;
};

static struct timeval
to_timeval(unsigned ms)
{
	struct timeval tv = {ms / MS_PER_S, (ms % MS_PER_S) * US_PER_MS};

	return (tv);
}

static void
count_message(const struct ss *s, const char *direction, const char *kind)
{
	char labels[64];

	g_snprintf(labels, sizeof(labels), "direction=\"%s\",kind=\"%s\"",
	    direction, kind);
	ct_add(ct_get(s->counters, CT_COUNTER, "pd_agent_messages_total",
		   "Messages exchanged with entries", labels),
	    1);
}

static void
outbox_clear(struct link *l)
{
	struct pd_record *r;
	guint i;

	for (i = 0; i < l->outbox->len; i++) {
		r = &g_array_index(l->outbox, struct pd_record, i);
		g_free(r->key.sub.id);
		g_free(r->body.body_val);
	}
	g_array_set_size(l->outbox, 0);
	l->outbox_bytes = 0;
}

static void
outbox_send(struct link *l)
{
	struct pd_heartbeat load;
	struct pd_report report;

	if (l->outbox->len == 0)
		return;
	if (l->conn != NULL) {
		ga_heartbeat(l->sessions->gate, &load);
		report = (struct pd_report){load.running, load.queued,
		    {l->outbox->len,
			(struct pd_record *)(void *)l->outbox->data}};
		cn_send(l->conn, PD_REPORT, (xdrproc_t)xdr_pd_report, &report);
		count_message(l->sessions, "sent", "report");
		l->sessions->sent_bodies += l->outbox_bytes;
		l->sent_since_heartbeat = true;
	}
	outbox_clear(l);
}

static void
flush_all(evutil_socket_t fd, short what, void *arg)
{
	struct ss *s = arg;
	size_t i;

	(void)fd;
	(void)what;
	s->flush_pending = false;
	for (i = 0; i < s->nlinks; i++)
		outbox_send(&s->links[i]);
}

static void
outbox_add(struct link *l, const struct pd_record *r)
{
	struct pd_record copy = *r;
	struct ss *s = l->sessions;

	copy.key.sub.id = g_strdup(r->key.sub.id);
	copy.body.body_val = g_memdup2(r->body.body_val, r->body.body_len);
	g_array_append_val(l->outbox, copy);
	l->outbox_bytes += r->body.body_len;
	if (l->outbox->len == PD_BATCH_MAX ||
	    l->outbox_bytes >= MESSAGE_BYTES_MAX)
		outbox_send(l);
	else if (!s->flush_pending) {
		s->flush_pending = true;
		event_active(s->flush_event, 0, 0);
	}
}

void
ss_report(struct ss *s, ga_session session, const struct pd_record *r)
{
	size_t i;

	for (i = 0; i < s->nlinks; i++)
		if (s->links[i].session == session)
			outbox_add(&s->links[i], r);
}

static void
check_drained(struct ss *s)
{
	size_t i;

	if (!s->draining)
		return;
	for (i = 0; i < s->nlinks; i++)
		if (!s->links[i].drained)
			return;
	s->draining = false;
	s->drained_fn(s->drained_arg);
}

static void
heartbeat_done(void *arg, enum cn_error error, void *result)
{
	struct link *l = arg;

	if (error == CN_OK) {
		count_message(l->sessions, "received", "permit");
		ga_permit(l->sessions->gate, l->session, result);
	} else if (error == CN_TIMEOUT) {
		lg_write(LOG_WARNING, PART, "%s: no answer for %d ms",
		    l->address, IDLE_TIMEOUT_MS);
		cn_close(l->conn);
	}
}

static void
send_heartbeat(struct link *l, cn_reply_fn done)
{
	struct pd_heartbeat heartbeat;

	if (l->session == GA_NO_SESSION)
		return;
	ga_heartbeat(l->sessions->gate, &heartbeat);
	count_message(l->sessions, "sent", "heartbeat");
	l->sent_since_heartbeat = false;
	cn_call(l->conn, PD_HEARTBEAT, (xdrproc_t)xdr_pd_heartbeat, &heartbeat,
	    (xdrproc_t)xdr_pd_permit, sizeof(struct pd_permit), IDLE_TIMEOUT_MS,
	    done, l);
}

/* The answer proves that the entry has read all messages before the heartbeat
 * and knows that this agent is draining. Grants that crossed with the heartbeat
 * may have been refused meanwhile; these reports take another heartbeat. */
static void
last_heartbeat_done(void *arg, enum cn_error error, void *result)
{
	struct link *l = arg;

	(void)result;
	if (error != CN_OK)
		return;
	outbox_send(l);
	if (l->sent_since_heartbeat) {
		send_heartbeat(l, last_heartbeat_done);
		return;
	}
	l->drained = true;
	check_drained(l->sessions);
}

void
ss_send_heartbeats(struct ss *s)
{
	size_t i;

	for (i = 0; i < s->nlinks && !s->draining; i++)
		send_heartbeat(&s->links[i], heartbeat_done);
}

static void
heartbeat_all(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	ss_send_heartbeats(arg);
}

static void
on_grants(struct link *l, struct cn *c, XDR *args)
{
	struct pd_grants grants = {0};
	struct ss *s = l->sessions;
	u_int i;

	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_grants, &grants))
		return;
	for (i = 0; i < grants.list.list_len; i++) {
		s->received_bodies += grants.list.list_val[i].body.body_len;
		ga_grant(s->gate, l->session, &grants.list.list_val[i]);
	}
	xdr_free((xdrproc_t)xdr_pd_grants, &grants);
}

/* Records that do not fit into the reply are sent before it as reports. */
static void
on_resolve(struct link *l, struct cn *c, uint32_t xid, XDR *args)
{
	struct pd_resolve keys = {0};
	struct pd_resolve_reply reply = {0};
	struct ss *s = l->sessions;
	struct pd_record r;
	size_t bytes = 0;
	GArray *list;
	u_int i;

	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_resolve, &keys))
		return;
	list = g_array_new(FALSE, FALSE, sizeof(struct pd_record));
	for (i = 0; i < keys.list.list_len; i++) {
		ga_resolve(s->gate, &keys.list.list_val[i], &r);
		if (bytes < MESSAGE_BYTES_MAX) {
			bytes += r.body.body_len;
			g_array_append_val(list, r);
		} else
			outbox_add(l, &r);
	}
	outbox_send(l);
	reply.list.list_len = list->len;
	reply.list.list_val = (struct pd_record *)(void *)list->data;
	cn_reply(c, xid, (xdrproc_t)xdr_pd_resolve_reply, &reply);
	count_message(s, "sent", "resolve_reply");
	l->sent_since_heartbeat = true;
	s->sent_bodies += bytes;
	g_array_free(list, TRUE);
	xdr_free((xdrproc_t)xdr_pd_resolve, &keys);
}

static void
on_fence(struct link *l, struct cn *c, uint32_t xid, XDR *args)
{
	struct pd_fence_reply reply;
	struct pd_fence fence = {0};
	struct ss *s = l->sessions;
	u_int i;

	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_fence, &fence))
		return;
	ga_fence(s->gate, l->session, &fence, &reply);
	outbox_send(l);
	cn_reply(c, xid, (xdrproc_t)xdr_pd_fence_reply, &reply);
	count_message(s, "sent", "fence_reply");
	l->sent_since_heartbeat = true;
	for (i = 0; i < reply.list.list_len; i++)
		s->sent_bodies += reply.list.list_val[i].body.body_len;
	xdr_free((xdrproc_t)xdr_pd_fence, &fence);
}

static void
on_cancel(struct link *l, struct cn *c, XDR *args)
{
	struct pd_cancel keys = {0};
	u_int i;

	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_cancel, &keys))
		return;
	for (i = 0; i < keys.list.list_len; i++)
		ga_cancel(l->sessions->gate, &keys.list.list_val[i]);
	xdr_free((xdrproc_t)xdr_pd_cancel, &keys);
}

static void
link_call(void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	struct link *l = arg;

	switch (proc) {
	case PD_GRANT:
		count_message(l->sessions, "received", "grant");
		on_grants(l, c, args);
		break;
	case PD_RESOLVE:
		count_message(l->sessions, "received", "resolve");
		on_resolve(l, c, xid, args);
		break;
	case PD_FENCE:
		count_message(l->sessions, "received", "fence");
		on_fence(l, c, xid, args);
		break;
	case PD_CANCEL:
		count_message(l->sessions, "received", "cancel");
		on_cancel(l, c, args);
		break;
	default:
		count_message(l->sessions, "received", "unknown");
		cn_reject(c, xid);
	}
}

static void
hello_done(void *arg, enum cn_error error, void *result)
{
	const struct pd_hello_reply *reply = result;
	struct link *l = arg;
	struct ss *s = l->sessions;

	if (error != CN_OK) {
		cn_close(l->conn);
		return;
	}
	count_message(s, "received", "hello_reply");
	/* One process at a time can be bound to the address, so a new
	 * incarnation means that the previous entry has ended. */
	if (l->entry_incarnation != 0 &&
	    l->entry_incarnation != reply->incarnation)
		ga_entry_replaced(s->gate, l->entry_incarnation);
	l->entry_incarnation = reply->incarnation;
	l->failures = 0;
	l->session = ga_session_opened(s->gate, l->entry_incarnation);
	lg_write(LOG_INFO, PART, "%s: session with %s is open", l->address,
	    reply->entry);
	send_heartbeat(l, s->draining ? last_heartbeat_done : heartbeat_done);
}

static void
link_opened(void *arg, struct cn *c)
{
	struct link *l = arg;
	const struct op_settings *settings = l->sessions->settings;
	struct pd_hello hello = {
	    .cell = settings->cell,
	    .name = settings->name,
	    .incarnation = l->sessions->identity->incarnation,
	    .started_ms = ga_complete_since(l->sessions->gate),
	    .az = settings->az,
	    .service = settings->service,
	    .worker = settings->worker,
	    .slots = (u_int)settings->slots,
	    .queue_max = (u_int)settings->queue_max,
	};

	count_message(l->sessions, "sent", "hello");
	cn_call(c, PD_HELLO, (xdrproc_t)xdr_pd_hello, &hello,
	    (xdrproc_t)xdr_pd_hello_reply, sizeof(struct pd_hello_reply),
	    IDLE_TIMEOUT_MS, hello_done, l);
}

static void
schedule_connect(struct link *l)
{
	struct ss *s = l->sessions;
	unsigned limit, ms;
	struct timeval tv;

	limit = BACKOFF_MIN_MS * 2U << MIN(l->failures, 8U);
	limit = MIN(limit, (unsigned)BACKOFF_MAX_MS);
	ms = BACKOFF_MIN_MS + rn_below(s->rng, limit - BACKOFF_MIN_MS + 1);
	l->failures++;
	tv = to_timeval(ms);
	evtimer_add(l->connect_timer, &tv);
}

static void
link_closed(void *arg, struct cn *c, enum cn_error why)
{
	struct link *l = arg;

	(void)c;
	if (l->session != GA_NO_SESSION)
		lg_write(LOG_NOTICE, PART, "%s: session ended: %s", l->address,
		    cn_error_name(why));
	else
		lg_write(LOG_DEBUG, PART, "%s: no session: %s", l->address,
		    cn_error_name(why));
	ga_session_closed(l->sessions->gate, l->session);
	l->session = GA_NO_SESSION;
	l->conn = NULL;
	outbox_clear(l);
	if (!l->sessions->stopping)
		schedule_connect(l);
}

static const struct cn_ops link_ops = {link_opened, link_call, link_closed};

static void
connect_link(evutil_socket_t fd, short what, void *arg)
{
	struct link *l = arg;
	enum cn_error error;

	(void)fd;
	(void)what;
	l->conn =
	    cn_connect(l->sessions->loop, l->address, &link_ops, l, &error);
	if (l->conn != NULL)
		cn_set_idle(l->conn, IDLE_TIMEOUT_MS);
	else
		schedule_connect(l);
}

static void
on_drain_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct ss *s = arg;

	(void)fd;
	(void)what;
	if (!s->draining)
		return;
	lg_write(LOG_WARNING, PART,
	    "an entry did not read the last reports within %d ms",
	    DRAIN_TIMEOUT_MS);
	s->draining = false;
	s->drained_fn(s->drained_arg);
}

void
ss_drain(struct ss *s, void (*done)(void *arg), void *arg)
{
	struct timeval tv = to_timeval(DRAIN_TIMEOUT_MS);
	size_t i;

	s->draining = true;
	s->drained_fn = done;
	s->drained_arg = arg;
	evtimer_add(s->drain_timer, &tv);
	for (i = 0; i < s->nlinks; i++) {
		outbox_send(&s->links[i]);
		send_heartbeat(&s->links[i], last_heartbeat_done);
	}
}

struct ss *
ss_new(struct kn *kernel)
{
	struct timeval tv = to_timeval(HEARTBEAT_MS);
	struct ss *s;
	size_t i;

	s = g_new0(struct ss, 1);
	s->settings = kn_find(kernel, "settings");
	s->identity = kn_find(kernel, "identity");
	s->gate = kn_find(kernel, "gate");
	s->counters = kn_find(kernel, "counters");
	s->loop = kn_find(kernel, "loop");
	s->rng = rn_new_random();
	s->heartbeat_timer =
	    event_new(s->loop, -1, EV_PERSIST, heartbeat_all, s);
	s->flush_event = event_new(s->loop, -1, 0, flush_all, s);
	s->drain_timer = evtimer_new(s->loop, on_drain_timeout, s);
	evtimer_add(s->heartbeat_timer, &tv);
	s->nlinks = s->settings->entries.count;
	s->links = g_new0(struct link, s->nlinks);
	for (i = 0; i < s->nlinks; i++) {
		s->links[i].sessions = s;
		s->links[i].address = s->settings->entries.items[i];
		s->links[i].outbox =
		    g_array_new(FALSE, FALSE, sizeof(struct pd_record));
		s->links[i].connect_timer =
		    evtimer_new(s->loop, connect_link, &s->links[i]);
		connect_link(-1, 0, &s->links[i]);
	}
	return (s);
}

void
ss_free(struct ss *s)
{
	size_t i;

	if (s == NULL)
		return;
	s->stopping = true;
	for (i = 0; i < s->nlinks; i++) {
		if (s->links[i].conn != NULL)
			cn_close(s->links[i].conn);
		event_free(s->links[i].connect_timer);
		outbox_clear(&s->links[i]);
		g_array_free(s->links[i].outbox, TRUE);
	}
	event_free(s->heartbeat_timer);
	event_free(s->flush_event);
	event_free(s->drain_timer);
	rn_free(s->rng);
	g_free(s->links);
	g_free(s);
}

unsigned
ss_open_count(const struct ss *s)
{
	unsigned open = 0;
	size_t i;

	for (i = 0; i < s->nlinks; i++)
		open += s->links[i].session != GA_NO_SESSION;
	return (open);
}

struct ss_traffic
ss_traffic(const struct ss *s)
{
	struct cn_stats total = cn_stats_get();

	return ((struct ss_traffic){
	    total.sent_bytes - s->sent_bodies,
	    total.received_bytes - s->received_bodies,
	    s->sent_bodies,
	    s->received_bodies,
	});
}
