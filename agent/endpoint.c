#include <sys/socket.h>

#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <ulfius.h>
#include <unistd.h>

#include "clock.h"
#include "endpoint.h"
#include "mailbox.h"
#include "options.h"

#define MS_PER_S 1000
#define US_PER_MS 1000
/* Limit of the connection check; longer than any healthy endpoint needs. */
#define CONNECT_TIMEOUT_MS 1000

#define HTTP_OK 200
#define HTTP_CLIENT_ERROR 400
#define HTTP_SERVER_ERROR 500

struct en {
	struct ck *clock;
	struct mx *mailbox;
	en_done_fn done;
	void *arg;
	char *url;
	struct sockaddr_in address;
	GAsyncQueue *calls; /* struct call */
	GPtrArray *threads;
};

/* A call; owned by a slot thread until it is posted to the mailbox. */
struct call {
	struct en *endpoint;
	struct ga_task task; /* with a copy of the id */
	enum ga_outcome outcome;
	GByteArray *answer;
	bool too_large;
	bool stop; /* tells the thread that takes it to end */
};

static void
call_free(struct call *c)
{
	g_free(c->task.key.sub.id);
	g_free(c->task.body);
	g_byte_array_free(c->answer, TRUE);
	g_free(c);
}

static struct call *
call_new(struct en *e)
{
	struct call *c;

	c = g_new0(struct call, 1);
	c->endpoint = e;
	c->answer = g_byte_array_new();
	return (c);
}

/* ulfius returns the same error for a refused connection as for a broken one,
 * and only the first proves that the task did not run. So a connection is tried
 * beforehand. Closing it with a reset leaves no socket in TIME_WAIT. */
static bool
accepts_connections(const struct en *e, unsigned timeout_ms)
{
	unsigned ms = MIN(timeout_ms, CONNECT_TIMEOUT_MS);
	struct timeval limit = {ms / MS_PER_S, (ms % MS_PER_S) * US_PER_MS};
	struct linger reset = {1, 0};
	bool ok;
	int fd;

	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return (false);
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	ok = connect(fd, (const struct sockaddr *)&e->address,
		 sizeof(e->address)) == 0;
	close(fd);
	return (ok);
}

/* Bytes beyond the limit are read and dropped, so that the status is known. */
static size_t
receive_answer(void *data, size_t size, size_t count, void *arg)
{
	struct call *c = arg;
	size_t len = size * count;

	if (c->answer->len + len > PD_BODY_MAX)
		c->too_large = true;
	if (!c->too_large)
		g_byte_array_append(c->answer, data, (guint)len);
	return (len);
}

/* Escapes control characters, since a line break would end the header. */
static char *
header_value(const char *id)
{
	GString *out;

	out = g_string_new(NULL);
	for (; *id != '\0'; id++)
		if (g_ascii_iscntrl(*id))
			g_string_append_printf(out, "%%%02X", (unsigned)*id);
		else
			g_string_append_c(out, *id);
	return (g_string_free(out, FALSE));
}

static void
fill_request(struct _u_request *request, const struct call *c)
{
	const struct ga_task *t = &c->task;
	char task[16], attempt[16], *id;

	id = header_value(t->key.sub.id);
	g_snprintf(task, sizeof(task), "%u", t->key.task);
	g_snprintf(attempt, sizeof(attempt), "%u", t->key.attempt);
	ulfius_set_request_properties(request, U_OPT_HTTP_VERB, "POST",
	    U_OPT_HTTP_URL, c->endpoint->url, U_OPT_TIMEOUT,
	    (unsigned long)((t->timeout_ms + MS_PER_S - 1) / MS_PER_S),
	    U_OPT_HEADER_PARAMETER, "X-Pd-Submission", id,
	    U_OPT_HEADER_PARAMETER, "X-Pd-Task", task, U_OPT_HEADER_PARAMETER,
	    "X-Pd-Attempt", attempt, U_OPT_HEADER_PARAMETER, "Content-Type",
	    "application/octet-stream", U_OPT_NONE);
	/* Without a body ulfius omits Content-Length, which some servers
	 * refuse. */
	if (t->body_len > 0)
		ulfius_set_request_properties(request, U_OPT_BINARY_BODY,
		    t->body, t->body_len, U_OPT_NONE);
	else
		ulfius_set_request_properties(request, U_OPT_HEADER_PARAMETER,
		    "Content-Length", "0", U_OPT_NONE);
	g_free(id);
}

