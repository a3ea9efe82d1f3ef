#!/bin/bash
# Builds the stand-ins that the scripts review/11 to review/13 start, with the
# packages of deploy/system.toml only; run the build of that file first.
set -e
cd "$(dirname "$0")/.."
out=build-review-3/fakes
mkdir -p "$out"
packages="glib-2.0 libtirpc libevent libevent_pthreads jansson"
for name in fake_minion fake_platform; do
	# shellcheck disable=SC2046,SC2086
	cc -std=gnu11 -D_GNU_SOURCE -O2 -Ibase -Iwire -Ifakes \
		$(pkg-config --cflags $packages) -o "$out/$name" \
		"fakes/$name.c" fakes/web.c target/wire/libpd_wire.a \
		target/base/libpd_base.a $(pkg-config --libs $packages) \
		-largtable2 -lxxhash -lm -lpthread
done
