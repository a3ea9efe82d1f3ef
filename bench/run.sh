#!/usr/bin/env bash
# Benchmarks of the real programs with simulated endpoints on one machine.
#
# Usage: run.sh BUILD_FOLDER [quick|SCENARIO...]
#
# Prints a "figure" line per value and a "verdict" line per target. A verdict is
# also "missed" when the machine limited the run, see docs/BENCHMARKS.md. The
# exit code is 0 when everything was measured, whether met or missed.
set -u

BUILD=${1:?usage: run.sh BUILD_FOLDER [quick|SCENARIO...]}
shift
SEED=${PD_SEED:-11}
SLOTS=8
# Jobs of the first WARM_S seconds are not counted, as the entries have not
# learned the run times yet.
WARM_S=3
SPEEDS=1,0.5,2,1,0.8,1.5,1,0.25,1.2,1,3
nentries=3
entry_cpus=
other_cpus=
split_endpoints=
declare -a metrics
# shellcheck source=bench/cell.sh
. "$(dirname "$0")/cell.sh"
# shellcheck source=bench/faults.sh
. "$(dirname "$0")/faults.sh"

figure() { # NAME VALUE UNIT LOAD VARIANT
	echo "figure $1 $2 $3 workload=$workload load=$4 variant=$5 seed=$SEED"
}

# verdict NAME VALUE BOUND LOAD [min]: met when VALUE <= BOUND, or with "min"
# when VALUE >= BOUND
verdict() {
	local word
	word=$(awk -v v="$2" -v b="$3" -v min="${5:-}" 'BEGIN {
		met = v ~ /^[0-9.]+$/ && (v + 0 == b + 0 || \
		    (min != "") == (v + 0 > b + 0))
		print (met ? "met" : "missed") }')
	echo "verdict $1 $word $2 $3 workload=$workload load=$4"
}

ratio() { awk -v a="$1" -v b="$2" 'BEGIN { printf("%.3f", a / b) }'; }

# value NAME FILE: value of a "NAME VALUE" line
value() { awk -v name="$1" '$1 == name { print $2 }' "$2"; }

# count NAME LOAD: value in the output line of fake_load
count() { sed -n "s/.* $1=\([0-9.]*\).*/\1/p" "$folder/$2.load"; }

now_ms() { date +%s%3N; }

# rate SHARE: submissions per second that use this share of the capacity.
# Computed from the means of the distributions in fakes/workload.c, with run
# times truncated to whole ms.
rate() {
	local tasks=60 low=50 high=300 long=1000
	[ "$workload" = kerandour ] || { tasks=540 high=1000 long=4000; }
	awk -v share="$1" -v n="$tasks" -v a="$low" -v b="$high" -v c="$long" \
	    -v speeds="$SPEEDS" -v slots="$SLOTS" 'BEGIN {
		run = 0.98 * (b - a) / log(b / a) + 0.02 * (c - b) / log(c / b) - 0.5
		k = split(speeds, s, ",")
		for (i = 1; i <= k; i++)
			speed += s[i]
		# Mean of the truncated log-uniform number of tasks.
		for (i = 1; i <= n; i++)
			tasks += i * log((i < n ? i + 1 : n + 0.999) / i)
		tasks /= log(n + 0.999)
		printf "%.4f", share * speed * slots * 1000 / (run * tasks) }'
}

# busy RECORD FROM_MS TO_MS SKIPPED_ZONE: work done by the endpoints in a period
# as a share of the capacity of their slots, without the zone of this index (-1
# for none). Computed from the start log and the run times.
busy() {
	awk -F '\t' -v from="$2" -v to="$3" -v skip="$4" -v speeds="$SPEEDS" \
	    -v slots="$SLOTS" '
	BEGIN { k = split(speeds, s, ",") }
	FNR == NR { if (NF == 8) runs[$3] = $8; next }
	{
		e = $2; sub(/.*-/, "", e)
		if ((e - 1) % 3 == skip || !($3 in runs))
			next
		split(runs[$3], run, ",")
		a = $1; b = $1 + run[$4 + 1] / s[e]
		if (a < from) a = from
		if (b > to) b = to
		if (b > a) sum += (b - a) * s[e]
	}
	END {
		for (i = 1; i <= k; i++)
			if ((i - 1) % 3 != skip) speed += s[i]
		printf "%.3f", sum / (speed * slots * (to - from))
	}' "$folder/$1.record" "$folder/starts.log"
}

print_messages() { # BEFORE AFTER TASKS LOAD VARIANT
	local kind n
	awk 'FNR == NR { old[$1] = $2; next } { print $1, $2 - old[$1] }' \
	    "$1" "$2" | sort >"$folder/messages"
	while read -r kind n; do
		[ "$n" = 0 ] || figure "messages_$kind" "$(ratio "$n" "$3")" \
		    messages/task "$4" "$5"
	done <"$folder/messages"
	total=$(awk '{ n += $2 } END { print n }' "$folder/messages")
	total=$(ratio "$total" "$3")
	figure messages_per_task "$total" messages/task "$4" "$5"
	[ "$5" != product ] || verdict messages_per_task "$total" 2.2 "$4"
}

