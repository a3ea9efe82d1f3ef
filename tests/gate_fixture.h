#ifndef GATE_FIXTURE_H
#define GATE_FIXTURE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "clock.h"
#include "counters.h"
#include "gate.h"
#include "partition.h"

/**
 * DOC: fix - fixture: a gate with a manual clock that records its callbacks
 */

#define FIX_INCARNATION 77
#define FIX_WALL_MS 1767225600000ULL
#define FIX_ALL_PARTITIONS (~0ULL)
#define FIX_EVENTS_MAX 4096

/** struct fix_report - one recorded report */
struct fix_report {
	ga_session session;
	char id[32];
	unsigned task;
	unsigned attempt;
	enum pd_task_state state;
	enum pd_reason reason;
	unsigned body_len;
};

/** struct fix_start - one recorded start */
struct fix_start {
	unsigned slot;
	char id[32];
	unsigned task;
	unsigned attempt;
	uint64_t start_by_ms;
	unsigned timeout_ms;
};

/** struct fix - gate under test and what it has reported and started */
struct fix {
	struct ck *clock;
	struct ct *counters;
	struct ga *gate;
	struct ga_settings settings;
	struct fix_report reports[FIX_EVENTS_MAX];
	size_t nreports;
	struct fix_start starts[FIX_EVENTS_MAX];
	size_t nstarts;
	uint64_t revision;
};

static inline void
fix_on_start(void *arg, const struct ga_task *task)
{
	struct fix *f = arg;
	struct fix_start *s = &f->starts[f->nstarts++ % FIX_EVENTS_MAX];

	*s = (struct fix_start){task->slot, "", task->key.task,
	    task->key.attempt, task->start_by_ms, task->timeout_ms};
	g_strlcpy(s->id, task->key.sub.id, sizeof(s->id));
	g_free(task->body);
}

static inline void
fix_on_report(void *arg, ga_session session, const struct pd_record *r)
{
	struct fix *f = arg;
	struct fix_report *to = &f->reports[f->nreports++ % FIX_EVENTS_MAX];

	*to = (struct fix_report){session, "", r->key.task, r->key.attempt,
	    r->state, r->reason, r->body.body_len};
	g_strlcpy(to->id, r->key.sub.id, sizeof(to->id));
}

static const struct ga_ops fix_ops = {fix_on_start, fix_on_report};

/** fix_new_gate() - replace the gate by a new one with the settings of @f */
static inline void
fix_new_gate(struct fix *f)
{
	ga_free(f->gate);
	f->gate = ga_new(f->clock, f->counters, &f->settings, &fix_ops, f);
}

/** fix_new() - fixture whose gate has 2 slots and a queue of 4 */
static inline struct fix *
fix_new(void)
{
	struct fix *f;

	f = g_new0(struct fix, 1);
	f->clock = ck_new_manual(100000, FIX_WALL_MS);
	f->counters = ct_new();
	f->settings = (struct ga_settings){
	    .incarnation = FIX_INCARNATION,
	    .started_ms = FIX_WALL_MS - 1000,
	    .slots = 2,
	    .queue_max = 4,
	    .retention_ms = 600000,
	    .records_bytes = 1048576,
	};
	f->revision = 1;
	fix_new_gate(f);
	return (f);
}

/** fix_free() - free a fixture; consumed */
static inline void
fix_free(struct fix *f)
{
	ga_free(f->gate);
	ct_free(f->counters);
	ck_free(f->clock);
	g_free(f);
}

/** fix_setup() - cmocka setup */
static inline int
fix_setup(void **state)
{
	*state = fix_new();
	return (0);
}

/** fix_teardown() - cmocka teardown */
static inline int
fix_teardown(void **state)
{
	fix_free(*state);
	return (0);
}

/** FIX_TEST() - cmocka test with its own fixture */
#define FIX_TEST(name)                                                         \
	cmocka_unit_test_setup_teardown(name, fix_setup, fix_teardown)

/** fix_permit_at() - give a permit that echoes a clock reading */
static inline void
fix_permit_at(struct fix *f, ga_session session, uint64_t clock_ms)
{
	const struct pd_permit p = {true, clock_ms, f->revision, 1, true};

	ga_permit(f->gate, session, &p);
}

/** fix_permit() - give a permit that echoes the current clock reading */
static inline void
fix_permit(struct fix *f, ga_session session)
{
	fix_permit_at(f, session, ck_mono_ms(f->clock));
}

/** fix_id() - id created at the start of the test clock */
static inline struct pd_id
fix_id(const char *id)
{
	return ((struct pd_id){(char *)(uintptr_t)id, FIX_WALL_MS});
}

/** fix_key() - key of attempt 0 */
static inline struct pd_key
fix_key(const char *id, unsigned task)
{
	return ((struct pd_key){fix_id(id), task, 0});
}

/** fix_make_grant() - grant of view 1, submission of 3 tasks, 60 s left */
static inline struct pd_grant
fix_make_grant(const char *id, unsigned task)
{
	static char team[] = "lids", body[] = "body";

	return ((struct pd_grant){
	    .key = fix_key(id, task),
	    .view = 1,
	    .incarnation = FIX_INCARNATION,
	    .ntasks = 3,
	    .size_ms = 100,
	    .timeout_ms = 60000,
	    .team = team,
	    .body = {4, body},
	});
}

/** fix_grant() - send a grant made by fix_make_grant() */
static inline void
fix_grant(struct fix *f, ga_session session, const char *id, unsigned task)
{
	const struct pd_grant g = fix_make_grant(id, task);

	ga_grant(f->gate, session, &g);
}

/** fix_permit_and_grant() - give a permit and grant tasks 0 to @n - 1 */
static inline void
fix_permit_and_grant(
    struct fix *f, ga_session session, const char *id, unsigned n)
{
	unsigned i;

	fix_permit(f, session);
	for (i = 0; i < n; i++)
		fix_grant(f, session, id, i);
}

/** fix_last_report() - last report */
static inline const struct fix_report *
fix_last_report(const struct fix *f)
{
	assert_true(f->nreports > 0);
	return (&f->reports[(f->nreports - 1) % FIX_EVENTS_MAX]);
}

/** fix_count_reports() - number of reports with this state and reason */
static inline unsigned
fix_count_reports(
    const struct fix *f, enum pd_task_state state, enum pd_reason reason)
{
	unsigned n = 0;
	size_t i;

	for (i = 0; i < f->nreports; i++)
		n += f->reports[i].state == state &&
		    f->reports[i].reason == reason;
	return (n);
}

/** fix_end_call() - end the call of a slot with a body of @body_len bytes */
static inline void
fix_end_call(
    struct fix *f, unsigned slot, enum ga_outcome outcome, size_t body_len)
{
	ga_call_ended(f->gate, slot, outcome,
	    body_len > 0 ? g_malloc0(body_len) : NULL, body_len);
}

/** fix_fence() - fence partitions and return the first page */
static inline struct pd_fence_reply
fix_fence(struct fix *f, ga_session session, uint64_t partitions, uint64_t view)
{
	const struct pd_fence fence = {view, partitions, 0};
	struct pd_fence_reply reply;

	ga_fence(f->gate, session, &fence, &reply);
	return (reply);
}

/** fix_resolve() - state of a key; the body is borrowed from the gate */
static inline struct pd_record
fix_resolve(struct fix *f, struct pd_key key)
{
	struct pd_record r;

	ga_resolve(f->gate, &key, &r);
	return (r);
}

#endif
