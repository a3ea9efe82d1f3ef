# Sourced by run.sh. Scenarios with changes, faults or overload, and the
# throughput scenario. Each starts its own cell with the learned policy.

# work RECORD FROM_MS TO_MS TEAM STATUS: run time at speed 1, in ms, of the jobs
# that arrived in a period; TEAM and STATUS are patterns.
work() {
	awk -F '\t' -v from="$2" -v to="$3" -v team="$4" -v status="$5" '
	NF == 8 && $1 / 1000 >= from && $1 / 1000 < to && $4 ~ team &&
	    $5 ~ status {
		n = split($8, run, ",")
		for (i = 1; i <= n; i++) sum += run[i]
	}
	END { print sum + 0 }' "$folder/$1.record"
}

# p99 RECORD FROM_MS TO_MS: p99 response time of the jobs that arrived, ms
p99() {
	awk -F '\t' -v from="$2" -v to="$3" 'NF == 8 && $1 / 1000 >= from &&
	    $1 / 1000 < to { print $2 / 1000 }' "$folder/$1.record" | sort -n |
	    awk '{ v[NR] = $1 } END { print v[int(NR * 0.99) + 1] }'
}

# first_ms RECORD: arrival of the first job
first_ms() {
	awk -F '\t' 'NF == 8 { printf("%.0f\n", $1 / 1000) }' \
	    "$folder/$1.record" | sort -n | head -n 1
}

# starts ENDPOINT FROM_MS TO_MS: number of task starts at an endpoint
starts() {
	awk -F '\t' -v name="$service-$1" -v from="$2" -v to="$3" \
	    '$2 == name && $1 >= from && $1 < to { n++ } END { print n + 0 }' \
	    "$folder/starts.log"
}

# lost RECORD: jobs without a complete answer
lost() {
	awk -F '\t' 'NF == 8 && $5 != "complete" { n++ } END { print n + 0 }' \
	    "$folder/$1.record"
}

# A zone is taken out for 20 s, at a load above the capacity of the remaining
# slots, so that these are always busy.
zone_leaves() { # WORKLOAD LOAD
	local load=$2 load_pid out in remaining back
	start_cell "$1" learned
	load zone --seed "$SEED" --rate "$(rate $load)" --duration 34 \
	    --deadline-ms 60000 &
	load_pid=$!
	all_pids+=("$load_pid")
	sleep 6
	out=$(now_ms)
	operate zone out "${azs[1]}" >/dev/null || fail "zone out failed"
	sleep 20
	in=$(now_ms)
	operate zone in "${azs[1]}" >/dev/null || fail "zone in failed"
	wait "$load_pid"
	remaining=$(busy zone "$out" "$in" 1)
	back=$(busy zone $((in + 2000)) $((in + 5000)) -1)
	figure zone_steady_work "$(busy zone $((out - 3000)) "$out" -1)" share \
	    $load product
	figure zone_out_work "$remaining" share $load product
	figure zone_back_work "$back" share $load product
	figure zone_lost "$(lost zone)" jobs $load product
	verdict zone_out_work "$remaining" 0.97 $load min
	verdict zone_back_work "$back" 0.97 $load min
	verdict zone_lost "$(lost zone)" 0 $load
	end_cell
}

# Counts refusals that come neither within 50 ms of the arrival nor within 50 ms
# of the time from which the longest task cannot end before the deadline, even on
# the fastest slot.
late_refusals() { # RECORD DEADLINE_MS
	awk -F '\t' -v deadline="$2" -v speeds="$SPEEDS" '
	BEGIN {
		k = split(speeds, s, ",")
		for (i = 1; i <= k; i++)
			if (s[i] > fastest) fastest = s[i]
	}
	NF == 8 && $5 == "refused" {
		n = split($8, run, ",")
		longest = 0
		for (i = 1; i <= n; i++)
			if (run[i] + 0 > longest) longest = run[i]
		if ($2 / 1000 > 50 && $2 / 1000 > deadline - longest / fastest + 50)
			late++
	}
	END { print late + 0 }' "$folder/$1.record"
}

# Counts refused jobs of which a task started, according to the start log.
untrue_refusals() { # RECORD
	awk -F '\t' 'FNR == NR { if ($5 == "refused") refused[$3] = 1; next }
	$3 in refused && !seen[$3]++ { n++ } END { print n + 0 }' \
	    "$folder/$1.record" "$folder/starts.log"
}

