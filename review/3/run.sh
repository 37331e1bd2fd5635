#!/bin/sh
set -- CrowdedDownload
. "$(dirname "$0")/../lab/run-case.sh"
