# Functions of the scripts review/N/run.sh, which source this file. A script
# sets `here` to its folder first.
#
# Exit codes of a script: 0 the rule held, 1 it was broken, 2 the case could
# not run. TROUBLE=0 leaves out the disruption.
set -u
root=$(cd "$here/../.." && pwd)
bin=$root/review/stand-ins/bin
record=$here/record.txt
trouble=${TROUBLE:-1}
tmp=$(mktemp -d)
runs=$tmp/runs.log
pids=()
next_port=0
started_ms=$(date +%s%3N)
: >"$record"
: >"$runs"

end_all() {
	local p
	{
		for p in "${pids[@]}"; do
			kill -CONT "$p"
			kill -KILL "$p"
		done
		wait
	} 2>/dev/null
	rm -rf "$tmp"
}
trap end_all EXIT
trap 'exit 2' INT TERM

now_ms() {
	date +%s%3N
}

# note TEXT: a line of the record, with the time in ms since the start
note() {
	printf '%6d %s\n' $(($(now_ms) - started_ms)) "$*" | tee -a "$record"
}

cannot_run() {
	note "cannot run: $*"
	tail -n 3 "$tmp"/*.err >&2
	exit 2
}

# start NAME COMMAND...: run in the background from the root of the repository;
# sets `pid`
start() {
	local name=$1
	shift
	(cd "$root" && exec "$@") >"$tmp/$name.out" 2>"$tmp/$name.err" &
	pid=$!
	pids+=("$pid")
}

# ready NAME: wait for the line "ready PORT..." of a stand-in; sets `ports`
ready() {
	local _
	for _ in $(seq 100); do
		if read -r -a ports < <(sed -n 's/^ready //p' \
		    "$tmp/$1.out") && [ ${#ports[@]} -gt 0 ]; then
			return
		fi
		sleep 0.05
	done
	cannot_run "$1 has not started"
}

is_open() {
	(exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

# free_port: sets `port` to one that nothing listens on
free_port() {
	[ "$next_port" -gt 0 ] || next_port=$((20000 + RANDOM % 10000))
	while is_open "$next_port"; do
		next_port=$((next_port + 1))
	done
	port=$next_port
	next_port=$((next_port + 1))
}

# http_text METHOD PATH BODY HEADER: text of a request
http_text() {
	printf '%s %s HTTP/1.1\r\nHost: shop.example\r\n' "$1" "$2"
	printf 'Content-Type: application/json\r\nConnection: close\r\n'
	[ -z "$4" ] || printf '%s\r\n' "$4"
	printf 'Content-Length: %d\r\n\r\n%s' "${#3}" "$3"
}

# request TIMEOUT_S METHOD PORT PATH [BODY [HEADER]]: one HTTP request; prints
# the status and the body, or 000 without a response
request() {
	local text
	text=$(http_text "$2" "$4" "${5:-}" "${6:-}" | timeout "$1" bash -c '
		exec 3<>"/dev/tcp/127.0.0.1/$1" || exit 1
		cat >&3
		cat <&3
	' _ "$3" 2>/dev/null | tr -d '\r')
	if [ -z "$text" ]; then
		echo 000
		return
	fi
	printf '%s %s\n' "$(sed -n '1s/^[^ ]* \([0-9]*\).*/\1/p' <<<"$text")" \
	    "$(tail -n 1 <<<"$text")"
}

# --- the platform ---

start_store() {
	start store "$bin/fake_platform"
	ready store
	store=${ports[0]}
}

