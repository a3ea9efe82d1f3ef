#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "cell.h"
#include "member_impl.h"

#define CALL_TIMEOUT_MS 1000
#define TICK_MS 50

enum event_kind {
	EV_ARRIVE, /* at the platform or at a peer */
	EV_REPLY,
	EV_TIMEOUT,
	EV_FUNCTION,
};

enum call_kind {
	CALL_SCAN,
	CALL_INSERT,
	CALL_STATUS,
	CALL_FETCH,
	CALL_PUSH,
};

/* A call of a node; the reply or the timeout ends it, whichever is first. */
struct call {
	unsigned refs;
	enum call_kind kind;
	struct cell_node *node;
	unsigned generation;
	bool ended;
	char address[32];
	uint64_t revision; /* or the revision after which to read */
	char *json;
	GPtrArray *changes; /* of a push, or the answer */
	uint64_t first;     /* revision of the first change */
	bool ok;
	enum mb_insert_result inserted;
	struct pd_status status; /* arguments, then the answer */
	uint64_t missing[PD_MEMBERS_MAX];
	char names[2][32];
	struct pd_held held;
	GArray *revisions; /* uint64_t, of changes */
};

struct event {
	enum event_kind kind;
	uint64_t due;
	uint64_t sequence;
	struct call *call;
	struct cell_node *node; /* where it happens, NULL for the platform */
	unsigned generation;
	void (*fn)(struct cell_node *, void *);
	void *arg;
	GDestroyNotify release;
};

static void
call_unref(struct call *call)
{
	if (call == NULL || --call->refs > 0)
		return;
	g_free(call->json);
	g_ptr_array_free(call->changes, TRUE);
	g_array_free(call->revisions, TRUE);
	g_free(call);
}

static void
event_free(void *p)
{
	struct event *e = p;

	if (e->release != NULL)
		e->release(e->arg);
	call_unref(e->call);
	g_free(e);
}

static int
event_order(const void *a, const void *b, void *unused)
{
	const struct event *x = a;
	const struct event *y = b;

	(void)unused;
	if (x->due != y->due)
		return (x->due < y->due ? -1 : 1);
	return (x->sequence < y->sequence ? -1 : 1);
}

uint64_t
cell_now(const struct cell *c)
{
	return (ck_mono_ms(c->clock));
}

static struct event *
schedule_event(struct cell *c, enum event_kind kind, uint64_t delay,
    struct call *call, struct cell_node *node)
{
	struct event *e;

	e = g_new0(struct event, 1);
	e->kind = kind;
	e->due = cell_now(c) + delay;
	e->sequence = c->sequence++;
	e->call = call;
	if (call != NULL)
		call->refs++;
	e->node = node;
	e->generation = node == NULL ? 0 : node->generation;
	g_queue_insert_sorted(c->events, e, event_order, NULL);
	return (e);
}

void
cell_schedule(struct cell_node *n, uint64_t ms,
    void (*fn)(struct cell_node *n, void *arg), void *arg,
    GDestroyNotify release)
{
	struct event *e;

	e = schedule_event(n->cell, EV_FUNCTION, ms, NULL, n);
	e->fn = fn;
	e->arg = arg;
	e->release = release;
}

void
cell_violation(struct cell *c, const char *fmt, ...)
{
	va_list ap;

	if (c->violation[0] != '\0')
		return;
	va_start(ap, fmt);
	g_vsnprintf(c->violation, sizeof(c->violation), fmt, ap);
	va_end(ap);
}

static uint64_t
delay_with_jitter(struct cell *c, unsigned base)
{
	return (base + rn_below(c->rng, c->max_jitter_ms + 1));
}

static struct call *
call_new(struct cell_node *n, enum call_kind kind, const char *address)
{
	struct call *call;

	call = g_new0(struct call, 1);
	call->kind = kind;
	call->node = n;
	call->generation = n->generation;
	call->changes = g_ptr_array_new_with_free_func(g_free);
	call->revisions = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_strlcpy(call->address, address, sizeof(call->address));
	call->refs = 1;
	schedule_event(n->cell, EV_TIMEOUT, CALL_TIMEOUT_MS, call, n);
	return (call);
}

static void
call_platform(struct cell_node *n, struct call *call)
{
	struct cell *c = n->cell;

	if ((c->platform_down || n->platform_cut) && c->platform_fails_fast)
		schedule_event(c, EV_TIMEOUT, 1, call, n);
	schedule_event(c, EV_ARRIVE, delay_with_jitter(c, c->platform_delay_ms),
	    call, NULL);
	call_unref(call);
}

