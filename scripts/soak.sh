#!/usr/bin/env bash
# Randomized fault soak: scripts/soak.sh --seeds N --seed S [--seconds T] [--cases]
set -euo pipefail
cd "$(dirname "$0")/.."
cargo test --release --locked -p toucanring-platform --test soak -- "$@"
