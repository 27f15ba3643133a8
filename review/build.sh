#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start; needs the Rust toolchain only.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v rustc >/dev/null || export PATH="$HOME/.cargo/bin:$PATH"
mkdir -p target/review
rustc -O --edition 2021 -o target/review/world review/world/main.rs