static void
op_scan(void *arg, uint64_t after)
{
	struct call *call;

	call = call_new(arg, CALL_SCAN, "");
	call->revision = after;
	call_platform(arg, call);
}

static void
op_insert(void *arg, uint64_t revision, const char *json)
{
	struct call *call;

	call = call_new(arg, CALL_INSERT, "");
	call->revision = revision;
	call->json = g_strdup(json);
	call_platform(arg, call);
}

static struct cell_node *
find_node(struct cell *c, const char *address)
{
	unsigned i;

	for (i = 0; i < c->count; i++) {
		if (strcmp(c->nodes[i].address, address) == 0)
			return (&c->nodes[i]);
	}
	return (NULL);
}

static void
copy_status(struct call *call, const struct pd_status *s)
{
	u_int i;

	call->status = *s;
	g_strlcpy(call->names[0], s->name, sizeof(call->names[0]));
	g_strlcpy(call->names[1], s->address, sizeof(call->names[1]));
	call->status.name = call->names[0];
	call->status.address = call->names[1];
	for (i = 0; i < s->missing.missing_len; i++)
		call->missing[i] = s->missing.missing_val[i];
	call->status.missing.missing_val = call->missing;
}

static void
copy_changes(struct call *call, const struct pd_changes *changes)
{
	const struct pd_change *ch;
	uint64_t revision;
	u_int i;

	g_ptr_array_set_size(call->changes, 0);
	g_array_set_size(call->revisions, 0);
	for (i = 0; i < changes->list.list_len; i++) {
		ch = &changes->list.list_val[i];
		revision = ch->revision;
		g_ptr_array_add(call->changes,
		    g_strndup(ch->json.json_val, ch->json.json_len));
		g_array_append_val(call->revisions, revision);
	}
}

/* The changes of a call as a message; release the list with g_free(). */
static struct pd_changes
changes_message(const struct call *call)
{
	struct pd_changes out;
	struct pd_change *ch;
	guint i;

	out.list.list_len = call->changes->len;
	out.list.list_val = g_new0(struct pd_change, call->changes->len + 1);
	for (i = 0; i < call->changes->len; i++) {
		ch = &out.list.list_val[i];
		ch->revision = g_array_index(call->revisions, uint64_t, i);
		ch->json.json_val = call->changes->pdata[i];
		ch->json.json_len = (u_int)strlen(call->changes->pdata[i]);
	}
	return (out);
}

static void
call_peer(struct cell_node *n, struct call *call)
{
	struct cell *c = n->cell;
	struct cell_node *to;

	to = find_node(c, call->address);
	if (to != NULL && !c->cut[n->index][to->index])
		schedule_event(c, EV_ARRIVE,
		    delay_with_jitter(c, c->link_delay_ms), call, to);
	call_unref(call);
}

static void
op_status(void *arg, const char *address)
{
	struct cell_node *n = arg;
	struct pd_status own;
	struct call *call;

	call = call_new(n, CALL_STATUS, address);
	mb_handle_status(n->mb, NULL, &own);
	copy_status(call, &own);
	n->statuses++;
	call_peer(n, call);
}

static void
op_fetch(void *arg, const char *address, uint64_t after)
{
	struct call *call;

	call = call_new(arg, CALL_FETCH, address);
	call->revision = after;
	call_peer(arg, call);
}

static void
op_push(void *arg, const char *address, uint64_t after)
{
	struct cell_node *n = arg;
	struct pd_changes changes;
	struct call *call;

	call = call_new(n, CALL_PUSH, address);
	mb_changes_after(n->mb, after, &changes);
	copy_changes(call, &changes);
	call_peer(n, call);
}

static void
check_state(struct cell_node *n, uint64_t revision)
{
	struct cell *c = n->cell;
	char *text, *earlier;

	if (revision <= n->last_revision)
		cell_violation(c, "%s went back from %llu to %llu", n->name,
		    (unsigned long long)n->last_revision,
		    (unsigned long long)revision);
	n->last_revision = revision;
	text = cs_snapshot(mb_state(n->mb));
	earlier = g_hash_table_lookup(c->states, &revision);
	if (earlier == NULL) {
		g_hash_table_insert(c->states,
		    g_memdup2(&revision, sizeof(revision)), g_strdup(text));
	} else if (strcmp(earlier, text) != 0) {
		cell_violation(c, "%s has another state at %llu", n->name,
		    (unsigned long long)revision);
	}
	free(text);
}

