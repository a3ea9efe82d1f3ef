#include <glib.h>

#include "tally.h"

#define US_PER_MS 1000.0
#define US_PER_S 1000000.0

static const char *const count_names[TA_COUNT] = {
    [TA_SUBMISSIONS] = "submissions",
    [TA_TASKS] = "tasks",
    [TA_COMPLETE] = "complete",
    [TA_FAILED] = "failed",
    [TA_REFUSED] = "refused",
    [TA_UNKNOWN] = "unknown",
    [TA_UNANSWERED] = "unanswered",
    [TA_ERRORS] = "errors",
    [TA_PARTIAL] = "partial",
    [TA_FOREIGN] = "foreign",
    [TA_MISMATCH] = "mismatch",
    [TA_REFUSED_RUN] = "refused_run",
    [TA_RESUBMITTED] = "resubmitted",
    [TA_DUPLICATES] = "duplicates",
};

struct ta {
	uint64_t counts[TA_COUNT];
	GArray *times; /* uint64_t, microseconds */
};

struct ta *
ta_new(void)
{
	struct ta *t = g_new0(struct ta, 1);

	t->times = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return (t);
}

void
ta_free(struct ta *t)
{
	g_array_free(t->times, TRUE);
	g_free(t);
}

void
ta_add(struct ta *t, enum ta_count which, uint64_t n)
{
	t->counts[which] += n;
}

uint64_t
ta_value(const struct ta *t, enum ta_count which)
{
	return (t->counts[which]);
}

void
ta_add_time(struct ta *t, uint64_t us)
{
	g_array_append_val(t->times, us);
}

static int
compare_times(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return ((x > y) - (x < y));
}

/* Response time that the @share of the submissions does not exceed; the times
 * must be sorted. */
static double
percentile_ms(const struct ta *t, double share)
{
	size_t n = t->times->len;
	size_t i = (size_t)(share * (double)n);

	if (n == 0)
		return (0);
	if (i >= n)
		i = n - 1;
	return ((double)g_array_index(t->times, uint64_t, i) / US_PER_MS);
}

static double
mean_ms(const struct ta *t)
{
	double sum = 0;

	for (size_t i = 0; i < t->times->len; i++)
		sum += (double)g_array_index(t->times, uint64_t, i);
	return (t->times->len > 0 ? sum / t->times->len / US_PER_MS : 0);
}

void
ta_print(struct ta *t, FILE *out, uint64_t elapsed_us)
{
	double s = elapsed_us > 0 ? (double)elapsed_us / US_PER_S : 1;

	g_array_sort(t->times, compare_times);
	fprintf(out, "load:");
	for (int i = 0; i < TA_COUNT; i++)
		fprintf(out, " %s=%llu", count_names[i],
		    (unsigned long long)t->counts[i]);
	fprintf(out,
	    " seconds=%.1f tasks_per_s=%.0f mean_ms=%.2f p50_ms=%.2f "
	    "p90_ms=%.2f p99_ms=%.2f max_ms=%.2f\n",
	    s, (double)t->counts[TA_TASKS] / s, mean_ms(t),
	    percentile_ms(t, 0.5), percentile_ms(t, 0.9),
	    percentile_ms(t, 0.99), percentile_ms(t, 1));
	fflush(out);
}
