#!/usr/bin/env bash
# Plays the case once, after the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/stand-in abandoned-pipelines review/5/record.txt
