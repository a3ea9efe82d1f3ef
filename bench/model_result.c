#include <string.h>

#include "model_impl.h"

#define US_PER_MS 1000.0
#define PERMILLE 1000
#define P99 0.99
#define MEDIAN 0.5
/* The largest jobs of a kind are one in so many. */
#define LARGEST_SHARE 10
#define QUARTILES 4
/* The fifth below the largest jobs of a kind ends with those that are among the
 * largest so many tenths. */
#define FIFTH_BELOW_TENTHS 3
/* Answers after this multiple of the allowed time are useless to callers. */
#define TOO_LATE_FACTOR 3

static gint
compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x < y ? -1 : x > y);
}

static double
quantile(GArray *values, double q)
{
	if (values->len == 0)
		return (0);
	g_array_sort(values, compare_doubles);
	return (g_array_index(values, double, (guint)((values->len - 1) * q)));
}

/* Response times of completed jobs and of refusals, in milliseconds. */
struct times {
	GArray *done;
	GArray *refused;
};

static void
times_init(struct times *t)
{
	t->done = g_array_new(FALSE, FALSE, sizeof(double));
	t->refused = g_array_new(FALSE, FALSE, sizeof(double));
}

static void
times_finish(struct times *t, struct md_outcomes *c)
{
	c->median_ms = quantile(t->done, MEDIAN);
	c->p99_ms = quantile(t->done, P99);
	c->refusal_ms = quantile(t->refused, MEDIAN);
	g_array_free(t->done, TRUE);
	g_array_free(t->refused, TRUE);
}

static bool
in_time(const struct md_job *job)
{
	return (job->answered && job->status == JB_COMPLETED &&
	    job->response_us <= job->allowed_us);
}

static void
count_outcome(const struct md_job *job, struct md_outcomes *c)
{
	c->submitted++;
	switch (job->answered ? job->status : JB_GAVE_UP) {
	case JB_COMPLETED:
		if (job->response_us <= job->allowed_us)
			c->in_time++;
		else if (job->response_us <= TOO_LATE_FACTOR * job->allowed_us)
			c->late++;
		else
			c->too_late++;
		break;
	case JB_REFUSED:
		c->refused++;
		break;
	case JB_FAILED:
		c->failed++;
		break;
	default:
		c->gave_up++;
		break;
	}
}

static void
count_job(const struct md_job *job, struct md_outcomes *c, struct times *t)
{
	double ms = (double)job->response_us / US_PER_MS;

	count_outcome(job, c);
	if (job->answered && job->status == JB_COMPLETED)
		g_array_append_val(t->done, ms);
	else if (job->answered && job->status == JB_REFUSED)
		g_array_append_val(t->refused, ms);
}

static void
count_work(struct md *m, const struct md_job *job)
{
	const struct md_kind *k = &m->load->kinds[job->kind];
	unsigned i;

	if (!job->answered || job->status != JB_COMPLETED) {
		m->result->core_s_wasted += job->run_core_s;
		return;
	}
	for (i = 0; i < job->ntasks; i++)
		m->result->core_s_completed +=
		    job->work_ms[i] * k->cpu / PERMILLE / PERMILLE;
}

static double
work_of(const struct md_job *job)
{
	double ms = 0;
	unsigned i;

	for (i = 0; i < job->ntasks; i++)
		ms += job->work_ms[i];
	return (ms);
}

static gint
compare_work(gconstpointer a, gconstpointer b)
{
	double x = work_of(*(struct md_job *const *)a);
	double y = work_of(*(struct md_job *const *)b);

	return ((x > y) - (x < y));
}

static void
count_windows(struct md *m)
{
	uint64_t first =
	    m->arrivals_end_us - (uint64_t)m->load->seconds * 1000000;
	struct md_window *w;
	const struct md_job *job;
	GArray *response_times;
	double ms;
	unsigned i, k;

	for (i = 0; i < m->result->nwindows; i++) {
		w = &m->result->windows[i];
		response_times = g_array_new(FALSE, FALSE, sizeof(double));
		for (k = 0; k < m->jobs->len; k++) {
			job = m->jobs->pdata[k];
			if ((job->arrived_us - first) / 1000 / MD_WINDOW_MS !=
			    i)
				continue;
			w->submitted++;
			w->in_time += in_time(job);
			w->refused +=
			    job->answered && job->status == JB_REFUSED;
			ms = (double)job->response_us / US_PER_MS;
			if (job->answered && job->status == JB_COMPLETED)
				g_array_append_val(response_times, ms);
		}
		w->median_ms = quantile(response_times, MEDIAN);
		g_array_free(response_times, TRUE);
	}
}

/* Counts the jobs of a kind by size class. */
static void
count_classes(struct md *m, unsigned kind)
{
	struct md_outcomes *classes = m->result->classes[kind];
	GPtrArray *jobs = g_ptr_array_new();
	const struct md_job *job;
	unsigned i, largest, below;

	for (i = 0; i < m->jobs->len; i++) {
		job = m->jobs->pdata[i];
		if (job->kind == kind)
			g_ptr_array_add(jobs, m->jobs->pdata[i]);
	}
	g_ptr_array_sort(jobs, compare_work);
	largest = (jobs->len + LARGEST_SHARE - 1) / LARGEST_SHARE;
	below = jobs->len * FIFTH_BELOW_TENTHS / LARGEST_SHARE;
	for (i = 0; i < jobs->len; i++) {
		job = jobs->pdata[i];
		count_outcome(job, &classes[i * QUARTILES / jobs->len]);
		if (i >= jobs->len - largest)
			count_outcome(job, &classes[MD_LARGEST_TENTH]);
		else if (i >= jobs->len - below)
			count_outcome(job, &classes[MD_FIFTH_BELOW]);
	}
	g_ptr_array_free(jobs, TRUE);
}

void
md_count_results(struct md *m)
{
	struct times all, kinds[MD_KINDS_MAX];
	const struct md_job *job;
	unsigned i;

	times_init(&all);
	for (i = 0; i < MD_KINDS_MAX; i++)
		times_init(&kinds[i]);
	for (i = 0; i < m->jobs->len; i++) {
		job = m->jobs->pdata[i];
		count_job(job, &m->result->all, &all);
		count_job(job, &m->result->kinds[job->kind], &kinds[job->kind]);
		count_work(m, job);
	}
	times_finish(&all, &m->result->all);
	for (i = 0; i < MD_KINDS_MAX; i++)
		times_finish(&kinds[i], &m->result->kinds[i]);
	for (i = 0; i < m->nworkers; i++)
		m->result->core_s_capacity += m->workers[i].cpu *
		    m->workers[i].speed * m->load->seconds / PERMILLE;
	count_windows(m);
	for (i = 0; i < m->load->nkinds; i++)
		count_classes(m, i);
}

double
md_served_share(const struct md_outcomes *c)
{
	return (c->submitted == 0
		? 1
		: (double)(c->in_time + c->late + c->too_late) / c->submitted);
}

double
md_in_time_share(const struct md_outcomes *c)
{
	return (c->submitted == 0 ? 1 : (double)c->in_time / c->submitted);
}