static void
op_applied(void *arg, uint64_t revision)
{
	struct cell_node *n = arg;

	check_state(n, revision);
	if (n->cell->hooks != NULL && n->cell->hooks->applied != NULL)
		n->cell->hooks->applied(n, revision);
}

static void
op_accepted(void *arg, uint64_t revision)
{
	struct cell_node *n = arg;
	struct cell *c = n->cell;
	struct cell_acceptance a, *last;

	last = c->accepts->len == 0
	    ? NULL
	    : &g_array_index(
		  c->accepts, struct cell_acceptance, c->accepts->len - 1);
	if (last == NULL || last->revision < revision) {
		a.ms = cell_now(c);
		a.revision = revision;
		g_array_append_val(c->accepts, a);
	}
	if (c->hooks != NULL && c->hooks->accepted != NULL)
		c->hooks->accepted(n, revision);
}

static void
op_confirmed(void *arg, uint64_t incarnation, uint64_t revision)
{
	struct cell_node *n = arg;

	if (n->cell->hooks != NULL && n->cell->hooks->confirmed != NULL)
		n->cell->hooks->confirmed(n, incarnation, revision);
}

static const struct mb_ops ops = {op_scan, op_insert, op_status, op_fetch,
    op_push, op_applied, op_accepted, op_confirmed};

static void
reply(struct call *call, unsigned base)
{
	struct cell *c = call->node->cell;

	/* Only the process that made the call gets the answer, not the one
	 * started after it at this node. */
	schedule_event(
	    c, EV_REPLY, delay_with_jitter(c, base), call, call->node)
	    ->generation = call->generation;
}

static void
handle_at_platform(struct cell *c, struct call *call)
{
	const char *row;
	guint i;

	if (c->platform_down || call->node->platform_cut)
		return;
	call->ok = true;
	if (call->kind == CALL_SCAN) {
		for (i = (guint)call->revision; i < c->log_rows->len; i++)
			g_ptr_array_add(
			    call->changes, g_strdup(c->log_rows->pdata[i]));
		for (i = 0; i < call->changes->len; i++) {
			uint64_t revision = call->revision + 1 + i;

			g_array_append_val(call->revisions, revision);
		}
		reply(call, c->platform_delay_ms);
		return;
	}
	call->inserted = MB_REVISION_TAKEN;
	if (call->revision == c->log_rows->len + 1) {
		g_ptr_array_add(c->log_rows, g_strdup(call->json));
		call->inserted = MB_INSERTED;
	}
	row = call->revision <= c->log_rows->len
	    ? c->log_rows->pdata[call->revision - 1]
	    : NULL;
	if (row == NULL)
		cell_violation(
		    c, "%s leaves a gap in the log", call->node->name);
	g_free(call->json);
	call->json = g_strdup(row);
	if (!c->lose_insert_answers)
		reply(call, c->platform_delay_ms);
}

static void
handle_at_peer(struct cell *c, struct call *call, struct cell_node *to)
{
	struct pd_status status;
	struct pd_changes changes;

	if (c->cut[call->node->index][to->index])
		return;
	switch (call->kind) {
	case CALL_STATUS:
		mb_handle_status(to->mb, &call->status, &status);
		copy_status(call, &status);
		break;
	case CALL_FETCH:
		mb_changes_after(to->mb, call->revision, &changes);
		copy_changes(call, &changes);
		break;
	case CALL_PUSH:
		changes = changes_message(call);
		call->held.revision = mb_receive_push(to->mb, &changes);
		call->held.incarnation = mb_incarnation(to->mb);
		g_free(changes.list.list_val);
		break;
	default:
		abort();
	}
	reply(call, c->link_delay_ms);
}

static void
finish_call(struct call *call, bool ok)
{
	struct mb *m = call->node->mb;
	struct pd_changes changes;

	if (call->ended)
		return;
	call->ended = true;
	changes = changes_message(call);
	switch (call->kind) {
	case CALL_SCAN:
		mb_scan_done(m, ok, changes.list.list_val,
		    ok ? changes.list.list_len : 0);
		break;
	case CALL_INSERT:
		mb_insert_done(m, call->revision,
		    ok ? call->inserted : MB_UNREACHABLE,
		    ok ? call->json : NULL);
		break;
	case CALL_STATUS:
		mb_status_done(m, call->address, ok ? &call->status : NULL);
		break;
	case CALL_FETCH:
		mb_fetch_done(m, call->address, ok ? &changes : NULL);
		break;
	case CALL_PUSH:
		mb_push_done(m, call->address, ok ? &call->held : NULL);
		break;
	}
	g_free(changes.list.list_val);
}

