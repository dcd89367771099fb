#!/usr/bin/env bash
# Plays the case once, after the build of the deploy file and review/build.sh. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review/stand-in silent-watches review/2/record.txt
