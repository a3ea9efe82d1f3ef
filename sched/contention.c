#include <glib.h>
#include <math.h>
#include <string.h>

#include "clock.h"
#include "contention.h"

/* Arrivals and outcomes lose weight with this time constant. */
#define AGE_MS 2000.0
/* Services and queues without arrivals for this time make space for others. */
#define FORGET_MS 60000
/* Contention begins when the waiting work takes this share of the slack of the
 * most urgent queue. It ends when there has been no more waiting work than free
 * capacity for CALM_MS: reports are up to 200 ms old, so a shorter time may be
 * a gap between two of them. */
#define CONTENDED_SHARE 0.5
#define CALM_MS 400
/* Waiting work that takes this multiple of the slack lowers the admitted share
 * of the need by 1. At 2.5 too much is refused in short bursts at a few
 * workers.
 */
#define RANGE_SHARE 10.0
/* The same for the mean of the waiting work over AGE_MS. At 0.6 too much is
 * refused, at 2 more jobs are late when demand is twice the capacity; see
 * docs/design/contention.md. */
#define LASTING_RANGE_SHARE 1.2
/* Queues with a slack below this are treated as if they had it: reports are too
 * old to tell shorter waits apart. */
#define SLACK_MIN_MS 20.0
/* Guaranteed admitted share of a queue and of a size class, as a multiple of
 * that of its whole. The requirement is half of it in time; not all admitted
 * jobs end in time. */
#define FLOOR 0.6
/* Admissions that a floor can save up, and that it can be overdrawn by. */
#define CREDIT_MAX 2.0
/* Costs of jobs by priority level: a step of priority counts less than the
 * differences in need, since one caller is one caller. */
static const double level_weights[PD_LEVELS] = {1, 0.8, 0.64, 0.512};
/* Limits of the begin of the interval of a retry. */
#define RETRY_MIN_MS 200.0
#define RETRY_MAX_MS 5000.0
/* Bins of the logarithms of costs per need and of declared work: four to a
 * factor of two. */
#define BINS 128
#define BINS_PER_OCTAVE 4.0
/* Exponent of the lowest bin of costs per core-second: a job of 2^20 core-s. */
#define VALUE_EXPONENT_MIN (-20.0)
/* Jobs by which the size classes of a queue are known: older ones lose weight.
 */
#define SIZED_MAX 200
#define NEED_MAX 1e9
/* Mixes the hashes of ids, which differ in few bits for consecutive ids. */
#define ID_MULTIPLIER 2654435761U
#define ID_FRACTIONS 65536U
#define MS_PER_S 1000.0

/**
 * enum size_class - quartiles by declared work, and the largest tenth, whose
 * jobs belong to the last quartile too
 */
enum size_class {
	CL_LAST_QUARTILE = 3,
	CL_LARGEST_TENTH,
	CL_COUNT,
};

#define LARGEST_TENTH 0.9
#define QUARTILES 4

/* Numbers of jobs, or sums of needs, that lose weight with age. */
struct tally {
	double arrived;
	double admitted;
};

struct queue {
	uint64_t aged_ms; /* last arrival; see is_unused() */
	struct tally jobs;
	double credit; /* guaranteed admissions that are left */
	double class_credits[CL_COUNT];
	unsigned sized;    /* jobs in sizes, up to SIZED_MAX */
	float sizes[BINS]; /* share of the jobs by declared work */
};

struct service {
	uint64_t aged_ms; /* last arrival; see is_unused() */
	struct tally jobs;
	double need_by_value[BINS]; /* of arrivals */
	double capacity;            /* thousandths of a core */
	double slack_ms;            /* of the most urgent queue */
	double wait_ms;      /* of the waiting work; negative: free capacity */
	double seen_wait_ms; /* the same as of the last state of the fleet */
	double trend;        /* change of wait_ms, ms per ms, over AGE_MS */
	double mean_wait_ms; /* mean over AGE_MS, free capacity counted as 0 */
	uint64_t seen_ms;    /* last state of the fleet */
	uint64_t since_ms;   /* start of the contention */
	uint64_t busy_ms;    /* when wait_ms was last above 0 */
	bool seen;
	bool contended;
};

