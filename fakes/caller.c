#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "caller.h"
#include "cleanup.h"
#include "web.h"

#define US_PER_MS 1000

/* Delay between attempts, so that a dead entry is not called in a busy loop. */
#define RETRY_DELAY_MS 50
/* The HTTP timeout exceeds the wait_ms of the request by this. */
#define HTTP_TIMEOUT_MARGIN_MS 3000
#define FETCH_WAIT_MS 200

struct ca {
	struct event_base *base;
	struct hc **entries;
	unsigned nentries;
	struct ca_options o;
	struct ta *tally;
	struct rn *rng;
	unsigned next_number;
	unsigned nopen;
};

/* One submission id with all of its attempts. */
struct submission {
	struct ca *caller;
	char id[96];
	uint64_t created_ms;
	uint64_t start_us;
	json_t *tasks;
	const char *team;
	char *status; /* of the first final answer, NULL while there is none */
	char reason[64];
	bool not_run;
	bool has_final_state;
	unsigned entry;
	unsigned attempts;
	unsigned calls_in_flight; /* HTTP requests */
	struct event *retry;
	struct event *duplicate;
	void (*done)(void *arg);
	void *arg;
};

/* One HTTP request of a submission. */
struct call {
	struct submission *submission;
	bool duplicate;
};

static void send_next(struct submission *s);

static unsigned
elapsed_ms(const struct submission *s)
{
	return ((unsigned)((wb_mono_us() - s->start_us) / US_PER_MS));
}

static void
submission_release(struct submission *s)
{
	if (!s->has_final_state || s->calls_in_flight > 0)
		return;
	event_free(s->retry);
	event_free(s->duplicate);
	json_decref(s->tasks);
	free(s->status);
	free(s);
}

/* Writes the line for a replay: arrival (wall clock) and response time in
 * microseconds, id, team, status, reason, not_run and the run time of each
 * task. */
static void
write_record(const struct submission *s, const char *name)
{
	uint64_t elapsed_us = wb_mono_us() - s->start_us;
	FILE *f = s->caller->o.record;
	const char *body, *run;
	json_t *task;
	size_t i;

	fprintf(f, "%llu\t%llu\t%s\t%s\t%s\t%s\t%d\t",
	    (unsigned long long)((uint64_t)g_get_real_time() - elapsed_us),
	    (unsigned long long)elapsed_us, s->id, s->team, name,
	    s->reason[0] != '\0' ? s->reason : "-", s->not_run);
	json_array_foreach(s->tasks, i, task)
	{
		body = json_string_value(json_object_get(task, "body"));
		run = strstr(body, "run_ms=");
		fprintf(f, "%s%lu", i > 0 ? "," : "",
		    run != NULL ? strtoul(run + 7, NULL, 10) : 0);
	}
	fputc('\n', f);
}

/* Counts and logs the final state; submission_release() frees the submission
 * after its last call. */
static void
submission_close(struct submission *s, enum ta_count state, const char *name)
{
	struct ca *c = s->caller;

	if (s->has_final_state)
		return;
	s->has_final_state = true;
	event_del(s->retry);
	event_del(s->duplicate);
	c->nopen--;
	ta_add(c->tally, state, 1);
	if (state == TA_COMPLETE)
		ta_add_time(c->tally, wb_mono_us() - s->start_us);
	if (c->o.log != NULL)
		fprintf(c->o.log, "%llu\t%s\t%llu\t%s\t%s\t%d\t%zu\t%u\t%u\n",
		    (unsigned long long)wb_wall_ms(), s->id,
		    (unsigned long long)s->created_ms, name,
		    s->reason[0] != '\0' ? s->reason : "-", s->not_run,
		    json_array_size(s->tasks), elapsed_ms(s), s->attempts);
	if (c->o.record != NULL)
		write_record(s, name);
	s->done(s->arg);
}

static bool
is_own_result(const struct submission *s, size_t i, const char *result)
{
	const char *body = json_string_value(
	    json_object_get(json_array_get(s->tasks, i), "body"));

	return (result != NULL && strncmp(result, "done:", 5) == 0 &&
	    strcmp(result + 5, body) == 0);
}

static void
check_results(const struct submission *s, const char *status, json_t *answer)
{
	json_t *results = json_object_get(answer, "results");
	size_t n = json_array_size(results);
	struct ta *t = s->caller->tally;

	if (strcmp(status, "complete") != 0) {
		if (n > 0)
			ta_add(t, TA_PARTIAL, 1);
		return;
	}
	if (n != json_array_size(s->tasks)) {
		ta_add(t, TA_PARTIAL, 1);
		return;
	}
	for (size_t i = 0; i < n; i++) {
		if (!is_own_result(
			s, i, json_string_value(json_array_get(results, i)))) {
			ta_add(t, TA_FOREIGN, 1);
			return;
		}
	}
}

