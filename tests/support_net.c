#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "support_net.h"

#define MS_PER_S 1000
#define US_PER_MS 1000

/* The port is bound to find it and released before its use. */
unsigned
sn_free_port(void)
{
	struct sockaddr_in a = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(a);
	int s = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(0, bind(s, (struct sockaddr *)&a, sizeof(a)));
	assert_int_equal(0, getsockname(s, (struct sockaddr *)&a, &len));
	close(s);
	return (ntohs(a.sin_port));
}

void
sn_address(char address[SN_ADDRESS_SIZE], unsigned port)
{
	snprintf(address, SN_ADDRESS_SIZE, "127.0.0.1:%u", port);
}

struct cn_listener *
sn_listen(struct event_base *base, cn_accept_fn accept, void *arg,
    char address[SN_ADDRESS_SIZE])
{
	enum cn_error error;
	struct cn_listener *l =
	    cn_listen(base, "127.0.0.1:0", accept, arg, &error);

	assert_non_null(l);
	sn_address(address, cn_listener_port(l));
	return (l);
}

void
sn_run_loop(struct event_base *base, unsigned ms)
{
	struct timeval tv = {ms / MS_PER_S, (long)(ms % MS_PER_S) * US_PER_MS};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}
