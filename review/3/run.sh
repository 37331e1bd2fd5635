#!/bin/sh
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Build first by the command of
# deploy/balancer.toml, then by review/build.sh. What was sent, answered and run is written to record.txt in this folder.
# TROUBLE=0 does the same without the disruption, and has to end with 0.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
record="$folder/record.txt"
: > "$record" || exit 2
if [ ! -f "$root/target/rillyard.jar" ] || [ ! -f "$root/target/review-classes/SlowAnswer.class" ]; then
  echo "not built: build by the command of deploy/balancer.toml, then review/build.sh" | tee "$record" >&2
  exit 2
fi
if [ "${TROUBLE:-1}" = 0 ]; then trouble=off; else trouble=on; fi
java -Dreview.root="$root" -Dreview.trouble="$trouble" -cp "$root/target/review-classes" SlowAnswer "$record" &
pid=$!
trap 'kill "$pid"; wait "$pid"; exit 2' INT TERM HUP
wait "$pid"
case $? in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
