#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#include "harness.h"

#define READY_LIMIT_MS 10000
#define END_LIMIT_MS 3000
#define POLL_MS 20
/* Below the range of outgoing ports (32768 and up). */
#define PORT_FIRST 12000U
#define PORT_SPAN 20000U
/* Size of the block of ports that each harness reserves for itself. */
#define PORT_STRIDE 200U
#define SIGNAL_BASE 1000
#define STILL_RUNNING (-1)

struct hn {
	char *folder;
	GPtrArray *procs; /* struct hn_proc */
	unsigned next_port;
	unsigned end_port; /* first port after the reserved block */
	int block_socket;  /* bound to the first port of the block */
	unsigned runs;
};

struct hn_proc {
	struct hn *harness;
	char *name;
	pid_t pid;
	bool running;
	int status; /* as returned by hn_wait(); valid if not running */
};

/* Harness of the running test. */
static struct hn *current_harness;

/* Returns a socket bound to the port, or -1 if the port is in use. */
static int
try_bind_port(unsigned port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons((uint16_t)port);
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return (fd);
	close(fd);
	return (-1);
}

/*
 * Reserves a block of ports by binding its first one. Two test cells on the
 * same ports would connect to each other, since their processes have the same
 * names.
 */
static void
reserve_port_block(struct hn *h)
{
	unsigned blocks = PORT_SPAN / PORT_STRIDE, port, i;

	for (i = 0; i < blocks; i++) {
		port = PORT_FIRST +
		    ((unsigned)getpid() + i) % blocks * PORT_STRIDE;
		h->block_socket = try_bind_port(port);
		if (h->block_socket >= 0) {
			h->next_port = port + 1;
			h->end_port = port + PORT_STRIDE;
			return;
		}
	}
	fail_msg("no free block of ports");
}

struct hn *
hn_new(void)
{
	struct hn *h = g_new0(struct hn, 1);
	GError *error = NULL;

	/* cmocka skips the tear-down of a test whose set-up failed. */
	if (current_harness != NULL)
		hn_free(current_harness);
	current_harness = h;

	h->folder = g_dir_make_tmp("pd-test-XXXXXX", &error);
	if (h->folder == NULL)
		fail_msg("no temporary folder: %s", error->message);
	h->procs = g_ptr_array_new();
	reserve_port_block(h);
	return (h);
}

static void
proc_free(struct hn_proc *p)
{
	if (p->running)
		hn_kill(p);
	g_free(p->name);
	g_free(p);
}

static void
remove_folder(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *path = g_build_filename(folder, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	if (dir != NULL)
		g_dir_close(dir);
	g_rmdir(folder);
}

void
hn_free(struct hn *h)
{
	for (unsigned i = h->procs->len; i > 0; i--)
		proc_free(g_ptr_array_index(h->procs, i - 1));
	g_ptr_array_free(h->procs, TRUE);
	if (g_getenv("PD_KEEP") != NULL)
		print_message("files are kept in %s\n", h->folder);
	else
		remove_folder(h->folder);
	if (current_harness == h)
		current_harness = NULL;
	close(h->block_socket);
	g_free(h->folder);
	g_free(h);
}

char *
hn_path(const struct hn *h, const char *name)
{
	return (g_build_filename(h->folder, name, NULL));
}

void
hn_write(struct hn *h, const char *name, const char *text)
{
	char *path = hn_path(h, name);
	GError *error = NULL;

	if (!g_file_set_contents(path, text, -1, &error))
		fail_msg("%s", error->message);
	g_free(path);
}

unsigned
hn_port(struct hn *h)
{
	while (h->next_port < h->end_port) {
		unsigned port = h->next_port++;
		int fd = try_bind_port(port);

		if (fd >= 0) {
			close(fd);
			return (port);
		}
	}
	fail_msg("no free port");
	return (0);
}

uint64_t
hn_mono_ms(void)
{
	return ((uint64_t)(g_get_monotonic_time() / 1000));
}

uint64_t
hn_wall_ms(void)
{
	return ((uint64_t)(g_get_real_time() / 1000));
}

void
hn_sleep_ms(unsigned ms)
{
	g_usleep((gulong)ms * 1000);
}

static char *
output_path(const struct hn_proc *p, const char *suffix)
{
	char *file = g_strconcat(p->name, suffix, NULL);
	char *path = hn_path(p->harness, file);

	g_free(file);
	return (path);
}

static void
redirect(const char *path, int to)
{
	int fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0644);

	if (fd < 0 || dup2(fd, to) < 0)
		_exit(127);
	close(fd);
}

