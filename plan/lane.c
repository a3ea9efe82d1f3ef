#include <glib.h>
#include <string.h>

#include "dispatch_impl.h"
#include "state.h"

/* Minimum interval between computations of the rate of a lane. */
#define RATE_INTERVAL_US 100000

static void
service_free(gpointer p)
{
	struct service *s = p;

	g_ptr_array_free(s->eps, TRUE);
	g_ptr_array_free(s->lanes, TRUE);
	g_free(s->name);
	g_free(s);
}

static void
lane_free(gpointer p)
{
	struct lane *l = p;

	g_ptr_array_free(l->eps, TRUE);
	g_free(l->refuse_detail);
	g_free(l->team);
	g_free(l->az);
	g_free(l);
}

static void
ep_release_value(gpointer p)
{
	ep_free(p);
}

void
ln_init(struct dp *d)
{
	d->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	d->service_list = g_ptr_array_new();
	d->azs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	d->lanes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, lane_free);
	d->eps = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, ep_release_value);
}

void
ln_release(struct dp *d)
{
	g_hash_table_destroy(d->lanes);
	g_hash_table_destroy(d->eps);
	g_hash_table_destroy(d->azs);
	g_ptr_array_free(d->service_list, TRUE);
	g_hash_table_destroy(d->services);
}

static struct service *
service_get(struct dp *d, const char *name)
{
	struct service *s;

	s = g_hash_table_lookup(d->services, name);
	if (s != NULL)
		return (s);
	s = g_new0(struct service, 1);
	s->name = g_strdup(name);
	s->number = d->service_list->len;
	s->eps = g_ptr_array_new();
	s->lanes = g_ptr_array_new();
	g_hash_table_insert(d->services, s->name, s);
	g_ptr_array_add(d->service_list, s);
	return (s);
}

/* Assigns an endpoint to its service; the inventory overrides the HELLO. */
static void
place_endpoint(struct dp *d, struct ep *e)
{
	const struct cs_endpoint *c;

	c = d->state != NULL ? cs_endpoint(d->state, e->name) : NULL;
	e->in_service = c != NULL &&
	    cs_endpoint_in_service(d->state, e->name) &&
	    strcmp(c->service, e->hello_service) == 0;
	if (c != NULL) {
		g_free(e->az);
		e->az = g_strdup(c->az);
	}
	ep_set_service(
	    e, service_get(d, c != NULL ? c->service : e->hello_service));
	pm_refresh_endpoint(d, e);
}

static void
count_slots(struct service *s)
{
	guint i;

	s->slots = 0;
	for (i = 0; i < s->eps->len; i++)
		s->slots += ((struct ep *)g_ptr_array_index(s->eps, i))->slots;
}

static bool
lane_allows(const struct dp *d, const struct lane *l, const struct ep *e)
{
	return (cs_endpoint(d->state, e->name) != NULL &&
	    (l->az[0] == '\0' || strcmp(l->az, e->az) == 0) &&
	    cs_allowed(d->state, l->team, l->service->name, e->az, NULL));
}

static void
lane_collect_endpoints(struct dp *d, struct lane *l)
{
	struct ep *e;
	guint i;

	g_ptr_array_set_size(l->eps, 0);
	l->rate_us = 0;
	for (i = 0; i < l->service->eps->len; i++) {
		e = g_ptr_array_index(l->service->eps, i);
		if (d->state != NULL && lane_allows(d, l, e))
			g_ptr_array_add(l->eps, &e->policy_view);
	}
}

static void
lane_set_refusal(struct lane *l, const char *reason, char *detail)
{
	g_free(l->refuse_detail);
	l->refuse_reason = reason;
	l->refuse_detail = detail;
}

