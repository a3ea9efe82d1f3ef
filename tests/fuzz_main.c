#include <argtable2.h>
#include <fcntl.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fuzz.h"
#include "rng.h"

#define MUTATIONS_MAX 6
#define RANGE_MAX 64

static uint8_t input[FZ_INPUT_MAX + 1];
static size_t input_size;

/* Both sanitizers abort, so that on_abort() can save the input. */
const char *__asan_default_options(void);
const char *__ubsan_default_options(void);

const char *
__asan_default_options(void)
{
	return ("abort_on_error=1");
}

const char *
__ubsan_default_options(void)
{
	return ("abort_on_error=1");
}

/* Saves the input that failed; a signal handler may only use
 * async-signal-safe functions. */
static void
on_abort(int sig)
{
	int fd = open("fuzz-crash.bin", O_WRONLY | O_CREAT | O_TRUNC, 0644);

	if (fd >= 0 && write(fd, input, input_size) >= 0)
		close(fd);
	signal(sig, SIG_DFL);
	raise(sig);
}

static void
flip_bit(struct rn *rng)
{
	input[rn_below(rng, (uint32_t)input_size)] ^=
	    (uint8_t)(1U << rn_below(rng, 8));
}

/* Writes a number at a limit of lengths or types, in network byte order. */
static void
write_boundary_number(struct rn *rng)
{
	static const uint32_t numbers[] = {0, 1, 0x7fffffff, 0x80000000,
	    0xffffffff, 64, 65, 128, 129, 540, 541, 1024, 1025, 65536, 65537};
	uint32_t n = numbers[rn_below(
	    rng, (uint32_t)(sizeof(numbers) / sizeof(numbers[0])))];
	size_t at;

	if (input_size < 5)
		return;
	at = 1 + rn_below(rng, (uint32_t)(input_size - 4));
	at -= (at - 1) % 4;
	for (int i = 0; i < 4; i++)
		input[at + (size_t)i] = (uint8_t)(n >> (24 - 8 * i));
}

static void
insert(size_t at, const uint8_t *bytes, size_t n)
{
	if (input_size + n > sizeof(input))
		return;
	memmove(input + at + n, input + at, input_size - at);
	memcpy(input + at, bytes, n);
	input_size += n;
}

static void
insert_dictionary_text(struct rn *rng)
{
	uint32_t n = 0;
	const char *word;

	while (fz_dictionary[n] != NULL)
		n++;
	if (n == 0)
		return;
	word = fz_dictionary[rn_below(rng, n)];
	insert(1 + rn_below(rng, (uint32_t)input_size), (const uint8_t *)word,
	    strlen(word));
}

static void
insert_random(struct rn *rng)
{
	uint8_t bytes[8];
	size_t n = 1 + rn_below(rng, sizeof(bytes));

	for (size_t i = 0; i < n; i++)
		bytes[i] = (uint8_t)rn_below(rng, 256);
	insert(1 + rn_below(rng, (uint32_t)input_size), bytes, n);
}

static void
repeat_range(struct rn *rng)
{
	uint8_t bytes[RANGE_MAX];
	size_t from = 1 + rn_below(rng, (uint32_t)input_size);
	size_t n = rn_below(rng, RANGE_MAX);

	if (n > input_size - from)
		n = input_size - from;
	memcpy(bytes, input + from, n);
	insert(1 + rn_below(rng, (uint32_t)input_size), bytes, n);
}

static void
remove_range(struct rn *rng)
{
	size_t from = 1 + rn_below(rng, (uint32_t)input_size);
	size_t n = rn_below(rng, RANGE_MAX);

	if (n > input_size - from)
		n = input_size - from;
	memmove(input + from, input + from + n, input_size - from - n);
	input_size -= n;
}

static void
truncate_input(struct rn *rng)
{
	input_size = 1 + rn_below(rng, (uint32_t)input_size);
}

static void
mutate(struct rn *rng)
{
	static void (*const mutations[])(struct rn *) = {flip_bit, flip_bit,
	    write_boundary_number, write_boundary_number,
	    insert_dictionary_text, insert_random, repeat_range, remove_range,
	    truncate_input};
	uint32_t n = 1 + rn_below(rng, MUTATIONS_MAX);

	for (uint32_t i = 0; i < n; i++)
		mutations[rn_below(rng,
		    (uint32_t)(sizeof(mutations) / sizeof(mutations[0])))](rng);
}

static bool
load_seed(unsigned decoder, unsigned index)
{
	size_t n = fz_seed(decoder, index, input + 1);

	input[0] = (uint8_t)decoder;
	input_size = n + 1;
	return (n > 0);
}

static unsigned
run_seeds(unsigned decoder)
{
	unsigned n = 0;

	while (load_seed(decoder, n)) {
		LLVMFuzzerTestOneInput(input, input_size);
		n++;
	}
	return (n);
}

static void
run_mutations(unsigned decoder, unsigned seeds, unsigned runs, uint64_t seed)
{
	struct rn *rng = rn_new(seed + decoder);

	for (unsigned i = 0; i < runs; i++) {
		load_seed(decoder, rn_below(rng, seeds));
		mutate(rng);
		input[0] = (uint8_t)decoder;
		LLVMFuzzerTestOneInput(input, input_size);
	}
	rn_free(rng);
}

static int
run_file(const char *path)
{
	FILE *f = fopen(path, "rb");

	if (f == NULL) {
		perror(path);
		return (1);
	}
	input_size = fread(input, 1, sizeof(input), f);
	fclose(f);
	if (input_size > 0)
		LLVMFuzzerTestOneInput(input, input_size);
	return (0);
}

int
main(int argc, char **argv)
{
	struct arg_int *runs = arg_int0(
	    NULL, "runs", "N", "mutated inputs per decoder (default 2000)");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed (default 1)");
	struct arg_file *file =
	    arg_file0(NULL, NULL, "FILE", "run only this input");
	struct arg_end *end = arg_end(4);
	void *table[] = {runs, seed, file, end};

	runs->ival[0] = 2000;
	seed->ival[0] = 1;
	if (arg_parse(argc, argv, table) != 0) {
		arg_print_errors(stderr, end, argv[0]);
		return (2);
	}
	signal(SIGABRT, on_abort);
	if (file->count > 0)
		return (run_file(file->filename[0]));
	for (unsigned d = 0; d < fz_decoders; d++) {
		unsigned seeds = run_seeds(d);

		run_mutations(
		    d, seeds, (unsigned)runs->ival[0], (uint64_t)seed->ival[0]);
		printf("decoder %u: %u seeds, %d mutated inputs\n", d, seeds,
		    runs->ival[0]);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return (0);
}
