#!/usr/bin/env bash
# Plays the case once, after the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/stand-in silent-watches review/2/record.txt
