#ifndef CONN_H
#define CONN_H

#include <event2/event.h>
#include <rpc/rpc.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: cn - ONC RPC over TCP on a libevent loop
 *
 * Messages have the headers of RFC 5531 and its record marking; codec and
 * headers come from libtirpc. Either end of a connection may call the other.
 * A reply may be sent long after the call arrived. All functions belong to the
 * thread of the event loop.
 *
 * A struct cn is valid until its closed() callback returns. cn_close() calls
 * closed() before it returns when the connection is open.
 */
struct cn;
struct cn_listener;

enum cn_error {
	CN_OK = 0,
	CN_CLOSED,         /* the other end closed the connection */
	CN_REFUSED,        /* the connection could not be made */
	CN_IDLE,           /* nothing was received for the idle limit */
	CN_MALFORMED,      /* the other end sent what is not a message */
	CN_TIMEOUT,        /* a call was not answered in time */
	CN_CLOSED_LOCALLY, /* this end closed the connection */
	CN_REJECTED,       /* the other end does not accept the call */
	CN_BAD_ADDRESS,    /* the address cannot be used */
};

/** cn_error_name() - text of an error, never NULL */
const char *cn_error_name(enum cn_error e);

/**
 * struct cn_ops - events of a connection
 * @opened: the connection is made (not called for accepted connections)
 * @call: a call arrived. Decode the arguments with cn_decode() during the
 *     callback; answer now or later with cn_reply() and @xid, or not at all
 *     for a batched call. NULL: every call is rejected
 * @closed: the connection ended; @c is invalid afterwards. Calls without a
 *     reply have been told before
 */
struct cn_ops {
	void (*opened)(void *arg, struct cn *c);
	void (*call)(
	    void *arg, struct cn *c, uint32_t proc, uint32_t xid, XDR *args);
	void (*closed)(void *arg, struct cn *c, enum cn_error why);
};

/**
 * cn_reply_fn - result of a call
 * @arg: argument given to cn_call()
 * @error: CN_OK or why there is no result
 * @result: decoded result, borrowed, freed after the callback; NULL on error
 */
typedef void (*cn_reply_fn)(void *arg, enum cn_error error, void *result);

/** cn_accept_fn - a connection was accepted; set its callbacks with
 * cn_set_ops() */
typedef void (*cn_accept_fn)(void *arg, struct cn *c);

/**
 * cn_listen() - accept connections
 * @base: event loop, borrowed
 * @address: IP number and port, "127.0.0.1:7000"; port 0 for any
 * @accept: called for each connection
 * @arg: passed to @accept
 * @error: set on failure
 *
 * Return: owned listener, or NULL with @error CN_BAD_ADDRESS.
 */
struct cn_listener *cn_listen(struct event_base *base, const char *address,
    cn_accept_fn accept, void *arg, enum cn_error *error);

/** cn_listener_port() - port in use */
unsigned cn_listener_port(const struct cn_listener *l);

/** cn_listener_free() - stop accepting; consumed, NULL is allowed */
void cn_listener_free(struct cn_listener *l);

/**
 * cn_connect() - start a connection
 * @base: event loop, borrowed
 * @address: IP number and port
 * @ops: callbacks, borrowed
 * @arg: passed to the callbacks
 * @error: set on failure
 *
 * Return: connection, or NULL with @error CN_BAD_ADDRESS. A connection that
 * cannot be made ends with closed(CN_REFUSED) or closed(CN_IDLE).
 */
struct cn *cn_connect(struct event_base *base, const char *address,
    const struct cn_ops *ops, void *arg, enum cn_error *error);

/** cn_set_ops() - set the callbacks of a connection */
void cn_set_ops(struct cn *c, const struct cn_ops *ops, void *arg);

/** cn_arg() - argument of the callbacks */
void *cn_arg(const struct cn *c);

/**
 * cn_set_idle() - close when nothing is received for a time
 * @c: connection
 * @ms: limit in milliseconds, 0 for none
 */
void cn_set_idle(struct cn *c, unsigned ms);

/** cn_peer() - address of the other end, borrowed */
const char *cn_peer(const struct cn *c);

/** cn_close() - close and free the connection after calling
 * closed(CN_CLOSED_LOCALLY) */
void cn_close(struct cn *c);

/** cn_close_flushed() - close once all queued bytes are written */
void cn_close_flushed(struct cn *c);

/**
 * cn_call() - call a procedure
 * @c: connection
 * @proc: procedure number from pd.h
 * @xargs: encoder of the arguments
 * @args: arguments, borrowed until the function returns
 * @xresult: decoder of the result
 * @result_size: bytes of the result structure
 * @timeout_ms: time until CN_TIMEOUT, 0 for none
 * @done: called exactly once, also when the connection ends
 * @arg: passed to @done
 */
void cn_call(struct cn *c, uint32_t proc, xdrproc_t xargs, const void *args,
    xdrproc_t xresult, size_t result_size, unsigned timeout_ms,
    cn_reply_fn done, void *arg);

/**
 * cn_send() - batched call, to which there is no reply
 */
void cn_send(struct cn *c, uint32_t proc, xdrproc_t xargs, const void *args);

/**
 * cn_decode() - decode the arguments of a call during ops->call()
 * @c: connection; closed with CN_MALFORMED after the callback on failure
 * @xdr: stream given to ops->call()
 * @xargs: decoder
 * @args: zeroed structure; release it with xdr_free() after success
 *
 * Return: nonzero on success; on failure @args is already released.
 */
int cn_decode(struct cn *c, XDR *xdr, xdrproc_t xargs, void *args);

/** cn_reply() - answer the call @xid */
void cn_reply(
    struct cn *c, uint32_t xid, xdrproc_t xresult, const void *result);

/** cn_reject() - answer the call @xid with "procedure unavailable" */
void cn_reject(struct cn *c, uint32_t xid);

/** cn_buffered() - bytes that wait to be written, for backpressure */
size_t cn_buffered(const struct cn *c);

/** struct cn_stats - totals since the start of the process */
struct cn_stats {
	uint64_t sent_messages;
	uint64_t sent_bytes;
	uint64_t received_messages;
	uint64_t received_bytes;
	uint64_t malformed;
};

/** cn_stats_get() - totals of all connections of this process */
struct cn_stats cn_stats_get(void);

#endif
