#include <glib.h>
#include <string.h>

#include "clock.h"
#include "config.h"
#include "zones.h"

/* Time that an order to start takes at most on its way to the endpoint. */
#define ORDER_MS 500

struct zn {
	const struct ck *clock;
	struct cf *config; /* without queues */
	char *az;
	unsigned evacuate_ms;
	uint64_t started_ms;
	uint64_t confirmed_ms; /* last confirmation of these or older zones */
	uint64_t in_use_ms;    /* the zone was in use until then; 0: unknown */
};

struct zn *
zn_new(const struct ck *clock, unsigned evacuate_ms)
{
	struct zn *z = g_new0(struct zn, 1);

	z->clock = clock;
	z->config = cf_new();
	z->az = g_strdup("");
	z->started_ms = ck_mono_ms(clock);
	z->evacuate_ms = evacuate_ms;
	return (z);
}

void
zn_free(struct zn *z)
{
	if (z == NULL)
		return;
	cf_free(z->config);
	g_free(z->az);
	g_free(z);
}

void
zn_set_az(struct zn *z, const char *az)
{
	if (strcmp(z->az, az) == 0)
		return;
	g_free(z->az);
	z->az = g_strdup(az);
	z->in_use_ms = 0;
}

bool
zn_apply(struct zn *z, const struct pd_zones *zones)
{
	struct pd_config c = {
	    .zones_revision = zones->revision,
	    .evacuated = {.evacuated_len = zones->evacuated.evacuated_len,
		.evacuated_val = zones->evacuated.evacuated_val},
	};
	bool was_out = cf_evacuated(z->config, z->az);

	if (!cf_apply(z->config, &c))
		return (false);
	if (!was_out)
		z->in_use_ms = z->confirmed_ms;
	return (true);
}

void
zn_confirm(struct zn *z, uint64_t asked_ms, const struct pd_zones_known *known)
{
	if (known->revision == 0 || known->revision < zn_revision(z) ||
	    known->age_ms >= asked_ms)
		return;
	z->confirmed_ms = MAX(z->confirmed_ms, asked_ms - known->age_ms);
}

unsigned
zn_age_ms(const struct zn *z)
{
	return ((unsigned)(ck_mono_ms(z->clock) -
	    MAX(z->confirmed_ms, z->started_ms)));
}

enum pd_zone_state
zn_state(const struct zn *z)
{
	if (!cf_evacuated(z->config, z->az))
		return (PD_ZONE_IN);
	if (z->in_use_ms != 0 &&
	    ck_mono_ms(z->clock) + ORDER_MS < z->in_use_ms + z->evacuate_ms)
		return (PD_ZONE_LEAVING);
	return (PD_ZONE_OUT);
}

uint64_t
zn_revision(const struct zn *z)
{
	return (cf_zones_revision(z->config));
}
