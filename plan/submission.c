#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "partition.h"
#include "submission.h"

struct refusal {
	uint64_t hash;
	uint64_t created_ms;
};

static uint64_t
id_hash(const struct pd_id *id)
{
	return (XXH3_64bits_withSeed(
	    id->id, strlen(id->id), id->created_ms ^ 0x9e3779b97f4a7c15ULL));
}

static guint
sub_hash(gconstpointer p)
{
	return ((guint)((const struct sb *)p)->hash);
}

static gboolean
sub_equal(gconstpointer a, gconstpointer b)
{
	const struct sb *x = a, *y = b;

	return (x->hash == y->hash && x->id.created_ms == y->id.created_ms &&
	    strcmp(x->id.id, y->id.id) == 0);
}

static guint
number_hash(gconstpointer p)
{
	uint64_t n;

	n = (uint64_t)(uintptr_t)p;
	return ((guint)(n ^ (n >> 32)));
}

static void
tasks_free(struct sb *s)
{
	uint32_t i;

	for (i = 0; s->tasks != NULL && i < s->ntasks; i++)
		g_free(s->tasks[i].result);
	g_free(s->tasks);
	s->tasks = NULL;
	g_free(s->order);
	s->order = NULL;
	g_free(s->texts);
	s->texts = NULL;
	s->team = s->service = s->az = NULL;
	if (s->requeued != NULL)
		g_array_free(s->requeued, TRUE);
	s->requeued = NULL;
}

static void
sub_free(gpointer p)
{
	struct sb *s = p;
	uint32_t i;

	tasks_free(s);
	for (i = 0; s->results != NULL && i < s->ntasks; i++)
		g_free(s->results[i].body.body_val);
	g_free(s->results);
	if (s->waiters != NULL)
		g_array_free(s->waiters, TRUE);
	g_free(s->detail);
	g_free(s->id.id);
	g_free(s);
}

void
sb_table_init(struct sb_table *t)
{
	memset(t, 0, sizeof(*t));
	t->subs = g_hash_table_new_full(sub_hash, sub_equal, sub_free, NULL);
	t->waiters = g_hash_table_new(number_hash, NULL);
	t->refused = g_hash_table_new(number_hash, NULL);
	g_queue_init(&t->refused_order);
}

void
sb_table_release(struct sb_table *t)
{
	g_hash_table_destroy(t->subs);
	g_hash_table_destroy(t->waiters);
	g_hash_table_destroy(t->refused);
	g_queue_clear_full(&t->refused_order, g_free);
}

struct sb *
sb_find(const struct sb_table *t, const struct pd_id *id)
{
	struct sb key;

	key.id = *id;
	key.hash = id_hash(id);
	return (g_hash_table_lookup(t->subs, &key));
}

struct sb *
sb_new(struct sb_table *t, const struct pd_id *id, uint32_t ntasks)
{
	struct sb *s;
	uint32_t i;

	s = g_new0(struct sb, 1);
	s->id.id = g_strdup(id->id);
	s->id.created_ms = id->created_ms;
	s->hash = id_hash(id);
	s->partition = (uint8_t)pt_partition(id);
	s->ntasks = ntasks;
	s->nwaiting = ntasks;
	s->tasks = g_new0(struct sb_task, ntasks);
	for (i = 0; i < ntasks; i++) {
		s->tasks[i].sub = s;
		s->tasks[i].index = i;
	}
	s->next = t->partitions[s->partition];
	if (s->next != NULL)
		s->next->prev = s;
	t->partitions[s->partition] = s;
	g_hash_table_add(t->subs, s);
	return (s);
}

static char *
append_text(char **at, const void *data, size_t len)
{
	char *start;

	start = *at;
	if (len > 0)
		memcpy(start, data, len);
	start[len] = '\0';
	*at += len + 1;
	return (start);
}

static int
compare_size_desc(const void *a, const void *b, void *arg)
{
	const struct sb_task *tasks = arg;
	uint32_t x, y;

	x = tasks[*(const uint16_t *)a].size_ms;
	y = tasks[*(const uint16_t *)b].size_ms;
	if (x != y)
		return (x < y ? 1 : -1);
	return (*(const uint16_t *)a - *(const uint16_t *)b);
}

void
sb_set_payload(struct sb *s, const struct pd_submit *p)
{
	const struct pd_task *from;
	struct sb_task *t;
	size_t bytes;
	char *at;
	uint32_t i;

	bytes = strlen(p->team) + strlen(p->service) + strlen(p->az) + 3;
	for (i = 0; i < s->ntasks; i++)
		bytes += p->tasks.tasks_val[i].body.body_len + 1;
	at = s->texts = g_malloc(bytes);
	s->team = append_text(&at, p->team, strlen(p->team));
	s->service = append_text(&at, p->service, strlen(p->service));
	s->az = append_text(&at, p->az, strlen(p->az));
	s->order = g_new(uint16_t, s->ntasks);
	for (i = 0; i < s->ntasks; i++) {
		from = &p->tasks.tasks_val[i];
		t = &s->tasks[i];
		t->size_ms = from->size_ms > 0 ? from->size_ms : 1;
		t->body_len = from->body.body_len;
		t->body = append_text(&at, from->body.body_val, t->body_len);
		s->order[i] = (uint16_t)i;
	}
	qsort_r(s->order, s->ntasks, sizeof(*s->order), compare_size_desc,
	    s->tasks);
	s->tail = s->ntasks;
	s->idempotent = p->kind == PD_REQUEST && p->idempotent;
	s->has_payload = true;
}

