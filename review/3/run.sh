#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
export PYTHONPATH="$here/.."
exec timeout -s INT -k 6 112 python3 "$here/case.py" "$here/record.txt"
