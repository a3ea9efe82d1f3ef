#ifndef LOAD_H
#define LOAD_H

#include <stdbool.h>
#include <stddef.h>

#include "model.h"

/**
 * DOC: ld - load files of the model
 *
 * A load file is TOML. Kinds of job, workers and troubles are lists of texts:
 * a word followed by NAME=VALUE words, with the fields of struct md_kind,
 * struct md_worker_group and struct md_disturbance.
 */

/**
 * ld_read() - read a load file
 * @path: file name
 * @message: set to a text with file and key on an error
 * @size: bytes at @message
 *
 * Return: whether @load was filled.
 */
bool ld_read(
    const char *path, struct md_load *load, char *message, size_t size);

/** ld_scale() - multiply all arrivals by @x */
void ld_scale(struct md_load *load, double x);

#endif
