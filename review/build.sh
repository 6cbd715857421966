#!/usr/bin/env bash
# Builds the stand-ins that the scripts start; needs no network and no package.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/harness/Cargo.toml --target-dir target/review