/* Sets the reason to refuse jobs of a lane if no endpoint may run them. */
static void
lane_update_refusal(struct dp *d, struct lane *l)
{
	const struct cs_endpoint *const *list;
	const char *rule, *forbidding;
	bool in_az;
	size_t i, n;

	lane_set_refusal(l, NULL, NULL);
	if (cs_team(d->state, l->team) == NULL) {
		lane_set_refusal(l, "unknown_team",
		    g_strdup_printf("There is no team \"%s\".", l->team));
		return;
	}
	in_az = false;
	forbidding = NULL;
	list = cs_endpoints(d->state, &n);
	for (i = 0; i < n; i++) {
		if (strcmp(list[i]->service, l->service->name) != 0 ||
		    (l->az[0] != '\0' && strcmp(list[i]->az, l->az) != 0))
			continue;
		in_az = true;
		rule = NULL;
		if (cs_allowed(d->state, l->team, l->service->name, list[i]->az,
			&rule))
			return;
		forbidding = rule != NULL ? rule : "";
	}
	if (in_az)
		lane_set_refusal(l, "rule_forbids",
		    g_strdup_printf("Rule \"%s\" forbids team \"%s\" to use "
				    "service \"%s\".",
			forbidding, l->team, l->service->name));
	else if (l->az[0] != '\0' && l->service->known)
		lane_set_refusal(l, "no_endpoint",
		    g_strdup_printf("Service \"%s\" has no endpoint in "
				    "availability zone \"%s\".",
			l->service->name, l->az));
	else
		lane_set_refusal(l, "unknown_service",
		    g_strdup_printf(
			"There is no service \"%s\".", l->service->name));
}

/* Ends jobs that can no longer run at once, not at their deadline. */
static void
lane_withdraw_jobs(struct dp *d, struct lane *l)
{
	struct qu_job *j;

	while (
	    l->refuse_reason != NULL && (j = qu_lane_first(l->queue)) != NULL)
		oc_withdraw(d, hp_item(j, struct sb, job), l->refuse_reason,
		    g_strdup(l->refuse_detail));
}

static void
read_inventory(struct dp *d)
{
	const struct cs_endpoint *const *list;
	guint k;
	size_t i, n;

	for (k = 0; k < d->service_list->len; k++)
		((struct service *)g_ptr_array_index(d->service_list, k))
		    ->known = false;
	g_hash_table_remove_all(d->azs);
	list = cs_endpoints(d->state, &n);
	for (i = 0; i < n; i++) {
		service_get(d, list[i]->service)->known = true;
		g_hash_table_add(d->azs, g_strdup(list[i]->az));
	}
}

/*
 * An entry does not know how many tasks of a team the others run, so each uses
 * an equal part of the limit.
 */
static void
read_teams(struct dp *d)
{
	const struct cs_team *const *list;
	unsigned limit;
	size_t i, n, members;

	(void)cs_members(d->state, &members);
	list = cs_teams(d->state, &n);
	for (i = 0; i < n; i++) {
		limit = list[i]->max_running;
		if (limit > 0 && members > 1)
			limit = MAX(1, limit / (unsigned)members);
		qu_set_team(d->queue, list[i]->name, list[i]->weight, limit);
	}
}

void
ln_configure(struct dp *d)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	read_inventory(d);
	read_teams(d);
	g_hash_table_iter_init(&iter, d->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		place_endpoint(d, value);
	g_hash_table_iter_init(&iter, d->lanes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		lane_update_refusal(d, value);
		lane_collect_endpoints(d, value);
		lane_withdraw_jobs(d, value);
	}
	for (i = 0; i < d->service_list->len; i++)
		count_slots(g_ptr_array_index(d->service_list, i));
	for (i = 0; i < d->service_list->len; i++)
		pm_grant_waiting(d, g_ptr_array_index(d->service_list, i));
}

