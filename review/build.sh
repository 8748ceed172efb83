#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The programs themselves come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -D warnings -o target/review/harness review/harness.rs
