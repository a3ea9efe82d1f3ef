#ifndef SUPPORT_NET_H
#define SUPPORT_NET_H

#include <stddef.h>

/**
 * DOC: sn - addresses for the servers of tests
 */

/** SN_ADDRESS_SIZE - size of an address, bytes */
#define SN_ADDRESS_SIZE 32

/** sn_free_port() - port on 127.0.0.1 that is free now; fails the test if there
 * is none */
unsigned sn_free_port(void);

/** sn_address() - write "127.0.0.1:@port" */
void sn_address(char address[SN_ADDRESS_SIZE], unsigned port);

#endif
