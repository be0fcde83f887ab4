#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -A dead_code -o target/review-3/cases review/standins-3/main.rs
