#!/usr/bin/env bash
# Builds the stand-ins that the scripts start into review/stand-ins/bin. Needs
# only the packages that the build of deploy/system.toml needs.
set -eu
cd "$(dirname "$0")/.."
out=review/stand-ins/bin
mkdir -p "$out"
read -r -a flags <<<"$(pkg-config --cflags --libs libevent jansson glib-2.0)"
shared=(fakes/web.c base/fields.c)
for name in fake_platform fake_minion fake_relay; do
	cc -std=c11 -O1 -D_GNU_SOURCE -Ifakes -Ibase -o "$out/$name" \
	    "fakes/$name.c" "${shared[@]}" "${flags[@]}" -largtable2 -lm
done
# The project's minion with another label of its kind than "a".
sed 's/"labels", "a", "r1"/"labels", getenv("MINION_KIND"), "r1"/' \
    fakes/fake_minion.c >"$out/minion_of_kind.c"
grep -q 'getenv("MINION_KIND")' "$out/minion_of_kind.c"
cc -std=c11 -O1 -D_GNU_SOURCE -Ifakes -Ibase -o "$out/minion_of_kind" \
    "$out/minion_of_kind.c" "${shared[@]}" "${flags[@]}" -largtable2 -lm
