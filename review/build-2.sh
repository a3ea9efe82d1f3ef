#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start: the
# project's own endpoint, store and relay, a client and another relay. They are
# placed in build-review-2/, which git ignores. The packages of the deploy file suffice.
set -eu
cd "$(dirname "$0")/.."

out=build-review-2
flags=$(pkg-config --cflags --libs glib-2.0 libevent jansson)
mkdir -p "$out"
for name in fake_minion fake_platform fake_relay; do
	# shellcheck disable=SC2086 # flags are words
	cc -std=gnu11 -O2 -D_GNU_SOURCE -Ibase -Ifakes -o "$out/$name" \
	    "fakes/$name.c" fakes/web.c base/fields.c $flags -largtable2 -lm
done
for name in client_2 bridge_2; do
	cc -std=gnu11 -O2 -D_GNU_SOURCE -Wall -Wextra -Werror \
	    -o "$out/$name" "review/$name.c"
done
