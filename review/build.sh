#!/usr/bin/env bash
# Builds the stand-in of the review, which needs the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-in review/stand-in/main.rs
