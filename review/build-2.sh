#!/bin/bash
# Builds the stand-ins of review/standins-2/. They are Python programs of the standard library alone, so this
# only compiles them, which finds errors in them. The programs under test come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import glob

for name in sorted(glob.glob("*.py")):
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
    print("checked", name)
CHECK
