#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They have no dependencies.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-in-2 review/stand-in-2/main.rs
