# Functions for the scripts review/11 to review/13: a small deployment on
# loopback addresses, started with the commands of deploy/system.toml and
# settings that are rendered from its templates.
#
# A script sets CASE_DIR to its own folder before it sources this file.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
FAKES=${FAKES:-$ROOT/build-review-3/fakes}
ENTRY=$ROOT/target/entry/pimentodock
AGENT=$ROOT/target/agent/pimentodock-agent
TROUBLE=${TROUBLE:-1}
RECORD=$CASE_DIR/record.txt
WORK=$(mktemp -d)
declare -A PIDS=()

# Addresses of the entries; agents, minions and the store are on 127.0.0.1.
entry_ip() { echo "127.0.0.1$1"; }

now_ms() {
	local t=$EPOCHREALTIME
	echo $((${t/[.,]/} / 1000))
}

note() {
	printf '%s %s\n' "$(($(now_ms) - START_MS))" "$*" >> "$RECORD"
}

cannot_run() {
	note "cannot run: $*"
	echo "cannot run: $*" >&2
	exit 2
}

cleanup() {
	local p
	for p in "${PIDS[@]}"; do
		kill -CONT "$p" 2> /dev/null
		kill -KILL "$p" 2> /dev/null
	done
	[ "${#CLIENTS[@]}" -gt 0 ] && kill "${CLIENTS[@]}" 2> /dev/null
	wait 2> /dev/null
	if [ -n "${KEEP:-}" ]; then
		echo "kept: $WORK" >&2
	else
		rm -rf "$WORK"
	fi
}

# Starts a program in the background: start NAME COMMAND...
start() {
	local name=$1
	shift
	(cd "$ROOT" && exec "$@") > "$WORK/$name.out" 2> "$WORK/$name.err" &
	PIDS[$name]=$!
	disown $! 2> /dev/null
	note "start $name"
}

# Sends a signal to a program: signal NAME KILL|STOP|CONT|TERM
signal() {
	note "SIG$2 $1"
	kill -"$2" "${PIDS[$1]}"
}

is_running() { kill -0 "${PIDS[$1]}" 2> /dev/null; }

# Whether a port accepts connections.
accepts() { (exec 3<> "/dev/tcp/$1/$2") 2> /dev/null; }

wait_for() {
	local limit=$1 i
	shift
	for ((i = 0; i < limit * 20; i++)); do
		"$@" && return 0
		sleep 0.05
	done
	return 1
}

