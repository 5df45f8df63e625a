#!/usr/bin/env bash
# Builds the stand-ins of all cases, with the standard library only. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand_ins review/stand_ins.rs
