#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/**
 * DOC: bridge_2 - relay that can cut off one caller
 *
 * bridge_2 TARGET_PORT NAME
 *
 * Prints "ready PORT" and forwards connections to a loopback port. After
 * SIGUSR1 the connections of the caller in whose first messages NAME stands are
 * silent: their bytes are dropped in both directions, and nothing is closed.
 * SIGUSR2 ends that for new connections; those that have lost bytes stay
 * silent.
 */

#define PAIRS_MAX 256
#define BUFFER_BYTES 65536
#define BACKLOG 64

struct pair {
	int fd[2];   /* of the caller and of the target; -1: unused */
	bool named;  /* the caller is the one to cut off */
	bool silent; /* bytes were dropped */
};

static volatile sig_atomic_t cut;

static void
on_signal(int number)
{
	cut = number == SIGUSR1;
}

static struct sockaddr_in
loopback(unsigned port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};

	sin.sin_port = htons((uint16_t)port);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return (sin);
}

/* Return: listening socket; its port is printed. */
static int
listen_on_any(void)
{
	struct sockaddr_in sin = loopback(0);
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0 || bind(fd, (struct sockaddr *)&sin, len) != 0 ||
	    listen(fd, BACKLOG) != 0 ||
	    getsockname(fd, (struct sockaddr *)&sin, &len) != 0)
		exit(1);
	printf("ready %u\n", ntohs(sin.sin_port));
	fflush(stdout);
	return (fd);
}

static void
close_pair(struct pair *p)
{
	close(p->fd[0]);
	close(p->fd[1]);
	p->fd[0] = p->fd[1] = -1;
}

static void
accept_pair(struct pair *pairs, int listener, unsigned target)
{
	struct sockaddr_in sin = loopback(target);
	int fd = accept(listener, NULL, NULL), i;

	for (i = 0; i < PAIRS_MAX && pairs[i].fd[0] >= 0; i++)
		continue;
	if (fd < 0)
		return;
	if (i == PAIRS_MAX) {
		close(fd);
		return;
	}
	pairs[i] =
	    (struct pair){{fd, socket(AF_INET, SOCK_STREAM, 0)}, false, false};
	if (connect(pairs[i].fd[1], (struct sockaddr *)&sin, sizeof(sin)) != 0)
		close_pair(&pairs[i]);
}

/* Forwards what one side has sent. */
static void
forward(struct pair *p, int from, const char *name)
{
	static char buffer[BUFFER_BYTES];
	ssize_t n = recv(p->fd[from], buffer, sizeof(buffer), 0), sent = 0, k;

	if (n > 0 && from == 0 &&
	    memmem(buffer, (size_t)n, name, strlen(name)) != NULL)
		p->named = true;
	if (cut && p->named)
		p->silent = true;
	if (n <= 0) {
		close_pair(p);
		return;
	}
	while (!p->silent && sent < n) {
		k = send(p->fd[1 - from], buffer + sent, (size_t)(n - sent),
		    MSG_NOSIGNAL);
		if (k <= 0) {
			close_pair(p);
			return;
		}
		sent += k;
	}
}

static void
relay(int listener, unsigned target, const char *name)
{
	static struct pair pairs[PAIRS_MAX];
	struct pollfd polls[2 * PAIRS_MAX + 1];
	int i, side;

	for (i = 0; i < PAIRS_MAX; i++)
		pairs[i].fd[0] = pairs[i].fd[1] = -1;
	for (;;) {
		polls[2 * PAIRS_MAX] =
		    (struct pollfd){.fd = listener, .events = POLLIN};
		for (i = 0; i < 2 * PAIRS_MAX; i++)
			polls[i] = (struct pollfd){
			    .fd = pairs[i / 2].fd[i % 2], .events = POLLIN};
		if (poll(polls, 2 * PAIRS_MAX + 1, -1) < 0)
			continue;
		for (i = 0; i < PAIRS_MAX; i++)
			for (side = 0; side < 2; side++)
				if (polls[2 * i + side].revents != 0 &&
				    pairs[i].fd[side] >= 0)
					forward(&pairs[i], side, name);
		if (polls[2 * PAIRS_MAX].revents != 0)
			accept_pair(pairs, listener, target);
	}
}

int
main(int argc, char **argv)
{
	struct sigaction action = {.sa_handler = on_signal};

	if (argc != 3)
		return (2);
	sigaction(SIGUSR1, &action, NULL);
	sigaction(SIGUSR2, &action, NULL);
	relay(listen_on_any(), (unsigned)strtoul(argv[1], NULL, 10), argv[2]);
	return (0);
}