# HTTP request: http SECONDS METHOD IP PORT PATH BODY [HEADER]...
# Sets STATUS (0 without a complete answer) and BODY.
http() {
	local limit=$1 method=$2 ip=$3 port=$4 path=$5 body=$6 line len=0 h
	shift 6
	STATUS=0
	BODY=
	exec {HTTP_FD}<> "/dev/tcp/$ip/$port" || return 1
	{
		printf '%s %s HTTP/1.1\r\nHost: %s\r\n' "$method" "$path" "${HOST:-$ip}"
		printf 'Content-Type: application/json\r\nContent-Length: %d\r\n' "${#body}"
		for h in "$@"; do printf '%s\r\n' "$h"; done
		printf '\r\n%s' "$body"
	} >&"$HTTP_FD" 2> /dev/null
	if IFS= read -r -t "$limit" -u "$HTTP_FD" line; then
		line=${line#* }
		STATUS=${line%% *}
		while IFS= read -r -t "$limit" -u "$HTTP_FD" line; do
			line=${line%$'\r'}
			[ -z "$line" ] && break
			case ${line,,} in
			content-length:*) len=${line#*: } ;;
			esac
		done
		[ "$len" -gt 0 ] && IFS= read -r -t "$limit" -N "$len" -u "$HTTP_FD" BODY
	fi
	exec {HTTP_FD}>&-
	[ "$STATUS" != 0 ]
} 2> /dev/null

# Writes a row of the operator's table: put_row KEY VALUE, or removes it.
put_row() {
	local value
	value=$(printf '%s' "$2" | base64 -w0)
	http 2 POST 127.0.0.1 "$STORE_PORT" /v1/rows-tx \
		"{\"writes\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"$1\",\"value\":\"$value\"}]}"
	[ "$STATUS" = 200 ]
}

route() {
	printf '{"name":"%s","host":"desk.example","path_prefix":"/%s/","service":"desk",' "$1" "$1"
	printf '"timeout_ms":1500,"target_latency_ms":60,"max_attempts":3,"stretch":1.6,"priority":0}'
}

put_config() {
	put_row config "{\"version\":$1,\"routes\":[$(route q)],\"services\":[{\"name\":\"desk\",\"admission_control\":true}],\"limits\":{}}"
}

# Renders a template for the sed expressions that follow.
render() {
	local from=$1 to=$2
	shift 2
	sed "$@" -e 's|{{#bounds.[a-z_]*}}||g; s|{{/bounds.[a-z_]*}}||g' \
		-e 's|{{#limits.[a-z_]*}}||g; s|{{/limits.[a-z_]*}}||g' \
		-e 's|resubmit_ms = {{.}}|resubmit_ms = 1300|' \
		-e 's|evacuate_ms = {{.}}|evacuate_ms = 5000|' \
		-e 's|descriptors = {{.}}|descriptors = 4100|' \
		-e "s|{{platform.address}}|127.0.0.1:$STORE_PORT|" \
		-e "s|{{internal_ports.0}}|$RPC_PORT|" \
		"$ROOT/$from" > "$to"
	! grep -q '{{' "$to" || cannot_run "template $from has more fields"
}

list() {
	local text= s
	for s in "$@"; do text+="${text:+,}\"$s:$CONTROL_PORT\""; done
	echo "$text"
}

# start_entry I SEED_IP...
start_entry() {
	local i=$1 ip seeds
	ip=$(entry_ip "$i")
	shift
	seeds=$(list "$@")
	render deploy/entry.toml.in "$WORK/entry$i.toml" \
		-e "s|{{ip}}:9100|$ip:$((BASE_PORT + 5))|" \
		-e "s|{{node_name}}|front-$i|; s|{{zone}}|z$i|; s|{{ip}}|$ip|g" \
		-e "s|{{listen.front}}|$ip:$FRONT_PORT|; s|{{listen.ready}}|$ip:$READY_PORT|" \
		-e "s|{{#seeds}}.*{{/seeds}}|$seeds|; s|memory_mb = {{.}}|memory_mb = 260|"
	start "entry$i" "$ENTRY" dispatch --settings "$WORK/entry$i.toml"
}

agent_port() { echo $((BASE_PORT + 10 + $1)); }
minion_port() { echo $((BASE_PORT + 40 + $1)); }

# start_agent I ZONE SEED_IP...
start_agent() {
	local i=$1 zone=$2 seeds
	shift 2
	seeds=$(list "$@")
	render deploy/agent.toml.in "$WORK/agent$i.toml" \
		-e "s|{{node_name}}|side-$i|; s|{{zone}}|$zone|" \
		-e "s|{{ip}}:9101|127.0.0.1:$((BASE_PORT + 70 + i))|" \
		-e "s|{{listen.control}}|127.0.0.1:$(agent_port "$i")|" \
		-e "s|{{app}}|127.0.0.1:$(minion_port "$i")|" \
		-e "s|{{#seeds}}.*{{/seeds}}|$seeds|; s|memory_mb = {{.}}|memory_mb = 128|"
	start "agent$i" "$AGENT" --execute --settings "$WORK/agent$i.toml"
}

# start_minion I ZONE
start_minion() {
	start "minion$1" "$FAKES/fake_minion" --port "$(minion_port "$1")" \
		--agent "$(agent_port "$1")" --cpu 64000 --name "i-$1" --az "$2" \
		--log "$WORK/runs"
}

# Whether the ports from BASE_PORT on are free on all addresses of the test.
ports_are_free() {
	local i ip
	for ((i = 0; i < 100; i++)); do
		accepts 127.0.0.1 $((BASE_PORT + i)) && return 1
	done
	for ip in 127.0.0.1{1..5}; do
		for i in 1 2 3 4 5; do
			accepts "$ip" $((BASE_PORT + i)) && return 1
		done
	done
	return 0
}

# Starts the store and sets the ports of the deployment.
start_store() {
	CLIENTS=()
	: > "$RECORD"
	: > "$WORK/runs"
	trap cleanup EXIT
	local i
	for ((i = 0; i < 50; i++)); do
		BASE_PORT=$((16000 + RANDOM % 150 * 100))
		ports_are_free && break
	done
	START_MS=$(now_ms)
	STORE_PORT=$BASE_PORT
	FRONT_PORT=$((BASE_PORT + 1))
	READY_PORT=$((BASE_PORT + 2))
	CONTROL_PORT=$((BASE_PORT + 3))
	RPC_PORT=$((BASE_PORT + 4))
	HOST=desk.example
	for i in "$ENTRY" "$AGENT" "$FAKES/fake_minion" "$FAKES/fake_platform"; do
		[ -x "$i" ] || cannot_run "$i is not built"
	done
	start store "$FAKES/fake_platform" --port "$STORE_PORT"
	wait_for 5 accepts 127.0.0.1 "$STORE_PORT" || cannot_run "no store"
	put_config 1 || cannot_run "the store takes no configuration"
}

is_ready() {
	http 1 GET "$(entry_ip "$1")" "$READY_PORT" /v1/readiness ""
	[ "$STATUS" = 200 ]
}

wait_ready() {
	local i
	for i in "$@"; do
		wait_for 10 is_ready "$i" || cannot_run "entry $i is not ready"
	done
}

# Submits a job and waits for the answer:
# post ENTRY ID DEADLINE_MS STEPS_JSON [SPEC]
post() {
	local n=$1 id=$2 deadline=$3 steps=$4 spec=$5
	note "POST $id to entry$n"
	http $((deadline / 1000 + 2)) POST "$(entry_ip "$n")" "$FRONT_PORT" "/q/$id" \
		"{\"spec\":\"$spec\",\"best_effort\":true,\"steps\":$steps}" \
		"X-Pimentodock-Deadline-Ms: $deadline"
	note "answer to POST $id of entry$n: $STATUS $BODY"
}

# Cancels a job: cancel ENTRY ID
cancel() {
	note "DELETE $2 to entry$1"
	http 4 DELETE "$(entry_ip "$1")" "$FRONT_PORT" "/q/$2" ""
	note "answer to DELETE $2 of entry$1: $STATUS $BODY"
}

# Lines of the log of runs of a job: MS KIND MINION PID TASK RUN
runs_of() { grep "	$1\." "$WORK/runs"; }

# Copies the log of runs to the record, in ms since the start.
record_runs() {
	awk -F'\t' -v s="$START_MS" '{ printf "%d run %s %s task %s run %s\n", $1 - s, $2, $3, $5, $6 }' \
		"$WORK/runs" >> "$RECORD"
	sort -n -s -k1,1 -o "$RECORD" "$RECORD"
}