# response LOAD VARIANT DURATION_S: response times of the running cell
response() {
	local load=$1 variant=$2 name=response r="$folder/replay" mean p99
	message_counts >"$folder/before"
	load $name --seed "$SEED" --rate "$(rate "$load")" --duration "$3" \
	    --deadline-ms 60000
	message_counts >"$folder/after"
	"$build/bench/bench_replay" "$folder/$name.record" "$SPEEDS" "$SLOTS" \
	    "$WARM_S" >"$r" || fail "the record cannot be replayed"
	for n in mean p99; do
		figure "response_$n" "$(value $n "$r")" ms "$load" "$variant"
		figure "ideal_$n" "$(value ideal_$n "$r")" ms "$load" "$variant"
	done
	mean=$(ratio "$(value mean "$r")" "$(value ideal_mean "$r")")
	p99=$(ratio "$(value p99 "$r")" "$(value ideal_p99 "$r")")
	figure response_mean_ratio "$mean" x "$load" "$variant"
	figure response_p99_ratio "$p99" x "$load" "$variant"
	figure jobs "$(value jobs "$r")" jobs "$load" "$variant"
	figure incomplete "$(value incomplete "$r")" jobs "$load" "$variant"
	figure offered_load "$(value offered "$r")" share "$load" "$variant"
	figure client_cpu "$(value '#' <(sed 's/# cpu_share/#/' \
	    "$folder/$name.record" | grep '^#'))" cores "$load" "$variant"
	if [ "$variant" = product ]; then
		verdict response_mean "$mean" 1.05 "$load"
		verdict response_p99 "$p99" 1.00 "$load"
	fi
	print_messages "$folder/before" "$folder/after" "$(count tasks $name)" \
	    "$load" "$variant"
}

# Latency that an idle system adds to a task of 50 ms. All endpoints of this
# cell must have the speed 1, so that the run time is known.
idle() { # DURATION_S
	load idle --seed "$SEED" --clients 1 --duration "$1" --tasks 1 \
	    --run-ms 50
	awk -F '\t' 'NF == 8 { print $2 / 1000 - $8 }' "$folder/idle.record" |
	    sort -n >"$folder/added"
	local n p50 p99
	n=$(wc -l <"$folder/added")
	p50=$(sed -n "$((n / 2 + 1))p" "$folder/added")
	p99=$(sed -n "$((n * 99 / 100 + 1))p" "$folder/added")
	figure idle_samples "$n" tasks idle product
	figure idle_added_median "$p50" ms idle product
	figure idle_added_p99 "$p99" ms idle product
	verdict idle_added_median "$p50" 3 idle
	verdict idle_added_p99 "$p99" 10 idle
}

agent_memory() { # LOAD
	local i most
	most=$(for i in $(seq 11); do rss_mb "agent-$i"; echo; done | sort -n |
	    tail -n 1)
	figure agent_memory "$most" MB "$1" product
	verdict agent_memory "$most" 32 "$1"
}

responses() { # WORKLOAD DURATION_S LOAD...
	local w=$1 duration=$2 load
	shift 2
	for pair in naive:random product:learned; do
		start_cell "$w" "${pair#*:}"
		for load in "$@"; do
			response "$load" "${pair%:*}" "$duration"
		done
		[ "${pair%:*}" = naive ] || agent_memory "$1"
		end_cell
	done
}

idle_latency() { # WORKLOAD DURATION_S
	local SPEEDS=1
	start_cell "$1" learned
	idle "$2"
	end_cell
}

quick() {
	responses kerandour 13 0.7
	idle_latency kerandour 5
}

full() {
	local w
	for w in kerandour himal-sapana; do
		responses "$w" 13 0.5 0.7 0.85 0.95
	done
	idle_latency kerandour 10
	zone_leaves kerandour 0.85
	# Within 34 s the few large jobs of this workload add up to only 0.5 to
	# 0.8 of the nominal load, so that slots would be idle at 0.85.
	zone_leaves himal-sapana 1.6
	overload kerandour
	failing kerandour
	slows kerandour
	burst kerandour
	throughput 14 60
}

# All cells run on 127.0.0.1 without the network delay between zones.
echo "bench: no delay between zones, $(nproc) processors," \
    "load average $(cut -d ' ' -f 1 /proc/loadavg) at the start"
"${@:-full}"
echo "bench: load average $(cut -d ' ' -f 1 /proc/loadavg) at the end," \
    "$SECONDS s"
