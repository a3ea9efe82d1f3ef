#include "load_fixture.h"

/* Replays heavy-tailed run times and wrong declarations. */

#define TAILS_SECONDS 20
#define TAILS_ENTRIES 13
/* Target: returned share of the grants on a quiet day (docs/hard-load.md). */
#define SHARE_RETURNED_MAX 0.02
/* Target: existing deployments are served as before, within this share. */
#define SHARE_POOLED_LOST_MAX 0.03
/* Run times on a worker that hangs are this many times longer. */
#define HANG_FACTOR 1000
/* Share of the jobs that one hanging worker of 73 may cost in 10 of 20 s: less
 * than the share of the work that it had. */
#define SHARE_HANG_LOST_MAX (0.5 / 73)

static struct md_result *
replay_tails(const char *path, unsigned entries, bool pooled)
{
	struct md_load load;
	char message[256];

	if (!ld_read(path, &load, message, sizeof(message)))
		fail_msg("%s", message);
	load.seconds = TAILS_SECONDS;
	load.entries = entries;
	load.pooled = pooled;
	return (md_run(&load));
}

/* Guards against choices by the luck of heavy-tailed run times: of equal
 * workers, all entries chose those with the luckiest estimates, and a quarter
 * of the grants was returned. */
static void
test_heavy_tails(void **state)
{
	struct md_result *individual, *pooled;
	unsigned i;

	(void)state;
	individual =
	    replay_tails(LOADS_DIR "heavy-tails.toml", TAILS_ENTRIES, false);
	pooled =
	    replay_tails(LOADS_DIR "heavy-tails.toml", TAILS_ENTRIES, true);
	assert_true(pooled->returned <= pooled->grants * SHARE_RETURNED_MAX);
	for (i = 0; i < 3; i++) {
		assert_true(md_in_time_share(&pooled->kinds[i]) >=
		    md_in_time_share(&individual->kinds[i]));
		assert_true(
		    md_served_share(&pooled->classes[i][MD_LARGEST_TENTH]) >=
		    md_served_share(&individual->classes[i][MD_LARGEST_TENTH]));
	}
	assert_int_equal(0, pooled->duplicate_runs);
	md_result_free(individual);
	md_result_free(pooled);
}

/* Guards against fast and slow workers that are taken for equal: each load with
 * them is served as well as by individual speeds. */
static void
test_pooled_unequal_workers(void **state)
{
	static const char *const loads[] = {LOADS_DIR "order-desk.toml",
	    LOADS_DIR "order-desk-bursts.toml",
	    LOADS_DIR "order-desk-evacuated.toml",
	    LOADS_DIR "order-desk-power-loss.toml",
	    LOADS_DIR "order-desk-large.toml",
	    LOADS_DIR "heavy-tails-unequal.toml"};
	struct md_result *individual, *pooled;
	struct md_load load;
	char message[256];
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(loads); i++) {
		assert_true(ld_read(loads[i], &load, message, sizeof(message)));
		individual = md_run(&load);
		load.pooled = true;
		pooled = md_run(&load);
		assert_true(md_in_time_share(&pooled->all) >=
		    md_in_time_share(&individual->all) - SHARE_POOLED_LOST_MAX);
		assert_int_equal(0, pooled->duplicate_runs);
		md_result_free(individual);
		md_result_free(pooled);
	}
}

/* Guards against a hanging worker that pooled speeds do not notice: its runs
 * must be placed again, or be given up only if their jobs have no time left. */
static void
test_pooled_hanging_worker(void **state)
{
	struct md_load load;
	struct md_result *r, *undisturbed;
	char message[256];

	(void)state;
	assert_true(ld_read(
	    LOADS_DIR "heavy-tails.toml", &load, message, sizeof(message)));
	load.seconds = TAILS_SECONDS;
	load.pooled = true;
	undisturbed = md_run(&load);
	load.ndisturbances = 1;
	load.disturbances[0] = (struct md_disturbance){.what = MD_SLOWDOWN,
	    .at_ms = TAILS_SECONDS * 500,
	    .for_ms = TAILS_SECONDS * 500,
	    .count = 1,
	    .x = HANG_FACTOR};
	r = md_run(&load);
	assert_true(r->stopped > undisturbed->stopped);
	assert_true(md_in_time_share(&r->all) >=
	    md_in_time_share(&undisturbed->all) - SHARE_HANG_LOST_MAX);
	assert_int_equal(0, r->duplicate_runs);
	md_result_free(r);
	md_result_free(undisturbed);
}

/* Share of the jobs that are completed, of SEEDS seeds. */
static double
completed_share(struct md_load *load, bool run_times)
{
	unsigned i, submitted = 0, completed = 0;
	struct md_result *r;

	load->run_times = run_times;
	for (i = 0; i < SEEDS; i++) {
		load->seed = i + 1;
		r = md_run(load);
		assert_int_equal(0, r->duplicate_runs);
		submitted += r->all.submitted;
		completed += r->all.in_time + r->all.late + r->all.too_late;
		md_result_free(r);
	}
	return ((double)completed / submitted);
}

/* Replays heavy tails at @scale times the load, with all times
 * multiplied by
 * @times. */
static void
assert_distribution_gains(double scale, double times)
{
	struct md_load load;
	char message[256];
	double mean, distribution;
	unsigned i;

	if (!ld_read(LOADS_DIR "wrong-declarations.toml", &load, message,
		sizeof(message)))
		fail_msg("%s", message);
	ld_scale(&load, scale / times);
	for (i = 0; i < load.nkinds; i++) {
		load.kinds[i].work_ms *= times;
		load.kinds[i].target_ms =
		    (unsigned)(load.kinds[i].target_ms * times);
		load.kinds[i].deadline_ms =
		    (unsigned)(load.kinds[i].deadline_ms * times);
	}
	mean = completed_share(&load, false);
	distribution = completed_share(&load, true);
	print_message(
	    "load x%.1f, times x%.1f: completed %.4f by the mean, "
	    "%.4f by the distribution\n",
	    scale, times, mean, distribution);
	assert_true(distribution >= mean);
}

/* Guards against decisions by the distribution of run times that serve
 * fewer jobs than those by the mean when workers are full, also with
 * deadlines of another length. */
static void
test_wrong_declarations(void **state)
{
	(void)state;
	assert_distribution_gains(1, 1);
	assert_distribution_gains(1.3, 1);
	assert_distribution_gains(1.3, 3.3);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_heavy_tails),
	    cmocka_unit_test(test_pooled_unequal_workers),
	    cmocka_unit_test(test_pooled_hanging_worker),
	    cmocka_unit_test(test_wrong_declarations),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