static void
handle_event(struct cell *c, struct event *e)
{
	struct call *call = e->call;
	struct cell_node *to;

	if (e->kind == EV_FUNCTION) {
		e->fn(e->node, e->arg);
		return;
	}
	if (e->kind == EV_ARRIVE && e->node == NULL) {
		handle_at_platform(c, call);
		return;
	}
	if (e->kind == EV_ARRIVE) {
		handle_at_peer(c, call, e->node);
		return;
	}
	/* An answer is lost if its link was cut in the meantime. */
	to = find_node(c, call->address);
	if (e->kind == EV_REPLY &&
	    ((to != NULL && c->cut[call->node->index][to->index]) ||
		(to == NULL && call->node->platform_cut)))
		return;
	finish_call(call, e->kind == EV_REPLY);
}

static void
dispatch(struct cell *c, struct event *e)
{
	struct cell_node *n = e->node;

	if (n != NULL && n->frozen && n->generation == e->generation) {
		g_queue_push_tail(n->deferred, e);
		return;
	}
	if (n == NULL || (n->mb != NULL && n->generation == e->generation))
		handle_event(c, e);
	event_free(e);
}

static void
check_verified_revisions(struct cell *c)
{
	const struct cell_acceptance *a;
	struct cell_node *n;
	uint64_t needed;
	unsigned i;
	guint k;

	needed = 0;
	for (k = c->accepts->len; k-- > 0;) {
		a = &g_array_index(c->accepts, struct cell_acceptance, k);
		if (a->ms + MB_VERIFICATION_MAX_AGE_MS < cell_now(c)) {
			needed = a->revision;
			break;
		}
	}
	for (i = 0; i < c->count; i++) {
		n = &c->nodes[i];
		if (n->mb == NULL || n->frozen || !mb_verified(n->mb))
			continue;
		if (cs_revision(mb_state(n->mb)) < needed)
			cell_violation(c,
			    "%s is verified at %llu with %llu, accepted is "
			    "%llu",
			    n->name, (unsigned long long)cell_now(c),
			    (unsigned long long)cs_revision(mb_state(n->mb)),
			    (unsigned long long)needed);
	}
}

static uint64_t
next_due(const struct cell *c, uint64_t limit)
{
	const struct event *e;
	uint64_t due;
	unsigned i;

	due = limit;
	e = g_queue_peek_head(c->events);
	if (e != NULL)
		due = MIN(due, e->due);
	for (i = 0; i < c->count; i++) {
		if (c->nodes[i].mb != NULL && !c->nodes[i].frozen)
			due = MIN(due, c->nodes[i].tick_due);
	}
	return (due);
}

static void
tick_nodes(struct cell *c)
{
	struct cell_node *n;
	unsigned i;

	for (i = 0; i < c->count; i++) {
		n = &c->nodes[i];
		if (n->mb == NULL || n->frozen || n->tick_due > cell_now(c))
			continue;
		n->tick_due = cell_now(c) + TICK_MS;
		mb_tick(n->mb);
	}
}

void
cell_run(struct cell *c, uint64_t ms)
{
	struct event *e;
	uint64_t end, due;

	end = cell_now(c) + ms;
	for (;;) {
		due = next_due(c, end);
		if (due > cell_now(c))
			ck_advance_ms(c->clock, due - cell_now(c));
		e = g_queue_peek_head(c->events);
		if (e != NULL && e->due <= cell_now(c))
			dispatch(c, g_queue_pop_head(c->events));
		else
			tick_nodes(c);
		check_verified_revisions(c);
		if (cell_now(c) >= end && next_due(c, end + 1) > end)
			return;
	}
}

void
cell_start(struct cell *c, unsigned node)
{
	struct cell_node *n = &c->nodes[node];
	const char *seeds[CELL_NODES];
	struct mb_identity id;
	unsigned i;

	for (i = 0; i < c->count; i++)
		seeds[i] = c->nodes[i].address;
	id.name = n->name;
	id.address = n->address;
	id.az = n->az;
	id.seeds = seeds;
	id.nseeds = c->count;
	n->generation++;
	n->last_revision = 0;
	n->frozen = false;
	n->mb = mb_new(c->clock, c->counters, rn_u64(c->rng), &id, &ops, n);
	mb_set_variant(n->mb, c->variant);
	n->tick_due = cell_now(c) + rn_below(c->rng, TICK_MS);
	if (c->hooks != NULL && c->hooks->started != NULL)
		c->hooks->started(n);
	if (c->snapshot != NULL)
		mb_load_snapshot(n->mb, c->snapshot);
}

