#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "partition.h"
#include "startlog.h"

/* Estimated overhead of the allocator and of the hash table. */
#define RECORD_OVERHEAD_BYTES 16
#define SUB_OVERHEAD_BYTES 56

TAILQ_HEAD(record_list, sl_record);

struct sl {
	uint64_t retention_ms;
	size_t bytes_max;
	GHashTable *subs;
	/* Ordered by seq; a record moves to the end when it finishes. */
	struct record_list records;
	struct sl_record *oldest_body; /* no earlier record has a body */
	uint64_t next_seq;
	uint64_t horizon;
	size_t nrecords;
	size_t bytes;
	uint64_t bodies_dropped;
	uint64_t records_dropped;
};

static guint
sub_hash(gconstpointer p)
{
	const struct sl_sub *sub = p;

	return ((guint)XXH3_64bits_withSeed(
	    sub->id.id, strlen(sub->id.id), sub->id.created_ms));
}

static gboolean
sub_equal(gconstpointer a, gconstpointer b)
{
	const struct sl_sub *x = a, *y = b;

	return (x->id.created_ms == y->id.created_ms &&
	    strcmp(x->id.id, y->id.id) == 0);
}

static void
grant_free(struct sl_grant *grant)
{
	if (grant == NULL)
		return;
	g_free(grant->body);
	g_free(grant);
}

static size_t
sub_bytes(const struct sl_sub *sub)
{
	return (sizeof(*sub) + SUB_OVERHEAD_BYTES + strlen(sub->id.id));
}

static size_t
record_bytes(const struct sl_record *r)
{
	return (sizeof(*r) + RECORD_OVERHEAD_BYTES + r->body_len);
}

static void
drop_body(struct sl *s, struct sl_record *r)
{
	s->bytes -= r->body_len;
	g_free(r->body);
	r->body = NULL;
	r->body_len = 0;
}

/* Unlinks a record and moves oldest_body on if it points there. */
static void
list_unlink(struct sl *s, struct sl_record *r)
{
	if (s->oldest_body == r)
		s->oldest_body = TAILQ_NEXT(r, link);
	TAILQ_REMOVE(&s->records, r, link);
}

static void
list_append(struct sl *s, struct sl_record *r)
{
	r->seq = ++s->next_seq;
	TAILQ_INSERT_TAIL(&s->records, r, link);
	if (s->oldest_body == NULL)
		s->oldest_body = r;
}

struct sl *
sl_new(uint64_t retention_ms, size_t bytes_max)
{
	struct sl *s;

	s = g_new0(struct sl, 1);
	s->retention_ms = retention_ms;
	s->bytes_max = bytes_max;
	s->subs = g_hash_table_new(sub_hash, sub_equal);
	TAILQ_INIT(&s->records);
	return (s);
}

void
sl_free(struct sl *s)
{
	struct sl_record *r;

	if (s == NULL)
		return;
	while ((r = TAILQ_FIRST(&s->records)) != NULL)
		sl_remove(s, r);
	g_hash_table_destroy(s->subs);
	g_free(s);
}

struct sl_sub *
sl_sub_find(const struct sl *s, const struct pd_id *id)
{
	struct sl_sub wanted = {.id = *id};

	return (g_hash_table_lookup(s->subs, &wanted));
}

struct sl_record *
sl_find(const struct sl *s, const struct pd_key *key)
{
	const struct sl_sub *sub;
	struct sl_record *r;

	sub = sl_sub_find(s, &key->sub);
	for (r = sub != NULL ? sub->first : NULL; r != NULL; r = r->sibling)
		if (r->task == key->task && r->attempt == key->attempt)
			return (r);
	return (NULL);
}

static struct sl_sub *
sub_get(struct sl *s, const struct pd_id *id)
{
	struct sl_sub *sub;

	sub = sl_sub_find(s, id);
	if (sub != NULL)
		return (sub);
	sub = g_new0(struct sl_sub, 1);
	sub->id.id = g_strdup(id->id);
	sub->id.created_ms = id->created_ms;
	sub->partition = pt_partition(id);
	g_hash_table_add(s->subs, sub);
	s->bytes += sub_bytes(sub);
	return (sub);
}

struct sl_record *
sl_add(struct sl *s, const struct pd_key *key, unsigned ntasks,
    struct sl_grant *grant, uint64_t now_ms)
{
	struct sl_record *r;