struct cc {
	const struct ck *clock;
	GHashTable *services; /* name -> struct service, owned */
	GHashTable *queues;   /* name -> struct queue, owned */
};

struct cc *
cc_new(const struct ck *clock)
{
	struct cc *c = g_new0(struct cc, 1);

	c->clock = clock;
	c->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->queues =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return (c);
}

void
cc_free(struct cc *c)
{
	if (c == NULL)
		return;
	g_hash_table_destroy(c->services);
	g_hash_table_destroy(c->queues);
	g_free(c);
}

/* Whether an entry of a table, of which the first member is the time when it
 * was used last, can be forgotten. */
static gboolean
is_unused(gpointer name, gpointer entry, gpointer now_ms)
{
	uint64_t used_ms = *(const uint64_t *)entry;
	uint64_t now = *(const uint64_t *)now_ms;

	(void)name;
	return (now > used_ms && now - used_ms > FORGET_MS);
}

/* Of @table, the entry of @name, created if there is none. The name "" stands
 * for all names for which there is no space. */
static void *
find_or_add(const struct cc *c, GHashTable *table, const char *name, guint max,
    gsize size)
{
	void *p = g_hash_table_lookup(table, name);
	uint64_t now;

	if (p != NULL)
		return (p);
	now = ck_mono_ms(c->clock);
	if (g_hash_table_size(table) >= max)
		g_hash_table_foreach_remove(table, is_unused, &now);
	if (g_hash_table_size(table) >= max) {
		name = "";
		p = g_hash_table_lookup(table, name);
	}
	if (p == NULL) {
		p = g_malloc0(size);
		memcpy(p, &now, sizeof(now));
		g_hash_table_insert(table, g_strdup(name), p);
	}
	return (p);
}

static struct service *
service_of(const struct cc *c, const char *name)
{
	return (find_or_add(
	    c, c->services, name, CC_SERVICES_MAX, sizeof(struct service)));
}

static struct queue *
queue_of(const struct cc *c, const char *name)
{
	return (find_or_add(
	    c, c->queues, name, CC_QUEUES_MAX, sizeof(struct queue)));
}

/* Weight that remains after the time since @from_ms, which is set to @now. A
 * clock that stands still or goes back ages nothing. */
static double
remaining_weight(uint64_t *from_ms, uint64_t now)
{
	double left =
	    now > *from_ms ? exp(-(double)(now - *from_ms) / AGE_MS) : 1;

	*from_ms = now;
	return (left);
}

static void
age_service(struct service *s, uint64_t now)
{
	double left = remaining_weight(&s->aged_ms, now);
	unsigned i;

	if (left >= 1)
		return;
	s->jobs.arrived *= left;
	s->jobs.admitted *= left;
	for (i = 0; i < BINS; i++)
		s->need_by_value[i] *= left;
}

static void
age_queue(struct queue *q, uint64_t now)
{
	double left = remaining_weight(&q->aged_ms, now);

	q->jobs.arrived *= left;
	q->jobs.admitted *= left;
}

/* --- value and size of a job --- */

static double
clamp_number(double x, double min, double max)
{
	return (isnan(x) ? min : fmin(fmax(x, min), max));
}

static double
need_of(const struct cc_job *job)
{
	return (clamp_number(job->need, 1, NEED_MAX));
}

static double
cost_of(const struct cc_job *job)
{
	return (level_weights[MIN(job->level, PD_LEVELS - 1)] *
	    clamp_number(job->chance, 0, 1));
}

double
cc_value(const struct cc_job *job)
{
	return (cost_of(job) / need_of(job) * MS_PER_S);
}

