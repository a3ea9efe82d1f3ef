#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

/**
 * DOC: ck - clock service
 *
 * Modules read the time from a clock handle, so that tests can use a manual
 * clock.
 */
struct ck;

/**
 * struct ck_ops - source of time
 * @mono_us: monotonic time in microseconds
 * @wall_ms: milliseconds since the Unix epoch
 */
struct ck_ops {
	uint64_t (*mono_us)(const struct ck *);
	uint64_t (*wall_ms)(const struct ck *);
};

/**
 * ck_new_system() - clock that reads the time of the operating system
 *
 * Return: owned handle, or NULL when out of memory.
 */
struct ck *ck_new_system(void);

/**
 * ck_new_manual() - clock that moves only through ck_advance_ms()
 * @mono_ms: initial monotonic time in milliseconds
 * @wall_ms: initial wall-clock time, milliseconds since the Unix epoch
 *
 * Return: owned handle, or NULL when out of memory.
 */
struct ck *ck_new_manual(uint64_t mono_ms, uint64_t wall_ms);

/** ck_free() - free a clock; @c is consumed, NULL is allowed */
void ck_free(struct ck *c);

/** ck_mono_us() - monotonic time in microseconds */
uint64_t ck_mono_us(const struct ck *c);

/** ck_mono_ms() - monotonic time in milliseconds */
uint64_t ck_mono_ms(const struct ck *c);

/** ck_wall_ms() - wall-clock time in milliseconds since the Unix epoch */
uint64_t ck_wall_ms(const struct ck *c);

/** ck_advance_ms() - advance a manual clock; no effect on a system clock */
void ck_advance_ms(struct ck *c, uint64_t ms);

/** ck_advance_us() - advance a manual clock by microseconds */
void ck_advance_us(struct ck *c, uint64_t us);

/** ck_step_wall_ms() - set only the wall clock of a manual clock by @ms */
void ck_step_wall_ms(struct ck *c, int64_t ms);

#endif
