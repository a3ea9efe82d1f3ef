#!/usr/bin/env bash
# Measures how costs grow with the size of a cell (see docs/CAPACITY.md). Prints
# each measured point, then the least-squares fit of each quantity as
# "slope NAME VALUE UNIT sizes=A,B,C".
set -u

build=${1:?usage: capacity.sh BUILD_FOLDER}
IDLE_S=5
LOAD_S=5
GATHER_S=2.2
AGENTS="100 400 1700"
JOB_RATES="40 200 600"
TASKS_PER_JOB=20
ENDPOINTS=1700
folder=$(mktemp -d)
points=$folder/points
pids=()

end_all() {
	{
		kill "${pids[@]}"
		for _ in $(seq 30); do
			kill -0 "${pids[@]}" || break
			sleep 0.1
		done
		kill -9 "${pids[@]}"
		wait
	} 2>/dev/null
	if [ -n "${PD_KEEP:-}" ]; then
		echo "files are kept in $folder"
	else
		rm -rf "$folder"
	fi
}
trap end_all EXIT
trap 'exit 1' INT TERM

fail() {
	echo "capacity: $*" >&2
	tail -n 3 "$folder"/*.err >&2
	exit 1
}

# start NAME COMMAND...: run in the background, pid in $last
start() {
	local name=$1
	shift
	"$@" >"$folder/$name.out" 2>"$folder/$name.err" &
	last=$!
	pids+=("$last")
}

# stop PID: end a process and wait for it
stop() {
	kill "$1" 2>/dev/null
	wait "$1" 2>/dev/null
}

# wait_for SECONDS COMMAND...: repeat a command until it succeeds
wait_for() {
	local n=$(($1 * 20))
	shift
	for _ in $(seq "$n"); do
		"$@" && return 0
		sleep 0.05
	done
	fail "no success of: $*"
}

has_line() { [ "$(grep -c "$2" "$folder/$1.out")" -ge "${3:-1}" ]; }

ready() {
	wait_for 10 has_line "$1" '^ready '
	sed -n 's/^ready //p' "$folder/$1.out"
}

# Ports outside of the ephemeral range, which outgoing connections use.
next_port=$((12000 + $$ % 100 * 190))
free_port() {
	while
		port=$next_port
		next_port=$((next_port + 1))
		(exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null
	do :; done
}

now_ms() { date +%s%3N; }
calc() { awk "BEGIN { printf \"%.3f\", $1 }"; }

# point NAME SIZE VALUE UNIT
point() { echo "point $1 $2 $3 $4" | tee -a "$points"; }

# Processor time of the live threads of a process, microseconds.
cpu_us() { awk '{ s += $1 } END { printf "%d", s / 1000 }' /proc/"$1"/task/*/schedstat; }
# Processor time of a process including ended threads, milliseconds.
cpu_ms() { sed 's/.*) //' "/proc/$1/stat" | awk '{ print ($12 + $13) * 10 }'; }
rss_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }

# entry_page INDEX PATH
entry_page() {
	curl -s -m 3 -H "Authorization: Bearer $(cat "$folder/token")" \
	    "http://127.0.0.1:${operators[$1]}$2"
}
# value NAME: sum of a metric over its labels, read from standard input
value() { awk -v n="$1" '{ split($1, a, "{") } a[1] == n { s += $2 } END { printf "%d", s }'; }
entry_value() { entry_page "$1" /metrics | value "$2"; }
platform_value() { curl -s -m 3 "http://127.0.0.1:$platform/control" | sed "s/.*\"$1\": *\([0-9]*\).*/\1/"; }
operate() {
	"$build/entry/pimentodock" "$@" \
	    --operator "http://127.0.0.1:${operators[0]}" \
	    --token-file "$folder/token"
}

write_entry() {
	local peers='' j
	for j in 0 1 2; do
		[ "$1" = $j ] || peers+="${peers:+, }\"127.0.0.1:${rpc[j]}\""
	done
	cat >"$folder/entry-$1.toml" <<-END
	name = "entry-$1"
	availability_zone = "finistere"
	[listen]
	callers = "127.0.0.1:${callers[$1]}"
	operators = "127.0.0.1:${operators[$1]}"
	rpc = "127.0.0.1:${rpc[$1]}"
	[peers]
	addresses = [$peers]
	[platform]
	url = "http://127.0.0.1:$platform"
	[operators]
	token_file = "token"
	END
}