# store_tx writes|remove KEY [VALUE]: a change of the operator
store_tx() {
	local value
	value=$(printf %s "${3:-}" | base64 -w 0)
	[ "$(request 2 POST "$store" /v1/rows-tx "{\"$1\":[{\"table\":\"op\",\
\"part\":\"\",\"key\":\"$2\",\"value\":\"$value\"}]}" | cut -c 1-3)" = 200 ] ||
	    cannot_run "the store rejects a change"
}

# set_queue TIMEOUT_MS TARGET_MS: the configuration, with the queue /q/
set_queue() {
	store_tx writes config "{\"version\":1,\"routes\":[{\"name\":\"q\",\
\"host\":\"shop.example\",\"path_prefix\":\"/q/\",\"service\":\"desk\",\
\"timeout_ms\":$1,\"target_latency_ms\":$2,\"max_attempts\":3,\
\"stretch\":1.6,\"priority\":0}],\"services\":[],\"limits\":{}}"
}

# --- the programs, with the commands of deploy/system.toml ---

# prepare_entry I [relayed]: choose the ports of an entry, with a relay before
# its RPC address if asked for
prepare_entry() {
	local i=$1 k
	for k in clients probes rpc metrics; do
		free_port
		eval "${k}_$i=$port"
	done
	eval "advertised_$i=\$rpc_$i"
	[ "${2:-}" = relayed ] || return 0
	start_relay "relay-rpc$i" "$(eval "echo \$rpc_$i")"
	eval "advertised_$i=${ports[0]} relay_rpc_$i=${ports[1]}"
}

# start_relay NAME TARGET_PORT: sets `ports` to its port and control port
start_relay() {
	start "$1" "$bin/fake_relay" --target "127.0.0.1:$2"
	ready "$1"
}

# start_cut_entry N: entry 1 of N, whose clients, probes, RPC address and path to
# the store are behind relays
start_cut_entry() {
	local direct=$store target k
	for k in clients probes; do
		eval "target=\$${k}_1"
		start_relay "relay-$k" "$target"
		eval "relayed_$k=${ports[0]} relay_$k=${ports[1]}"
	done
	start_relay relay-store "$store"
	store=${ports[0]} relay_store=${ports[1]}
	start_entry 1 "$1"
	store=$direct clients_1=$relayed_clients probes_1=$relayed_probes
}

# set_cut silent|pass: the partition of entry 1. Relays that are silent forward
# nothing, and what they have read is lost.
set_cut() {
	local relay
	for relay in "$relay_clients" "$relay_probes" "$relay_rpc_1" \
	    "$relay_store"; do
		set_relay "$relay" "mode=$1"
	done
}

set_relay() {
	request 2 PUT "$1" "/control?$2" >/dev/null
}

# entry_list N: addresses of the entries 1 to N, as members of a TOML list
entry_list() {
	local i
	for i in $(seq "$1"); do
		eval "printf '\"127.0.0.1:%d\",' \$advertised_$i"
	done
}

# start_entry I N: entry I of N; sets entry_I to its process id
start_entry() {
	local i=$1 clients probes rpc advertised metrics
	eval "clients=\$clients_$i probes=\$probes_$i rpc=\$rpc_$i"
	eval "advertised=\$advertised_$i metrics=\$metrics_$i"
	cat >"$tmp/entry$i.toml" <<E
name = "front-$i"
availability_zone = "z$i"
[clients]
resubmit_ms = 1300
[listen]
clients = "127.0.0.1:$clients"
probes = "127.0.0.1:$probes"
rpc = "127.0.0.1:$rpc"
advertised = "127.0.0.1:$advertised"
metrics = "127.0.0.1:$metrics"
[entries]
addresses = [$(entry_list "$2")]
[platform]
store = "127.0.0.1:$store"
E
	start "entry$i" target/entry/pimentodock dispatch \
	    --settings "$tmp/entry$i.toml"
	eval "entry_$i=$pid"
}

# start_agent I N: agent of minion I, which knows N entries; sets agent_I
start_agent() {
	local i=$1
	free_port
	eval "beats_$i=$port"
	free_port
	eval "orders_$i=$port"
	free_port
	cat >"$tmp/agent$i.toml" <<E
name = "side-$i"
availability_zone = "z$i"
[endpoint]
heartbeats = "127.0.0.1:$(eval "echo \$beats_$i")"
orders = "127.0.0.1:$(eval "echo \$orders_$i")"
[entries]
addresses = [$(entry_list "$2")]
[listen]
metrics = "127.0.0.1:$port"
E
	start "agent$i" target/agent/pimentodock-agent --execute \
	    --settings "$tmp/agent$i.toml"
	eval "agent_$i=$pid"
}

# start_minion I CPU: minion beside agent I; sets minion_I
start_minion() {
	local i=$1
	eval "start minion$i \"$bin/fake_minion\" --port \$orders_$i \
	    --agent \$beats_$i --cpu $2 --name m$i --az z$i --log \"$runs\""
	eval "minion_$i=$pid"
	ready "minion$i"
}

is_ready() {
	[ "$(request 1 GET "$(eval "echo \$probes_$1")" /v1/readiness |
	    cut -c 1-3)" = 200 ]
}

# await_workers I N: until entry I is ready and has N workers
await_workers() {
	local _ metrics
	eval "metrics=\$metrics_$1"
	for _ in $(seq 100); do
		if is_ready "$1" && timeout 1 bash -c 'exec 3<>"/dev/tcp/127.0.0.1/$1"
		    printf "GET /metrics HTTP/1.0\r\n\r\n" >&3; cat <&3' _ \
		    "$metrics" 2>/dev/null | grep -q "^pd_workers_usable $2\b"; then
			return
		fi
		sleep 0.1
	done
	cannot_run "entry $1 has not $2 workers"
}

# --- clients ---

# job SPEC CPU ESTIMATE_MS [COUNT [LABEL]]: sets `body` to a job of one step
job() {
	body="{\"spec\":\"$1\",\"best_effort\":true,\"steps\":[{\"count\":${4:-1},\
\"cpu\":$2,\"mem_mb\":64,\"estimate_ms\":$3"
	[ -z "${5:-}" ] || body+=",\"required_label\":\"$5\""
	body+="}]}"
}

# post ENTRY ID SPEC CPU ESTIMATE_MS DEADLINE_MS [COUNT [LABEL]]: submit a job
# and wait for the answer
post() {
	local clients
	eval "clients=\$clients_$1"
	job "$3" "$4" "$5" "${7:-}" "${8:-}"
	request $(($6 / 1000 + 1)) POST "$clients" "/q/$2" "$body" \
	    "X-Pimentodock-Deadline-Ms: $6"
}

# copy_runs: the runs as the minions saw them, into the record
copy_runs() {
	note "runs: ms, event, minion, process, task, run"
	awk -F '\t' -v t="$started_ms" -v OFS=' ' \
	    '{ printf "%6d %s %s %s %s %s\n", $1 - t, $2, $3, $4, $5, $6 }' \
	    "$runs" >>"$record"
}

# double_runs: tasks that started while they ran elsewhere, and for how long
double_runs() {
	sort -n -s -k 1,1 "$runs" | awk -F '\t' '
	    $2 == "start" {
		if (at[$5] != "" && at[$5] != $3)
			print $5 " starts at " $3 " while it runs at " at[$5]
		at[$5] = $3
		next
	    }
	    at[$5] == $3 { delete at[$5] }'
}
