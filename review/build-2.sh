#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with the stand-ins that they start, and those that the
# report names beside them. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 6 7 8 9 10; do
    rustc --edition 2024 -O -o "target/review-2/case-$n" "review/$n/case.rs"
done
for name in refused split parts; do
    rustc --edition 2024 -O -o "target/review-2/more-$name" "review/support-2/more-$name.rs"
done