	r = g_new0(struct sl_record, 1);
	r->sub = sub_get(s, &key->sub);
	r->sibling = r->sub->first;
	r->sub->first = r;
	r->task = key->task;
	r->attempt = key->attempt;
	r->ntasks = (uint16_t)ntasks;
	r->state = PD_QUEUED;
	r->grant = grant;
	/* Only idempotent submissions of one task may start it twice. */
	r->single_attempt =
	    grant != NULL && (!grant->idempotent || ntasks != 1);
	s->nrecords++;
	s->bytes += record_bytes(r);
	list_append(s, r);
	if (grant == NULL)
		sl_finish(s, r, PD_NOT_STARTED, PD_R_VOIDED, NULL, 0, now_ms);
	return (r);
}

void
sl_finish(struct sl *s, struct sl_record *r, enum pd_task_state state,
    enum pd_reason reason, char *body, size_t body_len, uint64_t now_ms)
{
	grant_free(r->grant);
	r->grant = NULL;
	r->state = (uint8_t)state;
	r->reason = (uint8_t)reason;
	r->body = body;
	r->body_len = (uint32_t)body_len;
	r->finished_ms = now_ms;
	s->bytes += body_len;
	list_unlink(s, r);
	list_append(s, r);
}

void
sl_remove(struct sl *s, struct sl_record *r)
{
	struct sl_sub *sub = r->sub;
	struct sl_record **at;

	for (at = &sub->first; *at != r; at = &(*at)->sibling)
		continue;
	*at = r->sibling;
	s->bytes -= record_bytes(r);
	s->nrecords--;
	list_unlink(s, r);
	grant_free(r->grant);
	g_free(r->body);
	g_free(r);
	if (sub->first != NULL)
		return;
	s->bytes -= sub_bytes(sub);
	g_hash_table_remove(s->subs, sub);
	g_free(sub->id.id);
	g_free(sub);
}

static bool
is_finished(const struct sl_record *r)
{
	return (r->state != PD_QUEUED && r->state != PD_RUNNING);
}

void
sl_remove_voided(struct sl *s, uint64_t partitions)
{
	struct sl_record *r, *next;

	for (r = TAILQ_FIRST(&s->records); r != NULL; r = next) {
		next = TAILQ_NEXT(r, link);
		if (r->state == PD_NOT_STARTED &&
		    (partitions & pt_bit(r->sub->partition)) != 0)
			sl_remove(s, r);
	}
}

/* Raises the horizon, so that the task doesn't look as if it never started. */
static void
drop_record(struct sl *s, struct sl_record *r)
{
	s->horizon = MAX(s->horizon, r->sub->id.created_ms);
	sl_remove(s, r);
}

static void
drop_bodies(struct sl *s)
{
	struct sl_record *r;

	while (s->bytes > s->bytes_max && (r = s->oldest_body) != NULL) {
		if (r->body != NULL) {
			drop_body(s, r);
			r->reason = PD_R_FORGOTTEN;
			r->state = PD_OUTCOME_UNKNOWN;
			s->bodies_dropped++;
		}
		s->oldest_body = TAILQ_NEXT(r, link);
	}
}

/* Finished records are ordered by finish time; the few unfinished ones may be
 * anywhere between them. */
void
sl_expire(struct sl *s, uint64_t now_ms)
{
	struct sl_record *r, *next;

	drop_bodies(s);
	for (r = TAILQ_FIRST(&s->records); r != NULL; r = next) {
		next = TAILQ_NEXT(r, link);
		if (!is_finished(r))
			continue;
		if (now_ms - r->finished_ms <= s->retention_ms) {
			if (s->bytes <= s->bytes_max)
				break;
			s->records_dropped++;
		}
		drop_record(s, r);
	}
}

uint64_t
sl_horizon(const struct sl *s)
{
	return (s->horizon);
}

void
sl_export(const struct sl_record *r, struct pd_record *out)
{
	*out = (struct pd_record){
	    .key = {r->sub->id, r->task, r->attempt},
	    .state = (enum pd_task_state)r->state,
	    .reason = (enum pd_reason)r->reason,
	    .ntasks = r->ntasks,
	    .queue_ms = r->queue_ms,
	    .run_ms = r->run_ms,
	    .revision = r->revision,
	    .body = {r->body_len, r->body},
	};
}

uint64_t
sl_page(const struct sl *s, uint64_t partitions, uint64_t cursor,
    bool (*visit)(void *arg, const struct sl_record *r), void *arg)
{
	const struct sl_record *r;

	for (r = TAILQ_FIRST(&s->records); r != NULL; r = TAILQ_NEXT(r, link)) {
		if (r->seq < cursor || r->state == PD_NOT_STARTED ||
		    (partitions & pt_bit(r->sub->partition)) == 0)
			continue;
		if (!visit(arg, r))
			return (r->seq);
	}
	return (0);
}

struct sl_stats
sl_stats(const struct sl *s)
{
	return ((struct sl_stats){
	    s->nrecords, s->bytes, s->bodies_dropped, s->records_dropped});
}
