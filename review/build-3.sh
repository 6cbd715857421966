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
# Shown in REPORT-3.md, but no case.
rustc -O --edition 2024 review/support-3/more-tenants.rs -o target/review-3/more-tenants
