#!/usr/bin/env bash
# Demonstration on one machine: a small fleet under traffic, a configuration change, a killed host and a withdrawn key.
# Exits with 0 only if every figure holds and no process is left.
set -uo pipefail
build=${1:-build}

TMPDIR=$(mktemp -d)
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout --signal=TERM 120 "$build/quayload" demo --seed="${SEED:-1}"
status=$?
# Every process of the fleet has a file below TMPDIR on its command line.
if left=$(pgrep -af "$TMPDIR"); then
  echo "demo: processes left behind:"
  echo "$left"
  status=1
fi
exit $status
