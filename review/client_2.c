#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/**
 * DOC: client_2 - client of the platform that sends one request
 *
 * client_2 PORT METHOD HOST PATH DEADLINE_MS BODY [fin|rst AFTER_MS]
 *
 * Prints one line: wall clock (ms) when the request was sent, wall clock when
 * it ended, and the status of the answer with its body, or "none", "fin" or
 * "rst". With "fin" or "rst" it closes or resets the connection after AFTER_MS,
 * without reading.
 */

#define REQUEST_BYTES 8192
#define ANSWER_BYTES 16384
#define GRACE_MS 500
#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define ARGS_MIN 7
#define ARGS_MAX 9

static int64_t
wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return ((int64_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS);
}

static void
sleep_ms(long ms)
{
	struct timespec ts = {ms / MS_PER_S, ms % MS_PER_S * NS_PER_MS};

	nanosleep(&ts, NULL);
}

static int
connect_to(const char *port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	sin.sin_port = htons((uint16_t)strtoul(port, NULL, 10));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0) {
		close(fd);
		return (-1);
	}
	return (fd);
}

/* Length of the body that the header fields announce. */
static size_t
body_length(const char *answer)
{
	const char *at = strcasestr(answer, "\r\nContent-Length:");

	return (at == NULL
		? 0
		: strtoul(at + strlen("\r\nContent-Length:"), NULL, 10));
}

/* Whether @answer has all bytes of its header fields and of its body. */
static bool
is_whole(const char *answer, size_t len)
{
	const char *body = strstr(answer, "\r\n\r\n");

	return (body != NULL &&
	    len >= (size_t)(body + 4 - answer) + body_length(answer));
}

/* Reads an answer. Return: whether it is whole. */
static bool
read_answer(int fd, char *answer, int64_t until_ms)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};
	size_t len = 0;
	ssize_t n;
	int64_t left;

	answer[0] = '\0';
	while ((left = until_ms - wall_ms()) > 0) {
		if (poll(&p, 1, (int)left) <= 0)
			continue;
		n = recv(fd, answer + len, ANSWER_BYTES - 1 - len, 0);
		if (n <= 0)
			return (false);
		len += (size_t)n;
		answer[len] = '\0';
		if (is_whole(answer, len))
			return (true);
	}
	return (false);
}

static void
print_answer(int64_t sent_ms, const char *answer)
{
	const char *body = strstr(answer, "\r\n\r\n");

	/* The status follows "HTTP/1.1 ". */
	printf("%lld %lld %.3s %s\n", (long long)sent_ms, (long long)wall_ms(),
	    answer + strlen("HTTP/1.1 "), body + 4);
}

static void
leave(int fd, const char *how, long after_ms)
{
	static const struct linger discard = {.l_onoff = 1};

	sleep_ms(after_ms);
	if (strcmp(how, "rst") == 0)
		setsockopt(
		    fd, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
	close(fd);
}

/* Return: socket on which the request was sent, or -1. */
static int
send_request(char **argv)
{
	char request[REQUEST_BYTES];
	int fd = connect_to(argv[1]);
	int n = snprintf(request, sizeof(request),
	    "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
	    "X-Pimentodock-Deadline-Ms: %s\r\nContent-Length: %zu\r\n\r\n%s",
	    argv[2], argv[4], argv[3], argv[5], strlen(argv[6]), argv[6]);

	if (fd < 0 || n <= 0 || (size_t)n >= sizeof(request) ||
	    send(fd, request, (size_t)n, MSG_NOSIGNAL) != n)
		return (-1);
	return (fd);
}

int
main(int argc, char **argv)
{
	char answer[ANSWER_BYTES];
	int64_t sent_ms = wall_ms(), until_ms;
	const char *end = "none";
	int fd;

	if (argc != ARGS_MIN && argc != ARGS_MAX)
		return (2);
	until_ms = sent_ms + strtol(argv[5], NULL, 10) + GRACE_MS;
	fd = send_request(argv);
	if (fd >= 0 && argc == ARGS_MAX) {
		end = argv[7];
		leave(fd, end, strtol(argv[8], NULL, 10));
	} else if (fd >= 0 && read_answer(fd, answer, until_ms)) {
		print_answer(sent_ms, answer);
		return (0);
	}
	printf("%lld %lld %s\n", (long long)sent_ms, (long long)wall_ms(), end);
	return (0);
}
