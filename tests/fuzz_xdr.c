#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"
#include "pd.h"

/*
 * Fuzz target of the decoders of the messages between processes. A message that
 * is accepted must encode to bytes that decode to the same message.
 */

struct decoder {
	xdrproc_t proc;
	size_t size;
	const void *seed;
};

#define ID                                                                     \
	{                                                                      \
		.id = (char *)"order-17", .created_ms = 1767225600000          \
	}
#define KEY                                                                    \
	{                                                                      \
		.sub = ID, .task = 3, .attempt = 1                             \
	}
#define LIST(field, array)                                                     \
	{                                                                      \
		.field##_len = sizeof(array) / sizeof((array)[0]),             \
		.field##_val = (array)                                         \
	}

static char text[] = "task body";
static u_quad_t numbers[] = {1, 0xffffffffffffffffULL};
static pd_key keys[] = {KEY, KEY};
static pd_grant grants[] = {{
    .key = KEY,
    .view = 5,
    .incarnation = 77,
    .ntasks = 2,
    .size_ms = 100,
    .timeout_ms = 30000,
    .team = (char *)"lids",
    .body = LIST(body, text),
}};
static pd_record records[] = {{
    .key = KEY,
    .state = PD_DONE,
    .reason = PD_R_NONE,
    .ntasks = 2,
    .body = LIST(body, text),
}};
static pd_change changes[] = {{.revision = 9, .json = LIST(json, text)}};
static pd_task tasks[] = {
    {.size_ms = 100, .body = LIST(body, text)}, {.size_ms = 1}};
static pd_result results[] = {{.body = LIST(body, text)}, {{0, NULL}}};

static const pd_hello hello = {.cell = (char *)"kerandour",
    .name = (char *)"order-desk-1",
    .incarnation = 7,
    .az = (char *)"finistere",
    .service = (char *)"order-desk",
    .worker = (char *)"worker-1",
    .slots = 8};
static const pd_hello_reply hello_reply = {
    .entry = (char *)"entry-1", .incarnation = 9};
static const pd_heartbeat heartbeat = {.clock_ms = 5, .health = PD_SUSPECT};
static const pd_permit permit = {.granted = true, .revision = 4};
static const pd_grants grant_list = {LIST(list, grants)};
static const pd_report report = {.running = 1, .list = LIST(list, records)};
static const pd_resolve resolve = {LIST(list, keys)};
static const pd_resolve_reply resolve_reply = {LIST(list, records)};
static const pd_cancel cancel = {LIST(list, keys)};
static const pd_fence fence = {.view = 3, .partitions = 0xf0};
static const pd_fence_reply fence_reply = {
    .incarnation = 1, .next = 2, .list = LIST(list, records)};
static const pd_status status = {.cell = (char *)"kerandour",
    .name = (char *)"entry-1",
    .address = (char *)"127.0.0.1:8082",
    .missing = LIST(missing, numbers)};
static const pd_changes change_list = {LIST(list, changes)};
static const pd_changes_from changes_from = {.after = 12};
static const pd_held held = {.revision = 12, .incarnation = 3};
static const pd_submit submit = {.sub = ID,
    .kind = PD_REQUEST,
    .team = (char *)"lids",
    .service = (char *)"order-desk",
    .az = (char *)"",
    .left_ms = 30000,
    .tasks = LIST(tasks, tasks)};
static const pd_answer answer = {.sub = ID,
    .status = PD_COMPLETE,
    .reason = (char *)"",
    .detail = (char *)"",
    .results = LIST(results, results)};
static const pd_lookup lookup = {.sub = ID, .cancel = true};

#define DECODER(type, value)                                                   \
	{                                                                      \
		(xdrproc_t) xdr_##type, sizeof(type), &(value)                 \
	}

static const struct decoder decoders[] = {
    DECODER(pd_hello, hello),
    DECODER(pd_hello_reply, hello_reply),
    DECODER(pd_heartbeat, heartbeat),
    DECODER(pd_permit, permit),
    DECODER(pd_grants, grant_list),
    DECODER(pd_report, report),
    DECODER(pd_resolve, resolve),
    DECODER(pd_resolve_reply, resolve_reply),
    DECODER(pd_cancel, cancel),
    DECODER(pd_fence, fence),
    DECODER(pd_fence_reply, fence_reply),
    DECODER(pd_status, status),
    DECODER(pd_changes, change_list),
    DECODER(pd_changes_from, changes_from),
    DECODER(pd_held, held),
    DECODER(pd_submit, submit),
    DECODER(pd_answer, answer),
    DECODER(pd_lookup, lookup),
};
#define NDECODERS (sizeof(decoders) / sizeof(decoders[0]))

const unsigned fz_decoders = NDECODERS;
const char *const fz_dictionary[] = {"order-17", "\xff\xff\xff\xff", NULL};

/* Returns the size of the encoding, 0 if it does not fit. */
static size_t
encode(const struct decoder *d, const void *value, uint8_t *out, size_t size)
{
	size_t n = 0;
	XDR xdr;

	xdrmem_create(&xdr, (char *)out, (u_int)size, XDR_ENCODE);
	if (d->proc(&xdr, (void *)(uintptr_t)value))
		n = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return (n);
}

static bool
decode(const struct decoder *d, void *value, const uint8_t *data, size_t size)
{
	bool ok;
	XDR xdr;

	memset(value, 0, d->size);
	xdrmem_create(&xdr, (char *)(uintptr_t)data, (u_int)size, XDR_DECODE);
	ok = d->proc(&xdr, value);
	xdr_destroy(&xdr);
	return (ok);
}

size_t
fz_seed(unsigned decoder, unsigned index, uint8_t *out)
{
	if (index > 0)
		return (0);
	return (encode(
	    &decoders[decoder], decoders[decoder].seed, out, FZ_INPUT_MAX));
}

/* Padding and booleans of the input may differ from those of an encoding, so
 * the second encoding is compared with the first one. */
static void
check_round_trip(const struct decoder *d, const void *value, size_t size)
{
	uint8_t *first = malloc(size), *second = malloc(size);
	void *copy = malloc(d->size);
	size_t n = encode(d, value, first, size);

	if (n == 0 || !decode(d, copy, first, n))
		abort();
	if (encode(d, copy, second, size) != n || memcmp(first, second, n) != 0)
		abort();
	xdr_free(d->proc, copy);
	free(copy);
	free(first);
	free(second);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const struct decoder *d;
	uint8_t *exact;
	void *value;

	if (size == 0 || data[0] >= NDECODERS)
		return (0);
	d = &decoders[data[0]];
	value = malloc(d->size);
	/* A heap copy, in which the sanitizer detects reads beyond the end. */
	exact = malloc(size);
	memcpy(exact, data + 1, size - 1);
	if (decode(d, value, exact, size - 1))
		check_round_trip(d, value, size);
	/* Also frees what a decoder allocated before it failed. */
	xdr_free(d->proc, value);
	free(exact);
	free(value);
	return (0);
}
