#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(dirname "$0")
python3 "$folder/kill.py"
killed=$?
python3 "$folder/stop.py"
stopped=$?
if [ "$killed" -eq 1 ] || [ "$stopped" -eq 1 ]; then
  exit 1
fi
exit $((killed > stopped ? killed : stopped))
