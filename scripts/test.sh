#!/usr/bin/env bash
# Builds the programs that the integration tests start, then runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --bins
cargo test --workspace "$@"
