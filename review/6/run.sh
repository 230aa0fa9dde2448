#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
timeout 120 python3 case.py
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
