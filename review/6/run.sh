#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
export CASE_FOLDER=$PWD PYTHONDONTWRITEBYTECODE=1
[ -x ../../target/bin/stoat-platform-control ] || { echo "the deploy file's build is missing"; exit 2; }
exec timeout -k 2 118 python3 case.py
