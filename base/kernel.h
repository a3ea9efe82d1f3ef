#ifndef KERNEL_H
#define KERNEL_H

/**
 * DOC: kn - kernel: registry of the services of a process, found by name
 *
 * A process creates one kernel, registers its services in start order, and
 * frees the kernel, which stops the services in reverse order.
 */
struct kn;

enum kn_error {
	KN_OK = 0,
	KN_EXISTS,
};

/** kn_new() - kernel without services, owned by the caller */
struct kn *kn_new(void);

/**
 * kn_free() - stop all services in reverse order of registration
 * @k: consumed; NULL is allowed
 */
void kn_free(struct kn *k);

/**
 * kn_register() - add a service
 * @k: kernel
 * @name: unique name, borrowed until kn_free()
 * @service: handle of the service
 * @stop: called with @service by kn_free(); NULL when there is nothing to stop
 *
 * Return: KN_OK, or KN_EXISTS when the name is taken.
 */
enum kn_error kn_register(
    struct kn *k, const char *name, void *service, void (*stop)(void *service));

/**
 * kn_find() - look up a service
 *
 * Return: borrowed handle, or NULL when no service has that name.
 */
void *kn_find(const struct kn *k, const char *name);

#endif
