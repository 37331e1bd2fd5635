#!/bin/sh
set -- PipelinedRestart
. "$(dirname "$0")/../lab/run-case.sh"