print_refusals() { # RECORD DEADLINE_MS LOAD
	awk -F '\t' 'NF == 8 { n[$5 "_" $6]++ }
	    END { for (k in n) print k, n[k] }' "$folder/$1.record" |
	    sort >"$folder/states"
	while read -r state n; do
		figure "overload_$state" "$n" jobs "$3" product
	done <"$folder/states"
	awk -F '\t' 'NF == 8 && $5 == "refused" { print $2 / 1000 }' \
	    "$folder/$1.record" | sort -n |
	    awk '{ v[NR] = $1 } END { print v[int(NR / 2) + 1], v[NR] }' \
	    >"$folder/refused"
	read -r p50 max <"$folder/refused"
	figure refusal_median "${p50:-0}" ms "$3" product
	figure refusal_max "${max:-0}" ms "$3" product
	figure refusals_late "$(late_refusals "$1" "$2")" jobs "$3" product
	verdict refusals_late "$(late_refusals "$1" "$2")" 0 "$3"
	verdict refusals_untrue "$(untrue_refusals "$1")" 0 "$3"
}

# Load of twice the capacity. Team tins offers 0.4 of it, less than its share of
# one half, and must be served in full; team lids offers 1.6.
overload() { # WORKLOAD
	local load=2.0 deadline=5000 pids from to done tins
	start_cell "$1" learned
	load lids --seed "$SEED" --rate "$(rate 1.6)" --duration 13 \
	    --deadline-ms $deadline --team lids &
	pids=($!)
	load tins --seed $((SEED + 1)) --rate "$(rate 0.4)" --duration 13 \
	    --deadline-ms $deadline --team tins &
	pids+=($!)
	all_pids+=("${pids[@]}")
	wait "${pids[@]}"
	cat "$folder/lids.record" "$folder/tins.record" >"$folder/all.record"
	awk -F '\t' '$5 == "complete"' "$folder/all.record" \
	    >"$folder/complete.record"
	from=$(($(first_ms all) + 3000)) to=$(($(first_ms all) + 13000))
	done=$(busy complete $from $to -1)
	figure overload_started_work "$(busy all $from $to -1)" share $load \
	    product
	figure overload_completed_work "$done" share $load product
	verdict overload_completed_work "$done" 0.95 $load min
	tins=$(ratio "$(work tins $from $to . complete)" \
	    "$(work tins $from $to . .)")
	figure overload_small_team "$tins" share $load product
	verdict overload_small_team "$tins" 0.95 $load min
	print_refusals all $deadline $load
	end_cell
}

