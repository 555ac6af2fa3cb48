#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 review/8/case.py &
case=$!
trap 'kill "$case" 2>/dev/null' INT TERM
wait "$case"
status=$?
while kill -0 "$case" 2>/dev/null; do
  wait "$case"
  status=$?
done
case $status in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
