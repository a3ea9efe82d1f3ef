#include <glib.h>
#include <limits.h>
#include <stdio.h>
#include <string.h>

#include "load.h"
#include "settings.h"

#define PERCENT 100.0
#define PERMILLE 1000.0
#define FILE_FIELD(field) offsetof(struct load_file, field)
#define ROW_FIELD(type, field) offsetof(struct type, field)

struct load_file {
	int64_t seed;
	int64_t seconds;
	int64_t entries;
	int64_t net_ms;
	int64_t agents_ms;
	int64_t zones;
	char *speeds;
	int64_t swing_percent;
	int64_t swing_ms;
	char *contention;
	int64_t estimate_off_percent;
	int64_t estimate_sigma_percent;
	bool tails_declared;
	bool run_times;
	int64_t uneven_percent;
	int64_t error_permille;
	struct st_strings kinds;
	struct st_strings workers;
	struct st_strings troubles;
};

static const struct st_key keys[] = {
    {"seed", ST_INTEGER, FILE_FIELD(seed), 0, INT64_MAX, "1", NULL,
	"seed of all random numbers"},
    {"seconds", ST_INTEGER, FILE_FIELD(seconds), 1, 100000, "60", NULL,
	"simulated time for which jobs arrive"},
    {"entries", ST_INTEGER, FILE_FIELD(entries), 1, 64, "3", NULL,
	"number of entries"},
    {"net_ms", ST_INTEGER, FILE_FIELD(net_ms), 0, 1000, "1", NULL,
	"network delay of a message, milliseconds"},
    {"agents_ms", ST_INTEGER, FILE_FIELD(agents_ms), 0, 10000, "0", NULL,
	"time within which agents connect, milliseconds; 0: before arrivals"},
    {"zones", ST_INTEGER, FILE_FIELD(zones), 1, 64, "1", NULL,
	"number of availability zones"},
    {"speeds", ST_STRING, FILE_FIELD(speeds), 1, 16, "individual",
	"individual|pooled", "placing.speeds of the entries"},
    {"estimate_sigma_percent", ST_INTEGER, FILE_FIELD(estimate_sigma_percent),
	0, 300, "0", NULL,
	"deviation of the logarithm of declared run times, percent; 0: "
	"estimate_off_percent applies"},
    {"swing_percent", ST_INTEGER, FILE_FIELD(swing_percent), 0, 99, "0", NULL,
	"share by which arrival rates rise and fall"},
    {"swing_ms", ST_INTEGER, FILE_FIELD(swing_ms), 0, 1000000, "0", NULL,
	"period of that, milliseconds; 0: none"},
    {"contention", ST_STRING, FILE_FIELD(contention), 1, 16, "slack",
	"slack|value", "setting admission.contention of the entries"},
    {"estimate_off_percent", ST_INTEGER, FILE_FIELD(estimate_off_percent), 0,
	99, "40", NULL, "greatest relative error of declared run times"},
    {"tails_declared", ST_BOOLEAN, FILE_FIELD(tails_declared), 0, 1, "false",
	NULL, "whether declared run times include the factor of long jobs"},
    {"run_times", ST_BOOLEAN, FILE_FIELD(run_times), 0, 1, "false", NULL,
	"whether entries decide by the distribution of run times"},
    {"uneven_percent", ST_INTEGER, FILE_FIELD(uneven_percent), 0, 99, "15",
	NULL, "greatest relative deviation of run times within a job"},
    {"error_permille", ST_INTEGER, FILE_FIELD(error_permille), 0, 1000, "2",
	NULL, "share of the runs that fail"},
    {"kinds", ST_STRINGS, FILE_FIELD(kinds), 1, MD_KINDS_MAX, NULL, NULL,
	"kinds of job, see struct md_kind"},
    {"workers", ST_STRINGS, FILE_FIELD(workers), 1, MD_GROUPS_MAX, NULL, NULL,
	"groups of workers, see struct md_worker_group"},
    {"troubles", ST_STRINGS, FILE_FIELD(troubles), 0, MD_DISTURBANCES_MAX, "",
	NULL, "disturbances, see struct md_disturbance"},
};

/* A field of a row. */
struct field {
	const char *name;
	size_t offset;
	enum {
		FIELD_REAL,
		FIELD_COUNT,
		FIELD_TEXT
	} type;
};

static const struct field kind_fields[] = {
    {"per_s", ROW_FIELD(md_kind, per_s), FIELD_REAL},
    {"tasks", ROW_FIELD(md_kind, tasks), FIELD_REAL},
    {"work_ms", ROW_FIELD(md_kind, work_ms), FIELD_REAL},
    {"spread", ROW_FIELD(md_kind, spread), FIELD_REAL},
    {"cpu", ROW_FIELD(md_kind, cpu), FIELD_COUNT},
    {"target_ms", ROW_FIELD(md_kind, target_ms), FIELD_COUNT},
    {"deadline_ms", ROW_FIELD(md_kind, deadline_ms), FIELD_COUNT},
    {"waits_factor", ROW_FIELD(md_kind, waits_factor), FIELD_REAL},
    {"attempts", ROW_FIELD(md_kind, attempts), FIELD_COUNT},
    {"priority", ROW_FIELD(md_kind, priority), FIELD_COUNT},
    {"tail_permille", ROW_FIELD(md_kind, tail_permille), FIELD_COUNT},
    {"tail_factor", ROW_FIELD(md_kind, tail_factor), FIELD_REAL},
    {0},
};

static const struct field worker_fields[] = {
    {"count", ROW_FIELD(md_worker_group, count), FIELD_COUNT},
    {"cpu", ROW_FIELD(md_worker_group, cpu), FIELD_COUNT},
    {"speed", ROW_FIELD(md_worker_group, speed), FIELD_REAL},
    {0},
};

