#ifndef FUZZ_H
#define FUZZ_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: fz - fuzz targets
 *
 * A target defines the function that libFuzzer calls. fuzz_main.c runs it with
 * the seed inputs of the target and random mutations of them; with clang,
 * libFuzzer (`-fsanitize=fuzzer`) can take the place of fuzz_main.c.
 */

/** FZ_INPUT_MAX - maximum size of an input in bytes */
#define FZ_INPUT_MAX 65536

/** LLVMFuzzerTestOneInput() - run one input; byte 0 selects the decoder */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/** fz_decoders - number of decoders of the target, which byte 0 selects */
extern const unsigned fz_decoders;

/** fz_dictionary - texts that mutations insert, ends with NULL */
extern const char *const fz_dictionary[];

/**
 * fz_seed() - seed input of a decoder
 * @decoder: number of the decoder
 * @index: number of the seed, from 0
 * @out: buffer of FZ_INPUT_MAX bytes, set to the input without the byte that
 *     selects the decoder
 *
 * Return: size of the input in bytes, 0 if there is no such seed.
 */
size_t fz_seed(unsigned decoder, unsigned index, uint8_t *out);

#endif