static unsigned
bin_of(double x, double exponent_min)
{
	double bin;

	if (x <= 0)
		return (0);
	bin = (log2(x) - exponent_min) * BINS_PER_OCTAVE;
	return ((unsigned)clamp_number(bin, 0, BINS - 1));
}

static unsigned
value_bin(const struct cc_job *job)
{
	return (bin_of(cc_value(job), VALUE_EXPONENT_MIN));
}

/* A number from 0 to below 1 that depends on the id only. */
static double
id_fraction(const struct cc_job *job)
{
	return ((g_str_hash(job->id) * ID_MULTIPLIER >> 16) % ID_FRACTIONS /
	    (double)ID_FRACTIONS);
}

static unsigned
size_bin(const struct cc_job *job)
{
	return (bin_of(clamp_number(job->declared, 1, NEED_MAX), 0));
}

/* The first jobs count alike, so that the sizes are known soon. */
static void
learn_size(struct queue *q, const struct cc_job *job)
{
	float weight = 1.0F / (float)(q->sized + 1);
	unsigned i;

	if (q->sized < SIZED_MAX)
		q->sized++;
	for (i = 0; i < BINS; i++)
		q->sizes[i] *= 1 - weight;
	q->sizes[size_bin(job)] += weight;
}

/* Share of the jobs of a queue that declare less work, half of those in the
 * same bin included. */
static double
size_rank(const struct queue *q, const struct cc_job *job)
{
	unsigned bin = size_bin(job), i;
	double rank = q->sizes[bin] / 2;

	for (i = 0; i < bin; i++)
		rank += q->sizes[i];
	return (rank);
}

/* --- floors --- */

static double
share_of(const struct tally *t)
{
	return (t->arrived > 0 ? fmin(t->admitted / t->arrived, 1) : 1);
}

static void
add_credit(double *credit, double x)
{
	*credit = clamp_number(*credit + x, -CREDIT_MAX, CREDIT_MAX);
}

/* Adds to the credits of the size classes of a job. */
static void
add_class_credits(struct queue *q, const struct cc_job *job, double x)
{
	double rank = size_rank(q, job);

	add_credit(&q->class_credits[(unsigned)MIN(
		       rank * QUARTILES, CL_LAST_QUARTILE)],
	    x);
	if (rank >= LARGEST_TENTH)
		add_credit(&q->class_credits[CL_LARGEST_TENTH], x);
}

/* Whether a floor guarantees that a job is admitted. */
static bool
is_guaranteed(const struct queue *q, const struct cc_job *job)
{
	double rank = size_rank(q, job);

	return (q->credit >= 1 ||
	    q->class_credits[(unsigned)MIN(
		rank * QUARTILES, CL_LAST_QUARTILE)] >= 1 ||
	    (rank >= LARGEST_TENTH && q->class_credits[CL_LARGEST_TENTH] >= 1));
}

/* --- state of the fleet --- */

/* Enters or leaves the state of contention. */
static void
update_contention(struct service *s, uint64_t now)
{
	if (s->wait_ms > 0 || now < s->busy_ms)
		s->busy_ms = now;
	if (!s->contended && s->wait_ms > s->slack_ms * CONTENDED_SHARE) {
		s->contended = true;
		s->since_ms = now;
	} else if (s->contended && now - s->busy_ms >= CALM_MS) {
		s->contended = false;
	}
}

/* Time that the waiting work of a state takes all workers, without what free
 * capacity takes up at once; negative while more capacity is free than needed.
 */
static double
waiting_ms(const struct cc_fleet *f)
{
	double cpu = clamp_number(f->unseen, 0, NEED_MAX);
	double mean = clamp_number(f->mean_ms, 0, NEED_MAX);
	double work = cpu * mean, waiting, excess;
	double capacity = clamp_number(f->capacity, 0, NEED_MAX);
	unsigned i;

	if (capacity <= 0)
		return (0);
	for (i = 0; i < PD_LEVELS; i++) {
		waiting = clamp_number(f->waiting[i], 0, NEED_MAX);
		cpu += waiting;
		work += waiting * clamp_number(f->run_ms[i], 0, NEED_MAX);
	}
	excess = cpu - clamp_number(f->free, 0, NEED_MAX);
	return (excess > 0 ? work / capacity * excess / cpu
			   : excess / capacity * mean);
}

