#!/usr/bin/env bash
# Builds every stand-in that the scripts of this review start. Needs no network and no crate.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/stand review/stand-2/stand.rs