static bool
is_own_answer(const struct submission *s, json_t *answer)
{
	const char *id = json_string_value(json_object_get(answer, "id"));
	json_t *created = json_object_get(answer, "created_ms");

	return (id != NULL && strcmp(id, s->id) == 0 &&
	    (uint64_t)json_integer_value(created) == s->created_ms);
}

static enum ta_count
count_of_status(const char *status)
{
	static const struct {
		const char *name;
		enum ta_count state;
	} states[] = {
	    {"complete", TA_COMPLETE},
	    {"failed", TA_FAILED},
	    {"refused", TA_REFUSED},
	    {"unknown", TA_UNKNOWN},
	};

	for (size_t i = 0; i < sizeof(states) / sizeof(states[0]); i++)
		if (strcmp(states[i].name, status) == 0)
			return (states[i].state);
	return (TA_ERRORS);
}

/* An entry that lost its connection to the owner answers "unknown" while
 * another entry may have the result; all other final answers must agree. */
static void
compare_answers(const struct submission *s, const char *status)
{
	if (strcmp(s->status, status) == 0 ||
	    strcmp(s->status, "unknown") == 0 || strcmp(status, "unknown") == 0)
		return;
	ta_add(s->caller->tally, TA_MISMATCH, 1);
	if (s->caller->o.log != NULL)
		fprintf(s->caller->o.log, "# %s: %s and %s\n", s->id, s->status,
		    status);
}

static void
on_final_answer(struct submission *s, const char *status, json_t *answer)
{
	const char *reason =
	    json_string_value(json_object_get(answer, "reason"));
	struct ta *t = s->caller->tally;

	check_results(s, status, answer);
	if (s->status != NULL) {
		compare_answers(s, status);
		return;
	}
	s->status = strdup(status);
	s->not_run = json_is_true(json_object_get(answer, "not_run"));
	g_strlcpy(s->reason, reason != NULL ? reason : "", sizeof(s->reason));
	if (strcmp(status, "refused") == 0 && !s->not_run)
		ta_add(t, TA_REFUSED_RUN, 1);
	submission_close(s, count_of_status(status), status);
}

static void
on_answer(struct submission *s, const char *text, size_t len)
{
	json_t *answer = json_loadb(text, len, 0, NULL);
	const char *status =
	    json_string_value(json_object_get(answer, "status"));

	if (status == NULL) {
		g_strlcpy(s->reason, "malformed", sizeof(s->reason));
		submission_close(s, TA_ERRORS, "error");
	} else if (!is_own_answer(s, answer)) {
		ta_add(s->caller->tally, TA_FOREIGN, 1);
		g_strlcpy(s->reason, "foreign", sizeof(s->reason));
		submission_close(s, TA_ERRORS, "error");
	} else {
		on_final_answer(s, status, answer);
	}
	json_decref(answer);
}

static void
retry_later(struct submission *s)
{
	const struct ca_options *o = &s->caller->o;

	if (elapsed_ms(s) > o->deadline_ms + o->grace_ms) {
		submission_close(s, TA_UNANSWERED, "unanswered");
		return;
	}
	wb_start_timer(s->retry, (uint64_t)RETRY_DELAY_MS * US_PER_MS);
}

static void
on_http_error(struct submission *s, int code)
{
	/* A GET of an id that no entry knows returns 404. */
	if (code == 404 || code >= 500) {
		s->entry++;
		retry_later(s);
		return;
	}
	g_snprintf(s->reason, sizeof(s->reason), "http_%d", code);
	submission_close(s, TA_ERRORS, "error");
}

static void
on_call_done(void *arg, int code, const char *text, size_t len)
{
	struct call *call = arg;
	struct submission *s = call->submission;

	s->calls_in_flight--;
	if (code == 200) {
		on_answer(s, text, len);
	} else if (!call->duplicate && !s->has_final_state) {
		if (code == 0) {
			s->entry++;
			ta_add(s->caller->tally, TA_RESUBMITTED, 1);
			retry_later(s);
		} else if (code == 202) {
			retry_later(s);
		} else {
			on_http_error(s, code);
		}
	}
	free(call);
	submission_release(s);
}

