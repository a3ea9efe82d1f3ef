#ifndef LOAD_H
#define LOAD_H

#include <stdbool.h>
#include <stddef.h>

#include "model.h"

/**
 * DOC: ld - load files of the model
 *
 * A load file is TOML. The keys "kinds", "workers" and "troubles" are lists of
 * strings with NAME=VALUE words, which set the fields of struct md_kind, struct
 * md_worker_group and struct md_disturbance. In "kinds" and "troubles" the name
 * of the kind or the type of the disturbance comes first.
 */

/**
 * ld_read() - read a load file
 * @path: file name
 * @message: set to a text with file and key or row on an error
 * @size: size of @message, bytes
 *
 * Return: whether @load was filled.
 */
bool ld_read(
    const char *path, struct md_load *load, char *message, size_t size);

/** ld_scale() - multiply all arrivals by @x */
void ld_scale(struct md_load *load, double x);

#endif
