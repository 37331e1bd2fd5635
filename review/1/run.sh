#!/bin/sh
set -- LateSecondAnswer
. "$(dirname "$0")/../lab/run-case.sh"