static char *
submission_json(const struct submission *s, unsigned left_ms)
{
	const struct ca_options *o = &s->caller->o;
	json_t *json = json_pack("{s:s, s:I, s:s, s:s, s:i, s:b}", "id", s->id,
	    "created_ms", (json_int_t)s->created_ms, "team", s->team, "service",
	    o->workload->service, "deadline_ms", (int)left_ms, "idempotent",
	    o->idempotent);
	char *text;

	if (o->requests)
		json_object_set(json, "task", json_array_get(s->tasks, 0));
	else
		json_object_set(json, "tasks", s->tasks);
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return (text);
}

static void
post_submission(
    struct submission *s, unsigned entry, unsigned left_ms, bool duplicate)
{
	struct ca *c = s->caller;
	struct call *call = g_new0(struct call, 1);
	autofree char *text = submission_json(s, left_ms);
	char path[128];

	g_snprintf(path, sizeof(path), "/v1/%s?wait_ms=%u",
	    c->o.requests ? "requests" : "submissions",
	    left_ms + c->o.grace_ms);
	call->submission = s;
	call->duplicate = duplicate;
	s->calls_in_flight++;
	s->attempts++;
	hc_request(c->entries[entry % c->nentries], EVHTTP_REQ_POST, path, text,
	    left_ms + c->o.grace_ms + HTTP_TIMEOUT_MARGIN_MS, on_call_done,
	    call);
}

static void
fetch_answer(struct submission *s, unsigned entry, unsigned wait_ms)
{
	struct ca *c = s->caller;
	struct call *call = g_new0(struct call, 1);
	char path[256];

	g_snprintf(path, sizeof(path),
	    "/v1/submissions/%s?created_ms=%llu&wait_ms=%u", s->id,
	    (unsigned long long)s->created_ms, wait_ms);
	call->submission = s;
	s->calls_in_flight++;
	hc_request(c->entries[entry % c->nentries], EVHTTP_REQ_GET, path, NULL,
	    wait_ms + HTTP_TIMEOUT_MARGIN_MS, on_call_done, call);
}

/* Before the deadline the submission is sent, after it the answer is
 * fetched. */
static void
send_next(struct submission *s)
{
	const struct ca_options *o = &s->caller->o;
	unsigned elapsed = elapsed_ms(s);

	if (elapsed < o->deadline_ms)
		post_submission(s, s->entry, o->deadline_ms - elapsed, false);
	else
		fetch_answer(s, s->entry, FETCH_WAIT_MS);
}

static void
on_retry(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	send_next(arg);
}

static void
on_duplicate(evutil_socket_t fd, short what, void *arg)
{
	struct submission *s = arg;
	unsigned elapsed = elapsed_ms(s);

	(void)fd;
	(void)what;
	if (elapsed >= s->caller->o.deadline_ms)
		return;
	ta_add(s->caller->tally, TA_DUPLICATES, 1);
	post_submission(
	    s, s->entry + 1, s->caller->o.deadline_ms - elapsed, true);
}

struct ca *
ca_new(struct event_base *base, struct hc **entries, unsigned nentries,
    const struct ca_options *options, struct ta *tally)
{
	struct ca *c = g_new0(struct ca, 1);

	c->base = base;
	c->entries = entries;
	c->nentries = nentries;
	c->o = *options;
	c->tally = tally;
	c->rng = rn_new(options->seed);
	return (c);
}

void
ca_free(struct ca *c)
{
	rn_free(c->rng);
	g_free(c);
}

void
ca_submit(struct ca *c, void (*done)(void *arg), void *arg)
{
	struct submission *s = g_new0(struct submission, 1);

	s->caller = c;
	s->done = done;
	s->arg = arg;
	s->created_ms = wb_wall_ms();
	s->start_us = wb_mono_us();
	g_snprintf(s->id, sizeof(s->id), "%s-%u", c->o.prefix, c->next_number);
	s->team = c->o.teams[c->next_number % c->o.nteams];
	s->entry = rn_below(c->rng, c->nentries);
	s->tasks = wl_tasks(c->o.workload, c->rng, s->id);
	s->retry = evtimer_new(c->base, on_retry, s);
	s->duplicate = evtimer_new(c->base, on_duplicate, s);
	c->next_number++;
	c->nopen++;
	ta_add(c->tally, TA_SUBMISSIONS, 1);
	ta_add(c->tally, TA_TASKS, json_array_size(s->tasks));
	if (rn_unit(c->rng) < c->o.duplicate_share)
		wb_start_timer(s->duplicate, rn_below(c->rng, 200 * US_PER_MS));
	send_next(s);
}

unsigned
ca_open(const struct ca *c)
{
	return (c->nopen);
}
