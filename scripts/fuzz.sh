#!/usr/bin/env bash
# Runs the randomized tests (rapid) with new seeds for FUZZ_SECONDS (default 60),
# then each Go fuzz target for FUZZ_NATIVE_SECONDS (default 5). On a failure of a
# randomized test it prints the command with the seed that reproduces it.
set -euo pipefail
cd "$(dirname "$0")/.."
GO=${GO:-go}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
random="proof core passthrough fanout"
for package in $random; do
	"$GO" test -c -o "$dir/$package.test" "./internal/$package"
done
end=$(($(date +%s) + ${FUZZ_SECONDS:-60}))
runs=0
while [ "$(date +%s)" -lt "$end" ]; do
	seed=$(od -An -N6 -tu8 /dev/urandom | tr -d ' ')
	for package in $random; do
		if ! (cd "internal/$package" && "$dir/$package.test" -test.run 'Invariants|Planned|Random|Converges' -rapid.seed "$seed" -rapid.checks 20) >"$dir/out" 2>&1; then
			grep -v 'draw ' "$dir/out" | head -60
			echo "FAIL: go test ./internal/$package -run 'Invariants|Planned|Random|Converges' -rapid.checks 20 -rapid.seed $seed"
			exit 1
		fi
	done
	runs=$((runs + 1))
done
echo "random tests: $runs rounds of 20 checks with fresh seeds, ok"
for package in internal/message internal/peerwire internal/config internal/settings platform; do
	for target in $("$GO" test -list '^Fuzz' "./$package" | grep '^Fuzz'); do
		"$GO" test -run '^$' -fuzz "^$target\$" -fuzztime "${FUZZ_NATIVE_SECONDS:-5}s" -parallel 2 "./$package" | tail -1
	done
done
