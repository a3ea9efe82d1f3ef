#include <stdlib.h>
#include <time.h>

#include "clock.h"

#define US_PER_MS 1000U
#define US_PER_S 1000000U
#define MS_PER_S 1000U
#define NS_PER_US 1000U
#define NS_PER_MS 1000000U

struct ck {
	const struct ck_ops *ops;
	uint64_t mono_us; /* manual clock only */
	uint64_t wall_us; /* manual clock only */
};

/* CLOCK_MONOTONIC stops while a host is suspended, so a lease that is measured
 * with it would still be valid after the suspension. */
static uint64_t
system_mono_us(const struct ck *c)
{
	struct timespec ts;

	(void)c;
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (
	    (uint64_t)ts.tv_sec * US_PER_S + (uint64_t)ts.tv_nsec / NS_PER_US);
}

static uint64_t
system_wall_ms(const struct ck *c)
{
	struct timespec ts;

	(void)c;
	clock_gettime(CLOCK_REALTIME, &ts);
	return (
	    (uint64_t)ts.tv_sec * MS_PER_S + (uint64_t)ts.tv_nsec / NS_PER_MS);
}

static uint64_t
manual_mono_us(const struct ck *c)
{
	return (c->mono_us);
}

static uint64_t
manual_wall_ms(const struct ck *c)
{
	return (c->wall_us / US_PER_MS);
}

static const struct ck_ops system_ops = {system_mono_us, system_wall_ms};
static const struct ck_ops manual_ops = {manual_mono_us, manual_wall_ms};

static struct ck *
ck_new(const struct ck_ops *ops)
{
	struct ck *c;

	c = calloc(1, sizeof(*c));
	if (c != NULL)
		c->ops = ops;
	return (c);
}

struct ck *
ck_new_system(void)
{
	return (ck_new(&system_ops));
}

struct ck *
ck_new_manual(uint64_t mono_ms, uint64_t wall_ms)
{
	struct ck *c;

	c = ck_new(&manual_ops);
	if (c != NULL) {
		c->mono_us = mono_ms * US_PER_MS;
		c->wall_us = wall_ms * US_PER_MS;
	}
	return (c);
}

void
ck_free(struct ck *c)
{
	free(c);
}

uint64_t
ck_mono_us(const struct ck *c)
{
	return (c->ops->mono_us(c));
}

uint64_t
ck_mono_ms(const struct ck *c)
{
	return (ck_mono_us(c) / US_PER_MS);
}

uint64_t
ck_wall_ms(const struct ck *c)
{
	return (c->ops->wall_ms(c));
}

void
ck_advance_ms(struct ck *c, uint64_t ms)
{
	ck_advance_us(c, ms * US_PER_MS);
}

void
ck_advance_us(struct ck *c, uint64_t us)
{
	c->mono_us += us;
	c->wall_us += us;
}

void
ck_step_wall_ms(struct ck *c, int64_t ms)
{
	c->wall_us += (uint64_t)(ms * (int64_t)US_PER_MS);
}
