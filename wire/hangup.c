#include <sys/epoll.h>

#include <errno.h>
#include <glib.h>
#include <unistd.h>

#include "hangup.h"
#include "log.h"

/* Ends that are handled in one pass of the event loop. */
#define ENDS_PER_PASS 64

struct watch {
	evutil_socket_t fd;
	hu_ended_fn ended;
	void *arg;
};

struct hu {
	struct pl *watches; /* struct watch */
	struct event *event;
	int set;
};

static void
on_ends(evutil_socket_t fd, short what, void *arg)
{
	struct epoll_event ends[ENDS_PER_PASS];
	const struct watch *found;
	struct hu *h = arg;
	struct watch w;
	int n, i;

	(void)what;
	n = epoll_wait(fd, ends, ENDS_PER_PASS, 0);
	for (i = 0; i < n; i++) {
		/* An earlier callback may have removed it. */
		found = pl_get(h->watches, ends[i].data.u64);
		if (found == NULL)
			continue;
		w = *found;
		w.ended(w.arg, (ends[i].events & EPOLLERR) != 0);
	}
}

struct hu *
hu_new(struct event_base *base)
{
	struct hu *h = g_new0(struct hu, 1);

	h->watches = pl_new(sizeof(struct watch));
	h->set = epoll_create1(EPOLL_CLOEXEC);
	if (h->set >= 0)
		h->event =
		    event_new(base, h->set, EV_READ | EV_PERSIST, on_ends, h);
	if (h->event != NULL && event_add(h->event, NULL) == 0)
		return (h);
	lg_write(LOG_ERR, "hangup", "cannot watch connections: %s",
	    g_strerror(errno));
	hu_free(h);
	return (NULL);
}

void
hu_free(struct hu *h)
{
	if (h == NULL)
		return;
	if (h->event != NULL)
		event_free(h->event);
	if (h->set >= 0)
		close(h->set);
	pl_free(h->watches);
	g_free(h);
}

pl_handle
hu_add(struct hu *h, evutil_socket_t fd, hu_ended_fn ended, void *arg)
{
	/* EPOLLERR and EPOLLHUP are always included. One-shot, since the state
	 * of a connection that has ended does not change any more. */
	struct epoll_event event = {.events = EPOLLRDHUP | EPOLLONESHOT};
	struct watch *w;
	void *item;

	event.data.u64 = pl_alloc(h->watches, &item);
	w = item;
	w->fd = fd;
	w->ended = ended;
	w->arg = arg;
	if (epoll_ctl(h->set, EPOLL_CTL_ADD, fd, &event) == 0)
		return (event.data.u64);
	lg_write(LOG_WARNING, "hangup", "cannot watch a connection: %s",
	    g_strerror(errno));
	pl_release(h->watches, event.data.u64);
	return (PL_NONE);
}

void
hu_remove(struct hu *h, pl_handle watch)
{
	const struct watch *w = pl_get(h->watches, watch);

	if (w == NULL)
		return;
	epoll_ctl(h->set, EPOLL_CTL_DEL, w->fd, NULL);
	pl_release(h->watches, watch);
}
