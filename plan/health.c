#include "health.h"

void
he_success(struct he *h)
{
	*h = (struct he){0};
}

bool
he_failure(struct he *h, uint64_t sub, bool task_independent, uint64_t now_ms)
{
	if (h->state == PD_EJECTED)
		return (false);
	if (h->failures++ == 0)
		h->first_sub = sub;
	if (task_independent || sub != h->first_sub)
		h->multiple_subs = true;
	h->state = PD_SUSPECT;
	if (h->failures < HE_EJECT_FAILURES || !h->multiple_subs)
		return (false);
	h->state = PD_EJECTED;
	h->probing = false;
	h->interval_ms = HE_PROBE_FIRST_MS;
	h->next_probe_ms = now_ms + h->interval_ms;
	return (true);
}

bool
he_admit(struct he *h, uint64_t now_ms)
{
	if (h->state != PD_EJECTED)
		return (true);
	if (h->probing || now_ms < h->next_probe_ms)
		return (false);
	h->probing = true;
	return (true);
}

void
he_probe_end(struct he *h, bool failed, bool ran, uint64_t now_ms)
{
	if (h->state != PD_EJECTED)
		return;
	h->probing = false;
	if (!ran)
		return;
	if (failed)
		h->interval_ms *= 2;
	if (h->interval_ms > HE_PROBE_MAX_MS)
		h->interval_ms = HE_PROBE_MAX_MS;
	h->next_probe_ms = now_ms + h->interval_ms;
}

unsigned
he_max_running(const struct he *h, unsigned slots)
{
	return (h->state == PD_SUSPECT ? 1 : slots);
}
