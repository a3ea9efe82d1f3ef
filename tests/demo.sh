#!/usr/bin/env bash
# Demo: three entries, eleven agents with endpoints of unequal speed, and a load
# of 30 s, during which a zone is taken out of service and brought back.
#
# The counts in the last line come from the load client and from the start logs
# of the endpoints, not from pimentodock itself. The exit code is 0 if every
# submission was answered, no task started twice, no answer was partial, and no
# task started in the zone more than 3 s after the change was reported as
# accepted.
set -u

build=${1:?usage: demo.sh BUILD_FOLDER}
LOAD_S=30
ZONE=morbihan
OUT_LIMIT_MS=3000
folder=$(mktemp -d)
pids=()

end_all() {
	{
		kill "${pids[@]}"
		# Processes that are still running after 3 s are killed.
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
	echo "demo: $*" >&2
	tail -n 5 "$folder"/*.err >&2
	exit 1
}

# start NAME COMMAND...: run in the background; output in NAME.out, NAME.err
start() {
	local name=$1
	shift
	"$@" >"$folder/$name.out" 2>"$folder/$name.err" &
	pids+=($!)
}

# ready NAME: wait for the line "ready PORT..." and print the ports
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

# Ports outside of the ranges of outgoing connections and of the test harness.
next_port=$((2100 + $$ % 50 * 190))
free_port() {
	while
		port=$next_port
		next_port=$((next_port + 1))
		(exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null
	do :; done
}

now_ms() { date +%s%3N; }

quote_list() {
	local sep='' item
	for item in "$@"; do
		printf '%s"%s"' "$sep" "$item"
		sep=', '
	done
}

azs=(finistere morbihan armor)
speeds=1,0.5,2,1,0.8,1.5,1,0.25,1.2,1,3

start platform "$build/fakes/fake_platform"
platform=$(ready platform) || exit 1
start endpoints "$build/fakes/fake_endpoint" --name order-desk --count 11 \
    --slots 8 --speeds "$speeds" --log "$folder/starts.log"
read -r -a endpoints <<<"$(ready endpoints)"
[ "${#endpoints[@]}" -eq 11 ] || fail "endpoints are missing"

echo "demo-token-0123456789" >"$folder/token"
for i in 0 1 2; do
	free_port; callers[i]=$port
	free_port; operators[i]=$port
	free_port; rpc[i]=$port
done
for i in 0 1 2; do
	peers=()
	for j in 0 1 2; do
		[ $i = $j ] || peers+=("127.0.0.1:${rpc[j]}")
	done
	cat >"$folder/entry-$((i + 1)).toml" <<EOF
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
EOF
	start "entry-$((i + 1))" "$build/entry/pimentodock" serve \
	    --settings "$folder/entry-$((i + 1)).toml"
done

rows=()
for i in $(seq 11); do
	az=${azs[(i - 1) % 3]}
	free_port
	cat >"$folder/order-desk-$i.toml" <<EOF
name = "order-desk-$i"
availability_zone = "$az"
service = "order-desk"
worker = "worker-$i"
[endpoint]
url = "http://127.0.0.1:${endpoints[i - 1]}"
slots = 8
connections = 64
[entries]
addresses = [$(quote_list "${rpc[@]/#/127.0.0.1:}")]
[listen]
metrics = "127.0.0.1:$port"
EOF
	start "order-desk-$i" "$build/agent/pimentodock-agent" \
	    --settings "$folder/order-desk-$i.toml"
	rows+=("{\"name\": \"order-desk-$i\", \"az\": \"$az\", \"service\":
\"order-desk\", \"worker\": \"worker-$i\", \"owner\": \"lids\", \"slots\": 8}")
done

cat >"$folder/inventory.json" <<EOF
{"azs": [$(quote_list "${azs[@]}")],
"teams": [{"name": "lids", "weight": 1, "max_running": 0}],
"endpoints": [$(IFS=,; echo "${rows[*]}")],
"rules": []}
EOF

operate() {
	"$build/entry/pimentodock" "$@" \
	    --operator "http://127.0.0.1:${operators[0]}" \
	    --token-file "$folder/token"
}

# The entries register one after the other, so the first attempts may fail.
applied=
for _ in $(seq 100); do
	if operate config apply "$folder/inventory.json" \
	    >"$folder/apply.out" 2>"$folder/apply.err"; then
		applied=yes
		break
	fi
	sleep 0.2
done
[ -n "$applied" ] || fail "config apply failed: $(cat "$folder/apply.err")"

load=("$build/fakes/fake_load" --workload kerandour --seed 11)
for i in 0 1 2; do
	load+=(--entry "127.0.0.1:${callers[i]}")
done

# Wait until tasks complete through every entry.
for _ in $(seq 100); do
	"${load[@]}" --prefix "warm-$RANDOM" --clients 3 --count 12 \
	    --duration 5 --tasks 1 --run-ms 1 --deadline-ms 2000 \
	    >"$folder/warm.out" 2>&1 && grep -q ' complete=12 ' \
	    "$folder/warm.out" && break
	sleep 0.2
done
grep -q ' complete=12 ' "$folder/warm.out" || fail "the cell runs no tasks"

echo "demo: load of $LOAD_S s on 3 entries and 11 endpoints"
"${load[@]}" --prefix demo --rate 20 --duration "$LOAD_S" --duplicates 0.05 \
    --log "$folder/load.log" >"$folder/load.out" 2>"$folder/load.err" &
load_pid=$!
pids+=("$load_pid")

sleep 8
operate zone out "$ZONE" || fail "zone out failed"
out_ms=$(now_ms)
sleep 10
in_ms=$(now_ms)
operate zone in "$ZONE" || fail "zone in failed"
wait "$load_pid"
load_status=$?
cat "$folder/load.out"

doubles=$(cut -f 3,4 "$folder/starts.log" | sort | uniq -d | wc -l)
out_of_zone=$(awk -F '\t' -v from=$((out_ms + OUT_LIMIT_MS)) -v to="$in_ms" '
    { n = $2; sub(/.*-/, "", n) }
    (n - 1) % 3 == 1 && $1 > from && $1 < to { count++ }
    END { print count + 0 }' "$folder/starts.log")
returned=$(awk -F '\t' -v from="$in_ms" '
    { n = $2; sub(/.*-/, "", n) }
    (n - 1) % 3 == 1 && $1 > from { count++ }
    END { print count + 0 }' "$folder/starts.log")
echo "demo: starts in $ZONE after it was brought back: $returned"

count() { sed -n "s/.* $1=\([0-9]*\).*/\1/p" "$folder/load.out"; }
echo "demo: submissions=$(count submissions) complete=$(count complete)" \
    "failed=$(count failed) refused=$(count refused)" \
    "unknown=$(count unknown) double_starts=$doubles" \
    "partial=$(count partial) out_of_zone_starts=$out_of_zone"
[ "$load_status" -eq 0 ] && [ "$doubles" -eq 0 ] &&
    [ "$(count partial)" = 0 ] && [ "$(count unanswered)" = 0 ] &&
    [ "$out_of_zone" -eq 0 ]
