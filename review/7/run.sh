#!/bin/sh
# Runs case 7: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. The build of the deploy file and review/build-2.sh come first.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx512m -cp target/review-2-classes Case7 review/7
