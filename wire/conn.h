#ifndef CONN_H
#define CONN_H

#include <event2/event.h>
#include <rpc/rpc.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: cn - connections: ONC RPC over TCP on a libevent loop
 *
 * Messages have the headers and the record marking of RFC 5531, encoded by
 * libtirpc. Either end of a connection may call the other, and may reply to a
 * call long after it arrived. All functions must be called from the thread of
 * the event loop.
 *
 * A struct cn is valid until its closed() callback returns. cn_close() calls
 * closed() before it returns; if it is called from opened() or while received
 * data is handled, the connection is closed after that callback.
 */
struct bd;
struct cn;
struct cn_listener;

enum cn_error {
	CN_OK = 0,
	CN_CLOSED,         /* the other end closed the connection */
	CN_REFUSED,        /* the connection could not be established */
	CN_IDLE,           /* nothing was received during the idle limit */
	CN_MALFORMED,      /* the other end sent an invalid message */
	CN_TIMEOUT,        /* a call was not answered in time */
	CN_CLOSED_LOCALLY, /* this end closed the connection */
	CN_REJECTED,       /* the other end does not accept the call */
	CN_BAD_ADDRESS,    /* the address cannot be used */
};

/** cn_is_address() - whether a text is "IP:port" with a port from 1 to 65535 */
bool cn_is_address(const char *address);

/** cn_error_name() - description of an error, never NULL */
const char *cn_error_name(enum cn_error e);

/**
 * struct cn_ops - events of a connection
 * @opened: the connection is established; not called for accepted connections
 * @call: a call arrived. Decode the arguments with cn_decode() during the
 *     callback; reply now or later with cn_reply() and @xid, or not at all to
 *     a batched call. If @call is NULL, all calls are rejected
 * @closed: the connection is closed; @c is invalid afterwards. The callbacks
 *     of calls without a reply have run before
 */
struct cn_ops {
	void (*opened)(void *arg, struct cn *c);
	void (*call)(
	    void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args);
	void (*closed)(void *arg, struct cn *c, enum cn_error why);
};

/**
 * cn_reply_fn - called with the result of a call
 * @arg: argument given to cn_call()
 * @error: CN_OK, or why there is no result
 * @result: decoded result, borrowed, freed after the callback; NULL on error
 */
typedef void (*cn_reply_fn)(void *arg, enum cn_error error, void *result);

/** cn_accept_fn - a connection was accepted; set its callbacks with
 * cn_set_ops() */
typedef void (*cn_accept_fn)(void *arg, struct cn *c);

/**
 * cn_listen() - accept connections
 * @base: event loop, borrowed
 * @address: IPv4 address and port, such as "127.0.0.1:7000"; port 0 for any
 *     free port
 * @accept: called for each connection
 * @arg: passed to @accept
 * @error: set on failure
 *
 * Return: owned listener, or NULL with @error CN_BAD_ADDRESS.
 */
struct cn_listener *cn_listen(struct event_base *base, const char *address,
    cn_accept_fn accept, void *arg, enum cn_error *error);

/** cn_listener_port() - port that the listener is bound to */
unsigned cn_listener_port(const struct cn_listener *l);

/** cn_listener_set_bounds() - bound the connections that are accepted from now
 * on; see bd_rpc() */
void cn_listener_set_bounds(struct cn_listener *l, struct bd *bounds,
    const char *name, unsigned share_permille);

/** cn_listener_free() - stop accepting; consumed, NULL is allowed */
void cn_listener_free(struct cn_listener *l);

/**
 * cn_connect() - start to connect
 * @base: event loop, borrowed
 * @address: IPv4 address and port
 * @ops: callbacks, borrowed
 * @arg: passed to the callbacks
 * @error: set on failure
 *
 * Return: connection, or NULL with @error CN_BAD_ADDRESS or CN_REFUSED. If the
 * connection fails later, closed() is called with CN_REFUSED or CN_IDLE.
 */
struct cn *cn_connect(struct event_base *base, const char *address,
    const struct cn_ops *ops, void *arg, enum cn_error *error);

/** cn_set_ops() - set the callbacks of a connection */
void cn_set_ops(struct cn *c, const struct cn_ops *ops, void *arg);

/** cn_arg() - argument of the callbacks */
void *cn_arg(const struct cn *c);

/**
 * cn_set_idle() - close the connection if nothing is received for a time
 * @c: connection
 * @ms: limit in milliseconds, 0 for none
 */
void cn_set_idle(struct cn *c, unsigned ms);

/** cn_peer() - address of the other end, borrowed */
const char *cn_peer(const struct cn *c);

/** cn_close() - call closed() with CN_CLOSED_LOCALLY, then close and free the
 * connection */
void cn_close(struct cn *c);

/** cn_close_flushed() - close once all buffered bytes are written */
void cn_close_flushed(struct cn *c);

/**
 * cn_call() - call a procedure
 * @c: connection
 * @proc: procedure number from pd.h
 * @xargs: XDR function of the arguments
 * @args: arguments, borrowed until the function returns
 * @xresult: XDR function of the result
 * @result_size: size of the result structure in bytes
 * @timeout_ms: time limit for the reply in milliseconds, 0 for none
 * @done: called exactly once, also if the connection closes
 * @arg: passed to @done
 */
void cn_call(struct cn *c, uint32_t proc, xdrproc_t xargs, const void *args,
    xdrproc_t xresult, size_t result_size, unsigned timeout_ms,
    cn_reply_fn done, void *arg);

/** cn_send() - batched call, which has no reply; logged and dropped if it
 * exceeds the limits of its message */
void cn_send(struct cn *c, uint32_t proc, xdrproc_t xargs, const void *args);

/**
 * cn_decode() - decode the arguments of a call during ops->call()
 * @c: connection; on failure closed with CN_MALFORMED after the callback
 * @xdr: stream given to ops->call()
 * @xargs: XDR function of the arguments
 * @args: zeroed structure; after success release it with xdr_free()
 *
 * Return: nonzero on success; on failure @args is already released.
 */
int cn_decode(struct cn *c, XDR *xdr, xdrproc_t xargs, void *args);

/** cn_reply() - reply to the call @xid */
void cn_reply(
    struct cn *c, uint32_t xid, xdrproc_t xresult, const void *result);

/** cn_reject() - reply to the call @xid with "procedure unavailable" */
void cn_reject(struct cn *c, uint32_t xid);

/** cn_buffered() - number of bytes not written yet, for backpressure */
size_t cn_buffered(const struct cn *c);

/** struct cn_stats - totals since the start of the process */
struct cn_stats {
	uint64_t sent_messages;
	uint64_t sent_bytes;
	uint64_t received_messages;
	uint64_t received_bytes;
	uint64_t malformed;
};

/** cn_stats_get() - totals over all connections of this process */
struct cn_stats cn_stats_get(void);

#endif
