#ifndef SHARE_H
#define SHARE_H

/**
 * DOC: sh - share of each team in the slots and the queue of one agent
 *
 * Several entries grant to the same agent, and each of them is fair only among
 * its own submissions. The agent evens out the rest: a free slot goes to the
 * team with the fewest running tasks for its weight, and a full queue gives up
 * a grant of the team with the most queued ones.
 */
struct sh;
struct sh_team;

/** sh_new() - no teams, owned */
struct sh *sh_new(void);

/** sh_free() - free all teams; consumed, NULL is allowed */
void sh_free(struct sh *s);

/**
 * sh_queue() - a grant of a team is queued
 * @name: name of the team
 * @weight: share under contention, 0 counts as 1
 *
 * Return: borrowed team, valid until its last grant has left.
 */
struct sh_team *sh_queue(struct sh *s, const char *name, unsigned weight);

/** sh_start() - a queued grant of the team takes a slot */
void sh_start(struct sh_team *t);

/** sh_unqueue() - a queued grant leaves without a start */
void sh_unqueue(struct sh *s, struct sh_team *t);

/** sh_end() - a running task of the team ended */
void sh_end(struct sh *s, struct sh_team *t);

/** sh_next_share() - slots for the weight if one more task of it started */
double sh_next_share(const struct sh_team *t);

/** sh_queued_share() - queued grants for the weight */
double sh_queued_share(const struct sh_team *t);

#endif
