#!/usr/bin/env python3
"""Checks that docs/events.md lists exactly the events of peridotquay/process/Events.h, with number, name and severity."""
import re
import sys

code = re.findall(r"X\((\d+), (\w+), k(\w+)\)", open("peridotquay/process/Events.h").read())
docs = re.findall(r"^\| (\d+) \| (\w+) \| (\w+) \|", open("docs/events.md").read(), re.M)
missing = sorted(set(code) - set(docs))
unknown = sorted(set(docs) - set(code))
numbers = [number for number, _, _ in code]
for event in missing:
    print("not in docs/events.md:", *event)
for event in unknown:
    print("not in Events.h:", *event)
if len(numbers) != len(set(numbers)):
    print("an event number is used twice")
    sys.exit(1)
sys.exit(1 if missing or unknown else 0)
