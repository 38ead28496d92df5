#!/usr/bin/env bash
# Runs the demo: two data centres with five instances each, their backend
# servers, the platform, the network fabric and the callers of both users, as
# separate processes on loopback addresses. During about 30 s of load it changes
# a profile, shuts an instance down gracefully, drains backend servers and kills
# an instance. The stand-ins (test doubles) count violated guarantees. Exit
# status 0: none was violated.
set -euo pipefail
cd "$(dirname "$0")/.."

BASE=             # second byte of the first of five consecutive loopback networks 127.N.0.0/16
SECONDS_OF_LOAD=${DEMO_SECONDS:-30}
BOARD_RATE=${DEMO_BOARD_RATE:-250}   # requests a second
KELANI_RATE=${DEMO_KELANI_RATE:-150}
FEEDS=${DEMO_FEEDS:-100}             # per user
SEED=${DEMO_SEED:-1}

# Reserves loopback networks that no other run on this machine uses.
for b in $(seq 10 5 95); do
	LOCK=${TMPDIR:-/tmp}/arbutusdock-net-$b
	if mkdir "$LOCK" 2>/dev/null; then
		BASE=$b
		break
	fi
done
[ -n "$BASE" ] || { echo "no free loopback networks; remove stale ${TMPDIR:-/tmp}/arbutusdock-net-*" >&2; exit 1; }

RUN=$(mktemp -d "${TMPDIR:-/tmp}/arbutusdock-demo.XXXXXX")
BIN=$RUN/bin
HELPERS=127.$((BASE + 4)).0
PLATFORM=http://$HELPERS.1:7300
BACKEND=http://$HELPERS.2:7400
declare -A PID=()

# Terminates the processes of this run by process id. The run directory is kept
# if the run failed.
finish() {
	local status=$? name
	trap - EXIT INT TERM
	for name in "${!PID[@]}"; do kill -TERM "${PID[$name]}" 2>/dev/null || true; done
	for _ in $(seq 30); do
		local left=0
		for name in "${!PID[@]}"; do kill -0 "${PID[$name]}" 2>/dev/null && left=1; done
		[ "$left" = 0 ] && break
		sleep 0.1
	done
	for name in "${!PID[@]}"; do kill -KILL "${PID[$name]}" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rmdir "$LOCK"
	if [ "$status" = 0 ]; then rm -rf "$RUN"; else echo "logs and counts: $RUN" >&2; fi
	exit "$status"
}
trap finish EXIT INT TERM

# start NAME COMMAND... runs a command in the background with its output in a
# log file.
start() {
	local name=$1
	shift
	"$@" >"$RUN/$name.log" 2>&1 &
	PID[$name]=$!
}
# pause SECONDS waits; unlike a plain sleep, a signal interrupts it at once.
pause() {
	sleep "$1" &
	PID[pause]=$!
	wait "${PID[pause]}"
	unset 'PID[pause]'
}
alive() {
	local name
	for name in "${!PID[@]}"; do
		kill -0 "${PID[$name]}" 2>/dev/null || { echo "$name has exited:" >&2; tail -n 5 "$RUN/$name.log" >&2; return 1; }
	done
}
event() { echo "$(date +%s%3N) $*" | tee -a "$RUN/events" >&2; }
control() { "$BIN/standin" http "$@" >/dev/null; }
until_ok() { # COMMAND...: retries the command for up to 15 s until it succeeds
	for _ in $(seq 150); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.1
	done
	echo "timed out: $*" >&2
	return 1
}

echo "building into $RUN" >&2
mkdir -p "$BIN" "$RUN/keys"
"${GO:-go}" build -o "$BIN/" ./cmd/arbutusdockd ./cmd/arbutusdock ./cmd/standin
"$BIN/standin" generate --out "$RUN" --base "$BASE"
"$BIN/arbutusdock" check "$RUN"/documents/*/*.toml "$RUN"/instances/*/settings.toml >"$RUN/check.log" || { cat "$RUN/check.log"; exit 1; }
"$BIN/arbutusdock" keys ca --dir "$RUN/keys" >/dev/null
"$BIN/arbutusdock" keys admission --dir "$RUN/keys" --id 1 >/dev/null
# shellcheck disable=SC2046 # ids have no spaces
"$BIN/arbutusdock" keys instance --dir "$RUN/keys" $(cut -d' ' -f1 "$RUN/instances.txt") >/dev/null

