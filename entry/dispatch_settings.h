#ifndef DISPATCH_SETTINGS_H
#define DISPATCH_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "bounds.h"
#include "settings.h"

/**
 * DOC: ds - settings of `pimentodock dispatch`
 */

/** struct ds_settings - settings; docs/OPERATIONS.md describes their keys */
struct ds_settings {
	char *cell;
	char *name;
	char *az;
	char *clients;
	char *probes;
	char *rpc;
	char *advertised;
	char *metrics;
	struct st_strings addresses;
	struct st_strings seeds;
	char *store;
	char *contention;
	char *log_level;
	char *log_jobs;
	char *run_times;
	char *speeds;
	int64_t resubmit_ms;
	struct bd_settings limits;
};

/** ds_load() - read a settings file; prints what is wrong with it. Return:
 * whether @s is set, which is released with ds_release() */
bool ds_load(const char *path, struct ds_settings *s);

/** ds_release() - free the contents */
void ds_release(struct ds_settings *s);

#endif
