#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/**
 * DOC: bench_replay - compare response times of a recorded load with an ideal
 *
 * Usage: bench_replay RECORD SPEED,SPEED... SLOTS WARM_S
 *
 * RECORD is written by `fake_load --record`. The ideal is one global queue in
 * order of arrival without delay; a task takes the fastest free slot. Jobs that
 * arrive in the first WARM_S seconds are replayed but not counted, neither in
 * the measured nor in the ideal times. Prints `NAME VALUE` lines; times are
 * milliseconds.
 */

#define RECORD_FIELDS 8
#define SLOTS_MAX 1024
#define US_PER_MS 1000.0
#define US_PER_S 1000000.0

struct job {
	double arrival_us;
	double response_us;
	double ideal_us;
	bool complete;
	guint ntasks;
	double *work_us;
};

struct slot {
	double speed;
	double free_us;
};

struct replay {
	GArray *jobs; /* struct job, by arrival */
	struct slot slots[SLOTS_MAX];
	size_t nslots;
};

static void
read_job(struct replay *r, char **fields)
{
	char **runs = g_strsplit(fields[RECORD_FIELDS - 1], ",", 0);
	struct job j = {0};

	j.arrival_us = g_ascii_strtod(fields[0], NULL);
	j.response_us = g_ascii_strtod(fields[1], NULL);
	j.complete = strcmp(fields[4], "complete") == 0;
	j.ntasks = g_strv_length(runs);
	j.work_us = g_new(double, j.ntasks);
	for (guint i = 0; i < j.ntasks; i++)
		j.work_us[i] = g_ascii_strtod(runs[i], NULL) * US_PER_MS;
	g_array_append_val(r->jobs, j);
	g_strfreev(runs);
}

static gint
by_arrival(gconstpointer a, gconstpointer b)
{
	double x = ((const struct job *)a)->arrival_us;
	double y = ((const struct job *)b)->arrival_us;

	return ((x > y) - (x < y));
}

static void
read_record(struct replay *r, const char *path)
{
	char *text, **lines, **fields;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		perror(path);
		exit(1);
	}
	r->jobs = g_array_new(FALSE, FALSE, sizeof(struct job));
	lines = g_strsplit(text, "\n", 0);
	for (char **l = lines; *l != NULL; l++) {
		fields = g_strsplit(*l, "\t", RECORD_FIELDS);
		if (g_strv_length(fields) == RECORD_FIELDS)
			read_job(r, fields);
		g_strfreev(fields);
	}
	g_array_sort(r->jobs, by_arrival);
	g_strfreev(lines);
	g_free(text);
}

static void
read_slots(struct replay *r, const char *speeds, unsigned slots)
{
	char **parts = g_strsplit(speeds, ",", 0);

	for (char **p = parts; *p != NULL; p++)
		for (unsigned i = 0; i < slots && r->nslots < SLOTS_MAX; i++)
			r->slots[r->nslots++].speed = g_ascii_strtod(*p, NULL);
	g_strfreev(parts);
}

/* Return: end of a task; tasks start in the order of the calls. */
static double
ideal_task(struct replay *r, double arrival_us, double work_us)
{
	struct slot *best = &r->slots[0];
	double start;

	for (size_t i = 1; i < r->nslots; i++)
		if (r->slots[i].free_us < best->free_us)
			best = &r->slots[i];
	start = MAX(best->free_us, arrival_us);
	for (size_t i = 0; i < r->nslots; i++)
		if (r->slots[i].free_us <= start &&
		    r->slots[i].speed > best->speed)
			best = &r->slots[i];
	best->free_us = start + work_us / best->speed;
	return (best->free_us);
}

static void
ideal_run(struct replay *r)
{
	double end;

	for (guint i = 0; i < r->jobs->len; i++) {
		struct job *j = &g_array_index(r->jobs, struct job, i);

		for (guint k = 0; k < j->ntasks; k++) {
			end = ideal_task(r, j->arrival_us, j->work_us[k]);
			j->ideal_us = MAX(j->ideal_us, end - j->arrival_us);
		}
	}
}

static gint
by_value(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return ((x > y) - (x < y));
}

static void
print_times(const char *name, GArray *us)
{
	double sum = 0;

	g_array_sort(us, by_value);
	for (guint i = 0; i < us->len; i++)
		sum += g_array_index(us, double, i);
	printf("%smean %.3f\n", name, sum / us->len / US_PER_MS);
	printf("%sp99 %.3f\n", name,
	    g_array_index(us, double, (guint)(us->len * 0.99)) / US_PER_MS);
}

/* Work that arrived in the counted time, as a share of the capacity. */
static double
offered_load(const struct replay *r, double from_us, double to_us)
{
	double work = 0, speed = 0;

	for (guint i = 0; i < r->jobs->len; i++) {
		const struct job *j = &g_array_index(r->jobs, struct job, i);

		for (guint k = 0; j->arrival_us >= from_us && k < j->ntasks;
		     k++)
			work += j->work_us[k];
	}
	for (size_t i = 0; i < r->nslots; i++)
		speed += r->slots[i].speed;
	return (work / (speed * (to_us - from_us)));
}

static void
print_report(const struct replay *r, double warm_us)
{
	GArray *measured = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *ideal = g_array_new(FALSE, FALSE, sizeof(double));
	const struct job *first = &g_array_index(r->jobs, struct job, 0);
	double from_us = first->arrival_us + warm_us, last_us = from_us;
	guint incomplete = 0;

	for (guint i = 0; i < r->jobs->len; i++) {
		const struct job *j = &g_array_index(r->jobs, struct job, i);

		last_us = j->arrival_us;
		if (j->arrival_us < from_us)
			continue;
		incomplete += !j->complete;
		g_array_append_val(measured, j->response_us);
		g_array_append_val(ideal, j->ideal_us);
	}
	if (measured->len == 0) {
		fprintf(stderr, "no job arrived after the warm-up\n");
		exit(1);
	}
	printf("jobs %u\nincomplete %u\n", measured->len, incomplete);
	printf("offered %.3f\n", offered_load(r, from_us, last_us));
	print_times("", measured);
	print_times("ideal_", ideal);
	g_array_free(measured, TRUE);
	g_array_free(ideal, TRUE);
}

int
main(int argc, char **argv)
{
	struct replay r = {0};

	if (argc != 5) {
		fprintf(
		    stderr, "usage: bench_replay RECORD SPEEDS SLOTS WARM_S\n");
		return (2);
	}
	read_record(&r, argv[1]);
	read_slots(&r, argv[2], (unsigned)strtoul(argv[3], NULL, 10));
	if (r.jobs->len == 0 || r.nslots == 0) {
		fprintf(stderr, "no jobs or no slots\n");
		return (1);
	}
	ideal_run(&r);
	print_report(&r, g_ascii_strtod(argv[4], NULL) * US_PER_S);
	for (guint i = 0; i < r.jobs->len; i++)
		g_free(g_array_index(r.jobs, struct job, i).work_us);
	g_array_free(r.jobs, TRUE);
	return (0);
}