# members N: whether there are N entries and entry 0 has no takeover in progress
members() {
	entry_page 0 /v1/status >"$folder/status.json"
	grep -q '"gathering":0' "$folder/status.json" &&
	    [ "$(grep -o '"incarnation"' "$folder/status.json" | wc -l)" -eq $(($1 + 1)) ]
}

# start_entry INDEX MEMBERS: set entry[INDEX] to the pid
start_entry() {
	start "entry-$1" "$build/entry/pimentodock" serve --settings "$folder/entry-$1.toml"
	entry[$1]=$last
	wait_for 20 members "$2"
}

# start_agents NAME ENTRY N RECORDS: set $last to the pid, wait for all permits
start_agents() {
	start "$1" "$build/bench/bench_sessions" --address "127.0.0.1:${rpc[$2]}" \
	    --agents "$3" --records "$4"
	wait_for 20 has_line "$1" '^permitted'
}

start_cell() {
	local i
	start platform "$build/fakes/fake_platform"
	platform=$(ready platform) || exit 1
	echo "capacity-token-0123456789" >"$folder/token"
	for i in 0 1 2; do
		free_port; callers[i]=$port
		free_port; operators[i]=$port
		free_port; rpc[i]=$port
	done
	for i in 0 1 2; do write_entry $i; done
	start_entry 0 1
	measure_session_memory
	{
		echo '{"azs": ["finistere"], "rules": [], "teams": [{"name": "lids", "weight": 1, "max_running": 0}], "endpoints": ['
		for i in $(seq $ENDPOINTS); do
			[ "$i" = 1 ] || echo ,
			echo "{\"name\": \"order-desk-$i\", \"az\": \"finistere\", \"service\": \"order-desk\", \"worker\": \"worker-$i\", \"owner\": \"lids\", \"slots\": 8}"
		done
		echo ']}'
	} >"$folder/inventory.json"
	operate config apply "$folder/inventory.json" >/dev/null || fail "config apply failed"
}

# Memory of sessions. Must run before an inventory is applied, which leaves free
# memory in the heap.
measure_session_memory() {
	local n
	point entry_session_rss 0 "$(rss_kb "${entry[0]}")" kB
	for n in $AGENTS; do
		start_agents "memory-$n" 0 "$n" 0
		sleep 1
		point entry_session_rss "$n" "$(rss_kb "${entry[0]}")" kB
		stop "$last"
		sleep 0.5
	done
}

# Idle sessions of agents at one entry.
measure_sessions() {
	local n cpu in out
	for n in $AGENTS; do
		start_agents "agents-$n" 0 "$n" 0
		sleep 1
		cpu=$(cpu_us "${entry[0]}")
		in=$(entry_value 0 pd_rpc_received_bytes)
		out=$(entry_value 0 pd_rpc_sent_bytes)
		sleep $IDLE_S
		cpu=$(($(cpu_us "${entry[0]}") - cpu))
		in=$(($(entry_value 0 pd_rpc_received_bytes) - in))
		out=$(($(entry_value 0 pd_rpc_sent_bytes) - out))
		point entry_session_cpu "$n" "$(calc "$cpu / $IDLE_S")" us/s
		point entry_session_received "$n" "$(calc "$in / $IDLE_S")" B/s
		point entry_session_sent "$n" "$(calc "$out / $IDLE_S")" B/s
		stop "$last"
		sleep 0.5
	done
}

# All agents close their sessions and reopen them at once.
measure_reconnect() {
	local n cpu
	for n in $AGENTS; do
		start_agents "wave-$n" 0 "$n" 0
		sleep 1
		cpu=$(cpu_us "${entry[0]}")
		kill -USR1 "$last"
		wait_for 20 has_line "wave-$n" '^permitted' 2
		cpu=$(($(cpu_us "${entry[0]}") - cpu))
		point reconnect_time "$n" "$(awk '/^permitted/ { t = $3 } END { print t }' "$folder/wave-$n.out")" ms
		point reconnect_cpu "$n" "$(calc "$cpu / 1000")" ms
		stop "$last"
		sleep 0.5
	done
}

