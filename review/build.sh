#!/bin/bash
# Checks the stand-ins that the cases start. They are Python with its standard library alone, so nothing is built;
# the project's own programs come from the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standins/*.py [0-9]/*.py <<'CHECK'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
print(f"{len(sys.argv) - 1} files compile")
CHECK
