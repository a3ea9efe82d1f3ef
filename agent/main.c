#include <glib.h>

#include "agent.h"
#include "executor.h"
#include "log.h"
#include "options.h"

#define EXIT_USAGE 2

int
main(int argc, char **argv)
{
	struct op_settings settings;
	char *path = NULL;
	int code;

	lg_open("pimentodock-agent", LOG_INFO);
	switch (op_read(argc, argv, &settings, &path)) {
	case OP_EXECUTE:
		code = ex_run(path);
		g_free(path);
		return (code);
	case OP_CHECK:
		code = ex_check(path);
		g_free(path);
		return (code);
	case OP_HELP:
		return (0);
	case OP_BAD:
		return (EXIT_USAGE);
	case OP_RUN:
		break;
	}
	lg_open("pimentodock-agent", lg_level(settings.log_level));
	code = ag_run(&settings);
	op_release(&settings);
	return (code);
}
