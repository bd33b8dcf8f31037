#!/usr/bin/env bash
# Measures the objectives of docs/design.md, section 1.2, and prints a table of results. Takes about 7 minutes. Stores the
# results of each run as JSON in bench-results below the build folder. Exits with 0 if every run was completed.
set -uo pipefail
build=${1:-build}
seed=${SEED:-1}
results=$build/bench-results
mkdir -p "$results"
rm -f "$results"/*.json
status=0

# Runs quayload and stores its results. Arguments: name of the run, command and flags of quayload.
measure() {
  local name=$1
  shift
  echo "bench: $name" >&2
  "$build/quayload" "$@" --seed="$seed" --json > "$results/$name.json" 2> "$results/$name.log"
  local rc=$?
  # Status 3 means that the run was completed and a history property was violated, which the table shows.
  if [ "$rc" != 0 ] && [ "$rc" != 3 ]; then
    echo "bench: $name failed with status $rc: $(tail -n 1 "$results/$name.log")" >&2
    rm -f "$results/$name.json"
    status=1
  fi
}

measure surge compare --scenario=surge
measure surge-landesamt run --scenario=surge --profile=landesamt
measure deep-slow run --scenario=deep-slow
measure retry-storm run --scenario=retry-storm
measure steady-landesamt run --scenario=steady --profile=landesamt
measure kill-host run --scenario=kill-host
measure key-withdrawn run --scenario=key-withdrawn
measure latency run --scenario=latency
measure changes run --scenario=changes
measure quiet run --scenario=quiet

python3 - "$results" <<'PYTHON'
import json
import os
import sys

folder = sys.argv[1]
runs = {}
for name in sorted(os.listdir(folder)):
    if name.endswith(".json"):
        with open(os.path.join(folder, name)) as file:
            runs[name[:-5]] = json.load(file)


def product(name):
    return runs[name]["product"][0]


def recovery(name):
    seconds = product(name)["recovery_s"]
    return "none within the run" if seconds is None else f"{seconds:.1f} s"


def count_of(entry):
    return f"{entry['count']} of {entry['of']}"


def latency(rate):
    added = next(entry for entry in runs["latency"]["product"] if entry["rate"] == rate)["added_p99_ms"]
    return f"{added['mean']:.2f} ms ({added['least']:.2f} to {added['most']:.2f})"


def history():
    checked = [run for entry in runs.values() if isinstance(entry.get("product"), list)
               for run in entry["product"] if "history" in run]
    violations = sum(sum(run["history"]["violations"].values()) for run in checked)
    return f"{violations} broken in {sum(run['history']['executions'] for run in checked)} executions"


def changes():
    run = runs["changes"]
    return f"{run['within_1_s']} of {run['changes']}; longest {run['longest_s']:.2f} s"


def quiet():
    run = runs["quiet"]
    return f"{100 * run['mean_core']:.2f} % of a core (most {100 * run['most_core']:.2f} %), {run['most_megabytes']:.0f} MB"


rows = [
    ("goodput at twice capacity, foundry", ">= 0.95 of the ideal", lambda: f"{runs['surge']['goodput']['product']['mean']:.3f}"),
    ("  the naive baseline", "collapses", lambda: f"{runs['surge']['goodput']['naive']['mean']:.3f}"),
    ("goodput at twice capacity, landesamt", ">= 0.95 of the ideal", lambda: f"{runs['surge-landesamt']['goodput']['product']['mean']:.3f}"),
    ("recovery after a surge", "<= 2 s", lambda: recovery("surge")),
    ("recovery after a slow deep service", "<= 2 s", lambda: recovery("deep-slow")),
    ("recovery after a retry storm", "<= 2 s", lambda: recovery("retry-storm")),
    ("worst-served account, landesamt surge", ">= 0.95 of its share", lambda: f"{product('surge-landesamt')['worst_account']['share']:.3f}"),
    ("wrongful refusals, landesamt steady", "<= 1 in 1,000", lambda: count_of(product("steady-landesamt")["wrongful_refusals"])),
    ("wrongful refusals, a host killed", "<= 1 in 100", lambda: count_of(product("kill-host")["wrongful_refusals"])),
    ("critical requests shed, surge", "0", lambda: count_of(product("surge")["critical_shed"])),
    ("promises of the history checks", "0 broken", history),
    ("changes in force on every host within 1 s", "99 in 100; all in 5 s", changes),
    ("withdrawn key last served", "<= 3 s", lambda: f"{product('key-withdrawn')['withdrawn_served_s']:.2f} s"),
    ("added latency p99, 253 calls/s", "<= 0.39 ms", lambda: latency(253)),
    ("added latency p99, 2,530 calls/s", "<= 0.39 ms", lambda: latency(2530)),
    ("quiet node", "<= 1.2 % of a core, 32 MB", quiet),
    ("quiet node, bytes a second", "<= 4 KB/s", lambda: "not measured"),
]
print(f"{'measure':44}{'target':27}result")
for measure, target, result in rows:
    try:
        text = result()
    except (KeyError, IndexError, StopIteration):
        text = "run failed"
    print(f"{measure:44}{target:27}{text}")
if "surge" in runs:
    print("scale:", runs["surge"]["scale"])
PYTHON
exit $status
