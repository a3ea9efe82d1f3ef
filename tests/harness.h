#ifndef HARNESS_H
#define HARNESS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: hn - harness that runs the real programs for a test
 *
 * Programs are found in the build folder, which is PD_BUILD or else the working
 * directory. hn_free() kills all processes that it started, by id; the
 * operating system kills them if the test process itself is killed.
 */
struct hn;
struct hn_proc;

/** hn_new() - harness with an empty temporary folder; fails the test on errors
 */
struct hn *hn_new(void);

/**
 * hn_free() - kill all processes and remove the folder
 * @h: consumed. The folder is kept if PD_KEEP is set in the environment
 */
void hn_free(struct hn *h);

/** hn_path() - path of a file in the temporary folder, released with g_free */
char *hn_path(const struct hn *h, const char *name);

/** hn_write() - write a file into the temporary folder */
void hn_write(struct hn *h, const char *name, const char *text);

/** hn_port() - a port that is free now, outside of the range that the operating
 * system uses for outgoing connections */
unsigned hn_port(struct hn *h);

/** hn_mono_ms() - monotonic time in milliseconds */
uint64_t hn_mono_ms(void);

/** hn_wall_ms() - milliseconds since the Unix epoch */
uint64_t hn_wall_ms(void);

/** hn_sleep_ms() - sleep */
void hn_sleep_ms(unsigned ms);

/**
 * hn_start() - start a program
 * @h: harness
 * @name: name of the process; its output goes to NAME.out and NAME.err
 * @argv: path of the program in the build folder, and arguments; ends with NULL
 *
 * Return: process borrowed from the harness.
 */
struct hn_proc *hn_start(
    struct hn *h, const char *name, const char *const *argv);

/**
 * hn_wait_ready() - wait until the program prints `ready PORT...`
 * @p: process
 * @ports: set to the ports
 * @n: number of ports to read
 *
 * Fails the test if there are fewer ports after 10 s.
 */
void hn_wait_ready(struct hn_proc *p, unsigned *ports, size_t n);

/** hn_pid() - id of a process */
int hn_pid(const struct hn_proc *p);

/** hn_signal() - send a signal */
void hn_signal(struct hn_proc *p, int sig);

/**
 * hn_wait() - wait until a process has ended
 * @p: process
 * @timeout_ms: time limit
 *
 * Return: exit code, 1000 + signal number, or -1 if the time limit was reached.
 */
int hn_wait(struct hn_proc *p, unsigned timeout_ms);

/** hn_kill() - send SIGKILL and wait for the end of the process */
void hn_kill(struct hn_proc *p);

/** hn_output() - standard output so far, released with g_free() */
char *hn_output(const struct hn_proc *p);

/** hn_error_output() - standard error so far, released with g_free() */
char *hn_error_output(const struct hn_proc *p);

/** hn_peak_memory_kb() - most memory that a process has had so far */
unsigned hn_peak_memory_kb(const struct hn_proc *p);

/**
 * hn_run() - run a program to its end
 * @h: harness
 * @argv: as for hn_start()
 * @output: set to its standard output, released with g_free(); may be NULL
 * @timeout_ms: time limit, after which the program is killed
 *
 * Return: as hn_wait().
 */
int hn_run(
    struct hn *h, const char *const *argv, char **output, unsigned timeout_ms);

/**
 * hn_http() - send an HTTP request to 127.0.0.1
 * @verb: "GET", "POST", ...
 * @port: port
 * @path: path with query
 * @body: body, or NULL
 * @token: bearer token, or NULL
 * @answer: set to the JSON of the response, or NULL if it is not JSON; may be
 *     NULL
 *
 * Return: HTTP status, 0 if there is no response within 60 s.
 */
int hn_http(const char *verb, unsigned port, const char *path, const char *body,
    const char *token, json_t **answer);

/** hn_control() - send `PUT /control?QUERY` to a test program; fails the test
 * if the status is not 200 */
void hn_control(unsigned port, const char *query);

/** hn_json_text() - string field of a JSON object, borrowed; "" for none */
const char *hn_json_text(const json_t *object, const char *key);

/**
 * hn_wait_until() - wait for a condition
 * @condition: called every 20 ms
 * @arg: passed to @condition
 * @timeout_ms: time limit
 *
 * Return: whether the condition was met.
 */
bool hn_wait_until(
    bool (*condition)(void *arg), void *arg, unsigned timeout_ms);

/** hn_parse_count() - number after ` KEY=` in a text, -1 if there is none */
long hn_parse_count(const char *text, const char *key);

#endif
