#include "jobs_impl.h"

/* Withdrawals kept at most; the oldest are dropped, about 100 bytes each. */
#define WITHDRAWALS_MAX 8192

static void
withdrawal_free(void *arg)
{
	struct jb_withdrawal *d = arg;

	g_free(d->key.sub.id);
	g_free(d);
}

void
jb_withdrawals_free(struct jb *j)
{
	g_queue_clear_full(&j->withdrawals, withdrawal_free);
}

static void
forget_expired(struct jb *j)
{
	uint64_t now = ck_mono_ms(j->clock);
	const struct jb_withdrawal *d;

	while ((d = g_queue_peek_head(&j->withdrawals)) != NULL &&
	    (now >= d->expires_ms || j->withdrawals.length >= WITHDRAWALS_MAX))
		withdrawal_free(g_queue_pop_head(&j->withdrawals));
}

void
jb_withdraw(struct jb *j, const struct jb_job *job, const struct jb_task *t)
{
	struct pd_key k = jb_grant_key(job, t);
	struct jb_withdrawal *d;

	j->ops->withdraw(j->arg, t->worker, &k);
	forget_expired(j);
	if (ck_mono_ms(j->clock) >= job->deadline_ms)
		return;
	d = g_new0(struct jb_withdrawal, 1);
	d->worker = t->worker;
	d->incarnation = t->worker->incarnation;
	d->expires_ms = job->deadline_ms;
	d->key = k;
	d->key.sub.id = g_strdup(k.sub.id);
	g_queue_push_tail(&j->withdrawals, d);
}

void
jb_repeat_withdrawals(struct jb *j, struct fl_worker *w)
{
	uint64_t now = ck_mono_ms(j->clock);
	const struct jb_withdrawal *d;
	const GList *l;

	for (l = j->withdrawals.head; l != NULL; l = l->next) {
		d = l->data;
		if (d->worker == w && d->incarnation == w->incarnation &&
		    now < d->expires_ms)
			j->ops->withdraw(j->arg, w, &d->key);
	}
}
