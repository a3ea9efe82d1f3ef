#include "agent.h"
#include "log.h"
#include "options.h"

#define EXIT_USAGE 2

int
main(int argc, char **argv)
{
	struct op_settings settings;
	int code;

	lg_open("pimentodock-agent", LOG_INFO);
	switch (op_read(argc, argv, &settings)) {
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
