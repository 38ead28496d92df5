#!/usr/bin/env bash
# Runs all tests. With a list of tests that are known to fail (KNOWN-RED.txt), exactly
# those do not count: they are run by themselves, and their results are only printed.
# Fails if an entry names a test that does not exist.
#
#   scripts/test.sh [LIST]
#
# An entry of the list is a line "PACKAGE TEST", such as "./soak TestSoak/seed-7".
# Indented lines below it, empty lines and lines that begin with # are for the reader.
set -euo pipefail
GO=${GO:-go}
list=${1:-}

status=0
declare -A skip # pattern of the tests passed over, by package
if [ -n "$list" ]; then
	while read -r package test rest; do
		if [ -z "$test" ] || [ -n "$rest" ]; then
			echo "$list: entry \"$package $test $rest\" is not PACKAGE TEST" >&2
			exit 1
		fi
		pattern="^${test//\//\$/^}\$"
		output=$("$GO" test -count=1 -v -run "$pattern" "$package" 2>&1) && result=passes || result=fails
		if ! grep -qxF -- "=== RUN   $test" <<<"$output"; then
			echo "$list: test $test of $package does not exist" >&2
			status=1
			continue
		fi
		echo "known to fail: $package $test: $result"
		skip[$package]=${skip[$package]:+${skip[$package]}|}$pattern
	done < <(grep -vE '^([[:space:]]|#|$)' "$list")
fi

packages=$("$GO" list ./...)
for package in "${!skip[@]}"; do
	"$GO" test -count=1 -skip "${skip[$package]}" "$package" || status=1
	packages=$(grep -vxF "$("$GO" list "$package")" <<<"$packages" || true)
done
if [ -n "$packages" ]; then
	# shellcheck disable=SC2086 # one word for each package
	"$GO" test -count=1 $packages || status=1
fi
exit $status
