#include <glib.h>

#include "ticket.h"

struct ti {
	GMutex lock;
	GCond cond;
	bool answered;
	unsigned status;
	void *payload;
};

struct ti *
ti_new(void)
{
	struct ti *t;

	t = g_new0(struct ti, 1);
	g_mutex_init(&t->lock);
	g_cond_init(&t->cond);
	return (t);
}

void
ti_complete(struct ti *t, unsigned status, void *payload)
{
	/* Signalled under the lock: the waiting thread frees the ticket as soon
	 * as it can take the lock. */
	g_mutex_lock(&t->lock);
	t->status = status;
	t->payload = payload;
	t->answered = true;
	g_cond_signal(&t->cond);
	g_mutex_unlock(&t->lock);
}

void *
ti_wait(struct ti *t, unsigned *status)
{
	void *payload;

	g_mutex_lock(&t->lock);
	while (!t->answered)
		g_cond_wait(&t->cond, &t->lock);
	g_mutex_unlock(&t->lock);
	*status = t->status;
	payload = t->payload;
	g_mutex_clear(&t->lock);
	g_cond_clear(&t->cond);
	g_free(t);
	return (payload);
}