static void
run_child(const struct hn_proc *p, const char *const *argv, pid_t parent)
{
	const char *build = g_getenv("PD_BUILD");
	char *out = output_path(p, ".out");
	char *err = output_path(p, ".err");
	char *program =
	    g_build_filename(build != NULL ? build : ".", argv[0], NULL);

	/* The child must not outlive the test, however that ends. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(127);
	redirect(out, STDOUT_FILENO);
	redirect(err, STDERR_FILENO);
	execv(program, (char *const *)argv);
	_exit(127);
}

struct hn_proc *
hn_start(struct hn *h, const char *name, const char *const *argv)
{
	struct hn_proc *p = g_new0(struct hn_proc, 1);
	pid_t parent = getpid();

	p->harness = h;
	p->name = g_strdup(name);
	p->pid = fork();
	if (p->pid < 0)
		fail_msg("fork failed");
	if (p->pid == 0)
		run_child(p, argv, parent);
	p->running = true;
	g_ptr_array_add(h->procs, p);
	return (p);
}

static void
reap(struct hn_proc *p)
{
	int status;

	if (!p->running || waitpid(p->pid, &status, WNOHANG) != p->pid)
		return;
	p->running = false;
	p->status = WIFSIGNALED(status) ? SIGNAL_BASE + WTERMSIG(status)
					: WEXITSTATUS(status);
}

static char *
read_file(const struct hn_proc *p, const char *suffix)
{
	char *path = output_path(p, suffix);
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		text = g_strdup("");
	g_free(path);
	return (text);
}

char *
hn_output(const struct hn_proc *p)
{
	return (read_file(p, ".out"));
}

char *
hn_error_output(const struct hn_proc *p)
{
	return (read_file(p, ".err"));
}

/* Words of the line "ready PORT...", NULL if it is not complete yet. */
static char **
ready_words(const struct hn_proc *p)
{
	char *text = hn_output(p);
	char **words = NULL;

	if (g_str_has_prefix(text, "ready ") && strchr(text, '\n') != NULL)
		words = g_strsplit_set(text, " \n", 0);
	g_free(text);
	return (words);
}

void
hn_wait_ready(struct hn_proc *p, unsigned *ports, size_t n)
{
	uint64_t end = hn_mono_ms() + READY_LIMIT_MS;
	char **words = NULL;
	size_t found;

	while (words == NULL && hn_mono_ms() < end) {
		words = ready_words(p);
		if (words == NULL)
			hn_sleep_ms(POLL_MS);
	}
	found = words != NULL ? g_strv_length(words) : 0;
	for (size_t i = 0; i < n && i + 1 < found; i++)
		ports[i] = (unsigned)strtoul(words[i + 1], NULL, 10);
	g_strfreev(words);
	if (found < n + 1)
		fail_msg("%s is not ready", p->name);
}

unsigned
hn_peak_memory_kb(const struct hn_proc *p)
{
	char path[64], *text, *line;
	unsigned kb;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)p->pid);
	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	line = strstr(text, "VmHWM:");
	assert_non_null(line);
	kb = (unsigned)g_ascii_strtoull(
	    line + strcspn(line, "0123456789"), NULL, 10);
	g_free(text);
	return (kb);
}

int
hn_pid(const struct hn_proc *p)
{
	return ((int)p->pid);
}

void
hn_signal(struct hn_proc *p, int sig)
{
	reap(p);
	if (p->running)
		kill(p->pid, sig);
}

int
hn_wait(struct hn_proc *p, unsigned timeout_ms)
{
	uint64_t end = hn_mono_ms() + timeout_ms;

	for (;;) {
		reap(p);
		if (!p->running)
			return (p->status);
		if (hn_mono_ms() >= end)
			return (STILL_RUNNING);
		hn_sleep_ms(POLL_MS);
	}
}

void
hn_kill(struct hn_proc *p)
{
	hn_signal(p, SIGKILL);
	hn_wait(p, END_LIMIT_MS);
}

int
hn_run(
    struct hn *h, const char *const *argv, char **output, unsigned timeout_ms)
{
	char *name = g_strdup_printf("run-%u", h->runs++);
	struct hn_proc *p = hn_start(h, name, argv);
	int status = hn_wait(p, timeout_ms);

	g_free(name);
	if (status == STILL_RUNNING)
		hn_kill(p);
	if (output != NULL)
		*output = hn_output(p);
	return (status);
}

const char *
hn_json_text(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return (text != NULL ? text : "");
}

bool
hn_wait_until(bool (*condition)(void *arg), void *arg, unsigned timeout_ms)
{
	uint64_t end = hn_mono_ms() + timeout_ms;

	while (!condition(arg)) {
		if (hn_mono_ms() >= end)
			return (false);
		hn_sleep_ms(POLL_MS);
	}
	return (true);
}

long
hn_parse_count(const char *text, const char *key)
{
	char *pattern = g_strconcat(" ", key, "=", NULL);
	const char *at = strstr(text, pattern);
	long value = -1;

	if (at != NULL)
		value = strtol(at + strlen(pattern), NULL, 10);
	g_free(pattern);
	return (value);
}