void
ln_place_endpoint(struct dp *d, struct ep *e)
{
	struct service *before;
	guint i;

	before = e->service;
	place_endpoint(d, e);
	count_slots(e->service);
	if (before == e->service)
		return;
	for (i = 0; i < e->service->lanes->len; i++)
		lane_collect_endpoints(
		    d, g_ptr_array_index(e->service->lanes, i));
	for (i = 0; before != NULL && i < before->lanes->len; i++)
		lane_collect_endpoints(d, g_ptr_array_index(before->lanes, i));
}

static struct lane *
lane_new(struct dp *d, const char *team, struct service *s, const char *az)
{
	struct lane *l;

	l = g_new0(struct lane, 1);
	l->team = g_strdup(team);
	l->az = g_strdup(az);
	l->service = s;
	l->eps = g_ptr_array_new();
	l->queue = qu_lane_new(d->queue, s->number, team, l);
	g_ptr_array_add(s->lanes, l);
	lane_update_refusal(d, l);
	lane_collect_endpoints(d, l);
	return (l);
}

/* Lanes are created only for names in the inventory, to bound their number. */
static const char *
check_names(const struct dp *d, const char *team, const struct service *s,
    const char *service, const char *az, char **detail)
{
	if (cs_team(d->state, team) == NULL) {
		*detail = g_strdup_printf("There is no team \"%s\".", team);
		return ("unknown_team");
	}
	if (s == NULL || !s->known) {
		*detail =
		    g_strdup_printf("There is no service \"%s\".", service);
		return ("unknown_service");
	}
	if (az[0] != '\0' && !g_hash_table_contains(d->azs, az)) {
		*detail = g_strdup_printf(
		    "There is no availability zone \"%s\".", az);
		return ("unknown_az");
	}
	return (NULL);
}

struct lane *
ln_get(struct dp *d, const char *team, const char *service, const char *az,
    const char **reason, char **detail)
{
	struct service *s;
	struct lane *l;
	char key[3 * PD_NAME_MAX + 3];

	*reason = NULL;
	(void)g_snprintf(key, sizeof(key), "%s\n%s\n%s", team, service, az);
	l = g_hash_table_lookup(d->lanes, key);
	if (l == NULL) {
		s = g_hash_table_lookup(d->services, service);
		*reason = check_names(d, team, s, service, az, detail);
		if (*reason != NULL)
			return (NULL);
		l = lane_new(d, team, s, az);
		g_hash_table_insert(d->lanes, g_strdup(key), l);
	}
	if (l->refuse_reason != NULL) {
		*reason = l->refuse_reason;
		*detail = g_strdup(l->refuse_detail);
		return (NULL);
	}
	return (l);
}

/* Estimated share of an endpoint's slots that this entry gets. */
static double
own_share(const struct ep *e)
{
	if (e->others_load == 0)
		return (1);
	return ((e->ngrants + 1.0) / (e->ngrants + e->others_load + 1.0));
}

static double
lane_rate(struct dp *d, struct lane *l)
{
	const struct ep *e;
	uint64_t now;
	guint i;

	now = dp_now(d);
	if (l->rate_us != 0 && now < l->rate_us + RATE_INTERVAL_US)
		return (l->rate);
	l->rate = 0;
	for (i = 0; i < l->eps->len; i++) {
		e = g_ptr_array_index(l->eps, i);
		if (e->policy_view.limit > 0 && e->health == PD_HEALTHY)
			l->rate += e->slots * own_share(e) /
			    po_run_ratio(&e->policy_view.speed, now);
	}
	l->rate_us = now;
	return (l->rate);
}

double
ln_run_time_ms(struct dp *d, struct lane *l, double work_ms)
{
	double rate;

	rate = lane_rate(d, l);
	return (rate > 0 ? work_ms / rate : work_ms);
}

double
ln_wait_ms(struct dp *d, struct lane *l, double work_ms)
{
	double rate;

	/* Without a usable endpoint the wait is unknown. */
	rate = lane_rate(d, l);
	if (rate <= 0)
		return (0);
	return (qu_work_ahead_ms(l->queue, work_ms) / rate);
}
