#ifndef FUZZ_H
#define FUZZ_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: fz - targets of random input
 *
 * A target has the function that libFuzzer calls. fuzz_main.c runs the seeds
 * of a target and random changes of them; with clang, `-fsanitize=fuzzer` can
 * take its place.
 */

/** FZ_INPUT_MAX - greatest input in bytes */
#define FZ_INPUT_MAX 65536

/** LLVMFuzzerTestOneInput() - run one input; byte 0 chooses the decoder */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/** fz_decoders - number of decoders of the target; byte 0 is below it */
extern const unsigned fz_decoders;

/** fz_dictionary - texts that are inserted into inputs, NULL at the end */
extern const char *const fz_dictionary[];

/**
 * fz_seed() - valid input
 * @decoder: decoder it is made for
 * @index: 0 for the first seed of the decoder
 * @out: FZ_INPUT_MAX bytes, without the byte that chooses the decoder
 *
 * Return: bytes at @out, 0 when there is no such seed.
 */
size_t fz_seed(unsigned decoder, unsigned index, uint8_t *out);

#endif
