#include "trace.h"

const char *
tr_name(enum tr_kind kind)
{
	static const char *const names[] = {"taken", "granted", "no_worker",
	    "too_late", "done", "failed", "stopped", "lost", "returned",
	    "doubtful", "dropped", "restarted"};

	return (kind < TR_MAX ? names[kind] : "invalid");
}
