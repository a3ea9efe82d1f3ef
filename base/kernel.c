#include <glib.h>

#include "kernel.h"

struct service {
	const char *name;
	void *handle;
	void (*stop)(void *);
};

struct kn {
	GArray *services;
};

struct kn *
kn_new(void)
{
	struct kn *k;

	k = g_new0(struct kn, 1);
	k->services = g_array_new(FALSE, FALSE, sizeof(struct service));
	return (k);
}

void
kn_free(struct kn *k)
{
	struct service *s;
	guint i;

	if (k == NULL)
		return;
	for (i = k->services->len; i > 0; i--) {
		s = &g_array_index(k->services, struct service, i - 1);
		if (s->stop != NULL)
			s->stop(s->handle);
	}
	g_array_free(k->services, TRUE);
	g_free(k);
}

static struct service *
service_find(const struct kn *k, const char *name)
{
	struct service *s;
	guint i;

	for (i = 0; i < k->services->len; i++) {
		s = &g_array_index(k->services, struct service, i);
		if (g_strcmp0(s->name, name) == 0)
			return (s);
	}
	return (NULL);
}

enum kn_error
kn_register(struct kn *k, const char *name, void *service, void (*stop)(void *))
{
	struct service s = {name, service, stop};

	if (service_find(k, name) != NULL)
		return (KN_EXISTS);
	g_array_append_val(k->services, s);
	return (KN_OK);
}

void *
kn_find(const struct kn *k, const char *name)
{
	const struct service *s;

	s = service_find(k, name);
	return (s != NULL ? s->handle : NULL);
}