static enum ga_outcome
status_to_outcome(const struct call *c, long status)
{
	if (status == HTTP_OK)
		return (c->too_large ? GA_REJECTED : GA_OK);
	if (status >= HTTP_CLIENT_ERROR && status < HTTP_SERVER_ERROR)
		return (GA_REJECTED);
	return (GA_ERROR);
}

static enum ga_outcome
post_task(struct call *c)
{
	uint64_t sent_ms = ck_mono_ms(c->endpoint->clock);
	struct _u_response response;
	struct _u_request request;
	enum ga_outcome outcome;

	ulfius_init_request(&request);
	ulfius_init_response(&response);
	fill_request(&request, c);
	if (ulfius_send_http_streaming_request(
		&request, &response, receive_answer, c) == U_OK)
		outcome = status_to_outcome(c, response.status);
	else if (ck_mono_ms(c->endpoint->clock) - sent_ms >= c->task.timeout_ms)
		outcome = GA_TIMEOUT;
	else
		outcome = GA_CONN_LOST;
	ulfius_clean_response(&response);
	ulfius_clean_request(&request);
	return (outcome);
}

static enum ga_outcome
run_task(struct call *c)
{
	if (!accepts_connections(c->endpoint, c->task.timeout_ms))
		return (GA_CONN_REFUSED);
	if (ck_mono_ms(c->endpoint->clock) > c->task.start_by_ms)
		return (GA_PERMIT_EXPIRED);
	return (post_task(c));
}

static void
call_done(void *arg)
{
	struct call *c = arg;
	size_t len = 0;
	char *body = NULL;

	if (c->outcome == GA_OK) {
		len = c->answer->len;
		body = g_memdup2(c->answer->data, len);
	}
	c->endpoint->done(
	    c->endpoint->arg, c->task.slot, c->outcome, body, len);
	call_free(c);
}

static gpointer
slot_thread(gpointer arg)
{
	struct en *e = arg;
	struct call *c;

	for (;;) {
		c = g_async_queue_pop(e->calls);
		if (c->stop)
			break;
		c->outcome = run_task(c);
		mx_post(e->mailbox, call_done, c);
	}
	call_free(c);
	return (NULL);
}

struct en *
en_new(const struct op_settings *settings, struct ck *clock, struct mx *mailbox,
    en_done_fn done, void *arg)
{
	sigset_t all, before;
	struct en *e;
	int64_t i;

	e = g_new0(struct en, 1);
	e->clock = clock;
	e->mailbox = mailbox;
	e->done = done;
	e->arg = arg;
	e->url = g_strconcat(settings->url, "/task", NULL);
	e->address = settings->endpoint;
	e->calls = g_async_queue_new();
	e->threads = g_ptr_array_new();
	/* Only the thread of the event loop handles signals. */
	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &before);
	for (i = 0; i < settings->slots; i++)
		g_ptr_array_add(
		    e->threads, g_thread_new("slot", slot_thread, e));
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	return (e);
}

void
en_free(struct en *e)
{
	struct call *c;
	guint i;

	if (e == NULL)
		return;
	for (i = 0; i < e->threads->len; i++) {
		c = call_new(e);
		c->stop = true;
		g_async_queue_push(e->calls, c);
	}
	for (i = 0; i < e->threads->len; i++)
		g_thread_join(g_ptr_array_index(e->threads, i));
	g_ptr_array_free(e->threads, TRUE);
	g_async_queue_unref(e->calls);
	g_free(e->url);
	g_free(e);
}

void
en_start(struct en *e, const struct ga_task *task)
{
	struct call *c;

	c = call_new(e);
	c->task = *task;
	c->task.key.sub.id = g_strdup(task->key.sub.id);
	g_async_queue_push(e->calls, c);
}
