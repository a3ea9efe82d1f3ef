#!/usr/bin/env bash
# A minion crashes and starts again at its address 3.4 s later, as one of
# another kind.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"

DOWN_S=3.4
PERIOD_S=0.03
DEADLINE_MS=1500
RUN_MS=60

# start_kind I KIND CPU ID: minion of a kind beside agent I
start_kind() {
	eval "MINION_KIND=$2 start minion$4 \"$bin/minion_of_kind\" \
	    --port \$orders_$1 --agent \$beats_$1 --cpu $3 --name $4 \
	    --az z$1 --log \"$runs\""
	ready "minion$4"
}

# load FROM TO: jobs of four tasks each that need the kind a, to both entries
load() {
	local k
	for k in $(seq "$1" "$2"); do
		post $((k % 2 + 1)) "$(printf '%016x' "$k")" \
		    "run_ms=$RUN_MS cpu=6000" 6000 $RUN_MS $DEADLINE_MS 4 a \
		    >>"$tmp/answers" &
		sleep $PERIOD_S
	done
}

start_store
set_queue $DEADLINE_MS 60
prepare_entry 1
prepare_entry 2
start_entry 1 2
start_entry 2 2
for i in 1 2 3; do
	start_agent $i 2
done
start_kind 1 a 64000 m1-a
crashing=$pid
start_kind 2 a 64000 m2-a
start_kind 3 b 96000 m3-b
await_workers 1 3
await_workers 2 3

note "clients: jobs of four tasks with required_label a, one each $PERIOD_S s"
load 1 60
if [ "$trouble" = 0 ]; then
	load 61 260
else
	note "m1-a crashes"
	kill -KILL "$crashing"
	load 61 120 &
	sleep $DOWN_S
	note "m1-b starts at its address"
	start_kind 1 b 96000 m1-b
	load 121 260
fi
sleep 2
note "clients: $(sort "$tmp/answers" | uniq -c | tr '\n' ';')"
copy_runs
wrong=$(awk -F '\t' '$2 == "start" && $3 ~ /-b$/ { print $3, $5 }' "$runs")
if [ -n "$wrong" ]; then
	note "ROUTE is broken, starts at minions without the label a:" \
	    $(wc -l <<<"$wrong")
	exit 1
fi
grep -q start "$runs" || cannot_run "nothing ran"
note "ROUTE held"
