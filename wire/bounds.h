#ifndef BOUNDS_H
#define BOUNDS_H

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: bd - bounds on what the clients of a process can use of its memory and
 * descriptors
 *
 * Each listener has a limit of connections, and all connections and jobs of the
 * process share one limit of memory. Connections are closed by shutting their
 * socket down, so their owner sees the end of the connection as if the peer had
 * closed it. All functions are called from the thread of the event loop.
 */
struct bd;
struct bd_listener;
struct bd_conn;
struct bufferevent;
struct ck;
struct ct;
struct evconnlistener;
struct evhttp;

/**
 * struct bd_settings - settings of the section `limits`
 * @memory_mb: memory of the host, 0: unknown
 * @descriptors: descriptors that the host allows, 0: unknown
 * @connections: per listener, 0: by the number of descriptors
 * @memory_bytes: of all connections and jobs, 0: by the memory of the host
 * @read_ahead_bytes: received but not yet parsed, per connection
 * @request_ms: time in which a request must be complete, and in which the
 *     peer must read a part of a response
 */
struct bd_settings {
	int64_t memory_mb;
	int64_t descriptors;
	int64_t connections;
	int64_t memory_bytes;
	int64_t read_ahead_bytes;
	int64_t request_ms;
};

/** BD_SETTINGS - rows of the settings table (st_key) for the bd_settings at
 * offset @at of a structure */
#define BD_SETTINGS(at)                                                        \
	{"limits.memory_mb", ST_INTEGER,                                       \
	    (at) + offsetof(struct bd_settings, memory_mb), 0, 1 << 24, "0",   \
	    NULL, "memory of the host in MB; 0: unknown"},                     \
	    {"limits.descriptors", ST_INTEGER,                                 \
		(at) + offsetof(struct bd_settings, descriptors), 0, 1 << 24,  \
		"0", NULL, "descriptors of the host; 0: as the process has"},  \
	    {"limits.connections", ST_INTEGER,                                 \
		(at) + offsetof(struct bd_settings, connections), 0, 1 << 20,  \
		"0", NULL,                                                     \
		"connections per listener; 0: by the number of descriptors"},  \
	    {"limits.memory_bytes", ST_INTEGER,                                \
		(at) + offsetof(struct bd_settings, memory_bytes), 0,          \
		1LL << 40, "0", NULL,                                          \
		"bytes of all connections and jobs; 0: by the host's memory"}, \
	    {"limits.read_ahead_bytes", ST_INTEGER,                            \
		(at) + offsetof(struct bd_settings, read_ahead_bytes), 16384,  \
		1 << 24, "65536", NULL,                                        \
		"bytes that a connection may have unparsed"},                  \
	{                                                                      \
		"limits.request_ms", ST_INTEGER,                               \
		    (at) + offsetof(struct bd_settings, request_ms), 1000,     \
		    600000, "15000", NULL,                                     \
		    "time for a request to be complete, and for a response "   \
		    "to be read on, milliseconds"                              \
	}

/**
 * struct bd_limits - limits in force
 * @connections: of all listeners together, of which each has a share
 * @connections_each: of each listener, 0: by its share
 */
struct bd_limits {
	unsigned connections;
	unsigned connections_each;
	size_t memory_bytes;
	size_t read_ahead_bytes;
	unsigned request_ms;
};

/**
 * bd_limits_derive() - limits for a host
 * @s: settings
 * @process_descriptors: RLIMIT_NOFILE
 * @out: set on success
 *
 * Return: NULL, or what is wrong with the settings.
 */
const char *bd_limits_derive(const struct bd_settings *s,
    uint64_t process_descriptors, struct bd_limits *out);

/** bd_limits_read() - bd_limits_derive() for this process; prints errors.
 * Return: whether @out is set */
bool bd_limits_read(
    const char *program, const struct bd_settings *s, struct bd_limits *out);

/**
 * bd_new() - bounds without any listener
 * @base: event loop, borrowed
 * @clock: borrowed
 * @counters: borrowed
 * @limits: copied
 *
 * Return: owned handle.
 */
struct bd *bd_new(struct event_base *base, const struct ck *clock,
    struct ct *counters, const struct bd_limits *limits);

/** bd_free() - end after the listeners have ended; consumed, NULL is allowed */
void bd_free(struct bd *b);

/** bd_jobs_bytes_max() - memory that jobs may take, bytes */
size_t bd_jobs_bytes_max(const struct bd *b);

/** bd_set_jobs_bytes() - memory that jobs take now, bytes; connections have
 * the rest */
void bd_set_jobs_bytes(struct bd *b, size_t bytes);

/**
 * bd_http() - bound the connections that an HTTP server accepts from now on
 * @name: of the listener, in logs and metrics, a constant
 * @http: borrowed; the event loop does not run after it is freed until
 *     bd_free()
 * @share_permille: of the connections
 */
void bd_http(struct bd *b, const char *name, struct evhttp *http,
    unsigned share_permille);

/**
 * bd_rpc() - the same for a listener that calls bd_admit() and bd_add()
 * @listener: borrowed
 *
 * Return: borrowed from @b.
 */
struct bd_listener *bd_rpc(struct bd *b, const char *name,
    struct evconnlistener *listener, unsigned share_permille);

/** bd_admit() - whether a connection may be added; if there are too many, the
 * longest idle one, or else the slowest, is closed. @fd: of the new one, for
 * the log */
bool bd_admit(struct bd_listener *l, evutil_socket_t fd);

/** bd_add() - bound a connection. Return: owned, released with bd_remove() */
struct bd_conn *bd_add(struct bd_listener *l, struct bufferevent *bev);

/** bd_remove() - call before its bufferevent is freed; consumed, NULL is
 * allowed */
void bd_remove(struct bd_conn *c);

/** bd_message_max() - size of a message that an RPC connection may announce,
 * bytes */
size_t bd_message_max(const struct bd_listener *l);

#endif