# Task starts through one entry, with agents that finish tasks at once.
measure_starts() {
	local rate cpu tasks bytes messages n=150
	start_agents starts 0 $n 0
	point entry_remembered_rss "$(entry_value 0 pd_submissions_remembered)" "$(rss_kb "${entry[0]}")" kB
	for rate in 1 $JOB_RATES; do
		cpu=$(cpu_ms "${entry[0]}")
		tasks=$(entry_value 0 pd_grants_total)
		bytes=$(($(entry_value 0 pd_rpc_received_bytes) + $(entry_value 0 pd_rpc_sent_bytes)))
		messages=$(($(entry_value 0 pd_rpc_received_messages) + $(entry_value 0 pd_rpc_sent_messages)))
		"$build/fakes/fake_load" --workload kerandour --seed 1 --entry "127.0.0.1:${callers[0]}" \
		    --prefix "r$rate" --rate "$rate" --duration $LOAD_S --tasks $TASKS_PER_JOB \
		    --run-ms 1 --deadline-ms 5000 >"$folder/load-$rate.out" 2>&1 ||
		    cat "$folder/load-$rate.out"
		cpu=$(($(cpu_ms "${entry[0]}") - cpu))
		tasks=$(($(entry_value 0 pd_grants_total) - tasks))
		bytes=$(($(entry_value 0 pd_rpc_received_bytes) + $(entry_value 0 pd_rpc_sent_bytes) - bytes))
		messages=$(($(entry_value 0 pd_rpc_received_messages) + $(entry_value 0 pd_rpc_sent_messages) - messages))
		point entry_start_cpu "$tasks" "$(calc "$cpu * 1000")" us
		point entry_start_bytes "$tasks" "$bytes" B
		point entry_start_messages "$tasks" "$messages" messages
		point entry_remembered_rss "$(entry_value 0 pd_submissions_remembered)" "$(rss_kb "${entry[0]}")" kB
	done
	stop "$last"
}

# write_agent NAME METRICS_PORT ENTRY_PORT...
write_agent() {
	local name=$1 metrics=$2 list='' p
	shift 2
	for p in "$@"; do list+="${list:+, }\"127.0.0.1:$p\""; done
	cat >"$folder/$name.toml" <<-END
	name = "order-desk-1"
	availability_zone = "finistere"
	service = "order-desk"
	worker = "worker-1"
	[endpoint]
	url = "http://127.0.0.1:$endpoint"
	slots = 8
	[queue]
	max = 1000
	[entries]
	addresses = [$list]
	[listen]
	metrics = "127.0.0.1:$metrics"
	END
}

agent_value() { curl -s -m 3 "http://127.0.0.1:$1/metrics" | value "$2"; }

# One real agent with several entries, without tasks.
measure_agent_sessions() {
	local n k=0 ports=() names=() procs=() cpu=() bytes=() sizes=(1 2 3 8)
	for n in "${sizes[@]}"; do
		start "entries-$n" "$build/bench/bench_sessions" --entries "$n"
		read -r -a names <<<"$(ready "entries-$n")"
		free_port; ports[k]=$port
		write_agent "agent-$n" "$port" "${names[@]}"
		start "agent-$n" "$build/agent/pimentodock-agent" --settings "$folder/agent-$n.toml"
		procs[k]=$last
		k=$((k + 1))
	done
	sleep 2
	for k in "${!sizes[@]}"; do
		bytes[k]=$(agent_value "${ports[k]}" pd_agent_control_bytes_total)
		cpu[k]=$(cpu_us "${procs[k]}")
	done
	sleep $((2 * IDLE_S))
	for k in "${!sizes[@]}"; do
		n=${sizes[k]}
		cpu[k]=$(($(cpu_us "${procs[k]}") - cpu[k]))
		bytes[k]=$(($(agent_value "${ports[k]}" pd_agent_control_bytes_total) - bytes[k]))
		point agent_session_cpu "$n" "$(calc "${cpu[k]} / $((2 * IDLE_S))")" us/s
		point agent_session_control "$n" "$(calc "${bytes[k]} / $((2 * IDLE_S))")" B/s
		point agent_session_rss "$n" "$(rss_kb "${procs[k]}")" kB
		stop "${procs[k]}"
	done
}

