#!/usr/bin/env bash
# A front machine is cut off for 5.5 s. The connection of a client breaks
# meanwhile, and the client sends its job again to another front machine.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"

CUT_S=5.5
BROKEN_AFTER_S=2 # keep-alive probes of the client: 1 s idle, then 2 of 0.5 s
RETRANSMIT_S=1.3 # retransmit_ms
DEADLINE_MS=15000
RUN_MS=5000
id=00000000000000a1
spec="run_ms=$RUN_MS cpu=6000"

start_store
set_queue $DEADLINE_MS 10000
prepare_entry 1 relayed
prepare_entry 2
start_cut_entry 2
start_entry 2 2
for i in 1 2 3; do
	start_agent $i 2
	start_minion $i 16000
done
await_workers 1 3
await_workers 2 3

note "client: POST $id to front-1, one task of $RUN_MS ms"
exec 3<>"/dev/tcp/127.0.0.1/$clients_1"
job "$spec" 6000 $RUN_MS
http_text POST "/q/$id" "$body" "X-Pimentodock-Deadline-Ms: $DEADLINE_MS" >&3
sleep 1
if [ "$trouble" = 0 ]; then
	read -r -t 15 status <&3
	note "client: ${status%$'\r'}"
else
	note "front-1 is cut off for $CUT_S s"
	set_cut silent
	sleep $BROKEN_AFTER_S
	note "client: the connection to front-1 is broken"
	exec 3>&-
	sleep $RETRANSMIT_S
	note "client: POST $id to front-2"
	post 2 $id "$spec" 6000 $RUN_MS $DEADLINE_MS >"$tmp/answer2" &
	second=$!
	sleep "$(awk "BEGIN { print $CUT_S - $BROKEN_AFTER_S - $RETRANSMIT_S }")"
	note "front-1 is reachable again"
	set_cut pass
	wait $second
	note "client: $(cat "$tmp/answer2")"
fi
sleep 3
copy_runs
double_runs >"$tmp/doubles"
if [ -s "$tmp/doubles" ]; then
	note "TWICE is broken: $(cat "$tmp/doubles")"
	exit 1
fi
grep -q start "$runs" || cannot_run "nothing ran"
note "TWICE held"
