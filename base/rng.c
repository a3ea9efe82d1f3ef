#include <glib.h>

#include "rng.h"

struct rn {
	GRand *rand;
};

struct rn *
rn_new(uint64_t seed)
{
	guint32 words[2] = {(guint32)seed, (guint32)(seed >> 32)};
	struct rn *r;

	r = g_new0(struct rn, 1);
	r->rand = g_rand_new_with_seed_array(words, 2);
	return (r);
}

struct rn *
rn_new_random(void)
{
	struct rn *r;

	r = g_new0(struct rn, 1);
	r->rand = g_rand_new();
	return (r);
}

void
rn_free(struct rn *r)
{
	if (r == NULL)
		return;
	g_rand_free(r->rand);
	g_free(r);
}

uint64_t
rn_u64(struct rn *r)
{
	uint64_t high;

	high = g_rand_int(r->rand);
	return ((high << 32) | g_rand_int(r->rand));
}

uint32_t
rn_below(struct rn *r, uint32_t limit)
{
	return ((uint32_t)(((uint64_t)g_rand_int(r->rand) * limit) >> 32));
}

double
rn_unit(struct rn *r)
{
	return (g_rand_double(r->rand));
}
