#!/bin/sh
# Builds what the scripts start besides the programs of the deploy file. The stand-ins are Python
# sources and need no package beyond Python 3.11, so they are only compiled to check their syntax.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in sorted(glob.glob("lib/*.py") + glob.glob("*/case.py")):
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
    print(name, "compiles")
CHECK
