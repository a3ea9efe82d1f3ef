#!/usr/bin/env bash
# Entry 0 is cut off from the store, the other entries and the workers of other
# zones for 5.5 s; 0.2 s after the cut has begun its zone is evacuated. Clients
# of the zone go on handing in jobs at entry 0. With TROUBLE=0 there is no cut.
# Exit code: 1 if a task started in the zone later than evacuate_ms (5,000) after
# the store had acknowledged the evacuation, 0 if none did, 2 if the case could
# not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
# shellcheck source=review/cell-2.sh
. review/cell-2.sh
record=review/10/record.txt
JOBS=90
GAP_MS=80
# The cut is ended within 80 ms after this: 5.5 s at most.
CUT_MS=5400
EVACUATE_MS=5000

relays=relays
start_cell 9 "$(route q 127.0.0.1 /q/)"

client() {
	local id
	id=$(printf '%016x' $((0xc000 + $1)))
	echo "$id $(send 0 POST 127.0.0.1 "/q/$id" "$(job 2 100 100)")" \
	    >>"$folder/clients.log"
}

# cut MODE: change all relays
cut() {
	local c
	for c in "${controls[@]}"; do control "$c" "mode=$1"; done
}

clients_pids=()
begin_ms=$(now_ms)
[ "$TROUBLE" = 0 ] || cut silent
sleep 0.2
store_put evacuate/finistere '{}'
acked_ms=$(now_ms)
healed_ms=
for n in $(seq "$JOBS"); do
	client "$n" &
	clients_pids+=($!)
	sleep_ms $((begin_ms + 200 + n * GAP_MS - $(now_ms)))
	if [ -z "$healed_ms" ] && [ "$(now_ms)" -ge $((begin_ms + CUT_MS)) ]; then
		healed_ms=$(now_ms)
		[ "$TROUBLE" = 0 ] || cut pass
	fi
done
wait "${clients_pids[@]}"

# Workers 3, 6 and 9 are in the zone.
sort -n "$folder/runs.log" | awk -F '\t' -v limit=$((acked_ms + EVACUATE_MS)) '
    $2 == "start" && $1 > limit && $3 ~ /^minion-[369]$/ {
	printf "%s run %s started on %s, %d ms after the bound\n", $5, $6, $3,
	    $1 - limit
    }' >"$folder/late"
{
	echo "trouble: $TROUBLE; cut from $begin_ms to $healed_ms"
	echo "evacuation of finistere acknowledged at $acked_ms"
	echo "starts there later than $EVACUATE_MS ms after it:" \
	    "$(wc -l <"$folder/late")"
	cat "$folder/late"
	echo
	echo "clients of entry 0: job, when it was sent and answered, and the" \
	    "answer"
	sort "$folder/clients.log"
	echo
	echo "runs at the endpoints: time, start or end, endpoint, process," \
	    "task, run"
	sort -n "$folder/runs.log" | grep $'\t000000000000c0'
} >"$record"
[ "$(grep -c ' 200 ' "$folder/clients.log")" -ge $((JOBS / 2)) ] ||
    cannot_run "fewer than half of the jobs were completed"
[ ! -s "$folder/late" ]
