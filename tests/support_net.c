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
