#include <glib.h>
#include <string.h>

#include "claims.h"
#include "clock.h"
#include "lease.h"

struct claim {
	char *id;
	uint64_t number;
	uint64_t resume_ms; /* 0: the other entries have not answered */
	GArray *waiters;    /* uint64_t */
};

struct cw {
	const struct ck *clock;
	cw_resume_fn resume;
	void *arg;
	GPtrArray *claims; /* struct claim, owned */
	uint64_t last_number;
};

static void
claim_free(void *p)
{
	struct claim *k = p;

	g_array_free(k->waiters, TRUE);
	g_free(k->id);
	g_free(k);
}

struct cw *
cw_new(const struct ck *clock, cw_resume_fn resume, void *arg)
{
	struct cw *c = g_new0(struct cw, 1);

	c->clock = clock;
	c->resume = resume;
	c->arg = arg;
	c->claims = g_ptr_array_new_with_free_func(claim_free);
	return (c);
}

void
cw_free(struct cw *c)
{
	if (c == NULL)
		return;
	g_ptr_array_free(c->claims, TRUE);
	g_free(c);
}

static struct claim *
find_claim(const struct cw *c, const char *id)
{
	struct claim *k;
	guint i;

	for (i = 0; i < c->claims->len; i++) {
		k = c->claims->pdata[i];
		if (strcmp(k->id, id) == 0)
			return (k);
	}
	return (NULL);
}

bool
cw_contains(const struct cw *c, const char *id)
{
	return (find_claim(c, id) != NULL);
}

bool
cw_add(struct cw *c, const char *id, uint64_t waiter, uint64_t *number)
{
	struct claim *k = find_claim(c, id);
	bool new = k == NULL;

	if (new) {
		k = g_new0(struct claim, 1);
		k->id = g_strdup(id);
		k->number = ++c->last_number;
		k->waiters = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		g_ptr_array_add(c->claims, k);
	}
	g_array_append_val(k->waiters, waiter);
	*number = k->number;
	return (new);
}

/* Removes a claim, which a callback may add again, and calls @fn for each of
 * its requests. */
static void
end_claim(struct cw *c, guint index, cw_resume_fn fn)
{
	struct claim *k = g_ptr_array_steal_index(c->claims, index);
	guint i;

	for (i = 0; i < k->waiters->len; i++)
		fn(c->arg, g_array_index(k->waiters, uint64_t, i));
	claim_free(k);
}

void
cw_answered(struct cw *c, uint64_t number, bool may_run)
{
	struct claim *k;
	guint i;

	for (i = 0; i < c->claims->len; i++) {
		k = c->claims->pdata[i];
		if (k->number != number)
			continue;
		if (may_run)
			k->resume_ms = ck_mono_ms(c->clock) + LE_UNREACHABLE_MS;
		else
			end_claim(c, i, c->resume);
		return;
	}
}

bool
cw_remove(struct cw *c, const char *id, cw_resume_fn drop)
{
	guint i;

	for (i = 0; i < c->claims->len; i++)
		if (strcmp(((struct claim *)c->claims->pdata[i])->id, id) ==
		    0) {
			end_claim(c, i, drop);
			return (true);
		}
	return (false);
}

void
cw_tick(struct cw *c)
{
	uint64_t now = ck_mono_ms(c->clock);
	const struct claim *k;
	guint i;

	/* Backwards, since a claim that ends is removed. */
	for (i = c->claims->len; i-- > 0;) {
		k = c->claims->pdata[i];
		if (k->resume_ms != 0 && now > k->resume_ms)
			end_claim(c, i, c->resume);
	}
}