start platform "$BIN/standin" platform --documents "$RUN/documents" --lag 500ms \
	--listen "$HELPERS.1:7300" "127.$((BASE + 4)).1.1:7300" "127.$((BASE + 4)).2.1:7300"
start backend "$BIN/standin" backend --documents "$RUN/documents" --listen "$HELPERS.2:7400" --drain-grace 6s \
	--run counter=30ms slip=50ms alarm=20ms certificate=20ms
until_ok control GET "$PLATFORM/control/counts"
start fabric "$BIN/standin" fabric --documents "$RUN/documents" --platform "$PLATFORM" --control "$HELPERS.3:7400" --seed "$SEED" \
	--links "$RUN/links.txt" \
	--public "dc1=127.$((BASE + 2)).1.1" "dc2=127.$((BASE + 2)).2.1"
until_ok control PUT "http://$HELPERS.3:7400/faults" '{"delay_ms":{"dc1":1,"dc2":1},"between_ms":0.5}'
while read -r id dc ip peer; do
	start "$id" "$BIN/arbutusdockd" "$RUN/instances/$id/settings.toml"
	control PUT "$PLATFORM/control/instances/$id" "{\"data_centre\":\"$dc\",\"caller_ip\":\"$ip\",\"peer_addr\":\"$peer\"}"
done <"$RUN/instances.txt"
while read -r id _ ip _; do
	until_ok "$BIN/standin" http GET "http://$ip:7200/v1/state"
done <"$RUN/instances.txt"
pause 3 # the instances discover each other and read the documents
alive

echo "load for $SECONDS_OF_LOAD s" >&2
callers=(--documents "$RUN/documents" --duration "${SECONDS_OF_LOAD}s" --feeds "$FEEDS" --seed "$SEED"
	--public "dc1=127.$((BASE + 2)).1.1" "dc2=127.$((BASE + 2)).2.1")
start board "$BIN/standin" caller "${callers[@]}" --user board --local "127.$((BASE + 3)).1.1" \
	--rate "$BOARD_RATE" --burst 3 --hosts north.board.example south.board.example --out "$RUN/board.json"
start kelani "$BIN/standin" caller "${callers[@]}" --user kelani --local "127.$((BASE + 3)).2.1" \
	--rate "$KELANI_RATE" --out "$RUN/kelani.json"

pause 3
event profile "swap the weights of profile peak"
awk '/^weight/ { $0 = (n++ ? "weight = 3" : "weight = 1") } { print }' "$RUN/documents/profile/peak.toml" >"$RUN/peak.toml"
control PUT "$PLATFORM/v1/documents/profile/peak" "@$RUN/peak.toml"
pause 3
event stop-begin dc1-2
kill -TERM "${PID[dc1-2]}"
control POST "$PLATFORM/control/instances/dc1-2/leave"
wait "${PID[dc1-2]}" || event stop-failed "dc1-2 exited with status $?"
event stop-end dc1-2
control DELETE "$PLATFORM/control/instances/dc1-2"
unset 'PID[dc1-2]'
pause 2
event drain "counter-1-3 alarm-1-1"
control PUT "$BACKEND/control" '{"service":"counter","target":"counter-1-3","state":"draining"}'
control PUT "$BACKEND/control" '{"service":"alarm","target":"alarm-1-1","state":"draining"}'
pause 9
event kill dc2-3
kill -KILL "${PID[dc2-3]}"
unset 'PID[dc2-3]'
control DELETE "$PLATFORM/control/instances/dc2-3"
wait "${PID[board]}"
unset 'PID[board]'
wait "${PID[kelani]}"
unset 'PID[kelani]'

"$BIN/standin" report --backends "$BACKEND" --callers "$RUN/board.json" "$RUN/kelani.json" --events "$RUN/events"
