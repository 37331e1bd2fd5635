#!/bin/sh
# Builds the stand-ins and the programs of the cases 6 to 9 into target/review-2-classes, which is emptied first. Needs
# the JDK only. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
out=../target/review-2-classes
rm -rf "$out"
mkdir -p "$out"
javac --release 17 -d "$out" lab-2/*.java
