# Functions of the scripts of review/6 to review/10: a small cell of the
# project's own programs on loopback addresses, with stand-ins for the clients,
# the endpoints and the platform's store. To be sourced with the working folder
# at the root of the repository.
#
# shellcheck shell=bash

stand_ins=build-review-2
folder=$(mktemp -d)
pids=()
TROUBLE=${TROUBLE:-1}
# How long clients wait, and the timeout of the queues.
wait_ms=1500

end_all() {
	{
		kill -CONT "${pids[@]}"
		kill -9 "${pids[@]}"
		wait
	} 2>/dev/null
	if [ -n "${KEEP:-}" ]; then
		echo "files are kept in $folder"
	else
		rm -rf "$folder"
	fi
}
trap end_all EXIT
trap 'exit 2' INT TERM

cannot_run() {
	echo "cannot run: $*" >&2
	exit 2
}

now_ms() { date +%s%3N; }

# start NAME COMMAND...: run in the background; its id goes to the variable pid
start() {
	local name=$1
	shift
	"$@" >>"$folder/$name.out" 2>>"$folder/$name.err" &
	pid=$!
	pids+=("$pid")
}

# ready NAME: print the ports of a stand-in
ready() {
	for _ in $(seq 100); do
		if grep -q '^ready ' "$folder/$1.out" 2>/dev/null; then
			sed -n 's/^ready //p' "$folder/$1.out"
			return
		fi
		sleep 0.05
	done
	cannot_run "$1 is not ready"
}