# The fastest endpoint fails every task for 4.5 s.
failing() { # WORKLOAD
	local load=0.5 load_pid from to back
	start_cell "$1" learned
	load fails --seed "$SEED" --rate "$(rate $load)" --duration 20 &
	load_pid=$!
	all_pids+=("$load_pid")
	sleep 4
	from=$(now_ms)
	control 11 fail=1
	sleep 4.5
	to=$(now_ms)
	control 11 fail=0
	wait "$load_pid"
	# The endpoint is ejected; the first probe follows 1 s later.
	figure failing_starts "$(starts 11 "$from" $((from + 950)))" tasks \
	    $load product
	verdict failing_starts "$(starts 11 "$from" $((from + 950)))" 10 $load
	figure failing_probes "$(starts 11 $((from + 950)) "$to")" tasks $load \
	    product
	figure failing_lost "$(lost fails)" jobs $load product
	# The endpoint is back with its tenth start, more than probes make up.
	back=$(awk -F '\t' -v name="$service-11" -v from="$to" '
	    $2 == name && $1 >= from && ++n == 10 { print ($1 - from) / 1000 }' \
	    "$folder/starts.log")
	figure failing_back "${back:-never}" s $load product
	verdict failing_back "${back:-999}" 30 $load
	end_cell
}

# The fastest endpoint becomes ten times slower. Its fair share of the work is
# its share of the new capacity, divided by the load on that capacity.
slows() { # WORKLOAD
	local load=0.7 load_pid at share bound
	start_cell "$1" learned
	load slow --seed "$SEED" --rate "$(rate $load)" --duration 16 &
	load_pid=$!
	all_pids+=("$load_pid")
	sleep 7
	at=$(now_ms)
	control 11 speed=0.3
	wait "$load_pid"
	share() { # FROM_MS TO_MS
		awk -F '\t' -v from="$1" -v to="$2" -v name="$service-11" '
		FNR == NR { if (NF == 8) runs[$3] = $8; next }
		$1 >= from && $1 < to && ($3 in runs) {
			split(runs[$3], run, ",")
			all += run[$4 + 1]
			if ($2 == name) own += run[$4 + 1]
		}
		END { printf("%.4f", own / all) }' "$folder/slow.record" \
		    "$folder/starts.log"
	}
	bound=$(awk -v speeds="$SPEEDS" -v load=$load 'BEGIN {
		k = split(speeds, s, ",")
		for (i = 1; i <= k; i++) sum += s[i]
		printf("%.4f", 0.3 / (load * sum)) }')
	figure slow_share_before "$(share $((at - 3000)) "$at")" share $load \
	    product
	figure slow_share_first_2s "$(share "$at" $((at + 2000)))" share $load \
	    product
	share=$(share $((at + 2000)) $((at + 6000)))
	figure slow_share_after "$share" share $load product
	figure slow_p99_before "$(p99 slow $((at - 4000)) "$at")" ms $load \
	    product
	figure slow_p99_after "$(p99 slow $((at + 2000)) $((at + 6000)))" ms \
	    $load product
	verdict slow_share_after "$share" "$bound" $load
	end_cell
}

# Two runs with the same arrivals of team tins. In the second, team lids bursts
# for 1 s to 20 times its usual load of 0.1 of the capacity.
burst() { # WORKLOAD
	local load=0.5 run calm base pids
	start_cell "$1" learned
	for run in calm burst; do
		load $run --seed "$SEED" --rate "$(rate 0.4)" --duration 11 \
		    --team tins &
		pids=($!)
		load "base_$run" --seed $((SEED + 1)) --rate "$(rate 0.1)" \
		    --duration 11 --team lids &
		pids+=($!)
		all_pids+=("${pids[@]}")
		sleep 5
		[ $run = calm ] || load peak --seed $((SEED + 2)) \
		    --rate "$(rate 1.9)" --duration 1 --team lids
		wait "${pids[@]}"
	done
	base=$(first_ms calm)
	calm=$(p99 calm $((base + 5000)) $((base + 9000)))
	base=$(first_ms burst)
	burst=$(p99 burst $((base + 5000)) $((base + 9000)))
	figure burst_calm_p99 "$calm" ms $load product
	figure burst_p99 "$burst" ms $load product
	figure burst_lost "$(lost burst)" jobs $load product
	verdict burst_p99_ratio "$(ratio "$burst" "$calm")" 1.5 $load
	end_cell
}

# cpu_ticks NAME: processor time of a process, clock ticks
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/${pid_of[$1]}/stat"; }

# Prints the grants of entry 1 and the processor time of one process of each
# kind and of all processors together.
snapshot() {
	local name
	echo "grants $(entry_metric 0 pd_grants_total)"
	for name in entry-1 agent-1 endpoint-1; do
		echo "$name $(cpu_ticks "$name")"
	done
	awk '$1 == "cpu" { print "machine", $2 + $3 + $4 + $7 + $8 }' /proc/stat
}

# difference NAME BEFORE AFTER FACTOR
difference() {
	awk -v name="$1" -v factor="$4" '$1 == name { v[++n] = $2 }
	    END { printf("%.2f", (v[2] - v[1]) * factor) }' "$2" "$3"
}

# One entry runs on two processors, everything else on the others.
throughput() { # DURATION_S CLIENTS
	local nentries=1 entry_cpus=0,1 load=closed i pids=() split_endpoints=1
	local other_cpus="2-$(($(nproc) - 1))" a=$folder/a b=$folder/b n ms name
	start_cell kerandour learned --instant
	for i in 1 2; do
		load "part$i" --seed "$SEED$i" --clients $(($2 / 2)) \
		    --tasks 20 --run-ms 1 --duration "$1" &
		pids+=($!)
	done
	all_pids+=("${pids[@]}")
	sleep 2
	ms=$(now_ms)
	snapshot >"$a"
	sleep $(($1 - 3))
	snapshot >"$b"
	ms=$(($(now_ms) - ms))
	wait "${pids[@]}"
	n=$(difference grants "$a" "$b" "$(ratio 1000 $ms)")
	figure throughput "$n" starts/s $load product
	verdict throughput "$n" 20000 $load min
	# A clock tick is 10 ms.
	for name in entry-1 agent-1 endpoint-1 machine; do
		figure "cpu_$name" "$(difference $name "$a" "$b" \
		    "$(awk -v ms=$ms 'BEGIN { print 10 / ms }')")" cores \
		    $load product
	done
	for i in 1 2; do
		figure "cpu_client_$i" "$(awk '/^# cpu_share/ { print $3 }' \
		    "$folder/part$i.record")" cores $load product
	done
	n=$(entry_metric 0 pd_submissions_remembered)
	figure remembered "$n" submissions $load product
	verdict remembered "$n" 10000 $load min
	n=$(rss_mb entry-1)
	figure entry_memory "$n" MB $load product
	verdict entry_memory "$n" 128 $load
	agent_memory $load
	end_cell
}
