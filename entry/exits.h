#ifndef EXITS_H
#define EXITS_H

/** enum ex - exit codes of the program */
enum ex {
	EX_DONE = 0,
	EX_FAILED = 1,
	EX_SETTINGS = 2, /* usage or settings error */
	EX_CONFLICT = 3, /* another change was made first */
	EX_PENDING = 4,  /* the change was written, but not yet accepted */
};

#endif
