#ifndef HARNESS_H
#define HARNESS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: hn - runs the real programs for a test
 *
 * Programs are found in the build folder, which is the working directory of
 * the tests, or PD_BUILD. hn_free() ends all processes it started, by id; the
 * kernel ends them when the test itself is killed.
 */
struct hn;
struct hn_proc;

/** hn_new() - world with an empty temporary folder; exits on failure */
struct hn *hn_new(void);

/**
 * hn_free() - end all processes and remove the folder
 * @h: consumed. The folder is kept when the environment has PD_KEEP
 */
void hn_free(struct hn *h);

/** hn_path() - name of a file in the temporary folder, released with g_free */
char *hn_path(const struct hn *h, const char *name);

/** hn_write() - write a file into the temporary folder */
void hn_write(struct hn *h, const char *name, const char *text);

/** hn_port() - a port that is free now, outside of the range that the system
 * uses for outgoing connections */
unsigned hn_port(struct hn *h);

/** hn_mono_ms() - monotonic time in milliseconds */
uint64_t hn_mono_ms(void);

/** hn_wall_ms() - milliseconds since the Unix epoch */
uint64_t hn_wall_ms(void);

/** hn_sleep_ms() - wait */
void hn_sleep_ms(unsigned ms);

/**
 * hn_start() - start a program
 * @h: world
 * @name: name of the process; its output is in NAME.out and NAME.err
 * @argv: program relative to the build folder and arguments, NULL at the end
 *
 * Return: process borrowed from the world.
 */
struct hn_proc *hn_start(
    struct hn *h, const char *name, const char *const *argv);

/**
 * hn_wait_ready() - wait for the line `ready PORT...`
 * @p: process
 * @ports: set to the ports
 * @n: number of ports to read; fails the test when there are fewer after 10 s
 */
void hn_wait_ready(struct hn_proc *p, unsigned *ports, size_t n);

/** hn_signal() - send a signal */
void hn_signal(struct hn_proc *p, int sig);

/**
 * hn_wait() - wait until a process has ended
 * @p: process
 * @timeout_ms: limit
 *
 * Return: exit code, 1000 + signal number, or -1 after the limit.
 */
int hn_wait(struct hn_proc *p, unsigned timeout_ms);

/** hn_kill() - SIGKILL and wait */
void hn_kill(struct hn_proc *p);

/** hn_output() - standard output so far, released with g_free() */
char *hn_output(const struct hn_proc *p);

/** hn_errors() - standard error so far, released with g_free() */
char *hn_errors(const struct hn_proc *p);

/**
 * hn_run() - run a program to its end
 * @h: world
 * @argv: as for hn_start()
 * @output: set to its standard output, released with g_free(); may be NULL
 * @timeout_ms: limit; the program is killed after it
 *
 * Return: as hn_wait().
 */
int hn_run(
    struct hn *h, const char *const *argv, char **output, unsigned timeout_ms);

/**
 * hn_http() - HTTP request to 127.0.0.1
 * @verb: "GET", "POST", ...
 * @port: port
 * @path: path with query
 * @body: body, or NULL
 * @token: bearer token, or NULL
 * @answer: set to the JSON of the answer, NULL when it is no JSON; may be NULL
 *
 * Return: HTTP status, 0 when there is no answer within 60 s.
 */
int hn_http(const char *verb, unsigned port, const char *path, const char *body,
    const char *token, json_t **answer);

/** hn_control() - `PUT /control?...` of a test program; fails the test when it
 * is not answered */
void hn_control(unsigned port, const char *query);

/** hn_json_text() - string of a JSON object, borrowed, "" when there is none */
const char *hn_json_text(const json_t *object, const char *key);

/**
 * hn_wait_until() - wait for a condition
 * @condition: called every 20 ms
 * @arg: passed to @condition
 * @timeout_ms: limit
 *
 * Return: whether the condition held.
 */
bool hn_wait_until(
    bool (*condition)(void *arg), void *arg, unsigned timeout_ms);

/** hn_parse_count() - number after `key=` in a text, -1 when there is none */
long hn_parse_count(const char *text, const char *key);

#endif
