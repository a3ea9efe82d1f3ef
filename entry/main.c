#include "command.h"

int
main(int argc, char **argv)
{
	return (cm_main(argc, argv));
}
