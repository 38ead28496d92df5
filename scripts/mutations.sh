#!/usr/bin/env bash
# Mutation tests: applies each patch in internal/proof/testdata/mutations to a
# temporary copy of the repository, runs the tests on it and expects a failure.
# Arguments select patches by name.
set -euo pipefail
cd "$(dirname "$0")/.."
GO=${GO:-go}
root=$PWD
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | tar --null -T - -cf - | tar -xf - -C "$copy"
# prove NAME runs the tests that check the system's guarantees: those of the
# packages that implement them, then the randomized tests and the fault matrix of
# internal/proof. Only the former are run for patches of pass-through instances
# (pt-*).
prove() {
	if [[ "$1" == pt-* ]]; then # patch of pass-through forwarding
		timeout 240 "$GO" test -count=1 -failfast ./internal/passthrough ./internal/follow ./internal/fanout ./internal/forwarder ./internal/httpget ./internal/coldlimit ./internal/overload ./internal/hedge ./platform
		return
	fi
	timeout 240 "$GO" test -count=1 -failfast ./internal/admission ./internal/config ./internal/share ./internal/spread ./internal/member ./internal/core &&
		timeout 240 "$GO" test ./internal/proof -count=1 -failfast -rapid.checks 40 -rapid.shrinktime 1s
}

survivors=0
for patch in "$root"/internal/proof/testdata/mutations/*.patch; do
	name=$(basename "$patch" .patch)
	if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then
		continue
	fi
	(cd "$copy" && patch -s -p1 <"$patch")
	status=0
	(cd "$copy" && prove "$name") >"$copy.out" 2>&1 || status=$?
	(cd "$copy" && patch -s -R -p1 <"$patch")
	if [ $status -eq 0 ]; then
		echo "SURVIVED $name"
		survivors=$((survivors + 1))
	elif ! grep -q -- '--- FAIL' "$copy.out"; then
		echo "NOT RUN $name"
		head -5 "$copy.out"
		survivors=$((survivors + 1))
	else
		echo "red $name: $(grep -m1 -o -E -- '--- FAIL: [A-Za-z0-9_]+' "$copy.out" | cut -d' ' -f3): $(grep -m1 -o -E '_test\.go:[0-9]+: (\[rapid\] )?[^[].*' "$copy.out" | grep -v 'draw ' | cut -c1-140)"
	fi
	rm -f "$copy.out"
done
exit $((survivors > 0))
