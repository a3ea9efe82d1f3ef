#ifndef SUPPORT_NET_H
#define SUPPORT_NET_H

#include "conn.h"

/**
 * DOC: sn - servers and event loops of tests
 */

/** SN_ADDRESS_SIZE - size of an address, bytes */
#define SN_ADDRESS_SIZE 32

/** sn_free_port() - port on 127.0.0.1 that is free now; fails the test if there
 * is none */
unsigned sn_free_port(void);

/** sn_address() - write "127.0.0.1:@port" */
void sn_address(char address[SN_ADDRESS_SIZE], unsigned port);

/**
 * sn_listen() - accept connections on a free port of 127.0.0.1; fails the test
 * if there is none
 * @address: set to the address
 *
 * Return: owned listener.
 */
struct cn_listener *sn_listen(struct event_base *base, cn_accept_fn accept,
    void *arg, char address[SN_ADDRESS_SIZE]);

/** sn_run_loop() - handle events for a time */
void sn_run_loop(struct event_base *base, unsigned ms);

#endif
