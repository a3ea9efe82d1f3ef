#ifndef COMMAND_H
#define COMMAND_H

/**
 * DOC: cm - the command line: subcommands, their options and help
 */

/** cm_main() - run the program; returns its exit code (enum ex) */
int cm_main(int argc, char **argv);

#endif