# One real agent with an endpoint that answers at once.
measure_agent_starts() {
	local rate ports agent metrics cpu starts
	for rate in 25 100 200; do
		start "granter-$rate" "$build/bench/bench_sessions" --entries 1 --rate "$rate"
		ports=$(ready "granter-$rate")
		free_port; metrics=$port
		write_agent "starter-$rate" "$metrics" "$ports"
		start "starter-$rate" "$build/agent/pimentodock-agent" --settings "$folder/starter-$rate.toml"
		agent=$last
		sleep 1
		cpu=$(cpu_ms "$agent")
		starts=$(agent_value "$metrics" pd_agent_starts_total)
		sleep $((2 * LOAD_S))
		cpu=$(($(cpu_ms "$agent") - cpu))
		starts=$(($(agent_value "$metrics" pd_agent_starts_total) - starts))
		point agent_start_cpu "$starts" "$(calc "$cpu * 1000")" us
		point agent_record_rss "$(agent_value "$metrics" pd_agent_records)" "$(rss_kb "$agent")" kB
		point agent_record_bytes "$(agent_value "$metrics" pd_agent_records)" "$(agent_value "$metrics" pd_agent_record_bytes)" B
		stop "$agent"
	done
}

# Reads from the platform and traffic between entries, without agents.
measure_entries() {
	local n reads bytes i
	for n in 1 2 3; do
		[ "$n" = 1 ] || start_entry $((n - 1)) "$n"
		sleep 2
		reads=$(platform_value reads)
		bytes=$(($(entry_value 0 pd_rpc_sent_bytes) + $(entry_value 0 pd_rpc_received_bytes)))
		i=$(cpu_us "${entry[0]}")
		sleep $IDLE_S
		point platform_reads "$n" "$(calc "($(platform_value reads) - $reads) / $IDLE_S")" reads/s
		point entry_peer_control "$n" "$(calc "($(entry_value 0 pd_rpc_sent_bytes) + $(entry_value 0 pd_rpc_received_bytes) - $bytes) / $IDLE_S")" B/s
		point entry_peer_cpu "$n" "$(calc "($(cpu_us "${entry[0]}") - $i) / $IDLE_S")" us/s
	done
}

all_hold() {
	[ "$(entry_value 0 pd_revision)" -ge "$1" ] && [ "$(entry_value 1 pd_revision)" -ge "$1" ] &&
	    [ "$(entry_value 2 pd_revision)" -ge "$1" ]
}

# Sequential changes of the configuration.
measure_changes() {
	local n i started writes bytes rate verb total worst t wait_ms
	rate=$(awk '$2 == "entry_peer_control" && $3 == 3 { print $4 }' "$points")
	for n in 5 10 20; do
		writes=$(platform_value writes)
		bytes=$(($(entry_value 2 pd_rpc_sent_bytes) + $(entry_value 2 pd_rpc_received_bytes)))
		started=$(now_ms)
		total=0
		worst=0
		for i in $(seq "$n"); do
			verb=retire
			[ $((i % 2)) = 1 ] || verb=restore
			t=$(now_ms)
			revision=$(entry_value 0 pd_revision)
			operate endpoint $verb order-desk-1 >/dev/null || fail "a change failed"
			wait_for 10 all_hold $((revision + 1))
			wait_ms=$(($(now_ms) - t))
			total=$((total + wait_ms))
			[ $wait_ms -le $worst ] || worst=$wait_ms
		done
		point change_platform_writes "$n" $(($(platform_value writes) - writes)) writes
		point change_in_force_time "$n" "$total" ms
		echo "raw change_in_force_worst $n $worst ms"
		bytes=$(($(entry_value 2 pd_rpc_sent_bytes) + $(entry_value 2 pd_rpc_received_bytes) - bytes))
		point change_entry_bytes "$n" "$(calc "$bytes - $rate * ($(now_ms) - $started) / 1000")" B
	done
}

