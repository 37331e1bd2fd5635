#!/bin/sh
# build.sh JAVA_HOME OUT: compiles start.c. Without a C compiler or JDK 17 there is no such file, and
# `run` in deploy/launcher.toml takes the JDK's own launcher.
set -u
rm -f "$2"
grep -q '^JAVA_VERSION="17\.' "$1/release" 2>/dev/null && [ -f "$1/lib/libjli.so" ] && command -v cc >/dev/null &&
  cc -std=gnu99 -O1 -Wall -Werror -DLIBJLI="\"$1/lib/libjli.so\"" -o "$2" "$(dirname "$0")/start.c" -ldl ||
  echo "rillyard: no launcher of its own was built"
exit 0