void
cc_observe(struct cc *c, const char *service, const struct cc_fleet *f)
{
	struct service *s = service_of(c, service);
	uint64_t now = ck_mono_ms(c->clock);
	double before = s->seen_wait_ms, elapsed, weight;

	s->capacity = clamp_number(f->capacity, 0, NEED_MAX);
	s->slack_ms = clamp_number(f->slack_ms, SLACK_MIN_MS, NEED_MAX);
	s->wait_ms = waiting_ms(f);
	s->seen_wait_ms = s->wait_ms;
	if (s->seen && now > s->seen_ms) {
		elapsed = (double)(now - s->seen_ms);
		weight = 1 - exp(-elapsed / AGE_MS);
		s->trend += ((fmax(s->wait_ms, 0) - fmax(before, 0)) / elapsed -
				s->trend) *
		    weight;
		s->mean_wait_ms +=
		    (fmax(s->wait_ms, 0) - s->mean_wait_ms) * weight;
	}
	s->seen_ms = now;
	s->seen = true;
	update_contention(s, now);
}

bool
cc_is_stale(
    const struct cc *c, const char *service, uint64_t now_ms, unsigned age_ms)
{
	const struct service *s = service_of(c, service);

	return (
	    !s->seen || now_ms < s->seen_ms || now_ms - s->seen_ms >= age_ms);
}

bool
cc_is_contended(const struct cc *c, const char *service)
{
	return (service_of(c, service)->contended);
}

static double
need_arrived(const struct service *s)
{
	double sum = 0;
	unsigned i;

	for (i = 0; i < BINS; i++)
		sum += s->need_by_value[i];
	return (sum);
}

/*
 * Share of the need of all arrivals that fits. Waiting work lowers it at once
 * by a little, so that a short burst is let in, and by more when it has lasted.
 * It depends on the reports of the fleet only, so it is about the same at all
 * entries, whatever arrives at each.
 */
static double
fitting_share(const struct service *s)
{
	double wait = fmax(s->wait_ms, 0) / RANGE_SHARE +
	    s->mean_wait_ms / LASTING_RANGE_SHARE;

	return (clamp_number(1 - wait / s->slack_ms, 0, 1));
}

/* --- price --- */

/* Of the share of the need that fits, the part that is admitted by value:
 * floors admit FLOOR of the rest. */
static double
share_by_value(const struct service *s)
{
	double floor = FLOOR * share_of(&s->jobs);

	return (fmax((fitting_share(s) - floor) / (1 - floor), 0));
}

/* Position of a job in the order of values, in bins. Within a bin the order is
 * by id: jobs of equal values are not all admitted or all turned away. */
static double
position_of(const struct cc_job *job)
{
	return (value_bin(job) + id_fraction(job));
}

/* Lowest position at which the arrivals fit; BINS if none does. */
static double
price_position(const struct service *s)
{
	double limit = need_arrived(s) * share_by_value(s), above = 0;
	unsigned i;

	for (i = BINS; i > 0; i--) {
		if (above + s->need_by_value[i - 1] > limit)
			return (i - (limit - above) / s->need_by_value[i - 1]);
		above += s->need_by_value[i - 1];
	}
	return (0);
}

static double
price_at(double position)
{
	return (position <= 0
		? 0
		: exp2(VALUE_EXPONENT_MIN + position / BINS_PER_OCTAVE));
}

double
cc_price(const struct cc *c)
{
	double price = 0;
	struct service *s;
	GHashTableIter it;

	g_hash_table_iter_init(&it, c->services);
	while (g_hash_table_iter_next(&it, NULL, (void **)&s))
		if (s->contended)
			price = fmax(price, price_at(price_position(s)));
	return (price);
}