# takeover NAME SIZE AGENTS RECORDS SIGNAL: end one entry by the signal; entry 0
# then gathers the records of its agents. With SIZE "gathered" the size is the
# number of records that the agents sent.
takeover() {
	local name="$1-$3-$4" size=$2 cpu started writes counts
	start_entry 1 2
	start_agents "$name" 0 "$3" "$4"
	sleep 1.5
	kill -USR2 "$last"
	writes=$(platform_value writes)
	cpu=$(cpu_us "${entry[0]}")
	started=$(now_ms)
	kill "-$5" "${entry[1]}"
	wait "${entry[1]}" 2>/dev/null
	# The status page of 1,700 endpoints costs more than the takeover, so it
	# is only requested after the gather, which ends within 2 s of a leave.
	[ "$5" = KILL ] || sleep $GATHER_S
	cpu=$(($(cpu_us "${entry[0]}") - cpu))
	wait_for 20 members 1
	echo "raw $name elapsed $(($(now_ms) - started)) ms"
	kill -USR2 "$last"
	wait_for 5 has_line "$name" '^fences' 2
	counts=$(tail -n 1 "$folder/$name.out")
	echo "raw $name (agents $3, records $4 each): $counts ms"
	[ "$size" != gathered ] || size=$(echo "$counts" | awk '{ print $3 }')
	point "$1_fences" "$size" "$(echo "$counts" | awk '{ print $2 }')" calls
	point "$1_time" "$size" "$(echo "$counts" | awk '{ print $4 }')" ms
	[ "$5" = KILL ] || point "$1_cpu" "$size" "$(calc "$cpu / 1000")" ms
	echo "raw $name platform writes of the leave $(($(platform_value writes) - writes))"
	stop "$last"
	sleep 0.3
}

measure_takeovers() {
	local n
	stop "${entry[2]}"
	stop "${entry[1]}"
	wait_for 20 members 1
	for n in 40 160 640; do takeover takeover_agent "$n" "$n" 20 TERM; done
	for n in 200 1000 4000; do takeover takeover_record gathered 40 "$n" TERM; done
	takeover takeover_killed 640 640 20 KILL
}

measure_memberships() {
	local n i writes
	for n in 1 2 3; do
		writes=$(platform_value writes)
		for i in $(seq "$n"); do
			start_entry 1 2
			stop "${entry[1]}"
			wait_for 20 members 1
		done
		point membership_platform_writes $((2 * n)) $(($(platform_value writes) - writes)) writes
	done
}

# Least-squares fit of each quantity over its points.
fit() {
	awk '$1 == "point" {
		k = $2
		if (!(k in n)) order[++count] = k
		n[k]++; x[k] += $3; y[k] += $4; xx[k] += $3 * $3; xy[k] += $3 * $4
		unit[k] = $5; sizes[k] = sizes[k] (n[k] > 1 ? "," : "") $3
	}
	END {
		for (i = 1; i <= count; i++) {
			k = order[i]
			d = n[k] * xx[k] - x[k] * x[k]
			if (n[k] < 3 || d == 0)
				continue
			s = (n[k] * xy[k] - x[k] * y[k]) / d
			printf "slope %s %.5g %s/unit sizes=%s intercept=%.5g\n", k, s,
			    unit[k], sizes[k], (y[k] - s * x[k]) / n[k]
		}
	}' "$points"
}

began=$(now_ms)
"$build/bench/bench_capacity" | tee "$points" || fail "bench_capacity failed"
start endpoint "$build/fakes/fake_endpoint" --name order-desk --count 1 --slots 8 --instant
endpoint=$(ready endpoint) || exit 1
measure_agent_sessions
measure_agent_starts
start_cell
measure_sessions
measure_reconnect
measure_starts
measure_entries
measure_changes
measure_takeovers
measure_memberships
fit
echo "capacity: took $((($(now_ms) - began) / 1000)) s"
