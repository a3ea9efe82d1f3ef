#include <glib.h>

#include "ticket.h"

struct ti {
	GMutex lock;
	GCond cond;
	bool completed;
	unsigned status;
	void *result;
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
ti_complete(struct ti *t, unsigned status, void *result)
{
	/* Signal under the lock: the waiting thread frees the ticket as soon as
	 * it gets the lock. */
	g_mutex_lock(&t->lock);
	t->status = status;
	t->result = result;
	t->completed = true;
	g_cond_signal(&t->cond);
	g_mutex_unlock(&t->lock);
}

void *
ti_wait(struct ti *t, unsigned *status)
{
	void *result;

	g_mutex_lock(&t->lock);
	while (!t->completed)
		g_cond_wait(&t->cond, &t->lock);
	g_mutex_unlock(&t->lock);
	*status = t->status;
	result = t->result;
	g_mutex_clear(&t->lock);
	g_cond_clear(&t->cond);
	g_free(t);
	return (result);
}
