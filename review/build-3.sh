#!/bin/sh
# Builds the stand-ins of the third review's scripts (review/11 to review/15) into target/review-3.
# Needs the Rust compiler only: they use its standard library and nothing else. Run it from any folder.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for name in crash_loop upgrade foreign late_order uploads; do
    rustc --edition 2024 -O -o "$out/$name" "review/stand-ins-3/$name.rs"
done