/* --- decisions --- */

void
cc_arrived(struct cc *c, const struct cc_job *job)
{
	struct service *s = service_of(c, job->service);
	struct queue *q = queue_of(c, job->queue);
	uint64_t now = ck_mono_ms(c->clock);

	age_service(s, now);
	age_queue(q, now);
	learn_size(q, job);
	add_credit(&q->credit, FLOOR * share_of(&s->jobs));
	add_class_credits(q, job, FLOOR * share_of(&q->jobs));
	s->jobs.arrived++;
	q->jobs.arrived++;
	s->need_by_value[value_bin(job)] += need_of(job);
}

/* Waiting work at which the price is the value of a job, see fitting_share().
 */
static double
wait_at_value(const struct service *s, const struct cc_job *job)
{
	double floor = FLOOR * share_of(&s->jobs), above = 0, fitting;
	double total = need_arrived(s);
	unsigned i;

	if (total <= 0)
		return (0);
	for (i = value_bin(job); i < BINS; i++)
		above += s->need_by_value[i];
	fitting = floor + (1 - floor) * above / total;
	return ((1 - fitting) * s->slack_ms /
	    (1 / RANGE_SHARE + 1 / LASTING_RANGE_SHARE));
}

/*
 * Time until the price is expected to fall below the value of a job. While the
 * waiting work shrinks, it goes on at that rate; else the contention is
 * expected to last as long again as it has lasted.
 */
static double
price_falls_ms(
    const struct cc *c, const struct service *s, const struct cc_job *job)
{
	uint64_t now = ck_mono_ms(c->clock);

	if (s->trend < 0)
		return (
		    fmax(s->wait_ms - wait_at_value(s, job), 0) / -s->trend);
	return (now > s->since_ms ? (double)(now - s->since_ms) : 0);
}

/* Spreads retries over an interval as long as the time until it begins. */
static unsigned
retry_ms(const struct cc_job *job, double falls_ms)
{
	double ms = clamp_number(falls_ms, RETRY_MIN_MS, RETRY_MAX_MS);

	return ((unsigned)(ms + id_fraction(job) * ms));
}

struct cc_verdict
cc_decide(const struct cc *c, const struct cc_job *job)
{
	const struct service *s = service_of(c, job->service);
	const struct queue *q = queue_of(c, job->queue);
	struct cc_verdict v = {.cost = cost_of(job), .need = need_of(job)};
	double price, falls_ms;

	if (!s->contended || s->capacity <= 0)
		return (v);
	price = price_position(s);
	v.price = price_at(price);
	if (position_of(job) >= price)
		return (v);
	if (is_guaranteed(q, job)) {
		v.decision = CC_FLOOR;
		return (v);
	}
	falls_ms = price_falls_ms(c, s, job);
	v.retry_ms = retry_ms(job, falls_ms);
	v.decision =
	    s->trend < 0 && falls_ms < job->slack_ms ? CC_WAIT : CC_REFUSE;
	return (v);
}

/* The next report of the fleet shows the work of an admitted job 50 ms later or
 * more, so it is added here. */
void
cc_settled(struct cc *c, const struct cc_job *job, bool admitted)
{
	struct service *s = service_of(c, job->service);
	struct queue *q = queue_of(c, job->queue);

	if (!admitted)
		return;
	s->jobs.admitted++;
	q->jobs.admitted++;
	add_credit(&q->credit, -1);
	add_class_credits(q, job, -1);
	if (s->capacity > 0)
		s->wait_ms += need_of(job) * MS_PER_S / s->capacity;
}

const char *
cc_decision_name(enum cc_decision d)
{
	static const char *const names[] = {
	    "admitted", "floor", "waits", "refused"};

	return ((unsigned)d < G_N_ELEMENTS(names) ? names[d] : "invalid");
}
