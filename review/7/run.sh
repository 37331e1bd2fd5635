#!/bin/sh
# Runs case 7: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. The build of the deploy file and review/build-2.sh come first.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
if [ ! -f "$root/target/rillyard.jar" ] || [ ! -f "$root/target/review-2-classes/lab2/Case7.class" ]; then
  echo "not built: build by the command of deploy/balancer.toml, then review/build-2.sh" >&2
  exit 2
fi
java -Xmx512m -cp "$root/target/review-2-classes" lab2.Case7 "$folder" &
pid=$!
trap 'kill "$pid"; wait "$pid"; exit 2' INT TERM HUP
wait "$pid"
case $? in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
