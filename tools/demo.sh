#!/usr/bin/env bash
# Demonstration on one machine: a small fleet under traffic, a configuration change, a killed host and a withdrawn key.
# Exits with 0 only if quayload reports success and no process of the fleet is left running.
set -uo pipefail
build=${1:-build}

TMPDIR=$(mktemp -d)
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout --signal=TERM 120 "$build/quayload" demo --seed="${SEED:-1}"
status=$?
# The command line of every process of the fleet names a file below TMPDIR.
if remaining=$(pgrep -af "$TMPDIR"); then
  echo "demo: processes left behind:"
  echo "$remaining"
  status=1
fi
exit $status