static const struct field disturbance_fields[] = {
    {"kind", ROW_FIELD(md_disturbance, kind), FIELD_TEXT},
    {"at_ms", ROW_FIELD(md_disturbance, at_ms), FIELD_COUNT},
    {"for_ms", ROW_FIELD(md_disturbance, for_ms), FIELD_COUNT},
    {"count", ROW_FIELD(md_disturbance, count), FIELD_COUNT},
    {"x", ROW_FIELD(md_disturbance, x), FIELD_REAL},
    {0},
};

static const char *const disturbance_names[] = {"burst", "slow", "away"};

static bool
set_field(const struct field *f, void *row, const char *text)
{
	char *end = NULL, *to = (char *)row + f->offset;
	unsigned count;
	double real;

	if (f->type == FIELD_TEXT) {
		g_strlcpy(to, text, MD_NAME_MAX);
		return (strlen(text) < MD_NAME_MAX);
	}
	real = g_ascii_strtod(text, &end);
	if (end == text || *end != '\0' || !(real >= 0) || real > UINT_MAX)
		return (false);
	count = (unsigned)real;
	if (f->type == FIELD_REAL)
		memcpy(to, &real, sizeof(real));
	else
		memcpy(to, &count, sizeof(count));
	return (true);
}

static bool
set_word(const struct field *fields, void *row, char *word)
{
	char *value = strchr(word, '=');
	unsigned i;

	if (value == NULL)
		return (false);
	*value++ = '\0';
	for (i = 0; fields[i].name != NULL; i++)
		if (strcmp(fields[i].name, word) == 0)
			return (set_field(&fields[i], row, value));
	return (false);
}

/* @name: set to the first word, which has no value; NULL if the row has no such
 * word. */
static bool
read_row(const char *text, const struct field *fields, void *row, char *name)
{
	char **words = g_strsplit_set(text, " ", 0);
	bool valid = true;
	unsigned i = 0;

	if (name != NULL && words[0] != NULL)
		g_strlcpy(name, words[i++], MD_NAME_MAX);
	for (; valid && words[i] != NULL; i++)
		valid = words[i][0] == '\0' || set_word(fields, row, words[i]);
	g_strfreev(words);
	return (valid);
}

static bool
read_disturbance(const char *text, struct md_disturbance *t)
{
	char name[MD_NAME_MAX] = "";
	unsigned i;

	if (!read_row(text, disturbance_fields, t, name))
		return (false);
	for (i = 0; i < G_N_ELEMENTS(disturbance_names); i++)
		if (strcmp(disturbance_names[i], name) == 0) {
			t->what = (enum md_disturbance_type)i;
			/* The factor of bursts and slowdowns. */
			return (t->what == MD_POWER_LOSS || t->x > 0);
		}
	return (false);
}

static bool
read_rows(
    const struct load_file *f, struct md_load *load, const char **invalid_row)
{
	struct md_kind *k;
	struct md_worker_group *g;
	size_t i;

	for (i = 0; i < f->kinds.count; i++) {
		*invalid_row = f->kinds.items[i];
		k = &load->kinds[load->nkinds++];
		if (!read_row(*invalid_row, kind_fields, k, k->name) ||
		    k->per_s <= 0 || k->work_ms <= 0 || k->deadline_ms == 0 ||
		    (k->tail_permille > 0 && k->tail_factor <= 0))
			return (false);
	}
	for (i = 0; i < f->workers.count; i++) {
		*invalid_row = f->workers.items[i];
		g = &load->groups[load->ngroups++];
		if (!read_row(*invalid_row, worker_fields, g, NULL) ||
		    g->speed <= 0 || g->count == 0 || g->cpu == 0)
			return (false);
	}
	for (i = 0; i < f->troubles.count; i++) {
		*invalid_row = f->troubles.items[i];
		if (!read_disturbance(*invalid_row,
			&load->disturbances[load->ndisturbances++]))
			return (false);
	}
	return (true);
}

bool
ld_read(const char *path, struct md_load *load, char *message, size_t size)
{
	const char *invalid_row = "";
	struct load_file f = {0};
	bool valid;

	memset(load, 0, sizeof(*load));
	if (st_load(path, keys, G_N_ELEMENTS(keys), &f, message, size) != ST_OK)
		return (false);
	load->seed = (uint64_t)f.seed;
	load->seconds = (unsigned)f.seconds;
	load->entries = (unsigned)f.entries;
	load->net_ms = (unsigned)f.net_ms;
	load->agents_ms = (unsigned)f.agents_ms;
	load->zones = (unsigned)f.zones;
	load->pooled = strcmp(f.speeds, "pooled") == 0;
	load->estimate_sigma = (double)f.estimate_sigma_percent / PERCENT;
	load->swing = (double)f.swing_percent / PERCENT;
	load->swing_ms = (unsigned)f.swing_ms;
	load->by_value = strcmp(f.contention, "value") == 0;
	load->estimate_error = (double)f.estimate_off_percent / PERCENT;
	load->tails_declared = f.tails_declared;
	load->run_times = f.run_times;
	load->task_variation = (double)f.uneven_percent / PERCENT;
	load->error_share = (double)f.error_permille / PERMILLE;
	valid = read_rows(&f, load, &invalid_row);
	if (!valid)
		snprintf(message, size, "%s: not a valid row: %s", path,
		    invalid_row);
	st_release(keys, G_N_ELEMENTS(keys), &f);
	return (valid);
}

void
ld_scale(struct md_load *load, double x)
{
	unsigned i;

	for (i = 0; i < load->nkinds; i++)
		load->kinds[i].per_s *= x;
}
