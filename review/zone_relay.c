#define _GNU_SOURCE /* memmem() */

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/**
 * DOC: zone_relay - TCP relay that can cut off one caller
 *
 * `zone_relay IP PORT TARGET_IP TARGET_PORT NAME` forwards connections. The
 * caller to be cut off is the one whose first bytes contain NAME: entries send
 * their name in each message. Between SIGUSR1 and SIGUSR2 nothing is forwarded
 * on its connections, in either direction, old and new ones; the bytes are held
 * back, as behind a partition. All other connections are forwarded throughout.
 */

#define CHUNK 65536
#define BACKLOG 64
#define HOLD_US 5000

struct link {
	int side[2]; /* caller, target */
	atomic_bool known;
	atomic_bool cut_off;
	atomic_int open_ends;
};

struct flow {
	struct link *link;
	int from;
};

static volatile sig_atomic_t cut;
static const char *name;
static struct sockaddr_in target;

static void
on_signal(int number)
{
	cut = number == SIGUSR1;
}

static bool
contains_name(const char *bytes, size_t len)
{
	return (memmem(bytes, len, name, strlen(name)) != NULL);
}

static bool
send_all(int fd, const char *bytes, size_t len)
{
	ssize_t n;

	while (len > 0) {
		n = send(fd, bytes, len, MSG_NOSIGNAL);
		if (n <= 0)
			return (false);
		bytes += n;
		len -= (size_t)n;
	}
	return (true);
}

static void
hold_back(const struct link *l)
{
	while (cut && l->cut_off)
		usleep(HOLD_US);
}

static void *
forward(void *arg)
{
	struct flow *f = arg;
	struct link *l = f->link;
	char *bytes = malloc(CHUNK);
	ssize_t n;

	while (bytes != NULL &&
	    (n = recv(l->side[f->from], bytes, CHUNK, 0)) > 0) {
		if (f->from == 0 && !l->known) {
			l->cut_off = contains_name(bytes, (size_t)n);
			l->known = true;
		}
		hold_back(l);
		if (!send_all(l->side[1 - f->from], bytes, (size_t)n))
			break;
	}
	hold_back(l);
	shutdown(l->side[0], SHUT_RDWR);
	shutdown(l->side[1], SHUT_RDWR);
	free(bytes);
	free(f);
	if (atomic_fetch_sub(&l->open_ends, 1) == 1) {
		close(l->side[0]);
		close(l->side[1]);
		free(l);
	}
	return (NULL);
}

static bool
start_flow(struct link *l, int from)
{
	struct flow *f = malloc(sizeof(*f));
	pthread_t thread;

	if (f == NULL)
		return (false);
	*f = (struct flow){.link = l, .from = from};
	if (pthread_create(&thread, NULL, forward, f) != 0) {
		free(f);
		return (false);
	}
	pthread_detach(thread);
	return (true);
}

static bool
relay(int caller)
{
	struct link *l = calloc(1, sizeof(*l));
	int to = socket(AF_INET, SOCK_STREAM, 0);

	if (l == NULL || to < 0 ||
	    connect(to, (struct sockaddr *)&target, sizeof(target)) != 0) {
		if (to >= 0)
			close(to);
		close(caller);
		free(l);
		return (true);
	}
	l->side[0] = caller;
	l->side[1] = to;
	l->open_ends = 2;
	if (!start_flow(l, 0)) {
		free(l);
		return (false);
	}
	return (start_flow(l, 1));
}

static struct sockaddr_in
address_of(const char *ip, const char *port)
{
	struct sockaddr_in a = {.sin_family = AF_INET};

	a.sin_port = htons((uint16_t)strtoul(port, NULL, 10));
	if (inet_pton(AF_INET, ip, &a.sin_addr) != 1)
		exit(2);
	return (a);
}

int
main(int argc, char **argv)
{
	struct sigaction action = {
	    .sa_handler = on_signal, .sa_flags = SA_RESTART};
	struct sockaddr_in own;
	int fd, caller, on = 1;

	if (argc != 6)
		return (2);
	own = address_of(argv[1], argv[2]);
	target = address_of(argv[3], argv[4]);
	name = argv[5];
	sigaction(SIGUSR1, &action, NULL);
	sigaction(SIGUSR2, &action, NULL);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&own, sizeof(own)) != 0 ||
	    listen(fd, BACKLOG) != 0) {
		perror("listen");
		return (2);
	}
	for (;;) {
		caller = accept(fd, NULL, NULL);
		if (caller >= 0 && !relay(caller))
			return (1);
	}
}
