#!/bin/sh
# Builds the scripts of review/12 and up with the compiler alone; they use no package.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.rs; do
    if [ -e "$source" ]; then
        case=$(basename "$(dirname "$source")")
        rustc -O --edition 2024 "$source" -o "target/review-3/case-$case"
    fi
done
