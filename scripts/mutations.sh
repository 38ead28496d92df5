#!/usr/bin/env bash
# Applies each patch of internal/proof/testdata/mutations to a temporary copy,
# runs the proof on it and expects a failure. Arguments select patches by name.
set -euo pipefail
cd "$(dirname "$0")/.."
GO=${GO:-go}
root=$PWD
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 tar -cf - | tar -xf - -C "$copy"
survivors=0
for patch in "$root"/internal/proof/testdata/mutations/*.patch; do
	name=$(basename "$patch" .patch)
	if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then
		continue
	fi
	(cd "$copy" && patch -s -p1 <"$patch")
	status=0
	(cd "$copy" && timeout 240 "$GO" test ./internal/proof -count=1 -failfast -rapid.checks 40 -rapid.shrinktime 1s) >"$copy.out" 2>&1 || status=$?
	(cd "$copy" && patch -s -R -p1 <"$patch")
	if [ $status -eq 0 ]; then
		echo "SURVIVED $name"
		survivors=$((survivors + 1))
	elif ! grep -q -- '--- FAIL' "$copy.out"; then
		echo "NOT RUN $name"
		head -5 "$copy.out"
		survivors=$((survivors + 1))
	else
		echo "red $name: $(grep -m1 -o -E '(claim|exchange|feed|a request|a response|share|normal service|the outcome|the step|[a-z]+ [ab]-[0-9]|[ab][0-9]|[0-9]+ of 30) .*' "$copy.out" | cut -c1-140)"
	fi
	rm -f "$copy.out"
done
exit $((survivors > 0))
