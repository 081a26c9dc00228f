#!/usr/bin/env bash
# Runs all tests with the race detector, but for those that KNOWN-RED.txt names:
# these are printed, not run. Any other failure fails the run.
# A line of KNOWN-RED.txt: "TestName | command and seed | what was seen | issue".
set -euo pipefail
cd "$(dirname "$0")/.."
skip=""
if [ -s KNOWN-RED.txt ]; then
  names=$(grep -vE '^(#|$)' KNOWN-RED.txt | cut -d'|' -f1 | tr -d ' ')
  if [ -n "$names" ]; then
    echo "Known red, passed over:"
    grep -vE '^(#|$)' KNOWN-RED.txt
    skip="^($(echo "$names" | paste -sd'|'))\$"
  fi
fi
# The crowds of clients run alone, as they measure a process's memory. Neither run goes over the other's tests.
crowds="^TestCrowd"
# Without -count=1 the result of bench/e2e could come from the cache, which does not
# know the binaries that it builds.
go test -race -count=1 -timeout 40m -skip "${skip:+$skip|}$crowds" "$@"
go test -race -count=1 -timeout 20m -p 1 -run "$crowds" ${skip:+-skip "$skip"} ./bench/soak ./bench/e2e
