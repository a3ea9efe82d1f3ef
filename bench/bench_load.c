#include <argtable2.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"
#include "model.h"

/**
 * DOC: bench_load - replay a load file on the model of a cell
 *
 * Prints one line for each kind of job and one for the work done; with --svg it
 * writes plots of response times, queue lengths and jobs not in time.
 */

#define PLOT_WIDTH 800
#define PLOT_HEIGHT 200
#define PLOT_MARGIN 30

static void
print_class(const char *name, const struct md_outcomes *c)
{
	printf(
	    "%-16s asked %6u in_time %.4f late %.4f too_late %.4f "
	    "refused %.4f gave_up %.4f failed %.4f median_ms %.0f "
	    "p99_ms %.0f refusal_ms %.0f\n",
	    name, c->submitted, md_in_time_share(c),
	    (double)c->late / MAX(c->submitted, 1),
	    (double)c->too_late / MAX(c->submitted, 1),
	    (double)c->refused / MAX(c->submitted, 1),
	    (double)c->gave_up / MAX(c->submitted, 1),
	    (double)c->failed / MAX(c->submitted, 1), c->median_ms, c->p99_ms,
	    c->refusal_ms);
}

/* Prints the shares in time and served of the quartiles, of the largest tenth
 * and of the fifth below it. */
static void
print_size_classes(const char *name, const struct md_outcomes *classes)
{
	unsigned i;

	printf("%-16s in_time by size", name);
	for (i = 0; i < MD_CLASSES; i++)
		printf(" %.4f", md_in_time_share(&classes[i]));
	printf(" served");
	for (i = 0; i < MD_CLASSES; i++)
		printf(" %.4f", md_served_share(&classes[i]));
	printf("\n");
}

static void
print_result(const struct md_load *load, const struct md_result *r)
{
	unsigned i;

	for (i = 0; i < load->nkinds; i++)
		print_class(load->kinds[i].name, &r->kinds[i]);
	print_class("all", &r->all);
	for (i = 0; i < load->nkinds; i++)
		print_size_classes(load->kinds[i].name, r->classes[i]);
	printf(
	    "work             core_s %.0f of %.0f, done %.0f, wasted %.0f, "
	    "starts %u, no_room %u, twice %u\n",
	    r->core_s_offered, r->core_s_capacity, r->core_s_completed,
	    r->core_s_wasted, r->starts, r->starts_refused, r->duplicate_runs);
}

static void
print_placing(const struct md_load *load, const struct md_result *r)
{
	unsigned i;

	printf(
	    "placing          grants %u, returned %.4f, own_zone %.4f, "
	    "stopped %u, largest tenth served",
	    r->grants, (double)r->returned / MAX(r->grants, 1),
	    (double)r->own_zone / MAX(r->grants, 1), r->stopped);
	for (i = 0; i < load->nkinds; i++)
		printf(
		    " %.4f", md_served_share(&r->classes[i][MD_LARGEST_TENTH]));
	printf("\n");
}

/* Draws one curve; @value returns its height in a window. */
static void
plot_curve(FILE *f, const struct md_result *r, unsigned row, const char *title,
    double (*value)(const struct md_window *w))
{
	double top = 1, x, y;
	unsigned base = (row + 1) * (PLOT_HEIGHT + PLOT_MARGIN);
	unsigned i;

	for (i = 0; i < r->nwindows; i++)
		top = MAX(top, value(&r->windows[i]));
	fprintf(f,
	    "<text x='%d' y='%u' font-size='12'>%s, up to %.0f</text>\n"
	    "<polyline fill='none' stroke='black' points='",
	    PLOT_MARGIN, base - PLOT_HEIGHT - 8, title, top);
	for (i = 0; i < r->nwindows; i++) {
		x = PLOT_MARGIN + (double)PLOT_WIDTH * i / r->nwindows;
		y = base - value(&r->windows[i]) / top * PLOT_HEIGHT;
		fprintf(f, "%.1f,%.1f ", x, y);
	}
	fputs("'/>\n", f);
}

static double
window_median(const struct md_window *w)
{
	return (w->median_ms);
}

static double
window_queued(const struct md_window *w)
{
	return (w->queued_max);
}

static double
window_missed(const struct md_window *w)
{
	return (100.0 * (w->submitted - w->in_time) / MAX(w->submitted, 1));
}

static bool
plot(const char *path, const struct md_result *r)
{
	FILE *f = fopen(path, "w");

	if (f == NULL) {
		perror(path);
		return (false);
	}
	fprintf(f,
	    "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d'>\n",
	    PLOT_WIDTH + 2 * PLOT_MARGIN, 3 * (PLOT_HEIGHT + PLOT_MARGIN) + 10);
	plot_curve(f, r, 0, "median response, ms", window_median);
	plot_curve(f, r, 1, "tasks that wait, most", window_queued);
	plot_curve(f, r, 2, "not in time, percent", window_missed);
	fputs("</svg>\n", f);
	return (fclose(f) == 0);
}

int
main(int argc, char **argv)
{
	struct arg_file *path =
	    arg_file1(NULL, NULL, "LOAD", "load file, see load.h");
	struct arg_int *seed =
	    arg_int0(NULL, "seed", "N", "seed, overrides the one in the file");
	struct arg_dbl *scale =
	    arg_dbl0(NULL, "scale", "X", "multiply all arrivals");
	struct arg_lit *value = arg_lit0(NULL, "value",
	    "entries decide by cost per need while capacity is short");
	struct arg_file *svg =
	    arg_file0(NULL, "svg", "FILE", "write a plot over time");
	struct arg_lit *placing = arg_lit0(
	    NULL, "placing", "print what became of the grants as well");
	struct arg_str *speeds = arg_str0(NULL, "speeds", "individual|pooled",
	    "placing.speeds, overrides the one in the file");
	struct arg_int *entries = arg_int0(
	    NULL, "entries", "N", "entries, overrides those in the file");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {
	    path, seed, scale, value, svg, placing, speeds, entries, help, end};
	struct md_result *r = NULL;
	struct md_load load;
	char message[256];
	int code = EXIT_FAILURE;

	if (arg_parse(argc, argv, table) > 0 || help->count > 0) {
		arg_print_errors(stderr, end, "bench_load");
		arg_print_glossary(stderr, table, NULL);
		goto out;
	}
	if (!ld_read(path->filename[0], &load, message, sizeof(message))) {
		fprintf(stderr, "bench_load: %s\n", message);
		goto out;
	}
	if (seed->count > 0)
		load.seed = (uint64_t)seed->ival[0];
	if (value->count > 0)
		load.by_value = true;
	if (scale->count > 0)
		ld_scale(&load, scale->dval[0]);
	if (speeds->count > 0)
		load.pooled = strcmp(speeds->sval[0], "pooled") == 0;
	if (entries->count > 0 && entries->ival[0] > 0)
		load.entries = (unsigned)entries->ival[0];
	r = md_run(&load);
	print_result(&load, r);
	if (placing->count > 0)
		print_placing(&load, r);
	if (svg->count == 0 || plot(svg->filename[0], r))
		code = EXIT_SUCCESS;
out:
	md_result_free(r);
	arg_freetable(table, G_N_ELEMENTS(table));
	return (code);
}
