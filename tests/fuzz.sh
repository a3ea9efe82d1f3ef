#!/usr/bin/env bash
# Fuzz tests of all decoders with a fixed seed and the address and
# undefined-behaviour sanitizers: fuzz.sh BUILD_FOLDER [RUNS] [SEED]
set -eu

build=${1:?usage: fuzz.sh BUILD_FOLDER [RUNS] [SEED]}
runs=${2:-100000}
seed=${3:-20260101}
for target in fuzz_xdr fuzz_toml fuzz_codec; do
	echo "$target: $runs inputs per decoder, seed $seed"
	"$build/tests/$target" --runs "$runs" --seed "$seed"
done
