#!/bin/sh
# Runs case 7: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. The build of the deploy file and review/build-2.sh come first. What was sent, answered and run is written to
# record.txt in this folder.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
record="$folder/record.txt"
: > "$record" || exit 2
if [ ! -f "$root/target/rillyard.jar" ] || [ ! -f "$root/target/review-2-classes/lab2/Case7.class" ]; then
  echo "not built: build by the command of deploy/balancer.toml, then review/build-2.sh" | tee "$record" >&2
  exit 2
fi
temporary=$(mktemp -d) || exit 2
java -Xmx512m -Djava.io.tmpdir="$temporary" -cp "$root/target/review-2-classes" lab2.Case7 "$folder" &
pid=$!
trap 'kill "$pid"; wait "$pid"; rm -rf "$temporary"; exit 2' INT TERM HUP
wait "$pid"
status=$?
rm -rf "$temporary"
case $status in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