/* Chains hashes: the seed is the hash of the preceding parts. */
static uint64_t
hash_part(uint64_t before, const void *data, size_t len)
{
	return (XXH3_64bits_withSeed(data, len, before + len));
}

uint64_t
sb_body_hash(const struct pd_submit *p)
{
	const struct pd_task *t;
	uint64_t hash;
	u_int i;

	hash = (p->kind == PD_REQUEST ? 1 : 0) | (p->idempotent ? 2 : 0);
	hash = hash_part(hash, p->team, strlen(p->team));
	hash = hash_part(hash, p->service, strlen(p->service));
	hash = hash_part(hash, p->az, strlen(p->az));
	for (i = 0; i < p->tasks.tasks_len; i++) {
		t = &p->tasks.tasks_val[i];
		hash = hash_part(hash, &t->size_ms, sizeof(t->size_ms));
		hash = hash_part(hash, t->body.body_val, t->body.body_len);
	}
	return (hash | 1); /* 0 marks an unknown body */
}

void
sb_remove(struct sb_table *t, struct sb *s)
{
	guint i;

	for (i = 0; s->waiters != NULL && i < s->waiters->len; i++)
		g_hash_table_remove(t->waiters,
		    (gpointer)(uintptr_t)g_array_index(
			s->waiters, uint64_t, i));
	if (s->next != NULL)
		s->next->prev = s->prev;
	if (s->prev != NULL)
		s->prev->next = s->next;
	else
		t->partitions[s->partition] = s->next;
	g_hash_table_remove(t->subs, s);
}

void
sb_add_waiter(struct sb_table *t, struct sb *s, uint64_t waiter)
{
	if (waiter == 0)
		return;
	if (s->waiters == NULL)
		s->waiters =
		    g_array_sized_new(FALSE, FALSE, sizeof(uint64_t), 1);
	g_array_append_val(s->waiters, waiter);
	g_hash_table_insert(t->waiters, (gpointer)(uintptr_t)waiter, s);
}

void
sb_remove_waiter(struct sb_table *t, uint64_t waiter)
{
	struct sb *s;
	guint i;

	s = g_hash_table_lookup(t->waiters, (gpointer)(uintptr_t)waiter);
	if (s == NULL)
		return;
	g_hash_table_remove(t->waiters, (gpointer)(uintptr_t)waiter);
	for (i = 0; i < s->waiters->len; i++)
		if (g_array_index(s->waiters, uint64_t, i) == waiter) {
			g_array_remove_index_fast(s->waiters, i);
			return;
		}
}

void
sb_fill_answer(const struct sb *s, struct pd_answer *out)
{
	memset(out, 0, sizeof(*out));
	out->sub = s->id;
	out->status = (pd_status_code)s->status;
	out->reason = (char *)s->reason;
	out->detail = s->detail;
	out->not_run = s->not_run;
	if (s->status == PD_COMPLETE) {
		out->results.results_len = s->ntasks;
		out->results.results_val = s->results;
	}
}

static void
move_results(struct sb *s)
{
	struct sb_task *t;
	uint32_t i;

	s->results = g_new0(struct pd_result, s->ntasks);
	for (i = 0; i < s->ntasks; i++) {
		t = &s->tasks[i];
		s->results[i].body.body_len = t->result_len;
		s->results[i].body.body_val = t->result;
		t->result = NULL;
	}
}

void
sb_free_tasks(struct sb *s)
{
	if (s->tasks == NULL)
		return;
	if (s->status == PD_COMPLETE)
		move_results(s);
	tasks_free(s);
}

static void
trim_refusals(struct sb_table *t, uint64_t oldest_ms, size_t max)
{
	struct refusal *r;

	while ((r = g_queue_peek_head(&t->refused_order)) != NULL) {
		if (r->created_ms >= oldest_ms &&
		    t->refused_order.length <= max)
			return;
		if (r->created_ms >= oldest_ms &&
		    r->created_ms > t->refused_until_ms)
			t->refused_until_ms = r->created_ms;
		g_hash_table_remove(t->refused, (gpointer)(uintptr_t)r->hash);
		g_free(g_queue_pop_head(&t->refused_order));
	}
}

void
sb_remember_refusal(
    struct sb_table *t, const struct pd_id *id, uint64_t oldest_ms, size_t max)
{
	struct refusal *r;

	r = g_new(struct refusal, 1);
	r->hash = id_hash(id);
	r->created_ms = id->created_ms;
	g_hash_table_add(t->refused, (gpointer)(uintptr_t)r->hash);
	g_queue_push_tail(&t->refused_order, r);
	trim_refusals(t, oldest_ms, max);
}

bool
sb_was_refused(const struct sb_table *t, const struct pd_id *id)
{
	return (id->created_ms <= t->refused_until_ms ||
	    g_hash_table_contains(
		t->refused, (gpointer)(uintptr_t)id_hash(id)));
}
