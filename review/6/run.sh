#!/usr/bin/env bash
# Runs the case and writes what was sent, answered and run to record.txt.
# With TROUBLE=0 it does the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
record=$here/record.txt
: >"$record" || exit 2
cd "$here/../.." || exit 2
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 "$here/case.py" "$record" "${TROUBLE:-1}" 2>>"$record" &
case=$!
trap 'kill "$case" 2>/dev/null' INT TERM
wait "$case"
status=$?
while kill -0 "$case" 2>/dev/null; do
  wait "$case"
  status=$?
done
# An interpreter that fails exits with 1, so the case says "broken" otherwise.
case $status in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
