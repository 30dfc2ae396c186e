#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They use only the standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in mixed_versions crashing_request crashing_part lost_origins long_streams; do
    rustc --edition 2024 -O -o "target/review-2/$case" "review/stand-ins-2/$case.rs"
done
