#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Needs the Rust compiler only: they use its standard
# library and nothing else. Some share files with the second review's stand-ins.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in foreign version_models first_release trials turned_part; do
    rustc --edition 2024 -O -o "target/review-3/$name" "review/stand-ins-3/$name.rs"
done