void
cell_kill(struct cell *c, unsigned node)
{
	struct cell_node *n = &c->nodes[node];

	if (n->mb == NULL)
		return;
	if (c->hooks != NULL && c->hooks->stopped != NULL)
		c->hooks->stopped(n);
	g_queue_clear_full(n->deferred, event_free);
	mb_free(n->mb);
	n->mb = NULL;
	n->frozen = false;
	n->generation++;
}

void
cell_freeze(struct cell *c, unsigned node)
{
	if (c->nodes[node].mb != NULL)
		c->nodes[node].frozen = true;
}

void
cell_resume(struct cell *c, unsigned node)
{
	struct cell_node *n = &c->nodes[node];
	struct event *e;

	n->frozen = false;
	check_verified_revisions(c);
	while (n->mb != NULL && (e = g_queue_pop_head(n->deferred)) != NULL) {
		dispatch(c, e);
		check_verified_revisions(c);
	}
}

void
cell_set_cut(struct cell *c, unsigned a, unsigned b, bool cut)
{
	c->cut[a][b] = cut;
	c->cut[b][a] = cut;
}

void
cell_change_done(
    void *arg, enum mb_outcome outcome, uint64_t revision, const char *text)
{
	struct cell_result *r = arg;

	r->ended = true;
	r->calls++;
	r->outcome = outcome;
	r->revision = revision;
	g_strlcpy(r->text, text, sizeof(r->text));
}

void
cell_write_change(struct cell *c, unsigned node, const char *json,
    uint64_t expect, struct cell_result *result)
{
	memset(result, 0, sizeof(*result));
	mb_write_change(
	    c->nodes[node].mb, json, expect, cell_change_done, result);
}

unsigned
cell_count_ready(const struct cell *c)
{
	unsigned i, ready;

	ready = 0;
	for (i = 0; i < c->count; i++) {
		if (c->nodes[i].mb != NULL && !c->nodes[i].frozen &&
		    mb_verified(c->nodes[i].mb))
			ready++;
	}
	return (ready);
}

/* Lists all availability zones, so that they stay known when the entries in
 * them are removed. */
static const char inventory[] =
    "{\"change_id\":\"first\",\"kind\":\"inventory_put\",\"azs\":"
    "[\"finistere\",\"morbihan\",\"armor\"],\"endpoints\":["
    "{\"name\":\"e1\",\"az\":\"finistere\",\"service\":\"order-desk\"},"
    "{\"name\":\"e2\",\"az\":\"armor\",\"service\":\"order-desk\"}]}";

struct cell *
cell_new(unsigned count, uint64_t seed)
{
	static const char *const azs[] = {"finistere", "morbihan", "armor"};
	struct cell_node *n;
	struct cell *c;
	unsigned i;

	c = g_new0(struct cell, 1);
	c->clock = ck_new_manual(100000, 1767225600000);
	c->counters = ct_new();
	c->rng = rn_new(seed);
	c->count = count;
	c->log_rows = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(c->log_rows, g_strdup(inventory));
	c->platform_delay_ms = 5;
	c->link_delay_ms = 1;
	c->events = g_queue_new();
	c->states =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	c->accepts = g_array_new(FALSE, FALSE, sizeof(struct cell_acceptance));
	for (i = 0; i < count; i++) {
		n = &c->nodes[i];
		n->cell = c;
		n->index = i;
		g_snprintf(n->name, sizeof(n->name), "entry-%u", i + 1);
		g_snprintf(
		    n->address, sizeof(n->address), "127.0.0.1:%u", 8001 + i);
		n->az = azs[i % 3];
		n->deferred = g_queue_new();
	}
	return (c);
}

void
cell_free(struct cell *c)
{
	unsigned i;

	for (i = 0; i < c->count; i++) {
		cell_kill(c, i);
		g_queue_free_full(c->nodes[i].deferred, event_free);
	}
	g_queue_free_full(c->events, event_free);
	g_ptr_array_free(c->log_rows, TRUE);
	g_hash_table_destroy(c->states);
	g_array_free(c->accepts, TRUE);
	g_free(c->snapshot);
	rn_free(c->rng);
	ct_free(c->counters);
	ck_free(c->clock);
	g_free(c);
}
