#!/usr/bin/env bash
# Prints one line per figure: name value unit.
# Usage: scripts/measure.sh NAME [--seed N] [--seeds N]
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --release --workspace --bins --locked >&2
exec target/release/measure "$@"
