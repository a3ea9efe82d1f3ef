#include <sys/eventfd.h>

#include <glib.h>
#include <stdbool.h>
#include <unistd.h>

#include "mailbox.h"

struct work {
	void (*fn)(void *);
	void *arg;
};

struct mx {
	GMutex lock;
	GArray *queue;
	struct event *wake;
	int fd;
};

static GArray *
queue_new(void)
{
	return (g_array_new(FALSE, FALSE, sizeof(struct work)));
}

static void
run_queue(evutil_socket_t fd, short what, void *arg)
{
	struct mx *m = arg;
	struct work *item;
	uint64_t count;
	GArray *batch;
	guint i;

	(void)what;
	if (read(fd, &count, sizeof(count)) < 0)
		return;
	g_mutex_lock(&m->lock);
	batch = m->queue;
	m->queue = queue_new();
	g_mutex_unlock(&m->lock);
	for (i = 0; i < batch->len; i++) {
		item = &g_array_index(batch, struct work, i);
		item->fn(item->arg);
	}
	g_array_free(batch, TRUE);
}

struct mx *
mx_new(struct event_base *base)
{
	struct mx *m;

	m = g_new0(struct mx, 1);
	m->fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (m->fd < 0) {
		g_free(m);
		return (NULL);
	}
	g_mutex_init(&m->lock);
	m->queue = queue_new();
	m->wake = event_new(base, m->fd, EV_READ | EV_PERSIST, run_queue, m);
	event_add(m->wake, NULL);
	return (m);
}

void
mx_free(struct mx *m)
{
	if (m == NULL)
		return;
	event_free(m->wake);
	close(m->fd);
	g_array_free(m->queue, TRUE);
	g_mutex_clear(&m->lock);
	g_free(m);
}

void
mx_post(struct mx *m, void (*fn)(void *arg), void *arg)
{
	struct work item = {fn, arg};
	uint64_t one = 1;
	bool first;

	g_mutex_lock(&m->lock);
	first = m->queue->len == 0;
	g_array_append_val(m->queue, item);
	g_mutex_unlock(&m->lock);
	/* The loop takes the whole queue at once, so only the first item has to
	 * wake it. */
	if (first && write(m->fd, &one, sizeof(one)) < 0)
		return;
}
