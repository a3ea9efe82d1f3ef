# Sourced by run.sh. Starts a cell of three entries and eleven agents on
# 127.0.0.1 and ends all processes at exit.

build=${BUILD:?}
folder=$(mktemp -d)
all_pids=()
cell_pids=()
declare -A pid_of

end_pids() {
	[ $# -gt 0 ] || return 0
	{
		kill "$@"
		# Kill what has not ended after 3 s.
		for _ in $(seq 30); do
			kill -0 "$@" || break
			sleep 0.1
		done
		kill -9 "$@"
		wait "$@"
	} 2>/dev/null
	return 0
}

end_all() {
	end_pids "${all_pids[@]}"
	if [ -n "${PD_KEEP:-}" ]; then
		echo "files are kept in $folder"
	else
		rm -rf "$folder"
	fi
}
trap end_all EXIT
trap 'exit 1' INT TERM

fail() {
	echo "bench: $*" >&2
	tail -n 3 "$folder"/*.err >&2
	exit 1
}

# start NAME COMMAND...: run in the background; output in NAME.out, NAME.err
start() {
	local name=$1
	shift
	"$@" >"$folder/$name.out" 2>"$folder/$name.err" &
	pid_of[$name]=$!
	cell_pids+=($!)
	all_pids+=($!)
}

# ready NAME: print the ports after "ready"
ready() {
	for _ in $(seq 100); do
		if grep -q '^ready ' "$folder/$1.out" 2>/dev/null; then
			sed -n 's/^ready //p' "$folder/$1.out"
			return
		fi
		sleep 0.1
	done
	fail "$1 is not ready"
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

quote_list() {
	local sep='' item
	for item in "$@"; do
		printf '%s"%s"' "$sep" "$item"
		sep=', '
	done
}

# entry_settings INDEX POLICY
entry_settings() {
	local i=$1 j peers=()
	for ((j = 0; j < nentries; j++)); do
		[ "$i" = "$j" ] || peers+=("127.0.0.1:${rpc[j]}")
	done
	cat <<EOF
name = "entry-$((i + 1))"
availability_zone = "${azs[i]}"
[listen]
callers = "127.0.0.1:${callers[i]}"
operators = "127.0.0.1:${operators[i]}"
rpc = "127.0.0.1:${rpc[i]}"
[peers]
addresses = [$(quote_list "${peers[@]}")]
[platform]
url = "http://127.0.0.1:$platform"
[operators]
token_file = "token"
[dispatch]
policy = "$2"
[log]
level = "warning"
EOF
}

# agent_settings NUMBER
agent_settings() {
	cat <<EOF
name = "$service-$1"
availability_zone = "${azs[($1 - 1) % 3]}"
service = "$service"
worker = "worker-$1"
[endpoint]
url = "http://127.0.0.1:${endpoints[$1 - 1]}"
slots = $SLOTS
connections = 64
[entries]
addresses = [$(quote_list "${rpc[@]/#/127.0.0.1:}")]
[listen]
metrics = "127.0.0.1:${metrics[$1]}"
[log]
level = "warning"
EOF
}

start_entries() {
	local i
	callers=() operators=() rpc=()
	for ((i = 0; i < nentries; i++)); do
		free_port; callers[i]=$port
		free_port; operators[i]=$port
		free_port; rpc[i]=$port
	done
	for ((i = 0; i < nentries; i++)); do
		entry_settings "$i" "$1" >"$folder/entry-$((i + 1)).toml"
		start "entry-$((i + 1))" ${entry_cpus:+taskset -c "$entry_cpus"} \
		    "$build/entry/pimentodock" serve \
		    --settings "$folder/entry-$((i + 1)).toml"
	done
}

start_agents() {
	local i rows=()
	for i in $(seq 11); do
		free_port; metrics[i]=$port
		agent_settings "$i" >"$folder/agent-$i.toml"
		start "agent-$i" ${other_cpus:+taskset -c "$other_cpus"} \
		    "$build/agent/pimentodock-agent" \
		    --settings "$folder/agent-$i.toml"
		rows+=("{\"name\": \"$service-$i\", \"az\":
\"${azs[(i - 1) % 3]}\", \"service\": \"$service\", \"worker\": \"worker-$i\",
\"owner\": \"lids\", \"slots\": $SLOTS}")
	done
	cat >"$folder/inventory.json" <<EOF
{"azs": [$(quote_list "${azs[@]}")],
"teams": [{"name": "lids", "weight": 1, "max_running": 0},
{"name": "tins", "weight": 1, "max_running": 0},
{"name": "jars", "weight": 1, "max_running": 0}],
"endpoints": [$(IFS=,; echo "${rows[*]}")],
"rules": []}
EOF
}

operate() {
	"$build/entry/pimentodock" "$@" \
	    --operator "http://127.0.0.1:${operators[0]}" \
	    --token-file "$folder/token"
}

# load NAME ARGUMENTS...: run fake_load with all entries, record to NAME.record
load() {
	local name=$1 i to=()
	shift
	for ((i = 0; i < nentries; i++)); do
		to+=(--entry "127.0.0.1:${callers[i]}")
	done
	${other_cpus:+taskset -c "$other_cpus"} "$build/fakes/fake_load" \
	    --workload "$workload" "${to[@]}" --prefix "$name-$RANDOM" \
	    --record "$folder/$name.record" "$@" >"$folder/$name.load" 2>&1
}

# The first attempts may fail, because the entries register one after the other.
wait_for_cell() {
	local applied=
	for _ in $(seq 100); do
		if operate config apply "$folder/inventory.json" \
		    >"$folder/apply.out" 2>"$folder/apply.err"; then
			applied=yes
			break
		fi
		sleep 0.2
	done
	[ -n "$applied" ] || fail "config apply failed"
	for _ in $(seq 100); do
		load warm --clients 3 --count 12 --duration 5 --tasks 1 \
		    --run-ms 1 --deadline-ms 2000
		grep -q ' complete=12 ' "$folder/warm.load" && return
		sleep 0.2
	done
	fail "the cell runs no tasks"
}

# The endpoints share a process. When split_endpoints is set, each has its own,
# so that they do not limit the throughput.
start_endpoints() { # ENDPOINT-OPTIONS...
	local i
	local command=(${other_cpus:+taskset -c "$other_cpus"}
	    "$build/fakes/fake_endpoint" --slots "$SLOTS" "$@")
	if [ -z "$split_endpoints" ]; then
		start endpoints "${command[@]}" --name "$service" --count 11 \
		    --speeds "$SPEEDS" --log "$folder/starts.log"
		read -r -a endpoints <<<"$(ready endpoints)"
	else
		for i in $(seq 11); do
			start "endpoint-$i" "${command[@]}" --name "$service-$i"
			endpoints[i - 1]=$(ready "endpoint-$i")
		done
	fi
	[ "${#endpoints[@]}" -eq 11 ] || fail "endpoints are missing"
}

# start_cell WORKLOAD POLICY [ENDPOINT-OPTIONS...]
start_cell() {
	workload=$1
	local policy=$2
	shift 2
	case $workload in
	kerandour) service=order-desk azs=(finistere morbihan armor) ;;
	*) service=diary-press azs=(lalitpur bhaktapur kirtipur) ;;
	esac
	: >"$folder/starts.log"
	start platform "$build/fakes/fake_platform"
	platform=$(ready platform) || exit 1
	start_endpoints "$@"
	echo "bench-token-0123456789" >"$folder/token"
	start_entries "$policy"
	start_agents
	wait_for_cell
}

end_cell() {
	end_pids "${cell_pids[@]}"
	cell_pids=()
	rm -f "$folder"/*.out
}

# control NUMBER QUERY: change an endpoint
control() {
	curl -s -X PUT "http://127.0.0.1:${endpoints[$1 - 1]}/control?$2" \
	    >/dev/null || fail "endpoint $1 cannot be changed"
}

# entry_metric INDEX NAME
entry_metric() {
	curl -s -H "Authorization: Bearer $(cat "$folder/token")" \
	    "http://127.0.0.1:${operators[$1]}/metrics" |
	    awk -v name="$2" '$1 == name { print $2 }'
}

# Messages between agents and entries and between entries by kind, as "KIND
# COUNT" lines. A forwarded submission counts as two messages.
message_counts() {
	local i n=0
	for ((i = 0; i < nentries; i++)); do
		n=$((n + 2 * $(entry_metric "$i" pd_forwards_total)))
	done
	echo "forward $n"
	for i in $(seq 11); do
		curl -s "http://127.0.0.1:${metrics[i]}/metrics"
	done | awk -F '[",{} ]+' '/^pd_agent_messages_total/ {
		kind = $0
		sub(/.*kind="/, "", kind)
		sub(/".*/, "", kind)
		n = $0
		sub(/.* /, "", n)
		sum[kind] += n
	} END { for (k in sum) print k, sum[k] }'
}

# rss_mb NAME: peak resident memory of a process, MB
rss_mb() {
	awk '/^VmHWM/ { printf "%.1f", $2 / 1024 }' "/proc/${pid_of[$1]}/status"
}
