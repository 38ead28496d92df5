#!/usr/bin/env bash
# Builds the stand-ins of the scripts review/6 to review/10 into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/standins2 ./review/standins2
