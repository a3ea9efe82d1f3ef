#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "clock.h"
#include "contacts.h"

/* Time between changes of the count. Agents connect and entries count their
 * workers in less, so each change is seen before the next one. */
#define ADJUST_MS 3000
/* The count falls only if it exceeds what is needed by this factor. */
#define SURPLUS_FACTOR 1.5
/* The count at most doubles at a time, since entries that have just started
 * know few workers for a moment. */
#define GROWTH_MAX 2.0
#define MS_PER_S 1000

struct ac {
	const struct ck *clock;
	unsigned count;
	unsigned observations;  /* since the last change */
	double service_workers; /* sum over the observations */
	double label_workers;   /* sum over the observations */
	uint64_t adjusted_ms;
};

struct ac *
ac_new(const struct ck *clock)
{
	struct ac *c = g_new0(struct ac, 1);

	c->clock = clock;
	c->count = AC_CONTACTS_MIN;
	c->adjusted_ms = ck_mono_ms(clock);
	return (c);
}

void
ac_free(struct ac *c)
{
	g_free(c);
}

uint64_t
ac_rank(const char *agent, const char *address)
{
	return (XXH3_64bits_withSeed(
	    address, strlen(address), XXH3_64bits(agent, strlen(agent))));
}

uint32_t
ac_list_hash(const char *const *addresses, unsigned n)
{
	uint32_t sum = 0;
	unsigned i;

	for (i = 0; i < n; i++)
		sum +=
		    (uint32_t)XXH3_64bits(addresses[i], strlen(addresses[i]));
	return (sum);
}

void
ac_observe(struct ac *c, unsigned service_workers, unsigned label_workers)
{
	c->observations++;
	c->service_workers += MAX(service_workers, 1);
	c->label_workers += MAX(label_workers, 1);
}

/* The number of workers that an entry knows is proportional to the count, which
 * is about the same at all agents. */
static void
adjust(struct ac *c, unsigned entries)
{
	double factor =
	    fmax(AC_SERVICE_WORKERS_MIN * c->observations / c->service_workers,
		AC_LABEL_WORKERS_MIN * c->observations / c->label_workers);
	double needed = ceil(c->count * fmin(factor, GROWTH_MAX));

	if (needed < c->count && needed * SURPLUS_FACTOR > c->count)
		return;
	c->count = (unsigned)CLAMP(
	    needed, AC_CONTACTS_MIN, MAX(entries, AC_CONTACTS_MIN));
}

unsigned
ac_count(struct ac *c, unsigned entries)
{
	uint64_t now = ck_mono_ms(c->clock);

	if (c->observations > 0 && now - c->adjusted_ms >= ADJUST_MS) {
		adjust(c, entries);
		c->adjusted_ms = now;
		c->observations = 0;
		c->service_workers = 0;
		c->label_workers = 0;
	}
	return (MIN(c->count, entries));
}

unsigned
ac_report_period_ms(unsigned contacts)
{
	return (
	    MAX(AC_REPORT_PERIOD_MS, contacts * MS_PER_S / AC_REPORTS_PER_S));
}
