# Runs the class $1 as the case of the folder that holds the calling script, and ends with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. Sourced by run.sh, after the build of the deploy file and build.sh.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
if [ ! -f "$root/target/rillyard.jar" ] || [ ! -f "$root/target/review-classes/$1.class" ]; then
  echo "not built: build by the command of deploy/balancer.toml, then review/build.sh" >&2
  exit 2
fi
java -Dreview.root="$root" -cp "$root/target/review-classes" "$1" "$folder" &
pid=$!
trap 'kill "$pid"; wait "$pid"; exit 2' INT TERM HUP
wait "$pid"
case $? in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
