#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "conn.h"
#include "pd.h"

/*
 * Cost of the transport: one call at a time, batched calls, and how long
 * the client of libtirpc blocks its thread when the server does not answer.
 */
#define CALLS 20000
#define BATCHED_CALLS 200000
#define SILENT_TIMEOUT_S 1
#define US_PER_MS 1000.0

struct bench {
	struct event_base *base;
	struct ck *clock;
	struct cn *client;
	int calls_left;
	int batched_received;
};

static void
server_call(void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args)
{
	struct pd_changes_from from = {0};
	struct pd_held held = {0};
	struct bench *b = arg;

	if (!cn_decode(c, args, (xdrproc_t)xdr_pd_changes_from, &from))
		return;
	if (proc == PD_CHANGES) {
		held.revision = from.after;
		cn_reply(c, xid, (xdrproc_t)xdr_pd_held, &held);
	} else if (++b->batched_received == BATCHED_CALLS)
		event_base_loopbreak(b->base);
}

static const struct cn_ops ops = {NULL, server_call, NULL};

static void
accepted(void *arg, struct cn *c)
{
	cn_set_ops(c, &ops, arg);
}

static void next_call(struct bench *b);

static void
call_done(void *arg, enum cn_error error, void *result)
{
	struct bench *b = arg;

	(void)result;
	if (error != CN_OK || --b->calls_left == 0)
		event_base_loopbreak(b->base);
	else
		next_call(b);
}

static void
next_call(struct bench *b)
{
	struct pd_changes_from from = {1};

	cn_call(b->client, PD_CHANGES, (xdrproc_t)xdr_pd_changes_from, &from,
	    (xdrproc_t)xdr_pd_held, sizeof(struct pd_held), 0, call_done, b);
}

static void
measure_calls(struct bench *b)
{
	uint64_t start;

	b->calls_left = CALLS;
	start = ck_mono_us(b->clock);
	next_call(b);
	event_base_dispatch(b->base);
	printf("figure rpc_round_trip %.1f us\n",
	    (double)(ck_mono_us(b->clock) - start) / CALLS);
}

static void
measure_batched(struct bench *b)
{
	struct pd_changes_from from = {1};
	uint64_t start;
	int i;

	start = ck_mono_us(b->clock);
	for (i = 0; i < BATCHED_CALLS; i++)
		cn_send(
		    b->client, PD_GRANT, (xdrproc_t)xdr_pd_changes_from, &from);
	event_base_dispatch(b->base);
	printf("figure rpc_batched_call %.2f us\n",
	    (double)(ck_mono_us(b->clock) - start) / BATCHED_CALLS);
}

/* The server accepts the connection and never answers. */
static void
measure_silent(struct bench *b)
{
	struct timeval timeout = {SILENT_TIMEOUT_S, 0};
	struct pd_changes_from from = {1};
	struct pd_held held = {0};
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);
	CLIENT *client;
	uint64_t start;
	int fd, sock = RPC_ANYSOCK;

	fd = socket(AF_INET, SOCK_STREAM, 0);
	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(fd, 1) != 0 ||
	    getsockname(fd, (struct sockaddr *)&sin, &len) != 0)
		goto out;
	client = clnttcp_create(&sin, PD_PROG, PD_V1, &sock, 0, 0);
	if (client == NULL)
		goto out;
	start = ck_mono_us(b->clock);
	(void)clnt_call(client, PD_CHANGES, (xdrproc_t)xdr_pd_changes_from,
	    (caddr_t)&from, (xdrproc_t)xdr_pd_held, (caddr_t)&held, timeout);
	printf("figure libtirpc_silent_call_blocks %.0f ms\n",
	    (double)(ck_mono_us(b->clock) - start) / US_PER_MS);
	clnt_destroy(client);
out:
	close(fd);
}

int
main(void)
{
	struct bench b = {0};
	struct cn_listener *l;
	enum cn_error error;
	char address[32];

	b.base = event_base_new();
	b.clock = ck_new_system();
	l = cn_listen(b.base, "127.0.0.1:0", accepted, &b, &error);
	if (l == NULL)
		return (EXIT_FAILURE);
	snprintf(address, sizeof(address), "127.0.0.1:%u", cn_listener_port(l));
	b.client = cn_connect(b.base, address, &ops, &b, &error);
	if (b.client == NULL)
		return (EXIT_FAILURE);
	measure_calls(&b);
	measure_batched(&b);
	measure_silent(&b);
	cn_close(b.client);
	cn_listener_free(l);
	event_base_free(b.base);
	ck_free(b.clock);
	return (EXIT_SUCCESS);
}
