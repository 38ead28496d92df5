#!/usr/bin/env bash
# Measures daemon processes in one data centre, for each number of instances given
# as an argument (default 5 10 20 40): control traffic, processor time and memory
# of an idle instance, reads from the platform, and the time until a change is in
# effect on all instances. Prints one line per number. Uses loopback addresses
# only and ends its own processes by process id.
set -euo pipefail
cd "$(dirname "$0")/.."

BASE=80 # second byte of the first of five consecutive loopback networks 127.N.0.0/16
SETTLE=${SETTLE_SECONDS:-20}
WINDOW=${WINDOW_SECONDS:-10}
RUN=$(mktemp -d)
PLATFORM=http://127.$((BASE + 4)).0.1:7300
PIDS=()

end() {
	for p in "${PIDS[@]:-}"; do [ -z "$p" ] || kill -KILL "$p" 2>/dev/null || true; done
	wait 2>/dev/null || true
	PIDS=()
}
trap 'end; rm -rf "$RUN"' EXIT
trap 'exit 1' INT TERM

http() { "$RUN/bin/standin" http "$@"; }
# metric ID NAME: value of a metric of an instance
metric() { http GET "http://$(address "$1"):7200/debug/vars" | tr ',' '\n' | sed -n "s/.*\"$2\": *\([0-9]*\).*/\1/p" | head -1; }
address() { awk -v id="$1" '$1 == id { print $3 }' "$dir/instances.txt"; }
reads() { http GET "$PLATFORM/control/counts" | tr ',{}' '\n\n\n' | awk -F: '/reads|watches/ { n += $2 } END { print n + 0 }'; }
# cpu PID: processor time of a process, in clock ticks of 10 ms
cpu() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
memory() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
in_force() { # REVISION: number of instances that have applied this revision
	local n=0 id
	for id in $IDS; do
		http GET "http://$(address "$id"):7200/v1/state" 2>/dev/null | grep -qE "\"[Rr]evision\": *$1\b" && n=$((n + 1))
	done
	echo "$n"
}

measure() {
	local n=$1
	dir=$RUN/$n
	"$RUN/bin/standin" generate --out "$dir" --base "$BASE" --data-centres 1 --instances "$n" >/dev/null
	mkdir "$dir/keys"
	IDS=$(cut -d' ' -f1 "$dir/instances.txt")
	"$RUN/bin/arbutusdock" keys ca --dir "$dir/keys" >/dev/null
	"$RUN/bin/arbutusdock" keys admission --dir "$dir/keys" --id 1 >/dev/null
	# shellcheck disable=SC2086 # ids have no spaces
	"$RUN/bin/arbutusdock" keys instance --dir "$dir/keys" $IDS >/dev/null
	"$RUN/bin/standin" platform --documents "$dir/documents" --lag 500ms \
		--listen "127.$((BASE + 4)).0.1:7300" "127.$((BASE + 4)).1.1:7300" >"$dir/platform.log" 2>&1 &
	PIDS+=($!)
	sleep 0.5
	# The fabric also carries the links between the instances.
	"$RUN/bin/standin" fabric --documents "$dir/documents" --platform "$PLATFORM" --control "127.$((BASE + 4)).0.3:7400" \
		--links "$dir/links.txt" --public "dc1=127.$((BASE + 2)).1.1" >"$dir/fabric.log" 2>&1 &
	PIDS+=($!)
	sleep 0.5
	local id dc ip peer pids=()
	while read -r id dc ip peer; do
		"$RUN/bin/arbutusdockd" "$dir/instances/$id/settings.toml" >"$dir/$id.log" 2>&1 &
		PIDS+=($!)
		pids+=($!)
		http PUT "$PLATFORM/control/instances/$id" "{\"data_centre\":\"$dc\",\"caller_ip\":\"$ip\",\"peer_addr\":\"$peer\"}" >/dev/null
	done <"$dir/instances.txt"
	sleep "$SETTLE"

	local before=0 after=0 c0=0 c1=0 rss=0 r0 r1 p
	for id in $IDS; do before=$((before + $(metric "$id" link_control_sent_bytes_total))); done
	for p in "${pids[@]}"; do c0=$((c0 + $(cpu "$p"))); done
	r0=$(reads)
	local t0 t1
	t0=$(date +%s%N)
	sleep "$WINDOW"
	for p in "${pids[@]}"; do c1=$((c1 + $(cpu "$p"))) rss=$((rss + $(memory "$p"))); done
	r1=$(reads)
	t1=$(date +%s%N)
	for id in $IDS; do after=$((after + $(metric "$id" link_control_sent_bytes_total))); done

	local revision start elapsed worst=0 k
	revision=$(http GET "$PLATFORM/v1/documents" | grep -oE '"upto": *[0-9]+' | grep -oE '[0-9]+$')
	for k in 1 2 3; do
		start=$(date +%s%N)
		http PUT "$PLATFORM/v1/documents/profile/peak" "@$dir/documents/profile/peak.toml" >/dev/null
		while [ "$(in_force $((revision + k)))" -lt "$n" ]; do
			[ $(($(date +%s%N) - start)) -lt 30000000000 ] || break
		done
		elapsed=$((($(date +%s%N) - start) / 1000000))
		worst=$((elapsed > worst ? elapsed : worst))
	done
	awk -v n="$n" -v b=$((after - before)) -v c=$((c1 - c0)) -v t=$((t1 - t0)) -v m="$rss" -v r=$((r1 - r0)) -v w="$worst" 'BEGIN {
		s = t / 1e9
		printf "instances=%d control_bytes_per_second=%.0f cpu_percent=%.2f memory_mb=%.1f platform_reads_per_second=%.2f change_in_force_ms=%d\n",
			n, b / n / s, c / n / s, m / n / 1024, r / s, w }'
	end
}

mkdir "$RUN/bin"
"${GO:-go}" build -o "$RUN/bin/" ./cmd/arbutusdockd ./cmd/arbutusdock ./cmd/standin
[ $# -gt 0 ] || set -- 5 10 20 40
for n in "$@"; do measure "$n"; done
