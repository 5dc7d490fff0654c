#!/usr/bin/env bash
# Builds the stand-ins of the cases. It needs no network and no library.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --quiet --manifest-path review/standin/Cargo.toml --target-dir target/review
