# Each target also works on a fresh machine, without another one before it.
BUILD ?= build
JOBS ?= $(shell nproc)
DEPS = build-essential cmake pkg-config curl clang-format clang-tidy cppcheck \
	libulfius-dev libtirpc-dev libevent-dev libjansson-dev libglib2.0-dev \
	libxxhash-dev libargtable2-dev libtomlplusplus-dev libcmocka-dev
SOURCES = $(shell git ls-files --cached --others --exclude-standard '*.c' '*.h' \
	| grep -v '^wire/pd')

.PHONY: all deps build check demo lint bench capacity generate format clean

all: build

# Installs packages only if one is missing, so that a machine that has them all
# can build without network.
deps:
	@dpkg-query -W -f='$${db:Status-Abbrev}\n' $(DEPS) 2>/dev/null \
	    | grep -c '^ii' | grep -qx $(words $(DEPS)) || { \
	    apt-get update -q && \
	    DEBIAN_FRONTEND=noninteractive apt-get install -y -q \
	    --no-install-recommends $(DEPS); }

build: deps
	@cmake -S . -B $(BUILD) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

check: build
	@cd $(BUILD) && ctest --output-on-failure -j 4 $(if $(CTEST_ARGS),'$(firstword $(CTEST_ARGS))' '$(lastword $(CTEST_ARGS))')

demo: build
	@tests/demo.sh $(BUILD)

lint: build
	@clang-format --dry-run -Werror $(SOURCES)
	@cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 \
	    --enable=warning,performance,portability -j $(JOBS) \
	    --suppressions-list=.cppcheck $(filter %.c,$(SOURCES))
	@printf '%s\n' $(filter %.c,$(SOURCES)) | xargs -P $(JOBS) -n 1 \
	    clang-tidy --quiet -p $(BUILD) 2>/dev/null

bench: build
	@bench/run.sh $(BUILD) $(BENCH)

capacity: build
	@bench/capacity.sh $(BUILD)

# Needs rpcgen (package rpcsvc-proto); the result is committed.
generate:
	cd wire && rm -f pd.h pd_xdr.c && rpcgen -C -h -o pd.h pd.x && \
	    rpcgen -C -c -o pd_xdr.c pd.x

format:
	@clang-format -i $(SOURCES)

clean:
	rm -rf $(BUILD)