# Ports below those of outgoing connections.
next_port=$((10000 + $$ % 200 * 100))
free_port() {
	while
		port=$next_port
		next_port=$((next_port + 1))
		(exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null
	do :; done
}

# call PORT METHOD PATH BODY: one call of the platform or of a test's control
call() {
	local answer
	answer=$("$stand_ins/client_2" "$1" "$2" 127.0.0.1 "$3" 2000 "$4")
	[[ $answer == *' 200 '* ]] || cannot_run "$2 $3: $answer"
}

# store_put KEY VALUE: write a row of the operators
store_put() {
	local value
	value=$(printf %s "$2" | base64 -w 0)
	call "$store" POST /v1/rows-tx "{\"writes\":[{\"table\":\"op\",
\"part\":\"\",\"key\":\"$1\",\"value\":\"$value\"}]}"
}

# route NAME HOST PREFIX: print a route of the configuration
route() {
	printf '{"name":"%s","host":"%s","path_prefix":"%s","kind":"unsafe",' \
	    "$1" "$2" "$3"
	printf '"timeout_ms":%s,"target_latency_ms":60,"priority":0,' "$wait_ms"
	printf '"service":"desk","max_attempts":4,"stretch":1.6}'
}

# configure ROUTE...: write the configuration
configure() {
	local IFS=,
	store_put config "{\"version\":7,\"routes\":[$*],\"services\":[
{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":64,
\"admission_control\":true}],\"limits\":{\"max_header_bytes\":16384,
\"max_body_bytes\":262144}}"
}

# relay NAME TARGET: start a relay to a port; its port and that of its control
# go to the variables relay_port and relay_control
relay() {
	local ports
	start "$1" "$stand_ins/fake_relay" --target "127.0.0.1:$2"
	ports=$(ready "$1") || exit 2
	read -r relay_port relay_control <<<"$ports"
}

# control PORT QUERY: change the behaviour of a relay
control() {
	call "$1" PUT "/control?$2" ""
}

# start_entry I: start entry I with the command of the deploy file. Other
# entries reach it at the port advertised[I], if it is set, and it reaches the
# store at store_port[I]
start_entry() {
	local seeds='' i=$1 j
	for j in 0 1 2; do
		seeds+="${seeds:+, }\"127.0.0.1:${advertised[j]:-${rpc[j]}}\""
	done
	cat >"$folder/entry-$i.toml" <<-EOF
	name = "front-${zones[i]}-1"
	availability_zone = "${zones[i]}"
	[clients]
	resubmit_ms = 1300
	[listen]
	clients = "127.0.0.1:${clients[i]}"
	probes = "127.0.0.1:${probes[i]}"
	rpc = "127.0.0.1:${rpc[i]}"
	advertised = "127.0.0.1:${advertised[i]:-${rpc[i]}}"
	[entries]
	addresses = [$seeds]
	[admission]
	run_times = "distribution"
	[platform]
	store = "127.0.0.1:${store_port[i]:-$store}"
	[placing]
	speeds = "auto"
	[limits]
	memory_mb = 260
	descriptors = 4100
	EOF
	start "entry-$i" target/entry/pimentodock dispatch \
	    --settings "$folder/entry-$i.toml"
	entry_pid[i]=$pid
}

# start_worker I: start endpoint I, in zone I modulo 3, and its agent, with the
# command of the deploy file. It reaches entry J of another zone at the port
# from_afar[J], if it is set
start_worker() {
	local seeds='' i=$1 j p zone=${zones[$1 % 3]} beats orders
	for j in 0 1 2; do
		p=${rpc[j]}
		p=${near[j]:-$p}
		[ "$j" = $((i % 3)) ] || p=${from_afar[j]:-$p}
		seeds+="${seeds:+, }\"127.0.0.1:$p\""
	done
	free_port; beats=$port
	free_port; orders=$port
	cat >"$folder/agent-$i.toml" <<-EOF
	name = "side-$zone-$i"
	availability_zone = "$zone"
	[endpoint]
	heartbeats = "127.0.0.1:$beats"
	orders = "127.0.0.1:$orders"
	[entries]
	addresses = [$seeds]
	heartbeats = "short"
	[limits]
	memory_mb = 128
	descriptors = 4096
	EOF
	start "agent-$i" target/agent/pimentodock-agent --execute \
	    --settings "$folder/agent-$i.toml"
	start "minion-$i" "$stand_ins/fake_minion" --port "$orders" \
	    --agent "$beats" --cpu 64000 --name "minion-$i" --az "$zone" \
	    --log "$folder/runs.log"
}

# job COUNT ESTIMATE_MS RUN_MS: print the body of a job of one step, whose tasks
# take 6.2 cores; the stand-in of an endpoint reads run_ms from the spec
job() {
	printf '{"spec":"run_ms=%s cpu=6200","best_effort":true,"steps":[' "$3"
	printf '{"count":%s,"cpu":6200,"mem_mb":64,"estimate_ms":%s}]}' "$1" "$2"
}

# send ENTRY METHOD HOST PATH BODY [fin|rst AFTER_MS]: one request of a client
# that waits for wait_ms
send() {
	local entry=$1 method=$2 host=$3 path=$4 body=$5
	shift 5
	"$stand_ins/client_2" "${clients[entry]}" "$method" "$host" "$path" \
	    "$wait_ms" "$body" "$@"
}

# start_relays: relays between entry 0 and the store, between the entries, and
# between entry 0 and the workers of other zones; their control ports go to
# controls
start_relays() {
	local i
	controls=()
	for i in 0 1 2; do
		relay "relay-$i" "${rpc[i]}"
		advertised[i]=$relay_port
		controls+=("$relay_control")
	done
	from_afar[0]=${advertised[0]}
	relay relay-store "$store"
	store_port[0]=$relay_port
	controls+=("$relay_control")
}

# start_bridges: relays before entries 0 and 1 that can cut off the other one of
# the two; all others reach them through these relays, too
start_bridges() {
	local i
	for i in 0 1; do
		start "bridge-$i" "$stand_ins/bridge_2" "${rpc[i]}" \
		    "front-${zones[1 - i]}-1"
		bridge_pid[i]=$pid
		advertised[i]=$(ready "bridge-$i") || exit 2
		from_afar[i]=${advertised[i]}
		near[i]=${advertised[i]}
	done
}

# start_cell WORKERS ROUTE...: three entries, and workers in their zones; waits
# until each entry has completed a job of several tasks for each worker. With
# relays=NAME it calls start_NAME before it starts them
start_cell() {
	local workers=$1 i n
	shift
	for n in "$stand_ins/client_2" target/entry/pimentodock \
	    target/agent/pimentodock-agent; do
		[ -x "$n" ] || cannot_run "$n is not built"
	done
	zones=(finistere morbihan armor)
	for i in 0 1 2; do
		free_port; clients[i]=$port
		free_port; probes[i]=$port
		free_port; rpc[i]=$port
	done
	start store "$stand_ins/fake_platform"
	store=$(ready store) || exit 2
	configure "$@"
	[ -z "${relays:-}" ] || "start_$relays"
	for i in 0 1 2; do start_entry $i; done
	for i in $(seq "$workers"); do start_worker "$i"; done
	: >"$folder/runs.log"
	# The first ones also let the entries learn that the workers are equal.
	for n in 1 2 3 4 5 6; do
		for i in 0 1 2; do
			warm[i]=$(send $i POST 127.0.0.1 \
			    "/q/00000000000000$n$i" \
			    "$(job $((workers * 4)) 200 200)")
		done
		sleep 1
	done
	for i in 0 1 2; do
		[[ ${warm[i]} == *' 200 '* ]] ||
		    cannot_run "entry $i completes no job: ${warm[i]}"
	done
}

# overlaps: print the runs of one task that were at work at the same time, from
# the log of the endpoints
overlaps() {
	sort -n "$folder/runs.log" | awk -F '\t' '
	    $2 == "start" {
		for (k in at) {
			split(k, p, SUBSEP)
			if (p[1] == $5)
				printf "%s: run %s on %s since %s, run %s " \
				    "started on %s at %s\n", $5, p[3], p[2],
				    at[k], $6, $3, $1
		}
		at[$5, $3, $6] = $1
		next
	    }
	    { delete at[$5, $3, $6] }'
}

# sleep_ms MS: sleep; not at all if MS is not positive
sleep_ms() {
	[ "$1" -le 0 ] || sleep "$(($1 / 1000)).$(printf %03d $(($1 % 1000)))"
}
